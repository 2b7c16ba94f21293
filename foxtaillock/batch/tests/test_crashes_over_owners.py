"""Tests of the blame for crashes over several owners.

They guard against innocent jobs shown as failed (LOST) because an owner took
what it had seen of a run for all of its time at work, and against starts
without end of a task that crashes its workers (BUDGET).
"""

import unittest

from foxtaillock.batch import model
from foxtaillock.batch.tests import builders
from foxtaillock.batch.tests import crash_fleet

# The platform allows two starts after three crashes.
_MAX_STARTS = 5

_TIMES_AT_WORK_S = (0.5, 2.5, 4.5, 9.0, 20.0)
_AWAY_S = 3.0
_ROUNDS = 12

# A job waits for a worker of its own for some seconds.
_MAX_WAIT_ROUNDS = 12

# Interval of planned hand-overs in series.
_TAKEOVER_INTERVAL_S = 3.2

# A worker's clock may be slow by 2 % while a start is planned, and again while
# the run is at work.
_MAX_CLOCK_ERROR = 0.041


def _start(fleet: crash_fleet.CrashFleet) -> None:
    """Plans until something starts."""
    for _ in range(_MAX_WAIT_ROUNDS):
        if fleet.start():
            return


def _work(fleet: crash_fleet.CrashFleet, length_s: float) -> None:
    """Lets workers work under one owner after the other."""
    while length_s > _TAKEOVER_INTERVAL_S:
        fleet.work(_TAKEOVER_INTERVAL_S)
        fleet.take_over()
        length_s -= _TAKEOVER_INTERVAL_S
    fleet.work(length_s)


def _task(fleet: crash_fleet.CrashFleet, job_id: str) -> model.TaskId:
    """Returns the only task of a job."""
    ((number, step),) = fleet.engine.jobs[job_id].steps
    return model.TaskId(job_id, number, step, 0)


class TimeAtWorkTest(unittest.TestCase):
    """What is known of a run's time at work does not begin anew."""

    def setUp(self) -> None:
        self.fleet = crash_fleet.CrashFleet(6, cpu=16000)
        step = builders.step(is_persistent=True)
        self.fleet.submit(builders.job(crash_fleet.INNOCENT, step))

    def _crash_after(self, length_s: float) -> None:
        """Crashes the job's worker just after the last of several takeovers."""
        fleet = self.fleet
        _start(fleet)
        _work(fleet, length_s)
        fleet.take_over()
        fleet.work(crash_fleet.ROUND_S)
        fleet.crash(*crash_fleet.workers_of(fleet, crash_fleet.INNOCENT))

    def _history(self) -> tuple[float, float, float]:
        (step,) = self.fleet.engine.jobs[crash_fleet.INNOCENT].steps.values()
        (task,) = step.tasks
        history = task.crash_history
        return history.work_s, history.shortest_s, history.longest_s

    def test_time_under_earlier_owners_counts_once(self) -> None:
        lengths_s = (4.0, 11.0, 6.5)
        began_s = self.fleet.now_s
        for length_s in lengths_s:
            self._crash_after(length_s)
        worked_s = sum(lengths_s) + len(lengths_s) * crash_fleet.ROUND_S
        work_s, shortest_s, longest_s = self._history()
        self.assertGreaterEqual(work_s, worked_s)
        error_s = _MAX_CLOCK_ERROR * (self.fleet.now_s - began_s)
        self.assertLessEqual(work_s, worked_s + error_s)
        self.assertLessEqual(shortest_s, min(lengths_s) + crash_fleet.ROUND_S)
        self.assertGreaterEqual(longest_s, max(lengths_s))

    def test_chance_crashes_just_after_takeovers_fail_no_job(self) -> None:
        """The runs had worked for 17, 10 and 24 s, and others crash as well."""
        fleet = self.fleet
        for length_s in (17.0, 10.0, 24.0):
            self._crash_after(length_s)
            hosts = crash_fleet.workers_of(fleet, crash_fleet.INNOCENT)
            for worker_id in sorted(set(fleet.started_ms) - set(hosts))[:2]:
                fleet.work(_AWAY_S)
                fleet.crash(worker_id)
        self.assertEqual(fleet.crashes(crash_fleet.INNOCENT), 3)
        self.assertIsNone(fleet.state(crash_fleet.INNOCENT))

    def test_trial_ends_under_a_series_of_owners(self) -> None:
        """It would last for ever if each owner began it anew."""
        fleet = self.fleet
        for _ in range(2):
            _start(fleet)
            fleet.work(1.0)
            fleet.crash(*crash_fleet.workers_of(fleet, crash_fleet.INNOCENT))
        _start(fleet)
        _work(fleet, 8.0)
        self.assertGreaterEqual(fleet.events["task-trial-over"], 1)


