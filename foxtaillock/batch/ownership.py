"""Decides when an entry VM claims the ownership of the fleet's work.

There is one owner at a time. Its records carry an epoch, and the store refuses
records of a lower epoch than it has seen, so that two owners can never both
write. This module only decides when a claim is worthwhile: a claim against a
live owner costs a handover, but is safe.
"""

import typing
import zlib

from foxtaillock.batch import lease_times
from foxtaillock.batch import prior_leases
from foxtaillock.batch import records

__all__ = [
    "ClaimDecision",
    "HEARTBEAT_INTERVAL_S",
    "OWNER_LEASE_S",
    "OwnerMonitor",
    "capacity_at_speed",
    "capacity_of",
    "warrants_handover",
]

# Longest interval between two records of an owner. It is about a third of the
# lease, so that one lost append does not cost the ownership.
HEARTBEAT_INTERVAL_S = 0.3

# Silence of the owner after which others may claim. This time, the time of a
# claim and that of the first orders must together stay below the lease of runs
# on workers (4 s), of which one second may have passed when the owner died.
OWNER_LEASE_S = 1.1

# Each entry VM adds a delay of its own, up to this time, so that usually only
# one of them claims.
_STAGGER_S = 0.6
_STAGGER_STEPS = 1_000

# Retries of failed claims are spread over this time: a slow store accepts only
# a few claims per second from all VMs together.
_CLAIM_RETRY_SPREAD_S = 3.0

# Network traffic of the owner's VM per processor in use: 300 starts per second
# with their payloads, answers and records.
_LINK_MBIT_S_PER_PROCESSOR = 10.0

# A VM offers to take over if its capacity is at least this multiple of the
# owner's. A handover stops new starts for some tenths of a second, so a small
# gain does not justify one.
_HANDOVER_RATIO = 1.5

# Additional delay of a VM with much less capacity than the last owner's. It is
# longer than the delays of all others, so that a larger VM claims first if
# there is one.
_SMALL_VM_DELAY_S = _STAGGER_S + 0.1

# Time from the start of an ownership to the first offer, and between offers.
_FIRST_OFFER_DELAY_S = 1.0
_OFFER_INTERVAL_S = 4.0

# A VM that released the ownership, for example because it could not reach the
# workers, delays its next claim and makes no offers for this time.
_CLAIM_DEFERRAL_S = 8.0


class ClaimDecision(typing.NamedTuple):
    """Decision whether to claim, with its inputs.

    Attributes:
        epoch: epoch to claim; 0 for no claim.
        silence_s: time since the last record of the owner.
        reason: reason for the log.
        needs_read: whether the journal has to be read to its end first, since
            a record of the owner may stand there.
    """

    epoch: int
    silence_s: float
    reason: str
    needs_read: bool = False


def capacity_of(processors: float, link_mbit_s: float) -> float:
    """Returns the capacity of a VM as owner, in processors.

    An owner uses processor time and network bandwidth in a fixed ratio, so the
    scarcer of the two limits its capacity.

    Example:
        >>> capacity_of(2.0, 5.0)
        0.5
    """
    return min(processors, link_mbit_s / _LINK_MBIT_S_PER_PROCESSOR)


def capacity_at_speed(capacity: float, speed: float) -> float:
    """Returns the capacity of a VM whose processor has slowed down.

    Args:
        capacity: capacity at full speed.
        speed: present speed as a fraction of the full one.

    Example:
        >>> capacity_at_speed(2.0, 0.125)
        0.25
    """
    return round(capacity * speed, 3)


def warrants_handover(capacity: float, owner_capacity: float) -> bool:
    """Returns whether a VM has enough more capacity to replace the owner."""
    return owner_capacity > 0 and capacity >= _HANDOVER_RATIO * owner_capacity


