"""Tests that the operator's commands report no false success, with fakes."""

from unittest import mock

import pytest

from burdockgate import errors, settings
from burdockgate.cli import jobs, main, operate

ENTRIES = "--entry http://127.0.0.1:1 --entry http://127.0.0.1:2"
REFUSED = errors.ClientError("connection refused")


@pytest.fixture
def client(monkeypatch):
    fake = mock.AsyncMock()
    fake.__aenter__.return_value = fake
    monkeypatch.setattr(jobs, "open_client", lambda urls, timeout_s: fake)
    monkeypatch.setattr(operate, "DRAIN_POLL_S", 0.0)
    return fake


def _status(entry="e1", **worker):
    return {"name": entry, "workers": [{"name": "w1", **worker}] if worker else []}


@pytest.mark.parametrize("option", ["", "--json"])
def test_status_shows_hosts_that_answer(option, client, snapshot, capsys):
    """A host that is down must neither hide the others nor give exit status 0."""
    client.status.side_effect = [REFUSED, _status(slots=8, running=0)]
    assert main.main(f"status {option} {ENTRIES}".split()) == 1
    captured = capsys.readouterr()
    assert captured.out == snapshot
    assert captured.err == "burdockgate: http://127.0.0.1:1: connection refused\n"


BUSY = _status(running=2, draining=True)
IDLE = _status(running=0, draining=True)
LAPSED = _status(running=0, draining=True, lapsed=True)


@pytest.mark.parametrize(
    ("statuses", "exit_status", "text"),
    [
        ([BUSY, IDLE], 0, "drained, no task is running"),
        ([_status(running=0, draining=False), BUSY, IDLE], 0, "drained"),
        ([BUSY, _status()], 0, "no longer listed"),
        ([_status()], 1, "not listed by e1"),
        ([BUSY, _status("e2")], 1, "not listed by e2"),
        ([BUSY, LAPSED], 1, "lease lapsed"),
        ([BUSY, REFUSED], 1, "connection refused"),
    ],
)
def test_drain_wait(statuses, exit_status, text, client, capsys):
    """Exit status 0 tells the operator that stopping the worker interrupts no task."""
    client.status.side_effect = statuses
    assert main.main(f"drain w1 --wait {ENTRIES}".split()) == exit_status
    assert text in "".join(capsys.readouterr())
    assert client.status.await_count == len(statuses)


@pytest.mark.parametrize(
    ("option", "is_known", "exit_status"),
    [("", True, 0), ("--undo", True, 0), ("", False, 1), ("--json", False, 1)],
)
def test_drain(option, is_known, exit_status, client, snapshot, capsys):
    client.drain.return_value = is_known
    assert main.main(f"drain w1 {option} {ENTRIES}".split()) == exit_status
    client.drain.assert_awaited_once_with("w1", active=option != "--undo")
    assert "".join(capsys.readouterr()) == snapshot


def test_check_settings(monkeypatch, snapshot, capsys):
    """Every problem of every file is printed, also after an unreadable file."""
    undetected = errors.SettingsError(["neither [entry] nor [agent]", "second"])
    missing = FileNotFoundError(2, "No such file or directory")
    fake = mock.Mock()
    fake.check.side_effect = [[], ["port: 0", "bad.ini: x"], missing, ["port: 0"], []]
    fake.detect_role.side_effect = ["agent", "agent", undetected, "agent", "agent"]
    monkeypatch.setattr(settings, "check", fake.check)
    monkeypatch.setattr(settings, "detect_role", fake.detect_role)
    files = ["good.ini", "bad.ini", "odd.ini", "gone.ini"]
    assert main.main(["check-settings", *files]) == 2
    assert main.main(["check-settings", "bad.ini", "--role", "entry"]) == 2
    assert fake.check.call_args == mock.call("bad.ini", "entry")
    assert fake.check.call_args_list[0] == mock.call("good.ini", "agent")
    assert main.main(["check-settings", "good.ini"]) == 0
    assert capsys.readouterr().out == snapshot
