"""Runs an owner for each pool that this entry VM owns."""

import asyncio
import random
import secrets
import typing
from collections.abc import Mapping
from collections.abc import Sequence

from loguru import logger

from foxtaillock import exceptions
from foxtaillock.adapters import interfaces as adapters
from foxtaillock.daemon import background
from foxtaillock.daemon import burn_tracker
from foxtaillock.daemon import pool_grants
from foxtaillock.daemon import pool_withdrawal
from foxtaillock.daemon import session_controller
from foxtaillock.jobs import job as jobs
from foxtaillock.jobs import owner as owners
from foxtaillock.jobs import pool_snapshots
from foxtaillock.jobs import pool_state
from foxtaillock.limits import grants as limits
from foxtaillock.model import clock as clocks
from foxtaillock.model import config_objects
from foxtaillock.model import grant_records
from foxtaillock.model import pool_records
from foxtaillock.model import vms_and_jobs
from foxtaillock.state import budget as budgets
from foxtaillock.state import control_state
from foxtaillock.state import interfaces
from foxtaillock.state import replica as replicas

__all__ = ["PoolController"]

_RECONCILE_INTERVAL_S = 0.1
_POOL_REPLICA_SETTINGS = replicas.ReplicaSettings(poll_s=10.0)


class _OwnedPool(typing.NamedTuple):
    """A pool that is owned here, with its owner, grants and tasks."""

    epoch: int
    owner: owners.PoolOwner
    grants: pool_grants.PoolGrants
    tasks: Sequence["asyncio.Task[typing.Any]"]


