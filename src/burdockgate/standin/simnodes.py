"""Agents, entry hosts and callers' jobs in the simulation of best-effort jobs."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import TYPE_CHECKING

import attrs

from burdockgate.process import (
    actions,
    assigner,
    executor,
    executoractions,
    scheduler,
    workercontrol,
)
from burdockgate.request import besteffort
from burdockgate.standin import simworker

if TYPE_CHECKING:
    from burdockgate import assignments
    from burdockgate.standin import simulation

COMMAND_TIMEOUT_S = 0.08
POLL_TIMEOUT_S = 0.25
ASSIGN_DELAY_S = 0.001
COMMAND_LATENCY_S = 0.0005
AGENT_TICK_INTERVAL_S = 0.1
ENTRY_TICK_INTERVAL_S = 0.02
REPORT_INTERVAL_S = 0.2
HEARTBEAT_INTERVAL_S = 1.5


@attrs.frozen
class JobKind:
    """A kind of job, as the load is made.

    :param work_s: mean duration of a task at speed 1.
    :param per_s: jobs a second over all entry hosts.
    :param worth: what a job on time is worth.
    """

    name: str
    width: int
    work_s: float
    cpu: int
    jobs_per_s: float
    priority: int
    worth: float


@attrs.define
class CallerJob:
    """One job of a caller and what became of it."""

    job: str
    kind: JobKind
    submission: besteffort.Submission
    sent_at: float
    objective_s: float
    outcomes: list[besteffort.Outcome] = attrs.field(factory=list)
    ended_at: float | None = None
    is_interrupted: bool = False

    def earned_share(self) -> float:
        """Return the share of its worth: 1 on time, 0.2 late, 0 otherwise."""
        if self.ended_at is None or not self.is_completed:
            return 0.0
        took_s = self.ended_at - self.sent_at
        if took_s <= self.objective_s:
            return 1.0
        return 0.2 if took_s <= besteffort.LATE_FACTOR * self.objective_s else 0.0

    @property
    def is_completed(self) -> bool:
        """Whether the caller was told that all tasks are done."""
        return any(
            isinstance(verdict, besteffort.Completed) for verdict in self.outcomes
        )


class SimulatedNode:
    """A process that can be killed and frozen.

    :param sim: the simulation.
    :param name: name of the process.
    :param zone: its zone.
    """

    def __init__(self, sim: simulation.Simulation, name: str, zone: str) -> None:
        self.sim, self.name, self.zone = sim, name, zone
        self.is_up = True
        self.is_frozen = False
        self.incarnation = 0
        self._deferred: list[Callable[[], None]] = []

    def execute(self, action: Callable[[], None]) -> None:
        """Run something now, or when the process thaws; a dead one drops it.

        :param action: what to run.
        """
        if self.is_frozen:
            self._deferred.append(action)
        elif self.is_up:
            action()

    def freeze(self, for_s: float) -> None:
        """Stand still.

        :param for_s: how long.
        """
        self.is_frozen = True
        self.sim.time.call_later(for_s, self._resume)

    def _resume(self) -> None:
        self.is_frozen = False
        inbox, self._deferred = self._deferred, []
        for action in inbox:
            self.execute(action)

    def terminate(self) -> None:
        """End the process, without a word to others."""
        self.is_up, self.incarnation = False, self.incarnation + 1
        self._deferred.clear()


def _discard(answer: workercontrol.PollResult) -> None:
    """Lose the answer to a poll."""


class SimulatedAgent(SimulatedNode):
    """An agent with its worker.

    :param sim: the simulation.
    :param name: name of the agent.
    :param zone: its zone.
    :param worker: its worker.
    """

    def __init__(
        self,
        sim: simulation.Simulation,
        name: str,
        zone: str,
        worker: simworker.SimulatedWorker,
    ) -> None:
        super().__init__(sim, name, zone)
        self.worker = worker
        self.sequence = 0
        self.is_draining = False
        self.drained_at: float | None = None
        self._start()

    def _start(self) -> None:
        self.boot = self.sim.rng.getrandbits(60)
        self.executor = executor.Executor(self.sim.limits, self.sim.time)
        self.sent_worker_info: set[tuple[str, assignments.WorkerInfo]] = set()
        life = self.incarnation
        self._repeat(
            AGENT_TICK_INTERVAL_S, lambda: self.perform(self.executor.tick()), life
        )
        self._repeat(REPORT_INTERVAL_S, self.report, life)
        self._repeat(HEARTBEAT_INTERVAL_S, self._send_heartbeat, life)
        self.sim.time.call_later(0.01, lambda: self._poll(life))

    def _repeat(self, interval_s: float, action: Callable[[], None], life: int) -> None:
        def again() -> None:
            if life != self.incarnation:
                return
            self.execute(action)
            self.sim.time.call_later(interval_s, again)

        self.sim.time.call_later(self.sim.rng.random() * interval_s, again)

    def kill(self) -> None:
        """End the process."""
        self.terminate()
        self.sim.reset_connections(agent=self.name)

    def restart(self) -> None:
        """Start the process again."""
        self.is_up = True
        self._start()

    def _send_heartbeat(self) -> None:
        if self.worker.faults.is_unreachable:
            return
        self.sequence += 1
        if self.is_draining and self.drained_at is None:
            self.drained_at = self.sim.time.now()
        told = self.worker.heartbeat(self.sequence, self.is_draining)
        self.perform(self.executor.handle_heartbeat(told))

    def _poll(self, life: int) -> None:
        if life != self.incarnation:
            return
        command = self.executor.next_poll() if not self.is_frozen else None
        if command is None:
            self.sim.time.call_later(0.05, lambda: self._poll(life))
            return
        is_followed = False

        def follow() -> None:
            nonlocal is_followed
            if not is_followed:
                is_followed = True
                self._poll(life)

        self._send_poll(command, follow, life)
        overdue_s = command.wait_ms / 1000 + self.sim.limits.poll_repeat_s
        self.sim.time.call_later(overdue_s, follow)

    def _send_poll(
        self, command: workercontrol.PollCommand, on_done: Callable[[], None], life: int
    ) -> None:
        state = {"done": False}

        def finish(answer: workercontrol.PollResult) -> None:
            if state["done"] or life != self.incarnation:
                return
            state["done"] = True

            def handle() -> None:
                self.perform(self.executor.handle_poll_result(command, answer))
                pause_s = 0.0 if isinstance(answer, workercontrol.Snapshot) else 0.05
                self.sim.time.call_later(pause_s, on_done)

            self.execute(handle)

        time = self.sim.time
        limit_s = command.wait_ms / 1000 + POLL_TIMEOUT_S
        time.call_later(limit_s, lambda: finish(workercontrol.Unanswered()))

        def answered(answer: workercontrol.PollResult) -> None:
            time.call_later(COMMAND_LATENCY_S, lambda: finish(answer))

        def arrive() -> None:
            if self.worker.faults.unanswered_share and self.worker.is_command_lost():
                late_s = self.sim.rng.uniform(*simworker.LATE_DELAY_RANGE_S)
                time.call_later(late_s, lambda: self.worker.poll(command, _discard))
            elif not self.worker.faults.is_unreachable:
                self.worker.poll(command, answered)

        time.call_later(COMMAND_LATENCY_S, arrive)

    def perform(self, wanted: Iterable[executoractions.Effect]) -> None:
        """Perform effects of the executor.

        :param wanted: the effects.
        """
        for effect in wanted:
            match effect:
                case actions.Send(to, message):
                    self.sim.send_to_entry(self.name, to, message)
                case executoractions.Start(start):
                    self._send_command(
                        lambda start=start: self.worker.start(start),  # type: ignore[misc]
                        lambda answer, start=start: self.executor.handle_start_result(  # type: ignore[misc]
                            start, answer
                        ),
                    )
                case executoractions.Stop(stop):
                    self._send_command(
                        lambda stop=stop: self.worker.stop(stop),  # type: ignore[misc]
                        lambda answer, stop=stop: self.executor.handle_stop_result(  # type: ignore[misc]
                            stop, answer
                        ),
                    )
                case executoractions.Poll(poll):
                    self._send_poll(poll, lambda: None, self.incarnation)
                case actions.LogEvent(event, fields):
                    self.sim.record_event(self.name, event, fields)
                    continue
            self.sim.schedule_report(self, self.report_change)

    def _send_command(
        self,
        execute_command: Callable[[], workercontrol.CommandResult],
        handle_result: Callable[
            [workercontrol.CommandResult], Iterator[executoractions.Effect]
        ],
    ) -> None:
        life, time, faults = self.incarnation, self.sim.time, self.worker.faults

        def finish(answer: workercontrol.CommandResult) -> None:
            if life == self.incarnation:
                self.execute(lambda: self.perform(handle_result(answer)))

        if faults.is_unreachable:
            time.call_later(
                COMMAND_TIMEOUT_S, lambda: finish(workercontrol.Unanswered())
            )
        elif self.worker.is_command_lost():
            late_s = self.sim.rng.uniform(*simworker.LATE_DELAY_RANGE_S)
            time.call_later(late_s, execute_command)
            time.call_later(
                COMMAND_TIMEOUT_S, lambda: finish(workercontrol.Unanswered())
            )
        else:

            def arrive() -> None:
                answer = execute_command()
                time.call_later(COMMAND_LATENCY_S, lambda: finish(answer))

            time.call_later(COMMAND_LATENCY_S, arrive)

    def report_change(self) -> None:
        """Send a change of the load to the entry hosts that hear of each."""
        self.report(is_periodic=False)

    def report(self, is_periodic: bool = True) -> None:
        """Send the load to the linked entry hosts.

        :param is_periodic: whether to all of them.
        """
        info, loads = (
            self.executor.worker_info(),
            self.executor.due_reports(is_periodic),
        )
        for entry in self.sim.connected_entries(self.name):
            if entry not in loads:
                continue
            if info is not None and (entry, info) not in self.sent_worker_info:
                self.sent_worker_info.add((entry, info))
                self.sim.send_to_entry(self.name, entry, info)
            self.sim.send_to_entry(self.name, entry, loads[entry])


class SimulatedEntryHost(SimulatedNode):
    """An entry host.

    :param sim: the simulation.
    :param name: its name.
    :param zone: its zone.
    """

    def __init__(self, sim: simulation.Simulation, name: str, zone: str) -> None:
        super().__init__(sim, name, zone)
        self._start()

    def _start(self) -> None:
        self.boot = self.sim.rng.getrandbits(60)
        self.caller_job_by_ticket: dict[int, CallerJob] = {}
        self.scheduler = scheduler.Scheduler(
            self.zone,
            assigner.SchedulerSettings(
                agent_timeout_s=scheduler.agent_timeout_s(self.sim.limits)
            ),
            self.sim.selection,
            self.sim.ordering,
            self.sim.time,
            self.sim.rng,
        )
        life = self.incarnation

        def tick() -> None:
            if life == self.incarnation:
                self.execute(lambda: self.perform(self.scheduler.tick()))
                self.sim.time.call_later(ENTRY_TICK_INTERVAL_S, tick)

        self.sim.time.call_later(self.sim.rng.random() * ENTRY_TICK_INTERVAL_S, tick)

    def kill(self) -> None:
        """End the process; its callers see their connections break."""
        self.terminate()
        caller_jobs, self.caller_job_by_ticket = (
            list(self.caller_job_by_ticket.values()),
            {},
        )
        self.sim.reset_connections(entry=self.name)
        for caller_job in caller_jobs:
            self.sim.retry(caller_job)

    def restart(self) -> None:
        """Start the process again."""
        self.is_up = True
        self._start()

    def submit(self, caller_job: CallerJob) -> None:
        """Take a job.

        :param caller_job: the job.
        """
        ticket = next(self.sim.tickets)
        self.caller_job_by_ticket[ticket] = caller_job
        self.perform(self.scheduler.submit(caller_job.submission, ticket))

    def perform(self, wanted: Iterable[assigner.Effect]) -> None:
        """Perform effects of the scheduler.

        :param wanted: the effects.
        """
        for effect in wanted:
            match effect:
                case actions.Send(to, message):
                    self.sim.send_to_agent(self.name, to, message)
                case assigner.ScheduleAssignment():
                    self.sim.time.call_later(
                        ASSIGN_DELAY_S,
                        lambda: self.execute(
                            lambda: self.perform(self.scheduler.assign())
                        ),
                    )
                case assigner.Respond(ticket, _, verdict):
                    caller_job = self.caller_job_by_ticket.pop(ticket, None)
                    if caller_job is not None:
                        self.sim.handle_outcome(caller_job, verdict)
                case actions.LogEvent(event, fields):
                    self.sim.record_event(self.name, event, fields)
