"""Snapshots of a state: their chunks on the log, and which one to use."""

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
from foxtaillock.model import verdicts
from foxtaillock.state import sequences

__all__ = [
    "CHUNK_BYTES",
    "PolicySettings",
    "Snapshot",
    "SnapshotFold",
    "WholeSnapshot",
    "choose",
    "decode",
    "digest_of",
    "encode",
    "is_due",
    "load_newest",
    "split",
]

CHUNK_BYTES = 48 * 1024
_MAX_PARTIAL = 4
_SNAPSHOTS_KEPT = 4
_MAX_WHOLE = 4
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


class WholeSnapshot(typing.NamedTuple):
    """A snapshot of which every chunk stands on the log.

    Attributes:
        data: compressed text of the state.
        first_offset: lowest offset of its chunks, on the snapshots' stream.
    """

    snapshot_id: str
    at_offset: int
    digest: str
    data: bytes
    first_offset: int

    def unpack(self) -> Snapshot:
        """Returns the snapshot with its whole text."""
        text = zlib.decompress(self.data).decode()
        return Snapshot(self.snapshot_id, self.at_offset, self.digest, text)


def digest_of(text: str) -> str:
    """Returns the digest of an encoded state."""
    return hashlib.sha256(text.encode()).hexdigest()


def encode(snapshot: Snapshot) -> bytes:
    """Returns a snapshot as bytes, for a peer."""
    return zlib.compress(json.dumps(snapshot).encode())


def decode(data: bytes) -> Snapshot:
    """Returns the snapshot that a peer sent.

    Raises:
        exceptions.InvalidInputError: it is malformed, or its digest is not
            that of its text.
    """
    try:
        snapshot = Snapshot(*json.loads(zlib.decompress(data)))
        is_right = digest_of(snapshot.text) == snapshot.digest
    except (ValueError, TypeError, AttributeError, zlib.error) as error:
        raise exceptions.InvalidInputError(
            f"peer's snapshot is malformed: {error}"
        ) from error
    if not is_right:
        raise exceptions.InvalidInputError("peer's snapshot is corrupt")
    return snapshot


def split(
    snapshot: Snapshot, chunk_bytes: int = CHUNK_BYTES
) -> list[records.SnapshotChunk]:
    """Returns the chunks that carry a snapshot on the log."""
    data = base64.b64encode(zlib.compress(snapshot.text.encode())).decode()
    starts = range(0, len(data), chunk_bytes)
    return [
        records.SnapshotChunk(
            snapshot.snapshot_id,
            snapshot.at_offset,
            part,
            len(starts),
            snapshot.digest,
            data[start : start + chunk_bytes],
        )
        for part, start in enumerate(starts)
    ]


class _Partial(typing.NamedTuple):
    first: records.SnapshotChunk
    first_offset: int
    parts: dict[int, str]


class SnapshotFold:
    """Fold of the snapshots' stream: puts chunks together.

    Only the newest whole snapshots are kept, and a few begun ones; a snapshot
    with a wrong digest is never kept.
    """

    def __init__(self) -> None:
        self._sequences = sequences.Sequences()
        self._partial: dict[str, _Partial] = {}
        self._whole: list[WholeSnapshot] = []

    @property
    def whole(self) -> Sequence[WholeSnapshot]:
        """Whole snapshots, the oldest state first."""
        return tuple(self._whole)

    def apply(
        self, offset: int, batch: record_batches.Batch
    ) -> Sequence[verdicts.Verdict]:
        """Folds one batch of chunks."""
        if not self._sequences.admit(offset, *batch[:3]):
            return [_DUPLICATE] * len(batch.records)
        return [self._apply_record(offset, row) for row in batch.records]

    def _apply_record(
        self, offset: int, record: records.Record
    ) -> verdicts.Verdict:
        if not isinstance(record, records.SnapshotChunk):
            return verdicts.Verdict(False, "wrong-stream")
        partial = self._partial.get(record.snapshot_id)
        if partial is None:
            partial = _Partial(record, offset, {})
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
        return self._finish(partial)

    def _drop_partial(self) -> None:
        while len(self._partial) > _MAX_PARTIAL:
            del self._partial[next(iter(self._partial))]

    def _finish(self, partial: _Partial) -> verdicts.Verdict:
        first = partial.first
        whole = WholeSnapshot(
            first.snapshot_id,
            first.at_offset,
            first.digest,
            _join(partial),
            partial.first_offset,
        )
        if not _is_intact(whole):
            return _CORRUPT
        self._whole.append(whole)
        self._whole.sort(key=lambda row: row.at_offset)
        del self._whole[:-_MAX_WHOLE]
        return verdicts.ACCEPTED


