"""Tests of which requests and jobs are counted, and in which class."""

import unittest

from foxtaillock.jobs import job as jobs
from foxtaillock.model import job_records
from foxtaillock.model import outcomes
from foxtaillock.model import vms_and_jobs
from foxtaillock.reports import counts
from foxtaillock.reports import job_watch
from foxtaillock.reports import recorder

_OBJECTS: dict[recorder.Key, tuple[int, recorder.Body]] = {
    ("service", "quotes"): (1, {"objective": 0.9, "objective_latency_s": 1.0}),
    ("queue", "bend"): (1, {"objective": 0.9, "objective_latency_s": 2.0}),
    ("team", "shops"): (1, {"objective": 0.99}),
    ("team", "others"): (1, {}),
}


def _job(job_id: str = "p.1", team: str = "shops") -> jobs.Job:
    accepted = job_records.JobAccepted(
        job_id,
        team,
        "",
        "",
        "bend",
        (1, 1, 0),
        1.0,
        False,
        False,
        0.0,
        "",
        "",
        1,
    )
    return jobs.Job(accepted, 1)


class RecorderTest(unittest.TestCase):

    def setUp(self) -> None:
        self.recorder = recorder.BurnRecorder()
        self.recorder.update(_OBJECTS, 0.0)
        self.watch = job_watch.JobWatch(self.recorder)
        self.watch.add_pool("p", (), 0.0)

    def _longest_window_counts(
        self, name: str, now_s: float = 50.0
    ) -> counts.Counts:
        for entry in self.recorder.list_counts(now_s):
            if entry.name == name:
                return max(entry.by_window.items())[1]
        raise AssertionError(name)

    def test_calls_are_counted_by_outcome(self) -> None:
        not_run, unknown = outcomes.NotRun, outcomes.Unknown
        for outcome, took_s, expected in (
            (outcomes.Ran(), 0.5, counts.Counts(good=1)),
            (outcomes.Ran(404), 0.5, counts.Counts(good=1)),
            (outcomes.Ran(), 1.5, counts.Counts(late=1)),
            (outcomes.Ran(500), 0.5, counts.Counts(failed=1)),
            (not_run("overloaded"), 0.5, counts.Counts(not_run=1)),
            (not_run("draining"), 0.0, counts.Counts(not_run=1)),
            (not_run("team-limit"), 0.5, counts.Counts()),
            (not_run("bad-path"), 0.5, counts.Counts()),
            (unknown("timeout"), 0.5, counts.Counts(unknown=1)),
            (unknown("already-ran"), 0.5, counts.Counts()),
            (None, 0.5, counts.Counts()),
            (None, 1.5, counts.Counts(late=1)),
        ):
            with self.subTest(outcome=outcome, took_s=took_s):
                self.setUp()
                self.recorder.record_call(
                    "quotes", "shops", outcome, took_s, 9.0
                )
                self.assertEqual(
                    self._longest_window_counts("quotes"), expected
                )

    def test_only_objectives_in_force_are_counted(self) -> None:
        names = [entry.name for entry in self.recorder.list_counts(0.0)]
        self.assertEqual(names, ["bend", "quotes", "shops"])
        self.recorder.record(("team", "shops"), "good", 1.0)
        self.recorder.update({("team", "shops"): (2, {"objective": 0.5})}, 20.0)
        (entry,) = self.recorder.list_counts(50.0)
        self.assertEqual((entry.revision, entry.counted_s), (2, 50.0))
        self.assertEqual(self._longest_window_counts("shops").good, 1)

    def test_job_is_counted_once_at_its_end(self) -> None:
        state = vms_and_jobs.JobState
        for last, result, expected in (
            (state.DONE, "", counts.Counts(good=1)),
            (state.FAILED, "", counts.Counts(failed=1)),
            (state.UNKNOWN, "", counts.Counts(unknown=1)),
            (state.CANCELLED, "cancelled by k1", counts.Counts()),
            (
                state.CANCELLED,
                "cancelled by deadline",
                counts.Counts(0, 0, 0, 1),
            ),
        ):
            with self.subTest(last=last, result=result):
                self.setUp()
                job = _job()
                self.watch.update("p", job, 0.0)
                job.attempts, job.state = 1, state.STARTING
                self.watch.update("p", job, 1.0)
                self.assertEqual(self._longest_window_counts("bend").total, 0)
                job.state, job.result = last, result
                self.watch.update("p", job, 30.0)
                job.state = state.DONE
                self.watch.update("p", job, 31.0)
                self.assertEqual(self._longest_window_counts("bend"), expected)
                self.assertEqual(self._longest_window_counts("shops"), expected)

    def test_waiting_job_is_counted_late_before_it_starts(self) -> None:
        job = _job()
        self.watch.update("p", job, 0.0)
        for now_s, late in ((2.0, 0), (2.5, 1), (9.0, 1)):
            self.watch.count_overdue(now_s)
            self.assertEqual(
                self._longest_window_counts("bend"), counts.Counts(late=late)
            )
        job.attempts, job.state = 1, vms_and_jobs.JobState.DONE
        self.watch.update("p", job, 20.0)
        self.assertEqual(
            self._longest_window_counts("bend"), counts.Counts(late=1)
        )
        self.assertEqual(
            self._longest_window_counts("shops"), counts.Counts(good=1)
        )

    def test_late_start_is_counted_without_a_check_for_overdue_jobs(
        self,
    ) -> None:
        job = _job()
        self.watch.update("p", job, 0.0)
        job.attempts, job.state = 1, vms_and_jobs.JobState.STARTING
        self.watch.update("p", job, 2.5)
        job.state = vms_and_jobs.JobState.DONE
        self.watch.update("p", job, 3.0)
        self.assertEqual(
            self._longest_window_counts("bend"), counts.Counts(late=1)
        )

    def test_jobs_of_a_removed_pool_are_not_counted(self) -> None:
        self.watch.update("p", _job(), 0.0)
        self.watch.remove_pool("p")
        self.watch.count_overdue(60.0)
        self.watch.update("p", _job(), 61.0)
        self.assertEqual(self._longest_window_counts("bend", 70.0).total, 0)

    def test_refused_jobs_are_counted(self) -> None:
        tag = outcomes.OutcomeTag
        for outcome_tag, code in (
            (tag.NOT_RUN, "no-owner"),
            (tag.NOT_RUN, "queue-full"),
            (tag.NOT_RUN, "key-reused"),
            (tag.UNKNOWN, "owner-silent"),
        ):
            self.recorder.record_refused_job(
                "bend", "shops", outcome_tag, code, 1.0
            )
        self.assertEqual(
            self._longest_window_counts("bend"), counts.Counts(0, 0, 0, 2, 1)
        )
