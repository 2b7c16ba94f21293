"""Records of release notes."""

import typing

__all__ = ["Change", "NoteAccepted"]


class Change(typing.NamedTuple):
    """One entry of a release note.

    Attributes:
        action: `added`, `changed` or `withdrawn`.
        kind: `team`, `pool`, `queue` or `service`.
        name: name of the object.
        revision: revision of the object that the change is based on; zero if
            the object did not exist.
        body: fields of the object; empty if it is withdrawn.
    """

    action: str
    kind: str
    name: str
    revision: int
    body: dict[str, typing.Any]


class NoteAccepted(typing.NamedTuple):
    """An operator accepted a release note.

    The fold refuses it if a change is not based on the current revision of its
    object or if a reference would dangle.
    """

    note_id: str
    author: str
    title: str
    changes: tuple[Change, ...]
