"""Tests of jobs that are refused since there is no memory for them."""

import typing
import unittest
from unittest import mock

from foxtaillock.batch import call_handler
from foxtaillock.batch import job_budget
from foxtaillock.batch import model
from foxtaillock.batch import records
from foxtaillock.batch import view
from foxtaillock.model import clock as model_clock
from foxtaillock.platform.tests import entry_vm
from foxtaillock.platform.tests import entry_vm_case

_PATH = "/open/5c0e7a21d94b36f8"
_OTHER_PATH = "/open/5c0e7a21d94b36f9"
_SMALL = {"workload": "text", "steps": [{"count": 1, "cpu": 500}]}
_LARGE = {"workload": "text", "steps": [{"count": 1}] * 2_000}
_FULL_BYTES = 1 << 40


class MemoryRefusalTest(entry_vm_case.EntryVmCase):
    """One entry VM and the memory of jobs that others reserved."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.vm = await self.start_vm()

    def _fill(self) -> None:
        """Reserves memory for a job of another VM, as this one reads it."""
        budget = self.vm.node.call_handler.memory_admission.budget
        record = records.JobReservation("other", "job", _FULL_BYTES, False)
        budget.reserve(record, model_clock.SystemClock().monotonic_s())

    async def _submit(
        self, job: dict[str, typing.Any], path: str = _PATH
    ) -> entry_vm.Reply:
        return await self.vm.call("POST", path, body=job)

    async def test_jobs_for_which_there_is_no_memory_are_accepted(self) -> None:
        self._fill()
        for job in (_SMALL, _LARGE):
            refused = await self._submit(job)
            self.assertEqual(refused.status, 503)
            self.assertIn(int(refused.retry_after or 0), range(5, 11))
            state = await self.vm.call("GET", _PATH)
            self.assertEqual(state.status, 410)

    async def test_large_job_is_stored_without_a_reservation(self) -> None:
        order: list[str] = []
        budget = self.vm.node.call_handler.memory_admission.budget
        reserve, put = budget.reserve, budget.put

        def _reserve(record: records.JobReservation, now_s: float) -> None:
            order.append("reserved")
            reserve(record, now_s)

        def _put(spec: model.JobSpec) -> None:
            order.append("stored")
            put(spec)

        with (
            mock.patch.object(budget, "reserve", _reserve),
            mock.patch.object(budget, "put", _put),
        ):
            accepted = await self._submit(_LARGE)
            await self.vm.call("GET", _OTHER_PATH)
        self.assertEqual(accepted.status, 200)
        self.assertEqual(order, ["reserved", "stored"])

    async def test_reservation_outlasts_a_refused_job(self) -> None:
        """It would keep other VMs from using the memory."""
        with mock.patch.object(
            job_budget.JobBudget, "has_room", side_effect=[True, False]
        ):
            refused = await self._submit(_LARGE)
        self.assertEqual(refused.status, 503)
        await self.vm.call("GET", _PATH)
        budget = self.vm.node.call_handler.memory_admission.budget
        now_s = model_clock.SystemClock().monotonic_s()
        whole = job_budget.Holding(100, False)
        self.assertTrue(budget.has_room("j", whole, 134, "other", now_s))

    async def test_job_that_may_be_stored_is_refused(self) -> None:
        handler = call_handler.CallHandler
        with mock.patch.object(handler, "_may_answer", return_value=False):
            first = await self._submit(_SMALL)
        self.assertEqual(first.status, 504)
        self._fill()
        with mock.patch.object(view.JournalView, "spec", return_value=None):
            second = await self._submit(_SMALL)
        self.assertEqual(second.status, 504)

    async def test_job_that_another_vm_has_stored_is_refused(self) -> None:
        """This VM has not read the submission when it is asked."""
        await self._submit(_SMALL)
        self._fill()
        original = view.JournalView.spec
        unread = [True]

        def _spec(self: view.JournalView, job_id: str) -> typing.Any:
            if unread.pop() if unread else False:
                return None
            found: model.JobSpec | None = original(self, job_id)
            return found

        with mock.patch.object(view.JournalView, "spec", _spec):
            second = await self._submit(_SMALL)
        self.assertEqual(second.status, 200)


if __name__ == "__main__":
    unittest.main()
