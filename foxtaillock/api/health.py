"""Endpoints for health, readiness and metrics."""

import typing
from collections.abc import Callable

import prometheus_client
from aiohttp import web

__all__ = ["RequestCounter", "add_routes"]


class RequestCounter:
    """Counts answered requests.

    Args:
        registry: registry of the metrics of this entry VM.
    """

    def __init__(self, registry: prometheus_client.CollectorRegistry) -> None:
        self._requests = prometheus_client.Counter(
            "foxtaillock_requests",
            "Answered requests",
            ("route", "outcome", "code"),
            registry=registry,
        )

    def count(self, route: str, outcome: str, code: str) -> None:
        """Counts one answered request."""
        self._requests.labels(route, outcome, code).inc()


def add_routes(
    app: web.Application,
    registry: prometheus_client.CollectorRegistry,
    not_ready_reason: Callable[[], str],
) -> None:
    """Adds `/healthz`, `/readyz` and `/metrics` to `app`.

    Args:
        registry: registry of the metrics of this entry VM.
        not_ready_reason: returns why the VM accepts no new work, or an empty
            string.
    """

    async def _health(_: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def _ready(_: web.Request) -> web.Response:
        reason = not_ready_reason()
        status = 503 if reason else 200
        return web.Response(status=status, text=f"{reason or 'ready'}\n")

    async def _metrics(_: web.Request) -> web.Response:
        body: typing.Any = prometheus_client.generate_latest(registry)
        return web.Response(body=body, content_type="text/plain")

    app.router.add_get("/healthz", _health)
    app.router.add_get("/readyz", _ready)
    app.router.add_get("/metrics", _metrics)
