"""Tests that accepted jobs of very many steps don't exhaust an entry VM.

A real process, whose settings state less memory than a VM has, serves calls
and owns the fleet's work, so that it holds each job as view and as owner.
"""

import asyncio
import contextlib
import json
import typing
import unittest

import aiohttp

from foxtaillock.platform.tests import entry_process
from foxtaillock.platform.tests import platform_case

__all__ = ["RUNS_ALONE"]

RUNS_ALONE = True

_MEMORY_MB = 128
_GRACE_S = 4.0

# Bodies of 216 KB of steps that are all alike, and of 45 bytes with as many
# tasks as a job may have.
_CROWD = 40
_STEPS = 18_000
_TASKS = 20_000

_CROWD_TIMEOUT_S = 60.0
_OWNER_TIMEOUT_S = 20.0
_CALL_TIMEOUT_S = 20.0
_RETRY_INTERVAL_S = 0.2

_REFUSALS = (400, 429, 503)
_HEADERS = {"Host": "jobs.example"}


def _body(steps: list[dict[str, int]]) -> bytes:
    job = {"workload": "text", "steps": steps}
    return json.dumps(job, separators=(",", ":")).encode()


class LargeJobCrowdTest(platform_case.PlatformCase):
    """One process of an entry VM and one crowd of whole, legal bodies."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.process = await entry_process.start(
            self.platform, _GRACE_S, [f"limits.memory_mb={_MEMORY_MB}"]
        )
        self.addAsyncCleanup(self.process.end)
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)
        async with asyncio.timeout(_OWNER_TIMEOUT_S):
            while not await self._owns():
                await asyncio.sleep(_RETRY_INTERVAL_S)

    async def _owns(self) -> bool:
        url = f"http://127.0.0.1:{self.process.metrics_port}/metrics"
        async with self.session.get(url) as answer:
            return "foxtaillock_owns 1.0" in await answer.text()

    async def _call(
        self, method: str, number: int, body: bytes | None = None
    ) -> int:
        """Returns the status of an answer; 0 if there was none."""
        port = self.process.callers_port
        url = f"http://127.0.0.1:{port}/open/{number:016x}"
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with (
                asyncio.timeout(_CROWD_TIMEOUT_S),
                self.session.request(
                    method, url, headers=_HEADERS, data=body
                ) as answer,
            ):
                return answer.status
        return 0

    async def _is_ordinary_job_accepted(self) -> bool:
        body = _body([{"count": 1, "cpu": 500}])
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_CALL_TIMEOUT_S):
                while await self._call("POST", 1 << 60, body) != 200:
                    await asyncio.sleep(_RETRY_INTERVAL_S)
                return True
        return False

    async def _check_crowd(self, body: bytes) -> None:
        statuses = await asyncio.gather(
            *(self._call("POST", number, body) for number in range(_CROWD))
        )
        is_accepted = await self._is_ordinary_job_accepted()
        self.assertTrue(self.process.is_running)
        figures: dict[str, typing.Any] = {
            "VmHWM_kb": self.process.memory_kb("VmHWM"),
            "accepted": statuses.count(200),
            "statuses": sorted(set(statuses)),
        }
        self.assertLess(figures["VmHWM_kb"], _MEMORY_MB * 1024, figures)
        self.assertTrue(is_accepted, figures)
        self.assertGreater(figures["accepted"], 0, figures)
        refused = [
            number
            for number, status in enumerate(statuses)
            if status in _REFUSALS
        ]
        states = [await self._call("GET", number) for number in refused]
        self.assertEqual(states, [410] * len(refused), figures)

    async def test_jobs_of_many_steps_exhaust_memory(self) -> None:
        await self._check_crowd(_body([{"count": 1}] * _STEPS))

    async def test_small_bodies_of_many_tasks_exhaust_memory(self) -> None:
        await self._check_crowd(_body([{"count": _TASKS}]))


if __name__ == "__main__":
    unittest.main()
