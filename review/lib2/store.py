"""Stand-in of the platform's metadata store, by PROTOCOL.md.

It keeps keyed topics of one partition. Reads and appends are linearizable, and
nothing that was acknowledged is lost. Each entry VM has a port of its own, so
that the stand-in can tell who calls.
"""

import asyncio
import base64
import collections
import json
import struct
import time
import typing
from collections.abc import Callable

from aiohttp import web

from review.lib2 import record as records

__all__ = ["Append", "Store"]

RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
_APPEND_S = 0.002
_ANSWER_S = 0.002
_REMEMBERED_APPENDS = 5
_PAGE_ITEMS = 500
_PAGE_BYTES = 1_000_000
_READ_ONLY_TOPICS = ("keyed.op", "keyed.servers")


class Append(typing.NamedTuple):
    """An append as the stand-in received it.

    Attributes:
        caller: name of the calling entry VM.
        topic: topic of the append.
        keys: keys of its records.
        is_conditional: whether it names a producer with its epoch.
    """

    caller: str
    topic: str
    keys: tuple[str, ...]
    is_conditional: bool


class _Topic:
    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.newest: dict[str, tuple[int, bytes]] = {}
        self.lock = asyncio.Lock()
        self.epoch = -1
        self.sequence = -1
        self.answers: collections.OrderedDict[
            tuple[int, int], dict[str, int]
        ] = collections.OrderedDict()

    def add(self, content: bytes) -> None:
        key, value = _key_and_value(content)
        if value:
            self.newest[key] = (len(self.records), value)
        else:
            self.newest.pop(key, None)
        self.records.append(content)


