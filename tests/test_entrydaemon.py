"""Tests the daemon that connects a scheduler with agents."""

from unittest import mock

from burdockgate import assignments
from burdockgate.process import entrydaemon


def _daemon():
    settings = entrydaemon.EntryDaemonSettings(
        "e1", "z1", "127.0.0.1", 7720, 1.0, "topic", "key"
    )
    return entrydaemon.EntryDaemon(settings, mock.Mock(), mock.Mock())


async def test_run_that_is_not_wanted_is_revoked_before_the_session_is_renewed():
    """A renewal tells the agent that all of its runs are wanted, and extends leases.

    The revocation goes to the new connection, also while the old one is still open.
    """
    daemon = _daemon()
    key = assignments.RunKey(assignments.TaskKey("job", 0, 0), 1)
    hello = assignments.AgentHello(
        assignments.PROTOCOL, "a1", 5, "z1", daemon.boot, (key,)
    )
    report = assignments.LoadReport(
        1, 0, assignments.WorkerState.READY, True, 0, 0, 0, 0, 0, 1000, True, 0, 0
    )
    old_link, link = mock.Mock(), mock.Mock()
    daemon.handle_message(old_link, hello)
    old_link.reset_mock()
    daemon.handle_message(link, hello)
    daemon.handle_message(link, report)
    sent = [call.args[0] for call in link.send.call_args_list]
    kinds = [type(message) for message in sent]
    assert sent[kinds.index(assignments.Revoke)].keys == (key,)
    assert kinds.index(assignments.Revoke) < kinds.index(assignments.Renewal)
    old_link.send.assert_not_called()
