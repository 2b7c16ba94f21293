"""Learns in which rhythm the demand of pools peaks, and predicts the next peak.

Answers the load of queues that peak in turn: for some seconds a queue asks for
several times its mean, then the next one does, always in the same order. A VM
that is ordered when demand rises arrives after the start of the peak; one that
is ordered a move before the predicted onset is there in time. Few cycles
are seen, and one may last as long as all that is known, so most is learned from
the first one: the interval between the turns of different pools is known from
the third onset on, long before any pool's own period has been confirmed.
"""

import typing
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from foxtaillock.batch import records
from foxtaillock.batch.vms import demand
from foxtaillock.batch.vms import pool_peaks
from foxtaillock.batch.vms import recurrence

__all__ = ["DemandRhythm", "Event"]


# A pool's first peak may be higher than those of other pools by this factor.
_OTHER_HEIGHT_RATIO = 1.5

# Larger times and demands in a record can't be true.
_MAX_TIME_S = 7 * 24 * 3600.0
_MAX_MILLIS = 1 << 50

# Turns overlap if peaks last longer than this multiple of their interval.
_OVERLAP_RATIO = 1.5


class Event(typing.NamedTuple):
    """Change of what is expected, for the log.

    Attributes:
        name: `peak-expected`, `peak-began` or `peak-missed`.
        fields: fields of the log line.
    """

    name: str
    fields: Mapping[str, typing.Any]


class _Expectation(typing.NamedTuple):
    """Expected onset of a peak.

    Attributes:
        onset_s: its time.
        weight: weight of the prediction, from 0 to 1.
    """

    onset_s: float
    weight: float


