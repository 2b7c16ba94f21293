"""What an owner knows of the leases that earlier owners have granted."""

import enum
import types
import typing
from collections.abc import Mapping

__all__ = ["LeaseEndBasis", "PriorLeases"]


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


class PriorLeases(typing.NamedTuple):
    """Times by which the leases of earlier owners have expired.

    Attributes:
        end_s: time by which all of them have expired, on any worker.
        renounced_ends_s: for each worker on which the last owner had renounced
            leases, the time by which those granted before have expired.
        long_ends_s: for each worker that may hold longer leases than granted,
            the time by which these have expired; see `long_leases`.
        basis: what `end_s` rests on.
    """

    end_s: float
    renounced_ends_s: Mapping[str, float] = types.MappingProxyType({})
    long_ends_s: Mapping[str, float] = types.MappingProxyType({})
    basis: LeaseEndBasis = LeaseEndBasis.SILENT

    def end_on_s(self, worker_id: str) -> float:
        """Returns the time by which all leases on a worker have expired.

        Example:
            >>> PriorLeases(20.0, {"i-1": 14.0}).end_on_s("i-1")
            14.0
        """
        known_s = self.renounced_ends_s.get(worker_id, self.end_s)
        long_s = self.long_ends_s.get(worker_id, float("-inf"))
        return max(min(known_s, self.end_s), long_s)

    def basis_on(self, worker_id: str) -> LeaseEndBasis:
        """Returns what the end of all leases on a worker rests on.

        Example:
            >>> str(PriorLeases(20.0, {"i-1": 14.0}).basis_on("i-1"))
            'renounced'
        """
        end_s = self.end_on_s(worker_id)
        if self.long_ends_s.get(worker_id) == end_s:
            return LeaseEndBasis.LONG
        if self.renounced_ends_s.get(worker_id) == end_s:
            return LeaseEndBasis.RENOUNCED
        return self.basis

    def was_silent(self, worker_id: str) -> bool:
        """Returns whether a worker did not answer the last owner."""
        return worker_id in self.renounced_ends_s
