"""Tests of the sum of all waits that suspected crashes and failures cause.

They guard against jobs that have nothing at work although there is room
(LOST): a persistent task has to run again within 6 s of its last run, and all
other work within 14 s.
"""

import unittest

from foxtaillock.batch import model
from foxtaillock.batch.tests import builders
from foxtaillock.batch.tests import crash_fleet

_MAX_PERSISTENT_ABSENCE_S = 6.0
_MAX_ABSENCE_S = 14.0

# Between the plan of a start and the run: the append of its record, and the
# order.
_START_ALLOWANCE_S = 0.6

_PLAN_INTERVAL_S = 0.2

# Interval of planned hand-overs in series, and the time without an owner in
# each.
_TAKEOVER_INTERVAL_S = 3.2
_GAP_S = 0.4


class _Fleet(crash_fleet.CrashFleet):
    """A fleet whose owner plans all the time, as in production.

    Attributes:
        takes_over: whether owners follow each other in series.
    """

    takes_over = False

    def wait_for(self, job_id: str, limit_s: float) -> float:
        """Returns the time until a job is placed, up to a limit."""
        began_s = self.now_s
        owned_s = self.now_s
        while self.now_s - began_s < limit_s:
            if self.takes_over and self.now_s - owned_s > _TAKEOVER_INTERVAL_S:
                self.now_s += _GAP_S
                self.take_over()
                owned_s = self.now_s
            self.work(_PLAN_INTERVAL_S)
            self.start()
            self.now_s += _PLAN_INTERVAL_S - crash_fleet.ROUND_S
            if crash_fleet.workers_of(self, job_id):
                break
        return self.now_s - began_s

    def silence(self, worker_id: str) -> float:
        """Silences a worker for good; returns the time until its runs end."""
        began_s = self.now_s
        tasks = self.engine.workers[worker_id].tasks
        del self.started_ms[worker_id]
        while tasks:
            self.lose_contact(worker_id, _PLAN_INTERVAL_S)
            for other_id in sorted(self.started_ms):
                runs = self.engine.workers[other_id].tasks.values()
                self.poll(other_id, [(run.task_id, run.run) for run in runs])
        self.engine.unregister(worker_id)
        return self.now_s - began_s


def _suspect(fleet: _Fleet, job_id: str) -> None:
    """Crashes the workers of a job twice, so that it gets a trial."""
    for _ in range(2):
        fleet.wait_for(job_id, _MAX_ABSENCE_S)
        fleet.work(1.0)
        fleet.crash_together(crash_fleet.workers_of(fleet, job_id))


class SuspectTest(unittest.TestCase):
    """A suspect of two crashes, for which no worker is to be had alone."""

    def test_persistent_task_runs_again_in_time_after_a_silence(self) -> None:
        """The lease of its silent worker and the wait for a trial add up.

        Half of the workers that are left are set aside: the one that runs the
        trial of another job.
        """
        fleet = _Fleet(4, cpu=16000)
        step = builders.step(is_persistent=True)
        jobs = (crash_fleet.CRASHER, crash_fleet.INNOCENT)
        for job_id in jobs:
            fleet.submit(builders.job(job_id, step))
            fleet.wait_for(job_id, _MAX_ABSENCE_S)
        for _ in range(2):
            fleet.work(2.0)
            for job_id in jobs:
                hosts = crash_fleet.workers_of(fleet, job_id)
                fleet.crash_together(hosts)
            for job_id in jobs:
                fleet.wait_for(job_id, _MAX_ABSENCE_S)
        fleet.work(0.2)
        (worker_id,) = crash_fleet.workers_of(fleet, crash_fleet.CRASHER)
        away_s = fleet.silence(worker_id)
        away_s += fleet.wait_for(crash_fleet.CRASHER, _MAX_ABSENCE_S)
        self.assertLessEqual(
            away_s + _START_ALLOWANCE_S, _MAX_PERSISTENT_ABSENCE_S
        )

    def test_gang_runs_again_in_time_under_owners_in_series(self) -> None:
        """It fits no worker set aside, and each owner began the wait anew."""
        fleet = _Fleet(4, cpu=4000)
        step = builders.step(4, 3000, is_gang=True)
        fleet.submit(builders.job(crash_fleet.CRASHER, step))
        _suspect(fleet, crash_fleet.CRASHER)
        fleet.takes_over = True
        away_s = fleet.wait_for(crash_fleet.CRASHER, 2 * _MAX_ABSENCE_S)
        self.assertLessEqual(away_s + _START_ALLOWANCE_S, _MAX_ABSENCE_S)


