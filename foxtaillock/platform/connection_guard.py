"""Closes the connections of one endpoint that exceed its limits."""

import asyncio
import select
import typing
from collections.abc import Callable
from collections.abc import Hashable

from foxtaillock.batch import metrics as batch_metrics
from foxtaillock.batch import request_budget
from foxtaillock.model import clock as model_clock

__all__ = ["Connection", "Guard", "has_unread_bytes"]

# Bytes that one read of a socket returns. All connections that can be read are
# read in one turn of the event loop. Reads of a crowd are smaller, so that a
# turn with chunks of one byte does not delay the calls to the store.
_MAX_READ_BYTES = 32 * 1024
_MIN_READ_BYTES = 256
_READ_BYTES_PER_TURN = 256 * 1024

# Idle connections with unread bytes that are passed over to find one without.
_MAX_KEPT = 8

# Interval between two log lines for the same reason.
_LOG_INTERVAL_S = 1.0


class Connection(Hashable, typing.Protocol):
    """What a guard needs of a connection."""

    @property
    def is_idle(self) -> bool:
        """Whether no part of a request has arrived since the latest answer."""

    @property
    def has_unread_bytes(self) -> bool:
        """Whether bytes or the end of the connection wait to be read."""

    def abort(self) -> None:
        """Closes the connection at once."""


class Guard:
    """Closes the connections of one endpoint that exceed its limits.

    Args:
        limits: limits of the endpoint.
        clock: source of time.
        log: structured log.
        metrics: metrics of this process.
    """

    def __init__(
        self,
        limits: request_budget.Limits,
        clock: model_clock.Clock,
        log: Callable[..., None],
        metrics: batch_metrics.Metrics,
    ) -> None:
        self.log = log
        self.budget = request_budget.RequestBudget(limits)
        self._read_buffer = memoryview(bytearray(_MAX_READ_BYTES))
        self._clock = clock
        self._metrics = metrics
        # Time of the latest log line and closings since then, by reason.
        self._logged_s: dict[request_budget.Reason, float] = {}
        self._not_logged: dict[request_budget.Reason, int] = {}
        self._is_stopping = False

    @property
    def read_buffer(self) -> memoryview:
        """Buffer for the next read, which all connections share."""
        size = _READ_BYTES_PER_TURN // (self.budget.active + 1)
        return self._read_buffer[: max(_MIN_READ_BYTES, size)]

    def take_read(self, size: int) -> memoryview:
        """Returns the bytes of the latest read."""
        return self._read_buffer[:size]

    def open(self, connection: Connection) -> None:
        """Adds a connection; closes one if there are too many."""
        self.budget.open(connection, self._clock.monotonic_s())
        self._close_excess()

    def update(
        self,
        connection: Connection,
        phase: request_budget.Phase,
        held_bytes: int,
    ) -> None:
        """Sets the state of a connection; closes some to keep the budget."""
        now_s = self._clock.monotonic_s()
        self.budget.update(connection, phase, held_bytes, now_s)
        if self._is_stopping:
            self._close_answering()
        self._close_excess()

    def close(
        self, connection: Connection, reason: request_budget.Reason
    ) -> None:
        """Closes a connection at once."""
        self.budget.close(connection)
        connection.abort()
        self._metrics.closed_connections.labels(reason.value).inc()
        count = self._not_logged.get(reason, 0) + 1
        now_s = self._clock.monotonic_s()
        logged_s = self._logged_s.get(reason)
        if logged_s is not None and now_s - logged_s < _LOG_INTERVAL_S:
            self._not_logged[reason] = count
            return
        self._logged_s[reason] = now_s
        self._not_logged[reason] = 0
        self.log(
            "connection-closed",
            reason=reason.value,
            count=count,
            connections=self.budget.connections,
            held_bytes=self.budget.held_bytes,
        )

    def sweep(self, now_s: float) -> None:
        """Closes the connections that take too long, and those in excess.

        Bytes that wait to be read may complete a request, but don't excuse a
        client that takes no answers. Such a client is in excess only after a
        while, in which nothing else may happen.
        """
        for connection, reason in self.budget.overdue(now_s):
            is_answer = reason is request_budget.Reason.ANSWER_NOT_TAKEN
            if is_answer or not connection.has_unread_bytes:
                self.close(connection, reason)
        self._close_excess()

    def stop(self) -> None:
        """From now on, closes connections instead of waiting for the client."""
        self._is_stopping = True
        self._close_answering()

    def _close_answering(self) -> None:
        for connection in self.budget.answering():
            self.close(connection, request_budget.Reason.ANSWER_NOT_TAKEN)

    def _close_excess(self) -> None:
        kept = 0
        now_s = self._clock.monotonic_s()
        while (closing := self.budget.excess(now_s)) is not None:
            connection = closing.key
            if (
                connection.is_idle
                and kept < _MAX_KEPT
                and connection.has_unread_bytes
            ):
                kept += 1
                self.budget.keep(connection, now_s)
                continue
            self.close(connection, closing.reason)


def has_unread_bytes(transport: asyncio.BaseTransport) -> bool:
    """Returns whether bytes or the end of a connection wait to be read."""
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
    return bool(poll.poll(0))
