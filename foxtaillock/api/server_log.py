"""Logger of the HTTP server, which omits the text of requests."""

import logging

import loguru

__all__ = ["create_logger"]


def create_logger() -> logging.Logger:
    """Returns a logger for the HTTP server of an entry VM.

    The server logs malformed requests with the faulty line, which may hold a
    key, so only the type of the error is logged.
    """
    logger = logging.Logger("foxtaillock.http", logging.WARNING)
    logger.addHandler(_TypeHandler())
    return logger


class _TypeHandler(logging.Handler):
    """Logs the type of an error without its text."""

    def emit(self, record: logging.LogRecord) -> None:
        """Logs one record."""
        kind = record.exc_info[0] if record.exc_info else None
        name = kind.__name__ if kind is not None else record.levelname
        loguru.logger.info("connection closed by the HTTP server: {}", name)
