"""A simulated worker with leases, fencing tokens and lists of runs."""

from __future__ import annotations

import random
from collections.abc import Callable

import attrs

from burdockgate import assignments
from burdockgate.process import workercontrol
from burdockgate.standin import virtualtime

STOP_DELAY_S = 0.04
MAX_LEASE_MS = 1000
# A command that gets no answer is executed after a delay in this range.
LATE_DELAY_RANGE_S = (2.0, 12.0)


@attrs.define
class _Run:
    key: assignments.RunKey
    work_s: float
    started_at: float
    is_alive: bool = True


@attrs.frozen
class Span:
    """The time that a run took on its worker, for the check of the invariants.

    :param cpu: thousandths of a core.
    :param started_at: start in virtual seconds.
    :param ended_at: end in virtual seconds.
    :param reason: why the run ended; ``None`` if it runs or its worker restarted.
    :param capacity: processors of the worker when the run started.
    :param labels: labels of the worker when the run started.
    """

    worker: str
    key: assignments.RunKey
    cpu: int
    started_at: float
    ended_at: float
    reason: workercontrol.EndReason | None
    capacity: int | None = None
    labels: tuple[str, ...] | None = None


@attrs.define
class Faults:
    """Current faults of a worker.

    :param slow_factor: factor on the duration of every run.
    :param is_failing: whether runs that start fail at once.
    :param is_hanging: whether runs that start never end by themselves.
    :param unanswered_share: share of commands that get no answer and are executed
        late.
    :param late_range_s: range of the delays after which those are executed.
    :param is_unreachable: whether its agent can't reach the worker; its runs continue.
    :param is_unhealthy: whether starts are refused.
    :param crashes_at_start: whether the worker crashes when the next run has begun,
        before the start is answered.
    """

    slow_factor: float = 1.0
    is_failing: bool = False
    is_hanging: bool = False
    unanswered_share: float = 0.0
    late_range_s: tuple[float, float] = LATE_DELAY_RANGE_S
    is_unreachable: bool = False
    is_unhealthy: bool = False
    crashes_at_start: bool = False


