"""What the bench measures: each probe gives values at one size and seed."""

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
LOAD = 0.7
REST_S = 8.0
BEAT_S = 0.8
OWNER = costmeter.hello(messages.Role.ENTRY, 0)

Values = Mapping[str, float]


@attrs.frozen
class Probe:
    """A measure over sizes.

    :param against: what the size counts.
    :param sizes: the sizes, at least three.
    :param take: returns values by name and unit, at a size and with a seed.
    """

    against: str
    sizes: tuple[int, ...]
    take: Callable[[int, int], Values]


def jobs(tasks: int, seed: int) -> Values:
    """Run jobs of some tasks on 11 agents at 70% load; costs are for each job."""
    return _load(11, tasks, max(3, min(42, 840 // tasks)), seed)


def workers(agents: int, seed: int) -> Values:
    """Run the same jobs of 20 tasks with some agents; costs are for each start."""
    values = _load(agents, 20, 20, seed, slots=11 * costmeter.SLOTS)
    return {
        "entry host µs a start": values["entry host µs"] / 20,
        "entry host messages a start": values["entry host messages sent"] / 20,
        "entry host bytes a start": values["entry host bytes sent"] / 20,
    }


def _load(agents: int, tasks: int, count: int, seed: int, slots: int = 0) -> Values:
    system = costmeter.System(agents, seed)
    slots = slots or agents * costmeter.SLOTS
    run_s = (costmeter.RUN_MIN_S + costmeter.RUN_MAX_S) / 2
    gap_s = tasks * run_s / (slots * LOAD)
    for ticket in range(count):
        system.later(ticket * gap_s, functools.partial(system.submit, ticket, tasks))
    while len(system.answers) < count:
        system.run(1.0)
    _check(system, count * tasks)
    at_agents, at_entry = system.agent_cost(), system.entry.cost
    return {
        "entry host µs": at_entry.cpu_s / count * US_PER_S,
        "entry host messages sent": at_entry.sent / count,
        "entry host bytes sent": at_entry.sent_bytes / count,
        "agents µs": at_agents.cpu_s / count * US_PER_S,
        "agents messages sent": at_agents.sent / count,
        "agents bytes sent": at_agents.sent_bytes / count,
    }


def _check(system: costmeter.System, starts: int) -> None:
    """Fail when a run was not whole, because its costs would mean nothing."""
    codes_seen = {answer.outcome.code for answer in system.answers}
    if codes_seen != {codes.Code.COMPLETE} or system.starts != starts:
        raise AssertionError(f"{system.starts} starts of {starts}, codes {codes_seen}")


def backlog(count: int, seed: int) -> Values:
    """Give a heartbeat to an entry host where some jobs wait for a slot."""
    system = costmeter.System(3, seed)
    for ticket in range(count):
        system.submit(ticket, 20)
    system.run(0.02)
    frame = wire.encode(messages.Heartbeat(0, _view_of(system.entry).number))
    process, name = system.entry, system.agents[0].name
    process.cost = costmeter.Cost()
    for _ in range(50):
        process.receive(name, frame)
    per_message = process.cost.cpu_s / 50 * US_PER_S
    process.cost = costmeter.Cost()
    for _ in range(20):
        process.run(_entry_core(process).tick)
    return {
        "entry host µs a received message": per_message,
        "entry host µs a tick": process.cost.cpu_s / 20 * US_PER_S,
    }


def many_workers(count: int, seed: int) -> Values:
    """Run jobs of 20 tasks at an entry host with many workers, 64 of them voters."""
    bench = startrate.Bench(count, 20, seed, voters=64)
    bench.run(200, in_progress=10)
    per_s = bench.run(1000, in_progress=10)
    return {
        "entry host µs a start, free workers": US_PER_S / per_s,
        "entry host messages a start, free workers": bench.messages / bench.started,
    }


def many_jobs(count: int, seed: int) -> Values:
    """Tick an entry host, and let callers leave, while many jobs wait."""
    system = costmeter.System(3, seed)
    for ticket in range(count):
        system.submit(ticket, 1)
    system.run(0.2)
    process = system.entry
    core = _entry_core(process)
    process.cost = costmeter.Cost()
    for _ in range(20):
        process.run(core.tick)
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


def entry_rest(agents: int, seed: int) -> Values:
    """Let an entry host rest with some agents connected; costs are for a second."""
    process, now = _joined_entry(agents, 0, seed)
    return _rest(process, now, "entry host")


def peer_rest(peers: int, seed: int) -> Values:
    """Let an entry host rest with some other entry hosts and 11 agents."""
    process, now = _joined_entry(11, peers, seed)
    return _rest(process, now, "entry host")


def agent_rest(entries: int, seed: int) -> Values:
    """Let an agent rest with some entry hosts; costs are for a second."""
    now = clock.ManualClock(100.0)
    process = costmeter.agent_process(0, now)
    _agent_core(process).claims.catchup.view = costmeter.members(64, entries)
    for index in range(entries):
        other = costmeter.hello(messages.Role.ENTRY, index)
        process.run(functools.partial(process.core.handle_connect, other))
    return _rest(process, now, "agent")


def _joined_entry(
    agents: int, peers: int, seed: int
) -> tuple[costmeter.Process, clock.ManualClock]:
    now = clock.ManualClock(100.0)
    process = costmeter.entry_process(0, now, random.Random(seed))
    _entry_core(process).jobs.view = costmeter.members(agents, peers + 1)
    roles = [(messages.Role.AGENT, agents, 0), (messages.Role.ENTRY, peers, 1)]
    for role, count, first in roles:
        for index in range(first, first + count):
            other = costmeter.hello(role, index)
            process.run(functools.partial(process.core.handle_connect, other))
    return process, now


def _rest(process: costmeter.Process, now: clock.ManualClock, role: str) -> Values:
    """Tick, and send and answer the heartbeats of every connected node for a while."""
    process.run(process.core.send_heartbeats)
    process.cost = costmeter.Cost()
    beats = round(REST_S / BEAT_S)
    number = _number_of(process)
    frame = wire.encode(messages.Heartbeat(0, number))
    for _ in range(beats):
        for _ in range(round(BEAT_S / costmeter.TICK_S)):
            now.advance(costmeter.TICK_S)
            process.run(process.core.tick)
        sent = process.run(process.core.send_heartbeats)
        for item in sent:
            if isinstance(item, costmeter.Frame):
                process.receive(item.to, frame)
    cost = process.cost
    return {
        f"{role} at rest, µs a second": cost.cpu_s / REST_S * US_PER_S,
        f"{role} at rest, messages sent a second": cost.sent / REST_S,
        f"{role} at rest, bytes sent a second": cost.sent_bytes / REST_S,
    }


def _number_of(process: costmeter.Process) -> int:
    if isinstance(process.core, agent.AgentCore):
        return process.core.table_and_view_versions[1]
    return process.core.view.number


def group(voters: int, seed: int) -> Values:
    """Compute claim groups among some voters."""
    members = costmeter.members(voters, 1)
    rng = random.Random(seed)
    ids = [rng.randbytes(16) for _ in range(max(20, 4000 // voters))]
    begin = time.process_time()
    for id_ in ids:
        members.group(id_)
    return {"View.group µs": (time.process_time() - begin) / len(ids) * US_PER_S}


def vote(voters: int, seed: int) -> Values:
    """Ask an agent for its vote, with a scope of 64 agents."""
    values = _vote(voters, 64, seed)
    return {"claim vote at the agent, µs": values["claim vote at the agent, µs"]}


def scope(agents: int, seed: int) -> Values:
    """Ask one of 64 voters for its vote, with a scope of some agents."""
    return _vote(64, agents, seed)


def _vote(voters: int, agents: int, seed: int) -> Values:
    process = voter(voters)
    frames = list(claims(process, agents, 50, random.Random(seed)))
    process.cost = costmeter.Cost()
    for frame in frames:
        process.receive(OWNER.node.name, frame)
    return {
        "claim vote at the agent, µs": process.cost.cpu_s / len(frames) * US_PER_S,
        "claim frame, bytes": sum(map(len, frames)) / len(frames),
        "claim reply, bytes": process.cost.sent_bytes / len(frames),
    }


def sync(count: int, seed: int) -> Values:
    """Ask one of 64 voters for the claims that another one needs."""
    process = voter(64)
    for frame in claims(process, 3, count, random.Random(seed)):
        process.receive(OWNER.node.name, frame)
    other = costmeter.hello(messages.Role.AGENT, 1)
    process.run(lambda: process.core.handle_connect(other))
    process.cost = costmeter.Cost()
    frame = wire.encode(messages.Sync(_number_of(process)))
    process.receive(other.node.name, frame)
    return {"one Sync at an agent, µs": process.cost.cpu_s * US_PER_S}


def voter(voters: int) -> costmeter.Process:
    """Return a voting agent to which one entry host is connected.

    :param voters: number of voters in its view.
    """
    process = costmeter.agent_process(0, clock.ManualClock(100.0))
    _agent_core(process).claims.catchup.advance(costmeter.members(voters, 1))
    process.run(lambda: process.core.handle_connect(OWNER))
    return process


def claims(
    process: costmeter.Process, agents: int, count: int, rng: random.Random
) -> Iterator[bytes]:
    """Yield frames of claims on which a voter may vote.

    :param process: the voter.
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
            head = (id_, members.number, chosen, 1, 1, OWNER.node, id_, nodes)
            yield wire.encode(messages.Claim(*head, 60_000, True, 900))


def rows(count: int, seed: int) -> Values:
    """Fold row changes into a table of some rows."""
    rng = random.Random(seed)
    values = [_set_value(index, rng) for index in range(count)]
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    whole = table.Table()
    for offset, value in enumerate(values):
        whole, _ = table.fold(whole, messages.LogRecord(offset, str(offset), value))
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    begin = time.process_time()
    changed = whole
    for offset in range(count, count + 50):
        row = rng.randrange(count)
        value = _set_value(row, rng, changed.row_version(("class", f"team-{row:05d}")))
        record = messages.LogRecord(offset, str(offset), value)
        changed, _ = table.fold(changed, record)
    spent = (time.process_time() - begin) / 50
    return {
        "table: µs a row change": spent * US_PER_S,
        "table: bytes of memory": after - before,
        "table: bytes of a snapshot": len(table.snapshot_record(whole)),
    }


def _set_value(index: int, rng: random.Random, based_on: int = 0) -> bytes:
    row = table.Row("class", f"team-{index:05d}", rng.uniform(0.5, 4), 1000, 500.0)
    return table.row_record(row, based_on)


def announcement(agents: int, seed: int) -> Values:
    """Connect one more agent, then one more entry host, to an entry host."""
    process, _ = _joined_entry(agents, 3, seed)
    process.cost = costmeter.Cost()
    process.run(
        lambda: process.core.handle_connect(
            costmeter.hello(messages.Role.AGENT, agents)
        )
    )
    agent_cost, process.cost = process.cost, costmeter.Cost()
    process.run(
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
    """Send the list of entry hosts that each new agent gets."""
    process, _ = _joined_entry(11, entries - 1, seed)
    process.cost = costmeter.Cost()
    process.run(
        lambda: process.core.handle_connect(costmeter.hello(messages.Role.AGENT, 11))
    )
    return {"new agent: bytes of the list of entry hosts": process.cost.sent_bytes}


def view_change(agents: int, seed: int) -> Values:
    """Add one voter to the view at an entry host, and at an agent it tells."""
    process, now = _joined_entry(agents, 0, seed)
    other = costmeter.agent_process(0, now)
    _agent_core(other).claims.catchup.view = _view_of(process)
    owner = costmeter.hello(messages.Role.ENTRY, 0)
    other.run(lambda: other.core.handle_connect(owner))
    number = _view_of(process).number
    added = view.voter_record(costmeter.hello(messages.Role.AGENT, agents))
    record = messages.LogRecord(number, "new", added)
    records = messages.Records(view.STREAM, number, number + 1, (record,))
    process.cost = costmeter.Cost()
    core = _entry_core(process)
    sent = process.run(lambda: core.follow(records))
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


EVERY = (
    Probe("tasks of a job", (20, 80, 280), jobs),
    Probe("agents connected", (11, 64, 256), workers),
    Probe("jobs of 20 tasks waiting", (10, 50, 250), backlog),
    Probe("workers", (100, 1000, 10_000), many_workers),
    Probe("jobs waiting", (100, 1000, 10_000), many_jobs),
    Probe("agents connected", (16, 64, 256), entry_rest),
    Probe("other entry hosts connected", (1, 4, 16), peer_rest),
    Probe("entry hosts connected", (1, 4, 16), agent_rest),
    Probe("voters", (11, 64, 256, 1024), group),
    Probe("voters", (11, 64, 256), vote),
    Probe("agents in the scope", (3, 16, 64), scope),
    Probe("claims held, 64 voters", (100, 200, 400), sync),
    Probe("rows", (100, 380, 1520), rows),
    Probe("agents connected", (16, 64, 256), announcement),
    Probe("entry hosts", (4, 16, 64), peers),
    Probe("agents connected, all voters", (16, 64, 255), view_change),
    Probe("calls", (50, 100, 200), httpcost.measure_http_calls),
)
