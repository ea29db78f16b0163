"""Deterministic simulation of a whole system, for tests of its behaviour under faults.

A session runs the cores of entry hosts and agents on a virtual clock. It simulates the
network, the log and the backend servers, and injects the faults that a test asks for.
"""

import collections
import functools
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
from burdockgate.standin import checker, trace

LATENCY_S = 0.0005
APPEND_S = 0.004
# The values of process.backend and process.agenthost.
CONNECT_S = 1.0
PROBE_S = 1.0
POLL_S = 2.0
LEASE_S = 2.5
TICK_S = 0.05
SERVICE = configs.SERVICE
LOG_RETENTION_S = configs.LOG_RETENTION_S
STREAMS = ("members", "table")
UNTRACED_MESSAGES = (
    messages.Heartbeat,
    messages.Load,
    messages.Peers,
    messages.Records,
)


def make_request(key, tasks, guest="g1", repeatable=True, deadline_ms=30_000):
    """Return a job; ``tasks`` holds the run time of each task in milliseconds."""
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
    """A simulated process.

    :param generation: boot id, which tells the events of an earlier boot apart.
    :param deferred_actions: actions to run when a frozen process goes on.
    """

    name: str
    core: object
    generation: int
    is_frozen: bool = False
    frozen_at: float = 0.0
    table_version: int = 0
    deferred_actions: list = attrs.field(factory=list)
    offset_by_stream: dict = attrs.field(factory=dict)


@attrs.define(frozen=True)
class BackendStart:
    """The start of a task at a backend server."""

    at: float
    job: bytes
    attempt: int
    index: int
    agent: str


