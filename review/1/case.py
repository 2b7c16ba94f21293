"""A runner crashes while it is cut off the store, and is back under its id."""

import asyncio
import time

from review.lib import cases

_RUNNERS = [f"i-{number}" for number in range(6)]

# Each job fits on one runner.
_JOBS = 5
_JOB_INTERVAL_S = 5.0
_STEP = {"count": 8, "cpu": 2000, "mem_mb": 1000, "estimate_ms": 2500}
_WORKLOAD = "ms=2500"

# Jobs after whose work a runner has its trouble, and when that is.
_TROUBLED_JOBS = (0, 2)
_IDLE_AFTER_S = 3.5

_CUT_S = 5.0
_DOWN_S = 0.5


async def _trouble(scene, runner_id):
    """Cuts a runner off the store; it crashes and starts again meanwhile."""
    scene.note("cut-begins", runner=runner_id)
    scene.store.cut.add(runner_id)
    await scene.kill_runner(runner_id)
    await asyncio.sleep(_DOWN_S)
    await scene.start_runner(runner_id)
    await scene.until_served([runner_id])
    await asyncio.sleep(_CUT_S - _DOWN_S)
    scene.store.cut.discard(runner_id)
    scene.note("cut-ends", runner=runner_id)


def _last_runner(scene):
    """Returns the runner that a work unit was last started on."""
    starts = [each for each in scene.runs() if each["event"] == "start"]
    return max(starts, key=lambda each: each["at"])["runner"]


async def _play(scene):
    await scene.start()
    for runner_id in _RUNNERS:
        await scene.start_runner(runner_id)
    await scene.until_served(_RUNNERS)
    await asyncio.sleep(3.0)
    jobs, troubles, kills = [], [], []
    for number in range(_JOBS):
        began_s = time.monotonic()
        jobs.append(await scene.submit(_WORKLOAD, [_STEP]))
        await asyncio.sleep(_IDLE_AFTER_S)
        if cases.TROUBLE and number in _TROUBLED_JOBS:
            # The one that has had the work; it has none by now.
            runner_id = _last_runner(scene)
            kills.append((time.time(), runner_id))
            troubles.append(asyncio.ensure_future(_trouble(scene, runner_id)))
        left_s = began_s + _JOB_INTERVAL_S - time.monotonic()
        await asyncio.sleep(max(0.0, left_s))
    await asyncio.gather(*troubles)
    await scene.until_finished([job for job in jobs if job], 20.0)
    return cases.judge_twice(scene, jobs, kills)


if __name__ == "__main__":
    cases.main(__file__, _play)
