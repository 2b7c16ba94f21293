"""Bound on the processors that held workers leave idle."""

__all__ = ["HoldBudget"]

HELD_FRACTION = 0.01
MAX_SAVED_S = 0.1
MAX_DEBT_S = 0.3


class HoldBudget:
    """Counts what holding workers for large jobs costs the pool.

    It grows by `HELD_FRACTION` of the pool for each second and shrinks by the
    part of the pool that held workers leave idle. A worker may be held while
    some is left, so that in the mean holds idle no more than that fraction.

    Example:
        >>> budget = HoldBudget()
        >>> budget.update(0.0, 0.0)
        >>> budget.update(4.0, 0.06)
        >>> budget.is_left
        False
        >>> budget.update(15.0, 0.0)
        >>> budget.is_left
        True
    """

    def __init__(self) -> None:
        self._left_s = MAX_SAVED_S
        self._updated_s: float | None = None

    @property
    def is_left(self) -> bool:
        """Whether another worker may be held."""
        return self._left_s > 0.0

    def update(self, now_s: float, idle: float) -> None:
        """Takes in the part of the pool that held workers leave idle now."""
        if self._updated_s is not None:
            gained_s = (HELD_FRACTION - idle) * (now_s - self._updated_s)
            left_s = min(self._left_s + gained_s, MAX_SAVED_S)
            self._left_s = max(left_s, -MAX_DEBT_S)
        self._updated_s = now_s
