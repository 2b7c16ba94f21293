"""Batches of records and their encoding on the platform's log.

Each entry of the log is a batch: the writer, its incarnation, a sequence
number and the records that were committed together. A batch whose sequence
number is not above the last one of the same writer and incarnation is a
duplicate left by a retried append and has no effect.
"""

import json
import typing

from foxtaillock import exceptions
from foxtaillock.model import job_records
from foxtaillock.model import note_records
from foxtaillock.model import record_kinds
from foxtaillock.model import records as model_records

__all__ = ["RecordBatch", "decode_batch", "encode_batch"]


class RecordBatch(typing.NamedTuple):
    """Records that one writer committed in one append.

    Attributes:
        writer: name of the entry VM.
        incarnation: random identity of the writer's process.
        sequence: number of the batch among those of this incarnation on the
            stream, from 1.
        records: the records, in order.
        schema: schema version that the writer uses.
    """

    writer: str
    incarnation: str
    sequence: int
    records: tuple[model_records.Record, ...]
    schema: int = model_records.SCHEMA_VERSION


def encode_batch(batch: RecordBatch) -> str:
    """Returns `batch` as one line of JSON."""
    rows = [_encode_record(record) for record in batch.records]
    fields = {
        "v": batch.schema,
        "w": batch.writer,
        "i": batch.incarnation,
        "s": batch.sequence,
        "r": rows,
    }
    return json.dumps(fields, separators=(",", ":"))


def _encode_record(record: model_records.Record) -> list[typing.Any]:
    if isinstance(record, model_records.UnknownRecord):
        return [record.kind, *json.loads(record.body)]
    return [record_kinds.kind_of(record), *record]


def decode_batch(text: str) -> RecordBatch:
    """Returns the batch that `text` encodes.

    Raises:
        exceptions.InvalidInputError: `text` is not an encoded batch.
    """
    try:
        fields = json.loads(text)
        rows = tuple(_decode_record(row) for row in fields["r"])
        return RecordBatch(
            fields["w"], fields["i"], fields["s"], rows, fields["v"]
        )
    except (ValueError, KeyError, TypeError, IndexError) as error:
        raise exceptions.InvalidInputError(
            f"log entry is not an encoded batch: {error}"
        ) from error


def _decode_record(row: list[typing.Any]) -> model_records.Record:
    record_class = record_kinds.class_of(row[0])
    if record_class is None:
        return model_records.UnknownRecord(row[0], json.dumps(row[1:]))
    if record_class is note_records.NoteAccepted:
        changes = tuple(note_records.Change(*change) for change in row[4])
        return note_records.NoteAccepted(row[1], row[2], row[3], changes)
    if record_class is job_records.JobAccepted:
        row[6] = tuple(row[6])
    return record_class(*row[1:])
