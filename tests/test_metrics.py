"""Guards the metrics: declared names only, documented, and sent without errors."""

import pathlib
import socket
import subprocess
import sys
import unittest.mock

import pytest

from burdockgate import settings
from burdockgate.process import metrics

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "metrics.md"


def _received(receiver):
    receiver.settimeout(10)
    lines = set()
    # The last gauge that a flush sends ends the batch.
    while not any(line.startswith("p.records.kept:") for line in lines):
        lines |= set(receiver.recv(65536).decode().split("\n"))
    return lines


def test_page_lists_exactly_the_declared_metrics():
    """An operator's page must not drift from the names that are sent."""
    rows = [line for line in PAGE.read_text().splitlines() if line.startswith("| `")]
    assert rows == [
        f"| `{metric.name}` | {metric.kind.value} | {metric.unit} | {metric.meaning} |"
        for metric in metrics.METRICS
    ]
    assert len({metric.name for metric in metrics.METRICS}) == len(metrics.METRICS)


def test_undeclared_name_raises():
    """A misspelt name must not make a metric that nobody reads."""
    counts = metrics.Metrics(settings.StatsdSettings())
    for call, name in (
        (counts.count, "jobs.submited"),
        (counts.count, "slots.free"),
        (lambda name: counts.gauge(name, 1), "jobs.submitted"),
    ):
        with pytest.raises(KeyError, match=name):
            call(name)
    assert set(counts.snapshot().values()) == {0}


def test_flush_sends_deltas_once_and_gauges_always():
    """A counter that is sent as its total would be added up again by statsd."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver:
        receiver.bind(("127.0.0.1", 0))
        counts = metrics.Metrics(
            settings.StatsdSettings("127.0.0.1", receiver.getsockname()[1], "p")
        )
        counts.count("jobs.submitted")
        counts.count("wire.bytes_sent", 500)
        counts.gauge("records.kept", 7)
        counts.flush()
        first = {
            "p.jobs.submitted:1|c",
            "p.wire.bytes_sent:500|c",
            "p.records.kept:7|g",
        }
        assert _received(receiver) == first
        counts.count("jobs.submitted", 2)
        counts.flush()
        assert _received(receiver) == {"p.jobs.submitted:2|c", "p.records.kept:7|g"}
    snapshot = counts.snapshot()
    assert snapshot["jobs.submitted"] == 3
    assert snapshot["records.kept"] == 7
    assert list(snapshot) == [metric.name for metric in metrics.METRICS]


@pytest.mark.parametrize("error", [socket.gaierror, PermissionError, UnicodeError])
def test_failure_to_send_does_not_raise(monkeypatch, error):
    """A missing statsd must not stop a daemon or lose counts before the first send."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver:
        receiver.bind(("127.0.0.1", 0))
        port = receiver.getsockname()[1]
        counts = metrics.Metrics(settings.StatsdSettings("127.0.0.1", port, "p"))
        counts.gauge("records.kept", 0)
        with monkeypatch.context() as patch:
            patch.setattr(socket, "getaddrinfo", unittest.mock.Mock(side_effect=error))
            for _ in range(2):
                counts.count("jobs.submitted")
                counts.flush()
        counts.flush()
        assert "p.jobs.submitted:2|c" in _received(receiver)
    # The system reports the closed port at the next send.
    for _ in range(3):
        counts.count("jobs.submitted")
        counts.flush()
    assert counts.snapshot()["jobs.submitted"] == 5


def test_import_stays_light():
    """Memory of an agent: logs and metrics must not load statsd or the web stack."""
    code = (
        "import sys; from burdockgate import settings; "
        "from burdockgate.process import logs, metrics; "
        "metrics.Metrics(settings.StatsdSettings()).flush(); "
        "print(*{'statsd', 'litestar', 'httpx', 'uvicorn', 'hdrh'} & set(sys.modules))"
    )
    command = [sys.executable, "-c", code]
    run = subprocess.run(command, capture_output=True, text=True, check=True)
    assert run.stdout.strip() == ""
