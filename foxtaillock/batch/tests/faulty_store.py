"""Store in memory that refuses, delays and repeats calls, for schedules."""

import asyncio
import dataclasses
import random
import typing
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Sequence

from foxtaillock.batch import interfaces
from foxtaillock.batch import records

__all__ = ["FaultyStore", "FaultyStream", "Power", "StoreFaults"]

_T = typing.TypeVar("_T")

# Time after which a caller gives up waiting for an answer.
_ANSWER_TIMEOUT_S = 0.9

# Longest delay of an append that got no answer.
_MAX_DELAY_S = 12.0

_LATENCY_S = (0.002, 0.02)

# Appends whose repetition gets the first answer again.
_REMEMBERED_APPENDS = 5


class Power:
    """Power of one VM.

    Attributes:
        is_on: whether the VM has power; it gets none again.
        runs: set while its processes are not paused.
    """

    def __init__(self) -> None:
        self.is_on = True
        self.runs = asyncio.Event()
        self.runs.set()
        self._never: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )

    async def gate(self) -> None:
        """Returns once the VM runs; never on a VM without power."""
        await self.runs.wait()
        if not self.is_on:
            # One that waits may be cancelled, the others wait on.
            await asyncio.shield(self._never)


@dataclasses.dataclass
class StoreFaults:
    """Probabilities of faults of one call.

    Attributes:
        refused: the call is refused.
        answer_lost: it takes effect, and its answer is lost.
        delayed: it gets no answer, and takes effect seconds later.
        is_down: whether all calls are refused.
    """

    refused: float = 0.0
    answer_lost: float = 0.0
    delayed: float = 0.0
    is_down: bool = False


class _Topic:
    """One partition of a keyed topic."""

    def __init__(self) -> None:
        self.first = 0
        self.records: list[records.KeyedRecord] = []
        self.newest: dict[str, tuple[int, records.KeyedRecord]] = {}
        self.epoch = -1
        self.sequence = -1
        self.answers: dict[int, interfaces.AppendResult] = {}
        self.changed = asyncio.Event()

    @property
    def end(self) -> int:
        """Offset of the next record."""
        return self.first + len(self.records)

    def append(
        self,
        batch: Sequence[records.KeyedRecord],
        append_id: interfaces.AppendId | None,
    ) -> interfaces.AppendResult:
        """Appends a batch as the platform's store does."""
        if append_id is not None:
            if append_id.epoch < self.epoch:
                return interfaces.AppendResult(interfaces.AppendOutcome.FENCED)
            if append_id.epoch > self.epoch:
                self.answers = {}
            elif append_id.sequence in self.answers:
                return self.answers[append_id.sequence]
            elif append_id.sequence != self.sequence + 1:
                return interfaces.AppendResult(
                    interfaces.AppendOutcome.OUT_OF_SEQUENCE,
                    expected_sequence=self.sequence + 1,
                )
            self.epoch, self.sequence = append_id
        for record in batch:
            if record.value:
                self.newest[record.key] = (self.end, record)
            else:
                self.newest.pop(record.key, None)
            self.records.append(record)
        result = interfaces.AppendResult(
            interfaces.AppendOutcome.STORED, self.end
        )
        if append_id is not None:
            self.answers[self.sequence] = result
            self.answers.pop(self.sequence - _REMEMBERED_APPENDS, None)
        self.changed.set()
        self.changed = asyncio.Event()
        return result


