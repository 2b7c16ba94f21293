"""Client of the platform's workers."""

import functools
import typing

import msgspec
import yarl

from foxtaillock import exceptions
from foxtaillock.batch import interfaces
from foxtaillock.batch import model
from foxtaillock.platform import http_client
from foxtaillock.platform import json_codec

__all__ = ["HttpWorkerClient"]

# URLs of the latest calls; a worker has up to four.
_MAX_CACHED_URLS = 4_096

_MAX_CACHED_TASKS = 8_192

_OK, _CONFLICT, _MISDIRECTED = 200, 409, 421

# With these statuses, a worker has done nothing. Any other status leaves the
# outcome of an order unknown.
_REFUSAL_STATUSES = frozenset((400, 404, 429, 503))

_OUTCOMES_BY_REASON = {
    "fence": interfaces.OrderOutcome.STALE_EPOCH,
    "old": interfaces.OrderOutcome.STALE_RUN,
    "late": interfaces.OrderOutcome.TOO_LATE,
    "room": interfaces.OrderOutcome.NO_ROOM,
    "ticket": interfaces.OrderOutcome.TICKET_REFUSED,
}
_END_KINDS_BY_NAME = {
    "done": model.EndKind.DONE,
    "failed": model.EndKind.FAILED,
    "stopped": model.EndKind.STOPPED,
    "lapsed": model.EndKind.LAPSED,
    "broken": model.EndKind.GANG_BROKEN,
    "alone": model.EndKind.GANG_TIMEOUT,
}


class _OrderAnswer(typing.TypedDict, total=False):
    clock_ms: json_codec.Count
    reason: str


# Rows may get further entries in later versions of the platform, which these
# types ignore.
# Ends that a worker lists at a time.
_MAX_LISTED_ENDS = 500


class _ActiveRow(msgspec.Struct, array_like=True, gc=False):
    task: str
    run: json_codec.Count
    checkpoint: str | None
    speed_percent: json_codec.Duration
    # Tail latency of a persistent task, or the CPU use of any other task in
    # the last half second.
    reading: float | None = 0.0


class _EndedRow(msgspec.Struct, array_like=True, gc=False):
    number: json_codec.Count
    task: str
    run: json_codec.Count
    kind: str
    checkpoint: str | None = ""


class _Lists(typing.TypedDict):
    clock_ms: json_codec.Count
    running: list[_ActiveRow]
    ended: list[_EndedRow]
    born: typing.NotRequired[json_codec.Count]


# A worker lists a run at each poll, from its start to its end.
_parse_task_id = functools.lru_cache(maxsize=_MAX_CACHED_TASKS)(
    model.parse_task_id
)

_NOT_SENT = interfaces.OrderAnswer(interfaces.OrderOutcome.NOT_SENT)

_order_decoder = json_codec.Decoder(_OrderAnswer)
_lists_decoder = json_codec.Decoder(_Lists)


