"""Limits the speed of fillers that slow down serving tasks on their worker.

Serving tasks have a target for their response time and share the processor
with fillers, which use only idle capacity. The control is additive increase,
multiplicative decrease: the fillers' limit is halved as soon as a response time
comes near its target, and grows in small steps while all are well below theirs,
so that interference which changes within seconds does not make it oscillate.
"""

from collections.abc import Iterable

__all__ = ["DECREASE_FRACTION", "next_limit_percent"]

# Fraction of the target from which on the fillers' limit is halved.
DECREASE_FRACTION = 0.85

# Fraction of the target below which the limit grows.
_INCREASE_FRACTION = 0.6

_FULL_SPEED_PERCENT = 100
_INCREASE_PERCENT = 15

# A limit below this is set to 0.
_MIN_PERCENT = 10


def next_limit_percent(
    percent: int, readings: Iterable[tuple[float, int]]
) -> int:
    """Returns the new speed limit of the fillers on a worker.

    Args:
        percent: their present limit, in percent of the full speed.
        readings: response time and target, in milliseconds, of the tasks on
            the worker; those with a target of 0 don't count.

    Example:
        >>> next_limit_percent(100, [(50.0, 40)])
        50
        >>> next_limit_percent(50, [(10.0, 40)])
        65
    """
    fractions = [reading / target for reading, target in readings if target]
    if not fractions:
        return _FULL_SPEED_PERCENT
    worst = max(fractions)
    if worst >= DECREASE_FRACTION:
        halved = percent // 2
        return halved if halved >= _MIN_PERCENT else 0
    if worst < _INCREASE_FRACTION:
        return min(_FULL_SPEED_PERCENT, percent + _INCREASE_PERCENT)
    return percent
