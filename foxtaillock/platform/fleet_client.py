"""Client of the platform's service that moves and maintains VMs."""

import typing
from collections.abc import Sequence
from urllib import parse

import msgspec

from foxtaillock import exceptions
from foxtaillock.batch import interfaces
from foxtaillock.platform import http_client
from foxtaillock.platform import json_codec
from foxtaillock.platform import record_codec

__all__ = ["HttpFleetClient"]

# The service is on the local network, but may respond slowly.
_ANSWER_TIMEOUT_S = 1.5

_OK, _CONFLICT, _THROTTLED = 200, 409, 429


class _Machine(typing.TypedDict):
    machine: str
    pool: str
    state: str
    zone: str
    labels: list[str]
    capacity: record_codec.WireSize
    id: typing.NotRequired[str | None]


class _Page(typing.TypedDict):
    machines: list[_Machine]
    next_token: typing.NotRequired[str | None]


class _Refusal(typing.TypedDict, total=False):
    reason: str


_page_decoder = json_codec.Decoder(_Page)
_refusal_decoder = json_codec.Decoder(_Refusal)


class HttpFleetClient:
    """Lists VMs and sends orders for them over HTTP, without retries.

    Args:
        client: HTTP client.
        address: `HOST:PORT` of the service.
        node: name of this entry VM, sent as the holder of its orders.
    """

    def __init__(
        self, client: http_client.PlatformHttpClient, address: str, node: str
    ) -> None:
        self._client = client
        self._address = address
        self._node = node

    async def list_vms(self) -> Sequence[interfaces.VmStatus]:
        """Returns all VMs; see `interfaces.FleetClient.list_vms`."""
        vms: list[interfaces.VmStatus] = []
        token = ""
        while True:
            page = await self._read_page(token)
            vms += [_decode_vm(each) for each in page["machines"]]
            token = page.get("next_token") or ""
            if not token:
                return vms

    async def move(
        self, vm: str, pool: str, epoch: int
    ) -> interfaces.VmOrderOutcome:
        """Moves a VM to a pool; see `interfaces.FleetClient.move`."""
        body = {"machine": vm, "pool": pool}
        return await self._send_order("machine-move", body, epoch)

    async def maintain(
        self, vm: str, wave: int, epoch: int
    ) -> interfaces.VmOrderOutcome:
        """Starts maintenance of a VM; see `interfaces.FleetClient.maintain`."""
        body = {"machine": vm, "wave": wave}
        return await self._send_order("machine-upkeep", body, epoch)

    async def _read_page(self, token: str) -> _Page:
        query = f"?{parse.urlencode({'page_token': token})}" if token else ""
        url = f"http://{self._address}/-/machines{query}"
        try:
            answer = await self._client.request("GET", url, _ANSWER_TIMEOUT_S)
        except (http_client.NotSentError, http_client.NoAnswerError) as error:
            raise interfaces.StoreUnreachableError(str(error)) from error
        if answer.status != _OK:
            raise interfaces.StoreRefusedError(f"status {answer.status}")
        try:
            return _page_decoder.decode(answer.body)
        except exceptions.InvalidInputError as error:
            raise interfaces.StoreUnreachableError(str(error)) from error

    async def _send_order(
        self, name: str, body: dict[str, typing.Any], epoch: int
    ) -> interfaces.VmOrderOutcome:
        headers = {
            "Content-Type": "application/json",
            "X-Duty-Holder": self._node,
            "X-Fence-Token": str(epoch),
        }
        url = f"http://{self._address}/-/{name}"
        try:
            answer = await self._client.request(
                "POST",
                url,
                _ANSWER_TIMEOUT_S,
                body=msgspec.json.encode(body),
                headers=headers,
            )
        except http_client.NotSentError:
            return interfaces.VmOrderOutcome.REFUSED
        except http_client.NoAnswerError:
            return interfaces.VmOrderOutcome.UNKNOWN
        return _decode_outcome(answer)


def _decode_outcome(
    answer: http_client.HttpResponse,
) -> interfaces.VmOrderOutcome:
    if answer.status == _OK:
        return interfaces.VmOrderOutcome.DONE
    if answer.status == _THROTTLED:
        return interfaces.VmOrderOutcome.THROTTLED
    if answer.status == _CONFLICT:
        try:
            reason = _refusal_decoder.decode(answer.body).get("reason", "")
        except exceptions.InvalidInputError:
            reason = ""
        if reason == "busy":
            return interfaces.VmOrderOutcome.BUSY
    return interfaces.VmOrderOutcome.REFUSED


def _decode_vm(row: _Machine) -> interfaces.VmStatus:
    return interfaces.VmStatus(
        # A machine in the platform's API is a VM of the fleet.
        row["machine"],
        row["pool"],
        row["state"] == "up",
        row["zone"],
        tuple(row["labels"]),
        record_codec.decode_size(row["capacity"]),
        row.get("id") or "",
    )
