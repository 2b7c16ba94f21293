"""Learns how long runs take relative to their submitters' estimates.

Answers the load of queues whose estimates are off by up to nine tenths of
their value, in a full pool: what ends soon, what is late and what fits into a
gap would be judged by estimates that are wrong in the same way for each job.

Durations spread by factors, so a ratio is kept as the mean and the deviation of
its logarithm. Both belong to a queue and the number of a step, since the steps
of a queue's jobs do the same work in turn.
"""

import dataclasses
import math
import statistics
from collections.abc import Iterable
from collections.abc import Mapping

from foxtaillock.batch import records
from foxtaillock.model import moving_average

__all__ = ["MAX_PAIRS", "NO_RATIOS", "RunEstimates"]

# Pairs of queue and step that are kept, the most recently observed ones.
MAX_PAIRS = 256

# Samples from which on a ratio is used, and from which on its spread is.
_MIN_SAMPLES = 5.0
_MIN_SPREAD_SAMPLES = 8.0

# Earlier samples count as at most this many, and lose half of their weight in
# this time.
_MAX_SAMPLES = 50.0
_HALF_LIFE_S = 300.0

# Ratios beyond this factor count as this factor.
_MAX_LOG = math.log(16.0)

# A ratio in use is replaced once the learned one differs by this much, so that
# what is computed from it can be kept.
_LOG_TOLERANCE = 0.1

# A few samples may be closer to each other than those to come.
_MIN_DEVIATION_LOG = 0.1

_Z_90 = statistics.NormalDist().inv_cdf(0.9)

# Ratios in use before any was learned.
NO_RATIOS: Mapping[int, float] = {}

_Pair = tuple[str, int]


@dataclasses.dataclass(slots=True)
class _Learned:
    mean: moving_average.MovingAverage
    square: moving_average.MovingAverage
    updated_s: float
    # Ratio that nine of ten runs don't exceed; None if it is not known.
    ratio_90: float | None = None

    @property
    def deviation_log(self) -> float:
        """Standard deviation of the logarithm of the ratio."""
        variance = self.square.value - self.mean.value**2
        return math.sqrt(max(0.0, variance))

    def add(self, log_ratio: float, now_s: float) -> None:
        """Adds a sample, to which the earlier ones have lost weight."""
        samples = self.samples_at(now_s)
        for average, value in (
            (self.mean, log_ratio),
            (self.square, log_ratio**2),
        ):
            average.samples = samples
            average.add(value, _MAX_SAMPLES)
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

    def percentile_90_s(
        self, queue: str, step: int, estimate_ms: int
    ) -> float | None:
        """Returns a duration that nine of ten runs don't exceed.

        Returns None if too few runs were observed.
        """
        learned = self._learned.get((queue, step))
        if learned is None or learned.ratio_90 is None:
            return None
        return learned.ratio_90 * estimate_ms / 1000

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
            learned = _Learned(
                moving_average.MovingAverage(0.0, 0.0),
                moving_average.MovingAverage(0.0, 0.0),
                now_s,
            )
        learned.add(log_ratio, now_s)
        self._keep(pair, learned)

    def snapshot(self, now_s: float) -> list[records.RunEstimate]:
        """Returns what was learned, the least recently observed pair first."""
        return [
            records.RunEstimate(
                *pair,
                learned.samples_at(now_s),
                learned.mean.value,
                learned.deviation_log,
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
        for queue, step, samples, mean_log, deviation_log in rows:
            is_valid = (
                all(map(math.isfinite, (samples, mean_log, deviation_log)))
                and samples > 0
                and abs(mean_log) <= _MAX_LOG
                and 0 <= deviation_log <= _MAX_LOG
            )
            if not is_valid or (queue, step) in self._learned:
                continue
            weight = _aged(min(samples, _MAX_SAMPLES), max(0.0, age_s))
            square = mean_log**2 + deviation_log**2
            learned = _Learned(
                moving_average.MovingAverage(mean_log, weight),
                moving_average.MovingAverage(square, weight),
                now_s,
            )
            self._keep((queue, step), learned)

    def _keep(self, pair: _Pair, learned: _Learned) -> None:
        """Keeps a pair as the most recently observed one."""
        self._learned[pair] = learned
        learned.ratio_90 = _ratio_90(learned)
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


def _ratio_90(learned: _Learned) -> float | None:
    """Returns the 90th percentile of the ratio; None for too few samples."""
    samples = learned.mean.samples
    if samples < _MIN_SPREAD_SAMPLES:
        return None
    deviation_log = max(_MIN_DEVIATION_LOG, learned.deviation_log)
    # The mean itself is uncertain by the deviation over the square root of the
    # number of samples.
    spread_log = deviation_log * math.sqrt(1 + 1 / samples)
    return math.exp(learned.mean.value + _Z_90 * spread_log)


def _aged(samples: float, age_s: float) -> float:
    return samples * math.pow(0.5, age_s / _HALF_LIFE_S)


def _clip(log_ratio: float) -> float:
    return min(max(log_ratio, -_MAX_LOG), _MAX_LOG)
