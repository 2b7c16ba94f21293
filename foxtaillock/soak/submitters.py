"""Load generator that submits jobs, cancels them and reads their states."""

import asyncio
import dataclasses
import random
import time
import typing
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Sequence

import aiohttp

from foxtaillock.batch import model
from foxtaillock.soak import job_kinds

__all__ = ["KEY", "SubmittedJob", "Submitters"]

KEY = "key-1"

_HOST_HEADER = "jobs.example"
_REQUEST_TIMEOUT_S = 3.0
_MAX_RETRIES = 4
_MEAN_RETRY_DELAY_S = 0.3
_CANCEL_PROBABILITY = 0.15
_SUCCESS_STATUSES = range(200, 300)
_GONE = 410

# Part of the submissions without an answer that are given up and cancelled.
_GIVE_UP_PROBABILITY = 0.3

# Part of the cancellations beside which a retry of the submission arrives.
_LATE_RETRY_PROBABILITY = 0.5

# Persistent jobs that run at the same time.
_MAX_PERSISTENT_JOBS = 3

_MAX_ESTIMATE_MS = 1_000

# Statuses that tell the submitter that its job was not accepted.
_NOT_ACCEPTED_STATUSES = (429, 503)


@dataclasses.dataclass
class SubmittedJob:
    """Job as its submitter knows it.

    Attributes:
        path: path that it was submitted to.
        plan: what was submitted.
        submitted_s: time of its first submission.
        submitted_ms: the same time on the wall clock.
        accepted_s: time of its acceptance, or None.
        statuses: HTTP status of each submission attempt; 0 without an answer.
        cancelled_s: time at which its cancellation was acknowledged, or None.
        was_cancel_requested: whether its cancellation was requested.
        gone_answer_count: number of answers 410 (gone) after the job was
            accepted.
    """

    path: str
    plan: job_kinds.JobPlan
    submitted_s: float = 0.0
    submitted_ms: int = 0
    accepted_s: float | None = None
    statuses: list[int] = dataclasses.field(default_factory=list)
    cancelled_s: float | None = None
    was_cancel_requested: bool = False
    gone_answer_count: int = 0

    @property
    def job_id(self) -> str:
        """Id of the job."""
        return self.path.rsplit("/", 1)[1]

    @property
    def step_counts(self) -> tuple[int, ...]:
        """Number of tasks of each step."""
        return tuple(step.task_count for step in self.plan.steps)

    @property
    def settled_states(self) -> frozenset[str]:
        """States in which the job remains, as it should or not."""
        states = {str(self.plan.end_state), str(model.JobState.FAILED)}
        if self.was_cancel_requested:
            states.add(model.JobState.CANCELLED)
        return frozenset(states)

    @property
    def persistent_tasks(self) -> set[model.TaskId]:
        """Tasks that have to run until the job is cancelled."""
        if self.accepted_s is None or self.was_cancel_requested:
            return set()
        return {
            model.TaskId(self.job_id, 0, step_number, number)
            for step_number, step in enumerate(self.plan.steps)
            for number in range(step.task_count)
            if step.is_persistent
        }

    def due_s(self, occurrence: int) -> float:
        """Returns the time at which an occurrence is due."""
        if not self.plan.occurrences:
            return self.submitted_s
        delay_s = self.plan.first_delay_s
        return self.submitted_s + delay_s + occurrence * self.plan.interval_s

    @property
    def is_refused(self) -> bool:
        """Whether all attempts were answered as not accepted."""
        return bool(self.statuses) and all(
            status in _NOT_ACCEPTED_STATUSES for status in self.statuses
        )