class PoolController:
    """Starts and stops owners of pools as claims are won and lost.

    Args:
        node: name of this entry VM.
        state: fold of the control stream.
        control: replica of the control stream.
        session: session of this entry VM.
        log: the platform's log.
        worker_service: runs tasks on workers.
        clock: source of time.
        rng: source of jitter and ids.
        grants: this node's part of the teams' limits.
        budget: budget of appends.
        burn: counts the jobs of the owned pools; None counts nothing.
    """

    def __init__(
        self,
        node: str,
        state: control_state.ControlState,
        control: interfaces.Replica,
        session: session_controller.SessionController,
        log: adapters.LogService,
        worker_service: adapters.WorkerService,
        clock: clocks.Clock,
        rng: random.Random,
        grants: limits.LocalGrants,
        budget: budgets.AppendBudget | None,
        burn: burn_tracker.BurnTracker | None = None,
    ) -> None:
        self._node = node
        self._state = state
        self._control = control
        self._session = session
        self._log = log
        self._worker_service = worker_service
        self._clock = clock
        self._rng = rng
        self._grants = grants
        self._budget = budget
        self._burn = burn
        self._owned: dict[str, _OwnedPool] = {}
        self._starting: set[str] = set()
        self._background = background.Background()
        self._vms: Sequence[vms_and_jobs.VmEntry] = ()
        self.owners: dict[str, owners.PoolOwner] = {}

    async def run(self) -> None:
        """Reconciles owners with the claims until cancelled."""
        while True:
            await self.step()
            await asyncio.sleep(_RECONCILE_INTERVAL_S)

    async def step(self) -> None:
        """Starts owners of newly won pools; stops owners of lost pools."""
        for pool, owned in list(self._owned.items()):
            if owned.owner.is_deposed or not self._is_still_owned(
                pool, owned.epoch
            ):
                await self._stop_after_loss(pool)
        for pool, claim in list(self._state.claims.items()):
            if pool == pool_records.FLEET_POOL or pool in self._owned:
                continue
            is_won = self._session.owns(pool, claim.epoch)
            if is_won and pool not in self._starting:
                self._starting.add(pool)
                self._background.spawn(self._start_owner(pool, claim.epoch))

    def _is_still_owned(self, pool: str, epoch: int) -> bool:
        """Returns whether the own claim of `epoch` is still the current one.

        The lease does not matter here: while the log is down, the owner stays.
        """
        claim = self._state.claim(pool)
        if claim is None:
            return False
        own_claim = (self._node, self._session.incarnation, epoch)
        return (claim.node, claim.incarnation, claim.epoch) == own_claim

    async def _start_owner(self, pool: str, epoch: int) -> None:
        writer = f"{self._session.incarnation}.{epoch}.{secrets.token_hex(4)}"
        state = pool_state.PoolState()
        grants = pool_grants.PoolGrants(self._grants)
        replica = replicas.StreamReplica(
            self._log,
            f"pool.{pool}",
            state,
            writer=self._node,
            incarnation=writer,
            clock=self._clock,
            rng=self._rng,
            budget=self._budget,
            settings=_POOL_REPLICA_SETTINGS,
        )
        owner = owners.PoolOwner(
            pool,
            epoch,
            replica,
            state,
            self._worker_service,
            self._clock,
            self._rng,
            may_act=lambda: self._session.owns(pool, epoch),
            not_valid_after_s=lambda: self._session.valid_until_s,
            grants=grants,
            node=self._node,
        )
        pool_snapshotter = pool_snapshots.PoolSnapshots(
            self._log,
            pool,
            state,
            replica,
            node=self._node,
            incarnation=writer,
            clock=self._clock,
            rng=self._rng,
            is_writer=lambda: self._session.owns(pool, epoch),
        )
        replica_task = None
        try:
            await pool_snapshotter.load()
            replica_task = self._background.spawn(replica.run())
            await replica.catch_up()
            await owner.start()
        except exceptions.FoxtaillockError as error:
            logger.warning("pool {} was not taken over: {}", pool, error)
            if replica_task is not None:
                replica_task.cancel()
            grants.drop()
            return
        finally:
            self._starting.discard(pool)
        self._start_counting(pool, epoch, owner, state)
        withdrawal = pool_withdrawal.PoolWithdrawal(
            (pool, self._node, self._session.incarnation, epoch),
            owner,
            state,
            replica,
            self._state,
            self._control,
            self._clock,
        )
        tasks = (
            replica_task,
            self._background.spawn(owner.run()),
            self._background.spawn(self._carry_grants(pool, epoch, grants)),
            self._background.spawn(pool_snapshotter.run()),
            self._background.spawn(withdrawal.run()),
        )
        self._owned[pool] = _OwnedPool(epoch, owner, grants, tasks)
        self.owners[pool] = owner
        self._update(pool, owner)
        logger.info("owner of pool {} with epoch {}", pool, epoch)

    def _start_counting(
        self,
        pool: str,
        epoch: int,
        owner: owners.PoolOwner,
        state: pool_state.PoolState,
    ) -> None:
        """Counts jobs only while the pool is owned, so that one node does."""
        if self._burn is None:
            return
        burn = self._burn

        def _count_job(job: jobs.Job) -> None:
            if self._session.owns(pool, epoch):
                burn.record_job_change(pool, job)

        burn.start_counting_jobs(
            pool, (*state.waiting_jobs(), *state.active_jobs())
        )
        owner.on_job = _count_job

    async def _carry_grants(
        self, pool: str, epoch: int, grants: pool_grants.PoolGrants
    ) -> None:
        """Carries the grants of adopted attempts over, then lets jobs start."""
        while (source := self._state.carryover_source(pool)) is not None:
            amounts = {
                team: min(count, self._state.unreserved_grant(team, *source))
                for team, count in grants.counts.items()
            }
            record = grant_records.GrantsCarried(
                pool,
                epoch,
                *source,
                self._node,
                self._session.incarnation,
                amounts,
            )
            try:
                # Not urgent, as it must not overtake a change of this node's
                # grant that was decided before the attempts were counted.
                await self._control.commit(record)
            except exceptions.FoxtaillockError as error:
                logger.debug(
                    "grants of {} were not carried over: {}", pool, error
                )
            await asyncio.sleep(_RECONCILE_INTERVAL_S)
        grants.may_start = True

    async def _stop_after_loss(self, pool: str) -> None:
        owned = await self._stop_owner(pool)
        owned.grants.drop()

    async def _stop_owner(self, pool: str) -> _OwnedPool:
        owned = self._owned.pop(pool)
        self.owners.pop(pool, None)
        await owned.owner.stop()
        if self._burn is not None:
            self._burn.stop_counting_jobs(pool)
        for task in owned.tasks:
            task.cancel()
        logger.info("no longer owner of pool {}", pool)
        return owned

    def update(self, vms: Sequence[vms_and_jobs.VmEntry]) -> None:
        """Passes the list of VMs and the current configuration to owners."""
        self._vms = vms
        for pool, owned in self._owned.items():
            self._update(pool, owned.owner)

    def _update(self, pool: str, owner: owners.PoolOwner) -> None:
        owner.update_workers(self._list_workers(pool))
        owner.update_teams(
            typing.cast(
                Mapping[str, config_objects.Team], self._read_bodies("team")
            )
        )
        owner.update_queues(
            typing.cast(
                Mapping[str, config_objects.Queue], self._read_bodies("queue")
            )
        )

    def _list_workers(self, pool: str) -> list[vms_and_jobs.VmEntry]:
        """Returns the pool's workers.

        A worker that leaves the pool or may be disrupted is marked as leaving,
        so that it gets no new work.
        """
        workers = []
        for vm in self._vms:
            stored = self._state.vms.get(vm.name)
            if stored is None or stored.pool != pool:
                continue
            if stored.step != "joined" or vm.name in self._state.disruptions:
                vm = vm._replace(state=vms_and_jobs.VmState.LEAVING)
            workers.append(vm)
        return workers

    def _read_bodies(self, kind: str) -> dict[str, typing.Any]:
        stored = self._state.objects(kind)
        return {name: row.body for name, row in stored.items()}

    async def hand_over(self) -> None:
        """Stops all owners and releases their pools to other nodes.

        Attempts that are still running stay counted here: they use this node's
        grants until the new owner carries those over.
        """
        for pool in list(self._owned):
            epoch = self._owned[pool].epoch
            await self._stop_owner(pool)
            await self._session.release(pool, epoch)

    async def close(self) -> None:
        """Cancels all tasks."""
        await self._background.close()