class FaultyStore:
    """The platform's store, without a network.

    Args:
        rng: source of latencies and faults.

    Attributes:
        faults: faults of the calls from now on.
        on_received: called with topic and batch before an append takes effect.
        on_stored: called with topic and batch once it has taken effect.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._topics: dict[str, _Topic] = {}
        self._calls: set[asyncio.Task[None]] = set()
        self.faults = StoreFaults()
        self.on_received: Callable[
            [str, Sequence[records.KeyedRecord]], None
        ] = lambda *_: None
        self.on_stored: Callable[[str, Sequence[records.KeyedRecord]], None] = (
            lambda *_: None
        )

    def topic(self, name: str) -> _Topic:
        """Returns a topic, which is created if it does not exist."""
        return self._topics.setdefault(name, _Topic())

    def write(self, name: str, *batch: records.KeyedRecord) -> None:
        """Appends records at once."""
        self.topic(name).append(batch, None)

    def forget_history(self) -> None:
        """Drops all records but the newest of each key."""
        for topic in self._topics.values():
            topic.first, topic.records = topic.end, []

    def latency_s(self) -> float:
        """Returns the latency of one way of a call."""
        return self._rng.uniform(*_LATENCY_S)

    def draw_refusal(self) -> bool:
        """Returns whether a call is refused."""
        return self.faults.is_down or self._rng.random() < self.faults.refused

    async def append(
        self,
        name: str,
        batch: Sequence[records.KeyedRecord],
        append_id: interfaces.AppendId | None,
    ) -> interfaces.AppendResult:
        """Appends a batch; the call goes on if its caller is gone.

        Raises:
            interfaces.StoreRefusedError: nothing was stored.
            interfaces.StoreUnreachableError: the batch may be stored, now or
                later.
        """
        answer: asyncio.Future[interfaces.AppendResult] = (
            asyncio.get_running_loop().create_future()
        )
        call = asyncio.ensure_future(
            self._carry_out(name, list(batch), append_id, answer)
        )
        self._calls.add(call)
        call.add_done_callback(self._calls.discard)
        try:
            async with asyncio.timeout(_ANSWER_TIMEOUT_S):
                return await answer
        except TimeoutError as error:
            raise interfaces.StoreUnreachableError("no answer") from error

    async def _carry_out(
        self,
        name: str,
        batch: Sequence[records.KeyedRecord],
        append_id: interfaces.AppendId | None,
        answer: "asyncio.Future[interfaces.AppendResult]",
    ) -> None:
        await asyncio.sleep(self.latency_s())
        if self.draw_refusal():
            if not answer.done():
                answer.set_exception(interfaces.StoreRefusedError("refused"))
            return
        is_delayed = self._rng.random() < self.faults.delayed
        if is_delayed:
            await asyncio.sleep(self._rng.uniform(0.0, _MAX_DELAY_S))
        self.on_received(name, batch)
        result = self.topic(name).append(batch, append_id)
        self.on_stored(name, batch)
        await asyncio.sleep(self.latency_s())
        is_lost = is_delayed or self._rng.random() < self.faults.answer_lost
        if not is_lost and not answer.done():
            answer.set_result(result)

    async def read(
        self, name: str, offset: int, wait_s: float
    ) -> interfaces.StreamPage:
        """Reads from an offset on; waits for a record if asked to.

        Raises:
            interfaces.StoreRefusedError: the call was refused.
        """
        await asyncio.sleep(self.latency_s())
        if self.draw_refusal():
            raise interfaces.StoreRefusedError("refused")
        topic = self.topic(name)
        if offset >= topic.end and wait_s:
            try:
                async with asyncio.timeout(wait_s):
                    await topic.changed.wait()
            except TimeoutError:
                pass
        if offset < topic.first:
            return interfaces.StreamPage((), offset, offset, is_expired=True)
        found = list(enumerate(topic.records, topic.first))
        page = found[offset - topic.first :]
        end = topic.end
        await asyncio.sleep(self.latency_s())
        return interfaces.StreamPage(page, end, end)

    async def read_newest(self, name: str) -> interfaces.StreamPage:
        """Reads the newest record of each key, in two pages.

        Raises:
            interfaces.StoreRefusedError: the call was refused.
        """
        topic = self.topic(name)
        page: list[tuple[int, records.KeyedRecord]] = []
        end = topic.end
        middle = sorted(topic.newest)[len(topic.newest) // 2 :][:1]
        for is_first in (True, False):
            await asyncio.sleep(self.latency_s())
            if self.draw_refusal():
                raise interfaces.StoreRefusedError("refused")
            if is_first:
                end = topic.end
            page += [
                numbered
                for key, numbered in sorted(topic.newest.items())
                if (not middle or key < middle[0]) == is_first
            ]
        await asyncio.sleep(self.latency_s())
        return interfaces.StreamPage(page, end, end)


class FaultyStream:
    """One VM's access to a topic.

    Args:
        store: the store.
        name: name of the topic.
        power: power of the VM.
    """

    def __init__(self, store: FaultyStore, name: str, power: Power) -> None:
        self._store = store
        self._name = name
        self._power = power

    async def append(
        self,
        batch: Sequence[records.KeyedRecord],
        append_id: interfaces.AppendId | None = None,
    ) -> interfaces.AppendResult:
        """Appends a batch; see `interfaces.KeyedStream.append`."""
        return await self._call(self._store.append, batch, append_id)

    async def read(self, offset: int, wait_s: float) -> interfaces.StreamPage:
        """Reads records; see `interfaces.KeyedStream.read`."""
        return await self._call(self._store.read, offset, wait_s)

    async def read_newest(self) -> interfaces.StreamPage:
        """Reads newest records; see `interfaces.KeyedStream.read_newest`."""
        return await self._call(self._store.read_newest)

    async def _call(
        self,
        method: Callable[..., Coroutine[typing.Any, typing.Any, _T]],
        *arguments: typing.Any,
    ) -> _T:
        """Calls the store; a paused VM neither sends nor gets anything."""
        await self._power.gate()
        try:
            answer = await method(self._name, *arguments)
        except interfaces.StoreError:
            await self._power.gate()
            raise
        await self._power.gate()
        return answer