class OwnerMonitor:
    """Failure detector of one entry VM for the owner.

    Args:
        node: name of this entry VM.
        incarnation: identifies the start of its process.
        now_s: time at which it begins to follow the journal.
        capacity: capacity of this VM as owner at full speed; see
            `capacity_of`.
    """

    def __init__(
        self, node: str, incarnation: str, now_s: float, capacity: float = 0.0
    ) -> None:
        self._node = node
        self._incarnation = incarnation
        self._full_capacity = capacity
        self._capacity = capacity
        self._epoch_seen_s = now_s
        self._weak_since_s: float | None = None
        self._last_offer_s = float("-inf")
        self._owner: records.OwnerRecord | None = None
        self._earlier_ends = prior_leases.NO_LEASES
        self._earlier_basis = prior_leases.LeaseEndBasis.SILENT
        # The same, if the last owner wrote more than this VM has read.
        self._unread_ends = prior_leases.NO_LEASES
        self._renounced_ends: dict[str, prior_leases.LeaseEnds] = {}
        self._earlier_renounced_ends: dict[str, prior_leases.LeaseEnds] = {}
        self._long_ends_s: dict[str, float] = {}
        self._last_heard_s = now_s
        self._journal_read_s = float("-inf")
        self._claims_deferred_until_s = float("-inf")
        self._claim_retry_s = float("-inf")
        self._ownership_ended_s = float("-inf")

    @property
    def capacity(self) -> float:
        """Capacity of this VM at its present speed."""
        return self._capacity

    @property
    def last_heard_s(self) -> float:
        """Time at which the owner was last heard from."""
        return self._last_heard_s

    @property
    def earlier_lease_ends(self) -> prior_leases.LeaseEnds:
        """Times by which all leases of owners before the last one expired.

        Each of them may still have renewed leases, on workers that its
        successors did not reach, until its last record was too old. So the
        latest end counts, not that of the last owner.
        """
        return self._earlier_ends

    def lease_ends(self) -> prior_leases.LeaseEnds:
        """Returns times by which all leases granted so far have expired."""
        owner = self._owner
        if owner is None:
            return self._earlier_ends
        return prior_leases.latest(
            self._earlier_ends,
            prior_leases.lease_ends_of(
                self._last_heard_s, self._has_owner_ended()
            ),
        )

    def prior_leases(self) -> prior_leases.PriorLeases:
        """Returns what is known of leases granted by earlier owners."""
        return prior_leases.PriorLeases(
            self.earlier_lease_ends,
            dict(self._earlier_renounced_ends),
            dict(self._long_ends_s),
            self._earlier_basis,
        )

    def long_leases(self, now_s: float) -> tuple[records.LongLease, ...]:
        """Returns the long leases that a claim hands on."""
        return tuple(
            records.LongLease(worker_id, lease_times.remaining_ms(end_s, now_s))
            for worker_id, end_s in sorted(self._long_ends_s.items())
            if end_s > now_s
        )

    @property
    def owner(self) -> records.OwnerRecord | None:
        """Record of the owner with the highest epoch; None before the first."""
        return self._owner

    def set_speed(self, speed: float) -> None:
        """Sets the speed of this VM's processor as a fraction of its best."""
        self._capacity = capacity_at_speed(self._full_capacity, speed)

    def is_mine(self) -> bool:
        """Returns whether this process is the owner, as far as known."""
        owner = self._owner
        return (
            owner is not None
            and not owner.is_released
            and (owner.node, owner.incarnation)
            == (self._node, self._incarnation)
        )

    def observe(self, owner: records.OwnerRecord, now_s: float) -> None:
        """Records a claim, a heartbeat or a release of an owner."""
        if self._owner is not None and owner.epoch < self._owner.epoch:
            return
        if self._owner is None or owner.epoch > self._owner.epoch:
            self._follow_owner(now_s)
        if owner.heartbeat:
            self._renounced_ends = {
                each.worker_id: _lease_ends(
                    each.remaining_ms, each.unconfirmed_ms, now_s
                )
                for each in owner.renounced
            }
        self._note_long_leases(owner, now_s)
        if owner.earlier_leases_ms or owner.earlier_unconfirmed_ms:
            # Tells of owners whose records this VM has not read.
            self._earlier_ends = prior_leases.latest(
                self._earlier_ends,
                _lease_ends(
                    owner.earlier_leases_ms, owner.earlier_unconfirmed_ms, now_s
                ),
            )
        self._owner = owner
        self._last_heard_s = now_s

    def _follow_owner(self, now_s: float) -> None:
        """Notes what the last owner granted, now that another one has claimed.

        An owner grants leases only after its first heartbeat is stored. So one
        that wrote no more than its claim changed nothing.
        """
        self._unread_ends = self.lease_ends()
        if self._unread_ends.confirmed_s > self._earlier_ends.confirmed_s:
            self._earlier_basis = (
                prior_leases.LeaseEndBasis.ENDED
                if self._has_owner_ended()
                else prior_leases.LeaseEndBasis.SILENT
            )
        if self._owner is None or self._owner.heartbeat:
            self._earlier_ends = self._unread_ends
            self._earlier_renounced_ends = self._renounced_ends
        self._renounced_ends = {}
        self._epoch_seen_s = now_s

    def _note_long_leases(
        self, owner: records.OwnerRecord, now_s: float
    ) -> None:
        """Notes long leases; whoever tells of one, it lasts until its end."""
        for each in owner.long_leases:
            end_s = now_s + each.remaining_ms / 1000
            known_s = self._long_ends_s.get(each.worker_id, end_s)
            self._long_ends_s[each.worker_id] = max(known_s, end_s)
        self._long_ends_s = {
            worker_id: end_s
            for worker_id, end_s in self._long_ends_s.items()
            if end_s > now_s
        }

    def records_missed(self) -> None:
        """Records that some records of owners were left out of a read.

        The last owner before the present one may have written one of them, and
        have taken back what it had renounced.
        """
        self._earlier_renounced_ends = {}
        self._earlier_ends = prior_leases.latest(
            self._earlier_ends, self._unread_ends
        )

    def heard_from(self, epoch: int, now_s: float) -> bool:
        """Records that a record of the owner of an epoch was read.

        Returns whether that is the latest owner.
        """
        is_owner = self._owner is not None and epoch == self._owner.epoch
        if is_owner:
            self._last_heard_s = now_s
        return is_owner

    def journal_read(self, sent_s: float) -> None:
        """Records that a read sent at `sent_s` reached the journal's end."""
        self._journal_read_s = max(self._journal_read_s, sent_s)

    def journal_read_failed(self, now_s: float) -> None:
        """Records that the journal could not be read.

        An owner whose records could not be read is not silent: once the
        journal is readable again, the owner has half of its lease left.
        """
        self._last_heard_s = max(self._last_heard_s, now_s - OWNER_LEASE_S / 2)

    def observe_offer(self, offer: records.HandoverOffer, now_s: float) -> None:
        """Defers this VM's offer if a VM of no less capacity has made one."""
        if offer.capacity >= self._capacity:
            self._last_offer_s = now_s

    def next_offer(self, now_s: float) -> records.HandoverOffer | None:
        """Returns an offer to replace the owner if one is due, or None."""
        owner = self._owner
        if (
            owner is None
            or owner.is_released
            or now_s < self._claims_deferred_until_s
        ):
            return None
        if not warrants_handover(self._capacity, owner.capacity):
            self._weak_since_s = None
            return None
        if self._weak_since_s is None:
            self._weak_since_s = now_s
        first_s = max(
            self._weak_since_s, self._epoch_seen_s + _FIRST_OFFER_DELAY_S
        )
        is_due = now_s >= first_s + self._stagger_s()
        if not is_due or now_s - self._last_offer_s < _OFFER_INTERVAL_S:
            return None
        self._last_offer_s = now_s
        return records.HandoverOffer(self._node, owner.epoch, self._capacity)

    def claim_failed(self, now_s: float) -> None:
        """Delays the next claim after the store did not accept one."""
        retry_s = self._stagger_s() / _STAGGER_S * _CLAIM_RETRY_SPREAD_S
        self._claim_retry_s = now_s + OWNER_LEASE_S / 2 + retry_s

    def ownership_ended(self, now_s: float) -> None:
        """Records that an ownership of this process has ended.

        Its last record, a release, may not have been read yet.
        """
        self._ownership_ended_s = now_s

    def defer_claims(self, now_s: float) -> None:
        """Delays claims and offers, so that another entry VM takes over."""
        self._claims_deferred_until_s = now_s + _CLAIM_DEFERRAL_S

    def decide(self, now_s: float) -> ClaimDecision:
        """Decides whether to claim now, in a process that is not the owner.

        An owner record of this VM then belongs to an ownership that has ended:
        that of an earlier process, a claim that got no answer, or one that
        ended with an append out of sequence. The VM then claims at once.
        """
        silence_s = now_s - self._last_heard_s
        if now_s < self._claim_retry_s:
            return ClaimDecision(0, silence_s, "a claim has just failed")
        owner = self._owner
        if (
            owner is not None
            and owner.node == self._node
            and not owner.is_released
        ):
            return self._decide_after_own(owner, silence_s)
        wait_s = self._claim_silence_s(now_s)
        if silence_s < wait_s:
            return ClaimDecision(
                0, silence_s, "the owner's lease has not expired"
            )
        if self._journal_read_s < self._last_heard_s + min(
            wait_s, OWNER_LEASE_S / 2
        ):
            return ClaimDecision(
                0,
                silence_s,
                "the journal has not been read since",
                needs_read=True,
            )
        epoch = 1 if self._owner is None else self._owner.epoch + 1
        return ClaimDecision(epoch, silence_s, self._claim_reason())

    def _decide_after_own(
        self, owner: records.OwnerRecord, silence_s: float
    ) -> ClaimDecision:
        """Decides on a claim after an ownership of this VM has ended."""
        if self._journal_read_s < self._ownership_ended_s:
            return ClaimDecision(
                0,
                silence_s,
                "this VM's last records have not been read",
                needs_read=True,
            )
        reason = "this VM's earlier ownership has ended"
        return ClaimDecision(owner.epoch + 1, silence_s, reason)

    def _has_owner_ended(self) -> bool:
        """Returns whether the last owner certainly grants no more leases.

        An earlier process of this VM had ended before this one started.
        """
        owner = self._owner
        return owner is not None and (
            owner.is_released
            or (
                owner.node == self._node
                and owner.incarnation != self._incarnation
            )
        )

    def _claim_silence_s(self, now_s: float) -> float:
        """Returns the silence of the owner after which this VM claims."""
        owner = self._owner
        wait_s = self._stagger_s()
        if now_s < self._claims_deferred_until_s:
            wait_s += OWNER_LEASE_S
        if owner is None:
            return wait_s
        if warrants_handover(owner.capacity, self._capacity):
            wait_s += _SMALL_VM_DELAY_S
        if not owner.is_released:
            return OWNER_LEASE_S + wait_s
        if not owner.successor:
            return wait_s
        return 0.0 if owner.successor == self._node else OWNER_LEASE_S + wait_s

    def _stagger_s(self) -> float:
        """Returns this VM's delay, which differs for each epoch."""
        seed = f"{self._node}/{self._owner.epoch if self._owner else 0}"
        slot = zlib.crc32(seed.encode()) % _STAGGER_STEPS
        return slot / _STAGGER_STEPS * _STAGGER_S

    def _claim_reason(self) -> str:
        if self._owner is None:
            return "no owner yet"
        if self._owner.is_released:
            if self._owner.successor == self._node:
                return "released to this VM"
            return "released by its owner"
        return "owner is silent"


def _lease_ends(
    confirmed_ms: int, unconfirmed_ms: int, now_s: float
) -> prior_leases.LeaseEnds:
    """Returns the ends that a record tells; older ones tell one for all."""
    return prior_leases.LeaseEnds(
        now_s + confirmed_ms / 1000,
        now_s + max(confirmed_ms, unconfirmed_ms) / 1000,
    )
