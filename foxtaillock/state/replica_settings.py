"""Settings of a replica."""

import dataclasses
import random

__all__ = ["ReplicaSettings"]


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaSettings:
    """Timeouts, intervals and sizes of a replica.

    Attributes:
        commit_timeout_s: how long a caller waits for its verdict.
        append_timeout_s: timeout of an append.
        poll_s: how long the log holds a tail read while there is no record.
        read_timeout_s: timeout of a tail read, in addition to `poll_s`.
        read_pause_s: pause after a read that returned records and reached the
            end, so that the next one returns the records of several writers. A
            commit or a call of `catch_up` ends the pause.
        max_batches_per_read: maximum number of batches in one read.
        max_records_per_batch: maximum number of records in one batch.
        max_waiting: maximum number of ordinary records that wait.
        backoff_base_s: upper bound of the first backoff delay.
        backoff_max_s: upper bound of every backoff delay.
        max_refusal_gap_s: longest time without an answer within a run of
            refusals by the log.
    """

    commit_timeout_s: float = 5.0
    append_timeout_s: float = 1.0
    poll_s: float = 0.4
    read_timeout_s: float = 0.6
    read_pause_s: float = 0.0
    max_batches_per_read: int = 1000
    max_records_per_batch: int = 500
    max_waiting: int = 10_000
    backoff_base_s: float = 0.05
    backoff_max_s: float = 1.0
    max_refusal_gap_s: float = 2.0

    def backoff_s(self, failures: int, rng: random.Random) -> float:
        """Returns a full-jitter delay after that many consecutive failures."""
        bound_s = self.backoff_base_s * 2.0 ** min(failures - 1, 20)
        return rng.uniform(0.0, min(self.backoff_max_s, bound_s))
