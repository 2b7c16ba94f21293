"""Records of the keys of teams and operators."""

import typing

__all__ = ["KeyGiven", "KeyWithdrawn"]


class KeyGiven(typing.NamedTuple):
    """A key is issued to a team, or to an operator if `team` is empty.

    Attributes:
        key_id: public name of the key.
        digest: SHA-256 of the secret, in hexadecimal.
        team: team that the key is valid for; empty for an operator's key.
        author: key id of the operator who issued it.
    """

    key_id: str
    digest: str
    team: str
    author: str


class KeyWithdrawn(typing.NamedTuple):
    """A key is no longer valid."""

    key_id: str
    author: str
