"""Queues that peak in turn, served by the VMs that `fleet.Fleet` orders.

Guards against VMs that come too late for a peak or stay too long after it. Jobs
have one to three steps of eight tasks, one after the other.
"""

import random
import typing
from collections.abc import Sequence

from foxtaillock.batch import interfaces
from foxtaillock.batch.vms import fleet
from foxtaillock.batch.vms import pool_sizes
from foxtaillock.batch.vms import vm_ledger
from foxtaillock.model import resources

__all__ = ["POOLS", "Result", "TurningLoad", "Turn", "turns"]

POOLS = ("a", "b", "c", "d")

_STEP_S = 0.1
_MOVE_S = 1.5
_START_S = 0.3
_SLOTS_PER_VM = 8
_VM_MILLIS = 16_000
_TASK_MILLIS = 2_000
_TASKS_PER_STEP = 8
_VMS_PER_POOL = 12
_QUIET_RATE = 0.3


class Turn(typing.NamedTuple):
    """A pool is asked for `jobs_per_s` more from `start_s` to `end_s`."""

    pool: str
    start_s: float
    end_s: float
    jobs_per_s: float


def turns(
    count: int, turn_s: float = 4.5, jobs_per_s: float = 10.0
) -> list[Turn]:
    """Returns turns that follow each other through the pools."""
    return [
        Turn(
            POOLS[number % len(POOLS)],
            number * turn_s,
            (number + 1) * turn_s,
            jobs_per_s,
        )
        for number in range(count)
    ]


class Result(typing.NamedTuple):
    """Result of one run.

    Attributes:
        wait_s: mean time for which a task waited.
        late: fraction of the tasks that waited for more than a second.
        vm_s: VM seconds spent in pools, moves included.
        moves: number of moves.
    """

    wait_s: float
    late: float
    vm_s: float
    moves: int

    @property
    def cost(self) -> float:
        """Cost of VM seconds and moves on the platform."""
        return 0.022 * self.vm_s + 0.025 * self.moves


