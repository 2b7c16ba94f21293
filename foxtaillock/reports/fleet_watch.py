"""Roll-out of notes and moves of VMs, as observed by one entry VM."""

import collections
import typing
from collections.abc import Collection
from collections.abc import Mapping

__all__ = [
    "FleetWatch",
    "KEPT_NOTES",
    "MembershipStep",
    "NoteReport",
    "WatchReport",
]

KEPT_NOTES = 20

_HOUR_S = 3600.0
_KEPT_HOURS = 24
# Bounds the memory for VMs that leave a pool and never join another one.
_MAX_LEAVING_VMS = 20_000


class MembershipStep(typing.NamedTuple):
    """Pool of a VM, and the last step of its move into or out of it."""

    pool: str
    step: str


class NoteReport(typing.NamedTuple):
    """Roll-out of one note, as observed by one entry VM.

    Attributes:
        note_id: id of the note.
        revision: offset after the batch of the note.
        title: title of the note.
        age_s: time since this entry VM folded the note.
        live: entry VMs that were live at that time.
        seen_s: time from the fold here until each other entry VM reported
            that it had folded the note.
        moves_done_s: time from the fold here until every pool had its size
            and no VM was being moved; None if that has not been so yet.
        moves: VMs that were taken out of a pool between this note and the
            next one, and have since joined a pool.
        placements: free VMs that joined a pool between this note and the
            next one.
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


class WatchReport(typing.NamedTuple):
    """Observations of one entry VM.

    Attributes:
        watched_s: time since the entry VM started watching.
        moves_last_day: moves in the last 24 hours, or since the start of
            watching if that is later.
        placements_last_day: free VMs that joined a pool in the same time.
        notes: the last notes, the oldest first.
    """

    watched_s: float
    moves_last_day: int
    placements_last_day: int
    notes: list[NoteReport]


class _NoteProgress:
    """Observed roll-out of a note."""

    def __init__(
        self,
        identity: tuple[str, int, str],
        live: Collection[str],
        now_s: float,
    ) -> None:
        self.identity = identity
        self.folded_s = now_s
        self.live = tuple(sorted(live))
        self.seen_s: dict[str, float] = {}
        self.moves_done_s: float | None = None
        self.moves = 0
        self.placements = 0

    @property
    def revision(self) -> int:
        """Offset after the batch of the note."""
        return self.identity[1]


class FleetWatch:
    """Measures the roll-out of the last `KEPT_NOTES` notes and counts moves.

    Only records that are folded after `start` may be passed in: the times of
    earlier ones are not known.
    """

    def __init__(self) -> None:
        self._started_s: float | None = None
        self._notes: collections.deque[_NoteProgress] = collections.deque(
            maxlen=KEPT_NOTES
        )
        self._sizes: dict[str, int] = {}
        self._memberships: dict[str, MembershipStep] = {}
        self._membership_counts: collections.Counter[MembershipStep] = (
            collections.Counter()
        )
        self._leaving: dict[str, _NoteProgress | None] = {}
        self._hourly_counts: collections.deque[tuple[int, int, int]] = (
            collections.deque(maxlen=_KEPT_HOURS + 1)
        )

    @property
    def is_watching(self) -> bool:
        """Whether `start` was called."""
        return self._started_s is not None

    def start(
        self,
        memberships: Mapping[str, MembershipStep],
        sizes: Mapping[str, int],
        now_s: float,
    ) -> None:
        """Starts watching, once the state has caught up with the log.

        Args:
            memberships: membership of each VM that is in a pool.
            sizes: size of each pool in force.
            now_s: current time.
        """
        self._started_s = now_s
        self._sizes = dict(sizes)
        for vm, membership in memberships.items():
            self._set_membership(vm, membership)

    def record_note(
        self,
        note_id: str,
        revision: int,
        title: str,
        live: Collection[str],
        sizes: Mapping[str, int],
        now_s: float,
    ) -> None:
        """Records a note that has just been folded.

        Args:
            note_id: id of the note.
            revision: offset after the batch of the note.
            title: title of the note.
            live: entry VMs with a live session.
            sizes: size of each pool once the note is in force.
            now_s: current time.
        """
        self._notes.append(
            _NoteProgress((note_id, revision, title), live, now_s)
        )
        self._sizes = dict(sizes)
        self.update_moves_done(now_s)

    def record_fold(self, node: str, next_offset: int, now_s: float) -> None:
        """Records the offset up to which an entry VM has folded the log."""
        for note in self._notes:
            if next_offset >= note.revision and node in note.live:
                note.seen_s.setdefault(node, now_s - note.folded_s)

    def record_step(
        self, vm: str, membership: MembershipStep, now_s: float
    ) -> None:
        """Records a step of a VM; `left` removes it from its pool.

        A VM that joins the pool that it is already in was replaced there and
        counts neither as a move nor as a placement.
        """
        previous = self._memberships.get(vm)
        self._set_membership(vm, membership)
        if membership.step == "withdrawn":
            self._leaving[vm] = self._notes[-1] if self._notes else None
            if len(self._leaving) > _MAX_LEAVING_VMS:
                del self._leaving[next(iter(self._leaving))]
        elif membership.step == "joined" and previous is None:
            self._count_joined(vm, now_s)
        self.update_moves_done(now_s)

    def _set_membership(self, vm: str, membership: MembershipStep) -> None:
        previous = self._memberships.pop(vm, None)
        if previous is not None:
            self._membership_counts[previous] -= 1
        if membership.step != "left":
            self._memberships[vm] = membership
            self._membership_counts[membership] += 1

    def _count_joined(self, vm: str, now_s: float) -> None:
        is_move = vm in self._leaving
        last = self._notes[-1] if self._notes else None
        note = self._leaving.pop(vm, last)
        if note is not None:
            note.moves += is_move
            note.placements += not is_move
        hour = int(now_s // _HOUR_S)
        moves, placements = 0, 0
        if self._hourly_counts and self._hourly_counts[-1][0] == hour:
            _, moves, placements = self._hourly_counts.pop()
        self._hourly_counts.append(
            (hour, moves + is_move, placements + (not is_move))
        )

    def update_moves_done(self, now_s: float) -> None:
        """Sets `moves_done_s` of the unfinished notes once no VM is moved."""
        if not self._notes or self._notes[-1].moves_done_s is not None:
            return
        if not self._is_settled():
            return
        for note in self._notes:
            if note.moves_done_s is None:
                note.moves_done_s = now_s - note.folded_s

    def _is_settled(self) -> bool:
        """Returns whether every pool has its size and no VM is being moved.

        The time is linear in the number of pools.
        """
        if len(self._memberships) != sum(self._sizes.values()):
            return False
        return all(
            self._membership_counts[MembershipStep(pool, "joined")] == size
            for pool, size in self._sizes.items()
        )

    def report(self, now_s: float) -> WatchReport:
        """Returns the observations until now."""
        oldest_hour = int(now_s // _HOUR_S) - _KEPT_HOURS
        recent_counts = [
            counts for counts in self._hourly_counts if counts[0] > oldest_hour
        ]
        started_s = now_s if self._started_s is None else self._started_s
        return WatchReport(
            now_s - started_s,
            sum(moves for _, moves, _ in recent_counts),
            sum(placements for _, _, placements in recent_counts),
            [self._report_note(note, now_s) for note in self._notes],
        )

    def _report_note(self, note: _NoteProgress, now_s: float) -> NoteReport:
        return NoteReport(
            *note.identity,
            now_s - note.folded_s,
            note.live,
            dict(note.seen_s),
            note.moves_done_s,
            note.moves,
            note.placements,
        )
