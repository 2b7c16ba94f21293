"""Interfaces of folds and replicas."""

import typing
from collections.abc import Sequence

from foxtaillock.model import record_batches
from foxtaillock.model import records
from foxtaillock.model import verdicts

__all__ = ["Fold", "Replica"]


class Fold(typing.Protocol):
    """State that is a deterministic function of one stream's records."""

    def apply(
        self, offset: int, batch: record_batches.RecordBatch
    ) -> Sequence[verdicts.Verdict]:
        """Applies one batch; returns one verdict for each of its records.

        The verdicts on a duplicate batch have the code `duplicate`. Must not
        depend on clocks, random numbers or the iteration order of sets.
        """


class Replica(typing.Protocol):
    """Local copy of one stream's state that can append to the stream."""

    async def commit(
        self, record: records.Record, *, urgent: bool = False
    ) -> verdicts.Verdict:
        """Appends a record and returns the fold's verdict once it is read back.

        Records that wait at the same time are committed in one batch, urgent
        ones first.

        Raises:
            exceptions.NotRunError: the record was not appended and won't be.
            exceptions.OutcomeUnknownError: the record may have been appended
                or may still be.
        """

    async def catch_up(self) -> None:
        """Waits until all records stored before the call are folded.

        Raises:
            exceptions.LogUnavailableError: the log refused the request.
            exceptions.LogUnreachableError: the log did not answer.
        """

    def age_s(self) -> float:
        """Returns the upper bound of the view's age, in seconds.

        Measured from when the last successful tail read was sent.
        """

    def log_refusal_age_s(self) -> float:
        """Returns the time in seconds since the log's last refusal.

        The log refuses a request by answering that it is unavailable. Infinite
        if it has not since the last successful read.
        """

    @property
    def next_offset(self) -> int:
        """Offset of the next record to fold."""
