"""Kinds under which the classes of records stand in the platform's log.

A kind is never given to another class: entries of earlier versions carry it.
"""

from foxtaillock.model import call_records
from foxtaillock.model import grant_records
from foxtaillock.model import job_records
from foxtaillock.model import key_records
from foxtaillock.model import note_records
from foxtaillock.model import pool_records
from foxtaillock.model import records
from foxtaillock.model import session_records
from foxtaillock.model import snapshot_records
from foxtaillock.model import vm_records

__all__ = ["class_of", "kind_of"]

_CLASS_OF_KIND: dict[str, type] = {
    "note-accepted": note_records.NoteAccepted,
    "key-given": key_records.KeyGiven,
    "key-withdrawn": key_records.KeyWithdrawn,
    "session-renewed": session_records.SessionRenewed,
    "session-ended": session_records.SessionEnded,
    "pool-claimed": pool_records.PoolClaimed,
    "pool-released": pool_records.PoolReleased,
    "pool-retired": pool_records.PoolRetired,
    "grant-changed": grant_records.GrantChanged,
    "standing-grant-changed": grant_records.StandingGrantChanged,
    "lent-grants-reclaimed": grant_records.LentGrantsReclaimed,
    "grant-reclaimed": grant_records.GrantReclaimed,
    "grants-carried": grant_records.GrantsCarried,
    "vm-step": vm_records.VmStep,
    "disruption-granted": vm_records.DisruptionGranted,
    "disruption-ended": vm_records.DisruptionEnded,
    "maintenance-recorded": vm_records.MaintenanceRecorded,
    "wave-changed": vm_records.WaveChanged,
    "snapshot-marked": snapshot_records.SnapshotMarked,
    "snapshot-chunk": snapshot_records.SnapshotChunk,
    "pool-epoch-raised": pool_records.PoolEpochRaised,
    "job-accepted": job_records.JobAccepted,
    "attempt-started": job_records.AttemptStarted,
    "attempt-ended": job_records.AttemptEnded,
    "job-checkpointed": job_records.JobCheckpointed,
    "job-cancelled": job_records.JobCancelled,
    "job-settled": job_records.JobSettled,
    "call-claimed": call_records.CallClaimed,
    "call-ended": call_records.CallEnded,
}
_KIND_OF_CLASS = {
    record_class: kind for kind, record_class in _CLASS_OF_KIND.items()
}


def kind_of(record: records.Record) -> str:
    """Returns the kind of the class of a record."""
    return _KIND_OF_CLASS[type(record)]


def class_of(kind: str) -> type | None:
    """Returns the class of a kind; None if this version does not know it."""
    return _CLASS_OF_KIND.get(kind)
