"""Slows tasks that fill a worker down while they disturb those that serve.

For workers on which tasks with a bound of response times share the processor
with fillers. The fillers' share is halved at once when a task comes near its
bound, and grows in small steps when it is well under it, so that a disturbance
that changes within seconds does not make the share swing.
"""

from collections.abc import Iterable

__all__ = ["NEAR_TARGET", "next_percent"]

# Part of its target from which a serving task's fillers are slowed down.
NEAR_TARGET = 0.85

# Part of its target under which they may work more.
_FAR_FROM_TARGET = 0.6

_WHOLE_PERCENT = 100
_STEP_PERCENT = 15

# Share under which fillers are stopped from working.
_LEAST_PERCENT = 10


def next_percent(percent: int, readings: Iterable[tuple[float, int]]) -> int:
    """Returns the share for the fillers of a worker.

    Args:
        percent: their share until now.
        readings: response time and target, in milliseconds, of each task that
            serves on the worker.

    Example:
        >>> next_percent(100, [(50.0, 40)])
        50
        >>> next_percent(50, [(10.0, 40)])
        65
    """
    fractions = [reading / target for reading, target in readings if target]
    if not fractions:
        return _WHOLE_PERCENT
    worst = max(fractions)
    if worst >= NEAR_TARGET:
        halved = percent // 2
        return halved if halved >= _LEAST_PERCENT else 0
    if worst < _FAR_FROM_TARGET:
        return min(_WHOLE_PERCENT, percent + _STEP_PERCENT)
    return percent
