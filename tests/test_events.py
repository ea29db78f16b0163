"""Tests of the event log and the metrics page of the daemons."""

import io
import json

import pytest

from burdockgate import assignments, clock
from burdockgate.process import events, logs


@pytest.fixture
def output():
    stream = io.StringIO()
    logs.configure(stream, as_json=True)
    return stream


def test_line_names_the_run_and_the_page_counts_it(output):
    """Operators search the log for the identifier of a job."""
    event_log = events.EventLog("agent-1", clock.ManualClock())
    key = assignments.RunKey(assignments.TaskKey("00aa", 0, 3), 2)
    event_log.record("run.ended", {"run": key, "kind": "DONE"})
    line = json.loads(output.getvalue())
    assert (line["run"], line["event"]) == ("00aa.0.3#2", "run.ended")
    page = "\n".join(event_log.render())
    assert 'burdockgate_events_total{event="run.ended",detail="DONE"} 1' in page


def test_lines_are_rate_limited_and_dropped_ones_are_counted(output):
    """Logging must not use the processor time that the requests need."""
    time = clock.ManualClock()
    event_log = events.EventLog("entry-1", time)
    for _ in range(10_000):
        event_log.record("job.received", {})
    assert len(output.getvalue().splitlines()) == events.BURST_LINES
    time.advance(1.0)
    event_log.record("job.received", {})
    lines = [json.loads(line) for line in output.getvalue().splitlines()]
    (dropped,) = [line for line in lines if line["event"] == "log.dropped"]
    assert dropped["lines"] == 10_000 - events.BURST_LINES
    assert 'event="job.received",detail=""} 10001' in "\n".join(event_log.render())


def test_durations_are_shown_by_route():
    """Durations are summarised for each route."""
    event_log = events.EventLog("entry-1", clock.ManualClock())
    event_log.histograms.record("response.complete", "r", 0.2)
    page = "\n".join(event_log.render())
    assert 'measure="response.complete",route="r",quantile="0.5"} 200' in page
