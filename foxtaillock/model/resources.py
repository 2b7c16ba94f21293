"""Amounts of the resources that a worker offers and a job asks for."""

import typing

__all__ = [
    "Resources",
    "ZERO",
    "add",
    "dominant_share",
    "fits",
    "subtract",
]


class Resources(typing.NamedTuple):
    """Processors, memory and accelerators.

    Attributes:
        cpu_millis: thousandths of a processor.
        memory_bytes: memory in bytes.
        accelerators: number of accelerators.
    """

    cpu_millis: int = 0
    memory_bytes: int = 0
    accelerators: int = 0


ZERO = Resources()


def add(a: Resources, b: Resources) -> Resources:
    """Returns the sum of `a` and `b`."""
    return Resources(a[0] + b[0], a[1] + b[1], a[2] + b[2])


def subtract(a: Resources, b: Resources) -> Resources:
    """Returns `a` minus `b`; components may be negative."""
    return Resources(a[0] - b[0], a[1] - b[1], a[2] - b[2])


def fits(wanted: Resources, free: Resources) -> bool:
    """Returns whether `wanted` is at most `free` in every component.

    Example:
        >>> fits(Resources(1000, 1, 0), Resources(2000, 1, 0))
        True
    """
    return (
        wanted[0] <= free[0] and wanted[1] <= free[1] and wanted[2] <= free[2]
    )


def dominant_share(used: Resources, total: Resources) -> float:
    """Returns the largest fraction of any resource that `used` takes.

    Example:
        >>> dominant_share(Resources(1, 4, 0), Resources(10, 10, 2))
        0.4
    """
    share = 0.0
    for taken, whole in zip(used, total, strict=True):
        if whole > 0 and taken > share * whole:
            share = taken / whole
    return share
