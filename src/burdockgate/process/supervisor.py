"""Tracks the state of an agent's worker and of the runs dispatched to it.

A run occupies capacity from the moment its start command is sent until the worker
lists its end or the run provably does not exist: the worker was replaced or does not
list it any more, the start command is fenced off, or the lease has expired.
"""

from __future__ import annotations

import abc
from collections.abc import Iterator

import attrs

from burdockgate import assignments, clock
from burdockgate.process import (
    actions,
    executoractions,
    incarnation,
    runs,
    tokens,
    workercontrol,
    workerhealth,
)

_END_BY_REASON = {
    workercontrol.EndReason.DONE: assignments.EndKind.DONE,
    workercontrol.EndReason.FAILED: assignments.EndKind.FAILED,
    workercontrol.EndReason.STOPPED: assignments.EndKind.STOPPED,
    workercontrol.EndReason.LAPSED: assignments.EndKind.LOST,
    workercontrol.EndReason.OTHER: assignments.EndKind.LOST,
}

# No run is started with a shorter lease; the polls that extend it come every 0.25 s.
MIN_START_LEASE_S = 0.3
# Limits the rate of stops to a worker that breaks connections off at once.
MIN_STOP_INTERVAL_S = 0.05

# Weight of a sample of the speed of an overdue run, in the geometric mean with the
# current speed of the worker. Samples are taken at every tick, ten times a second, so
# that a single slow run shows in the speed after a few of them.
OVERDUE_WEIGHT = 0.34


