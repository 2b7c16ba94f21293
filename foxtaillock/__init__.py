"""Fleet capacity and maintenance manager."""

__all__ = ["__version__"]

__version__ = "0.2.0"