class PlannedWorkTest(unittest.TestCase):
    """A worker whose VM an earlier owner ordered away has not crashed."""

    def setUp(self) -> None:
        self.fleet = crash_fleet.CrashFleet(6, cpu=16000)
        step = builders.step(is_persistent=True)
        self.fleet.submit(builders.job(crash_fleet.INNOCENT, step))
        _start(self.fleet)

    def _order_away(self) -> str:
        """Takes over from an owner that has ordered the job's VM away."""
        fleet = self.fleet
        (worker_id,) = crash_fleet.workers_of(fleet, crash_fleet.INNOCENT)
        fleet.take_over()
        fleet.engine.vms.set_cordoned([], [], [worker_id])
        return worker_id

    def _counted(self) -> int:
        """Returns the crashes counted, certain or possible."""
        return self.fleet.crashes(
            crash_fleet.INNOCENT
        ) + self.fleet.possible_crashes(crash_fleet.INNOCENT)

    def _suspect(self) -> None:
        """Crashes the job's worker once, so that its silences count."""
        (worker_id,) = crash_fleet.workers_of(self.fleet, crash_fleet.INNOCENT)
        self.fleet.crash(worker_id)
        _start(self.fleet)
        self.assertEqual(self._counted(), 1)

    def test_worker_that_never_registers_is_no_crash(self) -> None:
        """Six times: after five, the job would be failed."""
        fleet = self.fleet
        for _ in range(6):
            (gone,) = crash_fleet.workers_of(fleet, crash_fleet.INNOCENT)
            del fleet.started_ms[gone]
            fleet.take_over()
            fleet.engine.vms.set_cordoned([], [], [gone])
            fleet.work(_AWAY_S)
            # The hold is over before the leases of earlier owners are.
            fleet.engine.vms.set_cordoned([], [])
            fleet.work(_AWAY_S)
            self.assertEqual(self._counted(), 0)
            fleet.started_ms[gone + "'"] = 1
            fleet.register_all()
            _start(fleet)
        self.assertIsNone(fleet.state(crash_fleet.INNOCENT))

    def test_end_that_shows_only_to_a_later_owner_is_no_crash(self) -> None:
        """The orders are on record for some seconds only."""
        fleet = self.fleet
        worker_id = self._order_away()
        del fleet.started_ms[worker_id]
        for _ in range(4):
            fleet.take_over()
            fleet.engine.vms.set_cordoned([], [])
            fleet.now_s += _TAKEOVER_INTERVAL_S
        fleet.work(2 * _TAKEOVER_INTERVAL_S)
        self.assertEqual(
            crash_fleet.workers_of(fleet, crash_fleet.INNOCENT), []
        )
        self.assertEqual(self._counted(), 0)

    def test_run_that_is_adopted_after_the_orders_were_read(self) -> None:
        """An owner reads these first, and may end before it looks again."""
        fleet = self.fleet
        (worker_id,) = crash_fleet.workers_of(fleet, crash_fleet.INNOCENT)
        del fleet.started_ms[worker_id]
        fleet.take_over([worker_id])
        fleet.take_over()
        fleet.work(2 * _TAKEOVER_INTERVAL_S)
        self.assertEqual(
            crash_fleet.workers_of(fleet, crash_fleet.INNOCENT), []
        )
        self.assertEqual(self._counted(), 0)

    def test_silence_after_the_hold_is_no_crash(self) -> None:
        self._suspect()
        worker_id = self._order_away()
        self.fleet.lose_contact(worker_id, _TAKEOVER_INTERVAL_S)
        self.fleet.engine.vms.set_cordoned([], [])
        self.fleet.lose_contact(worker_id, 2 * _TAKEOVER_INTERVAL_S)
        self.assertEqual(self._counted(), 1)

    def test_maintained_worker_that_is_back_is_no_crash(self) -> None:
        self._suspect()
        worker_id = self._order_away()
        self.fleet.lose_contact(worker_id, _TAKEOVER_INTERVAL_S)
        self.fleet.engine.vms.set_cordoned([], [])
        self.fleet.crash(worker_id)
        self.assertEqual(self._counted(), 1)

    def test_run_placed_during_the_hold_is_no_cause(self) -> None:
        """Tasks that end by themselves may be placed there."""
        fleet = self.fleet
        fleet.engine.vms.set_cordoned([], [], sorted(fleet.started_ms))
        job_id = "00000000000000cc"
        fleet.submit(builders.job(job_id, builders.step()))
        _start(fleet)
        (worker_id,) = crash_fleet.workers_of(fleet, job_id)
        del fleet.started_ms[worker_id]
        fleet.take_over()
        fleet.work(2 * _TAKEOVER_INTERVAL_S)
        self.assertEqual(fleet.possible_crashes(job_id), 0)

    def test_worker_that_answers_after_the_hold_can_crash(self) -> None:
        """The order was not carried out: a culprit is not excused."""
        worker_id = self._order_away()
        self.fleet.work(_TAKEOVER_INTERVAL_S)
        self.fleet.engine.vms.set_cordoned([], [])
        self.fleet.work(crash_fleet.ROUND_S)
        self.fleet.take_over()
        self.fleet.work(crash_fleet.ROUND_S)
        self.fleet.crash(worker_id)
        self.assertEqual(self.fleet.crashes(crash_fleet.INNOCENT), 1)


