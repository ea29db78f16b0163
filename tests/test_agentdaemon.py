"""Tests the daemon that connects an executor with its worker."""

import asyncio
import random
from unittest import mock

from burdockgate.process import agentdaemon, executoractions, workercontrol

HEARTBEAT = workercontrol.WorkerHeartbeat(
    "w1", 5, "service", 8_000, 65_536, 0, ("a", "r1"), False, 1, 1_000
)


class LossyWorker:
    """A worker that never answers the first regular poll, and answers later ones."""

    def __init__(self):
        self.polls = []
        self.answered = asyncio.get_running_loop().create_future()

    async def poll(self, command):
        if command.wait_ms:
            self.polls.append(command)
            if len(self.polls) == 1:
                await asyncio.get_running_loop().create_future()
            if not self.answered.done():
                self.answered.set_result(command)
        await asyncio.sleep(0)
        return workercontrol.Snapshot(1_000 + len(self.polls), 5, (), ())

    async def close(self):
        pass


async def test_unanswered_poll_does_not_delay_the_next():
    """The end of a run went unnoticed for half a second after each lost answer."""
    limits = executoractions.ExecutorSettings(poll_wait_s=0.01, poll_repeat_s=0.01)
    settings = agentdaemon.AgentDaemonSettings("a1", "z1", (), 1.0, limits)
    worker = LossyWorker()
    store = mock.Mock(newest=mock.AsyncMock(side_effect=asyncio.CancelledError))
    daemon = agentdaemon.AgentDaemon(settings, worker, store, random.Random(1))
    daemon.handle_heartbeat(HEARTBEAT)
    polling = asyncio.create_task(daemon._poll_forever())
    async with asyncio.timeout(10):
        command = await worker.answered
    assert command.worker == "w1"
    polling.cancel()
    await daemon.background.cancel()
