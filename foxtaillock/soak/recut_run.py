"""Run of workers that start again and are cut off, and its command.

In each round half of the workers crash at once, start again under their ids and
addresses, and are cut off up to 3 s later, while long tasks run. The owner is
stopped, killed, both or left alone beside it.
"""

import asyncio
import enum
import json
import pathlib
import random
import signal
import sys
import tempfile
import time
import typing
from collections.abc import Collection

import fire

from foxtaillock.batch import model
from foxtaillock.platform.tests import entry_vm
from foxtaillock.platform.tests import fake_platform
from foxtaillock.soak import checker
from foxtaillock.soak import hand_overs
from foxtaillock.soak import histories
from foxtaillock.soak import job_kinds
from foxtaillock.soak import processes
from foxtaillock.soak import progress_checker
from foxtaillock.soak import recut_checker
from foxtaillock.soak import recut_workers
from foxtaillock.soak import submitters

__all__ = ["OwnerFault", "Plan", "RecutRun", "main", "run_seed"]

_START_S = 3.0
_WARM_UP_S = 4.0
_ROUND_S = 14.0
_AWAY_S = 0.6
_CUT_S = 9.0
_MAX_UNANNOUNCED_S = 1.5
_MAX_RESTART_GAP_S = 1.0
_END_S = 0.1

_WORKER_CPU_MILLIS = 4_000
_LONG_S = 12.0
_ENDLESS_S = 1e6


class OwnerFault(enum.StrEnum):
    """What happens to the owner beside a crash."""

    NONE = "none"
    STOP = "stop"
    KILL = "kill"
    RESTART = "restart"


class Plan(typing.NamedTuple):
    """What a run does; times are drawn up to the limits.

    Attributes:
        rounds: number of rounds.
        worker_count: number of workers.
        mean_pause_s: mean time between two submissions.
        max_hold_s: limit of the time from a worker's return until it takes
            the calls held.
        max_cut_delay_s: limit of the time from a worker's return to its cut.
        min_fault_s: least time from the crash to the owner's fault.
        max_fault_s: limit of that time.
        owner_faults: what may happen to the owner.
        code_folder: folder whose code the entry VMs run; empty for this one.
    """

    rounds: int = 3
    worker_count: int = 16
    mean_pause_s: float = 0.35
    max_hold_s: float = 0.4
    max_cut_delay_s: float = 3.0
    min_fault_s: float = 0.0
    max_fault_s: float = 2.5
    owner_faults: tuple[OwnerFault, ...] = tuple(OwnerFault)
    code_folder: str = ""


