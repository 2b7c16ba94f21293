"""Injects faults into the stand-ins of the platform."""

import asyncio
import dataclasses
import random
import typing
from collections.abc import Mapping

from foxtaillock import exceptions

__all__ = ["FaultInjector", "Faults"]


@dataclasses.dataclass
class Faults:
    """Faults of one server; initially none is active.

    Attributes:
        unavailable: every request is answered 503 and has no effect.
        silent: requests hang without effect; when the fault is cleared, their
            connections are aborted without an answer.
        delay_s: delay before each request takes effect.
        lost_next: number of next requests that take effect and whose
            connections are then aborted without an answer.
        lost_probability: once `lost_next` is used up, the probability that an
            answer is lost in the same way.
    """

    unavailable: bool = False
    silent: bool = False
    delay_s: float = 0.0
    lost_next: int = 0
    lost_probability: float = 0.0


class FaultInjector:
    """Applies faults to the requests of one server.

    Args:
        faults: faults to apply; may be of a subclass.
        rng: decides which answers are lost.
    """

    def __init__(self, faults: Faults, rng: random.Random) -> None:
        self.faults = faults
        self._rng = rng
        self._not_silent = asyncio.Event()
        self._not_silent.set()

    def update(self, changes: Mapping[str, typing.Any]) -> None:
        """Sets the named faults and leaves the others unchanged.

        Raises:
            exceptions.InvalidInputError: a fault is unknown or its value has
                the wrong type; nothing is changed.
        """
        findings = []
        for name, value in changes.items():
            current = getattr(self.faults, name, None)
            if current is None:
                findings.append(f"{name}: no such fault")
            elif not _has_same_type(value, current):
                findings.append(f"{name}: not a {type(current).__name__}")
        if findings:
            raise exceptions.InvalidInputError("; ".join(findings))
        for name, value in changes.items():
            setattr(self.faults, name, value)
        if self.faults.silent:
            self._not_silent.clear()
        else:
            self._not_silent.set()

    async def admit_request(self) -> bool:
        """Delays a request as the faults require.

        Returns:
            Whether to process the request; if not, the caller aborts its
            connection.
        """
        if self.faults.silent:
            await self._not_silent.wait()
            return False
        if self.faults.delay_s > 0:
            await asyncio.sleep(self.faults.delay_s)
        return True

    def should_lose_answer(self) -> bool:
        """Decides whether the answer to the current request is lost."""
        if self.faults.lost_next > 0:
            self.faults.lost_next -= 1
            return True
        probability = self.faults.lost_probability
        return probability > 0 and self._rng.random() < probability


def _has_same_type(value: object, current: object) -> bool:
    if isinstance(current, bool) or isinstance(value, bool):
        return isinstance(current, bool) and isinstance(value, bool)
    if isinstance(current, float):
        return isinstance(value, (int, float))
    return isinstance(value, type(current))
