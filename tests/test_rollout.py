"""Tests that ``table wait`` reports no false success, with fakes."""

from unittest import mock

import pytest

from burdockgate import errors
from burdockgate.cli import jobs, main, rollout

REFUSED = errors.ClientError("connection refused")


def _status(own, peer, worker):
    return {
        "name": "e1",
        "table_version": own,
        "table_version_by_entry": {"e1": own, "e2": peer},
        "workers": [{"name": "w1", "table_version": worker}],
    }


@pytest.mark.parametrize(
    ("statuses", "arguments", "exit_status", "text"),
    [
        ([_status(5, 5, 5)], "", 0, "table version 5 is in force on all nodes"),
        ([_status(5, 5, 4), _status(6, 5, 5)], "", 0, "table version 5"),
        ([REFUSED, _status(5, 5, 5)], "5", 0, "table version 5"),
        ([_status(5, 5, 5)], "6 --timeout 0.05", 1, "at e1, e2, w1"),
        ([_status(5, 0, 5)], "--timeout 0.05", 1, "at e2"),
        ([REFUSED], "5 --timeout 0.05", 1, "connection refused"),
    ],
)
def test_wait(statuses, arguments, exit_status, text, monkeypatch, capsys):
    """Exit status 0 tells the operator that no node still uses an older table."""
    fake = mock.AsyncMock()
    fake.__aenter__.return_value = fake
    fake.status.side_effect = [*statuses, *[statuses[-1]] * 1000]
    monkeypatch.setattr(jobs, "open_client", lambda urls, timeout_s: fake)
    monkeypatch.setattr(rollout, "POLL_S", 0.01)
    command = f"table wait {arguments} --entry http://127.0.0.1:1"
    assert main.main(command.split()) == exit_status
    assert text in "".join(capsys.readouterr())
