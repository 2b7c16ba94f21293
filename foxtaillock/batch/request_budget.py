"""Budget of one endpoint for connections and incomplete requests.

It answers the load of abusive clients: hundreds of connections that send
nothing, heads that never end, bodies that stop just short of their end, or
answers that are never read. Where a budget is exceeded, the connection whose
close does least harm goes first: the one that has not taken its answer for the
longest time; then, for bytes, the incomplete request that has made no
substantial progress for the longest time; for connections, the one that has
been without a request for the longest time, then an incomplete request, then an
answer that is just being sent, then a connection without a request that is so
new that its request may be on its way. A connection with a complete request
that has not been answered is never closed.
"""

import collections
import enum
import itertools
import typing
from collections.abc import Hashable

__all__ = [
    "Closing",
    "Limits",
    "Phase",
    "Reason",
    "RequestBudget",
    "bound_limits",
    "derive_limits",
    "derive_probe_limits",
]

_MEBIBYTE = 1024 * 1024

# Head and body of the largest legal request, with room for what is read ahead.
_MIN_BYTES = _MEBIBYTE

# Share of the VM's memory for the bytes of requests, and for connections.
_BYTES_SHARE = 1 / 8
_CONNECTIONS_SHARE = 1 / 4

# Memory of a connection with its parser, its task and the buffers of the event
# loop, while one part of a request is being read.
_CONNECTION_BYTES = 32 * 1024

# Share of the descriptors for connections of callers. The others are left for
# connections to the store, to workers and from probes.
_DESCRIPTORS_SHARE = 1 / 2
_PROBES_SHARE = 1 / 32
_MIN_CONNECTIONS = 8

# Bytes that count as progress. Fewer would let a client that sends single bytes
# outlast clients on slow links.
_PROGRESS_BYTES = 1_024

# Time for which a connection without a request counts as new. While many
# clients hold incomplete requests, the idle connections are those of ordinary
# callers that have just connected.
_NEW_S = 0.2

# Time after which an answer that waits counts as not taken. A lost packet or a
# slow link delays it for less.
_NOT_TAKEN_S = 1.0


class Phase(enum.Enum):
    """What a connection is doing.

    Attributes:
        IDLE: no part of a request has arrived since the latest answer.
        HEAD: a part of a head has arrived.
        BODY: the head is complete, the body is not.
        COMPLETE: a complete request is to be answered.
        ANSWER: answers wait for the client to take them.
    """

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    COMPLETE = "complete"
    ANSWER = "answer"


class Reason(enum.Enum):
    """Why a connection is closed."""

    HEAD_TOO_LARGE = "head-too-large"
    HEAD_TOO_SLOW = "head-too-slow"
    BODY_TOO_SLOW = "body-too-slow"
    FRAMING_TOO_LARGE = "framing-too-large"
    ANSWER_NOT_TAKEN = "answer-not-taken"
    TOO_MANY_BYTES = "too-many-bytes"
    TOO_MANY_CONNECTIONS = "too-many-connections"


class Limits(typing.NamedTuple):
    """Limits of one endpoint.

    Attributes:
        max_connections: number of open connections.
        max_bytes: bytes of requests that are incomplete or not answered, and of
            answers that wait.
        head_bytes: size of a head with the empty lines before it.
        head_s: time from the first byte of a head to its end.
        body_s: time from the end of a head to the end of the body.
        answer_s: time for which a client takes none of the answers that wait.
    """

    max_connections: int
    max_bytes: int
    head_bytes: int = 16_384
    head_s: float = 10.0
    body_s: float = 60.0
    answer_s: float = 60.0


class Closing(typing.NamedTuple):
    """Connection to close, and why."""

    key: typing.Any
    reason: Reason


class _Entry:
    """State of one connection.

    Attributes:
        phase: what it is doing.
        since_s: time since which it is in this phase.
        held_bytes: memory that its request holds.
        progress_bytes: bytes received since it last moved to the end of the
            order of progress.
    """

    __slots__ = ("phase", "since_s", "held_bytes", "progress_bytes")

    def __init__(self, now_s: float) -> None:
        self.phase = Phase.IDLE
        self.since_s = now_s
        self.held_bytes = 0
        self.progress_bytes = 0


