"""Order in which the queues of teams get room, kept up to date."""

import bisect
from collections.abc import Mapping

from foxtaillock.model import resources
from foxtaillock.placement import capacity
from foxtaillock.placement import share_credits
from foxtaillock.placement import shares
from foxtaillock.placement import waiting

__all__ = ["QueueOrder"]

_ACCOUNTS = tuple(shares.Account)
_Row = tuple[bool, int, float, str]


class QueueOrder:
    """Queues of one pool, sorted by what their teams are owed.

    Only the queues of teams that started, ended, gained or lost jobs are
    reckoned anew.

    Args:
        workers: workers of the pool.
        jobs: its waiting jobs.
        account_credits: what teams lacked before, by account.
    """

    def __init__(
        self,
        workers: capacity.Capacity,
        jobs: waiting.WaitingJobs,
        account_credits: Mapping[shares.Account, share_credits.ShareCredits],
    ) -> None:
        self._workers = workers
        self._jobs = jobs
        self._credits = account_credits
        self._weights: Mapping[str, float] = {}
        self._rows: list[_Row] = []
        self._row_of: dict[tuple[int, str], _Row] = {}
        self._urgent: set[str] = set()
        self._total = resources.ZERO
        self._is_stale = True

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Takes over the weights of the teams."""
        self._weights = weights
        self._is_stale = True

    def refresh(self) -> None:
        """Reckons all queues anew, since what teams are owed has changed."""
        self._rebuild()

    def queues(self) -> list[tuple[shares.Account, str]]:
        """Returns the queues in the order in which they should get room.

        Half a job is added to what each team has, so that a team of small
        weight does not gain by the size of its jobs.

        Notes:
            Costs O(n) for n queues, and O(n log n) after a change of weights,
            workers or credits.
        """
        if self._is_stale or self._total != self._workers.total:
            self._rebuild()
        else:
            changed = self._jobs.changed_teams | self._workers.changed_teams
            for team in changed | self._urgent:
                self._update(team)
            self._jobs.changed_teams.clear()
            self._workers.changed_teams.clear()
        return [(_ACCOUNTS[row[1]], row[3]) for row in self._rows]

    def _rebuild(self) -> None:
        self._is_stale = False
        self._total = self._workers.total
        self._jobs.changed_teams.clear()
        self._workers.changed_teams.clear()
        self._urgent.clear()
        self._row_of.clear()
        for rank, account in enumerate(_ACCOUNTS):
            for team, queue in self._jobs.teams[account].items():
                self._row_of[rank, team] = self._row(rank, team, queue)
        self._rows = sorted(self._row_of.values())

    def _update(self, team: str) -> None:
        self._urgent.discard(team)
        for rank, account in enumerate(_ACCOUNTS):
            before = self._row_of.pop((rank, team), None)
            if before is not None:
                del self._rows[bisect.bisect_left(self._rows, before)]
            queue = self._jobs.teams[account].get(team)
            if queue is not None:
                row = self._row(rank, team, queue)
                self._row_of[rank, team] = row
                bisect.insort(self._rows, row)

    def _row(self, rank: int, team: str, queue: waiting.TeamQueue) -> _Row:
        account = _ACCOUNTS[rank]
        total = self._total
        weight = self._weight(team)
        used = self._workers.used.get(team, resources.ZERO)
        share = shares.account_share(account, used, total)
        wanted = shares.account_share(account, queue.wanted, total)
        job_share = wanted / len(queue)
        credit = self._credits[account].value(team, job_share)
        owed = share + 0.5 * job_share - credit
        goes_ahead = False
        if queue.urgent_count:
            self._urgent.add(team)
            goes_ahead = share * self._active_weight(account) < weight
        return not goes_ahead, rank, owed / weight, team

    def _active_weight(self, account: shares.Account) -> float:
        """Returns the sum of the weights of teams that use or ask for some."""
        used = self._workers.used
        if account is shares.Account.ACCELERATORS:
            used = self._workers.used_accelerated
        active = {*self._jobs.teams[account], *used}
        return sum(self._weight(team) for team in active)

    def _weight(self, team: str) -> float:
        return self._weights.get(team, 1.0)
