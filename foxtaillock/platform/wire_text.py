"""Texts in other writers' records that become part of a request or a log line.

A library may refuse such a text with an error of its own kind, long after the
record was decoded. So a record is decoded only if all its texts can be used.
"""

import ipaddress
import re
import typing

import msgspec

__all__ = ["Name", "is_address", "is_id"]

# Longest name of a pool or a zone, and longest label.
_MAX_NAME_LENGTH = 256

# Visible ASCII characters, so that an id can be sent as a header.
_ID = re.compile(r"[!-~]{1,128}")

_PORT = re.compile(r"[1-9][0-9]{0,4}")
_MAX_PORT = 65_535

# Text that is only compared and logged.
Name = typing.Annotated[str, msgspec.Meta(max_length=_MAX_NAME_LENGTH)]


def is_id(text: str) -> bool:
    """Returns whether a text can be the id of a worker.

    Example:
        >>> [is_id(text) for text in ("i-1", "i-1\\r\\nHost: a", "")]
        [True, False, False]
    """
    return _ID.fullmatch(text) is not None


def is_address(text: str) -> bool:
    """Returns whether a text is `IPv4:PORT`, with no name to look up.

    Example:
        >>> [is_address(text) for text in ("10.0.0.1:80", "10.0.0.1:65536")]
        [True, False]
    """
    host, _, port = text.partition(":")
    if _PORT.fullmatch(port) is None or int(port) > _MAX_PORT:
        return False
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return True
