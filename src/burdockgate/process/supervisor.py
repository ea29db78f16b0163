"""Tracks the runs that an agent has dispatched to its worker.

A run occupies capacity from the moment its start command is sent until the worker
lists its end or the run provably does not exist: the worker was replaced or does not
list it any more, the start command is fenced off, or the lease has expired.
"""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from burdockgate import assignments
from burdockgate.process import (
    actions,
    executoractions,
    incarnation,
    runs,
    workercontrol,
    workerwatch,
)

_END_BY_REASON = {
    workercontrol.EndReason.DONE: assignments.EndKind.DONE,
    workercontrol.EndReason.FAILED: assignments.EndKind.FAILED,
    workercontrol.EndReason.STOPPED: assignments.EndKind.STOPPED,
    workercontrol.EndReason.LAPSED: assignments.EndKind.LOST,
    workercontrol.EndReason.OTHER: assignments.EndKind.LOST,
}

# Limits the rate of stops to a worker that breaks connections off at once.
MIN_STOP_INTERVAL_S = 0.05

# Weight of a sample of the speed of an overdue run, in the geometric mean with the
# current speed of the worker. Samples are taken at every tick, ten times a second, so
# that a single slow run shows in the speed after a few of them.
OVERDUE_WEIGHT = 0.34


class Supervisor(workerwatch.WorkerWatch):
    """Sends commands to the worker and handles its answers and lists.

    A method that returns an iterator of effects is a generator: it acts only while the
    caller iterates over it and performs the effects.

    :param settings: time limits.
    :param time: a clock that goes on while the machine is suspended.
    """

    def _start_run(
        self, run: runs.Run, worker: incarnation.WorkerIncarnation, now: float
    ) -> Iterator[executoractions.Effect]:
        run.state, run.token = runs.RunState.STARTING, self._tokens.current
        run.born = worker.heartbeat.born
        run.started_at = run.progressed_at = now
        yield actions.LogEvent(
            "run.starting",
            {
                "run": run.key,
                "owner": run.owner,
                "waited_ms": int((now - run.queued_at) * 1000),
            },
        )
        yield executoractions.Start(
            workercontrol.StartCommand(
                worker.heartbeat.worker,
                run.key,
                run.spec,
                worker.extend_lease(now, self._max_lease_s(now), self._settings),
                run.token,
            )
        )

    def handle_start_result(
        self, command: workercontrol.StartCommand, result: workercontrol.CommandResult
    ) -> Iterator[executoractions.Effect]:
        """Handle the answer to a start command.

        :param command: the command.
        :param result: the answer, or that there was none.
        """
        yield from self._check_connection(command.worker, result)
        run = self._runs.run_by_key.get(command.key)
        if run is None or run.state is not runs.RunState.STARTING:
            return
        if run.token != command.token:
            return
        match result:
            case workercontrol.Accepted(clock_ms):
                self._record_answer(clock_ms)
                run.state, run.accepted_clock_ms = runs.RunState.RUNNING, clock_ms
                if run.is_stopping:
                    yield from self._send_stop(run)
            case workercontrol.Refused(reason, clock_ms):
                self._record_answer(clock_ms)
                yield from self._handle_start_refusal(run, reason, clock_ms)
                yield from self._start_queued()
            case workercontrol.Unanswered(is_connection_lost):
                run.state = runs.RunState.UNCERTAIN
                yield actions.LogEvent(
                    "run.uncertain", {"run": run.key, "token": run.token}
                )
                if not is_connection_lost:
                    # Otherwise the check of the connection has polled already.
                    yield from self._fence_commands()

    def _handle_start_refusal(
        self, run: runs.Run, reason: workercontrol.Refusal, clock_ms: int
    ) -> Iterator[executoractions.Effect]:
        # After FENCED or LATE, the run stays queued and is started again with the new
        # token or a new lease.
        run.state = runs.RunState.QUEUED
        if run.is_stopping:
            yield from self._end_run(run, assignments.EndKind.RETURNED, "stopped")
        elif reason is workercontrol.Refusal.FENCED:
            yield from self._handle_fencing(run.token, clock_ms, "fenced")
        elif reason is workercontrol.Refusal.LATE:
            yield actions.LogEvent("run.late", {"run": run.key, "clock_ms": clock_ms})
        else:
            if reason is workercontrol.Refusal.UNHEALTHY:
                self._health.eject(self._time.now())
            # The worker rejects run numbers up to the highest that it has seen of the
            # task. That number is not known here, so several are skipped.
            increment = 16 if reason is workercontrol.Refusal.OLD_RUN else 1
            yield from self._return_run(run, reason.value, run.key.run + increment)

    def _stop_run(self, run: runs.Run, reason: str) -> Iterator[executoractions.Effect]:
        """Return a queued run, or stop a dispatched one once its start is answered."""
        if run.state is runs.RunState.QUEUED:
            yield from self._end_run(run, assignments.EndKind.RETURNED, reason)
            return
        if run.is_stopping:
            return
        run.lease_limit = self._lease_limit(run)
        run.stop_requested_at = self._time.now()
        yield actions.LogEvent("run.stopping", {"run": run.key, "reason": reason})
        if run.state is not runs.RunState.STARTING:
            yield from self._send_stop(run)

    def _send_stop(self, run: runs.Run) -> Iterator[executoractions.Effect]:
        worker = self._worker
        if worker is not None:
            run.stop_sent_at = self._time.now()
            yield executoractions.Stop(
                workercontrol.StopCommand(
                    worker.heartbeat.worker, run.key, self._tokens.current
                )
            )

    def handle_stop_result(
        self, command: workercontrol.StopCommand, result: workercontrol.CommandResult
    ) -> Iterator[executoractions.Effect]:
        """Handle the answer to a stop command; a later snapshot lists the end itself.

        :param command: the command.
        :param result: the answer, or that there was none.
        """
        yield from self._check_connection(command.worker, result)
        if isinstance(result, workercontrol.Unanswered):
            run = self._runs.run_by_key.get(command.key)
            if run is not None and self._is_stop_due(run, MIN_STOP_INTERVAL_S):
                yield from self._send_stop(run)
        match result:
            case workercontrol.Refused(workercontrol.Refusal.FENCED, clock_ms):
                yield from self._handle_fencing(command.token, clock_ms, "fenced stop")

    def handle_poll_result(
        self, command: workercontrol.PollCommand, result: workercontrol.PollResult
    ) -> Iterator[executoractions.Effect]:
        """Handle the answer to a poll.

        :param command: the poll.
        :param result: the lists of runs, or why there are none.
        """
        worker = self._worker
        if worker is None or command.worker != worker.heartbeat.worker:
            return
        if isinstance(result, workercontrol.Snapshot):
            yield from self._apply_snapshot(worker, command, result)
            return
        yield from self._check_connection(command.worker, result)
        if not worker.is_poll_failing:
            worker.is_poll_failing = True
            yield actions.LogEvent("worker.lost", {"reason": _poll_failure(result)})
        match result:
            case workercontrol.Refused(workercontrol.Refusal.FENCED, clock_ms):
                if command.token >= worker.first_token:
                    # Otherwise an earlier incarnation may have answered.
                    self._record_answer(clock_ms)
                yield from self._handle_fencing(command.token, clock_ms, "fenced look")
            case workercontrol.Refused(workercontrol.Refusal.UNHEALTHY, _):
                worker.is_refusing_polls = True
            case workercontrol.Unanswered():
                worker.poll_unanswered_at = self._time.now()

    def _apply_snapshot(
        self,
        worker: incarnation.WorkerIncarnation,
        command: workercontrol.PollCommand,
        snapshot: workercontrol.Snapshot,
    ) -> Iterator[executoractions.Effect]:
        """Update the state of the worker and of all runs from the lists of a poll."""
        if snapshot.born > worker.heartbeat.born:
            # The worker has restarted and has not sent a heartbeat since. It may be of
            # another kind now.
            heartbeat = attrs.evolve(
                worker.heartbeat,
                born=snapshot.born,
                sequence=-1,
                clock_ms=snapshot.clock_ms,
            )
            yield from self._adopt_worker(
                heartbeat, self._time.now(), is_described=False
            )
            return
        if snapshot.born < worker.heartbeat.born or snapshot.clock_ms < worker.clock_ms:
            # An earlier incarnation answered, or a later answer overtook this one.
            return
        if command.token >= worker.confirmation_token:
            worker.confirmation_token = 0
        self._tokens.confirm()
        self._record_answer(snapshot.clock_ms)
        worker.record_heard(self._time.now())
        worker.is_refusing_polls = False
        if worker.is_poll_failing:
            worker.is_poll_failing = False
            yield actions.LogEvent(
                "worker.regained", {"worker": worker.heartbeat.worker}
            )
        if snapshot.unreadable:
            yield actions.LogEvent(
                "worker.unreadable", {"entries": snapshot.unreadable}
            )
        ended = list(self._end_finished(worker, snapshot))
        yield from ended
        yield from self._update_running(worker, snapshot)
        yield from self._resolve_unlisted(worker, command, snapshot)
        is_current = command.token >= worker.first_token
        if (
            is_current
            and not worker.stop_sent_at_by_foreign_run
            and not worker.is_synchronized
        ):
            worker.is_synchronized = self.earlier_runs_ended = True
            yield actions.LogEvent("worker.ready", {"worker": worker.heartbeat.worker})
        yield from self._start_queued()

    def _end_finished(
        self, worker: incarnation.WorkerIncarnation, snapshot: workercontrol.Snapshot
    ) -> Iterator[executoractions.Effect]:
        """End the runs that the worker lists as finished."""
        for entry in snapshot.finished:
            if entry.number <= worker.last_processed_end:
                continue
            worker.last_processed_end = entry.number
            worker.stop_sent_at_by_foreign_run.pop(entry.key, None)
            run = self._runs.run_by_key.get(entry.key)
            if run is not None:
                yield from self._end_run(run, _END_BY_REASON[entry.reason], "listed")

    def _update_running(
        self, worker: incarnation.WorkerIncarnation, snapshot: workercontrol.Snapshot
    ) -> Iterator[executoractions.Effect]:
        """Update the runs that the worker lists as running, and stop foreign ones."""
        now = self._time.now()
        listed = {entry.key for entry in snapshot.running}
        for key in [
            key for key in worker.stop_sent_at_by_foreign_run if key not in listed
        ]:
            del worker.stop_sent_at_by_foreign_run[key]
        for entry in snapshot.running:
            run = self._runs.run_by_key.get(entry.key)
            if run is None or run.state is runs.RunState.QUEUED:
                yield from self._stop_foreign(worker, entry.key, now)
                continue
            if run.state is not runs.RunState.RUNNING:
                run.state, run.accepted_clock_ms = (
                    runs.RunState.RUNNING,
                    snapshot.clock_ms,
                )
                if run.is_stopping:
                    yield from self._send_stop(run)
            if entry.percent > run.percent:
                run.percent, run.progressed_at = entry.percent, now

    def _stop_foreign(
        self, worker: incarnation.WorkerIncarnation, key: assignments.RunKey, now: float
    ) -> Iterator[executoractions.Effect]:
        sent_at = worker.stop_sent_at_by_foreign_run.get(key, -1e9)
        if now - sent_at >= self._settings.stop_repeat_s:
            worker.stop_sent_at_by_foreign_run[key] = now
            yield actions.LogEvent("run.foreign", {"run": key})
            yield executoractions.Stop(
                workercontrol.StopCommand(
                    worker.heartbeat.worker, key, self._tokens.current
                )
            )

    def _resolve_unlisted(
        self,
        worker: incarnation.WorkerIncarnation,
        command: workercontrol.PollCommand,
        snapshot: workercontrol.Snapshot,
    ) -> Iterator[executoractions.Effect]:
        """Requeue or end dispatched runs that the worker does not list as running.

        The lists show that a run has not started only if they are of the incarnation
        that its start command was meant for. An earlier incarnation may have started
        it, and what it ran ended with it.
        """
        listed = {entry.key for entry in snapshot.running}
        for run in list(self._runs.dispatched()):
            if run.key in listed:
                continue
            if run.state is runs.RunState.UNCERTAIN and run.token < command.token:
                # The worker has confirmed a higher token, so that it rejects the start
                # command if that is still in flight.
                if run.born != worker.heartbeat.born:
                    yield from self._end_run(
                        run, assignments.EndKind.LOST, "worker restarted"
                    )
                elif run.accepted_clock_ms:
                    yield from self._end_run(
                        run, assignments.EndKind.LOST, "fenced off"
                    )
                elif run.is_stopping:
                    yield from self._return_run(run, "fenced off")
                else:
                    run.state = runs.RunState.QUEUED
                    yield actions.LogEvent(
                        "run.requeued", {"run": run.key, "token": command.token}
                    )
            elif (
                run.state is runs.RunState.RUNNING
                and run.accepted_clock_ms < snapshot.clock_ms
            ):
                yield from self._end_run(run, assignments.EndKind.LOST, "not listed")

    def _check_run(self, run: runs.Run, now: float) -> Iterator[executoractions.Effect]:
        """Repeat a stop without effect, or sample the speed of an overdue run."""
        if run.is_stopping:
            if self._is_stop_due(run, self._settings.stop_repeat_s):
                yield from self._send_stop(run)
        elif run.state is runs.RunState.RUNNING and run.estimate_s > 0:
            run_s = now - run.started_at
            if run_s > 2 * run.estimate_s and run.percent < 100:
                self._sample_overdue_run(run, run_s, now)

    def _is_stop_due(self, run: runs.Run, interval_s: float) -> bool:
        """Return whether a run is still to be stopped, long enough after the last stop.

        A run whose start is awaited is stopped when that has been answered.

        :param interval_s: least time between two stops.
        """
        return (
            run.is_stopping
            and run.state in (runs.RunState.RUNNING, runs.RunState.UNCERTAIN)
            and self._time.now() - run.stop_sent_at >= interval_s
        )

    def _sample_overdue_run(self, run: runs.Run, run_s: float, now: float) -> None:
        """Lower the speed of the worker if an overdue run progresses more slowly."""
        current_speed = self._health.current_speed(now)
        speed = max(run.percent, 1) / 100 * run.estimate_s / run_s
        if speed < current_speed:
            weight = OVERDUE_WEIGHT
            self._health.record_speed(
                current_speed ** (1 - weight) * speed**weight, now
            )

    def _expire_lease(
        self, worker: incarnation.WorkerIncarnation, now: float
    ) -> Iterator[executoractions.Effect]:
        """End the dispatched runs once the lease of the worker has expired."""
        is_expired = worker.is_lease_expired(now)
        if is_expired:
            for run in list(self._runs.dispatched()):
                # This holds for uncertain runs too: a start command that is carried
                # out late has an expired lease, and the next poll that extends the
                # lease carries a higher token.
                if run.state is not runs.RunState.STARTING:
                    yield from self._end_run(
                        run, assignments.EndKind.LOST, "lease lapsed"
                    )
        if is_expired and not self._is_lease_expired:
            yield actions.LogEvent(
                "worker.unreachable", {"worker": worker.heartbeat.worker}
            )
            yield from self._return_queued("worker unreachable")
        self._is_lease_expired = is_expired

    def _check_for_stall(self, now: float) -> Iterator[executoractions.Effect]:
        """Eject the worker and stop its runs when none of them makes progress."""
        running = [
            run for run in self._runs.dispatched() if run.state is runs.RunState.RUNNING
        ]
        if running and all(
            now - run.progressed_at > self._health.stall_limit_s(run.estimate_s)
            for run in running
        ):
            if self._health.eject(now):
                yield actions.LogEvent("worker.stalled", {"runs": len(running)})
                yield from self._return_queued("worker stalled")
            for run in running:
                yield from self._stop_run(run, "stalled")


def _poll_failure(result: workercontrol.Refused | workercontrol.Unanswered) -> str:
    if isinstance(result, workercontrol.Refused):
        return result.reason.value
    return "no answer"
