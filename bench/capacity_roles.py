"""Cost of each role on one entry VM at the planned fleet size."""

import typing

from bench import capacity_figures
from bench import planned_fleet

__all__ = ["Role", "roles"]

_MIB = 2**20
_RECORDS_PER_JOB = 3.0
_SHARE_UPKEEPS_PER_S = 4.0
_LINKS_PER_NODE_MEASURED = 6  # with the nine entry VMs of `node_cost`
_LIST_CHANGES_PER_EVENT = 2
_SCRAPE_INTERVAL_S = 15.0


class Role(typing.NamedTuple):
    """Cost of one role on one entry VM at the planned fleet size.

    Attributes:
        mechanism: how the role is implemented.
        status: `built`, or `estimated` with the source of the estimate.
        breaks: what limits the role first as the fleet grows.
        stage: `now` for a role that a planned change replaces, `later` for
            its replacement, else `both`.
    """

    name: str
    memory_mib: float
    bytes_per_s: float
    cpu_percent: float
    appends_per_s: float
    mechanism: str
    status: str
    breaks: str
    stage: str = "both"


def roles(figures: capacity_figures.Figures) -> list[Role]:
    """Returns the cost of each role on one entry VM."""
    return [
        *_log_reader_roles(figures),
        *_owner_roles(figures),
        *_network_roles(figures),
    ]


def _log_reader_roles(figures: capacity_figures.Figures) -> list[Role]:
    values = figures.values
    state_bytes = (
        planned_fleet.WORKERS * values["fold.memory_bytes_per_vm"]
        + planned_fleet.POOLS * values["fold.memory_bytes_per_pool"]
        + planned_fleet.TEAMS * values["fold.memory_bytes_per_team"]
        + planned_fleet.KEYS * values["fold.memory_bytes_per_key"]
    )
    log_bytes = figures.log_bytes_per_node
    as_built = Role(
        "log reader and fold, one control stream (as built)",
        figures.memory_base_mib + state_bytes / _MIB,
        log_bytes.base + log_bytes.slope * planned_fleet.ENTRY_VMS,
        figures.cpu_per_node.base
        + figures.cpu_per_node.slope * planned_fleet.ENTRY_VMS,
        1.0 / planned_fleet.RENEWAL_INTERVAL_S,
        "one stream for all; paced reads; group commit",
        "built",
        "bytes: renewals of every entry VM reach every other",
        stage="now",
    )
    entry_vms_per_region = planned_fleet.ENTRY_VMS / planned_fleet.REGIONS
    regional = Role(
        "log reader and fold, renewals by region and bundled by zone",
        as_built.memory_mib,
        log_bytes.base
        + log_bytes.slope
        * entry_vms_per_region
        / planned_fleet.ENTRY_VMS_PER_ZONE
        + planned_fleet.CONFIG_CHANGES_PER_DAY
        / planned_fleet.DAY_S
        * values["fold.grant_log_bytes"],
        figures.cpu_per_node.base
        + figures.cpu_per_node.slope
        * entry_vms_per_region
        / planned_fleet.ENTRY_VMS_PER_ZONE,
        1.0
        / planned_fleet.RENEWAL_INTERVAL_S
        / planned_fleet.ENTRY_VMS_PER_ZONE,
        "stream of renewals a region; one append a zone and interval",
        "estimated from the slopes of the row above",
        "appends: zones times renewals a second",
        stage="later",
    )
    text_bytes = values["fold.snapshot_text_bytes"]
    writer = Role(
        "snapshot writer (one entry VM)",
        text_bytes / _MIB,
        values["fold.snapshot_log_bytes"] / 3600.0,
        100.0 * values["fold.digest_s"] / 3600.0,
        values["fold.snapshot_chunks"] / 3600.0,
        "chunks on a stream of their own, once an hour",
        "built",
        "a pause of the loop while the state is encoded",
    )
    return [as_built, regional, writer]