class RecutRun:
    """Rounds of one seed.

    Args:
        seed: seed of the load and of the rounds.
        folder: folder for settings and logs.
        plan: what it does.

    Attributes:
        workers: the workers.
        rounds: what happened in each round.
        run_count: number of runs that began.
        overlaps: description of each two runs of a task at once.
        longest_gap_s: longest time for which a persistent task did not run.
        longest_calm_gap_s: the same of those whose worker had not crashed.
    """

    def __init__(self, seed: int, folder: pathlib.Path, plan: Plan) -> None:
        self._rng = random.Random(seed)
        self._folder = folder
        self._plan = plan
        self._platform = fake_platform.FakePlatform()
        self._vms: dict[str, processes.EntryVmProcess] = {}
        self.workers = recut_workers.RecutWorkers(
            self._platform, random.Random(self._rng.getrandbits(32))
        )
        self.rounds: list[recut_checker.Round] = []
        self.run_count = 0
        self.overlaps: list[dict[str, typing.Any]] = []
        self.longest_gap_s = 0.0
        self.longest_calm_gap_s = 0.0

    async def run(self) -> list[str]:
        """Runs load and rounds; returns the violations."""
        await self._platform.start()
        config = entry_vm.config(1, [submitters.KEY])
        config["services"] = [{"name": "pool"}]
        self._platform.write("keyed.op", "config", config)
        for number in range(self._plan.worker_count):
            await self.workers.add(number)
        await self._start_vms()
        clients = submitters.Submitters(
            [vm.address for vm in self._vms.values()],
            random.Random(self._rng.getrandbits(32)),
            {"long", "small", "persistent"},
            _draw,
        )
        planner = job_kinds.RunPlanner(clients.find_step)
        self._platform.plan_run = planner.plan
        advance = asyncio.ensure_future(self.workers.advance())
        try:
            return await self._run_rounds(clients)
        finally:
            advance.cancel()
            await clients.close()
            for vm in self._vms.values():
                await vm.stop()
            # The calls that are under way end with their connections.
            await asyncio.sleep(_END_S)
            await self._platform.stop()

    async def _start_vms(self) -> None:
        for number in range(3):
            name = f"vm-{number}"
            self._vms[name] = await processes.start_entry_vm(
                name,
                self._folder,
                self._platform.address,
                self._rng,
                code_folder=self._plan.code_folder,
            )
        await asyncio.sleep(_START_S)

    async def _run_rounds(self, clients: submitters.Submitters) -> list[str]:
        duration_s = _WARM_UP_S + self._plan.rounds * _ROUND_S
        load = asyncio.ensure_future(
            clients.run(duration_s - 1.0, self._plan.mean_pause_s)
        )
        await asyncio.sleep(_WARM_UP_S)
        for _ in range(self._plan.rounds):
            end_s = time.monotonic() + _ROUND_S
            await self._play_round()
            await asyncio.sleep(max(0.0, end_s - time.monotonic()))
        now_s = time.monotonic()
        findings = checker.check_runs(
            self.workers.histories(), clients.jobs, _WORKER_CPU_MILLIS, now_s
        )
        self._describe(clients, now_s)
        await load
        return findings

    async def _play_round(self) -> None:
        rng = random.Random(self._rng.getrandbits(32))
        ids = sorted(self._platform.workers)
        chosen = rng.sample(ids, len(ids) // 2)
        played = recut_checker.Round(time.monotonic())
        self.rounds.append(played)
        owner_rng = random.Random(rng.getrandbits(32))
        tasks = [asyncio.ensure_future(self._fault_owner(played, owner_rng))]
        for worker_id in chosen:
            self.workers.crash(worker_id)
        for worker_id in chosen:
            worker_rng = random.Random(rng.getrandbits(32))
            recut = self._recut(worker_id, played, worker_rng)
            tasks.append(asyncio.ensure_future(recut))
        await asyncio.gather(*tasks)

    async def _recut(
        self, worker_id: str, played: recut_checker.Round, rng: random.Random
    ) -> None:
        """Lets a worker that has crashed return, and cuts it off."""
        played.cuts_s[worker_id] = float("inf")
        hold_s = rng.uniform(0.0, self._plan.max_hold_s)
        unannounced_s = rng.uniform(0.0, _MAX_UNANNOUNCED_S)
        cut_delay_s = rng.uniform(0.0, self._plan.max_cut_delay_s)
        await asyncio.sleep(played.crash_s + _AWAY_S - time.monotonic())
        returned_s = time.monotonic()
        again = asyncio.ensure_future(
            self.workers.start_again(worker_id, hold_s, unannounced_s)
        )
        await asyncio.sleep(returned_s + cut_delay_s - time.monotonic())
        self.workers.cut_off(worker_id, _CUT_S)
        played.cuts_s[worker_id] = time.monotonic()
        await again

    async def _fault_owner(
        self, played: recut_checker.Round, rng: random.Random
    ) -> None:
        fault = rng.choice(self._plan.owner_faults)
        delay_s = rng.uniform(self._plan.min_fault_s, self._plan.max_fault_s)
        gap_s = rng.uniform(0.0, _MAX_RESTART_GAP_S)
        await asyncio.sleep(delay_s)
        name = hand_overs.find_owner(self._platform)
        played.owner_fault = f"{fault} {name}"
        played.fault_s = time.monotonic()
        vm = self._vms.get(name)
        if vm is None or fault is OwnerFault.NONE:
            return
        if fault is not OwnerFault.KILL:
            vm.signal(signal.SIGTERM)
        if fault is OwnerFault.RESTART:
            await asyncio.sleep(gap_s)
        if fault is not OwnerFault.STOP:
            vm.signal(signal.SIGKILL)

    def _describe(self, clients: submitters.Submitters, now_s: float) -> None:
        workers = self.workers.histories()
        self.run_count = sum(len(worker.history) for worker in workers)
        self.overlaps = recut_checker.describe_overlaps(
            workers, self.workers.starts, self.rounds, now_s
        )
        history = histories.History(
            workers, clients.jobs, _WORKER_CPU_MILLIS, now_s
        )
        self.longest_gap_s = progress_checker.longest_gap_s(
            history.needs, history.runs
        )
        self.longest_calm_gap_s = recut_checker.longest_calm_gap_s(
            history.needs, history.runs, self.rounds
        )


def _draw(names: Collection[str], rng: random.Random) -> job_kinds.JobPlan:
    """Draws a job: many have long tasks."""
    kind = rng.choices(("long", "small", "persistent"), (6, 3, 1))[0]
    if kind == "persistent" and kind in names:
        return _persistent_job(rng)
    if kind == "small":
        return job_kinds.draw(("small",), rng)
    step = job_kinds.StepPlan(rng.randint(2, 6), rng.randint(50, 150), _LONG_S)
    return job_kinds.JobPlan((step,))


def _persistent_job(rng: random.Random) -> job_kinds.JobPlan:
    step = job_kinds.StepPlan(
        5, rng.randint(50, 150), _ENDLESS_S, is_persistent=True
    )
    return job_kinds.JobPlan((step,), end_state=model.JobState.RUNNING)


async def run_seed(
    seed: int, plan: Plan = Plan()
) -> tuple[list[str], RecutRun]:
    """Runs one seed; returns the violations and the run.

    The logs are kept if there are violations.
    """
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"recut-{seed}-"))
    run = RecutRun(seed, folder, plan)
    findings = await run.run()
    if findings:
        print(f"seed {seed}: logs in {folder}", file=sys.stderr)
    else:
        for path in folder.iterdir():
            path.unlink()
        folder.rmdir()
    return findings, run


