"""Faults of one proxied link, with updates from JSON."""

import asyncio
import dataclasses
import enum
import typing
from collections.abc import Mapping

from foxtaillock import exceptions

__all__ = ["DirectionFaults", "FaultState", "LinkFaults", "Mode"]


class Mode(enum.StrEnum):
    """What happens to the bytes of one direction."""

    PASS = "pass"
    DROP = "drop"
    FREEZE = "freeze"


@dataclasses.dataclass
class DirectionFaults:
    """Faults of one direction of a link.

    Attributes:
        mode: `pass` forwards bytes; `drop` discards them, and a connection
            that has lost bytes forwards none in this direction any more;
            `freeze` holds them back until the mode changes.
        delay_s: delay of the bytes.
        jitter_s: maximum of a random extra delay of each chunk; bytes stay in
            order.
        cut_after_bytes: number of bytes in this direction after which a
            connection is cut; -1 for never.
    """

    mode: Mode = Mode.PASS
    delay_s: float = 0.0
    jitter_s: float = 0.0
    cut_after_bytes: int = -1


@dataclasses.dataclass
class LinkFaults:
    """Faults of a link; initially none is active.

    Attributes:
        up: from the client to the target.
        down: from the target to the client.
        refuse: new connections are aborted immediately.
        duplicate: each new connection is opened twice at the target; the
            second one receives the same bytes and its answers are dropped.
        lose_answers: number of next answers that are lost: the request is
            forwarded, and the connection is cut when the answer begins.
        lose_answers_probability: once `lose_answers` is used up, the
            probability that an answer is lost in the same way.
    """

    up: DirectionFaults = dataclasses.field(default_factory=DirectionFaults)
    down: DirectionFaults = dataclasses.field(default_factory=DirectionFaults)
    refuse: bool = False
    duplicate: bool = False
    lose_answers: int = 0
    lose_answers_probability: float = 0.0


class FaultState:
    """Current faults of a link, with notification of changes."""

    def __init__(self) -> None:
        self.faults = LinkFaults()
        self._changed = asyncio.Event()

    def update(self, changes: Mapping[str, typing.Any]) -> None:
        """Sets the named faults and leaves the others unchanged.

        Raises:
            exceptions.InvalidInputError: names or types are wrong; the
                message lists all of them, and nothing is changed.
        """
        findings: list[str] = []
        faults = _merge_faults(self.faults, changes, "faults", findings)
        if findings:
            raise exceptions.InvalidInputError("; ".join(findings))
        self.faults = faults
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_change(self) -> None:
        """Waits for the next update."""
        await self._changed.wait()


_DataT = typing.TypeVar("_DataT", LinkFaults, DirectionFaults)


def _merge_faults(
    faults: _DataT, changes: object, path: str, findings: list[str]
) -> _DataT:
    if not isinstance(changes, Mapping):
        findings.append(f"{path}: not an object")
        return faults
    values: dict[str, typing.Any] = {}
    for name, value in changes.items():
        field_path = f"{path}.{name}"
        current = getattr(faults, str(name), None)
        if current is None:
            findings.append(f"{field_path}: no such fault")
        elif isinstance(current, DirectionFaults):
            values[name] = _merge_faults(current, value, field_path, findings)
        else:
            values[name] = _convert_value(current, value, field_path, findings)
    return dataclasses.replace(faults, **values)


def _convert_value(
    current: object, value: object, path: str, findings: list[str]
) -> object:
    if isinstance(current, Mode):
        if value in list(Mode):
            return Mode(str(value))
    elif isinstance(current, bool) or isinstance(value, bool):
        if isinstance(current, bool) and isinstance(value, bool):
            return value
    elif isinstance(current, float) and isinstance(value, (int, float)):
        return float(value)
    elif isinstance(current, int) and isinstance(value, int):
        return value
    findings.append(f"{path}: not a {type(current).__name__}")
    return current
