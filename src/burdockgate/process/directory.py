"""The workers that an entry host knows, under leases."""

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
    """A worker as its agent has announced it.

    :param record: what is known of its outcomes.
    :param reported_free: free slots in the agent's last report.
    :param sent: tasks sent in this session.
    :param received: tasks that the last report counts as received.
    :param demanded: tasks announced to the agent as waiting and not yet offered a
        slot.
    :param heard_at: time of the last message, in seconds.
    :param number: its place in the order in which the workers joined.
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
        """Incarnation of the agent."""
        return self.hello.node

    @property
    def free_slots(self) -> int:
        """Free slots: those reported, less the tasks sent since that report."""
        return self.reported_free - (self.sent - self.received)

    @property
    def available_slots(self) -> int:
        """Free slots that may be used: none while ejected, few on probation."""
        return min(self.free_slots, self.record.allowance)

    def fits(self, cores: float, memory_mb: int, accelerators: int) -> bool:
        """Return whether the worker has what one task asks for.

        :param cores: processors.
        :param memory_mb: memory in MB.
        :param accelerators: accelerators.
        """
        return (
            cores <= self.hello.cores
            and memory_mb <= self.hello.memory_mb
            and accelerators <= self.hello.accelerators
        )


@attrs.define
class ServiceIndex:
    """The workers of one service, indexed by what the dispatcher asks for.

    :param members: every connected worker.
    :param free: those with a free slot that may get a task.
    :param proving: those of them that are on probation.
    :param asked: those that may get a task and have been told of waiting tasks.
    :param unasked: those that may get a task and have not.
    :param changes: counts the workers that became unasked.
    """

    members: pool.Pool = attrs.field(factory=pool.Pool)
    available: pool.Pool = attrs.field(factory=pool.Pool)
    on_probation: dict[str, Worker] = attrs.field(factory=dict)
    with_demand: dict[str, Worker] = attrs.field(factory=dict)
    without_demand: dict[str, Worker] = attrs.field(factory=dict)
    additions: int = 0

    def put(self, worker: Worker, is_schedulable: bool) -> None:
        """Index a worker anew.

        :param worker: the worker.
        :param may_get: whether it may get new tasks.
        """
        name, is_asked = worker.name, worker.open_demand > 0
        is_free = is_schedulable and worker.available_slots > 0
        self.available.put(worker, is_free)
        if is_free and worker.record.state is detectors.HealthState.PROBATION:
            self.on_probation[name] = worker
        else:
            self.on_probation.pop(name, None)
        if is_schedulable and is_asked:
            self.with_demand[name] = worker
        else:
            self.with_demand.pop(name, None)
        if not is_schedulable or is_asked:
            self.without_demand.pop(name, None)
        elif self.without_demand.get(name) is not worker:
            self.without_demand[name] = worker
            self.additions += 1


class Directory:
    """Connected workers by name, with their leases.

    Each change of a worker passes through a method here, which keeps the indexes of
    its service. A lapsed worker is noticed when it is about to be used.

    :param time: the clock.
    :param lease_s: a worker not heard of for this long gets no task.
    :param health: judges the workers; ``None`` for no judgement.
    """

    def __init__(
        self,
        time: clock.Clock,
        lease_s: float,
        health: healths.HealthMonitor | None = None,
    ) -> None:
        self._time = time
        self._lease_s = lease_s
        self._numbers = itertools.count()
        self._lapsed: set[str] = set()
        self._service_by_name: dict[str, ServiceIndex] = collections.defaultdict(
            ServiceIndex
        )
        self.health = health
        if health is not None:
            health.set_allowance_listener(self._on_allowance)
        self.worker_by_name: dict[str, Worker] = {}

    def service(self, name: str) -> ServiceIndex:
        """Return the indexes of a service.

        :param name: name of the service.
        """
        return self._service_by_name.get(name) or ServiceIndex()

    def join(self, hello: messages.Hello) -> None:
        """Add a worker, or replace its older session.

        :param hello: the announcement of its agent.
        """
        name = hello.node.name
        old = self.worker_by_name.get(name)
        number = next(self._numbers) if old is None else old.join_number
        if old is not None:
            self._remove(old)
        worker = Worker(
            hello, self._time.now(), draining=hello.draining, join_number=number
        )
        if self.health is not None:
            worker.record = self.health.join(hello)
        self.worker_by_name[name] = worker
        self._service_by_name[hello.service].members.put(worker, is_in=True)
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

    def _on_allowance(self, record: detectors.WorkerRecord) -> None:
        """Index a worker anew after its health has changed what it may get."""
        worker = self.worker_by_name.get(record.name)
        if worker is not None and worker.record is record:
            self.reindex(worker)

    def _remove(self, worker: Worker) -> None:
        self._lapsed.discard(worker.name)
        service = self._service_by_name[worker.hello.service]
        service.put(worker, is_schedulable=False)
        service.members.put(worker, is_in=False)
        if not service.members:
            del self._service_by_name[worker.hello.service]

    def reindex(self, worker: Worker) -> None:
        """Index a worker anew after a change of it.

        :param worker: a worker of this directory.
        """
        may_get = self.is_schedulable(worker)
        if not may_get and self.has_lapsed(worker):
            self._lapsed.add(worker.name)
        self._service_by_name[worker.hello.service].put(worker, may_get)

    def is_schedulable(self, worker: Worker) -> bool:
        """Return whether a worker may get new tasks, with a free slot or without.

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
        """Note whether a worker is leaving.

        :param name: name of its agent; an unknown one is ignored.
        :param active: whether it gets no new task.
        """
        worker = self.worker_by_name.get(name)
        if worker is not None:
            worker.draining = active
            self.reindex(worker)

    def record_report(self, name: str, free: int, received: int) -> None:
        """Note free slots reported by an agent.

        :param name: name of the agent.
        :param free: free slots.
        :param received: tasks the agent had received from here by then.
        """
        worker = self.worker_by_name.get(name)
        if worker is not None:
            if self.health is not None and free > worker.reported_free:
                self.health.record_freed_slot(worker.record)
            worker.reported_free, worker.received = free, received
            self.reindex(worker)

    def record_offer(self, name: str, free: int, received: int) -> None:
        """Note slots that an agent reserves for this entry host.

        :param name: name of the agent.
        :param free: free slots, the reserved ones included.
        :param received: as in :meth:`report`.
        """
        worker = self.worker_by_name.get(name)
        if worker is not None:
            worker.open_demand = max(0, worker.open_demand - 1)
        self.record_report(name, free, received)

    def record_sent(self, worker: Worker) -> None:
        """Count a task that is sent to a worker.

        :param worker: the worker.
        """
        worker.sent += 1
        self.reindex(worker)

    def set_demand(self, worker: Worker, waiting: int) -> None:
        """Note how many waiting tasks a worker is told of.

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
        """Yield the workers of a service that may get new tasks, as they joined.

        :param service: name of the service.
        """
        members = self.service(service).members
        for worker in sorted(members, key=lambda worker: worker.join_number):
            if self.is_schedulable(worker):
                yield worker
