"""Measures of the whole fleet, merged from the reports of its entry VMs."""

import typing
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from foxtaillock.reports import fleet_watch

__all__ = [
    "FleetMoves",
    "NoteRollOut",
    "TeamShare",
    "decode_watch",
    "encode_watch",
    "merge_watches",
    "nearness",
]


class NoteRollOut(typing.NamedTuple):
    """Roll-out of one note over the whole fleet.

    Attributes:
        note_id: id of the note.
        title: title of the note.
        age_s: time since the note was folded.
        in_force_s: time until the note was in force on every entry VM that
            was live at the fold and still is; None if not known.
        not_seen: those of these entry VMs for which no other one has seen the
            note in force.
        moves_done_s: time until all moves were done; None if not known.
        moves: VMs moved for the note.
        placements: free VMs that joined a pool for the note.
    """

    note_id: str
    title: str
    age_s: float
    in_force_s: float | None
    not_seen: tuple[str, ...]
    moves_done_s: float | None
    moves: int
    placements: int


class FleetMoves(typing.NamedTuple):
    """Moves of VMs and roll-out of notes.

    Attributes:
        watched_s: longest time for which an entry VM has watched; nothing is
            known of the time before.
        moves_last_day: moves in the last 24 hours.
        placements_last_day: free VMs that joined a pool in the last 24 hours.
        notes: the last notes, the oldest first.
    """

    watched_s: float
    moves_last_day: int
    placements_last_day: int
    notes: list[NoteRollOut]


class TeamShare(typing.NamedTuple):
    """Resource share of a team in one pool at the time of the report.

    Attributes:
        pool: name of the pool.
        team: name of the team.
        running: number of attempts that hold a slot.
        waiting: number of jobs that could start if there were room.
        used: reserved share of CPU or of memory, whichever is larger.
        due: fair share of CPU and memory.
        accelerators_used: reserved share of the accelerators.
        accelerators_due: fair share of the accelerators.
        nearness: result of `nearness` for the team.
    """

    pool: str
    team: str
    running: int
    waiting: int
    used: float
    due: float
    accelerators_used: float
    accelerators_due: float
    nearness: float | None


def nearness(used: float, due: float, waiting: int) -> float | None:
    """Returns the fraction of its due share that a team uses, at most 1.

    A team without waiting jobs has reached its share: the fraction is 1, or
    None if the team uses nothing. If waiting jobs have no due share, it is
    None.

    Example:
        >>> nearness(0.1, 0.4, 3), nearness(0.5, 0.4, 3), nearness(0.1, 0.1, 0)
        (0.25, 1.0, 1.0)
    """
    if not waiting:
        return 1.0 if used > 0 else None
    return min(1.0, used / due) if due > 0 else None


def encode_watch(report: fleet_watch.WatchReport) -> dict[str, typing.Any]:
    """Returns the report of one entry VM as a JSON object."""
    fields = report._asdict()
    fields["notes"] = [note._asdict() for note in report.notes]
    return fields


def decode_watch(fields: Mapping[str, typing.Any]) -> fleet_watch.WatchReport:
    """Decodes the result of `encode_watch`.

    Raises:
        ValueError: the fields are malformed.
    """
    try:
        notes = [
            fleet_watch.NoteReport(**{**note, "live": tuple(note["live"])})
            for note in fields["notes"]
        ]
        return fleet_watch.WatchReport(**{**fields, "notes": notes})
    except (KeyError, TypeError) as error:
        raise ValueError(f"malformed measures: {error}") from error


def merge_watches(
    reports: Sequence[fleet_watch.WatchReport], live: Iterable[str]
) -> FleetMoves | None:
    """Merges the reports of entry VMs; None if there are none.

    All entry VMs fold the same records, so moves are taken from the one that
    has watched longest. Any entry VM may have observed that a node has a note
    in force, and measures the time from its own fold. The longest of these
    times is used: it includes the lag of the node, whoever folded first.

    Args:
        reports: one for each entry VM that answered.
        live: entry VMs that currently have a live session.
    """
    if not reports:
        return None
    longest = max(reports, key=lambda report: report.watched_s)
    live = set(live)
    notes = [_merge_note_reports(note, reports, live) for note in longest.notes]
    return FleetMoves(
        longest.watched_s,
        longest.moves_last_day,
        longest.placements_last_day,
        notes,
    )


def _merge_note_reports(
    note: fleet_watch.NoteReport,
    reports: Sequence[fleet_watch.WatchReport],
    live: set[str],
) -> NoteRollOut:
    seen_s: dict[str, float] = {}
    for report in reports:
        for other in report.notes:
            if other.note_id == note.note_id:
                for node, at_s in other.seen_s.items():
                    seen_s[node] = max(at_s, seen_s.get(node, at_s))
    expected = live.intersection(note.live)
    is_only_node = len(expected) == 1
    not_seen = () if is_only_node else tuple(sorted(expected - seen_s.keys()))
    in_force_s = None
    if expected and not not_seen:
        in_force_s = max(seen_s.get(node, 0.0) for node in expected)
    return NoteRollOut(
        note.note_id,
        note.title,
        note.age_s,
        in_force_s,
        not_seen,
        note.moves_done_s,
        note.moves,
        note.placements,
    )
