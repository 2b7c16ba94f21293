"""A work unit crashes each runner that starts it, after some seconds of work."""

import asyncio

from review.lib import cases

_RUNNERS = [f"i-{number}" for number in range(6)]
_LENGTH_S = 80.0
_BACK_AFTER_S = 3.0
_DIES_MS = 4500
_STEP = {"count": 1, "cpu": 4000, "mem_mb": 1000, "estimate_ms": 6000}

# The rule: so many starts more, after so many runners have crashed.
_CRASHES = 3
_STARTS_MORE = 3


async def _keep_up(scene, runner_id):
    """Starts a runner again some seconds after each crash."""
    while True:
        await scene.runners[runner_id].wait()
        scene.note("runner-crashed", runner=runner_id)
        await asyncio.sleep(_BACK_AFTER_S)
        await scene.start_runner(runner_id)


def _starts_beyond(scene):
    """Returns the starts after the third crash under the work unit."""
    crashes, beyond = 0, []
    for event in sorted(scene.runs(), key=lambda each: each["at"]):
        crashes += event["event"] == "crash"
        if event["event"] == "start" and crashes >= _CRASHES:
            beyond.append(event)
    return beyond


async def _play(scene):
    await scene.start()
    for runner_id in _RUNNERS:
        await scene.start_runner(runner_id)
    await scene.until_served(_RUNNERS)
    keepers = [asyncio.ensure_future(_keep_up(scene, r)) for r in _RUNNERS]
    await asyncio.sleep(3.0)
    workload = "ms=6000" + (f" dies={_DIES_MS}" if cases.TROUBLE else "")
    job = await scene.submit(workload, [_STEP])
    unfinished = await scene.until_finished([job] if job else [], _LENGTH_S)
    state = await scene.state(job) if job else None
    for keeper in keepers:
        keeper.cancel()
    beyond = _starts_beyond(scene)
    for start in beyond:
        scene.note("BUDGET", start=start)
    scene.note("summary", job=job, state=state, beyond=len(beyond))
    print(f"state {state}, {len(beyond)} starts after three crashes")
    if job is None or not scene.runs():
        return cases.NOT_RUN
    return cases.BROKEN if len(beyond) >= _STARTS_MORE else cases.HELD


if __name__ == "__main__":
    cases.main(__file__, _play)
