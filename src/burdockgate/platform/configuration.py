"""Decodes the operator's configuration of routes into a route table."""

from __future__ import annotations

from typing import Annotated, Any

import msgspec

from burdockgate import errors
from burdockgate.platform import decoding
from burdockgate.version import routes

DEFAULT_MAX_BODY_BYTES = 262_144
DEFAULT_MAX_ATTEMPTS = 3
DEFAULT_STRETCH = 1.6
MAX_STRETCH = 1000.0
MAX_ATTEMPTS = 10_000
MAX_BODY_BYTES = 64 * 1024 * 1024
MAX_PREFIX_CHARS = 4096


class _Route(
    msgspec.Struct,
    rename={
        "path_prefix": "pathPrefix",
        "timeout_ms": "timeoutMs",
        "target_ms": "targetLatencyMs",
        "max_attempts": "maxAttempts",
    },
):
    name: decoding.Name
    host: decoding.Name
    path_prefix: Annotated[str, msgspec.Meta(max_length=MAX_PREFIX_CHARS)]
    service: decoding.Name
    # 0 is served first.
    priority: decoding.Integer = 0
    timeout_ms: decoding.DurationMs = 0.0
    # Fixed part of the objective for a job's duration.
    target_ms: decoding.DurationMs = 0.0
    # The rest of the objective: this factor times the longest chain of estimated work.
    stretch: Annotated[float, msgspec.Meta(ge=0, le=MAX_STRETCH)] = DEFAULT_STRETCH
    max_attempts: Annotated[int, msgspec.Meta(ge=0, le=MAX_ATTEMPTS)] = (
        DEFAULT_MAX_ATTEMPTS
    )
    # Present if an advisor names the workers that may run a step.
    advice: Any = None


class _Limits(msgspec.Struct, rename={"max_body_bytes": "maxBodyBytes"}):
    max_body_bytes: Annotated[int, msgspec.Meta(ge=0, le=MAX_BODY_BYTES)] = (
        DEFAULT_MAX_BODY_BYTES
    )


class _Configuration(msgspec.Struct):
    version: decoding.Integer
    routes: list[_Route]
    limits: _Limits = msgspec.field(default_factory=_Limits)


def decode(body: bytes) -> routes.RouteTable | None:
    """Decode a configuration; return ``None`` when it is malformed.

    :param body: the configuration record, JSON.
    """
    try:
        configuration = decoding.decode(body, _Configuration)
    except errors.MalformedError:
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
