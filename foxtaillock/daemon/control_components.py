"""Components around the shared control state of one entry VM."""

import random
import secrets
import typing

from foxtaillock.adapters import interfaces as adapters
from foxtaillock.daemon import key_checker
from foxtaillock.daemon import session_controller
from foxtaillock.leases import ownership
from foxtaillock.leases import times as session_times
from foxtaillock.model import clock as clocks
from foxtaillock.model import pool_records
from foxtaillock.model import records
from foxtaillock.settings import settings as settings_lib
from foxtaillock.state import budget as budgets
from foxtaillock.state import control_state
from foxtaillock.state import replica as replicas
from foxtaillock.state import snapshots
from foxtaillock.state import snapshotter

__all__ = ["ControlComponents", "create_control_components"]

_CONTROL_REPLICA_SETTINGS = replicas.ReplicaSettings(
    poll_s=0.8, read_pause_s=0.3
)
_SNAPSHOT_REPLICA_SETTINGS = replicas.ReplicaSettings(poll_s=10.0)


class ControlComponents(typing.NamedTuple):
    """Control state of one entry VM and the components that maintain it.

    Attributes:
        incarnation: identity of this process among the writers of the log.
        state: fold of the control stream.
        replica: replica of the control stream.
        snapshotter: loads and writes snapshots of the state.
        keys: checks keys.
        session: session of this entry VM.
    """

    incarnation: str
    state: control_state.ControlState
    replica: replicas.StreamReplica
    snapshotter: snapshotter.Snapshotter
    keys: key_checker.ReplicaKeyChecker
    session: session_controller.SessionController

    def owns_fleet(self) -> bool:
        """Returns whether this VM owns the fleet now."""
        return self.session.owns(pool_records.FLEET_POOL, self.fleet_epoch())

    def fleet_epoch(self) -> int:
        """Returns the epoch of the last claim of the fleet."""
        return self.state.epoch(pool_records.FLEET_POOL)


def create_control_components(
    settings: settings_lib.Settings,
    clock: clocks.Clock,
    rng: random.Random,
    log: adapters.LogService,
    budget: budgets.AppendBudget,
) -> ControlComponents:
    """Returns the components of an entry VM, not yet running."""
    incarnation = secrets.token_hex(8)
    state = control_state.ControlState()

    def _make_replica(
        stream: str,
        fold: typing.Any,
        replica_settings: replicas.ReplicaSettings,
    ) -> replicas.StreamReplica:
        return replicas.StreamReplica(
            log,
            stream,
            fold,
            writer=settings.node_name,
            incarnation=incarnation,
            clock=clock,
            rng=rng,
            budget=budget,
            settings=replica_settings,
        )

    replica = _make_replica(
        records.CONTROL_STREAM, state, _CONTROL_REPLICA_SETTINGS
    )
    keys = key_checker.ReplicaKeyChecker(
        state,
        replica,
        clock,
        settings.key_freshness_s,
        settings.operator_key_digest,
    )
    session = _create_session(
        settings, clock, rng, incarnation, state, replica, keys
    )
    snapshot_fold = snapshots.SnapshotFold()
    control_snapshotter = snapshotter.Snapshotter(
        log,
        state,
        replica,
        _make_replica(
            records.SNAPSHOT_STREAM, snapshot_fold, _SNAPSHOT_REPLICA_SETTINGS
        ),
        snapshot_fold,
        node=settings.node_name,
        clock=clock,
        rng=rng,
        is_writer=lambda: components.owns_fleet(),
    )
    components = ControlComponents(
        incarnation, state, replica, control_snapshotter, keys, session
    )
    return components


def _create_session(
    settings: settings_lib.Settings,
    clock: clocks.Clock,
    rng: random.Random,
    incarnation: str,
    state: control_state.ControlState,
    replica: replicas.StreamReplica,
    keys: key_checker.ReplicaKeyChecker,
) -> session_controller.SessionController:
    times = session_times.make_times(
        settings.session_lease_s,
        settings.session_renew_s,
        settings.drift_allowance_s,
    )
    return session_controller.SessionController(
        ownership.Identity(settings.node_name, incarnation, settings.zone),
        state,
        replica,
        clock,
        rng,
        times,
        pools=lambda: [pool_records.FLEET_POOL, *sorted(state.objects("pool"))],
        is_peer_ahead=keys.is_peer_ahead,
    )
