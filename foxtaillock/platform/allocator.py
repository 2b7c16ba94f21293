"""Settings of the C library's memory allocator."""

import ctypes

__all__ = ["keep_read_buffers"]

# Parameters of mallopt(3).
_M_TRIM_THRESHOLD = -1
_M_MMAP_THRESHOLD = -3

# The event loop allocates a buffer of 256 KiB for each read of a socket. It has
# to be below both limits.
_MMAP_THRESHOLD_BYTES = 1 << 20
_TRIM_THRESHOLD_BYTES = 4 << 20


def keep_read_buffers() -> bool:
    """Makes the allocator reuse the memory of the buffers of socket reads.

    By default, the GNU C library maps that memory anew for each read and
    returns it after the read, which costs more than the read itself.

    Returns:
        Whether the C library has these settings and has applied them.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is None:
        return False
    results = [
        mallopt(_M_MMAP_THRESHOLD, _MMAP_THRESHOLD_BYTES),
        mallopt(_M_TRIM_THRESHOLD, _TRIM_THRESHOLD_BYTES),
    ]
    return all(results)
