"""Decides when an entry VM claims the ownership of the fleet's work.

All work has one owner at a time. Its records carry an epoch, and the store
refuses those of a lower epoch than it has seen, so that two owners can't both
write. What is decided here is only when it is worth trying: a claim against
an owner that lives costs a hand-over, but breaks nothing.
"""

import typing
import zlib

from foxtaillock.batch import records

__all__ = ["ClaimDecision", "Ownership", "HEARTBEAT_S", "LEASE_S"]

# An owner writes at least this often; a third of its lease, so that one lost
# append does not cost it the ownership.
HEARTBEAT_S = 0.45

# Silence after which others may claim. Together with the time of a claim and
# of the first orders it must stay under the lease of what runs on the workers
# (4 s), of which an owner that died may have used up one second.
LEASE_S = 1.5

# The entry VMs wait for a little different times, so that one claim is enough.
_STAGGER_S = 0.08
_STAGGER_STEPS = 8

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


class Ownership:
    """What one entry VM knows of the owner.

    Args:
        node: name of this entry VM.
        incarnation: start of its process.
        now_s: time at which it starts to listen.
    """

    def __init__(self, node: str, incarnation: str, now_s: float) -> None:
        self._node = node
        self._incarnation = incarnation
        self._owner: records.OwnerRecord | None = None
        self._heard_s = now_s
        self._checked_s = float("-inf")
        self._yield_until_s = float("-inf")

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
        seed = f"{self._node}/{self._owner.epoch if self._owner else 0}"
        place = zlib.crc32(seed.encode()) % _STAGGER_STEPS
        stagger_s = place * _STAGGER_S
        if now_s < self._yield_until_s:
            stagger_s += LEASE_S
        if self._owner is None or self._owner.is_released:
            return stagger_s
        return LEASE_S + stagger_s

    def _claim_reason(self) -> str:
        if self._owner is None:
            return "no owner yet"
        if self._owner.is_released:
            return "released by its owner"
        return "owner is silent"
