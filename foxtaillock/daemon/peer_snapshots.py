"""Exchange of snapshots of the control state between entry VMs.

A starting VM asks its peers when the snapshots on the log do not cover the
records that have expired, as after an outage longer than the log's retention.
"""

import asyncio
import random
from collections.abc import Iterable
from collections.abc import Sequence

from loguru import logger

from foxtaillock import exceptions
from foxtaillock.model import clock as clocks
from foxtaillock.model import vms_and_jobs
from foxtaillock.peers import client
from foxtaillock.settings import settings as settings_lib
from foxtaillock.state import replica as replicas
from foxtaillock.state import snapshots
from foxtaillock.state import snapshotter

__all__ = ["SnapshotCache", "ask_peers", "choose_peers", "load_state"]

_MAX_PEERS_ASKED = 3
_ANSWER_TIMEOUT_S = 10.0
_CACHE_TTL_S = 1.0


class SnapshotCache:
    """Caches the encoded snapshot that peers ask for.

    Many VMs that start at the same time then cost only one encoding.

    Args:
        control_snapshotter: takes the snapshots.
        replica: replica of the control stream.
        clock: source of time.
    """

    def __init__(
        self,
        control_snapshotter: snapshotter.Snapshotter,
        replica: replicas.StreamReplica,
        clock: clocks.Clock,
    ) -> None:
        self._snapshotter = control_snapshotter
        self._replica = replica
        self._clock = clock
        self._taken_s = float("-inf")
        self._data = b""

    def take(self) -> bytes:
        """Returns an encoded snapshot at most `_CACHE_TTL_S` seconds old.

        Raises:
            exceptions.NotRunError: the replica has stopped, so its state must
                not be served.
        """
        if self._replica.error is not None:
            raise exceptions.NotRunError(f"no state: {self._replica.error}")
        now_s = self._clock.monotonic_s()
        if now_s - self._taken_s >= _CACHE_TTL_S:
            self._data = snapshots.encode(self._snapshotter.take())
            self._taken_s = now_s
        return self._data


async def load_state(
    control_snapshotter: snapshotter.Snapshotter,
    vms: Iterable[vms_and_jobs.VmEntry],
    settings: settings_lib.Settings,
    rng: random.Random,
) -> None:
    """Loads a snapshot from the log, or else from a peer.

    Args:
        control_snapshotter: loads it.
        vms: the platform's list.
        settings: settings of this VM.
        rng: shuffles the peers of a zone.

    Raises:
        exceptions.LogUnavailableError: the log answered that it is unavailable.
        exceptions.LogUnreachableError: the log did not answer.
        exceptions.StateDivergedError: no snapshot covers the records that have
            expired.
    """
    try:
        await control_snapshotter.start()
        return
    except exceptions.StateDivergedError as error:
        logger.warning("asking peers for a snapshot: {}", error)
    peers = choose_peers(vms, settings.node_name, settings.zone, rng)
    secret = settings.peer_secret.encode()
    await control_snapshotter.start(
        await ask_peers(peers, settings.node_name, secret)
    )


def choose_peers(
    vms: Iterable[vms_and_jobs.VmEntry],
    node: str,
    zone: str,
    rng: random.Random,
) -> list[vms_and_jobs.VmEntry]:
    """Returns the entry VMs to ask, those in the same zone first.

    Args:
        vms: the platform's list.
        node: name of this VM, which is excluded.
        zone: zone of this VM.
        rng: shuffles the VMs of a zone.
    """
    peers = [
        vm
        for vm in vms
        if vm.role is vms_and_jobs.VmRole.ENTRY
        and vm.name != node
        and vm.address
    ]
    rng.shuffle(peers)
    peers.sort(
        key=lambda vm: (
            vm.state is vms_and_jobs.VmState.LEAVING,
            vm.zone != zone,
        )
    )
    return peers[:_MAX_PEERS_ASKED]


async def ask_peers(
    peers: Sequence[vms_and_jobs.VmEntry], node: str, secret: bytes
) -> list[snapshots.Snapshot]:
    """Returns the snapshots of the peers that sent one.

    Args:
        peers: rows of the list; `address` is that of the peer port.
        node: name of this VM.
        secret: shared secret of the entry VMs.
    """
    answers = await asyncio.gather(
        *(_ask_peer(peer.address, node, secret) for peer in peers)
    )
    return [answer for answer in answers if answer is not None]


async def _ask_peer(
    address: str, node: str, secret: bytes
) -> snapshots.Snapshot | None:
    host, _, port = address.rpartition(":")
    try:
        connection = await client.connect(host, int(port), node, secret)
    except (exceptions.FoxtaillockError, ValueError) as error:
        logger.info("no snapshot from {}: {}", address, error)
        return None
    try:
        data = await connection.take_snapshot(_ANSWER_TIMEOUT_S)
        return snapshots.decode(data)
    except exceptions.FoxtaillockError as error:
        logger.info("no snapshot from {}: {}", address, error)
        return None
    finally:
        connection.close()
