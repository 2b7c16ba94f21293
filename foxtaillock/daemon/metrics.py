"""Metrics of one entry VM."""

from collections.abc import Callable

import prometheus_client

__all__ = ["add_gauge", "create_registry"]


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
    """Adds a gauge whose value `read` returns at each scrape."""
    gauge = prometheus_client.Gauge(name, text, registry=registry)
    gauge.set_function(read)
