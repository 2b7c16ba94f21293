"""Accounts of what each team uses of each pool, against its share.

Answers the load of teams that compete for a full pool: a team that sends
several times its usual load would take all room that becomes free. A team is
beyond its share if what it holds of the pool is at least its entitlement. What
it held beyond that on average over the last seconds counts as still held, so
that others catch up. Since the averages of all teams add up to one pool at
most, there is always a team within its share while one is beyond.

A small team's second job may already take it beyond its share. So a team has to
be clearly beyond its share until its jobs come last among those that can be in
time; otherwise, value decides between jobs of all teams.
"""

import dataclasses
import math
import typing
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping

from foxtaillock.batch import decision_log
from foxtaillock.batch import model
from foxtaillock.batch import records
from foxtaillock.model import resources

__all__ = ["PlanShares", "TeamAccounts", "entitlements"]

# Time constant of the moving average. A queue's peak lasts some seconds.
_AVERAGING_S = 3.0

# A pool counts as full for this time after a plan that could not serve all.
_FULL_S = 2.0

# Least interval between two log lines on one team in one pool.
_LOG_INTERVAL_S = 5.0

# Averages below this fraction of a pool are neither kept nor recorded.
_MIN_SHARE = 0.005

_MIN_WEIGHT = 1e-9

# A team is clearly beyond its share from this multiple of the share on top of
# it, or from this fraction of what the other teams are entitled to. The first
# is for small teams, whose share is a task or two. The second bounds what a
# flood takes of the others: from 0.3 on, they wait too long if its jobs have a
# higher value density.
_CLEAR_MULTIPLE = 3.0
_CLEAR_FRACTION_OF_OTHERS = 0.2


@dataclasses.dataclass(slots=True)
class _Account:
    """What one team uses of one pool.

    Attributes:
        runs: number of its runs.
        held: resources that they reserve.
        held_share: dominant share of `held` when it was last needed.
        average: moving average of `held_share` at `updated_s`.
        updated_s: time of the latest update.
        is_beyond: whether the team was beyond its share in the latest plan.
        logged_beyond: the same as last logged.
        logged_s: time of that log line.
    """

    runs: int = 0
    held: resources.Resources = resources.ZERO
    held_share: float = 0.0
    average: float = 0.0
    updated_s: float = float("-inf")
    is_beyond: bool = False
    logged_beyond: bool = False
    logged_s: float = float("-inf")

    def advance(self, capacity: resources.Resources, now_s: float) -> None:
        """Brings the average up to the present.

        The share is computed only as time passes: many runs begin at once in a
        plan or a takeover.
        """
        if now_s <= self.updated_s:
            return
        self.held_share = resources.dominant_share(self.held, capacity)
        decay = math.exp((self.updated_s - now_s) / _AVERAGING_S)
        self.average = self.held_share + decay * (
            self.average - self.held_share
        )
        self.updated_s = now_s

    def change(
        self,
        runs: int,
        size: resources.Resources,
        capacity: resources.Resources,
        now_s: float,
    ) -> None:
        """Adds runs of a size; removes them if their number is negative."""
        if now_s > self.updated_s:
            self.advance(capacity, now_s)
        change = resources.add if runs > 0 else resources.subtract
        self.runs += runs
        self.held = change(self.held, size)


class _Charge(typing.NamedTuple):
    """What a run is charged with."""

    pool: str
    team: str
    size: resources.Resources


class PlanShares:
    """What is left of the teams' shares during one plan.

    Waiting tasks are charged in the order in which they are considered, whether
    they are placed or not, so that the tasks of a team that go first bring its
    later ones behind those of other teams.

    Args:
        left: for each full pool, what is left of each team's share of it.
        due: for each of these pools, the teams' shares of it.
        capacities: resources of these pools.

    Attributes:
        beyond: pools, each with a team that has used up its share of it.
        clearly_beyond: the same for teams that are clearly beyond their share;
            their waiting tasks need not be charged any more.
    """

    def __init__(
        self,
        left: Mapping[str, dict[str, float]],
        due: Mapping[str, Mapping[str, float]],
        capacities: Mapping[str, resources.Resources],
    ) -> None:
        self._left = left
        self._due = due
        self._capacities = capacities
        self.beyond: set[tuple[str, str]] = set()
        self.clearly_beyond: set[tuple[str, str]] = set()
        for pool, teams in left.items():
            for team in teams:
                self._note_use(pool, team)

    def charge(
        self, pool: str, team: str, size: resources.Resources, count: int
    ) -> None:
        """Charges a team with waiting tasks of one size."""
        if pool in self._left:
            share = resources.dominant_share(size, self._capacities[pool])
            self._left[pool][team] -= count * share
            self._note_use(pool, team)

    def _note_use(self, pool: str, team: str) -> None:
        left = self._left[pool][team]
        if left <= 0.0:
            self.beyond.add((pool, team))
            if left <= -_clear_excess(self._due[pool][team]):
                self.clearly_beyond.add((pool, team))


