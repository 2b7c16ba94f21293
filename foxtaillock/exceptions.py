"""Exceptions of the package; each message names the object concerned."""

__all__ = [
    "FoxtaillockError",
    "InvalidInputError",
    "LogUnavailableError",
    "LogUnreachableError",
    "NotRunError",
    "OutcomeUnknownError",
    "StateDivergedError",
]


class FoxtaillockError(Exception):
    """Base class of all errors raised by this package."""


class InvalidInputError(FoxtaillockError):
    """An argument, setting or message is malformed."""


class LogUnavailableError(FoxtaillockError):
    """The platform's log answered that it is unavailable."""


class LogUnreachableError(FoxtaillockError):
    """The platform's log gave no answer; an append may have taken effect."""


class NotRunError(FoxtaillockError):
    """The request provably had no effect."""


class OutcomeUnknownError(FoxtaillockError):
    """The request may or may not have had an effect."""


class StateDivergedError(FoxtaillockError):
    """Two replicas folded the same records into different states."""