class RequestBudget:
    """Decides which connections to close.

    Args:
        limits: limits of the endpoint.

    Attributes:
        held_bytes: memory that all requests hold.
    """

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.held_bytes = 0
        self._entries: dict[Hashable, _Entry] = {}
        # In the order of the time at which they became idle.
        self._idle: collections.OrderedDict[Hashable, None] = (
            collections.OrderedDict()
        )
        # In the order of their latest progress.
        self._incomplete: collections.OrderedDict[Hashable, None] = (
            collections.OrderedDict()
        )
        # In the order of the time since which they take no answer.
        self._answering: collections.OrderedDict[Hashable, None] = (
            collections.OrderedDict()
        )

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._entries)

    @property
    def active(self) -> int:
        """Number of connections with a request or a part of one."""
        return len(self._entries) - len(self._idle)

    def open(self, key: Hashable, now_s: float) -> None:
        """Adds a new connection."""
        self._entries[key] = _Entry(now_s)
        self._idle[key] = None

    def close(self, key: Hashable) -> None:
        """Removes a connection; does nothing if it is not known."""
        entry = self._entries.pop(key, None)
        if entry is not None:
            self.held_bytes -= entry.held_bytes
            self._remove_from_orders(key)

    def _remove_from_orders(self, key: Hashable) -> None:
        self._idle.pop(key, None)
        self._incomplete.pop(key, None)
        self._answering.pop(key, None)

    def update(
        self, key: Hashable, phase: Phase, held_bytes: int, now_s: float
    ) -> None:
        """Sets the state of a connection; does nothing if it is not known.

        Args:
            key: the connection.
            phase: what it is doing.
            held_bytes: memory that its request holds.
            now_s: time.
        """
        entry = self._entries.get(key)
        if entry is None:
            return
        self.held_bytes += held_bytes - entry.held_bytes
        entry.progress_bytes += max(0, held_bytes - entry.held_bytes)
        entry.held_bytes = held_bytes
        if phase is not entry.phase:
            entry.phase = phase
            entry.since_s = now_s
            entry.progress_bytes = 0
            self._remove_from_orders(key)
            if phase is Phase.IDLE:
                self._idle[key] = None
            elif phase is Phase.ANSWER:
                self._answering[key] = None
            elif phase is not Phase.COMPLETE:
                self._incomplete[key] = None
        elif (
            key in self._incomplete and entry.progress_bytes >= _PROGRESS_BYTES
        ):
            entry.progress_bytes = 0
            self._incomplete.move_to_end(key)

    def keep(self, key: Hashable, now_s: float) -> None:
        """Makes an idle connection, on which bytes wait, the last one to go."""
        if key in self._idle:
            self._entries[key].since_s = now_s
            self._idle.move_to_end(key)

    def excess(self, now_s: float) -> Closing | None:
        """Returns the next connection to close because of a budget, if any."""
        if self.held_bytes > self.limits.max_bytes:
            key = self._least_useful_holder(now_s)
            if key is not None:
                return Closing(key, Reason.TOO_MANY_BYTES)
        if len(self._entries) > self.limits.max_connections:
            key = self._least_useful(now_s)
            if key is not None:
                return Closing(key, Reason.TOO_MANY_CONNECTIONS)
        return None

    def _least_useful_holder(self, now_s: float) -> Hashable | None:
        """Returns the connection to close to free memory."""
        not_taken = self._longest_not_taken(now_s)
        if not_taken is not None:
            return not_taken
        return next(iter(self._incomplete), None)

    def _least_useful(self, now_s: float) -> Hashable | None:
        """Returns the connection to close to make a place."""
        not_taken = self._longest_not_taken(now_s)
        if not_taken is not None:
            return not_taken
        idle = next(iter(self._idle), None)
        if idle is not None and now_s - self._entries[idle].since_s >= _NEW_S:
            return idle
        return next(itertools.chain(self._incomplete, self._answering), idle)

    def _longest_not_taken(self, now_s: float) -> Hashable | None:
        """Returns the connection that has not taken its answer for longest."""
        key = next(iter(self._answering), None)
        if key is None or now_s - self._entries[key].since_s < _NOT_TAKEN_S:
            return None
        return key

    def answering(self) -> list[typing.Any]:
        """Returns the connections whose answers wait for the client."""
        return list(self._answering)

    def overdue(self, now_s: float) -> list[Closing]:
        """Returns the connections that take too long."""
        closings = []
        for key in itertools.chain(self._incomplete, self._answering):
            entry = self._entries[key]
            limit_s, reason = self._time_limit(entry.phase)
            if now_s - entry.since_s > limit_s:
                closings.append(Closing(key, reason))
        return closings

    def _time_limit(self, phase: Phase) -> tuple[float, Reason]:
        match phase:
            case Phase.HEAD:
                return self.limits.head_s, Reason.HEAD_TOO_SLOW
            case Phase.BODY:
                return self.limits.body_s, Reason.BODY_TOO_SLOW
            case _:
                return self.limits.answer_s, Reason.ANSWER_NOT_TAKEN


def derive_limits(memory_mb: float, max_fds: int) -> Limits:
    """Returns the limits of the callers' endpoint.

    Args:
        memory_mb: memory of the VM.
        max_fds: number of descriptors that the process may open.
    """
    memory_bytes = int(memory_mb * _MEBIBYTE)
    connections = min(
        int(max_fds * _DESCRIPTORS_SHARE),
        int(memory_bytes * _CONNECTIONS_SHARE) // _CONNECTION_BYTES,
    )
    return Limits(
        max(_MIN_CONNECTIONS, connections),
        max(_MIN_BYTES, int(memory_bytes * _BYTES_SHARE)),
    )


def bound_limits(limits: Limits, max_fds: int) -> Limits:
    """Returns limits with which a process can work.

    Connections don't take the descriptors that the process itself needs, and
    one legal request fits into the budget.

    Args:
        limits: limits that an operator may have set.
        max_fds: number of descriptors that the process may open.
    """
    connections = max(_MIN_CONNECTIONS, int(max_fds * _DESCRIPTORS_SHARE))
    return limits._replace(
        max_connections=min(limits.max_connections, connections),
        max_bytes=max(limits.max_bytes, _MIN_BYTES),
    )


def derive_probe_limits(max_fds: int) -> Limits:
    """Returns the limits of an endpoint for probes or metrics.

    It has connections of its own, so that it can be reached while the callers'
    endpoint has no more.

    Args:
        max_fds: number of descriptors that the process may open.
    """
    connections = max(_MIN_CONNECTIONS, int(max_fds * _PROBES_SHARE))
    return Limits(connections, _MIN_BYTES)
