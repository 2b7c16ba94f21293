"""Health of one runner: failures, ejection, probation and slow start."""

import enum
import math
import random

__all__ = ["Health", "Result", "Stage"]

_FAILURES_IN_A_ROW = 5
_FAILURE_SHARE = 0.5
_MIN_SAMPLES = 10
_WEIGHT = 0.1
_EJECTION_BASE_S = 2.0
_EJECTION_MAX_S = 30.0
_MAX_EJECTIONS = 8


class Result(enum.Enum):
    """What a try says about its runner."""

    ANSWERED = enum.auto()
    FAILED = enum.auto()
    REFUSED = enum.auto()
    CANCELLED = enum.auto()


class Stage(enum.Enum):
    """How much work a runner may get."""

    HEALTHY = enum.auto()
    EJECTED = enum.auto()
    PROBATION = enum.auto()


class Health:
    """Health of a runner, from the results of the own tries.

    An ejected runner gets no work until its time is over. It then is on
    probation: its window starts at one call and grows by one with each
    answer; one failure ejects it again, for longer.

    Args:
        is_new: whether the runner starts with a window of one call.

    Attributes:
        latency_s: moving average of the time of an answer; zero if none.
        window: calls that may be in flight at once on probation.
    """

    def __init__(self, is_new: bool = False) -> None:
        self.latency_s = 0.0
        self.window = 1.0 if is_new else math.inf
        self._in_a_row = 0
        self._failure_share = 0.0
        self._samples = 0
        self._ejections = 0
        self._ejected_until_s = -math.inf

    def stage(self, now_s: float) -> Stage:
        """Returns the stage at `now_s`."""
        if now_s < self._ejected_until_s:
            return Stage.EJECTED
        if self.window < math.inf:
            return Stage.PROBATION
        return Stage.HEALTHY

    def note(
        self,
        result: Result,
        latency_s: float,
        now_s: float,
        slots: int,
        rng: random.Random,
    ) -> None:
        """Takes the result of one try."""
        if result is Result.ANSWERED:
            self._note_answer(latency_s, slots)
        elif result is Result.FAILED:
            self._note_failure(now_s, rng)

    def _note_answer(self, latency_s: float, slots: int) -> None:
        self._in_a_row = 0
        self._samples += 1
        self._failure_share *= 1.0 - _WEIGHT
        if self.latency_s == 0.0:
            self.latency_s = latency_s
        self.latency_s += _WEIGHT * (latency_s - self.latency_s)
        if self.window < math.inf:
            self.window += 1.0
            if self.window > slots:
                self.window = math.inf
                self._ejections = 0

    def _note_failure(self, now_s: float, rng: random.Random) -> None:
        if now_s < self._ejected_until_s:
            return
        self._in_a_row += 1
        self._samples += 1
        self._failure_share += _WEIGHT * (1.0 - self._failure_share)
        is_often = (
            self._samples >= _MIN_SAMPLES
            and self._failure_share > _FAILURE_SHARE
        )
        is_on_probation = self.window < math.inf
        if is_on_probation or is_often or self._in_a_row >= _FAILURES_IN_A_ROW:
            self._eject(now_s, rng)

    def _eject(self, now_s: float, rng: random.Random) -> None:
        bound_s = min(_EJECTION_MAX_S, _EJECTION_BASE_S * 2.0**self._ejections)
        self._ejected_until_s = now_s + bound_s * rng.uniform(0.75, 1.25)
        self._ejections = min(self._ejections + 1, _MAX_EJECTIONS)
        self.window = 1.0
        self._in_a_row = 0
        self._failure_share = 0.0
        self._samples = 0
