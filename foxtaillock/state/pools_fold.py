"""Fold of the withdrawal of pools: drained first, then removed."""

from foxtaillock.model import config_objects
from foxtaillock.model import pool_records
from foxtaillock.model import verdicts
from foxtaillock.state import handlers
from foxtaillock.state import tables

__all__ = ["fold_pool_retired"]

_PREVIOUS_STEP = {
    "drained": config_objects.DRAINING,
    "removed": config_objects.DRAINED,
}


@handlers.register_handler(pool_records.PoolRetired)
def fold_pool_retired(
    state: tables.ControlTables, offset: int, record: pool_records.PoolRetired
) -> verdicts.Verdict:
    """Marks a withdrawn pool as drained, or removes it once it has no VMs.

    A drained pool has size zero, so that its VMs are released.

    Only the owner knows that the pool has no jobs left, so the record must
    match the pool's claim. The note that withdrew the pool must be the last
    one that changed it.
    """
    place = f"pool/{record.pool}"
    claim = state.claims.get(record.pool)
    if claim is None or not record.node or claim[1:4] != record[1:4]:
        return handlers.refuse(
            "stale-epoch", place, "is not claimed in this epoch"
        )
    stored = state.find("pool", record.pool)
    if stored is None or stored.revision != record.revision:
        return handlers.refuse("conflict", place, "was changed by a later note")
    step = stored.body.get(config_objects.WITHDRAWAL)
    if step is None or step != _PREVIOUS_STEP.get(record.step):
        return handlers.refuse("wrong-step", place, f"is {step}")
    if record.step == "drained":
        state.objects["pool"][record.pool] = _mark_drained(stored)
        return verdicts.ACCEPTED
    if any(vm.pool == record.pool for vm in state.vms.values()):
        return handlers.refuse("in-use", place, "still has VMs")
    del state.objects["pool"][record.pool]
    # No attempt runs, so a later owner has no grants to carry over.
    state.carryover_sources.pop(record.pool, None)
    state.claims[record.pool] = tables.PoolClaim(
        record.pool, "", "", record.epoch, "", offset
    )
    return verdicts.ACCEPTED


def _mark_drained(stored: tables.StoredObject) -> tables.StoredObject:
    body = {
        "size": 0,
        "zones": stored.body.get("zones", []),
        config_objects.WITHDRAWAL: config_objects.DRAINED,
    }
    return stored._replace(body=body)