class HttpWorkerClient:
    """Sends orders and polls over HTTP, without retries.

    Args:
        order_client: HTTP client for orders.
        poll_client: HTTP client for polls, which may block for long.
    """

    def __init__(
        self,
        order_client: http_client.PlatformHttpClient,
        poll_client: http_client.PlatformHttpClient,
    ) -> None:
        self._order_client = order_client
        self._poll_client = poll_client

    async def start(
        self, worker: model.WorkerEntry, order: interfaces.StartOrder
    ) -> interfaces.OrderAnswer:
        """Starts a run; see `interfaces.WorkerClient.start`."""
        body: dict[str, typing.Any] = {
            "task": model.format_task_id(order.task),
            "run": order.run,
            "workload": order.payload,
            "until_ms": order.valid_until_ms,
            "fence": order.epoch,
        }
        if order.checkpoint:
            body["saved"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        return await self._send_order(worker, "run-start", body)

    async def stop(
        self,
        worker: model.WorkerEntry,
        task: model.TaskId,
        run: int,
        epoch: int,
    ) -> interfaces.OrderAnswer:
        """Stops a run; see `interfaces.WorkerClient.stop`."""
        body = {"task": model.format_task_id(task), "run": run, "fence": epoch}
        return await self._send_order(worker, "run-stop", body)

    async def limit_speed(
        self,
        worker: model.WorkerEntry,
        task: model.TaskId,
        run: int,
        percent: int,
        epoch: int,
    ) -> interfaces.OrderAnswer:
        """Limits a run's speed; see `interfaces.WorkerClient.limit_speed`."""
        body = {
            "task": model.format_task_id(task),
            "run": run,
            "percent": percent,
            "fence": epoch,
        }
        return await self._send_order(worker, "pace", body)

    async def poll(
        self,
        worker: model.WorkerEntry,
        epoch: int,
        acknowledged: int,
        valid_until_ms: int | None,
        wait_s: float,
    ) -> interfaces.WorkerLists | interfaces.OrderAnswer:
        """Renews leases, returns lists; see `interfaces.WorkerClient.poll`."""
        body = {"fence": epoch, "last_seen": acknowledged}
        if valid_until_ms is not None:
            body["until_ms"] = valid_until_ms
        if wait_s > 0:
            body["wait_ms"] = int(wait_s * 1000)
        try:
            answer = await _post(
                self._poll_client, worker, "hold", body, wait_s
            )
        except http_client.NotSentError:
            return _NOT_SENT
        if answer is None or answer.status != _OK:
            return _decode_order_answer(answer)
        try:
            return _decode_lists(_lists_decoder.decode(answer.body))
        except exceptions.InvalidInputError:
            return interfaces.OrderAnswer(interfaces.OrderOutcome.UNKNOWN)

    async def _send_order(
        self,
        worker: model.WorkerEntry,
        name: str,
        body: dict[str, typing.Any],
    ) -> interfaces.OrderAnswer:
        try:
            answer = await _post(self._order_client, worker, name, body, 0.0)
        except http_client.NotSentError:
            return _NOT_SENT
        return _decode_order_answer(answer)


async def _post(
    client: http_client.PlatformHttpClient,
    worker: model.WorkerEntry,
    name: str,
    body: dict[str, typing.Any],
    wait_s: float,
) -> http_client.HttpResponse | None:
    """Returns the response; None if there was none.

    Raises:
        http_client.NotSentError: no connection was established.
    """
    headers = {
        "Content-Type": "application/json",
        "X-Expect-Instance": worker.worker_id,
    }
    encoded = msgspec.json.encode(body)
    try:
        return await client.request(
            "POST",
            _url(worker.address, name),
            wait_s + interfaces.ANSWER_TIMEOUT_S,
            body=encoded,
            headers=headers,
        )
    except http_client.NoAnswerError:
        return None


@functools.lru_cache(maxsize=_MAX_CACHED_URLS)
def _url(address: str, name: str) -> str | yarl.URL:
    return http_client.parse_url(f"http://{address}/-/{name}")


def _decode_order_answer(
    answer: http_client.HttpResponse | None,
) -> interfaces.OrderAnswer:
    if answer is None:
        return interfaces.OrderAnswer(interfaces.OrderOutcome.UNKNOWN)
    if answer.status == _MISDIRECTED:
        return interfaces.OrderAnswer(interfaces.OrderOutcome.OTHER_WORKER)
    try:
        content = _order_decoder.decode(answer.body)
    except exceptions.InvalidInputError:
        content = {}
    clock_ms = content.get("clock_ms")
    if answer.status == _OK:
        return interfaces.OrderAnswer(
            interfaces.OrderOutcome.ACCEPTED, clock_ms
        )
    if answer.status == _CONFLICT:
        reason = content.get("reason", "")
        outcome = _OUTCOMES_BY_REASON.get(
            reason, interfaces.OrderOutcome.REFUSED
        )
        return interfaces.OrderAnswer(outcome, clock_ms)
    if answer.status in _REFUSAL_STATUSES:
        return interfaces.OrderAnswer(interfaces.OrderOutcome.REFUSED, clock_ms)
    return interfaces.OrderAnswer(interfaces.OrderOutcome.UNKNOWN)


def _decode_lists(lists: _Lists) -> interfaces.WorkerLists:
    running = []
    for active in lists["running"]:
        task = _parse_task_id(active.task)
        if task is not None:
            running.append(
                interfaces.ActiveRun(
                    task,
                    active.run,
                    active.checkpoint or "",
                    int(active.speed_percent),
                    active.reading or 0.0,
                )
            )
    ended = []
    for end in lists["ended"]:
        task = _parse_task_id(end.task)
        kind = _END_KINDS_BY_NAME.get(end.kind, model.EndKind.FAILED)
        if task is not None:
            ended.append(
                interfaces.EndedRun(
                    end.number, task, end.run, kind, end.checkpoint or ""
                )
            )
    return interfaces.WorkerLists(
        lists.get("born", 0),
        lists["clock_ms"],
        running,
        ended,
        len(lists["ended"]) >= _MAX_LISTED_ENDS,
    )
