"""Tests that metrics are declared, documented and sent, and that errors are ignored."""

import pathlib
import socket
import subprocess
import sys
import unittest.mock

import pytest

from burdockgate import settings
from burdockgate.process import metrics

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "metrics.md"


def _receive_lines(receiver):
    receiver.settimeout(10)
    lines = set()
    # A flush sends this gauge last.
    while not any(line.startswith("p.records.kept:") for line in lines):
        lines |= set(receiver.recv(65536).decode().split("\n"))
    return lines


def test_page_lists_exactly_the_declared_metrics():
    """The operator's page must list the metrics that are sent."""
    rows = [line for line in PAGE.read_text().splitlines() if line.startswith("| `")]
    assert rows == [
        f"| `{metric.name}` | {metric.kind.value} | {metric.unit} | {metric.meaning} |"
        for metric in metrics.METRICS
    ]
    assert len({metric.name for metric in metrics.METRICS}) == len(metrics.METRICS)


def test_undeclared_name_raises():
    """A misspelt name must raise an error and not create another metric."""
    counters = metrics.Metrics(settings.StatsdSettings())
    for call, name in (
        (counters.count, "jobs.submited"),
        (counters.count, "slots.free"),
        (lambda name: counters.gauge(name, 1), "jobs.submitted"),
    ):
        with pytest.raises(KeyError, match=name):
            call(name)
    assert set(counters.snapshot().values()) == {0}


def test_flush_sends_deltas_once_and_gauges_always():
    """Counters are sent as increments, because statsd adds them up."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver:
        receiver.bind(("127.0.0.1", 0))
        counters = metrics.Metrics(
            settings.StatsdSettings("127.0.0.1", receiver.getsockname()[1], "p")
        )
        counters.count("jobs.submitted")
        counters.count("wire.bytes_sent", 500)
        counters.gauge("records.kept", 7)
        counters.flush()
        first = {
            "p.jobs.submitted:1|c",
            "p.wire.bytes_sent:500|c",
            "p.records.kept:7|g",
        }
        assert _receive_lines(receiver) == first
        counters.count("jobs.submitted", 2)
        counters.flush()
        assert _receive_lines(receiver) == {
            "p.jobs.submitted:2|c",
            "p.records.kept:7|g",
        }
    snapshot = counters.snapshot()
    assert snapshot["jobs.submitted"] == 3
    assert snapshot["records.kept"] == 7
    assert list(snapshot) == [metric.name for metric in metrics.METRICS]


@pytest.mark.parametrize("error", [socket.gaierror, PermissionError, UnicodeError])
def test_failure_to_send_does_not_raise(monkeypatch, error):
    """Without statsd a daemon must go on, and keep its counts until the first send."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver:
        receiver.bind(("127.0.0.1", 0))
        port = receiver.getsockname()[1]
        counters = metrics.Metrics(settings.StatsdSettings("127.0.0.1", port, "p"))
        counters.gauge("records.kept", 0)
        with monkeypatch.context() as patch:
            patch.setattr(socket, "getaddrinfo", unittest.mock.Mock(side_effect=error))
            for _ in range(2):
                counters.count("jobs.submitted")
                counters.flush()
        counters.flush()
        assert "p.jobs.submitted:2|c" in _receive_lines(receiver)
    # The system reports the closed port as an error of the next send.
    for _ in range(3):
        counters.count("jobs.submitted")
        counters.flush()
    assert counters.snapshot()["jobs.submitted"] == 5


def test_import_stays_light():
    """To save memory in agents, logs and metrics must not import large packages."""
    code = (
        "import sys; from burdockgate import settings; "
        "from burdockgate.process import logs, metrics; "
        "metrics.Metrics(settings.StatsdSettings()).flush(); "
        "print(*{'statsd', 'litestar', 'httpx', 'uvicorn', 'hdrh'} & set(sys.modules))"
    )
    command = [sys.executable, "-c", code]
    run = subprocess.run(command, capture_output=True, text=True, check=True)
    assert run.stdout.strip() == ""
