"""Rules on object fields that the JSON schema can't express."""

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
    kind: str, body: Mapping[str, typing.Any], is_complete: bool
) -> list[tuple[str, str]]:
    """Returns the errors in a body as pairs of field and message.

    Args:
        kind: kind of the object.
        body: fields of the object.
        is_complete: whether `body` holds all fields of the object. If not,
            absent fields keep their values.
    """
    errors = _check_duplicates(body)
    if kind == "pool" and body.get("min_available", 0) > body.get(
        "size", 0 if is_complete else float("inf")
    ):
        errors.append(("min_available", "must be at most the size"))
    if kind in ("queue", "service") and body.get("open"):
        if is_complete and not body.get("team"):
            message = f"an open {kind} needs the team its work is counted for"
            errors.append(("open", message))
        if body.get("teams"):
            errors.append(("teams", "an open queue takes work of any team"))
    for field in ("objective_latency_s", "objective_window_days"):
        if is_complete and field in body and "objective" not in body:
            errors.append((field, "needs an objective"))
    return errors


def _check_duplicates(body: Mapping[str, typing.Any]) -> list[tuple[str, str]]:
    errors = []
    for field in ("zones", "teams", "draining"):
        names = body.get(field, ())
        for name in sorted({name for name in names if names.count(name) > 1}):
            errors.append((field, f"{name!r} is listed more than once"))
    return errors


def list_references(
    kind: str, body: Mapping[str, typing.Any]
) -> Iterator[Reference]:
    """Yields the references of an object to other objects."""
    if kind == "queue":
        if "pool" in body:
            yield Reference("pool", "pool", body["pool"])
        for name in body.get("teams", ()):
            yield Reference("teams", "team", name)
    if kind in ("queue", "service") and body.get("team"):
        yield Reference("team", "team", body["team"])
