"""Guards ``table wait`` against false success, with fakes."""

from unittest import mock

import pytest

from burdockgate import errors
from burdockgate.cli import jobs, main, rollout

REFUSED = errors.ClientError("connection refused")


def _shown(own, peer, worker):
    return {
        "name": "e1",
        "table_version": own,
        "table_version_by_entry": {"e1": own, "e2": peer},
        "workers": [{"name": "w1", "table_version": worker}],
    }


@pytest.mark.parametrize(
    ("statuses", "words", "status", "text"),
    [
        ([_shown(5, 5, 5)], "", 0, "table version 5 is in force on all nodes"),
        ([_shown(5, 5, 4), _shown(6, 5, 5)], "", 0, "table version 5"),
        ([REFUSED, _shown(5, 5, 5)], "5", 0, "table version 5"),
        ([_shown(5, 5, 5)], "6 --timeout 0.05", 1, "at e1, e2, w1"),
        ([_shown(5, 0, 5)], "--timeout 0.05", 1, "at e2"),
        ([REFUSED], "5 --timeout 0.05", 1, "connection refused"),
    ],
)
def test_wait(statuses, words, status, text, monkeypatch, capsys):
    """Status 0 tells the operator that no node serves by the older table."""
    fake = mock.AsyncMock()
    fake.__aenter__.return_value = fake
    fake.status.side_effect = [*statuses, *[statuses[-1]] * 1000]
    monkeypatch.setattr(jobs, "open_client", lambda urls, timeout_s: fake)
    monkeypatch.setattr(rollout, "POLL_S", 0.01)
    command = f"table wait {words} --entry http://127.0.0.1:1"
    assert main.main(command.split()) == status
    assert text in "".join(capsys.readouterr())
