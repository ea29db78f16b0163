"""Tests the daemon that connects an executor with its worker."""

import asyncio
import random
import socket
from unittest import mock

import attrs

from burdockgate import assignments
from burdockgate.process import (
    agentdaemon,
    entrydaemon,
    executoractions,
    subset,
    workercontrol,
)

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


def _unavailable_store():
    """Return a store that never answers a read and accepts all records."""
    pending = asyncio.get_running_loop().create_future()
    return mock.Mock(
        read_newest=mock.AsyncMock(side_effect=lambda _: pending),
        put=mock.AsyncMock(),
        close=mock.AsyncMock(),
    )


async def _start_entry(name, host, port, known=()):
    settings = entrydaemon.EntryDaemonSettings(
        name, "z1", host, port, 1.0, "keyed.op", "config"
    )
    daemon = entrydaemon.EntryDaemon(
        settings, _unavailable_store(), mock.Mock(), random.Random(1)
    )
    daemon._registration.registry.merge(known)
    await daemon.start()
    return daemon


async def test_surplus_connection_is_released_without_a_trace(monkeypatch):
    """All agents stayed connected with the few entry hosts that the settings name."""
    monkeypatch.setattr(subset, "LIMIT", 1)
    monkeypatch.setattr(subset, "OWN_ZONE_LIMIT", 1)
    port = _free_port()
    hosts = {"e1": "127.0.0.2", "e2": "127.0.0.3"}
    known = [
        assignments.EntryHost(name, f"{host}:{port}", "z1", 1)
        for name, host in hosts.items()
    ]
    chosen = subset.rank("a1", "z1", known)[0].name
    seed = "e1" if chosen == "e2" else "e2"
    entries = {
        name: await _start_entry(name, host, port, known)
        for name, host in hosts.items()
    }
    settings = agentdaemon.AgentDaemonSettings(
        "a1",
        "z1",
        (f"{hosts[seed]}:{port}",),
        1.0,
        executoractions.ExecutorSettings(release_s=0.3),
    )
    agent = agentdaemon.AgentDaemon(
        settings, LossyWorker(), _unavailable_store(), random.Random(1)
    )
    await agent.start()
    agent.handle_heartbeat(HEARTBEAT)
    async with asyncio.timeout(10):
        while seed not in agent._link_by_entry:
            await asyncio.sleep(0.01)
        while set(agent._link_by_entry) != {chosen}:
            await asyncio.sleep(0.01)
        while entries[seed].scheduler.fleet.view_by_agent:
            await asyncio.sleep(0.01)
    assert list(entries[chosen].scheduler.fleet.view_by_agent) == ["a1"]
    agent.links.close()
    for daemon in (agent, *entries.values()):
        await daemon.background.cancel()
    for daemon in entries.values():
        daemon._server.close()


def _free_port():
    with socket.socket() as listener:
        listener.bind(("0.0.0.0", 0))
        return listener.getsockname()[1]


async def test_renewal_with_a_newer_version_drops_the_older_copy():
    """A removed route came into force again at an entry host that asked this agent."""
    settings = agentdaemon.AgentDaemonSettings(
        "a1", "z1", (), 1.0, executoractions.ExecutorSettings()
    )
    daemon = agentdaemon.AgentDaemon(settings, mock.Mock(), mock.Mock())
    link = mock.Mock()
    daemon.handle_message(
        link, assignments.EntryHello(assignments.PROTOCOL, "e1", 7, "z1")
    )
    daemon.handle_message(link, assignments.Configuration(3, b"old"))
    assert daemon.executor.configuration_version == 3
    daemon.handle_message(link, assignments.Renewal(0, 0, 8))
    assert daemon.executor.configuration_version == 0
    link.reset_mock()
    daemon.handle_message(link, assignments.ConfigurationRequest(0))
    link.send.assert_not_called()


def _link_to(daemon, entry, boot):
    link = mock.Mock()
    daemon.handle_message(
        link, assignments.EntryHello(assignments.PROTOCOL, entry, boot, "z1")
    )
    return link


def _sent(link, kind):
    messages = (call.args[0] for call in link.send.call_args_list)
    return [message for message in messages if isinstance(message, kind)]


def test_evacuation_reaches_entry_hosts_that_do_not_know_it():
    """An entry host without the store went on assigning tasks to an emptied zone."""
    settings = agentdaemon.AgentDaemonSettings(
        "a1", "z1", (), 1.0, executoractions.ExecutorSettings()
    )
    with mock.patch("asyncio.get_running_loop"):
        daemon = agentdaemon.AgentDaemon(settings, mock.Mock(), mock.Mock())
        informed, other = _link_to(daemon, "e1", 7), _link_to(daemon, "e2", 8)
        request = assignments.Evacuations(5, ("z1",))
        daemon.handle_message(informed, request)
        assert daemon.executor.is_evacuated
        assert _sent(informed, assignments.Evacuations) == []
        assert _sent(other, assignments.Evacuations) == [request]
        restarted = _link_to(daemon, "e2", 9)
        assert _sent(restarted, assignments.Evacuations) == [request]
        daemon.handle_message(informed, assignments.Evacuations(7, ()))
        assert not daemon.executor.is_evacuated


async def test_stopping_agent_says_so_at_once():
    """Entry hosts assigned runs to it until its next periodic report."""
    settings = agentdaemon.AgentDaemonSettings(
        "a1", "z1", (), 1.0, executoractions.ExecutorSettings()
    )
    daemon = agentdaemon.AgentDaemon(
        settings, LossyWorker(), _unavailable_store(), random.Random(1)
    )
    link = mock.Mock()
    with mock.patch.object(daemon.links, "address_of", return_value="x"):
        daemon.handle_message(
            link, assignments.EntryHello(assignments.PROTOCOL, "e1", 7, "z1")
        )
    daemon.handle_heartbeat(HEARTBEAT)
    command = attrs.evolve(daemon.executor.next_poll(), wait_ms=0)
    await daemon._poll_once(command)
    daemon._report()
    assert _last_report(link).state is assignments.WorkerState.READY
    waiting = mock.Mock(side_effect=asyncio.CancelledError)
    with mock.patch.object(daemon, "_wait_until_idle", waiting):
        await asyncio.gather(daemon.stop(), return_exceptions=True)
    assert _last_report(link).state is assignments.WorkerState.DRAINING
    await daemon.background.cancel()


def _last_report(link):
    return [
        call.args[0]
        for call in link.send.call_args_list
        if isinstance(call.args[0], assignments.LoadReport)
    ][-1]


async def test_stop_of_an_agent_ends_in_time_whatever_it_waits_for():
    """A wait without a limit kept the process until it was killed."""
    settings = agentdaemon.AgentDaemonSettings(
        "a1", "z1", (), 0.5, executoractions.ExecutorSettings()
    )
    worker = mock.Mock(close=asyncio.get_running_loop().create_future)
    daemon = agentdaemon.AgentDaemon(settings, worker, _unavailable_store())
    stopping = asyncio.create_task(daemon.stop())
    await asyncio.wait({stopping}, timeout=5)
    assert stopping.cancelled()
