"""Run of planned work alone, under raw clients, and its command."""

import asyncio
import collections
import json
import pathlib
import random
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable
from collections.abc import Callable

import fire

from foxtaillock.platform.tests import entry_vm
from foxtaillock.platform.tests import fake_platform
from foxtaillock.soak import lost_answers
from foxtaillock.soak import processes
from foxtaillock.soak import raw_clients

__all__ = ["PlannedRun", "main", "run_seed"]

_START_S = 3.0
_MAX_GAP_S = 2.0
_MAX_REPEAT_DELAY_S = 1.0

# A pause of this process for this much longer than asked for is one of the
# whole machine: an unplanned impairment of all VMs.
_MAX_STALL_S = 0.5
_STALL_CHECK_INTERVAL_S = 0.05

_KEY = "key-1"

# Durations of an append. The store appends one after another, so it takes this
# long under load, without any impairment.
_APPEND_DELAYS_S = (0.0, 0.05, 0.25, 0.75)


class PlannedRun:
    """Planned work of one seed: stops, reloads and configs, also overlapping.

    Args:
        seed: seed of the load and of the work.
        folder: folder for settings and logs.
        vm_count: number of entry VMs.
        grace_s: time between SIGTERM and SIGKILL.

    Attributes:
        works: the work that was done.
        stalls: spans in which this machine stood still.
    """

    def __init__(
        self, seed: int, folder: pathlib.Path, vm_count: int, grace_s: float
    ) -> None:
        self._rng = random.Random(seed)
        self._folder = folder
        self._vm_count = vm_count
        self._grace_s = grace_s
        self._platform = fake_platform.FakePlatform()
        self._vms: dict[str, processes.EntryVmProcess] = {}
        self._version = 0
        self._clients = raw_clients.RawClients({}, self._rng)
        self.works: list[lost_answers.PlannedWork] = []
        self.stalls: list[lost_answers.Impairment] = []

    @property
    def endings(self) -> dict[str, int]:
        """Number of exchanges by their ending."""
        counts = collections.Counter(
            exchange.ending.value for exchange in self._clients.exchanges
        )
        return dict(counts)

    async def run(self, client_count: int, duration_s: float) -> list[str]:
        """Runs clients and work for `duration_s`; returns the violations."""
        await self._platform.start()
        await self._platform.add_worker("i-0", "pool")
        self._write_config()
        stall_watch = asyncio.ensure_future(self._note_stalls())
        try:
            await self._start_vms()
            return await self._run_work(client_count, duration_s)
        finally:
            stall_watch.cancel()
            for vm in self._vms.values():
                await vm.stop()
            await self._platform.stop()

    async def _note_stalls(self) -> None:
        checked_s = time.monotonic()
        while True:
            await asyncio.sleep(_STALL_CHECK_INTERVAL_S)
            now_s = time.monotonic()
            if now_s - checked_s > _STALL_CHECK_INTERVAL_S + _MAX_STALL_S:
                self.stalls.append(
                    lost_answers.Impairment("", checked_s, now_s)
                )
            checked_s = now_s

    async def _start_vms(self) -> None:
        for number in range(self._vm_count):
            name = f"vm-{number}"
            self._vms[name] = await processes.start_entry_vm(
                name,
                self._folder,
                self._platform.address,
                self._rng,
                self._grace_s,
            )
        await asyncio.sleep(_START_S)

    async def _run_work(
        self, client_count: int, duration_s: float
    ) -> list[str]:
        self._clients = raw_clients.RawClients(
            {name: vm.address for name, vm in self._vms.items()},
            random.Random(self._rng.getrandbits(32)),
        )
        # The requests under way end while work still goes on.
        load = asyncio.ensure_future(
            self._clients.run(client_count, duration_s)
        )
        kinds = (self._shut_down, self._reload, self._change_config)
        tasks: list[asyncio.Future[None]] = []
        end_s = time.monotonic() + duration_s
        while time.monotonic() < end_s:
            self._platform.append_delay_s = self._rng.choice(_APPEND_DELAYS_S)
            work: Callable[[random.Random], Awaitable[None]] = self._rng.choice(
                kinds
            )
            rng = random.Random(self._rng.getrandbits(32))
            tasks.append(asyncio.ensure_future(work(rng)))
            await asyncio.sleep(self._rng.uniform(0.0, _MAX_GAP_S))
        await asyncio.gather(load, *tasks)
        bounds = lost_answers.Bounds(self._grace_s, raw_clients.PATIENCE_S)
        return lost_answers.find_lost_answers(
            self._clients.exchanges, self.works, self.stalls, bounds
        )

    async def _shut_down(self, rng: random.Random) -> None:
        """Stops a VM; the signal may come twice, or beside a reload."""
        name = rng.choice(sorted(self._vms))
        self._note(lost_answers.WorkKind.STOP, name)
        stop = asyncio.ensure_future(self._vms[name].shut_down())
        if rng.random() < 0.5:
            await asyncio.sleep(rng.uniform(0.0, _MAX_REPEAT_DELAY_S))
            number = rng.choice((signal.SIGTERM, signal.SIGHUP))
            self._vms[name].signal(number)
        await stop

    async def _reload(self, rng: random.Random) -> None:
        name = rng.choice(sorted(self._vms))
        self._note(lost_answers.WorkKind.RELOAD, name)
        self._vms[name].signal(signal.SIGHUP)

    async def _change_config(self, rng: random.Random) -> None:
        del rng
        self._note(lost_answers.WorkKind.CONFIG, "")
        self._write_config()

    def _note(self, kind: lost_answers.WorkKind, vm: str) -> None:
        now_s = time.monotonic()
        self.works.append(lost_answers.PlannedWork(kind, vm, now_s, now_s))

    def _write_config(self) -> None:
        self._version += 1
        self._platform.write(
            "keyed.op", "config", entry_vm.config(self._version, [_KEY])
        )


async def run_seed(
    seed: int,
    duration_s: float,
    vm_count: int = 3,
    client_count: int = 30,
    grace_s: float = processes.SHUTDOWN_GRACE_S,
) -> tuple[list[str], PlannedRun]:
    """Runs one seed; returns the violations and the run.

    The logs are kept if there are violations.
    """
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"planned-{seed}-"))
    planned = PlannedRun(seed, folder, vm_count, grace_s)
    findings = await planned.run(client_count, duration_s)
    if findings:
        print(f"seed {seed}: logs in {folder}", file=sys.stderr)
    else:
        for path in folder.iterdir():
            path.unlink()
        folder.rmdir()
    return findings, planned


def main(
    first: int = 1,
    seeds: int = 1,
    duration_s: float = 12.0,
    vms: int = 3,
    clients: int = 30,
    grace_s: float = processes.SHUTDOWN_GRACE_S,
) -> None:
    """Runs consecutive seeds and prints a line of JSON for each.

    Args:
        first: first seed.
        seeds: number of seeds.
        duration_s: duration of the load and of the work.
        vms: number of entry VMs.
        clients: number of raw clients.
        grace_s: time between SIGTERM and SIGKILL.
    """
    failed = 0
    for seed in range(first, first + seeds):
        findings, planned = asyncio.run(
            run_seed(seed, duration_s, vms, clients, grace_s)
        )
        failed += bool(findings)
        line = {
            "seed": seed,
            "findings": findings,
            "endings": planned.endings,
            "works": len(planned.works),
            "stalls": len(planned.stalls),
        }
        print(json.dumps(line), flush=True)
    print(f"{seeds - failed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(main)
