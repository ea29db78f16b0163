"""Measures processor time, messages and bytes of cores on a virtual clock.

Sockets, HTTP and the event loop are left out: the cost is that of decoding a frame,
handling it, and encoding the frames that result.
"""

from __future__ import annotations

import functools
import heapq
import itertools
import random
import time
from collections.abc import Callable, Iterable

import attrs
import xxhash

from burdockgate import clock, effects, messages, settings, wire
from burdockgate.process import agent, entry, metrics
from burdockgate.request import job
from burdockgate.version import view as views

SERVICE = "bench"
LATENCY_S = 0.0005
TICK_S = 0.05
SLOTS = 8
RUN_MIN_S, RUN_MAX_S = 0.05, 0.15
PAYLOAD_BYTES = 200
DATA_CENTRES = 14


@attrs.define
class Cost:
    """Total cost of one process or of several.

    :param cpu_s: processor time in seconds.
    :param sent: number of sent messages.
    """

    cpu_s: float = 0.0
    sent: int = 0
    sent_bytes: int = 0


@attrs.frozen
class Frame:
    """An encoded message and the name of its receiver."""

    to: str
    data: bytes


class Process:
    """A core and its cost.

    :param core: the core.
    :param hello: message that introduces the node to others.
    """

    def __init__(
        self, core: entry.EntryCore | agent.AgentCore, hello: messages.Hello
    ) -> None:
        self.core = core
        self.hello = hello
        self.cost = Cost()

    @property
    def name(self) -> str:
        """Name of the node."""
        return self.core.node.name

    def execute(
        self, get_effects: Callable[[], Iterable[effects.Effect]]
    ) -> list[Frame | effects.Effect]:
        """Call the core, add up the cost, and return the effects.

        Messages among the effects are returned as encoded frames.

        :param get_effects: calls the core and returns its effects.
        """
        begin = time.process_time()
        items: list[Frame | effects.Effect] = [
            Frame(effect.to, wire.encode(effect.message))
            if isinstance(effect, effects.Send)
            else effect
            for effect in get_effects()
        ]
        self.cost.cpu_s += time.process_time() - begin
        for item in items:
            if isinstance(item, Frame):
                self.cost.sent += 1
                self.cost.sent_bytes += len(item.data)
        return items

    def receive(self, sender: str, data: bytes) -> list[Frame | effects.Effect]:
        """Decode a frame and hand it to the core.

        :param sender: name of the connected node that sent it.
        :param data: the whole frame.
        """
        body = data[wire.HEADER.size :]
        return self.execute(
            lambda: self.core.receive(sender, wire.decode_session_message(body))
        )


def hello(role: messages.Role, index: int) -> messages.Hello:
    """Return the ``Hello`` of a node; data centres repeat after 14 nodes.

    :param role: role of the node.
    :param index: number of the node.
    """
    name = f"{role.name.lower()}-{index:05d}"
    node = messages.Node(name, 2**62 + index, f"10.0.{index // 250}.{index % 250}:7000")
    is_agent = role is messages.Role.AGENT
    data_centre = index % DATA_CENTRES
    return messages.Hello(
        messages.PROTOCOL,
        role,
        node,
        f"region-{data_centre % 4}",
        f"dc-{data_centre}",
        f"rack-{index // 3}",
        SERVICE if is_agent else "",
        SLOTS if is_agent else 0,
        16.0,
        65536,
        0,
        False,
    )


def view_of_members(voters: int, entries: int) -> views.View:
    """Return a view of the first agents and entry hosts.

    :param voters: number of agents that vote.
    :param entries: number of entry hosts.
    """
    view = views.View()
    records = [
        views.entry_record(hello(messages.Role.ENTRY, index).node)
        for index in range(entries)
    ]
    records += [
        views.voter_record(hello(messages.Role.AGENT, index)) for index in range(voters)
    ]
    for offset, value in enumerate(records):
        view = views.fold(view, messages.LogRecord(offset, str(offset), value))
    return view


def _node_settings(name: str) -> settings.NodeSettings:
    return settings.NodeSettings(
        name=name, region="r", data_centre="d", rack="k", listen="127.0.0.1:0"
    )


def entry_process(index: int, time: clock.Clock, rng: random.Random) -> Process:
    """Return an entry host without connections.

    :param index: number of the node.
    :param time: the clock.
    :param rng: the source of random numbers.
    """
    own = hello(messages.Role.ENTRY, index)
    config = settings.EntrySettings(
        node=_node_settings(own.node.name),
        http="127.0.0.1:0",
        platform=settings.PlatformSettings(log_url="http://127.0.0.1:1", seeds=()),
        limits=settings.LimitSettings(),
        timing=settings.TimingSettings(),
        statsd=settings.StatsdSettings(),
    )
    counters = metrics.Metrics(settings.StatsdSettings())
    return Process(entry.EntryCore(own.node, config, time, rng, counters), own)


def agent_process(index: int, time: clock.Clock) -> Process:
    """Return an agent without connections.

    :param index: number of the node.
    :param time: the clock.
    """
    own = hello(messages.Role.AGENT, index)
    config = settings.AgentSettings(
        node=_node_settings(own.node.name),
        backend_server=settings.BackendSettings(
            url="http://127.0.0.1:1", service=SERVICE, slots=SLOTS
        ),
        platform=settings.PlatformSettings(log_url="http://127.0.0.1:1", seeds=()),
        timing=settings.TimingSettings(),
        statsd=settings.StatsdSettings(),
    )
    counters = metrics.Metrics(settings.StatsdSettings())
    return Process(agent.AgentCore(own.node, config, time, counters), own)


