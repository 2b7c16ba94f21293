"""Passive health checks of a runner: ejection, probation and slow start."""

import enum
import math
import random

__all__ = ["AttemptResult", "EjectionState", "RunnerHealth"]

_MAX_CONSECUTIVE_FAILURES = 5
_MAX_FAILURE_RATE = 0.5
_MIN_SAMPLES = 10
_EWMA_WEIGHT = 0.1
_MIN_EJECTION_S = 2.0
_MAX_EJECTION_S = 30.0
_MAX_BACKOFF_EXPONENT = 8


class AttemptResult(enum.Enum):
    """Outcome of an attempt, as far as it concerns the runner."""

    ANSWERED = enum.auto()
    FAILED = enum.auto()
    REFUSED = enum.auto()
    CANCELLED = enum.auto()


class EjectionState(enum.Enum):
    """State of a runner in the ejection cycle."""

    HEALTHY = enum.auto()
    EJECTED = enum.auto()
    PROBATION = enum.auto()


class RunnerHealth:
    """Health of a runner, derived from this entry VM's attempts on it.

    An ejected runner gets no calls until its ejection time is over. It then is
    on probation: its window starts at one call and grows by one with each
    answer; one failure ejects it again, for longer.

    Args:
        is_new: whether the runner starts with a window of one call.

    Attributes:
        latency_s: moving average of the answers' latency; zero before the
            first answer.
        window: maximum number of calls in flight on probation; infinite
            when healthy.
    """

    def __init__(self, is_new: bool = False) -> None:
        self.latency_s = 0.0
        self.window = 1.0 if is_new else math.inf
        self._consecutive_failures = 0
        self._failure_rate = 0.0
        self._samples = 0
        self._backoff_exponent = 0
        self._ejected_until_s = -math.inf

    def state(self, now_s: float) -> EjectionState:
        """Returns the state at `now_s`."""
        if now_s < self._ejected_until_s:
            return EjectionState.EJECTED
        if self.window < math.inf:
            return EjectionState.PROBATION
        return EjectionState.HEALTHY

    def record(
        self,
        result: AttemptResult,
        latency_s: float,
        now_s: float,
        slots: int,
        rng: random.Random,
    ) -> None:
        """Records the result of one attempt.

        Refusals and cancellations say nothing about the health of a runner.
        """
        if result is AttemptResult.ANSWERED:
            self._record_answer(latency_s, slots)
        elif result is AttemptResult.FAILED:
            self._record_failure(now_s, rng)

    def _record_answer(self, latency_s: float, slots: int) -> None:
        self._consecutive_failures = 0
        self._samples += 1
        self._failure_rate *= 1.0 - _EWMA_WEIGHT
        if self.latency_s == 0.0:
            self.latency_s = latency_s
        self.latency_s += _EWMA_WEIGHT * (latency_s - self.latency_s)
        if self.window < math.inf:
            self.window += 1.0
            if self.window > slots:
                self.window = math.inf
                self._backoff_exponent = 0

    def _record_failure(self, now_s: float, rng: random.Random) -> None:
        if now_s < self._ejected_until_s:
            return
        self._consecutive_failures += 1
        self._samples += 1
        self._failure_rate += _EWMA_WEIGHT * (1.0 - self._failure_rate)
        is_rate_exceeded = (
            self._samples >= _MIN_SAMPLES
            and self._failure_rate > _MAX_FAILURE_RATE
        )
        is_on_probation = self.window < math.inf
        if (
            is_on_probation
            or is_rate_exceeded
            or self._consecutive_failures >= _MAX_CONSECUTIVE_FAILURES
        ):
            self._eject(now_s, rng)

    def _eject(self, now_s: float, rng: random.Random) -> None:
        backoff_s = min(
            _MAX_EJECTION_S, _MIN_EJECTION_S * 2.0**self._backoff_exponent
        )
        self._ejected_until_s = now_s + backoff_s * rng.uniform(0.75, 1.25)
        self._backoff_exponent = min(
            self._backoff_exponent + 1, _MAX_BACKOFF_EXPONENT
        )
        self.window = 1.0
        self._consecutive_failures = 0
        self._failure_rate = 0.0
        self._samples = 0
