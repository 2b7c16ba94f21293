"""Settings of the daemon, read from flags and environment variables.

Each setting has a flag (`--node-name`) and an environment variable
(`FOXTAILLOCK_NODE_NAME`); the flag takes precedence. The peer secret has no
flag, since process lists show flags: it is read from its variable or a file.
"""

import dataclasses
import pathlib
import typing
from collections.abc import Mapping
from collections.abc import Sequence

from foxtaillock.model import verdicts
from foxtaillock.settings import converters

__all__ = ["Settings", "InvalidSettings", "parse", "usage"]

ENVIRONMENT_PREFIX = "FOXTAILLOCK_"
_MAX_PORT = 65_535
_MIB = 1024 * 1024
_SECRET_FIELD = "peer_secret"
_SECRET_FILE_FIELD = "peer_secret_file"


class Settings(typing.NamedTuple):
    """Settings of one entry VM.

    Attributes:
        node_name: name of this entry VM.
        zone: availability zone of this entry VM.
        log_url: base URL of the platform's log.
        vm_list_url: base URL of the platform's list of VMs.
        pool_url: base URL of the platform's service that drains and reboots
            VMs.
        peer_secret: secret that the entry VMs share.
        operator_key_digest: SHA-256 of the first operator key, in
            hexadecimal; empty if the log already holds operators' keys.
        region: region of the zone.
        api_host: address of the HTTP interface for callers, operators
            (below `/admin`) and metrics.
        api_port: port of the HTTP interface; zero lets the operating system
            choose.
        peer_host: address for other entry VMs; never a wildcard.
        peer_port: port for other entry VMs; zero lets the operating system
            choose.
        peer_advertised: `ADDRESS:PORT` under which other entry VMs reach this
            one; empty for `peer_host` and `peer_port`.
        log_adapter: implementation of the log interface.
        vm_list_adapter: implementation of the VM list interface.
        worker_adapter: implementation of the worker interface.
        pool_adapter: implementation of the pool interface.
        runner_adapter: implementation of the runner interface.
        log_format: `text` or `json`.
        log_level: lowest level that is logged.
        session_lease_s: lease of the session; others may end the session of a
            node that has not renewed it for this long.
        session_renew_s: mean interval between renewals of the session.
        drift_allowance_s: allowance for clock drift and pauses.
        key_freshness_s: maximum age of the view that keys are checked
            against.
        isolation_hold_s: how long a node that is cut off may still start
            calls of open services, counted from the last time its session was
            provably valid. If the node is dead, the part of the limits that
            it holds for these calls stays unused for that time. Zero disables
            the hold.
        appends_per_s: budget of appends to the log by this node.
        ready_delay_s: time from reporting unready to closing the listener, in
            which the load balancer can notice.
        drain_s: time that a graceful stop allows for work in progress.
        max_body_bytes: maximum size of a request body.
        seed: seed of random choices; negative for a random seed.
    """

    node_name: str
    zone: str
    log_url: str
    vm_list_url: str
    pool_url: str
    peer_secret: str
    operator_key_digest: str = ""
    region: str = "default"
    api_host: str = "127.0.0.1"
    api_port: int = 0
    peer_host: str = "127.0.0.1"
    peer_port: int = 0
    peer_advertised: str = ""
    log_adapter: str = "http"
    vm_list_adapter: str = "http"
    worker_adapter: str = "http"
    pool_adapter: str = "http"
    runner_adapter: str = "http"
    log_format: str = "text"
    log_level: str = "INFO"
    session_lease_s: float = 3.0
    session_renew_s: float = 1.0
    drift_allowance_s: float = 0.5
    key_freshness_s: float = 2.0
    isolation_hold_s: float = 900.0
    appends_per_s: float = 30.0
    ready_delay_s: float = 2.0
    drain_s: float = 10.0
    max_body_bytes: int = _MIB
    seed: int = -1

    def __repr__(self) -> str:
        shown = self._replace(peer_secret="***")._asdict()
        pairs = ", ".join(f"{key}={value!r}" for key, value in shown.items())
        return f"Settings({pairs})"


