"""All checks of the jobs of a soak test after its faults."""

import itertools
import typing
from collections.abc import Mapping
from collections.abc import Sequence

from foxtaillock.batch import model
from foxtaillock.soak import checker
from foxtaillock.soak import evacuated_zones
from foxtaillock.soak import histories
from foxtaillock.soak import progress_checker
from foxtaillock.soak import submitters
from foxtaillock.soak import worker_pool

__all__ = ["Verdict", "check"]

# CPU capacity of each worker, and the cap of the team that submits.
_WORKER_CPU_MILLIS = 4_000
_TEAM_CAP_MILLIS = 100_000


class Verdict(typing.NamedTuple):
    """Outcome of the checks.

    Attributes:
        findings: the violations found.
        longest_gap_s: longest time for which a persistent task did not run.
    """

    findings: list[str]
    longest_gap_s: float


def check(
    pool: worker_pool.WorkerPool,
    jobs: Mapping[str, submitters.SubmittedJob],
    states: Mapping[str, str],
    faults: Sequence[progress_checker.Span],
    zones: evacuated_zones.EvacuatedZones,
    finish_s: float,
    now_s: float,
) -> Verdict:
    """Checks runs, states and progress of all jobs.

    Args:
        pool: the workers.
        jobs: all submitted jobs by id.
        states: state of each job by id.
        faults: times of unplanned faults.
        zones: evacuated zones.
        finish_s: time by which jobs that are not persistent have to end.
        now_s: current time.
    """
    workers = pool.histories()
    failed = {job for job, state in states.items() if _is_failed(state)}
    causes = histories.check_failed_jobs(workers, failed, pool.ordered_away)
    given_up = {job for job in failed if not causes[job]}
    history = histories.History(
        workers, jobs, _WORKER_CPU_MILLIS, now_s, failed, zones.unusable
    )
    findings = [
        *checker.check_runs(workers, jobs, _WORKER_CPU_MILLIS, now_s),
        *checker.check_submissions(jobs.values(), states, given_up),
        *zones.check(workers),
        *itertools.chain.from_iterable(causes.values()),
        *progress_checker.check_needs(
            history.needs,
            history.runs,
            history.workers,
            faults,
            finish_s,
            _TEAM_CAP_MILLIS,
        ),
    ]
    gap_s = progress_checker.longest_gap_s(history.needs, history.runs)
    return Verdict(findings, gap_s)


def _is_failed(state: str) -> bool:
    return state == model.JobState.FAILED
