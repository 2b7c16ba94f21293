"""Token buckets that bound retries to a fraction of the calls."""

import collections

__all__ = ["RetryBudget"]

_TOKENS_PER_CALL = 0.1
_MAX_TOKENS = 10.0
_MAX_BUCKETS = 4_096


class RetryBudget:
    """Retry budgets of the services and of the callers.

    Each first attempt adds a tenth of a token to the bucket of its service and
    to that of its caller; each retry takes a whole token from both. Retries
    thus stay below a tenth of the calls, however many calls fail.

    Args:
        tokens_per_call: tokens that a first attempt adds to a bucket.
        max_tokens: capacity of a bucket, which is full at first.

    Example:
        >>> budget = RetryBudget()
        >>> budget.try_spend("quote", "nesting")
        True
    """

    def __init__(
        self,
        tokens_per_call: float = _TOKENS_PER_CALL,
        max_tokens: float = _MAX_TOKENS,
    ) -> None:
        self._tokens_per_call = tokens_per_call
        self._max_tokens = max_tokens
        self._tokens: collections.OrderedDict[tuple[str, str], float]
        self._tokens = collections.OrderedDict()

    def note_call(self, service: str, caller: str) -> None:
        """Adds the tokens of a first attempt to both buckets."""
        for key in (("service", service), ("caller", caller)):
            tokens = self._read(key) + self._tokens_per_call
            self._store(key, min(self._max_tokens, tokens))

    def try_spend(self, service: str, caller: str) -> bool:
        """Takes a token from both buckets, or none if either is empty."""
        keys = (("service", service), ("caller", caller))
        if any(self._read(key) < 1.0 for key in keys):
            return False
        for key in keys:
            self._store(key, self._read(key) - 1.0)
        return True

    def _read(self, key: tuple[str, str]) -> float:
        return self._tokens.get(key, self._max_tokens)

    def _store(self, key: tuple[str, str], tokens: float) -> None:
        self._tokens[key] = tokens
        self._tokens.move_to_end(key)
        if len(self._tokens) > _MAX_BUCKETS:
            self._tokens.popitem(last=False)
