"""Builds the report of the fleet from the answers of its entry VMs."""

import typing
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from foxtaillock.reports import fleet_watch
from foxtaillock.reports import measures
from foxtaillock.reports import merge
from foxtaillock.reports import recorder

__all__ = [
    "FleetReport",
    "NodeAnswer",
    "as_json",
    "as_tables",
    "decode",
    "make_report",
]

Table = list[dict[str, typing.Any]]

_DAY_S = 86_400.0


class NodeAnswer(typing.NamedTuple):
    """Answer of one entry VM.

    Attributes:
        node: name of the entry VM.
        zone: availability zone of the entry VM.
        address: address of its HTTP interface.
        incarnation: incarnation of its process; empty if it did not answer.
        counts: its counts by objective.
        watch: its observations of moves and notes.
        shares: shares of the teams in the pools that it owns.
        spare: spare capacity according to the state that it has folded.
        detail: why there is no answer, or empty.
    """

    node: str
    zone: str
    address: str
    incarnation: str = ""
    counts: tuple[recorder.ObjectiveCounts, ...] = ()
    watch: fleet_watch.WatchReport | None = None
    shares: tuple[measures.TeamShare, ...] = ()
    spare: Mapping[str, typing.Any] | None = None
    detail: str = ""


class FleetReport(typing.NamedTuple):
    """Report of the whole fleet.

    Attributes:
        objectives: burn of each objective.
        spare: needed and present spare capacity.
        moves: moves of VMs and roll-out of notes; None if not known.
        shares: shares of the teams in each pool.
        nodes: answers of the entry VMs.
        not_known: what is missing from the report, and why.
    """

    objectives: list[merge.FleetBurn]
    spare: Mapping[str, typing.Any]
    moves: measures.FleetMoves | None
    shares: list[measures.TeamShare]
    nodes: Sequence[NodeAnswer]
    not_known: list[str]


def decode(asked: NodeAnswer, data: typing.Any) -> NodeAnswer:
    """Returns `asked` with the fields of the response.

    Args:
        asked: answer without a response, for the entry VM that was asked.
        data: decoded body of the response.

    Raises:
        ValueError: the body is malformed, or comes from another entry VM that
            now has the address.
    """
    try:
        if data["node"] != asked.node:
            raise ValueError(f"entry VM {data['node']} has this address")
        return asked._replace(
            incarnation=str(data["incarnation"]),
            counts=tuple(map(merge.decode_counts, data["objectives"])),
            watch=measures.decode_watch(data["watch"]),
            shares=tuple(
                measures.TeamShare(**entry) for entry in data["shares"]
            ),
            spare=dict(data["spare"]),
        )
    except (KeyError, TypeError) as error:
        raise ValueError(str(error)) from error


def make_report(
    answers: Sequence[NodeAnswer], pool_names: Iterable[str]
) -> FleetReport:
    """Returns the report of the fleet.

    Args:
        answers: one for each session of an entry VM, including those without
            a response.
        pool_names: names of the pools in force.
    """
    process_answers = _deduplicate_processes(answers)
    objectives = merge.merge(
        {f"{a.node}/{a.incarnation}": a.counts for a in process_answers}
    )
    moves = measures.merge_watches(
        [a.watch for a in process_answers if a.watch is not None],
        [a.node for a in answers],
    )
    shares = {(s.pool, s.team): s for a in process_answers for s in a.shares}
    spare = (process_answers[0].spare if process_answers else None) or {}
    pools_without_owner = sorted(set(pool_names) - {pool for pool, _ in shares})
    return FleetReport(
        objectives,
        spare,
        moves,
        [shares[key] for key in sorted(shares)],
        answers,
        list(_list_not_known(objectives, moves, answers, pools_without_owner)),
    )


def _deduplicate_processes(answers: Sequence[NodeAnswer]) -> list[NodeAnswer]:
    """Returns the first answer of each process.

    A process may have several sessions, and thus several answers.
    """
    chosen = {a.incarnation: a for a in reversed(answers) if a.incarnation}
    return list(reversed(chosen.values()))


