"""Jobs of many steps come among small ones, and no job runs any more."""

import asyncio
import pathlib

from review.lib2 import config as configs
from review.lib2 import deployment as deployments

_RUNNERS = 3
_SMALL_JOBS_BEFORE = 4
_SMALL_JOBS_AFTER = 12
_PAUSE_S = 1.0
_WORK_S = 1.0

# Large jobs that come at once: each has many steps of one work unit, none of
# which depends on another.
_LARGE_JOBS = 3
_LARGE_STEPS = 300

_FINISH_S = 14.0

# Length of the span without a run that the rule allows, and of the one that
# is looked at.
_ALLOWED_IDLE_S = 3.0
_WATCH_S = 12.0


async def _case(deployment: deployments.Deployment) -> list[str]:
    record = deployment.record
    for number in range(_RUNNERS):
        await deployment.add_runner(f"i-{number:08x}", "desk")
    for runner in deployment.runners.values():
        runner.duration_s = lambda *_: _WORK_S
    await deployment.start(3, configs.config([configs.route("desk", "desk")]))
    accepted = []
    for number in range(_SMALL_JOBS_BEFORE):
        accepted += await _submit(deployment, number, 1)
        await asyncio.sleep(_PAUSE_S)
    if deployments.is_troubled():
        for number in range(_LARGE_JOBS):
            accepted += await _submit(
                deployment, 0xF000 + number, _LARGE_STEPS
            )
    for number in range(_SMALL_JOBS_AFTER):
        accepted += await _submit(deployment, 0x100 + number, 1)
        await asyncio.sleep(_PAUSE_S)
    record.write("traffic-ended", accepted=len(accepted))
    await asyncio.sleep(_FINISH_S)
    watched_s = record.now_s()
    states = await _states(deployment, accepted)
    await asyncio.sleep(_WATCH_S)
    last_s = max(
        (
            run.ended_s or record.now_s()
            for runner in deployment.runners.values()
            for run in runner.history
        ),
        default=0.0,
    )
    idle_s = record.now_s() - max(watched_s, last_s)
    waiting = [
        job_id
        for job_id, before, now in zip(
            accepted, states, await _states(deployment, accepted)
        )
        if before == now and now in ("queued", "running")
    ]
    record.write(
        "at-the-end", accepted=len(accepted), without_end=len(waiting),
        idle_s=round(idle_s, 1), refused=dict(deployment.store.refused),
    )
    if not waiting or idle_s <= _ALLOWED_IDLE_S:
        return []
    return [
        f"LOST: {len(waiting)} of {len(accepted)} accepted jobs have work left, "
        f"all runners are free, and nothing has run for {idle_s:.0f} s"
    ]


async def _submit(
    deployment: deployments.Deployment, number: int, steps: int
) -> list[str]:
    """Hands a job in; returns its id if it was accepted."""
    job_id = f"{number:016x}"
    step = {"count": 1, "cpu": 2000, "mem_mb": 64, "estimate_ms": 1000}
    vm = deployment.vms[number % len(deployment.vms)]
    body = {"workload": "text", "steps": [step] * steps}
    reply = await deployment.call(vm, "POST", f"/desk/{job_id}", body)
    return [job_id] if reply.status == 200 else []


async def _states(
    deployment: deployments.Deployment, job_ids: list[str]
) -> list[str]:
    """Returns the states of jobs."""
    return await asyncio.gather(
        *(_state(deployment, job_id) for job_id in job_ids)
    )


async def _state(deployment: deployments.Deployment, job_id: str) -> str:
    """Returns the state of a job, from the first VM that tells it."""
    for vm in deployment.vms:
        reply = await deployment.call(vm, "GET", f"/desk/{job_id}")
        if reply.status == 200:
            return str(reply.body["state"])
    return ""


if __name__ == "__main__":
    deployments.main(_case, str(pathlib.Path(__file__).parent))
