"""Read-only queries of the control state."""

from collections.abc import Mapping
from collections.abc import Sequence

from foxtaillock.state import grants_fold
from foxtaillock.state import tables

__all__ = ["ControlView"]


class ControlView:  # pylint: disable=too-many-public-methods
    """Read access to the tables that the fold of the control stream fills.

    Every query is a dictionary lookup or linear in the size of its result.
    The returned mappings are the live tables; callers must neither change nor
    keep them.
    """

    def __init__(self, control_tables: tables.ControlTables) -> None:
        self._tables = control_tables

    @property
    def revision(self) -> int:
        """Offset after the batch of the last accepted note; zero if none."""
        return self._tables.revision

    @property
    def sessions(self) -> Mapping[tables.SessionKey, tables.StoredSession]:
        """All sessions, including the ended ones that are still kept."""
        return self._tables.sessions

    @property
    def claims(self) -> Mapping[str, tables.PoolClaim]:
        """Last claim or release of each pool, by pool."""
        return self._tables.claims

    @property
    def vms(self) -> Mapping[str, tables.StoredVm]:
        """VMs that are in a pool, by name."""
        return self._tables.vms

    @property
    def disruptions(self) -> Mapping[str, tables.Disruption]:
        """Disruptions in progress, by VM."""
        return self._tables.disruptions

    @property
    def last_maintenance(self) -> Mapping[str, tables.Maintenance]:
        """Last known maintenance of each VM, by VM."""
        return self._tables.last_maintenance

    @property
    def waves(self) -> Mapping[str, tables.Wave]:
        """Maintenance waves, by id."""
        return self._tables.waves

    @property
    def keys(self) -> Mapping[str, tables.StoredKey]:
        """All keys, including withdrawn ones, by key id."""
        return self._tables.keys

    def object(self, kind: str, name: str) -> tables.StoredObject | None:
        """Returns an object of the configuration, or None."""
        return self._tables.find(kind, name)

    def objects(self, kind: str) -> Mapping[str, tables.StoredObject]:
        """Returns all objects of a kind by name."""
        return self._tables.objects.get(kind, {})

    def key(self, key_id: str) -> tables.StoredKey | None:
        """Returns a key, or None if it is unknown."""
        return self._tables.keys.get(key_id)

    def is_live(self, node: str, incarnation: str) -> bool:
        """Returns whether a session exists and has not ended."""
        return self._tables.is_live(tables.SessionKey(node, incarnation))

    def claim(self, pool: str) -> tables.PoolClaim | None:
        """Returns the claim of a pool, or None if the pool has no owner.

        The owner's session may have ended since.
        """
        stored = self._tables.claims.get(pool)
        return stored if stored is not None and stored.node else None

    def epoch(self, pool: str) -> int:
        """Returns the epoch of the pool's last claim; zero if none."""
        stored = self._tables.claims.get(pool)
        return stored.epoch if stored is not None else 0

    def grants(self, team: str) -> dict[str, int]:
        """Returns the amount of a team's limit granted to each node."""
        totals: dict[str, int] = {}
        for session, row in self._tables.grants.get(team, {}).items():
            totals[session.node] = totals.get(session.node, 0) + row.amount
        return totals

    def session_grants(
        self, team: str
    ) -> Mapping[tables.SessionKey, tables.Grant]:
        """Returns the grants of a team by session, including ended ones."""
        return self._tables.grants.get(team, {})

    def grant(self, team: str, node: str, incarnation: str) -> int:
        """Returns the amount of a team's limit granted to one session."""
        rows = self._tables.grants.get(team, {})
        row = rows.get(tables.SessionKey(node, incarnation))
        return row.amount if row is not None else 0

    def unreserved_grant(self, team: str, node: str, incarnation: str) -> int:
        """Returns the part of a session's grant that is not reserved."""
        rows = self._tables.grants.get(team, {})
        row = rows.get(tables.SessionKey(node, incarnation))
        return row.unreserved if row is not None else 0

    def requested(self, team: str) -> dict[str, int]:
        """Returns the amount that each node with a live session requests."""
        totals: dict[str, int] = {}
        for session, row in self._tables.grants.get(team, {}).items():
            if self._tables.is_live(session):
                totals[session.node] = (
                    totals.get(session.node, 0) + row.requested
                )
        return totals

    def has_pending_carryover(self, node: str, incarnation: str) -> bool:
        """Returns whether running attempts may still use a session's grants."""
        session = tables.SessionKey(node, incarnation)
        return grants_fold.has_pending_carryover(self._tables, session)

    def carryover_source(self, pool: str) -> tables.SessionKey | None:
        """Returns the session whose grants a pool's attempts still use.

        It is the session of the pool's former owner; None if there is none.
        """
        return self._tables.carryover_sources.get(pool)

    def team_limit(self, team: str) -> int:
        """Returns the upper limit of a team; zero if it does not exist."""
        return grants_fold.team_limit(self._tables, team)

    def vm_pool(self, vm: str) -> str | None:
        """Returns the pool that a VM is in, or None."""
        stored = self._tables.vms.get(vm)
        return stored.pool if stored is not None else None

    def history(self) -> Sequence[tables.HistoryEntry]:
        """Returns the last accepted notes, oldest first."""
        return tuple(self._tables.history)
