"""Tests of when an entry VM claims the ownership."""

import unittest

from foxtaillock.batch import lease_times
from foxtaillock.batch import ownership
from foxtaillock.batch import prior_leases
from foxtaillock.batch import records
from foxtaillock.batch.tests import builders

_OTHER = records.OwnerRecord(4, "vm-2", "b", heartbeat=1)
_MINE = records.OwnerRecord(5, "vm-1", "a")


class OwnershipTest(unittest.TestCase):
    """Decisions of `vm-1`."""

    def setUp(self) -> None:
        self.monitor = ownership.OwnerMonitor("vm-1", "a", 0.0)

    def _decide(self, now_s: float) -> int:
        self.monitor.journal_read(now_s - 0.01)
        return self.monitor.decide(now_s).epoch

    def test_first_owner_has_epoch_one(self) -> None:
        self.assertEqual(self._decide(1.0), 1)

    def test_live_owner_is_not_replaced(self) -> None:
        self.monitor.observe(_OTHER, 10.0)
        self.assertEqual(self._decide(10.0 + ownership.OWNER_LEASE_S - 0.1), 0)

    def test_silent_owner_is_replaced(self) -> None:
        self.monitor.observe(_OTHER, 10.0)
        self.assertEqual(self._decide(10.0 + ownership.OWNER_LEASE_S + 0.7), 5)

    def test_owner_whose_progress_is_read_is_not_silent(self) -> None:
        self.monitor.observe(_OTHER, 10.0)
        self.monitor.heard_from(4, 11.0)
        self.assertEqual(self._decide(11.8), 0)
        self.monitor.heard_from(3, 12.5)
        self.assertEqual(self._decide(12.8), 5)

    def test_silence_requires_a_read_of_the_journal(self) -> None:
        self.monitor.observe(_OTHER, 10.0)
        self.assertEqual(self.monitor.decide(30.0).epoch, 0)

    def test_owner_keeps_half_of_its_lease_after_a_store_outage(self) -> None:
        self.monitor.observe(_OTHER, 10.0)
        self.monitor.journal_read_failed(20.0)
        self.assertEqual(self._decide(20.1), 0)

    def test_released_ownership_is_claimed_at_once(self) -> None:
        self.monitor.observe(_OTHER._replace(is_released=True), 10.0)
        self.assertEqual(self._decide(10.7), 5)

    def test_vm_that_released_the_ownership_delays_its_next_claim(self) -> None:
        mine = records.OwnerRecord(4, "vm-1", "a", is_released=True)
        self.monitor.observe(mine, 10.0)
        self.monitor.defer_claims(10.0)
        self.assertEqual(self._decide(10.7), 0)
        self.assertEqual(self._decide(13.0), 5)

    def test_owner_of_an_earlier_process_is_replaced_at_once(self) -> None:
        self.monitor.observe(records.OwnerRecord(4, "vm-1", "z"), 10.0)
        self.assertEqual(self._decide(10.1), 5)

    def test_vm_that_hands_over_does_not_claim_before_it_reads_its_release(
        self,
    ) -> None:
        self.monitor.observe(_MINE, 10.0)
        self.monitor.journal_read(10.0)
        self.monitor.ownership_ended(10.1)
        decision = self.monitor.decide(10.2)
        self.assertEqual((decision.epoch, decision.needs_read), (0, True))

    def test_ownership_that_ended_by_an_error_is_claimed_again_at_once(
        self,
    ) -> None:
        self.monitor.observe(_MINE, 10.0)
        self.monitor.ownership_ended(10.1)
        self.monitor.journal_read(10.15)
        self.assertEqual(self.monitor.decide(10.2).epoch, 6)

    def test_leases_of_a_silent_owner_end_later_than_those_of_an_ended_one(
        self,
    ) -> None:
        for released, end_s in (
            (False, prior_leases.lease_ends_of(10.0, False)),
            (True, prior_leases.lease_ends_of(10.0, True)),
        ):
            monitor = ownership.OwnerMonitor("vm-1", "a", 0.0)
            monitor.observe(_OTHER._replace(is_released=released), 10.0)
            monitor.observe(_MINE, 11.0)
            self.assertEqual(monitor.earlier_lease_ends, end_s)
        earlier = records.OwnerRecord(4, "vm-1", "z", heartbeat=1)
        self.monitor.observe(earlier, 10.0)
        self.monitor.observe(_MINE, 11.0)
        self.assertEqual(
            self.monitor.earlier_lease_ends,
            prior_leases.lease_ends_of(10.0, True),
        )
        silent = prior_leases.lease_ends_of(10.0, False)
        ended = prior_leases.lease_ends_of(10.0, True)
        self.assertEqual(
            silent.confirmed_s - ended.confirmed_s, lease_times.RENEWAL_WINDOW_S
        )
        self.assertGreater(ended.confirmed_s, 10.0 + lease_times.RUN_LEASE_S)

    def test_retries_of_failed_claims_are_spread(self) -> None:
        retry_tenths = set()
        for number in range(40):
            monitor = ownership.OwnerMonitor(f"vm-{number}", "a", 0.0)
            monitor.observe(_OTHER, 10.0)
            monitor.claim_failed(12.0)
            for tenths in range(120, 160):
                monitor.journal_read(tenths / 10)
                if monitor.decide(tenths / 10).epoch:
                    retry_tenths.add(tenths)
                    break
        self.assertGreater(
            min(retry_tenths) / 10, 12.0 + ownership.OWNER_LEASE_S / 2
        )
        self.assertGreater(len(retry_tenths), 15)

    def test_record_of_an_earlier_owner_is_ignored(self) -> None:
        self.monitor.observe(_OTHER, 10.0)
        self.monitor.observe(records.OwnerRecord(3, "vm-3", "c"), 11.0)
        self.assertEqual(self.monitor.owner, _OTHER)
        self.assertEqual(self.monitor.last_heard_s, 10.0)


