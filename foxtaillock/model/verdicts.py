"""Verdicts of a fold about records, with the findings behind a refusal."""

import typing

__all__ = ["ACCEPTED", "Finding", "Verdict"]


class Finding(typing.NamedTuple):
    """One error and the place where it was found.

    Attributes:
        place: object and field, for example `team/nesting.limit`.
        message: explanation for a person.
        line: line of the source text, from 1, or zero if there is none.
        column: column of the source text, from 1, or zero.
    """

    place: str
    message: str
    line: int = 0
    column: int = 0


class Verdict(typing.NamedTuple):
    """Decision of a fold about one record.

    Attributes:
        accepted: whether the record takes effect.
        code: stable code of the reason, for example `conflict`,
            `stale-epoch`, `over-limit`, `duplicate`.
        findings: all errors that were found.
    """

    accepted: bool
    code: str = ""
    findings: tuple[Finding, ...] = ()


ACCEPTED = Verdict(True)
