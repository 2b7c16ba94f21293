"""Derives the evacuated availability zones from the operators' records.

Answers the load of operators who evacuate zones, return them and evacuate them
again, also several at the same time, while entry VMs start and lose the stream.
Reads of a stream may overlap, so records may arrive twice and out of order: for
each zone, the record with the highest offset counts. The record that ended an
evacuation may have expired before it was read; the newest records of all keys
then lack the zone.
"""

from collections.abc import Callable
from collections.abc import Mapping

from foxtaillock.batch import interfaces
from foxtaillock.batch import model
from foxtaillock.batch import records

__all__ = ["Evacuations"]

# Zones that are not evacuated of which a late record is recognized as old by
# its own offset. Beyond them, all older records count as old.
_MAX_RETURNED_ZONES = 256


class Evacuations:
    """Evacuated zones, as far as this VM has read.

    Args:
        decode: decodes an operators' record; returns None if it requests no
            evacuation and ends none. An empty value ends the evacuation that
            the key names.
        log: structured log.

    Attributes:
        on_change: called with all evacuated zones after they have changed.
    """

    def __init__(
        self,
        decode: Callable[[str, bytes], model.Evacuation | None],
        log: Callable[..., None],
    ) -> None:
        self._decode = decode
        self._log = log
        self._since_s: dict[str, float] = {}
        # Offset of the latest record of each zone, in the order of reading.
        self._offsets: dict[str, int] = {}
        # Zones among them that are not evacuated, in the same order.
        self._returned: dict[str, None] = {}
        # Offset before which no record counts any more: a full read has told
        # all that do, or they have been applied.
        self._full_offset = 0
        self.on_change: Callable[[frozenset[str]], None] = lambda _: None

    @property
    def zones(self) -> frozenset[str]:
        """The evacuated zones."""
        return frozenset(self._since_s)

    @property
    def known_count(self) -> int:
        """Number of zones of which something is kept."""
        return len(self._offsets)

    def ages_s(self, now_s: float) -> Mapping[str, float]:
        """Returns the time since the request for each evacuated zone."""
        return {
            zone: now_s - since_s for zone, since_s in self._since_s.items()
        }

    def apply(
        self, offset: int, record: records.KeyedRecord, now_s: float
    ) -> bool:
        """Applies a record; returns whether it is one of an evacuation."""
        evacuation = self._decode(record.key, record.value)
        if evacuation is None:
            return False
        zone = evacuation.zone
        is_new = offset > self._offsets.get(zone, -1)
        if is_new and offset >= self._full_offset:
            self._offsets[zone] = offset
            if evacuation.is_requested:
                self._returned.pop(zone, None)
                self._begin(zone, now_s)
            else:
                self._end(zone, now_s)
                self._forget_returned()
        return True

    def forget_erased(self, page: interfaces.StreamPage, now_s: float) -> None:
        """Ends the evacuations whose records were erased.

        Args:
            page: newest record of each key of the operators' stream.
            now_s: current time.
        """
        present = {
            evacuation.zone
            for _, record in page.records
            if (evacuation := self._decode(record.key, b"")) is not None
        }
        self._full_offset = max(self._full_offset, page.next_offset)
        for zone in self.zones - present:
            if self._offsets[zone] < page.next_offset:
                self._end(zone, now_s)
        for zone in list(self._returned):
            if self._offsets[zone] < self._full_offset:
                self._drop(zone)

    def _begin(self, zone: str, now_s: float) -> None:
        if zone in self._since_s:
            return
        self._since_s[zone] = now_s
        self._log("zone-evacuated", zone=zone, evacuated=len(self._since_s))
        self.on_change(self.zones)

    def _end(self, zone: str, now_s: float) -> None:
        self._returned.pop(zone, None)
        self._returned[zone] = None
        since_s = self._since_s.pop(zone, None)
        if since_s is None:
            return
        self._log(
            "zone-returned", zone=zone, duration_s=round(now_s - since_s, 2)
        )
        self.on_change(self.zones)

    def _forget_returned(self) -> None:
        """Bounds the number of zones that are kept.

        A read begins after the records that have been applied, or holds all
        from its beginning on, so what comes before the oldest one is old.
        """
        if len(self._returned) > _MAX_RETURNED_ZONES:
            zone = next(iter(self._returned))
            self._full_offset = max(self._full_offset, self._offsets[zone] + 1)
            self._drop(zone)

    def _drop(self, zone: str) -> None:
        del self._returned[zone]
        del self._offsets[zone]