class Submitters:
    """Submitters of one soak test; they share persistent connections.

    Args:
        addresses: addresses of the entry VMs.
        rng: source of their random choices.
        kind_names: names of the kinds of jobs that they submit.
        draw: draws a job of one of the kinds named.

    Attributes:
        jobs: submitted jobs by id.
        key_use_times_s: times at which the successful requests with the key
            were sent.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        rng: random.Random,
        kind_names: Collection[str] = job_kinds.KINDS.keys(),
        draw: Callable[
            [Collection[str], random.Random], job_kinds.JobPlan
        ] = job_kinds.draw,
    ) -> None:
        self._addresses = list(addresses)
        self._rng = rng
        self._kind_names = kind_names
        self._draw = draw
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=_REQUEST_TIMEOUT_S)
        )
        self.jobs: dict[str, SubmittedJob] = {}
        self.key_use_times_s: list[float] = []

    async def close(self) -> None:
        """Closes the connections."""
        await self._session.close()

    async def run(self, duration_s: float, mean_pause_s: float) -> None:
        """Submits jobs for `duration_s` and waits for their last requests."""
        tasks: list[asyncio.Task[None]] = []
        end_s = time.monotonic() + duration_s
        while time.monotonic() < end_s:
            await asyncio.sleep(self._rng.uniform(0, 2 * mean_pause_s))
            tasks.append(asyncio.ensure_future(self._submit_job()))
        await asyncio.gather(*tasks)

    async def state(self, job: SubmittedJob) -> str:
        """Reads the state of a job from a random VM; empty if unknown."""
        status, body = await self._send_request("GET", job.path)
        if status == _GONE and job.accepted_s is not None:
            job.gone_answer_count += 1
        return str(body.get("state", "")) if status == 200 else ""

    async def known_state(self, job: SubmittedJob) -> str:
        """Reads a state, with retries; empty if no VM knows it."""
        for _ in range(1 + _MAX_RETRIES):
            state = await self.state(job)
            if state:
                return state
        return ""

    async def _submit_job(self) -> None:
        prefix = self._rng.choice(("/open/", "/keyed/"))
        path = f"{prefix}{self._rng.getrandbits(64):016x}"
        plan = self._draw_plan()
        job = SubmittedJob(
            path, plan, time.monotonic(), int(time.time() * 1000)
        )
        self.jobs[job.job_id] = job
        for _ in range(1 + _MAX_RETRIES):
            status, _ = await self._send_request("POST", path, _job_body(job))
            job.statuses.append(status)
            if status in _SUCCESS_STATUSES:
                job.accepted_s = time.monotonic()
                break
            if not status and self._rng.random() < _GIVE_UP_PROBABILITY:
                # Its submission may be on its way.
                await self._cancel(job)
                return
            await asyncio.sleep(self._rng.uniform(0, 2 * _MEAN_RETRY_DELAY_S))
        if job.accepted_s is None:
            return
        await asyncio.sleep(self._rng.uniform(0.0, 1.0))
        if self._rng.random() < _CANCEL_PROBABILITY:
            await self._cancel(job)
        else:
            await self.state(job)

    def find_step(self, task: model.TaskId) -> job_kinds.StepPlan | None:
        """Returns the step of a task, or None if nobody submitted it."""
        job = self.jobs.get(task.job_id)
        if job is None or task.step >= len(job.plan.steps):
            return None
        return job.plan.steps[task.step]

    def _draw_plan(self) -> job_kinds.JobPlan:
        """Draws a job; the persistent ones leave capacity for others."""
        names = set(self._kind_names)
        running = [
            job
            for job in self.jobs.values()
            if job.plan.end_state is model.JobState.RUNNING
            and not job.was_cancel_requested
        ]
        if len(running) >= _MAX_PERSISTENT_JOBS:
            names -= {"persistent"}
        return self._draw(names or self._kind_names, self._rng)

    async def _cancel(self, job: SubmittedJob) -> None:
        job.was_cancel_requested = True
        if self._rng.random() < _LATE_RETRY_PROBABILITY:
            # A retry that was on its way for long arrives beside it.
            retry = self._send_request("POST", job.path, _job_body(job))
            await asyncio.gather(retry, self._send_cancellations(job))
        else:
            await self._send_cancellations(job)

    async def _send_cancellations(self, job: SubmittedJob) -> None:
        for _ in range(1 + _MAX_RETRIES):
            status, _ = await self._send_request("DELETE", job.path)
            is_unknown = status == _GONE and job.accepted_s is None
            if status in _SUCCESS_STATUSES or is_unknown:
                job.cancelled_s = time.monotonic()
                return
            await asyncio.sleep(self._rng.uniform(0, 2 * _MEAN_RETRY_DELAY_S))

    async def _send_request(
        self, method: str, path: str, body: typing.Any = None
    ) -> tuple[int, dict[str, typing.Any]]:
        """Sends a request to a random entry VM.

        Returns:
            Status and JSON body; status 0 if there was no answer.
        """
        sent_s = time.monotonic()
        headers = {"Host": _HOST_HEADER}
        if path.startswith("/keyed/"):
            headers["Authorization"] = f"Bearer {KEY}"
        url = f"http://{self._rng.choice(self._addresses)}{path}"
        try:
            async with self._session.request(
                method, url, json=body, headers=headers
            ) as response:
                is_json = response.content_type == "application/json"
                answer = await response.json() if is_json else {}
        except (aiohttp.ClientError, OSError, TimeoutError):
            return 0, {}
        if response.status in _SUCCESS_STATUSES and path.startswith("/keyed/"):
            self.key_use_times_s.append(sent_s)
        return response.status, answer


def _job_body(job: SubmittedJob) -> dict[str, typing.Any]:
    steps = [
        _step_body(step, number) for number, step in enumerate(job.plan.steps)
    ]
    body: dict[str, typing.Any] = {"workload": job.job_id, "steps": steps}
    if job.plan.occurrences:
        body["times"] = job.plan.occurrences
        body["first_ms"] = job.submitted_ms + int(job.plan.first_delay_s * 1000)
        body["interval_ms"] = int(job.plan.interval_s * 1000)
    return body


def _step_body(step: job_kinds.StepPlan, number: int) -> dict[str, typing.Any]:
    body = {
        "count": step.task_count,
        "cpu": step.cpu_millis,
        "mem_mb": 64,
        "estimate_ms": min(_MAX_ESTIMATE_MS, int(step.run_s * 1000)),
        "depends_on": [number - 1] if number else [],
        "persistent": step.is_persistent,
        "gang": step.is_gang,
        "speculative": step.is_speculative,
        "may_miss": step.max_unavailable,
        "max_per_server": step.max_per_worker,
    }
    # Fields without a value are omitted.
    return {name: value for name, value in body.items() if value}
