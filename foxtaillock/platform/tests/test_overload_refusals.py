"""Tests of jobs that are refused since their owner is starved."""

import typing
from unittest import mock

from foxtaillock.batch import call_handler
from foxtaillock.batch import model
from foxtaillock.batch import view
from foxtaillock.model import clock as model_clock
from foxtaillock.platform.tests import entry_vm
from foxtaillock.platform.tests import entry_vm_case

_PATH = "/open/5c0e7a21d94b36f8"
_JOB = {
    "workload": "text",
    "steps": [{"count": 1, "cpu": 500, "estimate_ms": 50}],
}


class OverloadRefusalTest(entry_vm_case.EntryVmCase):
    """One entry VM, which has read of a long backlog."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.platform.add_worker("i-1", "pool")
        self.vm = await self.start_vm()

    def _overload(self, backlog_s: float) -> None:
        now_s = model_clock.SystemClock().monotonic_s()
        self.vm.node.call_handler.admission.observe(backlog_s, now_s)

    async def _submit(self) -> entry_vm.Reply:
        return await self.vm.call("POST", _PATH, body=_JOB)

    async def test_job_that_a_starved_owner_can_not_start_is_refused(
        self,
    ) -> None:
        self._overload(7.2)
        refused = await self._submit()
        self.assertEqual((refused.status, refused.retry_after), (503, "6"))
        state = await self.vm.call("GET", _PATH)
        self.assertEqual(state.status, 410)

    async def test_job_that_may_be_stored_is_not_refused(self) -> None:
        handler = call_handler.CallHandler
        with mock.patch.object(handler, "_may_answer", return_value=False):
            first = await self._submit()
        self.assertEqual(first.status, 504)
        self._overload(9.0)
        with mock.patch.object(view.JournalView, "spec", return_value=None):
            second = await self._submit()
        self.assertEqual(second.status, 200)

    async def test_job_that_another_vm_has_stored_is_not_refused(self) -> None:
        """This VM has not read the submission when it is asked."""
        await self._submit()
        self._overload(9.0)
        original = view.JournalView.spec
        unread = [True]

        def _spec(self: view.JournalView, job_id: str) -> typing.Any:
            if unread.pop() if unread else False:
                return None
            found: model.JobSpec | None = original(self, job_id)
            return found

        with mock.patch.object(view.JournalView, "spec", _spec):
            second = await self._submit()
        self.assertEqual(second.status, 200)
