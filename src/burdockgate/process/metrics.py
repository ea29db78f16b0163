"""Counters and gauges of a process, sent to statsd.

``METRICS`` declares all of them. A test compares it with the table in
``docs/metrics.md``.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, TypeVar

import attrs

from burdockgate import settings

if TYPE_CHECKING:
    import statsd


class MetricKind(enum.Enum):
    """How statsd treats a metric: as an increment or as the current value."""

    COUNTER = "counter"
    GAUGE = "gauge"


@attrs.frozen
class Metric:
    """Declaration of a metric.

    :param unit: what the value counts or measures.
    """

    name: str
    kind: MetricKind
    unit: str
    meaning: str


_T = TypeVar("_T")
_COUNTER = MetricKind.COUNTER
_GAUGE = MetricKind.GAUGE

METRICS = (
    Metric("jobs.submitted", _COUNTER, "jobs", "submissions read from callers"),
    Metric("jobs.complete", _COUNTER, "jobs", "owned jobs that ended complete"),
    Metric("jobs.failed", _COUNTER, "jobs", "owned jobs that ended failed"),
    Metric("jobs.refused", _COUNTER, "jobs", "submissions refused"),
    Metric(
        "jobs.joined",
        _COUNTER,
        "jobs",
        "submissions that joined a job in progress or got a stored answer",
    ),
    Metric("jobs.owned", _COUNTER, "jobs", "jobs claimed with the first epoch"),
    Metric("jobs.taken_over", _COUNTER, "jobs", "jobs claimed with a next epoch"),
    Metric("tasks.sent", _COUNTER, "tasks", "tasks sent to agents, repeats included"),
    Metric("tasks.returned", _COUNTER, "tasks", "tasks returned without a start"),
    Metric("tasks.started", _COUNTER, "tasks", "tasks started on the backend server"),
    Metric("tasks.done", _COUNTER, "tasks", "tasks that ended with a result"),
    Metric("tasks.failed", _COUNTER, "tasks", "tasks that ended with an error"),
    Metric(
        "tasks.unknown",
        _COUNTER,
        "tasks",
        "tasks sent to the backend server, no answer",
    ),
    Metric(
        "results.dropped",
        _COUNTER,
        "results",
        "results dropped because they do not match the job's record",
    ),
    Metric(
        "starts.ignored",
        _COUNTER,
        "tasks",
        "starts ignored as duplicates or for a lower epoch or another boot",
    ),
    Metric(
        "tasks.crashed",
        _COUNTER,
        "tasks",
        "background tasks of a daemon that ended by an unexpected error",
    ),
    Metric("claims.granted", _COUNTER, "claims", "claims granted as a group member"),
    Metric("claims.held", _COUNTER, "claims", "claims answered with another's record"),
    Metric(
        "claims.refused",
        _COUNTER,
        "claims",
        "claims refused for a stale view or while catching up",
    ),
    Metric("wire.sent", _COUNTER, "messages", "messages sent to nodes"),
    Metric("wire.received", _COUNTER, "messages", "messages received from nodes"),
    Metric("wire.bytes_sent", _COUNTER, "bytes", "frames sent to nodes"),
    Metric("wire.bytes_received", _COUNTER, "bytes", "frames received from nodes"),
    Metric("wire.rejected", _COUNTER, "frames", "malformed frames from nodes"),
    Metric(
        "wire.refused",
        _COUNTER,
        "connections",
        "connections that gave way because a budget for nodes was full",
    ),
    Metric(
        "wire.truncated",
        _COUNTER,
        "frames",
        "frames cut off by the end of their connection",
    ),
    Metric(
        "wire.timeouts",
        _COUNTER,
        "connections",
        "connections closed because their peer was silent or too slow",
    ),
    Metric("http.rejected", _COUNTER, "requests", "malformed requests from callers"),
    Metric("sessions.opened", _COUNTER, "sessions", "sessions opened with nodes"),
    Metric(
        "sessions.lost",
        _COUNTER,
        "sessions",
        "sessions with an entry host at one end that ended without a planned leave",
    ),
    Metric("fences.sent", _COUNTER, "messages", "fences sent to agents"),
    Metric("health.ejections", _COUNTER, "workers", "workers ejected"),
    Metric("health.readmissions", _COUNTER, "workers", "workers readmitted"),
    Metric(
        "health.capped",
        _COUNTER,
        "outcomes",
        "outcomes that would have ejected a worker but for the cap",
    ),
    Metric(
        "health.excused",
        _COUNTER,
        "failures",
        "failures taken back because a trusted worker failed the same job",
    ),
    Metric(
        "health.overdue",
        _COUNTER,
        "tasks",
        "tasks overdue at a worker that has not answered since",
    ),
    Metric("log.appends", _COUNTER, "records", "records appended to the log service"),
    Metric("log.errors", _COUNTER, "calls", "failed calls of the log service"),
    Metric("backlog.tasks", _GAUGE, "tasks", "waiting tasks"),
    Metric("backlog.bytes", _GAUGE, "bytes", "size of all waiting jobs"),
    Metric("workers.known", _GAUGE, "workers", "workers under a lease"),
    Metric("slots.free", _GAUGE, "slots", "free slots, as far as known"),
    Metric("health.out", _GAUGE, "workers", "workers ejected or on probation"),
    Metric("table.version", _GAUGE, "version", "version of the table in force"),
    Metric("view.number", _GAUGE, "number", "number of the membership view in force"),
    Metric("records.kept", _GAUGE, "records", "claim and job records kept"),
)


class Metrics:
    """Keeps the metrics in memory and sends them to statsd.

    Updates do no I/O. An undeclared name, or one of the other kind, is a programming
    error and raises ``KeyError``.

    :param statsd_settings: address of statsd; with an empty host nothing is sent.
    """

    def __init__(self, statsd_settings: settings.StatsdSettings) -> None:
        self._settings = statsd_settings
        self._client: statsd.StatsClient | None = None
        self._count_by_name = _initial_values(_COUNTER, 0)
        self._sent_by_name = _initial_values(_COUNTER, 0)
        self._gauge_by_name: dict[str, float | None] = _initial_values(_GAUGE, None)

    def count(self, name: str, n: int = 1) -> None:
        """Add to a counter.

        :param n: amount to add in the unit of the counter, at least 0.
        :raises KeyError: when no such counter is declared.
        """
        self._count_by_name[name] += n

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge.

        :param value: the new value in the unit of the gauge.
        :raises KeyError: when no such gauge is declared.
        """
        if name not in self._gauge_by_name:
            raise KeyError(name)
        self._gauge_by_name[name] = value

    def snapshot(self) -> dict[str, float]:
        """Return all values by name; a gauge that was never set is 0."""
        gauges = self._gauge_by_name.items()
        return self._count_by_name | {name: value or 0.0 for name, value in gauges}

    def flush(self) -> None:
        """Send the increments since the last call and all gauges that have been set.

        The daemon calls this once a second. Errors of sending are ignored. Gauges are
        sent each time, because UDP may lose a change. Increments that UDP loses are
        missing at statsd but not in :meth:`snapshot`.
        """
        if not self._settings.host:
            return
        try:
            self._send(self._statsd_client())
        except (OSError, ValueError):
            # The next call sends these increments as well.
            return

    def _statsd_client(self) -> statsd.StatsClient:
        if self._client is None:
            # Imported here to save memory in processes that do not use statsd.
            import statsd

            host = self._settings.host
            self._client = statsd.StatsClient(
                host, self._settings.port, self._settings.prefix, ipv6=":" in host
            )
        return self._client

    def _send(self, client: statsd.StatsClient) -> None:
        pipeline = client.pipeline()
        for name, value in self._count_by_name.items():
            if value != self._sent_by_name[name]:
                pipeline.incr(name, value - self._sent_by_name[name])
        for name, gauge in self._gauge_by_name.items():
            if gauge is not None:
                pipeline.gauge(name, gauge)
        pipeline.send()
        self._sent_by_name = dict(self._count_by_name)


def _initial_values(kind: MetricKind, value: _T) -> dict[str, _T]:
    return {metric.name: value for metric in METRICS if metric.kind is kind}
