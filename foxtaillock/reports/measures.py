"""Measures of the whole fleet from what its entry VMs have seen."""

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
    """Roll-out of one note.

    Attributes:
        in_force_s: time until every entry VM that was live then and is live
            still was heard to have it in force; None if that is not known.
        not_seen: entry VMs that nobody has heard of yet.
        moves_done_s: time until all moves were done; None if not known.
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
        watched_s: seconds for which the longest watcher has watched; what was
            before is not known.
    """

    watched_s: float
    moves_last_day: int
    placements_last_day: int
    notes: list[NoteRollOut]


class TeamShare(typing.NamedTuple):
    """Standing of a team in one pool at the moment of the report.

    Attributes:
        used: share of processors or memory that it has reserved, the larger.
        due: share of them that it is due.
        accelerators_used: share of the accelerators that it has reserved.
        accelerators_due: share of them that it is due.
        nearness: part of `due` that it has; None if it asks for
            nothing.
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
    """Returns how near a team is to its share.

    A team that waits for nothing has what it wants.

    Example:
        >>> nearness(0.1, 0.4, 3), nearness(0.5, 0.4, 3), nearness(0.1, 0.1, 0)
        (0.25, 1.0, 1.0)
    """
    if not waiting:
        return 1.0 if used > 0 else None
    return min(1.0, used / due) if due > 0 else None


def encode_watch(row: fleet_watch.WatchRow) -> dict[str, typing.Any]:
    """Returns what one entry VM has seen as JSON."""
    fields = row._asdict()
    fields["notes"] = [note._asdict() for note in row.notes]
    return fields


def decode_watch(fields: Mapping[str, typing.Any]) -> fleet_watch.WatchRow:
    """Returns the row that `encode_watch` gave.

    Raises:
        ValueError: the fields are not a row.
    """
    try:
        notes = [
            fleet_watch.NoteRow(**{**note, "live": tuple(note["live"])})
            for note in fields["notes"]
        ]
        return fleet_watch.WatchRow(**{**fields, "notes": notes})
    except (KeyError, TypeError) as error:
        raise ValueError(f"not a row of measures: {error}") from error


def merge_watches(
    rows: Sequence[fleet_watch.WatchRow], live: Iterable[str]
) -> FleetMoves | None:
    """Joins what the entry VMs have seen; None if nobody answered.

    All of them fold the same records: moves are those of the one that has
    watched longest. That a node had a note in force may have been heard by
    any of the others, each of which counts from its own fold. The longest
    time counts: it holds the lag of that node, whoever folded first.

    Args:
        rows: one for each entry VM that answered.
        live: entry VMs with a live session now.
    """
    if not rows:
        return None
    longest = max(rows, key=lambda row: row.watched_s)
    live = set(live)
    notes = [_merge_note(note, rows, live) for note in longest.notes]
    return FleetMoves(
        longest.watched_s,
        longest.moves_last_day,
        longest.placements_last_day,
        notes,
    )


def _merge_note(
    note: fleet_watch.NoteRow,
    rows: Sequence[fleet_watch.WatchRow],
    live: set[str],
) -> NoteRollOut:
    seen_s: dict[str, float] = {}
    for row in rows:
        for other in row.notes:
            if other.note_id == note.note_id:
                for node, at_s in other.seen_s.items():
                    seen_s[node] = max(at_s, seen_s.get(node, at_s))
    needed = live.intersection(note.live)
    is_alone = len(needed) == 1
    not_seen = () if is_alone else tuple(sorted(needed - seen_s.keys()))
    in_force_s = None
    if needed and not not_seen:
        in_force_s = max(seen_s.get(node, 0.0) for node in needed)
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
