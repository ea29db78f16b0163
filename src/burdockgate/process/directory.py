"""The workers that an entry host knows, under leases."""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from burdockgate import clock, messages
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
    """

    hello: messages.Hello
    heard_at: float
    reported_free: int = 0
    running: int = 0
    sent: int = 0
    received: int = 0
    draining: bool = False
    demanded: int = 0
    table_version: int = 0
    record: healths.Record = attrs.field(factory=lambda: healths.Record("", "", 0))

    @property
    def name(self) -> str:
        """Name of the agent."""
        return self.hello.node.name

    @property
    def node(self) -> messages.Node:
        """Incarnation of the agent."""
        return self.hello.node

    @property
    def unused(self) -> int:
        """Free slots: those reported, less the tasks sent since that report."""
        return self.reported_free - (self.sent - self.received)

    @property
    def free(self) -> int:
        """Free slots that may be used: none while ejected, few on probation."""
        return min(self.unused, self.record.allowance)

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


class Directory:
    """Connected workers by name, with their leases.

    :param time: the clock.
    :param lease_s: a worker not heard of for this long gets no task.
    :param health: judges the workers; ``None`` for no judgement.
    """

    def __init__(
        self,
        time: clock.Clock,
        lease_s: float,
        health: healths.Health | None = None,
    ) -> None:
        self._time = time
        self._lease_s = lease_s
        self.health = health
        self.worker_by_name: dict[str, Worker] = {}

    def join(self, hello: messages.Hello) -> None:
        """Add a worker, or replace its older session.

        :param hello: the announcement of its agent.
        """
        worker = Worker(hello, self._time.now(), draining=hello.draining)
        if self.health is not None:
            worker.record = self.health.join(hello)
        self.worker_by_name[hello.node.name] = worker

    def leave(self, name: str) -> None:
        """Remove a worker.

        :param name: name of its agent; an unknown one is ignored.
        """
        self.worker_by_name.pop(name, None)
        if self.health is not None:
            self.health.leave(name)

    def hear(self, name: str) -> None:
        """Renew the lease of a worker.

        :param name: name of its agent; an unknown one is ignored.
        """
        worker = self.worker_by_name.get(name)
        if worker is not None:
            worker.heard_at = self._time.now()

    def report(self, name: str, free: int, received: int) -> None:
        """Note free slots reported by an agent.

        :param name: name of the agent.
        :param free: free slots.
        :param received: tasks the agent had received from here by then.
        """
        worker = self.worker_by_name.get(name)
        if worker is not None:
            if self.health is not None and free > worker.reported_free:
                self.health.freed(worker.record)
            worker.reported_free, worker.received = free, received

    def offer(self, name: str, free: int, received: int) -> None:
        """Note slots that an agent reserves for this entry host.

        :param name: name of the agent.
        :param free: free slots, the reserved ones included.
        :param received: as in :meth:`report`.
        """
        self.report(name, free, received)
        worker = self.worker_by_name.get(name)
        if worker is not None:
            worker.demanded = max(0, worker.demanded - 1)

    def has_lapsed(self, worker: Worker) -> bool:
        """Return whether the lease of a worker has lapsed.

        :param worker: the worker.
        """
        return self._time.now() - worker.heard_at > self._lease_s

    def of_service(self, service: str) -> Iterator[Worker]:
        """Yield the workers of a service that may get new tasks.

        :param service: name of the service.
        """
        for worker in self.worker_by_name.values():
            if (
                worker.hello.service == service
                and not worker.draining
                and not self.has_lapsed(worker)
            ):
                yield worker