class Supervisor(abc.ABC):
    """Sends commands to the worker and handles its answers, lists and heartbeats.

    A method that returns an iterator of effects is a generator: it acts only while the
    caller iterates over it and performs the effects.

    :param settings: time limits.
    :param time: a clock that goes on while the machine is suspended.
    """

    def __init__(
        self, settings: executoractions.ExecutorSettings, time: clock.Clock
    ) -> None:
        self._settings = settings
        self._time = time
        self._worker: incarnation.WorkerIncarnation | None = None
        self._runs = runs.RunTable()
        self._health = workerhealth.WorkerHealth()
        self._tokens = tokens.TokenSource()
        self.is_draining = False
        # Whether the data centre of the worker is being emptied.
        self.is_evacuated = False
        # Whether the runs of earlier processes of this agent have ended: the worker has
        # accepted a token above theirs, and lists no run that is unknown here.
        self.earlier_runs_ended = False
        self._is_lease_expired = False

    @abc.abstractmethod
    def _lease_limit(self, run: runs.Run) -> float:
        """Return the latest time at which the worker's lease may end.

        :param run: a run that may exist at the worker.
        """

    @abc.abstractmethod
    def _start_queued(self) -> Iterator[executoractions.Effect]:
        """Start the queued runs that fit into the free capacity."""

    @abc.abstractmethod
    def _return_queued(self, reason: str) -> Iterator[executoractions.Effect]:
        """Return all queued runs to their owners.

        :param reason: reason for the log.
        """

    @abc.abstractmethod
    def _return_run(
        self, run: runs.Run, reason: str, next_run: int | None = None
    ) -> Iterator[executoractions.Effect]:
        """End a run that never started, so that its owner assigns it elsewhere.

        :param next_run: smallest number for the next run of the task; by default the
            number after this run.
        """

    @abc.abstractmethod
    def _end_run(
        self,
        run: runs.Run,
        kind: assignments.EndKind,
        reason: str,
        next_run: int | None = None,
    ) -> Iterator[executoractions.Effect]:
        """Remove a run and report its end to its owner.

        :param next_run: smallest number for the next run of the task; by default the
            number after this run.
        """

    def handle_heartbeat(
        self, heartbeat: workercontrol.WorkerHeartbeat
    ) -> Iterator[executoractions.Effect]:
        """Handle a heartbeat of the worker.

        :param heartbeat: the heartbeat.
        """
        now, worker = self._time.now(), self._worker
        if worker is not None:
            known = worker.heartbeat
            if heartbeat.born < known.born:
                yield actions.LogEvent(
                    "heartbeat.stale", {"born": heartbeat.born, "known": known.born}
                )
                if not worker.is_replaced_by(heartbeat, now):
                    return
            if (heartbeat.worker, heartbeat.born) == (known.worker, known.born):
                worker.record_heard(now)
                if heartbeat.sequence > known.sequence:
                    worker.heartbeat = heartbeat
                    if not worker.is_described:
                        worker.is_described = True
                        yield actions.LogEvent(
                            "worker.described", {"worker": heartbeat.worker}
                        )
                    if heartbeat.is_draining != known.is_draining:
                        yield actions.LogEvent(
                            "worker.draining", {"worker": heartbeat.worker}
                        )
                        yield from self._return_queued("worker draining")
                return
        yield from self._adopt_worker(heartbeat, now)

    def _adopt_worker(
        self,
        heartbeat: workercontrol.WorkerHeartbeat,
        now: float,
        is_described: bool = True,
    ) -> Iterator[executoractions.Effect]:
        """Reset the state for another worker or a new incarnation of the same one.

        :param heartbeat: heartbeat of the worker.
        :param now: the time.
        :param is_described: whether the worker has sent it itself.
        """
        yield actions.LogEvent(
            "worker.adopted", {"worker": heartbeat.worker, "born": heartbeat.born}
        )
        previous = self._worker
        is_same_worker = (
            previous is not None and previous.heartbeat.worker == heartbeat.worker
        )
        self._worker = incarnation.WorkerIncarnation(
            heartbeat,
            heartbeat.clock_ms,
            now,
            is_described,
            last_answer_at=now,
            heard_at=now,
        )
        # An earlier process of this agent may have extended the lease just now.
        self._worker.extend_lease(now, self._settings.worker_lease_s, self._settings)
        self._health = workerhealth.WorkerHealth()
        for run in list(self._runs.dispatched()):
            if is_same_worker:
                # Commands name only the identifier of the worker, so a start may have
                # reached the new incarnation.
                run.state = runs.RunState.UNCERTAIN
            else:
                yield from self._end_run(
                    run, assignments.EndKind.LOST, "worker replaced"
                )
        self._tokens.adopt(heartbeat, is_same_worker)
        self._worker.first_token = self._tokens.current
        yield from self._poll_now()

    def worker_info(self) -> assignments.WorkerInfo | None:
        """Return the facts about the worker for entry hosts, if a worker is known."""
        if self._worker is None:
            return None
        heartbeat = self._worker.heartbeat
        return assignments.WorkerInfo(
            heartbeat.worker,
            heartbeat.born,
            heartbeat.service,
            heartbeat.cpu,
            heartbeat.memory_mb,
            heartbeat.gpu,
            heartbeat.labels,
        )

    def worker_state(self) -> assignments.WorkerState:
        """Return whether new tasks may be assigned to the worker."""
        worker, now = self._worker, self._time.now()
        if worker is None or not worker.is_known:
            return assignments.WorkerState.UNREACHABLE
        if self.is_draining or worker.heartbeat.is_draining:
            return assignments.WorkerState.DRAINING
        if self.is_evacuated:
            return assignments.WorkerState.EVACUATED
        if now - worker.last_answer_at > self._settings.unreachable_after_s:
            return assignments.WorkerState.UNREACHABLE
        if self._max_lease_s(now) < MIN_START_LEASE_S:
            # A run has to end, and the worker does not confirm its stop.
            return assignments.WorkerState.UNREACHABLE
        if worker.is_refusing_polls:
            return assignments.WorkerState.EJECTED
        return self._health.state(now)

    @property
    def dispatched_count(self) -> int:
        """Number of dispatched runs, which may exist at the worker."""
        return sum(1 for _ in self._runs.dispatched())

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

    def _max_lease_s(self, now: float) -> float:
        """Return the longest lease that may begin now; negative if none may.

        The worker has one lease for all of its runs. It ends in time for the first run
        that has to end, so that no stop needs an answer. Commands that are carried out
        late cannot exceed it, because it ends at a fixed time of the worker's clock.
        """
        limits = [self._lease_limit(run) - now for run in self._runs.dispatched()]
        return min([self._settings.worker_lease_s, *limits])

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

    def _fence_commands(self) -> Iterator[executoractions.Effect]:
        """Raise the fencing token and poll at once.

        When the worker has accepted the poll, it rejects all commands that are still
        in flight, and the snapshot shows which of them it carried out.
        """
        worker = self._worker
        if worker is None:
            return
        self._tokens.advance(worker.heartbeat.born, worker.clock_ms)
        yield from self._poll_now()

    def _handle_fencing(
        self, token: int, clock_ms: int, reason: str
    ) -> Iterator[executoractions.Effect]:
        """Draw a higher token after the worker has refused one.

        :param token: the token that it refused.
        :param clock_ms: its clock.
        :param reason: reason for the log.
        """
        born = self._worker.heartbeat.born if self._worker is not None else 0
        if self._tokens.refuse(token, born, clock_ms):
            yield actions.LogEvent(
                "token.raised", {"token": self._tokens.current, "reason": reason}
            )

    def _check_connection(
        self,
        name: str,
        result: workercontrol.CommandResult | workercontrol.PollResult,
    ) -> Iterator[executoractions.Effect]:
        """Start nothing more on a worker that may have restarted.

        Until a poll has shown that it has not, a start could reach a later incarnation,
        of which nothing is known.

        :param name: identifier of the worker that the command or poll was meant for.
        :param result: its result.
        """
        worker = self._worker
        if worker is None or worker.heartbeat.worker != name:
            return
        if not workercontrol.may_have_restarted(result):
            return
        was_confirmed = worker.is_confirmed
        self._tokens.advance(worker.heartbeat.born, worker.clock_ms)
        worker.confirmation_token = self._tokens.current
        if was_confirmed:
            yield actions.LogEvent(
                "worker.doubted", {"worker": worker.heartbeat.worker}
            )
            yield from self._return_queued("connection to the worker lost")
            yield from self._poll_now()

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

    def next_poll(self) -> workercontrol.PollCommand | None:
        """Return the next regular poll, or ``None`` while no worker is known."""
        settings, worker = self._settings, self._worker
        if worker is None:
            return None
        is_short = (
            self._time.now() - worker.poll_unanswered_at < settings.short_poll_period_s
        )
        return self._poll_command(
            settings.short_poll_wait_s if is_short else settings.poll_wait_s
        )

    def _poll_command(self, wait_s: float) -> workercontrol.PollCommand | None:
        worker, now = self._worker, self._time.now()
        if worker is None:
            return None
        # The lease of a worker that does not answer must expire: its runs are known to
        # be gone one lease after the last command that could extend it.
        is_silent = now - worker.last_answer_at > self._settings.unreachable_after_s
        lease_until_ms, lease_s = None, self._max_lease_s(now)
        if lease_s > 0 and not (is_silent or worker.may_have_foreign_runs):
            lease_until_ms = worker.extend_lease(now, lease_s, self._settings)
        return workercontrol.PollCommand(
            worker.heartbeat.worker,
            self._tokens.current,
            worker.last_processed_end,
            lease_until_ms,
            0 if is_silent else int(wait_s * 1000),
        )

    def _poll_now(self) -> Iterator[executoractions.Effect]:
        command = self._poll_command(0.0)
        if command is not None:
            yield executoractions.Poll(command)

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

    def _record_answer(self, clock_ms: int) -> None:
        """Record that the worker answered, unless a later answer overtook this one.

        :param clock_ms: the worker's clock in the answer.
        """
        worker = self._worker
        if worker is not None and clock_ms >= worker.clock_ms:
            worker.clock_ms = clock_ms
            worker.clock_read_at = worker.last_answer_at = self._time.now()

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
