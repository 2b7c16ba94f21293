"""One entry VM: builds and runs the components of the daemon."""

import asyncio
import collections
import contextlib
import random
import typing
from collections.abc import Iterable

from aiohttp import web
from loguru import logger

from foxtaillock import exceptions
from foxtaillock.api import admin
from foxtaillock.api import callers
from foxtaillock.api import health
from foxtaillock.api import middleware
from foxtaillock.api import server_log
from foxtaillock.calls import service as call_service
from foxtaillock.daemon import admin_backend
from foxtaillock.daemon import background
from foxtaillock.daemon import burn_tracker
from foxtaillock.daemon import call_claims
from foxtaillock.daemon import callers_backend
from foxtaillock.daemon import control_components
from foxtaillock.daemon import grant_controller
from foxtaillock.daemon import job_router
from foxtaillock.daemon import measures_tracker
from foxtaillock.daemon import metrics
from foxtaillock.daemon import peer_handler
from foxtaillock.daemon import peer_snapshots
from foxtaillock.daemon import platform_adapters
from foxtaillock.daemon import pool_controller
from foxtaillock.daemon import vm_list_poller
from foxtaillock.fleet import controller as fleet_controller
from foxtaillock.limits import grants as limits
from foxtaillock.membership import neighbours
from foxtaillock.model import clock as clocks
from foxtaillock.model import note_records
from foxtaillock.model import record_batches
from foxtaillock.model import records
from foxtaillock.model import session_records
from foxtaillock.model import verdicts
from foxtaillock.model import vm_records
from foxtaillock.peers import links
from foxtaillock.peers import messages
from foxtaillock.peers import server
from foxtaillock.settings import settings as settings_lib
from foxtaillock.state import budget as budgets

__all__ = ["EntryNode", "create_node"]

_DRAIN_POLL_S = 0.05
_START_RETRY_INTERVAL_S = 0.5


