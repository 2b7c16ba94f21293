"""Roll-out of notes and moves of VMs, as one entry VM sees them folded."""

import collections
import typing
from collections.abc import Collection
from collections.abc import Mapping

__all__ = ["FleetWatch", "KEPT_NOTES", "NoteRow", "Place", "WatchRow"]

KEPT_NOTES = 20

_HOUR_S = 3600.0
_HOURS = 24
_MAX_LEAVING = 20_000


class Place(typing.NamedTuple):
    """Place of a VM: its pool and the last step of its move there."""

    pool: str
    step: str


class NoteRow(typing.NamedTuple):
    """Roll-out of one note; times count from its fold at this entry VM.

    Attributes:
        age_s: time since then.
        live: entry VMs that were live then.
        seen_s: time until each other one was heard to have folded the note.
        moves_done_s: time until every pool had its size and no VM was on its
            way; None if that was not so yet.
        moves: VMs that were taken out of a pool after this note and before
            the next one, and have joined another since.
        placements: free VMs that joined a pool in that time.
    """

    note_id: str
    revision: int
    title: str
    age_s: float
    live: tuple[str, ...]
    seen_s: dict[str, float]
    moves_done_s: float | None
    moves: int
    placements: int


class WatchRow(typing.NamedTuple):
    """What one entry VM has seen.

    Attributes:
        watched_s: seconds for which it has watched.
        moves_last_day: moves in the last 24 hours, or since it watches.
        placements_last_day: free VMs that joined a pool in that time.
        notes: the last notes, the oldest first.
    """

    watched_s: float
    moves_last_day: int
    placements_last_day: int
    notes: list[NoteRow]


class _Note:
    """A note with what was seen of its roll-out."""

    def __init__(
        self, row: tuple[str, int, str], live: Collection[str], now_s: float
    ) -> None:
        self.row = row
        self.folded_s = now_s
        self.live = tuple(sorted(live))
        self.seen_s: dict[str, float] = {}
        self.moves_done_s: float | None = None
        self.moves = 0
        self.placements = 0

    @property
    def revision(self) -> int:
        """Offset after the batch of the note."""
        return self.row[1]


class FleetWatch:
    """Times the roll-out of notes; keeps the last ones only.

    Records that were folded before `begin` say nothing about times and are
    to be left out.
    """

    def __init__(self) -> None:
        self._began_s: float | None = None
        self._notes: collections.deque[_Note] = collections.deque(
            maxlen=KEPT_NOTES
        )
        self._sizes: dict[str, int] = {}
        self._places: dict[str, Place] = {}
        self._in_step: collections.Counter[Place] = collections.Counter()
        self._leaving: dict[str, _Note | None] = {}
        self._hours: collections.deque[tuple[int, int, int]] = (
            collections.deque(maxlen=_HOURS + 1)
        )

    @property
    def is_watching(self) -> bool:
        """Whether `begin` was called."""
        return self._began_s is not None

    def begin(
        self,
        places: Mapping[str, Place],
        sizes: Mapping[str, int],
        now_s: float,
    ) -> None:
        """Starts to watch, once the state is caught up.

        Args:
            places: place of each VM in a pool.
            sizes: size of each pool in force.
            now_s: present time.
        """
        self._began_s = now_s
        self._sizes = dict(sizes)
        for vm, place in places.items():
            self._set_place(vm, place)

    def note_accepted(
        self,
        note_id: str,
        revision: int,
        title: str,
        live: Collection[str],
        sizes: Mapping[str, int],
        now_s: float,
    ) -> None:
        """Takes over a note that was folded now.

        Args:
            note_id: id of the note.
            revision: offset after its batch.
            title: its title.
            live: entry VMs with a live session.
            sizes: size of each pool in force with it.
            now_s: present time.
        """
        self._notes.append(_Note((note_id, revision, title), live, now_s))
        self._sizes = dict(sizes)
        self.settle(now_s)

    def heard(self, node: str, next_offset: int, now_s: float) -> None:
        """Takes over how far an entry VM has folded the control stream."""
        for note in self._notes:
            if next_offset >= note.revision and node in note.live:
                note.seen_s.setdefault(node, now_s - note.folded_s)

    def vm_stepped(self, vm: str, place: Place, now_s: float) -> None:
        """Takes over a step of a VM; `left` takes it out of its pool.

        A VM that joins the pool that it is in already was replaced there: it
        is neither moved nor placed.
        """
        before = self._places.get(vm)
        self._set_place(vm, place)
        if place.step == "withdrawn":
            self._leaving[vm] = self._notes[-1] if self._notes else None
            if len(self._leaving) > _MAX_LEAVING:
                del self._leaving[next(iter(self._leaving))]
        elif place.step == "joined" and before is None:
            self._count_join(vm, now_s)
        self.settle(now_s)

    def _set_place(self, vm: str, place: Place) -> None:
        before = self._places.pop(vm, None)
        if before is not None:
            self._in_step[before] -= 1
        if place.step != "left":
            self._places[vm] = place
            self._in_step[place] += 1

    def _count_join(self, vm: str, now_s: float) -> None:
        is_move = vm in self._leaving
        last = self._notes[-1] if self._notes else None
        note = self._leaving.pop(vm, last)
        if note is not None:
            note.moves += is_move
            note.placements += not is_move
        hour = int(now_s // _HOUR_S)
        moves, placements = 0, 0
        if self._hours and self._hours[-1][0] == hour:
            _, moves, placements = self._hours.pop()
        self._hours.append((hour, moves + is_move, placements + (not is_move)))

    def settle(self, now_s: float) -> None:
        """Looks whether every VM stands where the last note wants it."""
        if not self._notes or self._notes[-1].moves_done_s is not None:
            return
        if not self._is_settled():
            return
        for note in self._notes:
            if note.moves_done_s is None:
                note.moves_done_s = now_s - note.folded_s

    def _is_settled(self) -> bool:
        """Returns whether every pool has its size and no VM is on its way;
        cost is linear in the pools."""
        if len(self._places) != sum(self._sizes.values()):
            return False
        return all(
            self._in_step[Place(pool, "joined")] == size
            for pool, size in self._sizes.items()
        )

    def row(self, now_s: float) -> WatchRow:
        """Returns what was seen until now."""
        oldest = int(now_s // _HOUR_S) - _HOURS
        hours = [row for row in self._hours if row[0] > oldest]
        began_s = now_s if self._began_s is None else self._began_s
        return WatchRow(
            now_s - began_s,
            sum(moves for _, moves, _ in hours),
            sum(placements for _, _, placements in hours),
            [self._note_row(note, now_s) for note in self._notes],
        )

    def _note_row(self, note: _Note, now_s: float) -> NoteRow:
        return NoteRow(
            *note.row,
            now_s - note.folded_s,
            note.live,
            dict(note.seen_s),
            note.moves_done_s,
            note.moves,
            note.placements,
        )
