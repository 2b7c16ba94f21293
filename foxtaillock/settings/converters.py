"""Converters from the text of a setting to its value."""

import ipaddress
import math
import re
import typing
import urllib.parse
from collections.abc import Callable

from foxtaillock.adapters import registry

__all__ = [
    "BadValueError",
    "Converter",
    "adapter",
    "integer",
    "number",
    "one_of",
    "to_address",
    "to_digest",
    "to_level",
    "to_name",
    "to_optional_endpoint",
    "to_reachable_address",
    "to_secret",
    "to_url",
]

_MIN_SECRET_BYTES = 16
_NAME = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")
_DIGEST = re.compile(r"[0-9a-f]{64}")

Converter = Callable[[str], typing.Any]


class BadValueError(Exception):
    """A value that can't be used, with the reason."""


def to_name(text: str) -> str:
    """Returns a name of lower-case letters, digits and hyphens."""
    if not _NAME.fullmatch(text):
        raise BadValueError(
            "must be 1 to 63 lower-case letters, digits and hyphens"
        )
    return text


def to_address(text: str) -> str:
    """Returns an IP address."""
    try:
        return str(ipaddress.ip_address(text))
    except ValueError as error:
        raise BadValueError(f"{text!r} is not an IP address") from error


def to_reachable_address(text: str) -> str:
    """Returns an IP address that is not a wildcard."""
    address = to_address(text)
    if ipaddress.ip_address(address).is_unspecified:
        raise BadValueError("other nodes need an address, not a wildcard")
    return address


def to_optional_endpoint(text: str) -> str:
    """Returns `ADDRESS:PORT` that others can reach, or an empty text."""
    if not text:
        return ""
    host, colon, port = text.rpartition(":")
    if not colon or not port.isdecimal() or not 0 < int(port) < 2**16:
        raise BadValueError("must be ADDRESS:PORT")
    return f"{to_reachable_address(host)}:{int(port)}"


def to_url(text: str) -> str:
    """Returns an HTTP URL without a slash at its end."""
    try:
        parts = urllib.parse.urlsplit(text)
        is_valid = parts.scheme in ("http", "https") and bool(parts.hostname)
        is_valid = is_valid and parts.port != 0 and not parts.query
    except ValueError:
        is_valid = False
    if not is_valid or "@" in text:
        raise BadValueError("must be an http or https URL without a user")
    return text.rstrip("/")


def to_secret(text: str) -> str:
    """Returns a secret that is long enough."""
    if len(text.encode()) < _MIN_SECRET_BYTES:
        raise BadValueError(f"must have {_MIN_SECRET_BYTES} bytes or more")
    return text


def to_digest(text: str) -> str:
    """Returns a SHA-256 in lower-case hexadecimal, or an empty text."""
    if text and not _DIGEST.fullmatch(text.lower()):
        raise BadValueError("must be SHA-256 as 64 hexadecimal digits")
    return text.lower()


def to_level(text: str) -> typing.Any:
    """Returns a level of the log output."""
    return one_of("TRACE", "DEBUG", "INFO", "WARNING", "ERROR")(text.upper())


def one_of(*choices: str) -> Converter:
    """Returns a converter that takes one of `choices`."""

    def _convert(text: str) -> str:
        if text not in choices:
            raise BadValueError("must be one of " + ", ".join(choices))
        return text

    return _convert


def adapter(interface: str) -> Converter:
    """Returns a converter for names of adapters of `interface`."""

    def _convert(text: str) -> str:
        known = registry.names(interface)
        return one_of(*known)(text) if known else to_name(text)

    return _convert


def integer(least: int, most: int) -> Converter:
    """Returns a converter for whole numbers in a range."""

    def _convert(text: str) -> int:
        if not re.fullmatch(r"-?[0-9]{1,18}", text):
            raise BadValueError(f"{text!r} is not a whole number")
        if not least <= int(text) <= most:
            raise BadValueError(f"must be from {least} to {most}")
        return int(text)

    return _convert


def number(least: float, most: float) -> Converter:
    """Returns a converter for numbers in a range."""

    def _convert(text: str) -> float:
        try:
            value = float(text)
        except ValueError as error:
            raise BadValueError(f"{text!r} is not a number") from error
        if math.isnan(value) or not least <= value <= most:
            raise BadValueError(f"must be from {least:g} to {most:g}")
        return value

    return _convert
