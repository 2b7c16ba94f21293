"""Record of what was sent, answered and run, written as `record.txt`."""

import pathlib
import time
import typing

__all__ = ["Record"]


class Record:
    """Writes one line for each event, with seconds since its creation."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began_s = time.monotonic()

    def now_s(self) -> float:
        """Returns the seconds since the record was created."""
        return time.monotonic() - self._began_s

    def write(self, event: str, **fields: typing.Any) -> None:
        """Writes one event with its fields."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now_s():8.3f} {event} {text}\n")

    def close(self) -> None:
        """Closes the file."""
        self._file.close()
