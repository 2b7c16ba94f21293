"""Decides when an entry VM claims the ownership of the fleet's work.

All work has one owner at a time. Its records carry an epoch, and the store
refuses those of a lower epoch than it has seen, so that two owners can't both
write. What is decided here is only when it is worth trying: a claim against
an owner that lives costs a hand-over, but breaks nothing.
"""

import typing
import zlib

from foxtaillock.batch import records

__all__ = [
    "ClaimDecision",
    "HEARTBEAT_S",
    "LEASE_S",
    "Ownership",
    "can_relieve",
    "capacity_of",
]

# An owner writes at least this often; a third of its lease, so that one lost
# append does not cost it the ownership.
HEARTBEAT_S = 0.3

# Silence after which others may claim. Together with the time of a claim and
# of the first orders it must stay under the lease of what runs on the workers
# (4 s), of which an owner that died may have used up one second.
LEASE_S = 1.1

# The entry VMs wait for up to this much more, each for a time of its own, so
# that one claim is enough.
_STAGGER_S = 0.6
_STAGGER_STEPS = 1_000

# A claim that failed is repeated after up to this much more: a store that is
# slow takes only a few claims a second of all VMs together.
_CLAIM_AGAIN_S = 3.0

# What the owner's VM sends and reads for each processor that it uses: 300
# starts a second with their payloads, answers and records.
_LINK_MBIT_S = 10.0

# A VM offers to take over from one that can carry this much less. The hand-over
# stops new starts for some tenths of a second, so a little more is no reason.
_RELIEVES = 1.5

# Additional silence before a VM claims that can carry much less than the last
# owner's, so that one of its kind comes first if any lives.
_SMALLER_S = 0.4

# Time that an owner is left before the first offer, and between two offers.
_OFFER_S = 1.0
_OFFER_AGAIN_S = 4.0

# After it gave up for want of reach, an owner leaves the claim to others.
YIELD_S = 8.0


class ClaimDecision(typing.NamedTuple):
    """Whether to claim, with the inputs of the decision.

    Attributes:
        epoch: epoch to claim; 0 not to claim.
        silence_s: time since the owner was last heard of.
        reason: why, for the log.
    """

    epoch: int
    silence_s: float
    reason: str


def capacity_of(processors: float, link_mbit_s: float) -> float:
    """Returns what a VM can carry as an owner, in processors.

    An owner's work takes processor time and the VM's link in a fixed relation,
    so the scarcer one counts.

    Example:
        >>> capacity_of(2.0, 5.0)
        0.5
    """
    return min(processors, link_mbit_s / _LINK_MBIT_S)


def can_relieve(capacity: float, owner_capacity: float) -> bool:
    """Returns whether a VM can carry so much more that it ought to own."""
    return owner_capacity > 0 and capacity >= _RELIEVES * owner_capacity


