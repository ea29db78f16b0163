"""Guards the daemon around an agent's executor."""

import asyncio
import random
from unittest import mock

from burdockgate.process import agentdaemon, executoractions, workercontrol

TOLD = workercontrol.WorkerHeartbeat(
    "w1", 5, "service", 8_000, 65_536, 0, ("a", "r1"), False, 1, 1_000
)


class LossyWorker:
    """Answers no regular poll but those after the first."""

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


async def test_look_without_an_answer_does_not_hold_up_the_next():
    """Ends of runs stayed unseen for half a second after each lost answer."""
    limits = executoractions.ExecutorSettings(poll_wait_s=0.01, poll_repeat_s=0.01)
    settings = agentdaemon.AgentDaemonSettings("a1", "z1", (), 1.0, limits)
    worker = LossyWorker()
    store = mock.Mock(newest=mock.AsyncMock(side_effect=asyncio.CancelledError))
    daemon = agentdaemon.AgentDaemon(settings, worker, store, random.Random(1))
    daemon.handle_heartbeat(TOLD)
    polling = asyncio.create_task(daemon._poll())
    async with asyncio.timeout(10):
        command = await worker.answered
    assert command.worker == "w1"
    polling.cancel()
    for task in list(daemon._tasks):
        task.cancel()