def _list_not_known(
    objectives: Sequence[merge.FleetBurn],
    moves: measures.FleetMoves | None,
    answers: Sequence[NodeAnswer],
    pools_without_owner: Sequence[str],
) -> Iterable[str]:
    for answer in answers:
        if not answer.incarnation:
            yield f"anything of entry VM {answer.node}: {answer.detail}"
    incomplete_s = [
        entry.counted_s
        for entry in objectives
        if entry.counted_s < entry.objective.window_days * _DAY_S
    ]
    if incomplete_s:
        yield (
            f"requests of {len(incomplete_s)} objectives over their whole"
            f" window: counts go back {min(incomplete_s):.0f} to"
            f" {max(incomplete_s):.0f} s, without those of entry VMs that"
            " were replaced"
        )
    if moves is not None and moves.watched_s < _DAY_S:
        yield f"moves and notes more than {moves.watched_s:.0f} s ago"
    if pools_without_owner:
        yield (
            "shares in pools without an owner here:"
            f" {', '.join(pools_without_owner)}"
        )


def as_json(report: FleetReport) -> dict[str, typing.Any]:
    """Returns the report for programs, with unrounded figures."""
    moves: dict[str, typing.Any] = {}
    if report.moves is not None:
        moves = report.moves._asdict()
        moves["notes"] = [note._asdict() for note in report.moves.notes]
    return {
        "objectives": [_objective_fields(entry) for entry in report.objectives],
        "spare": dict(report.spare),
        "moves": moves,
        "shares": [entry._asdict() for entry in report.shares],
        "nodes": _node_table(report.nodes),
        "not_known": report.not_known,
    }


def _objective_fields(entry: merge.FleetBurn) -> dict[str, typing.Any]:
    status = entry.status
    rates = {str(window_s): rate for window_s, rate in status.rates.items()}
    return {
        "kind": entry.kind,
        "name": entry.name,
        **entry.objective._asdict(),
        **status.counts._asdict(),
        "bad": status.counts.bad,
        "budget_left": status.budget_left,
        "burn_by_window_s": rates,
        "alert": status.alert,
        "counted_s": entry.counted_s,
        "nodes": [node.partition("/")[0] for node in entry.nodes],
    }


def as_tables(report: FleetReport) -> dict[str, Table]:
    """Returns the report for people, as tables by title."""
    objectives = [
        {
            "kind": entry.kind,
            "name": entry.name,
            "promised": entry.objective.share,
            "days": entry.objective.window_days,
            "requests": entry.status.counts.total,
            "bad": entry.status.counts.bad,
            "budget_left": round(entry.status.budget_left, 4),
            "burn": " ".join(f"{r:.3g}" for r in entry.status.rates.values()),
            "alert": entry.status.alert,
        }
        for entry in report.objectives
    ]
    tables: dict[str, Table] = {
        "objectives": objectives,
        "spare": _spare_table(report.spare),
        "moves": _moves_table(report.moves),
        "notes": _notes_table(report.moves),
        "shares": [
            _round_floats(entry._asdict())
            for entry in report.shares
            if entry.waiting
        ],
        "nodes": _node_table(report.nodes),
        "not_known": [{"what": text} for text in report.not_known],
    }
    return {title: table for title, table in tables.items() if table}


def _spare_table(spare: Mapping[str, typing.Any]) -> Table:
    if not spare:
        return []
    fields = dict(spare)
    fields["worst_rack"] = "/".join(filter(None, fields["worst_rack"])) or None
    return [_round_floats(fields)]


def _moves_table(moves: measures.FleetMoves | None) -> Table:
    if moves is None:
        return []
    fields = moves._asdict()
    del fields["notes"]
    return [_round_floats(fields)]


def _notes_table(moves: measures.FleetMoves | None) -> Table:
    if moves is None:
        return []
    return [_round_floats(note._asdict()) for note in moves.notes]


def _round_floats(fields: dict[str, typing.Any]) -> dict[str, typing.Any]:
    return {
        name: round(value, 3) if isinstance(value, float) else value
        for name, value in fields.items()
    }


def _node_table(answers: Sequence[NodeAnswer]) -> Table:
    return [
        {
            "node": answer.node,
            "zone": answer.zone,
            "address": answer.address,
            "answered": bool(answer.incarnation),
            "detail": answer.detail,
        }
        for answer in answers
    ]
