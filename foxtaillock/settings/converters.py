"""Converters that check the text of a setting and return its value."""

import ipaddress
import math
import re
import typing
import urllib.parse
from collections.abc import Callable

from foxtaillock.adapters import registry

__all__ = [
    "InvalidValueError",
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


class InvalidValueError(Exception):
    """The text of a setting is invalid; the message gives the reason."""


def to_name(text: str) -> str:
    """Returns a name of lower-case letters, digits and hyphens."""
    if not _NAME.fullmatch(text):
        raise InvalidValueError(
            "must be 1 to 63 lower-case letters, digits and hyphens"
        )
    return text


def to_address(text: str) -> str:
    """Returns an IP address."""
    try:
        return str(ipaddress.ip_address(text))
    except ValueError as error:
        raise InvalidValueError(f"{text!r} is not an IP address") from error


def to_reachable_address(text: str) -> str:
    """Returns an IP address that is not a wildcard."""
    address = to_address(text)
    if ipaddress.ip_address(address).is_unspecified:
        raise InvalidValueError("other nodes need an address, not a wildcard")
    return address


def to_optional_endpoint(text: str) -> str:
    """Returns a non-wildcard `ADDRESS:PORT`, or an empty text."""
    if not text:
        return ""
    host, colon, port = text.rpartition(":")
    if not colon or not port.isdecimal() or not 0 < int(port) < 2**16:
        raise InvalidValueError("must be ADDRESS:PORT")
    return f"{to_reachable_address(host)}:{int(port)}"


def to_url(text: str) -> str:
    """Returns an HTTP URL without trailing slashes."""
    try:
        parts = urllib.parse.urlsplit(text)
        is_valid = parts.scheme in ("http", "https") and bool(parts.hostname)
        is_valid = is_valid and parts.port != 0 and not parts.query
    except ValueError:
        is_valid = False
    if not is_valid or "@" in text:
        raise InvalidValueError("must be an http or https URL without a user")
    return text.rstrip("/")


def to_secret(text: str) -> str:
    """Returns a secret of at least `_MIN_SECRET_BYTES` bytes."""
    if len(text.encode()) < _MIN_SECRET_BYTES:
        raise InvalidValueError(f"must have {_MIN_SECRET_BYTES} bytes or more")
    return text


def to_digest(text: str) -> str:
    """Returns a SHA-256 in lower-case hexadecimal, or an empty text."""
    if text and not _DIGEST.fullmatch(text.lower()):
        raise InvalidValueError("must be a SHA-256 as 64 hexadecimal digits")
    return text.lower()


def to_level(text: str) -> typing.Any:
    """Returns a log level in upper case."""
    return one_of("TRACE", "DEBUG", "INFO", "WARNING", "ERROR")(text.upper())


def one_of(*choices: str) -> Converter:
    """Returns a converter that accepts one of `choices`."""

    def _convert(text: str) -> str:
        if text not in choices:
            raise InvalidValueError("must be one of " + ", ".join(choices))
        return text

    return _convert


def adapter(interface: str) -> Converter:
    """Returns a converter for adapter names of `interface`.

    Before any adapter of the interface is registered, it accepts every name.
    """

    def _convert(text: str) -> str:
        known = registry.names(interface)
        return one_of(*known)(text) if known else to_name(text)

    return _convert


def integer(minimum: int, maximum: int) -> Converter:
    """Returns a converter for whole numbers in a range."""

    def _convert(text: str) -> int:
        if not re.fullmatch(r"-?[0-9]{1,18}", text):
            raise InvalidValueError(f"{text!r} is not a whole number")
        if not minimum <= int(text) <= maximum:
            raise InvalidValueError(f"must be from {minimum} to {maximum}")
        return int(text)

    return _convert


def number(minimum: float, maximum: float) -> Converter:
    """Returns a converter for numbers in a range."""

    def _convert(text: str) -> float:
        try:
            value = float(text)
        except ValueError as error:
            raise InvalidValueError(f"{text!r} is not a number") from error
        if math.isnan(value) or not minimum <= value <= maximum:
            raise InvalidValueError(f"must be from {minimum:g} to {maximum:g}")
        return value

    return _convert
