"""Learns how long runs take relative to their submitters' estimates.

Answers the load of queues whose estimates are off by up to nine tenths of
their value, in a full pool: what ends soon and what is late would be judged by
estimates that are wrong in the same way for each job.

Durations spread by factors, so a ratio is kept as the mean of its logarithm. It
belongs to a queue and the number of a step, since the steps of a queue's jobs
do the same work in turn.
"""

import dataclasses
import math
from collections.abc import Iterable
from collections.abc import Mapping

from foxtaillock.batch import records
from foxtaillock.model import moving_average

__all__ = ["MAX_PAIRS", "NO_RATIOS", "RunEstimates"]

# Pairs of queue and step that are kept, the most recently observed ones.
MAX_PAIRS = 256

# Samples from which on a ratio is used.
_MIN_SAMPLES = 5.0

# Earlier samples count as at most this many, and lose half of their weight in
# this time.
_MAX_SAMPLES = 50.0
_HALF_LIFE_S = 300.0

# Ratios beyond this factor count as this factor.
_MAX_LOG = math.log(16.0)

# A ratio in use is replaced once the learned one differs by this much, so that
# what is computed from it can be kept.
_LOG_TOLERANCE = 0.1

# Ratios in use before any was learned.
NO_RATIOS: Mapping[int, float] = {}

_Pair = tuple[str, int]


@dataclasses.dataclass(slots=True)
class _Learned:
    mean: moving_average.MovingAverage
    updated_s: float

    def add(self, log_ratio: float, now_s: float) -> None:
        """Adds a sample, to which the earlier ones have lost weight."""
        self.mean.samples = self.samples_at(now_s)
        self.mean.add(log_ratio, _MAX_SAMPLES)
        self.updated_s = now_s

    def samples_at(self, now_s: float) -> float:
        """Returns the weight of the samples at a later time."""
        return _aged(self.mean.samples, now_s - self.updated_s)


class RunEstimates:
    """Learned ratios of the durations of runs to their estimates.

    Example:
        >>> learned = RunEstimates()
        >>> for _ in range(20):
        ...     learned.observe("q", 0, 1000, 1.5, 10.0)
        >>> round(learned.expected_s("q", 0, 2000), 3)
        3.0
    """

    def __init__(self) -> None:
        # In the order of the latest observation.
        self._learned: dict[_Pair, _Learned] = {}
        self._ratios: dict[str, Mapping[int, float]] = {}

    def ratios(self, queue: str) -> Mapping[int, float]:
        """Returns the ratios in use for a queue, by step number.

        The mapping is never changed: another one takes its place.
        """
        return self._ratios.get(queue, NO_RATIOS)

    def expected_s(self, queue: str, step: int, estimate_ms: int) -> float:
        """Returns the expected duration of a run."""
        return self.ratios(queue).get(step, 1.0) * estimate_ms / 1000

    def observe(
        self,
        queue: str,
        step: int,
        estimate_ms: int,
        duration_s: float,
        now_s: float,
    ) -> None:
        """Records a completed run on a sound worker."""
        if estimate_ms <= 0 or duration_s <= 0:
            return
        log_ratio = _clip(math.log(duration_s * 1000 / estimate_ms))
        pair = (queue, step)
        learned = self._learned.pop(pair, None)
        if learned is None:
            learned = _Learned(moving_average.MovingAverage(0.0, 0.0), now_s)
        learned.add(log_ratio, now_s)
        self._keep(pair, learned)

    def snapshot(self, now_s: float) -> list[records.RunEstimate]:
        """Returns what was learned, the least recently observed pair first."""
        return [
            records.RunEstimate(
                *pair,
                learned.samples_at(now_s),
                learned.mean.value,
            )
            for pair, learned in self._learned.items()
        ]

    def restore(
        self, rows: Iterable[records.RunEstimate], age_s: float, now_s: float
    ) -> None:
        """Applies the snapshot of an earlier owner.

        Pairs that this owner has observed itself, and rows that can't be true,
        are left out.

        Args:
            rows: the snapshot.
            age_s: time since it was taken.
            now_s: current time.
        """
        for queue, step, samples, mean_log in rows:
            is_valid = (
                math.isfinite(samples)
                and samples > 0
                and abs(mean_log) <= _MAX_LOG
            )
            if not is_valid or (queue, step) in self._learned:
                continue
            weight = _aged(min(samples, _MAX_SAMPLES), max(0.0, age_s))
            mean = moving_average.MovingAverage(mean_log, weight)
            self._keep((queue, step), _Learned(mean, now_s))

    def _keep(self, pair: _Pair, learned: _Learned) -> None:
        """Keeps a pair as the most recently observed one."""
        self._learned[pair] = learned
        if len(self._learned) > MAX_PAIRS:
            oldest = next(iter(self._learned))
            del self._learned[oldest]
            self._publish(oldest, None)
        if learned.mean.samples < _MIN_SAMPLES:
            return
        used = self.ratios(pair[0]).get(pair[1])
        if (
            used is None
            or abs(math.log(used) - learned.mean.value) > _LOG_TOLERANCE
        ):
            self._publish(pair, math.exp(learned.mean.value))

    def _publish(self, pair: _Pair, ratio: float | None) -> None:
        """Puts a ratio in use, or none."""
        queue, step = pair
        ratios = dict(self.ratios(queue))
        ratios.pop(step, None)
        if ratio is not None:
            ratios[step] = ratio
        self._ratios[queue] = ratios
        if not ratios:
            del self._ratios[queue]


def _aged(samples: float, age_s: float) -> float:
    return samples * math.pow(0.5, age_s / _HALF_LIFE_S)


def _clip(log_ratio: float) -> float:
    return min(max(log_ratio, -_MAX_LOG), _MAX_LOG)
