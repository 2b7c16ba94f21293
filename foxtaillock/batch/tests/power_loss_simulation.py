"""Entry VMs that lose power together, in schedules with virtual time.

The VMs are whole nodes with an owner among them; the store, the workers and
the submitters are simulated. A naive model of each job tells what must hold.
"""

import asyncio
import dataclasses
import random
import typing
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Sequence

from foxtaillock.batch import call_handler
from foxtaillock.batch import model
from foxtaillock.batch import outcomes
from foxtaillock.batch import records
from foxtaillock.batch.tests import builders
from foxtaillock.batch.tests import fake_worker
from foxtaillock.batch.tests import faulty_store
from foxtaillock.batch.tests import simulated_vm
from foxtaillock.state.tests import virtual_loop

__all__ = [
    "PowerLossSimulation",
    "Schedule",
    "SubmittedJob",
]

_T = typing.TypeVar("_T")

_VMS = 3
_WORKERS = 2
_MAX_ATTEMPTS = 5
_CHECK_INTERVAL_S = 0.3
_RESTART_DELAY_S = (0.1, 0.8)

# From the platform's rules: how long after its acceptance a job may be unknown
# to a VM, for how long its end can be asked for, and how long after the last
# fault it may take to end.
VISIBLE_S = 3.0
STATUS_S = 120.0
FINISH_S = 14.0

# Leases of lost owners and claims come before the work itself.
_RECOVERY_S = 12.0

# A job may be cancelled and complete at once; which of the two counts is known
# once records that were delayed by the store are there.
_CANCEL_RACE_S = 15.0

# Time after the last start of a VM at which ended jobs are erased, with an
# allowance: the retention of a cancelled job begins anew with each owner.
_ERASED_S = 175.0


class Schedule(typing.NamedTuple):
    """Times of one schedule, in seconds.

    Attributes:
        chaos_s: time during which faults happen and jobs are submitted.
        later_s: times, counted from the end of the faults, at which all VMs
            lose power again.
        total_s: time from the end of the faults to the end of the checks.
    """

    chaos_s: float
    later_s: tuple[float, ...]
    total_s: float


@dataclasses.dataclass
class SubmittedJob:
    """A job as its submitter knows it.

    Attributes:
        job_id: its id.
        spec: what it asks for.
        answers: kinds of the answers to its submissions.
        accepted_s: time of the first answer that it is accepted.
        cancel_sent_s: time at which a cancellation was sent; None if none was.
        end: its final state, once one was shown.
        end_shown_s: time of the answer that showed it.
    """

    job_id: str
    spec: model.JobSpec
    answers: list[str] = dataclasses.field(default_factory=list)
    accepted_s: float | None = None
    cancel_sent_s: float | None = None
    end: model.JobState | None = None
    end_shown_s: float = float("inf")


