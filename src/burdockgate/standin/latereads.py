"""Faults after which processes read what others have sent a while before."""

from __future__ import annotations

import functools
import random

from burdockgate.standin import faultinjection, simnodes, simulation

# Callers return 1.6 to 2.3 s after a request that got no answer: their connections
# break after 0.3 to 1 s, and they send the job again 1.3 s later. An entry host that
# goes on around that time reads the first request beside the second.
AROUND_RETURN_S = (1.5, 3.2)
# The other standstills and cuts.
ANY_STANDSTILL_S = (0.1, 5.0)
AROUND_RETURN_SHARE = 0.7
# In which an agent that stands still may be given up by its entry hosts.
AGENT_STANDSTILL_S = (0.1, 3.0)

# Pauses of a process whose processor time is limited, and their interval.
PAUSE_S = (0.02, 0.28)
PAUSE_INTERVAL_S = 0.35
# A command that gets no answer may be carried out before and after the end of a lease.
COMMAND_DELAY_S = (0.05, 2.0)


def _draw_standstill_s(rng: random.Random) -> float:
    is_around = rng.random() < AROUND_RETURN_SHARE
    return rng.uniform(*(AROUND_RETURN_S if is_around else ANY_STANDSTILL_S))


def _random_entry(
    sim: simulation.Simulation, rng: random.Random
) -> simnodes.SimulatedEntryHost:
    return rng.choice(list(sim.entry_by_name.values()))


def strand_callers(sim: simulation.Simulation, rng: random.Random) -> str:
    """Freeze an entry host for longer than its callers wait."""
    entry, for_s = _random_entry(sim, rng), _draw_standstill_s(rng)
    if entry.is_up and not entry.is_frozen:
        entry.freeze(for_s)
    return f"freeze {entry.name} for {for_s:.2f} s"


def hold_requests(sim: simulation.Simulation, rng: random.Random) -> str:
    """Hold requests back on the link to an entry host, and deliver them."""
    entry, for_s = _random_entry(sim, rng), _draw_standstill_s(rng)
    sim.callers.hold(entry, for_s)
    return f"hold requests to {entry.name} for {for_s:.2f} s"


def freeze_agents(sim: simulation.Simulation, rng: random.Random) -> str:
    """Freeze a third of the agents; some lose their connections meanwhile."""
    agents = list(sim.agent_by_name.values())
    for_s = rng.uniform(*AGENT_STANDSTILL_S)
    names = []
    for agent in rng.sample(agents, max(1, len(agents) // 3)):
        if not agent.is_up or agent.is_frozen:
            continue
        names.append(agent.name)
        agent.freeze(for_s)
        if rng.random() < faultinjection.RESET_SHARE:
            sim.time.call_later(
                rng.uniform(0, for_s),
                lambda name=agent.name: sim.reset_connections(agent=name),  # type: ignore[misc]
            )
    return f"freeze {', '.join(names)} for {for_s:.2f} s"


def leave_beside_frozen_agents(sim: simulation.Simulation, rng: random.Random) -> str:
    """Freeze agents; callers of an entry host leave while its messages wait there."""
    frozen = freeze_agents(sim, rng)
    entry, delay_s = _random_entry(sim, rng), rng.uniform(0, 0.8)
    sim.time.call_later(
        delay_s, lambda: entry.reset_callers(faultinjection.RESET_SHARE, rng)
    )
    return f"{frozen}; callers of {entry.name} leave after {delay_s:.2f} s"


def delay_commands(sim: simulation.Simulation, rng: random.Random) -> str:
    """Let workers execute a third of the commands late, within their leases or not."""
    for_s = rng.uniform(0.5, 4)
    agents = list(sim.agent_by_name.values())
    chosen = rng.sample(agents, max(1, len(agents) // 2))
    for agent in chosen:
        faults = agent.worker.faults
        faults.unanswered_share, faults.late_range_s = 0.33, COMMAND_DELAY_S

    def end() -> None:
        for agent in chosen:
            agent.worker.faults.unanswered_share = 0.0

    sim.time.call_later(for_s, end)
    return f"delay commands of {len(chosen)} workers for {for_s:.1f} s"


def slow_entry(sim: simulation.Simulation, rng: random.Random) -> str:
    """Let an entry host stand still for a moment again and again, as if throttled."""
    entry, end_at = _random_entry(sim, rng), sim.time.now() + rng.uniform(1, 4)

    def stand_still() -> None:
        if sim.time.now() >= end_at:
            return
        if entry.is_up and not entry.is_frozen:
            entry.freeze(rng.uniform(*PAUSE_S))
        sim.time.call_later(PAUSE_INTERVAL_S, stand_still)

    stand_still()
    return f"slow {entry.name} until {end_at:.2f}"


def give_up(sim: simulation.Simulation, rng: random.Random) -> str:
    """Let callers of an entry host leave for good, one after the other."""
    entry = _random_entry(sim, rng)
    for connection in list(entry.connection_by_ticket.values()):
        if rng.random() < faultinjection.RESET_SHARE:
            leave = functools.partial(sim.callers.leave, connection, is_retrying=False)
            sim.time.call_later(rng.uniform(0, 0.3), leave)
    return f"callers of {entry.name} give up"


def cancel_late(sim: simulation.Simulation, rng: random.Random) -> str:
    """Freeze an entry host, and cancel jobs of its callers meanwhile."""
    entry, for_s = _random_entry(sim, rng), _draw_standstill_s(rng)
    cancelled = [
        connection.caller_job
        for connection in entry.connection_by_ticket.values()
        if rng.random() < faultinjection.RESET_SHARE
    ]
    if entry.is_up and not entry.is_frozen:
        entry.freeze(for_s)
    for caller_job in cancelled:
        sim.callers.cancel(caller_job, entry)
    return f"freeze {entry.name} for {for_s:.2f} s, cancel {len(cancelled)} jobs"


# Faults of which requests are read late.
REQUESTS: tuple[faultinjection.Fault, ...] = (strand_callers, hold_requests)
# Faults of which messages between agents and entry hosts are read late.
MESSAGES: tuple[faultinjection.Fault, ...] = (
    freeze_agents,
    leave_beside_frozen_agents,
    delay_commands,
)
# Faults of a bad day without cuts of the callers' links, to compare what is served.
BAD_DAY: tuple[faultinjection.Fault, ...] = (
    strand_callers,
    slow_entry,
    faultinjection.reset_connections,
    give_up,
    freeze_agents,
)
