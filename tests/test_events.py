"""Guards the log and the metrics page of the platform's daemons."""

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
    """An engineer greps for the job's id."""
    made = events.EventLog("agent-1", clock.ManualClock())
    key = assignments.RunKey(assignments.TaskKey("00aa", 0, 3), 2)
    made.record("run.ended", {"run": key, "kind": "DONE"})
    line = json.loads(output.getvalue())
    assert (line["run"], line["event"]) == ("00aa.0.3#2", "run.ended")
    page = "\n".join(made.render())
    assert 'burdockgate_events_total{event="run.ended",detail="DONE"} 1' in page


def test_storm_of_events_is_bounded_and_what_was_dropped_is_told(output):
    """Logging must not take the processor that the requests need."""
    time = clock.ManualClock()
    made = events.EventLog("entry-1", time)
    for _ in range(10_000):
        made.record("job.received", {})
    assert len(output.getvalue().splitlines()) == events.BURST_LINES
    time.advance(1.0)
    made.record("job.received", {})
    lines = [json.loads(line) for line in output.getvalue().splitlines()]
    (dropped,) = [line for line in lines if line["event"] == "log.dropped"]
    assert dropped["lines"] == 10_000 - events.BURST_LINES
    assert 'event="job.received",detail=""} 10001' in "\n".join(made.render())


def test_durations_are_shown_by_route():
    """Histograms for each class of requests."""
    made = events.EventLog("entry-1", clock.ManualClock())
    made.histograms.record("response.complete", "r", 0.2)
    page = "\n".join(made.render())
    assert 'measure="response.complete",route="r",quantile="0.5"} 200' in page
