"""Commands that run only after the whole command line has been parsed.

`fire` calls a command as soon as it has consumed the command's arguments, and
parses the rest of the line afterwards. Without deferral, a command with a
superfluous argument would run and then be reported as bad input.
"""

import functools
import inspect
import typing
from collections.abc import Callable

__all__ = ["Deferred", "defer_methods", "finish"]

_ClassT = typing.TypeVar("_ClassT", bound=type)
_Method = Callable[..., None]


class Deferred:
    """A command bound to its arguments."""

    def __init__(self, command: Callable[[], None]) -> None:
        self._command = command

    def finish(self) -> None:
        """Runs the command."""
        self._command()


def defer_methods(commands: _ClassT) -> _ClassT:
    """Class decorator that makes public methods return a `Deferred`."""
    for name, member in list(vars(commands).items()):
        if not name.startswith("_") and inspect.isfunction(member):
            setattr(commands, name, _defer(member))
    return commands


def _defer(method: _Method) -> Callable[..., Deferred]:

    @functools.wraps(method)
    def _make(*arguments: typing.Any, **named: typing.Any) -> Deferred:
        return Deferred(functools.partial(method, *arguments, **named))

    return _make


def finish(result: typing.Any) -> typing.Any:
    """Runs a deferred command; returns any other result unchanged."""
    if not isinstance(result, Deferred):
        return result
    result.finish()
    return None
