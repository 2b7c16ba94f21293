"""Fold of keys: given once, withdrawn permanently."""

from foxtaillock.model import key_records
from foxtaillock.model import verdicts
from foxtaillock.state import handlers
from foxtaillock.state import tables

__all__ = ["fold_key_given", "fold_key_withdrawn"]


@handlers.register_handler(key_records.KeyGiven)
def fold_key_given(
    state: tables.ControlTables, offset: int, record: key_records.KeyGiven
) -> verdicts.Verdict:
    """Accepts a new key of an existing team or of an operator."""
    del offset
    place = f"key/{record.key_id}"
    stored = state.keys.get(record.key_id)
    if stored is not None:
        return _check_repeated_key(stored, record)
    if record.team and state.find("team", record.team) is None:
        message = f"team {record.team!r} does not exist"
        return handlers.refuse("invalid-reference", place, message)
    state.keys[record.key_id] = tables.StoredKey(
        record.digest, record.team, False
    )
    return verdicts.ACCEPTED


def _check_repeated_key(
    stored: tables.StoredKey, record: key_records.KeyGiven
) -> verdicts.Verdict:
    place = f"key/{record.key_id}"
    if stored.withdrawn:
        return handlers.refuse("key-withdrawn", place, "was withdrawn")
    if stored == tables.StoredKey(record.digest, record.team, False):
        return verdicts.Verdict(True, "already-accepted")
    return handlers.refuse("key-exists", place, "was already given")


@handlers.register_handler(key_records.KeyWithdrawn)
def fold_key_withdrawn(
    state: tables.ControlTables, offset: int, record: key_records.KeyWithdrawn
) -> verdicts.Verdict:
    """Withdraws a key permanently, even before it is given."""
    del offset
    stored = state.keys.get(record.key_id)
    team = stored.team if stored else ""
    state.keys[record.key_id] = tables.StoredKey("", team, True)
    return verdicts.ACCEPTED
