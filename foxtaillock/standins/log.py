"""Stand-in for the platform's append-only log service."""

import asyncio
import collections
import dataclasses
import random

from aiohttp import web

from foxtaillock import exceptions
from foxtaillock.standins import faults
from foxtaillock.standins import listener

__all__ = ["LogFaults", "LogServer", "LogStream", "start_log"]

_MAX_WAIT_S = 60.0
_MAX_PAGE_RECORDS = 10_000


@dataclasses.dataclass
class LogFaults(faults.Faults):
    """Faults of the log.

    Attributes:
        retention_records: number of newest records that each stream keeps.
    """

    retention_records: int = 1_000_000


class LogStream:
    """Records of one stream by offset; the oldest records expire.

    Example:
        >>> stream = LogStream()
        >>> [stream.append(text, 2) for text in ("a", "b", "c")]
        [0, 1, 2]
        >>> stream.read(0, 10)
        (1, ['b', 'c'])
    """

    def __init__(self) -> None:
        self._records: collections.deque[str] = collections.deque()
        self._appended = asyncio.Event()
        self.oldest_offset = 0

    @property
    def next_offset(self) -> int:
        """Offset of the next record."""
        return self.oldest_offset + len(self._records)

    def append(self, record: str, retention_records: int) -> int:
        """Appends a record and returns its offset."""
        offset = self.next_offset
        self._records.append(record)
        self.expire(retention_records)
        self._appended.set()
        self._appended = asyncio.Event()
        return offset

    def expire(self, retention_records: int) -> None:
        """Drops the oldest records in excess of the retention."""
        while len(self._records) > retention_records:
            self._records.popleft()
            self.oldest_offset += 1

    def read(self, offset: int, limit: int) -> tuple[int, list[str]]:
        """Reads at most `limit` records from `offset` on.

        Returns:
            Offset of the first record returned, and the records. It differs
            from `offset` if that has expired or is past the end.
        """
        first = min(max(offset, self.oldest_offset), self.next_offset)
        start = first - self.oldest_offset
        stop = min(start + limit, len(self._records))
        return first, [self._records[i] for i in range(start, stop)]

    async def wait(self, offset: int, wait_s: float) -> None:
        """Waits for the record at `offset`, for at most `wait_s`."""
        try:
            async with asyncio.timeout(wait_s):
                while self.next_offset <= offset:
                    await self._appended.wait()
        except TimeoutError:
            pass


class LogServer(listener.ListeningServer):
    """HTTP server of the log.

    Args:
        host: IP address to listen on.
        seed: seed of lost answers.
        port: port, or zero to let the operating system choose.
    """

    def __init__(self, host: str, seed: int, port: int = 0) -> None:
        super().__init__(host, port)
        self.faults = LogFaults()
        self.fault_injector = faults.FaultInjector(
            self.faults, random.Random(seed)
        )
        self.streams: dict[str, LogStream] = {}
        self.appends = 0

    def stream(self, name: str) -> LogStream:
        """Returns the stream with this name, creating it if needed."""
        return self.streams.setdefault(name, LogStream())

    def _add_routes(self, application: web.Application) -> None:
        router = application.router
        router.add_post("/streams/{stream}/records", self._append)
        router.add_get("/streams/{stream}/records", self._read)
        router.add_post("/admin/faults", self._set_faults)
        router.add_get("/admin/faults", self._get_faults)

    async def _append(self, request: web.Request) -> web.Response:
        record = await request.text()
        if not await self.fault_injector.admit_request():
            return await listener.abort_connection(request)
        if self.faults.unavailable:
            return web.Response(status=503, text="unavailable")
        stream = self.stream(request.match_info["stream"])
        offset = stream.append(record, self.faults.retention_records)
        self.appends += 1
        if self.fault_injector.should_lose_answer():
            return await listener.abort_connection(request)
        return web.json_response({"offset": offset})

    async def _read(self, request: web.Request) -> web.Response:
        try:
            offset = int(request.query.get("offset", "0"))
            limit = int(request.query.get("limit", "1000"))
            wait_s = float(request.query.get("wait_s", "0"))
        except ValueError as error:
            return web.Response(status=400, text=str(error))
        if not await self.fault_injector.admit_request():
            return await listener.abort_connection(request)
        stream = self.stream(request.match_info["stream"])
        if wait_s > 0 and not self.faults.unavailable:
            await stream.wait(offset, min(wait_s, _MAX_WAIT_S))
        # The fault may have been set during the wait.
        if self.faults.silent and not await self.fault_injector.admit_request():
            return await listener.abort_connection(request)
        if self.faults.unavailable:
            return web.Response(status=503, text="unavailable")
        first, records = stream.read(
            offset, min(max(limit, 0), _MAX_PAGE_RECORDS)
        )
        return web.json_response(
            {
                "first_offset": first,
                "records": records,
                "next_offset": stream.next_offset,
                "oldest_offset": stream.oldest_offset,
            }
        )

    async def _set_faults(self, request: web.Request) -> web.Response:
        try:
            self.fault_injector.update(await request.json())
        except exceptions.InvalidInputError as error:
            return web.Response(status=400, text=str(error))
        for stream in self.streams.values():
            stream.expire(self.faults.retention_records)
        return await self._get_faults(request)

    async def _get_faults(self, _request: web.Request) -> web.Response:
        answer = dataclasses.asdict(self.faults)
        return web.json_response(answer | {"appends": self.appends})


async def start_log(
    host: str = "127.0.0.1", seed: int = 0, port: int = 0
) -> LogServer:
    """Starts a log server and returns it."""
    server = LogServer(host, seed, port)
    await server.open()
    return server
