"""Processes of entry VMs that are killed together at steps of their work."""

import asyncio
import dataclasses
import pathlib
import random
import signal
import time
import typing

import aiohttp

from foxtaillock.batch import model
from foxtaillock.batch import records
from foxtaillock.platform.tests import entry_vm
from foxtaillock.platform.tests import fake_platform
from foxtaillock.soak import processes

__all__ = ["STEPS", "PowerLoss"]

# Steps at which all VMs are killed: before or after the store carries out an
# append, by the kind of its first record that has one.
STEPS = tuple(
    f"{when} {kind}"
    for when in ("received", "stored")
    for kind in ("job", "cancel", "compaction", "end", "owner")
)

_WORKERS = 2
_APPEND_S = 0.012
_CALL_TIMEOUT_S = 3.0
_MAX_ATTEMPTS = 8
_CHECK_INTERVAL_S = 0.5
_STEP_TIMEOUT_S = 6.0

# Restarts, leases of lost owners, claims and the work itself.
_COMPLETION_TIMEOUT_S = 40.0

# A job may be cancelled and complete at once.
_CANCEL_RACE_S = 3.0


@dataclasses.dataclass
class _Job:
    """A job as its submitter knows it."""

    job_id: str
    body: dict[str, typing.Any]
    statuses: list[int] = dataclasses.field(default_factory=list)
    is_accepted: bool = False
    cancel_sent_s: float | None = None
    end: str = ""
    end_shown_s: float = float("inf")


