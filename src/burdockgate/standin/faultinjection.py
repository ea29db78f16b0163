"""Injects random faults into the simulation of best-effort jobs."""

from __future__ import annotations

import random
from collections.abc import Callable

from burdockgate.standin import simnodes, simulation, simworker

Fault = Callable[[simulation.Simulation, random.Random], str]

# Share of the connections of an entry host that are reset at once.
RESET_SHARE = 0.55
# Entry hosts whose machines are off at the same time.
MAX_LOST_ENTRIES = 3


def _random_agent(
    sim: simulation.Simulation, rng: random.Random
) -> simnodes.SimulatedAgent:
    return rng.choice(list(sim.agent_by_name.values()))


def _random_entry(
    sim: simulation.Simulation, rng: random.Random
) -> simnodes.SimulatedEntryHost:
    return rng.choice(list(sim.entry_by_name.values()))


def _kill_agent_for(
    sim: simulation.Simulation, rng: random.Random, min_s: float, max_s: float
) -> str:
    agent, down_s = _random_agent(sim, rng), rng.uniform(min_s, max_s)
    if agent.is_up and not agent.is_frozen:
        agent.kill()
        sim.time.call_later(down_s, agent.restart)
    return f"kill {agent.name} for {down_s:.2f} s"


def kill_agent(sim: simulation.Simulation, rng: random.Random) -> str:
    """Kill an agent and start it again."""
    return _kill_agent_for(sim, rng, 0.2, 4)


def restart_agent(sim: simulation.Simulation, rng: random.Random) -> str:
    """Kill an agent and start it again while its earlier runs still hold a lease."""
    return _kill_agent_for(sim, rng, 0.05, 0.6)


def lose_entry(sim: simulation.Simulation, rng: random.Random) -> str:
    """Turn the machine of an entry host off for long, unless three are off.

    With more entry hosts than an agent serves, agents that have found out which of them
    are unreachable serve others than those that have just started.
    """
    entry, down_s = _random_entry(sim, rng), rng.uniform(6, 15)
    lost_count = sum(other.is_lost for other in sim.entry_by_name.values())
    if entry.is_up and not entry.is_frozen and lost_count < MAX_LOST_ENTRIES:
        entry.lose_power()
        sim.time.call_later(down_s, entry.restart)
    return f"lose {entry.name} for {down_s:.1f} s"


def kill_entry(sim: simulation.Simulation, rng: random.Random) -> str:
    """Kill an entry host and start it again."""
    entry, down_s = _random_entry(sim, rng), rng.uniform(0.2, 4)
    if entry.is_up and not entry.is_frozen:
        entry.kill()
        sim.time.call_later(down_s, entry.restart)
    return f"kill {entry.name} for {down_s:.1f} s"


def freeze_agent(sim: simulation.Simulation, rng: random.Random) -> str:
    """Freeze an agent for a while."""
    agent, for_s = _random_agent(sim, rng), rng.uniform(0.1, 5)
    if agent.is_up and not agent.is_frozen:
        agent.freeze(for_s)
    return f"freeze {agent.name} for {for_s:.1f} s"


def freeze_entry(sim: simulation.Simulation, rng: random.Random) -> str:
    """Freeze an entry host for a while."""
    entry, for_s = _random_entry(sim, rng), rng.uniform(0.1, 5)
    if entry.is_up and not entry.is_frozen:
        entry.freeze(for_s)
    return f"freeze {entry.name} for {for_s:.1f} s"


def cut_agent(sim: simulation.Simulation, rng: random.Random) -> str:
    """Partition an agent from some entry hosts, without a reset."""
    agent, for_s = _random_agent(sim, rng), rng.uniform(0.2, 6)
    for entry in sim.entry_by_name:
        if rng.random() < 0.7:
            sim.partition(agent.name, entry, for_s)
    return f"cut {agent.name} for {for_s:.1f} s"


def cut_entry(sim: simulation.Simulation, rng: random.Random) -> str:
    """Partition an entry host from some agents, without a reset."""
    entry, for_s = _random_entry(sim, rng), rng.uniform(0.2, 6)
    for agent in sim.agent_by_name:
        if rng.random() < 0.7:
            sim.partition(agent, entry.name, for_s)
    return f"cut {entry.name} for {for_s:.1f} s"


def reset_links(sim: simulation.Simulation, rng: random.Random) -> str:
    """Reset the connections of an entry host."""
    entry = _random_entry(sim, rng)
    sim.reset_connections(entry=entry.name)
    return f"reset {entry.name}"


def reset_connections(sim: simulation.Simulation, rng: random.Random) -> str:
    """Reset half of the connections of an entry host, with agents and with callers.

    The order to stop the jobs of those callers finds its connections broken.
    """
    entry = _random_entry(sim, rng)
    for agent in sim.agent_by_name:
        if rng.random() < RESET_SHARE:
            sim.reset_connections(agent=agent, entry=entry.name)
    entry.reset_callers(RESET_SHARE, rng)
    return f"reset connections and callers of {entry.name}"


