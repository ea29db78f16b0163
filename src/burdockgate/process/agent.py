"""Logic of an agent for claimed jobs: task starts, fences, results and claim votes.

It does no I/O: the agent's daemon passes in messages and ticks, and performs the
effects that come out.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

import attrs

from burdockgate import clock, effects, messages, settings
from burdockgate.process import claims, core, jobrecords, metrics, slots, tablereplica
from burdockgate.request import jobrecord
from burdockgate.version import table
from burdockgate.version import view as views

EXPIRY_INTERVAL_S = 1.0
# Interval for resending results while the agent drains. A planned stop waits until
# every job is settled; without a repeat, a Settle message lost with its connection
# would delay it until the timeout.
RESULT_REPEAT_INTERVAL_S = 1.0
_FAILED = (messages.TaskState.FAILED, messages.TaskState.UNKNOWN)
RECORDS_PER_SYNC_REPLY = 500
REPORT_BYTES_PER_MESSAGE = 2 * 1024 * 1024

_Effects = Iterator[effects.Effect]


@attrs.define
class _Session:
    """An open connection from an entry host or another agent.

    :param received: number of tasks received on this connection.
    :param free_sent: free slots last reported; -1 before the first report.
    :param failure_streak_sent: number of consecutive failed jobs last reported.
    :param pending_syncs: view numbers of the ``Sync`` requests not answered yet.
    :param is_leave_pending: whether the entry host has yet to answer a ``Leave``.
    """

    hello: messages.Hello
    received: int = 0
    free_sent: int = -1
    failure_streak_sent: int = 0
    pending_syncs: list[int] = attrs.field(factory=list)
    is_leave_pending: bool = False


class AgentCore(core.Core):
    """The state machine of one agent; its methods yield effects and do no I/O.

    :param node: this incarnation of the agent.
    :param config: the agent's settings.
    :param time: the clock.
    :param counters: the process's metrics.
    """

    def __init__(
        self,
        node: messages.Node,
        config: settings.AgentSettings,
        time: clock.Clock,
        counters: metrics.Metrics,
    ) -> None:
        self.node = node
        self.draining = False
        self.slots = slots.Slots(config.backend_server.slots, time)
        self.claims = claims.ClaimStore(
            node, time, config.timing.retention_s, config.timing.view_limit_s
        )
        self.table_replica = tablereplica.TableReplica(record_limit=0)
        self._config = config
        self._time = time
        self._counters = counters
        self._job_records = jobrecords.JobRecords(
            time, config.timing.retention_s, config.backend_server.results_bytes
        )
        self._failure_streak = 0
        self._last_failed_job = b""
        self._session_by_name: dict[str, _Session] = {}
        self._last_expiry_at = self._results_repeated_at = time.now()
        self._handler_by_class: dict[type, Callable[[str, Any], _Effects]] = {
            messages.Start: self._on_start,
            messages.Fence: self._on_fence,
            messages.Cancel: self._on_cancel,
            messages.Settle: self._on_settle,
            messages.Claim: self._on_claim,
            messages.Demand: self._on_demand,
            messages.Sync: self._on_sync,
            messages.SyncReply: self._on_sync_reply,
            messages.Records: self._on_records,
            messages.Drain: self._on_drain,
            messages.Leave: self._on_leave,
        }

    @property
    def is_idle(self) -> bool:
        """Whether no task runs and every job received is settled."""
        return self.slots.running == 0 and self._job_records.is_settled

    @property
    def has_left(self) -> bool:
        """Whether every entry host has answered ``Leave``; none sends tasks then."""
        return not any(item.is_leave_pending for item in self._session_by_name.values())

    @property
    def table_and_view_versions(self) -> tuple[int, int]:
        """Version of the table and number of the view in force here."""
        return self.table_replica.version, self.claims.catchup.view.number

    def handle_connect(self, hello: messages.Hello) -> _Effects:
        """Start a session with a node.

        :param hello: the node's ``Hello``.
        """
        self._session_by_name[hello.node.name] = _Session(hello)
        if hello.role is messages.Role.ENTRY:
            yield self._heartbeat(hello.node.name)
            yield from self._send_load(hello.node.name)
        else:
            self.claims.catchup.reset_backoff(hello.node.name)
            yield from self.claims.catchup.tick(self._session_by_name)

    def handle_disconnect(self, name: str) -> _Effects:
        """End a session.

        :param name: name of the node.
        """
        self._session_by_name.pop(name, None)
        self.slots.remove_entry(name)
        yield from self._send_offers()

    def receive(self, name: str, message: messages.Message) -> _Effects:
        """Handle a message.

        :param name: name of the connected node that sent it.
        :param message: the message; one that an agent does not expect is ignored.
        """
        handler = self._handler_by_class.get(type(message))
        if handler is not None and name in self._session_by_name:
            yield from handler(name, message)

    def tick(self) -> _Effects:
        """Run the periodic work that is due; call at least ten times a second."""
        yield from self.claims.catchup.tick(self._session_by_name)
        yield from self._answer_syncs()
        yield from self._send_offers()
        now = self._time.now()
        if now - self._last_expiry_at >= EXPIRY_INTERVAL_S:
            self._last_expiry_at = now
            self.claims.expire()
            self._job_records.expire()
            self._counters.gauge("records.kept", len(self._job_records.record_by_job))
        if (
            self.draining
            and now - self._results_repeated_at >= RESULT_REPEAT_INTERVAL_S
        ):
            self._results_repeated_at = now
            yield from self._repeat_results()

    def _repeat_results(self) -> _Effects:
        """Send the results of unsettled jobs again, so that their owners settle them.

        Jobs with a running task are left out.
        """
        for job_record in self._job_records.record_by_job.values():
            if not job_record.is_settled and not job_record.running_indexes():
                yield from self._send_results(job_record, list(job_record.reports()))

    def send_heartbeats(self) -> _Effects:
        """Send the heartbeats; call once in each heartbeat interval.

        Other agents get none: a connection between agents serves a catch-up only, and
        times out after it.
        """
        for name, session in self._session_by_name.items():
            if session.hello.role is messages.Role.ENTRY:
                yield self._heartbeat(name)
                # A single failure does not warrant a message of its own.
                is_streak_new = session.failure_streak_sent != self._failure_streak > 1
                if is_streak_new or session.free_sent != self.slots.free_for(name):
                    yield from self._send_load(name)

    def _heartbeat(self, name: str) -> effects.Send:
        return effects.Send(name, messages.Heartbeat(*self.table_and_view_versions))

    def _send_load(self, name: str) -> _Effects:
        session = self._session_by_name[name]
        session.free_sent = self.slots.free_for(name)
        session.failure_streak_sent = self._failure_streak
        yield effects.Send(
            name,
            messages.Load(
                session.free_sent,
                self.slots.running,
                session.received,
                self.draining,
                self._failure_streak,
            ),
        )

    def drain(self, active: bool) -> _Effects:
        """Stop or resume taking new tasks, and notify every entry host.

        :param active: whether to drain.
        """
        self.draining, self._results_repeated_at = active, self._time.now()
        yield from self._set_open(not active)

    def set_backend_up(self, is_up: bool) -> _Effects:
        """Update the state of the backend server.

        :param is_up: whether it answers; while it does not, no slot is free.
        """
        yield from self._set_open(is_up and not self.draining)

    def _set_open(self, is_open: bool) -> _Effects:
        self.slots.is_open = is_open
        for name, session in self._session_by_name.items():
            if session.hello.role is messages.Role.ENTRY:
                yield from self._send_load(name)

    def _on_drain(self, _name: str, message: messages.Drain) -> _Effects:
        yield from self.drain(message.active)

    def leave(self) -> _Effects:
        """Send ``Leave`` to every entry host.

        Tasks that were sent before the entry host learned of the drain may still be
        in transit. They arrive before its answer, because a connection keeps the
        order of messages.
        """
        for name, session in self._session_by_name.items():
            if session.hello.role is messages.Role.ENTRY:
                session.is_leave_pending = True
                yield effects.Send(name, messages.Leave())

    def _on_leave(self, name: str, _message: messages.Leave) -> _Effects:
        """Handle an entry host's answer to a ``Leave``, which is a ``Leave`` too."""
        self._session_by_name[name].is_leave_pending = False
        yield from ()

    # Starts and results

    def _on_start(self, name: str, message: messages.Start) -> _Effects:
        session = self._session_by_name[name]
        session.received += len(message.tasks)
        if message.boot != self.node.boot:
            self._counters.count("starts.ignored", len(message.tasks))
            return
        job_record = self._job_records.admit(message, name)
        if isinstance(job_record, jobrecord.Admission):
            self._counters.count("starts.ignored", len(message.tasks))
            yield from self._reply_to_old_owner(name, message, job_record)
            return
        returned = []
        for task in message.tasks:
            if not job_record.is_new_send(task.index, task.send_number):
                self._counters.count("starts.ignored")
            elif self.slots.acquire(name):
                job_record.record_start(task.index, task.send_number)
                self._counters.count("tasks.started")
                yield effects.Execute(
                    job_record.job,
                    job_record.attempt,
                    task.index,
                    task.payload,
                    task.timeout_ms,
                )
            else:
                returned.append(job_record.record_return(task.index, task.send_number))
        if returned:
            self._counters.count("tasks.returned", len(returned))
            yield from self._send_results(job_record, returned)

    def _reply_to_old_owner(
        self,
        name: str,
        message: messages.Start | messages.Fence,
        admission: jobrecord.Admission,
    ) -> _Effects:
        """Send the newer epoch to an owner that has lost the job."""
        if admission is jobrecord.Admission.OLD_EPOCH:
            job_record = self._job_records.record_by_job[message.job]
            yield from self._send_fence_reply(name, job_record, ())

    def _send_fence_reply(
        self,
        name: str,
        job_record: jobrecord.JobRecord,
        reports: tuple[messages.TaskReport, ...],
    ) -> _Effects:
        batches = list(_batches(reports))
        for batch_number, batch in enumerate(batches, start=1):
            yield effects.Send(
                name,
                messages.FenceReply(
                    job_record.job,
                    job_record.epoch,
                    job_record.fence,
                    job_record.attempt,
                    self.node.boot,
                    batch,
                    more=batch_number < len(batches),
                ),
            )

    def handle_task_end(
        self,
        job_id: bytes,
        attempt: int,
        index: int,
        state: messages.TaskState,
        payload: bytes,
        run_ms: float,
    ) -> _Effects:
        """Handle the end of an executed task.

        :param job_id: 16-byte job id.
        :param attempt: the attempt under which it was started.
        :param index: index of the task.
        :param state: how it ended.
        :param payload: JSON text of the result, or one line that describes the
            failure.
        :param run_ms: run time in ms.
        """
        self.slots.release()
        self._counters.count(_COUNTER_BY_STATE.get(state, "tasks.failed"))
        self._count_failed_job(job_id, state)
        job_record = self._job_records.record_by_job.get(job_id)
        report = None
        if job_record is not None and job_record.attempt == attempt:
            report = job_record.record_end(index, state, payload, run_ms)
        owner = (
            job_record.owner if job_record is not None and report is not None else ""
        )
        # The results that follow report the free slots to the owner.
        yield from self._send_offers(excluded=owner)
        if job_record is not None and report is not None:
            yield from self._send_results(job_record, [report])
            self._job_records.count_result(job_record, len(payload))

    def _count_failed_job(self, job_id: bytes, state: messages.TaskState) -> None:
        """Count consecutive failed jobs over all entry hosts.

        Each entry host sees only the failures of its own jobs.
        """
        if state is messages.TaskState.DONE:
            self._failure_streak, self._last_failed_job = 0, b""
        elif state in _FAILED and job_id != self._last_failed_job:
            self._failure_streak, self._last_failed_job = (
                self._failure_streak + 1,
                job_id,
            )

    def _send_results(
        self, job_record: jobrecord.JobRecord, reports: list[messages.TaskReport]
    ) -> _Effects:
        session = self._session_by_name.get(job_record.owner)
        if session is None:
            return
        session.free_sent = self.slots.free_for(job_record.owner)
        yield effects.Send(
            job_record.owner,
            messages.Results(
                job_record.job,
                job_record.epoch,
                job_record.attempt,
                self.node.boot,
                session.free_sent,
                session.received,
                tuple(reports),
            ),
        )

    def _on_fence(self, name: str, message: messages.Fence) -> _Effects:
        job_record = self._job_records.admit(message, name)
        if isinstance(job_record, jobrecord.Admission):
            yield from self._reply_to_old_owner(name, message, job_record)
            return
        reports = tuple(job_record.reports()) if message.boot == self.node.boot else ()
        yield from self._send_fence_reply(name, job_record, reports)

    def _on_cancel(self, _name: str, message: messages.Cancel) -> _Effects:
        job_record = self._job_records.record_by_job.get(message.job)
        if (
            job_record is None
            or message.epoch < job_record.epoch
            or message.attempt != job_record.attempt
        ):
            return
        for index in job_record.running_indexes():
            yield effects.Stop(job_record.job, job_record.attempt, index)

    def _on_settle(self, name: str, message: messages.Settle) -> _Effects:
        self.claims.settle(message, self._session_by_name[name].hello.node)
        self._job_records.settle(message)
        yield from ()

    # Slots

    def _on_demand(self, name: str, message: messages.Demand) -> _Effects:
        self.slots.set_demand(name, message.waiting, message.weight)
        yield from self._send_offers()

    def _send_offers(self, excluded: str = "") -> _Effects:
        """Offer every free slot for which an entry host has demand.

        :param excluded: an entry host that gets no message, because results that
            report the free slots are about to be sent to it.
        """
        offered = set()
        while (entry := self.slots.offer()) is not None:
            offered.add(entry)
        for entry in sorted(offered - {excluded}):
            session = self._session_by_name[entry]
            session.free_sent = self.slots.free_for(entry)
            yield effects.Send(
                entry, messages.Offer(session.free_sent, session.received)
            )

    # Claims

    def _on_claim(self, name: str, message: messages.Claim) -> _Effects:
        reply = self.claims.vote(message)
        self._counters.count(_COUNTER_BY_VERDICT.get(reply.verdict, "claims.refused"))
        yield effects.Send(name, reply)

    def _on_sync(self, name: str, message: messages.Sync) -> _Effects:
        self._session_by_name[name].pending_syncs.append(message.view_number)
        yield from self._answer_syncs()

    def _answer_syncs(self) -> _Effects:
        for name, session in self._session_by_name.items():
            view_numbers = session.pending_syncs
            session.pending_syncs = []
            for view_number in view_numbers:
                if self.claims.catchup.can_reply(view_number):
                    yield from self._answer_sync(name, session.hello.node, view_number)
                elif view_number not in session.pending_syncs:
                    session.pending_syncs.append(view_number)

    def _answer_sync(
        self, name: str, node: messages.Node, view_number: int
    ) -> _Effects:
        claim_records = self.claims.records_for(node, view_number)
        for start in range(0, max(1, len(claim_records)), RECORDS_PER_SYNC_REPLY):
            batch = tuple(claim_records[start : start + RECORDS_PER_SYNC_REPLY])
            more = start + RECORDS_PER_SYNC_REPLY < len(claim_records)
            yield effects.Send(name, messages.SyncReply(view_number, batch, more))

    def _on_sync_reply(self, name: str, message: messages.SyncReply) -> _Effects:
        self.claims.merge(message.records)
        if not message.more:
            node = self._session_by_name[name].hello.node
            self.claims.catchup.record_reply(node, message.view_number)
        yield from ()

    def _on_records(self, name: str, message: messages.Records) -> _Effects:
        if message.stream == table.STREAM:
            self.table_replica.apply_peer_page(name, message)
            self._counters.gauge("table.version", self.table_replica.version)
            return
        yield from self.follow(message)

    def follow(self, message: messages.Records) -> _Effects:
        """Apply new records of the members stream; other streams are ignored.

        :param message: the records, from an entry host or from the log.
        """
        if message.stream != views.STREAM:
            return
        for view in views.fold_page(self.claims.catchup.view, message):
            self.claims.catchup.advance(view)
        self._counters.gauge("view.number", self.claims.catchup.view.number)
        yield from self.claims.catchup.tick(self._session_by_name)


_COUNTER_BY_STATE = {
    messages.TaskState.DONE: "tasks.done",
    messages.TaskState.UNKNOWN: "tasks.unknown",
    messages.TaskState.RETURNED: "tasks.returned",
}
_COUNTER_BY_VERDICT = {
    messages.Verdict.GRANTED: "claims.granted",
    messages.Verdict.HELD: "claims.held",
}


def _batches(
    reports: tuple[messages.TaskReport, ...],
) -> Iterator[tuple[messages.TaskReport, ...]]:
    """Split reports into batches of one message each; yield at least one batch.

    A report above ``REPORT_BYTES_PER_MESSAGE`` gets a batch of its own.
    """
    batch: list[messages.TaskReport] = []
    size = 0
    for report in reports:
        if batch and size + len(report.payload) > REPORT_BYTES_PER_MESSAGE:
            yield tuple(batch)
            batch, size = [], 0
        batch.append(report)
        size += len(report.payload)
    yield tuple(batch)
