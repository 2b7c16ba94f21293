"""Cancellations of jobs whose submission was not stored when they came.

A submission without an answer may be stored seconds later. Its submitter may
give the job up meanwhile, and is told that there is none. That answer is a
promise, so it is recorded, for every entry VM and for every owner.
"""

import collections
from collections.abc import Iterator

from foxtaillock.batch import model
from foxtaillock.batch import records

__all__ = ["EarlyCancellations"]

# Anybody may cancel ids that never existed, so their number is bounded: in all,
# and for each submitter, so that one takes no room from the others.
_MAX_RECORDS = 20_000
_MAX_SCOPE_RECORDS = 5_000


class EarlyCancellations:
    """The early cancellations that the submissions hold, by job and key."""

    def __init__(self) -> None:
        self._by_job: dict[str, dict[str, records.EarlyCancellation]] = {}
        self._counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    def __len__(self) -> int:
        return self._counts.total()

    def __iter__(self) -> Iterator[records.EarlyCancellation]:
        for by_key in self._by_job.values():
            yield from by_key.values()

    def has_room_for(self, early: records.EarlyCancellation) -> bool:
        """Returns whether one more may be recorded."""
        count = self._counts[early.team, early.open_queue]
        return count < _MAX_SCOPE_RECORDS and len(self) < _MAX_RECORDS

    def contains(self, early: records.EarlyCancellation) -> bool:
        """Returns whether the same submitter has cancelled the job before."""
        key = records.encode(early).key
        return key in self._by_job.get(early.job_id, {})

    def of_job(self, job_id: str) -> list[records.EarlyCancellation]:
        """Returns those of a job, by whichever submitter."""
        return list(self._by_job.get(job_id, {}).values())

    def find(self, spec: model.JobSpec) -> records.EarlyCancellation | None:
        """Returns one that covers a job, or None."""
        for early in self._by_job.get(spec.job_id, {}).values():
            if early.applies_to(spec):
                return early
        return None

    def add(self, early: records.EarlyCancellation) -> None:
        """Adds one; a repeat replaces it."""
        if not self.contains(early):
            self._counts[early.team, early.open_queue] += 1
        key = records.encode(early).key
        self._by_job.setdefault(early.job_id, {})[key] = early

    def remove(self, key: str) -> None:
        """Removes one by the key of its record."""
        job_id = key[1:].split(".", 1)[0]
        by_key = self._by_job.get(job_id, {})
        early = by_key.pop(key, None)
        if early is None:
            return
        self._counts[early.team, early.open_queue] -= 1
        if not by_key:
            del self._by_job[job_id]
