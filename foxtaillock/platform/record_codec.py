"""Decodes records of workers and operators, and encodes wave statuses."""

import typing

import msgspec

from foxtaillock import exceptions
from foxtaillock.batch import configuration
from foxtaillock.batch import model
from foxtaillock.model import resources
from foxtaillock.platform import json_codec
from foxtaillock.platform import wire_text

__all__ = [
    "WireSize",
    "decode_config",
    "decode_entries",
    "decode_evacuation",
    "decode_size",
    "decode_wave",
    "decode_worker",
    "is_config_key",
    "encode_wave_status",
    "wave_status_key",
]

_CONFIG_KEY = "config"
_WAVE_PREFIX = "wave/"
_EVACUATION_PREFIX = "evacuate/"
_MIB = 1024 * 1024
_DEFAULT_MAX_BODY_BYTES = 262_144


class WireSize(typing.TypedDict, total=False):
    """Resources in the platform's encoding."""

    cpu: json_codec.Count
    mem_mb: json_codec.Mebibytes
    gpu: json_codec.Count


class _Worker(typing.TypedDict):
    service: wire_text.Name
    address: str
    zone: wire_text.Name
    state: typing.Literal["ready", "draining"]
    capacity: WireSize
    labels: list[wire_text.Name]
    clock_ms: json_codec.Count
    born: typing.NotRequired[json_codec.Count | None]
    drain_remaining_ms: typing.NotRequired[json_codec.Duration | None]
    cold_remaining_ms: typing.NotRequired[json_codec.Duration | None]


class _Route(typing.TypedDict):
    name: str
    host: str
    path_prefix: str
    service: str
    target_duration_ms: typing.NotRequired[json_codec.Duration]
    priority: typing.NotRequired[int]
    max_attempts: typing.NotRequired[int]
    stretch: typing.NotRequired[float]
    public: typing.NotRequired[bool]
    advice: typing.NotRequired[dict[str, typing.Any] | None]


class _Service(typing.TypedDict):
    name: str
    admission_check: typing.NotRequired[bool]
    spare: typing.NotRequired[bool]


class _Tenant(typing.TypedDict):
    name: str
    api_keys: typing.NotRequired[list[str]]
    weight: typing.NotRequired[float]
    cap: typing.NotRequired[WireSize]


class _Limits(typing.TypedDict, total=False):
    max_body_bytes: int


class _Config(typing.TypedDict):
    version: json_codec.Count
    routes: list[_Route]
    services: list[_Service]
    limits: typing.NotRequired[_Limits]
    tenants: typing.NotRequired[list[_Tenant]]


class _Wave(typing.TypedDict):
    wave: json_codec.Count
    machines: list[str]
    complete_by_s: json_codec.Duration
    cap: json_codec.Count


_worker_decoder = json_codec.Decoder(_Worker)
_config_decoder = json_codec.Decoder(_Config)
_wave_decoder = json_codec.Decoder(_Wave)
_any_decoder = json_codec.Decoder(object)


def decode_size(size: typing.Any) -> resources.Resources:
    """Returns the resources of a mapping with `cpu`, `mem_mb` and `gpu`."""
    return resources.Resources(
        int(size.get("cpu", 0)),
        int(size.get("mem_mb", 0)) * _MIB,
        int(size.get("gpu", 0)),
    )


def decode_worker(key: str, value: bytes) -> model.WorkerEntry | None:
    """Returns a worker's registration, or None if it is malformed.

    A registration whose key or address can't be part of a request is malformed.
    """
    try:
        entry = _worker_decoder.decode(value)
    except exceptions.InvalidInputError:
        return None
    if not (wire_text.is_id(key) and wire_text.is_address(entry["address"])):
        return None
    return model.WorkerEntry(
        key,
        entry.get("born") or 0,
        # A service in the platform's API is a pool of workers.
        entry["service"],
        entry["address"],
        entry["zone"],
        tuple(entry["labels"]),
        decode_size(entry["capacity"]),
        entry["state"] == "draining",
        int(entry.get("drain_remaining_ms") or 0),
        entry["clock_ms"],
        int(entry.get("cold_remaining_ms") or 0),
    )


def is_config_key(key: str) -> bool:
    """Returns whether an operators' record with this key is a configuration."""
    return key == _CONFIG_KEY


def decode_config(value: bytes) -> configuration.Configuration | None:
    """Returns the configuration, or None if it is malformed."""
    try:
        entries = decode_entries(value)
    except exceptions.InvalidInputError:
        return None
    return configuration.create_configuration(*entries)


def decode_entries(value: bytes) -> configuration.Entries:
    """Returns the entries of a configuration.

    Raises:
        exceptions.InvalidInputError: the configuration is malformed.
    """
    config = _config_decoder.decode(value)
    limits = config.get("limits", {})
    return configuration.Entries(
        config["version"],
        [
            configuration.Route(each["host"], each["path_prefix"], each["name"])
            for each in config["routes"]
        ],
        [_decode_queue(each) for each in config["routes"]],
        [_decode_pool(each) for each in config["services"]],
        [
            (_decode_team(each), each.get("api_keys", []))
            for each in config.get("tenants", [])
        ],
        limits.get("max_body_bytes", _DEFAULT_MAX_BODY_BYTES),
    )


def decode_wave(key: str, value: bytes) -> model.Wave | None:
    """Returns a maintenance wave, or None if the record holds none."""
    if not key.startswith(_WAVE_PREFIX):
        return None
    try:
        wave = _wave_decoder.decode(value)
    except exceptions.InvalidInputError:
        return None
    return model.Wave(
        wave["wave"],
        tuple(wave["machines"]),
        wave["complete_by_s"],
        # In a wave, `cap` is a number of VMs; in a tenant, it is resources.
        wave["cap"],
    )


def decode_evacuation(key: str, value: bytes) -> model.Evacuation | None:
    """Returns the state of a zone, or None if the record holds none.

    The content of a request has no meaning. An erased record, which is empty,
    returns the zone to service.

    Example:
        >>> decode_evacuation("evacuate/a", b"{}")
        Evacuation(zone='a', is_requested=True)
        >>> decode_evacuation("evacuate/a", b"")
        Evacuation(zone='a', is_requested=False)
    """
    zone = key.removeprefix(_EVACUATION_PREFIX)
    if zone in (key, ""):
        return None
    if value:
        try:
            _any_decoder.decode(value)
        except exceptions.InvalidInputError:
            return None
    return model.Evacuation(zone, bool(value))


def wave_status_key(number: int) -> str:
    """Returns the key under which operators read a wave's state."""
    return f"{_WAVE_PREFIX}{number}"


def encode_wave_status(number: int, is_complete: bool) -> bytes:
    """Returns a wave's state in the encoding that operators read."""
    state = "completed" if is_complete else "running"
    return msgspec.json.encode({"wave": number, "state": state})


def _decode_queue(route: _Route) -> model.Queue:
    return model.Queue(
        route["name"],
        route["service"],
        route.get("priority", 0),
        route.get("max_attempts", 1),
        route.get("stretch", 1.0),
        # Despite its name, this is the slack that the objective adds to the
        # stretched duration of the job's critical path.
        int(route.get("target_duration_ms", 0)),
        route.get("public", False),
        bool(route.get("advice")),
    )


def _decode_pool(service: _Service) -> model.Pool:
    return model.Pool(
        service["name"],
        service.get("admission_check", False),
        service.get("spare", False),
    )


def _decode_team(tenant: _Tenant) -> model.Team:
    return model.Team(
        tenant["name"],
        tenant.get("weight", 1.0),
        decode_size(tenant.get("cap", {})),
    )
