"""Tests of neighbours and liveness."""

import random
import unittest

from foxtaillock.membership import liveness
from foxtaillock.membership import neighbours


def _fleet(regions: int, zones: int, nodes: int) -> list[neighbours.Member]:
    return [
        neighbours.Member(f"n{r}-{z}-{n}", f"z{r}-{z}", f"r{r}", "h:1")
        for r in range(regions)
        for z in range(zones)
        for n in range(nodes)
    ]


class NeighboursTest(unittest.TestCase):

    def test_links_stay_bounded_and_the_graph_connected(self) -> None:
        for regions, zones, nodes in ((1, 3, 3), (7, 3, 5), (3, 1, 1)):
            fleet = _fleet(regions, zones, nodes)
            links = {
                member.node: [
                    other.node
                    for other in neighbours.choose_neighbours(member, fleet)
                ]
                for member in fleet
            }
            self.assertEqual(_reached(links, fleet[0].node), len(fleet))
            self.assertLessEqual(max(map(len, links.values())), 18)
            self.assertTrue(all(n not in links[n] for n in links))

    def test_one_departure_moves_few_links(self) -> None:
        fleet = _fleet(7, 3, 5)
        before = neighbours.choose_neighbours(fleet[0], fleet)
        after = neighbours.choose_neighbours(fleet[0], fleet[:-1])
        self.assertLessEqual(len(set(before) ^ set(after)), 2)


def _reached(links: dict[str, list[str]], start: str) -> int:
    both: dict[str, set[str]] = {node: set(links[node]) for node in links}
    for node, others in links.items():
        for other in others:
            both[other].add(node)
    seen, open_nodes = {start}, [start]
    while open_nodes:
        for other in both[open_nodes.pop()] - seen:
            seen.add(other)
            open_nodes.append(other)
    return len(seen)


class LivenessTest(unittest.TestCase):

    def test_a_lossy_link_does_not_flap(self) -> None:
        state = liveness.create_liveness(1.0)
        rng = random.Random(5)
        changes, last = 0, liveness.PeerState.DOWN
        for now in range(2000):
            if rng.random() < 0.2:
                state.heard("n", float(now))
            else:
                state.missed("n", float(now))
            seen = state.state("n", float(now))
            changes += seen != last
            last = seen
        self.assertLess(changes, 60)

    def test_silence_and_return(self) -> None:
        state = liveness.create_liveness(1.0)
        for now in range(3):
            self.assertEqual(state.state("n", now), liveness.PeerState.DOWN)
            state.heard("n", float(now))
        self.assertEqual(state.state("n", 6.0), liveness.PeerState.UP)
        self.assertEqual(state.state("n", 6.1), liveness.PeerState.DOWN)
        state.heard("n", 7.0)
        self.assertEqual(state.state("n", 7.0), liveness.PeerState.DOWN)
