"""Soak test of one seed, and the command that runs several seeds."""

import asyncio
import json
import pathlib
import random
import sys
import tempfile
import time
import typing
from collections.abc import Collection

import fire

from foxtaillock.batch import model
from foxtaillock.platform.tests import entry_vm
from foxtaillock.platform.tests import fake_platform
from foxtaillock.soak import evacuated_zones
from foxtaillock.soak import faults
from foxtaillock.soak import gangs
from foxtaillock.soak import hand_overs
from foxtaillock.soak import job_checks
from foxtaillock.soak import job_kinds
from foxtaillock.soak import maintenance
from foxtaillock.soak import processes
from foxtaillock.soak import progress_checker
from foxtaillock.soak import scenario
from foxtaillock.soak import submitters
from foxtaillock.soak import worker_pool

__all__ = ["Soak", "main", "run_seed"]

# Mean time between two submissions.
_MEAN_PAUSE_S = 0.2

# Time after the last fault by which the state of each accepted job is known.
_FINISH_S = 14.0

# Time for which a killed process and its successor are away.
_KILL_EFFECT_S = 1.5

# Time allowed after the last fault until all jobs have ended. It covers the
# longest lease of an unreachable worker (11 s after its owner went silent),
# two takeovers and the work itself.
_COMPLETION_TIMEOUT_S = 40.0

# A withdrawn key must stop working within this time.
_MAX_REVOCATION_S = 5.0