class PowerLossSimulation:
    """One schedule of faults, and the violations that it shows.

    Args:
        seed: seed of the schedule.
        schedule: its times.

    Attributes:
        rng: source of random choices.
        store: the store.
        workers: workers by id.
        vms: the latest start of each VM, by name.
        jobs: all jobs.
        events: numbers of log lines by event.
        errors: errors that VMs have logged.
        findings: violations of what must hold.
    """

    def __init__(self, seed: int, schedule: Schedule) -> None:
        self.rng = random.Random(seed)
        self._schedule = schedule
        self._numbers = 0
        self._config_version = 3
        self.jobs: list[SubmittedJob] = []
        self.vms: dict[str, simulated_vm.SimulatedVm] = {}
        self._tasks: set[asyncio.Task[typing.Any]] = set()
        # Those without power are kept, since calls still wait for them.
        self._started_vms: list[simulated_vm.SimulatedVm] = []
        self._calm_since_s = float("inf")
        self._loss_step = ""
        self.store = faulty_store.FaultyStore(
            random.Random(self.rng.getrandbits(32))
        )
        self.workers: dict[str, fake_worker.FakeWorker] = {}
        self.events: dict[str, int] = {}
        self.errors: list[str] = []
        self.findings: list[str] = []

    def run(self) -> None:
        """Plays the schedule."""
        virtual_loop.run(self._play())

    def log(self, event: str, **fields: typing.Any) -> None:
        """Counts a line of a VM's log."""
        self.events[event] = self.events.get(event, 0) + 1
        if event in ("internal-error", "record-not-applied", "job-not-added"):
            self.errors.append(str(fields.get("error")))

    def spawn(
        self, work: Coroutine[typing.Any, typing.Any, _T]
    ) -> asyncio.Task[_T]:
        """Starts a task that lasts no longer than the schedule."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def next_number(self) -> int:
        """Returns a number that was not returned before."""
        self._numbers += 1
        return self._numbers

    def duration_s(self, task: model.TaskId) -> float:
        """Returns how long a task runs."""
        return random.Random(str(task)).uniform(0.1, 1.5)

    # Schedule.

    async def _play(self) -> None:
        for number in range(_WORKERS):
            entry = builders.entry(str(number), clock_ms=1)
            worker = fake_worker.FakeWorker(entry, _now_s(), 0.0)
            self.workers[entry.worker_id] = worker
            self.store.write(
                "registry", records.KeyedRecord(entry.worker_id, b"1")
            )
        self._write_config()
        for number in range(_VMS):
            self.start_vm(f"vm-{number}")
        await self.play_faults()
        self._check_at_the_end()
        for task in self._tasks:
            task.cancel()
        for vm in self.vms.values():
            await vm.node.close()

    async def play_faults(self) -> None:
        """Submits jobs, makes faults, and waits for the checks."""
        chaos_end_s = _now_s() + self._schedule.chaos_s
        self.spawn(self._submit_until(chaos_end_s))
        self.spawn(self._check_states())
        await self._make_faults(chaos_end_s)
        self._end_faults()
        calm_s = _now_s()
        for later_s in self._schedule.later_s:
            await asyncio.sleep(calm_s + later_s - _now_s())
            self._lose_power()
        await asyncio.sleep(calm_s + self._schedule.total_s - _now_s())
        for job in self.jobs:
            if job.accepted_s is not None:
                for vm in self.vms.values():
                    await self._check_state(job, vm)

    async def _make_faults(self, end_s: float) -> None:
        self.store.on_received = lambda *step: self._pass("received", *step)
        self.store.on_stored = lambda *step: self._pass("stored", *step)
        faults = (
            self._lose_power_at_a_step,
            self._lose_power,
            self._lose_one,
            self._pause_one,
            self._fail_calls,
            self._fail_calls,
            self._change_config,
            self.store.forget_history,
        )
        while _now_s() < end_s:
            await asyncio.sleep(self.rng.uniform(0.1, 3.0))
            self.rng.choice(faults)()

    def _end_faults(self) -> None:
        self._loss_step = ""
        self.store.faults = faulty_store.StoreFaults()
        for vm in self.vms.values():
            vm.power.runs.set()
        self._change_config()
        while simulated_vm.is_withdrawn(self._config_version):
            self._change_config()
        self._calm_since_s = _now_s()

    def _lose_power_at_a_step(self) -> None:
        """Takes all power away at the next step of some kind."""
        self._loss_step = self.rng.choice(
            [
                f"{when} {kind}"
                for when in ("received", "stored")
                for kind in ("job", "cancel", "compaction", "end", "owner")
            ]
        )

    def _pass(
        self, when: str, topic: str, batch: Sequence[records.KeyedRecord]
    ) -> None:
        del topic
        if any(f"{when} {_kind(each)}" == self._loss_step for each in batch):
            self._loss_step = ""
            self._lose_power()

    def _lose_power(self) -> None:
        for name in list(self.vms):
            self._stop_vm(name)
        if self.rng.random() < 0.4 and self._calm_since_s == float("inf"):
            delay_s = self.rng.uniform(0.2, 5.0)
            asyncio.get_running_loop().call_later(delay_s, self._lose_again)

    def _lose_again(self) -> None:
        if self._calm_since_s == float("inf"):
            for name in list(self.vms):
                self._stop_vm(name)

    def _lose_one(self) -> None:
        self._stop_vm(self.rng.choice(sorted(self.vms)))

    def _stop_vm(self, name: str) -> None:
        vm = self.vms[name]
        if not vm.power.is_on:
            return
        vm.power.is_on = False
        vm.power.runs.set()
        self.spawn(self._restart(name, vm))

    async def _restart(self, name: str, vm: simulated_vm.SimulatedVm) -> None:
        await vm.node.close()
        await asyncio.sleep(self.rng.uniform(*_RESTART_DELAY_S))
        self.start_vm(name)

    def start_vm(self, name: str) -> None:
        """Starts the process of a VM."""
        self.vms[name] = simulated_vm.SimulatedVm(self, name)
        self._started_vms.append(self.vms[name])

    def _pause_one(self) -> None:
        vm = self.vms[self.rng.choice(sorted(self.vms))]
        vm.power.runs.clear()
        delay_s = self.rng.uniform(0.3, 8.0)
        asyncio.get_running_loop().call_later(delay_s, vm.power.runs.set)

    def _fail_calls(self) -> None:
        rng = self.rng
        self.store.faults = faulty_store.StoreFaults(
            rng.choice((0.0, 0.0, 0.3)),
            rng.choice((0.0, 0.2)),
            rng.choice((0.0, 0.2)),
            rng.random() < 0.1,
        )

    def _change_config(self) -> None:
        for _ in range(self.rng.choice((1, 1, 8))):
            self._config_version += 1
            self._write_config()

    def _write_config(self) -> None:
        value = str(self._config_version).encode()
        self.store.write("operators", records.KeyedRecord("config", value))

    # Submitters.

    async def _submit_until(self, end_s: float) -> None:
        while _now_s() < end_s:
            await asyncio.sleep(self.rng.uniform(0.0, 0.6))
            job_id = f"{self.next_number():016x}"
            steps = [builders.step(self.rng.randint(1, 2))]
            if self.rng.random() < 0.3:
                steps.append(builders.step(dependencies=(0,)))
            spec = model.JobSpec(job_id, "q", "", 0, "text", tuple(steps))
            if self.rng.random() < 0.2:
                spec = spec._replace(
                    occurrences=2, first_ms=_now_ms(), interval_ms=4_000
                )
            job = SubmittedJob(job_id, spec)
            self.jobs.append(job)
            self.spawn(self.submit(job))

    async def submit(self, job: SubmittedJob) -> None:
        """Submits a job; it may be sent again and cancelled later."""
        for _ in range(_MAX_ATTEMPTS):
            await self._send_submission(job)
            if job.accepted_s is not None:
                break
            await asyncio.sleep(self.rng.uniform(0.1, 0.6))
        if job.accepted_s is None:
            return
        if self.rng.random() < 0.3:
            # The request arrives once more.
            await asyncio.sleep(self.rng.uniform(0.0, 6.0))
            await self._send_submission(job)
        if self.rng.random() < 0.15:
            job.cancel_sent_s = _now_s()
            await self._call(lambda handler, call: handler.cancel(call), job)

    async def _send_submission(self, job: SubmittedJob) -> None:
        def _send(
            handler: call_handler.CallHandler, call: call_handler.Call
        ) -> typing.Any:
            return handler.submit(
                call,
                lambda job_id, queue, team, accepted_ms: job.spec._replace(
                    queue=queue, team=team, accepted_ms=accepted_ms
                ),
            )

        answer = await self._call(_send, job)
        job.answers.append(type(answer).__name__)
        if isinstance(answer, outcomes.Accepted) and job.accepted_s is None:
            job.accepted_s = _now_s()

    async def _call(
        self,
        send: Callable[
            [call_handler.CallHandler, call_handler.Call], typing.Any
        ],
        job: SubmittedJob,
        vm: simulated_vm.SimulatedVm | None = None,
    ) -> outcomes.CallOutcome | None:
        called = vm or self.vms[self.rng.choice(sorted(self.vms))]
        call = call_handler.Call(
            simulated_vm.HOST,
            simulated_vm.PREFIX + job.job_id,
            simulated_vm.KEY,
        )
        handler = called.node.call_handler
        return await called.call(lambda: send(handler, call))

    # Checks.

    async def _check_states(self) -> None:
        """Asks one VM or another for the state of each job, again and again."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            names = sorted(self.vms)
            for job in self.jobs:
                if job.accepted_s is not None:
                    vm = self.vms[self.rng.choice(names)]
                    self.spawn(self._check_state(job, vm))

    async def _check_state(
        self, job: SubmittedJob, vm: simulated_vm.SimulatedVm
    ) -> None:
        sent_s, end, shown_s = _now_s(), job.end, job.end_shown_s
        if sent_s > shown_s + STATUS_S:
            return
        answer = await self._call(
            lambda handler, call: handler.state(call), job, vm
        )
        if isinstance(answer, outcomes.NoSuchJob):
            self._find(job, "accepted, but answered as gone", vm, sent_s)
        calm_s = sent_s - max(self._calm_since_s, vm.started_s)
        if not isinstance(answer, outcomes.State):
            if calm_s > VISIBLE_S and vm.power.is_on:
                self._find(job, f"answered {answer}", vm, sent_s)
            return
        if job.cancel_sent_s is not None and (
            sent_s < job.cancel_sent_s + _CANCEL_RACE_S
        ):
            return
        is_final = answer.state in model.FINISHED_STATES
        knows_end = (
            vm.started_s > shown_s
            or calm_s > VISIBLE_S
            and sent_s > shown_s + VISIBLE_S
        )
        if end is None:
            if is_final and job.end is None:
                job.end, job.end_shown_s = answer.state, _now_s()
            return
        if answer.state is not end and (knows_end or is_final):
            self._find(job, f"{end}, then {answer.state}", vm, sent_s)

    def _find(
        self,
        job: SubmittedJob,
        what: str,
        vm: simulated_vm.SimulatedVm,
        sent_s: float,
    ) -> None:
        cancelled = "" if job.cancel_sent_s is None else ", cancelled"
        self.findings.append(
            f"{job.job_id}: {what} (at {sent_s:.2f} s, accepted at"
            f" {job.accepted_s:.2f} s, end shown at {job.end_shown_s:.2f} s,"
            f" VM started at {vm.started_s:.2f} s{cancelled})"
        )

    def _check_at_the_end(self) -> None:
        for job in self.jobs:
            runs = self.runs_of(job)
            if job.answers and set(job.answers) == {"NotStored"} and runs:
                self.findings.append(f"{job.job_id}: refused, but it ran")
            if job.accepted_s is None:
                continue
            if job.end is None:
                self.findings.append(f"{job.job_id}: accepted, but no end")
            elif job.cancel_sent_s is None and job.end is not (
                model.JobState.COMPLETED
            ):
                self.findings.append(f"{job.job_id}: shown as {job.end}")
            for run in runs:
                if run.began_s > job.end_shown_s + VISIBLE_S:
                    self.findings.append(f"{job.job_id}: ran after its end")
        self.findings += self.errors
        if _now_s() > max(vm.started_s for vm in self._started_vms) + _ERASED_S:
            self._check_erased()

    def runs_of(self, job: SubmittedJob) -> list[fake_worker.Run]:
        """Returns all runs of a job."""
        return [
            run
            for worker in self.workers.values()
            for run in worker.history
            if run.task.job_id == job.job_id
        ]

    def _check_erased(self) -> None:
        for name in ("journal", "submissions"):
            kept = [
                key
                for key in self.store.topic(name).newest
                if key[:1] in ("j", "c", "e", "s")
            ]
            if kept:
                self.findings.append(f"{name}: never erased: {kept[:5]}")


def _kind(record: records.KeyedRecord) -> str:
    if record.key[:1] == "j":
        decoded = records.decode(*record) if record.value else None
        has_steps = isinstance(decoded, model.JobSpec) and decoded.steps
        return "job" if has_steps else "compaction"
    return {"c": "cancel", "e": "end", "o": "owner"}.get(record.key[:1], "")


def _now_s() -> float:
    return asyncio.get_running_loop().time()


def _now_ms() -> int:
    return int(_now_s() * 1000)
