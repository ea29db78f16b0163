"""Cores on a virtual clock, joined by queues, for exact sessions under faults.

A session is a small fake of the network, the log and the backend servers. It holds
no decisions: it delivers messages after a fixed latency, runs tasks for the time
that their payload names, and breaks what a test asks it to break.
"""

import heapq
import itertools
import json
import random

import attrs
import xxhash

import configs
from burdockgate import clock, effects, messages, settings
from burdockgate.process import agent, entry, metrics
from burdockgate.request import job, outcome

LATENCY_S = 0.0005
APPEND_S = 0.004
TICK_S = 0.05
SERVICE = configs.SERVICE
LOG_RETENTION_S = configs.LOG_RETENTION_S
STREAMS = ("members", "table")
QUIET = (messages.Heartbeat, messages.Load, messages.Peers, messages.Records)


def make_request(key, tasks, guest="g1", repeatable=True, deadline_ms=30_000):
    """Return a job whose tasks run for the given milliseconds each."""
    payloads = [
        json.dumps({"sleep_ms": ms, "key": key, "index": index}).encode()
        for index, ms in enumerate(tasks)
    ]
    return job.JobRequest(
        guest=guest,
        key=key,
        service=SERVICE,
        caller_class="default",
        repeatable=repeatable,
        deadline_ms=deadline_ms,
        tasks=tuple(job.TaskSpec(payload) for payload in payloads),
        job=job.job_id(guest, key),
        digest=xxhash.xxh3_128_digest(b"\n".join(payloads)),
        size=sum(map(len, payloads)),
    )


@attrs.define
class Process:
    """One simulated process; ``generation`` tells events of an older boot apart."""

    name: str
    core: object
    generation: int
    frozen: bool = False
    inbox: list = attrs.field(factory=list)
    offset_by_stream: dict = attrs.field(factory=dict)


@attrs.define(frozen=True)
class StartSeen:
    """A start as the backend server saw it."""

    at: float
    job: bytes
    attempt: int
    index: int
    agent: str


