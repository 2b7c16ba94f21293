"""What all records of the platform's log have in common.

`record_kinds` lists the classes of records, `record_batches` defines how they
are encoded in the log. A record takes effect only if the fold of its stream
accepts it.

Streams: `control` carries what every entry VM needs (configuration, keys,
sessions, pool claims, grants, moves of VMs); `pool.<name>` carries the jobs of
one pool, read by its owner; `calls.<service>` the claims of non-idempotent
calls; `snapshots` the snapshots of the state.
"""

import typing

__all__ = [
    "CONTROL_STREAM",
    "Record",
    "SCHEMA_VERSION",
    "SNAPSHOT_STREAM",
    "UnknownRecord",
]

SCHEMA_VERSION = 2
CONTROL_STREAM = "control"
SNAPSHOT_STREAM = "snapshots"

Record = typing.Any


class UnknownRecord(typing.NamedTuple):
    """A record of a kind that this version does not know; kept unchanged.

    Attributes:
        kind: kind of the record.
        body: its fields as a JSON array.
    """

    kind: str
    body: str
