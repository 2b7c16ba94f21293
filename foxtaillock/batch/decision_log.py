"""Structured log: one line of JSON for each decision.

Lines are rate-limited for each event, with a count of the suppressed ones, and
buffered up to a limit: a slow or closed reader never blocks the program.
"""

import collections
import os
import typing

import msgspec

from foxtaillock.model import clock as model_clock

__all__ = ["DecisionLog", "LineWriter", "LogFunction", "create_log"]

# Rate limit for lines of one event. The most frequent event, a placed task,
# occurs about 150 times a second on a machine with one core.
_MAX_LINES_PER_S = 200

# Maximum size of the lines that are buffered for a slow reader.
_MAX_BUFFER_BYTES = 256 * 1024

# Characters of a time in ISO format up to its seconds.
_TIME_LENGTH = len("2026-01-01T00:00:00")


class LogFunction(typing.Protocol):
    """Callable that logs one decision."""

    def __call__(self, event: str, **fields: typing.Any) -> None:
        """Logs the event name, the inputs and the outcome of a decision."""


class LineWriter:
    """Writes lines to a file descriptor without blocking.

    Args:
        descriptor: file descriptor to write to; it is made non-blocking.

    Attributes:
        dropped: number of lines lost to a full buffer or a closed reader.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._buffer: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> None:
        """Writes or buffers a line; drops it if the buffer is full."""
        if self._buffered_bytes + len(line) > _MAX_BUFFER_BYTES:
            self.dropped += 1
            return
        self._buffer.append(line)
        self._buffered_bytes += len(line)
        self.flush()

    def flush(self) -> None:
        """Writes as much of the buffer as the descriptor accepts."""
        while self._buffer:
            line = self._buffer[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                self.dropped += len(self._buffer)
                self._buffer.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written == len(line):
                self._buffer.popleft()
            else:
                self._buffer[0] = line[written:]


class DecisionLog:
    """Log of one process.

    Args:
        writer: writer of the lines.
        clock: source of time.
        node: name of this entry VM.
    """

    def __init__(
        self, writer: LineWriter, clock: model_clock.Clock, node: str
    ) -> None:
        self._writer = writer
        self._clock = clock
        self._node = node
        self._second: int | None = None
        self._time, self._utc_offset = "", ""
        self._line_counts: collections.Counter[str] = collections.Counter()
        self._encoder = msgspec.json.Encoder(enc_hook=str)

    @property
    def dropped(self) -> int:
        """Number of lines lost to a slow or closed reader."""
        return self._writer.dropped

    def __call__(self, event: str, **fields: typing.Any) -> None:
        """Writes a line.

        Args:
            event: name of the event.
            fields: inputs of the decision, their age or version, and its
                outcome.
        """
        now = self._clock.now()
        second = int(now.timestamp())
        if second != self._second:
            self._report_suppressed()
            self._second = second
            text = now.isoformat(timespec="seconds")
            self._time = text[:_TIME_LENGTH]
            self._utc_offset = text[_TIME_LENGTH:]
        count = self._line_counts.get(event, 0) + 1
        self._line_counts[event] = count
        if count > _MAX_LINES_PER_S:
            return
        milliseconds = now.microsecond // 1000
        line = {
            "time": f"{self._time}.{milliseconds:03}{self._utc_offset}",
            "node": self._node,
            "event": event,
            **fields,
        }
        self._writer.write(self._encoder.encode(line) + b"\n")

    def _report_suppressed(self) -> None:
        suppressed = {
            event: count - _MAX_LINES_PER_S
            for event, count in self._line_counts.items()
            if count > _MAX_LINES_PER_S
        }
        self._line_counts.clear()
        if suppressed:
            line = {"node": self._node, "event": "lines-left-out", **suppressed}
            self._writer.write(self._encoder.encode(line) + b"\n")


def create_log(
    node: str, clock: model_clock.Clock, descriptor: int = 1
) -> DecisionLog:
    """Returns a log to a file descriptor, by default standard output."""
    return DecisionLog(LineWriter(descriptor), clock, node)
