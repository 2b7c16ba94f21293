"""What callers get of a pool that is asked for more than it holds.

Compares the order by value alone, the teams' shares, and shares with refusals
of jobs whose team is beyond its share while a new job would wait too long. The
order and the shares are those of the product; the pool is 64 places, and one of
three large teams sends five times its weight. Each variant is measured without
and with the rate limit of submissions, by which jobs beyond a team's weight in
jobs per second come after all others. Refused callers come back up to three
times. A job is in time until its objective, of some use until three times
that; the time of a refused job counts from its first attempt in one figure, and
from the attempt that was accepted in the other.

    python -m bench.full_pool [--quick]
"""

import collections
import heapq
import itertools
import random
import statistics
import typing
from collections.abc import Mapping

from bench import harness
from foxtaillock.batch import job_states
from foxtaillock.batch import model
from foxtaillock.batch import placement
from foxtaillock.batch import shares
from foxtaillock.batch import team_rate_limit
from foxtaillock.model import resources

__all__ = ["run"]

_PLACES = 64
_TICK_S = 0.05
_LOADS = (1.2, 2.0, 5.0)
_VARIANTS = ("value", "shares", "refusals")

# Each period begins with a peak; between peaks the load is a twentieth.
_PERIOD_S = 30.0
_PEAK_S = 8.0
_QUIET_LOAD = 0.05

_FLOOD = 5.0
_ESTIMATE_ERROR = 0.9
_MAX_TASKS = 6
_MEAN_WORK_S = 3.5
_STRETCH, _SLACK_S = 1.6, 0.6

# A job is of use until this multiple of its objective.
_USE = 3.0
_MAX_ATTEMPTS = 4
_RATE_WINDOW_S = 3.0
_MIN_RETRY_S, _MAX_RETRY_S = 1.0, 10.0

_SIZE = resources.Resources(1000, 1 << 30, 0)
_CAPACITY = resources.Resources(1000 * _PLACES, _PLACES << 30, 0)
_QUEUE = model.Queue("q", "pool", 0, 2, _STRETCH, int(1000 * _SLACK_S), True)
_FLOODING_TEAM = "large-0"
_TEAMS = {
    name: model.Team(name, weight, resources.ZERO)
    for name, weight in (
        *((f"large-{number}", 8.0) for number in range(3)),
        *((f"small-{number}", 1.5) for number in range(17)),
    )
}


class _Job(typing.NamedTuple):
    """A caller's job."""

    number: int
    first_s: float
    team: str
    tasks: int
    run_s: float
    estimate_s: float

    @property
    def objective_s(self) -> float:
        """Time in which the caller wants the job done."""
        return _STRETCH * self.run_s + _SLACK_S


def _arrivals(
    generator: random.Random, load: float, length_s: float
) -> list[_Job]:
    weights = [
        team.weight * (_FLOOD if name == _FLOODING_TEAM else 1.0)
        for name, team in _TEAMS.items()
    ]
    jobs: list[_Job] = []
    now_s = 0.0
    while now_s < length_s:
        in_peak = now_s % _PERIOD_S < _PEAK_S
        rate = _PLACES / _MEAN_WORK_S * (load if in_peak else _QUIET_LOAD)
        now_s += generator.expovariate(rate)
        run_s = min(4.0, generator.lognormvariate(-0.3, 0.7))
        error = generator.uniform(-_ESTIMATE_ERROR, _ESTIMATE_ERROR)
        jobs.append(
            _Job(
                len(jobs),
                now_s,
                generator.choices(list(_TEAMS), weights)[0],
                generator.randint(1, _MAX_TASKS),
                run_s,
                run_s * (1 + error),
            )
        )
    return jobs


