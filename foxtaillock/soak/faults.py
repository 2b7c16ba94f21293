"""Faults that the soak test injects.

Each fault is a coroutine function; one that lasts is cleared by the same
function.
"""

import asyncio
import random
import signal
import time
import typing
from collections.abc import Awaitable
from collections.abc import Callable

from foxtaillock.proxy import fault_proxy
from foxtaillock.soak import evacuated_zones
from foxtaillock.soak import processes
from foxtaillock.soak import worker_pool

__all__ = ["FAULTS", "Fault", "FaultTarget", "PLANNED"]

# Maximum duration of a fault; a paused process may stay paused twice as long.
_MAX_FAULT_S = 3.0

# Maximum duration of an evacuation.
_MAX_EVACUATION_S = 14.0

# Largest step of a worker's wall clock.
_MAX_CLOCK_STEP_MS = 60_000


class FaultTarget(typing.Protocol):
    """System that faults are injected into.

    Attributes:
        vms: entry VMs.
        workers: workers of the platform.
        zones: its evacuated availability zones.
        is_store_unavailable: whether the store refuses all requests.
        is_store_silent: whether the store answers no request.
    """

    vms: list[processes.EntryVmProcess]
    workers: worker_pool.WorkerPool
    zones: evacuated_zones.EvacuatedZones
    is_store_unavailable: bool
    is_store_silent: bool

    def expire_history(self) -> None:
        """Makes the store drop all but the newest records."""


Fault = Callable[[FaultTarget, random.Random], Awaitable[None]]

FAULTS: dict[str, Fault] = {}

# Planned work, during which persistent tasks are expected to go on.
PLANNED = frozenset(("stop", "reload", "evacuate_zone"))


def _register(function: Fault) -> Fault:
    """Registers a fault under the name of its function."""
    FAULTS[getattr(function, "__name__", "")] = function
    return function


@_register
async def kill(target: FaultTarget, rng: random.Random) -> None:
    """Kills an entry VM; its supervisor restarts it."""
    rng.choice(target.vms).signal(signal.SIGKILL)


@_register
async def kill_all(target: FaultTarget, rng: random.Random) -> None:
    """Kills all entry VMs at almost the same time."""
    for vm in target.vms:
        vm.signal(signal.SIGKILL)
        await asyncio.sleep(rng.uniform(0.0, 0.02))


@_register
async def stop(target: FaultTarget, rng: random.Random) -> None:
    """Stops an entry VM gracefully; its supervisor restarts it."""
    rng.choice(target.vms).signal(signal.SIGTERM)


@_register
async def reload(target: FaultTarget, rng: random.Random) -> None:
    """Makes an entry VM reload its settings."""
    rng.choice(target.vms).signal(signal.SIGHUP)


@_register
async def pause(target: FaultTarget, rng: random.Random) -> None:
    """Pauses the process of an entry VM for a while."""
    vm = rng.choice(target.vms)
    vm.signal(signal.SIGSTOP)
    try:
        await asyncio.sleep(rng.uniform(0.5, 2 * _MAX_FAULT_S))
    finally:
        vm.signal(signal.SIGCONT)


@_register
async def cut_connections(target: FaultTarget, rng: random.Random) -> None:
    """Resets all connections of a link."""
    _choose_link(target, rng).cut()


@_register
async def silence(target: FaultTarget, rng: random.Random) -> None:
    """Drops or freezes the bytes of one or both directions of a link."""
    link = _choose_link(target, rng)
    directions = rng.choice((("up",), ("down",), ("up", "down")))
    mode = rng.choice(("drop", "freeze"))
    await _set_link_faults_temporarily(
        link, {name: {"mode": mode} for name in directions}, rng
    )
    # A connection that has lost bytes forwards no more in that direction.
    if mode == "drop":
        link.cut()


@_register
async def delay(target: FaultTarget, rng: random.Random) -> None:
    """Delays the bytes of a link in both directions."""
    delayed = {"delay_s": rng.uniform(0.02, 0.4), "jitter_s": 0.1}
    await _set_link_faults_temporarily(
        _choose_link(target, rng), {"up": delayed, "down": delayed}, rng
    )


