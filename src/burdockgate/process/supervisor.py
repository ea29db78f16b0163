"""What an agent knows of the worker beside it, and the commands that it gives.

A run counts as taking room from the moment its start command is sent until the worker
lists its end or its lease has provably lapsed.
"""

from __future__ import annotations

import abc
from collections.abc import Iterator

import attrs

from burdockgate import assignments, clock
from burdockgate.process import (
    actions,
    executoractions,
    runs,
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

# Weight of the progress of one overdue run. It is sampled at every tick, ten times a
# second, so that a run that is slow by itself shows after some of them.
OVERDUE_WEIGHT = 0.34


@attrs.define
class WorkerIncarnation:
    """What is known of one life of the worker."""

    told: workercontrol.WorkerHeartbeat
    clock_ms: int
    clock_at: float
    processed_end: int = 0
    answered_at: float = 0.0
    extended_at: float = -1e9
    # Runs of an earlier life of the agent that the worker still lists.
    foreign: dict[assignments.RunKey, float] = attrs.field(factory=dict)
    # A poll with this token has made all commands to an earlier life void.
    first_token: int = 0
    is_synchronized: bool = False
    is_refusing: bool = False
    # The last poll had no lists for an answer.
    is_poll_failing: bool = False
    poll_unanswered_at: float = -1e9


class Supervisor(abc.ABC):
    """Orders to the worker; all methods but queries are generators of effects.

    :param settings: time limits.
    :param time: a clock that counts suspensions.
    """

    def __init__(
        self, settings: executoractions.ExecutorSettings, time: clock.Clock
    ) -> None:
        self._settings = settings
        self._time = time
        self._worker: WorkerIncarnation | None = None
        self._runs = runs.RunTable()
        self._health = workerhealth.WorkerHealth()
        self._token = 0
        self.is_leaving = False
        self._was_lapsed = False

    @abc.abstractmethod
    def _fill(self) -> Iterator[executoractions.Effect]:
        """Start what waits and fits."""

    @abc.abstractmethod
    def _return_queued(self, reason: str) -> Iterator[executoractions.Effect]:
        """Return what waits to its owners."""

    @abc.abstractmethod
    def _return(
        self, run: runs.Run, reason: str, next_run: int | None = None
    ) -> Iterator[executoractions.Effect]:
        """Return a run that never started."""

    @abc.abstractmethod
    def _end(
        self,
        run: runs.Run,
        kind: assignments.EndKind,
        reason: str,
        next_run: int | None = None,
    ) -> Iterator[executoractions.Effect]:
        """Forget a run and tell its owner how it ended."""

    def handle_heartbeat(
        self, told: workercontrol.WorkerHeartbeat
    ) -> Iterator[executoractions.Effect]:
        """Handle a heartbeat of the worker.

        :param told: what it says of itself.
        """
        now, worker = self._time.now(), self._worker
        if worker is not None:
            known = worker.told
            if told.born < known.born:
                yield actions.LogEvent(
                    "heartbeat.stale", {"born": told.born, "known": known.born}
                )
                return
            if (told.worker, told.born) == (known.worker, known.born):
                if told.sequence > known.sequence:
                    worker.told = told
                    if told.is_draining != known.is_draining:
                        yield actions.LogEvent(
                            "worker.draining", {"worker": told.worker}
                        )
                        yield from self._return_queued("worker draining")
                return
        yield from self._adopt(told, now)

    def _adopt(
        self, told: workercontrol.WorkerHeartbeat, now: float
    ) -> Iterator[executoractions.Effect]:
        """Begin with a new life of the worker."""
        yield actions.LogEvent(
            "worker.adopted", {"worker": told.worker, "born": told.born}
        )
        before = self._worker
        self._worker = WorkerIncarnation(told, told.clock_ms, now, answered_at=now)
        self._health = workerhealth.WorkerHealth()
        for run in list(self._runs.ordered()):
            if before is not None and before.told.worker == told.worker:
                # A command may have reached the new life under the old identifier.
                run.state = runs.RunState.UNCERTAIN
            else:
                yield from self._end(run, assignments.EndKind.LOST, "worker replaced")
        # The worker's clock only grows in one life, so it exceeds every token that an
        # earlier life of this agent has drawn from it.
        self._token = max(self._token + 1, told.clock_ms)
        self._worker.first_token = self._token
        yield from self._poll_now()

    def worker_info(self) -> assignments.WorkerInfo | None:
        """Return what entry hosts are told of the worker, if one is known."""
        if self._worker is None:
            return None
        told = self._worker.told
        return assignments.WorkerInfo(
            told.worker,
            told.born,
            told.service,
            told.cpu,
            told.memory_mb,
            told.gpu,
            told.labels,
        )

    def worker_state(self) -> assignments.WorkerState:
        """Return whether new tasks may be assigned to the worker."""
        worker, now = self._worker, self._time.now()
        if worker is None or not worker.is_synchronized:
            return assignments.WorkerState.UNREACHABLE
        if self.is_leaving or worker.told.is_draining:
            return assignments.WorkerState.DRAINING
        if now - worker.answered_at > self._settings.silence_s:
            return assignments.WorkerState.UNREACHABLE
        if worker.is_refusing:
            return assignments.WorkerState.EJECTED
        return self._health.state(now)

    @property
    def running_count(self) -> int:
        """Number of runs that may exist at the worker."""
        return sum(1 for _ in self._runs.ordered())

    def _start(
        self, run: runs.Run, worker: WorkerIncarnation, now: float
    ) -> Iterator[executoractions.Effect]:
        run.state, run.token = runs.RunState.STARTING, self._token
        run.started_at = run.progressed_at = now
        worker.extended_at = now
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
                worker.told.worker,
                run.key,
                run.spec,
                self._lease_until_ms(worker, now),
                run.token,
            )
        )

    def _lease_until_ms(self, worker: WorkerIncarnation, now: float) -> int:
        worker_now = worker.clock_ms + (now - worker.clock_at) * 1000
        return int(worker_now + self._settings.worker_lease_s * 1000)

    def handle_start_result(
        self, command: workercontrol.StartCommand, answer: workercontrol.CommandResult
    ) -> Iterator[executoractions.Effect]:
        """Handle the answer to a start command.

        :param command: the command.
        :param answer: what the worker said, if anything.
        """
        run = self._runs.by_key.get(command.key)
        if run is None or run.state is not runs.RunState.STARTING:
            return
        if run.token != command.token:
            return
        match answer:
            case workercontrol.Accepted(clock_ms):
                self._heard(clock_ms)
                run.state, run.accepted_ms = runs.RunState.RUNNING, clock_ms
                if run.is_stopping:
                    yield from self._command_stop(run)
            case workercontrol.Refused(reason, clock_ms):
                self._heard(clock_ms)
                yield from self._start_refused(run, reason, clock_ms)
                yield from self._fill()
            case workercontrol.Unanswered():
                run.state = runs.RunState.UNCERTAIN
                yield actions.LogEvent(
                    "run.uncertain", {"run": run.key, "token": run.token}
                )
                yield from self._raise_token()

    def _start_refused(
        self, run: runs.Run, reason: workercontrol.Refusal, clock_ms: int
    ) -> Iterator[executoractions.Effect]:
        run.state = runs.RunState.QUEUED
        if run.is_stopping:
            yield from self._end(run, assignments.EndKind.RETURNED, "stopped")
        elif reason is workercontrol.Refusal.FENCED:
            if run.token >= self._token:
                self._token = max(self._token + 1, clock_ms)
                yield actions.LogEvent(
                    "token.raised", {"token": self._token, "reason": "fenced"}
                )
        elif reason is workercontrol.Refusal.LATE:
            yield actions.LogEvent("run.late", {"run": run.key, "clock_ms": clock_ms})
        else:
            if reason is workercontrol.Refusal.UNHEALTHY:
                self._health.eject(self._time.now())
            # The worker rejects every run up to one that it saw; how high that was is
            # not known.
            step = 16 if reason is workercontrol.Refusal.OLD_RUN else 1
            yield from self._return(run, reason.value, run.key.run + step)

    def _raise_token(self) -> Iterator[executoractions.Effect]:
        """Make every command under way harmless, and poll what the worker has."""
        worker = self._worker
        if worker is None:
            return
        self._token = max(self._token + 1, worker.clock_ms)
        yield from self._poll_now()

    def _stop(self, run: runs.Run, reason: str) -> Iterator[executoractions.Effect]:
        if run.state is runs.RunState.QUEUED:
            yield from self._end(run, assignments.EndKind.RETURNED, reason)
            return
        if run.is_stopping:
            return
        run.stop_since = self._time.now()
        yield actions.LogEvent("run.stopping", {"run": run.key, "reason": reason})
        if run.state is not runs.RunState.STARTING:
            yield from self._command_stop(run)

    def _command_stop(self, run: runs.Run) -> Iterator[executoractions.Effect]:
        worker = self._worker
        if worker is not None:
            run.stop_sent_at = self._time.now()
            yield executoractions.Stop(
                workercontrol.StopCommand(worker.told.worker, run.key, self._token)
            )

    def handle_stop_result(
        self, command: workercontrol.StopCommand, answer: workercontrol.CommandResult
    ) -> Iterator[executoractions.Effect]:
        """Handle the answer to a stop command; the end itself is listed later.

        :param command: the command.
        :param answer: what the worker said, if anything.
        """
        if isinstance(answer, workercontrol.Refused) and (
            answer.reason is workercontrol.Refusal.FENCED
            and command.token >= self._token
        ):
            self._token = max(self._token + 1, answer.clock_ms)
            yield actions.LogEvent(
                "token.raised", {"token": self._token, "reason": "fenced stop"}
            )

    def next_poll(self) -> workercontrol.PollCommand | None:
        """Return the next regular poll, or ``None`` while no worker is known."""
        settings, worker = self._settings, self._worker
        if worker is None:
            return None
        is_lossy = (
            self._time.now() - worker.poll_unanswered_at < settings.short_poll_period_s
        )
        return self._poll(
            settings.lossy_poll_wait_s if is_lossy else settings.poll_wait_s
        )

    def _poll(self, wait_s: float) -> workercontrol.PollCommand | None:
        worker, now = self._worker, self._time.now()
        if worker is None:
            return None
        # A worker that does not answer must be let lapse: its runs are known to be
        # gone one lease after the last command that could extend it.
        is_silent = now - worker.answered_at > self._settings.silence_s
        lease_until_ms = None
        if not is_silent and not self._is_stop_overdue(now):
            lease_until_ms = self._lease_until_ms(worker, now)
            worker.extended_at = now
        return workercontrol.PollCommand(
            worker.told.worker,
            self._token,
            worker.processed_end,
            lease_until_ms,
            0 if is_silent else int(wait_s * 1000),
        )

    def _is_stop_overdue(self, now: float) -> bool:
        """Return whether a run that must end resists; then the whole lease lapses."""
        limit_s = 2 * self._settings.stop_repeat_s
        return any(
            run.stop_since is not None and now - run.stop_since > limit_s
            for run in self._runs.ordered()
        )

    def _poll_now(self) -> Iterator[executoractions.Effect]:
        command = self._poll(0.0)
        if command is not None:
            yield executoractions.Poll(command)

    def handle_poll_result(
        self, command: workercontrol.PollCommand, answer: workercontrol.PollResult
    ) -> Iterator[executoractions.Effect]:
        """Handle the answer to a poll.

        :param command: the command.
        :param answer: the lists, or why there are none.
        """
        worker = self._worker
        if worker is None or command.worker != worker.told.worker:
            return
        if isinstance(answer, workercontrol.Snapshot):
            yield from self._snapshot(worker, command, answer)
            return
        if not worker.is_poll_failing:
            worker.is_poll_failing = True
            yield actions.LogEvent("worker.lost", {"reason": _reason(answer)})
        match answer:
            case workercontrol.Refused(workercontrol.Refusal.FENCED, clock_ms):
                self._heard(clock_ms)
                if command.token >= self._token:
                    self._token = max(self._token + 1, clock_ms)
                    yield actions.LogEvent(
                        "token.raised", {"token": self._token, "reason": "fenced look"}
                    )
            case workercontrol.Refused(workercontrol.Refusal.UNHEALTHY, _):
                worker.is_refusing = True
            case workercontrol.Unanswered():
                worker.poll_unanswered_at = self._time.now()

    def _snapshot(
        self,
        worker: WorkerIncarnation,
        command: workercontrol.PollCommand,
        seen: workercontrol.Snapshot,
    ) -> Iterator[executoractions.Effect]:
        if seen.born > worker.told.born:
            # A new life that has not sent a heartbeat yet.
            told = attrs.evolve(
                worker.told, born=seen.born, sequence=-1, clock_ms=seen.clock_ms
            )
            yield from self._adopt(told, self._time.now())
            return
        if seen.born < worker.told.born or seen.clock_ms < worker.clock_ms:
            # An earlier life of the worker, or an answer that a later one overtook.
            return
        self._heard(seen.clock_ms)
        worker.is_refusing = False
        if worker.is_poll_failing:
            worker.is_poll_failing = False
            yield actions.LogEvent("worker.regained", {"worker": worker.told.worker})
        if seen.unreadable:
            yield actions.LogEvent("worker.unreadable", {"entries": seen.unreadable})
        ended = list(self._finish_listed(worker, seen))
        yield from ended
        yield from self._note_running(worker, seen)
        yield from self._resolve_missing(command, seen)
        is_current = command.token >= worker.first_token
        if is_current and not worker.foreign and not worker.is_synchronized:
            worker.is_synchronized = True
            yield actions.LogEvent("worker.ready", {"worker": worker.told.worker})
        yield from self._fill()

    def _heard(self, clock_ms: int) -> None:
        worker = self._worker
        if worker is not None and clock_ms >= worker.clock_ms:
            worker.clock_ms = clock_ms
            worker.clock_at = worker.answered_at = self._time.now()

    def _finish_listed(
        self, worker: WorkerIncarnation, seen: workercontrol.Snapshot
    ) -> Iterator[executoractions.Effect]:
        for entry in seen.finished:
            if entry.number <= worker.processed_end:
                continue
            worker.processed_end = entry.number
            worker.foreign.pop(entry.key, None)
            run = self._runs.by_key.get(entry.key)
            if run is not None:
                yield from self._end(run, _END_BY_REASON[entry.reason], "listed")

    def _note_running(
        self, worker: WorkerIncarnation, seen: workercontrol.Snapshot
    ) -> Iterator[executoractions.Effect]:
        now = self._time.now()
        listed = {entry.key for entry in seen.running}
        for key in [key for key in worker.foreign if key not in listed]:
            del worker.foreign[key]
        for entry in seen.running:
            run = self._runs.by_key.get(entry.key)
            if run is None or run.state is runs.RunState.QUEUED:
                yield from self._stop_foreign(worker, entry.key, now)
                continue
            if run.state is not runs.RunState.RUNNING:
                run.state, run.accepted_ms = runs.RunState.RUNNING, seen.clock_ms
                if run.is_stopping:
                    yield from self._command_stop(run)
            if entry.percent > run.percent:
                run.percent, run.progressed_at = entry.percent, now

    def _stop_foreign(
        self, worker: WorkerIncarnation, key: assignments.RunKey, now: float
    ) -> Iterator[executoractions.Effect]:
        sent_at = worker.foreign.get(key, -1e9)
        if now - sent_at >= self._settings.stop_repeat_s:
            worker.foreign[key] = now
            yield actions.LogEvent("run.foreign", {"run": key})
            yield executoractions.Stop(
                workercontrol.StopCommand(worker.told.worker, key, self._token)
            )

    def _resolve_missing(
        self, command: workercontrol.PollCommand, seen: workercontrol.Snapshot
    ) -> Iterator[executoractions.Effect]:
        """Settle runs that a current list does not show."""
        listed = {entry.key for entry in seen.running}
        for run in list(self._runs.ordered()):
            if run.key in listed:
                continue
            if run.state is runs.RunState.UNCERTAIN and run.token < command.token:
                # The worker has confirmed a higher token: the command is void.
                if run.accepted_ms:
                    yield from self._end(run, assignments.EndKind.LOST, "fenced off")
                elif run.is_stopping:
                    yield from self._return(run, "fenced off")
                else:
                    run.state = runs.RunState.QUEUED
                    yield actions.LogEvent(
                        "run.requeued", {"run": run.key, "token": command.token}
                    )
            elif run.state is runs.RunState.RUNNING and run.accepted_ms < seen.clock_ms:
                yield from self._end(run, assignments.EndKind.LOST, "not listed")

    def _attend(self, run: runs.Run, now: float) -> Iterator[executoractions.Effect]:
        if run.is_stopping and run.state is not runs.RunState.STARTING:
            if now - run.stop_sent_at >= self._settings.stop_repeat_s:
                yield from self._command_stop(run)
        elif run.state is runs.RunState.RUNNING and run.estimate_s > 0:
            ran_s = now - run.started_at
            if ran_s > 2 * run.estimate_s and run.percent < 100:
                self._sample_running(run, ran_s, now)

    def _sample_running(self, run: runs.Run, ran_s: float, now: float) -> None:
        """Take the speed from the progress of a run that is already overdue."""
        sampled = self._health.current_speed(now)
        speed = max(run.percent, 1) / 100 * run.estimate_s / ran_s
        if speed < sampled:
            weight = OVERDUE_WEIGHT
            self._health.sample(sampled ** (1 - weight) * speed**weight, now)

    def _expire_lease(
        self, worker: WorkerIncarnation, now: float
    ) -> Iterator[executoractions.Effect]:
        lapse_s = self._settings.worker_lease_s * (1 + self._settings.clock_drift)
        is_lapsed = now - worker.extended_at > lapse_s + self._settings.stop_repeat_s
        if is_lapsed:
            for run in list(self._runs.ordered()):
                # A command that is carried out late has a lease that lapsed too, and
                # the next poll that extends the lease carries a higher token.
                if run.state is not runs.RunState.STARTING:
                    yield from self._end(run, assignments.EndKind.LOST, "lease lapsed")
        if is_lapsed and not self._was_lapsed:
            yield actions.LogEvent("worker.unreachable", {"worker": worker.told.worker})
            yield from self._return_queued("worker unreachable")
        self._was_lapsed = is_lapsed

    def _check_stall(self, now: float) -> Iterator[executoractions.Effect]:
        running = [
            run for run in self._runs.ordered() if run.state is runs.RunState.RUNNING
        ]
        if running and all(
            now - run.progressed_at > self._health.stall_s(run.estimate_s)
            for run in running
        ):
            if self._health.eject(now):
                yield actions.LogEvent("worker.stalled", {"runs": len(running)})
                yield from self._return_queued("worker stalled")
            for run in running:
                yield from self._stop(run, "stalled")


def _reason(answer: workercontrol.Refused | workercontrol.Unanswered) -> str:
    if isinstance(answer, workercontrol.Refused):
        return answer.reason.value
    return "no answer"
