"""Queries of the state of the control stream."""

from collections.abc import Mapping
from collections.abc import Sequence

from foxtaillock.state import grants_fold
from foxtaillock.state import tables

__all__ = ["ControlView"]


class ControlView:  # pylint: disable=too-many-public-methods
    """Read access to the tables that the control stream fills.

    Every query is a look-up in a dictionary, or linear in what it returns.
    The mappings are the live tables: read them, and do not keep them.
    """

    def __init__(self, control_tables: tables.ControlTables) -> None:
        self._tables = control_tables

    @property
    def revision(self) -> int:
        """Offset after the batch of the last accepted note; zero if none."""
        return self._tables.revision

    @property
    def sessions(self) -> Mapping[tables.SessionKey, tables.StoredSession]:
        """All sessions, ended ones too while they are remembered."""
        return self._tables.sessions

    @property
    def claims(self) -> Mapping[str, tables.Claim]:
        """Last claim or release of each pool."""
        return self._tables.claims

    @property
    def vms(self) -> Mapping[str, tables.StoredVm]:
        """VMs that are in a pool."""
        return self._tables.vms

    @property
    def disruptions(self) -> Mapping[str, tables.Disruption]:
        """Disruptions that are held, by VM."""
        return self._tables.disruptions

    @property
    def maintained(self) -> Mapping[str, tables.Maintenance]:
        """Last maintenance of each VM of which one is known."""
        return self._tables.maintained

    @property
    def waves(self) -> Mapping[str, tables.Wave]:
        """Maintenance waves, by id."""
        return self._tables.waves

    @property
    def keys(self) -> Mapping[str, tables.StoredKey]:
        """All keys, withdrawn ones too."""
        return self._tables.keys

    def object(self, kind: str, name: str) -> tables.StoredObject | None:
        """Returns an object of the configuration, or None."""
        return self._tables.find(kind, name)

    def objects(self, kind: str) -> Mapping[str, tables.StoredObject]:
        """Returns all objects of a kind by name."""
        return self._tables.objects.get(kind, {})

    def key(self, key_id: str) -> tables.StoredKey | None:
        """Returns a key, or None if it is not known."""
        return self._tables.keys.get(key_id)

    def is_live(self, node: str, incarnation: str) -> bool:
        """Returns whether a session stands and has not ended."""
        return self._tables.is_live(tables.SessionKey(node, incarnation))

    def claim(self, pool: str) -> tables.Claim | None:
        """Returns the claim of a pool, or None if nobody holds it.

        The holder's session may have ended meanwhile.
        """
        stored = self._tables.claims.get(pool)
        return stored if stored is not None and stored.node else None

    def epoch(self, pool: str) -> int:
        """Returns the epoch of the pool's last claim; zero if none."""
        stored = self._tables.claims.get(pool)
        return stored.epoch if stored is not None else 0

    def grants(self, team: str) -> dict[str, int]:
        """Returns what each node holds of a team's limit."""
        totals: dict[str, int] = {}
        for session, row in self._tables.grants.get(team, {}).items():
            totals[session.node] = totals.get(session.node, 0) + row.amount
        return totals

    def session_grants(
        self, team: str
    ) -> Mapping[tables.SessionKey, tables.Grant]:
        """Returns the grants of a team by session, ended ones too."""
        return self._tables.grants.get(team, {})

    def grant(self, team: str, node: str, incarnation: str) -> int:
        """Returns what one session holds of a team's limit."""
        rows = self._tables.grants.get(team, {})
        row = rows.get(tables.SessionKey(node, incarnation))
        return row.amount if row is not None else 0

    def lent_grant(self, team: str, node: str, incarnation: str) -> int:
        """Returns what one session holds beside its standing part."""
        rows = self._tables.grants.get(team, {})
        row = rows.get(tables.SessionKey(node, incarnation))
        return row.lent if row is not None else 0

    def wanted(self, team: str) -> dict[str, int]:
        """Returns what each node with a live session wants."""
        totals: dict[str, int] = {}
        for session, row in self._tables.grants.get(team, {}).items():
            if self._tables.is_live(session):
                totals[session.node] = totals.get(session.node, 0) + row.wanted
        return totals

    def has_open_pools(self, node: str, incarnation: str) -> bool:
        """Returns whether attempts may count under a session's grants still."""
        session = tables.SessionKey(node, incarnation)
        return grants_fold.has_open_pools(self._tables, session)

    def to_carry(self, pool: str) -> tables.SessionKey | None:
        """Returns the former owner whose grants a pool's attempts count
        under, or None."""
        return self._tables.to_carry.get(pool)

    def team_limit(self, team: str) -> int:
        """Returns the upper limit of a team; zero if it does not exist."""
        return grants_fold.team_limit(self._tables, team)

    def vm_pool(self, vm: str) -> str | None:
        """Returns the pool that a VM is in, or None."""
        stored = self._tables.vms.get(vm)
        return stored.pool if stored is not None else None

    def history(self) -> Sequence[tables.HistoryEntry]:
        """Returns the last accepted notes, the oldest first."""
        return tuple(self._tables.history)
