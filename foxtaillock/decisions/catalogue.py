"""Registry of the pure decision functions and classes by name."""

import typing
from collections.abc import Callable

from foxtaillock import exceptions
from foxtaillock.admission import queue
from foxtaillock.calls import in_doubt
from foxtaillock.fleet import calendar
from foxtaillock.fleet import planner as fleet_planner
from foxtaillock.fleet import pool_membership
from foxtaillock.fleet import progress
from foxtaillock.fleet import spares
from foxtaillock.fleet import waves
from foxtaillock.leases import ownership
from foxtaillock.leases import spread
from foxtaillock.limits import grant_policy
from foxtaillock.limits import grants
from foxtaillock.membership import heartbeat_schedule
from foxtaillock.membership import liveness
from foxtaillock.membership import neighbours
from foxtaillock.placement import planner as placement_planner
from foxtaillock.placement import quarantine
from foxtaillock.placement import shares
from foxtaillock.reports import burn
from foxtaillock.retries import budget
from foxtaillock.routing import table
from foxtaillock.state import keys

__all__ = ["create", "names"]

_Factory = Callable[..., typing.Any]
_FactoryT = typing.TypeVar("_FactoryT", bound=_Factory)
_FACTORIES: dict[str, _Factory] = {}


def _register_factory(name: str) -> Callable[[_FactoryT], _FactoryT]:
    """Returns a decorator that registers a factory under `name`."""

    def _decorate(factory: _FactoryT) -> _FactoryT:
        _FACTORIES[name] = factory
        return factory

    return _decorate


def _register_function(name: str, function: _Factory) -> None:
    """Registers a decision that is a function without state."""
    _FACTORIES[name] = lambda: function


_register_factory("admission")(queue.ServiceQueue)
_register_factory("doubts")(in_doubt.InDoubtAttempts)
_register_factory("grants")(grants.LocalGrants)
_register_factory("liveness")(liveness.create_liveness)
_register_factory("ownership")(ownership.Ownership)
_register_factory("placement")(placement_planner.Planner)
_register_factory("quarantine")(quarantine.Quarantine)
_register_factory("retry-budget")(budget.RetryBudget)
_register_factory("routing")(table.RunnerTable)
_register_function("burn", burn.evaluate)
_register_function("fair-shares", shares.fair_shares)
_register_function("calendar", calendar.find_due)
_register_function("fleet-plan", fleet_planner.plan)
_register_function("grant-changes", grant_policy.decide)
_register_function("key-check", keys.check_key)
_register_function("key-freshness", keys.may_accept_keys)
_register_function("heartbeat-due", heartbeat_schedule.is_heartbeat_due)
_register_function("move-step", pool_membership.next_action)
_register_function("neighbours", neighbours.choose_neighbours)
_register_function("ownership-spread", spread.assign)
_register_function("spare-need", spares.compute_need)
_register_function("wave-next", waves.pick_next)
_register_function("wave-pause", waves.find_pause_reason)
_register_function("wave-progress", progress.compute_progress)


def names() -> list[str]:
    """Returns the names of all decisions, sorted."""
    return sorted(_FACTORIES)


def create(
    name: str, *arguments: typing.Any, **keywords: typing.Any
) -> typing.Any:
    """Returns a new decision object, or the function of a stateless decision.

    Args:
        name: one of `names`.
        *arguments: positional arguments of the class or factory.
        **keywords: keyword arguments of the class or factory.

    Raises:
        exceptions.InvalidInputError: no decision has this name.
    """
    factory = _FACTORIES.get(name)
    if factory is None:
        known = ", ".join(names())
        raise exceptions.InvalidInputError(
            f"no decision is named {name!r}; known: {known}"
        )
    return factory(*arguments, **keywords)
