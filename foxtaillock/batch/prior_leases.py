"""What an owner knows of the leases that earlier owners have granted."""

import enum
import types
import typing
from collections.abc import Mapping

from foxtaillock.batch import lease_times

__all__ = [
    "LeaseEndBasis",
    "LeaseEnds",
    "NO_LEASES",
    "PriorLeases",
    "latest",
    "lease_ends_of",
]

# Allowance for orders that an earlier owner had in flight when its last record
# was read.
_IN_FLIGHT_ALLOWANCE_S = 0.5


class LeaseEndBasis(enum.StrEnum):
    """What the end of earlier owners' leases rests on.

    `SILENT`: an owner of which nothing more was read may renew for a while.
    `ENDED`: the last owner had released, or was an earlier process of this VM.
    `RENOUNCED`: the last owner told when the leases on the worker end.
    `LONG`: an owner told of a longer lease than it had granted.
    """

    SILENT = "silent owner"
    ENDED = "ended owner"
    RENOUNCED = "renounced"
    LONG = "long lease"


class LeaseEnds(typing.NamedTuple):
    """Times by which the leases of runs on a worker have expired.

    Attributes:
        confirmed_s: for runs that an answer of the worker has confirmed.
        unconfirmed_s: for runs that none has. Their starts may have been
            carried out by a later incarnation than they were meant for, which
            gives the longest lease.
    """

    confirmed_s: float
    unconfirmed_s: float

    def end_s(self, is_confirmed: bool) -> float:
        """Returns the end for a run, by whether it is confirmed."""
        return self.confirmed_s if is_confirmed else self.latest_s

    @property
    def latest_s(self) -> float:
        """Time by which the leases of all runs have expired."""
        return max(self)


NO_LEASES = LeaseEnds(float("-inf"), float("-inf"))


def latest(one: LeaseEnds, other: LeaseEnds) -> LeaseEnds:
    """Returns the later end of both, each by itself.

    Example:
        >>> latest(LeaseEnds(4.0, 7.0), LeaseEnds(5.0, 6.0))
        LeaseEnds(confirmed_s=5.0, unconfirmed_s=7.0)
    """
    return LeaseEnds(
        max(one.confirmed_s, other.confirmed_s),
        max(one.unconfirmed_s, other.unconfirmed_s),
    )


def lease_ends_of(last_heard_s: float, has_ended: bool) -> LeaseEnds:
    """Returns times by which all leases granted by one owner have expired.

    Args:
        last_heard_s: time at which a record of that owner was last read.
        has_ended: whether that owner certainly renews no more leases. A silent
            owner may still renew leases on workers that this VM can't reach.
    """
    renews_s = 0.0 if has_ended else lease_times.RENEWAL_WINDOW_S
    granted_by_s = last_heard_s + renews_s + _IN_FLIGHT_ALLOWANCE_S
    lease_s = lease_times.RUN_LEASE_S / (1 - lease_times.MAX_CLOCK_DRIFT)
    return LeaseEnds(
        granted_by_s + lease_s,
        granted_by_s + lease_times.MAX_CALL_S + lease_times.MAX_LEASE_S,
    )


class PriorLeases(typing.NamedTuple):
    """Times by which the leases of earlier owners have expired.

    Attributes:
        ends: times by which all of them have expired, on any worker.
        renounced_ends: for each worker on which the last owner had renounced
            leases, the times by which those granted before have expired.
        long_ends_s: for each worker that may hold longer leases than granted,
            the time by which these have expired; see `long_leases`.
        basis: what `ends` rests on.
    """

    ends: LeaseEnds
    renounced_ends: Mapping[str, LeaseEnds] = types.MappingProxyType({})
    long_ends_s: Mapping[str, float] = types.MappingProxyType({})
    basis: LeaseEndBasis = LeaseEndBasis.SILENT

    def ends_on(self, worker_id: str) -> LeaseEnds:
        """Returns the times by which all leases on a worker have expired.

        Example:
            >>> renounced = {"i-1": LeaseEnds(14.0, 16.0)}
            >>> PriorLeases(LeaseEnds(20.0, 21.0), renounced).ends_on("i-1")
            LeaseEnds(confirmed_s=14.0, unconfirmed_s=16.0)
        """
        known = self.renounced_ends.get(worker_id, self.ends)
        long_s = self.long_ends_s.get(worker_id, float("-inf"))
        return LeaseEnds(
            max(min(known.confirmed_s, self.ends.confirmed_s), long_s),
            max(min(known.unconfirmed_s, self.ends.unconfirmed_s), long_s),
        )

    def basis_on(self, worker_id: str) -> LeaseEndBasis:
        """Returns what the end of the confirmed runs on a worker rests on.

        Example:
            >>> renounced = {"i-1": LeaseEnds(14.0, 16.0)}
            >>> prior = PriorLeases(LeaseEnds(20.0, 21.0), renounced)
            >>> str(prior.basis_on("i-1"))
            'renounced'
        """
        end_s = self.ends_on(worker_id).confirmed_s
        if self.long_ends_s.get(worker_id) == end_s:
            return LeaseEndBasis.LONG
        renounced = self.renounced_ends.get(worker_id)
        if renounced is not None and renounced.confirmed_s == end_s:
            return LeaseEndBasis.RENOUNCED
        return self.basis

    def was_silent(self, worker_id: str) -> bool:
        """Returns whether a worker did not answer the last owner."""
        return worker_id in self.renounced_ends
