"""Tests of the teams' shares of full pools."""

import itertools
import math
import random
import typing
import unittest
from unittest import mock

from foxtaillock.batch import engine as engines
from foxtaillock.batch import job_states
from foxtaillock.batch import model
from foxtaillock.batch import owner_state
from foxtaillock.batch import placement
from foxtaillock.batch import ready_steps
from foxtaillock.batch import records
from foxtaillock.batch import shares
from foxtaillock.batch.tests import builders
from foxtaillock.batch.tests import simulation
from foxtaillock.batch.tests import team_pool
from foxtaillock.batch.tests import work_counter
from foxtaillock.model import resources

_SEEDS = 50
_CAPACITY = resources.Resources(10_000, 10 * builders.GIB, 0)
_SIZE = resources.Resources(1000, builders.GIB, 0)
_TEAMS = {
    name: model.Team(name, weight, resources.ZERO)
    for name, weight in (("a", 1.0), ("b", 3.0), ("c", 1.0))
}


def _accounts(log: list[str] | None = None) -> shares.TeamAccounts:
    def _log(event: str, **_: typing.Any) -> None:
        if log is not None:
            log.append(event)

    return shares.TeamAccounts(lambda _: _CAPACITY, _log)


def _task(number: int) -> model.TaskId:
    return model.TaskId("00000000000000aa", 0, 0, number)


class FullPoolTest(unittest.TestCase):
    """Starts of each team while a pool has less room than is asked for."""

    def test_small_teams_wait_behind_a_team_at_five_times_its_load(
        self,
    ) -> None:
        """Checks jobs that are alike, and a large team's of far more value."""
        for relative_work in (1.0, 0.01):
            with self.subTest(relative_work=relative_work):
                self._check_waits_of_small_teams(relative_work)

    def _check_waits_of_small_teams(self, relative_work: float) -> None:
        pool = team_pool.TeamPool({"large": 8.0, "s1": 4.0, "s2": 4.0})
        for tick in range(60):
            pool.submit("large", 8, relative_work)
            if tick % 2:
                pool.submit("s1", 1)
                pool.submit("s2", 1)
            pool.tick()
        waits = [
            waited_s
            for at_s, team, waited_s in pool.starts
            if team != "large" and at_s > 11.0
        ]
        self.assertGreaterEqual(len(waits), 45)
        self.assertLess(max(waits), 0.7)

    def test_shares_of_starts_differ_from_weights(self) -> None:
        pool = team_pool.TeamPool({"large": 2.0, "s1": 1.0, "s2": 1.0}, 60_000)
        for _ in range(80):
            pool.submit("large", 10)
            pool.submit("s1", 2)
            pool.submit("s2", 2)
            pool.tick()
        self.assertAlmostEqual(pool.share("large", 12.0), 0.5, delta=0.1)
        self.assertAlmostEqual(pool.share("s1", 12.0), 0.25, delta=0.07)

    def test_team_can_not_use_room_that_others_leave(self) -> None:
        pool = team_pool.TeamPool({"large": 1.0, "small": 9.0})
        for _ in range(40):
            pool.submit("large", 5)
            pool.tick()
        pool.submit("small", 1)
        pool.tick()
        in_steady_state = [each for each in pool.starts if each[0] > 11.0]
        # 16 places for half a second each.
        self.assertGreaterEqual(len(in_steady_state), 0.8 * 32 * 3)

    def test_first_job_of_a_peak_waits_behind_a_large_team(self) -> None:
        pool = team_pool.TeamPool({"large": 9.0, "small": 1.0})
        pool.submit("large", 100)
        pool.submit("small", 1)
        pool.tick()
        self.assertIn("small", [team for _, team, _ in pool.starts])

    def test_team_alone_is_beyond_its_share(self) -> None:
        pool = team_pool.TeamPool({"only": 1.0, "idle": 9.0})
        for _ in range(20):
            pool.submit("only", 10)
            pool.tick()
        self.assertEqual(pool.engine.beyond_share_count, 0)


