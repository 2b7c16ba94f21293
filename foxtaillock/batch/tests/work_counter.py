"""Counts the work of a call, so that a test can tell how it grows."""

import sys
import types
import typing
from collections.abc import Callable

__all__ = ["count_work", "growth"]


def count_work(call: Callable[[], object]) -> int:
    """Returns how many instructions of the interpreter a call takes.

    The number is the same on any machine, unlike the time.
    """
    count = 0

    def _trace(frame: types.FrameType, event: str, _: typing.Any) -> typing.Any:
        nonlocal count
        frame.f_trace_opcodes = True
        frame.f_trace_lines = False
        count += event == "opcode"
        return _trace

    before = sys.gettrace()
    sys.settrace(_trace)
    try:
        call()
    finally:
        sys.settrace(before)
    return count


def growth(prepare: Callable[[int], Callable[[], object]], size: int) -> float:
    """Returns by what factor the work of a call grows with a doubled size.

    It is 2 if the work is proportional to the size, 4 if to its square.

    Args:
        prepare: returns the call for a size.
        size: the smaller of the two sizes.
    """
    return count_work(prepare(2 * size)) / count_work(prepare(size))
