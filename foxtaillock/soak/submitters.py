"""Submitters that hand jobs in, cancel them and ask for their states."""

import asyncio
import dataclasses
import random
import time
import typing
from collections.abc import Sequence

import aiohttp

__all__ = ["KEY", "SentJob", "Submitters"]

KEY = "key-1"

_HOST = "jobs.example"
_DEADLINE_S = 3.0
_MOST_RETRIES = 4
_RETRY_S = 0.3
_CANCELLED_FRACTION = 0.15
_SUCCESS = range(200, 300)

# The platform's meaning of an answer to a submission.
_NOT_ACCEPTED = (429, 503)


@dataclasses.dataclass
class SentJob:
    """A job as its submitter knows it.

    Attributes:
        path: where it was handed in.
        steps: number of tasks of each step; each step follows the one before.
        accepted_s: when it was accepted; None if it never was.
        statuses: status of each try; 0 for none.
        cancelled_s: when its cancelling was acknowledged; None if never.
        was_cancel_sent: whether its cancelling was asked for.
        denied: answers that said that an accepted job does not exist.
    """

    path: str
    steps: tuple[int, ...]
    accepted_s: float | None = None
    statuses: list[int] = dataclasses.field(default_factory=list)
    cancelled_s: float | None = None
    was_cancel_sent: bool = False
    denied: int = 0

    @property
    def job_id(self) -> str:
        """Its id."""
        return self.path.rsplit("/", 1)[1]

    @property
    def is_refused(self) -> bool:
        """Whether all tries were answered that it was not accepted."""
        return bool(self.statuses) and all(
            status in _NOT_ACCEPTED for status in self.statuses
        )


class Submitters:
    """All submitters of one soak, on connections that they keep open.

    Args:
        addresses: entry VMs.
        rng: source of what they do.

    Attributes:
        jobs: jobs that were handed in, by id.
        key_uses: when calls with the key succeeded, by the time of sending.
    """

    def __init__(self, addresses: Sequence[str], rng: random.Random) -> None:
        self._addresses = list(addresses)
        self._rng = rng
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=_DEADLINE_S)
        )
        self.jobs: dict[str, SentJob] = {}
        self.key_uses: list[float] = []

    async def close(self) -> None:
        """Closes their connections."""
        await self._session.close()

    async def run(self, duration_s: float, pause_s: float) -> None:
        """Hands jobs in for a while, and waits until each try has ended."""
        running: list[asyncio.Task[None]] = []
        until_s = time.monotonic() + duration_s
        while time.monotonic() < until_s:
            await asyncio.sleep(self._rng.uniform(0, 2 * pause_s))
            running.append(asyncio.ensure_future(self._hand_in()))
        await asyncio.gather(*running)

    async def state(self, job: SentJob) -> str:
        """Returns the state of a job as any VM tells it; empty if none."""
        status, body = await self._call("GET", job.path)
        if status == 410 and job.accepted_s is not None:
            job.denied += 1
        return str(body.get("state", "")) if status == 200 else ""

    async def _hand_in(self) -> None:
        prefix = self._rng.choice(("/open/", "/keyed/"))
        path = f"{prefix}{self._rng.getrandbits(64):016x}"
        steps = tuple(
            self._rng.randint(1, 3) for _ in range(self._rng.randint(1, 2))
        )
        job = SentJob(path, steps)
        self.jobs[job.job_id] = job
        for _ in range(1 + _MOST_RETRIES):
            status, _ = await self._call("POST", path, _body(job))
            job.statuses.append(status)
            if status in _SUCCESS:
                job.accepted_s = time.monotonic()
                break
            await asyncio.sleep(self._rng.uniform(0, 2 * _RETRY_S))
        if job.accepted_s is None:
            return
        await asyncio.sleep(self._rng.uniform(0.0, 1.0))
        if self._rng.random() < _CANCELLED_FRACTION:
            await self._cancel(job)
        else:
            await self.state(job)

    async def _cancel(self, job: SentJob) -> None:
        job.was_cancel_sent = True
        for _ in range(1 + _MOST_RETRIES):
            status, _ = await self._call("DELETE", job.path)
            if status in _SUCCESS:
                job.cancelled_s = time.monotonic()
                return
            await asyncio.sleep(self._rng.uniform(0, 2 * _RETRY_S))

    async def _call(
        self, method: str, path: str, body: typing.Any = None
    ) -> tuple[int, dict[str, typing.Any]]:
        """Calls any entry VM; returns status and body, or 0."""
        sent_s = time.monotonic()
        headers = {"Host": _HOST}
        if path.startswith("/keyed/"):
            headers["Authorization"] = f"Bearer {KEY}"
        url = f"http://{self._rng.choice(self._addresses)}{path}"
        try:
            async with self._session.request(
                method, url, json=body, headers=headers
            ) as response:
                is_json = response.content_type == "application/json"
                content = await response.json() if is_json else {}
        except (aiohttp.ClientError, OSError, TimeoutError):
            return 0, {}
        if response.status in _SUCCESS and path.startswith("/keyed/"):
            self.key_uses.append(sent_s)
        return response.status, content


def _body(job: SentJob) -> dict[str, typing.Any]:
    steps: list[dict[str, typing.Any]] = []
    for number, count in enumerate(job.steps):
        step: dict[str, typing.Any] = {
            "count": count,
            "cpu": 900,
            "mem_mb": 64,
            "estimate_ms": 300,
        }
        if number:
            step["depends_on"] = [number - 1]
        steps.append(step)
    return {"workload": job.job_id, "steps": steps}
