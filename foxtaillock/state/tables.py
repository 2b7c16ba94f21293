"""Tables of the control state."""

import dataclasses
import typing

from foxtaillock.model import config_objects
from foxtaillock.model import note_records

__all__ = [
    "ControlTables",
    "Disruption",
    "Grant",
    "HistoryEntry",
    "Maintenance",
    "PoolClaim",
    "SessionKey",
    "StoredKey",
    "StoredObject",
    "StoredSession",
    "StoredUnknownRecord",
    "StoredVm",
    "Wave",
]


class SessionKey(typing.NamedTuple):
    """Identity of a session: an entry VM and the incarnation of its process."""

    node: str
    incarnation: str


class StoredObject(typing.NamedTuple):
    """An object of the configuration.

    Attributes:
        revision: offset after the batch of the note that set it; at least 1.
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
    changes: tuple[note_records.Change, ...]


class StoredKey(typing.NamedTuple):
    """A key that was given, or withdrawn before it was given.

    Attributes:
        digest: SHA-256 of the secret; empty once withdrawn.
        team: team of a submitter's key; empty for an operator's key.
        withdrawn: whether the key is permanently invalid.
    """

    digest: str
    team: str
    withdrawn: bool


class StoredSession(typing.NamedTuple):
    """A session of an entry VM.

    Attributes:
        counter: counter of the last renewal.
        offset: offset of the last record about the session.
        ended: whether the session has ended.
    """

    counter: int
    zone: str
    peer_address: str
    api_address: str
    offset: int
    ended: bool


class PoolClaim(typing.NamedTuple):
    """Ownership of a pool.

    Attributes:
        node: owner; empty after a release.
        epoch: epoch of the last claim.
        successor: node that the last release named; empty if none.
        offset: offset of the last claim or release.
    """

    pool: str
    node: str
    incarnation: str
    epoch: int
    successor: str = ""
    offset: int = 0


class Grant(typing.NamedTuple):
    """Part of a team's limit that a session may use.

    Attributes:
        amount: granted part of the limit.
        requested: amount that the session requests.
        reserved: part of `amount` that the session may use while it is
            partitioned from the log.
        hold_s: time after the session's last renewal for which it may use the
            reserved part.
    """

    amount: int
    requested: int
    reserved: int = 0
    hold_s: float = 0.0

    @property
    def unreserved(self) -> int:
        """Part of `amount` that is not reserved."""
        return self.amount - self.reserved


class StoredVm(typing.NamedTuple):
    """Membership of a VM in its pool.

    Attributes:
        step: last step of its move: `joined`, `withdrawn` or `drained`.
    """

    pool: str
    incarnation: int
    step: str


class Disruption(typing.NamedTuple):
    """A voluntary disruption of a VM that may be in progress.

    Attributes:
        reason: id of the wave that disrupts the VM.
        offset: offset of the record that granted it.
    """

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
        start_offset: offset of its first record.
    """

    pool: str
    state: str
    reason: str
    offset: int
    base: str = ""
    start_offset: int = 0


class StoredUnknownRecord(typing.NamedTuple):
    """A record of a kind unknown to this version."""

    offset: int
    kind: str
    body: str

    @property
    def size_bytes(self) -> int:
        """Size of kind and body in UTF-8."""
        return len(f"{self.kind}{self.body}".encode("utf-8", "replace"))


@dataclasses.dataclass(slots=True)
class ControlTables:
    """All tables, as plain dictionaries and lists.

    Attributes:
        revision: offset after the batch of the last accepted note.
        objects: objects by kind and name.
        grants: grants by team and session.
        carryover_sources: former owner of each pool whose running attempts
            still use that owner's grants.
        last_maintenance: last maintenance by VM.
        unknown_records: records of kinds unknown to this version, oldest
            first.
        unknown_record_bytes: total size of `unknown_records`; not encoded.
        unknown_records_dropped: number of older ones that were dropped.
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
    claims: dict[str, PoolClaim] = dataclasses.field(default_factory=dict)
    grants: dict[str, dict[SessionKey, Grant]] = dataclasses.field(
        default_factory=dict
    )
    carryover_sources: dict[str, SessionKey] = dataclasses.field(
        default_factory=dict
    )
    vms: dict[str, StoredVm] = dataclasses.field(default_factory=dict)
    disruptions: dict[str, Disruption] = dataclasses.field(default_factory=dict)
    last_maintenance: dict[str, Maintenance] = dataclasses.field(
        default_factory=dict
    )
    waves: dict[str, Wave] = dataclasses.field(default_factory=dict)
    unknown_records: list[StoredUnknownRecord] = dataclasses.field(
        default_factory=list
    )
    unknown_record_bytes: int = 0
    unknown_records_dropped: int = 0

    def find(self, kind: str, name: str) -> StoredObject | None:
        """Returns an object, or None."""
        return self.objects.get(kind, {}).get(name)

    def find_in_force(self, kind: str, name: str) -> StoredObject | None:
        """Returns an object that is not being withdrawn, or None."""
        stored = self.find(kind, name)
        if stored is None or not config_objects.is_in_force(stored.body):
            return None
        return stored

    def is_live(self, session: SessionKey) -> bool:
        """Returns whether a session exists and has not ended."""
        row = self.sessions.get(session)
        return row is not None and not row.ended
