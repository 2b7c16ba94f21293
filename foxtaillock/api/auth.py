"""Authentication of requests by the keys of teams and operators."""

import typing

from aiohttp import web

from foxtaillock.api import problems

__all__ = ["KeyChecker", "Principal", "bearer_secret"]

_SCHEME = "Bearer "
_MAX_SECRET_CHARS = 256


class Principal(typing.NamedTuple):
    """Owner of an accepted key.

    Attributes:
        key_id: public id of the key.
        team: team of a submitter's key; empty for an operator.
        is_operator: whether the key is an operator's.
    """

    key_id: str
    team: str
    is_operator: bool


class KeyChecker(typing.Protocol):
    """Authenticates the owners of keys."""

    def authenticate_submitter(self, secret: str) -> Principal:
        """Returns the owner of a submitter's key.

        Raises:
            problems.Problem: the key is rejected, or this VM's view is too old
                to check it.
        """

    def authenticate_operator(self, secret: str) -> Principal:
        """Returns the owner of an operator's key.

        Raises:
            problems.Problem: as for `authenticate_submitter`.
        """


def bearer_secret(request: web.Request) -> str:
    """Returns the secret of the Authorization header, or an empty string.

    Raises:
        problems.Problem: the header is malformed.
    """
    value = request.headers.get("Authorization", "")
    if not value:
        return ""
    is_short = len(value) <= _MAX_SECRET_CHARS
    if not value.startswith(_SCHEME) or not is_short or not value.isascii():
        raise problems.Problem("key-rejected", "malformed Authorization header")
    return value[len(_SCHEME) :].strip()
