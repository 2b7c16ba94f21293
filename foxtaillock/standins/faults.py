"""Faults that tests set on the stand-ins of the platform."""

import asyncio
import dataclasses
import random
import typing
from collections.abc import Mapping

from foxtaillock import exceptions

__all__ = ["FaultGate", "Faults"]


@dataclasses.dataclass
class Faults:
    """Faults of one server; all off at first.

    Attributes:
        unavailable: every request is answered 503 and has no effect.
        silent: requests have no effect and get no answer until it ends.
        delay_s: seconds that each request waits before it takes effect.
        lost_next: number of next requests that take effect and whose
            connection is then cut with no answer.
        lost_probability: probability of the same for each later request.
    """

    unavailable: bool = False
    silent: bool = False
    delay_s: float = 0.0
    lost_next: int = 0
    lost_probability: float = 0.0


class FaultGate:
    """Applies faults to the requests of one server.

    Args:
        faults: object with the faults, of `Faults` or a class below it.
        rng: source of the seeded choices.
    """

    def __init__(self, faults: Faults, rng: random.Random) -> None:
        self.faults = faults
        self._rng = rng
        self._heard = asyncio.Event()
        self._heard.set()

    def update(self, changes: Mapping[str, typing.Any]) -> None:
        """Sets the named faults and leaves the others.

        Raises:
            exceptions.InvalidInputError: names or types are wrong.
        """
        findings = []
        for name, value in changes.items():
            old = getattr(self.faults, name, None)
            if old is None:
                findings.append(f"{name}: no such fault")
            elif not _has_type_of(value, old):
                findings.append(f"{name}: not a {type(old).__name__}")
        if findings:
            raise exceptions.InvalidInputError("; ".join(findings))
        for name, value in changes.items():
            setattr(self.faults, name, value)
        if self.faults.silent:
            self._heard.clear()
        else:
            self._heard.set()

    async def enter(self) -> bool:
        """Waits as the faults demand before a request takes effect.

        Returns:
            Whether the request goes on; else its connection is cut.
        """
        if self.faults.silent:
            await self._heard.wait()
            return False
        if self.faults.delay_s > 0:
            await asyncio.sleep(self.faults.delay_s)
        return True

    def loses_answer(self) -> bool:
        """Returns whether the answer of the present request is lost."""
        if self.faults.lost_next > 0:
            self.faults.lost_next -= 1
            return True
        probability = self.faults.lost_probability
        return probability > 0 and self._rng.random() < probability


def _has_type_of(value: object, old: object) -> bool:
    if isinstance(old, bool) or isinstance(value, bool):
        return isinstance(old, bool) and isinstance(value, bool)
    if isinstance(old, float):
        return isinstance(value, (int, float))
    return isinstance(value, type(old))
