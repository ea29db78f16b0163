"""Entry hosts, agents and workers of best-effort jobs in virtual time.

The decisions are those of the daemons; the network, the workers and the callers are
stand-ins. Every run is repeatable from its seed.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Iterator

import attrs

from burdockgate import assignments
from burdockgate.process import control, gate, scheduler, selection
from burdockgate.request import batch
from burdockgate.standin import leased, virtual

ORDER_TIMEOUT_S = 0.08
LOOK_TIMEOUT_S = 0.25
ASSIGN_S = 0.001
ORDER_S = 0.0005
TICK_S = 0.025
REPORT_S = 0.2
HEARTBEAT_S = 1.5
REDIAL_S = 0.05
SILENCE_S = 0.9
RESEND_S = 1.3
# Delivery in a zone and between zones, one way.
NEAR_S = 0.0002
FAR_S = 0.0009


@attrs.frozen
class Kind:
    """A kind of job, as the load is made.

    :param work_s: mean duration of a task at speed 1.
    :param per_s: jobs a second over all entry hosts.
    :param worth: what a job on time is worth.
    """

    name: str
    width: int
    work_s: float
    cpu: int
    per_s: float
    priority: int
    worth: float


@attrs.define
class Order:
    """One job of a caller and what became of it."""

    job: str
    kind: Kind
    submission: batch.Submission
    sent_at: float
    objective_s: float
    verdicts: list[batch.Verdict] = attrs.field(factory=list)
    ended_at: float | None = None
    is_interrupted: bool = False

    def credit(self) -> float:
        """Return the share of its worth: 1 on time, 0.2 late, 0 otherwise."""
        if self.ended_at is None or not self.is_completed:
            return 0.0
        took_s = self.ended_at - self.sent_at
        if took_s <= self.objective_s:
            return 1.0
        return 0.2 if took_s <= batch.LATE_FACTOR * self.objective_s else 0.0

    @property
    def is_completed(self) -> bool:
        """Whether the caller was told that all tasks are done."""
        return any(isinstance(verdict, batch.Completed) for verdict in self.verdicts)


class ModelNode:
    """A process that can be killed and frozen.

    :param model: the system.
    :param name: name of the process.
    :param zone: its zone.
    """

    def __init__(self, model: Model, name: str, zone: str) -> None:
        self.model, self.name, self.zone = model, name, zone
        self.is_up = True
        self.is_frozen = False
        self.life = 0
        self._inbox: list[Callable[[], None]] = []

    def run(self, action: Callable[[], None]) -> None:
        """Run something now, or when the process thaws; a dead one drops it.

        :param action: what to run.
        """
        if self.is_frozen:
            self._inbox.append(action)
        elif self.is_up:
            action()

    def freeze(self, for_s: float) -> None:
        """Stand still.

        :param for_s: how long.
        """
        self.is_frozen = True
        self.model.time.call_later(for_s, self._thaw)

    def _thaw(self) -> None:
        self.is_frozen = False
        inbox, self._inbox = self._inbox, []
        for action in inbox:
            self.run(action)

    def end(self) -> None:
        """End the process, without a word to others."""
        self.is_up, self.life = False, self.life + 1
        self._inbox.clear()


class ModelAgent(ModelNode):
    """An agent with its worker.

    :param model: the system.
    :param name: name of the agent.
    :param zone: its zone.
    :param worker: its worker.
    """

    def __init__(
        self, model: Model, name: str, zone: str, worker: leased.LeasedWorker
    ) -> None:
        super().__init__(model, name, zone)
        self.worker = worker
        self.sequence = 0
        self.is_draining = False
        self.drained_at: float | None = None
        self._begin()

    def _begin(self) -> None:
        self.boot = self.model.rng.getrandbits(60)
        self.gate = gate.Gate(gate.GateSettings(), self.model.time)
        self.info_sent: set[tuple[str, assignments.WorkerInfo]] = set()
        life = self.life
        self._every(TICK_S, lambda: self.perform(self.gate.tick()), life)
        self._every(REPORT_S, self.report, life)
        self._every(HEARTBEAT_S, self._beat, life)
        self.model.time.call_later(0.01, lambda: self._look(life))

    def _every(self, interval_s: float, action: Callable[[], None], life: int) -> None:
        def again() -> None:
            if life != self.life:
                return
            self.run(action)
            self.model.time.call_later(interval_s, again)

        self.model.time.call_later(self.model.rng.random() * interval_s, again)

    def kill(self) -> None:
        """End the process."""
        self.end()
        self.model.break_links(agent=self.name)

    def restart(self) -> None:
        """Start the process again."""
        self.is_up = True
        self._begin()

    def _beat(self) -> None:
        if self.worker.faults.is_cut:
            return
        self.sequence += 1
        if self.is_draining and self.drained_at is None:
            self.drained_at = self.model.time.now()
        told = self.worker.announcement(self.sequence, self.is_draining)
        self.perform(self.gate.announced(told))

    def _look(self, life: int) -> None:
        if life != self.life:
            return
        order = self.gate.next_look() if not self.is_frozen else None
        if order is None:
            self.model.time.call_later(0.05, lambda: self._look(life))
            return
        self._send_look(order, lambda: self._look(life), life)

    def _send_look(
        self, order: control.LookOrder, then: Callable[[], None], life: int
    ) -> None:
        state = {"done": False}

        def finish(answer: control.LookAnswer) -> None:
            if state["done"] or life != self.life:
                return
            state["done"] = True

            def handle() -> None:
                self.perform(self.gate.looked(order, answer))
                pause_s = 0.0 if isinstance(answer, control.Snapshot) else 0.05
                self.model.time.call_later(pause_s, then)

            self.run(handle)

        time = self.model.time
        limit_s = order.wait_ms / 1000 + LOOK_TIMEOUT_S
        time.call_later(limit_s, lambda: finish(control.Unanswered()))

        def answered(answer: control.LookAnswer) -> None:
            time.call_later(ORDER_S, lambda: finish(answer))

        def arrive() -> None:
            if not self.worker.faults.is_cut:
                self.worker.look(order, answered)

        time.call_later(ORDER_S, arrive)

    def perform(self, wanted: Iterable[gate.Effect]) -> None:
        """Perform effects of the gate.

        :param wanted: the effects.
        """
        for effect in wanted:
            match effect:
                case gate.Send(to, message):
                    self.model.to_entry(self.name, to, message)
                case gate.Start(start):
                    self._order(
                        lambda start=start: self.worker.start(start),  # type: ignore[misc]
                        lambda answer, start=start: self.gate.start_answered(  # type: ignore[misc]
                            start, answer
                        ),
                    )
                case gate.Stop(stop):
                    self._order(
                        lambda stop=stop: self.worker.stop(stop),  # type: ignore[misc]
                        lambda answer, stop=stop: self.gate.stop_answered(  # type: ignore[misc]
                            stop, answer
                        ),
                    )
                case gate.Look(look):
                    self._send_look(look, lambda: None, self.life)
                case gate.Note(event, fields):
                    self.model.note(self.name, event, fields)
                    continue
            self.model.soon(self, self.report)

    def _order(
        self,
        carry_out: Callable[[], control.OrderAnswer],
        handle: Callable[[control.OrderAnswer], Iterator[gate.Effect]],
    ) -> None:
        life, time, faults = self.life, self.model.time, self.worker.faults

        def finish(answer: control.OrderAnswer) -> None:
            if life == self.life:
                self.run(lambda: self.perform(handle(answer)))

        if faults.is_cut:
            time.call_later(ORDER_TIMEOUT_S, lambda: finish(control.Unanswered()))
        elif self.worker.is_order_lost():
            late_s = self.model.rng.uniform(*leased.LATE_S)
            time.call_later(late_s, carry_out)
            time.call_later(ORDER_TIMEOUT_S, lambda: finish(control.Unanswered()))
        else:

            def arrive() -> None:
                answer = carry_out()
                time.call_later(ORDER_S, lambda: finish(answer))

            time.call_later(ORDER_S, arrive)

    def report(self) -> None:
        """Send the load to every linked entry host."""
        info, loads = self.gate.worker_info(), self.gate.loads()
        for entry in self.model.linked_entries(self.name):
            if info is not None and (entry, info) not in self.info_sent:
                self.info_sent.add((entry, info))
                self.model.to_entry(self.name, entry, info)
            if entry in loads:
                self.model.to_entry(self.name, entry, loads[entry])


class ModelEntry(ModelNode):
    """An entry host.

    :param model: the system.
    :param name: its name.
    :param zone: its zone.
    """

    def __init__(self, model: Model, name: str, zone: str) -> None:
        super().__init__(model, name, zone)
        self._begin()

    def _begin(self) -> None:
        self.boot = self.model.rng.getrandbits(60)
        self.order_by_ticket: dict[int, Order] = {}
        self.scheduler = scheduler.Scheduler(
            self.zone,
            scheduler.SchedulerSettings(
                agent_gone_s=scheduler.agent_gone_s(gate.GateSettings())
            ),
            self.model.selection,
            self.model.ordering,
            self.model.time,
            self.model.rng,
        )
        life = self.life

        def tick() -> None:
            if life == self.life:
                self.run(lambda: self.perform(self.scheduler.tick()))
                self.model.time.call_later(TICK_S, tick)

        self.model.time.call_later(self.model.rng.random() * TICK_S, tick)

    def kill(self) -> None:
        """End the process; its callers see their connections break."""
        self.end()
        orders, self.order_by_ticket = list(self.order_by_ticket.values()), {}
        self.model.break_links(entry=self.name)
        for order in orders:
            self.model.resend(order)

    def restart(self) -> None:
        """Start the process again."""
        self.is_up = True
        self._begin()

    def submit(self, order: Order) -> None:
        """Take a job.

        :param order: the job.
        """
        ticket = next(self.model.tickets)
        self.order_by_ticket[ticket] = order
        self.perform(self.scheduler.submit(order.submission, ticket))

    def perform(self, wanted: Iterable[scheduler.Effect]) -> None:
        """Perform effects of the scheduler.

        :param wanted: the effects.
        """
        for effect in wanted:
            match effect:
                case scheduler.Send(to, message):
                    self.model.to_agent(self.name, to, message)
                case scheduler.AssignSoon():
                    self.model.time.call_later(
                        ASSIGN_S,
                        lambda: self.run(lambda: self.perform(self.scheduler.assign())),
                    )
                case scheduler.Conclude(ticket, _, verdict):
                    order = self.order_by_ticket.pop(ticket, None)
                    if order is not None:
                        self.model.concluded(order, verdict)
                case scheduler.Note(event, fields):
                    self.model.note(self.name, event, fields)


class Model:
    """The whole system.

    :param seed: seed of everything random.
    :param kinds: kinds of jobs.
    :param entries: number of entry hosts, one in each zone.
    :param workers: number of workers, spread over the zones.
    :param ordering: order of waiting jobs.
    :param chosen: weights of the choice of a worker.
    """

    def __init__(
        self,
        seed: int,
        kinds: tuple[Kind, ...],
        entries: int = 4,
        workers: int = 11,
        ordering: selection.Ordering | None = None,
        chosen: selection.SelectionSettings | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        self.time = virtual.VirtualTime()
        self.kinds = kinds
        self.ordering = ordering or selection.ShortestFirst()
        self.selection = chosen or selection.SelectionSettings()
        self.tickets = iter(range(1, 1 << 60))
        self.work_by_task: dict[assignments.TaskKey, tuple[float, int]] = {}
        self.orders: list[Order] = []
        self.notes: list[tuple[float, str, str, dict[str, object]]] = []
        self.cut_pairs: set[tuple[str, str]] = set()
        self._linked: dict[tuple[str, str], int] = {}
        self._link_numbers = iter(range(1, 1 << 60))
        self._soon: set[str] = set()
        self._held_up: dict[tuple[str, str], list[Callable[[], None]]] = {}
        self.entry_by_name = {
            f"entry-{number}": ModelEntry(self, f"entry-{number}", f"zone-{number}")
            for number in range(entries)
        }
        self.agent_by_name: dict[str, ModelAgent] = {}
        for number in range(workers):
            speed = (0.8, 1.0, 1.25)[number % 3]
            cpu = (16_000, 16_000, 24_000)[number // 3 % 3]
            worker = leased.LeasedWorker(
                f"worker-{number}", cpu, speed, self.time, self.rng, self._work_of
            )
            zone = f"zone-{number % entries}"
            name = f"agent-{number}"
            self.agent_by_name[name] = ModelAgent(self, name, zone, worker)
        self._watch()

    def _work_of(self, task: assignments.TaskKey) -> tuple[float, int]:
        return self.work_by_task[task]

    def note(self, who: str, event: str, fields: dict[str, object]) -> None:
        """Keep a log line.

        :param who: name of the process.
        :param event: the event.
        :param fields: its fields.
        """
        self.notes.append((self.time.now(), who, event, fields))

    def soon(self, agent: ModelAgent, action: Callable[[], None]) -> None:
        """Run the report of an agent once in a few milliseconds.

        :param agent: the agent.
        :param action: what to run.
        """
        if agent.name not in self._soon:
            self._soon.add(agent.name)

            def later() -> None:
                self._soon.discard(agent.name)
                agent.run(action)

            self.time.call_later(0.004, later)

    # Links.

    def _watch(self) -> None:
        """Link every pair that can be linked, as the dialling agents do."""
        for agent in self.agent_by_name.values():
            for entry in self.entry_by_name.values():
                self._relink(agent, entry)
        self.time.call_later(REDIAL_S, self._watch)

    def _relink(self, agent: ModelAgent, entry: ModelEntry) -> None:
        pair = (agent.name, entry.name)
        is_blocked = pair in self.cut_pairs or agent.is_frozen or not agent.is_up
        if pair in self._linked or is_blocked:
            return
        if not entry.is_up:
            agent.perform(agent.gate.refused(entry.name))
            return
        if entry.is_frozen:
            return
        self._linked[pair] = next(self._link_numbers)
        boot, held = agent.gate.hello(entry.name)
        hello = assignments.AgentHello(
            1, agent.name, agent.boot, agent.zone, boot, held
        )
        entry_boot = entry.boot
        link = self._linked[pair]
        self._deliver(
            pair,
            link,
            entry,
            lambda: entry.perform(entry.scheduler.linked(hello, entry_boot)),
        )
        agent.info_sent = {sent for sent in agent.info_sent if sent[0] != entry.name}
        agent.perform(agent.gate.linked(entry.name, entry_boot))
        agent.report()

    def break_links(self, agent: str = "", entry: str = "") -> None:
        """Reset connections; both ends see it.

        :param agent: only those of this agent; empty for any.
        :param entry: only those of this entry host; empty for any.
        """
        for pair in list(self._linked):
            if agent in ("", pair[0]) and entry in ("", pair[1]):
                self._unlink(pair)

    def _unlink(self, pair: tuple[str, str]) -> None:
        del self._linked[pair]
        agent, entry = self.agent_by_name[pair[0]], self.entry_by_name[pair[1]]
        agent.run(lambda: agent.perform(agent.gate.unlinked(entry.name)))
        entry.run(lambda: entry.perform(entry.scheduler.unlinked(agent.name)))

    def cut(self, agent: str, entry: str, for_s: float) -> None:
        """Cut a pair off from each other without a word.

        :param agent: name of the agent.
        :param entry: name of the entry host.
        :param for_s: how long.
        """
        pair = (agent, entry)
        self.cut_pairs.add(pair)

        def notice() -> None:
            if pair in self._linked and pair in self.cut_pairs:
                self._unlink(pair)

        self.time.call_later(SILENCE_S, notice)
        self.time.call_later(for_s, lambda: self._heal(pair))

    def _heal(self, pair: tuple[str, str]) -> None:
        self.cut_pairs.discard(pair)
        for arrive in self._held_up.pop(pair, []):
            arrive()

    def linked_entries(self, agent: str) -> list[str]:
        """Return the entry hosts that an agent is connected with.

        :param agent: its name.
        """
        return [pair[1] for pair in self._linked if pair[0] == agent]

    def _delay_s(self, agent: str, entry: str) -> float:
        same = self.agent_by_name[agent].zone == self.entry_by_name[entry].zone
        return NEAR_S if same else FAR_S

    def _deliver(
        self,
        pair: tuple[str, str],
        link: int,
        node: ModelAgent | ModelEntry,
        action: Callable[[], None],
    ) -> None:
        life = node.life

        def arrive() -> None:
            is_same = self._linked.get(pair) == link and life == node.life
            if is_same and pair in self.cut_pairs:
                # A connection that outlives a cut delivers what was held up.
                self._held_up.setdefault(pair, []).append(arrive)
            elif is_same:
                node.run(action)

        self.time.call_later(self._delay_s(*pair), arrive)

    def to_entry(self, agent: str, entry: str, message: assignments.Message) -> None:
        """Send a message of an agent.

        :param agent: the sender.
        :param entry: the receiver.
        :param message: the message.
        """
        pair = (agent, entry)
        link = self._linked.get(pair)
        if link is None:
            return
        node = self.entry_by_name[entry]

        def handle() -> None:
            if agent not in node.scheduler.fleet.by_agent:
                return
            match message:
                case assignments.LoadReport():
                    node.perform(node.scheduler.reported(agent, message))
                case assignments.TaskEnd():
                    node.perform(node.scheduler.ended(agent, message))
                case assignments.WorkerInfo():
                    node.perform(node.scheduler.informed(agent, message))

        self._deliver(pair, link, node, handle)

    def to_agent(self, entry: str, agent: str, message: assignments.Message) -> None:
        """Send a message of an entry host.

        :param entry: the sender.
        :param agent: the receiver.
        :param message: the message.
        """
        pair = (agent, entry)
        link = self._linked.get(pair)
        if link is None:
            return
        node = self.agent_by_name[agent]

        def handle() -> None:
            if entry not in node.gate.session_by_owner:
                return
            match message:
                case assignments.Assign():
                    node.perform(node.gate.assigned(entry, message))
                case assignments.Renewal():
                    node.gate.renewed(entry, message)
                case assignments.Revoke():
                    node.perform(node.gate.revoked(message))
                case assignments.Demand():
                    node.gate.demanded(entry, message)
                    self.soon(node, node.report)

        self._deliver(pair, link, node, handle)

    # Callers.

    def load(self, begin: float, end: float, factor: float = 1.0) -> None:
        """Let callers send jobs at the rates of their kinds.

        :param begin: first second of the load, from the start of the model.
        :param end: last second.
        :param factor: on all rates.
        """
        for kind in self.kinds:
            at = begin
            while True:
                at += self.rng.expovariate(kind.per_s * factor)
                if at >= end:
                    break
                self.send_at(at, self.make(kind))

    def make(self, kind: Kind, is_poison: bool = False) -> Order:
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
        step = batch.Step(kind.width, kind.cpu, 64, 0, estimate_s)
        objective_s = 1.6 * max(works) + 0.06
        submission = batch.Submission(
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
        return Order(job, kind, submission, 0.0, objective_s)

    def send_at(self, at: float, order: Order, entry: str | None = None) -> None:
        """Let a caller send a job.

        :param at: when, in seconds from the start of the model.
        :param order: the job.
        :param entry: name of the entry host; ``None`` picks one.
        """
        self.orders.append(order)

        def send() -> None:
            order.sent_at = self.time.now()
            self._send(order, entry)

        self.time.call_later(at, send)

    def _send(self, order: Order, entry: str | None = None) -> None:
        up = [node for node in self.entry_by_name.values() if node.is_up]
        if not up:
            self.resend(order)
            return
        node = self.entry_by_name[entry] if entry else self.rng.choice(up)
        node.run(lambda: node.submit(order))

    def resend(self, order: Order) -> None:
        """Send a job again after its connection broke.

        :param order: the job.
        """
        order.is_interrupted = True
        waited_s = self.time.now() - order.sent_at
        if waited_s + RESEND_S < order.submission.deadline_s:
            self.time.call_later(RESEND_S, lambda: self._send(order))

    def concluded(self, order: Order, verdict: batch.Verdict) -> None:
        """Handle an answer.

        :param order: the job.
        :param verdict: the answer.
        """
        order.verdicts.append(verdict)
        order.ended_at = self.time.now()
        if isinstance(verdict, batch.Interrupted):
            self.resend(order)

    def run(self, seconds: float) -> None:
        """Let time pass.

        :param seconds: how long.
        """
        self.time.run_until(self.time.now() + seconds)

    # Results.

    def spans(self) -> list[leased.Span]:
        """Return all runs on all workers."""
        return [
            span
            for agent in self.agent_by_name.values()
            for span in [*agent.worker.spans, *agent.worker.open_spans()]
        ]

    def credit(self) -> dict[str, float]:
        """Return the share of the worth that was earned, by kind."""
        shares: dict[str, float] = {}
        for kind in self.kinds:
            orders = [order for order in self.orders if order.kind is kind]
            earned = sum(order.credit() for order in orders)
            shares[kind.name] = earned / max(1, len(orders))
        return shares


def violations(model: Model) -> Iterator[str]:
    """Yield what breaks a promise in a model's run.

    :param model: the model, after its run.
    """
    yield from _overlaps(model.spans())
    yield from _overloads(model)
    yield from _false_answers(model)


def _overlaps(spans: list[leased.Span]) -> Iterator[str]:
    """Yield tasks with two runs at the same time."""
    by_task: dict[assignments.TaskKey, list[leased.Span]] = {}
    for span in spans:
        by_task.setdefault(span.key.task, []).append(span)
    for task, found in by_task.items():
        found.sort(key=lambda span: span.began)
        for first, second in zip(found, found[1:], strict=False):
            if second.began < first.ended - 1e-9:
                yield (
                    f"twice: {task} run {first.key.run} on {first.worker} until "
                    f"{first.ended:.3f}, run {second.key.run} on {second.worker} from "
                    f"{second.began:.3f}"
                )


def _overloads(model: Model) -> Iterator[str]:
    """Yield workers whose capacity was exceeded."""
    for agent in model.agent_by_name.values():
        worker = agent.worker
        steps = [
            step
            for span in [*worker.spans, *worker.open_spans()]
            for step in ((span.began, 1, span.cpu), (span.ended, 0, -span.cpu))
        ]
        used = 0
        for at, _, cpu in sorted(steps):
            used += cpu
            if used > worker.cpu:
                yield f"limit: {worker.name} has {used} of {worker.cpu} at {at:.3f}"
                break


def _false_answers(model: Model) -> Iterator[str]:
    """Yield answers that are not true."""
    done: dict[str, set[int]] = {}
    started: set[str] = set()
    for span in model.spans():
        started.add(span.key.task.job)
        if span.reason is control.EndReason.DONE:
            done.setdefault(span.key.task.job, set()).add(span.key.task.index)
    for order in model.orders:
        if order.is_completed and len(done.get(order.job, ())) != order.kind.width:
            yield f"partial: {order.job} is shown as completed"
        # A refusal speaks of its own submission: an earlier one, whose connection
        # broke, may have run.
        only_refused = (
            order.verdicts
            and not order.is_interrupted
            and all(isinstance(verdict, batch.Refused) for verdict in order.verdicts)
        )
        if only_refused and order.job in started:
            yield f"refused: {order.job} was refused and has run"
