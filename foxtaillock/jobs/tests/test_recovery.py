"""Seeded schedules in which owners are killed or paused at every step."""

import asyncio
import collections
import contextlib
import random
import unittest
import unittest.mock

import loguru

from foxtaillock import exceptions
from foxtaillock.jobs import attempts
from foxtaillock.jobs import dispatch
from foxtaillock.jobs import job as jobs_job
from foxtaillock.jobs import results
from foxtaillock.jobs import supervisor
from foxtaillock.jobs.tests import fake_log
from foxtaillock.jobs.tests import fake_workers
from foxtaillock.jobs.tests import fakes
from foxtaillock.model import outcomes

_SCHEDULES = 200
_TURN_S = 0.5
_LEASE_S = 8.0
_LIMIT = 4
_POINTS = (
    "before PoolEpochRaised is recorded",
    "after PoolEpochRaised is recorded",
    "before JobAccepted is recorded",
    "after JobAccepted is recorded",
    "before AttemptStarted is recorded",
    "after AttemptStarted is recorded",
    "before the order is sent",
    "after the order was taken",
    "before a report",
    "before a renewal",
    "after a renewal",
    "before AttemptEnded is recorded",
    "after AttemptEnded is recorded",
    "before ended tasks are forgotten",
)


class _Process:
    """One entry VM that owns the pool for some time."""

    def __init__(self, site: fakes.Site, gate: fake_log.Gate) -> None:
        self._site = site
        self.gate = gate
        self.lease_end_s = 0.0
        self.renew()
        self.owner = site.owner(self.gate, lambda: self.lease_end_s)
        self._replica = site.replica
        self._start: asyncio.Task[None] | None = None
        self._has_started = False

    def renew(self) -> None:
        """Renews the lease of the pool, unless it is over."""
        now_s = self._site.clock.monotonic_s()
        is_over = 0 < self.lease_end_s <= now_s
        if not self.gate.held and not is_over:
            self.lease_end_s = now_s + _LEASE_S

    def turn(self) -> None:
        """Follows the log, and starts or drives the owner."""
        if self.gate.held:
            return
        self._replica.fold()
        if self._start is None or self._start.done():
            if not self._has_started:
                self._start = asyncio.create_task(self._try_start())
        self.owner.step()

    async def _try_start(self) -> None:
        with contextlib.suppress(
            exceptions.NotRunError, exceptions.OutcomeUnknownError
        ):
            await self.owner.start()
            self._has_started = True


