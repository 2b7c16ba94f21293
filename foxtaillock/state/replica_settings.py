"""Times and sizes of a replica."""

import dataclasses
import random

__all__ = ["ReplicaSettings"]


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaSettings:
    """Times and sizes of a replica.

    Attributes:
        commit_timeout_s: how long a caller waits for its verdict.
        append_timeout_s: an append without an answer is given up.
        poll_s: how long one tail read waits for a record.
        read_timeout_s: a tail read without an answer is given up after
            `poll_s` and so long.
        pace_s: pause after a read that gave records and reached the end, so
            that records of several writers come in one answer. A commit or a
            call of `catch_up` ends the pause.
        page_records: batches read at once.
        batch_records: records committed at once.
        max_waiting: ordinary records that may wait.
        backoff_base_s: upper bound of the first back-off.
        backoff_max_s: upper bound of all later ones.
        evidence_gap_s: longest silence inside a run of refusals by the log.
    """

    commit_timeout_s: float = 5.0
    append_timeout_s: float = 1.0
    poll_s: float = 0.4
    read_timeout_s: float = 0.6
    pace_s: float = 0.0
    page_records: int = 1000
    batch_records: int = 500
    max_waiting: int = 10_000
    backoff_base_s: float = 0.05
    backoff_max_s: float = 1.0
    evidence_gap_s: float = 2.0

    def backoff_s(self, failures: int, rng: random.Random) -> float:
        """Returns a full-jitter delay after so many failures in a row."""
        bound_s = self.backoff_base_s * 2.0 ** min(failures - 1, 20)
        return rng.uniform(0.0, min(self.backoff_max_s, bound_s))
