"""Replicated state machine of the control stream."""

import hashlib
import json
from collections.abc import Sequence

from foxtaillock.model import record_batches
from foxtaillock.model import records
from foxtaillock.model import verdicts
from foxtaillock.state import codec
from foxtaillock.state import control_view
from foxtaillock.state import deduplication
from foxtaillock.state import grants_fold
from foxtaillock.state import handlers
from foxtaillock.state import keys_fold
from foxtaillock.state import notes_fold
from foxtaillock.state import pools_fold
from foxtaillock.state import sessions_fold
from foxtaillock.state import snapshots_fold
from foxtaillock.state import tables
from foxtaillock.state import vms_fold

__all__ = ["ControlState"]

# Imported for the record handlers that they register.
_FOLDS = (
    grants_fold,
    keys_fold,
    notes_fold,
    pools_fold,
    sessions_fold,
    vms_fold,
    snapshots_fold,
)
_DUPLICATE = verdicts.Verdict(False, "duplicate")


class ControlState(control_view.ControlView):
    """Fold of the control stream.

    Holds the configuration, keys, sessions, claims, grants, VMs, disruptions
    and waves. Replicas that folded the same records have the same state and
    digest.

    Example:
        >>> state = ControlState()
        >>> given = key_records.KeyGiven("k1", "00", "", "root")
        >>> batch = record_batches.RecordBatch("e1", "x", 1, (given,))
        >>> state.apply(0, batch)[0].accepted
        True
        >>> state.key("k1").withdrawn
        False
    """

    def __init__(self) -> None:
        super().__init__(tables.ControlTables())
        self._deduplicator = deduplication.BatchDeduplicator()

    def apply(
        self, offset: int, batch: record_batches.RecordBatch
    ) -> Sequence[verdicts.Verdict]:
        """Folds one batch; returns one verdict for each of its records."""
        if not self._deduplicator.admit(
            offset, batch.writer, batch.incarnation, batch.sequence
        ):
            return [_DUPLICATE] * len(batch.records)
        return [
            handlers.apply_record(self._tables, offset, record)
            for record in batch.records
        ]

    def encode(self) -> str:
        """Returns the state in its canonical encoding."""
        fields = codec.encode_tables(self._tables)
        fields["schema"] = records.SCHEMA_VERSION
        fields["sequences"] = self._deduplicator.to_rows()
        return json.dumps(fields, separators=(",", ":"), sort_keys=True)

    def digest(self) -> str:
        """Returns the SHA-256 of the canonical encoding, in hexadecimal."""
        return hashlib.sha256(self.encode().encode()).hexdigest()

    @classmethod
    def decode(cls, text: str) -> "ControlState":
        """Returns the state that `text` encodes.

        Raises:
            exceptions.InvalidInputError: `text` is not an encoded state.
        """
        state = cls()
        state.restore(text)
        return state

    def restore(self, text: str) -> None:
        """Replaces the state by the one that `text` encodes.

        Raises:
            exceptions.InvalidInputError: `text` is not an encoded state.
        """
        fields = codec.parse(text)
        self._tables = codec.decode_tables(fields)
        self._deduplicator.load_rows(fields["sequences"])
