"""Lease duration, renewal interval and clock tolerances of sessions."""

import dataclasses

from foxtaillock import exceptions

__all__ = ["SessionTimes", "make_times"]


@dataclasses.dataclass(frozen=True, slots=True)
class SessionTimes:
    """Lease duration, renewal interval and clock tolerances of sessions.

    Attributes:
        lease_s: lease duration, counted from just before the renewal is sent.
        renew_s: mean interval between renewals.
        jitter: fraction of `renew_s` by which the interval varies.
        drift: greatest difference of two clocks' rates, as a fraction.
        allowance_s: extra time that other nodes wait before they end a
            session, to cover pauses of its holder.
        max_gap_s: when the time up to which the view is complete advances by
            more than this at once, the expiry timeouts start again.
    """

    lease_s: float = 3.0
    renew_s: float = 0.8
    jitter: float = 0.25
    drift: float = 0.01
    allowance_s: float = 0.3
    max_gap_s: float = 2.0

    @property
    def holder_lease_s(self) -> float:
        """Lease duration that the holder relies on, by its own clock."""
        return self.lease_s * (1.0 - self.drift)

    @property
    def expiry_timeout_s(self) -> float:
        """Time without a renewal after which others end the session."""
        return self.lease_s * (1.0 + self.drift) + self.allowance_s


def make_times(
    lease_s: float, renew_s: float, allowance_s: float
) -> SessionTimes:
    """Returns validated session times.

    Raises:
        exceptions.InvalidInputError: a lease does not outlast two renewal
            intervals, or a time is not positive.
    """
    times = SessionTimes(lease_s, renew_s, allowance_s=allowance_s)
    if min(lease_s, renew_s, allowance_s) <= 0.0:
        raise exceptions.InvalidInputError("session times must be positive")
    max_interval_s = renew_s * (1.0 + times.jitter)
    if times.holder_lease_s < 2.0 * max_interval_s:
        raise exceptions.InvalidInputError(
            f"lease of {lease_s} s does not outlast two renewal intervals "
            f"of up to {max_interval_s} s"
        )
    return times
