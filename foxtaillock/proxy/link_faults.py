"""Faults of one proxied link, and their reading from JSON."""

import asyncio
import dataclasses
import enum
import typing
from collections.abc import Mapping

from foxtaillock import exceptions

__all__ = ["DirectionFaults", "FaultBoard", "LinkFaults", "Mode"]


class Mode(enum.StrEnum):
    """What happens to the bytes of one direction."""

    PASS = "pass"
    DROP = "drop"
    FREEZE = "freeze"


@dataclasses.dataclass
class DirectionFaults:
    """Faults of one direction of a link.

    Attributes:
        mode: `pass`; `drop` loses bytes, and a connection that has lost some
            carries none in this direction again; `freeze` holds them back.
        delay_s: seconds by which bytes are late.
        jitter_s: longest further delay, drawn for each chunk; bytes stay in
            order.
        cut_after_bytes: a connection is cut when so many bytes have passed in
            this direction; -1 for never.
    """

    mode: Mode = Mode.PASS
    delay_s: float = 0.0
    jitter_s: float = 0.0
    cut_after_bytes: int = -1


@dataclasses.dataclass
class LinkFaults:
    """Faults of a link; all off at first.

    Attributes:
        up: from the client to the target.
        down: from the target to the client.
        refuse: new connections are closed at once.
        duplicate: each new connection is opened twice at the target; the
            second gets the same bytes and its answers are dropped.
        lose_answers: number of next answers that are lost: the request was
            forwarded, and the connection is cut when the answer begins.
        lose_answers_probability: probability of the same for each later
            answer.
    """

    up: DirectionFaults = dataclasses.field(default_factory=DirectionFaults)
    down: DirectionFaults = dataclasses.field(default_factory=DirectionFaults)
    refuse: bool = False
    duplicate: bool = False
    lose_answers: int = 0
    lose_answers_probability: float = 0.0


class FaultBoard:
    """Faults of a link and the news that they have changed."""

    def __init__(self) -> None:
        self.faults = LinkFaults()
        self._changed = asyncio.Event()

    def update(self, changes: Mapping[str, typing.Any]) -> None:
        """Sets the named faults and leaves the others.

        Raises:
            exceptions.InvalidInputError: names or types are wrong; the
                message has every finding, and nothing is set.
        """
        findings: list[str] = []
        faults = _merged(self.faults, changes, "faults", findings)
        if findings:
            raise exceptions.InvalidInputError("; ".join(findings))
        self.faults = faults
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_change(self) -> None:
        """Waits until faults are set the next time."""
        await self._changed.wait()


_DataT = typing.TypeVar("_DataT", LinkFaults, DirectionFaults)


def _merged(
    old: _DataT, changes: object, place: str, findings: list[str]
) -> _DataT:
    if not isinstance(changes, Mapping):
        findings.append(f"{place}: not an object")
        return old
    values: dict[str, typing.Any] = {}
    for name, value in changes.items():
        here = f"{place}.{name}"
        present = getattr(old, str(name), None)
        if present is None:
            findings.append(f"{here}: no such fault")
        elif isinstance(present, DirectionFaults):
            values[name] = _merged(present, value, here, findings)
        else:
            values[name] = _checked(present, value, here, findings)
    return dataclasses.replace(old, **values)


def _checked(
    present: object, value: object, place: str, findings: list[str]
) -> object:
    if isinstance(present, Mode):
        if value in list(Mode):
            return Mode(str(value))
    elif isinstance(present, bool) or isinstance(value, bool):
        if isinstance(present, bool) and isinstance(value, bool):
            return value
    elif isinstance(present, float) and isinstance(value, (int, float)):
        return float(value)
    elif isinstance(present, int) and isinstance(value, int):
        return value
    findings.append(f"{place}: not a {type(present).__name__}")
    return present
