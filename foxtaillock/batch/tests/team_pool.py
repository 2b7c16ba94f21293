"""A pool whose workers carry out all orders, for tests with several teams."""

import itertools

from foxtaillock.batch import interfaces
from foxtaillock.batch import model
from foxtaillock.batch.tests import builders
from foxtaillock.model import resources

__all__ = ["TeamPool"]

_TICK_S = 0.1
_RUN_S = 0.5
_SIZE = resources.Resources(1000, builders.GIB, 0)


class TeamPool:
    """Four workers with 16 places in all, each for a task of half a second.

    Args:
        weights: weights of the teams.
        slack_ms: time that the jobs' objective adds to their critical path.

    Attributes:
        engine: the present owner's engine.
        now_s: current time.
        starts: for each start, its time, its team and the time it has waited.
    """

    def __init__(self, weights: dict[str, float], slack_ms: int = 600) -> None:
        self._teams = {
            name: model.Team(name, weight, resources.ZERO)
            for name, weight in weights.items()
        }
        self._ids = (f"{number:016x}" for number in itertools.count())
        self._entries = [builders.entry(str(number)) for number in range(4)]
        self._runs: dict[str, dict[model.TaskId, tuple[int, float]]] = {
            entry.worker_id: {} for entry in self._entries
        }
        self._ends = dict.fromkeys(self._runs, 0)
        self.engine = builders.create_engine(*self._entries, teams=self._teams)
        self._queue = builders.queue()._replace(slack_ms=slack_ms)
        self.engine.configure(
            {"q": self._queue}, self.engine.pools, self._teams
        )
        self.now_s = 10.0
        self.starts: list[tuple[float, str, float]] = []

    def submit(self, team: str, count: int, relative_work: float = 1.0) -> None:
        """Submits jobs of one task each, none beyond the rate limit."""
        now_ms = int(self.now_s * 1000)
        for _ in range(count):
            spec = builders.job(
                next(self._ids), model.StepSpec(1, _SIZE, 500), team=team
            )
            spec = spec._replace(accepted_ms=now_ms)
            self.engine.submit(spec, (), self.now_s, now_ms)
            job = self.engine.jobs[spec.job_id]
            job.is_excess = False
            job.relative_work = relative_work

    def take_over(self) -> None:
        """Replaces the owner by one that knows no job; all runs have ended."""
        for runs in self._runs.values():
            runs.clear()
        queues, pools = {"q": self._queue}, self.engine.pools
        self.engine = builders.create_engine(*self._entries, teams=self._teams)
        self.engine.configure(queues, pools, self._teams)

    def tick(self) -> None:
        """Runs the pool for a tenth of a second."""
        self.now_s += _TICK_S
        for entry in self._entries:
            self._poll(entry.worker_id)
        self.engine.tick(self.now_s)
        for plan in builders.start_all(self.engine, self.now_s):
            job = self.engine.jobs[plan.task.task_id.job_id]
            waited_s = self.now_s - job.accepted_s
            self.starts.append((self.now_s, job.spec.team, waited_s))
            runs = self._runs[plan.worker.worker_id]
            runs[plan.task.task_id] = (plan.run, self.now_s + _RUN_S)

    def share(self, team: str, since_s: float = 0.0) -> float:
        """Returns a team's share of the starts since a time."""
        teams = [each for at_s, each, _ in self.starts if at_s >= since_s]
        return teams.count(team) / len(teams)

    def _poll(self, worker_id: str) -> None:
        plan = self.engine.answers.poll_plan(
            self.engine.workers[worker_id], self.now_s
        )
        if plan is None:
            return
        runs = self._runs[worker_id]
        ended = []
        for task, (run, ends_s) in list(runs.items()):
            if ends_s <= self.now_s:
                del runs[task]
                self._ends[worker_id] += 1
                number, done = self._ends[worker_id], model.EndKind.DONE
                ended.append(interfaces.EndedRun(number, task, run, done, ""))
        running = [(task, run) for task, (run, _) in runs.items()]
        lists = builders.lists(running, ended)
        self.engine.answers.poll_answered(
            worker_id, plan, lists, self.now_s, self.now_s
        )
