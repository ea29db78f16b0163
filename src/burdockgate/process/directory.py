"""The workers that an entry host knows, under leases.

The directory combines what agents report with the judgement of the health monitor, and
indexes the workers of each service for the dispatcher.
"""

from __future__ import annotations

import collections
import itertools
from collections.abc import Iterator

import attrs

from burdockgate import clock, messages
from burdockgate.process import detectors, pool
from burdockgate.process import health as healths


@attrs.define
class Worker:
    """A connected worker.

    :param hello: announcement of its agent.
    :param last_message_at: time of the last message, in seconds.
    :param reported_free: free slots in the agent's last report.
    :param sent: tasks sent in this session.
    :param received: tasks of this entry host that the agent had received at its last
        report.
    :param open_demand: tasks announced to the agent as waiting and not offered a slot
        yet.
    :param join_number: position in the order in which the workers first joined.
    :param record: its health.
    """

    hello: messages.Hello
    last_message_at: float
    reported_free: int = 0
    running: int = 0
    sent: int = 0
    received: int = 0
    draining: bool = False
    open_demand: int = 0
    table_version: int = 0
    join_number: int = 0
    record: detectors.WorkerRecord = attrs.field(
        factory=lambda: detectors.WorkerRecord("", "", 0)
    )

    @property
    def name(self) -> str:
        """Name of the agent."""
        return self.hello.node.name

    @property
    def node(self) -> messages.Node:
        """Name, boot id and address of the agent."""
        return self.hello.node

    @property
    def free_slots(self) -> int:
        """Free slots at the last report, minus the sent tasks not included in it."""
        return self.reported_free - (self.sent - self.received)

    @property
    def available_slots(self) -> int:
        """Free slots within the allowance that the health of the worker gives."""
        return min(self.free_slots, self.record.allowance)

    def fits(self, cores: float, memory_mb: int, accelerators: int) -> bool:
        """Return whether the worker has the resources that a task needs.

        :param cores: number of processor cores.
        :param memory_mb: memory in MB.
        :param accelerators: number of accelerators.
        """
        return (
            cores <= self.hello.cores
            and memory_mb <= self.hello.memory_mb
            and accelerators <= self.hello.accelerators
        )


@attrs.define
class ServiceIndex:
    """Index of the workers of one service, for the dispatcher.

    A worker is schedulable unless it is draining or its lease has lapsed.

    :param members: all connected workers.
    :param available: schedulable workers with an available slot.
    :param on_probation: those of ``available`` that are on probation.
    :param with_demand: schedulable workers with an open demand.
    :param without_demand: schedulable workers without one.
    :param additions: how often a worker was added to ``without_demand``.
    """

    members: pool.Pool = attrs.field(factory=pool.Pool)
    available: pool.Pool = attrs.field(factory=pool.Pool)
    on_probation: dict[str, Worker] = attrs.field(factory=dict)
    with_demand: dict[str, Worker] = attrs.field(factory=dict)
    without_demand: dict[str, Worker] = attrs.field(factory=dict)
    additions: int = 0

    def reindex(self, worker: Worker, is_schedulable: bool) -> None:
        """Update the index after a change of a worker.

        :param worker: the worker.
        :param is_schedulable: whether it may get new tasks.
        """
        name, has_demand = worker.name, worker.open_demand > 0
        is_available = is_schedulable and worker.available_slots > 0
        self.available.put(worker, is_available)
        if is_available and worker.record.state is detectors.HealthState.PROBATION:
            self.on_probation[name] = worker
        else:
            self.on_probation.pop(name, None)
        if is_schedulable and has_demand:
            self.with_demand[name] = worker
        else:
            self.with_demand.pop(name, None)
        if not is_schedulable or has_demand:
            self.without_demand.pop(name, None)
        elif self.without_demand.get(name) is not worker:
            self.without_demand[name] = worker
            self.additions += 1


