"""Fold of the marks at which all replicas compute the state's digest."""

from foxtaillock.model import snapshot_records
from foxtaillock.model import verdicts
from foxtaillock.state import handlers
from foxtaillock.state import tables

__all__ = ["fold_snapshot_marked"]


@handlers.register_handler(snapshot_records.SnapshotMarked)
def fold_snapshot_marked(
    state: tables.ControlTables,
    offset: int,
    record: snapshot_records.SnapshotMarked,
) -> verdicts.Verdict:
    """Accepts the mark, which does not change the state."""
    del state, offset, record
    return verdicts.ACCEPTED
