"""Durations of leases, and of the calls that grant them.

A lease is a time on the clock of one incarnation of a worker, which may be
slow. The clock of a later incarnation starts anew, so the same time lies far
ahead on it, and the worker shortens the lease to the longest one, from when the
call arrives.
"""

import math

from foxtaillock.batch import interfaces

__all__ = [
    "CALL_END_ALLOWANCE_S",
    "LATE_ORDER_S",
    "MAX_CALL_S",
    "MAX_CLOCK_DRIFT",
    "MAX_LEASE_S",
    "MAX_RUN_LEASE_S",
    "POLL_WAIT_S",
    "RENEWAL_WINDOW_S",
    "RUN_LEASE_S",
    "remaining_ms",
]

# Lease of the runs on a worker. It has to outlast a takeover (up to 2.4 s) and
# the age of the last renewal (up to 1.2 s). A shorter lease would restart the
# tasks of a dead worker sooner.
RUN_LEASE_S = 4.0

# A worker shortens a longer lease to this. An order that was meant for an
# earlier incarnation carries a time of that one's clock.
MAX_RUN_LEASE_S = 6.0

# Largest drift of a worker's clock, as a fraction, that the platform's contract
# allows.
MAX_CLOCK_DRIFT = 0.02

# Longest time for which a lease lasts after its call, on the slowest clock.
MAX_LEASE_S = MAX_RUN_LEASE_S / (1 - MAX_CLOCK_DRIFT)

# An owner renews leases only within this time after its latest successful
# append, so that a new owner knows when the tasks on an unreachable worker have
# ended. Together with the lease, runs survive outages of the store of 7 s.
RENEWAL_WINDOW_S = 3.5

# Longest time that a poll waits for a run to end. Each poll renews the lease of
# a worker that answers and has tasks.
POLL_WAIT_S = 1.0

# Timeout of the longest call.
MAX_CALL_S = POLL_WAIT_S + interfaces.ANSWER_TIMEOUT_S

# An address holds calls while no worker listens there. It delivers them within
# this time after their timeout, but for those that count as late.
CALL_END_ALLOWANCE_S = 0.5

# An order without an answer may still be carried out after this time.
LATE_ORDER_S = 12.0


def remaining_ms(end_s: float, now_s: float) -> int:
    """Returns the time until `end_s`, rounded up; 0 if that is over.

    Example:
        >>> remaining_ms(14.0, 12.5), remaining_ms(14.0, 15.0)
        (1500, 0)
    """
    return math.ceil(max(0.0, end_s - now_s) * 1000)
