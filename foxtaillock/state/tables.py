"""Tables that the fold of the control stream fills."""

import dataclasses
import typing

from foxtaillock.model import objects
from foxtaillock.model import records

__all__ = [
    "Claim",
    "ControlTables",
    "Disruption",
    "Grant",
    "HistoryEntry",
    "KeptRecord",
    "Maintenance",
    "SessionKey",
    "StoredKey",
    "StoredObject",
    "StoredSession",
    "StoredVm",
    "Wave",
]


class SessionKey(typing.NamedTuple):
    """Identity of a session: an entry VM and the process on it."""

    node: str
    incarnation: str


class StoredObject(typing.NamedTuple):
    """An object of the configuration.

    Attributes:
        revision: offset after the batch of the note that set it; from 1.
        body: fields of the object.
    """

    revision: int
    body: dict[str, typing.Any]


class HistoryEntry(typing.NamedTuple):
    """An accepted release note.

    Attributes:
        revision: offset after the batch of the note.
    """

    revision: int
    note_id: str
    author: str
    title: str
    changes: tuple[records.Change, ...]


class StoredKey(typing.NamedTuple):
    """A key that was given, or withdrawn before it was given.

    Attributes:
        digest: SHA-256 of the secret; empty once withdrawn.
        team: team of a submitter's key; empty for an operator's key.
        withdrawn: whether the key has stopped working for good.
    """

    digest: str
    team: str
    withdrawn: bool


class StoredSession(typing.NamedTuple):
    """A session of an entry VM.

    Attributes:
        counter: counter of the last renewal.
        offset: offset of the last record about the session.
        ended: whether the session is over.
    """

    counter: int
    zone: str
    peer_address: str
    api_address: str
    offset: int
    ended: bool


class Claim(typing.NamedTuple):
    """Ownership of a pool.

    Attributes:
        node: owner, or empty after a release.
        epoch: epoch of the last claim.
        successor: node that a release named, or empty.
        offset: offset of the last claim or release.
    """

    pool: str
    node: str
    incarnation: str
    epoch: int
    successor: str = ""
    offset: int = 0


class Grant(typing.NamedTuple):
    """Part of a team's limit that a session may use, and what it wants.

    Attributes:
        standing: part of `amount` that it may use while it is cut off.
        hold_s: time after its last renewal for which it may.
    """

    amount: int
    wanted: int
    standing: int = 0
    hold_s: float = 0.0

    @property
    def lent(self) -> int:
        """Part of `amount` that is not standing."""
        return self.amount - self.standing


class StoredVm(typing.NamedTuple):
    """Place of a VM in its one pool.

    Attributes:
        step: last step of its move: `joined`, `withdrawn` or `drained`.
    """

    pool: str
    incarnation: int
    step: str


class Disruption(typing.NamedTuple):
    """A voluntary stop of a VM that may be under way."""

    pool: str
    rack: str
    zone: str
    reason: str
    offset: int


class Maintenance(typing.NamedTuple):
    """Last maintenance of a VM; see `records.MaintenanceRecorded`."""

    ended_at_s: int
    offset: int


class Wave(typing.NamedTuple):
    """A maintenance wave of a pool; see `records.WaveChanged`.

    Attributes:
        offset: offset of its last change.
        begun_offset: offset of its first record.
    """

    pool: str
    state: str
    reason: str
    offset: int
    base: str = ""
    begun_offset: int = 0


class KeptRecord(typing.NamedTuple):
    """A record of a kind that this version does not know."""

    offset: int
    kind: str
    body: str

    @property
    def size_bytes(self) -> int:
        """Size of kind and body in UTF-8."""
        return len(f"{self.kind}{self.body}".encode("utf-8", "replace"))


@dataclasses.dataclass(slots=True)
class ControlTables:
    """All tables; every one is a plain dictionary or list.

    Attributes:
        revision: offset after the batch of the last accepted note.
        objects: objects by kind and name.
        grants: grants by team and session.
        to_carry: former owner of each pool whose running attempts still count
            under that owner's grants.
        kept: records of kinds that this version does not know, the oldest
            first.
        kept_bytes: their sizes together; not encoded.
        kept_dropped: how many older ones were dropped.
    """

    revision: int = 0
    objects: dict[str, dict[str, StoredObject]] = dataclasses.field(
        default_factory=dict
    )
    history: list[HistoryEntry] = dataclasses.field(default_factory=list)
    keys: dict[str, StoredKey] = dataclasses.field(default_factory=dict)
    sessions: dict[SessionKey, StoredSession] = dataclasses.field(
        default_factory=dict
    )
    claims: dict[str, Claim] = dataclasses.field(default_factory=dict)
    grants: dict[str, dict[SessionKey, Grant]] = dataclasses.field(
        default_factory=dict
    )
    to_carry: dict[str, SessionKey] = dataclasses.field(default_factory=dict)
    vms: dict[str, StoredVm] = dataclasses.field(default_factory=dict)
    disruptions: dict[str, Disruption] = dataclasses.field(default_factory=dict)
    maintained: dict[str, Maintenance] = dataclasses.field(default_factory=dict)
    waves: dict[str, Wave] = dataclasses.field(default_factory=dict)
    kept: list[KeptRecord] = dataclasses.field(default_factory=list)
    kept_bytes: int = 0
    kept_dropped: int = 0

    def find(self, kind: str, name: str) -> StoredObject | None:
        """Returns an object, or None."""
        return self.objects.get(kind, {}).get(name)

    def find_in_force(self, kind: str, name: str) -> StoredObject | None:
        """Returns an object that is not being withdrawn, or None."""
        stored = self.find(kind, name)
        if stored is None or not objects.is_in_force(stored.body):
            return None
        return stored

    def is_live(self, session: SessionKey) -> bool:
        """Returns whether a session stands and has not ended."""
        row = self.sessions.get(session)
        return row is not None and not row.ended
