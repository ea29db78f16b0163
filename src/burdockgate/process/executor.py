"""Decides what runs on the worker beside an agent.

The executor is the only one that gives the worker commands, so it alone keeps the
worker within its capacity.
"""

from __future__ import annotations

from collections.abc import Iterator

from burdockgate import assignments, clock
from burdockgate.process import (
    actions,
    entrysessions,
    executoractions,
    runs,
    supervisor,
)

# Above this share of free room it makes no difference to an entry host how much is
# free: a task fits, and it can't fill the rest before the next regular report.
AMPLE_SHARE = 0.5


class Executor(supervisor.Supervisor):
    """The agent's decisions; all methods but queries are generators of effects.

    :param settings: time limits.
    :param time: a clock that counts suspensions.
    """

    def __init__(
        self, settings: executoractions.ExecutorSettings, time: clock.Clock
    ) -> None:
        super().__init__(settings, time)
        self.session_by_entry: dict[str, entrysessions.EntrySession] = {}

    def due_reports(
        self, is_periodic: bool = True
    ) -> dict[str, assignments.LoadReport]:
        """Return the load of the worker by the name of the entry host to tell.

        :param is_periodic: whether all are told, or only those to which the change
            since the last report matters.
        """
        now, state = self._time.now(), self.worker_state()
        sessions = self.session_by_entry.values()
        near = entrysessions.nearest(sessions, self._settings.near_entries)
        used = self._runs.used()
        queued_cpu = sum(run.cpu for run in self._runs.queued())
        capacity = self._worker.told.cpu if self._worker else 0
        free_cpu = max(0, capacity - used.cpu - queued_cpu)
        share_by_entry = entrysessions.allocate_free_cpu(free_cpu, sessions, now)
        speed = int(self._health.current_speed(now) * 1000)
        loads = {}
        for name, session in self.session_by_entry.items():
            share = share_by_entry[name]
            ample_cpu = min(share, int(AMPLE_SHARE * capacity))
            news = entrysessions.ReportedLoad(state, ample_cpu if name in near else 0)
            is_due = session.is_outdated or news != session.told
            if not (is_due or (is_periodic and self._is_regular(session, near, now))):
                continue
            session.told, session.told_at, session.is_outdated = news, now, False
            loads[name] = assignments.LoadReport(
                int(now * 1_000_000),
                session.assigned_through,
                state,
                share,
                used.cpu,
                used.memory_mb,
                used.gpu,
                queued_cpu,
                speed,
                name in near,
            )
        return loads

    def _is_regular(
        self, session: entrysessions.EntrySession, near: set[str], now: float
    ) -> bool:
        """Return whether an owner is due for a regular report."""
        if session.name in near or any(self._runs.of_owner(session.name)):
            return True
        return now - session.told_at >= self._settings.distant_report_s

    def handle_demand(self, entry: str, message: assignments.Demand) -> None:
        """Note what waits at an entry host.

        :param entry: name of the entry host.
        :param message: its demand.
        """
        session = self.session_by_entry[entry]
        session.demand, session.demand_received_at = message, self._time.now()

    def session_state(self, entry: str) -> tuple[int, tuple[assignments.RunKey, ...]]:
        """Return the known boot of an entry host and the runs held for it.

        :param entry: name of the entry host; empty boot and runs for a new one.
        """
        session = self.session_by_entry.get(entry)
        if session is None:
            return 0, ()
        return session.boot, tuple(run.key for run in self._runs.of_owner(entry))

    def handle_entry_connected(
        self, entry: str, boot: int, distance: tuple[bool, int] = (False, 0)
    ) -> Iterator[executoractions.Effect]:
        """Handle a new connection to an entry host.

        :param entry: name of the entry host.
        :param boot: number of the life of its process.
        :param distance: how far it is, as :func:`entrysessions.distance` gives it.
        """
        session = self.session_by_entry.get(entry)
        if session is not None and session.boot == boot:
            session.is_linked = True
            session.assigned_through = 0
            session.told = None
            for end in session.unacknowledged():
                yield actions.Send(entry, end)
            return
        if session is not None:
            yield actions.LogEvent("owner.restarted", {"owner": entry, "boot": boot})
            yield from self._abandon(entry, "owner restarted")
        self.session_by_entry[entry] = entrysessions.EntrySession(entry, boot, distance)

    def handle_entry_disconnected(self, entry: str) -> Iterator[executoractions.Effect]:
        """Handle the loss of the connection to an entry host.

        :param entry: its name.
        """
        session = self.session_by_entry.get(entry)
        if session is not None and session.is_linked:
            session.is_linked = False
            yield actions.LogEvent("owner.unlinked", {"owner": entry})

    def handle_entry_gone(self, entry: str) -> Iterator[executoractions.Effect]:
        """Handle a refused connection: the process of the entry host has ended.

        :param entry: its name.
        """
        if entry in self.session_by_entry:
            yield from self._abandon(entry, "owner ended")

    def handle_renewal(self, entry: str, message: assignments.Renewal) -> None:
        """Extend the session lease.

        :param entry: name of the entry host.
        :param message: what it acknowledged.
        """
        session = self.session_by_entry[entry]
        echoed = message.echo_us / 1_000_000
        session.leased_until = max(
            session.leased_until, echoed + self._settings.session_lease_s
        )
        session.acknowledge(message.last_end_number)

    def handle_assignment(
        self, entry: str, message: assignments.Assign
    ) -> Iterator[executoractions.Effect]:
        """Queue runs that an entry host has assigned.

        :param entry: name of the entry host.
        :param message: the runs.
        """
        now, session = self._time.now(), self.session_by_entry[entry]
        session.assigned_through = message.number
        for index, number in zip(message.indexes, message.runs, strict=True):
            task = assignments.TaskKey(message.job, message.step, index)
            run = runs.Run(
                assignments.RunKey(task, number),
                entry,
                message.spec,
                message.cpu,
                message.memory_mb,
                message.gpu,
                message.priority,
                now + message.start_by_ms / 1000,
                message.estimate_ms / 1000,
                now,
                message.number,
            )
            yield from self._queue(run, session, now)
        yield from self._fill()
        yield from self._return_excess(session, message.number)

    def _return_excess(
        self, session: entrysessions.EntrySession, number: int
    ) -> Iterator[executoractions.Effect]:
        """Return what an assignment holds beyond the room.

        Owners that assigned at the same time, or by an older report, find another
        worker sooner than room here.

        :param session: the owner.
        :param number: number of the assignment.
        """
        if self._worker is not None and self._worker.foreign:
            # All of the room is free once the worker has ended them.
            return
        for run in list(self._runs.queued()):
            if run.owner == session.name and run.assignment == number:
                session.is_outdated = True
                yield from self._return(run, "no room")

    def _queue(
        self, run: runs.Run, session: entrysessions.EntrySession, now: float
    ) -> Iterator[executoractions.Effect]:
        earlier = self._runs.find_task(run.key.task)
        reason = ""
        if now >= session.leased_until:
            reason = "session lapsed"
        elif earlier is not None:
            reason = f"run {earlier.key.run} of {earlier.owner} exists"
        elif self.worker_state() not in (
            assignments.WorkerState.READY,
            assignments.WorkerState.PROBATION,
        ):
            reason = f"worker {self.worker_state().name.lower()}"
        if reason:
            yield from self._return(run, reason)
            return
        self._runs.by_key[run.key] = run

    def handle_revocation(
        self, message: assignments.Revoke
    ) -> Iterator[executoractions.Effect]:
        """Drop or stop runs that their owner no longer wants.

        :param message: the runs.
        """
        for key in message.keys:
            run = self._runs.by_key.get(key)
            if run is not None:
                yield from self._stop(run, "revoked")
        yield from self._fill()

    def _abandon(self, entry: str, reason: str) -> Iterator[executoractions.Effect]:
        for run in self._runs.of_owner(entry):
            yield from self._stop(run, reason)

    def _return_queued(self, reason: str) -> Iterator[executoractions.Effect]:
        for run in list(self._runs.queued()):
            yield from self._return(run, reason)

    def leave(self) -> Iterator[executoractions.Effect]:
        """Take no new tasks from now on; running ones go on."""
        self.is_leaving = True
        yield from self._return_queued("agent leaving")

    def stop_all(self, reason: str) -> Iterator[executoractions.Effect]:
        """Stop every run.

        :param reason: why, for the log.
        """
        for run in list(self._runs.by_key.values()):
            yield from self._stop(run, reason)

    def _fill(self) -> Iterator[executoractions.Effect]:
        """Start what waits and fits."""
        worker, now = self._worker, self._time.now()
        if worker is None or worker.foreign:
            return
        state = self.worker_state()
        if state is assignments.WorkerState.PROBATION:
            if self.running_count:
                return
        elif state is not assignments.WorkerState.READY:
            return
        told = worker.told
        capacity = runs.Resources(told.cpu, told.memory_mb, told.gpu)
        used = self._runs.used()
        waiting = sorted(
            self._runs.queued(),
            key=lambda run: (run.start_by < now, run.priority, run.estimate_s),
        )
        for run in waiting:
            if now >= self.session_by_entry[run.owner].leased_until:
                yield from self._return(run, "session lapsed")
            elif capacity.fits(used, run):
                used.add(run)
                self.session_by_entry[run.owner].served_at = now
                yield from self._start(run, worker, now)
                if state is assignments.WorkerState.PROBATION:
                    return

    def tick(self) -> Iterator[executoractions.Effect]:
        """Do what is due; call every few tens of milliseconds."""
        now = self._time.now()
        yield from self._expire_sessions(now)
        worker = self._worker
        if worker is None:
            return
        yield from self._expire_lease(worker, now)
        for run in list(self._runs.ordered()):
            yield from self._attend(run, now)
        yield from self._check_stall(now)
        yield from self._fill()

    def _expire_sessions(self, now: float) -> Iterator[executoractions.Effect]:
        for session in self.session_by_entry.values():
            if now < session.leased_until:
                continue
            held = self._runs.of_owner(session.name)
            if any(not run.is_stopping for run in held):
                yield actions.LogEvent(
                    "owner.lapsed",
                    {
                        "owner": session.name,
                        "age_ms": int((now - session.leased_until) * 1000),
                    },
                )
                yield from self._abandon(session.name, "owner silent")

    def _return(
        self, run: runs.Run, reason: str, next_run: int | None = None
    ) -> Iterator[executoractions.Effect]:
        run.state = runs.RunState.QUEUED
        yield from self._end(run, assignments.EndKind.RETURNED, reason, next_run)

    def _end(
        self,
        run: runs.Run,
        kind: assignments.EndKind,
        reason: str,
        next_run: int | None = None,
    ) -> Iterator[executoractions.Effect]:
        """Forget a run and tell its owner how it ended."""
        now = self._time.now()
        self._runs.by_key.pop(run.key, None)
        ran_s = now - run.started_at if run.started_at else 0.0
        if kind is assignments.EndKind.DONE:
            self._health.record_success(ran_s, run.estimate_s, now)
        elif kind is assignments.EndKind.FAILED and self._health.record_failure(
            run.key.task.job, now
        ):
            yield actions.LogEvent("worker.ejected", {"reason": "failed tasks"})
            yield from self._return_queued("worker ejected")
        yield actions.LogEvent(
            "run.ended",
            {
                "run": run.key,
                "kind": kind.name,
                "reason": reason,
                "owner": run.owner,
                "ran_ms": int(ran_s * 1000),
                "token": run.token,
            },
        )
        session = self.session_by_entry.get(run.owner)
        if session is not None:
            number = next_run if next_run is not None else run.key.run + 1
            yield actions.Send(
                run.owner, session.record_end(run.key, kind, ran_s, number)
            )