class Directory:
    """Connected workers by name, with their leases.

    Workers are changed through the methods here, which update the index of the service.
    A lapsed lease is detected only when the worker is about to be used.

    :param time: the clock.
    :param lease_s: a worker that sends no message for this long gets no new task.
    :param health: ejects bad workers; ``None`` to eject none.
    """

    def __init__(
        self,
        time: clock.Clock,
        lease_s: float,
        health: healths.HealthMonitor | None = None,
    ) -> None:
        self._time = time
        self._lease_s = lease_s
        self._join_numbers = itertools.count()
        self._lapsed: set[str] = set()
        self._service_by_name: dict[str, ServiceIndex] = collections.defaultdict(
            ServiceIndex
        )
        self.health = health
        if health is not None:
            health.set_allowance_listener(self._handle_allowance_change)
        self.worker_by_name: dict[str, Worker] = {}

    def service(self, name: str) -> ServiceIndex:
        """Return the index of a service; it is empty for an unknown one.

        :param name: name of the service.
        """
        return self._service_by_name.get(name) or ServiceIndex()

    def join(self, hello: messages.Hello) -> None:
        """Add a worker, or replace its previous session.

        :param hello: the announcement of its agent.
        """
        name = hello.node.name
        old = self.worker_by_name.get(name)
        number = next(self._join_numbers) if old is None else old.join_number
        if old is not None:
            self._remove(old)
        worker = Worker(
            hello, self._time.now(), draining=hello.draining, join_number=number
        )
        if self.health is not None:
            worker.record = self.health.join(hello)
        self.worker_by_name[name] = worker
        self._service_by_name[hello.service].members.put(worker, is_member=True)
        self.reindex(worker)

    def leave(self, name: str) -> None:
        """Remove a worker.

        :param name: name of its agent; an unknown one is ignored.
        """
        worker = self.worker_by_name.pop(name, None)
        if worker is not None:
            self._remove(worker)
        if self.health is not None:
            self.health.leave(name)

    def _handle_allowance_change(self, record: detectors.WorkerRecord) -> None:
        """Update the index after a change of a worker's allowance."""
        worker = self.worker_by_name.get(record.name)
        if worker is not None and worker.record is record:
            self.reindex(worker)

    def _remove(self, worker: Worker) -> None:
        self._lapsed.discard(worker.name)
        service = self._service_by_name[worker.hello.service]
        service.reindex(worker, is_schedulable=False)
        service.members.put(worker, is_member=False)
        if not service.members:
            del self._service_by_name[worker.hello.service]

    def reindex(self, worker: Worker) -> None:
        """Update the index after a change of a worker.

        :param worker: a worker of this directory.
        """
        is_schedulable = self.is_schedulable(worker)
        if not is_schedulable and self.has_lapsed(worker):
            self._lapsed.add(worker.name)
        self._service_by_name[worker.hello.service].reindex(worker, is_schedulable)

    def is_schedulable(self, worker: Worker) -> bool:
        """Return whether a worker is neither draining nor lapsed.

        Free slots and health do not matter here.

        :param worker: the worker.
        """
        return not worker.draining and not self.has_lapsed(worker)

    def renew_lease(self, name: str) -> None:
        """Renew the lease of a worker.

        :param name: name of its agent; an unknown one is ignored.
        """
        worker = self.worker_by_name.get(name)
        if worker is not None:
            worker.last_message_at = self._time.now()
            if name in self._lapsed:
                self._lapsed.discard(name)
                self.reindex(worker)

    def set_draining(self, name: str, active: bool) -> None:
        """Set whether a worker is draining.

        :param name: name of its agent; an unknown one is ignored.
        :param active: whether it is draining and so gets no new task.
        """
        worker = self.worker_by_name.get(name)
        if worker is not None:
            worker.draining = active
            self.reindex(worker)

    def record_report(self, name: str, free: int, received: int) -> None:
        """Record the free slots that an agent reports.

        :param name: name of the agent; an unknown one is ignored.
        :param free: free slots.
        :param received: tasks of this entry host that the agent has received so far.
        """
        worker = self.worker_by_name.get(name)
        if worker is not None:
            if self.health is not None and free > worker.reported_free:
                self.health.record_freed_slot(worker.record)
            worker.reported_free, worker.received = free, received
            self.reindex(worker)

    def record_offer(self, name: str, free: int, received: int) -> None:
        """Record a slot that an agent reserves for this entry host.

        :param name: name of the agent; an unknown one is ignored.
        :param free: free slots, the reserved ones included.
        :param received: as in :meth:`record_report`.
        """
        worker = self.worker_by_name.get(name)
        if worker is not None:
            worker.open_demand = max(0, worker.open_demand - 1)
        self.record_report(name, free, received)

    def record_sent(self, worker: Worker) -> None:
        """Record that a task is sent to a worker.

        :param worker: the worker.
        """
        worker.sent += 1
        self.reindex(worker)

    def set_demand(self, worker: Worker, waiting: int) -> None:
        """Record the number of waiting tasks announced to a worker.

        :param worker: the worker.
        :param waiting: number of tasks; 0 withdraws the demand.
        """
        worker.open_demand = waiting
        self.reindex(worker)

    def has_lapsed(self, worker: Worker) -> bool:
        """Return whether the lease of a worker has lapsed.

        :param worker: the worker.
        """
        return self._time.now() - worker.last_message_at > self._lease_s

    def schedulable_workers(self, service: str) -> Iterator[Worker]:
        """Yield the schedulable workers of a service in the order in which they joined.

        :param service: name of the service.
        """
        members = self.service(service).members
        for worker in sorted(members, key=lambda worker: worker.join_number):
            if self.is_schedulable(worker):
                yield worker
