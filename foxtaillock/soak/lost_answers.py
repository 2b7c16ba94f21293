"""Checks that planned work cuts no request that was sent whole."""

import collections
import enum
import typing
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence

__all__ = [
    "Bounds",
    "Ending",
    "Exchange",
    "Impairment",
    "PlannedWork",
    "WorkKind",
    "find_lost_answers",
]

# Cuts beside a config count if they are this many times as frequent as at
# other times.
_MIN_CONFIG_CUT_RATIO = 3.0

# A request that has used this part of its time is close to its end anyway.
_MAX_USED_SHARE = 0.7


class Ending(enum.Enum):
    """How the exchange of one request ended."""

    ANSWERED = "answered"
    CLOSED = "closed"
    RESET = "reset"
    TIMED_OUT = "timed out"


class WorkKind(enum.Enum):
    """Kind of planned work."""

    STOP = "stop"
    RELOAD = "reload"
    CONFIG = "config"


class Exchange(typing.NamedTuple):
    """A request that was sent whole, and its end.

    Attributes:
        vm: name of the entry VM.
        request: describes the request.
        sent_s: time just before its last byte was sent.
        ended_s: time at which its answer was complete, its connection ended or
            its submitter gave up.
        ending: how it ended.
    """

    vm: str
    request: str
    sent_s: float
    ended_s: float
    ending: Ending


class PlannedWork(typing.NamedTuple):
    """Planned work on one entry VM or, for a config, on all.

    Attributes:
        kind: kind of the work.
        vm: name of the entry VM; empty for all.
        began_s: time at which it was requested.
        ended_s: time of its acknowledgement, if it has one; else `began_s`.
    """

    kind: WorkKind
    vm: str
    began_s: float
    ended_s: float


class Impairment(typing.NamedTuple):
    """Span with an unplanned impairment of one entry VM; empty for all."""

    vm: str
    began_s: float
    ended_s: float


class Bounds(typing.NamedTuple):
    """Bounds of the platform, in seconds.

    Attributes:
        grace_s: time between SIGTERM and SIGKILL.
        patience_s: time after which submitters give up.
        loss_slack_s: age of a request up to which it may be cut.
        config_apply_s: time in which a configuration comes into force.
        contact_s: time for which an unplanned impairment has consequences.
        stop_margin_s: time after `grace_s` that still belongs to a stop.
    """

    grace_s: float
    patience_s: float
    loss_slack_s: float = 0.2
    config_apply_s: float = 2.0
    contact_s: float = 3.0
    stop_margin_s: float = 1.0


_Nearness = Callable[[Exchange, PlannedWork, Bounds], bool]


def find_lost_answers(
    exchanges: Sequence[Exchange],
    works: Sequence[PlannedWork],
    impairments: Sequence[Impairment],
    bounds: Bounds,
) -> list[str]:
    """Returns a finding for each request that planned work has cut.

    Args:
        exchanges: all exchanges.
        works: all planned work.
        impairments: spans with an unplanned impairment.
        bounds: bounds of the platform.
    """
    judged = [
        exchange
        for exchange in exchanges
        if not _is_impaired(exchange, impairments, bounds)
    ]
    losses = [exchange for exchange in judged if _is_cut_late(exchange, bounds)]
    found: dict[Exchange, list[WorkKind]] = {}
    for kind, is_near in _IS_NEAR.items():
        of_kind = [work for work in works if work.kind is kind]

        def _is_beside(
            exchange: Exchange,
            candidates: Sequence[PlannedWork] = of_kind,
            near: _Nearness = is_near,
        ) -> bool:
            return any(
                work.vm in ("", exchange.vm) and near(exchange, work, bounds)
                for work in candidates
            )

        cuts = [exchange for exchange in losses if _is_beside(exchange)]
        if kind is WorkKind.CONFIG:
            cuts = _select_config_cuts(cuts, judged, _is_beside, bounds)
        for exchange in cuts:
            found.setdefault(exchange, []).append(kind)
    return [_describe(exchange, kinds) for exchange, kinds in found.items()]


def _is_cut_late(exchange: Exchange, bounds: Bounds) -> bool:
    if exchange.ending in (Ending.ANSWERED, Ending.TIMED_OUT):
        return False
    return exchange.ended_s - exchange.sent_s > bounds.loss_slack_s


def _is_impaired(
    exchange: Exchange, impairments: Iterable[Impairment], bounds: Bounds
) -> bool:
    return any(
        impairment.vm in ("", exchange.vm)
        and impairment.began_s <= exchange.ended_s
        and impairment.ended_s >= exchange.sent_s - bounds.contact_s
        for impairment in impairments
    )


def _is_near_stop(
    exchange: Exchange, work: PlannedWork, bounds: Bounds
) -> bool:
    end_s = work.began_s + bounds.grace_s + bounds.stop_margin_s
    return work.began_s <= exchange.ended_s <= end_s


def _is_near_reload(
    exchange: Exchange, work: PlannedWork, bounds: Bounds
) -> bool:
    last_sent_s = work.began_s + bounds.config_apply_s
    return exchange.sent_s <= last_sent_s and exchange.ended_s >= work.began_s


def _is_near_config(
    exchange: Exchange, work: PlannedWork, bounds: Bounds
) -> bool:
    end_s = work.ended_s + bounds.config_apply_s + bounds.stop_margin_s
    return work.began_s <= exchange.ended_s <= end_s


_IS_NEAR: dict[WorkKind, _Nearness] = {
    WorkKind.STOP: _is_near_stop,
    WorkKind.RELOAD: _is_near_reload,
    WorkKind.CONFIG: _is_near_config,
}


def _select_config_cuts(
    cuts: Sequence[Exchange],
    exchanges: Sequence[Exchange],
    is_beside: Callable[[Exchange], bool],
    bounds: Bounds,
) -> list[Exchange]:
    """Returns the cuts beside configurations at VMs that cut more often then.

    Args:
        cuts: cuts beside a configuration.
        exchanges: all exchanges that are judged.
        is_beside: returns whether an exchange ended beside a configuration.
        bounds: bounds of the platform.
    """
    total: collections.Counter[tuple[str, bool]] = collections.Counter()
    cut: collections.Counter[tuple[str, bool]] = collections.Counter()
    for exchange in exchanges:
        place = (exchange.vm, is_beside(exchange))
        total[place] += 1
        cut[place] += _is_cut_late(exchange, bounds)

    def _share(vm: str, beside: bool) -> float:
        return cut[vm, beside] / max(1, total[vm, beside])

    return [
        exchange
        for exchange in cuts
        if exchange.ended_s - exchange.sent_s
        < _MAX_USED_SHARE * bounds.patience_s
        and _share(exchange.vm, True)
        > _MIN_CONFIG_CUT_RATIO * _share(exchange.vm, False)
    ]


def _describe(exchange: Exchange, kinds: Iterable[WorkKind]) -> str:
    took_s = exchange.ended_s - exchange.sent_s
    return (
        f"{exchange.vm}: {exchange.request} {exchange.ending.value} without a"
        f" complete answer {took_s:.2f} s after it was sent, beside"
        f" {', '.join(kind.value for kind in kinds)}"
    )
