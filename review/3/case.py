"""The store is partly down while runners crash and are back under their ids."""

import asyncio
import time

from review.lib import cases

_RUNNERS = [f"i-{number}" for number in range(6)]
_RACK = _RUNNERS[:4]

_LENGTH_S = 56.0
_JOB_INTERVAL_S = 0.4
_STEP = {"count": 60, "cpu": 800, "mem_mb": 500, "estimate_ms": 500}
_WORKLOAD = "ms=200-800"

_TROUBLE_AT_S = (9.0, 21.0, 33.0, 45.0)
_STORE_DOWN_S = 4.5
_CRASH_AFTER_S = 0.5
_RUNNERS_DOWN_S = 1.5


async def _store_down(scene):
    """The partition with the owner's records answers nothing for a while."""
    scene.note("store-partly-down", topic="keyed.journal")
    scene.store.silent.add("keyed.journal")
    await asyncio.sleep(_STORE_DOWN_S)
    scene.store.silent.discard("keyed.journal")
    scene.note("store-up")


async def _rack_crashes(scene, kills):
    """All runners of one rack crash, and start again under their ids."""
    await asyncio.sleep(_CRASH_AFTER_S)
    for runner_id in _RACK:
        kills.append((time.time(), runner_id))
        await scene.kill_runner(runner_id)
    await asyncio.sleep(_RUNNERS_DOWN_S)
    for runner_id in _RACK:
        await scene.start_runner(runner_id)


async def _submit(scene, jobs):
    jobs.append(await scene.submit(_WORKLOAD, [_STEP], tries=12))


async def _play(scene):
    await scene.start()
    for runner_id in _RUNNERS:
        await scene.start_runner(runner_id)
    await scene.until_served(_RUNNERS)
    await asyncio.sleep(3.0)
    jobs, kills, tasks = [], [], []
    due_s = list(_TROUBLE_AT_S) if cases.TROUBLE else []
    began_s = time.monotonic()
    while (elapsed_s := time.monotonic() - began_s) < _LENGTH_S:
        if due_s and elapsed_s >= due_s[0]:
            del due_s[0]
            tasks.append(asyncio.ensure_future(_store_down(scene)))
            tasks.append(asyncio.ensure_future(_rack_crashes(scene, kills)))
        tasks.append(asyncio.ensure_future(_submit(scene, jobs)))
        await asyncio.sleep(_JOB_INTERVAL_S)
    await asyncio.gather(*tasks)
    await scene.until_finished([job for job in jobs if job], 20.0)
    return cases.judge_twice(scene, jobs, kills)


if __name__ == "__main__":
    cases.main(__file__, _play)
