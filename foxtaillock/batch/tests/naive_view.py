"""Reference view of the journal that keeps and rescans every record."""

from foxtaillock.batch import model
from foxtaillock.batch import records

__all__ = ["NaiveView"]


class NaiveView:
    """Reference implementation of `JournalView`."""

    def __init__(self) -> None:
        self._records: list[tuple[int, records.KeyedRecord]] = []

    def apply(self, offset: int, keyed: records.KeyedRecord) -> None:
        """Adds a record."""
        self._records.append((offset, keyed))

    def _newest(self) -> dict[str, records.Record]:
        newest: dict[str, records.KeyedRecord] = {}
        for _, keyed in sorted(self._records, key=lambda each: each[0]):
            newest[keyed.key] = keyed
        found = {}
        for key, keyed in newest.items():
            record = records.decode(*keyed) if keyed.value else None
            if record is not None:
                found[key] = record
        return found

    def state(self, job_id: str) -> str | None:
        """Returns a job's state, or None."""
        newest = self._newest()
        if "j" + job_id not in newest:
            return None
        end = newest.get("e" + job_id)
        if isinstance(end, records.JobEnd):
            return end.state
        if self._is_cancelled(job_id):
            return "cancelled"
        has_begun = any(
            isinstance(each, records.StepProgress)
            and each.step_id.job_id == job_id
            for each in newest.values()
        )
        return "running" if has_begun else "queued"

    def waiting_count(self, queue: str) -> int:
        """Returns the number of a queue's jobs of which no task has started."""
        newest = self._newest()
        return sum(
            1
            for record in newest.values()
            if isinstance(record, model.JobSpec)
            and record.queue == queue
            and "e" + record.job_id not in newest
            and not self._is_cancelled(record.job_id)
            and not self._has_started_task(record.job_id)
        )

    def _is_cancelled(self, job_id: str) -> bool:
        newest = self._newest()
        spec = newest["j" + job_id]
        assert isinstance(spec, model.JobSpec)
        return "c" + job_id in newest or any(
            isinstance(each, records.EarlyCancellation)
            and each.job_id == job_id
            and (each.team == spec.team or each.open_queue == spec.queue)
            for each in newest.values()
        )

    def _has_started_task(self, job_id: str) -> bool:
        progress = [
            each
            for each in self._newest().values()
            if isinstance(each, records.StepProgress)
            and each.step_id.job_id == job_id
        ]
        rows = [row for each in progress for row in each.tasks]
        return (
            any(int.from_bytes(each.done, "little") for each in progress)
            or any(row.worker_id != "" for row in rows)
            or any(row.failures > 0 for row in rows)
            or any(row.checkpoint != "" for row in rows)
        )
