"""Cache of the answers to non-idempotent calls.

A caller that repeats a call with the same idempotency key gets the answer to
the first one.
"""

import collections
import typing

from foxtaillock.model import outcomes

__all__ = ["AnswerKey", "AnswerCache"]

_MAX_ANSWERS = 1_000
_MAX_BYTES = 8 * 1024 * 1024


class AnswerKey(typing.NamedTuple):
    """Identifies a claimed call."""

    service: str
    team: str
    idempotency_key: str


class AnswerCache:
    """Latest answers of this entry VM, bounded in number and in bytes."""

    def __init__(self) -> None:
        self._answers: collections.OrderedDict[AnswerKey, outcomes.Ran]
        self._answers = collections.OrderedDict()
        self._bytes = 0

    def put(self, key: AnswerKey, answer: outcomes.Ran) -> None:
        """Stores an answer and evicts the oldest ones above the bounds."""
        previous = self._answers.pop(key, None)
        if previous is not None:
            self._bytes -= len(previous.body)
        self._answers[key] = answer
        self._bytes += len(answer.body)
        while len(self._answers) > _MAX_ANSWERS or self._bytes > _MAX_BYTES:
            evicted = self._answers.popitem(last=False)[1]
            self._bytes -= len(evicted.body)

    def get(self, key: AnswerKey) -> outcomes.Ran | None:
        """Returns the answer stored under a key, or None."""
        return self._answers.get(key)
