"""Client of the platform's store, whose keyed topics serve as streams."""

import base64
import struct
import typing
from collections.abc import Sequence
from urllib import parse

import yarl

from foxtaillock import exceptions
from foxtaillock.batch import interfaces
from foxtaillock.batch import records
from foxtaillock.platform import http_client
from foxtaillock.platform import json_codec

__all__ = [
    "KeyedTopic",
    "decode_conflict",
    "decode_records",
    "encode_records",
]

# Timeout in addition to the wait that a call asks for. A slow but working store
# takes about 300 ms.
_ANSWER_TIMEOUT_S = 0.9

# Size limit of one read. It is halved after each read that did not arrive in
# time, so that a VM which is far behind gets on over a slow link.
_MAX_READ_KB = 1_024
_MIN_READ_KB = 64

# Timeout of a page of newest records, whose size can't be chosen. It is doubled
# after each page that did not arrive in time.
_NEWEST_TIMEOUT_S = 1.8
_MAX_NEWEST_TIMEOUT_S = 8.0

_LENGTH = struct.Struct(">I")
_OFFSETS = struct.Struct(">QQ")
_OK, _CONFLICT, _GONE = 200, 409, 410
_NOT_STORED_STATUSES = frozenset((400, 403, 404, 412, 429, 503, 507))


class _AppendAnswer(typing.TypedDict):
    end_offset: int


class _ConflictAnswer(typing.TypedDict, total=False):
    reason: str
    sequence: int


class _NewestItem(typing.TypedDict):
    key: str
    value: str
    offset: int


class _NewestPage(typing.TypedDict):
    items: list[_NewestItem]
    has_more: bool
    end_offset: int


_append_decoder = json_codec.Decoder(_AppendAnswer)
_conflict_decoder = json_codec.Decoder(_ConflictAnswer)
_newest_decoder = json_codec.Decoder(_NewestPage)


