"""Stand-in of the platform's store, with the service that lists machines.

Topics are kept in memory. Single partitions can be made silent: a request to
one gets no answer and has no effect. Runners write their entries through
`beat`, which is no part of the published protocol.
"""

import asyncio
import base64
import json
import struct
import time

from aiohttp import web

__all__ = ["Store"]

_APPEND_S = 0.002
_ANSWER_S = 0.004
_MISSED_BEATS = 3
_RECORD_BYTES = 262_144
_CALL_BYTES = 2_097_152


class Topic:
    """One partition of a topic, of which the newest record of a key counts."""

    def __init__(self):
        self.records = []
        self.epoch = -1
        self.sequence = -1
        self.answers = {}
        self.newest = {}
        self.lock = asyncio.Lock()
        self.changed = asyncio.Event()

    def add(self, content):
        """Appends one record."""
        length = content[0]
        key = content[1 : 1 + length].decode()
        value = content[1 + length :]
        if value:
            self.newest[key] = (len(self.records), value)
        else:
            self.newest.pop(key, None)
        self.records.append(content)

    def wake(self):
        """Wakes the reads that wait for a record."""
        self.changed.set()
        self.changed = asyncio.Event()


class Store:
    """The store of one installation.

    Attributes:
        address: `HOST:PORT` at which it listens.
        slow: how many times as long as usual its answers take.
        machines: machines by name, as listed; each with its `state`.
        on_upkeep: called with the name of each machine whose upkeep begins.
        silent: topics that answer nothing.
        cut: ids of runners whose entries don't reach the store.
        beat_s: interval at which runners write their entries.
    """

    def __init__(self, beat_s=1.5, record=lambda *_, **__: None):
        self.address = ""
        self.slow = 1
        self.machines = {}
        self.on_upkeep = lambda machine: None
        self.silent = set()
        self.cut = set()
        self.beat_s = beat_s
        self._record = record
        self._topics = {}
        self._beats = {}
        self._entries = {}
        self._runner = None
        self._expiry = None

    async def start(self):
        """Starts to listen."""
        self._runner = web.ServerRunner(
            web.Server(self._serve, access_log=None), shutdown_timeout=0.1
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0, backlog=512)
        await site.start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"
        self._expiry = asyncio.ensure_future(self._expire())

    async def stop(self):
        """Stops to listen."""
        self._expiry.cancel()
        await self._runner.cleanup()

    def topic(self, name):
        """Returns a topic, which is created if it does not exist."""
        return self._topics.setdefault(name, Topic())

    def write(self, name, key, value):
        """Writes a record as the operator does; None drops the key."""
        data = b"" if value is None else json.dumps(value).encode()
        topic = self.topic(name)
        topic.add(bytes((len(key),)) + key.encode() + data)
        topic.wake()

    async def _expire(self):
        """Removes the entries of runners that have been silent."""
        while True:
            await asyncio.sleep(0.1)
            if "keyed.servers" in self.silent:
                continue
            for key, seen_s in list(self._beats.items()):
                if time.monotonic() - seen_s > _MISSED_BEATS * self.beat_s:
                    del self._beats[key]
                    self._entries.pop(key, None)
                    self._record("entry-removed", runner=key)
                    self.write("keyed.servers", key, None)

    async def _serve(self, request):
        path, query = request.path, request.query
        if path.startswith("/beat/"):
            return await self._beat(request, path[len("/beat/") :])
        if path == "/-/machines":
            rows = list(self.machines.values())
            return _json({"machines": rows, "next_token": None})
        if path == "/-/machine-upkeep":
            return await self._upkeep(request)
        if path == "/-/machine-move":
            return _json({"reason": "busy"}, 409)
        name = query.get("topic", "")
        body = await request.read()
        await asyncio.sleep(_ANSWER_S * self.slow)
        if name in self.silent:
            await asyncio.sleep(60)
        if path == "/-/log-append":
            return await self._append(name, query, body)
        if path == "/-/log-read":
            return await self._read(name, query)
        if path == "/-/log-newest":
            return self._newest(name, query)
        return web.Response(status=404)

    async def _beat(self, request, runner_id):
        entry = json.loads(await request.read())
        if runner_id in self.cut or "keyed.servers" in self.silent:
            await asyncio.sleep(60)
        self._beats[runner_id] = time.monotonic()
        fixed = {k: v for k, v in entry.items() if k != "sequence"}
        if self._entries.get(runner_id) != fixed:
            self._entries[runner_id] = fixed
            self._record(
                "entry-written", runner=runner_id, born=entry["born"]
            )
            self.write("keyed.servers", runner_id, entry)
        return _json({})

    async def _upkeep(self, request):
        body = json.loads(await request.read())
        row = self.machines.get(body["machine"])
        if row is None:
            return _json({"reason": "wave"}, 400)
        is_busy = row["state"] != "up"
        self._record(
            "upkeep-ordered",
            machine=body["machine"],
            holder=request.headers["X-Duty-Holder"],
            fence=request.headers["X-Fence-Token"],
            accepted=not is_busy,
        )
        if is_busy:
            return _json({"reason": "busy"}, 409)
        self.on_upkeep(body["machine"])
        return _json({})

    async def _append(self, name, query, body):
        topic = self.topic(name)
        largest = max(map(len, _split(body)), default=0)
        if len(body) > _CALL_BYTES or largest > _RECORD_BYTES:
            self._record("append-too-large", topic=name, record_bytes=largest)
            return web.Response(status=400)
        async with topic.lock:
            await asyncio.sleep(_APPEND_S * self.slow)
            if "producer" in query:
                epoch, sequence = int(query["epoch"]), int(query["sequence"])
                if epoch < topic.epoch:
                    return _json({"reason": "fenced"}, 409)
                if epoch == topic.epoch:
                    if (epoch, sequence) in topic.answers:
                        return _json(topic.answers[epoch, sequence])
                    if sequence != topic.sequence + 1:
                        wanted = topic.sequence + 1
                        return _json({"reason": "seq", "sequence": wanted}, 409)
                topic.epoch, topic.sequence = epoch, sequence
            offset = len(topic.records)
            for content in _split(body):
                topic.add(content)
            answer = {"offset": offset, "end_offset": len(topic.records)}
            if "producer" in query:
                topic.answers[topic.epoch, topic.sequence] = answer
                while len(topic.answers) > 5:
                    del topic.answers[next(iter(topic.answers))]
            topic.wake()
        return _json(answer)

    async def _read(self, name, query):
        topic, offset = self.topic(name), int(query["from"])
        deadline_s = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while offset >= len(topic.records):
            left_s = deadline_s - time.monotonic()
            if left_s <= 0:
                break
            try:
                await asyncio.wait_for(topic.changed.wait(), left_s)
            except TimeoutError:
                break
        if name in self.silent:
            await asyncio.sleep(60)
        body = struct.pack(">QQ", len(topic.records), 0)
        for content in topic.records[offset:]:
            body += struct.pack(">I", len(content)) + content
        return web.Response(body=body)

    def _newest(self, name, query):
        topic, after = self.topic(name), query.get("depends_on", "")
        keys = sorted(key for key in topic.newest if key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(topic.newest[key][1]).decode(),
                "offset": topic.newest[key][0],
            }
            for key in keys[:500]
        ]
        end = len(topic.records)
        return _json(
            {"items": items, "has_more": len(keys) > 500, "end_offset": end}
        )


def _split(body):
    found, position = [], 0
    while position < len(body):
        (length,) = struct.unpack_from(">I", body, position)
        found.append(body[position + 4 : position + 4 + length])
        position += 4 + length
    return found


def _json(value, status=200):
    return web.json_response(value, status=status)
