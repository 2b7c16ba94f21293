"""Estimates how many processors a pool will be asked for.

For demand that rises and falls by turns: a queue asks a twentieth of its mean
for a while, then within a few seconds several times what its pool holds. A VM
that is moved helps only after the move, so the growth until then counts too;
and a VM that is given away in a short lull would be missed at once, so the
highest demand of the last seconds counts for what a pool keeps.
"""

import collections
import itertools

__all__ = ["LEAD_S", "Demand"]

# Time from a decision to the first task on a VM that moves: the platform's
# move of 1.5 s and the worker's first entry in the registry.
LEAD_S = 1.8

# Time over which growth is measured; jobs that come at random make shorter
# ones swing.
_GROWTH_S = 0.8

_ROUNDING_S = 1e-6

# Time for which a pool keeps what it needed. Moving a VM away and back costs
# as much as 3.5 s of it in a pool.
_KEEP_S = 1.5


class Demand:
    """Processors that the tasks of one pool ask for, over the last seconds."""

    def __init__(self) -> None:
        self._samples: collections.deque[tuple[float, int]] = (
            collections.deque()
        )

    def observe(self, now_s: float, millis: int) -> None:
        """Takes in what all tasks that run or could run ask for now."""
        self._samples.append((now_s, millis))
        while self._samples[0][0] < now_s - _KEEP_S:
            self._samples.popleft()

    def expected(self) -> float:
        """Returns what will be asked for when a VM that moves now is there.

        Growth that came in one leap, as with one large job, is no trend: the
        largest step between two samples is left out.

        Example:
            >>> demand = Demand()
            >>> for tenths in range(0, 9, 2):
            ...     demand.observe(tenths / 10, 100 * tenths)
            >>> demand.expected()
            2150.0
        """
        if not self._samples:
            return 0.0
        now_s, now_millis = self._samples[-1]
        recent = [
            millis
            for at_s, millis in self._samples
            if at_s >= now_s - _GROWTH_S - _ROUNDING_S
        ]
        steps = [after - before for before, after in itertools.pairwise(recent)]
        if not steps:
            return float(now_millis)
        grown = sum(steps) - max(steps)
        return now_millis + max(0.0, grown / _GROWTH_S * LEAD_S)

    def kept(self) -> float:
        """Returns what the pool keeps: the most that it was asked for lately.

        What it is expected to be asked for counts as well.
        """
        most = max((millis for _, millis in self._samples), default=0)
        return max(float(most), self.expected())
