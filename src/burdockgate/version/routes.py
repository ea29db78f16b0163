"""Routes of one version of the configuration, and matching of requests to them."""

from __future__ import annotations

import functools

import attrs


@attrs.frozen
class Route:
    """Requests of one host and path prefix, and how their jobs are served.

    :param priority: 0 is served first.
    :param max_attempts: failed runs of one task after which a job has failed.
    :param stretch: factor on the critical path in the objective of a job.
    :param target_s: fixed part of the objective.
    :param needs_advice: whether only workers named by an advisor may run its tasks.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int
    max_attempts: int
    stretch: float
    target_s: float
    timeout_s: float
    needs_advice: bool


@attrs.frozen(slots=False)
class RouteTable:
    """All routes of one version.

    :param version: increases with each accepted change.
    :param max_body_bytes: upper bound of the size of a request's body.
    """

    version: int
    routes: tuple[Route, ...]
    max_body_bytes: int

    @functools.cached_property
    def _routes_by_host(self) -> dict[str, list[Route]]:
        """The routes of each host, those with the longest prefix first."""
        routes_by_host: dict[str, list[Route]] = {}
        for route in sorted(self.routes, key=lambda route: -len(route.path_prefix)):
            routes_by_host.setdefault(route.host, []).append(route)
        return routes_by_host

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, or ``None``.

        :param host: host name of the request, without a port.
        :param path: path of the request.
        """
        return next(
            (
                route
                for route in self._routes_by_host.get(host, ())
                if path.startswith(route.path_prefix)
            ),
            None,
        )
