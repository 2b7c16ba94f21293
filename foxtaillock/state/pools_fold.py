"""Fold of the end of withdrawn pools."""

from foxtaillock.model import objects
from foxtaillock.model import records
from foxtaillock.model import verdicts
from foxtaillock.state import handlers
from foxtaillock.state import tables

__all__ = ["fold_pool_retired"]

_STEP_BEFORE = {"drained": objects.DRAINING, "removed": objects.DRAINED}


@handlers.register_handler(records.PoolRetired)
def fold_pool_retired(
    state: tables.ControlTables, offset: int, record: records.PoolRetired
) -> verdicts.Verdict:
    """Releases the VMs of a withdrawn pool, or removes it.

    Only its owner knows that no job is left, so the claim has to be its own;
    the note that withdrew the pool has to be the last one on it.
    """
    place = f"pool/{record.pool}"
    claim = state.claims.get(record.pool)
    if claim is None or not record.node or claim[1:4] != record[1:4]:
        return handlers.refuse("stale-epoch", place, "is not held so")
    stored = state.find("pool", record.pool)
    if stored is None or stored.revision != record.revision:
        return handlers.refuse("conflict", place, "is no longer withdrawn so")
    step = stored.body.get(objects.WITHDRAWAL)
    if step is None or step != _STEP_BEFORE.get(record.step):
        return handlers.refuse("wrong-step", place, f"is {step}")
    if record.step == "drained":
        state.objects["pool"][record.pool] = _drained(stored)
        return verdicts.ACCEPTED
    if any(vm.pool == record.pool for vm in state.vms.values()):
        return handlers.refuse("in-use", place, "VMs are in it")
    del state.objects["pool"][record.pool]
    # Nothing runs, so a later owner has no grants to carry over.
    state.to_carry.pop(record.pool, None)
    state.claims[record.pool] = tables.Claim(
        record.pool, "", "", record.epoch, "", offset
    )
    return verdicts.ACCEPTED


def _drained(stored: tables.StoredObject) -> tables.StoredObject:
    body = {
        "size": 0,
        "zones": stored.body.get("zones", []),
        objects.WITHDRAWAL: objects.DRAINED,
    }
    return stored._replace(body=body)
