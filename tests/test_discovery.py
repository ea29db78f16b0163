"""Nodes find each other although their settings name hosts that are gone."""

import asyncio
import contextlib

import attrs
import pytest

from burdockgate import settings
from burdockgate.standin import local, log

DEAD = "127.0.0.1:1"
LIMIT_S = 15.0


@pytest.fixture
async def system():
    """Yield a local system whose nodes get other ``[platform]`` settings on request."""
    async with contextlib.AsyncExitStack() as stack:
        started = local.LocalSystem(local.LocalSettings(entries=1, agents=1, slots=2))
        await started.start()
        stack.push_async_callback(started.stop)
        yield started


async def until(condition):
    async with asyncio.timeout(LIMIT_S):
        while not condition():
            await asyncio.sleep(0.02)


def use(system, monkeypatch, **platform):
    """Let the next nodes of a system start with these platform settings."""
    fresh = attrs.evolve(system._platform_settings(), **platform)
    monkeypatch.setattr(system, "_platform_settings", lambda: fresh)


def knows(system, name):
    return any(name in entry.core.workers.worker_by_name for entry in system.entries)


async def test_agent_with_stale_seeds_finds_the_log(system, monkeypatch):
    """Every seed of the settings has been replaced since they were written."""
    use(system, monkeypatch, seeds=(DEAD,))
    await system.add_agent("late", 5)
    await until(lambda: knows(system, "late"))


async def test_agent_finds_a_seed_while_the_log_is_down(system, monkeypatch):
    """An agent that starts in an outage of the log must still take work."""
    use(system, monkeypatch, seeds=(DEAD, system.entries[0].address))
    system.log.store.set_faults(log.Faults(down=True))
    await system.add_agent("late", 5)
    await until(lambda: knows(system, "late"))


async def test_agent_learns_the_other_entry_hosts_from_one(system, monkeypatch):
    """One reachable seed is enough to be known to all entry hosts."""
    first = system.entries[0].address
    await system.add_entry("entry-2", 1)
    await until(lambda: system.entries[1].core.jobs.peer_by_name)
    use(system, monkeypatch, seeds=(first,))
    await system.add_agent("late", 5)
    await until(
        lambda: all(
            "late" in entry.core.workers.worker_by_name for entry in system.entries
        )
    )


async def test_entry_host_with_stale_seeds_finds_its_peers(system, monkeypatch):
    """An entry host learns its peers from the log."""
    use(system, monkeypatch, seeds=(DEAD,))
    late = await system.add_entry("entry-2", 1)
    await until(lambda: "entry-1" in late.core.jobs.peer_by_name)
    await until(lambda: late.core.view.voter_by_name)


async def test_entry_host_that_starts_in_an_outage_learns_the_view(system, monkeypatch):
    """Without the log, the view comes from a peer."""
    use(system, monkeypatch, seeds=(system.entries[0].address,))
    assert isinstance(system._platform_settings(), settings.PlatformSettings)
    system.log.store.set_faults(log.Faults(down=True))
    late = await system.add_entry("entry-2", 1)
    await until(lambda: late.core.view.number == system.entries[0].core.view.number)
