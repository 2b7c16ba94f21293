"""Bound on the processor capacity that held workers leave idle."""

__all__ = ["HoldBudget"]

HELD_FRACTION = 0.01
MAX_BALANCE_S = 0.1
MAX_DEBT_S = 0.3


class HoldBudget:
    """Token bucket that limits how much holding workers costs the pool.

    The balance is in seconds of the whole pool. It grows by `HELD_FRACTION`
    per second, up to `MAX_BALANCE_S`, and shrinks by the fraction of the pool
    that held workers leave idle, down to `-MAX_DEBT_S`. Another worker may be
    held while the balance is positive, so that on average held workers idle no
    more than `HELD_FRACTION` of the pool.

    Example:
        >>> budget = HoldBudget()
        >>> budget.update(0.0, 0.0)
        >>> budget.update(4.0, 0.06)
        >>> budget.has_balance
        False
        >>> budget.update(15.0, 0.0)
        >>> budget.has_balance
        True
    """

    def __init__(self) -> None:
        self._balance_s = MAX_BALANCE_S
        self._updated_s: float | None = None

    @property
    def has_balance(self) -> bool:
        """Whether another worker may be held."""
        return self._balance_s > 0.0

    def update(self, now_s: float, idle: float) -> None:
        """Updates the balance.

        Args:
            now_s: time of the owner's clock.
            idle: fraction of the pool's processors that held workers leave
                idle now.
        """
        if self._updated_s is not None:
            gained_s = (HELD_FRACTION - idle) * (now_s - self._updated_s)
            balance_s = min(self._balance_s + gained_s, MAX_BALANCE_S)
            self._balance_s = max(balance_s, -MAX_DEBT_S)
        self._updated_s = now_s
