"""The configuration in force: routes, queues, pools, teams and their keys."""

import hashlib
import typing
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from foxtaillock.batch import model

__all__ = [
    "Configuration",
    "EMPTY",
    "Entries",
    "Route",
    "create_configuration",
    "key_digest",
]


class Route(typing.NamedTuple):
    """Host and path under which jobs are submitted to a queue.

    Attributes:
        host: host of the request.
        prefix: prefix of the path; the job's id follows it.
        queue: name of the queue.
    """

    host: str
    prefix: str
    queue: str


class Configuration(typing.NamedTuple):
    """One version of the configuration; it is applied as a whole.

    Attributes:
        version: number of the version; it increases with each change.
        routes: routes of each host, the longest prefix first.
        queues: queues by name.
        pools: pools by name.
        teams: teams by name.
        key_teams: names of teams by the digest of each key.
        max_body_bytes: maximum size of the body of a call.
    """

    version: int
    routes: Mapping[str, tuple[Route, ...]]
    queues: Mapping[str, model.Queue]
    pools: Mapping[str, model.Pool]
    teams: Mapping[str, model.Team]
    key_teams: Mapping[bytes, str]
    max_body_bytes: int

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest matching prefix, or None.

        Cost: O(n) for n routes of the host.
        """
        for route in self.routes.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def team_of(self, key: str) -> str | None:
        """Returns the team that a key belongs to, or None.

        Keys are looked up by digest, so that the duration of the lookup reveals
        nothing about a key.
        """
        return self.key_teams.get(key_digest(key))


class Entries(typing.NamedTuple):
    """Entries of one version as they were written, in their order.

    Attributes:
        version: number of the version.
        routes: routes.
        queues: queues.
        pools: pools.
        teams: each team with its keys.
        max_body_bytes: maximum size of the body of a call.
    """

    version: int
    routes: Sequence[Route]
    queues: Sequence[model.Queue]
    pools: Sequence[model.Pool]
    teams: Sequence[tuple[model.Team, Sequence[str]]]
    max_body_bytes: int


EMPTY = Configuration(-1, {}, {}, {}, {}, {}, 0)


def create_configuration(
    version: int,
    routes: Iterable[Route],
    queues: Iterable[model.Queue],
    pools: Iterable[model.Pool],
    teams: Iterable[tuple[model.Team, Iterable[str]]],
    max_body_bytes: int,
) -> Configuration:
    """Returns one version of the configuration.

    Args:
        version: number of the version.
        routes: routes in any order.
        queues: queues in any order.
        pools: pools in any order.
        teams: each team with its keys.
        max_body_bytes: maximum size of the body of a call.
    """
    routes_by_host: dict[str, list[Route]] = {}
    for route in routes:
        routes_by_host.setdefault(route.host.lower(), []).append(route)
    for host_routes in routes_by_host.values():
        host_routes.sort(key=lambda route: -len(route.prefix))
    teams_by_name: dict[str, model.Team] = {}
    key_teams: dict[bytes, str] = {}
    for team, keys in teams:
        teams_by_name[team.name] = team
        for key in keys:
            key_teams[key_digest(key)] = team.name
    return Configuration(
        version,
        {
            host: tuple(host_routes)
            for host, host_routes in routes_by_host.items()
        },
        {queue.name: queue for queue in queues},
        {pool.name: pool for pool in pools},
        teams_by_name,
        key_teams,
        max_body_bytes,
    )


def key_digest(key: str) -> bytes:
    """Returns the digest under which a key is stored and looked up."""
    # A key that a caller sends may hold bytes that are no text.
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).digest()