class Store:
    """The store.

    Attributes:
        late_s: called with each append; returns None, or the time after which
            the append is executed without an answer.
        last_writer: entry VM whose append with a producer was stored last.
    """

    def __init__(self, record: records.Record) -> None:
        self._record = record
        self._topics: dict[str, _Topic] = {}
        self._changed = asyncio.Event()
        self._runners: list[web.ServerRunner] = []
        self._late: set[asyncio.Task[typing.Any]] = set()
        self.late_s: Callable[[Append], float | None] = lambda _: None
        self.last_writer = ""
        self.refused = collections.Counter[str]()

    async def listen(self, caller: str) -> str:
        """Returns an address at which one entry VM reaches the store."""
        runner = web.ServerRunner(
            web.Server(lambda request: self._serve(caller, request)),
            shutdown_timeout=0.1,
        )
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        self._runners.append(runner)
        host, port = runner.addresses[0][:2]
        return f"{host}:{port}"

    async def close(self) -> None:
        """Closes all addresses."""
        for task in self._late:
            task.cancel()
        for runner in self._runners:
            await runner.cleanup()

    def write(self, topic: str, key: str, value: typing.Any) -> None:
        """Writes a record as the operator or a runner; None erases it."""
        content = b"" if value is None else json.dumps(value).encode()
        self._topic(topic).add(bytes((len(key),)) + key.encode() + content)
        self._wake()

    def _topic(self, name: str) -> _Topic:
        return self._topics.setdefault(name, _Topic())

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, caller: str, request: web.BaseRequest
    ) -> web.Response:
        if request.path == "/-/log-append":
            return await self._serve_append(caller, request)
        await asyncio.sleep(_ANSWER_S)
        if request.path == "/-/log-read":
            return await self._serve_read(request)
        if request.path == "/-/log-newest":
            return self._serve_newest(request)
        return web.Response(status=404)

    async def _serve_append(
        self, caller: str, request: web.BaseRequest
    ) -> web.Response:
        body = await request.read()
        query = dict(request.query)
        try:
            found = _split(body)
        except ValueError:
            return _json({}, 400)
        keys = tuple(_key_and_value(each)[0] for each in found)
        append = Append(caller, query["topic"], keys, "producer" in query)
        if query["topic"] in _READ_ONLY_TOPICS:
            return _json({}, 403)
        sizes = [len(each) for each in found]
        if len(body) > CALL_BYTES or any(n > RECORD_BYTES for n in sizes):
            self._record.write(
                "append-refused", caller=caller, topic=query["topic"],
                largest_record_bytes=max(sizes), call_bytes=len(body),
            )
            self.refused["too large"] += 1
            return _json({}, 400)
        delay_s = self.late_s(append)
        if delay_s is not None:
            self._record.write(
                "append-without-answer", caller=caller, topic=append.topic,
                keys=",".join(keys), executed_after_s=delay_s,
            )
            task = asyncio.ensure_future(self._execute_late(query, found, delay_s))
            self._late.add(task)
            # The channel returns nothing further.
            await asyncio.sleep(3600)
        answer = await self._execute(query, found)
        if answer.status == 200 and append.is_conditional:
            self.last_writer = caller
        await asyncio.sleep(_ANSWER_S)
        return answer

    async def _execute_late(
        self, query: dict[str, str], found: list[bytes], delay_s: float
    ) -> None:
        await asyncio.sleep(delay_s)
        answer = await self._execute(query, found)
        keys = ",".join(_key_and_value(each)[0] for each in found)
        self._record.write(
            "append-executed-late", topic=query["topic"], keys=keys,
            status=answer.status,
        )

    async def _execute(
        self, query: dict[str, str], found: list[bytes]
    ) -> web.Response:
        topic = self._topic(query["topic"])
        async with topic.lock:
            await asyncio.sleep(_APPEND_S)
            append_id = None
            if "producer" in query:
                append_id = int(query["epoch"]), int(query["sequence"])
                refusal = _refusal(topic, *append_id)
                if refusal is not None:
                    return refusal
            if "at" in query and int(query["at"]) != len(topic.records):
                return _json({"end_offset": len(topic.records)}, 412)
            answer = {"offset": len(topic.records)}
            for content in found:
                topic.add(content)
            answer["end_offset"] = len(topic.records)
            if append_id is not None:
                topic.epoch, topic.sequence = append_id
                topic.answers[append_id] = answer
                while len(topic.answers) > _REMEMBERED_APPENDS:
                    topic.answers.popitem(last=False)
            self._wake()
            return _json(answer)

    async def _serve_read(self, request: web.BaseRequest) -> web.Response:
        topic = self._topic(request.query["topic"])
        offset = int(request.query["from"])
        limit_bytes = int(request.query.get("max_kb", 1024)) * 1024
        wait_s = min(30.0, int(request.query.get("wait_ms", 0)) / 1000)
        deadline_s = time.monotonic() + wait_s
        while offset >= len(topic.records):
            remaining_s = deadline_s - time.monotonic()
            if remaining_s <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), remaining_s)
            except TimeoutError:
                break
        parts = [struct.pack(">QQ", len(topic.records), 0)]
        size = 0
        for content in topic.records[offset:]:
            if size and size + len(content) + 4 > limit_bytes:
                break
            size += len(content) + 4
            parts.append(struct.pack(">I", len(content)) + content)
        return web.Response(body=b"".join(parts))

    def _serve_newest(self, request: web.BaseRequest) -> web.Response:
        topic = self._topic(request.query["topic"])
        after = request.query.get("depends_on", "")
        keys = sorted(key for key in topic.newest if key > after)
        items: list[dict[str, typing.Any]] = []
        size = 0
        for key in keys:
            offset, value = topic.newest[key]
            encoded = base64.b64encode(value).decode()
            size += len(encoded)
            if items and (len(items) >= _PAGE_ITEMS or size > _PAGE_BYTES):
                break
            items.append({"key": key, "value": encoded, "offset": offset})
        return _json(
            {
                "items": items,
                "has_more": len(items) < len(keys),
                "end_offset": len(topic.records),
            }
        )


def _refusal(topic: _Topic, epoch: int, sequence: int) -> web.Response | None:
    """Returns the answer to an append that changes nothing; None if it may."""
    if epoch < topic.epoch:
        return _json({"reason": "fenced"}, 409)
    known = topic.answers.get((epoch, sequence))
    if known is not None:
        return _json(known)
    if epoch == topic.epoch and sequence != topic.sequence + 1:
        return _json({"reason": "seq", "sequence": topic.sequence + 1}, 409)
    return None


def _split(body: bytes) -> list[bytes]:
    found, position = [], 0
    while position < len(body):
        (length,) = struct.unpack_from(">I", body, position)
        content = body[position + 4 : position + 4 + length]
        if len(content) < length or not content:
            raise ValueError("the body ends inside a record")
        found.append(content)
        position += 4 + length
    return found


def _key_and_value(content: bytes) -> tuple[str, bytes]:
    end = 1 + content[0]
    return content[1:end].decode(), content[end:]


def _json(value: typing.Any, status: int = 200) -> web.Response:
    return web.Response(
        status=status,
        body=json.dumps(value).encode(),
        content_type="application/json",
    )
