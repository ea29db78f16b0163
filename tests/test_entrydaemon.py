"""Tests the daemon that connects a scheduler with agents."""

import asyncio
from unittest import mock

from burdockgate import assignments, clock, codes
from burdockgate.platform import front
from burdockgate.process import entrydaemon, restart
from burdockgate.request import besteffort


def _daemon(grace_s=1.0):
    settings = entrydaemon.EntryDaemonSettings(
        "e1", "z1", "127.0.0.1", 7720, grace_s, "topic", "key"
    )
    store = mock.Mock(put=mock.AsyncMock())
    return entrydaemon.EntryDaemon(settings, store, mock.Mock())


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
        1, 0, assignments.WorkerState.READY, True, 0, 0, 0, 0, 0, 1000, True, 0
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


async def test_callers_leave_a_stopping_entry_host_once_the_balancer_has():
    """Callers with open connections went on sending requests until the exit.

    A connection that is closed earlier could lead to the same entry host again.
    """
    daemon = _daemon(grace_s=4.0)
    daemon.routes = mock.Mock(match=mock.Mock(return_value=None))
    application = front.CallerApplication(daemon)
    sent = []

    async def send(event):
        sent.append(event)

    async def has_closed():
        sent.clear()
        scope = {"type": "http", "method": "GET", "path": "/x", "headers": []}
        await application(scope, None, send)
        return (b"connection", b"close") in sent[0]["headers"]

    with mock.patch.object(daemon, "_time", clock.ManualClock()) as time:
        stopping = asyncio.create_task(daemon.stop())
        await asyncio.sleep(0)
        assert not await has_closed()
        time.advance(2.0)
        assert not await has_closed()
        time.advance(0.3)
        assert await has_closed()
    stopping.cancel()
    await daemon.background.cancel()


async def test_job_after_the_wait_for_the_last_one_is_refused():
    """It was admitted, and cut off by the closing server 0.3 s later."""
    daemon = _daemon(grace_s=6.0)
    with mock.patch.object(restart, "BALANCER_DELAY_S", 0.0):
        await asyncio.create_task(daemon.stop())
    step = besteffort.Step(1, 1000, 64, 0, 0.0)
    submission = besteffort.Submission(
        "job", "r", "svc", "", (step,), 0, 3, 1.6, 0.06, 5.0
    )
    disconnected = asyncio.get_running_loop().create_future()
    client = mock.Mock(was_delayed=mock.Mock(return_value=False))
    async with asyncio.timeout(5):
        outcome = await daemon.submit(submission, client, disconnected)
    assert outcome.code is codes.Code.DRAINING
    await daemon.background.cancel()
