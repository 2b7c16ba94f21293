"""Daemon of an entry VM on the users' platform."""

import asyncio
import os
import signal
import sys
import uuid
from collections.abc import Callable

from foxtaillock.batch import configuration
from foxtaillock.batch import decision_log
from foxtaillock.batch import hedged_stream
from foxtaillock.batch import metrics as batch_metrics
from foxtaillock.batch import node as nodes
from foxtaillock.batch import ownership
from foxtaillock.batch import records
from foxtaillock.batch import services as batch_services
from foxtaillock import exceptions
from foxtaillock.model import clock as model_clock
from foxtaillock.platform import advice
from foxtaillock.platform import allocator
from foxtaillock.platform import fleet_client
from foxtaillock.platform import http_client
from foxtaillock.platform import http_server
from foxtaillock.platform import record_codec
from foxtaillock.platform import settings as platform_settings
from foxtaillock.platform import store
from foxtaillock.platform import worker_client

__all__ = ["create_node", "create_services", "main", "run"]

_SETTINGS_VARIABLE = "FOXTAILLOCK_SETTINGS"
_DEFAULT_SETTINGS = "/etc/foxtaillock/settings.conf"
_EXIT_BAD_SETTINGS = 2

_JOURNAL_TOPIC = "keyed.journal"
_SUBMISSIONS_TOPIC = "keyed.submissions"
_OPERATORS_TOPIC = "keyed.op"
_WORKERS_TOPIC = "keyed.servers"
_STATUS_TOPIC = "keyed.status"
_PRODUCER = "owner"

# A worker accepts 64 connections. The owner needs only a few of them; opening
# more would cost time and leave them idle.
_ORDER_CONNECTIONS = 4
_POLL_CONNECTIONS = 2
_STORE_CONNECTIONS = 8

# The load balancer probes readiness once a second and notices within two probes
# that a VM is stopping; until then it forwards new connections.
_ACCEPT_S = 3.0

# Longest time that a call takes while the store is slow.
_MAX_CALL_S = 2.3

# Part of the time between SIGTERM and SIGKILL that is kept for the exit itself.
_EXIT_MARGIN_S = 0.7

_HANDOVER_TIMEOUT_S = 1.0


def main() -> None:
    """Entry point of the daemon."""
    path = os.environ.get(_SETTINGS_VARIABLE, _DEFAULT_SETTINGS)
    try:
        settings = platform_settings.load(path)
    except exceptions.InvalidInputError as error:
        print(f"foxtaillockd: {error}", file=sys.stderr)
        sys.exit(_EXIT_BAD_SETTINGS)
    allocator.keep_read_buffers()
    asyncio.run(run(settings, path))


async def run(settings: platform_settings.VmSettings, path: str) -> None:
    """Runs the daemon until it is told to stop.

    Args:
        settings: settings of this entry VM.
        path: file from which they were read.

    Raises:
        OSError: the address for calls or for readiness could not be bound.
    """
    clock = model_clock.SystemClock()
    json_log = decision_log.create_log(settings.node, clock)
    metrics = batch_metrics.Metrics()
    metrics.add_gauge(
        "log_lines_dropped",
        "Lines that the reader of the log did not take",
        lambda: float(json_log.dropped),
    )
    log = metrics.counting_log(json_log)
    clients = [
        http_client.PlatformHttpClient(_STORE_CONNECTIONS, log),
        http_client.PlatformHttpClient(_ORDER_CONNECTIONS, log),
        http_client.PlatformHttpClient(_POLL_CONNECTIONS, log),
    ]
    incarnation = uuid.uuid4().hex[:8]
    node = create_node(
        settings,
        incarnation,
        create_services(settings, clients, clock, log, metrics),
    )
    server = http_server.HttpServer(
        node.call_handler, lambda: node.is_ready, clock, metrics, log
    )
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, settings, path, log)
    try:
        node.start()
        await server.listen(
            settings.readiness, server.serve_readiness, settings.probe_limits
        )
        await server.listen(
            settings.callers, server.serve_call, settings.call_limits
        )
        try:
            await server.listen(
                settings.metrics, server.serve_metrics, settings.probe_limits
            )
        except OSError as error:
            log("metrics-not-served", error=str(error))
        log("started", incarnation=incarnation, zone=settings.zone)
        await stop.wait()
        log("stopping", incarnation=incarnation)
        await _drain(node, server, clock, settings.grace_s)
        log("stopped", incarnation=incarnation)
    finally:
        await server.close()
        await node.close()
        for client in clients:
            await client.close()


