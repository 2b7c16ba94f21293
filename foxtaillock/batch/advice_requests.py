"""Asks the advisor which workers may run the steps that wait."""

import asyncio
from collections.abc import Callable

from foxtaillock.batch import engine as engines
from foxtaillock.batch import services as batch_services

__all__ = ["request_advice"]

# Interval at which the engine is asked for steps that need advice.
_INTERVAL_S = 0.05


async def request_advice(
    engine: engines.Engine,
    services: batch_services.OwnerServices,
    on_advice: Callable[[], None],
) -> None:
    """Requests advice one by one, as the advisor serializes requests.

    Runs until cancelled; returns at once if there is no advisor.

    Args:
        engine: scheduling state of the owner.
        services: dependencies of the owner.
        on_advice: called after each answer.
    """
    advisor = services.advisor
    while advisor is not None:
        now_s = services.clock.monotonic_s()
        requests = engine.advice_requests(now_s)
        if not requests:
            await asyncio.sleep(_INTERVAL_S)
            continue
        request = requests[0]
        advice = await advisor.advise(request.step_id, request.worker_ids)
        engine.apply_advice(
            request, advice, now_s, services.clock.monotonic_s()
        )
        on_advice()
