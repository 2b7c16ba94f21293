"""Corrections of declared sizes and run times, learned per team and queue."""

import dataclasses
import typing

from foxtaillock.model import resources

__all__ = ["Corrections", "MAX_FACTOR", "MIN_FACTOR"]

MIN_FACTOR = 0.5
MAX_FACTOR = 2.0
MAX_RUN_TIME_FACTOR = 10.0
PRIOR_SAMPLES = 5.0
MAX_SAMPLES = 50.0
MAX_KINDS = 2_000


@dataclasses.dataclass(slots=True)
class _Mean:
    """Mean that forgets old samples and begins at one.

    The prior counts as `PRIOR_SAMPLES` samples of ratio one, so that the
    first job of a kind changes little.
    """

    value: float = 1.0
    samples: float = PRIOR_SAMPLES

    def add(self, ratio: float) -> None:
        """Takes one observed ratio into the mean."""
        self.samples = min(self.samples + 1.0, MAX_SAMPLES)
        self.value += (ratio - self.value) / self.samples


class _Kind(typing.NamedTuple):
    cpu: _Mean
    memory: _Mean
    run_time: _Mean


class Corrections:
    """Learned ratios of what jobs use to what they declare.

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
        self._kinds: dict[tuple[str, str], _Kind] = {}

    def __len__(self) -> int:
        return len(self._kinds)

    def observe_size(
        self, team: str, queue: str, cpu_ratio: float, memory_ratio: float
    ) -> None:
        """Takes in how much of its declared size a job used."""
        kind = self._kind(team, queue)
        kind.cpu.add(_bounded(cpu_ratio, MAX_FACTOR))
        kind.memory.add(_bounded(memory_ratio, MAX_FACTOR))

    def observe_run_time(self, team: str, queue: str, ratio: float) -> None:
        """Takes in how much of its declared run time a job took."""
        kind = self._kind(team, queue)
        kind.run_time.add(_bounded(ratio, MAX_RUN_TIME_FACTOR))

    def size(
        self, team: str, queue: str, declared: resources.Resources
    ) -> resources.Resources:
        """Returns the resources to set aside; accelerators never change."""
        kind = self._kinds.get((team, queue))
        if kind is None:
            return declared
        cpu = _limited(kind.cpu.value, MAX_FACTOR)
        memory = _limited(kind.memory.value, MAX_FACTOR)
        return resources.Resources(
            _rounded(declared.cpu_millis * cpu),
            _rounded(declared.memory_bytes * memory),
            declared.accelerators,
        )

    def run_time_s(self, team: str, queue: str, declared_s: float) -> float:
        """Returns the run time to expect."""
        kind = self._kinds.get((team, queue))
        if kind is None:
            return declared_s
        factor = _limited(kind.run_time.value, MAX_RUN_TIME_FACTOR)
        return declared_s * factor

    def _kind(self, team: str, queue: str) -> _Kind:
        key = (team, queue)
        kind = self._kinds.get(key)
        if kind is None:
            if len(self._kinds) >= MAX_KINDS:
                del self._kinds[next(iter(self._kinds))]
            kind = self._kinds[key] = _Kind(_Mean(), _Mean(), _Mean())
        return kind


def _bounded(ratio: float, largest: float) -> float:
    """Returns an observation clipped a little outside the allowed factors."""
    return min(max(ratio, 0.0), 2.0 * largest)


def _limited(value: float, largest: float) -> float:
    return min(max(value, MIN_FACTOR), largest)


def _rounded(amount: float) -> int:
    """Returns `amount` rounded up to two significant digits.

    Few distinct sizes keep the search for a worker cheap.
    """
    whole = int(amount + 0.5)
    digits = len(str(whole))
    if digits <= 2:
        return whole
    step = int(10 ** (digits - 2))
    return -(-whole // step) * step