async def _drain(
    node: nodes.Node,
    server: http_server.HttpServer,
    clock: model_clock.Clock,
    grace_s: float,
) -> None:
    """Releases the ownership and answers the calls that still arrive.

    Args:
        node: the entry VM.
        server: its HTTP server.
        clock: source of time.
        grace_s: time between SIGTERM and SIGKILL.
    """
    stop_requested_s = clock.monotonic_s()
    drain_s = grace_s - _EXIT_MARGIN_S
    read_s = max(0.0, drain_s - _MAX_CALL_S)
    accept_s = min(_ACCEPT_S, read_s)
    await node.release_ownership(_HANDOVER_TIMEOUT_S)
    await server.drain(
        stop_requested_s + drain_s,
        stop_requested_s + accept_s,
        stop_requested_s + read_s,
    )


def create_node(
    settings: platform_settings.VmSettings,
    incarnation: str,
    services: batch_services.NodeServices,
) -> nodes.Node:
    """Returns the entry VM that the settings describe.

    Args:
        settings: settings of the entry VM.
        incarnation: identifies this start of its process.
        services: dependencies of the entry VM.
    """
    return nodes.Node(
        settings.node,
        incarnation,
        settings.key_age_s,
        services,
        ownership.capacity_of(settings.processors, settings.link_mbit_s),
        settings.max_job_bytes,
    )


def create_services(
    settings: platform_settings.VmSettings,
    clients: list[http_client.PlatformHttpClient],
    clock: model_clock.Clock,
    log: Callable[..., None],
    metrics: batch_metrics.Metrics,
) -> batch_services.NodeServices:
    """Returns the dependencies of an entry VM on the platform.

    Args:
        settings: settings of this entry VM.
        clients: HTTP clients for the store, for orders and for polls.
        clock: source of time.
        log: structured log.
        metrics: metrics of this process.
    """
    store_client, order_client, poll_client = clients

    def _topic(name: str) -> store.KeyedTopic:
        return store.KeyedTopic(
            store_client, settings.store.text, name, _PRODUCER
        )

    return batch_services.NodeServices(
        operators=_topic(_OPERATORS_TOPIC),
        decode_config=_decode_config,
        decode_wave=record_codec.decode_wave,
        decode_evacuation=record_codec.decode_evacuation,
        owner=batch_services.OwnerServices(
            journal=hedged_stream.HedgedStream(_topic(_JOURNAL_TOPIC), clock),
            submissions=_topic(_SUBMISSIONS_TOPIC),
            registry=_topic(_WORKERS_TOPIC),
            decode_worker=record_codec.decode_worker,
            worker_client=worker_client.HttpWorkerClient(
                order_client, poll_client
            ),
            fleet_client=_create_fleet_client(settings, store_client),
            advisor=_create_advisor(settings, order_client),
            statuses=_topic(_STATUS_TOPIC),
            encode_wave=_encode_wave,
            clock=clock,
            log=log,
            metrics=metrics,
        ),
    )


def _decode_config(
    key: str, value: bytes
) -> configuration.Configuration | None:
    if not record_codec.is_config_key(key):
        return None
    return record_codec.decode_config(value)


def _create_fleet_client(
    settings: platform_settings.VmSettings,
    client: http_client.PlatformHttpClient,
) -> fleet_client.HttpFleetClient | None:
    if settings.fleet is None:
        return None
    return fleet_client.HttpFleetClient(
        client, settings.fleet.text, settings.node
    )


def _create_advisor(
    settings: platform_settings.VmSettings,
    client: http_client.PlatformHttpClient,
) -> advice.HttpAdvisor | None:
    if settings.advisor is None:
        return None
    return advice.HttpAdvisor(client, settings.advisor.text)


def _encode_wave(number: int, is_complete: bool) -> records.KeyedRecord:
    return records.KeyedRecord(
        record_codec.wave_status_key(number),
        record_codec.encode_wave_status(number, is_complete),
    )


def _reload(
    current: platform_settings.VmSettings,
    path: str,
    log: Callable[..., None],
) -> None:
    """Reads the settings again and logs which ones have changed."""
    try:
        reloaded = platform_settings.load(path)
    except exceptions.InvalidInputError as error:
        log("reload-failed", error=str(error))
        return
    changed = [
        name
        for name in current._fields
        if getattr(current, name) != getattr(reloaded, name)
    ]
    log("reloaded", changed=changed)


if __name__ == "__main__":
    main()
