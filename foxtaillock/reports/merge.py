"""Burn of the whole fleet from the counts of its entry VMs."""

import typing
from collections.abc import Iterable
from collections.abc import Mapping

from foxtaillock.reports import burn
from foxtaillock.reports import counts
from foxtaillock.reports import recorder

__all__ = ["FleetBurn", "decode_row", "encode_row", "merge"]


class FleetBurn(typing.NamedTuple):
    """Burn of one objective over the entry VMs that answered.

    Attributes:
        nodes: entry VMs whose counts are in it.
        counted_s: seconds for which the longest of them has counted.
        standing: counts, burn rates and alert.
    """

    kind: str
    name: str
    objective: burn.Objective
    nodes: tuple[str, ...]
    counted_s: float
    standing: burn.Burn


def encode_row(row: recorder.Row) -> dict[str, typing.Any]:
    """Returns the counts of one objective as JSON."""
    fields = row._asdict()
    fields["objective"] = row.objective._asdict()
    fields["by_window"] = {str(w): list(c) for w, c in row.by_window.items()}
    return fields


def decode_row(fields: Mapping[str, typing.Any]) -> recorder.Row:
    """Returns the row that `encode_row` gave.

    Raises:
        ValueError: the fields are not a row.
    """
    try:
        return recorder.Row(
            str(fields["kind"]),
            str(fields["name"]),
            int(fields["revision"]),
            burn.Objective(**fields["objective"]),
            float(fields["counted_s"]),
            {
                int(w): counts.Counts(*map(int, c))
                for w, c in fields["by_window"].items()
            },
        )
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"not a row of counts: {error}") from error


def merge(
    rows_by_node: Mapping[str, Iterable[recorder.Row]],
) -> list[FleetBurn]:
    """Adds the counts of entry VMs up and decides on the alerts.

    Where the revisions of an object differ, only the rows of the newest one
    count: its windows may be others. `FleetBurn.nodes` tells whose they are.
    """
    by_key: dict[recorder.Key, list[tuple[str, recorder.Row]]] = {}
    for node, rows in sorted(rows_by_node.items()):
        for row in rows:
            by_key.setdefault((row.kind, row.name), []).append((node, row))
    return [_merge_one(key, found) for key, found in sorted(by_key.items())]


def _merge_one(
    key: recorder.Key, found: list[tuple[str, recorder.Row]]
) -> FleetBurn:
    newest = max(row.revision for _, row in found)
    chosen = [(node, row) for node, row in found if row.revision == newest]
    objective = chosen[0][1].objective
    by_window = {}
    for window_s in burn.windows_of(objective):
        total = counts.Counts()
        for _, row in chosen:
            total = total.plus(row.by_window[window_s])
        by_window[window_s] = total
    return FleetBurn(
        *key,
        objective,
        tuple(node for node, _ in chosen),
        max(row.counted_s for _, row in chosen),
        burn.decide(objective, by_window),
    )
