"""Tests jobs end to end on one or two entry VMs with the fake platform."""

import asyncio
import typing
from unittest import mock

from foxtaillock.batch import configuration
from foxtaillock.batch import engine
from foxtaillock.batch import interfaces
from foxtaillock.batch import model
from foxtaillock.batch import records
from foxtaillock.platform.tests import entry_vm
from foxtaillock.platform.tests import entry_vm_case

_JOB = {
    "workload": "text",
    "steps": [
        {"count": 3, "cpu": 500, "mem_mb": 64, "estimate_ms": 50},
        {"count": 1, "cpu": 500, "estimate_ms": 50, "depends_on": [0]},
    ],
}
_SERVING_JOB = {
    "workload": "text",
    "steps": [{"count": 2, "cpu": 500, "persistent": True}],
}
_ID = "5c0e7a21d94b36f8"
_OTHER_ID = "5c0e7a21d94b36f9"


class EntryVmTest(entry_vm_case.EntryVmCase):
    """A platform with one worker and one entry VM for each test."""

    timeout_s = 15.0

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.platform.add_worker("i-1", "pool")
        self.vm = await self.start_vm("vm-1")

    async def _until_state(
        self, vm: entry_vm.EntryVm, path: str, state: str, key: str = ""
    ) -> None:
        async with asyncio.timeout(self.timeout_s):
            while True:
                reply = await vm.call("GET", path, key)
                if reply.body.get("state") == state:
                    return
                await asyncio.sleep(0.05)

    async def test_job_runs_to_its_end(self) -> None:
        reply = await self.vm.call("POST", "/open/" + _ID, body=_JOB)
        self.assertEqual(reply.status, 200)
        await self._until_state(self.vm, "/open/" + _ID, "completed")
        worker = self.platform.workers["i-1"]
        started = [run.task.number for run in worker.history]
        self.assertEqual(sorted(started), [0, 0, 1, 2])
        self.assertEqual({text for _, text in self.platform.payloads}, {"text"})

    async def test_larger_vm_takes_over_the_ownership(self) -> None:
        await self.until(lambda: bool(self.vm.events("ownership-taken")))
        larger = await self.start_vm("vm-9", processors=2.0)
        await self.until(lambda: bool(larger.events("ownership-taken")))
        (claim,) = larger.events("ownership-claimed")
        self.assertEqual(claim["reason"], "released to this VM")
        reply = await larger.call("POST", "/open/" + _ID, body=_JOB)
        self.assertEqual(reply.status, 200)
        await self._until_state(larger, "/open/" + _ID, "completed")
        self.assertEqual(len(self.vm.events("ownership-taken")), 1)

    async def test_ends_are_recorded_before_they_are_acknowledged(self) -> None:
        await self.vm.call("POST", "/open/" + _ID, body=_JOB)
        await self._until_state(self.vm, "/open/" + _ID, "completed")
        worker = self.platform.workers["i-1"]
        await self.until(lambda: worker.acknowledged == 4)

    async def test_resubmission_with_the_same_id_is_one_job(self) -> None:
        for _ in range(2):
            reply = await self.vm.call("POST", "/open/" + _ID, body=_JOB)
            self.assertEqual(reply.status, 200)
        await self._until_state(self.vm, "/open/" + _ID, "completed")
        reply = await self.vm.call("POST", "/open/" + _ID, body=_JOB)
        self.assertEqual(reply.status, 200)
        self.assertEqual(len(self.platform.workers["i-1"].history), 4)

    async def test_completed_job_is_compacted_and_known_to_new_vms(
        self,
    ) -> None:
        await self.vm.call("POST", "/open/" + _ID, body=_JOB)
        await self._until_state(self.vm, "/open/" + _ID, "completed")

        def _kept() -> records.Record | None:
            key = "j" + _ID
            value = self.platform.newest("keyed.submissions", key)
            return None if value is None else records.decode(key, value)

        def _is_compacted() -> bool:
            kept = _kept()
            return isinstance(kept, model.JobSpec) and not kept.steps

        await self.until(_is_compacted)
        progress = self.platform.newest("keyed.journal", f"s{_ID}.0.0")
        self.assertIsNone(progress)
        second = await self.start_vm("vm-2")
        await self.vm.stop()
        await self.until(lambda: bool(second.events("ownership-taken")))
        for method in ("POST", "GET"):
            reply = await second.call(method, "/open/" + _ID, body=_JOB)
            self.assertEqual(reply.status, 200)
        await self._until_state(second, "/open/" + _ID, "completed")
        await asyncio.sleep(0.5)
        self.assertEqual(len(self.platform.workers["i-1"].history), 4)

    async def test_status_depends_on_key_and_route(self) -> None:
        calls: list[tuple[str, str, str, int]] = [
            ("POST", "/keyed/" + _ID, "", 401),
            ("POST", "/keyed/" + _ID, "wrong", 401),
            ("POST", "/nowhere/" + _ID, "k1", 404),
            ("GET", "/keyed/" + _ID, "k1", 410),
            ("DELETE", "/keyed/" + _ID, "k1", 410),
            ("POST", "/keyed/" + _ID, "k1", 200),
            ("POST", "/keyed/short", "k1", 400),
        ]
        for method, path, key, status in calls:
            reply = await self.vm.call(method, path, key, _JOB)
            self.assertEqual(reply.status, status, (method, path, key))

    async def test_job_is_unknown_once_its_queue_is_opened_or_closed(
        self,
    ) -> None:
        await self.vm.call("POST", "/keyed/" + _ID, "k1", _SERVING_JOB)
        await self.vm.call("POST", "/open/" + _OTHER_ID, body=_SERVING_JOB)
        reply = await self.vm.call("GET", "/open/" + _ID)
        self.assertEqual(reply.status, 410)
        changed = entry_vm.config(5, ["k1"])
        for route in changed["routes"]:
            route["public"] = not route["public"]
        self.platform.write("keyed.op", "config", changed)
        await self.until(lambda: self.vm.node.call_handler.config.version == 5)
        for path, key in (("/keyed/" + _ID, ""), ("/open/" + _OTHER_ID, "k1")):
            for method, body in (("POST", _SERVING_JOB), ("GET", None)):
                reply = await self.vm.call(method, path, key, body)
                self.assertEqual(reply.status, 200, (method, path))

    async def test_malformed_job_is_refused(self) -> None:
        bodies: list[typing.Any] = [
            {},
            {"workload": "t", "steps": []},
            {"workload": "t", "steps": [{"count": 1, "depends_on": [0]}]},
            {"workload": "t" * 5000, "steps": [{"count": 1}]},
            {"workload": "t" * 300_000, "steps": [{"count": 1}]},
        ]
        for body in bodies:
            reply = await self.vm.call("POST", "/open/" + _ID, body=body)
            self.assertEqual(reply.status, 400, body)

    async def test_withdrawn_key_is_refused(self) -> None:
        self.platform.write("keyed.op", "config", entry_vm.config(5, ["k2"]))
        await self.until(lambda: self.vm.node.call_handler.config.version == 5)
        reply = await self.vm.call("POST", "/keyed/" + _ID, "k1", _JOB)
        self.assertEqual(reply.status, 401)

    async def test_older_or_malformed_configuration_is_ignored(self) -> None:
        self.platform.write("keyed.op", "config", entry_vm.config(2, ["k9"]))
        self.platform.write("keyed.op", "config", b"garbage")
        await self.until(
            lambda: bool(self.vm.events("operator-record-unreadable"))
        )
        self.assertEqual(self.vm.node.call_handler.config.version, 3)

    async def test_restart_brings_back_no_key_and_no_worker(self) -> None:
        """A process that starts again knows what was withdrawn meanwhile."""
        await self.platform.add_worker("i-2", "pool")
        self.platform.write("keyed.op", "config", entry_vm.config(5, ["k2"]))
        self.platform.write("keyed.servers", "i-1", b"")
        await self.vm.stop()
        restarted = await self.start_vm("vm-1")
        reply = await restarted.call("POST", "/keyed/" + _ID, "k1", _JOB)
        self.assertEqual(reply.status, 401)
        reply = await restarted.call("POST", "/keyed/" + _ID, "k2", _JOB)
        self.assertEqual(reply.status, 200)
        await self._until_state(
            restarted, "/keyed/" + _ID, "completed", key="k2"
        )
        self.assertEqual(self.platform.workers["i-1"].history, [])
        self.assertEqual(len(self.platform.workers["i-2"].history), 4)

    async def test_record_that_causes_an_error_stops_no_later_one(
        self,
    ) -> None:
        original = configuration.create_configuration
        broken = [True]

        def _create(*arguments: typing.Any) -> configuration.Configuration:
            if broken.pop() if broken else False:
                raise RuntimeError("broken on purpose")
            return original(*arguments)

        with mock.patch.object(configuration, "create_configuration", _create):
            for version in (4, 5):
                content = entry_vm.config(version, ["k1"])
                self.platform.write("keyed.op", "config", content)
                await asyncio.sleep(0.1)
            await self.until(
                lambda: self.vm.node.call_handler.config.version == 5
            )
        (line,) = self.vm.events("record-not-applied")
        self.assertEqual(line["stream"], "operators")

    async def test_key_is_refused_while_the_configuration_is_too_old(
        self,
    ) -> None:
        self.platform.task_duration_s = 1000.0
        vm = await self.start_vm("vm-2", key_age_s=2.5)
        await vm.call("POST", "/keyed/" + _ID, "k1", _SERVING_JOB)
        await self._until_state(vm, "/keyed/" + _ID, "running", "k1")
        self.platform.is_away = True
        async with asyncio.timeout(self.timeout_s):
            # The state of a known job is served until the configuration is too
            # old.
            while True:
                reply = await vm.call("GET", "/keyed/" + _ID, "k1")
                if reply.status != 200:
                    break
                await asyncio.sleep(0.05)
        self.assertEqual((reply.status, reply.retry_after), (503, "1"))
        line = vm.events("call")[-1]
        self.assertEqual(line["detail"], "configuration-too-old")
        self.assertGreater(line["config_age_s"], 1.6)
        self.assertFalse(vm.node.is_ready)
        self.platform.is_away = False
        await self.until(lambda: vm.node.is_ready)
        await self._until_state(vm, "/keyed/" + _ID, "running", "k1")

    def _lost_streams(self) -> set[str]:
        return {line["stream"] for line in self.vm.events("stream-lost")}

    async def test_unknown_job_gets_503_while_the_journal_is_unavailable(
        self,
    ) -> None:
        self.platform.is_away = True
        await self.until(lambda: bool(self.vm.events("stream-lost")))
        reply = await self.vm.call("GET", "/open/" + _ID)
        self.assertEqual((reply.status, reply.retry_after), (503, "1"))

    async def test_refused_append_gets_503(self) -> None:
        await self.until(lambda: bool(self.vm.events("ownership-taken")))
        self.platform.is_away = True
        reply = await self.vm.call("POST", "/open/" + _ID, body=_JOB)
        self.assertEqual((reply.status, reply.retry_after), (503, "1"))

    async def test_vm_without_the_store_refuses_calls_at_once(self) -> None:
        await self.until(lambda: bool(self.vm.events("ownership-taken")))
        self.platform.is_silent = True
        await self.until(lambda: "journal" in self._lost_streams())
        began_s = asyncio.get_running_loop().time()
        reply = await self.vm.call("POST", "/open/" + _ID, body=_JOB)
        took_s = asyncio.get_running_loop().time() - began_s
        self.assertEqual((reply.status, reply.retry_after), (503, "1"))
        # Well below the timeout of a call to the store.
        self.assertLess(took_s, 0.5)
        self.assertFalse(self.vm.node.is_ready)
        self.platform.is_silent = False
        await self.until(lambda: self.vm.node.is_ready)

    async def test_job_runs_once_after_a_lost_append_answer(self) -> None:
        self.platform.lost_answers = 1
        reply = await self.vm.call("POST", "/open/" + _ID, body=_JOB)
        self.assertIn(reply.status, (200, 504))
        await self._until_state(self.vm, "/open/" + _ID, "completed")
        self.assertEqual(len(self.platform.workers["i-1"].history), 4)

    async def test_cancelled_job_is_stopped(self) -> None:
        self.platform.task_duration_s = 1000.0
        await self.vm.call("POST", "/open/" + _ID, body=_SERVING_JOB)
        worker = self.platform.workers["i-1"]
        await self.until(lambda: len(worker.running) == 2)
        reply = await self.vm.call("DELETE", "/open/" + _ID)
        self.assertEqual(reply.status, 200)
        await self.until(lambda: not worker.running)
        await self._until_state(self.vm, "/open/" + _ID, "cancelled")

    async def test_failing_job_ends_as_failed(self) -> None:
        worker = self.platform.workers["i-1"]
        original = worker.start

        def _start(order: typing.Any, *rest: typing.Any) -> typing.Any:
            worker.failing.add(order.task)
            return original(order, *rest)

        worker.start = _start  # type: ignore[method-assign,assignment]
        await self.vm.call("POST", "/open/" + _ID, body=_JOB)
        await self._until_state(self.vm, "/open/" + _ID, "failed")
        runs = [run.number for run in worker.history if run.task.number == 0]
        self.assertLessEqual(max(runs), 2)

    async def test_waiting_jobs_are_counted(self) -> None:
        huge = {"workload": "t", "steps": [{"count": 1, "cpu": 10**6}]}
        await self.vm.call("POST", "/open/" + _ID, body=huge)
        reply = await self.vm.call("GET", "/open/")
        await self._until_state(self.vm, "/open/" + _ID, "queued")
        reply = await self.vm.call("GET", "/open/")
        self.assertEqual(reply.body, {"waiting": 1})

    async def test_another_vm_takes_over(self) -> None:
        self.platform.task_duration_s = 1000.0
        await self.vm.call("POST", "/open/" + _ID, body=_SERVING_JOB)
        worker = self.platform.workers["i-1"]
        await self.until(lambda: len(worker.running) == 2)
        other = await self.start_vm("vm-2")
        await self.vm.node.close()
        await self.until(lambda: bool(other.events("ownership-taken")))
        await self.until(lambda: worker.epoch == 2)
        await asyncio.sleep(1.0)
        self.assertEqual(len(worker.history), 2)
        self.assertEqual(len(worker.running), 2)
        await self._until_state(other, "/open/" + _ID, "running")

    async def test_job_of_a_withdrawn_queue_is_lost_after_a_takeover(
        self,
    ) -> None:
        self.platform.task_duration_s = 1000.0
        await self.vm.call("POST", "/open/" + _ID, body=_SERVING_JOB)
        worker = self.platform.workers["i-1"]
        await self.until(lambda: len(worker.running) == 2)
        withdrawn = entry_vm.config(5, ["k1"])
        del withdrawn["routes"][0]
        self.platform.write("keyed.op", "config", withdrawn)
        other = await self.start_vm("vm-2")
        await self.vm.node.close()
        await self.until(lambda: worker.epoch == 2)
        for run in worker.running.values():
            run.duration_s = 0.0
        await self.until(lambda: len(worker.history) == 4)
        self.assertEqual(len(worker.running), 2)
        self.assertEqual(other.node.call_handler.config.version, 5)

    async def test_owner_knows_jobs_that_its_stream_had_not_shown_yet(
        self,
    ) -> None:
        """The new owner's submissions lag behind its journal."""
        self.platform.task_duration_s = 1000.0
        other = await self.start_vm("vm-2")
        # pylint: disable-next=protected-access
        stream = other.node._submission_follower._stream
        original = stream.read

        async def _read_late(
            offset: int, wait_s: float
        ) -> interfaces.StreamPage:
            if wait_s:
                await asyncio.sleep(1000.0)
            return await original(offset, wait_s)

        with mock.patch.object(stream, "read", _read_late):
            # The reads in flight end before the job is submitted.
            await asyncio.sleep(1.0)
            await self.vm.call("POST", "/open/" + _ID, body=_SERVING_JOB)
            worker = self.platform.workers["i-1"]
            await self.until(lambda: len(worker.running) == 2)
            await self.vm.node.close()
            await self.until(lambda: bool(other.events("ownership-taken")))
            (taken,) = other.events("ownership-taken")
            self.assertEqual(taken["jobs"], 1)
            await self.until(lambda: worker.epoch == 2)
        self.assertEqual(other.events("run-not-expected"), [])
        self.assertEqual(len(worker.running), 2)

    async def test_released_ownership_is_claimed_by_another_vm(self) -> None:
        await self.until(lambda: bool(self.vm.events("ownership-taken")))
        other = await self.start_vm("vm-2")
        await self.vm.node.release_ownership(2.0)
        await self.until(lambda: bool(other.events("ownership-taken")))
        claim = other.events("ownership-claimed")[0]
        self.assertEqual(claim["reason"], "released by its owner")

    async def test_internal_error_is_logged_and_the_owner_restarts(
        self,
    ) -> None:
        await self.until(lambda: bool(self.vm.events("ownership-taken")))
        original = engine.Engine.plan
        broken = [True]

        def _plan(
            self: engine.Engine, now_s: float, max_starts: int | None
        ) -> None:
            if broken.pop() if broken else False:
                raise RuntimeError("broken on purpose")
            original(self, now_s, max_starts)

        with mock.patch.object(engine.Engine, "plan", _plan):
            await self.vm.call("POST", "/open/" + _ID, body=_JOB)
            await self._until_state(self.vm, "/open/" + _ID, "completed")
        (error,) = self.vm.events("internal-error")
        self.assertIn("broken on purpose", error["error"])
        self.assertEqual(len(self.vm.events("ownership-taken")), 2)

    async def test_expired_journal_is_read_by_newest_records(self) -> None:
        await self.vm.call("POST", "/open/" + _ID, body=_JOB)
        await self._until_state(self.vm, "/open/" + _ID, "completed")
        for topic in self.platform.topics.values():
            topic.expire()
        other = await self.start_vm("vm-2")
        reply = await other.call("GET", "/open/" + _ID)
        self.assertEqual(reply.body, {"state": "completed"})

    async def test_tasks_run_again_after_a_worker_restarts(self) -> None:
        self.platform.task_duration_s = 1000.0
        await self.vm.call("POST", "/open/" + _ID, body=_SERVING_JOB)
        worker = self.platform.workers["i-1"]
        await self.until(lambda: len(worker.running) == 2)
        await self._restart_worker(worker)
        new = self.platform.workers["i-1"]
        await self.until(lambda: len(new.running) == 2)
        self.assertEqual({run.number for run in new.history}, {2})

    async def _restart_worker(self, worker: typing.Any) -> None:
        entry = worker.entry._replace(started_ms=worker.entry.started_ms + 5)
        self.platform.workers["i-1"] = type(worker)(entry, 0.0, 0.0)
        self.platform.write(
            "keyed.servers", "i-1", self.platform.registration("i-1")
        )

    async def test_wave_is_executed_and_reported(self) -> None:
        self.platform.vms = [
            {
                "machine": f"m-{number}",
                "pool": "spare",
                "state": "up",
                "zone": "z",
                "labels": ["a"],
                "capacity": {"cpu": 4000, "mem_mb": 1024, "gpu": 0},
                "id": None,
            }
            for number in range(3)
        ]
        wave = {
            "wave": 7,
            "machines": ["m-0", "m-1", "m-9"],
            "complete_by_s": 20,
            "cap": 1,
        }
        self.platform.write("keyed.op", "wave/7", wave)
        await self.until(
            lambda: self.platform.newest("keyed.status", "wave/7")
            == b'{"wave":7,"state":"completed"}'
        )
        vms = [body["machine"] for _, body, _ in self.platform.vm_calls]
        self.assertEqual(sorted(vms), ["m-0", "m-1"])
