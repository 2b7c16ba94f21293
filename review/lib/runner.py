"""Stand-in of a runner: one process, one boot.

It follows the users' protocol for runners. Its arguments are a JSON object:
`id`, `port`, `store` (address), `service`, `zone`, `labels`, `cpu`, `mem_mb`,
`beat_s`, `log` (file to which it appends what happens) and `first_beat`
(whether it writes its entry at once).

The workload of a job says how long its work units take: `ms=NUMBER`, or
`ms=LEAST-MOST` for a time of its own for each of them. With `dies=NUMBER` the
runner crashes under each of them after that time.
"""

import asyncio
import json
import os
import random
import sys
import time

import aiohttp
from aiohttp import web

_HOLD_MAX_MS = 6000
_STOP_S = 0.05
_FULL_PERCENT = 100


class Runner:
    """One boot of a runner."""

    def __init__(self, options):
        self._options = options
        self._id = options["id"]
        self._began_s = time.monotonic()
        self._born = int(time.time() * 1000)
        self._log_file = open(options["log"], "a", buffering=1)
        self._fence = 0
        self._until_ms = 0
        self._runs = {}
        self._closed = {}
        self._ends = []
        self._end_count = 0
        self._changed = asyncio.Event()
        self._sequence = 0

    async def run(self):
        """Serves until the process is ended."""
        server = web.ServerRunner(web.Server(self._serve, access_log=None))
        await server.setup()
        site = web.TCPSite(
            server,
            "127.0.0.1",
            self._options["port"],
            backlog=256,
            reuse_address=True,
        )
        await site.start()
        self._log("boot")
        asyncio.ensure_future(self._expire())
        await self._beat()

    def _log(self, event, **fields):
        line = {
            "at": round(time.time(), 4),
            "runner": self._id,
            "born": self._born,
            "event": event,
            **fields,
        }
        self._log_file.write(json.dumps(line) + "\n")

    def _clock_ms(self):
        return int((time.monotonic() - self._began_s) * 1000) + 1

    async def _beat(self):
        url = f"http://{self._options['store']}/beat/{self._id}"
        async with aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=0.5)
        ) as session:
            while True:
                self._sequence += 1
                try:
                    async with session.post(url, json=self._entry()):
                        pass
                except (aiohttp.ClientError, TimeoutError):
                    pass
                await asyncio.sleep(self._options["beat_s"])

    def _entry(self):
        return {
            "service": self._options["service"],
            "address": f"127.0.0.1:{self._options['port']}",
            "zone": self._options["zone"],
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "capacity": {
                "cpu": self._options["cpu"],
                "mem_mb": self._options["mem_mb"],
                "gpu": 0,
            },
            "labels": self._options["labels"],
            "clock_ms": self._clock_ms(),
            "sequence": self._sequence,
            "born": self._born,
        }

    async def _serve(self, request):
        if request.path == "/health":
            return web.Response(headers={"X-Instance-Id": self._id})
        if request.headers.get("X-Expect-Instance", self._id) != self._id:
            return web.Response(status=421)
        body = json.loads(await request.read())
        if body.get("fence", 0) < self._fence:
            return self._refusal("fence")
        self._fence = body.get("fence", 0)
        if request.path == "/-/run-start":
            return self._start(body)
        if request.path == "/-/run-stop":
            return self._stop(body)
        if request.path == "/-/hold":
            return await self._hold(body)
        return self._answer({})

    def _answer(self, fields, status=200):
        return web.json_response(
            {"clock_ms": self._clock_ms(), "born": self._born, **fields},
            status=status,
        )

    def _refusal(self, reason):
        return self._answer({"reason": reason}, 409)

    def _extend(self, until_ms):
        longest_ms = self._clock_ms() + _HOLD_MAX_MS
        self._until_ms = max(self._until_ms, min(until_ms, longest_ms))

    def _start(self, body):
        task, run = body["task"], body["run"]
        if body["until_ms"] <= self._clock_ms():
            return self._refusal("late")
        if (task, run) in self._runs:
            return self._answer({})
        self._extend(body["until_ms"])
        if run <= self._closed.get(task, 0):
            return self._refusal("old")
        self._log(
            "start",
            task=task,
            run=run,
            fence=body["fence"],
            saved=body.get("saved", ""),
            workload=body["workload"],
        )
        work = asyncio.ensure_future(self._work(task, run, body["workload"]))
        self._runs[task, run] = work
        return self._answer({})

    async def _work(self, task, run, workload):
        words = dict(word.split("=") for word in workload.split())
        if "dies" in words:
            await asyncio.sleep(int(words["dies"]) / 1000)
            self._log("crash", task=task, run=run)
            os._exit(1)
        await asyncio.sleep(_duration_s(words["ms"], task))
        failing = int(words.get("fails", 0))
        self._end(task, run, "failed" if run <= failing else "done")

    def _end(self, task, run, how):
        del self._runs[task, run]
        self._closed[task] = max(run, self._closed.get(task, 0))
        self._end_count += 1
        self._ends.append([self._end_count, task, run, how, ""])
        self._log("end", task=task, run=run, how=how, number=self._end_count)
        self._changed.set()
        self._changed = asyncio.Event()

    def _stop(self, body):
        task, run = body["task"], body["run"]
        self._log("stop", task=task, run=run)
        self._closed[task] = max(run, self._closed.get(task, 0))
        work = self._runs.get((task, run))
        if work is not None:
            work.cancel()
            asyncio.get_running_loop().call_later(
                _STOP_S, self._end_if_there, task, run, "stopped"
            )
        return self._answer({})

    def _end_if_there(self, task, run, how):
        if (task, run) in self._runs:
            self._end(task, run, how)

    async def _expire(self):
        while True:
            await asyncio.sleep(0.02)
            if self._runs and self._clock_ms() >= self._until_ms:
                for (task, run), work in list(self._runs.items()):
                    work.cancel()
                    self._end(task, run, "lapsed")

    async def _hold(self, body):
        last_seen = body["last_seen"]
        forgotten = [end[0] for end in self._ends if end[0] <= last_seen]
        self._ends = [end for end in self._ends if end[0] > last_seen]
        if forgotten:
            self._log("forgotten", numbers=forgotten, last_seen=last_seen)
        if "until_ms" in body:
            self._extend(body["until_ms"])
        deadline_s = time.monotonic() + body.get("wait_ms", 0) / 1000
        while not self._ends and (left_s := deadline_s - time.monotonic()) > 0:
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                break
        running = [
            [task, run, "", _FULL_PERCENT, 100] for task, run in self._runs
        ]
        return self._answer({"running": running, "ended": self._ends[:500]})


def _duration_s(text, task):
    least, _, most = text.partition("-")
    chosen = random.Random(task).randint(int(least), int(most or least))
    return chosen / 1000


if __name__ == "__main__":
    asyncio.run(Runner(json.loads(sys.argv[1])).run())
