"""Guards the agent's daemon: tasks reach the core, and a planned stop loses none."""

import asyncio
import random
from unittest import mock

import pytest

import builders
import configs
from burdockgate import clock, effects, messages, settings
from burdockgate.process import agent, agenthost, backend, metrics


async def test_task_stopped_before_its_first_step_frees_its_slot():
    """A start and a cancellation read together must not take a slot for ever."""
    config = configs.agent_settings("agent-1", 0, 2)
    host = agenthost.AgentHost(config, random.Random(1))
    host.core = mock.Mock()
    host.core.handle_task_end.return_value = iter(())
    job = b"j" * 16
    host.perform([effects.Execute(job, 1, 0, b"1", 1000), effects.Stop(job, 1, 0)])
    async with asyncio.timeout(10):
        while not host.core.handle_task_end.called:
            await asyncio.sleep(0)
    assert host.core.handle_task_end.call_args.args[:3] == (job, 1, 0)
    await host.close()


def test_task_under_way_to_an_agent_that_leaves_is_returned():
    """A task sent before the drain was known must not be lost with the agent."""
    own, config = builders.node("a1"), configs.agent_settings("a1", 0, 2)
    counters = metrics.Metrics(settings.StatsdSettings())
    core = agent.AgentCore(own, config, clock.ManualClock(), counters)
    list(core.handle_connect(builders.hello("e1", role=messages.Role.ENTRY)))
    list(core.drain(active=True))
    assert builders.sent_messages(core.leave(), messages.Leave)
    task = messages.TaskStart(0, 1, b"1", 1000)
    start = messages.Start(builders.JOB, 1, 0, 1, own.boot, (task,))
    (results,) = builders.sent_messages(core.receive("e1", start), messages.Results)
    assert results.reports[0].state is messages.TaskState.RETURNED
    assert not core.has_left
    list(core.receive("e1", messages.Leave()))
    assert core.has_left and not core.is_idle
    list(core.receive("e1", messages.Settle(builders.JOB, 1, 1, 0)))
    assert core.is_idle


async def test_stop_waits_until_no_task_can_be_under_way():
    """An idle agent that closed at once would drop what is on the connection."""
    config = configs.agent_settings("agent-1", 0, 2)
    host = agenthost.AgentHost(config, random.Random(1))
    host.core = mock.Mock(is_idle=True)
    host.core.drain.return_value = host.core.leave.return_value = ()
    answers = mock.PropertyMock(side_effect=[False, True])
    type(host.core).has_left = answers
    await host.stop()
    assert answers.call_count == 2


@pytest.mark.parametrize("is_up", [True, False])
async def test_broken_call_gets_the_backend_server_probed(is_up):
    """A server that dies with its only task must not be offered until the next one."""
    config = configs.agent_settings("agent-1", 0, 2)
    host = agenthost.AgentHost(config, random.Random(1))
    host.core = mock.Mock(draining=False)
    host.core.slots.is_open = True
    host.core.handle_task_end.return_value = host.core.set_backend_up.return_value = ()
    ended = backend.CallResult(messages.TaskState.UNKNOWN, b"sent, no answer", 1.0)
    host._backend = mock.Mock(
        run=mock.AsyncMock(return_value=ended),
        probe=mock.AsyncMock(return_value=is_up),
    )
    await host._execute(effects.Execute(b"j" * 16, 1, 0, b"1", 1000))
    assert host.core.set_backend_up.call_args_list == (
        [] if is_up else [mock.call(False)]
    )
