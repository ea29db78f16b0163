"""Measures an entry host's task starts per second of processor time, without sockets.

One ``EntryCore`` receives encoded messages and its effects are encoded, as in the
daemon. The time of the simulated agents is not counted. The figure covers decoding,
scheduling and encoding, but no sockets, HTTP or timers.
"""

from __future__ import annotations

import collections
import itertools
import random
import time
from collections.abc import Callable, Iterable, Iterator

import attrs
import xxhash

from burdockgate import clock, effects, messages, settings, wire
from burdockgate.process import entry, metrics
from burdockgate.request import job, outcome
from burdockgate.version import view

AGENTS = (11, 64)
TASKS_PER_JOB = (1, 10, 100)
SLOTS = 8
SERVICE = "sample"
STARTS_PER_CASE = 4000
# Twice as many tasks in progress as slots, so that there are always waiting tasks.
TASKS_PER_SLOT = 2
CLOCK_STEP_S = 0.0001
DEADLINE_MS = 60_000
PAYLOAD = b'{"sleep_ms":100}'
RESULT = b'{"task":0,"echo":{"sleep_ms":100},"server":"server-of-agent-1"}'


@attrs.define
class _Agent:
    """State of a simulated agent that it reports to the entry host."""

    node: messages.Node
    received: int = 0
    running: int = 0


def measure(seed: int) -> dict[str, object]:
    """Return the starts per second of each case as a JSON object.

    :param seed: seed of all random choices.
    """
    cases = [
        {
            "agents": agents,
            "tasks_per_job": tasks,
            "starts_per_s": round(Bench(agents, tasks, seed).run(STARTS_PER_CASE)),
        }
        for agents in AGENTS
        for tasks in TASKS_PER_JOB
    ]
    slowest = min(case["starts_per_s"] for case in cases)
    return {
        "scenario": "starts",
        "seed": seed,
        "starts_per_s": slowest,
        "cases": cases,
    }


