"""Corrections of declared sizes and run times, learned by team and queue."""

import typing

from foxtaillock.model import moving_average
from foxtaillock.model import resources

__all__ = ["Corrections", "MAX_FACTOR", "MIN_FACTOR"]

MIN_FACTOR = 0.5
MAX_FACTOR = 2.0
MAX_RUN_TIME_FACTOR = 10.0
PRIOR_SAMPLES = 5.0
MAX_SAMPLES = 50.0
MAX_TRACKED_QUEUES = 2_000


class _Ratios(typing.NamedTuple):
    """Moving averages of ratios of observed to declared usage.

    They start at 1.0, weighted as `PRIOR_SAMPLES` samples, so that the first
    job of a queue has little effect.
    """

    cpu: moving_average.MovingAverage
    memory: moving_average.MovingAverage
    run_time: moving_average.MovingAverage


class Corrections:
    """Learned ratios of observed to declared usage of jobs.

    At most `MAX_TRACKED_QUEUES` pairs of team and queue are kept; the one
    added first is dropped.

    Example:
        >>> learned = Corrections()
        >>> declared = resources.Resources(1000, 1000, 1)
        >>> learned.size("nesting", "rush", declared)
        Resources(cpu_millis=1000, memory_bytes=1000, accelerators=1)
        >>> for _ in range(100):
        ...     learned.observe_size("nesting", "rush", 9.0, 1.0)
        >>> learned.size("nesting", "rush", declared)
        Resources(cpu_millis=2000, memory_bytes=1000, accelerators=1)
    """

    def __init__(self) -> None:
        self._ratios: dict[tuple[str, str], _Ratios] = {}

    def __len__(self) -> int:
        return len(self._ratios)

    def observe_size(
        self, team: str, queue: str, cpu_ratio: float, memory_ratio: float
    ) -> None:
        """Records the fractions of its declared size that a job used."""
        ratios = self._get_ratios(team, queue)
        ratios.cpu.add(_clip_sample(cpu_ratio, MAX_FACTOR), MAX_SAMPLES)
        ratios.memory.add(_clip_sample(memory_ratio, MAX_FACTOR), MAX_SAMPLES)

    def observe_run_time(self, team: str, queue: str, ratio: float) -> None:
        """Records the ratio of a job's run time to its declared one."""
        ratios = self._get_ratios(team, queue)
        ratios.run_time.add(
            _clip_sample(ratio, MAX_RUN_TIME_FACTOR), MAX_SAMPLES
        )

    def size(
        self, team: str, queue: str, declared: resources.Resources
    ) -> resources.Resources:
        """Returns the resources to reserve.

        The number of accelerators is never corrected.
        """
        ratios = self._ratios.get((team, queue))
        if ratios is None:
            return declared
        cpu = _clip_factor(ratios.cpu.value, MAX_FACTOR)
        memory = _clip_factor(ratios.memory.value, MAX_FACTOR)
        return resources.Resources(
            _round_up(declared.cpu_millis * cpu),
            _round_up(declared.memory_bytes * memory),
            declared.accelerators,
        )

    def run_time_s(self, team: str, queue: str, declared_s: float) -> float:
        """Returns the expected run time."""
        ratios = self._ratios.get((team, queue))
        if ratios is None:
            return declared_s
        factor = _clip_factor(ratios.run_time.value, MAX_RUN_TIME_FACTOR)
        return declared_s * factor

    def _get_ratios(self, team: str, queue: str) -> _Ratios:
        key = (team, queue)
        ratios = self._ratios.get(key)
        if ratios is None:
            if len(self._ratios) >= MAX_TRACKED_QUEUES:
                del self._ratios[next(iter(self._ratios))]
            ratios = self._ratios[key] = _Ratios(
                *(
                    moving_average.MovingAverage(1.0, PRIOR_SAMPLES)
                    for _ in _Ratios._fields
                )
            )
        return ratios


def _clip_sample(ratio: float, max_factor: float) -> float:
    """Returns an observed ratio, clipped to twice the largest factor.

    A single outlier then moves the average by a bounded amount.
    """
    return min(max(ratio, 0.0), 2.0 * max_factor)


def _clip_factor(value: float, max_factor: float) -> float:
    return min(max(value, MIN_FACTOR), max_factor)


def _round_up(amount: float) -> int:
    """Returns `amount` rounded up to two significant digits.

    Fewer distinct sizes make the search for a worker cheaper.
    """
    whole = int(amount + 0.5)
    digits = len(str(whole))
    if digits <= 2:
        return whole
    step = int(10 ** (digits - 2))
    return -(-whole // step) * step
