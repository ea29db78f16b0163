"""Entry hosts, agents and workers of best-effort jobs in virtual time.

The decisions are those of the daemons; the network, the workers and the callers are
stand-ins. Every run is repeatable from its seed.
"""

from __future__ import annotations

import collections
import random
from collections.abc import Callable

from burdockgate import assignments
from burdockgate.process import entrysessions, executoractions, selection
from burdockgate.request import besteffort
from burdockgate.standin import simnodes, simworker, virtualtime

REDIAL_INTERVAL_S = 0.05
DISCONNECT_TIMEOUT_S = 0.9
RETRY_DELAY_S = 1.3
# Delivery in a zone and between zones, one way.
SAME_ZONE_DELAY_S = 0.0002
CROSS_ZONE_DELAY_S = 0.0009


class Simulation:
    """The whole system.

    :param seed: seed of everything random.
    :param kinds: kinds of jobs.
    :param entries: number of entry hosts, spread over the zones.
    :param workers: number of workers, spread over the zones.
    :param zones: number of zones; 0 for one for each entry host.
    :param ordering: order of waiting jobs.
    :param chosen: weights of the choice of a worker.
    :param limits: what the agents keep to.
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
    ) -> None:
        zones = zones or entries
        self.rng = random.Random(seed)
        self.time = virtualtime.VirtualClock()
        self.kinds = kinds
        self.ordering = ordering or selection.ShortestFirst()
        self.selection = selection_settings or selection.SelectionSettings()
        self.limits = limits or executoractions.ExecutorSettings()
        self.message_count_by_type: collections.Counter[type] = collections.Counter()
        self.tickets = iter(range(1, 1 << 60))
        self.work_by_task: dict[assignments.TaskKey, tuple[float, int]] = {}
        self.caller_jobs: list[simnodes.CallerJob] = []
        self.events: list[tuple[float, str, str, dict[str, object]]] = []
        self.partitioned_pairs: set[tuple[str, str]] = set()
        self._connection_by_pair: dict[tuple[str, str], int] = {}
        self._connection_numbers = iter(range(1, 1 << 60))
        self._agents_with_scheduled_report: set[str] = set()
        self._delayed_by_pair: dict[tuple[str, str], list[Callable[[], None]]] = {}
        self.entry_by_name = {
            f"entry-{number}": simnodes.SimulatedEntryHost(
                self, f"entry-{number}", f"zone-{number % zones}"
            )
            for number in range(entries)
        }
        self.agent_by_name: dict[str, simnodes.SimulatedAgent] = {}
        for number in range(workers):
            speed = (0.8, 1.0, 1.25)[number % 3]
            cpu = (16_000, 16_000, 24_000)[number // 3 % 3]
            worker = simworker.SimulatedWorker(
                f"worker-{number}", cpu, speed, self.time, self.rng, self._work_of
            )
            zone = f"zone-{number % zones}"
            name = f"agent-{number}"
            self.agent_by_name[name] = simnodes.SimulatedAgent(self, name, zone, worker)
        self._connect_all()

    def _work_of(self, task: assignments.TaskKey) -> tuple[float, int]:
        return self.work_by_task[task]

    def record_event(self, who: str, event: str, fields: dict[str, object]) -> None:
        """Keep a log line.

        :param who: name of the process.
        :param event: the event.
        :param fields: its fields.
        """
        self.events.append((self.time.now(), who, event, fields))

    def schedule_report(
        self, agent: simnodes.SimulatedAgent, action: Callable[[], None]
    ) -> None:
        """Run the report of an agent once in a few milliseconds.

        :param agent: the agent.
        :param action: what to run.
        """
        if agent.name not in self._agents_with_scheduled_report:
            self._agents_with_scheduled_report.add(agent.name)

            def later() -> None:
                self._agents_with_scheduled_report.discard(agent.name)
                agent.execute(action)

            self.time.call_later(0.004, later)

    # Links.

    def _connect_all(self) -> None:
        """Link every pair that can be linked, as the dialling agents do."""
        for agent in self.agent_by_name.values():
            for entry in self.entry_by_name.values():
                self._connect(agent, entry)
        self.time.call_later(REDIAL_INTERVAL_S, self._connect_all)

    def _connect(
        self, agent: simnodes.SimulatedAgent, entry: simnodes.SimulatedEntryHost
    ) -> None:
        pair = (agent.name, entry.name)
        is_blocked = (
            pair in self.partitioned_pairs or agent.is_frozen or not agent.is_up
        )
        if pair in self._connection_by_pair or is_blocked:
            return
        if not entry.is_up:
            agent.perform(agent.executor.handle_entry_gone(entry.name))
            return
        if entry.is_frozen:
            return
        self._connection_by_pair[pair] = next(self._connection_numbers)
        boot, held = agent.executor.session_state(entry.name)
        hello = assignments.AgentHello(
            1, agent.name, agent.boot, agent.zone, boot, held
        )
        entry_boot = entry.boot
        link = self._connection_by_pair[pair]
        self._deliver(
            pair,
            link,
            entry,
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
        agent.perform(
            agent.executor.handle_entry_connected(entry.name, entry_boot, distance)
        )
        agent.report()

    def reset_connections(self, agent: str = "", entry: str = "") -> None:
        """Reset connections; both ends see it.

        :param agent: only those of this agent; empty for any.
        :param entry: only those of this entry host; empty for any.
        """
        for pair in list(self._connection_by_pair):
            if agent in ("", pair[0]) and entry in ("", pair[1]):
                self._disconnect(pair)

    def _disconnect(self, pair: tuple[str, str]) -> None:
        del self._connection_by_pair[pair]
        agent, entry = self.agent_by_name[pair[0]], self.entry_by_name[pair[1]]
        agent.execute(
            lambda: agent.perform(agent.executor.handle_entry_disconnected(entry.name))
        )
        entry.execute(
            lambda: entry.perform(entry.scheduler.handle_agent_disconnected(agent.name))
        )

    def partition(self, agent: str, entry: str, for_s: float) -> None:
        """Cut a pair off from each other without a word.

        :param agent: name of the agent.
        :param entry: name of the entry host.
        :param for_s: how long.
        """
        pair = (agent, entry)
        self.partitioned_pairs.add(pair)

        def notice() -> None:
            if pair in self._connection_by_pair and pair in self.partitioned_pairs:
                self._disconnect(pair)

        self.time.call_later(DISCONNECT_TIMEOUT_S, notice)
        self.time.call_later(for_s, lambda: self._heal(pair))

    def _heal(self, pair: tuple[str, str]) -> None:
        self.partitioned_pairs.discard(pair)
        for arrive in self._delayed_by_pair.pop(pair, []):
            arrive()

    def connected_entries(self, agent: str) -> list[str]:
        """Return the entry hosts that an agent is connected with.

        :param agent: its name.
        """
        return [pair[1] for pair in self._connection_by_pair if pair[0] == agent]

    def _delay_s(self, agent: str, entry: str) -> float:
        same = self.agent_by_name[agent].zone == self.entry_by_name[entry].zone
        return SAME_ZONE_DELAY_S if same else CROSS_ZONE_DELAY_S

    def _deliver(
        self,
        pair: tuple[str, str],
        link: int,
        node: simnodes.SimulatedAgent | simnodes.SimulatedEntryHost,
        action: Callable[[], None],
    ) -> None:
        life = node.incarnation

        def arrive() -> None:
            is_same = (
                self._connection_by_pair.get(pair) == link and life == node.incarnation
            )
            if is_same and pair in self.partitioned_pairs:
                # A connection that outlives a cut delivers what was held up.
                self._delayed_by_pair.setdefault(pair, []).append(arrive)
            elif is_same:
                node.execute(action)

        self.time.call_later(self._delay_s(*pair), arrive)

    def send_to_entry(
        self, agent: str, entry: str, message: assignments.Message
    ) -> None:
        """Send a message of an agent.

        :param agent: the sender.
        :param entry: the receiver.
        :param message: the message.
        """
        pair = (agent, entry)
        link = self._connection_by_pair.get(pair)
        if link is None:
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

        self._deliver(pair, link, node, handle)

    def send_to_agent(
        self, entry: str, agent: str, message: assignments.Message
    ) -> None:
        """Send a message of an entry host.

        :param entry: the sender.
        :param agent: the receiver.
        :param message: the message.
        """
        pair = (agent, entry)
        link = self._connection_by_pair.get(pair)
        if link is None:
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
                    node.perform(node.executor.handle_revocation(message))
                case assignments.Demand():
                    node.executor.handle_demand(entry, message)
                    self.schedule_report(node, node.report_change)

        self._deliver(pair, link, node, handle)

    # Callers.

    def schedule_load(self, begin: float, end: float, factor: float = 1.0) -> None:
        """Let callers send jobs at the rates of their kinds.

        :param begin: first second of the load, from the start of the simulation.
        :param end: last second.
        :param factor: on all rates.
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
        """Return a job whose durations are not known to the system.

        :param kind: its kind.
        :param is_poison: whether its tasks always fail.
        """
        job = f"{self.rng.getrandbits(64):016x}"
        works = []
        for index in range(kind.width):
            work_s = kind.work_s * self.rng.lognormvariate(-0.08, 0.4)
            if self.rng.random() < 0.03:
                work_s *= 7
            works.append(work_s)
            key = assignments.TaskKey(job, 0, index)
            self.work_by_task[key] = (-work_s if is_poison else work_s, kind.cpu)
        estimate_s = kind.work_s * self.rng.uniform(0.6, 1.4)
        step = besteffort.Step(kind.width, kind.cpu, 64, 0, estimate_s)
        objective_s = 1.6 * max(works) + 0.06
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
        """Let a caller send a job.

        :param at: when, in seconds from the start of the simulation.
        :param caller_job: the job.
        :param entry: name of the entry host; ``None`` picks one.
        """
        self.caller_jobs.append(caller_job)

        def send() -> None:
            caller_job.sent_at = self.time.now()
            self._submit(caller_job, entry)

        self.time.call_later(at, send)

    def _submit(self, caller_job: simnodes.CallerJob, entry: str | None = None) -> None:
        up = [node for node in self.entry_by_name.values() if node.is_up]
        if not up:
            self.retry(caller_job)
            return
        node = self.entry_by_name[entry] if entry else self.rng.choice(up)
        node.execute(lambda: node.submit(caller_job))

    def retry(self, caller_job: simnodes.CallerJob) -> None:
        """Send a job again after its connection broke.

        :param caller_job: the job.
        """
        caller_job.is_interrupted = True
        waited_s = self.time.now() - caller_job.sent_at
        if waited_s + RETRY_DELAY_S < caller_job.submission.deadline_s:
            self.time.call_later(RETRY_DELAY_S, lambda: self._submit(caller_job))

    def handle_outcome(
        self, caller_job: simnodes.CallerJob, outcome: besteffort.Outcome
    ) -> None:
        """Handle an answer.

        :param caller_job: the job.
        :param verdict: the answer.
        """
        caller_job.outcomes.append(outcome)
        caller_job.ended_at = self.time.now()
        if isinstance(outcome, besteffort.Interrupted):
            self.retry(caller_job)

    def run(self, seconds: float) -> None:
        """Let time pass.

        :param seconds: how long.
        """
        self.time.run_until(self.time.now() + seconds)

    # Results.

    def spans(self) -> list[simworker.Span]:
        """Return all runs on all workers."""
        return [
            span
            for agent in self.agent_by_name.values()
            for span in [*agent.worker.spans, *agent.worker.open_spans()]
        ]

    def earned_share_by_kind(self) -> dict[str, float]:
        """Return the share of the worth that was earned, by kind."""
        shares: dict[str, float] = {}
        for kind in self.kinds:
            caller_jobs = [
                caller_job for caller_job in self.caller_jobs if caller_job.kind is kind
            ]
            earned = sum(caller_job.earned_share() for caller_job in caller_jobs)
            shares[kind.name] = earned / max(1, len(caller_jobs))
        return shares