class OrderTest(unittest.TestCase):
    """Order of the steps against one that looks at each team anew."""

    def test_agrees_with_naive_order(self) -> None:
        for seed in range(_SEEDS):
            with self.subTest(seed=seed):
                rng = random.Random(seed)
                waiting = [_candidate(rng, number) for number in range(40)]
                left = {"pool": {team: rng.uniform(-0.2, 0.5) for team in "ab"}}
                due = {"a": 0.2, "b": 0.8}
                naive = _naive_order(waiting, dict(left["pool"]), due)
                plan = shares.PlanShares(
                    left, {"pool": due}, {"pool": _CAPACITY}
                )
                ordered = placement.prioritize(waiting, 10.0, plan)
                self.assertEqual(
                    [each.job.spec.job_id for each in ordered],
                    [each.job.spec.job_id for each in naive],
                )

    def test_first_job_waits_behind_more_valuable_ones_of_a_large_team(
        self,
    ) -> None:
        """Checks a large team's hundred jobs, worth far more than others."""
        for due in (0.1, 0.5, 0.7):
            with self.subTest(due=due):
                waiting = _peak(100, 0.01)
                plan = shares.PlanShares(
                    {"pool": {"a": due, "b": 1 - due}},
                    {"pool": {"a": due, "b": 1 - due}},
                    {"pool": _CAPACITY},
                )
                ordered = placement.prioritize(waiting, 10.0, plan)
                teams = [_team(each) for each in ordered]
                # Room for ten; the others keep most of their share.
                before = teams.index("b")
                self.assertLess(before, 10)
                self.assertLessEqual(before, 10 * (due + 0.2 * (1 - due)) + 1)

    def test_other_pool_is_affected(self) -> None:
        rng = random.Random(1)
        waiting = [_candidate(rng, number) for number in range(40)]
        plan = shares.PlanShares(
            {"full": {"a": -1.0, "b": 1.0}},
            {"full": {"a": 0.5, "b": 0.5}},
            {"full": _CAPACITY},
        )
        self.assertEqual(
            placement.prioritize(waiting, 10.0, plan),
            placement.prioritize(waiting, 10.0),
        )


def _peak(count: int, relative_work: float) -> list[placement.Candidate]:
    """Returns a job of team b after many smaller ones of team a."""
    queue = builders.queue()
    waiting = []
    for number in range(count + 1):
        is_last = number == count
        spec = builders.job(
            f"{number:016x}",
            model.StepSpec(1, _SIZE, 500),
            team="b" if is_last else "a",
        )
        job = job_states.create_job(spec, 10.0, 10_000)
        job.relative_work = 1.0 if is_last else relative_work
        step = job.steps[0, 0]
        waiting.append(placement.Candidate(step, job, queue, 20.0, 1.0))
    return waiting


def _candidate(rng: random.Random, number: int) -> placement.Candidate:
    step = builders.step(
        rng.randint(1, 4),
        is_persistent=rng.random() < 0.1,
        is_filler=rng.random() < 0.1,
    )
    spec = builders.job(f"{number:016x}", step, team=rng.choice("ab"))
    job = job_states.create_job(spec, 10.0, 10_000)
    job.accepted_s = 10.0 - number / 100
    job.relative_work = rng.choice((0.5, 1.0, 2.0))
    job.is_excess = rng.random() < 0.2
    queue = builders.queue(priority=rng.randint(0, 1))
    objective_s = rng.uniform(9.0, 20.0)
    return placement.Candidate(job.steps[0, 0], job, queue, objective_s, 1.0)


def _naive_order(
    waiting: list[placement.Candidate],
    left: dict[str, float],
    due: dict[str, float],
) -> list[placement.Candidate]:
    """Returns the order from all that the teams were charged with so far."""
    charged: list[placement.Candidate] = []
    keys: dict[str, tuple[float, ...]] = {}
    key: tuple[float, ...]
    today = placement.prioritize(waiting, 10.0)
    for number, each in enumerate(today):
        team = _team(each)
        used = sum(
            resources.dominant_share(other.step.spec.held_size, _CAPACITY)
            for other in charged
            if _team(other) == team
            for _ in other.step.waiting
        )
        excess = used - left[team] + 1e-9
        is_clear = excess >= min(3 * due[team], 0.2 * (1 - due[team]))
        if not is_clear:
            charged.append(each)
        group = _naive_group(each)
        if group[0] == 1:
            density = 0.3 / each.job.relative_work + 0.7
            density *= 0.99 if 0 <= excess and not is_clear else 1.0
            key = (*group, is_clear, -density, each.objective_s)
        else:
            key = (*group, float(excess >= 0), number)
        keys[each.job.spec.job_id] = key
    return sorted(today, key=lambda each: keys[each.job.spec.job_id])


def _team(candidate: placement.Candidate) -> str:
    return candidate.job.spec.team


def _naive_group(candidate: placement.Candidate) -> tuple[int, int]:
    spec = candidate.step.spec
    if spec.is_filler:
        return (4, 0)
    if spec.is_persistent:
        return (0, 0)
    if candidate.job.is_excess:
        return (3, candidate.queue.priority)
    is_late = 10.0 + candidate.remaining_s > candidate.objective_s
    return (2 if is_late else 1, candidate.queue.priority)


