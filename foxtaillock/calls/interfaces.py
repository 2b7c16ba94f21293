"""Interfaces that the call service depends on."""

import dataclasses
import typing

__all__ = [
    "AlreadyClaimed",
    "ClaimRefused",
    "ClaimResult",
    "ClaimWon",
    "Claims",
    "Grants",
]


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimWon:
    """The claim was granted to this request, which may run."""


@dataclasses.dataclass(frozen=True, slots=True)
class AlreadyClaimed:
    """An earlier request holds the claim.

    Attributes:
        outcome: outcome tag of that request; `unknown` until it has ended.
    """

    outcome: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRefused:
    """The claim was refused; nothing may be sent to a runner.

    Attributes:
        code: stable code of the reason.
    """

    code: str


ClaimResult = ClaimWon | AlreadyClaimed | ClaimRefused


class Claims(typing.Protocol):
    """Claims of non-idempotent calls."""

    async def claim(
        self, service: str, team: str, idempotency_key: str, request_id: str
    ) -> ClaimResult:
        """Claims the only run allowed for `idempotency_key`."""

    async def end(
        self,
        service: str,
        team: str,
        idempotency_key: str,
        request_id: str,
        outcome: str,
    ) -> None:
        """Records the outcome of a claimed call.

        The outcome `not-run` releases the claim.
        """


class Grants(typing.Protocol):
    """This entry VM's grants, each a part of a team's upper limit."""

    def try_start(self, team: str) -> bool:
        """Counts one more running call of `team` if its grant allows it."""

    def finish(self, team: str) -> None:
        """Counts one running call of `team` as ended."""
