"""Registry of the handlers that fold each kind of record."""

import typing
from collections.abc import Callable

from foxtaillock.model import records
from foxtaillock.model import verdicts
from foxtaillock.state import tables

__all__ = ["Handler", "apply_record", "refuse", "register_handler"]

Handler = Callable[[tables.ControlTables, int, typing.Any], verdicts.Verdict]
_HANDLERS: dict[type, Handler] = {}


def register_handler(record_class: type) -> Callable[[Handler], Handler]:
    """Returns a decorator that registers the handler of a record class."""

    def _register(handler: Handler) -> Handler:
        _HANDLERS[record_class] = handler
        return handler

    return _register


def apply_record(
    state: tables.ControlTables, offset: int, record: records.Record
) -> verdicts.Verdict:
    """Folds one record into `state` and returns its verdict.

    A record with fields of wrong types is refused and never stops the fold.
    """
    place = type(record).__name__
    handler = _HANDLERS.get(type(record))
    if handler is None:
        return refuse("wrong-stream", place, "does not belong to this stream")
    try:
        return handler(state, offset, record)
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        return refuse("malformed", place, str(error))


def refuse(code: str, place: str, message: str) -> verdicts.Verdict:
    """Returns a refusal with one finding."""
    return verdicts.Verdict(False, code, (verdicts.Finding(place, message),))
