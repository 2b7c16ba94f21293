"""Independent check of calls: what callers got against what runners ran."""

import collections
import hashlib
import json
import typing
from collections.abc import Iterable

__all__ = ["Call", "Findings", "check"]

Row = dict[str, typing.Any]


class Call(typing.NamedTuple):
    """One call and what its caller got.

    Attributes:
        body: body that was sent; no two groups of calls share one, and the
            calls of one idempotency key do.
        size_bytes: length of the filler that the answer must carry.
        is_idempotent: whether it may run more than once.
        request_id: id that the entry VM gave it, or empty if none came.
        outcome: `ran`, `not-run`, `unknown`, or empty if no answer came.
        code: error code, or empty.
        answer: body of the answer.
    """

    body: bytes
    size_bytes: int
    is_idempotent: bool
    request_id: str
    outcome: str
    code: str
    answer: bytes


class Findings(typing.NamedTuple):
    """Broken promises.

    Attributes:
        crossed: calls that got the answer to another request as theirs.
        truncated: calls that got a part of an answer, or more, as a whole.
        false_not_run: calls that ran although their outcome says *not run*.
        ran_without_run: calls that no runner ran but whose outcome is *ran*.
        extra_runs: runs beyond the first one of calls that are not
            idempotent.
    """

    crossed: int
    truncated: int
    false_not_run: int
    ran_without_run: int
    extra_runs: int


def check(calls: Iterable[Call], journal: Iterable[Row]) -> Findings:
    """Counts the broken promises.

    Args:
        calls: all calls that were made.
        journal: all runs that the runners saw, whole or not.
    """
    runs = collections.Counter(row["body_digest"] for row in journal)
    request_ids = {row["request_id"] for row in journal}
    counts = dict.fromkeys(Findings._fields, 0)
    only_once: set[str] = set()
    for call in calls:
        digest = hashlib.sha256(call.body).hexdigest()
        if not call.is_idempotent:
            only_once.add(digest)
        if call.outcome == "ran":
            fault = _find_fault(call, digest)
            if fault:
                counts[fault] += 1
            counts["ran_without_run"] += not runs[digest]
        elif call.outcome == "not-run":
            tries = {call.request_id} | {
                f"{call.request_id}-{number}" for number in range(2, 10)
            }
            counts["false_not_run"] += bool(tries & request_ids)
    counts["extra_runs"] = sum(max(0, runs[each] - 1) for each in only_once)
    return Findings(**counts)


def _find_fault(call: Call, digest: str) -> str:
    """Returns which promise the answer of a call that ran breaks, if any."""
    try:
        answer = json.loads(call.answer)
        own = answer["body_digest"] == digest
        size_bytes = len(answer["filler"])
    except (ValueError, TypeError, KeyError):
        return "truncated"
    if not own:
        return "crossed"
    return "" if size_bytes == call.size_bytes else "truncated"
