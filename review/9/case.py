"""A job whose submission got no answer is cancelled, and runs all the same."""

import asyncio
import pathlib

from review.lib2 import config as configs
from review.lib2 import deployment as deployments
from review.lib2 import store as stores

# The disruption: a third of the writes get no answer for 4.5 s, and are done
# 6 s later.
_DISRUPTED_S = 4.5
_LATE_S = 6.0
_LOST_ONE_IN = 3

_JOBS = 18
_PAUSE_S = 0.25
_RETRY_S = 0.3
_CANCEL_MS = 3_000
_CONTACT_MS = 3_000
_WATCH_S = 14.0


class _LateStore:
    """Loses the answers of a part of the writes of submissions."""

    def __init__(self, deployment: deployments.Deployment) -> None:
        self._record = deployment.record
        self._until_s = float("-inf")
        self._writes = 0

    def begin(self) -> None:
        """Begins the disruption."""
        self._until_s = self._record.now_s() + _DISRUPTED_S
        self._record.write("disruption-begins")

    def late_s(self, append: stores.Append) -> float | None:
        """Returns after how long an append without an answer is executed."""
        if self._record.now_s() >= self._until_s:
            return None
        if append.topic != "keyed.submissions":
            return None
        self._writes += 1
        return _LATE_S if self._writes % _LOST_ONE_IN == 0 else None


async def _case(deployment: deployments.Deployment) -> list[str]:
    record = deployment.record
    for number in range(3):
        await deployment.add_runner(f"i-{number:08x}", "desk")
    await deployment.start(3, configs.config([configs.route("desk", "desk")]))
    late = _LateStore(deployment)
    deployment.store.late_s = late.late_s
    began_s = record.now_s()
    if deployments.is_troubled():
        late.begin()
    cancelled_s: dict[str, float] = {}
    clients = []
    for number in range(_JOBS):
        clients.append(
            asyncio.ensure_future(_client(deployment, number, cancelled_s))
        )
        await asyncio.sleep(_PAUSE_S)
    await asyncio.gather(*clients)
    await asyncio.sleep(_WATCH_S)
    in_touch_s = began_s + _DISRUPTED_S + _CONTACT_MS / 1000
    return _unasked(deployment, cancelled_s, in_touch_s)


async def _client(
    deployment: deployments.Deployment,
    number: int,
    cancelled_s: dict[str, float],
) -> None:
    """Hands a job in; a client that gets no answer in time gives it up."""
    job_id = f"{number + 1:016x}"
    path = f"/desk/{job_id}"
    vms = deployment.vms
    step = {"count": 2, "cpu": 500, "mem_mb": 64, "estimate_ms": 1000}
    body = {"workload": "text", "steps": [step]}
    reply = await deployment.call(vms[number % 3], "POST", path, body)
    if reply.status not in (0, 502, 504):
        return
    for attempt in range(1, 10):
        vm = vms[(number + attempt) % 3]
        reply = await deployment.call(vm, "DELETE", path)
        if reply.status in (200, 410):
            cancelled_s[job_id] = deployment.record.now_s()
            return
        await asyncio.sleep(_RETRY_S)


def _unasked(
    deployment: deployments.Deployment,
    cancelled_s: dict[str, float],
    in_touch_s: float,
) -> list[str]:
    """Returns the starts later than `cancel_ms` after an answered cancel."""
    late = [
        run
        for runner in deployment.runners.values()
        for run in runner.history
        if (job_id := run.unit.split(".")[0]) in cancelled_s
        and run.began_s > cancelled_s[job_id] + _CANCEL_MS / 1000
        and run.began_s > in_touch_s
    ]
    deployment.record.write(
        "at-the-end", cancelled=len(cancelled_s), late_starts=len(late)
    )
    if not late:
        return []
    run = late[0]
    job_id = run.unit.split(".")[0]
    return [
        f"UNASKED: {len(late)} work units began after their job's cancelling "
        f"was acknowledged; the first, {run.unit}, "
        f"{run.began_s - cancelled_s[job_id]:.1f} s after it"
    ]


if __name__ == "__main__":
    deployments.main(_case, str(pathlib.Path(__file__).parent))
