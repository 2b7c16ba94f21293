"""Snapshots of a state: their chunks on the log, selection and policy."""

import base64
import hashlib
import json
import typing
import zlib
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence

from loguru import logger

from foxtaillock import exceptions
from foxtaillock.model import record_batches
from foxtaillock.model import records
from foxtaillock.model import snapshot_records
from foxtaillock.model import verdicts
from foxtaillock.state import deduplication

__all__ = [
    "CHUNK_BYTES",
    "CompleteSnapshot",
    "PolicySettings",
    "Snapshot",
    "SnapshotFold",
    "choose",
    "compute_digest",
    "decode",
    "encode",
    "is_due",
    "load_newest",
    "split_into_chunks",
]

CHUNK_BYTES = 48 * 1024
_MAX_PARTIAL_SNAPSHOTS = 4
_SNAPSHOTS_PER_RETENTION = 4
_MAX_COMPLETE_SNAPSHOTS = 4
_DUPLICATE = verdicts.Verdict(False, "duplicate")
_CORRUPT = verdicts.Verdict(False, "corrupt-snapshot")


class Snapshot(typing.NamedTuple):
    """Encoded state at an exact offset.

    Attributes:
        at_offset: offset of the first record that is not part of the state.
        digest: SHA-256 of `text`, in hexadecimal.
        text: the state in its canonical encoding.
    """

    snapshot_id: str
    at_offset: int
    digest: str
    text: str


class CompleteSnapshot(typing.NamedTuple):
    """A snapshot all chunks of which are on the log.

    Attributes:
        data: compressed text of the state.
        first_offset: lowest offset of its chunks in the snapshot stream.
    """

    snapshot_id: str
    at_offset: int
    digest: str
    data: bytes
    first_offset: int

    def decompress(self) -> Snapshot:
        """Returns the snapshot with its uncompressed text."""
        text = zlib.decompress(self.data).decode()
        return Snapshot(self.snapshot_id, self.at_offset, self.digest, text)


def compute_digest(text: str) -> str:
    """Returns the digest of an encoded state."""
    return hashlib.sha256(text.encode()).hexdigest()


def encode(snapshot: Snapshot) -> bytes:
    """Returns a snapshot as bytes to send to a peer."""
    return zlib.compress(json.dumps(snapshot).encode())


def decode(data: bytes) -> Snapshot:
    """Returns the snapshot that a peer sent.

    Raises:
        exceptions.InvalidInputError: it is malformed, or its digest does not
            match its text.
    """
    try:
        snapshot = Snapshot(*json.loads(zlib.decompress(data)))
        is_intact = compute_digest(snapshot.text) == snapshot.digest
    except (ValueError, TypeError, AttributeError, zlib.error) as error:
        raise exceptions.InvalidInputError(
            f"peer's snapshot is malformed: {error}"
        ) from error
    if not is_intact:
        raise exceptions.InvalidInputError("peer's snapshot is corrupt")
    return snapshot


def split_into_chunks(
    snapshot: Snapshot, chunk_bytes: int = CHUNK_BYTES
) -> list[snapshot_records.SnapshotChunk]:
    """Returns the records that store a snapshot on the log in chunks."""
    data = base64.b64encode(zlib.compress(snapshot.text.encode())).decode()
    part_starts = range(0, len(data), chunk_bytes)
    return [
        snapshot_records.SnapshotChunk(
            snapshot.snapshot_id,
            snapshot.at_offset,
            part,
            len(part_starts),
            snapshot.digest,
            data[start : start + chunk_bytes],
        )
        for part, start in enumerate(part_starts)
    ]


class _PartialSnapshot(typing.NamedTuple):
    first: snapshot_records.SnapshotChunk
    first_offset: int
    parts: dict[int, str]


class SnapshotFold:
    """Fold of the snapshot stream: reassembles snapshots from chunks.

    Only the newest complete snapshots and a few partial ones are kept, and
    never a snapshot with a wrong digest.
    """

    def __init__(self) -> None:
        self._deduplicator = deduplication.BatchDeduplicator()
        self._partial: dict[str, _PartialSnapshot] = {}
        self._complete: list[CompleteSnapshot] = []

    @property
    def complete(self) -> Sequence[CompleteSnapshot]:
        """Complete snapshots, oldest state first."""
        return tuple(self._complete)

    def apply(
        self, offset: int, batch: record_batches.RecordBatch
    ) -> Sequence[verdicts.Verdict]:
        """Folds one batch of chunks."""
        if not self._deduplicator.admit(offset, *batch[:3]):
            return [_DUPLICATE] * len(batch.records)
        return [self._apply_chunk(offset, row) for row in batch.records]

    def _apply_chunk(
        self, offset: int, record: records.Record
    ) -> verdicts.Verdict:
        if not isinstance(record, snapshot_records.SnapshotChunk):
            return verdicts.Verdict(False, "wrong-stream")
        partial = self._partial.get(record.snapshot_id)
        if partial is None:
            partial = _PartialSnapshot(record, offset, {})
            self._partial[record.snapshot_id] = partial
            self._drop_partial()
        if (record[1], *record[3:5]) != (partial.first[1], *partial.first[3:5]):
            return _CORRUPT
        if not 0 <= record.part < record.parts:
            return _CORRUPT
        partial.parts[record.part] = record.data
        if len(partial.parts) < record.parts:
            return verdicts.ACCEPTED
        del self._partial[record.snapshot_id]
        return self._complete_snapshot(partial)

    def _drop_partial(self) -> None:
        while len(self._partial) > _MAX_PARTIAL_SNAPSHOTS:
            del self._partial[next(iter(self._partial))]

    def _complete_snapshot(self, partial: _PartialSnapshot) -> verdicts.Verdict:
        first = partial.first
        complete = CompleteSnapshot(
            first.snapshot_id,
            first.at_offset,
            first.digest,
            _join_parts(partial),
            partial.first_offset,
        )
        if not _is_intact(complete):
            return _CORRUPT
        self._complete.append(complete)
        self._complete.sort(key=lambda row: row.at_offset)
        del self._complete[:-_MAX_COMPLETE_SNAPSHOTS]
        return verdicts.ACCEPTED