class EarlierLeasesTest(unittest.TestCase):
    """How long a new owner waits for leases that others may have renewed."""

    def setUp(self) -> None:
        self.monitor = ownership.OwnerMonitor("vm-1", "a", 0.0)

    def test_record_written_while_the_claim_was_sent_counts(self) -> None:
        """The earlier owner lived: its last record came after the decision."""
        self.monitor.observe(_OTHER, 10.0)
        self.monitor.observe(_OTHER._replace(heartbeat=2), 12.4)
        self.monitor.observe(_MINE, 12.5)
        self.assertEqual(
            self.monitor.earlier_lease_ends,
            prior_leases.lease_ends_of(12.4, False),
        )

    def test_short_ownership_hides_no_lease_of_the_one_before(self) -> None:
        """`vm-2` was cut off from the store and renews on; `vm-3` released."""
        self.monitor.observe(_OTHER, 10.0)
        short = records.OwnerRecord(5, "vm-3", "c")
        self.monitor.observe(short, 11.5)
        self.monitor.observe(
            short._replace(is_released=True, heartbeat=1), 11.6
        )
        self.monitor.observe(_MINE._replace(epoch=6), 11.7)
        self.assertEqual(
            self.monitor.earlier_lease_ends,
            prior_leases.lease_ends_of(10.0, False),
        )

    def test_unanswered_claim_of_this_vm_hides_no_lease(self) -> None:
        self.monitor.observe(_OTHER, 10.0)
        self.monitor.observe(_MINE, 11.5)
        self.monitor.observe(_MINE._replace(epoch=6), 11.6)
        ends = self.monitor.earlier_lease_ends
        silent = prior_leases.lease_ends_of(10.0, False)
        self.assertGreaterEqual(ends.confirmed_s, silent.confirmed_s)
        self.assertGreaterEqual(ends.unconfirmed_s, silent.unconfirmed_s)

    def test_vm_that_has_just_started_learns_it_from_the_record(self) -> None:
        """It reads only the newest record, that of the short ownership."""
        short = records.OwnerRecord(
            5,
            "vm-3",
            "c",
            is_released=True,
            heartbeat=1,
            earlier_leases_ms=7_000,
            earlier_unconfirmed_ms=9_000,
        )
        self.monitor.observe(short, 20.0)
        self.monitor.observe(_MINE._replace(epoch=6), 20.1)
        self.assertEqual(
            self.monitor.earlier_lease_ends, builders.lease_ends(27.0, 29.0)
        )


