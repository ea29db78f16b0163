"""Sends waiting tasks of an entry host to workers with free slots."""

from __future__ import annotations

import functools
from collections.abc import Callable, Iterator

import attrs

from burdockgate import effects, messages
from burdockgate.process import backlog, directory, health, limits, metrics, placement
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

    def add(self, leader: leaders.Leader, node: messages.Node) -> int:
        key = (node.name, leader.request.job)
        _, _, tasks = self.tasks_by_pair.setdefault(key, (leader, node, []))
        tasks.append(leader.take(node))
        return tasks[-1].index

    def sends(self) -> _Effects:
        for leader, node, tasks in self.tasks_by_pair.values():
            yield leader.start_message(node, tasks)


class Dispatcher:
    """Matches waiting tasks and free slots, one backlog for each service.

    :param workers: the workers known.
    :param policy: chooses among workers with a free slot.
    :param counters: the process's metrics.
    :param limit: limits of services and classes; ``None`` for none.
    """

    def __init__(
        self,
        workers: directory.Directory,
        policy: placement.Placement,
        counters: metrics.Metrics,
        limit: limits.Limits | None = None,
    ) -> None:
        self._limits = limit
        self._workers = workers
        self._policy = policy
        self._counters = counters
        self._backlog_by_service: dict[str, backlog.Backlog] = {}
        self._is_reweighed = False

    def add(self, leader: leaders.Leader, weight: float) -> None:
        """Queue a job that has waiting tasks.

        :param leader: the job.
        :param weight: weight of its class.
        """
        service = leader.request.service
        queue = self._backlog_by_service.get(service)
        if queue is None:
            queue = backlog.Backlog(lambda name: self._may_start("class", name))
            self._backlog_by_service[service] = queue
        queue.add(leader, weight)
        # A returned task used no slot, so its class must not be charged for it.
        for task in leader.returned:
            queue.charge(leader, -_work(task))
            if self._limits is not None:
                self._limits.returned(leader.request)
        leader.returned.clear()

    def reweigh(self, weight: Callable[[str, str], float]) -> None:
        """Apply changed weights to the jobs that wait.

        :param weight: returns the weight of a service and a class.
        """
        for service, queue in self._backlog_by_service.items():
            queue.reweigh(functools.partial(weight, service))
        self._is_reweighed = True

    def _may_start(self, scope: str, name: str) -> bool:
        return self._limits is None or self._limits.may_start(scope, name)

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
            yield from self._serve(service, queue, workers, outside)
            yield from self._demand(service, queue, workers)
        self._is_reweighed = False

    def _serve(
        self,
        service: str,
        queue: backlog.Backlog,
        workers: list[directory.Worker],
        outside: Callable[[leaders.Leader], None],
    ) -> _Effects:
        free = [worker for worker in workers if worker.free > 0]
        if not free or not self._may_start("service", service):
            return
        batches = _Batches()
        for leader in queue.in_order():
            if not self._take_one(queue, leader, free, batches):
                outside(leader)
            free = [worker for worker in free if worker.free > 0]
            if not free or not self._may_start("service", service):
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
        worker = _on_probation(candidates) or self._policy.choose(candidates)
        index = batches.add(leader, worker.node)
        worker.sent += 1
        if self._workers.health is not None:
            request = leader.request
            self._workers.health.sent(
                worker.record, request.caller_class, request.job, index
            )
        if self._limits is not None:
            self._limits.started(leader.request)
        queue.charge(leader, _work(task))
        self._counters.count("tasks.sent")
        return True

    def _demand(
        self, service: str, queue: backlog.Backlog, workers: list[directory.Worker]
    ) -> _Effects:
        # Slots offered to a service at its limit would stay empty.
        if queue.is_empty or not self._may_start("service", service):
            for worker in workers:
                if worker.demanded > 0:
                    worker.demanded = 0
                    yield effects.Send(worker.name, messages.Demand(0, 0.0))
            return
        # The agents divide their slots by the weight that the last demand has told.
        unasked = [
            worker for worker in workers if worker.demanded <= 0 or self._is_reweighed
        ]
        if unasked:
            waiting, weight = queue.waiting()
            for worker in unasked:
                worker.demanded = waiting
                yield effects.Send(worker.name, messages.Demand(waiting, weight))


def _on_probation(candidates: list[directory.Worker]) -> directory.Worker | None:
    """Return a worker that must prove itself; policies would seldom choose it."""
    state = health.State.PROBATION
    return next((each for each in candidates if each.record.state is state), None)


def _work(task: jobs.TaskSpec) -> float:
    return task.expected_ms or UNDECLARED_WORK_MS


def _fits(worker: directory.Worker, task: jobs.TaskSpec) -> bool:
    return worker.fits(task.cores, task.memory_mb, task.accelerators)
