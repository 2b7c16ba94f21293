"""Times of sessions and the allowances between holder and challenger."""

import dataclasses

from foxtaillock import exceptions

__all__ = ["SessionTimes", "make_times"]


@dataclasses.dataclass(frozen=True, slots=True)
class SessionTimes:
    """Times of sessions.

    Attributes:
        lease_s: time that a renewal holds, from before it was sent.
        renew_s: mean time between renewals.
        jitter: renewals vary by this fraction of `renew_s`.
        drift: greatest difference of two clocks' rates, as a fraction.
        allowance_s: what a challenger waits longer, for pauses.
        max_gap_s: when the time up to which the view is complete jumps by
            more, silences start anew.
    """

    lease_s: float = 3.0
    renew_s: float = 0.8
    jitter: float = 0.25
    drift: float = 0.01
    allowance_s: float = 0.3
    max_gap_s: float = 2.0

    @property
    def held_s(self) -> float:
        """Time that the holder counts on, by its own clock."""
        return self.lease_s * (1.0 - self.drift)

    @property
    def challenge_s(self) -> float:
        """Silence after which a challenger ends the session."""
        return self.lease_s * (1.0 + self.drift) + self.allowance_s


def make_times(
    lease_s: float, renew_s: float, allowance_s: float
) -> SessionTimes:
    """Returns checked times.

    Raises:
        exceptions.InvalidInputError: a lease does not outlast two renewals,
            or a time is not positive.
    """
    times = SessionTimes(lease_s, renew_s, allowance_s=allowance_s)
    if min(lease_s, renew_s, allowance_s) <= 0.0:
        raise exceptions.InvalidInputError("session times must be positive")
    longest_s = renew_s * (1.0 + times.jitter)
    if times.held_s < 2.0 * longest_s:
        raise exceptions.InvalidInputError(
            f"lease of {lease_s} s does not outlast two renewals, "
            f"each up to {longest_s} s apart"
        )
    return times
