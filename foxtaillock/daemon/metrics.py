"""Metrics of one entry VM."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence

import prometheus_client
from prometheus_client import core
from prometheus_client import registry as registries

from foxtaillock.reports import burn
from foxtaillock.reports import recorder

__all__ = ["add_burn_metrics", "add_gauge", "create_registry"]

_OBJECT_LABELS = ("kind", "name")


def create_registry() -> prometheus_client.CollectorRegistry:
    """Returns an empty registry with the process metrics."""
    registry = prometheus_client.CollectorRegistry()
    prometheus_client.ProcessCollector(registry=registry)
    return registry


def add_gauge(
    registry: prometheus_client.CollectorRegistry,
    name: str,
    text: str,
    read: Callable[[], float],
) -> None:
    """Adds a gauge that calls `read` for its value at each scrape."""
    gauge = prometheus_client.Gauge(name, text, registry=registry)
    gauge.set_function(read)


def add_burn_metrics(
    registry: prometheus_client.CollectorRegistry,
    read: Callable[[], Sequence[recorder.ObjectiveCounts]],
) -> None:
    """Adds the counts and burn rates of the objectives in force.

    The label sets are bounded by the objectives of the release notes.

    Args:
        registry: registry of the metrics of this entry VM.
        read: returns the counts of this entry VM; called at each scrape.
    """
    registry.register(_BurnCollector(read))


class _BurnCollector(registries.Collector):
    """Computes the metrics of the burn report at each scrape."""

    def __init__(
        self, read: Callable[[], Sequence[recorder.ObjectiveCounts]]
    ) -> None:
        self._read = read

    def describe(self) -> Iterable[core.Metric]:
        """Returns the metrics without values."""
        return list(_make_burn_metrics(()))

    def collect(self) -> Iterator[core.Metric]:
        """Yields the metrics with their current values."""
        yield from _make_burn_metrics(self._read())


def _make_burn_metrics(
    rows: Sequence[recorder.ObjectiveCounts],
) -> Iterator[core.Metric]:
    requests = core.GaugeMetricFamily(
        "foxtaillock_objective_requests",
        "Requests in the window of the objective, by class, at this entry VM",
        labels=(*_OBJECT_LABELS, "class"),
    )
    rates = core.GaugeMetricFamily(
        "foxtaillock_objective_burn_rate",
        "Burn rate of the error budget by window, at this entry VM",
        labels=(*_OBJECT_LABELS, "window_s"),
    )
    left = core.GaugeMetricFamily(
        "foxtaillock_objective_budget_left",
        "Part of the error budget that is left, at this entry VM",
        labels=_OBJECT_LABELS,
    )
    alerts = core.GaugeMetricFamily(
        "foxtaillock_objective_alert",
        "1 while the alert stands by the counts of this entry VM",
        labels=(*_OBJECT_LABELS, "alert"),
    )
    for row in rows:
        labels = [row.kind, row.name]
        burn_result = burn.evaluate(row.objective, row.by_window)
        for name, count in burn_result.counts._asdict().items():
            requests.add_metric([*labels, name], count)
        for window_s, rate in burn_result.rates.items():
            rates.add_metric([*labels, str(window_s)], rate)
        left.add_metric(labels, burn_result.budget_left)
        for alert in ("fast", "slow"):
            alerts.add_metric(
                [*labels, alert], float(burn_result.alert == alert)
            )
    yield from (requests, rates, left, alerts)
