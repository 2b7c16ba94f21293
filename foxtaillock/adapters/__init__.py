"""Interfaces to the platform and their HTTP implementations."""

import importlib

__all__ = ["load_all"]

_BUILT_IN = (
    "http_log",
    "http_pools",
    "http_runners",
    "http_vm_list",
    "http_workers",
)


def load_all() -> None:
    """Imports the built-in adapters, which register themselves."""
    for name in _BUILT_IN:
        importlib.import_module(f"{__name__}.{name}")