class KeyedTopic:
    """One partition of a keyed topic.

    Args:
        client: HTTP client.
        address: `HOST:PORT` of the store.
        topic: name of the topic.
        producer: producer name by which the store fences an owner's appends.
    """

    def __init__(
        self,
        client: http_client.PlatformHttpClient,
        address: str,
        topic: str,
        producer: str = "",
    ) -> None:
        self._client = client
        self._address = address
        self._topic = topic
        self._producer = producer
        self._read_kb = _MAX_READ_KB
        self._newest_timeout_s = _NEWEST_TIMEOUT_S

    async def append(
        self,
        batch: Sequence[records.KeyedRecord],
        append_id: interfaces.AppendId | None = None,
    ) -> interfaces.AppendResult:
        """Appends all records or none; see `interfaces.KeyedStream.append`."""
        query = self._query()
        if append_id is not None:
            query["producer"] = self._producer
            query["epoch"] = str(append_id.epoch)
            query["sequence"] = str(append_id.sequence)
        url = f"http://{self._address}/-/log-append?{parse.urlencode(query)}"
        answer = await self._call(
            "POST",
            http_client.parse_url(url),
            _ANSWER_TIMEOUT_S,
            encode_records(batch),
        )
        if answer.status == _OK:
            return interfaces.AppendResult(
                interfaces.AppendOutcome.STORED, self._end_offset(answer.body)
            )
        if answer.status == _CONFLICT:
            return decode_conflict(answer.body)
        raise self._status_error(answer)

    async def read(self, offset: int, wait_s: float) -> interfaces.StreamPage:
        """Reads from `offset` on; see `interfaces.KeyedStream.read`."""
        query = self._query()
        query["from"] = str(offset)
        if self._read_kb < _MAX_READ_KB:
            query["max_kb"] = str(self._read_kb)
        if wait_s > 0:
            query["wait_ms"] = str(int(wait_s * 1000))
        url = f"http://{self._address}/-/log-read?{parse.urlencode(query)}"
        try:
            answer = await self._call(
                "GET", http_client.parse_url(url), wait_s + _ANSWER_TIMEOUT_S
            )
        except interfaces.StoreUnreachableError:
            self._read_kb = max(_MIN_READ_KB, self._read_kb // 2)
            raise
        if answer.status == _GONE:
            return interfaces.StreamPage((), offset, offset, is_expired=True)
        if answer.status != _OK:
            raise self._status_error(answer)
        try:
            end_offset, _ = _OFFSETS.unpack_from(answer.body)
            decoded = decode_records(answer.body[_OFFSETS.size :])
        except (struct.error, ValueError) as error:
            raise self._malformed(error) from error
        next_offset = offset + len(decoded)
        if next_offset >= end_offset or not decoded:
            # It is caught up, or a record is larger than the limit.
            self._read_kb = _MAX_READ_KB
        with_offsets = [
            (offset + position, record)
            for position, record in enumerate(decoded)
            if record is not None
        ]
        return interfaces.StreamPage(with_offsets, next_offset, end_offset)

    async def read_newest(self) -> interfaces.StreamPage:
        """Reads the newest record of each key.

        See `interfaces.KeyedStream.read_newest`.
        """
        newest: list[tuple[int, records.KeyedRecord]] = []
        end_offset: int | None = None
        after_key = ""
        while True:
            page = await self._newest_page(after_key)
            if end_offset is None:
                end_offset = page["end_offset"]
            newest += [self._newest_record(item) for item in page["items"]]
            if not page["has_more"] or not page["items"]:
                return interfaces.StreamPage(newest, end_offset, end_offset)
            last_key = page["items"][-1]["key"]
            if last_key == after_key:
                raise self._malformed("the same page again")
            after_key = last_key

    async def _newest_page(self, after_key: str) -> _NewestPage:
        query = self._query()
        if after_key:
            # In this call, `depends_on` is the key after which to continue.
            query["depends_on"] = after_key
        url = f"http://{self._address}/-/log-newest?{parse.urlencode(query)}"
        try:
            answer = await self._call("GET", url, self._newest_timeout_s)
        except interfaces.StoreUnreachableError:
            self._newest_timeout_s = min(
                _MAX_NEWEST_TIMEOUT_S, 2 * self._newest_timeout_s
            )
            raise
        if answer.status != _OK:
            raise self._status_error(answer)
        try:
            return _newest_decoder.decode(answer.body)
        except exceptions.InvalidInputError as error:
            raise self._malformed(error) from error

    def _newest_record(
        self, item: _NewestItem
    ) -> tuple[int, records.KeyedRecord]:
        try:
            value = base64.b64decode(item["value"])
        except ValueError as error:
            raise self._malformed(error) from error
        return item["offset"], records.KeyedRecord(item["key"], value)

    def _end_offset(self, body: bytes) -> int:
        try:
            return _append_decoder.decode(body)["end_offset"]
        except exceptions.InvalidInputError as error:
            raise self._malformed(error) from error

    def _malformed(self, reason: object) -> interfaces.StoreUnreachableError:
        return interfaces.StoreUnreachableError(
            f"{self._topic}: malformed answer: {reason}"
        )

    def _query(self) -> dict[str, str]:
        return {"topic": self._topic, "part": "0"}

    async def _call(
        self,
        method: str,
        url: str | yarl.URL,
        timeout_s: float,
        body: bytes | None = None,
    ) -> http_client.HttpResponse:
        try:
            return await self._client.request(method, url, timeout_s, body=body)
        except http_client.NotSentError as error:
            raise interfaces.StoreRefusedError(str(error)) from error
        except http_client.NoAnswerError as error:
            raise interfaces.StoreUnreachableError(str(error)) from error

    def _status_error(
        self, answer: http_client.HttpResponse
    ) -> interfaces.StoreError:
        text = f"{self._topic}: status {answer.status}"
        if answer.status in _NOT_STORED_STATUSES:
            return interfaces.StoreRefusedError(text)
        return interfaces.StoreUnreachableError(text)


def encode_records(batch: Sequence[records.KeyedRecord]) -> bytes:
    """Returns the body of an append.

    Example:
        >>> encode_records([records.KeyedRecord("k", b"v")]).hex()
        '00000003016b76'
    """
    parts = []
    for record in batch:
        key = record.key.encode()
        content = bytes((len(key),)) + key + record.value
        parts.append(_LENGTH.pack(len(content)) + content)
    return b"".join(parts)


def decode_records(body: bytes) -> list[records.KeyedRecord | None]:
    """Returns the records of a read; None for each record without a valid key.

    Raises:
        ValueError: the body ends inside a record.
    """
    decoded: list[records.KeyedRecord | None] = []
    position = 0
    while position < len(body):
        if position + _LENGTH.size > len(body):
            raise ValueError("the body ends inside a length")
        (length,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        content = body[position : position + length]
        if len(content) < length:
            raise ValueError("the body ends inside a record")
        position += length
        decoded.append(_decode_record(content))
    return decoded


def _decode_record(content: bytes) -> records.KeyedRecord | None:
    if not content or len(content) < 1 + content[0]:
        return None
    end = 1 + content[0]
    try:
        key = content[1:end].decode()
    except UnicodeDecodeError:
        return None
    return records.KeyedRecord(key, content[end:])


def decode_conflict(body: bytes) -> interfaces.AppendResult:
    """Returns the reason for which the store refused an owner's append."""
    try:
        conflict = _conflict_decoder.decode(body)
    except exceptions.InvalidInputError:
        conflict = {}
    if conflict.get("reason") != "seq":
        return interfaces.AppendResult(interfaces.AppendOutcome.FENCED)
    return interfaces.AppendResult(
        interfaces.AppendOutcome.OUT_OF_SEQUENCE,
        expected_sequence=conflict.get("sequence", -1),
    )
