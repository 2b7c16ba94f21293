"""Carries what an owner has learned over to the next one.

Answers a change of owner in the middle of a queue's peak: without the teams'
usage, the new owner would take the teams that have just filled a pool for teams
that have used nothing. The record is soft state: a new owner can do without it,
and it is written only when it would tell the new owner something that the
latest record does not.
"""

import typing
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence

import msgspec

from foxtaillock.batch import decision_log
from foxtaillock.batch import records

__all__ = ["Provider", "SchedulingStateKeeper"]

# Least time between two records: each one is paid for by its bytes.
_INTERVAL_S = 5.0

_MAX_BYTES = 32 * 1024

# Room for the fields of the record that are no rows.
_HEADER_BYTES = 64

_Row = records.TeamUse | records.RunEstimate | records.PoolRhythm
_Key = tuple[str | float, ...]

# Changes of a learned value that are worth a record: of a team's share of a
# pool, of a logarithm of a ratio, and of a time.
_SHARE_CHANGE = 0.05
_LOG_CHANGE = 0.1
_TIME_CHANGE_S = 0.2


class Provider(typing.Protocol):
    """Part of an owner's state that the record carries.

    The methods take and return rows of one of the record's fields.
    """

    def snapshot(self, now_s: float) -> Sequence[typing.Any]:
        """Returns the rows worth recording, none if nothing is."""

    def restore(
        self, rows: Sequence[typing.Any], age_s: float, now_s: float
    ) -> None:
        """Restores recorded rows.

        Args:
            rows: rows that an earlier owner recorded.
            age_s: age of the record by the wall clocks of both owners.
            now_s: current time.
        """


class _Field(typing.NamedTuple):
    """Properties of a field of the record.

    Attributes:
        key_length: number of values at the start of a row that identify it.
        weight: returns by what a row counts; the smallest are dropped first.
        has_changed: returns whether a row tells something that another with the
            same key does not.
    """

    key_length: int
    weight: Callable[[typing.Any], float]
    has_changed: Callable[[typing.Any, typing.Any], bool]


class SchedulingStateKeeper:
    """Builds the records of one ownership, and restores those of earlier ones.

    Args:
        epoch: epoch of the ownership.
        providers: for fields of `records.SchedulingState`, their providers.
        log: called when a record was restored.
    """

    def __init__(
        self,
        epoch: int,
        providers: Mapping[str, Provider],
        log: decision_log.LogFunction,
    ) -> None:
        self._epoch = epoch
        self._providers = dict(providers)
        self._log = log
        self._written: dict[str, dict[_Key, _Row]] = {}
        self._due_s = float("-inf")

    def add_provider(self, field: str, provider: Provider) -> None:
        """Adds the provider of a field, before anything is restored."""
        self._providers[field] = provider

    def due_record(
        self, now_s: float, now_ms: int
    ) -> records.SchedulingState | None:
        """Returns the record that is due with a heartbeat; None for none.

        Args:
            now_s: current time.
            now_ms: wall-clock time at the same moment.
        """
        if now_s < self._due_s:
            return None
        self._due_s = now_s + _INTERVAL_S
        rows = _bounded(
            {
                name: provider.snapshot(now_s)
                for name, provider in self._providers.items()
            }
        )
        keyed = {name: _by_key(name, kept) for name, kept in rows.items()}
        if not any(
            self._is_worth_writing(name, kept) for name, kept in keyed.items()
        ):
            return None
        self._written = keyed
        fields: dict[str, typing.Any] = {
            name: tuple(kept) for name, kept in rows.items()
        }
        return records.SchedulingState(self._epoch, now_ms, **fields)

    def restore(
        self, record: records.SchedulingState | None, now_s: float, now_ms: int
    ) -> None:
        """Restores what an earlier owner recorded, if it did.

        Wall clocks of two VMs differ, so the age is not exact: a record that
        looks younger than it is counts too much for some seconds.
        """
        if record is None:
            return
        age_s = max(0.0, (now_ms - record.written_ms) / 1000)
        counts = {}
        for name, provider in self._providers.items():
            rows = getattr(record, name)
            try:
                provider.restore(rows, age_s, now_s)
            except Exception as error:  # pylint: disable=broad-exception-caught
                # An owner can do without; it can't without an ownership.
                self._log(
                    "scheduling-state-refused", field=name, error=repr(error)
                )
                continue
            self._written[name] = _by_key(name, rows)
            counts[name] = len(rows)
        self._log(
            "scheduling-state-restored",
            epoch=record.epoch,
            age_s=round(age_s, 1),
            **counts,
        )

    def _is_worth_writing(self, name: str, rows: Mapping[_Key, _Row]) -> bool:
        written = self._written.get(name, {})
        has_changed = _FIELDS[name].has_changed
        return any(
            key not in written or has_changed(row, written[key])
            for key, row in rows.items()
        )


def _by_key(name: str, rows: Sequence[_Row]) -> dict[_Key, _Row]:
    """Returns rows of a field by the values that identify them."""
    return {tuple(row[: _FIELDS[name].key_length]): row for row in rows}


def _bounded(
    rows: Mapping[str, Sequence[_Row]],
) -> dict[str, list[_Row]]:
    """Returns the rows that count most of each field, within the bound.

    The fields take turns, so that none takes the room of another. The rows stay
    in the order of the provider, which may carry a meaning.
    """
    ranked = []
    for name, field_rows in rows.items():
        weights = [_FIELDS[name].weight(row) for row in field_rows]
        order = sorted(
            range(len(weights)), key=weights.__getitem__, reverse=True
        )
        ranked += [(rank, name, index) for rank, index in enumerate(order)]
    ranked.sort(key=lambda each: each[0])
    kept: dict[str, set[int]] = {name: set() for name in rows}
    left_bytes = _MAX_BYTES - _HEADER_BYTES
    for _, name, index in ranked:
        left_bytes -= len(msgspec.msgpack.encode(rows[name][index]))
        if left_bytes < 0:
            break
        kept[name].add(index)
    return {
        name: [field_rows[index] for index in sorted(kept[name])]
        for name, field_rows in rows.items()
    }


def _share_changed(row: records.TeamUse, before: records.TeamUse) -> bool:
    return abs(row.share - before.share) >= _SHARE_CHANGE


def _estimate_changed(
    row: records.RunEstimate, before: records.RunEstimate
) -> bool:
    return (
        abs(row.log_mean - before.log_mean) >= _LOG_CHANGE
        or row.samples >= 2 * before.samples
    )


def _rhythm_changed(
    row: records.PoolRhythm, before: records.PoolRhythm
) -> bool:
    return (
        # A later onset has come.
        row.onset_age_s < before.onset_age_s
        or row.hits != before.hits
        or abs(row.period_s - before.period_s) >= _TIME_CHANGE_S
        or abs(row.length_s - before.length_s) >= _TIME_CHANGE_S
    )


_FIELDS = {
    "team_usage": _Field(2, lambda row: row.share, _share_changed),
    "run_estimates": _Field(2, lambda row: row.samples, _estimate_changed),
    "rhythms": _Field(1, lambda row: row.hits, _rhythm_changed),
}
