"""Event log of a daemon: counts each event and logs it within a rate limit."""

from __future__ import annotations

import collections
from collections.abc import Iterator, Mapping

import structlog

from burdockgate import assignments, clock
from burdockgate.process import histograms, logs

# At 100 jobs a second an entry host writes about 400 lines a second. The limit keeps a
# burst of retries from using the processor time that the requests need.
LINES_PER_S = 1500.0
BURST_LINES = 3000.0
# Fields with few distinct values, each of which gets its own counter.
COUNTED_FIELDS = ("code", "kind", "state", "reason")
MAX_COUNTERS = 1000


class EventLog:
    """Counts and logs events, and renders the metrics page.

    :param name: name of the process, the ``module`` of each line.
    :param time: a steady clock.
    """

    def __init__(self, name: str, time: clock.Clock) -> None:
        # Bound once, because structlog's lazy proxy binds again for each line.
        self._log: structlog.typing.FilteringBoundLogger = logs.get_logger(name).bind()
        self._time = time
        self._count_by_key: collections.Counter[tuple[str, str]] = collections.Counter()
        self._line_budget = BURST_LINES
        self._refilled_at = time.now()
        self._dropped_lines = 0
        self.histograms = histograms.Histograms()

    def record(self, event: str, fields: Mapping[str, object], count: int = 1) -> None:
        """Count an event and log it unless the rate limit is exceeded.

        :param event: name of the event.
        :param fields: fields of the line: the causes of the event and its result.
        :param count: how many times it has happened; they share the line.
        """
        detail = next(
            (str(fields[name]) for name in COUNTED_FIELDS if name in fields), ""
        )
        if len(self._count_by_key) < MAX_COUNTERS:
            self._count_by_key[event, detail] += count
        else:
            self._count_by_key["events.other", ""] += count
        self._refill()
        if self._line_budget < 1:
            self._dropped_lines += 1
            return
        self._line_budget -= 1
        self._log.info(
            event, **{key: _format_value(value) for key, value in fields.items()}
        )

    def _refill(self) -> None:
        now = self._time.now()
        refill = (now - self._refilled_at) * LINES_PER_S
        self._line_budget = min(BURST_LINES, self._line_budget + refill)
        self._refilled_at = now
        if self._dropped_lines and self._line_budget > BURST_LINES / 10:
            self._log.warning("log.dropped", lines=self._dropped_lines)
            self._count_by_key["log.dropped", ""] += self._dropped_lines
            self._dropped_lines = 0

    def render(self) -> Iterator[str]:
        """Yield the lines of the metrics page in the Prometheus text format."""
        yield "# TYPE burdockgate_events_total counter"
        for (event, detail), count in sorted(self._count_by_key.items()):
            labels = f'event="{event}",detail="{detail}"'
            yield f"burdockgate_events_total{{{labels}}} {count}"
        yield "# TYPE burdockgate_duration_ms summary"
        for summary in self.histograms.summary():
            series = f'measure="{summary.measure}",route="{summary.caller_class}"'
            for quantile, value in (
                ("0.5", summary.p50),
                ("0.9", summary.p90),
                ("0.99", summary.p99),
                ("1", summary.max),
            ):
                yield (
                    f'burdockgate_duration_ms{{{series},quantile="{quantile}"}} {value}'
                )
            yield f"burdockgate_duration_ms_count{{{series}}} {summary.count}"


def _format_value(value: object) -> object:
    """Return the key of a run in short form, and any other value unchanged."""
    if isinstance(value, assignments.RunKey):
        task = value.task
        return f"{task.job}.{task.step}.{task.index}#{value.run}"
    return value
