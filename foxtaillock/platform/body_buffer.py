"""Buffer for the body of a request that is being received.

It answers the load of many large bodies that grow at the same time: blocks of
the allocator that grow in turn leave gaps that no other block fits into. A
large body is held in a memory mapping of its own, of which only the pages that
have been written to take memory, and which is returned to the system at once.
"""

import mmap

__all__ = ["BodyBuffer", "BodyTooLargeError"]

# Larger bodies have a memory mapping.
_SMALL_BYTES = 16 * 1024


class BodyTooLargeError(Exception):
    """A body is larger than allowed."""


class BodyBuffer:
    """Body of one request.

    Args:
        max_bytes: largest size of the body.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._size = 0
        self._small = bytearray()
        self._mapping: mmap.mmap | None = None

    def append(self, part: bytes) -> None:
        """Adds a part.

        Raises:
            BodyTooLargeError: the body is larger than allowed.
        """
        size = self._size + len(part)
        if size > self._max_bytes:
            raise BodyTooLargeError(f"over {self._max_bytes} bytes")
        if self._mapping is None and size > _SMALL_BYTES:
            self._mapping = mmap.mmap(-1, self._max_bytes)
            self._mapping[: self._size] = bytes(self._small)
            self._small = bytearray()
        if self._mapping is None:
            self._small += part
        else:
            self._mapping[self._size : size] = part
        self._size = size

    def content(self) -> bytes:
        """Returns all parts."""
        if self._mapping is None:
            return bytes(self._small)
        return self._mapping[: self._size]

    def close(self) -> None:
        """Releases the memory."""
        self._small = bytearray()
        if self._mapping is not None:
            self._mapping.close()
