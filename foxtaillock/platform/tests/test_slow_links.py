"""Tests reads of the store over a slow link."""

import struct
import typing
import unittest
from urllib import parse

import yarl

from foxtaillock.batch import interfaces
from foxtaillock.batch import records
from foxtaillock.platform import http_client
from foxtaillock.platform import store

# The slowest link of an entry VM that the design allows for.
_LINK_BYTES_PER_S = 5_000_000 / 8

_DEFAULT_READ_KB = 1_024

# Records that the VM has not read, 4 MB in all.
_BACKLOG = 4_000
_RECORD = records.KeyedRecord("k", b"." * 1_018)
_RECORD_BYTES = 1_024

# Largest page of newest records: 1 MB, in base64.
_NEWEST_BYTES = 1_400_000


class _SlowLink:
    """Client of a store with a backlog, over a slow link.

    Attributes:
        failures: number of answers that did not arrive in time.
        limits_kb: size limit of each read.
    """

    def __init__(self) -> None:
        self.failures = 0
        self.limits_kb: list[int] = []

    async def request(
        self,
        method: str,
        url: str | yarl.URL,
        timeout_s: float,
        body: bytes | None = None,
    ) -> http_client.HttpResponse:
        """Returns the answer if it arrives within the timeout."""
        del method, body
        split = parse.urlsplit(str(url))
        query = dict(parse.parse_qsl(split.query))
        if not split.path.endswith("log-read"):
            self._pass(_NEWEST_BYTES, timeout_s)
            return http_client.HttpResponse(
                200, b'{"items":[],"has_more":false,"end_offset":7}'
            )
        limit_kb = int(query.get("max_kb", _DEFAULT_READ_KB))
        self.limits_kb.append(limit_kb)
        first = int(query["from"])
        last = min(_BACKLOG, first + limit_kb * 1024 // _RECORD_BYTES)
        self._pass((last - first) * _RECORD_BYTES, timeout_s)
        content = store.encode_records([_RECORD] * (last - first))
        return http_client.HttpResponse(
            200, struct.pack(">QQ", _BACKLOG, 0) + content
        )

    def _pass(self, size: int, timeout_s: float) -> None:
        # Half of the time is left for a store that is slow itself.
        if 2 * size / _LINK_BYTES_PER_S > timeout_s:
            self.failures += 1
            raise http_client.NoAnswerError("too late")


class SlowLinkTest(unittest.IsolatedAsyncioTestCase):
    """A VM with a slow link that is far behind, or that starts."""

    def setUp(self) -> None:
        self.link = _SlowLink()
        self.topic = store.KeyedTopic(
            typing.cast(http_client.PlatformHttpClient, self.link),
            "127.0.0.1:1",
            "keyed.journal",
        )

    async def test_vm_that_is_far_behind_catches_up(self) -> None:
        offset = 0
        while offset < _BACKLOG and len(self.link.limits_kb) < 100:
            try:
                offset = (await self.topic.read(offset, 0.0)).next_offset
            except interfaces.StoreUnreachableError:
                continue
        self.assertEqual(offset, _BACKLOG)
        self.assertEqual(self.link.failures, 2)
        # Once it has caught up, reads are as large as they can be.
        await self.topic.read(_BACKLOG, 0.0)
        self.assertEqual(self.link.limits_kb[-1], _DEFAULT_READ_KB)

    async def test_vm_that_starts_gets_a_large_page_after_some_attempts(
        self,
    ) -> None:
        for _ in range(2):
            with self.assertRaises(interfaces.StoreUnreachableError):
                await self.topic.read_newest()
        page = await self.topic.read_newest()
        self.assertEqual(page.end_offset, 7)
        self.assertEqual((await self.topic.read_newest()).end_offset, 7)
