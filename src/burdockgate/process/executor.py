"""Decides which runs of best-effort jobs an agent starts and stops on its worker.

Nothing else sends commands to the worker, so the executor alone keeps it within its
capacity. :mod:`agentdaemon` performs the effects, and :mod:`supervisor` tracks the
state of the worker.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator

from burdockgate import assignments, clock
from burdockgate.process import (
    actions,
    entrysessions,
    executoractions,
    incarnation,
    runs,
    supervisor,
)

# Share of the capacity above which the exact free amount does not matter to an entry
# host: a task fits, and the entry host cannot use up the rest before the next periodic
# report. Changes above it wait for that report.
AMPLE_FREE_SHARE = 0.5
# Sessions of entry hosts that have been disconnected for this long are dropped. Their
# callers have given up, and their process has ended or regards the runs as lost.
SESSION_TTL_S = 60.0


class Executor(supervisor.Supervisor):
    """Queues, starts, stops and ends the runs of an agent.

    A method that returns an iterator of effects is a generator: it acts only while the
    caller iterates over it and performs the effects.

    :param settings: time limits.
    :param time: a clock that goes on while the machine is suspended.
    """

    def __init__(
        self, settings: executoractions.ExecutorSettings, time: clock.Clock
    ) -> None:
        super().__init__(settings, time)
        self.session_by_entry: dict[str, entrysessions.EntrySession] = {}
        # Named in the load reports; the daemon holds the configuration.
        self.configuration_version = 0

    def due_reports(
        self, is_periodic: bool = True
    ) -> dict[str, assignments.LoadReport]:
        """Return the load reports to send now, by name of the entry host.

        Marks them as sent.

        :param is_periodic: whether periodic reports are included; otherwise only entry
            hosts that need to know of a change at once get a report.
        """
        now, state = self._time.now(), self.worker_state()
        sessions = self.session_by_entry.values()
        near_entries = entrysessions.nearest(sessions, self._settings.near_entries)
        used = self._runs.used()
        queued_cpu = sum(run.cpu for run in self._runs.queued())
        capacity = self._worker.heartbeat.cpu if self._worker else 0
        free_cpu = max(0, capacity - used.cpu - queued_cpu)
        allotted_cpu_by_entry = entrysessions.allocate_free_cpu(free_cpu, sessions, now)
        speed = int(self._health.current_speed(now) * 1000)
        report_by_entry = {}
        for name, session in self.session_by_entry.items():
            allotted_cpu = allotted_cpu_by_entry[name]
            reported_free_cpu = min(allotted_cpu, int(AMPLE_FREE_SHARE * capacity))
            if session.released_at is not None:
                reported_state, allotted_cpu = assignments.WorkerState.DRAINING, 0
                reported_free_cpu = 0
            else:
                reported_state = state
            load = entrysessions.ReportedLoad(
                reported_state, reported_free_cpu if name in near_entries else 0
            )
            has_changed = session.has_stale_load or load != session.reported_load
            if not (
                has_changed
                or (is_periodic and self._is_report_due(session, near_entries, now))
            ):
                continue
            session.reported_load = load
            session.reported_at = now
            session.has_stale_load = False
            report_by_entry[name] = assignments.LoadReport(
                int(now * 1_000_000),
                session.last_assign_number,
                reported_state,
                self.earlier_runs_ended,
                allotted_cpu,
                used.cpu,
                used.memory_mb,
                used.gpu,
                queued_cpu,
                speed,
                name in near_entries,
                self.configuration_version,
            )
        return report_by_entry

    def _is_report_due(
        self, session: entrysessions.EntrySession, near_entries: set[str], now: float
    ) -> bool:
        """Return whether a periodic report to an entry host is due."""
        if session.name in near_entries or any(self._runs.owned_by(session.name)):
            return True
        return now - session.reported_at >= self._settings.distant_report_s

    def release(self, surplus: Collection[str]) -> list[str]:
        """Announce to entry hosts that they are served no longer.

        They are told before the connection is closed, so that no assignment is on its
        way. An agent that has just started keeps the connection until it can say that
        the runs of its earlier processes have ended.

        :param surplus: names of the entry hosts that are not to be served; all others
            are served.
        :returns: names of those whose connection is idle and can be closed.
        """
        now = self._time.now()
        idle = []
        for name, session in self.session_by_entry.items():
            if name not in surplus:
                session.released_at = None
            elif session.released_at is None:
                session.released_at = now
            elif (
                now - session.released_at > self._settings.release_s
                and self.earlier_runs_ended
                and not self._runs.owned_by(name)
            ):
                idle.append(name)
        return idle

    def handle_demand(self, entry: str, message: assignments.Demand) -> None:
        """Record the demand of an entry host.

        :param entry: name of the entry host.
        :param message: the processors that its waiting tasks need.
        """
        session = self.session_by_entry[entry]
        session.demand, session.demand_received_at = message, self._time.now()

    def session_state(self, entry: str) -> tuple[int, tuple[assignments.RunKey, ...]]:
        """Return the last known boot number of an entry host and the keys of its runs.

        :param entry: name of the entry host.
        :returns: 0 and no keys for an entry host that never connected.
        """
        session = self.session_by_entry.get(entry)
        if session is None:
            return 0, ()
        return session.boot, tuple(run.key for run in self._runs.owned_by(entry))

    def handle_entry_connected(
        self, entry: str, boot: int, distance: tuple[bool, int] = (False, 0)
    ) -> Iterator[executoractions.Effect]:
        """Handle a new connection to an entry host.

        :param entry: name of the entry host.
        :param boot: random number that its process drew at its start.
        :param distance: sort key returned by :func:`entrysessions.distance`.
        """
        session = self.session_by_entry.get(entry)
        if session is not None and session.boot == boot:
            session.is_connected = True
            session.released_at = None
            session.last_assign_number = 0
            session.reported_load = None
            for end in session.unacknowledged():
                yield actions.Send(entry, end)
            return
        if session is not None:
            yield actions.LogEvent("owner.restarted", {"owner": entry, "boot": boot})
            yield from self._stop_runs_of(entry, "owner restarted")
        self.session_by_entry[entry] = entrysessions.EntrySession(
            entry,
            boot,
            distance,
            # The new process gets the ends above and acknowledges their numbers.
            last_end_number=session.last_end_number if session is not None else 0,
        )

    def handle_entry_disconnected(self, entry: str) -> Iterator[executoractions.Effect]:
        """Handle the loss of the connection to an entry host.

        :param entry: name of the entry host.
        """
        session = self.session_by_entry.get(entry)
        if session is not None and session.is_connected:
            session.is_connected = False
            session.disconnected_at = self._time.now()
            yield actions.LogEvent("owner.unlinked", {"owner": entry})

    def handle_entry_gone(self, entry: str) -> Iterator[executoractions.Effect]:
        """Handle a refused connection, which shows that the process has ended.

        :param entry: name of the entry host.
        """
        if entry in self.session_by_entry:
            yield from self._stop_runs_of(entry, "owner ended")

    def handle_renewal(self, entry: str, message: assignments.Renewal) -> None:
        """Extend the session lease and drop the ends that are acknowledged.

        :param entry: name of the entry host.
        :param message: the renewal.
        """
        session = self.session_by_entry[entry]
        session.alive_at = max(session.alive_at, message.echo_us / 1_000_000)
        session.leased_until = session.alive_at + self._settings.session_lease_s
        session.acknowledge(message.last_end_number)

    def handle_assignment(
        self, entry: str, message: assignments.Assign
    ) -> Iterator[executoractions.Effect]:
        """Queue the runs of an assignment, start those that fit and return the rest.

        :param entry: name of the entry host.
        :param message: the assignment.
        """
        now, session = self._time.now(), self.session_by_entry[entry]
        session.last_assign_number = message.number
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
                message.service,
                message.label,
                message.number,
            )
            yield from self._enqueue(run, session, now)
        yield from self._start_queued()
        yield from self._return_excess(session, message.number)

    def _return_excess(
        self, session: entrysessions.EntrySession, number: int
    ) -> Iterator[executoractions.Effect]:
        """Return the runs of an assignment that exceed the free capacity.

        Entry hosts can exceed it by assigning at the same time or by an older report.
        They find another worker sooner than capacity becomes free here.

        :param session: session with the entry host.
        :param number: number of the assignment.
        """
        if self._worker is not None and self._worker.stop_sent_at_by_foreign_run:
            # The runs stay queued, since the whole capacity becomes free once the
            # worker has ended the foreign runs.
            return
        for run in list(self._runs.queued()):
            if run.owner == session.name and run.assignment == number:
                session.has_stale_load = True
                yield from self._return_run(run, "no room")

    def _enqueue(
        self, run: runs.Run, session: entrysessions.EntrySession, now: float
    ) -> Iterator[executoractions.Effect]:
        existing = self._runs.find_by_task(run.key.task)
        reason = ""
        if now >= session.leased_until:
            reason = "session lapsed"
        elif existing is not None:
            reason = f"run {existing.key.run} of {existing.owner} exists"
        elif self.worker_state() not in (
            assignments.WorkerState.READY,
            assignments.WorkerState.PROBATION,
        ):
            reason = f"worker {self.worker_state().name.lower()}"
        if reason:
            yield from self._return_run(run, reason)
            return
        self._runs.run_by_key[run.key] = run

    def handle_revocation(
        self, entry: str, message: assignments.Revoke
    ) -> Iterator[executoractions.Effect]:
        """Return the queued runs that their owner has revoked, and stop the others.

        Entry hosts number the runs of a job that was sent to several of them alike, so
        a late revocation may name the run of another owner.

        :param entry: name of the entry host.
        :param message: the keys of the runs.
        """
        for key in message.keys:
            run = self._runs.run_by_key.get(key)
            if run is not None and run.owner == entry:
                yield from self._stop_run(run, "revoked")
        yield from self._start_queued()

    def _lease_limit(self, run: runs.Run) -> float:
        """Return the latest end of the lease by the last sign of life of the owner.

        A renewal also shows that the owner wanted the run: revocations come before
        later renewals, and those that were lost with a connection are repeated before
        the first renewal on the next.
        """
        if run.is_stopping:
            return run.lease_limit
        session = self.session_by_entry[run.owner]
        return session.alive_at + self._settings.orphan_lease_s

    def _stop_runs_of(
        self, entry: str, reason: str
    ) -> Iterator[executoractions.Effect]:
        for run in self._runs.owned_by(entry):
            yield from self._stop_run(run, reason)

    def _return_queued(self, reason: str) -> Iterator[executoractions.Effect]:
        for run in list(self._runs.queued()):
            yield from self._return_run(run, reason)

    def drain(self) -> Iterator[executoractions.Effect]:
        """Accept no new runs from now on and return the queued ones.

        Dispatched runs go on.
        """
        self.is_draining = True
        yield from self._return_queued("agent leaving")

    def set_evacuated(self, is_evacuated: bool) -> Iterator[executoractions.Effect]:
        """Stop or resume starting runs, because the data centre is being emptied.

        Queued runs return to their owners; dispatched runs go on.

        :param is_evacuated: whether no run may be started.
        """
        self.is_evacuated = is_evacuated
        state = "evacuated" if is_evacuated else "resumed"
        yield actions.LogEvent("worker.evacuated", {"state": state})
        if is_evacuated:
            yield from self._return_queued("data centre evacuated")

    def stop_all(self, reason: str) -> Iterator[executoractions.Effect]:
        """Stop the dispatched runs and return the queued ones.

        :param reason: reason for the log.
        """
        for run in list(self._runs.run_by_key.values()):
            yield from self._stop_run(run, reason)

    def _start_queued(self) -> Iterator[executoractions.Effect]:
        """Start the queued runs that fit into the free capacity.

        Runs that are past their latest start come last, then priority and estimate
        decide. A worker on probation gets one run.
        """
        worker, now = self._worker, self._time.now()
        if self.is_evacuated or self.is_draining:
            # A run that the worker did not start may have been queued again.
            yield from self._return_queued("agent starts no runs")
            return
        if worker is None or worker.stop_sent_at_by_foreign_run:
            return
        state = self.worker_state()
        if state is assignments.WorkerState.PROBATION:
            if self.dispatched_count:
                return
        elif state is not assignments.WorkerState.READY:
            return
        capacity = worker.capacity
        used = self._runs.used()
        queued = sorted(
            self._runs.queued(),
            key=lambda run: (run.start_by < now, run.priority, run.estimate_s),
        )
        for run in queued:
            reason = self._reason_to_return(run, worker, now)
            if reason:
                yield from self._return_run(run, reason)
            elif capacity.fits(used, run):
                used.add(run)
                self.session_by_entry[run.owner].last_start_at = now
                yield from self._start_run(run, worker, now)
                if state is assignments.WorkerState.PROBATION:
                    return

    def _reason_to_return(
        self, run: runs.Run, worker: incarnation.WorkerIncarnation, now: float
    ) -> str:
        """Return why a queued run can never start here; empty if it may."""
        if now >= self.session_by_entry[run.owner].leased_until:
            return "session lapsed"
        if not worker.can_run(run):
            # The entry host chose the worker by what it was before a restart.
            return "other kind of worker"
        return ""

    def tick(self) -> Iterator[executoractions.Effect]:
        """Expire leases, check dispatched runs and start queued ones.

        Call it about ten times a second.
        """
        now = self._time.now()
        yield from self._expire_sessions(now)
        self._drop_old_sessions(now)
        worker = self._worker
        if worker is None:
            return
        yield from self._expire_lease(worker, now)
        for run in list(self._runs.dispatched()):
            yield from self._check_run(run, now)
        yield from self._check_for_stall(now)
        yield from self._start_queued()

    def _expire_sessions(self, now: float) -> Iterator[executoractions.Effect]:
        for session in self.session_by_entry.values():
            if now < session.leased_until:
                continue
            owned = self._runs.owned_by(session.name)
            if any(not run.is_stopping for run in owned):
                yield actions.LogEvent(
                    "owner.lapsed",
                    {
                        "owner": session.name,
                        "age_ms": int((now - session.leased_until) * 1000),
                    },
                )
                yield from self._stop_runs_of(session.name, "owner silent")

    def _drop_old_sessions(self, now: float) -> None:
        for name, session in list(self.session_by_entry.items()):
            is_old = now - session.disconnected_at > SESSION_TTL_S
            if not session.is_connected and is_old and not self._runs.owned_by(name):
                del self.session_by_entry[name]

    def _return_run(
        self, run: runs.Run, reason: str, next_run: int | None = None
    ) -> Iterator[executoractions.Effect]:
        run.state = runs.RunState.QUEUED
        yield from self._end_run(run, assignments.EndKind.RETURNED, reason, next_run)

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
        now = self._time.now()
        self._runs.remove(run)
        run_s = now - run.started_at if run.started_at else 0.0
        if kind is assignments.EndKind.DONE:
            self._health.record_success(run_s, run.estimate_s, now)
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
                "ran_ms": int(run_s * 1000),
                "token": run.token,
            },
        )
        session = self.session_by_entry.get(run.owner)
        if session is not None:
            number = next_run if next_run is not None else run.key.run + 1
            yield actions.Send(
                run.owner, session.record_end(run.key, kind, run_s, number)
            )
