"""Decodes JSON messages of the platform, of submitters and of workers."""

import typing

import msgspec

from foxtaillock import exceptions

__all__ = ["Count", "Decoder", "Duration", "Mebibytes"]

# Larger numbers have no meaning on the platform: a time since 1970 in
# milliseconds is far smaller. Arithmetic with smaller ones loses no precision.
_MAX_NUMBER = 1 << 50

# A number of things, an amount of resources or a time since 1970.
Count = typing.Annotated[int, msgspec.Meta(ge=0, le=_MAX_NUMBER)]

Duration = typing.Annotated[float, msgspec.Meta(ge=0, le=_MAX_NUMBER)]

# The number of bytes can be encoded in 64 bits.
_MAX_MEBIBYTES = 1 << 43

Mebibytes = typing.Annotated[int, msgspec.Meta(ge=0, le=_MAX_MEBIBYTES)]

_Message = typing.TypeVar("_Message")


class Decoder(typing.Generic[_Message]):
    """Decodes messages of one type.

    Args:
        kind: type of the messages.

    Example:
        >>> Decoder(dict[str, int]).decode(b'{"version": 3}')
        {'version': 3}
    """

    def __init__(self, kind: type[_Message]) -> None:
        self._decoder = msgspec.json.Decoder(kind)

    def decode(self, body: bytes) -> _Message:
        """Returns the message.

        Raises:
            exceptions.InvalidInputError: the message is malformed.
        """
        try:
            return self._decoder.decode(body)
        except (
            msgspec.DecodeError,
            # Text that is no UTF-8, and nesting that is too deep.
            UnicodeDecodeError,
            RecursionError,
        ) as error:
            raise exceptions.InvalidInputError(str(error)) from error