def _join_parts(partial: _PartialSnapshot) -> bytes:
    parts = [partial.parts[part] for part in range(partial.first.parts)]
    try:
        return base64.b64decode("".join(parts))
    except ValueError:
        return b""


def _is_intact(complete: CompleteSnapshot) -> bool:
    try:
        return compute_digest(complete.decompress().text) == complete.digest
    except (ValueError, zlib.error):
        return False


def choose(
    candidates: Iterable[Snapshot], oldest_offset: int
) -> Snapshot | None:
    """Returns the snapshot to start from, or None to start from offset zero.

    Args:
        candidates: snapshots from the log and from peers.
        oldest_offset: offset of the oldest record that the log retains.

    Raises:
        exceptions.StateDivergedError: records expired and no candidate covers
            them.
    """
    usable = [row for row in candidates if row.at_offset >= oldest_offset]
    if usable:
        return max(usable, key=lambda row: (row.at_offset, row.digest))
    if oldest_offset == 0:
        return None
    raise exceptions.StateDivergedError(
        f"no snapshot covers the expired records before {oldest_offset}"
    )


def load_newest(
    candidates: Iterable[Snapshot],
    oldest_offset: int,
    restore: Callable[[str], None],
) -> int:
    """Restores the newest snapshot that this version can read.

    Args:
        candidates: snapshots from the log and from peers.
        oldest_offset: offset of the oldest record that the log retains.
        restore: loads a text; raises `exceptions.InvalidInputError` if this
            version can't read it.

    Returns:
        Offset of the first record to fold after it; zero without a snapshot.

    Raises:
        exceptions.StateDivergedError: no candidate covers the expired records.
    """
    remaining = list(candidates)
    newest = choose(remaining, oldest_offset)
    while newest is not None:
        try:
            restore(newest.text)
            return newest.at_offset
        except exceptions.InvalidInputError as error:
            logger.warning(
                "skipped snapshot {}: {}", newest.snapshot_id, str(error)
            )
            remaining.remove(newest)
        newest = choose(remaining, oldest_offset)
    return 0


class PolicySettings(typing.NamedTuple):
    """Policy that decides when snapshots are taken.

    Attributes:
        max_interval_s: longest time between two snapshots; at most a quarter
            of the log's retention.
        max_records: maximum number of records to fold after the newest
            snapshot at a start.
        min_interval_s: shortest time between two snapshots.
    """

    max_interval_s: float = 3600.0
    max_records: int = 50_000
    min_interval_s: float = 60.0


def is_due(
    settings: PolicySettings,
    complete: Sequence[CompleteSnapshot],
    *,
    next_offset: int,
    oldest_offset: int,
    oldest_chunk_offset: int,
    since_last_s: float,
) -> bool:
    """Returns whether a snapshot must be taken now.

    A snapshot is due at once if the log retains too little to start from. Once
    the log drops records, one is due after each quarter of the retained
    records, so that always at least two are within the retention.

    Args:
        settings: the policy.
        complete: complete snapshots, oldest state first.
        next_offset: offset of the next record of the stream.
        oldest_offset: offset of the oldest retained record of the stream.
        oldest_chunk_offset: offset of the oldest retained record of the
            snapshot stream.
        since_last_s: seconds since this node saw the last snapshot or started.
    """
    if next_offset == 0:
        return False
    retained = [
        row
        for row in complete
        if row.at_offset >= oldest_offset
        and row.first_offset >= oldest_chunk_offset
    ]
    if not retained and oldest_offset > 0:
        return True
    if since_last_s < settings.min_interval_s:
        return False
    if len(retained) < 2 or since_last_s >= settings.max_interval_s:
        return True
    records_since_newest = next_offset - retained[-1].at_offset
    if oldest_offset > 0:
        retained_records = next_offset - oldest_offset
        if records_since_newest * _SNAPSHOTS_PER_RETENTION >= retained_records:
            return True
    return records_since_newest >= settings.max_records
