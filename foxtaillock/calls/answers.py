"""Answers of non-idempotent calls, kept for another try with their key."""

import collections
import typing

from foxtaillock.model import outcomes

__all__ = ["AnswerKey", "AnswerStore"]

_MAX_ANSWERS = 1_000
_MAX_BYTES = 8 * 1024 * 1024


class AnswerKey(typing.NamedTuple):
    """Identity of a claimed call."""

    service: str
    team: str
    idempotency_key: str


class AnswerStore:
    """Last answers of this entry VM, bounded by number and bytes."""

    def __init__(self) -> None:
        self._answers: collections.OrderedDict[AnswerKey, outcomes.Ran]
        self._answers = collections.OrderedDict()
        self._bytes = 0

    def put(self, key: AnswerKey, answer: outcomes.Ran) -> None:
        """Keeps an answer; the oldest ones make room for it."""
        former = self._answers.pop(key, None)
        if former is not None:
            self._bytes -= len(former.body)
        self._answers[key] = answer
        self._bytes += len(answer.body)
        while len(self._answers) > _MAX_ANSWERS or self._bytes > _MAX_BYTES:
            dropped = self._answers.popitem(last=False)[1]
            self._bytes -= len(dropped.body)

    def get(self, key: AnswerKey) -> outcomes.Ran | None:
        """Returns the answer of a key, if it is still kept."""
        return self._answers.get(key)