class TurningLoad:
    """Four pools and a spare one of equal size.

    Args:
        seed: seed of the arrivals.
        load: the turns.
        until_s: end of the run.
    """

    def __init__(self, seed: int, load: Sequence[Turn], until_s: float) -> None:
        self.fleet = fleet.Fleet()
        self.events: list[str] = []
        self._random = random.Random(seed)
        self._load = load
        self._until_s = until_s
        self._pool_of = {
            f"{pool}{number:02}": pool
            for pool in (*POOLS, "spare")
            for number in range(_VMS_PER_POOL)
        }
        self._up_s = dict.fromkeys(self._pool_of, 0.0)
        self._ends_s: dict[str, list[float]] = {vm: [] for vm in self._pool_of}
        self._idle_since_s = dict.fromkeys(self._pool_of, 0.0)
        # Time at which each task became ready, and steps that follow.
        self._waiting: dict[str, list[tuple[float, int]]] = {
            pool: [] for pool in POOLS
        }
        self._followers: dict[str, list[tuple[float, int]]] = {
            pool: [] for pool in POOLS
        }
        self._waits_s: list[float] = []
        self._vm_s = 0.0
        self._moves = 0

    def run(self) -> Result:
        """Runs the load to its end."""
        for step in range(int(self._until_s / _STEP_S)):
            self.step(step * _STEP_S)
        waits_s = self._waits_s + [
            self._until_s - ready_s
            for waiting in self._waiting.values()
            for ready_s, _ in waiting
        ]
        return Result(
            sum(waits_s) / len(waits_s),
            sum(wait_s > 1.0 for wait_s in waits_s) / len(waits_s),
            self._vm_s,
            self._moves,
        )

    def step(self, now_s: float) -> None:
        """Advances by one step."""
        self._vm_s += _STEP_S * sum(
            pool != "spare" for pool in self._pool_of.values()
        )
        cordoned = {
            worker.removeprefix("w-") for worker in self.fleet.cordoned_workers
        }
        for pool in POOLS:
            self._submit(pool, now_s)
            self._place(pool, cordoned, now_s)
        loads = {pool: self._pool_load(pool, cordoned, now_s) for pool in POOLS}
        self.fleet.observe(loads, now_s)
        self.events += [event.name for event in self.fleet.take_events()]
        rows = [
            interfaces.VmStatus(
                vm,
                pool,
                self._up_s[vm] <= now_s,
                "z",
                (),
                resources.Resources(_VM_MILLIS, 1 << 36, 0),
                f"w-{vm}" if self._is_ready(vm, now_s) else "",
            )
            for vm, pool in self._pool_of.items()
        ]
        if round(now_s / _STEP_S) % 5 == 0:
            self.fleet.update_vms(rows, "spare", now_s)
        for order in self.fleet.next_moves(self._uses(now_s), loads, now_s):
            self.fleet.order_answered(
                order, interfaces.VmOrderOutcome.DONE, now_s
            )
            self._pool_of[order.vm] = order.pool
            self._up_s[order.vm] = now_s + _MOVE_S
            self._idle_since_s[order.vm] = now_s + _MOVE_S + _START_S
            self._moves += 1

    def _is_ready(self, vm: str, now_s: float) -> bool:
        starts_s = self._up_s[vm] + (_START_S if self._up_s[vm] else 0.0)
        return self._pool_of[vm] != "spare" and starts_s <= now_s

    def _submit(self, pool: str, now_s: float) -> None:
        rate = _QUIET_RATE + sum(
            turn.jobs_per_s
            for turn in self._load
            if turn.pool == pool and turn.start_s <= now_s < turn.end_s
        )
        for _ in range(20):
            if self._random.random() < rate * _STEP_S / 20:
                self._add_step(pool, now_s, self._random.randrange(3))
        due = [each for each in self._followers[pool] if each[0] <= now_s]
        for each in due:
            self._followers[pool].remove(each)
            self._add_step(pool, now_s, each[1])

    def _add_step(self, pool: str, now_s: float, left: int) -> None:
        """Adds the tasks of a step; the last one stands for the next step."""
        tasks = [(now_s, 0)] * (_TASKS_PER_STEP - 1)
        self._waiting[pool] += [*tasks, (now_s, left)]

    def _place(self, pool: str, cordoned: set[str], now_s: float) -> None:
        vms = [
            vm
            for vm, own in self._pool_of.items()
            if own == pool and self._is_ready(vm, now_s)
        ]
        for vm in vms:
            if self._ends_s[vm]:
                self._ends_s[vm] = [e for e in self._ends_s[vm] if e > now_s]
                if not self._ends_s[vm]:
                    self._idle_since_s[vm] = now_s
        vms = [vm for vm in vms if vm not in cordoned]
        waiting = self._waiting[pool]
        while waiting:
            free = [vm for vm in vms if len(self._ends_s[vm]) < _SLOTS_PER_VM]
            if not free:
                return
            ready_s, left = waiting.pop(0)
            fullest = max(free, key=lambda vm: len(self._ends_s[vm]))
            end_s = now_s + self._random.uniform(0.6, 1.4)
            self._ends_s[fullest].append(end_s)
            self._waits_s.append(now_s - ready_s)
            if left:
                self._followers[pool].append((end_s, left - 1))

    def _pool_load(
        self, pool: str, cordoned: set[str], now_s: float
    ) -> pool_sizes.PoolLoad:
        vms = [vm for vm, own in self._pool_of.items() if own == pool]
        ready = sum(
            self._is_ready(vm, now_s) and vm not in cordoned for vm in vms
        )
        running = sum(len(self._ends_s[vm]) for vm in vms)
        waiting = len(self._waiting[pool])
        return pool_sizes.PoolLoad(
            waiting * _TASK_MILLIS,
            (waiting + running) * _TASK_MILLIS,
            _VM_MILLIS,
            ready * _VM_MILLIS,
            1,
        )

    def _uses(self, now_s: float) -> dict[str, vm_ledger.VmUse]:
        return {
            vm: vm_ledger.VmUse(
                len(self._ends_s[vm]),
                0,
                0.0
                if self._ends_s[vm]
                else max(0.0, now_s - self._idle_since_s[vm]),
            )
            for vm in self._pool_of
            if self._is_ready(vm, now_s)
        }
