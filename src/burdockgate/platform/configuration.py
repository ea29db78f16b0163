"""The operator's configuration of routes and services."""

from __future__ import annotations

from typing import Any

import msgspec

from burdockgate.version import routes

DEFAULT_BODY_LIMIT = 262_144
DEFAULT_ATTEMPTS = 3
DEFAULT_STRETCH = 1.6


class _Route(
    msgspec.Struct,
    rename={
        "path_prefix": "pathPrefix",
        "timeout_ms": "timeoutMs",
        "target_ms": "targetLatencyMs",
        "max_attempts": "maxAttempts",
    },
):
    name: str
    host: str
    path_prefix: str
    service: str
    # 0 is served first.
    priority: int = 0
    timeout_ms: float = 0.0
    # Fixed part of the objective for a job's duration.
    target_ms: float = 0.0
    # Factor of the objective on the longest chain of work.
    stretch: float = DEFAULT_STRETCH
    max_attempts: int = DEFAULT_ATTEMPTS
    # Present where an advisor names the workers that may run a step.
    advice: Any = None


class _Limits(msgspec.Struct, rename={"body_limit": "maxBodyBytes"}):
    body_limit: int = DEFAULT_BODY_LIMIT


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route]
    limits: _Limits = msgspec.field(default_factory=_Limits)


def decode(body: bytes) -> routes.RouteTable | None:
    """Return the table of a configuration, or ``None`` when it can't be read.

    :param body: the record, JSON.
    """
    try:
        told = msgspec.json.decode(body, type=_Configuration)
    except msgspec.DecodeError:
        return None
    return routes.RouteTable(
        told.version, tuple(map(_route, told.routes)), told.limits.body_limit
    )


def _route(told: _Route) -> routes.Route:
    return routes.Route(
        told.name,
        told.host,
        told.path_prefix,
        told.service,
        told.priority,
        told.max_attempts,
        told.stretch,
        told.target_ms / 1000,
        told.timeout_ms / 1000,
        told.advice is not None,
    )
