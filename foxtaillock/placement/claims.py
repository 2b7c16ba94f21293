"""Claims of teams below their share on room that others have borrowed."""

import itertools
from collections.abc import Callable, Collection, Mapping

from foxtaillock.model import resources
from foxtaillock.placement import capacity
from foxtaillock.placement import preemption
from foxtaillock.placement import shares
from foxtaillock.placement import waiting

__all__ = ["ShareClaims"]

RETURN_AFTER_S = 20.0
CLAIM_INTERVAL_S = 1.0


class ShareClaims:
    """Decides whose waiting job may have running tasks checkpointed.

    Urgent work claims its share at once; other work after `RETURN_AFTER_S`,
    one job in `CLAIM_INTERVAL_S`. No job claims twice within
    `RETURN_AFTER_S`, so that two teams can not take the same room from each
    other in turn.

    Args:
        workers: workers of the pool.
        jobs: its waiting jobs.
    """

    def __init__(
        self, workers: capacity.Capacity, jobs: waiting.WaitingJobs
    ) -> None:
        self._workers = workers
        self._jobs = jobs
        self._claimed_s: dict[str, float] = {}
        self._next_claim_s = float("-inf")

    def choose(
        self,
        now_s: float,
        due_shares: Callable[[], Mapping[shares.Account, Mapping[str, float]]],
        may_claim: Callable[[str], bool],
        spared: Collection[str],
    ) -> preemption.Preemption | None:
        """Returns tasks to checkpoint, or None.

        Args:
            now_s: time of the owner's clock.
            due_shares: gives the share that each team is due, by account.
            may_claim: whether a team may start jobs at all.
            spared: workers that must not be touched.
        """
        wanting = self._wanting(now_s, may_claim)
        if not wanting:
            return None
        kept = {
            account: self._kept_shares(account, due)
            for account, due in due_shares().items()
        }
        for request in wanting:
            account = shares.account_of(request.size)
            used = self._workers.used.get(request.team, resources.ZERO)
            share = self._share(account, resources.add(used, request.size))
            most = kept[account].get(request.team, 0.0)
            if share > most + preemption.SHARE_TOLERANCE:
                continue
            chosen = preemption.choose(request, self._workers, kept, spared)
            if chosen is not None:
                self._note(request, now_s)
                return chosen
        return None

    def _wanting(
        self, now_s: float, may_claim: Callable[[str], bool]
    ) -> list[waiting.Request]:
        """Returns the first job of each queue that may claim, urgent first."""
        for job_id, claimed_s in list(self._claimed_s.items()):
            if now_s > claimed_s + RETURN_AFTER_S:
                del self._claimed_s[job_id]
        wanting = []
        queues = itertools.chain.from_iterable(
            teams.items() for teams in self._jobs.teams.values()
        )
        for team, queue in queues:
            request = queue.first_urgent() or queue.first()
            if request is None or request.job_id in self._claimed_s:
                continue
            has_waited = now_s - request.since_s > RETURN_AFTER_S
            is_due = has_waited and now_s >= self._next_claim_s
            if (request.urgent or is_due) and may_claim(team):
                wanting.append(request)
        wanting.sort(key=lambda request: not request.urgent)
        return wanting

    def _note(self, request: waiting.Request, now_s: float) -> None:
        self._claimed_s[request.job_id] = now_s
        if not request.urgent:
            self._next_claim_s = now_s + CLAIM_INTERVAL_S

    def _kept_shares(
        self, account: shares.Account, due: Mapping[str, float]
    ) -> dict[str, float]:
        """Returns the shares above which teams have borrowed.

        What can not be used because of fragments lowers the shares of the
        teams that ask for more than they are due, all alike. Teams that are
        due all that they ask for come first.
        """
        short = [t for t in due if not self._is_met(account, t, due[t])]
        wanted = sum(due[team] for team in short)
        usable = sum(
            self._share(account, used) for used in self._workers.used.values()
        )
        left = usable - (sum(due.values()) - wanted)
        efficiency = min(1.0, max(0.0, left) / wanted) if wanted > 0 else 1.0
        kept = dict(due)
        for team in short:
            kept[team] *= efficiency
        return kept

    def _is_met(self, account: shares.Account, team: str, due: float) -> bool:
        """Returns whether a team is due all that it asks for."""
        asked = self._workers.used.get(team, resources.ZERO)
        queue = self._jobs.queue(account, team)
        if queue is not None:
            asked = resources.add(asked, queue.wanted)
        return self._share(account, asked) <= due + preemption.SHARE_TOLERANCE

    def _share(
        self, account: shares.Account, used: resources.Resources
    ) -> float:
        return shares.account_share(account, used, self._workers.total)