def _join(partial: _Partial) -> bytes:
    parts = [partial.parts[part] for part in range(partial.first.parts)]
    try:
        return base64.b64decode("".join(parts))
    except ValueError:
        return b""


def _is_intact(whole: WholeSnapshot) -> bool:
    try:
        return digest_of(whole.unpack().text) == whole.digest
    except (ValueError, zlib.error):
        return False


def choose(
    candidates: Iterable[Snapshot], oldest_offset: int
) -> Snapshot | None:
    """Returns the snapshot to start from, or None to start from offset zero.

    Args:
        candidates: snapshots from the log and from peers.
        oldest_offset: offset of the oldest record that the log still keeps.

    Raises:
        exceptions.StateDivergedError: records have expired and no candidate
            covers them.
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
        oldest_offset: offset of the oldest record that the log still keeps.
        restore: loads a text; raises `exceptions.InvalidInputError` if this
            version can not read it.

    Returns:
        Offset of the first record to fold after it; zero without a snapshot.

    Raises:
        exceptions.StateDivergedError: no candidate covers what has expired.
    """
    left = list(candidates)
    found = choose(left, oldest_offset)
    while found is not None:
        try:
            restore(found.text)
            return found.at_offset
        except exceptions.InvalidInputError as error:
            logger.warning("{}: {}", found.snapshot_id, str(error))
            left.remove(found)
        found = choose(left, oldest_offset)
    return 0


class PolicySettings(typing.NamedTuple):
    """When snapshots are taken.

    Attributes:
        interval_s: longest time between two; a quarter of the log's
            retention, or less.
        max_records: most records that a start has to fold after one.
        spacing_s: shortest time between two.
    """

    interval_s: float = 3600.0
    max_records: int = 50_000
    spacing_s: float = 60.0


def is_due(
    settings: PolicySettings,
    whole: Sequence[WholeSnapshot],
    *,
    next_offset: int,
    oldest_offset: int,
    oldest_chunk_offset: int,
    since_last_s: float,
) -> bool:
    """Returns whether a snapshot must be taken now.

    It is due at once if nobody could start from what the log keeps.
    Once the log drops records, a snapshot is due after each quarter of what
    it keeps, so that two or more always stand inside the retention.

    Args:
        settings: when snapshots are taken.
        whole: whole snapshots, the oldest state first.
        next_offset: offset of the next record of the control stream.
        oldest_offset: oldest record that the log keeps of that stream.
        oldest_chunk_offset: likewise of the snapshots' stream.
        since_last_s: seconds since this node saw the last one or started.
    """
    if next_offset == 0:
        return False
    lasting = [
        row
        for row in whole
        if row.at_offset >= oldest_offset
        and row.first_offset >= oldest_chunk_offset
    ]
    if not lasting and oldest_offset > 0:
        return True
    if since_last_s < settings.spacing_s:
        return False
    if len(lasting) < 2 or since_last_s >= settings.interval_s:
        return True
    after_newest = next_offset - lasting[-1].at_offset
    if oldest_offset > 0:
        kept = next_offset - oldest_offset
        if after_newest * _SNAPSHOTS_KEPT >= kept:
            return True
    return after_newest >= settings.max_records
