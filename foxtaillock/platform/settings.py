"""Parses the platform's settings file into the daemon's settings."""

import pathlib
import resource
import typing
from collections.abc import Mapping

from foxtaillock import exceptions
from foxtaillock.batch import job_budget
from foxtaillock.batch import request_budget

__all__ = ["Endpoint", "VmSettings", "load", "parse"]


class Endpoint(typing.NamedTuple):
    """Address to listen on or to connect to."""

    host: str
    port: int

    @property
    def text(self) -> str:
        """`HOST:PORT`."""
        return f"{self.host}:{self.port}"


class VmSettings(typing.NamedTuple):
    """Settings of one entry VM.

    Attributes:
        node: name of this entry VM.
        zone: its availability zone.
        callers: address for the calls of submitters.
        readiness: address for the load balancer's readiness probes.
        metrics: address at which metrics are served.
        store: address of the platform's store.
        fleet: address of the service that moves and maintains VMs; None if
            there is no such service.
        advisor: address of the advisor; None if there is none.
        grace_s: time between SIGTERM and SIGKILL.
        key_age_s: maximum age of the configuration at which a call with a key
            may succeed.
        processors: CPU capacity of this VM, in processors of unit speed.
        link_mbit_s: bandwidth of its network link.
        call_limits: limits of the address for calls.
        probe_limits: limits of each of the addresses for probes and metrics.
        max_job_bytes: limit of the memory of all jobs.
    """

    node: str
    zone: str
    callers: Endpoint
    readiness: Endpoint
    metrics: Endpoint
    store: Endpoint
    fleet: Endpoint | None
    advisor: Endpoint | None
    grace_s: float
    key_age_s: float
    processors: float
    link_mbit_s: float
    call_limits: request_budget.Limits
    probe_limits: request_budget.Limits
    max_job_bytes: int


# Offset of the metrics port in the port range that the platform assigns.
_METRICS_PORT_OFFSET = 3

_MAX_PORT = 65_535

# Memory and descriptors of the smallest entry VMs.
_DEFAULT_MEMORY_MB = 200.0
_DEFAULT_MAX_FDS = 4_100.0

# Upper limit of settings that count something.
_MAX_COUNT = 1e12


def load(path: str) -> VmSettings:
    """Returns the settings in a file.

    Raises:
        exceptions.InvalidInputError: settings are missing or malformed; the
            message names all of them.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise exceptions.InvalidInputError(f"{path}: {error}") from error
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit == resource.RLIM_INFINITY:
        return parse(text, path)
    return parse(text, path, soft_limit)


def parse(
    text: str, source: str, descriptor_limit: int | None = None
) -> VmSettings:
    """Returns the settings in `text`; unknown fields are ignored.

    Args:
        text: lines of the form `name=value`.
        source: name of the source, for error messages.
        descriptor_limit: number of descriptors that the system lets the
            process open, if there is a limit.

    Raises:
        exceptions.InvalidInputError: settings are missing or malformed; the
            message names all of them.
    """
    reader = _Reader(_parse_fields(text))
    callers = reader.endpoint("listen.front")
    # `limits.cores` is the speed of the processor relative to unit speed.
    speed = reader.number("limits.cores", 1.0)
    max_fds = int(reader.count("limits.max_fds", _DEFAULT_MAX_FDS))
    if descriptor_limit is not None:
        max_fds = min(max_fds, descriptor_limit)
    memory_mb = reader.count("limits.memory_mb", _DEFAULT_MEMORY_MB)
    job_bytes = job_budget.derive_max_bytes(memory_mb)
    settings = VmSettings(
        node=reader.text("node"),
        zone=reader.text("zone"),
        callers=callers,
        readiness=reader.endpoint("listen.readiness"),
        metrics=Endpoint(callers.host, reader.metrics_port()),
        store=reader.endpoint("platform.address"),
        fleet=reader.optional_endpoint("cloud.address"),
        advisor=reader.optional_endpoint("advice"),
        grace_s=reader.number("bounds.grace_s", 6.0),
        key_age_s=reader.number("bounds.revoke_ms", 5_000.0) / 1000,
        processors=reader.number("limits.cpu_share", 1.0) * speed,
        link_mbit_s=reader.number("limits.link_mbps", 1_000.0),
        call_limits=_read_call_limits(reader, memory_mb, max_fds),
        probe_limits=request_budget.derive_probe_limits(max_fds),
        max_job_bytes=int(reader.count("jobs.max_bytes", job_bytes)),
    )
    if reader.findings:
        findings = "; ".join(reader.findings)
        raise exceptions.InvalidInputError(f"{source}: {findings}")
    return settings


def _read_call_limits(
    reader: "_Reader", memory_mb: float, max_fds: int
) -> request_budget.Limits:
    derived = request_budget.derive_limits(memory_mb, max_fds)
    configured = request_budget.Limits(
        int(reader.count("requests.max_connections", derived.max_connections)),
        int(reader.count("requests.max_bytes", derived.max_bytes)),
        int(reader.count("requests.head_bytes", derived.head_bytes)),
        reader.count("requests.head_ms", derived.head_s * 1000) / 1000,
        reader.count("requests.body_ms", derived.body_s * 1000) / 1000,
        reader.count("requests.answer_ms", derived.answer_s * 1000) / 1000,
    )
    return request_budget.bound_limits(configured, max_fds)


def _parse_fields(text: str) -> dict[str, str]:
    fields = {}
    for line in text.splitlines():
        name, separator, value = line.partition("=")
        if separator:
            fields[name.strip()] = value.strip()
    return fields


class _Reader:
    """Reads fields and collects findings about missing or malformed ones."""

    def __init__(self, fields: Mapping[str, str]) -> None:
        self._fields = fields
        self.findings: list[str] = []

    def text(self, name: str, default: str | None = None) -> str:
        """Returns a field's text."""
        value = self._fields.get(name, "")
        if value:
            return value
        if default is None:
            self.findings.append(f"{name}: missing")
        return default or ""

    def number(self, name: str, default: float) -> float:
        """Returns a field's number, or `default` if it is empty."""
        value = self._fields.get(name, "")
        if not value:
            return default
        try:
            return float(value)
        except ValueError:
            self.findings.append(f"{name}: {value!r} is not a number")
            return default

    def count(self, name: str, default: float) -> float:
        """Returns a field's number, which is at least 1."""
        value = self.number(name, default)
        if 1 <= value <= _MAX_COUNT:
            return value
        self.findings.append(f"{name}: {value:g} is not from 1 to 1e12")
        return default

    def endpoint(self, name: str) -> Endpoint:
        """Returns a field's address."""
        value = self.text(name)
        host, _, port = value.rpartition(":")
        if host and _is_port(port):
            return Endpoint(host, int(port))
        if value:
            self.findings.append(f"{name}: {value!r} is not HOST:PORT")
        return Endpoint("", 0)

    def metrics_port(self) -> int:
        """Returns the port for metrics in the assigned range of ports."""
        value = self.text("internal_ports", "7000,7015")
        first = value.partition(",")[0]
        if _is_port(first):
            port = int(first) + _METRICS_PORT_OFFSET
            if port <= _MAX_PORT:
                return port
        self.findings.append(f"internal_ports: {value!r} is no range of ports")
        return 0

    def optional_endpoint(self, name: str) -> Endpoint | None:
        """Returns a field's address, or None if it is empty."""
        return self.endpoint(name) if self._fields.get(name) else None


def _is_port(text: str) -> bool:
    return text.isdecimal() and int(text) <= _MAX_PORT
