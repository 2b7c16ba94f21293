"""What the fold decided about a record, with findings at their place."""

import typing

__all__ = ["ACCEPTED", "Finding", "Verdict"]


class Finding(typing.NamedTuple):
    """One fault, with the place where it was found.

    Attributes:
        place: object and field, for example `team/nesting.limit`.
        message: sentence for a person.
        line: line of the source text, from 1, or zero if there is none.
        column: column of the source text, from 1, or zero.
    """

    place: str
    message: str
    line: int = 0
    column: int = 0


class Verdict(typing.NamedTuple):
    """Decision of the fold about one record.

    Attributes:
        accepted: whether the record has its effect.
        code: stable reason of a refusal, for example `conflict`,
            `stale-epoch`, `over-limit`, `duplicate`.
        findings: all faults, if any.
    """

    accepted: bool
    code: str = ""
    findings: tuple[Finding, ...] = ()


ACCEPTED = Verdict(True)
