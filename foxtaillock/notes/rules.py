"""Rules on the fields of objects that a schema can't say."""

import typing
from collections.abc import Iterator
from collections.abc import Mapping

__all__ = ["Reference", "check_body", "list_references"]


class Reference(typing.NamedTuple):
    """A field that names another object."""

    field: str
    kind: str
    name: str


def check_body(
    kind: str, body: Mapping[str, typing.Any], is_whole: bool
) -> list[tuple[str, str]]:
    """Returns the faults of a body as pairs of field and message.

    Args:
        kind: kind of the object.
        body: its fields.
        is_whole: whether absent fields are really absent, rather than kept
            as they are.
    """
    faults = _check_duplicates(body)
    if kind == "pool" and body.get("min_available", 0) > body.get(
        "size", 0 if is_whole else float("inf")
    ):
        faults.append(("min_available", "must be at most the size"))
    if kind in ("queue", "service") and body.get("open"):
        if is_whole and not body.get("team"):
            message = f"an open {kind} needs the team that its work counts for"
            faults.append(("open", message))
        if body.get("teams"):
            faults.append(("teams", "an open queue takes work of any team"))
    for field in ("objective_latency_s", "objective_window_days"):
        if is_whole and field in body and "objective" not in body:
            faults.append((field, "needs an objective"))
    return faults


def _check_duplicates(body: Mapping[str, typing.Any]) -> list[tuple[str, str]]:
    faults = []
    for field in ("zones", "teams", "draining"):
        names = body.get(field, ())
        for name in sorted({name for name in names if names.count(name) > 1}):
            faults.append((field, f"{name!r} stands more than once"))
    return faults


def list_references(
    kind: str, body: Mapping[str, typing.Any]
) -> Iterator[Reference]:
    """Yields the references of an object to others."""
    if kind == "queue":
        if "pool" in body:
            yield Reference("pool", "pool", body["pool"])
        for name in body.get("teams", ()):
            yield Reference("teams", "team", name)
    if kind in ("queue", "service") and body.get("team"):
        yield Reference("team", "team", body["team"])
