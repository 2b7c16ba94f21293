"""The owner is restarted during a wave of upkeep while the store is slow."""

import asyncio
import signal
import time

from review.lib import cases

_MACHINES = 6
_SLOW_X = 60
_SLOW_S = 4.5
_UPKEEP_S = 2.0
_NOTICE_S = 4.5
_MAY_MISS = 1
_CAP = 2


class Upkeep:
    """Machines of the installation, and the upkeep of each."""

    def __init__(self, scene):
        self._scene = scene
        self._tasks = []
        self.begun = []

    async def start(self):
        """Starts a runner on each machine."""
        for number in range(_MACHINES):
            await self._start_life(number, 1)
        await self._scene.until_served([f"i-{n}-1" for n in range(_MACHINES)])

    async def _start_life(self, number, life):
        runner_id = f"i-{number}-{life}"
        await self._scene.start_runner(runner_id, cpu=16000)
        self._scene.store.machines[f"m-{number}"] = {
            "machine": f"m-{number}",
            "pool": "service-1",
            "state": "up",
            "zone": "zone-a",
            "labels": ["a", f"r-{number // 4}"],
            "capacity": {"cpu": 16000, "mem_mb": 65536, "gpu": 0},
            "id": runner_id,
        }

    def begin(self, machine):
        """Begins the upkeep of a machine: its runner ends at once."""
        row = self._scene.store.machines[machine]
        row["state"] = "upkeep"
        runner_id, row["id"] = row["id"], ""
        self.begun.append((time.time(), runner_id))
        self._scene.runners[runner_id].send_signal(signal.SIGKILL)
        self._tasks.append(asyncio.ensure_future(self._finish(machine)))

    async def _finish(self, machine):
        await asyncio.sleep(_UPKEEP_S)
        number = int(machine.split("-")[1])
        lives = sum(1 for _, each in self.begun if each.startswith(f"i-{number}-"))
        await self._start_life(number, lives + 1)


def _violations(scene, begun):
    """Returns the ends of work units by upkeeps that `may_miss` excludes."""
    runs = []
    found = {}
    for event in sorted(scene.runs(), key=lambda each: each["at"]):
        key = event["runner"], event.get("task"), event.get("run")
        if event["event"] == "start":
            found[key] = {
                "task": event["task"],
                "runner": event["runner"],
                "start": event["at"],
                "end": float("inf"),
                "by_order": False,
            }
            runs.append(found[key])
        elif event["event"] == "end":
            found[key]["end"] = event["at"]
            found[key]["by_order"] = event["how"] == "stopped"
    for at, runner_id in begun:
        for run in runs:
            if run["runner"] == runner_id and run["start"] <= at < run["end"]:
                run["end"], run["by_order"] = at, True
    tasks = {run["task"] for run in runs}
    violations = []
    for at, runner_id in begun:
        for run in runs:
            if run["runner"] != runner_id or run["end"] != at:
                continue
            away = [
                task
                for task in tasks
                if task != run["task"]
                and _step_of(task) == _step_of(run["task"])
                and _is_away(task, runs, at)
            ]
            if len(away) >= _MAY_MISS:
                violations.append((run, away))
    return violations


def _step_of(task):
    return task.rsplit(".", 1)[0]


def _is_away(task, runs, at):
    """Returns whether a work unit was away at a time."""
    mine = [run for run in runs if run["task"] == task and run["start"] <= at]
    if any(at < run["end"] for run in mine):
        return False
    last = max(mine, key=lambda run: run["end"], default=None)
    if last is None:
        return False
    return last["by_order"] or at - last["end"] >= _NOTICE_S


async def _owner_of(scene):
    """Returns the entry VM that owns the work, by its metrics."""
    for name in scene.vms:
        if await scene.metric(name, "owns") == 1.0:
            return name
    raise RuntimeError("no entry VM owns")


async def _play(scene):
    upkeep = Upkeep(scene)
    scene.store.on_upkeep = upkeep.begin
    await scene.start()
    await upkeep.start()
    await asyncio.sleep(3.0)
    step = {
        "count": 6,
        "cpu": 9000,
        "mem_mb": 1000,
        "estimate_ms": 700,
        "persistent": True,
        "may_miss": _MAY_MISS,
        "max_per_server": 1,
    }
    job = await scene.submit("ms=100000000", [step])
    await asyncio.sleep(4.0)
    wave = {
        "wave": 1,
        "machines": [f"m-{number}" for number in range(3)],
        "complete_by_s": 26,
        "cap": _CAP,
    }
    scene.note("wave", **wave)
    scene.store.write("keyed.op", "wave/1", wave)
    await asyncio.sleep(3.0)
    owner = await _owner_of(scene)
    if cases.TROUBLE:
        scene.note("store-slow", times=_SLOW_X)
        scene.store.slow = _SLOW_X
    await asyncio.sleep(0.5)
    scene.signal_vm(owner, signal.SIGTERM)
    await asyncio.sleep(_SLOW_S - 0.5)
    scene.store.slow = 1
    scene.note("store-as-usual")
    await asyncio.sleep(10.0)
    violations = _violations(scene, upkeep.begun)
    for run, away in violations:
        scene.note("AVAIL", ended=run, away=away)
    scene.note(
        "summary", job=job, upkeeps=len(upkeep.begun), avail=len(violations)
    )
    print(f"{len(upkeep.begun)} upkeeps, {len(violations)} times AVAIL")
    if job is None or not scene.runs():
        return cases.NOT_RUN
    return cases.BROKEN if violations else cases.HELD


if __name__ == "__main__":
    cases.main(__file__, _play, fleet=True)
