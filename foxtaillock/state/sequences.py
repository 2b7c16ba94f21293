"""Detection of batches that a retried append left on the log twice."""

import typing

__all__ = ["HORIZON_OFFSETS", "SequenceRow", "Sequences"]

HORIZON_OFFSETS = 1_000_000


class SequenceRow(typing.NamedTuple):
    """Last batch of one incarnation of a writer.

    Attributes:
        sequence: highest sequence number that was folded.
        offset: offset of that batch.
    """

    sequence: int
    offset: int


class Sequences:
    """Highest folded sequence number of each writer and incarnation.

    Incarnations that wrote nothing for `HORIZON_OFFSETS` offsets are dropped,
    so that memory is bounded and all replicas drop the same ones.

    Example:
        >>> sequences = Sequences()
        >>> sequences.admit(0, "e1", "x", 1)
        True
        >>> sequences.admit(1, "e1", "x", 1)
        False
    """

    def __init__(self, horizon_offsets: int = HORIZON_OFFSETS) -> None:
        self._horizon_offsets = horizon_offsets
        self._rows: dict[tuple[str, str], SequenceRow] = {}

    def __len__(self) -> int:
        return len(self._rows)

    def admit(
        self, offset: int, writer: str, incarnation: str, sequence: int
    ) -> bool:
        """Records a batch; returns whether it is folded for the first time."""
        if sequence <= self.last(writer, incarnation):
            return False
        key = (writer, incarnation)
        self._rows.pop(key, None)
        self._rows[key] = SequenceRow(sequence, offset)
        self._drop_before(offset - self._horizon_offsets)
        return True

    def _drop_before(self, offset: int) -> None:
        while True:
            key = next(iter(self._rows))
            if self._rows[key].offset >= offset:
                return
            del self._rows[key]

    def last(self, writer: str, incarnation: str) -> int:
        """Returns the highest folded sequence number, zero if none."""
        row = self._rows.get((writer, incarnation))
        return row.sequence if row else 0

    def to_rows(self) -> list[list[typing.Any]]:
        """Returns the rows for a snapshot, in the order of offsets."""
        return [[*key, *row] for key, row in self._rows.items()]

    def load_rows(self, rows: list[list[typing.Any]]) -> None:
        """Replaces all rows by those of a snapshot."""
        self._rows = {
            (writer, incarnation): SequenceRow(sequence, offset)
            for writer, incarnation, sequence, offset in rows
        }
