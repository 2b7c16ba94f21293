"""More than 500 ends are kept by a runner while the leader is restarted."""

import asyncio
import pathlib
import signal

from review.lib2 import config as configs
from review.lib2 import deployment as deployments

_JOBS = 15
_UNITS = 90
_FIRST_END_S = 16.0
_SPREAD_S = 1.2
_WATCH_S = 16.0


async def _case(deployment: deployments.Deployment) -> list[str]:
    record = deployment.record
    runner = await deployment.add_runner("i-1a2b3c4d", "desk")
    await deployment.start(3, configs.config([configs.route("desk", "desk")]))
    began_s = record.now_s()

    def _duration_s(unit: str, run: int, workload: str) -> float:
        # The units work until a given time; their ends are 1.2 s apart at most.
        del run, workload
        job, _, _, index = unit.split(".")
        share = (int(job, 16) * _UNITS + int(index)) / (_JOBS * _UNITS)
        ends_s = began_s + _FIRST_END_S + _SPREAD_S * share
        return max(1.0, ends_s - record.now_s())

    runner.duration_s = _duration_s
    for number in range(_JOBS):
        step = {"count": _UNITS, "cpu": 10, "mem_mb": 16, "estimate_ms": 12000}
        vm = deployment.vms[number % len(deployment.vms)]
        body = {"workload": "text", "steps": [step]}
        reply = await deployment.call(vm, "POST", f"/desk/{number:016x}", body)
        if reply.status != 200:
            raise RuntimeError(f"job {number} was answered {reply.status}")
        await asyncio.sleep(0.6)
    wait_s = began_s + _FIRST_END_S - 0.3 - record.now_s()
    if wait_s <= 0 or len(runner.history) < _JOBS * _UNITS:
        raise RuntimeError("the work units did not start in time")
    await asyncio.sleep(wait_s)
    record.write("all-started", runs=len(runner.running))
    if deployments.is_troubled():
        deployment.leader().signal(signal.SIGKILL)
    await asyncio.sleep(_WATCH_S)
    return _twice(deployment)


def _twice(deployment: deployments.Deployment) -> list[str]:
    """Returns the starts after an end `done` that is taken note of."""
    done: dict[str, float] = {}
    for runner in deployment.runners.values():
        for end in runner.ends:
            if end.run.how == "done" and end.noted_s is not None:
                if not end.has_lapsed:
                    ended_s = end.run.ended_s or 0.0
                    unit = end.run.unit
                    done[unit] = min(ended_s, done.get(unit, ended_s))
    again = [
        run
        for runner in deployment.runners.values()
        for run in runner.history
        if run.began_s > done.get(run.unit, float("inf"))
    ]
    if not again:
        return []
    first = again[0]
    return [
        f"TWICE: {len(again)} starts after their work unit had ended done, "
        f"the first: {first.unit} run {first.number}"
    ]


if __name__ == "__main__":
    deployments.main(_case, str(pathlib.Path(__file__).parent))
