"""Merges the counts of all entry VMs into the burn of the fleet."""

import typing
from collections.abc import Iterable
from collections.abc import Mapping

from foxtaillock.reports import burn
from foxtaillock.reports import counts
from foxtaillock.reports import recorder

__all__ = ["FleetBurn", "decode_counts", "encode_counts", "merge"]


class FleetBurn(typing.NamedTuple):
    """Burn of one objective over the entry VMs that answered.

    Attributes:
        kind: kind of the object that has the objective.
        name: name of the object.
        objective: the objective.
        nodes: entry VMs whose counts are included.
        counted_s: longest time for which one of them has counted.
        status: counts, burn rates and alert.
    """

    kind: str
    name: str
    objective: burn.Objective
    nodes: tuple[str, ...]
    counted_s: float
    status: burn.Burn


def encode_counts(entry: recorder.ObjectiveCounts) -> dict[str, typing.Any]:
    """Returns the counts of one objective as a JSON object."""
    fields = entry._asdict()
    fields["objective"] = entry.objective._asdict()
    fields["by_window"] = {str(w): list(c) for w, c in entry.by_window.items()}
    return fields


def decode_counts(fields: Mapping[str, typing.Any]) -> recorder.ObjectiveCounts:
    """Decodes the result of `encode_counts`.

    Raises:
        ValueError: the fields are malformed.
    """
    try:
        return recorder.ObjectiveCounts(
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
        raise ValueError(f"malformed counts: {error}") from error


def merge(
    counts_by_node: Mapping[str, Iterable[recorder.ObjectiveCounts]],
) -> list[FleetBurn]:
    """Sums up the counts of the entry VMs and evaluates the alerts.

    If the entry VMs have different revisions of an object, only the counts of
    the newest revision are included, since the windows may differ.
    `FleetBurn.nodes` lists the entry VMs that are included.

    Args:
        counts_by_node: counts of the objectives by entry VM.
    """
    by_key: dict[recorder.Key, list[tuple[str, recorder.ObjectiveCounts]]] = {}
    for node, entries in sorted(counts_by_node.items()):
        for entry in entries:
            by_key.setdefault((entry.kind, entry.name), []).append(
                (node, entry)
            )
    return [
        _merge_objective(key, node_entries)
        for key, node_entries in sorted(by_key.items())
    ]


def _merge_objective(
    key: recorder.Key,
    node_entries: list[tuple[str, recorder.ObjectiveCounts]],
) -> FleetBurn:
    newest = max(entry.revision for _, entry in node_entries)
    included = [
        (node, entry)
        for node, entry in node_entries
        if entry.revision == newest
    ]
    objective = included[0][1].objective
    by_window = {}
    for window_s in burn.list_windows(objective):
        total = counts.Counts()
        for _, entry in included:
            total = total.plus(entry.by_window[window_s])
        by_window[window_s] = total
    return FleetBurn(
        *key,
        objective,
        tuple(node for node, _ in included),
        max(entry.counted_s for _, entry in included),
        burn.evaluate(objective, by_window),
    )