def main(
    first: int = 1,
    seeds: int = 1,
    owner_faults: Collection[str] = tuple(OwnerFault),
    **options: typing.Any,
) -> None:
    """Runs consecutive seeds and prints a line of JSON for each.

    Args:
        first: first seed.
        seeds: number of seeds.
        owner_faults: what may happen to the owner: `none`, `stop`, `kill`,
            `restart`.
        options: the rest of the plan; see `Plan`.
    """
    names = [owner_faults] if isinstance(owner_faults, str) else owner_faults
    faults = tuple(OwnerFault(name) for name in names)
    plan = Plan(owner_faults=faults, **options)
    failed = 0
    for seed in range(first, first + seeds):
        findings, run = asyncio.run(run_seed(seed, plan))
        failed += bool(findings)
        print(json.dumps(_summary(seed, findings, run)), flush=True)
    print(f"{seeds - failed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


def _summary(
    seed: int, findings: list[str], run: RecutRun
) -> dict[str, typing.Any]:
    starts = run.workers.starts
    return {
        "seed": seed,
        "findings": findings,
        "overlaps": run.overlaps,
        "owner_faults": [played.owner_fault for played in run.rounds],
        "runs": run.run_count,
        "starts": len(starts),
        "held_starts": sum(call.was_held for call in starts),
        "unanswered_starts": sum(not call.is_answered for call in starts),
        "longest_gap_s": round(run.longest_gap_s, 2),
        "longest_calm_gap_s": round(run.longest_calm_gap_s, 2),
        "longest_stall_s": round(run.workers.longest_stall_s, 2),
    }


if __name__ == "__main__":
    fire.Fire(main)
