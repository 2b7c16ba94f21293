"""Registry of the implementations of each platform interface."""

import typing
from collections.abc import Callable

from foxtaillock import exceptions

__all__ = ["create", "names", "register"]

Factory = Callable[..., typing.Any]
_FactoryT = typing.TypeVar("_FactoryT", bound=Factory)
_FACTORIES: dict[tuple[str, str], Factory] = {}


def register(interface: str, name: str) -> Callable[[_FactoryT], _FactoryT]:
    """Returns a decorator that registers a factory.

    Args:
        interface: `log`, `vm-list`, `worker`, `pool` or `runner`.
        name: name that selects the implementation in the settings.
    """

    def _register(factory: _FactoryT) -> _FactoryT:
        _FACTORIES[interface, name] = factory
        return factory

    return _register


def names(interface: str) -> list[str]:
    """Returns the names of the implementations of `interface`, sorted."""
    return sorted(name for kind, name in _FACTORIES if kind == interface)


def create(interface: str, name: str, **arguments: typing.Any) -> typing.Any:
    """Returns a new instance of an implementation of `interface`.

    Args:
        interface: `log`, `vm-list`, `worker`, `pool` or `runner`.
        name: name that the implementation was registered under.
        **arguments: keyword arguments of its factory.

    Raises:
        exceptions.InvalidInputError: no implementation has this name.
    """
    factory = _FACTORIES.get((interface, name))
    if factory is None:
        known = ", ".join(names(interface)) or "none"
        raise exceptions.InvalidInputError(
            f"no {interface} adapter is named {name!r}; known: {known}"
        )
    return factory(**arguments)
