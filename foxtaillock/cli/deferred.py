"""Commands that run only once the whole command line was understood.

`fire` calls a command as soon as it has the arguments that it takes and looks
at the rest afterwards. A command with one argument too many would be carried
out and then end as bad input.
"""

import functools
import inspect
import typing
from collections.abc import Callable

__all__ = ["Deferred", "deferring", "finish"]

_ClassT = typing.TypeVar("_ClassT", bound=type)
_Method = Callable[..., None]


class Deferred:
    """A command with its arguments, ready to run."""

    def __init__(self, command: Callable[[], None]) -> None:
        self._command = command

    def finish(self) -> None:
        """Runs the command."""
        self._command()


def deferring(commands: _ClassT) -> _ClassT:
    """Lets the public methods of a class return a `Deferred`."""
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
    """Runs a deferred command; returns any other result as it is."""
    if not isinstance(result, Deferred):
        return result
    result.finish()
    return None
