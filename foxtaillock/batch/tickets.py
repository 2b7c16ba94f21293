"""Cache of the advisor's answers: which workers may run which step."""

import dataclasses
import typing
from collections.abc import Iterable

from foxtaillock.batch import interfaces
from foxtaillock.batch import model

__all__ = ["AdviceRequest", "TicketCache"]

# Upper limit of the workers in one request.
_MAX_WORKERS = 100

# New tickets are requested this long before the current ones expire.
_RENEW_AHEAD_S = 0.8

# Interval before the next request for a step whose last request got no answer
# or allowed no worker.
_RETRY_INTERVAL_S = 0.5


class AdviceRequest(typing.NamedTuple):
    """A request to ask which of some workers may run a step."""

    step_id: model.StepId
    worker_ids: tuple[str, ...]


@dataclasses.dataclass(slots=True)
class _CachedAdvice:
    tickets: dict[str, str]
    asked: frozenset[str]
    valid_until_s: float
    not_before_s: float


class TicketCache:
    """Tickets of steps whose queue's policy allows only some workers."""

    def __init__(self) -> None:
        self._by_step: dict[model.StepId, _CachedAdvice] = {}

    def find(
        self, step_id: model.StepId, worker_id: str, now_s: float
    ) -> str | None:
        """Returns the valid ticket for a step on a worker, or None."""
        cached = self._by_step.get(step_id)
        if cached is None or now_s >= cached.valid_until_s:
            return None
        return cached.tickets.get(worker_id)

    def due_request(
        self, step_id: model.StepId, worker_ids: Iterable[str], now_s: float
    ) -> AdviceRequest | None:
        """Returns the request that is due for a step, or None."""
        named_workers = tuple(sorted(worker_ids))[:_MAX_WORKERS]
        cached = self._by_step.get(step_id)
        if cached is not None:
            if now_s < cached.not_before_s:
                return None
            is_valid = now_s + _RENEW_AHEAD_S < cached.valid_until_s
            if is_valid and cached.asked.issuperset(named_workers):
                return None
        return AdviceRequest(step_id, named_workers) if named_workers else None

    def record_answer(
        self,
        request: AdviceRequest,
        advice: interfaces.Advice | None,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Stores an answer; None if the advisor did not answer."""
        if advice is None:
            cached = self._by_step.get(request.step_id)
            if cached is None:
                no_advice = _CachedAdvice(
                    {}, frozenset(), sent_s, now_s + _RETRY_INTERVAL_S
                )
                self._by_step[request.step_id] = no_advice
            else:
                cached.not_before_s = now_s + _RETRY_INTERVAL_S
            return
        self._by_step[request.step_id] = _CachedAdvice(
            dict(advice.tickets),
            frozenset(request.worker_ids),
            sent_s + advice.valid_s,
            now_s if advice.tickets else now_s + _RETRY_INTERVAL_S,
        )

    def invalidate(self, step_id: model.StepId) -> None:
        """Drops the tickets of a step."""
        self._by_step.pop(step_id, None)
