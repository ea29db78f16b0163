"""Simulates best-effort jobs on entry hosts, agents and workers in virtual time.

Schedulers and executors are the real ones; the network, the workers and the callers
are simulated. The same seed gives the same simulation.
"""

from __future__ import annotations

import collections
import functools
import random
from collections.abc import Callable

from burdockgate import assignments
from burdockgate.process import entrysessions, executoractions, selection, subset
from burdockgate.request import besteffort
from burdockgate.standin import (
    callers,
    layouts,
    readages,
    simnodes,
    simworker,
    standstill,
    virtualtime,
)

REDIAL_INTERVAL_S = 0.05
# An agent regards an entry host as unreachable after this time without an answer.
DIAL_TIMEOUT_S = 0.6
# Entry hosts that the settings of every agent name; dialled while none is connected.
SEED_COUNT = 3
# Both ends of a connection notice a partition after this time.
DISCONNECT_TIMEOUT_S = 0.9
# A caller submits a job again this long after its connection broke.
RETRY_DELAY_S = 1.3
# One-way network delays.
SAME_ZONE_DELAY_S = 0.0002
CROSS_ZONE_DELAY_S = 0.0009


class Simulation:
    """All entry hosts, agents, workers and callers, and the network between them.

    :param seed: seed of all random choices.
    :param kinds: kinds of jobs that callers submit.
    :param entries: number of entry hosts, spread over the zones.
    :param workers: number of workers, spread over the zones.
    :param zones: number of zones; 0 for as many as entry hosts.
    :param layout: how zones, entry hosts and workers differ; replaces the three numbers
        before it.
    :param ordering: order of waiting jobs.
    :param selection_settings: settings of the choice of a worker.
    :param limits: settings of the agents' executors.
    :param habits: lets the connections of callers break that get no answer, processes
        go on in turns after a freeze, and connections of frozen processes time out;
        ``None`` for none of this.
    """

    def __init__(
        self,
        seed: int,
        kinds: tuple[simnodes.JobKind, ...],
        entries: int = 4,
        workers: int = 11,
        zones: int = 0,
        ordering: selection.Ordering | None = None,
        selection_settings: selection.SelectionSettings | None = None,
        limits: executoractions.ExecutorSettings | None = None,
        layout: layouts.Layout | None = None,
        habits: callers.Habits | None = None,
    ) -> None:
        layout = layout or layouts.even(entries, workers, zones or entries)
        self._layout = layout
        self.rng = random.Random(seed)
        self.time = virtualtime.VirtualClock()
        self._habits = habits
        # Apart from the other choices, which a seed repeats without habits.
        self._late_rng = random.Random(f"late reads {seed}")
        self.callers = callers.Callers(self, habits, self._late_rng)
        self.make_inbox: Callable[[], standstill.Inbox] = standstill.AllAtOnce
        if habits is not None:
            self.make_inbox = functools.partial(
                standstill.InTurns, self.time, self._late_rng
            )
        self.kinds = kinds
        self.ordering = ordering or selection.FinishStarted()
        self.selection = selection_settings or selection.SelectionSettings()
        self.limits = limits or executoractions.ExecutorSettings()
        self.message_count_by_type: collections.Counter[type] = collections.Counter()
        self.tickets = iter(range(1, 1 << 60))
        self.work_by_task: dict[assignments.TaskKey, tuple[float, int]] = {}
        self.caller_jobs: list[simnodes.CallerJob] = []
        self.events: list[tuple[float, str, str, dict[str, object]]] = []
        self.ages = readages.ReadAges()
        self.partitioned_pairs: set[tuple[str, str]] = set()
        self._connection_by_pair: dict[tuple[str, str], int] = {}
        self._connection_numbers = iter(range(1, 1 << 60))
        self._dialled_pairs: set[tuple[str, str]] = set()
        self._agents_with_scheduled_report: set[str] = set()
        self._delayed_by_pair: dict[tuple[str, str], list[Callable[[], None]]] = {}
        self.entry_count = min(len(layout.entry_zones), subset.LIMIT)
        self.entry_by_name = {
            f"entry-{number}": simnodes.SimulatedEntryHost(
                self, f"entry-{number}", zone
            )
            for number, zone in enumerate(layout.entry_zones)
        }
        self.agent_by_name: dict[str, simnodes.SimulatedAgent] = {}
        for number, zone in enumerate(layout.worker_zones):
            worker = simworker.SimulatedWorker(
                f"worker-{number}",
                layout.cpu_of(number),
                layout.speed_of(number),
                self.time,
                self.rng,
                self._work_of,
            )
            name = f"agent-{number}"
            self.agent_by_name[name] = simnodes.SimulatedAgent(self, name, zone, worker)
        entries_known = [
            assignments.EntryHost(node.name, node.name, node.zone, 1)
            for node in self.entry_by_name.values()
        ]
        self._ranked_entries_by_agent = {
            agent.name: subset.rank(agent.name, agent.zone, entries_known)
            for agent in self.agent_by_name.values()
        }
        self._connect_all()

    def _work_of(self, task: assignments.TaskKey) -> tuple[float, int]:
        return self.work_by_task[task]

    def record_event(self, process: str, event: str, fields: dict[str, object]) -> None:
        """Record an event that a process logs.

        :param process: name of the process.
        :param event: name of the event.
        :param fields: fields of the event.
        """
        self.events.append((self.time.now(), process, event, fields))

    def schedule_report(
        self, agent: simnodes.SimulatedAgent, action: Callable[[], None]
    ) -> None:
        """Schedule the report of an agent in 4 ms, unless one is scheduled already.

        :param agent: the agent.
        :param action: sends the report.
        """
        if agent.name not in self._agents_with_scheduled_report:
            self._agents_with_scheduled_report.add(agent.name)

            def report() -> None:
                self._agents_with_scheduled_report.discard(agent.name)
                agent.execute(standstill.Event(action))

            self.time.call_later(0.004, report)

    # Connections between agents and entry hosts.

    def _connect_all(self) -> None:
        """Connect and release entry hosts, as the agents do."""
        for agent in self.agent_by_name.values():
            if agent.is_up and not agent.is_behind:
                self._connect_agent(agent)
        self.time.call_later(REDIAL_INTERVAL_S, self._connect_all)

    def _connect_agent(self, agent: simnodes.SimulatedAgent) -> None:
        """Dial the chosen entry hosts, and release the others.

        Each process of an agent finds out by itself which entry hosts are unreachable.
        """
        chosen = {
            entry.name: self.entry_by_name[entry.name]
            for entry in subset.choose(
                self._ranked_entries_by_agent[agent.name],
                agent.unreachable_entries.__contains__,
            )
        }
        wanted = chosen
        if not self.connected_entries(agent.name):
            wanted = chosen | dict(list(self.entry_by_name.items())[:SEED_COUNT])
        for entry in wanted.values():
            self._connect(agent, entry)
        surplus = set(self.connected_entries(agent.name)) - chosen.keys()
        for name in agent.executor.release(surplus):
            self._disconnect((agent.name, name))

    def _dial_lost(
        self, agent: simnodes.SimulatedAgent, entry: simnodes.SimulatedEntryHost
    ) -> None:
        """Let an agent wait for the answer of a machine that is off."""
        pair, incarnation = (agent.name, entry.name), agent.incarnation
        if pair in self._dialled_pairs:
            return
        self._dialled_pairs.add(pair)

        def time_out() -> None:
            self._dialled_pairs.discard(pair)
            is_connected = pair in self._connection_by_pair
            if incarnation == agent.incarnation and not is_connected:
                agent.unreachable_entries.add(entry.name)

        self.time.call_later(DIAL_TIMEOUT_S, time_out)

    def _connect(
        self,
        agent: simnodes.SimulatedAgent,
        entry: simnodes.SimulatedEntryHost,
        is_accepting: bool = False,
    ) -> None:
        pair = (agent.name, entry.name)
        is_blocked = (
            pair in self.partitioned_pairs or agent.is_behind or not agent.is_up
        )
        if pair in self._connection_by_pair or is_blocked:
            return
        if entry.is_lost:
            self._dial_lost(agent, entry)
            return
        if not entry.is_up:
            agent.unreachable_entries.add(entry.name)
            agent.perform(agent.executor.handle_entry_gone(entry.name))
            return
        if entry.is_behind and not is_accepting:
            # The connection waits in the queue of the listener.
            accept = functools.partial(self._connect, agent, entry, is_accepting=True)
            if self._habits is not None:
                entry.execute(standstill.Repeated(accept, f"listener {agent.name}"))
            return
        agent.unreachable_entries.discard(entry.name)
        self._connection_by_pair[pair] = next(self._connection_numbers)
        boot, run_keys = agent.executor.session_state(entry.name)
        hello = assignments.AgentHello(
            1, agent.name, agent.boot, agent.zone, boot, run_keys
        )
        entry_boot = entry.boot
        connection = self._connection_by_pair[pair]
        self._deliver(
            pair,
            connection,
            entry,
            hello,
            lambda: entry.perform(
                entry.scheduler.handle_agent_connected(hello, entry_boot)
            ),
        )
        agent.sent_worker_info = {
            sent for sent in agent.sent_worker_info if sent[0] != entry.name
        }
        distance = entrysessions.distance(
            agent.name, agent.zone, entry.name, entry.zone
        )

        def handle_answer() -> None:
            agent.perform(
                agent.executor.handle_entry_connected(entry.name, entry_boot, distance)
            )
            agent.report()

        if self._habits is None:
            handle_answer()
            return
        answer = assignments.EntryHello(1, entry.name, entry_boot, entry.zone)
        self._deliver(pair, connection, agent, answer, handle_answer)

    def reset_connections(self, agent: str = "", entry: str = "") -> None:
        """Reset connections; both ends notice it without a timeout.

        :param agent: name of the agent; empty for any.
        :param entry: name of the entry host; empty for any.
        """
        for pair in list(self._connection_by_pair):
            if agent in ("", pair[0]) and entry in ("", pair[1]):
                self._disconnect(pair)

    def time_out_connections(self, entry: str) -> None:
        """End the connections of an entry host whose machine is off, after a timeout.

        :param entry: its name.
        """
        connections = [
            (pair, connection)
            for pair, connection in self._connection_by_pair.items()
            if pair[1] == entry
        ]

        def time_out() -> None:
            for pair, connection in connections:
                if self._connection_by_pair.get(pair) == connection:
                    self._disconnect(pair)

        self.time.call_later(DISCONNECT_TIMEOUT_S, time_out)

    def handle_freeze(self, node: simnodes.SimulatedNode) -> None:
        """Let the connections of a process time out that stands still from now on.

        :param node: the process.
        """
        if self._habits is None:
            return
        entry = self.entry_by_name.get(node.name)
        if entry is not None:
            self.callers.handle_freeze(entry)
        frozen_at = node.frozen_at

        def time_out() -> None:
            if node.is_frozen and node.frozen_at == frozen_at:
                for pair in list(self._connection_by_pair):
                    if node.name in pair:
                        self._disconnect(pair)

        self.time.call_later(DISCONNECT_TIMEOUT_S, time_out)

    def _disconnect(self, pair: tuple[str, str]) -> None:
        del self._connection_by_pair[pair]
        agent, entry = self.agent_by_name[pair[0]], self.entry_by_name[pair[1]]
        agent.execute(
            standstill.Ended(
                lambda: agent.perform(
                    agent.executor.handle_entry_disconnected(entry.name)
                ),
                entry.name,
            )
        )
        entry.execute(
            standstill.Ended(
                lambda: entry.perform(
                    entry.scheduler.handle_agent_disconnected(agent.name)
                ),
                agent.name,
            )
        )

    def partition(self, agent: str, entry: str, for_s: float) -> None:
        """Delay the messages of a pair; both ends notice it only after a timeout.

        :param agent: name of the agent.
        :param entry: name of the entry host.
        :param for_s: duration in seconds.
        """
        pair = (agent, entry)
        self.partitioned_pairs.add(pair)

        def disconnect() -> None:
            if pair in self._connection_by_pair and pair in self.partitioned_pairs:
                self._disconnect(pair)

        self.time.call_later(DISCONNECT_TIMEOUT_S, disconnect)
        self.time.call_later(for_s, lambda: self._heal(pair))

    def _heal(self, pair: tuple[str, str]) -> None:
        self.partitioned_pairs.discard(pair)
        for deliver in self._delayed_by_pair.pop(pair, []):
            deliver()

    def connected_entries(self, agent: str) -> list[str]:
        """Return the names of the entry hosts to which an agent is connected.

        :param agent: name of the agent.
        """
        return [pair[1] for pair in self._connection_by_pair if pair[0] == agent]

    def _delay_s(self, agent: str, entry: str) -> float:
        is_same_zone = self.agent_by_name[agent].zone == self.entry_by_name[entry].zone
        return SAME_ZONE_DELAY_S if is_same_zone else CROSS_ZONE_DELAY_S

    def _deliver(
        self,
        pair: tuple[str, str],
        connection: int,
        node: simnodes.SimulatedAgent | simnodes.SimulatedEntryHost,
        message: assignments.Message,
        action: Callable[[], None],
    ) -> None:
        incarnation, sent_at = node.incarnation, self.time.now()

        def read() -> None:
            events_before = len(self.events)
            action()
            events = (event for _, _, event, _ in self.events[events_before:])
            self.ages.record_message(message, self.time.now() - sent_at, events)

        def deliver() -> None:
            is_current = (
                self._connection_by_pair.get(pair) == connection
                and incarnation == node.incarnation
            )
            if is_current and pair in self.partitioned_pairs:
                # If the connection survives the partition, the message follows it.
                self._delayed_by_pair.setdefault(pair, []).append(deliver)
            elif is_current:
                source = pair[1] if pair[0] == node.name else pair[0]
                node.execute(standstill.Connected(read, source))

        self.time.call_later(self._delay_s(*pair), deliver)

    def send_to_entry(
        self, agent: str, entry: str, message: assignments.Message
    ) -> None:
        """Send a message from an agent to an entry host.

        :param agent: name of the sender.
        :param entry: name of the receiver.
        :param message: the message.
        """
        pair = (agent, entry)
        connection = self._connection_by_pair.get(pair)
        session = self.agent_by_name[agent].executor.session_by_entry.get(entry)
        if connection is None or session is None or not session.is_connected:
            return
        self.message_count_by_type[type(message)] += 1
        node = self.entry_by_name[entry]

        def handle() -> None:
            if agent not in node.scheduler.fleet.view_by_agent:
                return
            match message:
                case assignments.LoadReport():
                    node.perform(node.scheduler.handle_load_report(agent, message))
                case assignments.TaskEnd():
                    node.perform(node.scheduler.handle_task_end(agent, message))
                case assignments.WorkerInfo():
                    node.perform(node.scheduler.handle_worker_info(agent, message))

        self._deliver(pair, connection, node, message, handle)

    def send_to_agent(
        self, entry: str, agent: str, message: assignments.Message
    ) -> None:
        """Send a message from an entry host to an agent.

        :param entry: name of the sender.
        :param agent: name of the receiver.
        :param message: the message.
        """
        pair = (agent, entry)
        connection = self._connection_by_pair.get(pair)
        if connection is None:
            return
        self.message_count_by_type[type(message)] += 1
        node = self.agent_by_name[agent]

        def handle() -> None:
            if entry not in node.executor.session_by_entry:
                return
            match message:
                case assignments.Assign():
                    node.perform(node.executor.handle_assignment(entry, message))
                case assignments.Renewal():
                    node.executor.handle_renewal(entry, message)
                case assignments.Revoke():
                    node.perform(node.executor.handle_revocation(entry, message))
                case assignments.Demand():
                    node.executor.handle_demand(entry, message)
                    self.schedule_report(node, node.report_change)

        self._deliver(pair, connection, node, message, handle)

    # Callers.

    def schedule_load(self, begin: float, end: float, factor: float = 1.0) -> None:
        """Schedule jobs at random times, at the rates of their kinds.

        :param begin: start of the load, in seconds from now.
        :param end: end of the load, in seconds from now.
        :param factor: factor on all rates.
        """
        for kind in self.kinds:
            at = begin
            while True:
                at += self.rng.expovariate(kind.jobs_per_s * factor)
                if at >= end:
                    break
                self.submit_at(at, self.make_job(kind))

    def make_job(
        self, kind: simnodes.JobKind, is_poison: bool = False
    ) -> simnodes.CallerJob:
        """Return a job whose estimate differs from the durations of its tasks.

        :param kind: kind of the job.
        :param is_poison: whether all runs of its tasks fail.
        """
        job = f"{self.rng.getrandbits(64):016x}"
        works_s = []
        width = kind.width
        if kind.width_spread:
            factor = self.rng.lognormvariate(0, kind.width_spread)
            width = max(1, round(factor * kind.width))
        for index in range(width):
            work_s = kind.work_s * self.rng.lognormvariate(-0.08, 0.4)
            if self.rng.random() < 0.03:
                work_s *= 7
            works_s.append(work_s)
            key = assignments.TaskKey(job, 0, index)
            self.work_by_task[key] = (-work_s if is_poison else work_s, kind.cpu)
        estimate_s = kind.work_s * self.rng.uniform(0.6, 1.4)
        step = besteffort.Step(width, kind.cpu, 64, 0, estimate_s, label=kind.label)
        objective_s = 1.6 * max(works_s) + 0.06
        submission = besteffort.Submission(
            job,
            kind.name,
            "service",
            "text",
            (step,),
            kind.priority,
            3,
            1.6,
            0.06,
            3 * objective_s + 1,
        )
        return simnodes.CallerJob(job, kind, submission, 0.0, objective_s)

    def submit_at(
        self, at: float, caller_job: simnodes.CallerJob, entry: str | None = None
    ) -> None:
        """Let a caller submit a job.

        :param at: when, in seconds from now.
        :param caller_job: the job.
        :param entry: name of the entry host; ``None`` for a random one.
        """
        self.caller_jobs.append(caller_job)

        def send() -> None:
            caller_job.sent_at = self.time.now()
            self._submit(caller_job, entry)

        self.time.call_later(at, send)

    def _submit(self, caller_job: simnodes.CallerJob, entry: str | None = None) -> None:
        running_entries = [node for node in self.entry_by_name.values() if node.is_up]
        if not running_entries:
            self.retry(caller_job)
            return
        node = self.entry_by_name[entry] if entry else self._choose(running_entries)
        self.callers.connect(caller_job, node)

    def _choose(
        self, entries: list[simnodes.SimulatedEntryHost]
    ) -> simnodes.SimulatedEntryHost:
        """Return the entry host that a caller reaches."""
        load_by_zone = self._layout.load_by_zone
        if not load_by_zone:
            return self.rng.choice(entries)
        count_by_zone = collections.Counter(entry.zone for entry in entries)
        weights = [
            load_by_zone[entry.zone] / count_by_zone[entry.zone] for entry in entries
        ]
        return self.rng.choices(entries, weights)[0]

    def retry(self, caller_job: simnodes.CallerJob) -> None:
        """Submit a job again later, unless its deadline is too near.

        :param caller_job: the job.
        """
        caller_job.is_interrupted = True
        waited_s = self.time.now() - caller_job.sent_at
        if waited_s + RETRY_DELAY_S < caller_job.submission.deadline_s:
            self.time.call_later(RETRY_DELAY_S, lambda: self._submit(caller_job))

    def handle_outcome(
        self, caller_job: simnodes.CallerJob, outcome: besteffort.Outcome
    ) -> None:
        """Record the outcome of a job; retry the job if it was interrupted.

        :param caller_job: the job.
        :param outcome: the outcome.
        """
        caller_job.outcomes.append(outcome)
        caller_job.ended_at = self.time.now()
        if isinstance(outcome, besteffort.Interrupted):
            self.retry(caller_job)

    def run(self, seconds: float) -> None:
        """Advance the virtual time.

        :param seconds: by how much.
        """
        self.time.run_until(self.time.now() + seconds)

    # Results.

    def spans(self) -> list[simworker.Span]:
        """Return the spans of all runs on all workers."""
        return [
            span
            for agent in self.agent_by_name.values()
            for span in [*agent.worker.spans, *agent.worker.open_spans()]
        ]

    def earned_share_by_kind(self) -> dict[str, float]:
        """Return the share of the worth of its jobs that each kind earned."""
        shares: dict[str, float] = {}
        for kind in self.kinds:
            caller_jobs = [
                caller_job for caller_job in self.caller_jobs if caller_job.kind is kind
            ]
            earned = sum(caller_job.earned_share() for caller_job in caller_jobs)
            shares[kind.name] = earned / max(1, len(caller_jobs))
        return shares
