"""Interfaces between folds, replicas and the code that uses them."""

import typing
from collections.abc import Sequence

from foxtaillock.model import record_batches
from foxtaillock.model import records
from foxtaillock.model import verdicts

__all__ = ["Fold", "Replica"]


class Fold(typing.Protocol):
    """Deterministic state that follows from the records of one stream."""

    def apply(
        self, offset: int, batch: record_batches.Batch
    ) -> Sequence[verdicts.Verdict]:
        """Applies one batch; returns one verdict for each of its records.

        A duplicate batch gives verdicts with code `duplicate`. Uses no clock,
        no random numbers and no order of sets.
        """


class Replica(typing.Protocol):
    """Copy of one stream's state in this process, and the way to change it."""

    async def commit(
        self, record: records.Record, *, urgent: bool = False
    ) -> verdicts.Verdict:
        """Appends a record and returns the fold's verdict once it is read back.

        Records that wait at the same time are committed in one batch; urgent
        ones go first.

        Raises:
            exceptions.NotRunError: the record provably does not stand.
            exceptions.OutcomeUnknownError: it may stand, now or later.
        """

    async def catch_up(self) -> None:
        """Returns when all records that stood before the call are folded.

        Raises:
            exceptions.LogUnavailableError: the log answered so.
            exceptions.LogUnreachableError: no answer.
        """

    def age_s(self) -> float:
        """Returns how old the view is at most, in seconds.

        Counted from before the last successful tail read was sent.
        """

    def log_refused_age_s(self) -> float:
        """Returns seconds since the log last answered that it is unavailable;
        infinity if it never did since the last successful read."""

    @property
    def next_offset(self) -> int:
        """Offset of the next record to fold."""