class _Pool:
    """A pool that carries out jobs in the order of a variant.

    Args:
        variant: one of `_VARIANTS`.
        jobs: jobs that callers send.
        seed: seed of the spread of retries.
        is_rated: whether the rate limit of submissions is in force.

    Attributes:
        counts: number of jobs by what their callers got.
        in_time: number of jobs in time, from the first attempt, by team.
    """

    def __init__(
        self, variant: str, jobs: list[_Job], seed: int, is_rated: bool
    ) -> None:
        self._variant = variant
        self._limits = {
            team: team_rate_limit.TeamRateLimit() for team in _TEAMS
        }
        self._is_rated = is_rated
        self._jobs = jobs
        self._rng = random.Random(seed)
        self._calls = [(job.first_s, job.number, 1) for job in jobs]
        heapq.heapify(self._calls)
        self._accounts = shares.TeamAccounts(
            lambda _: _CAPACITY, lambda *_, **__: None
        )
        self._waiting: list[placement.Candidate] = []
        self._running: list[tuple[float, model.TaskId]] = []
        self._undone: dict[int, int] = {}
        self._accepted_s: dict[int, float] = {}
        self._done_work: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self.counts: collections.Counter[str] = collections.Counter()
        self.in_time: collections.Counter[str] = collections.Counter()

    def run(self, until_s: float) -> None:
        """Runs the pool until a time."""
        now_s = 0.0
        while now_s < until_s:
            now_s += _TICK_S
            while self._running and self._running[0][0] <= now_s:
                self._end(heapq.heappop(self._running)[1], now_s)
            wait_s = self._excess_wait_s(now_s)
            while self._calls and self._calls[0][0] <= now_s:
                _, number, attempt = heapq.heappop(self._calls)
                self._submit(self._jobs[number], attempt, wait_s, now_s)
            self._place(now_s)
            self._accounts.expire(now_s)

    def _end(self, task: model.TaskId, now_s: float) -> None:
        job = self._jobs[int(task.job_id)]
        self._accounts.end(task, now_s)
        self._done_work.append((now_s, job.run_s))
        self._undone[job.number] -= 1
        if self._undone[job.number]:
            return
        first, accepted = job.first_s, self._accepted_s[job.number]
        is_small = job.team.startswith("small")
        self.in_time[job.team] += now_s - first <= job.objective_s
        for name, since_s in (("first", first), ("accepted", accepted)):
            took_s = now_s - since_s
            self.counts[f"in_time_{name}"] += took_s <= job.objective_s
            self.counts[f"useful_{name}"] += took_s <= _USE * job.objective_s
            self.counts[f"small_in_time_{name}"] += (
                is_small and took_s <= job.objective_s
            )

    def _excess_wait_s(self, now_s: float) -> float:
        """Returns how much too long a job at the back would wait."""
        while (
            self._done_work and self._done_work[0][0] < now_s - _RATE_WINDOW_S
        ):
            self._done_work.popleft()
        if self._variant != "refusals" or not self._waiting:
            return 0.0
        work_s = objectives_s = estimates_s = 0.0
        for each in self._waiting:
            objective_s = each.objective_s - each.job.accepted_s
            objectives_s += objective_s
            estimates_s += each.remaining_s
            last_s = each.job.accepted_s + _USE * objective_s
            if now_s + each.remaining_s < last_s:
                work_s += len(each.step.waiting) * each.remaining_s
        rate = sum(work for _, work in self._done_work) / _RATE_WINDOW_S
        slack_s = (_USE * objectives_s - estimates_s) / len(self._waiting)
        return work_s / max(rate, _PLACES / 4) - slack_s

    def _submit(
        self, job: _Job, attempt: int, wait_s: float, now_s: float
    ) -> None:
        if wait_s > 0 and self._is_beyond(job.team, now_s):
            self.counts["refusals"] += 1
            if attempt < _MAX_ATTEMPTS:
                retry_s = min(_MAX_RETRY_S, max(_MIN_RETRY_S, wait_s))
                retry_s *= self._rng.uniform(0.75, 1.25)
                call = (now_s + retry_s, job.number, attempt + 1)
                heapq.heappush(self._calls, call)
            return
        estimate_ms = max(1, int(1000 * job.estimate_s))
        spec = model.JobSpec(
            str(job.number),
            "q",
            job.team,
            int(1000 * now_s),
            "",
            (model.StepSpec(job.tasks, _SIZE, estimate_ms),),
        )
        made = job_states.create_job(spec, now_s, int(1000 * now_s))
        if self._is_rated:
            weight = _TEAMS[job.team].weight
            made.is_excess = not self._limits[job.team].consume(weight, now_s)
        made.relative_work = job.tasks * job.estimate_s / _MEAN_WORK_S
        objective_s = now_s + _STRETCH * job.estimate_s + _SLACK_S
        self._waiting.append(
            placement.Candidate(
                made.steps[0, 0], made, _QUEUE, objective_s, job.estimate_s
            )
        )
        self._undone[job.number] = job.tasks
        self._accepted_s[job.number] = now_s

    def _is_beyond(self, team: str, now_s: float) -> bool:
        plan = self._plan_shares({team}, now_s)
        return plan is not None and ("pool", team) in plan.beyond

    def _plan_shares(
        self, teams: set[str], now_s: float
    ) -> shares.PlanShares | None:
        waiting = {each.job.spec.team for each in self._waiting}
        return self._accounts.plan_shares(
            {"pool": waiting | teams}, _TEAMS, now_s
        )

    def _place(self, now_s: float) -> None:
        free = _PLACES - len(self._running)
        plan = None
        needed = sum(len(each.step.waiting) for each in self._waiting)
        if self._variant != "value" and needed > free:
            plan = self._plan_shares(set(), now_s)
        for each in placement.prioritize(self._waiting, now_s, plan):
            spec = each.job.spec
            while free and each.step.waiting:
                free -= 1
                task = model.TaskId(spec.job_id, 0, 0, each.step.waiting.pop())
                self._accounts.begin(task, "pool", spec.team, _SIZE, now_s)
                ends_s = now_s + self._jobs[int(spec.job_id)].run_s
                heapq.heappush(self._running, (ends_s, task))
        self._waiting = [each for each in self._waiting if each.step.waiting]


