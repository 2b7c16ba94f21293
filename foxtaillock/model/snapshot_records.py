"""Records of snapshots of the state."""

import typing

__all__ = ["SnapshotChunk", "SnapshotMarked"]


class SnapshotMarked(typing.NamedTuple):
    """Marks the offset of a snapshot: the state after this record's batch.

    Every replica computes its digest there and compares it with the digest of
    the snapshot once this is written.
    """

    snapshot_id: str
    node: str


class SnapshotChunk(typing.NamedTuple):
    """Part of a snapshot of the state at `at_offset`.

    Attributes:
        digest: digest of the whole state, in hexadecimal.
        data: part number `part` of `parts` of the encoded state.
    """

    snapshot_id: str
    at_offset: int
    part: int
    parts: int
    digest: str
    data: str
