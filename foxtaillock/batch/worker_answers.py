"""Reconciles the owner's state with the answers of workers.

A missing answer counts as well: it leaves the outcome of an order unknown.
"""

from collections.abc import Iterable

from foxtaillock.batch import interfaces
from foxtaillock.batch import lease_times
from foxtaillock.batch import model
from foxtaillock.batch import owner_state
from foxtaillock.batch import speed_limits
from foxtaillock.batch import plans
from foxtaillock.batch import restarts
from foxtaillock.batch import slow_runs
from foxtaillock.batch import tasks
from foxtaillock.batch import workers

__all__ = ["WorkerAnswers"]

# A worker that refused a start, usually for lack of capacity, gets no new tasks
# for this time.
_REFUSAL_BACKOFF_S = 1.0

# The pause between polls of a worker that does not answer grows by this step
# with each unanswered call, up to the maximum.
_POLL_BACKOFF_STEP_S = 0.25
_MAX_POLL_BACKOFF_S = 1.0

# Answers to a stop order after which the run can't begin any more. A worker
# that refuses the order has done nothing, so a start in doubt may reach it.
_SETTLING_STOP_OUTCOMES = frozenset(
    (interfaces.OrderOutcome.ACCEPTED, interfaces.OrderOutcome.STALE_RUN)
)

# Outcomes of orders that the worker did not answer.
_UNANSWERED_OUTCOMES = frozenset(
    (interfaces.OrderOutcome.UNKNOWN, interfaces.OrderOutcome.NOT_SENT)
)

# Outcomes of starts after which the worker may get others at once. One that got
# no order gets none until it answers.
_NO_BACKOFF_OUTCOMES = frozenset(
    (interfaces.OrderOutcome.STALE_RUN, interfaces.OrderOutcome.NOT_SENT)
)

# Pause between polls of a worker whose unexpected runs are being stopped.
_STOP_POLL_PAUSE_S = 0.1

# Pause between polls of a worker whose ends can't be acknowledged yet. A start
# is answered within some milliseconds.
_WITHHELD_POLL_PAUSE_S = 0.03


