"""Configs of the small deployment."""

import typing

__all__ = ["KEY", "config", "route"]

KEY = "key-one"


def route(
    name: str, service: str, is_public: bool = True, **fields: typing.Any
) -> dict[str, typing.Any]:
    """Returns a queue, whose calls begin with its name."""
    return {
        "name": name,
        "host": "jobs.example",
        "path_prefix": f"/{name}/",
        "service": service,
        "timeout_ms": 3000,
        "target_duration_ms": 600,
        "priority": 0,
        "max_attempts": 2,
        "stretch": 1.6,
        "public": is_public,
        **fields,
    }


def config(
    routes: list[dict[str, typing.Any]],
    cap: dict[str, int] | None = None,
    version: int = 7,
) -> dict[str, typing.Any]:
    """Returns a config with one tenant."""
    services = sorted({each["service"] for each in routes})
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": name} for name in services],
        "limits": {"max_body_bytes": 262144},
        "tenants": [
            {
                "name": "tenant-1",
                "api_keys": [KEY],
                "weight": 1.0,
                "cap": cap or {},
            }
        ],
    }
