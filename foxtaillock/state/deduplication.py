"""Detection of batches that retried appends stored on the log twice."""

import typing

__all__ = ["BatchDeduplicator", "LastBatch", "WINDOW_OFFSETS"]

WINDOW_OFFSETS = 1_000_000


class LastBatch(typing.NamedTuple):
    """Last batch of one incarnation of a writer.

    Attributes:
        sequence: highest sequence number that was folded.
        offset: offset of that batch.
    """

    sequence: int
    offset: int


class BatchDeduplicator:
    """Keeps the highest folded sequence number of each writer's incarnations.

    Incarnations without a batch in the last `WINDOW_OFFSETS` offsets are
    dropped. This bounds the memory, and all replicas drop the same ones.

    Example:
        >>> deduplicator = BatchDeduplicator()
        >>> deduplicator.admit(0, "e1", "x", 1)
        True
        >>> deduplicator.admit(1, "e1", "x", 1)
        False
    """

    def __init__(self, window_offsets: int = WINDOW_OFFSETS) -> None:
        self._window_offsets = window_offsets
        self._rows: dict[tuple[str, str], LastBatch] = {}

    def __len__(self) -> int:
        return len(self._rows)

    def admit(
        self, offset: int, writer: str, incarnation: str, sequence: int
    ) -> bool:
        """Records a batch; returns whether it is new to its incarnation."""
        if sequence <= self.last_sequence(writer, incarnation):
            return False
        key = (writer, incarnation)
        self._rows.pop(key, None)
        self._rows[key] = LastBatch(sequence, offset)
        self._drop_before(offset - self._window_offsets)
        return True

    def _drop_before(self, offset: int) -> None:
        while True:
            key = next(iter(self._rows))
            if self._rows[key].offset >= offset:
                return
            del self._rows[key]

    def last_sequence(self, writer: str, incarnation: str) -> int:
        """Returns the highest folded sequence number, or zero."""
        row = self._rows.get((writer, incarnation))
        return row.sequence if row else 0

    def to_rows(self) -> list[list[typing.Any]]:
        """Returns the rows for a snapshot, ordered by offset."""
        return [[*key, *row] for key, row in self._rows.items()]

    def load_rows(self, rows: list[list[typing.Any]]) -> None:
        """Replaces all rows by those of a snapshot."""
        self._rows = {
            (writer, incarnation): LastBatch(sequence, offset)
            for writer, incarnation, sequence, offset in rows
        }