@_register
async def lose_answers(target: FaultTarget, rng: random.Random) -> None:
    """Loses some answers on a link whose requests have taken effect."""
    await _set_link_faults_temporarily(
        _choose_link(target, rng), {"lose_answers_probability": 0.3}, rng
    )


@_register
async def store_away(target: FaultTarget, rng: random.Random) -> None:
    """Makes the store refuse all requests for a while."""
    await _set_store_flag_temporarily(target, "is_store_unavailable", rng)


@_register
async def store_silent(target: FaultTarget, rng: random.Random) -> None:
    """Makes the store answer no requests for a while."""
    await _set_store_flag_temporarily(target, "is_store_silent", rng)


@_register
async def forget_history(target: FaultTarget, rng: random.Random) -> None:
    """Makes the store drop all but the newest records, as if they expired."""
    del rng
    target.expire_history()


@_register
async def lose_worker(target: FaultTarget, rng: random.Random) -> None:
    """Replaces a worker by another one."""
    await target.workers.replace(rng.choice(sorted(target.workers.links)))


@_register
async def restart_worker(target: FaultTarget, rng: random.Random) -> None:
    """Starts a worker again under its id; its clock may have stepped."""
    step_ms = rng.randint(-_MAX_CLOCK_STEP_MS, _MAX_CLOCK_STEP_MS)
    await target.workers.restart(
        rng.choice(sorted(target.workers.links)),
        rng.choice((0, step_ms)),
        rng.choice((0.0, rng.uniform(0.5, _MAX_FAULT_S))),
    )


@_register
async def write_foreign_entry(target: FaultTarget, rng: random.Random) -> None:
    """Writes an entry with another start time under the id of a worker."""
    worker_id = rng.choice(sorted(target.workers.links))
    step_ms = rng.randint(-_MAX_CLOCK_STEP_MS, _MAX_CLOCK_STEP_MS)
    started_ms = int(time.time() * 1000) + step_ms
    target.workers.write_foreign_entry(
        worker_id, started_ms, rng.choice(("pool", "unknown"))
    )


@_register
async def evacuate_zone(target: FaultTarget, rng: random.Random) -> None:
    """Evacuates an availability zone for a while."""
    zone = rng.choice(evacuated_zones.ZONES)
    await target.zones.evacuate(zone, rng.uniform(0.5, _MAX_EVACUATION_S))


async def _set_store_flag_temporarily(
    target: FaultTarget, flag: str, rng: random.Random
) -> None:
    """Sets an attribute of the target to true for a random time."""
    setattr(target, flag, True)
    try:
        await asyncio.sleep(rng.uniform(0.3, _MAX_FAULT_S))
    finally:
        setattr(target, flag, False)


def _choose_link(
    target: FaultTarget, rng: random.Random
) -> fault_proxy.FaultProxy:
    """Chooses a link from an entry VM to the store, or one to a worker."""
    workers = [
        target.workers.links[name] for name in sorted(target.workers.links)
    ]
    return rng.choice([*(vm.store_link for vm in target.vms), *workers])


async def _set_link_faults_temporarily(
    link: fault_proxy.FaultProxy,
    changes: dict[str, typing.Any],
    rng: random.Random,
) -> None:
    """Sets faults of a link for a random time."""
    end_s = time.monotonic() + rng.uniform(0.3, _MAX_FAULT_S)
    link.set_faults(changes)
    try:
        await asyncio.sleep(max(0.0, end_s - time.monotonic()))
    finally:
        link.set_faults(_NO_LINK_FAULTS)


_NO_DIRECTION_FAULTS = {"mode": "pass", "delay_s": 0.0, "jitter_s": 0.0}
_NO_LINK_FAULTS = {
    "up": _NO_DIRECTION_FAULTS,
    "down": _NO_DIRECTION_FAULTS,
    "lose_answers_probability": 0.0,
}