def _owner_roles(figures: capacity_figures.Figures) -> list[Role]:
    values = figures.values
    pools_per_entry_vm = planned_fleet.POOLS / planned_fleet.ENTRY_VMS
    waiting_jobs = planned_fleet.WAITING_JOBS_PER_POOL * pools_per_entry_vm
    records_per_s = (
        planned_fleet.JOBS_PER_S_PER_POOL
        * pools_per_entry_vm
        * _RECORDS_PER_JOB
    )
    placement_us = values["placement_cost.68_workers_10000_waiting_mean_us"]
    upkeep_us = values["placement_cost.68_workers_10000_waiting_upkeep_p99_us"]
    owner = Role(
        "pool owner with placement",
        waiting_jobs
        * (
            values["placement_cost.waiting_job_bytes"]
            + values["placement_cost.recorded_job_bytes"]
        )
        / _MIB,
        figures.log_bytes_per_pool.slope * pools_per_entry_vm,
        figures.cpu_per_pool.slope * pools_per_entry_vm
        + 100.0
        * planned_fleet.JOBS_PER_S_PER_POOL
        * pools_per_entry_vm
        * placement_us
        / 1e6
        + 100.0 * _SHARE_UPKEEPS_PER_S * pools_per_entry_vm * upkeep_us / 1e6,
        records_per_s,
        "owners per pool; a stream a pool; group commit",
        "built; the upkeep of shares counts four times a second at its p99",
        "appends: jobs a second over all pools, before batching",
    )
    planner = Role(
        "wave and move planner (one entry VM)",
        planned_fleet.WORKERS * values["fold.memory_bytes_per_vm"] / _MIB,
        0.0,
        100.0
        * values["planner.incremental_plan_s"]
        * planned_fleet.CONFIG_CHANGES_PER_DAY
        / planned_fleet.DAY_S,
        (
            planned_fleet.MAINTENANCES_PER_DAY * 2
            + (
                planned_fleet.VM_FAILURES_PER_DAY
                + planned_fleet.VM_RESTARTS_PER_DAY
            )
            * 4
        )
        / planned_fleet.DAY_S,
        "one owner of the fleet; incremental plans; records a step",
        "built; it also asks every worker for a report, which is not counted",
        "reports of 15,000 workers at one entry VM",
    )
    grants = Role(
        "grants holder",
        planned_fleet.TEAMS * values["fold.memory_bytes_per_team"] / _MIB,
        0.0,
        0.0,
        planned_fleet.TEAMS / planned_fleet.ENTRY_VMS,
        "recorded grants, raised and lowered on demand only",
        "estimated: one change a team and second over the fleet",
        "appends, if many teams move their demand at once",
    )
    return [owner, planner, grants]


def _network_roles(figures: capacity_figures.Figures) -> list[Role]:
    values = figures.values
    links = (
        (planned_fleet.ENTRY_VMS_PER_ZONE - 1)
        + 2 * (planned_fleet.ZONES / planned_fleet.REGIONS - 1)
        + (planned_fleet.REGIONS - 1)
    )
    heartbeats_per_s = values["node_cost.nodes9_pools3_keys0_heartbeats_per_s"]
    exchanges_per_s = 2.0 * links * heartbeats_per_s / _LINKS_PER_NODE_MEASURED
    peer = Role(
        "member among peers",
        0.0,
        exchanges_per_s * values["peers.bytes_per_exchange"] / 1.0,
        exchanges_per_s
        * values["peers.cpu_us_per_exchange_both_ends"]
        / 2.0
        * 1e-6
        * 100.0,
        0.0,
        "all of the own zone, two of each other zone of the region, one of "
        "each other region",
        "built",
        "bytes: heartbeats a second times neighbours",
    )
    events_per_day = (
        planned_fleet.MAINTENANCES_PER_DAY
        + planned_fleet.VM_FAILURES_PER_DAY
        + planned_fleet.VM_RESTARTS_PER_DAY
    )
    row_bytes = values["node_cost.vm_list_bytes_per_row"]
    changes_per_s = (
        events_per_day * _LIST_CHANGES_PER_EVENT / planned_fleet.DAY_S
    )
    full_list = Role(
        "reader of the list of VMs, whole lists (as built)",
        planned_fleet.WORKERS * row_bytes / _MIB,
        changes_per_s * planned_fleet.WORKERS * row_bytes,
        0.0,
        0.0,
        "polled twice a second; sent again only when it has changed",
        "bytes estimated from the bytes of a row; processor time not measured",
        "bytes: each change sends the whole list",
        stage="now",
    )
    changes = full_list._replace(
        name="reader of the list of VMs, changes only",
        bytes_per_s=changes_per_s * row_bytes,
        mechanism="the platform sends what has changed since an entity tag",
        status="estimated from the bytes of a row; needs the platform",
        breaks="bytes: a zone lost at once",
        stage="later",
    )
    reports = Role(
        "reports: counts of 400 objectives, watch of moves",
        (
            values["burn_report.memory_400_objectives_bytes"]
            + values["burn_report.watch_15000_vms_bytes"]
        )
        / _MIB,
        0.0,
        0.1
        * values["burn_report.answer_400_objectives_ms"]
        / _SCRAPE_INTERVAL_S,
        0.0,
        "buckets of time on each entry VM; added up by who asks",
        "built; a call's count is part of the cost of the call; processor time"
        " estimated for an answer each 15 s",
        "a pause of the loop while an answer is made",
    )
    return [peer, full_list, changes, reports]