class TeamAccounts:
    """Accounts of all teams in all pools.

    Args:
        capacity_of: returns the resources of a pool's workers.
        log: called when a team goes beyond its share or comes back.
    """

    def __init__(
        self,
        capacity_of: Callable[[str], resources.Resources],
        log: decision_log.LogFunction,
    ) -> None:
        self._capacity_of = capacity_of
        self._log = log
        self._accounts: dict[str, dict[str, _Account]] = {}
        self._charges: dict[model.TaskId, _Charge] = {}
        # Pools in which teams compete, with the time of the latest such plan.
        self._full_s: dict[str, float] = {}

    @property
    def beyond_count(self) -> int:
        """Number of teams beyond their share, counted once for each pool."""
        return sum(
            account.is_beyond
            for pool in self._full_s
            for account in self._accounts[pool].values()
        )

    def begin(
        self,
        task_id: model.TaskId,
        pool: str,
        team: str,
        size: resources.Resources,
        now_s: float,
    ) -> None:
        """Charges a team with a run of a task."""
        if task_id in self._charges:
            self.end(task_id, now_s)
        self._charges[task_id] = _Charge(pool, team, size)
        accounts = self._accounts.setdefault(pool, {})
        account = accounts.get(team) or accounts.setdefault(team, _Account())
        account.change(1, size, self._capacity_of(pool), now_s)

    def end(self, task_id: model.TaskId, now_s: float) -> None:
        """Ends the charge of a task's run, if there is one."""
        charge = self._charges.pop(task_id, None)
        if charge is not None:
            account = self._accounts[charge.pool][charge.team]
            capacity = self._capacity_of(charge.pool)
            account.change(-1, charge.size, capacity, now_s)

    def held(self, pool: str, team: str) -> resources.Resources:
        """Returns the resources that a team's runs hold of a pool."""
        account = self._accounts.get(pool, {}).get(team)
        return resources.ZERO if account is None else account.held

    def may_compete(self, pool: str, waiting: Collection[str]) -> bool:
        """Returns whether several teams have tasks in a pool.

        Args:
            pool: the pool.
            waiting: teams with waiting tasks there.
        """
        return len(waiting) > 1 or any(
            account.runs and team not in waiting
            for team, account in self._accounts.get(pool, {}).items()
        )

    def plan_shares(
        self,
        waiting_teams: Mapping[str, Collection[str]],
        teams: Mapping[str, model.Team],
        now_s: float,
    ) -> PlanShares | None:
        """Returns what is left of the teams' shares of full pools.

        Args:
            waiting_teams: for each full pool, the teams with waiting tasks.
            teams: teams by name.
            now_s: current time.

        Returns:
            The shares, or None if teams compete in none of the pools.

        Cost: O(t) for t teams in these pools.
        """
        due = {}
        for pool, waiting in waiting_teams.items():
            found = self._due_in(pool, waiting, teams, now_s)
            if found:
                due[pool] = found
        if not due:
            return None
        left = {
            pool: self._left_in(pool, shares_due, now_s)
            for pool, shares_due in due.items()
        }
        capacities = {pool: self._capacity_of(pool) for pool in due}
        return PlanShares(left, due, capacities)

    def expire(self, now_s: float) -> None:
        """Ends the competition in pools that have not been full of late."""
        for pool, full_s in list(self._full_s.items()):
            if now_s - full_s < _FULL_S:
                continue
            del self._full_s[pool]
            accounts = self._accounts[pool]
            for team, account in list(accounts.items()):
                account.advance(self._capacity_of(pool), now_s)
                self._note_position(pool, team, account, False, now_s)
                if not account.runs and account.average < _MIN_SHARE:
                    del accounts[team]

    def snapshot(self, now_s: float) -> list[records.TeamUse]:
        """Returns the averages in pools of which a team takes too much."""
        rows = []
        for pool in self._full_s:
            accounts = self._accounts[pool]
            if not any(account.is_beyond for account in accounts.values()):
                continue
            for team, account in accounts.items():
                account.advance(self._capacity_of(pool), now_s)
                if account.average >= _MIN_SHARE:
                    share = round(account.average, 3)
                    rows.append(records.TeamUse(pool, team, share))
        return rows

    def restore(
        self, rows: Iterable[records.TeamUse], age_s: float, now_s: float
    ) -> None:
        """Restores the averages that an earlier owner recorded."""
        decay = math.exp(-max(0.0, age_s) / _AVERAGING_S)
        for row in rows:
            average = min(1.0, row.share) * decay
            if not average >= _MIN_SHARE:
                continue
            accounts = self._accounts.setdefault(row.pool, {})
            account = accounts.setdefault(row.team, _Account())
            account.advance(self._capacity_of(row.pool), now_s)
            account.average = average

    def _due_in(
        self,
        pool: str,
        waiting: Collection[str],
        teams: Mapping[str, model.Team],
        now_s: float,
    ) -> dict[str, float]:
        """Returns each team's share of a full pool.

        Nothing is returned for a pool that one team has for itself.
        """
        accounts = self._accounts.setdefault(pool, {})
        active = set(waiting)
        active.update(team for team, each in accounts.items() if each.runs)
        if len(active) < 2:
            return {}
        self._full_s[pool] = now_s
        weights = {team: teams[team].weight for team in active if team in teams}
        return entitlements(active, weights)

    def _left_in(
        self, pool: str, shares_due: Mapping[str, float], now_s: float
    ) -> dict[str, float]:
        """Returns what is left of each team's share of a full pool."""
        accounts = self._accounts[pool]
        capacity = self._capacity_of(pool)
        left = {}
        for team, due in shares_due.items():
            account = accounts.setdefault(team, _Account())
            account.advance(capacity, now_s)
            account.held_share = resources.dominant_share(
                account.held, capacity
            )
            excess = max(0.0, account.average - due)
            left[team] = due - account.held_share - excess
            self._note_position(pool, team, account, left[team] <= 0.0, now_s)
        return left

    def _note_position(
        self,
        pool: str,
        team: str,
        account: _Account,
        is_beyond: bool,
        now_s: float,
    ) -> None:
        """Notes whether a team is beyond its share; logs changes of that."""
        account.is_beyond = is_beyond
        if (
            is_beyond == account.logged_beyond
            or now_s - account.logged_s < _LOG_INTERVAL_S
        ):
            return
        account.logged_beyond, account.logged_s = is_beyond, now_s
        self._log(
            "team-beyond-share" if is_beyond else "team-within-share",
            pool=pool,
            team=team,
            held=round(account.held_share, 3),
            average=round(account.average, 3),
        )


def _clear_excess(due: float) -> float:
    """Returns how far beyond its share a team is clearly beyond it."""
    return min(_CLEAR_MULTIPLE * due, _CLEAR_FRACTION_OF_OTHERS * (1.0 - due))


def entitlements(
    teams: Iterable[str], weights: Mapping[str, float]
) -> dict[str, float]:
    """Returns the share of a pool to which each competing team is entitled.

    A team without a weight, such as the callers of an open queue, counts with
    the mean weight of the others.

    Example:
        >>> shares = entitlements(["a", "b", ""], {"a": 1.0, "b": 3.0})
        >>> sorted(shares.items())
        [('', 0.3333333333333333), ('a', 0.16666666666666666), ('b', 0.5)]
    """
    teams = list(teams)
    known = [weights[team] for team in teams if team in weights]
    mean = sum(known) / len(known) if known else 1.0
    due = {team: max(_MIN_WEIGHT, weights.get(team, mean)) for team in teams}
    total = sum(due.values())
    return {team: weight / total for team, weight in due.items()}