class SimulatedWorker:
    """Runs what it is commanded to, even beyond its capacity.

    :param name: identifier of the worker.
    :param cpu: capacity in thousandths of a core.
    :param speed: seconds of work done per second.
    :param time: virtual time.
    :param rng: source of random numbers.
    :param work_of: returns the work of a task in seconds and its processors in
        thousandths of a core; a task with negative work fails.
    """

    def __init__(
        self,
        name: str,
        cpu: int,
        speed: float,
        time: virtualtime.VirtualClock,
        rng: random.Random,
        work_of: Callable[[assignments.TaskKey], tuple[float, int]],
    ) -> None:
        self.name = name
        self.cpu = cpu
        self.labels: tuple[str, ...] = ("a", "r1")
        self.is_up = True
        self.crash_count = 0
        # No heartbeat is sent before this time.
        self.silent_until = 0.0
        # Lets the worker crash, and decides what comes back.
        self.on_crash: Callable[[], None] = self.crash
        # Start time in milliseconds of the virtual clock.
        self.born = int((time.now() - 1.0) * 1000)
        self.faults = Faults()
        self.spans: list[Span] = []
        self._speed = speed
        self._time = time
        self._rng = rng
        self._work_of = work_of
        self._reset()

    def _reset(self) -> None:
        self._started_at = self._time.now() - 1.0
        self._token = 0
        self._lease_until_ms = 0.0
        self._run_by_key: dict[assignments.RunKey, _Run] = {}
        self._highest_run_by_task: dict[assignments.TaskKey, int] = {}
        self._finished: list[workercontrol.FinishedEntry] = []
        self._end_number = 0
        self._pending_polls: list[Callable[[], None]] = []
        # Break the polls that wait for an answer, when the worker crashes.
        self._broken_polls: list[Callable[[workercontrol.PollResult], None]] = []

    def restart(self) -> None:
        """End all runs and restart as a new incarnation under the same identifier."""
        self._end_all_runs()
        self._reset()
        self.born += 1

    def _end_all_runs(self) -> None:
        for run in list(self._run_by_key.values()):
            self._record_span(run, None)
            run.is_alive = False
        self._run_by_key.clear()

    def crash(self) -> None:
        """End all runs and break all connections; no command is answered any more."""
        self._end_all_runs()
        self.is_up = False
        self.crash_count += 1
        self.faults.crashes_at_start = False
        broken, self._broken_polls = self._broken_polls, []
        for send_result in broken:
            send_result(workercontrol.Unanswered(is_connection_lost=True))

    def start_again(self, first_heartbeat_s: float) -> None:
        """Start as a new incarnation after a crash.

        :param first_heartbeat_s: time until its first heartbeat.
        """
        self._reset()
        self.silent_until = self._time.now() + first_heartbeat_s
        self.born = max(self.born + 1, int(self._started_at * 1000))
        self.is_up = True

    @property
    def clock_ms(self) -> int:
        """The worker's monotonic clock."""
        return int((self._time.now() - self._started_at) * 1000)

    def heartbeat(
        self, sequence: int, is_draining: bool
    ) -> workercontrol.WorkerHeartbeat:
        """Return a heartbeat.

        :param sequence: sequence number of the heartbeat.
        :param is_draining: whether the worker drains.
        """
        return workercontrol.WorkerHeartbeat(
            self.name,
            self.born,
            "service",
            self.cpu,
            65_536,
            0,
            self.labels,
            is_draining,
            sequence,
            self.clock_ms,
        )

    def is_command_lost(self) -> bool:
        """Return whether the next command gets no answer and is executed late."""
        return self._rng.random() < self.faults.unanswered_share

    def _refusal(self, worker: str) -> workercontrol.Refused | None:
        """Return why a command for a worker is not read here; ``None`` if it is.

        :param worker: identifier of the worker that is meant; empty for any.
        """
        if not self.is_up:
            return workercontrol.Refused(workercontrol.Refusal.NOT_SENT)
        if worker and worker != self.name:
            return workercontrol.Refused(workercontrol.Refusal.OTHER_WORKER)
        return None

    def start(self, command: workercontrol.StartCommand) -> workercontrol.CommandResult:
        """Execute a start command.

        :param command: the command.
        """
        key = command.key
        if (refusal := self._refusal(command.worker)) is not None:
            return refusal
        if command.token < self._token:
            return workercontrol.Refused(workercontrol.Refusal.FENCED, self.clock_ms)
        self._token = command.token
        if self.faults.is_unhealthy:
            return workercontrol.Refused(workercontrol.Refusal.UNHEALTHY)
        if command.lease_until_ms <= self.clock_ms:
            return workercontrol.Refused(workercontrol.Refusal.LATE, self.clock_ms)
        self._extend_lease(command.lease_until_ms)
        if key in self._run_by_key:
            return workercontrol.Accepted(self.clock_ms)
        if key.run <= self._highest_run_by_task.get(key.task, 0):
            return workercontrol.Refused(workercontrol.Refusal.OLD_RUN, self.clock_ms)
        self._start_run(key)
        if self.faults.crashes_at_start:
            self.on_crash()
            return workercontrol.Unanswered()
        return workercontrol.Accepted(self.clock_ms)

    def _start_run(self, key: assignments.RunKey) -> None:
        work_s, _ = self._work_of(key.task)
        run = _Run(key, abs(work_s), self._time.now())
        self._run_by_key[key] = run
        duration_s = run.work_s * self.faults.slow_factor / self._speed
        is_failing = work_s < 0 or self.faults.is_failing
        if self.faults.is_hanging:
            return
        reason = (
            workercontrol.EndReason.FAILED
            if is_failing
            else workercontrol.EndReason.DONE
        )
        if self.faults.is_failing:
            duration_s = 0.005
        self._time.call_later(duration_s, lambda: self._end_run(run, reason))

    def stop(self, command: workercontrol.StopCommand) -> workercontrol.CommandResult:
        """Execute a stop command.

        :param command: the command.
        """
        if (refusal := self._refusal(command.worker)) is not None:
            return refusal
        if command.token < self._token:
            return workercontrol.Refused(workercontrol.Refusal.FENCED, self.clock_ms)
        self._token = command.token
        task = command.key.task
        highest = max(self._highest_run_by_task.get(task, 0), command.key.run)
        self._highest_run_by_task[task] = highest
        run = self._run_by_key.get(command.key)
        if run is not None:
            stopped = workercontrol.EndReason.STOPPED
            self._time.call_later(STOP_DELAY_S, lambda: self._end_run(run, stopped))
        return workercontrol.Accepted(self.clock_ms)

    def poll(
        self,
        command: workercontrol.PollCommand,
        send_result: Callable[[workercontrol.PollResult], None],
    ) -> None:
        """Execute a poll; it is answered when a run ends, or after its wait.

        :param command: the command.
        :param send_result: called with the result.
        """
        if (refusal := self._refusal(command.worker)) is not None:
            send_result(refusal)
            return
        if command.token < self._token:
            send_result(
                workercontrol.Refused(workercontrol.Refusal.FENCED, self.clock_ms)
            )
            return
        self._token = command.token
        if command.lease_until_ms is not None:
            self._extend_lease(command.lease_until_ms)
        self._finished = [
            entry for entry in self._finished if entry.number > command.acknowledged
        ]
        if self._finished or not command.wait_ms:
            send_result(self._snapshot())
            return
        is_sent = False

        def send_snapshot_once() -> None:
            nonlocal is_sent
            if not is_sent:
                is_sent = True
                send_result(self._snapshot())

        self._pending_polls.append(send_snapshot_once)
        self._broken_polls.append(send_result)
        self._time.call_later(command.wait_ms / 1000, send_snapshot_once)

    def _snapshot(self) -> workercontrol.Snapshot:
        now = self._time.now()
        running = tuple(
            workercontrol.RunningEntry(run.key, self._progress_percent(run, now))
            for run in self._run_by_key.values()
        )
        return workercontrol.Snapshot(
            self.clock_ms, self.born, running, tuple(self._finished)
        )

    def _progress_percent(self, run: _Run, now: float) -> int:
        if self.faults.is_hanging:
            return 0
        done = (now - run.started_at) * self._speed / self.faults.slow_factor
        return min(99, int(100 * done / max(run.work_s, 0.001)))

    def _extend_lease(self, until_ms: float) -> None:
        until_ms = min(until_ms, self.clock_ms + MAX_LEASE_MS)
        if until_ms > self._lease_until_ms:
            self._lease_until_ms = until_ms
            delay_s = (until_ms - self.clock_ms) / 1000
            incarnation = self.born
            # The worker's clock may be 2% slow.
            self._time.call_later(
                delay_s * 1.02, lambda: self._expire_lease(incarnation)
            )

    def _expire_lease(self, incarnation: int) -> None:
        if incarnation == self.born and self.clock_ms >= self._lease_until_ms:
            for run in list(self._run_by_key.values()):
                self._end_run(run, workercontrol.EndReason.LAPSED)

    def _end_run(self, run: _Run, reason: workercontrol.EndReason) -> None:
        if not run.is_alive:
            return
        run.is_alive = False
        del self._run_by_key[run.key]
        task = run.key.task
        highest = max(self._highest_run_by_task.get(task, 0), run.key.run)
        self._highest_run_by_task[task] = highest
        self._record_span(run, reason)
        self._end_number += 1
        self._finished.append(
            workercontrol.FinishedEntry(self._end_number, run.key, reason)
        )
        polls, self._pending_polls = self._pending_polls, []
        self._broken_polls.clear()
        for send_snapshot in polls:
            send_snapshot()

    def _record_span(self, run: _Run, reason: workercontrol.EndReason | None) -> None:
        _, cpu = self._work_of(run.key.task)
        self.spans.append(
            Span(
                self.name,
                run.key,
                cpu,
                run.started_at,
                self._time.now(),
                reason,
                self.cpu,
                self.labels,
            )
        )

    def open_spans(self) -> list[Span]:
        """Return the spans of the current runs, with the current time as their end."""
        now = self._time.now()
        return [
            Span(
                self.name,
                run.key,
                self._work_of(run.key.task)[1],
                run.started_at,
                now,
                None,
                self.cpu,
                self.labels,
            )
            for run in self._run_by_key.values()
        ]
