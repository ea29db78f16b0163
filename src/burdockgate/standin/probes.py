"""Probes that measure costs; each returns values for one size and seed."""

from __future__ import annotations

import functools
import random
import time
import tracemalloc
from collections.abc import Callable, Iterator, Mapping

import attrs

from burdockgate import clock, codes, messages, wire
from burdockgate.process import agent, entry
from burdockgate.standin import costmeter, httpcost, startrate
from burdockgate.version import table, view

US_PER_S = 1_000_000
LOAD_SHARE = 0.7
IDLE_S = 8.0
HEARTBEAT_INTERVAL_S = 0.8
OWNER = costmeter.hello(messages.Role.ENTRY, 0)

Values = Mapping[str, float]


@attrs.frozen
class Probe:
    """A measurement over several sizes.

    :param parameter: what the size counts.
    :param sizes: the sizes, at least three.
    :param measure: takes a size and a seed; returns values by name with unit.
    """

    parameter: str
    sizes: tuple[int, ...]
    measure: Callable[[int, int], Values]


def jobs(tasks: int, seed: int) -> Values:
    """Run jobs on 11 agents at 70% load; costs are per job.

    :param tasks: number of tasks of a job.
    :param seed: seed of the load.
    """
    return _measure_load(11, tasks, max(3, min(42, 840 // tasks)), seed)


def workers(agents: int, seed: int) -> Values:
    """Run 70% load for 11 agents, in jobs of 20 tasks, on any number of agents.

    Costs are per start of a task.

    :param agents: number of agents.
    :param seed: seed of the load.
    """
    values = _measure_load(agents, 20, 20, seed, slots=11 * costmeter.SLOTS)
    return {
        "entry host µs a start": values["entry host µs"] / 20,
        "entry host messages a start": values["entry host messages sent"] / 20,
        "entry host bytes a start": values["entry host bytes sent"] / 20,
    }


def _measure_load(
    agents: int, tasks: int, job_count: int, seed: int, slots: int = 0
) -> Values:
    system = costmeter.System(agents, seed)
    slots = slots or agents * costmeter.SLOTS
    run_s = (costmeter.RUN_MIN_S + costmeter.RUN_MAX_S) / 2
    gap_s = tasks * run_s / (slots * LOAD_SHARE)
    for ticket in range(job_count):
        system.call_later(
            ticket * gap_s, functools.partial(system.submit, ticket, tasks)
        )
    while len(system.answers) < job_count:
        system.run(1.0)
    _check_complete(system, job_count * tasks)
    agents_cost, entry_cost = system.agent_cost(), system.entry.cost
    return {
        "entry host µs": entry_cost.cpu_s / job_count * US_PER_S,
        "entry host messages sent": entry_cost.sent / job_count,
        "entry host bytes sent": entry_cost.sent_bytes / job_count,
        "agents µs": agents_cost.cpu_s / job_count * US_PER_S,
        "agents messages sent": agents_cost.sent / job_count,
        "agents bytes sent": agents_cost.sent_bytes / job_count,
    }


def _check_complete(system: costmeter.System, starts: int) -> None:
    """Raise if not all jobs completed, since the costs would mean nothing."""
    seen_codes = {answer.outcome.code for answer in system.answers}
    if seen_codes != {codes.Code.COMPLETE} or system.starts != starts:
        raise AssertionError(f"{system.starts} starts of {starts}, codes {seen_codes}")


def backlog(count: int, seed: int) -> Values:
    """Measure a received heartbeat and a tick while jobs wait for a slot."""
    system = costmeter.System(3, seed)
    for ticket in range(count):
        system.submit(ticket, 20)
    system.run(0.02)
    frame = wire.encode(messages.Heartbeat(0, _view_of(system.entry).number))
    process, name = system.entry, system.agents[0].name
    process.cost = costmeter.Cost()
    for _ in range(50):
        process.receive(name, frame)
    per_message_us = process.cost.cpu_s / 50 * US_PER_S
    process.cost = costmeter.Cost()
    for _ in range(20):
        process.execute(_entry_core(process).tick)
    return {
        "entry host µs a received message": per_message_us,
        "entry host µs a tick": process.cost.cpu_s / 20 * US_PER_S,
    }


def many_workers(count: int, seed: int) -> Values:
    """Run jobs of 20 tasks on many workers, 64 of which vote."""
    bench = startrate.Bench(count, 20, seed, voters=64)
    bench.run(200, in_progress=10)
    per_s = bench.run(1000, in_progress=10)
    return {
        "entry host µs a start, free workers": US_PER_S / per_s,
        "entry host messages a start, free workers": bench.messages / bench.started,
    }


def many_jobs(count: int, seed: int) -> Values:
    """Measure a tick and the disconnect of a caller while many jobs wait."""
    system = costmeter.System(3, seed)
    for ticket in range(count):
        system.submit(ticket, 1)
    system.run(0.2)
    process = system.entry
    core = _entry_core(process)
    process.cost = costmeter.Cost()
    for _ in range(20):
        process.execute(core.tick)
    per_tick, process.cost = process.cost.cpu_s / 20, costmeter.Cost()
    begin = time.process_time()
    for ticket in range(count - 50, count):
        core.jobs.remove_caller(ticket)
    return {
        "entry host µs a tick, waiting jobs of 1": per_tick * US_PER_S,
        "entry host µs a caller that leaves": (time.process_time() - begin)
        / 50
        * US_PER_S,
    }


def _entry_core(process: costmeter.Process) -> entry.EntryCore:
    assert isinstance(process.core, entry.EntryCore)
    return process.core


def _agent_core(process: costmeter.Process) -> agent.AgentCore:
    assert isinstance(process.core, agent.AgentCore)
    return process.core


def _view_of(process: costmeter.Process) -> view.View:
    return _entry_core(process).view


def idle_entry(agents: int, seed: int) -> Values:
    """Measure an idle entry host with connected agents; costs are per second."""
    process, now = _entry_with_connections(agents, 0, seed)
    return _measure_idle(process, now, "entry host")


def idle_entry_with_peers(peers: int, seed: int) -> Values:
    """Measure an idle entry host with connected entry hosts and 11 agents."""
    process, now = _entry_with_connections(11, peers, seed)
    return _measure_idle(process, now, "entry host")


def idle_agent(entries: int, seed: int) -> Values:
    """Measure an idle agent with connected entry hosts; costs are per second."""
    now = clock.ManualClock(100.0)
    process = costmeter.agent_process(0, now)
    _agent_core(process).claims.catchup.view = costmeter.view_of_members(64, entries)
    for index in range(entries):
        other = costmeter.hello(messages.Role.ENTRY, index)
        process.execute(functools.partial(process.core.handle_connect, other))
    return _measure_idle(process, now, "agent")


def _entry_with_connections(
    agents: int, peers: int, seed: int
) -> tuple[costmeter.Process, clock.ManualClock]:
    now = clock.ManualClock(100.0)
    process = costmeter.entry_process(0, now, random.Random(seed))
    _entry_core(process).jobs.view = costmeter.view_of_members(agents, peers + 1)
    roles = [(messages.Role.AGENT, agents, 0), (messages.Role.ENTRY, peers, 1)]
    for role, count, first in roles:
        for index in range(first, first + count):
            other = costmeter.hello(role, index)
            process.execute(functools.partial(process.core.handle_connect, other))
    return process, now


def _measure_idle(
    process: costmeter.Process, now: clock.ManualClock, role: str
) -> Values:
    """Tick, and exchange heartbeats with every connected node, for ``IDLE_S``."""
    process.execute(process.core.send_heartbeats)
    process.cost = costmeter.Cost()
    heartbeat_count = round(IDLE_S / HEARTBEAT_INTERVAL_S)
    view_number = _view_number(process)
    frame = wire.encode(messages.Heartbeat(0, view_number))
    for _ in range(heartbeat_count):
        for _ in range(round(HEARTBEAT_INTERVAL_S / costmeter.TICK_S)):
            now.advance(costmeter.TICK_S)
            process.execute(process.core.tick)
        sent = process.execute(process.core.send_heartbeats)
        for item in sent:
            if isinstance(item, costmeter.Frame):
                process.receive(item.to, frame)
    cost = process.cost
    return {
        f"{role} at rest, µs a second": cost.cpu_s / IDLE_S * US_PER_S,
        f"{role} at rest, messages sent a second": cost.sent / IDLE_S,
        f"{role} at rest, bytes sent a second": cost.sent_bytes / IDLE_S,
    }


def _view_number(process: costmeter.Process) -> int:
    if isinstance(process.core, agent.AgentCore):
        return process.core.table_and_view_versions[1]
    return process.core.view.number


def claim_group(voters: int, seed: int) -> Values:
    """Measure the choice of a claim group among the voters."""
    member_view = costmeter.view_of_members(voters, 1)
    rng = random.Random(seed)
    ids = [rng.randbytes(16) for _ in range(max(20, 4000 // voters))]
    begin = time.process_time()
    for id_ in ids:
        member_view.group(id_)
    return {"View.group µs": (time.process_time() - begin) / len(ids) * US_PER_S}


def vote(voters: int, seed: int) -> Values:
    """Measure a vote on a claim with a scope of 64 agents."""
    values = _measure_vote(voters, 64, seed)
    return {"claim vote at the agent, µs": values["claim vote at the agent, µs"]}


def scope(agents: int, seed: int) -> Values:
    """Measure a vote of one of 64 voters, by the number of agents in the scope."""
    return _measure_vote(64, agents, seed)


def _measure_vote(voters: int, agents: int, seed: int) -> Values:
    process = voting_agent(voters)
    frames = list(claim_frames(process, agents, 50, random.Random(seed)))
    process.cost = costmeter.Cost()
    for frame in frames:
        process.receive(OWNER.node.name, frame)
    return {
        "claim vote at the agent, µs": process.cost.cpu_s / len(frames) * US_PER_S,
        "claim frame, bytes": sum(map(len, frames)) / len(frames),
        "claim reply, bytes": process.cost.sent_bytes / len(frames),
    }


def sync(count: int, seed: int) -> Values:
    """Measure how one of 64 voters sends its claims to another that catches up."""
    process = voting_agent(64)
    for frame in claim_frames(process, 3, count, random.Random(seed)):
        process.receive(OWNER.node.name, frame)
    other = costmeter.hello(messages.Role.AGENT, 1)
    process.execute(lambda: process.core.handle_connect(other))
    process.cost = costmeter.Cost()
    frame = wire.encode(messages.Sync(_view_number(process)))
    process.receive(other.node.name, frame)
    return {"one Sync at an agent, µs": process.cost.cpu_s * US_PER_S}


def voting_agent(voters: int) -> costmeter.Process:
    """Return a voting agent to which one entry host is connected.

    :param voters: number of voters in its view.
    """
    process = costmeter.agent_process(0, clock.ManualClock(100.0))
    _agent_core(process).claims.catchup.advance(costmeter.view_of_members(voters, 1))
    process.execute(lambda: process.core.handle_connect(OWNER))
    return process


def claim_frames(
    process: costmeter.Process, agents: int, count: int, rng: random.Random
) -> Iterator[bytes]:
    """Yield encoded claims whose claim group includes a voter.

    :param process: process of the voter.
    :param agents: number of agents in the scope.
    :param count: number of claims.
    :param rng: the source of random job ids.
    """
    core = _agent_core(process)
    members = core.claims.catchup.view
    nodes = tuple(costmeter.hello(messages.Role.AGENT, i).node for i in range(agents))
    while count:
        id_ = rng.randbytes(16)
        chosen = members.group(id_)
        if any(core.node.is_same_incarnation(node) for node in chosen):
            count -= 1
            fields = (id_, members.number, chosen, 1, 1, OWNER.node, id_, nodes)
            yield wire.encode(messages.Claim(*fields, 60_000, True, 900))


def rows(count: int, seed: int) -> Values:
    """Measure changes of rows, the memory and the snapshot of a table."""
    rng = random.Random(seed)
    values = [_set_value(index, rng) for index in range(count)]
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    full_table = table.Table()
    for offset, value in enumerate(values):
        full_table, _ = table.fold(
            full_table, messages.LogRecord(offset, str(offset), value)
        )
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    begin = time.process_time()
    changed = full_table
    for offset in range(count, count + 50):
        row = rng.randrange(count)
        value = _set_value(row, rng, changed.row_version(("class", f"team-{row:05d}")))
        record = messages.LogRecord(offset, str(offset), value)
        changed, _ = table.fold(changed, record)
    spent = (time.process_time() - begin) / 50
    return {
        "table: µs a row change": spent * US_PER_S,
        "table: bytes of memory": after - before,
        "table: bytes of a snapshot": len(table.snapshot_record(full_table)),
    }


def _set_value(index: int, rng: random.Random, based_on: int = 0) -> bytes:
    row = table.Row("class", f"team-{index:05d}", rng.uniform(0.5, 4), 1000, 500.0)
    return table.row_record(row, based_on)


def announcement(agents: int, seed: int) -> Values:
    """Measure the connection of one more agent, then of one more entry host."""
    process, _ = _entry_with_connections(agents, 3, seed)
    process.cost = costmeter.Cost()
    process.execute(
        lambda: process.core.handle_connect(
            costmeter.hello(messages.Role.AGENT, agents)
        )
    )
    agent_cost, process.cost = process.cost, costmeter.Cost()
    process.execute(
        lambda: process.core.handle_connect(costmeter.hello(messages.Role.ENTRY, 4))
    )
    return {
        "new agent: messages of an entry host": agent_cost.sent,
        "new agent: bytes of an entry host": agent_cost.sent_bytes,
        "new agent: µs at an entry host": agent_cost.cpu_s * US_PER_S,
        "new entry host: messages of an entry host": process.cost.sent,
        "new entry host: bytes of an entry host": process.cost.sent_bytes,
        "new entry host: µs at an entry host": process.cost.cpu_s * US_PER_S,
    }


def peers(entries: int, seed: int) -> Values:
    """Measure the list of entry hosts that each new agent is sent."""
    process, _ = _entry_with_connections(11, entries - 1, seed)
    process.cost = costmeter.Cost()
    process.execute(
        lambda: process.core.handle_connect(costmeter.hello(messages.Role.AGENT, 11))
    )
    return {"new agent: bytes of the list of entry hosts": process.cost.sent_bytes}


def view_change(agents: int, seed: int) -> Values:
    """Measure a new voter in the view at an entry host, and at a voting agent."""
    process, now = _entry_with_connections(agents, 0, seed)
    other = costmeter.agent_process(0, now)
    _agent_core(other).claims.catchup.view = _view_of(process)
    owner = costmeter.hello(messages.Role.ENTRY, 0)
    other.execute(lambda: other.core.handle_connect(owner))
    number = _view_of(process).number
    # Records of members are sent only to agents whose view is known.
    heartbeat = messages.Heartbeat(0, number)
    for index in range(agents):
        name = costmeter.hello(messages.Role.AGENT, index).node.name
        process.receive(name, wire.encode(heartbeat))
    added = view.voter_record(costmeter.hello(messages.Role.AGENT, agents))
    record = messages.LogRecord(number, "new", added)
    records = messages.Records(view.STREAM, number, number + 1, (record,))
    process.cost = costmeter.Cost()
    core = _entry_core(process)
    sent = process.execute(lambda: core.follow(records))
    frame = next(item for item in sent if isinstance(item, costmeter.Frame))
    other.cost = costmeter.Cost()
    effects = other.receive(owner.node.name, frame.data)
    return {
        "view change: µs at the entry host": process.cost.cpu_s * US_PER_S,
        "view change: messages of the entry host": process.cost.sent,
        "view change: bytes of the entry host": process.cost.sent_bytes,
        "view change: µs at a voting agent": other.cost.cpu_s * US_PER_S,
        "view change: dials of a voting agent": len(effects),
    }


PROBES = (
    Probe("tasks of a job", (20, 80, 280), jobs),
    Probe("agents connected", (11, 64, 256), workers),
    Probe("jobs of 20 tasks waiting", (10, 50, 250), backlog),
    Probe("workers", (100, 1000, 10_000), many_workers),
    Probe("jobs waiting", (100, 1000, 10_000), many_jobs),
    Probe("agents connected", (16, 64, 256), idle_entry),
    Probe("other entry hosts connected", (1, 4, 16), idle_entry_with_peers),
    Probe("entry hosts connected", (1, 4, 16), idle_agent),
    Probe("voters", (11, 64, 256, 1024), claim_group),
    Probe("voters", (11, 64, 256), vote),
    Probe("agents in the scope", (3, 16, 64), scope),
    Probe("claims held, 64 voters", (100, 200, 400), sync),
    Probe("rows", (100, 380, 1520), rows),
    Probe("agents connected", (16, 64, 256), announcement),
    Probe("entry hosts", (4, 16, 64), peers),
    Probe("agents connected, all voters", (16, 64, 255), view_change),
    Probe("calls", (50, 100, 200), httpcost.measure_http_calls),
)