class Session:
    """Entry hosts and agents of one system.

    :param entries: number of entry hosts.
    :param agents: number of agents, each in a data centre of its own up to 4.
    :param seed: seed of all random decisions.
    """

    def __init__(self, entries=2, agents=3, slots=2, seed=1, **timing):
        self.rng = random.Random(seed)
        self.clock = clock.ManualClock(100.0)
        self.timing = timing
        self.slots = slots
        self.trace = []
        self.starts = []
        self.answers = {}
        self.answered_at = {}
        self.log_is_up = True
        self.redials = True
        self.cuts = set()
        self.filters = []
        self.log_cuts = set()
        self._log_by_stream = {stream: [] for stream in STREAMS}
        self._first_by_stream = dict.fromkeys(STREAMS, 0)
        self._record_ids = set()
        self._events = []
        self._order = itertools.count()
        self._tickets = itertools.count(1)
        self._boots = itertools.count(1)
        self._links = set()
        self.processes = {}
        self._places = {}
        self._request_by_ticket = {}
        for index in range(entries):
            self._places[f"entry-{index + 1}"] = index % 4
        for index in range(agents):
            self._places[f"agent-{index + 1}"] = index % 4
        for name in self._places:
            self.start(name)
        self.run(1.0)
        self.trace.clear()

    # Processes

    def start(self, name):
        """Start a process, or start it again with another boot id."""
        boot = next(self._boots)
        node = messages.Node(name, boot, f"{name}:1")
        counters = metrics.Metrics(settings.StatsdSettings())
        place = self._places[name]
        if name.startswith("entry"):
            core = entry.EntryCore(
                node,
                configs.entry_settings(name, place, **self.timing),
                self.clock,
                random.Random(self.rng.random()),
                counters,
            )
        else:
            config = configs.agent_settings(name, place, self.slots, **self.timing)
            core = agent.AgentCore(node, config, self.clock, counters)
        process = Process(name, core, boot)
        self.processes[name] = process
        self._later(self.rng.uniform(0, TICK_S), lambda: self._tick(process))
        self._later(self.rng.uniform(0, 0.8), lambda: self._beat(process))
        self._later(0.0, lambda: self._dial_all(name))
        if name.startswith("entry"):
            self._later(0.01, lambda: self._replay(process))
        return process

    def kill(self, name):
        """End a process; its peers see closed connections."""
        self.note(f"{name} killed")
        del self.processes[name]
        for pair in [pair for pair in self._links if name in pair]:
            self._unlink(pair)

    def freeze(self, name):
        """Stop a process as SIGSTOP does: connections stay, nothing is read."""
        self.note(f"{name} frozen")
        self.processes[name].frozen = True

    def thaw(self, name):
        """Let a frozen process go on with what has piled up."""
        self.note(f"{name} thawed")
        process = self.processes[name]
        process.frozen = False
        inbox, process.inbox = process.inbox, []
        for action in inbox:
            action()

    def cut(self, first, second):
        """Cut the connection between two processes, in both directions."""
        self.note(f"{first} | {second} cut")
        self.cuts.add(frozenset((first, second)))
        self._unlink(frozenset((first, second)))

    def heal(self, first, second):
        """Allow two processes to connect again."""
        self.note(f"{first} | {second} healed")
        self.cuts.discard(frozenset((first, second)))
        self._dial(first, second)

    def core(self, name):
        return self.processes[name].core

    # Callers

    def submit(self, name, request):
        """Submit at an entry host and return the caller's ticket."""
        ticket = next(self._tickets)
        self._request_by_ticket[ticket] = request
        self.note(f"caller {ticket} -> {name} submit {request.key}")
        process = self.processes[name]
        self._perform(process, process.core.submit(request, ticket))
        return ticket

    def cancel(self, name, request):
        """Cancel at an entry host and return the caller's ticket."""
        ticket = next(self._tickets)
        self.note(f"caller {ticket} -> {name} cancel {request.key}")
        process = self.processes[name]
        self._perform(process, process.core.cancel(request.job, ticket))
        return ticket

    def run(self, seconds):
        """Advance the clock and do all that falls due."""
        end = self.clock.now() + seconds
        while self._events and self._events[0][0] <= end:
            at, _, action = heapq.heappop(self._events)
            self.clock.advance(max(0.0, at - self.clock.now()))
            action()
        self.clock.advance(max(0.0, end - self.clock.now()))

    def run_until(self, condition, limit_s=60.0):
        """Run until a condition holds; fail when it does not within the limit."""
        end = self.clock.now() + limit_s
        while not condition():
            assert self.clock.now() < end, "condition not met:\n" + self.text()
            self.run(0.01)

    def answer(self, ticket, limit_s=60.0):
        """Run until a caller has its outcome, and return it."""
        self.run_until(lambda: ticket in self.answers, limit_s)
        return self.answers[ticket]

    # The trace

    def note(self, text):
        self.trace.append(f"{self.clock.now() - 100.0:9.4f} {text}")

    def text(self):
        return "\n".join(self.trace)

    # Network

    def _later(self, seconds, action):
        at = self.clock.now() + seconds
        heapq.heappush(self._events, (at, next(self._order), action))

    def _alive(self, process):
        return self.processes.get(process.name) is process

    def _act(self, process, action):
        """Run an action of a process now, or when it is thawed."""
        if not self._alive(process):
            return
        if process.frozen:
            process.inbox.append(lambda: self._act(process, action))
        else:
            action()

    def _perform(self, process, wanted):
        for effect in wanted:
            if isinstance(effect, effects.Send):
                self._send(process, effect.to, effect.message)
            elif isinstance(effect, effects.Dial):
                self._dial(process.name, effect.node.name)
            elif isinstance(effect, effects.Execute):
                self._execute(process, effect)
            elif isinstance(effect, effects.Stop):
                key = (effect.job, effect.attempt, effect.index)
                self._finish(process, key, messages.TaskState.STOPPED, b"stopped")
            elif isinstance(effect, effects.Append):
                self._append(effect)
            elif isinstance(effect, effects.Answer):
                self._answer(process, effect)

    def _send(self, process, to, message):
        pair = frozenset((process.name, to))
        target = self.processes.get(to)
        if target is None or pair not in self._links:
            return
        delays = [LATENCY_S]
        for each in self.filters:
            delays = each(process.name, to, message, delays)
        if not isinstance(message, QUIET):
            lost = "" if delays else " (lost)"
            self.note(f"{process.name} -> {to} {describe(message)}{lost}")
        link = (process.generation, target.generation)
        for delay in delays:
            self._later(delay, lambda: self._deliver(target, link, process, message))

    def _deliver(self, target, link, sender, message):
        pair = frozenset((sender.name, target.name))
        if pair not in self._links or link[1] != target.generation:
            return
        if self._alive(target):
            self._act(
                target,
                lambda: self._perform(
                    target, target.core.receive(sender.name, message)
                ),
            )

    def _dial_all(self, name):
        for other in list(self.processes):
            if other != name and (name + other).count("agent") != 2:
                self._dial(name, other)

    def _dial(self, first, second):
        pair = frozenset((first, second))
        if pair in self._links or pair in self.cuts or len(pair) < 2:
            return
        both = [self.processes.get(name) for name in (first, second)]
        if None in both or any(process.frozen for process in both):
            return
        self._links.add(pair)
        for process, peer in (both, both[::-1]):
            hello = self._hello(peer)
            self._perform(process, process.core.connected(hello))

    def _unlink(self, pair):
        if pair not in self._links:
            return
        self._links.discard(pair)
        for name in sorted(pair):
            (peer,) = pair - {name}
            process = self.processes.get(name)
            if process is not None:
                self._act(
                    process,
                    lambda process=process, peer=peer: self._perform(
                        process, process.core.disconnected(peer)
                    ),
                )

    def _hello(self, process):
        is_agent = process.name.startswith("agent")
        place = self._places[process.name]
        return messages.Hello(
            messages.PROTOCOL,
            messages.Role.AGENT if is_agent else messages.Role.ENTRY,
            process.core.node,
            "r1",
            f"dc{place}",
            f"rack{place}",
            SERVICE if is_agent else "",
            self.slots if is_agent else 0,
            16.0,
            65536,
            0,
            process.core.draining,
        )

    def _tick(self, process):
        if not self._alive(process):
            return
        if not process.frozen:
            self._perform(process, process.core.tick())
        self._later(TICK_S, lambda: self._tick(process))

    def _beat(self, process):
        if not self._alive(process):
            return
        if not process.frozen:
            self._perform(process, process.core.beat())
            self._drop_silent(process)
            if self.redials:
                self._dial_all(process.name)
        self._later(0.8, lambda: self._beat(process))

    def _drop_silent(self, process):
        """Close the connections of frozen peers, as a lapsed lease does."""
        for other in list(self.processes.values()):
            if other.frozen:
                self._unlink(frozenset((process.name, other.name)))

    # The log and the backend servers

    def _append(self, effect):
        if not self.log_is_up or effect.record_id in self._record_ids:
            return
        self._record_ids.add(effect.record_id)
        log = self._log_by_stream[effect.stream]
        log.append(messages.LogRecord(len(log), effect.record_id, effect.value))
        self.read_log(APPEND_S)

    def append(self, stream, record_id, value):
        """Append a record as an operator does, and return its offset."""
        self._append(effects.Append(stream, record_id, value))
        return len(self._log_by_stream[stream]) - 1

    def expire_log(self, stream, first):
        """Drop the records of a stream before an offset."""
        self._first_by_stream[stream] = first

    def log(self, stream):
        """Return the kept records of a stream."""
        return self._log_by_stream[stream][self._first_by_stream[stream] :]

    def read_log(self, delay_s=0.0):
        """Let every entry host that reaches the log read what is new to it."""
        for process in list(self.processes.values()):
            if process.name.startswith("entry"):
                self._later(delay_s, lambda process=process: self._replay(process))

    def _replay(self, process):
        is_cut = not self.log_is_up or process.name in self.log_cuts
        for stream in () if is_cut else STREAMS:
            self._act(process, lambda stream=stream: self._follow(process, stream))

    def _follow(self, process, stream):
        """Hand a process the new records, then an empty page as at the log's end."""
        kept = self.log(stream)
        wanted = process.offset_by_stream.get(stream, 0)
        end = len(self._log_by_stream[stream])
        process.offset_by_stream[stream] = end
        first = max(wanted, self._first_by_stream[stream])
        records = tuple(record for record in kept if record.offset >= first)
        for page in (
            messages.Records(stream, first, end, records),
            messages.Records(stream, end, end, ()),
        ):
            self._perform(process, process.core.follow(page))

    def _execute(self, process, effect):
        self.starts.append(
            StartSeen(
                self.clock.now(), effect.job, effect.attempt, effect.index, process.name
            )
        )
        self.note(f"{process.name} starts task {effect.index} a{effect.attempt}")
        payload = json.loads(effect.payload)
        key = (effect.job, effect.attempt, effect.index)
        state = messages.TaskState.DONE
        if payload.get("fail"):
            state = messages.TaskState.FAILED
        process.core.running = getattr(process.core, "running", set()) | {key}
        self._later(
            payload["sleep_ms"] / 1000,
            lambda: self._finish(process, key, state, effect.payload),
        )

    def _finish(self, process, key, state, payload):
        running = getattr(process.core, "running", set())
        if not self._alive(process) or key not in running:
            return
        running.discard(key)
        self._act(
            process,
            lambda: self._perform(
                process, process.core.finished(*key, state, payload, 1.0)
            ),
        )

    def _answer(self, process, effect):
        if effect.ticket not in self.answers:
            self.answers[effect.ticket] = effect.outcome
            self.answered_at[effect.ticket] = self.clock.now()
            self.note(
                f"{process.name} -> caller {effect.ticket} "
                f"{effect.outcome.code.name} a{effect.outcome.attempt}"
            )


def describe(message):
    """Return one line with the fields of a message that a reader looks for."""
    parts = [type(message).__name__]
    for name in ("epoch", "attempt", "fence"):
        if hasattr(message, name):
            parts.append(f"{name}={getattr(message, name)}")
    if isinstance(message, messages.ClaimReply):
        parts.append(message.verdict.name)
    if hasattr(message, "tasks"):
        parts.append(f"tasks={[task.index for task in message.tasks]}")
    if hasattr(message, "reports"):
        states = [f"{item.index}:{item.state.name}" for item in message.reports]
        parts.append(" ".join(states))
    if hasattr(message, "code"):
        parts.append(f"code={message.code}")
    return " ".join(parts)


def assert_whole(request, result):
    """Assert that an outcome is the whole answer to a request."""
    assert isinstance(result, outcome.Complete), result
    assert result.results == tuple(task.payload for task in request.tasks)


def assert_single_starts(session):
    """Assert that no task of an attempt has started twice."""
    seen = [(start.job, start.attempt, start.index) for start in session.starts]
    assert len(seen) == len(set(seen)), session.text()
