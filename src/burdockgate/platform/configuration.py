"""Decodes the operator's configuration of routes into a route table."""

from __future__ import annotations

from typing import Any

import msgspec

from burdockgate.version import routes

DEFAULT_MAX_BODY_BYTES = 262_144
DEFAULT_MAX_ATTEMPTS = 3
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
    # The rest of the objective: this factor times the longest chain of estimated work.
    stretch: float = DEFAULT_STRETCH
    max_attempts: int = DEFAULT_MAX_ATTEMPTS
    # Present if an advisor names the workers that may run a step.
    advice: Any = None


class _Limits(msgspec.Struct, rename={"max_body_bytes": "maxBodyBytes"}):
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route]
    limits: _Limits = msgspec.field(default_factory=_Limits)


def decode(body: bytes) -> routes.RouteTable | None:
    """Decode a configuration; return ``None`` when it is malformed.

    :param body: the configuration record, JSON.
    """
    try:
        configuration = msgspec.json.decode(body, type=_Configuration)
    except msgspec.DecodeError:
        return None
    return routes.RouteTable(
        configuration.version,
        tuple(map(_convert_route, configuration.routes)),
        configuration.limits.max_body_bytes,
    )


def _convert_route(route: _Route) -> routes.Route:
    return routes.Route(
        route.name,
        route.host,
        route.path_prefix,
        route.service,
        route.priority,
        route.max_attempts,
        route.stretch,
        route.target_ms / 1000,
        route.timeout_ms / 1000,
        route.advice is not None,
    )
