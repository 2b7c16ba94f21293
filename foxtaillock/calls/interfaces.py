"""What the driver of calls needs of its surroundings."""

import dataclasses
import typing

__all__ = ["Already", "ClaimResult", "Claims", "Grants", "Refused", "Won"]


@dataclasses.dataclass(frozen=True, slots=True)
class Won:
    """The claim stands for this request; it may run."""


@dataclasses.dataclass(frozen=True, slots=True)
class Already:
    """An earlier request holds the claim.

    Attributes:
        outcome: tag of its outcome, `unknown` while it has none.
    """

    outcome: str


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The claim does not stand and nothing was sent to a runner."""

    code: str


ClaimResult = Won | Already | Refused


class Claims(typing.Protocol):
    """Claims of non-idempotent calls."""

    async def claim(
        self, service: str, team: str, idempotency_key: str, request_id: str
    ) -> ClaimResult:
        """Claims the one run of `idempotency_key`."""

    async def end(
        self,
        service: str,
        team: str,
        idempotency_key: str,
        request_id: str,
        outcome: str,
    ) -> None:
        """Records the outcome of a claim; `not-run` frees it."""


class Grants(typing.Protocol):
    """Grants of the teams' upper limits to this entry VM."""

    def try_start(self, team: str) -> bool:
        """Counts one more running call of `team` if there is room."""

    def finish(self, team: str) -> None:
        """Counts one running call of `team` as ended."""
