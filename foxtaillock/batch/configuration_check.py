"""Checks a configuration before it is sent, and compares two versions.

It answers configurations that are decoded without an error and yet don't do
what was meant: with dozens of teams and queues, a route that can never match
or a queue without a pool is noticed only by its callers.
"""

import typing
from collections.abc import Iterator
from collections.abc import Mapping

from foxtaillock.batch import configuration

__all__ = ["Finding", "check", "compare"]


class Finding(typing.NamedTuple):
    """One row of the result.

    Attributes:
        kind: `error`, `never-used`, `contradiction` or `changed`.
        place: entry that it is about.
        text: what was found.
    """

    kind: str
    place: str
    text: str


def check(entries: configuration.Entries) -> list[Finding]:
    """Returns what is wrong with a configuration."""
    return [
        *_check_routes(entries),
        *_check_queues(entries),
        *_check_teams(entries),
    ]


def compare(
    entries: configuration.Entries, in_force: configuration.Entries
) -> list[Finding]:
    """Returns what differs from the configuration in force.

    Keys are counted, never shown.
    """
    findings = []
    if entries.version <= in_force.version:
        text = f"{entries.version} is not above {in_force.version} in force"
        findings.append(Finding("error", "version", text))
    if entries.max_body_bytes != in_force.max_body_bytes:
        text = f"{in_force.max_body_bytes} -> {entries.max_body_bytes}"
        findings.append(Finding("changed", "max_body_bytes", text))
    for name in ("routes", "queues", "pools", "teams"):
        findings += _compare_rows(
            name[:-1], _rows(in_force, name), _rows(entries, name)
        )
    return findings


def _check_routes(entries: configuration.Entries) -> Iterator[Finding]:
    queues: dict[tuple[str, str], str] = {}
    for route in entries.routes:
        place = f"route {route.queue}"
        address = (route.host.lower(), route.prefix)
        if not route.prefix.startswith("/"):
            text = f"the prefix {route.prefix!r} does not begin with /"
            yield Finding("never-used", place, text)
        if address in queues:
            text = (
                f"the route to {queues[address]} has the same host and prefix "
                "and comes first"
            )
            yield Finding("never-used", place, text)
        queues.setdefault(address, route.queue)


def _check_queues(entries: configuration.Entries) -> Iterator[Finding]:
    pools = {pool.name: pool for pool in entries.pools}
    known: dict[str, typing.Any] = {}
    for queue in entries.queues:
        place = f"queue {queue.name}"
        if known.setdefault(queue.name, queue) != queue:
            text = "stands twice with different settings; the last one counts"
            yield Finding("error", place, text)
        pool = pools.get(queue.pool)
        if pool is None:
            text = f"the pool {queue.pool!r} does not exist"
            yield Finding("error", place, text)
        elif pool.is_spare:
            text = f"the pool {queue.pool!r} is the spare pool"
            yield Finding("error", place, text)
        if queue.max_attempts < 1:
            text = f"max_attempts is {queue.max_attempts}, below 1"
            yield Finding("contradiction", place, text)
        # A value that is not a number is below nothing.
        if not queue.stretch >= 1:
            text = f"the stretch is {queue.stretch:g}, below 1"
            yield Finding("contradiction", place, text)


def _check_teams(entries: configuration.Entries) -> Iterator[Finding]:
    names: set[str] = set()
    owners: dict[str, str] = {}
    for team, keys in entries.teams:
        place = f"team {team.name}"
        if team.name in names:
            text = "stands twice; the last one counts, keys of both work"
            yield Finding("error", place, text)
        names.add(team.name)
        if not any(team.limit):
            text = "its limit is 0 in each resource, which means no limit"
            yield Finding("contradiction", place, text)
        if not team.weight > 0:
            text = f"its weight is {team.weight:g}"
            yield Finding("contradiction", place, text)
        for number, key in enumerate(keys):
            owner = owners.setdefault(key, team.name)
            if owner != team.name:
                text = f"key {number} is also a key of {owner}"
                yield Finding("error", place, text)


def _rows(
    entries: configuration.Entries, name: str
) -> dict[str, dict[str, typing.Any]]:
    """Returns the fields of each entry of one kind, by its name."""
    if name == "routes":
        return {
            f"{route.host.lower()}{route.prefix}": route._asdict()
            for route in reversed(entries.routes)
        }
    if name == "queues":
        return {queue.name: queue._asdict() for queue in entries.queues}
    if name == "pools":
        return {pool.name: pool._asdict() for pool in entries.pools}
    return {
        team.name: {**team._asdict(), "keys": frozenset(keys)}
        for team, keys in entries.teams
    }


def _compare_rows(
    kind: str,
    old: Mapping[str, dict[str, typing.Any]],
    new: Mapping[str, dict[str, typing.Any]],
) -> Iterator[Finding]:
    for name in sorted(old.keys() | new.keys()):
        place = f"{kind} {name}"
        if name not in new:
            yield Finding("changed", place, "is removed")
        elif name not in old:
            yield Finding("changed", place, "is added")
        else:
            for field, value in new[name].items():
                text = _difference(field, old[name][field], value)
                if text:
                    yield Finding("changed", place, text)


def _difference(field: str, old: typing.Any, new: typing.Any) -> str:
    if old == new:
        return ""
    if field == "keys":
        return f"keys: {len(new - old)} added, {len(old - new)} removed"
    return f"{field}: {old} -> {new}"
