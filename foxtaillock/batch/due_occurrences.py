"""Creates the occurrences of scheduled jobs once they are due."""

import heapq

from foxtaillock.batch import job_states

__all__ = ["DueOccurrences"]

# Tasks that one call creates at most, beyond those of the first occurrence: an
# owner that takes over may find thousands of occurrences overdue.
_MAX_TASKS = 1_000


class DueOccurrences:
    """The times at which the next occurrences of scheduled jobs are due."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, str]] = []
        self._jobs: dict[str, job_states.Job] = {}

    def add(self, job: job_states.Job) -> None:
        """Adds a job; without a further occurrence it is left out."""
        due_s = job.next_due_s
        if due_s is not None:
            self._jobs[job.spec.job_id] = job
            heapq.heappush(self._heap, (due_s, job.spec.job_id))

    def create(self, now_s: float) -> list[job_states.Occurrence]:
        """Creates occurrences that are due, the longest overdue first.

        Those beyond a number of tasks are left to the next call.
        """
        created: list[job_states.Occurrence] = []
        task_count = 0
        while self._heap and self._heap[0][0] <= now_s:
            if task_count >= _MAX_TASKS:
                break
            _, job_id = heapq.heappop(self._heap)
            job = self._jobs.pop(job_id)
            if job.is_finished:
                continue
            occurrence = job.create_next()
            created.append(occurrence)
            task_count += sum(len(step.tasks) for step in occurrence.steps)
            self.add(job)
        return created