class Ownership:
    """What one entry VM knows of the owner.

    Args:
        node: name of this entry VM.
        incarnation: start of its process.
        now_s: time at which it starts to listen.
        capacity: what it can carry; see `capacity_of`.
    """

    def __init__(
        self, node: str, incarnation: str, now_s: float, capacity: float = 0.0
    ) -> None:
        self._node = node
        self._incarnation = incarnation
        self._capacity = capacity
        self._owned_s = now_s
        self._offered_s = float("-inf")
        self._owner: records.OwnerRecord | None = None
        self._heard_s = now_s
        self._checked_s = float("-inf")
        self._yield_until_s = float("-inf")
        self._claim_from_s = float("-inf")

    @property
    def heard_s(self) -> float:
        """Time at which the owner was last heard of."""
        return self._heard_s

    @property
    def owner(self) -> records.OwnerRecord | None:
        """The newest record of an owner."""
        return self._owner

    def is_mine(self) -> bool:
        """Returns whether this process wrote the newest owner's record."""
        owner = self._owner
        return (
            owner is not None
            and not owner.is_released
            and (owner.node, owner.incarnation)
            == (self._node, self._incarnation)
        )

    def has_ended(self) -> bool:
        """Returns whether the owner that was heard of certainly owns no more.

        It has released, or it was an earlier process or ownership of this VM.
        """
        owner = self._owner
        return owner is None or owner.is_released or owner.node == self._node

    def heard(self, owner: records.OwnerRecord, now_s: float) -> None:
        """Takes a record of an owner in."""
        if self._owner is not None and owner.epoch < self._owner.epoch:
            return
        if self._owner is None or owner.epoch > self._owner.epoch:
            self._owned_s = now_s
        self._owner = owner
        self._heard_s = now_s

    def checked(self, sent_s: float) -> None:
        """Notes that a read sent at `sent_s` has reached the journal's end."""
        self._checked_s = max(self._checked_s, sent_s)

    def read_failed(self, now_s: float) -> None:
        """Notes that the journal could not be read.

        An owner whose records could not be read is not silent: half of its
        lease is left to it once the journal can be read again.
        """
        self._heard_s = max(self._heard_s, now_s - LEASE_S / 2)

    def offer_heard(self, offer: records.Candidacy, now_s: float) -> None:
        """Takes in that a VM offers to own; the others need not."""
        if offer.capacity >= self._capacity:
            self._offered_s = now_s

    def take_offer(self, now_s: float) -> records.Candidacy | None:
        """Returns an offer to relieve the owner that is due now, or None."""
        owner = self._owner
        if owner is None or owner.is_released or now_s < self._yield_until_s:
            return None
        if not can_relieve(self._capacity, owner.capacity):
            return None
        is_due = now_s - self._owned_s >= _OFFER_S + self._stagger_s()
        if not is_due or now_s - self._offered_s < _OFFER_AGAIN_S:
            return None
        self._offered_s = now_s
        return records.Candidacy(self._node, owner.epoch, self._capacity)

    def claim_failed(self, now_s: float) -> None:
        """Notes that the store took no claim; the next one waits."""
        again_s = self._stagger_s() / _STAGGER_S * _CLAIM_AGAIN_S
        self._claim_from_s = now_s + LEASE_S / 2 + again_s

    def step_back(self, now_s: float) -> None:
        """Leaves the next claims to other entry VMs for a while."""
        self._yield_until_s = now_s + YIELD_S

    def decide(self, now_s: float) -> ClaimDecision:
        """Decides whether to claim now, in a process that does not own.

        A record of this VM then stands for an owner that is no more: an
        earlier process, a claim whose answer never came, or an ownership that
        ended with an append out of sequence. So it claims at once.
        """
        silence_s = now_s - self._heard_s
        if now_s < self._claim_from_s:
            return ClaimDecision(0, silence_s, "a claim has just failed")
        owner = self._owner
        if (
            owner is not None
            and owner.node == self._node
            and not owner.is_released
        ):
            reason = "this VM's own owner is no more"
            return ClaimDecision(owner.epoch + 1, silence_s, reason)
        wait_s = self._wait_s(now_s)
        if silence_s < wait_s:
            return ClaimDecision(0, silence_s, "owner's lease is not over")
        if self._checked_s < self._heard_s + min(wait_s, LEASE_S / 2):
            return ClaimDecision(0, silence_s, "journal not read since")
        epoch = 1 if self._owner is None else self._owner.epoch + 1
        return ClaimDecision(epoch, silence_s, self._claim_reason())

    def _wait_s(self, now_s: float) -> float:
        owner = self._owner
        wait_s = self._stagger_s()
        if now_s < self._yield_until_s:
            wait_s += LEASE_S
        if owner is None:
            return wait_s
        if can_relieve(owner.capacity, self._capacity):
            wait_s += _SMALLER_S
        if not owner.is_released:
            return LEASE_S + wait_s
        if not owner.successor:
            return wait_s
        return 0.0 if owner.successor == self._node else LEASE_S + wait_s

    def _stagger_s(self) -> float:
        seed = f"{self._node}/{self._owner.epoch if self._owner else 0}"
        place = zlib.crc32(seed.encode()) % _STAGGER_STEPS
        return place / _STAGGER_STEPS * _STAGGER_S

    def _claim_reason(self) -> str:
        if self._owner is None:
            return "no owner yet"
        if self._owner.is_released:
            if self._owner.successor == self._node:
                return "released to this VM"
            return "released by its owner"
        return "owner is silent"