class WorkerAnswers:
    """Handles the answers to start orders, stop orders and polls.

    Args:
        state: jobs and workers of the owner.
    """

    def __init__(self, state: owner_state.OwnerState) -> None:
        self._state = state
        self._slow_runs = slow_runs.SlowRuns(state)

    def start_answered(
        self,
        plan: plans.StartPlan,
        answer: interfaces.OrderAnswer,
        now_s: float,
    ) -> None:
        """Applies the answer to a start order."""
        task, worker = plan.task, plan.worker
        self._record_contact(worker, answer, plan.planned_s, now_s)
        if task.run != plan.run or task.phase is not tasks.TaskPhase.STARTING:
            return
        outcome = answer.outcome
        if outcome is interfaces.OrderOutcome.ACCEPTED:
            self._state.set_phase(task, tasks.TaskPhase.RUNNING, now_s)
            task.began_s = now_s
            task.is_confirmed = not (
                worker.has_odd_clock or worker.may_hold_prior_leases(now_s)
            )
            if answer.clock_ms is not None:
                self._state.crashes.record_active(
                    task, worker, answer.clock_ms, now_s
                )
            return
        self._state.log(
            "start-not-accepted",
            task=model.format_task_id(task.task_id),
            run=task.run,
            worker=worker.worker_id,
            outcome=outcome.value,
            after_s=round(now_s - plan.planned_s, 2),
        )
        if outcome in _UNANSWERED_OUTCOMES:
            current = self._state.workers.get(worker.worker_id, worker)
            current.unanswered_calls += 1
        if outcome is interfaces.OrderOutcome.UNKNOWN:
            self._state.late_renewals.note(worker.worker_id, now_s)
            self._state.set_phase(task, tasks.TaskPhase.IN_DOUBT, now_s)
            return
        if outcome is interfaces.OrderOutcome.OTHER_WORKER:
            self._state.lose_worker(worker, now_s)
        elif outcome is interfaces.OrderOutcome.TICKET_REFUSED:
            self._state.tickets.invalidate(task.task_id.step_id)
        elif outcome not in _NO_BACKOFF_OUTCOMES:
            worker.backoff_until_s = now_s + _REFUSAL_BACKOFF_S
        self._state.abandon_run(task, now_s)

    def stop_answered(
        self,
        plan: plans.StopPlan,
        answer: interfaces.OrderAnswer,
        now_s: float,
    ) -> None:
        """Applies the answer to a stop order."""
        worker = self._state.workers.get(plan.worker.worker_id)
        if worker is None or not _is_for(plan.worker, worker):
            return
        sent_s = now_s - interfaces.ANSWER_TIMEOUT_S
        self._record_contact(worker, answer, sent_s, now_s)
        if answer.outcome is interfaces.OrderOutcome.OTHER_WORKER:
            self._state.lose_worker(worker, now_s)
            return
        task = worker.tasks.get(plan.task_id)
        if task is None or task.run != plan.run:
            return
        if answer.outcome in _UNANSWERED_OUTCOMES:
            worker.unanswered_calls += 1
        elif answer.outcome in _SETTLING_STOP_OUTCOMES:
            task.stopped_s = now_s

    def poll_answered(
        self,
        worker_id: str,
        plan: plans.PollPlan,
        answer: interfaces.WorkerLists | interfaces.OrderAnswer,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Applies the lists that a poll returned, or the poll's failure."""
        worker = self._state.workers.get(worker_id)
        if worker is None or not _is_for(plan.entry, worker):
            # What an incarnation said that was replaced meanwhile.
            return
        if isinstance(answer, interfaces.OrderAnswer):
            is_unknown = answer.outcome is interfaces.OrderOutcome.UNKNOWN
            if is_unknown and plan.valid_until_ms is not None:
                self._state.late_renewals.note(worker_id, now_s)
            self._poll_failed(worker, plan, answer, sent_s, now_s)
            return
        if restarts.is_other_incarnation(worker, answer):
            worker = restarts.replace_incarnation(
                self._state, worker, answer, sent_s, now_s
            )
        else:
            worker.acknowledged_end = max(
                worker.acknowledged_end, plan.acknowledged
            )
        worker.refute_other_entry(sent_s)
        self._state.crashes.record_answer(worker)
        if not worker.has_answered or worker.unanswered_calls:
            self._state.log_worker(
                worker, "worker-reached", running=len(answer.running)
            )
            self._state.needs_plan = True
        assumed_end_s = worker.assumed_end_s
        worker.record_answer(answer.clock_ms, now_s)
        self._state.has_new_long_lease |= worker.assumed_end_s > assumed_end_s
        worker.listed_s = sent_s
        self._note_cut_list(worker, answer)
        self._apply_ends(worker, answer.ended, now_s)
        self._reconcile(worker, answer.running, sent_s, now_s)
        self._limit_filler_speed(worker)

    def poll_plan(
        self, worker: workers.Worker, now_s: float
    ) -> plans.PollPlan | None:
        """Returns the poll of a worker that is due, or None."""
        if not self.needs_poll(worker):
            return None
        is_unresolved = any(
            task.phase in (tasks.TaskPhase.IN_DOUBT, tasks.TaskPhase.ADOPTED)
            or task.stopped_s is not None
            for task in worker.tasks.values()
        )
        is_unresolved |= worker.may_have_restarted
        is_unresolved |= worker.may_hold_prior_leases(now_s)
        is_unresolved |= worker.has_unexpected_runs
        is_unresolved |= worker.may_have_more_ends
        # A worker drops ends during the whole wait, also those of runs that
        # begin meanwhile on a later incarnation.
        is_unresolved |= worker.end_to_acknowledge > 0
        wait_s = (
            0.0
            if is_unresolved or not worker.tasks
            else lease_times.POLL_WAIT_S
        )
        # A poll without an answer may have renewed the lease. A worker that
        # does not answer is therefore polled without a renewal, so that the
        # end of its lease is known.
        valid_until_ms = None
        if worker.tasks and not worker.unanswered_calls:
            valid_until_ms = worker.grant_lease(now_s, wait_s)
        worker.polled_s = now_s
        return plans.PollPlan(
            worker.entry, _end_to_acknowledge(worker), valid_until_ms, wait_s
        )

    def needs_poll(self, worker: workers.Worker) -> bool:
        """Returns whether a worker has to be polled."""
        if worker.recorded_end > worker.acknowledged_end:
            return True
        is_suspect = (
            worker.may_have_restarted
            or worker.has_unexpected_runs
            or worker.may_have_more_ends
        )
        if is_suspect and worker.is_registered:
            return True
        return any(
            task.phase is not tasks.TaskPhase.RECORDING
            for task in worker.tasks.values()
        )

    def poll_pause_s(self, worker: workers.Worker) -> float:
        """Returns the pause before the next poll of a worker."""
        if worker.unanswered_calls:
            return min(
                _MAX_POLL_BACKOFF_S,
                _POLL_BACKOFF_STEP_S * worker.unanswered_calls,
            )
        if worker.has_unexpected_runs:
            return _STOP_POLL_PAUSE_S
        is_withheld = worker.end_to_acknowledge > _end_to_acknowledge(worker)
        is_withheld |= worker.may_have_more_ends
        return _WITHHELD_POLL_PAUSE_S if is_withheld else 0.0

    def _note_cut_list(
        self, worker: workers.Worker, lists: interfaces.WorkerLists
    ) -> None:
        """Notes whether a worker keeps more ends than it has listed."""
        if worker.may_have_more_ends != lists.may_have_more_ends:
            self._state.log_worker(
                worker,
                "worker-ends-cut",
                is_cut=lists.may_have_more_ends,
                ends=len(lists.ended),
                tasks=len(worker.tasks),
            )
            self._state.needs_plan = True
        worker.may_have_more_ends = lists.may_have_more_ends

    def _apply_ends(
        self,
        worker: workers.Worker,
        ended: Iterable[interfaces.EndedRun],
        now_s: float,
    ) -> None:
        for end in ended:
            if end.number <= worker.received_end:
                continue
            worker.received_end = end.number
            self._state.recorded_ends[worker] = end.number
            self._apply_end(worker, end, now_s)

    def _apply_end(
        self, worker: workers.Worker, end: interfaces.EndedRun, now_s: float
    ) -> None:
        task = worker.tasks.get(end.task)
        is_current = task is not None and task.run == end.run
        self._state.log(
            "run-ended",
            task=model.format_task_id(end.task),
            run=end.run,
            worker=worker.worker_id,
            kind=end.kind.value,
            current=is_current,
        )
        if task is None or not is_current:
            self._apply_late_end(end, now_s)
            return
        step = self._state.step_of(task)
        if end.checkpoint:
            task.checkpoint = end.checkpoint
        if end.kind is model.EndKind.DONE and not step.spec.is_persistent:
            self._state.quarantine.record_success(worker.worker_id)
            self._slow_runs.record_done(task, step, worker, now_s)
            self._state.complete_task(task, step, now_s)
            return
        if end.kind is model.EndKind.FAILED:
            self._state.count_failure(task)
            self._state.quarantine.record_failure(
                worker.worker_id,
                task.task_id.job_id,
                step.spec.is_persistent,
                now_s,
            )
        self._state.release(task)
        self._state.requeue(task, step, now_s)

    def _apply_late_end(self, end: interfaces.EndedRun, now_s: float) -> None:
        """Applies the end of a run that the owner had already given up.

        The run ended on a worker that was unreachable until its lease expired.
        If it succeeded, a task that waits for another run is done. A task that
        runs again is done as soon as that run ends, whatever its outcome.
        """
        job = self._state.jobs.get(end.task.job_id)
        if end.kind is not model.EndKind.DONE or job is None or job.is_finished:
            return
        step = job.steps.get((end.task.occurrence, end.task.step))
        if step is None or end.task.number >= len(step.tasks):
            return
        if step.spec.is_persistent or step.spec.is_gang:
            return
        task = step.tasks[end.task.number]
        if task.phase is tasks.TaskPhase.WAITING:
            self._state.complete_task(task, step, now_s)
        else:
            task.was_done = True
            self._state.mark_dirty(task)

    def _reconcile(
        self,
        worker: workers.Worker,
        running: Iterable[interfaces.ActiveRun],
        sent_s: float,
        now_s: float,
    ) -> None:
        """Reconciles the runs that a worker listed with the expected ones.

        A run that is in no list has ended, but for a list of ends that was cut:
        its end may be one of those that were left out.
        """
        present: set[model.TaskId] = set()
        had_unexpected_runs = worker.has_unexpected_runs
        worker.has_unexpected_runs = False
        for listed in running:
            task = worker.tasks.get(listed.task)
            if task is None or task.run != listed.run:
                self._state.log(
                    "run-not-expected",
                    task=model.format_task_id(listed.task),
                    run=listed.run,
                    worker=worker.worker_id,
                )
                worker.has_unexpected_runs = True
                self._state.stops.append(
                    plans.StopPlan(worker.entry, listed.task, listed.run)
                )
                continue
            present.add(listed.task)
            self._apply_running(task, worker, listed, now_s)
            self._state.crashes.record_work(task, worker)
        if had_unexpected_runs and not worker.has_unexpected_runs:
            self._state.needs_plan = True
        lost = []
        for task in worker.tasks.values():
            if task.task_id in present:
                continue
            has_ended = _has_ended_before(task, sent_s)
            if has_ended and not worker.may_have_more_ends:
                lost.append(task)
            elif (
                task.phase is tasks.TaskPhase.IN_DOUBT and not task.is_stopping
            ):
                self._state.order_stop(worker, task, now_s)
        self._state.lose_runs(worker, lost, now_s, "not on the worker")

    def _apply_running(
        self,
        task: tasks.Task,
        worker: workers.Worker,
        listed: interfaces.ActiveRun,
        now_s: float,
    ) -> None:
        task.is_confirmed = True
        self._state.crashes.record_active(task, worker, worker.clock_ms, now_s)
        if task.worker_started_ms != worker.entry.started_ms:
            task.worker_started_ms = worker.entry.started_ms
            self._state.mark_dirty(task)
        task.is_listed = True
        self._state.note_confirmed(task, now_s)
        task.speed_percent = listed.speed_percent
        task.reading = listed.reading
        if listed.checkpoint:
            task.checkpoint = listed.checkpoint
        if task.phase in (
            tasks.TaskPhase.IN_DOUBT,
            tasks.TaskPhase.ADOPTED,
            tasks.TaskPhase.STARTING,
        ):
            self._state.set_phase(task, tasks.TaskPhase.RUNNING, now_s)
        job = self._state.jobs.get(task.task_id.job_id)
        if job is not None and job.is_finished and not task.is_stopping:
            self._state.order_stop(worker, task, now_s)

    def _limit_filler_speed(self, worker: workers.Worker) -> None:
        """Adjusts the speed limit of the worker's fillers."""
        running = [
            (task, self._state.step_of(task).spec)
            for task in worker.tasks.values()
            if task.phase is tasks.TaskPhase.RUNNING
        ]
        fillers = [task for task, spec in running if spec.is_filler]
        if not fillers:
            return
        readings = [(task.reading, spec.target_ms) for task, spec in running]
        for task in fillers:
            percent = speed_limits.next_limit_percent(
                task.speed_limit_percent, readings
            )
            if percent == task.speed_limit_percent:
                continue
            self._state.log(
                "filler-paced",
                task=model.format_task_id(task.task_id),
                worker=worker.worker_id,
                percent=percent,
                before=task.speed_limit_percent,
                readings=readings,
            )
            task.speed_limit_percent = percent
            self._state.speed_limits.append(
                plans.SpeedLimitPlan(
                    worker.entry, task.task_id, task.run, percent
                )
            )

    def _poll_failed(
        self,
        worker: workers.Worker,
        plan: plans.PollPlan,
        answer: interfaces.OrderAnswer,
        sent_s: float,
        now_s: float,
    ) -> None:
        if answer.outcome is interfaces.OrderOutcome.OTHER_WORKER:
            self._state.lose_worker(worker, now_s)
            return
        if not worker.unanswered_calls:
            self._state.log_worker(
                worker,
                "worker-unreached",
                outcome=answer.outcome.value,
                tasks=len(worker.tasks),
                until_ms=plan.valid_until_ms,
                after_s=round(now_s - sent_s, 2),
            )
        worker.unanswered_calls += 1
        if worker.other_entry is not None and not worker.may_run_tasks:
            self._state.adopt_incarnation(
                worker, worker.other_entry, now_s, "it was started again"
            )

    def _record_contact(
        self,
        worker: workers.Worker,
        answer: interfaces.OrderAnswer,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Records the clock reading in an answer, and checks whose it is.

        Args:
            worker: the worker.
            answer: its answer to an order.
            sent_s: time before which the order was not sent.
            now_s: current time.
        """
        if answer.clock_ms is None:
            return
        known_ms, had_odd_clock = worker.clock_ms, worker.has_odd_clock
        worker.check_clock(answer.clock_ms, sent_s)
        worker.record_contact(answer.clock_ms, now_s)
        if worker.has_odd_clock and not had_odd_clock:
            self._state.log_worker(
                worker,
                "worker-clock-odd",
                started_ms=worker.entry.started_ms,
                clock_ms=answer.clock_ms,
                known_ms=known_ms,
            )


def _is_for(entry: model.WorkerEntry, worker: workers.Worker) -> bool:
    """Returns whether a call was meant for a worker's present incarnation."""
    return entry.started_ms == worker.entry.started_ms


def _end_to_acknowledge(worker: workers.Worker) -> int:
    """Returns the highest end that a worker may drop now; 0 for none.

    The answer to a start tells by its clock whether another incarnation is
    there. Until it comes, that one may have carried out the start, and an
    acknowledgement would drop the end of the run unread. A start that this
    incarnation has settled is no reason: a list that is cut goes on only with
    an acknowledgement.
    """
    may_run_unseen = any(
        task.phase in (tasks.TaskPhase.STARTING, tasks.TaskPhase.IN_DOUBT)
        and not (
            worker.may_have_more_ends
            and _has_ended_before(task, worker.listed_s)
        )
        for task in worker.tasks.values()
    )
    return 0 if may_run_unseen else worker.end_to_acknowledge


def _has_ended_before(task: tasks.Task, sent_s: float) -> bool:
    """Returns whether a run that a poll did not list has certainly ended.

    A poll reflects what happened before it was sent at `sent_s`. It is
    conclusive for a run that was running by then, for one whose stop was
    confirmed by then, and for one that only an earlier epoch could have
    started.
    """
    if task.phase is tasks.TaskPhase.ADOPTED:
        return True
    if task.phase is tasks.TaskPhase.RUNNING and task.changed_s < sent_s:
        return True
    return task.stopped_s is not None and task.stopped_s < sent_s
