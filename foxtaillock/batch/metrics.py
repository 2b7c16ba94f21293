"""Counters and latency histograms of one entry VM."""

import typing
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping

import prometheus_client
from prometheus_client import core
from prometheus_client import registry as prometheus_registry

__all__ = ["Metrics"]

_LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)
_DURATION_BUCKETS_S = (0.5, 1.0, 2.0, 3.0, 5.0, 8.0, 13.0, 21.0, 34.0)


class _LabeledGauge(prometheus_registry.Collector):
    """Gauge whose label values come and go."""

    def __init__(
        self,
        name: str,
        help_text: str,
        label: str,
        read: Callable[[], Mapping[str, float]],
    ) -> None:
        self._name = name
        self._help_text = help_text
        self._label = label
        self._read = read

    def collect(self) -> Iterator[core.GaugeMetricFamily]:
        """Returns the present values."""
        family = core.GaugeMetricFamily(
            self._name, self._help_text, labels=(self._label,)
        )
        for label_value, value in self._read().items():
            family.add_metric((label_value,), value)
        yield family


class Metrics:
    """Metrics of one process.

    Attributes:
        registry: Prometheus registry of all these metrics.
        calls: number of calls of submitters, by kind and outcome.
        call_latency: latency of these calls, by kind.
        store_latency: latency of calls to the store, by call and outcome.
        order_latency: latency of orders to workers, by order and outcome.
        job_duration: time from acceptance to the end of a job, by state.
        decisions: number of decisions, by event.
        closed_connections: connections of clients that exceeded a limit, by
            reason.
    """

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self.calls = prometheus_client.Counter(
            "foxtaillock_calls",
            "Calls of submitters",
            ("kind", "outcome"),
            registry=self.registry,
        )
        self.call_latency = self._histogram(
            "call_seconds", "Time to the answer of a call", ("kind",)
        )
        self.store_latency = self._histogram(
            "store_seconds", "Time of a call to the store", ("call", "outcome")
        )
        self.order_latency = self._histogram(
            "order_seconds", "Time of an order", ("order", "outcome")
        )
        self.job_duration = prometheus_client.Histogram(
            "foxtaillock_job_seconds",
            "Time from acceptance to the end of a job",
            ("state",),
            registry=self.registry,
            buckets=_DURATION_BUCKETS_S,
        )
        self.decisions = prometheus_client.Counter(
            "foxtaillock_decisions",
            "Decisions by event",
            ("event",),
            registry=self.registry,
        )
        self.closed_connections = prometheus_client.Counter(
            "foxtaillock_closed_connections",
            "Connections that were closed because of a limit",
            ("reason",),
            registry=self.registry,
        )

    def add_gauge(
        self, name: str, help_text: str, read: Callable[[], float]
    ) -> None:
        """Adds a gauge whose value is read at each scrape."""
        gauge = prometheus_client.Gauge(
            f"foxtaillock_{name}", help_text, registry=self.registry
        )
        gauge.set_function(read)

    def add_gauge_by_label(
        self,
        name: str,
        help_text: str,
        label: str,
        read: Callable[[], Mapping[str, float]],
    ) -> None:
        """Adds a gauge with one value for each value of a label.

        Args:
            name: name of the gauge.
            help_text: help text that operators see.
            label: name of the label.
            read: returns the values by label value, at each scrape.
        """
        self.registry.register(
            _LabeledGauge(f"foxtaillock_{name}", help_text, label, read)
        )

    def counting_log(self, log: Callable[..., None]) -> Callable[..., None]:
        """Returns a log that counts the decisions and passes them to `log`."""

        # Each lookup of a label checks and locks.
        counters: dict[str, prometheus_client.Counter] = {}

        def _log(event: str, **fields: typing.Any) -> None:
            counter = counters.get(event)
            if counter is None:
                counter = counters[event] = self.decisions.labels(event)
            counter.inc()
            if event == "job-ended":
                ended = self.job_duration.labels(fields["state"])
                ended.observe(fields["took_s"])
            log(event, **fields)

        return _log

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)

    def _histogram(
        self, name: str, help_text: str, labels: tuple[str, ...]
    ) -> prometheus_client.Histogram:
        return prometheus_client.Histogram(
            f"foxtaillock_{name}",
            help_text,
            labels,
            registry=self.registry,
            buckets=_LATENCY_BUCKETS_S,
        )
