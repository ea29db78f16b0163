"""Tests that no background task of a daemon ends unnoticed."""

import asyncio
import random
from unittest import mock

import pytest

from burdockgate import assignments
from burdockgate.process import (
    agentdaemon,
    background,
    entrydaemon,
    executoractions,
    workercontrol,
)
from burdockgate.standin import local


@pytest.fixture
def failures():
    return []


@pytest.fixture
async def tasks(failures, monkeypatch):
    monkeypatch.setattr(background, "FIRST_RESTART_S", 0.001)
    monkeypatch.setattr(background, "MAX_RESTART_S", 0.004)
    instance = background.Background(lambda name, trace: failures.append((name, trace)))
    yield instance
    await instance.cancel()


async def _wait_for(condition):
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.005)


async def test_failed_loop_runs_again_and_is_reported(tasks, failures):
    """An exception ended the task that follows the configuration without a line."""
    calls = []

    async def follow(topic):
        calls.append(topic)
        if len(calls) < 3:
            raise KeyError("odd record")

    await tasks.keep_running(follow, "keyed.op")
    assert calls == ["keyed.op"] * 3
    assert [name for name, _ in failures] == ["follow", "follow"]
    assert "KeyError: 'odd record'" in failures[0][1]


async def test_loop_that_always_fails_does_not_spin(tasks, failures, monkeypatch):
    """A record that fails at each start must not keep the processor busy."""
    monkeypatch.setattr(background, "FIRST_RESTART_S", 0.02)
    monkeypatch.setattr(background, "MAX_RESTART_S", 0.08)

    async def fail():
        raise RuntimeError

    tasks.keep_running(fail)
    started_at = asyncio.get_running_loop().time()
    await _wait_for(lambda: len(failures) >= 5)
    # The delays are 0.02, 0.04, 0.08 and 0.08 s at least.
    assert asyncio.get_running_loop().time() - started_at >= 0.2


async def test_failure_of_a_single_task_is_reported(tasks, failures):
    """The failure of a task that nobody awaits was dropped."""

    async def stop_run():
        raise OverflowError("port")

    tasks.run(stop_run())
    await _wait_for(lambda: failures)
    assert failures[0][0] == "stop_run"


def _fail_once(function, calls):
    """Return a replacement of a loop that fails at its first call."""

    async def replacement(*arguments):
        calls.append(arguments)
        if len(calls) == 1:
            raise RuntimeError("injected")
        await function(*arguments)

    replacement.__name__ = function.__name__
    return replacement


def _store():
    client = mock.Mock()
    unavailable = asyncio.get_running_loop().create_future()
    client.read_newest = mock.AsyncMock(side_effect=lambda _: unavailable)
    client.put = mock.AsyncMock()
    client.close = mock.AsyncMock()
    return client


def _entry_daemon():
    settings = entrydaemon.EntryDaemonSettings(
        "e1", "z1", "127.0.0.1", 0, 1.0, "keyed.op", "config"
    )
    return entrydaemon.EntryDaemon(settings, _store(), mock.Mock(), random.Random(1))


def _agent_daemon():
    settings = agentdaemon.AgentDaemonSettings(
        "a1", "z1", (), 1.0, executoractions.ExecutorSettings()
    )
    worker = mock.Mock(close=mock.AsyncMock())
    return agentdaemon.AgentDaemon(settings, worker, _store(), random.Random(1))


@pytest.mark.parametrize(
    ("create", "owner", "name"),
    [
        (_entry_daemon, "", "_run_timers"),
        (_entry_daemon, "", "_follow_configuration"),
        (_entry_daemon, "_registration", "follow"),
        (_entry_daemon, "_registration", "maintain"),
        (_entry_daemon, "_registration", "expire"),
        (_agent_daemon, "", "_run_timers"),
        (_agent_daemon, "", "_poll_forever"),
        (_agent_daemon, "", "_find_entries"),
    ],
)
async def test_each_loop_of_a_daemon_survives_a_failure(create, owner, name):
    """A loop that had ended by an exception never ran again."""
    daemon = create()
    target = getattr(daemon, owner) if owner else daemon
    calls = []
    setattr(target, name, _fail_once(getattr(target, name), calls))
    await daemon.start()
    await _wait_for(lambda: len(calls) == 2)
    lines = [line for line in daemon.events.render() if "task.failed" in line]
    assert len(lines) == 1
    await daemon.background.cancel()


@pytest.mark.parametrize("name", ["run_timers", "follow", "_dial_seeds"])
async def test_each_loop_of_an_entry_host_for_claimed_jobs_survives(name):
    """The daemons of the other protocol use the same class."""
    await _check_claimed_jobs_daemon(name, lambda system: system.entries[0])


@pytest.mark.parametrize("name", ["run_timers", "_dial_entries", "_probe_while_down"])
async def test_each_loop_of_an_agent_for_claimed_jobs_survives(name):
    """The daemons of the other protocol use the same class."""
    await _check_claimed_jobs_daemon(name, lambda system: system.agents[0])


async def _check_claimed_jobs_daemon(name, select):
    system = local.LocalSystem(local.LocalSettings(entries=1, agents=1, slots=2))
    await system.start()
    daemon = select(system)
    calls = []
    function = _fail_once(getattr(daemon, name), calls)
    arguments = ("members", 0) if name == "follow" else ()
    daemon.background.keep_running(function, *arguments)
    await _wait_for(lambda: len(calls) == 2)
    assert daemon.counters.snapshot()["tasks.crashed"] == 1
    await system.stop()


async def test_unexpected_error_of_a_command_counts_as_no_answer():
    """A run whose start command had failed by an error kept its capacity for good."""
    daemon = _agent_daemon()

    async def fail(_):
        raise OverflowError("port")

    daemon._worker.start = fail
    key = assignments.RunKey(assignments.TaskKey("job", 0, 0), 1)
    command = workercontrol.StartCommand("i-1", key, "text", 1000, 5)
    daemon.executor.handle_start_result = mock.Mock(return_value=[])
    await daemon._start_run(command)
    daemon.executor.handle_start_result.assert_called_once_with(
        command, workercontrol.Unanswered()
    )
