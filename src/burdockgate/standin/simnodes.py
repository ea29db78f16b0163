"""Simulated agents and entry hosts, and the jobs that callers submit to them."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Iterator
from typing import TYPE_CHECKING

import attrs

from burdockgate.process import (
    actions,
    assigner,
    executor,
    executoractions,
    scheduler,
    stalls,
    workercontrol,
)
from burdockgate.request import besteffort
from burdockgate.standin import simworker, standstill

if TYPE_CHECKING:
    from burdockgate import assignments
    from burdockgate.standin import callers, simulation

# An agent waits this long for the answer to a start or stop command.
COMMAND_TIMEOUT_S = 0.08
# A poll is unanswered this long after its requested wait.
POLL_TIMEOUT_S = 0.25
ASSIGN_DELAY_S = 0.001
# One-way delay between an agent and its worker.
COMMAND_LATENCY_S = 0.0005
AGENT_TICK_INTERVAL_S = 0.1
ENTRY_TICK_INTERVAL_S = 0.02
REPORT_INTERVAL_S = 0.2
HEARTBEAT_INTERVAL_S = 1.5


@attrs.frozen
class JobKind:
    """A kind of job that callers submit.

    :param width: number of tasks.
    :param work_s: mean duration of a task at speed 1.
    :param cpu: thousandths of a core for each task.
    :param jobs_per_s: jobs per second over all entry hosts.
    :param worth: what a job on time earns.
    :param width_spread: standard deviation of the logarithm of the number of tasks.
    :param label: label that the workers must have; empty for any.
    """

    name: str
    width: int
    work_s: float
    cpu: int
    jobs_per_s: float
    priority: int
    worth: float
    width_spread: float = 0.0
    label: str = ""


@attrs.define
class CallerJob:
    """A job of a caller with its outcomes; times in virtual seconds."""

    job: str
    kind: JobKind
    submission: besteffort.Submission
    sent_at: float
    objective_s: float
    outcomes: list[besteffort.Outcome] = attrs.field(factory=list)
    ended_at: float | None = None
    is_interrupted: bool = False
    # Whether the caller left for good without an answer.
    has_given_up: bool = False

    def earned_share(self) -> float:
        """Return the share of its worth that the job earned.

        1 within the objective, 0.2 within ``LATE_FACTOR`` times the objective,
        otherwise 0.
        """
        if self.ended_at is None or not self.is_completed:
            return 0.0
        took_s = self.ended_at - self.sent_at
        if took_s <= self.objective_s:
            return 1.0
        return 0.2 if took_s <= besteffort.LATE_FACTOR * self.objective_s else 0.0

    @property
    def was_interrupted(self) -> bool:
        """Whether the caller was answered that tasks may have run, without a result."""
        return any(
            isinstance(outcome, besteffort.Interrupted) for outcome in self.outcomes
        )

    @property
    def is_completed(self) -> bool:
        """Whether the caller was answered that all tasks are done."""
        return any(
            isinstance(outcome, besteffort.Completed) for outcome in self.outcomes
        )


class SimulatedNode:
    """A process that can be killed and frozen.

    :param sim: the simulation.
    :param name: name of the process.
    :param zone: zone of the process.
    """

    def __init__(self, sim: simulation.Simulation, name: str, zone: str) -> None:
        self.sim, self.name, self.zone = sim, name, zone
        self.is_up = True
        self.is_frozen = False
        self.incarnation = 0
        # When the process last stopped.
        self.frozen_at = 0.0
        self._inbox = sim.make_inbox()

    @property
    def is_behind(self) -> bool:
        """Whether the process stands still, or has not handled all that waited."""
        return self.is_frozen or self._inbox.is_handling

    def execute(self, event: standstill.Event) -> None:
        """Handle an event now, or after a freeze; a process that is down drops it.

        :param event: the event.
        """
        if self.is_behind:
            self._inbox.put(event)
        else:
            self._run(event)

    def _run(self, event: standstill.Event) -> None:
        if self.is_up:
            event.action()

    def freeze(self, for_s: float) -> None:
        """Freeze the process.

        :param for_s: duration in seconds.
        """
        self._inbox.stop()
        self.is_frozen = True
        self.frozen_at = self.sim.time.now()
        self.sim.time.call_later(for_s, self._resume)
        self.sim.handle_freeze(self)

    def _resume(self) -> None:
        self.is_frozen = False
        self._inbox.go_on(self._run)

    def terminate(self) -> None:
        """End the process; its connections are not reset."""
        self.is_up, self.incarnation = False, self.incarnation + 1
        self._inbox.clear()


def _discard(result: workercontrol.PollResult) -> None:
    """Discard the result of a poll."""


class SimulatedAgent(SimulatedNode):
    """An agent with its worker.

    :param sim: the simulation.
    :param name: name of the agent.
    :param zone: zone of the process.
    :param worker: worker of the agent.
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
        # Entry hosts that this process has dialled in vain.
        self.unreachable_entries: set[str] = set()
        incarnation = self.incarnation
        self._repeat(
            AGENT_TICK_INTERVAL_S,
            lambda: self.perform(self.executor.tick()),
            incarnation,
        )
        self._repeat(REPORT_INTERVAL_S, self.report, incarnation)
        self._repeat(HEARTBEAT_INTERVAL_S, self._send_heartbeat, incarnation)
        self.sim.time.call_later(0.01, lambda: self._poll(incarnation))

    def _repeat(
        self, interval_s: float, action: Callable[[], None], incarnation: int
    ) -> None:
        def run_once() -> None:
            if incarnation != self.incarnation:
                return
            self.execute(standstill.Repeated(action, f"timer {interval_s}"))
            self.sim.time.call_later(interval_s, run_once)

        self.sim.time.call_later(self.sim.rng.random() * interval_s, run_once)

    def kill(self) -> None:
        """End the process; its connections are reset."""
        self.terminate()
        self.sim.reset_connections(agent=self.name)

    def restart(self) -> None:
        """Start the process again."""
        self.is_up = True
        self._start()

    def restart_worker(self, first_heartbeat_s: float) -> None:
        """Start the worker again after a crash.

        :param first_heartbeat_s: time until its first heartbeat.
        """
        self.worker.start_again(first_heartbeat_s)
        self.sequence = 0
        self.sim.time.call_later(first_heartbeat_s, self._send_heartbeat_if_up)

    def _send_heartbeat_if_up(self) -> None:
        if self.is_up:
            self.execute(standstill.Event(self._send_heartbeat))

    def _send_heartbeat(self) -> None:
        worker = self.worker
        is_silent = self.sim.time.now() < worker.silent_until
        if worker.faults.is_unreachable or not worker.is_up or is_silent:
            return
        self.sequence += 1
        if self.is_draining and self.drained_at is None:
            self.drained_at = self.sim.time.now()
        heartbeat = self.worker.heartbeat(self.sequence, self.is_draining)
        self.perform(self.executor.handle_heartbeat(heartbeat))

    def _poll(self, incarnation: int) -> None:
        if incarnation != self.incarnation:
            return
        command = self.executor.next_poll() if not self.is_behind else None
        if command is None:
            self.sim.time.call_later(0.05, lambda: self._poll(incarnation))
            return
        has_polled_again = False

        def poll_again() -> None:
            nonlocal has_polled_again
            if not has_polled_again:
                has_polled_again = True
                self._poll(incarnation)

        self._send_poll(command, poll_again, incarnation)
        overdue_s = command.wait_ms / 1000 + self.sim.limits.poll_repeat_s
        self.sim.time.call_later(overdue_s, poll_again)

    def _send_poll(
        self,
        command: workercontrol.PollCommand,
        on_done: Callable[[], None],
        incarnation: int,
    ) -> None:
        state = {"done": False}

        def finish(result: workercontrol.PollResult) -> None:
            if state["done"] or incarnation != self.incarnation:
                return
            state["done"] = True

            def handle() -> None:
                self.perform(self.executor.handle_poll_result(command, result))
                pause_s = 0.0 if isinstance(result, workercontrol.Snapshot) else 0.05
                self.sim.time.call_later(pause_s, on_done)

            self.execute(standstill.Event(handle))

        time, worker = self.sim.time, self.worker
        crash_count = worker.crash_count
        limit_s = command.wait_ms / 1000 + POLL_TIMEOUT_S
        time.call_later(limit_s, lambda: finish(workercontrol.Unanswered()))

        def send_result(result: workercontrol.PollResult) -> None:
            time.call_later(COMMAND_LATENCY_S, lambda: finish(result))

        def arrive() -> None:
            if worker.crash_count != crash_count:
                # The connection broke when the worker crashed.
                finish(workercontrol.Unanswered(is_connection_lost=True))
            elif self.worker.faults.unanswered_share and self.worker.is_command_lost():
                late_s = self.sim.rng.uniform(*simworker.LATE_DELAY_RANGE_S)
                time.call_later(late_s, lambda: self.worker.poll(command, _discard))
            elif not self.worker.faults.is_unreachable:
                self.worker.poll(command, send_result)

        time.call_later(COMMAND_LATENCY_S, arrive)

    def perform(self, effects: Iterable[executoractions.Effect]) -> None:
        """Perform effects of the executor.

        :param effects: the effects.
        """
        for effect in effects:
            match effect:
                case actions.Send(to, message):
                    self.sim.send_to_entry(self.name, to, message)
                case executoractions.Start(start):
                    self._send_command(
                        lambda start=start: self.worker.start(start),  # type: ignore[misc]
                        lambda result, start=start: self.executor.handle_start_result(  # type: ignore[misc]
                            start, result
                        ),
                    )
                case executoractions.Stop(stop):
                    self._send_command(
                        lambda stop=stop: self.worker.stop(stop),  # type: ignore[misc]
                        lambda result, stop=stop: self.executor.handle_stop_result(  # type: ignore[misc]
                            stop, result
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
        incarnation, time, faults = self.incarnation, self.sim.time, self.worker.faults
        worker, crash_count = self.worker, self.worker.crash_count
        sent_at = time.now()

        def finish(result: workercontrol.CommandResult) -> None:
            if incarnation == self.incarnation:
                self.execute(
                    standstill.Event(lambda: self.perform(handle_result(result)))
                )

        def answer(result: workercontrol.CommandResult) -> None:
            # The connection breaks when the worker crashes.
            is_broken = worker.crash_count != crash_count
            broken = workercontrol.Unanswered(is_connection_lost=True)
            finish(broken if is_broken else result)

        def execute_late() -> None:
            runs_before = len(worker.open_spans())
            execute_command()
            if len(worker.open_spans()) > runs_before:
                self.sim.ages.record("late start: carried out", time.now() - sent_at)

        if faults.is_unreachable:
            time.call_later(
                COMMAND_TIMEOUT_S, lambda: finish(workercontrol.Unanswered())
            )
        elif self.worker.is_command_lost():
            late_s = self.sim.rng.uniform(*faults.late_range_s)
            time.call_later(late_s, execute_late)
            time.call_later(
                COMMAND_TIMEOUT_S, lambda: finish(workercontrol.Unanswered())
            )
        else:

            def arrive() -> None:
                if worker.crash_count == crash_count:
                    result = execute_command()
                    time.call_later(COMMAND_LATENCY_S, lambda: answer(result))
                else:
                    answer(workercontrol.Unanswered())

            time.call_later(COMMAND_LATENCY_S, arrive)

    def report_change(self) -> None:
        """Send the load to the entry hosts that get a report of every change."""
        self.report(is_periodic=False)

    def report(self, is_periodic: bool = True) -> None:
        """Send the load to the connected entry hosts for which a report is due.

        :param is_periodic: whether the report is a periodic one.
        """
        info, report_by_entry = (
            self.executor.worker_info(),
            self.executor.due_reports(is_periodic),
        )
        for entry in self.sim.connected_entries(self.name):
            if entry not in report_by_entry:
                continue
            if info is not None and (entry, info) not in self.sent_worker_info:
                self.sent_worker_info.add((entry, info))
                self.sim.send_to_entry(self.name, entry, info)
            self.sim.send_to_entry(self.name, entry, report_by_entry[entry])


class SimulatedEntryHost(SimulatedNode):
    """An entry host.

    :param sim: the simulation.
    :param name: name of the entry host.
    :param zone: zone of the process.
    """

    def __init__(self, sim: simulation.Simulation, name: str, zone: str) -> None:
        super().__init__(sim, name, zone)
        self.is_lost = False
        self._start()

    def _start(self) -> None:
        self.boot = self.sim.rng.getrandbits(60)
        self.connection_by_ticket: dict[int, callers.Connection] = {}
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
        self.scheduler.entry_host_count = self.sim.entry_count
        self._stalls = stalls.StallDetector(self.sim.time.now())
        incarnation = self.incarnation

        def tick() -> None:
            if incarnation == self.incarnation:
                self.execute(standstill.Repeated(self._tick, "timer tick"))
                self.sim.time.call_later(ENTRY_TICK_INTERVAL_S, tick)

        self.sim.time.call_later(self.sim.rng.random() * ENTRY_TICK_INTERVAL_S, tick)

    def _resume(self) -> None:
        self.sim.callers.handle_resumption(self)
        super()._resume()

    def _tick(self) -> None:
        if self._stalls.observe(self.sim.time.now()):
            self.scheduler.handle_stall()
        self.perform(self.scheduler.tick())

    def kill(self) -> None:
        """End the process; its callers retry after their connections broke."""
        self._end()
        self.sim.reset_connections(entry=self.name)

    def lose_power(self) -> None:
        """End the process; its machine resets no connection and answers no dial."""
        self.is_lost = True
        self._end()
        self.sim.time_out_connections(self.name)

    def _end(self) -> None:
        self.terminate()
        connections, self.connection_by_ticket = self.connection_by_ticket, {}
        for connection in connections.values():
            self.sim.retry(connection.caller_job)

    def restart(self) -> None:
        """Start the process again."""
        self.is_up, self.is_lost = True, False
        self._start()

    def reset_callers(self, share: float, rng: random.Random) -> None:
        """Reset connections of callers; they submit their jobs again.

        :param share: probability that a connection is reset.
        :param rng: source of random numbers.
        """
        for connection in list(self.connection_by_ticket.values()):
            if rng.random() < share:
                self.sim.callers.leave(connection)

    def handle_caller_gone(self, connection: callers.Connection) -> None:
        """Handle the end of a caller's connection.

        :param connection: the connection.
        """
        self.perform(
            self.scheduler.handle_caller_disconnected(
                connection.caller_job.job, connection.ticket
            )
        )

    def submit(self, connection: callers.Connection) -> None:
        """Submit a job to the scheduler.

        :param connection: connection of its caller.
        """
        now = self.sim.time.now()
        is_late = connection.was_delayed() or self._stalls.may_have_waited(now)
        self.perform(
            self.scheduler.submit(
                connection.caller_job.submission,
                connection.ticket,
                connection,
                is_late,
            )
        )

    def perform(self, effects: Iterable[assigner.Effect]) -> None:
        """Perform effects of the scheduler.

        :param effects: the effects.
        """
        for effect in effects:
            match effect:
                case actions.Send(to, message):
                    self.sim.send_to_agent(self.name, to, message)
                case assigner.ScheduleAssignment():
                    self.sim.time.call_later(
                        ASSIGN_DELAY_S,
                        lambda: self.execute(
                            standstill.Event(
                                lambda: self.perform(self.scheduler.assign())
                            )
                        ),
                    )
                case assigner.Respond(ticket, _, outcome):
                    self.sim.callers.answer(self, ticket, outcome)
                case actions.LogEvent(event, fields):
                    self.sim.record_event(self.name, event, fields)
