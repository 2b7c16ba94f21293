"""Dependencies that are injected into an entry VM and its owner."""

import typing
from collections.abc import Callable

from foxtaillock.batch import configuration
from foxtaillock.batch import interfaces
from foxtaillock.batch import metrics as batch_metrics
from foxtaillock.batch import model
from foxtaillock.batch import records
from foxtaillock.model import clock as model_clock

__all__ = ["NodeServices", "OwnerServices"]


class OwnerServices(typing.NamedTuple):
    """Dependencies of an owner.

    Attributes:
        journal: stream of the records that owners write.
        submissions: stream of the jobs and cancellations that entry VMs have
            accepted; folded into the same view as the journal.
        registry: stream of the registrations of workers.
        decode_worker: decodes a record of that stream.
        worker_client: sends orders to workers.
        fleet_client: sends orders for VMs of the fleet; None if there is no
            such service.
        advisor: tells which workers may run a step; None if there is none.
        statuses: stream of the statuses that operators read.
        encode_wave: encodes a wave's state for that stream.
        clock: source of time.
        log: structured log.
        metrics: metrics of this process.
    """

    journal: interfaces.KeyedStream
    submissions: interfaces.KeyedStream
    registry: interfaces.KeyedStream
    decode_worker: Callable[[str, bytes], model.WorkerEntry | None]
    worker_client: interfaces.WorkerClient
    fleet_client: interfaces.FleetClient | None
    advisor: interfaces.Advisor | None
    statuses: interfaces.KeyedStream
    encode_wave: Callable[[int, bool], records.KeyedRecord]
    clock: model_clock.Clock
    log: Callable[..., None]
    metrics: batch_metrics.Metrics


class NodeServices(typing.NamedTuple):
    """Dependencies of an entry VM.

    Attributes:
        operators: stream of the records that operators have written.
        decode_config: decodes a record of that stream; None if it holds no
            configuration.
        decode_wave: decodes a record of that stream; None if it holds no
            maintenance wave.
        decode_evacuation: decodes a record of that stream, which may be empty;
            None if it tells nothing of an evacuation.
        owner: dependencies of the owner, some of which the VM always uses.
    """

    operators: interfaces.KeyedStream
    decode_config: Callable[[str, bytes], configuration.Configuration | None]
    decode_wave: Callable[[str, bytes], model.Wave | None]
    decode_evacuation: Callable[[str, bytes], model.Evacuation | None]
    owner: OwnerServices
