"""Renewals without an answer, which a later incarnation may carry out.

A renewal names a time on the worker's clock. The clock of a later incarnation
starts anew, so that the same time lies far ahead there, and the worker cuts it
to the longest lease, from when the call arrives. It applies to all runs there.
"""

from foxtaillock.batch import lease_times

__all__ = ["LateRenewals"]


class LateRenewals:
    """Latest calls to each worker that renew its lease and got no answer."""

    def __init__(self) -> None:
        self._until_s: dict[str, float] = {}

    def note(self, worker_id: str, now_s: float) -> None:
        """Notes a call, sent before now, that may still be carried out."""
        self._until_s[worker_id] = now_s + lease_times.LATE_ORDER_S

    def leases_end_s(self, worker_id: str) -> float:
        """Returns the time by which leases from these calls have expired."""
        until_s = self._until_s.get(worker_id)
        if until_s is None:
            return float("-inf")
        return until_s + lease_times.MAX_LEASE_S

    def expire(self, now_s: float) -> None:
        """Forgets the calls whose leases have expired."""
        for worker_id in list(self._until_s):
            if now_s >= self.leases_end_s(worker_id):
                del self._until_s[worker_id]