class Bench:
    """One entry host with simulated agents.

    :param agents: number of agents.
    :param tasks: number of tasks of each job.
    :param seed: seed of all random choices.
    :param voters: number of agents that are in the view; ``None`` for all.
    """

    def __init__(
        self, agents: int, tasks: int, seed: int, voters: int | None = None
    ) -> None:
        self.processor_s = 0.0
        self.started = 0
        self.complete = 0
        self.messages = 0
        self._tasks = tasks
        self._voters = voters
        self._rng = random.Random(seed)
        self._time = clock.ManualClock(100.0)
        self._agent_by_name = {
            f"agent-{index + 1}": _Agent(_node(f"agent-{index + 1}", index + 1))
            for index in range(agents)
        }
        self._core = entry.EntryCore(
            _node("entry-1", 1000),
            _settings(),
            self._time,
            random.Random(seed),
            metrics.Metrics(settings.StatsdSettings()),
        )
        self._numbers = itertools.count(1)
        self._running: list[tuple[str, messages.Start, messages.TaskStart]] = []
        self._replies: collections.deque[tuple[str, messages.Message]] = (
            collections.deque()
        )
        self._connect_agents()

    def _connect_agents(self) -> None:
        records = []
        for index, agent in enumerate(self._agent_by_name.values()):
            hello = _hello(agent.node, index)
            value = view.voter_record(hello)
            if self._voters is None or index < self._voters:
                records.append(messages.LogRecord(index, str(index), value))
            self._simulate_agents(self._core.handle_connect(hello))
        count = len(records)
        self._simulate_agents(
            self._core.follow(messages.Records(view.STREAM, 0, count, tuple(records)))
        )
        # The view counts as up to date only after the end of the stream.
        end = messages.Records(view.STREAM, count, count, ())
        self._simulate_agents(self._core.follow(end))
        for name in self._agent_by_name:
            load = messages.Load(SLOTS, 0, 0, draining=False)
            self._simulate_agents(self._core.receive(name, load))

    def run(self, starts: int, in_progress: int | None = None) -> float:
        """Run until a number of tasks have started and return starts per second.

        :param starts: number of starts.
        :param in_progress: number of jobs in progress; ``None`` for as many as keep
            all slots busy and some tasks waiting.
        """
        self.processor_s, self.started, self.messages = 0.0, 0, 0
        slots = SLOTS * len(self._agent_by_name)
        if in_progress is None:
            in_progress = max(2, -(-slots * TASKS_PER_SLOT // self._tasks))
        while self.started < starts:
            while len(self._core.jobs) < in_progress:
                self._submit()
                self._deliver_replies()
            self._finish_random_task()
            self._deliver_replies()
        return self.started / self.processor_s

    def _submit(self) -> None:
        number = next(self._numbers)
        request = _request(f"key-{number}", self._tasks)
        self._run_timed(lambda: self._core.submit(request, number))

    def _finish_random_task(self) -> None:
        position = self._rng.randrange(len(self._running))
        self._running[position], self._running[-1] = (
            self._running[-1],
            self._running[position],
        )
        name, start, task = self._running.pop()
        agent = self._agent_by_name[name]
        agent.running -= 1
        report = messages.TaskReport(
            task.index, task.send_number, messages.TaskState.DONE, RESULT, 100.0
        )
        self._replies.append(
            (
                name,
                messages.Results(
                    start.job,
                    start.epoch,
                    start.attempt,
                    agent.node.boot,
                    SLOTS - agent.running,
                    agent.received,
                    (report,),
                ),
            )
        )

    def _deliver_replies(self) -> None:
        while self._replies:
            name, message = self._replies.popleft()
            body = wire.encode(message)[wire.HEADER.size :]
            self._run_timed(_receive_call(self._core, name, body))

    def _run_timed(self, handle: Callable[[], Iterator[effects.Effect]]) -> None:
        """Run a call of the core, encode its messages and count the time of both."""
        self._time.advance(CLOCK_STEP_S)
        begin = time.process_time()
        core_effects = list(handle())
        for effect in core_effects:
            if isinstance(effect, effects.Send):
                wire.encode(effect.message)
        self.processor_s += time.process_time() - begin
        self._simulate_agents(core_effects)

    def _simulate_agents(self, core_effects: Iterable[effects.Effect]) -> None:
        """Handle the effects as the agents would, and queue their replies."""
        for effect in core_effects:
            if isinstance(effect, effects.Answer):
                self.complete += isinstance(effect.outcome, outcome.Complete)
            if not isinstance(effect, effects.Send):
                continue
            self.messages += 1
            match effect.message:
                case messages.Claim(job=job_id, epoch=epoch, view_number=number):
                    reply = messages.ClaimReply(
                        job_id, epoch, messages.Verdict.GRANTED, number, None
                    )
                    self._replies.append((effect.to, reply))
                case messages.Start() as start:
                    self._start(effect.to, start)

    def _start(self, name: str, start: messages.Start) -> None:
        agent = self._agent_by_name[name]
        agent.received += len(start.tasks)
        agent.running += len(start.tasks)
        self.started += len(start.tasks)
        self._running += [(name, start, task) for task in start.tasks]


def _receive_call(
    core: entry.EntryCore, name: str, body: bytes
) -> Callable[[], Iterator[effects.Effect]]:
    return lambda: core.receive(name, wire.decode_session_message(body))


def _node(name: str, boot: int) -> messages.Node:
    return messages.Node(name, boot, "127.0.0.1:1")


def _hello(node: messages.Node, position: int) -> messages.Hello:
    rack = position // 3
    return messages.Hello(
        messages.PROTOCOL,
        messages.Role.AGENT,
        node,
        "local",
        f"dc-{rack % 4 + 1}",
        f"rack-{rack + 1}",
        SERVICE,
        SLOTS,
        16.0,
        65536,
        0,
        draining=False,
    )


def _settings() -> settings.EntrySettings:
    return settings.EntrySettings(
        node=settings.NodeSettings(
            name="entry-1",
            region="local",
            data_centre="dc-1",
            rack="rack-1",
            listen="127.0.0.1:0",
        ),
        http="127.0.0.1:0",
        platform=settings.PlatformSettings(),
        limits=settings.LimitSettings(),
        timing=settings.TimingSettings(),
        statsd=settings.StatsdSettings(),
    )


def _request(key: str, tasks: int) -> job.JobRequest:
    return job.JobRequest(
        guest="guest",
        key=key,
        service=SERVICE,
        caller_class="default",
        repeatable=True,
        deadline_ms=DEADLINE_MS,
        tasks=(job.TaskSpec(PAYLOAD, 100.0),) * tasks,
        job=job.job_id("guest", key),
        digest=xxhash.xxh3_128_digest(key.encode()),
        size=len(PAYLOAD) * tasks,
    )
