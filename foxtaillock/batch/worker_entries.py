"""Reads the entries of the worker registry, in which anybody can write."""

from collections.abc import Callable

from foxtaillock.batch import model
from foxtaillock.batch import records

__all__ = ["WorkerEntryReader"]

# Number of odd entries whose keys are kept; beyond it, they are logged anew.
_MAX_KNOWN_ODD = 1_000

_MAX_LOGGED_BYTES = 200


class WorkerEntryReader:
    """Decodes registry entries, and logs each odd one once.

    An odd entry is no news of its worker: it names none to use, and removes
    none. Odd entries are written again with each heartbeat, so that the next
    log line of a key comes only after its entry was removed.

    Args:
        decode: decodes a key and a value; returns None for an odd entry.
        log: structured log.
    """

    def __init__(
        self,
        decode: Callable[[str, bytes], model.WorkerEntry | None],
        log: Callable[..., None],
    ) -> None:
        self._decode = decode
        self._log = log
        self._odd_keys: set[str] = set()

    def read(self, record: records.KeyedRecord) -> model.WorkerEntry | None:
        """Returns the entry, or None if it is odd."""
        entry = self._decode(record.key, record.value)
        if entry is None and record.key not in self._odd_keys:
            if len(self._odd_keys) >= _MAX_KNOWN_ODD:
                self._odd_keys.clear()
            self._odd_keys.add(record.key)
            self._log(
                "worker-entry-unreadable",
                worker=record.key,
                entry=repr(record.value[:_MAX_LOGGED_BYTES]),
            )
        return entry

    def forget(self, key: str) -> None:
        """Forgets a key whose entry was removed."""
        self._odd_keys.discard(key)
