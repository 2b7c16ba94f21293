"""Fold of the control stream: rate, start from a snapshot and memory.

The state has the size planned for two years: 15,000 VMs, 220 pools, 61 teams,
5,000 keys and a full history of release notes. Memory is what `tracemalloc`
counts for additional objects of one kind.
"""

import gc
import random
import time
import tracemalloc
from collections.abc import Callable

from bench import harness
from foxtaillock.model import grant_records
from foxtaillock.model import key_records
from foxtaillock.model import note_records
from foxtaillock.model import record_batches
from foxtaillock.model import records
from foxtaillock.model import session_records
from foxtaillock.model import vm_records
from foxtaillock.state import control_state
from foxtaillock.state import snapshots

__all__ = ["run"]

_POOLS = 220
_TEAMS = 61
_QUEUES = 220
_KEYS = 5000
_VMS = 15_000
_NODES = 57
_NOTES = 1000
_QUICK_DIVISOR = 10
_BATCH_RECORDS = 10

RecordFactory = Callable[[int], records.Record]


def run(quick: bool) -> harness.Result:
    """Measures the fold's rate, the start from a snapshot and memory.

    Args:
        quick: whether to use a smaller state and fewer repeats.
    """
    divisor = _QUICK_DIVISOR if quick else 1
    repeats = 3 if quick else 7

    def _trial(rng: random.Random) -> dict[str, float]:
        figures = _measure_rate(rng, 50_000 // divisor)
        figures |= _measure_start(_build_state(divisor))
        figures |= _measure_sizes()
        return figures | _measure_memory(500 if quick else 2000)

    parameters = {
        "pools": _POOLS,
        "teams": _TEAMS,
        "keys": _KEYS // divisor,
        "vms": _VMS // divisor,
        "nodes": _NODES,
        "notes": _NOTES // divisor,
        "batch_records": _BATCH_RECORDS,
    }
    measurements = harness.repeat(_trial, repeats)
    return harness.result("fold", quick, parameters, measurements)


def _team(number: int) -> records.Record:
    body = {"share": 1 + number % 5, "limit": 1_000_000}
    change = note_records.Change("added", "team", f"team-{number}", 0, body)
    return note_records.NoteAccepted(f"t{number}", "op", "market", (change,))


def _pool(number: int) -> records.Record:
    body = {"size": 68, "zones": ["z1"], "min_available": 60}
    change = note_records.Change("added", "pool", f"pool-{number}", 0, body)
    return note_records.NoteAccepted(f"p{number}", "op", "market", (change,))


def _queue(number: int) -> records.Record:
    body = {
        "pool": f"pool-{number % _POOLS}",
        "teams": [f"team-{number % _TEAMS}"],
        "objective": 0.99,
    }
    change = note_records.Change("added", "queue", f"queue-{number}", 0, body)
    return note_records.NoteAccepted(f"q{number}", "op", "market", (change,))


def _key(number: int) -> records.Record:
    digest = snapshots.compute_digest(str(number))
    return key_records.KeyGiven(
        f"k{number}", digest, f"team-{number % 61}", "op"
    )


def _vm(number: int) -> records.Record:
    pool = f"pool-{number % _POOLS}"
    return vm_records.VmStep(f"worker-{number}", 1, pool, "joined", 0)


def _renewal(number: int) -> records.Record:
    node = f"entry-{number % _NODES}"
    counter = number // _NODES + 1
    return session_records.SessionRenewed(
        node, f"i-{node}", counter, "z1", "10.0.0.1:70", "10.0.0.1:80"
    )


def _grant(number: int) -> records.Record:
    node = f"entry-{number % _NODES}"
    team = f"team-{number % _TEAMS}"
    amount = number % 97 + 1
    return grant_records.GrantChanged(team, node, f"i-{node}", amount, amount)


class _StateBuilder:
    """Folds records in encoded batches, as an entry VM reads them."""

    def __init__(self) -> None:
        self.state = control_state.ControlState()
        self.offset = 0

    def add_records(self, factory: RecordFactory, numbers: range) -> None:
        """Encodes and folds one record per number."""
        for text in self.encode(factory, numbers):
            self.fold(text)

    def encode(self, factory: RecordFactory, numbers: range) -> list[str]:
        """Returns encoded batches of one record per number."""
        sequence = self.offset
        texts = []
        for start in range(0, len(numbers), _BATCH_RECORDS):
            rows = numbers[start : start + _BATCH_RECORDS]
            sequence += 1
            batch = record_batches.RecordBatch(
                "bench", "x", sequence, tuple(factory(n) for n in rows)
            )
            texts.append(record_batches.encode_batch(batch))
        return texts

    def fold(self, text: str) -> None:
        """Folds one encoded batch."""
        self.state.apply(self.offset, record_batches.decode_batch(text))
        self.offset += 1


def _build_state(divisor: int) -> control_state.ControlState:
    builder = _StateBuilder()
    builder.add_records(_team, range(_TEAMS))
    builder.add_records(_pool, range(_POOLS))
    builder.add_records(_queue, range(_QUEUES))
    builder.add_records(_key, range(_KEYS // divisor))
    builder.add_records(_vm, range(_VMS // divisor))
    builder.add_records(_renewal, range(_NODES))
    builder.add_records(_grant, range(_NODES * _TEAMS))
    notes_written = _TEAMS + _POOLS + _QUEUES
    builder.add_records(
        _queue, range(_QUEUES, _QUEUES + _NOTES // divisor - notes_written)
    )
    return builder.state


def _measure_rate(rng: random.Random, count: int) -> dict[str, float]:
    """Folds a mix of records as in a busy hour and returns the rate."""
    builder = _StateBuilder()
    builder.add_records(_team, range(_TEAMS))
    builder.add_records(_pool, range(_POOLS))
    builder.add_records(_renewal, range(_NODES))
    kinds = (_key, _grant, _grant, _grant, _vm, _queue)
    weights = (1, 3, 3, 3, 2, 1)
    factories = rng.choices(kinds, weights, k=count)
    texts = builder.encode(
        lambda number: factories[number](number), range(count)
    )
    started_s = time.process_time()
    for text in texts:
        builder.fold(text)
    elapsed_s = time.process_time() - started_s
    return {"fold_records_per_s": count / elapsed_s}


def _measure_start(state: control_state.ControlState) -> dict[str, float]:
    started_s = time.process_time()
    text = state.encode()
    digest = snapshots.compute_digest(text)
    digest_s = time.process_time() - started_s
    chunks = snapshots.split_into_chunks(
        snapshots.Snapshot("s", 0, digest, text)
    )
    batches = [
        record_batches.encode_batch(
            record_batches.RecordBatch("bench", "x", n + 1, (chunk,))
        )
        for n, chunk in enumerate(chunks)
    ]
    started_s = time.process_time()
    fold = snapshots.SnapshotFold()
    for offset, batch in enumerate(batches):
        fold.apply(offset, record_batches.decode_batch(batch))
    loaded = control_state.ControlState.decode(
        fold.complete[0].decompress().text
    )
    start_s = time.process_time() - started_s
    assert loaded.digest() == digest
    return {
        "digest_s": digest_s,
        "snapshot_start_s": start_s,
        "snapshot_text_bytes": float(len(text)),
        "snapshot_log_bytes": float(sum(map(len, batches))),
        "snapshot_chunks": float(len(chunks)),
    }


def _measure_sizes() -> dict[str, float]:
    """Returns the log bytes of the records that an idle fleet writes."""
    sizes = {}
    for name, factory in (("renewal", _renewal), ("grant", _grant)):
        batch = record_batches.RecordBatch(
            "entry-56", "a" * 16, 10**6, (factory(10**6),)
        )
        sizes[f"{name}_log_bytes"] = float(
            len(record_batches.encode_batch(batch))
        )
    return sizes


def _measure_memory(count: int) -> dict[str, float]:
    kinds: dict[str, tuple[RecordFactory, int]] = {
        "vm": (_vm, 10 * count),
        "pool": (_pool, count),
        "team": (_team, count),
        "key": (_key, count),
    }
    return {
        f"memory_bytes_per_{name}": _memory_slope(factory, rows)
        for name, (factory, rows) in kinds.items()
    }


def _memory_slope(factory: RecordFactory, count: int) -> float:
    """Returns the bytes that each object after the first `count` adds.

    If `count` exceeds the length of the history of release notes, the history
    is full before the first measurement and adds nothing.
    """
    builder = _StateBuilder()
    builder.add_records(_team, range(_TEAMS))
    builder.add_records(_pool, range(_POOLS))
    tracemalloc.start()
    try:
        builder.add_records(factory, range(_POOLS, count))
        gc.collect()
        before_bytes, _ = tracemalloc.get_traced_memory()
        builder.add_records(factory, range(count, 2 * count))
        gc.collect()
        after_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return (after_bytes - before_bytes) / count


if __name__ == "__main__":
    harness.main(run)
