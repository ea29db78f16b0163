"""Tests of discovery with seeds or a log in the settings that cannot be reached."""

import asyncio
import contextlib

import attrs
import pytest

from burdockgate import settings
from burdockgate.standin import local, log

UNREACHABLE = "127.0.0.1:1"
LIMIT_S = 15.0


@pytest.fixture
async def system():
    """Yield a started local system of one entry host and one agent."""
    async with contextlib.AsyncExitStack() as stack:
        started = local.LocalSystem(local.LocalSettings(entries=1, agents=1, slots=2))
        await started.start()
        stack.push_async_callback(started.stop)
        yield started


async def wait_until(condition):
    async with asyncio.timeout(LIMIT_S):
        while not condition():
            await asyncio.sleep(0.02)


def set_platform(system, monkeypatch, **platform):
    """Start further nodes of a system with these platform settings."""
    changed = attrs.evolve(system._platform_settings(), **platform)
    monkeypatch.setattr(system, "_platform_settings", lambda: changed)


def knows(system, name):
    return any(name in entry.core.workers.worker_by_name for entry in system.entries)


async def test_agent_with_stale_seeds_finds_the_log(system, monkeypatch):
    """All seeds may have been replaced since the settings were written."""
    set_platform(system, monkeypatch, seeds=(UNREACHABLE,))
    await system.add_agent("late", 5)
    await wait_until(lambda: knows(system, "late"))


async def test_agent_finds_a_seed_while_the_log_is_down(system, monkeypatch):
    """An agent that starts during an outage of the log must still get tasks."""
    set_platform(system, monkeypatch, seeds=(UNREACHABLE, system.entries[0].address))
    system.log.store.set_faults(log.Faults(down=True))
    await system.add_agent("late", 5)
    await wait_until(lambda: knows(system, "late"))


async def test_agent_learns_the_other_entry_hosts_from_one(system, monkeypatch):
    """One reachable seed must suffice for an agent to connect to all entry hosts."""
    first = system.entries[0].address
    await system.add_entry("entry-2", 1)
    await wait_until(lambda: system.entries[1].core.jobs.peer_by_name)
    set_platform(system, monkeypatch, seeds=(first,))
    await system.add_agent("late", 5)
    await wait_until(
        lambda: all(
            "late" in entry.core.workers.worker_by_name for entry in system.entries
        )
    )


async def test_entry_host_with_stale_seeds_finds_its_peers(system, monkeypatch):
    """An entry host must find its peers by the log when no seed can be reached."""
    set_platform(system, monkeypatch, seeds=(UNREACHABLE,))
    late = await system.add_entry("entry-2", 1)
    await wait_until(lambda: "entry-1" in late.core.jobs.peer_by_name)
    await wait_until(lambda: late.core.view.voter_by_name)


async def test_entry_host_that_starts_in_an_outage_learns_the_view(system, monkeypatch):
    """Without the log, an entry host must get the view from a peer."""
    set_platform(system, monkeypatch, seeds=(system.entries[0].address,))
    assert isinstance(system._platform_settings(), settings.PlatformSettings)
    system.log.store.set_faults(log.Faults(down=True))
    late = await system.add_entry("entry-2", 1)
    await wait_until(
        lambda: late.core.view.number == system.entries[0].core.view.number
    )
