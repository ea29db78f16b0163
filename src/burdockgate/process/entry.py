"""The state machine of an entry host for claimed jobs.

It routes calls and messages to the job lifecycle, the dispatcher, the worker
directory and the replicas of the log's streams, and returns effects that the daemon
in :mod:`burdockgate.process.entryhost` performs.
"""

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
    """Handles the calls, messages and timers of one entry host without any I/O.

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
        self._membership_ticked_at = time.now()
        retention_s = config.platform.log_retention_s
        self._snapshots_by_stream = {
            stream: snapshots.SnapshotPublisher(stream, node, time, retention_s)
            for stream in (views.STREAM, table.STREAM)
        }
        self._is_table_current = False
        self._peer_table_version_by_name: dict[str, int] = {}
        self._member_history = memberhistory.MemberHistory()
        # Number of the view up to which each agent has been sent the member records.
        # An agent is added when its first heartbeat of the session reports its view,
        # since a page that starts after that view would leave a gap in it.
        self._view_number_by_worker: dict[str, int] = {}
        self._handler_by_class: dict[type, Callable[[str, Any], _Effects]] = {
            messages.Load: self._on_load,
            messages.Offer: self._on_offer,
            messages.Heartbeat: self._on_heartbeat,
            messages.Records: self._on_records,
            messages.Results: self._on_results,
            messages.FenceReply: self.jobs.handle_fence_reply,
            messages.ClaimReply: self.jobs.handle_claim_reply,
            messages.Attach: self.jobs.handle_attach,
            messages.Detach: self.jobs.handle_detach,
            messages.Outcome: self.jobs.handle_peer_outcome,
            messages.Leave: self._on_leave,
        }

    @property
    def view(self) -> views.View:
        """The membership view in force here."""
        return self.jobs.view

    @property
    def has_current_table(self) -> bool:
        """Whether the table is at least as new as the one in force at the start."""
        # Without the view, the first peer to connect would look like a majority.
        if not self._is_table_current and self.view.entry_by_name:
            others = {*self.view.entry_by_name, *self.jobs.peer_by_name}
            self._is_table_current = self.table_replica.is_current(
                others - {self.node.name}
            )
        return self._is_table_current

    @property
    def table_version_by_entry(self) -> dict[str, int]:
        """Table version of each known entry host, including this one."""
        unknown = dict.fromkeys(self.view.entry_by_name, 0)
        return {
            **unknown,
            **self._peer_table_version_by_name,
            self.node.name: self.table_replica.version,
        }

    @property
    def backlog_tasks(self) -> int:
        """Number of tasks that are waiting for a slot."""
        return self._dispatcher.waiting_count()

    # Calls of clients

    def submit(self, request: job.JobRequest, ticket: int) -> _Effects:
        """Accept, join or refuse a submitted job.

        :param request: the job.
        :param ticket: number that identifies the waiting caller.
        """
        refusal, detail = self._refusal(request)
        yield from self.jobs.submit(request, ticket, refusal, detail)
        yield from self._dispatch()

    def _refusal(self, request: job.JobRequest) -> tuple[codes.Code | None, str]:
        """Return the code and the detail of a refusal, or ``(None, "")``."""
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
        fitting_needs: set[tuple[float, int, int]] = set()
        for index, task in enumerate(request.tasks):
            needs = (task.cores, task.memory_mb, task.accelerators)
            if needs not in fitting_needs and not any(
                worker.fits(*needs) for worker in workers
            ):
                return (
                    codes.Code.NEVER_FITS,
                    f"tasks[{index}]: no worker has {task.cores:g} cores, "
                    f"{task.memory_mb} MB and {task.accelerators} accelerators",
                )
            fitting_needs.add(needs)
        return None, ""

    def fetch(self, job_id: bytes, ticket: int) -> _Effects:
        """Wait for the outcome of a job that was submitted earlier.

        :param job_id: 16-byte job id.
        :param ticket: number that identifies the waiting caller.
        """
        yield from self.jobs.fetch(job_id, ticket)

    def cancel(self, job_id: bytes, ticket: int) -> _Effects:
        """Cancel a job and wait for its outcome.

        :param job_id: 16-byte job id.
        :param ticket: number that identifies the waiting caller.
        """
        yield from self.jobs.fetch(job_id, ticket, is_cancel=True)
        yield from self._dispatch()

    def drain_worker(self, name: str, active: bool) -> _Effects:
        """Tell an agent to drain its worker or to resume it.

        :param name: name of the agent.
        :param active: whether to drain.
        """
        yield effects.Send(name, messages.Drain(active))

    # Sessions with agents and other entry hosts

    def handle_connect(self, hello: messages.Hello) -> _Effects:
        """Handle a new session with an agent or another entry host.

        :param hello: the announcement of the node.
        """
        name = hello.node.name
        self._view_number_by_worker.pop(name, None)
        yield effects.Send(name, self._heartbeat_message())
        if hello.role is messages.Role.AGENT:
            self.workers.join(hello)
            yield effects.Send(name, self._peers_message())
            yield from self.jobs.handle_agent_connected(hello.node)
            yield from self._dispatch()
        else:
            yield from self.jobs.handle_peer_connected(hello.node)
            for worker in self.workers.worker_by_name:
                yield effects.Send(worker, self._peers_message())
            if self.has_current_table:
                yield effects.Send(name, self.table_replica.version_announcement())

    def handle_disconnect(self, name: str) -> _Effects:
        """Handle the end of a session.

        :param name: name of the node.
        """
        self.workers.leave(name)
        self.jobs.handle_agent_disconnected(name)
        self.jobs.handle_peer_disconnected(name)
        self._peer_table_version_by_name.pop(name, None)
        self._view_number_by_worker.pop(name, None)
        yield from ()

    def receive(self, name: str, message: messages.Message) -> _Effects:
        """Handle a message.

        :param name: name of the connected node that sent it.
        :param message: the message; types that an entry host does not expect are
            ignored.
        """
        self.workers.renew_lease(name)
        handler = self._handler_by_class.get(type(message))
        if handler is not None:
            yield from handler(name, message)
            yield from self._dispatch()

    def _dispatch(self) -> _Effects:
        yield from self._dispatcher.dispatch(self.jobs.request_scope_extension)

    def _heartbeat_message(
        self, age_s: int = messages.UNKNOWN_AGE_S
    ) -> messages.Heartbeat:
        return messages.Heartbeat(self.table_replica.version, self.view.number, age_s)

    def _peers_message(self) -> messages.Peers:
        peers = {**self.view.entry_by_name, **self.jobs.peer_by_name}
        return messages.Peers((self.node, *peers.values()))

    def _on_load(self, name: str, message: messages.Load) -> _Effects:
        self.workers.record_report(name, message.free_slots, message.received)
        worker = self.workers.worker_by_name.get(name)
        if worker is not None:
            worker.running = message.running
            self.workers.set_draining(name, message.draining)
            self.health.record_reported_failures(
                worker.record, message.consecutive_failed_jobs
            )
        yield from ()

    def _on_offer(self, name: str, message: messages.Offer) -> _Effects:
        self.workers.record_offer(name, message.free_slots, message.received)
        yield from ()

    def _on_results(self, name: str, message: messages.Results) -> _Effects:
        self.workers.record_report(name, message.free_slots, message.received)
        self.health.record_results(message)
        yield from self.jobs.handle_results(name, message)

    def _on_leave(self, name: str, _message: messages.Leave) -> _Effects:
        if name in self.workers.worker_by_name:
            self.workers.set_draining(name, active=True)
            # No task start follows this reply on the connection.
            yield effects.Send(name, messages.Leave())

    # Streams of the log

    def _on_heartbeat(self, name: str, message: messages.Heartbeat) -> _Effects:
        """Send a node the table and member records that it lacks."""
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
            yield from self._apply_member_records(message)
        elif message.stream == table.STREAM:
            version, was_current = self.table_replica.version, self.has_current_table
            self.table_replica.apply_peer_page(name, message)
            yield from self._handle_table_change(version, was_current)

    def follow(self, message: messages.Records) -> _Effects:
        """Apply new records of a stream that were read from the log.

        :param message: the records; an empty page of the members stream shows that
            the view is the newest one.
        """
        if message.stream == views.STREAM:
            yield from self._apply_member_records(message)
            if message.next == message.first:
                self.jobs.record_view_check(0)
        elif message.stream == table.STREAM:
            version, was_current = self.table_replica.version, self.has_current_table
            self.table_replica.apply_log_page(message)
            self._snapshots_by_stream[table.STREAM].observe(message.records)
            yield from self._handle_table_change(version, was_current)

    def _handle_table_change(self, version: int, was_current: bool) -> _Effects:
        """Forward new table records; announce the table when it becomes current.

        :param version: version of the table before the change.
        :param was_current: whether the table was current before the change.
        """
        if self.table_replica.version > version:
            self._counters.gauge("table.version", self.table_replica.version)
            self._dispatcher.update_weights(self._limits.weight)
            for name in (*self.workers.worker_by_name, *self.jobs.peer_by_name):
                peer_version = self._peer_table_version_by_name.get(name, version)
                for records in self.table_replica.pages_since(
                    min(peer_version, version)
                ):
                    yield effects.Send(name, records)
        if not was_current and self.has_current_table:
            for name in self.jobs.peer_by_name:
                yield effects.Send(name, self.table_replica.version_announcement())

    def _apply_member_records(self, message: messages.Records) -> _Effects:
        number = self.view.number
        new_records = self._member_history.add_page(message, number)
        self._snapshots_by_stream[views.STREAM].observe(new_records)
        for view in views.fold_page(self.view, message):
            self.jobs.view = view
        if self.view.number == number:
            return
        self._counters.gauge("view.number", self.view.number)
        yield from self._send_member_records()
        yield from self._dial_entries()

    def _send_member_records(self) -> _Effects:
        """Send the new member records to the agents whose view is known."""
        # Most agents have the same view, so their pages are built only once.
        pages_by_number: dict[int, list[messages.Records]] = {}
        for name, number in list(self._view_number_by_worker.items()):
            if number not in pages_by_number:
                pages_by_number[number] = list(
                    self._member_history.pages_since(number, self.view)
                )
            for records in pages_by_number[number]:
                yield effects.Send(name, records)
            self._view_number_by_worker[name] = self.view.number

    # Timers

    def tick(self) -> _Effects:
        """Run the timers that are due; call at least ten times a second."""
        self.health.tick()
        yield from self.jobs.tick()
        yield from self._dispatch()
        now = self._time.now()
        if now - self._membership_ticked_at >= MEMBERSHIP_INTERVAL_S:
            self._membership_ticked_at = now
            yield from self._membership.tick(
                self.view,
                [worker.hello for worker in self.workers.worker_by_name.values()],
                self.jobs.peer_by_name.values(),
            )
            yield from self._dial_entries()
            yield from self._append_snapshots()

    def _dial_entries(self) -> _Effects:
        """Connect to the entry hosts of the view that are not connected."""
        for node in self.view.entry_by_name.values():
            if node.name not in self.jobs.peer_by_name and node.name != self.node.name:
                yield effects.Dial(node)

    def _append_snapshots(self) -> _Effects:
        peers, current = self.jobs.peer_by_name, self.table_replica.table
        member_snapshots = self._snapshots_by_stream[views.STREAM]
        if member_snapshots.is_due and self.view.is_complete and self.view.number:
            value = views.snapshot_record(self.view)
            yield from member_snapshots.tick(peers, self.view.number, value)
        table_snapshots = self._snapshots_by_stream[table.STREAM]
        if table_snapshots.is_due and current.is_complete and current.next:
            value = table.snapshot_record(current)
            yield from table_snapshots.tick(peers, current.next, value)

    def send_heartbeats(self) -> _Effects:
        """Send the heartbeats; call once in each heartbeat interval."""
        for name in self.workers.worker_by_name:
            yield effects.Send(name, self._heartbeat_message())
        for name in self.jobs.peer_by_name:
            yield effects.Send(name, self._heartbeat_message(self.jobs.view_age_s))
