"""The decisions of an entry host: routes messages to its parts."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from typing import Any

from burdockgate import clock, codes, effects, messages, settings
from burdockgate.process import (
    core,
    directory,
    dispatch,
    health,
    lifecycle,
    limits,
    memberhistory,
    membership,
    metrics,
    placement,
    snapshots,
    tablereplica,
)
from burdockgate.request import job
from burdockgate.version import table
from burdockgate.version import view as views

MEMBERSHIP_INTERVAL_S = 0.2

_Effects = Iterator[effects.Effect]


class EntryCore(core.Core):
    """Decides for one entry host; performs nothing itself.

    :param node: this incarnation of the entry host.
    :param config: its settings.
    :param time: the clock.
    :param rng: the source of random numbers.
    :param counters: the process's metrics.
    :param policy: name of the placement policy, from ``placement.POLICY_BY_NAME``.
    """

    def __init__(
        self,
        node: messages.Node,
        config: settings.EntrySettings,
        time: clock.Clock,
        rng: random.Random,
        counters: metrics.Metrics,
        policy: str = placement.DEFAULT,
    ) -> None:
        self.node = node
        self.draining = False
        self.table_replica = tablereplica.TableReplica()
        self.health = health.HealthMonitor(config.health, time, counters)
        self.workers = directory.Directory(time, config.timing.lease_s, self.health)
        self._config = config
        self._time = time
        self._counters = counters
        self._limits = limits.Limits(
            self.table_replica, time, lambda: len(self.view.entry_by_name)
        )
        self._dispatcher = dispatch.Dispatcher(
            self.workers,
            placement.POLICY_BY_NAME[policy](rng),
            counters,
            self._limits,
        )
        self.jobs = lifecycle.JobLifecycle(
            node,
            config,
            time,
            rng,
            counters,
            self.workers,
            self._dispatcher,
            self._limits,
        )
        self._membership = membership.MembershipPublisher(node, time)
        self._membership_at = time.now()
        retention_s = config.platform.log_retention_s
        self._snapshots_by_stream = {
            stream: snapshots.SnapshotPublisher(stream, node, time, retention_s)
            for stream in (views.STREAM, table.STREAM)
        }
        self._is_current = False
        self._peer_table_version_by_name: dict[str, int] = {}
        self._member_history = memberhistory.MemberHistory()
        # Up to which view each agent has been sent the records, once it has told its
        # own in this session. A page that begins later would be a gap in its view.
        self._view_number_by_worker: dict[str, int] = {}
        self._handler_by_class: dict[type, Callable[[str, Any], _Effects]] = {
            messages.Load: self._on_load,
            messages.Offer: self._on_offer,
            messages.Heartbeat: self._on_heartbeat,
            messages.Records: self._on_records,
            messages.Results: self._on_results,
            messages.FenceReply: self.jobs.fence_reply,
            messages.ClaimReply: self.jobs.claim_reply,
            messages.Attach: self.jobs.attach,
            messages.Detach: self.jobs.detach,
            messages.Outcome: self.jobs.peer_outcome,
            messages.Leave: self._on_leave,
        }

    @property
    def view(self) -> views.View:
        """The membership view in force here."""
        return self.jobs.view

    @property
    def has_current_table(self) -> bool:
        """Whether the table is at least as new as one in force at the start."""
        # Without the view, the first peer to connect would seem to be the majority.
        if not self._is_current and self.view.entry_by_name:
            others = {*self.view.entry_by_name, *self.jobs.peer_by_name}
            self._is_current = self.table_replica.is_current(others - {self.node.name})
        return self._is_current

    @property
    def table_version_by_entry(self) -> dict[str, int]:
        """Table version of each entry host known, this one included."""
        known = dict.fromkeys(self.view.entry_by_name, 0)
        return {
            **known,
            **self._peer_table_version_by_name,
            self.node.name: self.table_replica.version,
        }

    @property
    def backlog_tasks(self) -> int:
        """Number of tasks that wait for a slot."""
        return self._dispatcher.waiting()

    # Callers

    def submit(self, request: job.JobRequest, ticket: int) -> _Effects:
        """Take a submission.

        :param request: the job.
        :param ticket: number under which the caller waits.
        """
        refusal, detail = self._refusal(request)
        yield from self.jobs.submit(request, ticket, refusal, detail)
        yield from self._dispatch()

    def _refusal(self, request: job.JobRequest) -> tuple[codes.Code | None, str]:
        """Return the code with which a new job is refused, and one line about it."""
        if self.draining:
            return codes.Code.DRAINING, "this entry host is stopping"
        limit = self._config.limits.backlog_bytes
        if self.jobs.body_bytes + request.size > limit:
            return (
                codes.Code.BACKLOG_FULL,
                f"the job of {request.size} bytes does not fit: "
                f"{self.jobs.body_bytes} of {limit} bytes are in use",
            )
        detail = self._limits.refusal(request)
        if detail:
            return codes.Code.BACKLOG_FULL, detail
        workers = self.workers.service(request.service).members
        if not workers:
            return (
                codes.Code.UNKNOWN_SERVICE,
                f"service: no backend server announces {request.service!r}",
            )
        fitting: set[tuple[float, int, int]] = set()
        for index, task in enumerate(request.tasks):
            needs = (task.cores, task.memory_mb, task.accelerators)
            if needs not in fitting and not any(
                worker.fits(*needs) for worker in workers
            ):
                return (
                    codes.Code.NEVER_FITS,
                    f"tasks[{index}]: no worker has {task.cores:g} cores, "
                    f"{task.memory_mb} MB and {task.accelerators} accelerators",
                )
            fitting.add(needs)
        return None, ""

    def fetch(self, job_id: bytes, ticket: int) -> _Effects:
        """Wait for the outcome of a job submitted before.

        :param job_id: 16-byte job id.
        :param ticket: number under which the caller waits.
        """
        yield from self.jobs.fetch(job_id, ticket)

    def cancel(self, job_id: bytes, ticket: int) -> _Effects:
        """Cancel a job and wait for its outcome.

        :param job_id: 16-byte job id.
        :param ticket: number under which the caller waits.
        """
        yield from self.jobs.fetch(job_id, ticket, cancels=True)
        yield from self._dispatch()

    def drain_worker(self, name: str, active: bool) -> _Effects:
        """Drain or resume a worker.

        :param name: name of its agent.
        :param active: whether to drain.
        """
        yield effects.Send(name, messages.Drain(active))

    # Nodes

    def handle_connect(self, hello: messages.Hello) -> _Effects:
        """Start a session with a node.

        :param hello: its announcement.
        """
        name = hello.node.name
        self._view_number_by_worker.pop(name, None)
        yield effects.Send(name, self._heartbeat())
        if hello.role is messages.Role.AGENT:
            self.workers.join(hello)
            yield effects.Send(name, self._peers())
            yield from self.jobs.agent_connected(hello.node)
            yield from self._dispatch()
        else:
            yield from self.jobs.peer_connected(hello.node)
            for worker in self.workers.worker_by_name:
                yield effects.Send(worker, self._peers())
            if self.has_current_table:
                yield effects.Send(name, self.table_replica.version_announcement())

    def handle_disconnect(self, name: str) -> _Effects:
        """End a session.

        :param name: name of the node.
        """
        self.workers.leave(name)
        self.jobs.agent_disconnected(name)
        self.jobs.peer_disconnected(name)
        self._peer_table_version_by_name.pop(name, None)
        self._view_number_by_worker.pop(name, None)
        yield from ()

    def receive(self, name: str, message: messages.Message) -> _Effects:
        """Handle a message.

        :param name: name of the connected node that sent it.
        :param message: the message; one that an entry host does not expect is
            ignored.
        """
        self.workers.renew_lease(name)
        handler = self._handler_by_class.get(type(message))
        if handler is not None:
            yield from handler(name, message)
            yield from self._dispatch()

    def _dispatch(self) -> _Effects:
        yield from self._dispatcher.run(self.jobs.widen)

    def _heartbeat(self, age_s: int = messages.UNKNOWN_AGE_S) -> messages.Heartbeat:
        return messages.Heartbeat(self.table_replica.version, self.view.number, age_s)

    def _peers(self) -> messages.Peers:
        peers = {**self.view.entry_by_name, **self.jobs.peer_by_name}
        return messages.Peers((self.node, *peers.values()))

    def _on_load(self, name: str, message: messages.Load) -> _Effects:
        self.workers.record_report(name, message.free, message.received)
        worker = self.workers.worker_by_name.get(name)
        if worker is not None:
            worker.running = message.running
            self.workers.set_draining(name, message.draining)
            self.health.record_reported_failures(worker.record, message.failed_row)
        yield from ()

    def _on_offer(self, name: str, message: messages.Offer) -> _Effects:
        self.workers.record_offer(name, message.free, message.received)
        yield from ()

    def _on_results(self, name: str, message: messages.Results) -> _Effects:
        self.workers.record_report(name, message.free, message.received)
        self.health.record_results(message)
        yield from self.jobs.results(name, message)

    def _on_leave(self, name: str, _message: messages.Leave) -> _Effects:
        if name in self.workers.worker_by_name:
            self.workers.set_draining(name, active=True)
            # Nothing that starts a task follows this answer on the connection.
            yield effects.Send(name, messages.Leave())

    # The log's streams

    def _on_heartbeat(self, name: str, message: messages.Heartbeat) -> _Effects:
        """Hand on the records that a node has not seen yet."""
        worker = self.workers.worker_by_name.get(name)
        if worker is not None:
            worker.table_version = message.table_version
            self._view_number_by_worker[name] = self.view.number
        else:
            self._peer_table_version_by_name[name] = message.table_version
            if message.view_number <= self.view.number:
                self.jobs.record_view_check(message.view_age_s)
        for records in self.table_replica.pages_since(message.table_version):
            yield effects.Send(name, records)
        if message.view_number < self.view.number:
            for records in self._member_history.pages_since(
                message.view_number, self.view
            ):
                yield effects.Send(name, records)

    def _on_records(self, name: str, message: messages.Records) -> _Effects:
        if message.stream == views.STREAM:
            yield from self._follow_members(message)
        elif message.stream == table.STREAM:
            version, was_current = self.table_replica.version, self.has_current_table
            self.table_replica.apply_peer_page(name, message)
            yield from self._table_followed(version, was_current)

    def follow(self, message: messages.Records) -> _Effects:
        """Apply new records of a stream that were read from the log.

        :param message: the records.
        """
        if message.stream == views.STREAM:
            yield from self._follow_members(message)
            if message.next == message.first:
                self.jobs.record_view_check(0)
        elif message.stream == table.STREAM:
            version, was_current = self.table_replica.version, self.has_current_table
            self.table_replica.apply_log_page(message)
            self._snapshots_by_stream[table.STREAM].observe(message.records)
            yield from self._table_followed(version, was_current)

    def _table_followed(self, version: int, was_current: bool) -> _Effects:
        """Hand on what is new, and tell the peers once the table is current."""
        if self.table_replica.version > version:
            self._counters.gauge("table.version", self.table_replica.version)
            self._dispatcher.reweigh(self._limits.weight)
            for name in (*self.workers.worker_by_name, *self.jobs.peer_by_name):
                known = self._peer_table_version_by_name.get(name, version)
                for records in self.table_replica.pages_since(min(known, version)):
                    yield effects.Send(name, records)
        if not was_current and self.has_current_table:
            for name in self.jobs.peer_by_name:
                yield effects.Send(name, self.table_replica.version_announcement())

    def _follow_members(self, message: messages.Records) -> _Effects:
        number = self.view.number
        new = self._member_history.add_page(message, number)
        self._snapshots_by_stream[views.STREAM].observe(new)
        for view in views.fold_page(self.view, message):
            self.jobs.view = view
        if self.view.number == number:
            return
        self._counters.gauge("view.number", self.view.number)
        yield from self._send_members()
        yield from self._dial_entries()

    def _send_members(self) -> _Effects:
        """Hand on the new records to the agents whose view is known."""
        # Most agents were sent the same records, so that pages are made once.
        pages_by_number: dict[int, list[messages.Records]] = {}
        for name, number in list(self._view_number_by_worker.items()):
            if number not in pages_by_number:
                pages_by_number[number] = list(
                    self._member_history.pages_since(number, self.view)
                )
            for records in pages_by_number[number]:
                yield effects.Send(name, records)
            self._view_number_by_worker[name] = self.view.number

    # Time

    def tick(self) -> _Effects:
        """Do what is due; call at least ten times a second."""
        self.health.tick()
        yield from self.jobs.tick()
        yield from self._dispatch()
        now = self._time.now()
        if now - self._membership_at >= MEMBERSHIP_INTERVAL_S:
            self._membership_at = now
            yield from self._membership.tick(
                self.view,
                [worker.hello for worker in self.workers.worker_by_name.values()],
                self.jobs.peer_by_name.values(),
            )
            yield from self._dial_entries()
            yield from self._append_snapshots()

    def _dial_entries(self) -> _Effects:
        """Connect to the entry hosts of the view, also after a lost connection."""
        for node in self.view.entry_by_name.values():
            if node.name not in self.jobs.peer_by_name and node.name != self.node.name:
                yield effects.Dial(node)

    def _append_snapshots(self) -> _Effects:
        peers, current = self.jobs.peer_by_name, self.table_replica.table
        members = self._snapshots_by_stream[views.STREAM]
        if members.is_due and self.view.is_complete and self.view.number:
            value = views.snapshot_record(self.view)
            yield from members.tick(peers, self.view.number, value)
        rows_due = self._snapshots_by_stream[table.STREAM]
        if rows_due.is_due and current.is_complete and current.next:
            value = table.snapshot_record(current)
            yield from rows_due.tick(peers, current.next, value)

    def send_heartbeats(self) -> _Effects:
        """Send the heartbeats; call once in each heartbeat interval."""
        for name in self.workers.worker_by_name:
            yield effects.Send(name, self._heartbeat())
        for name in self.jobs.peer_by_name:
            yield effects.Send(name, self._heartbeat(self.jobs.view_age_s))
