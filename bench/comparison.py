"""Compares a result with the stored one of the same benchmark."""

import typing

from bench import harness

__all__ = ["Change", "compare"]

_LESS_IS_BETTER = (
    "_s",
    "_ms",
    "_us",
    "_bytes",
    "_mib",
    "_percent",
    "_error",
    "_bytes_per_s",
    "_appends_per_s",
)
_MORE_IS_BETTER = ("_per_s", "_per_cpu_s", "goodput", "conservation")


class Change(typing.NamedTuple):
    """How a figure differs from the stored one.

    Attributes:
        verdict: `same` if the spreads overlap, else `better` or `worse`, or
            `lower` or `higher` where the name does not tell which is wanted.
    """

    name: str
    before: float
    after: float
    verdict: str


def compare(before: harness.Result, after: harness.Result) -> list[Change]:
    """Returns the changes of the figures that both results have.

    Results of other sizes have nothing to compare: the list is empty then.

    Args:
        before: stored result.
        after: new result.

    Example:
        >>> old = harness.result("x", True, {}, harness.summarize([{"a_s": 1}]))
        >>> new = harness.result("x", True, {}, harness.summarize([{"a_s": 2}]))
        >>> compare(old, new)
        [Change(name='a_s', before=1.0, after=2.0, verdict='worse')]
    """
    if before["parameters"] != after["parameters"]:
        return []
    stored = {row["name"]: row for row in before["measurements"]}
    return [
        Change(
            row["name"],
            stored[row["name"]]["median"],
            row["median"],
            _verdict(stored[row["name"]], row),
        )
        for row in after["measurements"]
        if row["name"] in stored
    ]


def _verdict(before: harness.Measurement, after: harness.Measurement) -> str:
    is_lower = after["highest"] < before["lowest"]
    is_higher = after["lowest"] > before["highest"]
    if not is_lower and not is_higher:
        return "same"
    wants_less = _wants_less(after["name"])
    if wants_less is None:
        return "lower" if is_lower else "higher"
    return "better" if is_lower == wants_less else "worse"


def _wants_less(name: str) -> bool | None:
    """Returns whether less is better, by the longest suffix that fits; None
    if none does."""
    endings = [
        (len(end), True) for end in _LESS_IS_BETTER if name.endswith(end)
    ]
    endings += [
        (len(end), False) for end in _MORE_IS_BETTER if name.endswith(end)
    ]
    return max(endings)[1] if endings else None
