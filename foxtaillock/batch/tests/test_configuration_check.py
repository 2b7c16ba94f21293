"""Tests of the check of configurations."""

import typing
import unittest

from foxtaillock.batch import configuration
from foxtaillock.batch import configuration_check
from foxtaillock.batch import model
from foxtaillock.model import resources

_LIMIT = resources.Resources(1_000, 0, 0)
_GOOD = configuration.Entries(
    3,
    [configuration.Route("jobs.example", "/a/", "a")],
    [model.Queue("a", "pool", 0, 2, 1.5, 100, False)],
    [model.Pool("pool", False, False), model.Pool("spare", False, True)],
    [(model.Team("team", 1.0, _LIMIT), ["k1"])],
    262_144,
)


class ConfigurationCheckTest(unittest.TestCase):
    """Configurations with one fault each."""

    def _kinds(self, entries: configuration.Entries) -> list[tuple[str, str]]:
        return [
            (finding.kind, finding.place)
            for finding in configuration_check.check(entries)
        ]

    def test_good_configuration_has_findings(self) -> None:
        self.assertEqual(self._kinds(_GOOD), [])

    def test_route_that_never_matches_is_not_found(self) -> None:
        for route in (
            configuration.Route("JOBS.example", "/a/", "b"),
            configuration.Route("other.example", "b/", "b"),
        ):
            with self.subTest(route=route):
                entries = _GOOD._replace(routes=[*_GOOD.routes, route])
                expected = [("never-used", "route b")]
                self.assertEqual(self._kinds(entries), expected)

    def test_fault_of_a_queue_is_not_found(self) -> None:
        (queue,) = _GOOD.queues
        faults: dict[str, list[dict[str, typing.Any]]] = {
            "error": [{"pool": "none"}, {"pool": "spare"}],
            "contradiction": [
                {"max_attempts": 0},
                {"stretch": 0.9},
                {"stretch": float("nan")},
            ],
        }
        for kind, changes in faults.items():
            for change in changes:
                with self.subTest(change=change):
                    changed = queue._replace(**change)
                    entries = _GOOD._replace(queues=[changed])
                    self.assertEqual(self._kinds(entries), [(kind, "queue a")])
        twice = _GOOD._replace(queues=[queue, queue._replace(priority=1)])
        self.assertEqual(self._kinds(twice), [("error", "queue a")])

    def test_fault_of_a_team_is_not_found(self) -> None:
        team = model.Team("b", 1.0, _LIMIT)
        none = resources.Resources(0, 0, 0)
        for kind, added, keys in (
            ("error", team, ["k1"]),
            ("contradiction", team._replace(limit=none), ["k2"]),
            ("contradiction", team._replace(weight=0.0), ["k2"]),
        ):
            with self.subTest(added=added, keys=keys):
                entries = _GOOD._replace(teams=[*_GOOD.teams, (added, keys)])
                self.assertEqual(self._kinds(entries), [(kind, "team b")])

    def test_difference_is_missed_or_shows_a_key(self) -> None:
        (queue,) = _GOOD.queues
        ((team, _),) = _GOOD.teams
        changed = _GOOD._replace(
            version=4,
            routes=[],
            queues=[queue._replace(priority=1)],
            pools=[*_GOOD.pools, model.Pool("new", False, False)],
            teams=[(team, ["secret"])],
            max_body_bytes=100,
        )
        findings = configuration_check.compare(changed, _GOOD)
        self.assertEqual(
            [(finding.place, finding.text) for finding in findings],
            [
                ("max_body_bytes", "262144 -> 100"),
                ("route jobs.example/a/", "is removed"),
                ("queue a", "priority: 0 -> 1"),
                ("pool new", "is added"),
                ("team team", "keys: 1 added, 1 removed"),
            ],
        )
        self.assertEqual({finding.kind for finding in findings}, {"changed"})

    def test_version_that_does_not_increase_is_not_found(self) -> None:
        (finding,) = configuration_check.compare(_GOOD, _GOOD)
        self.assertEqual((finding.kind, finding.place), ("error", "version"))


if __name__ == "__main__":
    unittest.main()