class Session:
    """Simulation of a system of entry hosts and agents.

    :param entries: number of entry hosts.
    :param agents: number of agents, spread over up to 4 data centres.
    :param seed: seed of all random decisions.
    :param places: region, data centre and rack by name of a process, to override the
        default.
    :param timing: settings of the section ``timing``, to override the defaults.
    """

    def __init__(self, entries=2, agents=3, slots=2, seed=1, places=None, **timing):
        self.rng = random.Random(seed)
        self.clock = clock.ManualClock(100.0)
        self.timing = timing
        self.slots = slots
        self.trace = []
        self.starts = []
        self.answers = {}
        self.answered_at = {}
        self.log_is_up = True
        self.append_s = APPEND_S
        self.loses_append_answers = False
        self.is_redialing = True
        self.tick_s = TICK_S
        self.cut_pairs = set()
        self._isolated_at = 0.0
        self._pending_by_cut = collections.defaultdict(list)
        self.filters = []
        self.events = []
        self.phases = [("begin", collections.Counter())]
        self.failing_agents = set()
        self._fault_by_backend = {}
        self._pending_by_backend = collections.defaultdict(list)
        self.processes_without_log = set()
        self._log_by_stream = {stream: [] for stream in STREAMS}
        self._first_by_stream = dict.fromkeys(STREAMS, 0)
        self._record_ids = set()
        self._scheduled_actions = []
        self._sequence = itertools.count()
        self._ticket_numbers = itertools.count(1)
        self._boot_ids = itertools.count(1)
        self._links = set()
        self.processes = {}
        self.place_by_name = {}
        self._request_by_ticket = {}
        self._entry_by_ticket = {}
        for role, count in (("entry", entries), ("agent", agents)):
            for index in range(count):
                place = ("r1", f"dc{index % 4}", f"rack{index % 4}")
                name = f"{role}-{index + 1}"
                self.place_by_name[name] = (places or {}).get(name, place)
        for name in self.place_by_name:
            self.start(name)
        self.run(1.0)
        self.trace.clear()
        self.events.clear()
        self.phases = [("begin", collections.Counter())]

    # Processes

    def start(self, name):
        """Start or restart a process, with a new boot id."""
        boot = next(self._boot_ids)
        node = messages.Node(name, boot, f"{name}:1")
        counters = metrics.Metrics(settings.StatsdSettings())
        place = self.place_by_name[name][1]
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
            core.slots.is_open = name not in self._fault_by_backend
        process = Process(name, core, boot)
        self.processes[name] = process
        self.events.append(trace.Joined(self.clock.now(), name))
        self.schedule(self.rng.uniform(0, TICK_S), lambda: self._tick(process))
        self.schedule(self.rng.uniform(0, 0.8), lambda: self._send_heartbeats(process))
        self.schedule(0.0, lambda: self._dial_all(name))
        if name.startswith("entry"):
            self.schedule(0.01, lambda: self._read_streams(process))
            self.schedule(POLL_S, lambda: self._poll(process))
        return process

    def kill(self, name):
        """Kill a process, which closes its connections."""
        self.add_trace_line(f"{name} killed")
        self.events.append(trace.Left(self.clock.now(), name))
        del self.processes[name]
        for pair in self._links_of(name):
            self._unlink(pair)

    def drain(self, name):
        """Drain an agent as for a planned stop."""
        self.add_trace_line(f"{name} drains")
        self.events.append(trace.Left(self.clock.now(), name))
        process = self.processes[name]
        self._perform(process, process.core.drain(active=True))

    def stop(self, name):
        """Stop a drained process as its daemon does."""
        process = self.processes[name]
        for pair in self._links_of(name):
            (peer,) = pair - {name}
            self._send(process, peer, messages.Leave())
        self.run(2 * LATENCY_S)
        self.kill(name)

    def _links_of(self, name):
        # Sorted, because the order of a set differs from run to run.
        return sorted((pair for pair in self._links if name in pair), key=sorted)

    def freeze(self, name):
        """Pause a process as SIGSTOP does: connections stay open, nothing is read."""
        self.add_trace_line(f"{name} frozen")
        self.events.append(trace.Left(self.clock.now(), name))
        self.processes[name].is_frozen = True
        self.processes[name].frozen_at = self.clock.now()

    def thaw(self, name):
        """Resume a frozen process, which first runs its deferred actions."""
        self.add_trace_line(f"{name} thawed")
        self.events.append(trace.Joined(self.clock.now(), name))
        process = self.processes[name]
        process.is_frozen = False
        actions, process.deferred_actions = process.deferred_actions, []
        for action in actions:
            action()

    def cut(self, first, second):
        """Cut the connection between two processes, in both directions."""
        self.add_trace_line(f"{first} | {second} cut")
        self.cut_pairs.add(frozenset((first, second)))
        self._unlink(frozenset((first, second)))

    def heal(self, first, second):
        """End a cut: deliver the delayed messages and connect the processes again."""
        self.add_trace_line(f"{first} | {second} healed")
        pair = frozenset((first, second))
        self.cut_pairs.discard(pair)
        for action in self._pending_by_cut.pop(pair, []):
            self.schedule(LATENCY_S, action)
        self._dial(first, second)

    def _isolate(self, names):
        """Cut processes off from all others and the log.

        Their connections stay open until the lease has lapsed: only it shows the cut.
        """
        self.processes_without_log = set(names)
        others = [name for name in self.processes if name not in names]
        pairs = {frozenset(pair) for pair in itertools.product(names, others)}
        self.cut_pairs |= pairs
        self._isolated_at = cut_at = self.clock.now()

        def lapse():
            if self._isolated_at == cut_at:
                self._pending_by_cut.clear()
                for pair in sorted(pairs & self.cut_pairs, key=sorted):
                    self._unlink(pair)

        self.schedule(LEASE_S, lapse)

    def fail(self, names, fault):
        """Kill, freeze or cut off processes at the same time.

        :param fault: "kill", "freeze" or "cut".
        """
        self.begin_phase(f"{fault} {' '.join(names)}")
        if fault == "cut":
            self._isolate(names)
        for name in names if fault != "cut" else ():
            getattr(self, fault)(name)

    def recover(self, names, fault):
        """Undo :meth:`fail`; a killed process starts with a new boot id."""
        self.begin_phase(f"mend {' '.join(names)}")
        if fault == "cut":
            self._isolated_at, self.processes_without_log = 0.0, set()
            for pair in sorted(map(sorted, self.cut_pairs)):
                self.heal(*pair)
            self.read_log()
        for name in names if fault != "cut" else ():
            self.start(name) if fault == "kill" else self.thaw(name)

    def break_backend(self, name, fault):
        """Kill, freeze or cut off the backend server of an agent.

        Killing it reports the running tasks as unknown.
        """
        self.begin_phase(f"{fault} backend server of {name}")
        self._fault_by_backend[name] = fault
        process = self.processes[name]
        if fault == "kill":
            for key in sorted(getattr(process.core, "running", ())):
                self._finish(process, key, messages.TaskState.UNKNOWN, b"cut")

    def recover_backend(self, name):
        """End a fault of a backend server; the next probe of the agent detects it."""
        self.begin_phase(f"mend backend server of {name}")
        del self._fault_by_backend[name]
        for action in self._pending_by_backend.pop(name, []):
            action()
        self.schedule(PROBE_S, functools.partial(self._set_backend, name, True))

    def _set_backend(self, name, is_up):
        process = self.processes.get(name)
        if process is not None and not process.core.draining:
            self._run_unless_frozen(
                process,
                lambda: self._perform(process, process.core.set_backend_up(is_up)),
            )

    def core(self, name):
        return self.processes[name].core

    # Callers

    def submit(self, name, request):
        """Submit a job to an entry host and return the ticket of the call."""
        ticket = next(self._ticket_numbers)
        self._request_by_ticket[ticket] = request
        payloads = tuple(task.payload for task in request.tasks)
        fields = (request.guest, request.key, ticket, name, payloads)
        self.events.append(
            trace.Submitted(self.clock.now(), *fields, request.repeatable)
        )
        self.begin_phase(f"caller {ticket} -> {name} submit {request.key}")
        process = self.processes[name]
        self._entry_by_ticket[ticket] = (name, process.generation)
        self._perform(process, process.core.submit(request, ticket))
        return ticket

    def cancel(self, name, request):
        """Cancel a job at an entry host and return the ticket of the call."""
        ticket = next(self._ticket_numbers)
        self._request_by_ticket[ticket] = request
        self.begin_phase(f"caller {ticket} -> {name} cancel {request.key}")
        process = self.processes[name]
        self._entry_by_ticket[ticket] = (name, process.generation)
        self._perform(process, process.core.cancel(request.job, ticket))
        return ticket

    def run(self, seconds):
        """Advance the clock and run the actions that become due."""
        end = self.clock.now() + seconds
        while self._scheduled_actions and self._scheduled_actions[0][0] <= end:
            at, _, action = heapq.heappop(self._scheduled_actions)
            self.clock.advance(max(0.0, at - self.clock.now()))
            action()
        self.clock.advance(max(0.0, end - self.clock.now()))

    def run_until(self, condition, limit_s=60.0):
        """Run until a condition holds.

        :raises AssertionError: when it does not hold within ``limit_s``.
        """
        end = self.clock.now() + limit_s
        while not condition():
            assert self.clock.now() < end, "condition not met:\n" + self.trace_text()
            self.run(0.01)

    def wait_answer(self, ticket, limit_s=60.0):
        """Run until a call has its outcome, and return it."""
        self.run_until(lambda: ticket in self.answers, limit_s)
        return self.answers[ticket]

    # The trace

    def add_trace_line(self, text):
        self.trace.append(f"{self.clock.now() - 100.0:9.4f} {text}")

    def trace_text(self):
        return "\n".join(self.trace)

    def begin_phase(self, text):
        """Trace an event and count the messages after it on its own summary line."""
        self.add_trace_line(text)
        self.phases.append((self.trace[-1].lstrip(), collections.Counter()))

    def summary(self):
        """Return a line for each event, with counts of the messages that follow it."""
        lines = (f"{head}: {_format_counts(kinds)}" for head, kinds in self.phases[1:])
        return "\n".join(line.removesuffix(": ") for line in lines)

    def totals(self):
        """Return counts of all messages by kind, and of the outcomes by code."""
        sent = sum((kinds for _, kinds in self.phases), collections.Counter())
        ended = collections.Counter(item.code.name for item in self.answers.values())
        return f"{_format_counts(sent)}\n{_format_counts(ended)}"

    def violations(self):
        """Return the violations of the checker, and the calls without an answer."""
        found = checker.check(self.events, checker.Settings(tuple(self.place_by_name)))
        waiting = set(self._request_by_ticket) - set(self.answers)
        return [str(item) for item in found] + [
            f"caller {ticket} of {name} was never answered"
            for ticket, (name, boot) in sorted(self._entry_by_ticket.items())
            if ticket in waiting
            and name in self.processes
            and self.processes[name].generation == boot
        ]

    def schedule_after_messages(self, kind, count, delay_s, action):
        """Run an action once, after ``count`` messages of a type were sent."""
        remaining = [count]

        def count_messages(_from, _to, message, delays):
            if isinstance(message, kind):
                remaining[0] -= 1
                if remaining[0] == 0:
                    self.schedule(delay_s, action)
            return delays

        self.filters.append(count_messages)

    # Network

    def schedule(self, seconds, action):
        at = self.clock.now() + seconds
        heapq.heappush(self._scheduled_actions, (at, next(self._sequence), action))

    def _alive(self, process):
        return self.processes.get(process.name) is process

    def _run_unless_frozen(self, process, action):
        """Run an action of a process now, or defer it while the process is frozen."""
        if not self._alive(process):
            return
        if process.is_frozen:
            process.deferred_actions.append(
                lambda: self._run_unless_frozen(process, action)
            )
        else:
            action()

    def _perform(self, process, wanted_effects):
        for effect in wanted_effects:
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
                self._append(effect, process.name)
            elif isinstance(effect, effects.Answer):
                self._answer(process, effect)

    def _send(self, process, to, message):
        pair = frozenset((process.name, to))
        target = self.processes.get(to)
        if target is None or pair not in self._links:
            return
        delays = [LATENCY_S]
        for message_filter in self.filters:
            delays = message_filter(process.name, to, message, delays)
        if not isinstance(message, UNTRACED_MESSAGES):
            lost = "" if delays else " (lost)"
            self.add_trace_line(f"{process.name} -> {to} {describe(message)}{lost}")
            self.phases[-1][1][summarise(message) + lost] += 1
            if isinstance(message, messages.Start | messages.Fence | messages.Settle):
                node = process.core.node
                fields = (message.job, message.attempt, message.epoch)
                owner = f"{node.name} {node.boot}"
                self.events.append(trace.Claimed(self.clock.now(), *fields, owner))
        link = (process.generation, target.generation)
        for delay in delays:
            self.schedule(delay, lambda: self._deliver(target, link, process, message))

    def _deliver(self, target, link, sender, message):
        pair = frozenset((sender.name, target.name))
        if pair not in self._links or link[1] != target.generation:
            return
        if pair in self.cut_pairs:
            self._pending_by_cut[pair].append(
                lambda: self._deliver(target, link, sender, message)
            )
        elif self._alive(target):
            self._run_unless_frozen(
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
        if pair in self._links or pair in self.cut_pairs or len(pair) < 2:
            return
        both = [self.processes.get(name) for name in (first, second)]
        if None in both or any(process.is_frozen for process in both):
            return
        self._links.add(pair)
        for process, peer in (both, both[::-1]):
            hello = self._hello(peer)
            self._perform(process, process.core.handle_connect(hello))

    def _unlink(self, pair):
        if pair not in self._links:
            return
        self._links.discard(pair)
        for name in sorted(pair):
            (peer,) = pair - {name}
            process = self.processes.get(name)
            if process is not None:
                self._run_unless_frozen(
                    process,
                    lambda process=process, peer=peer: self._perform(
                        process, process.core.handle_disconnect(peer)
                    ),
                )

    def _hello(self, process):
        is_agent = process.name.startswith("agent")
        place = self.place_by_name[process.name]
        return messages.Hello(
            messages.PROTOCOL,
            messages.Role.AGENT if is_agent else messages.Role.ENTRY,
            process.core.node,
            *place,
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
        if not process.is_frozen:
            self._perform(process, process.core.tick())
            self._record_table_version(process)
        self.schedule(self.tick_s, lambda: self._tick(process))

    def _record_table_version(self, process):
        """Record the table version in force; an entry host needs a current one."""
        version = process.core.table_replica.version
        is_current = getattr(process.core, "has_current_table", True)
        if version != process.table_version and is_current:
            process.table_version = version
            self.events.append(trace.InForce(self.clock.now(), process.name, version))

    def _send_heartbeats(self, process):
        if not self._alive(process):
            return
        if not process.is_frozen:
            self._perform(process, process.core.send_heartbeats())
            self._close_lapsed_connections(process)
            if self.is_redialing:
                self._dial_all(process.name)
        self.schedule(0.8, lambda: self._send_heartbeats(process))

    def _close_lapsed_connections(self, process):
        """Close the connections of peers that have been frozen for over a lease."""
        now = self.clock.now()
        for other in list(self.processes.values()):
            if other.is_frozen and now - other.frozen_at > LEASE_S:
                self._unlink(frozenset((process.name, other.name)))

    # The log and the backend servers

    def _append(self, effect, writer=""):
        if not self.log_is_up or writer in self.processes_without_log:
            return
        log = self._log_by_stream[effect.stream]
        is_known = effect.record_id in self._record_ids
        if is_known and not self.loses_append_answers:
            return
        self._record_ids.add(effect.record_id)
        log.append(messages.LogRecord(len(log), effect.record_id, effect.value))
        if self.loses_append_answers and not is_known:
            # The writer got no reply to its append, so it repeats it.
            self._append(effect)
        self.read_log(self.append_s)

    def append(self, stream, record_id, value):
        """Append a record as an operator does, and return the offset meant for it."""
        offset = len(self._log_by_stream[stream])
        self._append(effects.Append(stream, record_id, value))
        if stream == "table" and offset < len(self._log_by_stream[stream]):
            self.events.append(trace.Accepted(self.clock.now(), offset + 1))
        return offset

    def expire_log(self, stream, first):
        """Drop the records of a stream before the offset ``first``."""
        self._first_by_stream[stream] = first

    def log(self, stream):
        """Return the records of a stream that have not expired."""
        return self._log_by_stream[stream][self._first_by_stream[stream] :]

    def read_log(self, delay_s=0.0):
        """Let every entry host that reaches the log read the new records."""
        for process in list(self.processes.values()):
            if process.name.startswith("entry"):
                self.schedule(
                    delay_s, lambda process=process: self._read_streams(process)
                )

    def _read_streams(self, process):
        is_cut = not self.log_is_up or process.name in self.processes_without_log
        for stream in () if is_cut else STREAMS:
            self._run_unless_frozen(
                process, lambda stream=stream: self._follow(process, stream)
            )

    def _poll(self, process):
        """Send an empty page to an entry host that has read a stream to its end."""
        is_cut = not self.log_is_up or process.name in self.processes_without_log
        for stream in () if is_cut or process.is_frozen else STREAMS:
            end = len(self._log_by_stream[stream])
            if process.offset_by_stream.get(stream) == end:
                page = messages.Records(stream, end, end, ())
                self._perform(process, process.core.follow(page))
        if self._alive(process):
            self.schedule(POLL_S, lambda: self._poll(process))

    def _follow(self, process, stream):
        """Send a process the new records, then an empty page for the end of the log."""
        available = self.log(stream)
        next_offset = process.offset_by_stream.get(stream, 0)
        end = len(self._log_by_stream[stream])
        process.offset_by_stream[stream] = end
        first = max(next_offset, self._first_by_stream[stream])
        known = {record.id for record in available if record.offset < first}
        # The log client drops records with a repeated id.
        records = tuple(
            record
            for record in {each.id: each for each in reversed(available)}.values()
            if record.offset >= first and record.id not in known
        )[::-1]
        for page in (
            messages.Records(stream, first, end, records),
            messages.Records(stream, end, end, ()),
        ):
            self._perform(process, process.core.follow(page))

    def _execute(self, process, effect):
        key = (effect.job, effect.attempt, effect.index)
        process.core.running = getattr(process.core, "running", set()) | {key}
        ended = functools.partial(self._finish, process, key)
        state = messages.TaskState.UNKNOWN
        self.schedule(effect.timeout_ms / 1000, lambda: ended(state, b"no answer"))
        fault = self._fault_by_backend.get(process.name)
        if fault == "freeze":
            self._pending_by_backend[process.name].append(
                lambda: self._run_task(process, effect, ended)
            )
        elif fault is None:
            self._run_task(process, effect, ended)
        else:
            wait_s = CONNECT_S if fault == "cut" else LATENCY_S
            returned = messages.TaskState.RETURNED
            self.schedule(wait_s, lambda: ended(returned, b"not sent"))

    def _run_task(self, process, effect, ended):
        now, name = self.clock.now(), process.name
        fields = (effect.job, effect.attempt, effect.index, name)
        self.starts.append(BackendStart(now, *fields))
        self.events.append(trace.Started(now, *fields, effect.payload))
        self.phases[-1][1]["task started"] += 1
        self.add_trace_line(f"{name} starts task {effect.index} a{effect.attempt}")
        payload = json.loads(effect.payload)
        state = messages.TaskState.DONE
        if payload.get("fail") or name in self.failing_agents:
            state = messages.TaskState.FAILED
        self.schedule(
            payload["sleep_ms"] / 1000,
            lambda: self._deliver_backend_answer(
                name, lambda: ended(state, effect.payload)
            ),
        )

    def _deliver_backend_answer(self, name, action):
        """Deliver an answer of a backend server, later or never under a fault.

        A frozen or cut-off backend server answers once it has recovered, a killed one
        not at all.
        """
        fault = self._fault_by_backend.get(name)
        if fault in ("freeze", "cut"):
            self._pending_by_backend[name].append(action)
        elif fault is None:
            action()

    def _finish(self, process, key, state, payload):
        running = getattr(process.core, "running", set())
        if not self._alive(process) or key not in running:
            return
        running.discard(key)
        self._run_unless_frozen(
            process,
            lambda: self._perform(
                process, process.core.handle_task_end(*key, state, payload, 1.0)
            ),
        )
        if state is messages.TaskState.RETURNED:
            self._set_backend(process.name, False)

    def _answer(self, process, effect):
        if effect.ticket not in self.answers:
            result = effect.outcome
            self.answers[effect.ticket] = result
            self.answered_at[effect.ticket] = self.clock.now()
            request = self._request_by_ticket[effect.ticket]
            # The checker expects results in the form of the stand-in backend server.
            results = tuple(
                b'{"task":%d,"echo":%b}' % item
                for item in enumerate(getattr(result, "results", ()))
            )
            fields = (request.guest, request.key, result.code, result.attempt, results)
            self.events.append(trace.Answered(self.clock.now(), *fields, process.name))
            self.begin_phase(
                f"{process.name} -> caller {effect.ticket} "
                f"{result.code.name} a{result.attempt}"
            )


def summarise(message):
    """Return the type of a message, with its verdict or the states of its tasks."""
    if isinstance(message, messages.ClaimReply):
        return f"ClaimReply {message.verdict.name}"
    states = {report.state.name for report in getattr(message, "reports", ())}
    return " ".join([type(message).__name__, *sorted(states)])


def _format_counts(kinds):
    return ", ".join(f"{kind} {count}" for kind, count in kinds.items())


def describe(message):
    """Return the type and the main fields of a message, for the trace."""
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


def assert_complete(request, result):
    """Assert that an outcome holds the result of every task of a request."""
    assert isinstance(result, outcome.Complete), result
    assert result.results == tuple(task.payload for task in request.tasks)


def assert_single_starts(session):
    """Assert that no task of an attempt has started twice."""
    keys = [(start.job, start.attempt, start.index) for start in session.starts]
    assert len(keys) == len(set(keys)), session.trace_text()
