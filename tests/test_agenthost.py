"""Guards the agent's daemon: every executed task is reported to the core."""

import asyncio
import random
from unittest import mock

import configs
from burdockgate import effects
from burdockgate.process import agenthost


async def test_task_stopped_before_its_first_step_frees_its_slot():
    """A start and a cancellation read together must not take a slot for ever."""
    config = configs.agent_settings("agent-1", 0, 2)
    host = agenthost.AgentHost(config, random.Random(1))
    host.core = mock.Mock()
    host.core.finished.return_value = iter(())
    job = b"j" * 16
    host.perform([effects.Execute(job, 1, 0, b"1", 1000), effects.Stop(job, 1, 0)])
    async with asyncio.timeout(10):
        while not host.core.finished.called:
            await asyncio.sleep(0)
    assert host.core.finished.call_args.args[:3] == (job, 1, 0)
    await host.close()