class AccountsTest(unittest.TestCase):
    """What the accounts of the teams tell."""

    def test_averages_differ_from_sums_over_small_steps(self) -> None:
        """Checks that lazily updated accounts agree with steady ones."""
        for seed in range(_SEEDS):
            with self.subTest(seed=seed):
                self._check_averages(random.Random(seed))

    def _check_averages(self, rng: random.Random) -> None:
        accounts = _accounts()
        running: list[int] = []
        average, now_s = 0.0, 10.0
        decay = math.exp(-0.01 / 3.0)
        for number in range(200):
            if running and rng.random() < 0.5:
                accounts.end(_task(running.pop()), now_s)
            else:
                accounts.begin(_task(number), "pool", "a", _SIZE, now_s)
                running.append(number)
            for _ in range(rng.randint(0, 20)):
                now_s += 0.01
                average += (1 - decay) * (len(running) / 10 - average)
        plan = accounts.plan_shares({"pool": {"a", "b"}}, _TEAMS, now_s)
        assert plan is not None
        expected = 0.25 - len(running) / 10 - max(0.0, average - 0.25)
        self.assertEqual(("pool", "a") in plan.beyond, expected <= 0)
        (row,) = accounts.snapshot(now_s) or [
            records.TeamUse("pool", "a", round(average, 3))
        ]
        self.assertAlmostEqual(row.share, average, delta=0.002)

    def test_end_is_charged_twice(self) -> None:
        accounts = _accounts()
        accounts.begin(_task(0), "pool", "a", _SIZE, 10.0)
        accounts.begin(_task(0), "pool", "a", _SIZE, 10.0)
        accounts.end(_task(0), 10.0)
        accounts.end(_task(0), 10.0)
        self.assertFalse(accounts.may_compete("pool", {"b"}))

    def test_flapping_team_floods_the_log(self) -> None:
        log: list[str] = []
        accounts = _accounts(log)
        for number in range(100):
            now_s = 10.0 + number * 0.1
            if number % 2:
                accounts.end(_task(0), now_s)
            else:
                accounts.begin(_task(0), "pool", "a", _CAPACITY, now_s)
            accounts.plan_shares({"pool": {"a", "b"}}, _TEAMS, now_s)
        self.assertIn(len(log), (1, 2))
        accounts.end(_task(0), 20.0)
        accounts.expire(30.0)
        self.assertEqual(log[-1], "team-within-share")
        self.assertEqual(accounts.beyond_count, 0)

    def test_team_without_weight_is_unknown(self) -> None:
        accounts = _accounts()
        plan = accounts.plan_shares({"pool": {"", "gone"}}, {}, 10.0)
        assert plan is not None
        plan.charge("pool", "", _SIZE, 6)
        self.assertEqual(plan.beyond, {("pool", "")})


class HeldTest(unittest.TestCase):
    """Accounts over schedules with lost orders, dead workers and owners."""

    def test_accounts_differ_from_a_scan_of_all_runs(self) -> None:
        original = ready_steps.candidates
        seen: set[resources.Resources] = set()

        def _candidates(
            state: owner_state.OwnerState, now_s: float
        ) -> list[placement.Candidate]:
            held = _scan(state)
            teams = {
                (state.pool_of(job_id), job.spec.team)
                for job_id, job in state.jobs.items()
            }
            for pool, team in teams:
                account = state.accounts.held(pool, team)
                expected = held.get((pool, team), resources.ZERO)
                self.assertEqual(account, expected)
                seen.add(expected)
            return original(state, now_s)

        with mock.patch.object(ready_steps, "candidates", _candidates):
            for seed in range(20):
                simulation.Simulation(seed).run(60.0)
        self.assertGreater(len(seen), 10)


def _scan(
    state: owner_state.OwnerState,
) -> dict[tuple[str, str], resources.Resources]:
    """Returns what the runs of each team hold of each pool."""
    held: dict[tuple[str, str], resources.Resources] = {}
    for job_id, job in state.jobs.items():
        key = (state.pool_of(job_id), job.spec.team)
        for step in job.steps.values():
            for _ in step.active_tasks():
                held[key] = resources.add(
                    held.get(key, resources.ZERO), step.spec.held_size
                )
    return held


class CostTest(unittest.TestCase):
    """Work of a plan whose pool is full."""

    def test_work_grows_faster_than_the_number_of_steps(self) -> None:
        growth = work_counter.growth(_full_plan, 250)
        self.assertLess(growth, 2.2)

    def test_competing_teams_make_a_plan_much_dearer(self) -> None:
        """Compares with a pool whose steps are all of one team."""
        alone = work_counter.count_work(_full_plan(1000, 1))
        competing = work_counter.count_work(_full_plan(1000, 20))
        self.assertLess(competing, 1.15 * alone)


def _full_plan(size: int, teams: int = 20) -> typing.Callable[[], object]:
    """Returns the plan of a full pool with waiting steps of some teams."""
    engine = _full_engine(size, teams)
    return lambda: engine.plan(10.0)


def _full_engine(size: int, teams: int) -> engines.Engine:
    names = [f"t{number}" for number in range(teams)]
    engine = builders.create_engine(
        builders.entry("1"),
        teams={name: model.Team(name, 1e9, resources.ZERO) for name in names},
    )
    cycle = itertools.cycle(names)
    for number in range(size + 4):
        spec = builders.job(f"{number:016x}", builders.step(), team=next(cycle))
        engine.submit(spec, (), 10.0, 10_000)
    builders.start_all(engine, 10.0)
    engine.tick(10.0)
    return engine


if __name__ == "__main__":
    unittest.main()
