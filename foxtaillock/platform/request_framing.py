"""Finds and limits what stands around the content of a request.

The HTTP library's parser keeps the lines behind the last chunk of a body
(trailers) until the body is complete: up to 128 lines of the size of a head. It
reads chunk sizes and extensions without end.
"""

import re

__all__ = ["FramingMeter", "find_head_end", "without_unused_headers"]

# Lines that the parser takes of a head, with its first and its last line. It
# makes several objects of each line and refuses more than 128 headers.
_MAX_LINES = 100

# Headers that the server or the HTTP library uses.
_USED_HEADERS = frozenset(
    (
        b"authorization",
        b"connection",
        b"content-encoding",
        b"content-length",
        b"expect",
        b"host",
        b"sec-websocket-key1",
        b"transfer-encoding",
        b"upgrade",
    )
)

# A line may hold any other line separator than LF.
_LINE = re.compile(rb"[^\n]*\n")

# A well-formed header. Any other line is left to the parser.
_HEADER = re.compile(
    rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[\t\x20-\x7e\x80-\xff]*\r?\n"
)


class FramingMeter:
    """Counts the bytes since the latest byte of a chunked body's content.

    Attributes:
        held_bytes: bytes that the parser has got since then.
    """

    def __init__(self) -> None:
        self.held_bytes = 0
        self._content_bytes = 0

    def add(self, size_bytes: int, content_bytes: int) -> None:
        """Counts bytes that were passed to the parser.

        Args:
            size_bytes: their number.
            content_bytes: size of all content that the parser has found so far.
                It may grow later, as the parser pauses.
        """
        if content_bytes > self._content_bytes:
            self._content_bytes = content_bytes
            self.held_bytes = 0
        else:
            self.held_bytes += size_bytes


def find_head_end(data: bytearray, searched: int) -> int | None:
    """Returns the position behind the first empty line, if there is one."""
    position = data.find(b"\n", searched)
    while position >= 0:
        for line_end in (b"\n", b"\r\n"):
            if data.startswith(line_end, position + 1):
                return position + 1 + len(line_end)
        position = data.find(b"\n", position + 1)
    return None


def without_unused_headers(head: bytes) -> bytes:
    """Returns a head of many lines without the headers that nothing uses.

    A head of few lines, or one with a header that goes on in the next line, is
    returned as it is.

    Args:
        head: a complete head.
    """
    if head.count(b"\n") <= _MAX_LINES:
        return head
    first, *lines = (line[0] for line in _LINE.finditer(head))
    if any(line.startswith((b" ", b"\t")) for line in lines):
        return head
    return first + b"".join(line for line in lines if not _is_unused(line))


def _is_unused(line: bytes) -> bool:
    header = _HEADER.fullmatch(line)
    return header is not None and header[1].lower() not in _USED_HEADERS