class CulpritTest(unittest.TestCase):
    """A task that crashes its workers is given up over several owners."""

    def test_takeovers_that_hold_every_worker(self) -> None:
        """Each owner finds all VMs ordered, and no order is carried out."""
        for dies_s in _TIMES_AT_WORK_S[1:]:
            with self.subTest(dies_s=dies_s):
                fleet = crash_fleet.CrashFleet(6, cpu=16000)
                fleet.submit(builders.job(crash_fleet.CRASHER, builders.step()))
                for _ in range(_ROUNDS):
                    _start(fleet)
                    fleet.take_over()
                    held = sorted(fleet.started_ms)
                    fleet.engine.vms.set_cordoned([], [], held)
                    fleet.work(dies_s / 2)
                    fleet.engine.vms.set_cordoned([], [])
                    fleet.work(dies_s / 2)
                    for worker_id in crash_fleet.workers_of(
                        fleet, crash_fleet.CRASHER
                    ):
                        fleet.crash(worker_id)
                    fleet.work(_AWAY_S)
                self._assert_given_up(fleet)

    def _play(self, dies_s: float, *, is_persistent: bool, storms: int) -> None:
        fleet = crash_fleet.CrashFleet(6, cpu=16000)
        step = builders.step(is_persistent=is_persistent)
        fleet.submit(builders.job(crash_fleet.CRASHER, step))
        for _ in range(_ROUNDS):
            _start(fleet)
            _work(fleet, dies_s)
            hosts = crash_fleet.workers_of(fleet, crash_fleet.CRASHER)
            for worker_id in hosts:
                fleet.crash(worker_id)
            for worker_id in sorted(set(fleet.started_ms) - set(hosts))[
                :storms
            ]:
                fleet.work(_AWAY_S)
                fleet.crash(worker_id)
            _work(fleet, _AWAY_S)
        self._assert_given_up(fleet)

    def _assert_given_up(self, fleet: crash_fleet.CrashFleet) -> None:
        self.assertLessEqual(fleet.starts[crash_fleet.CRASHER], _MAX_STARTS)
        self.assertIs(fleet.state(crash_fleet.CRASHER), model.JobState.FAILED)

    def test_takeovers_while_it_works(self) -> None:
        for is_persistent in (False, True):
            for dies_s in _TIMES_AT_WORK_S:
                with self.subTest(dies_s=dies_s, is_persistent=is_persistent):
                    self._play(dies_s, is_persistent=is_persistent, storms=0)

    def test_takeovers_while_it_works_and_others_crash(self) -> None:
        """Its times at work, which are alike, tell it from chance."""
        for dies_s in _TIMES_AT_WORK_S:
            with self.subTest(dies_s=dies_s):
                self._play(dies_s, is_persistent=True, storms=1)


if __name__ == "__main__":
    unittest.main()
