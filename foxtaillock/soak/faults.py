"""Faults of the soak; each begins, lasts and ends by itself."""

import asyncio
import random
import signal
import time
import typing
from collections.abc import Awaitable
from collections.abc import Callable

from foxtaillock.proxy import fault_proxy
from foxtaillock.soak import processes

__all__ = ["FAULTS", "Fault", "World"]

_LONGEST_S = 3.0


class World(typing.Protocol):
    """What faults may touch.

    Attributes:
        vms: entry VMs.
        worker_links: links to the workers.
        is_store_away: whether the store refuses everything.
        is_store_silent: whether the store answers nothing.
    """

    vms: list[processes.EntryVmProcess]
    worker_links: dict[str, fault_proxy.FaultProxy]
    is_store_away: bool
    is_store_silent: bool

    async def replace_worker(self, worker_id: str) -> None:
        """Ends a worker and starts another one."""

    def expire_history(self) -> None:
        """Lets the store forget all but the newest records."""


Fault = Callable[[World, random.Random], Awaitable[None]]

FAULTS: dict[str, Fault] = {}


def _fault(function: Fault) -> Fault:
    """Adds a fault to the registry under its name."""
    FAULTS[getattr(function, "__name__", "")] = function
    return function


@_fault
async def kill(world: World, rng: random.Random) -> None:
    """Kills an entry VM, which is started again."""
    rng.choice(world.vms).signal(signal.SIGKILL)


@_fault
async def kill_all(world: World, rng: random.Random) -> None:
    """Kills all entry VMs within a moment."""
    for vm in world.vms:
        vm.signal(signal.SIGKILL)
        await asyncio.sleep(rng.uniform(0.0, 0.02))


@_fault
async def stop(world: World, rng: random.Random) -> None:
    """Stops an entry VM gracefully; it is started again."""
    rng.choice(world.vms).signal(signal.SIGTERM)


@_fault
async def reload(world: World, rng: random.Random) -> None:
    """Tells an entry VM that its settings have changed."""
    rng.choice(world.vms).signal(signal.SIGHUP)


@_fault
async def pause(world: World, rng: random.Random) -> None:
    """Lets an entry VM stand still for a while."""
    vm = rng.choice(world.vms)
    vm.signal(signal.SIGSTOP)
    try:
        await asyncio.sleep(rng.uniform(0.5, 2 * _LONGEST_S))
    finally:
        vm.signal(signal.SIGCONT)


@_fault
async def cut_connections(world: World, rng: random.Random) -> None:
    """Resets all connections of a link."""
    _any_link(world, rng).cut()


@_fault
async def silence(world: World, rng: random.Random) -> None:
    """Lets one direction of a link, or both, lose what passes."""
    link = _any_link(world, rng)
    directions = rng.choice((("up",), ("down",), ("up", "down")))
    mode = rng.choice(("drop", "freeze"))
    await _with_faults(link, {name: {"mode": mode} for name in directions}, rng)
    if mode == "drop":
        link.cut()


@_fault
async def delay(world: World, rng: random.Random) -> None:
    """Delays what passes a link."""
    late = {"delay_s": rng.uniform(0.02, 0.4), "jitter_s": 0.1}
    await _with_faults(_any_link(world, rng), {"up": late, "down": late}, rng)


@_fault
async def lose_answers(world: World, rng: random.Random) -> None:
    """Loses some answers after their requests have taken effect."""
    await _with_faults(
        _any_link(world, rng), {"lose_answers_probability": 0.3}, rng
    )


@_fault
async def store_away(world: World, rng: random.Random) -> None:
    """Lets the store refuse everything for a while."""
    await _with_store(world, "is_store_away", rng)


@_fault
async def store_silent(world: World, rng: random.Random) -> None:
    """Lets the store answer nothing for a while."""
    await _with_store(world, "is_store_silent", rng)


@_fault
async def forget_history(world: World, rng: random.Random) -> None:
    """Lets the store forget its history."""
    del rng
    world.expire_history()


@_fault
async def lose_worker(world: World, rng: random.Random) -> None:
    """Ends a worker; another one comes."""
    await world.replace_worker(rng.choice(sorted(world.worker_links)))


async def _with_store(world: World, state: str, rng: random.Random) -> None:
    """Sets a state of the store for a while."""
    setattr(world, state, True)
    try:
        await asyncio.sleep(rng.uniform(0.3, _LONGEST_S))
    finally:
        setattr(world, state, False)


def _any_link(world: World, rng: random.Random) -> fault_proxy.FaultProxy:
    """Returns the link of an entry VM to the store, or one to a worker."""
    workers = [world.worker_links[name] for name in sorted(world.worker_links)]
    return rng.choice([*(vm.store_link for vm in world.vms), *workers])


async def _with_faults(
    link: fault_proxy.FaultProxy,
    changes: dict[str, typing.Any],
    rng: random.Random,
) -> None:
    """Sets faults of a link for a while."""
    until_s = time.monotonic() + rng.uniform(0.3, _LONGEST_S)
    link.set_faults(changes)
    try:
        await asyncio.sleep(max(0.0, until_s - time.monotonic()))
    finally:
        link.set_faults(_CLEAN)


_PASSING = {"mode": "pass", "delay_s": 0.0, "jitter_s": 0.0}
_CLEAN = {"up": _PASSING, "down": _PASSING, "lose_answers_probability": 0.0}