class _Schedule:
    """One seeded run; collects what went wrong in `faults`."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.site = fakes.Site(workers=3, limit=_LIMIT)
        self.accepted: dict[str, bool] = {}
        self.refused_payloads: set[str] = set()
        self.faults: list[str] = []
        self.points: collections.Counter[str] = collections.Counter()
        self.states: collections.Counter[str] = collections.Counter()
        self._zombies: list[_Process] = []

    async def run(self) -> None:
        """Runs with faults, then without until all is settled."""
        current = await self._take_over(faulty=True)
        for step in range(140):
            if step == 110:
                self._heal(current)
            await self._turn(current, busy=step < 90)
            now_s = self.site.clock.monotonic_s()
            if now_s > current.lease_end_s + 1.0:
                self.points[current.gate.point] += 1
                self._zombies.append(current)
                current = await self._take_over(faulty=step < 80)
        for _ in range(60):
            self.site.workers.finish()
            await self._turn(current, busy=False)
        self._check_end(current)
        await _end_other_tasks()

    async def _take_over(self, faulty: bool) -> _Process:
        point = self.rng.choice(_POINTS) if faulty else ""
        gate = fake_log.Gate(point, self.rng.randrange(6))
        process = _Process(self.site, gate)
        process.turn()
        await _let_run()
        return process

    async def _turn(self, current: _Process, busy: bool) -> None:
        site = self.site
        site.clock.advance(_TURN_S)
        current.renew()
        if busy and self.rng.random() < 0.3:
            asyncio.create_task(self._submit(current))
        if self.rng.random() < 0.15:
            self._end_one_task()
        if busy:
            self._disturb()
        site.workers.stop_lapsed()
        current.owner.update_workers(list(site.workers.vms.values()))
        current.turn()
        for zombie in self._zombies:
            if zombie.gate.held and self.rng.random() < 0.05:
                zombie.gate.resume()
            zombie.turn()
        await _let_run()
        self._check_limit()

    async def _submit(self, process: _Process) -> None:
        idempotent = self.rng.random() < 0.4
        spec = fakes.spec(idempotent=idempotent)
        payload = f"p{self.rng.getrandbits(40)}"
        spec = spec._replace(payload=payload)
        result = await process.owner.submit(spec, "nesting", "k")
        if isinstance(result, results.Submitted):
            self.accepted[result.job_id] = idempotent
        elif isinstance(result, outcomes.NotRun):
            self.refused_payloads.add(payload)

    def _end_one_task(self) -> None:
        running = self.site.workers.running()
        if running:
            state = "succeeded" if self.rng.random() < 0.8 else "failed"
            self.site.workers.end(self.rng.choice(running), state)

    def _disturb(self) -> None:
        site, rng = self.site, self.rng
        name = f"w{rng.randrange(3)}"
        if rng.random() < 0.02:
            site.workers.replace(name)
        if rng.random() < 0.03:
            site.workers.silent ^= {name}
        if rng.random() < 0.05:
            site.workers.faults.append(
                rng.choice(("lost-answer", "lost-request", "late"))
            )
        if rng.random() < 0.05:
            site.workers.deliver_late()
        if rng.random() < 0.05:
            site.log.faults.append(
                rng.choice(("lost-answer", "lost-request", "late"))
            )
        if rng.random() < 0.03:
            site.log.down = not site.log.down

    def _heal(self, current: _Process) -> None:
        current.gate.point = ""
        self.site.workers.silent.clear()
        self.site.workers.faults.clear()
        self.site.workers.deliver_late()
        self.site.log.faults.clear()
        self.site.log.down = False

    def _check_limit(self) -> None:
        running = len(self.site.workers.running())
        if running > _LIMIT:
            self.faults.append(f"{running} run, limit is {_LIMIT}")

    def _check_end(self, current: _Process) -> None:
        runs: collections.Counter[str] = collections.Counter()
        payloads = set()
        for task_id, count in self.site.workers.runs.items():
            runs[task_id.rpartition(".")[0]] += count
            payloads.add(self.site.workers.order_of[task_id].payload)
        for job_id, idempotent in self.accepted.items():
            view = current.owner.job(job_id)
            if view is None:
                self.faults.append(f"{job_id} is lost")
            elif view.state not in jobs_job.FINISHED:
                self.faults.append(f"{job_id} is still {view.state}")
            else:
                self.states[view.state] += 1
            if not idempotent and runs[job_id] > 1:
                self.faults.append(f"{job_id} ran {runs[job_id]} times")
            if view and view.state == "done" and not runs[job_id]:
                self.faults.append(f"{job_id} is done and never ran")
        if self.refused_payloads & payloads:
            self.faults.append("a refused job ran")


async def _end_other_tasks() -> None:
    others = asyncio.all_tasks() - {asyncio.current_task()}
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)


async def _let_run() -> None:
    for _ in range(30):
        await asyncio.sleep(0)


def _run_schedule(seed: int) -> _Schedule:
    schedule = _Schedule(seed)
    asyncio.run(schedule.run())
    return schedule


def _finds(text: str) -> bool:
    """Returns whether some schedule shows a fault with `text`."""
    for seed in range(_SCHEDULES):
        if any(text in fault for fault in _run_schedule(seed).faults):
            return True
    return False


class RecoveryTest(unittest.TestCase):

    def setUp(self) -> None:
        loguru.logger.disable("foxtaillock")
        self.addCleanup(loguru.logger.enable, "foxtaillock")

    def test_no_job_is_lost_and_none_runs_twice(self) -> None:
        faults: list[str] = []
        points: collections.Counter[str] = collections.Counter()
        accepted = 0
        for seed in range(_SCHEDULES):
            schedule = _run_schedule(seed)
            faults.extend(f"seed {seed}: {text}" for text in schedule.faults)
            points.update(schedule.points)
            accepted += len(schedule.accepted)
        self.assertEqual(faults, [])
        self.assertGreater(accepted, 1000)
        for point in _POINTS:
            self.assertGreater(points[point], 0, point)

    def test_schedules_find_a_missing_fence(self) -> None:
        original = fake_workers.FakeWorkers.__init__

        def _unfenced(
            self: fake_workers.FakeWorkers, *arguments: object
        ) -> None:
            original(self, *arguments)  # type: ignore[arg-type]
            self.is_fenced = False

        with unittest.mock.patch.object(
            fake_workers.FakeWorkers, "__init__", _unfenced
        ):
            self.assertTrue(_finds("times"))

    def test_schedules_find_dispatch_before_record(self) -> None:
        async def _no_record(*_: object) -> bool:
            return True

        with unittest.mock.patch.object(
            dispatch.Dispatcher, "_record", _no_record
        ):
            self.assertTrue(_finds("times"))

    def test_schedules_find_a_hasty_judgement(self) -> None:
        with unittest.mock.patch.object(
            supervisor.Supervisor, "_judge_absent", _end_not_run
        ):
            self.assertTrue(_finds("times"))


def _end_not_run(
    self: supervisor.Supervisor, attempt: attempts.Attempt, *_: object
) -> None:
    context = self._context  # pylint: disable=protected-access
    context.end(attempt, context.ended(attempt, "not-run", "hasty"))
