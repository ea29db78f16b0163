"""Follows the incarnations of an agent's worker, and polls it.

Base class of the supervisor: which incarnation of the worker is there, what is known of
it, whether it may get tasks, and the fencing tokens of the commands to it.
"""

from __future__ import annotations

import abc
from collections.abc import Iterator

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

# No run is started with a shorter lease; the polls that extend it come every 0.25 s.
MIN_START_LEASE_S = 0.3


class WorkerWatch(abc.ABC):
    """Decides which incarnation of the worker is there and what is known of it.

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
                # The new incarnation would begin it from the start.
                run.percent, run.progressed_at = 0, now
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

    def _max_lease_s(self, now: float) -> float:
        """Return the longest lease that may begin now; negative if none may.

        The worker has one lease for all of its runs. It ends in time for the first run
        that has to end, so that no stop needs an answer. Commands that are carried out
        late cannot exceed it, because it ends at a fixed time of the worker's clock.
        """
        limits = [self._lease_limit(run) - now for run in self._runs.dispatched()]
        return min([self._settings.worker_lease_s, *limits])

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

    def _record_answer(self, clock_ms: int) -> None:
        """Record that the worker answered, unless a later answer overtook this one.

        :param clock_ms: the worker's clock in the answer.
        """
        worker = self._worker
        if worker is not None and clock_ms >= worker.clock_ms:
            worker.clock_ms = clock_ms
            worker.clock_read_at = worker.last_answer_at = self._time.now()