class DemandRhythm:
    """Rhythm of the peaks of all pools.

    Two rhythms are followed: that of each pool's own peaks, and that of the
    turns, which pass from pool to pool at equal intervals.
    """

    def __init__(self) -> None:
        self._peaks: dict[str, pool_peaks.PoolPeaks] = {}
        self._turns = recurrence.Recurrence()
        self._turn_pool = ""
        self._followers: dict[str, str] = {}
        self._order_weight = 1.0
        self._passed_over: set[str] = set()
        self._announced_s = float("-inf")
        self._events: list[Event] = []

    def observe(
        self,
        demands: Mapping[str, float],
        floors: Mapping[str, float],
        now_s: float,
    ) -> None:
        """Records the demand of the pools.

        Args:
            demands: demand of each pool.
            floors: demand of each pool that needs no preparation.
            now_s: current time.
        """
        for pool in self._peaks.keys() - demands.keys():
            del self._peaks[pool]
            self._followers.pop(pool, None)
            self._passed_over.discard(pool)
        for pool in demands:
            self._peaks.setdefault(pool, pool_peaks.PoolPeaks())
        for pool, millis in demands.items():
            expected = self._next_pools()
            if self._peaks[pool].observe(now_s, millis, floors[pool]):
                self._note_onset(pool, expected)
        self._expire(now_s)
        self._announce(now_s)

    def predicted(self, pool: str, now_s: float) -> float:
        """Returns the demand for which the pool's VMs should be on their way.

        It is that of earlier peaks from a move before the expected onset until
        a move after it has come, and none otherwise. Where turns overlap, the
        pool that peaks still needs its VMs, so none are taken for the next.
        """
        peaks = self._peaks.get(pool)
        if peaks is None or self._overlap():
            return 0.0
        if now_s - peaks.onset_s <= demand.LEAD_TIME_S:
            # Demand still rises. A VM sent away now would be missed.
            return self._height(pool) if peaks.was_expected else 0.0
        weights = [
            each.weight
            for each in self._expectations(pool)
            if now_s >= each.onset_s - demand.LEAD_TIME_S
        ]
        return max(weights, default=0.0) * self._height(pool)

    def highest(self, pool: str) -> float:
        """Returns the demand up to which growth is expected to go on.

        It is the height of the pool's last peak while the rhythm is confirmed,
        and infinite otherwise: work that waits for VMs on their way looks like
        growth. Before the pool's first peak, it is somewhat more than the
        highest other one, since peaks of different pools differ.
        """
        peaks = self._peaks.get(pool)
        if peaks is None or not self._is_confirmed(pool):
            return float("inf")
        highest = max(each.height for each in self._peaks.values())
        return peaks.height or _OTHER_HEIGHT_RATIO * highest or float("inf")

    def is_away(self, pool: str, now_s: float, margin_s: float) -> bool:
        """Returns whether the pool's next peak is known not to begin soon.

        Args:
            pool: the pool.
            now_s: current time.
            margin_s: time within which it is soon.
        """
        if pool not in self._peaks or self._is_in_turn(pool, now_s):
            return False
        expectations = self._expectations(pool)
        return self._is_confirmed(pool) and all(
            each.onset_s > now_s + margin_s for each in expectations
        )

    def is_near(self, pool: str, now_s: float, margin_s: float) -> bool:
        """Returns whether the pool peaks or is expected to within a time."""
        peaks = self._peaks.get(pool)
        return peaks is not None and (
            peaks.is_high
            or any(
                each.onset_s <= now_s + margin_s
                for each in self._expectations(pool)
            )
        )

    def take_events(self) -> list[Event]:
        """Returns the events since the last call."""
        events, self._events = self._events, []
        return events

    def snapshot(self, now_s: float) -> list[records.PoolRhythm]:
        """Returns what a new owner needs to continue."""
        return [
            records.PoolRhythm(
                pool,
                peaks.beat.interval_s,
                peaks.length_s,
                now_s - peaks.onset_s,
                peaks.beat.hits,
                int(peaks.height),
            )
            for pool, peaks in sorted(self._peaks.items())
            if peaks.onset_s > float("-inf")
        ]

    def restore(
        self, rows: Iterable[records.PoolRhythm], age_s: float, now_s: float
    ) -> None:
        """Continues from an earlier owner's snapshot.

        The interval between the turns follows from the ages of the onsets.
        Rows that can't be true are left out.

        Args:
            rows: the snapshot.
            age_s: time since it was taken.
            now_s: current time.
        """
        valid = filter(_is_valid, rows)
        for row in sorted(valid, key=lambda row: -row.onset_age_s):
            onset_s = now_s - age_s - row.onset_age_s
            peaks = self._peaks.setdefault(row.pool, pool_peaks.PoolPeaks())
            peaks.resume(onset_s, row.length_s, row.height_millis)
            peaks.beat.restore(onset_s, row.period_s, row.hits)
            peaks.beat.skip(now_s)
            self._note_turn(row.pool, onset_s, ())
        for _ in range(self._turns.skip(now_s)):
            self._turn_pool = next(iter(self._next_pools()), self._turn_pool)

    def _note_onset(self, pool: str, expected: Sequence[str]) -> None:
        peaks = self._peaks[pool]
        was_known = peaks.beat.hits > 0 or self._turns.hits > 0
        is_own = peaks.beat.observe(peaks.onset_s)
        is_turn = self._note_turn(pool, peaks.onset_s, expected)
        peaks.was_expected = was_known and (is_own or is_turn)
        fields = {"pool": pool, "expected": peaks.was_expected}
        self._events.append(Event("peak-began", fields))

    def _note_turn(
        self, pool: str, onset_s: float, expected: Sequence[str]
    ) -> bool:
        """Records an onset as a turn; returns whether it is one.

        Args:
            pool: the pool whose peak began.
            onset_s: time at which it began.
            expected: pools whose turn it was expected to be.
        """
        had_rhythm = self._turns.hits > 0
        is_turn = self._turns.observe(onset_s, pool)
        if not is_turn and had_rhythm:
            return False
        if had_rhythm and expected:
            if pool in expected:
                self._order_weight = min(1.0, 2 * self._order_weight)
            else:
                self._order_weight /= 2
                self._passed_over.update(expected)
        if self._turn_pool:
            self._followers[self._turn_pool] = pool
        self._passed_over.discard(pool)
        self._turn_pool = pool
        return is_turn

    def _expire(self, now_s: float) -> None:
        missed = []
        expected = self._next_pools()
        if self._turns.expire(now_s, self._is_rising(expected)):
            missed += expected
            if len(expected) == 1:
                # The turn of a pool that did not come passes to the next.
                self._turn_pool = expected[0]
        for pool, peaks in self._peaks.items():
            if peaks.beat.expire(now_s, peaks.is_rising):
                missed.append(pool)
        for pool in sorted(set(missed)):
            self._events.append(Event("peak-missed", {"pool": pool}))

    def _is_rising(self, pools: Iterable[str]) -> bool:
        return any(self._peaks[pool].is_rising for pool in pools)

    def _announce(self, now_s: float) -> None:
        """Adds an event once VMs start to move for an expected turn."""
        expected_s = self._turns.expected_s
        if not expected_s - demand.LEAD_TIME_S <= now_s < expected_s:
            return
        if not self._turns.is_confirmed:
            return
        if expected_s - self._announced_s < recurrence.MIN_INTERVAL_S:
            return
        self._announced_s = expected_s
        for pool in self._next_pools():
            fields = {
                "pool": pool,
                "in_s": round(expected_s - now_s, 2),
                "millis": int(self.predicted(pool, now_s)),
                "hits": self._turns.hits,
            }
            self._events.append(Event("peak-expected", fields))

    def _next_pools(self) -> list[str]:
        """Returns the pools that may have the next turn.

        It is the one that followed the last time; before that, those that have
        not peaked yet; and if all have, the one that peaked first.
        """
        follower = self._followers.get(self._turn_pool)
        if follower in self._peaks and follower not in self._passed_over:
            return [follower]
        unseen = [
            pool
            for pool, peaks in self._peaks.items()
            if peaks.onset_s == float("-inf")
            and peaks.has_demand
            and pool not in self._passed_over
        ]
        if unseen:
            return unseen
        seen = [
            pool
            for pool, peaks in self._peaks.items()
            if peaks.onset_s > float("-inf")
        ]
        oldest = min(
            seen, key=lambda pool: self._peaks[pool].onset_s, default=None
        )
        return [oldest] if oldest is not None else []

    def _expectations(self, pool: str) -> list[_Expectation]:
        """Returns when a pool's next onset is expected."""
        found = []
        beat = self._peaks[pool].beat
        if beat.is_confirmed:
            found.append(_Expectation(beat.expected_s, beat.weight))
        pools = self._next_pools()
        if self._turns.is_confirmed and pool in pools:
            weight = self._turns.weight * self._order_weight / len(pools)
            found.append(_Expectation(self._turns.expected_s, weight))
        return found

    def _is_confirmed(self, pool: str) -> bool:
        """Returns whether a pool's peaks were predicted right.

        Until then, equal intervals may be chance, and a pool keeps what it
        would keep without a rhythm.
        """
        beat = self._peaks[pool].beat
        return self._turns.is_confirmed or beat.is_confirmed

    def _is_in_turn(self, pool: str, now_s: float) -> bool:
        """Returns whether a pool's submissions may go on."""
        peaks = self._peaks[pool]
        length_s = peaks.length_s or max(
            (each.length_s for each in self._peaks.values()), default=0.0
        )
        is_over = length_s > 0 and now_s >= peaks.onset_s + length_s
        return peaks.is_high and not is_over

    def _overlap(self) -> bool:
        """Returns whether peaks go on after the next turn has begun."""
        longest_s = max(each.length_s for each in self._peaks.values())
        interval_s = self._turns.interval_s if self._turns.hits else longest_s
        return longest_s > _OVERLAP_RATIO * interval_s

    def _height(self, pool: str) -> float:
        """Returns the height of a pool's peaks, or that of the lowest other."""
        own = self._peaks[pool].height
        others = [each.height for each in self._peaks.values() if each.height]
        if own or others:
            return own or min(others)
        # A new owner has seen no peak to its end yet.
        return max(each.present_height for each in self._peaks.values())


def _is_valid(row: records.PoolRhythm) -> bool:
    return (
        0 <= row.period_s <= _MAX_TIME_S
        and 0 <= row.length_s <= _MAX_TIME_S
        and 0 <= row.onset_age_s < float("inf")
        and 0 <= row.height_millis <= _MAX_MILLIS
    )
