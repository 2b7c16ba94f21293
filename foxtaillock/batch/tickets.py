"""Advice on which workers may run a step, as far as it has been asked for."""

import dataclasses
import typing
from collections.abc import Iterable

from foxtaillock.batch import interfaces
from foxtaillock.batch import model

__all__ = ["AdviceRequest", "Tickets"]

# Most workers that one request names.
_MAX_WORKERS = 100

# Time before tickets run out from which new ones are asked for.
_AHEAD_S = 0.8

# Time after a request without an answer, or one that allowed no worker,
# before the next for the same step.
_AGAIN_S = 0.5


class AdviceRequest(typing.NamedTuple):
    """A request for advice that is due."""

    step_id: model.StepId
    worker_ids: tuple[str, ...]


@dataclasses.dataclass(slots=True)
class _Known:
    tickets: dict[str, str]
    asked: frozenset[str]
    valid_until_s: float
    not_before_s: float


class Tickets:
    """Tickets of the steps whose queues' policies allow only some workers."""

    def __init__(self) -> None:
        self._known: dict[model.StepId, _Known] = {}

    def find(
        self, step_id: model.StepId, worker_id: str, now_s: float
    ) -> str | None:
        """Returns the ticket for a step on a worker, or None."""
        known = self._known.get(step_id)
        if known is None or now_s >= known.valid_until_s:
            return None
        return known.tickets.get(worker_id)

    def request(
        self, step_id: model.StepId, worker_ids: Iterable[str], now_s: float
    ) -> AdviceRequest | None:
        """Returns the request that is due for a step, or None."""
        wanted = tuple(sorted(worker_ids))[:_MAX_WORKERS]
        known = self._known.get(step_id)
        if known is not None:
            if now_s < known.not_before_s:
                return None
            is_valid = now_s + _AHEAD_S < known.valid_until_s
            if is_valid and known.asked.issuperset(wanted):
                return None
        return AdviceRequest(step_id, wanted) if wanted else None

    def answered(
        self,
        request: AdviceRequest,
        advice: interfaces.Advice | None,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Takes an answer in; None stands for no answer."""
        if advice is None:
            known = self._known.get(request.step_id)
            if known is None:
                nothing = _Known({}, frozenset(), sent_s, now_s + _AGAIN_S)
                self._known[request.step_id] = nothing
            else:
                known.not_before_s = now_s + _AGAIN_S
            return
        self._known[request.step_id] = _Known(
            dict(advice.tickets),
            frozenset(request.worker_ids),
            sent_s + advice.valid_s,
            now_s if advice.tickets else now_s + _AGAIN_S,
        )

    def drop(self, step_id: model.StepId) -> None:
        """Forgets the tickets of a step."""
        self._known.pop(step_id, None)