class Soak:
    """Soak test of one seed, and the target of its faults.

    Args:
        seed: seed of the load and of the faults.
        folder: folder for settings and logs.
        vm_count: number of entry VMs.
        fault_names: names of the faults to inject.
        plan: what else it does.

    Attributes:
        vms: entry VMs.
        workers: workers of the platform.
        zones: its evacuated availability zones.
        started_faults: names of the injected faults in order of their start.
        hand_over_count: number of hand-overs of the series.
        longest_gap_s: longest time for which a persistent task did not run.
    """

    def __init__(
        self,
        seed: int,
        folder: pathlib.Path,
        vm_count: int,
        fault_names: Collection[str] = faults.FAULTS.keys(),
        plan: scenario.Scenario = scenario.Scenario(),
    ) -> None:
        self._plan = plan
        self._fault_names = sorted(fault_names)
        self._rng = random.Random(seed)
        self._folder = folder
        self._vm_count = vm_count
        self._platform = fake_platform.FakePlatform()
        self.workers = worker_pool.WorkerPool(self._platform, self._rng)
        self.zones = evacuated_zones.EvacuatedZones(self._platform)
        self._worker_vms = maintenance.WorkerVms(self._platform, self.workers)
        self._fault_spans: list[progress_checker.Span] = []
        self.hand_over_count = 0
        self.longest_gap_s = 0.0
        self.vms: list[processes.EntryVmProcess] = []
        self.started_faults: list[str] = []

    @property
    def maintained_count(self) -> int:
        """Number of maintenances of workers' VMs."""
        return len(self.workers.ordered_away)

    @property
    def is_store_unavailable(self) -> bool:
        """Whether the store refuses all requests."""
        return self._platform.is_away

    @is_store_unavailable.setter
    def is_store_unavailable(self, is_unavailable: bool) -> None:
        self._platform.is_away = is_unavailable

    @property
    def is_store_silent(self) -> bool:
        """Whether the store answers no request."""
        return self._platform.is_silent

    @is_store_silent.setter
    def is_store_silent(self, is_silent: bool) -> None:
        self._platform.is_silent = is_silent

    def expire_history(self) -> None:
        """Makes the store drop all but the newest records."""
        for topic in self._platform.topics.values():
            topic.expire()

    async def run(self, duration_s: float) -> list[str]:
        """Runs load and faults for `duration_s`; returns the violations."""
        await self._platform.start()
        self._write_config(1, [submitters.KEY])
        for _ in range(self._plan.worker_count):
            await self.workers.add()
        if self._plan.wave_interval_s:
            self._worker_vms.start()
        for number in range(self._vm_count):
            await self._start_vm(f"vm-{number}")
        clients = submitters.Submitters(
            [vm.address for vm in self.vms],
            random.Random(self._rng.getrandbits(32)),
            self._plan.kind_names,
        )
        planner = job_kinds.RunPlanner(clients.find_step)
        self._platform.plan_run = planner.plan
        monitor = gangs.GangMonitor(clients.find_step)
        background = [
            asyncio.ensure_future(self.workers.advance(monitor)),
            asyncio.ensure_future(self.workers.write_heartbeats()),
        ]
        try:
            return await self._run_load_and_faults(clients, duration_s)
        finally:
            for task in background:
                task.cancel()
            await self._worker_vms.stop()
            await clients.close()
            for vm in self.vms:
                await vm.stop()
            await self.workers.close()
            await self._platform.stop()

    async def _run_load_and_faults(
        self, clients: submitters.Submitters, duration_s: float
    ) -> list[str]:
        # The entry VMs start meanwhile.
        await asyncio.sleep(3.0)
        load = asyncio.ensure_future(clients.run(duration_s, _MEAN_PAUSE_S))
        planned = asyncio.ensure_future(self._do_planned_work(duration_s))
        await self._inject_faults(duration_s)
        await load
        await planned
        finish_s = time.monotonic() + _FINISH_S
        states = await self._await_completion(clients, finish_s)
        verdict = job_checks.check(
            self.workers,
            clients.jobs,
            states,
            self._fault_spans,
            self.zones,
            finish_s,
            time.monotonic(),
        )
        self.longest_gap_s = verdict.longest_gap_s
        withdrawal_findings = await self._check_key_withdrawal(clients)
        return [*verdict.findings, *withdrawal_findings]

    async def _do_planned_work(self, duration_s: float) -> None:
        """Plays the hand-overs and the waves of the scenario."""
        waves = asyncio.ensure_future(self._write_waves())
        if self._plan.series is not None:
            self.hand_over_count = await hand_overs.run_series(
                self._plan.series,
                self._platform,
                self.vms,
                random.Random(self._rng.getrandbits(32)),
                duration_s,
                self._on_kill,
            )
        waves.cancel()

    async def _write_waves(self) -> None:
        interval_s = self._plan.wave_interval_s
        while interval_s:
            at_once = max(1, self._plan.worker_count // 4)
            self._worker_vms.write_wave(interval_s, at_once)
            await asyncio.sleep(interval_s)

    def _on_kill(self, now_s: float) -> None:
        span = progress_checker.Span(now_s, now_s + _KILL_EFFECT_S)
        self._fault_spans.append(span)

    async def _inject_faults(self, duration_s: float) -> None:
        """Starts faults at random intervals; they may overlap."""
        tasks: list[asyncio.Future[None]] = []
        end_s = time.monotonic() + duration_s
        while self._fault_names and time.monotonic() < end_s:
            name = self._rng.choice(self._fault_names)
            self.started_faults.append(name)
            rng = random.Random(self._rng.getrandbits(32))
            tasks.append(asyncio.ensure_future(self._inject(name, rng)))
            await asyncio.sleep(self._rng.uniform(0.1, 2.0))
        await asyncio.gather(*tasks)

    async def _inject(self, name: str, rng: random.Random) -> None:
        """Injects a fault and notes when it was in effect."""
        began_s = time.monotonic()
        await faults.FAULTS[name](self, rng)
        if name not in faults.PLANNED:
            end_s = time.monotonic() + _KILL_EFFECT_S
            self._fault_spans.append(progress_checker.Span(began_s, end_s))

    async def _await_completion(
        self, clients: submitters.Submitters, finish_s: float
    ) -> dict[str, str]:
        """Waits until all accepted jobs have ended; returns all states.

        It also waits until all persistent tasks run. A job whose state is not
        known at `finish_s` stays unknown.
        """
        states: dict[str, str] = {}
        lost: set[str] = set()
        end_s = time.monotonic() + _COMPLETION_TIMEOUT_S
        while time.monotonic() < end_s:
            was_due = time.monotonic() >= finish_s
            open_jobs = [
                job
                for job in clients.jobs.values()
                if job.accepted_s is not None
                and states.get(job.job_id) not in job.settled_states
            ]
            running = self.workers.running_tasks()
            if not open_jobs and all(
                job.persistent_tasks <= running
                or states[job.job_id] == model.JobState.FAILED
                for job in clients.jobs.values()
            ):
                break
            for job in open_jobs:
                states[job.job_id] = await clients.known_state(job)
            if was_due and not lost:
                lost = {job for job, state in states.items() if not state}
            await asyncio.sleep(0.5)
        return {**states, **dict.fromkeys(lost, "")}

    async def _check_key_withdrawal(
        self, clients: submitters.Submitters
    ) -> list[str]:
        """Withdraws the key; checks that it stops working in time."""
        self._write_config(2, [])
        withdrawn_s = time.monotonic()
        await asyncio.sleep(_MAX_REVOCATION_S)
        for job in list(clients.jobs.values())[:20]:
            await clients.state(job)
        late_uses = [
            used_s
            for used_s in clients.key_use_times_s
            if used_s > withdrawn_s + _MAX_REVOCATION_S
        ]
        return (
            [f"{len(late_uses)} calls with a withdrawn key"]
            if late_uses
            else []
        )

    async def _start_vm(self, name: str) -> None:
        has_waves = self._plan.wave_interval_s > 0
        vm = await processes.start_entry_vm(
            name,
            self._folder,
            self._platform.address,
            self._rng,
            fleet_address=self._platform.address if has_waves else "",
            code_folder=self._plan.code_folder,
        )
        self.vms.append(vm)

    def _write_config(self, version: int, keys: list[str]) -> None:
        config = entry_vm.config(version, keys)
        if self._plan.wave_interval_s:
            # Workers' VMs stay in their pool; only waves take them down.
            config["services"] = [{"name": "pool"}]
        self._platform.write("keyed.op", "config", config)


async def run_seed(
    seed: int,
    duration_s: float,
    vm_count: int = 3,
    fault_names: Collection[str] = faults.FAULTS.keys(),
    plan: scenario.Scenario = scenario.Scenario(),
) -> tuple[list[str], Soak]:
    """Runs the soak test of one seed; returns the violations and the test.

    The logs are kept if there are violations.
    """
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    soak = Soak(seed, folder, vm_count, fault_names, plan)
    findings = await soak.run(duration_s)
    if findings:
        print(f"seed {seed}: logs in {folder}", file=sys.stderr)
    else:
        for path in folder.iterdir():
            path.unlink()
        folder.rmdir()
    return findings, soak


def main(
    first: int = 1,
    seeds: int = 1,
    duration_s: float = 20.0,
    vms: int = 3,
    has_faults: bool = True,
    **options: typing.Any,
) -> None:
    """Runs consecutive seeds and prints a line of JSON for each.

    Args:
        first: first seed.
        seeds: number of seeds.
        duration_s: duration of the load and of the faults.
        vms: number of entry VMs.
        has_faults: whether random faults are injected.
        options: the rest of the scenario; see `scenario.create`.
    """
    plan = scenario.create(**options)
    fault_names = faults.FAULTS.keys() if has_faults else ()
    failed = 0
    for seed in range(first, first + seeds):
        findings, soak = asyncio.run(
            run_seed(seed, duration_s, vms, fault_names, plan)
        )
        failed += bool(findings)
        print(json.dumps(_summary(seed, findings, soak)), flush=True)
    print(f"{seeds - failed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


def _summary(
    seed: int, findings: list[str], soak: Soak
) -> dict[str, typing.Any]:
    return {
        "seed": seed,
        "findings": findings,
        "faults": soak.started_faults,
        "hand_overs": soak.hand_over_count,
        "maintained": soak.maintained_count,
        "longest_gap_s": round(soak.longest_gap_s, 2),
    }


if __name__ == "__main__":
    fire.Fire(main)
