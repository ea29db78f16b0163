"""Sends waiting tasks of an entry host to workers with free slots."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import attrs

from burdockgate import effects, messages
from burdockgate.process import backlog, directory, metrics, placement
from burdockgate.request import job as jobs
from burdockgate.request import leader as leaders

# Work of a task whose run time was not declared, in ms.
UNDECLARED_WORK_MS = 100.0

_Effects = Iterator[effects.Effect]


@attrs.define
class _Batches:
    """Tasks taken in one round, by agent and job, so that each pair is one message."""

    tasks_by_pair: dict[
        tuple[str, bytes],
        tuple[leaders.Leader, messages.Node, list[messages.TaskStart]],
    ] = attrs.field(factory=dict)

    def add(self, leader: leaders.Leader, node: messages.Node) -> None:
        key = (node.name, leader.request.job)
        _, _, tasks = self.tasks_by_pair.setdefault(key, (leader, node, []))
        tasks.append(leader.take(node))

    def sends(self) -> _Effects:
        for leader, node, tasks in self.tasks_by_pair.values():
            yield leader.start_message(node, tasks)


class Dispatcher:
    """Matches waiting tasks and free slots, one backlog for each service.

    :param workers: the workers known.
    :param policy: chooses among workers with a free slot.
    :param counters: the process's metrics.
    """

    def __init__(
        self,
        workers: directory.Directory,
        policy: placement.Placement,
        counters: metrics.Metrics,
    ) -> None:
        self._workers = workers
        self._policy = policy
        self._counters = counters
        self._backlog_by_service: dict[str, backlog.Backlog] = {}

    def add(self, leader: leaders.Leader, weight: float) -> None:
        """Queue a job that has waiting tasks.

        :param leader: the job.
        :param weight: weight of its class.
        """
        service = leader.request.service
        queue = self._backlog_by_service.setdefault(service, backlog.Backlog())
        queue.add(leader, weight)

    def waiting(self) -> int:
        """Return the number of waiting tasks of all services."""
        return sum(queue.waiting()[0] for queue in self._backlog_by_service.values())

    def run(self, outside: Callable[[leaders.Leader], None]) -> _Effects:
        """Send what can be sent now, and adjust the demand at the agents.

        :param outside: called with a job that has waiting tasks while slots are
            free only outside its scope.
        """
        for service, queue in self._backlog_by_service.items():
            workers = list(self._workers.of_service(service))
            yield from self._serve(queue, workers, outside)
            yield from self._demand(queue, workers)

    def _serve(
        self,
        queue: backlog.Backlog,
        workers: list[directory.Worker],
        outside: Callable[[leaders.Leader], None],
    ) -> _Effects:
        free = [worker for worker in workers if worker.free > 0]
        if not free:
            return
        batches = _Batches()
        for leader in queue.in_order():
            if not self._take_one(queue, leader, free, batches):
                outside(leader)
            free = [worker for worker in free if worker.free > 0]
            if not free:
                break
        yield from batches.sends()

    def _take_one(
        self,
        queue: backlog.Backlog,
        leader: leaders.Leader,
        free: list[directory.Worker],
        batches: _Batches,
    ) -> bool:
        task = leader.next_task
        candidates = [
            worker
            for worker in free
            if leader.allows(worker.node) and _fits(worker, task)
        ]
        if not candidates:
            return False
        worker = self._policy.choose(candidates)
        batches.add(leader, worker.node)
        worker.sent += 1
        queue.charge(leader, task.expected_ms or UNDECLARED_WORK_MS)
        self._counters.count("tasks.sent")
        return True

    def _demand(
        self, queue: backlog.Backlog, workers: list[directory.Worker]
    ) -> _Effects:
        if queue.is_empty:
            for worker in workers:
                if worker.demanded > 0:
                    worker.demanded = 0
                    yield effects.Send(worker.name, messages.Demand(0, 0.0))
            return
        unasked = [worker for worker in workers if worker.demanded <= 0]
        if unasked:
            waiting, weight = queue.waiting()
            for worker in unasked:
                worker.demanded = waiting
                yield effects.Send(worker.name, messages.Demand(waiting, weight))


def _fits(worker: directory.Worker, task: jobs.TaskSpec) -> bool:
    return worker.fits(task.cores, task.memory_mb, task.accelerators)