_DEFAULTS: Mapping[str, typing.Any] = getattr(Settings, "_field_defaults")


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidSettings:
    """Findings of settings that can't be used.

    Attributes:
        findings: all findings; the place is the flag or the variable.
    """

    findings: tuple[verdicts.Finding, ...]


class _RawValue(typing.NamedTuple):
    """Unconverted value of a setting, with the flag or variable it is from."""

    place: str
    text: str


def parse(
    arguments: Sequence[str], environment: Mapping[str, str]
) -> Settings | InvalidSettings:
    """Reads and checks all settings.

    Args:
        arguments: command line without the program's name.
        environment: environment variables.

    Returns:
        The settings, or all findings together.

    Example:
        >>> invalid = parse(["--api-port=high"], {})
        >>> invalid.findings[0].place
        '--api-port'
    """
    findings: list[verdicts.Finding] = []
    raw_values = _read_environment(environment, findings)
    raw_values.update(_read_flags(arguments, findings))
    _read_secret_file(raw_values, findings)
    values: dict[str, typing.Any] = {}
    for field, raw_value in raw_values.items():
        try:
            values[field] = _CONVERTERS[field](raw_value.text)
        except converters.InvalidValueError as error:
            findings.append(verdicts.Finding(raw_value.place, str(error)))
    findings += _find_missing(raw_values)
    findings += _find_conflicts(values, raw_values)
    if findings:
        return InvalidSettings(tuple(sorted(findings)))
    return Settings(**values)


def usage() -> str:
    """Returns one line for each setting: flag, variable and default."""
    lines = []
    for field in Settings._fields:
        default = _DEFAULTS.get(field, "required")
        flag = (
            _flag(field)
            if field != _SECRET_FIELD
            else _flag(_SECRET_FILE_FIELD)
        )
        lines.append(f"{flag:30} {_variable(field):40} {default}")
    return "\n".join(lines)


def _flag(field: str) -> str:
    return "--" + field.replace("_", "-")


def _variable(field: str) -> str:
    return ENVIRONMENT_PREFIX + field.upper()


def _read_environment(
    environment: Mapping[str, str], findings: list[verdicts.Finding]
) -> dict[str, _RawValue]:
    raw_values = {}
    for variable in sorted(environment):
        if not variable.startswith(ENVIRONMENT_PREFIX):
            continue
        field = variable.removeprefix(ENVIRONMENT_PREFIX).lower()
        if field in _CONVERTERS or field == _SECRET_FILE_FIELD:
            raw_values[field] = _RawValue(variable, environment[variable])
        elif field not in _COMMAND_LINE_TOOL_FIELDS:
            findings.append(verdicts.Finding(variable, "unknown setting"))
    return raw_values


def _read_flags(
    arguments: Sequence[str], findings: list[verdicts.Finding]
) -> dict[str, _RawValue]:
    raw_values: dict[str, _RawValue] = {}
    rest = list(arguments)
    while rest:
        flag, equals, text = rest.pop(0).partition("=")
        field = flag.removeprefix("--").replace("-", "_")
        message = _check_flag(flag, field, field in raw_values)
        if not message and not equals:
            if rest and not rest[0].startswith("--"):
                text = rest.pop(0)
            else:
                message = "a value is missing"
        if message:
            place = flag if flag.startswith("-") else "arguments"
            findings.append(verdicts.Finding(place, message))
        else:
            raw_values[field] = _RawValue(flag, text)
    return raw_values


def _check_flag(flag: str, field: str, is_repeated: bool) -> str:
    if flag == _flag(_SECRET_FIELD):
        return f"use {_variable(_SECRET_FIELD)} or {_flag(_SECRET_FILE_FIELD)}"
    if not flag.startswith("--"):
        return "only flags are expected"
    if field not in _CONVERTERS and field != _SECRET_FILE_FIELD:
        return "unknown setting"
    return "given twice" if is_repeated else ""