def request(key: str, tasks: int) -> job.JobRequest:
    """Return a job of equal tasks.

    :param key: idempotency key of the job.
    :param tasks: number of tasks.
    """
    payload = b'"' + b"x" * (PAYLOAD_BYTES - 2) + b'"'
    return job.JobRequest(
        guest="bench",
        key=key,
        service=SERVICE,
        caller_class="default",
        repeatable=True,
        deadline_ms=300_000,
        tasks=tuple(job.TaskSpec(payload) for _ in range(tasks)),
        job=job.job_id("bench", key),
        digest=xxhash.xxh3_128_digest(key.encode()),
        size=tasks * PAYLOAD_BYTES,
    )


class System:
    """One entry host and agents, connected with a fixed latency.

    :param agents: number of agents, all of them voters up to the limit.
    :param seed: seed of all random decisions.
    """

    def __init__(self, agents: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.time = clock.ManualClock(100.0)
        self.entry = entry_process(0, self.time, random.Random(seed + 1))
        self.agents = [agent_process(index, self.time) for index in range(agents)]
        self.answers: list[effects.Answer] = []
        self.starts = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._process_by_name = {
            process.name: process for process in (self.entry, *self.agents)
        }
        view = view_of_members(min(agents, views.VOTERS_PER_REGION_LIMIT), 1)
        assert isinstance(self.entry.core, entry.EntryCore)
        self.entry.core.jobs.view = view
        self.entry.core.jobs.record_view_check(0)
        for process in self.agents:
            assert isinstance(process.core, agent.AgentCore)
            process.core.claims.catchup.view = view
            self._connect(process)
        self.run(0.5)
        self.reset_costs()

    def reset_costs(self) -> None:
        """Reset the costs of all processes."""
        for process in self._process_by_name.values():
            process.cost = Cost()

    def agent_cost(self) -> Cost:
        """Return the cost of all agents together."""
        costs = [process.cost for process in self.agents]
        return Cost(
            sum(cost.cpu_s for cost in costs),
            sum(cost.sent for cost in costs),
            sum(cost.sent_bytes for cost in costs),
        )

    def submit(self, ticket: int, tasks: int) -> None:
        """Submit a job at the entry host.

        :param ticket: number of the caller.
        :param tasks: number of tasks.
        """
        job_request = request(f"job-{ticket}", tasks)
        core = self.entry.core
        assert isinstance(core, entry.EntryCore)
        self.perform(
            self.entry, self.entry.execute(lambda: core.submit(job_request, ticket))
        )

    def call_later(self, seconds: float, action: Callable[[], None]) -> None:
        """Schedule a call on the virtual clock.

        :param seconds: delay in seconds.
        :param action: the function.
        """
        due_at = self.time.now() + seconds
        heapq.heappush(self._events, (due_at, next(self._order), action))

    def run(self, seconds: float) -> None:
        """Advance the clock and make all due calls; the cost of ticks is not counted.

        :param seconds: by how much.
        """
        end = self.time.now() + seconds
        tick_at = self.time.now() + TICK_S
        while tick_at <= end or (self._events and self._events[0][0] <= end):
            if self._events and self._events[0][0] <= tick_at:
                at, _, action = heapq.heappop(self._events)
                self.time.advance(max(0.0, at - self.time.now()))
                action()
            else:
                self.time.advance(max(0.0, tick_at - self.time.now()))
                tick_at += TICK_S
                self._tick()
        self.time.advance(max(0.0, end - self.time.now()))

    def _tick(self) -> None:
        """Tick the entry host and renew all leases; other probes measure both."""
        cost, self.entry.cost = self.entry.cost, Cost()
        core = self.entry.core
        assert isinstance(core, entry.EntryCore)
        for process in self.agents:
            core.workers.renew_lease(process.name)
        self.perform(self.entry, self.entry.execute(core.tick))
        self.entry.cost = cost

    def _connect(self, process: Process) -> None:
        for receiver, sender in ((self.entry, process), (process, self.entry)):
            connect = functools.partial(receiver.core.handle_connect, sender.hello)
            self.perform(receiver, receiver.execute(connect))

    def perform(self, process: Process, items: list[Frame | effects.Effect]) -> None:
        """Perform the effects of a core.

        :param process: process of the core.
        :param items: effects and frames that the process returned.
        """
        for item in items:
            if isinstance(item, Frame):
                self._send(process, item)
            elif isinstance(item, effects.Execute):
                self.starts += 1
                self._execute(process, item)
            elif isinstance(item, effects.Answer):
                self.answers.append(item)

    def _send(self, sender: Process, frame: Frame) -> None:
        target = self._process_by_name.get(frame.to)
        if target is not None:
            self.call_later(
                LATENCY_S,
                lambda: self.perform(target, target.receive(sender.name, frame.data)),
            )

    def _execute(self, process: Process, item: effects.Execute) -> None:
        core = process.core
        assert isinstance(core, agent.AgentCore)
        run_s = self.rng.uniform(RUN_MIN_S, RUN_MAX_S)

        def end() -> None:
            items = process.execute(
                lambda: core.handle_task_end(
                    item.job,
                    item.attempt,
                    item.index,
                    messages.TaskState.DONE,
                    item.payload,
                    run_s * 1000,
                )
            )
            self.perform(process, items)

        self.call_later(run_s, end)