def _inject_worker_fault(
    sim: simulation.Simulation,
    rng: random.Random,
    description: str,
    begin: Callable[[simworker.Faults], None],
    end: Callable[[simworker.Faults], None],
) -> str:
    for_s = rng.uniform(0.5, 6)
    agents = list(sim.agent_by_name.values())
    for agent in rng.sample(agents, rng.randint(1, len(agents) // 2)):
        faults = agent.worker.faults
        begin(faults)
        sim.time.call_later(for_s, lambda faults=faults: end(faults))  # type: ignore[misc]
    return f"{description} for {for_s:.1f} s"


def lose_commands(sim: simulation.Simulation, rng: random.Random) -> str:
    """Let workers leave some commands unanswered and execute them late."""

    def begin(faults: simworker.Faults) -> None:
        faults.unanswered_share = 0.2

    def end(faults: simworker.Faults) -> None:
        faults.unanswered_share = 0.0

    return _inject_worker_fault(sim, rng, "late commands", begin, end)


def cut_worker(sim: simulation.Simulation, rng: random.Random) -> str:
    """Make workers unreachable for their agents while their runs continue."""

    def begin(faults: simworker.Faults) -> None:
        faults.is_unreachable = True

    def end(faults: simworker.Faults) -> None:
        faults.is_unreachable = False

    return _inject_worker_fault(sim, rng, "workers cut", begin, end)


def kill_entry_amid_lost_commands(
    sim: simulation.Simulation, rng: random.Random
) -> str:
    """Kill an entry host while workers leave half of all commands unanswered."""
    entry = _random_entry(sim, rng)
    workers = [agent.worker for agent in sim.agent_by_name.values()]
    for worker in workers:
        worker.faults.unanswered_share = 0.5
    if entry.is_up and not entry.is_frozen:
        entry.kill()

    def end() -> None:
        for worker in workers:
            worker.faults.unanswered_share = 0.0
        if not entry.is_up:
            entry.restart()

    sim.time.call_later(2.5, end)
    return f"kill {entry.name} for 2.5 s, half of the commands late"


def fail_worker(sim: simulation.Simulation, rng: random.Random) -> str:
    """Let workers fail every run that they start."""

    def begin(faults: simworker.Faults) -> None:
        faults.is_failing = True

    def end(faults: simworker.Faults) -> None:
        faults.is_failing = False

    return _inject_worker_fault(sim, rng, "workers fail", begin, end)


def hang_worker(sim: simulation.Simulation, rng: random.Random) -> str:
    """Let workers hang, so that their runs make no progress."""

    def begin(faults: simworker.Faults) -> None:
        faults.is_hanging = True

    def end(faults: simworker.Faults) -> None:
        faults.is_hanging = False

    return _inject_worker_fault(sim, rng, "workers hang", begin, end)


def slow_worker(sim: simulation.Simulation, rng: random.Random) -> str:
    """Slow workers down by a factor of 3 to 8."""
    factor = rng.uniform(3, 8)

    def begin(faults: simworker.Faults) -> None:
        faults.slow_factor = factor

    def end(faults: simworker.Faults) -> None:
        faults.slow_factor = 1.0

    return _inject_worker_fault(sim, rng, "workers slow", begin, end)


def restart_worker(sim: simulation.Simulation, rng: random.Random) -> str:
    """Restart a worker under the same identifier."""
    agent = _random_agent(sim, rng)
    agent.worker.restart()
    return f"restart {agent.worker.name}"


# The seeds of earlier failures are drawn from these.
ALL: tuple[Fault, ...] = (
    kill_agent,
    kill_entry,
    freeze_agent,
    freeze_entry,
    cut_agent,
    cut_entry,
    reset_links,
    lose_commands,
    cut_worker,
    fail_worker,
    hang_worker,
    slow_worker,
    restart_worker,
)
# Faults that reach callers and agents at once.
COMBINED: tuple[Fault, ...] = (reset_connections, kill_entry_amid_lost_commands)
# Faults that make agents release entry hosts, where there are more than they serve.
RELEASING: tuple[Fault, ...] = (lose_entry, restart_agent)


def schedule(
    sim: simulation.Simulation,
    seed: int,
    begin: float,
    end: float,
    count: int,
    kinds: tuple[Fault, ...] = ALL,
) -> list[str]:
    """Schedule faults at random times; several may be active at once.

    :param sim: the simulation.
    :param seed: seed of the faults.
    :param begin: earliest time of a fault, in seconds from now.
    :param end: latest time of a fault, in seconds from now.
    :param count: number of faults.
    :param kinds: functions from which the faults are chosen.
    :returns: times and descriptions of the injected faults, appended while the
        simulation runs.
    """
    rng = random.Random(seed)
    injected: list[str] = []
    for _ in range(count):
        fault = rng.choice(kinds)
        at = rng.uniform(begin, end)

        def inject(fault: Fault = fault) -> None:
            injected.append(f"{sim.time.now():.3f} {fault(sim, rng)}")

        sim.time.call_later(at, inject)
    return injected