def _read_secret_file(
    raw_values: dict[str, _RawValue], findings: list[verdicts.Finding]
) -> None:
    raw_value = raw_values.pop(_SECRET_FILE_FIELD, None)
    if raw_value is None:
        return
    if _SECRET_FIELD in raw_values:
        message = f"can't be combined with {_variable(_SECRET_FIELD)}"
        findings.append(verdicts.Finding(raw_value.place, message))
        return
    try:
        text = pathlib.Path(raw_value.text).read_text(encoding="utf-8").strip()
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or "not a text file"
        message = f"the file can't be read: {reason}"
        findings.append(verdicts.Finding(raw_value.place, message))
        text = ""
    raw_values[_SECRET_FIELD] = _RawValue(raw_value.place, text)


def _find_missing(
    raw_values: Mapping[str, _RawValue],
) -> list[verdicts.Finding]:
    findings = []
    for field in Settings._fields:
        if field in _DEFAULTS or field in raw_values:
            continue
        flag = _flag(_SECRET_FILE_FIELD if field == _SECRET_FIELD else field)
        message = f"is required ({_variable(field)})"
        findings.append(verdicts.Finding(flag, message))
    return findings


def _find_conflicts(
    values: Mapping[str, typing.Any], raw_values: Mapping[str, _RawValue]
) -> list[verdicts.Finding]:
    """Finds settings that are valid on their own but conflict."""
    merged = {**_DEFAULTS, **values}
    findings = []
    for lower, factor, upper in _MIN_RATIOS:
        if merged[lower] * factor <= merged[upper]:
            continue
        place = raw_values[lower].place if lower in raw_values else _flag(lower)
        message = f"times {factor:g} must be at most {_flag(upper)}"
        message += f" ({merged[lower]:g} against {merged[upper]:g})"
        findings.append(verdicts.Finding(place, message))
    return findings


_COMMAND_LINE_TOOL_FIELDS = ("server", "operator_key", "operator_key_file")
# A setting, a factor, and the setting that must be at least the product.
_MIN_RATIOS = (
    ("session_renew_s", 2.6, "session_lease_s"),
    ("drift_allowance_s", 2.0, "session_lease_s"),
)
_CONVERTERS: dict[str, converters.Converter] = {
    "node_name": converters.to_name,
    "zone": converters.to_name,
    "region": converters.to_name,
    "log_url": converters.to_url,
    "vm_list_url": converters.to_url,
    "pool_url": converters.to_url,
    "peer_secret": converters.to_secret,
    "operator_key_digest": converters.to_digest,
    "api_host": converters.to_address,
    "api_port": converters.integer(0, _MAX_PORT),
    "peer_host": converters.to_reachable_address,
    "peer_port": converters.integer(0, _MAX_PORT),
    "peer_advertised": converters.to_optional_endpoint,
    "log_adapter": converters.adapter("log"),
    "vm_list_adapter": converters.adapter("vm-list"),
    "worker_adapter": converters.adapter("worker"),
    "pool_adapter": converters.adapter("pool"),
    "runner_adapter": converters.adapter("runner"),
    "log_format": converters.one_of("text", "json"),
    "log_level": converters.to_level,
    "session_lease_s": converters.number(0.2, 60.0),
    "session_renew_s": converters.number(0.05, 20.0),
    "drift_allowance_s": converters.number(0.0, 20.0),
    "key_freshness_s": converters.number(0.2, 5.0),
    "isolation_hold_s": converters.number(0.0, 86_400.0),
    "appends_per_s": converters.number(0.1, 1000.0),
    "drain_s": converters.number(0.0, 3600.0),
    "ready_delay_s": converters.number(0.0, 3600.0),
    "max_body_bytes": converters.integer(1024, 64 * _MIB),
    "seed": converters.integer(-1, 2**53),
}