class EntryNode:
    """The daemon of one entry VM; needs a running `capnp.kj_loop`.

    Args:
        settings: checked settings.
        clock: source of time.
        platform: adapters to the platform.

    Attributes:
        failed: set when this VM can no longer serve and must be restarted.
    """

    def __init__(
        self,
        settings: settings_lib.Settings,
        clock: clocks.Clock,
        platform: platform_adapters.PlatformAdapters,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.platform = platform
        self.api_port = 0
        self.peer_port = 0
        self._not_ready_reason = "starting"
        self._draining = False
        self.failed = asyncio.Event()
        self._background = background.Background()
        self._open_requests = 0
        self._known_sessions: set[str] = set()
        self._rng = random.Random(settings.seed if settings.seed >= 0 else None)
        budget = budgets.AppendBudget(
            settings.appends_per_s, settings.appends_per_s, clock.monotonic_s()
        )
        self.control = control_components.create_control_components(
            settings, clock, self._rng, platform.log, budget
        )
        self.state = self.control.state
        self.replica = self.control.replica
        self.replica.on_batch(self._on_batch)
        self.keys = self.control.keys
        self.session = self.control.session
        self._build_controllers(budget)
        self._build_backends()
        self._build_http()

    def _build_controllers(self, budget: budgets.AppendBudget) -> None:
        settings = self.settings
        self.grants = limits.LocalGrants(
            self.clock,
            settings.node_name,
            self.session.incarnation,
            settings.isolation_hold_s,
        )
        self.claims = call_claims.LogClaims(
            self.platform.log,
            settings.node_name,
            self.control.incarnation,
            self.clock,
            self._rng,
            budget,
            may_claim=self.session.has_grants,
        )
        self.calls = call_service.CallService(
            self.platform.runners,
            self.clock,
            self._rng,
            node=settings.node_name,
            zone=settings.zone,
            grants=self.grants,
            claims=self.claims,
        )
        self.burn = burn_tracker.BurnTracker(self.clock, self.state)
        self.pools = pool_controller.PoolController(
            settings.node_name,
            self.state,
            self.replica,
            self.session,
            self.platform.log,
            self.platform.workers,
            self.clock,
            self._rng,
            self.grants,
            budget,
            self.burn,
        )
        self.measures = measures_tracker.MeasuresTracker(
            self.clock, self.state, self.pools.owners
        )
        self.grant_controller = grant_controller.GrantController(
            settings.node_name,
            self.session,
            self.replica,
            self.state,
            self.grants,
            self.clock,
            calls_waiting=self.calls.waiting_by_team,
            attempts_waiting=self._count_waiting_attempts,
            reclaim_wait_s=settings.session_lease_s
            + settings.drift_allowance_s
            + call_service.MAX_GRANT_HOLD_S,
            hold_s=settings.isolation_hold_s,
        )

    def _build_backends(self) -> None:
        settings = self.settings
        self.vm_list_poller = vm_list_poller.VmListPoller(
            self.platform.vm_list, self._push_updates
        )
        self.fleet = fleet_controller.FleetController(
            self.replica,
            self.state,
            lambda: self.vm_list_poller.vms,
            self.platform.pools,
            self.platform.workers,
            self.clock,
            self._rng,
            may_act=self.control.owns_fleet,
            epoch=self.control.fleet_epoch,
        )
        own = neighbours.Member(
            settings.node_name, settings.zone, settings.region, ""
        )
        self.peer_handler = peer_handler.EntryPeerHandler(
            self.pools.owners,
            self.keys,
            self._make_heartbeat,
            self._send_heartbeats_now,
            self._on_heartbeat,
            peer_snapshots.SnapshotCache(
                self.control.snapshotter, self.replica, self.clock
            ).take,
        )
        self.links = links.PeerLinks(
            own,
            settings.peer_secret.encode(),
            self.clock,
            self._make_heartbeat,
            self.replica.age_s,
            self.peer_handler.apply_answer,
        )
        self.peer_server = server.PeerServer(
            self.peer_handler, settings.peer_secret.encode()
        )
        self.jobs = job_router.JobRouter(
            settings.node_name, self.state, self.peer_handler, self.links
        )
        self.admin = admin_backend.EntryAdminBackend(
            self.state,
            self.replica,
            self.keys,
            self.jobs,
            lambda: self.vm_list_poller.vms,
            self._build_status,
            self._on_withdrawn,
            self.fleet.explain,
            self._build_burn_report,
            self.clock,
        )

    def _build_http(self) -> None:
        self.registry = metrics.create_registry()
        counter = health.RequestCounter(self.registry)
        app = web.Application(
            middlewares=[
                middleware.create_middleware(
                    counter, self._add_open_requests, lambda: self._draining
                )
            ],
            client_max_size=self.settings.max_body_bytes,
        )
        callers.add_routes(
            app,
            callers_backend.EntryCallersBackend(
                self.keys, self.state, self.calls, self.jobs, self.burn
            ),
        )
        admin.add_routes(app, self.admin)
        health.add_routes(app, self.registry, lambda: self._not_ready_reason)
        self._add_gauges()
        self._runner = web.AppRunner(
            app,
            access_log=None,
            logger=server_log.create_logger(),
            shutdown_timeout=self.settings.drain_s,
        )

    def _add_gauges(self) -> None:
        gauges = (
            ("view_age_s", "Age of the view", self.keys.view_age_s),
            ("pools_owned", "Pools owned", lambda: len(self.pools.owners)),
            ("next_offset", "Next offset", lambda: self.replica.next_offset),
            (
                "heartbeats_sent",
                "Heartbeats sent to neighbours",
                lambda: self.links.heartbeats_sent,
            ),
        )
        for name, text, read in gauges:
            metrics.add_gauge(self.registry, f"foxtaillock_{name}", text, read)
        metrics.add_burn_metrics(self.registry, self.burn.rows)

    async def start(self) -> None:
        """Joins the fleet; returns once this VM serves.

        Waits while the log can't be read: without the whole state, this VM
        could serve an older revision than one that was acknowledged.
        """
        settings = self.settings
        await self.vm_list_poller.poll()
        await self._retry(
            lambda: peer_snapshots.load_state(
                self.control.snapshotter,
                self.vm_list_poller.vms,
                settings,
                self._rng,
            )
        )
        self._background.spawn(self._replicate_control())
        self._background.spawn(self.control.snapshotter.run())
        await self._retry(self.replica.catch_up)
        logger.info("state is read up to offset {}", self.replica.next_offset)
        self.measures.start()
        self.peer_port = await self.peer_server.start(
            settings.peer_host, settings.peer_port
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, settings.api_host, settings.api_port)
        await site.start()
        self.api_port = self._runner.addresses[0][1]
        await self.session.start(
            settings.peer_advertised
            or f"{settings.peer_host}:{self.peer_port}",
            f"{settings.api_host}:{self.api_port}",
        )
        for loop in (
            self.vm_list_poller.run(),
            self.links.watch_view_age(),
            self.pools.run(),
            self.grant_controller.run(),
            self.fleet.run(),
            self.burn.run(),
        ):
            self._background.spawn(loop)
        self._push_updates()
        self._not_ready_reason = ""
        logger.info("serving on port {}", self.api_port)

    async def _replicate_control(self) -> None:
        """Replicates the control stream; ends serving if the state diverges."""
        try:
            await self.replica.run()
        except exceptions.StateDivergedError as error:
            logger.error("this VM must be restarted: {}", error)
        self._not_ready_reason = "diverged"
        self.failed.set()

    async def _retry(
        self, action: typing.Callable[[], typing.Awaitable[None]]
    ) -> None:
        """Repeats an action until the log can be read.

        Raises:
            exceptions.StateDivergedError: no snapshot covers the records that
                have expired.
        """
        while True:
            try:
                await action()
                return
            except (
                exceptions.LogUnavailableError,
                exceptions.LogUnreachableError,
            ) as error:
                logger.warning("waiting for the log: {}", error)
                await asyncio.sleep(_START_RETRY_INTERVAL_S)

    async def stop(self) -> None:
        """Stops gracefully: drains requests, hands pools over, and closes."""
        self._draining = True
        self._not_ready_reason = "draining"
        self.session.stop_claiming()
        await asyncio.sleep(self.settings.ready_delay_s)
        self.grants.start_draining()
        await self._await_open_requests()
        await self._runner.cleanup()
        await self.pools.hand_over()
        await self.close()

    async def _await_open_requests(self) -> None:
        end_s = self.clock.monotonic_s() + self.settings.drain_s
        while self._open_requests and self.clock.monotonic_s() < end_s:
            await asyncio.sleep(_DRAIN_POLL_S)
        self.calls.start_draining()
        left_s = max(0.0, end_s - self.clock.monotonic_s())
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.calls.wait_idle(), left_s)

    async def close(self) -> None:
        """Cancels all tasks and closes all connections."""
        await self.links.close()
        await self.peer_server.close()
        await self.pools.close()
        await self.session.close()
        await self.calls.close()
        await self.claims.close()
        await self._background.close()
        await self._runner.cleanup()
        await self.platform.close()

    def _add_open_requests(self, change: int) -> None:
        self._open_requests += change

    def _on_batch(
        self,
        offset: int,
        batch: record_batches.RecordBatch,
        batch_verdicts: typing.Sequence[verdicts.Verdict],
    ) -> None:
        self.measures.record_batch(offset, batch, batch_verdicts)
        if any(map(self._triggers_update, batch.records)):
            self._push_updates()
        if any(
            isinstance(each, note_records.NoteAccepted)
            for each in batch.records
        ):
            self.links.send_heartbeats_rate_limited()

    def _triggers_update(self, record: records.Record) -> bool:
        """Returns whether calls, pools or links must be updated for a record.

        A renewal requires it only if it is the first one seen of its session.
        """
        if isinstance(record, session_records.SessionRenewed):
            return record.incarnation not in self._known_sessions
        return isinstance(record, _UPDATE_TRIGGERS)

    def _push_updates(self) -> None:
        """Passes the VM list and the configuration to the components."""
        vms = self.vm_list_poller.vms
        services = {
            name: row.body
            for name, row in self.state.objects("service").items()
        }
        teams = {
            name: row.body for name, row in self.state.objects("team").items()
        }
        self.calls.update_runners(
            vms,
            typing.cast(typing.Any, services),
            typing.cast(typing.Any, teams),
        )
        self.burn.update()
        self.pools.update(vms)
        self.links.update_members(self._members())
        self._known_sessions = {
            key.incarnation
            for key, row in self.state.sessions.items()
            if not row.ended
        }

    def _members(self) -> Iterable[neighbours.Member]:
        for key, row in self.state.sessions.items():
            if not row.ended and row.peer_address:
                yield neighbours.Member(
                    key.node, row.zone, self.settings.region, row.peer_address
                )

    def _make_heartbeat(self) -> messages.Heartbeat:
        return messages.Heartbeat(
            self.settings.node_name,
            self.control.incarnation,
            self.settings.zone,
            self.replica.next_offset,
            self.replica.age_s(),
            "",
            self._draining,
            self.keys.recently_denied(),
            self.keys.revocation_offset,
            self.keys.key_offset,
        )

    def _send_heartbeats_now(self) -> None:
        self.links.send_heartbeats_now()

    def _on_heartbeat(self, heartbeat: messages.Heartbeat) -> None:
        self.links.record_heartbeat(heartbeat.node)
        self.measures.record_heartbeat(heartbeat)

    def _on_withdrawn(self, key_id: str) -> None:
        if self.keys.deny(key_id):
            self._send_heartbeats_now()

    def _count_waiting_attempts(self) -> typing.Mapping[str, int]:
        counts: collections.Counter[str] = collections.Counter()
        for team in self.state.objects("team"):
            for owner in self.pools.owners.values():
                counts[team] += owner.ready_count(team)
        return counts

    def _build_status(self) -> admin.Row:
        return {
            "node": self.settings.node_name,
            "zone": self.settings.zone,
            "revision": self.state.revision,
            "next_offset": self.replica.next_offset,
            "digest": self.state.digest(),
            "view_age_s": round(self.keys.view_age_s(), 3),
            "session_valid": self.session.is_valid(),
            "pools_owned": sorted(self.pools.owners),
            "nodes": sorted(
                key.node
                for key, row in self.state.sessions.items()
                if not row.ended
            ),
            "calls": self.calls.stats(),
            "not_ready": self._not_ready_reason,
        }

    async def _build_burn_report(self) -> admin.Row:
        return {
            "node": self.settings.node_name,
            "incarnation": self.control.incarnation,
            "zone": self.settings.zone,
            "objectives": await self.burn.encoded_rows(),
            **self.measures.report(),
        }


_UPDATE_TRIGGERS = (
    note_records.NoteAccepted,
    session_records.SessionEnded,
    vm_records.VmStep,
    vm_records.DisruptionGranted,
    vm_records.DisruptionEnded,
)


def create_node(settings: settings_lib.Settings) -> EntryNode:
    """Returns an entry VM with the adapters that `settings` name."""
    platform = platform_adapters.create_platform_adapters(settings)
    return EntryNode(settings, clocks.SystemClock(), platform)