def _worst_tenth(in_time: Mapping[str, int], jobs: list[_Job]) -> float:
    """Returns the mean share in time of the tenth of teams that get least.

    The flooding team is not among them.
    """
    sent = collections.Counter(job.team for job in jobs)
    del sent[_FLOODING_TEAM]
    found = sorted(in_time[team] / count for team, count in sent.items())
    return statistics.fmean(found[: max(1, round(len(_TEAMS) / 10))])


def _figures(
    variant: str, jobs: list[_Job], length_s: float, is_rated: bool
) -> dict[str, float]:
    """Returns the figures of one variant."""
    pool = _Pool(variant, jobs, len(jobs), is_rated)
    pool.run(length_s + _PERIOD_S)
    small = sum(job.team.startswith("small") for job in jobs)
    figures = {"worst_tenth_in_time": _worst_tenth(pool.in_time, jobs)}
    for name, count in pool.counts.items():
        total = small if name.startswith("small") else len(jobs)
        figures[name] = count / total
    return figures


def run(quick: bool) -> harness.Result:
    """Measures what callers get at each load and in each variant.

    Args:
        quick: whether to run one peak in place of two.
    """
    length_s = _PERIOD_S * (1 if quick else 2)

    def _trial(generator: random.Random) -> dict[str, float]:
        figures = {}
        for load in _LOADS:
            jobs = _arrivals(generator, load, length_s)
            for variant, is_rated in itertools.product(
                _VARIANTS, (False, True)
            ):
                prefix = f"{variant}{'_rated' if is_rated else ''}_at_{load}"
                found = _figures(variant, jobs, length_s, is_rated)
                for name, figure in found.items():
                    figures[f"{prefix}_{name}"] = figure
        return figures

    measurements = harness.repeat(_trial, 3)
    return harness.result(
        "full_pool", quick, {"length_s": length_s}, measurements
    )


if __name__ == "__main__":
    harness.main(run)
