"""The platform's service that moves and maintains VMs."""

import typing
from collections.abc import Sequence
from urllib import parse

import msgspec

from foxtaillock.batch import interfaces
from foxtaillock.platform import http
from foxtaillock.platform import registry

__all__ = ["HttpVmOrders"]

# Time for an answer; the service is near, but may be slow.
_ANSWER_S = 1.5

_OK, _CONFLICT, _THROTTLED = 200, 409, 429


class _Machine(typing.TypedDict):
    machine: str
    pool: str
    state: str
    zone: str
    labels: list[str]
    capacity: registry.WireSize
    id: typing.NotRequired[str | None]


class _Page(typing.TypedDict):
    machines: list[_Machine]
    next_token: typing.NotRequired[str | None]


class _Refusal(typing.TypedDict, total=False):
    reason: str


_page_decoder = msgspec.json.Decoder(_Page)
_refusal_decoder = msgspec.json.Decoder(_Refusal)


class HttpVmOrders:
    """Orders for VMs over HTTP; each is sent once.

    Args:
        caller: HTTP client.
        address: `HOST:PORT` of the service.
        node: name of this entry VM, as the holder of its orders.
    """

    def __init__(self, caller: http.Caller, address: str, node: str) -> None:
        self._caller = caller
        self._address = address
        self._node = node

    async def list_vms(self) -> Sequence[interfaces.VmRow]:
        """Returns all VMs; see `interfaces.VmOrders`."""
        rows: list[interfaces.VmRow] = []
        token = ""
        while True:
            page = await self._page(token)
            rows += [_decode_row(each) for each in page["machines"]]
            token = page.get("next_token") or ""
            if not token:
                return rows

    async def move(
        self, vm: str, pool: str, epoch: int
    ) -> interfaces.MachineOutcome:
        """Moves a VM to a pool; see `interfaces.VmOrders`."""
        body = {"machine": vm, "pool": pool}
        return await self._order("machine-move", body, epoch)

    async def maintain(
        self, vm: str, wave: int, epoch: int
    ) -> interfaces.MachineOutcome:
        """Begins the upkeep of a VM; see `interfaces.VmOrders`."""
        body = {"machine": vm, "wave": wave}
        return await self._order("machine-upkeep", body, epoch)

    async def _page(self, token: str) -> _Page:
        query = f"?{parse.urlencode({'page_token': token})}" if token else ""
        url = f"http://{self._address}/-/machines{query}"
        try:
            answer = await self._caller.request("GET", url, _ANSWER_S)
        except (http.NotSentError, http.NoAnswerError) as error:
            raise interfaces.StoreUnreachableError(str(error)) from error
        if answer.status != _OK:
            raise interfaces.StoreRefusedError(f"status {answer.status}")
        try:
            return _page_decoder.decode(answer.body)
        except msgspec.DecodeError as error:
            raise interfaces.StoreUnreachableError(str(error)) from error

    async def _order(
        self, name: str, body: dict[str, typing.Any], epoch: int
    ) -> interfaces.MachineOutcome:
        headers = {
            "Content-Type": "application/json",
            "X-Duty-Holder": self._node,
            "X-Fence-Token": str(epoch),
        }
        url = f"http://{self._address}/-/{name}"
        try:
            answer = await self._caller.request(
                "POST",
                url,
                _ANSWER_S,
                body=msgspec.json.encode(body),
                headers=headers,
            )
        except http.NotSentError:
            return interfaces.MachineOutcome.REFUSED
        except http.NoAnswerError:
            return interfaces.MachineOutcome.UNKNOWN
        return _outcome(answer)


def _outcome(answer: http.Answer) -> interfaces.MachineOutcome:
    if answer.status == _OK:
        return interfaces.MachineOutcome.DONE
    if answer.status == _THROTTLED:
        return interfaces.MachineOutcome.THROTTLED
    if answer.status == _CONFLICT:
        try:
            reason = _refusal_decoder.decode(answer.body).get("reason", "")
        except msgspec.DecodeError:
            reason = ""
        if reason == "busy":
            return interfaces.MachineOutcome.BUSY
    return interfaces.MachineOutcome.REFUSED


def _decode_row(row: _Machine) -> interfaces.VmRow:
    return interfaces.VmRow(
        # What the pages call a machine is a VM of the fleet.
        row["machine"],
        row["pool"],
        row["state"] == "up",
        row["zone"],
        tuple(row["labels"]),
        registry.decode_size(row["capacity"]),
        row.get("id") or "",
    )