class CapacityTest(unittest.TestCase):
    """Entry VMs of different capacity."""

    def setUp(self) -> None:
        self.large = ownership.OwnerMonitor("vm-1", "a", 0.0, 2.0)
        self.small = ownership.OwnerMonitor("vm-1", "a", 0.0, 0.5)

    def test_scarcer_of_processor_and_link_limits_the_capacity(self) -> None:
        self.assertEqual(ownership.capacity_of(2.0, 1000.0), 2.0)
        self.assertEqual(ownership.capacity_of(2.0, 5.0), 0.5)

    def test_larger_vm_offers_once_and_again_later(self) -> None:
        self.large.observe(_OTHER._replace(capacity=0.5), 10.0)
        self.assertIsNone(self.large.next_offer(10.5))
        offer = self.large.next_offer(12.0)
        self.assertEqual(offer, records.HandoverOffer("vm-1", 4, 2.0))
        self.assertIsNone(self.large.next_offer(13.0))
        self.assertIsNotNone(self.large.next_offer(17.0))

    def test_owner_that_turns_slow_gets_an_offer_of_an_equal_vm(self) -> None:
        slow = _OTHER._replace(capacity=0.25)
        self.large.observe(_OTHER._replace(capacity=2.0), 10.0)
        self.assertIsNone(self.large.next_offer(29.9))
        self.large.observe(slow, 30.0)
        self.assertIsNone(self.large.next_offer(30.0))
        self.assertEqual(
            self.large.next_offer(30.7), records.HandoverOffer("vm-1", 4, 2.0)
        )

    def test_slow_vm_makes_no_offer_and_claims_after_fast_ones(self) -> None:
        fast = ownership.OwnerMonitor("vm-1", "a", 0.0, 2.0)
        self.large.set_speed(0.125)
        for monitor in (fast, self.large):
            monitor.observe(_OTHER._replace(capacity=1.0), 10.0)
            monitor.journal_read(13.0)
        self.assertIsNone(self.large.next_offer(13.0))
        for tenths in range(100, 130):
            now_s = tenths / 10
            if fast.decide(now_s).epoch:
                self.assertFalse(self.large.decide(now_s).epoch)
                break
        self.assertTrue(self.large.decide(13.0).epoch)

    def test_no_offer_to_an_equal_owner_or_after_the_offer_of_an_equal_vm(
        self,
    ) -> None:
        self.large.observe(_OTHER._replace(capacity=2.0), 10.0)
        self.assertIsNone(self.large.next_offer(12.0))
        self.large.observe(_OTHER._replace(epoch=5, capacity=0.5), 20.0)
        self.large.observe_offer(records.HandoverOffer("vm-3", 5, 2.0), 21.0)
        self.assertIsNone(self.large.next_offer(22.0))

    def test_no_offer_after_releasing_the_ownership(self) -> None:
        self.large.observe(_OTHER._replace(capacity=0.5), 10.0)
        self.large.defer_claims(10.0)
        self.assertIsNone(self.large.next_offer(12.0))

    def test_successor_claims_at_once_and_others_wait(self) -> None:
        released = _OTHER._replace(
            is_released=True, capacity=0.5, successor="vm-1"
        )
        self.large.observe(released, 10.0)
        self.large.journal_read(10.0)
        self.assertEqual(self.large.decide(10.0).epoch, 5)
        self.large.observe(released._replace(epoch=5, successor="vm-7"), 11.0)
        self.large.journal_read(12.0)
        self.assertEqual(self.large.decide(12.0).epoch, 0)
        self.large.journal_read(13.9)
        self.assertEqual(self.large.decide(13.9).epoch, 6)

    def test_every_larger_vm_claims_before_any_small_one(self) -> None:
        claimed_s: dict[float, list[float]] = {0.5: [], 2.0: []}
        for number in range(60):
            capacity = 2.0 if number % 2 else 0.5
            monitor = ownership.OwnerMonitor(
                f"edge-{number}", "a", 0.0, capacity
            )
            monitor.observe(_OTHER._replace(capacity=2.0), 10.0)
            monitor.journal_read(13.0)
            claimed_s[capacity].append(
                next(
                    hundredths / 100
                    for hundredths in range(1000, 1300)
                    if monitor.decide(hundredths / 100).epoch
                )
            )
        self.assertLess(max(claimed_s[2.0]), min(claimed_s[0.5]))


class RenouncedLeasesTest(unittest.TestCase):
    """What `vm-1` knows of leases that the last owner has renounced."""

    def setUp(self) -> None:
        self.monitor = ownership.OwnerMonitor("vm-1", "a", 0.0)
        lease = records.RenouncedLease("i-1", 2_000)
        renounced = _OTHER._replace(heartbeat=3, renounced=(lease,))
        self.monitor.observe(renounced, 10.0)

    def _ends_s(self) -> dict[str, float]:
        return {
            worker_id: ends.latest_s
            for worker_id, ends in (
                self.monitor.prior_leases().renounced_ends.items()
            )
        }

    def test_new_owner_knows_what_the_last_one_renounced(self) -> None:
        self.monitor.observe(_MINE, 11.0)
        self.assertEqual(self._ends_s(), {"i-1": 12.0})

    def test_later_record_takes_it_back(self) -> None:
        self.monitor.observe(_OTHER._replace(heartbeat=4), 10.3)
        self.monitor.observe(_MINE, 11.0)
        self.assertEqual(self._ends_s(), {})

    def test_record_may_have_been_missed(self) -> None:
        self.monitor.observe(_MINE, 11.0)
        self.monitor.records_missed()
        self.assertEqual(self._ends_s(), {})

    def test_claims_that_are_never_run_put_no_end_off(self) -> None:
        for epoch in range(5, 9):
            claim = records.OwnerRecord(epoch, "vm-3", "c")
            self.monitor.observe(claim, 11.0 + epoch)
        self.assertEqual(self._ends_s(), {"i-1": 12.0})
        self.assertEqual(
            self.monitor.earlier_lease_ends,
            prior_leases.lease_ends_of(10.0, False),
        )

    def test_owner_whose_records_were_missed_may_have_granted_leases(
        self,
    ) -> None:
        self.monitor.observe(records.OwnerRecord(5, "vm-3", "c"), 11.0)
        self.monitor.observe(records.OwnerRecord(6, "vm-1", "a"), 12.0)
        self.monitor.records_missed()
        self.assertEqual(
            self.monitor.earlier_lease_ends,
            prior_leases.lease_ends_of(11.0, False),
        )
