"""Tests of the agent's daemon: ends of tasks, and a planned stop without lost tasks."""

import asyncio
import random
from unittest import mock

import pytest

import builders
import configs
from burdockgate import clock, effects, messages, settings
from burdockgate.process import agent, agenthost, backend, metrics


async def test_task_stopped_before_its_first_step_frees_its_slot():
    """A start and a cancel in the same read must not occupy a slot for ever."""
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


def test_task_in_transit_to_a_leaving_agent_is_returned():
    """A task sent before the entry host learned of the drain must not be lost."""
    node, config = builders.node("a1"), configs.agent_settings("a1", 0, 2)
    counters = metrics.Metrics(settings.StatsdSettings())
    core = agent.AgentCore(node, config, clock.ManualClock(), counters)
    list(core.handle_connect(builders.hello("e1", role=messages.Role.ENTRY)))
    list(core.drain(active=True))
    assert builders.sent_messages(core.leave(), messages.Leave)
    task = messages.TaskStart(0, 1, b"1", 1000)
    start = messages.Start(builders.JOB, 1, 0, 1, node.boot, (task,))
    (results,) = builders.sent_messages(core.receive("e1", start), messages.Results)
    assert results.reports[0].state is messages.TaskState.RETURNED
    assert not core.has_left
    list(core.receive("e1", messages.Leave()))
    assert core.has_left and not core.is_idle
    list(core.receive("e1", messages.Settle(builders.JOB, 1, 1, 0)))
    assert core.is_idle


async def test_stop_waits_until_no_task_can_be_in_transit():
    """An idle agent that closed at once would drop tasks that are in transit."""
    config = configs.agent_settings("agent-1", 0, 2)
    host = agenthost.AgentHost(config, random.Random(1))
    host.core = mock.Mock(is_idle=True)
    host.core.drain.return_value = host.core.leave.return_value = ()
    has_left = mock.PropertyMock(side_effect=[False, True])
    type(host.core).has_left = has_left
    await host.stop()
    assert has_left.call_count == 2


@pytest.mark.parametrize("is_up", [True, False])
async def test_broken_call_gets_the_backend_server_probed(is_up):
    """A server that dies with its only task must not be offered any longer.

    Without a probe, its death would be found only by the next task.
    """
    config = configs.agent_settings("agent-1", 0, 2)
    host = agenthost.AgentHost(config, random.Random(1))
    host.core = mock.Mock(draining=False)
    host.core.slots.is_open = True
    host.core.handle_task_end.return_value = host.core.set_backend_up.return_value = ()
    result = backend.CallResult(messages.TaskState.UNKNOWN, b"sent, no answer", 1.0)
    host._backend = mock.Mock(
        run=mock.AsyncMock(return_value=result),
        probe=mock.AsyncMock(return_value=is_up),
    )
    await host._execute(effects.Execute(b"j" * 16, 1, 0, b"1", 1000))
    assert host.core.set_backend_up.call_args_list == (
        [] if is_up else [mock.call(False)]
    )