class BystanderTest(unittest.TestCase):
    """A job without suspects beside the trial of another."""

    def _fleet_with_trial(self, takes_over: bool) -> _Fleet:
        """Returns a fleet with room only where another job is on trial."""
        fleet = _Fleet(2, cpu=4000)
        for job_id in (crash_fleet.CRASHER, "00000000000000cc"):
            step = builders.step(1, 1000, is_persistent=True)
            fleet.submit(builders.job(job_id, step))
        fleet.wait_for(crash_fleet.CRASHER, _MAX_ABSENCE_S)
        fleet.work(20.0)
        fleet.crash(*crash_fleet.workers_of(fleet, crash_fleet.CRASHER))
        fleet.wait_for(crash_fleet.CRASHER, _MAX_ABSENCE_S)
        fleet.work(20.0)
        fleet.crash(*crash_fleet.workers_of(fleet, crash_fleet.CRASHER))
        fleet.wait_for(crash_fleet.CRASHER, _MAX_ABSENCE_S)
        (on_trial,) = crash_fleet.workers_of(fleet, crash_fleet.CRASHER)
        (other,) = set(fleet.started_ms) - {on_trial}
        # The other worker is about to be maintained.
        fleet.engine.vms.set_cordoned([other], [])
        fleet.takes_over = takes_over
        return fleet

    def _play(self, takes_over: bool, is_persistent: bool) -> float:
        fleet = self._fleet_with_trial(takes_over)
        step = builders.step(is_persistent=is_persistent)
        fleet.submit(builders.job(crash_fleet.INNOCENT, step))
        return fleet.wait_for(crash_fleet.INNOCENT, 2 * _MAX_ABSENCE_S)

    def test_it_runs_in_time_although_the_trial_lasts(self) -> None:
        for is_persistent in (False, True):
            with self.subTest(is_persistent=is_persistent):
                waited_s = self._play(False, is_persistent)
                limit_s = _MAX_ABSENCE_S
                if is_persistent:
                    limit_s = _MAX_PERSISTENT_ABSENCE_S
                self.assertLessEqual(waited_s + _START_ALLOWANCE_S, limit_s)


class FailingWorkerTest(unittest.TestCase):
    """Work while all usable workers are quarantined."""

    def _fleet(self, workers: int) -> _Fleet:
        """Returns a fleet whose worker 0 has failed five jobs.

        Each further one doubles its quarantine, up to 16 s.
        """
        fleet = _Fleet(workers, cpu=5000)
        for number in range(5):
            job_id = f"{number:016x}"
            fleet.submit(builders.job(job_id, builders.step()))
        fleet.start()
        fleet.end_all("0", model.EndKind.FAILED)
        for number in range(5):
            fleet.engine.cancel(f"{number:016x}", fleet.now_s)
        return fleet

    def test_healthy_job_runs_in_time_if_no_other_worker_is_left(self) -> None:
        fleet = self._fleet(1)
        fleet.submit(builders.job(crash_fleet.INNOCENT, builders.step()))
        waited_s = fleet.wait_for(crash_fleet.INNOCENT, 2 * _MAX_ABSENCE_S)
        self.assertGreaterEqual(waited_s, 2.0)
        self.assertLessEqual(waited_s + _START_ALLOWANCE_S, _MAX_ABSENCE_S)

    def test_job_waits_for_a_sound_worker_that_is_full(self) -> None:
        """A failing worker would take all that waits, and fail it."""
        fleet = self._fleet(2)
        (other,) = set(fleet.started_ms) - {"0"}
        step = builders.step(5, is_persistent=True)
        fleet.submit(builders.job("00000000000000cc", step))
        fleet.start()
        self.assertEqual(len(fleet.engine.workers[other].tasks), 5)
        fleet.submit(builders.job(crash_fleet.INNOCENT, builders.step()))
        fleet.wait_for(crash_fleet.INNOCENT, 8.0)
        self.assertEqual(
            crash_fleet.workers_of(fleet, crash_fleet.INNOCENT), []
        )


class ReservationTest(unittest.TestCase):
    """Persistent work in a small pool that is reserved for a batch task."""

    def test_persistent_task_does_not_wait_for_a_batch_task(self) -> None:
        fleet = _Fleet(1, cpu=8000)
        running = builders.step(4, 1000, is_persistent=False)
        running = running._replace(estimate_ms=20_000)
        fleet.submit(builders.job("00000000000000cc", running))
        fleet.start()
        large = builders.step(1, 7000)
        fleet.submit(builders.job(crash_fleet.CRASHER, large))
        for _ in range(4):
            fleet.start()
        self.assertEqual(fleet.events["worker-reserved"], 1)
        step = builders.step(is_persistent=True)
        fleet.submit(builders.job(crash_fleet.INNOCENT, step))
        waited_s = fleet.wait_for(crash_fleet.INNOCENT, _MAX_ABSENCE_S)
        self.assertLessEqual(
            waited_s + _START_ALLOWANCE_S, _MAX_PERSISTENT_ABSENCE_S
        )


if __name__ == "__main__":
    unittest.main()