class PowerLoss:
    """Jobs on entry VMs that are killed together, and what is found.

    Args:
        seed: seed of the load.
        step: step at which all VMs are killed; see `STEPS`.
        folder: folder for settings and logs.
        vm_count: number of entry VMs.

    Attributes:
        findings: violations of what must hold.
        kills: number of times that all VMs were killed.
        jobs: number of submitted jobs.
    """

    def __init__(
        self, seed: int, step: str, folder: pathlib.Path, vm_count: int = 3
    ) -> None:
        self._rng = random.Random(seed)
        self._vm_count = vm_count
        self._step = step
        self._folder = folder
        self._platform = fake_platform.FakePlatform()
        self._vms: list[processes.EntryVmProcess] = []
        self._started_s: dict[str, float] = {}
        self._jobs: list[_Job] = []
        self._killed = asyncio.Event()
        self._is_armed = False
        self._session: typing.Any = None
        self.findings: list[str] = []
        self.kills = 0

    @property
    def jobs(self) -> int:
        """Number of submitted jobs."""
        return len(self._jobs)

    async def run(self, rounds: int = 2, quiet_s: float = 0.0) -> None:
        """Kills all VMs at the step, and again once the jobs have ended.

        Args:
            rounds: how often they are killed at the step; before each time but
                the first one, the owner is paused.
            quiet_s: time from the end of the jobs to a last restart of all.
        """
        await self._platform.start()
        self._platform.append_delay_s = _APPEND_S
        self._platform.on_append = self._pass
        self._platform.task_duration_s = 0.4
        self._platform.write("keyed.op", "config", entry_vm.config(3, ["k1"]))
        for number in range(_WORKERS):
            await self._platform.add_worker(f"i-{number}", "pool")
        for number in range(self._vm_count):
            self._vms.append(
                await processes.start_entry_vm(
                    f"vm-{number}",
                    self._folder,
                    self._platform.address,
                    self._rng,
                )
            )
        timeout = aiohttp.ClientTimeout(total=_CALL_TIMEOUT_S)
        connector = aiohttp.TCPConnector(force_close=True, limit=0)
        self._session = aiohttp.ClientSession(
            timeout=timeout, connector=connector
        )
        try:
            await self._play(rounds, quiet_s)
        finally:
            await self._session.close()
            for vm in self._vms:
                await vm.stop()
            await self._platform.stop()

    async def _play(self, rounds: int, quiet_s: float) -> None:
        await self._until_all_restarted()
        submits = asyncio.ensure_future(self._submit_jobs())
        checks = asyncio.ensure_future(self._check_states())
        for number in range(rounds):
            await asyncio.sleep(self._rng.uniform(1.0, 3.0))
            if number:
                await self._pause_owner()
            await self._kill_at_step()
            if self._rng.random() < 0.5:
                # Once more while the processes start.
                await asyncio.sleep(self._rng.uniform(0.3, 2.0))
                self._kill_all()
            await self._until_all_restarted()
        submits.cancel()
        await self._until_all_ended()
        await asyncio.sleep(quiet_s)
        self._kill_all()
        await self._until_all_restarted()
        await self._check_all_ends()
        checks.cancel()
        self._check_runs()

    def _pass(self, when: str, appended: list[tuple[str, bytes]]) -> None:
        kinds = {_kind(key, value) for key, value in appended}
        if self._is_armed and any(f"{when} {k}" == self._step for k in kinds):
            self._is_armed = False
            delay_s = self._rng.choice((0.0, 0.0, 0.001, 0.005, 0.03))
            if delay_s:
                loop = asyncio.get_running_loop()
                loop.call_later(delay_s, self._kill_all)
            else:
                self._kill_all()

    async def _kill_at_step(self) -> None:
        self._killed.clear()
        self._is_armed = True
        try:
            async with asyncio.timeout(_STEP_TIMEOUT_S):
                await self._killed.wait()
        except TimeoutError:
            self._is_armed = False
            self._kill_all()

    def _kill_all(self) -> None:
        for vm in self._vms:
            vm.signal(signal.SIGKILL)
        self.kills += 1
        now_s = time.monotonic()
        self._started_s = {vm.address: now_s for vm in self._vms}
        self._killed.set()

    async def _pause_owner(self) -> None:
        value = self._platform.newest("keyed.journal", "o")
        owner = None if value is None else records.decode("o", value)
        if not isinstance(owner, records.OwnerRecord):
            return
        vm = self._vms[int(owner.node.removeprefix("vm-"))]
        vm.signal(signal.SIGSTOP)
        await asyncio.sleep(self._rng.uniform(0.3, 5.0))
        vm.signal(signal.SIGCONT)

    # Submitters.

    async def _submit_jobs(self) -> None:
        async with asyncio.TaskGroup() as group:
            while True:
                job_id = f"{self._rng.getrandbits(64):016x}"
                job = _Job(job_id, self._draw_body())
                self._jobs.append(job)
                group.create_task(self._submit(job))
                await asyncio.sleep(self._rng.uniform(0.05, 0.35))

    def _draw_body(self) -> dict[str, typing.Any]:
        steps: list[dict[str, typing.Any]] = [{"count": 2, "cpu": 200}]
        if self._rng.random() < 0.3:
            steps.append({"count": 1, "cpu": 200, "depends_on": [0]})
        body: dict[str, typing.Any] = {"workload": "text", "steps": steps}
        if self._rng.random() < 0.2:
            first_ms = int(time.time() * 1000)
            body.update(times=2, first_ms=first_ms, interval_ms=3_000)
        return body

    async def _submit(self, job: _Job) -> None:
        for _ in range(_MAX_ATTEMPTS):
            # Whoever gives up in between has no answer.
            job.statuses.append(0)
            status, _ = await self._call("POST", job.job_id, job.body)
            job.statuses[-1] = status
            if status == 200:
                job.is_accepted = True
                break
            await asyncio.sleep(self._rng.uniform(0.1, 0.8))
        if job.is_accepted and self._rng.random() < 0.2:
            await asyncio.sleep(self._rng.uniform(0.0, 4.0))
            await self._call("POST", job.job_id, job.body)
        if job.is_accepted and self._rng.random() < 0.15:
            job.cancel_sent_s = time.monotonic()
            await self._call("DELETE", job.job_id)

    async def _call(
        self,
        method: str,
        job_id: str,
        body: typing.Any = None,
        address: str = "",
    ) -> tuple[int, typing.Any]:
        """Returns status and body; status 0 if there was no answer."""
        called = address or self._rng.choice(self._vms).address
        try:
            async with self._session.request(
                method,
                f"http://{called}/open/{job_id}",
                json=body,
                headers={"Host": "jobs.example"},
            ) as response:
                return response.status, await response.json()
        except (aiohttp.ClientError, OSError, TimeoutError):
            return 0, {}

    # Checks.

    async def _check_states(self) -> None:
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            for vm in self._vms:
                accepted = [job for job in self._jobs if job.is_accepted]
                await asyncio.gather(
                    *(self._check_state(job, vm.address) for job in accepted)
                )

    async def _check_state(self, job: _Job, address: str) -> str:
        sent_s, end, shown_s = time.monotonic(), job.end, job.end_shown_s
        started_s = self._started_s.get(address, 0.0)
        status, body = await self._call("GET", job.job_id, address=address)
        if status == 410:
            self._find(job, f"accepted, but answered 410 by {address}")
        state = body.get("state", "") if status == 200 else ""
        is_race = job.cancel_sent_s is not None and (
            sent_s < job.cancel_sent_s + _CANCEL_RACE_S
        )
        if not state or is_race:
            return state
        is_final = state in model.FINISHED_STATES
        if end and state != end and (is_final or started_s > shown_s):
            self._find(job, f"{end}, then {state} at {address}")
        if not job.end and is_final:
            job.end, job.end_shown_s = state, time.monotonic()
        return state

    def _find(self, job: _Job, what: str) -> None:
        self.findings.append(f"{job.job_id}: {what}")

    async def _until_all_ended(self) -> None:
        try:
            async with asyncio.timeout(_COMPLETION_TIMEOUT_S):
                while any(
                    job.is_accepted and not job.end for job in self._jobs
                ):
                    await asyncio.sleep(0.1)
        except TimeoutError:
            for job in self._jobs:
                if job.is_accepted and not job.end:
                    self._find(job, "accepted, but no end")

    async def _until_all_restarted(self) -> None:
        """Waits until each VM answers calls for states again."""
        async with asyncio.timeout(_COMPLETION_TIMEOUT_S):
            for vm in self._vms:
                while (await self._call("GET", "", address=vm.address))[
                    0
                ] != 200:
                    await asyncio.sleep(0.1)

    async def _check_all_ends(self) -> None:
        """Checks each job at each VM after the last restart."""
        for job in self._jobs:
            if not job.is_accepted:
                continue
            for vm in self._vms:
                state = await self._check_state(job, vm.address)
                if state not in model.FINISHED_STATES:
                    self._find(job, f"{state!r} after the restart")
                elif state != "completed" and job.cancel_sent_s is None:
                    self._find(job, f"ended as {state}")

    def _check_runs(self) -> None:
        began_s: dict[str, float] = {}
        for worker in self._platform.workers.values():
            for run in worker.history:
                job_id = run.task.job_id
                began_s[job_id] = max(began_s.get(job_id, 0.0), run.began_s)
        for job in self._jobs:
            last_s = began_s.get(job.job_id)
            if last_s is None:
                continue
            if last_s > job.end_shown_s + 1.0:
                self._find(job, "ran after its end")
            if set(job.statuses) == {503}:
                self._find(job, "refused, but it ran")


def _kind(key: str, value: bytes) -> str:
    if key[:1] == "j":
        decoded = records.decode(key, value) if value else None
        has_steps = isinstance(decoded, model.JobSpec) and decoded.steps
        return "job" if has_steps else "compaction"
    return {"c": "cancel", "e": "end", "o": "owner"}.get(key[:1], "")
