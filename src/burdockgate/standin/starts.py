"""Task starts per second of processor time of one entry host, without sockets.

One ``EntryCore`` gets encoded messages and its effects are encoded, as its daemon
would do. The agents' side is a small fake whose time is not counted. So the figure
covers decoding, deciding and encoding, but no sockets, HTTP or timers.
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
CASE_STARTS = 4000
# Twice as many tasks in progress as slots, so that tasks always wait.
PROGRESS_PER_SLOT = 2
STEP_S = 0.0001
DEADLINE_MS = 60_000
PAYLOAD = b'{"sleep_ms":100}'
RESULT = b'{"task":0,"echo":{"sleep_ms":100},"server":"server-of-agent-1"}'


@attrs.define
class _Agent:
    """A worker as far as the entry host can see it."""

    node: messages.Node
    received: int = 0
    running: int = 0


def measure(seed: int) -> dict[str, object]:
    """Return the starts per second of each case, ready for JSON.

    :param seed: seed of all random choices.
    """
    cases = [
        {
            "agents": agents,
            "tasks_per_job": tasks,
            "starts_per_s": round(Bench(agents, tasks, seed).run(CASE_STARTS)),
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
    """One entry host with fake agents.

    :param agents: number of agents.
    :param tasks: tasks of each job.
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
        self._join()

    def _join(self) -> None:
        records = []
        for index, agent in enumerate(self._agent_by_name.values()):
            hello = _hello(agent.node, index)
            value = view.voter_record(hello)
            if self._voters is None or index < self._voters:
                records.append(messages.LogRecord(index, str(index), value))
            self._perform(self._core.handle_connect(hello))
        count = len(records)
        self._perform(
            self._core.follow(messages.Records(view.STREAM, 0, count, tuple(records)))
        )
        # Without the end of the stream the view does not count as the newest one.
        end = messages.Records(view.STREAM, count, count, ())
        self._perform(self._core.follow(end))
        for name in self._agent_by_name:
            load = messages.Load(SLOTS, 0, 0, draining=False)
            self._perform(self._core.receive(name, load))

    def run(self, starts: int, in_progress: int | None = None) -> float:
        """Run until so many tasks have started and return starts per second.

        :param starts: number of starts.
        :param in_progress: number of jobs in progress; ``None`` for as many as keep
            all slots busy and some tasks waiting.
        """
        self.processor_s, self.started, self.messages = 0.0, 0, 0
        slots = SLOTS * len(self._agent_by_name)
        if in_progress is None:
            in_progress = max(2, -(-slots * PROGRESS_PER_SLOT // self._tasks))
        while self.started < starts:
            while len(self._core.jobs) < in_progress:
                self._submit()
                self._deliver()
            self._finish_one()
            self._deliver()
        return self.started / self.processor_s

    def _submit(self) -> None:
        number = next(self._numbers)
        request = _request(f"key-{number}", self._tasks)
        self._timed(lambda: self._core.submit(request, number))

    def _finish_one(self) -> None:
        place = self._rng.randrange(len(self._running))
        self._running[place], self._running[-1] = (
            self._running[-1],
            self._running[place],
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

    def _deliver(self) -> None:
        while self._replies:
            name, message = self._replies.popleft()
            body = wire.encode(message)[wire.HEADER.size :]
            self._timed(_receiver(self._core, name, body))

    def _timed(self, act: Callable[[], Iterator[effects.Effect]]) -> None:
        """Perform effects and encode their messages on the counted time."""
        self._time.advance(STEP_S)
        begin = time.process_time()
        wanted = list(act())
        for effect in wanted:
            if isinstance(effect, effects.Send):
                wire.encode(effect.message)
        self.processor_s += time.process_time() - begin
        self._perform(wanted)

    def _perform(self, wanted: Iterable[effects.Effect]) -> None:
        """Do what the agents would do with the messages to them."""
        for effect in wanted:
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


def _receiver(
    core: entry.EntryCore, name: str, body: bytes
) -> Callable[[], Iterator[effects.Effect]]:
    return lambda: core.receive(name, wire.decode_session_message(body))


def _node(name: str, boot: int) -> messages.Node:
    return messages.Node(name, boot, "127.0.0.1:1")


def _hello(node: messages.Node, place: int) -> messages.Hello:
    rack = place // 3
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
