"""Assigns the waiting tasks of claimed jobs to workers with free slots.

The order of jobs comes from :mod:`burdockgate.process.backlog`, the choice among
workers from :mod:`burdockgate.process.placement`.
"""

from __future__ import annotations

import functools
from collections.abc import Callable, Iterable, Iterator

import attrs

from burdockgate import effects, messages
from burdockgate.process import backlog, directory, limits, metrics, placement, pool
from burdockgate.request import job as jobs
from burdockgate.request import ownedjob

# Expected run time of a task for which the caller declared none.
DEFAULT_WORK_MS = 100.0
# Demand is sent to at least this many workers, even when fewer tasks wait.
DEMAND_WORKERS_MIN = 64
# A scope of up to this size is searched itself, even if fewer workers are free.
SMALL_SCOPE_SIZE = 16

_Effects = Iterator[effects.Effect]


@attrs.define
class _StartBatches:
    """Tasks assigned in one round, with one start message per agent and job.

    :param batch_by_agent_and_job: job, agent and tasks of each message, by the name of
        the agent and the job id.
    """

    batch_by_agent_and_job: dict[
        tuple[str, bytes],
        tuple[ownedjob.OwnedJob, messages.Node, list[messages.TaskStart]],
    ] = attrs.field(factory=dict)

    def add(self, job: ownedjob.OwnedJob, node: messages.Node) -> int:
        key = (node.name, job.request.job)
        _, _, tasks = self.batch_by_agent_and_job.setdefault(key, (job, node, []))
        tasks.append(job.assign_next_task(node))
        return tasks[-1].index

    def start_messages(self) -> _Effects:
        for job, node, tasks in self.batch_by_agent_and_job.values():
            yield job.start_message(node, tasks)


class Dispatcher:
    """Matches waiting tasks and free slots, one backlog for each service.

    :param workers: the connected workers.
    :param policy: placement policy that chooses among workers with a free slot.
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
        self._has_new_weights = False
        self._demand_state_by_service: dict[str, tuple[object, ...]] = {}

    def add(self, job: ownedjob.OwnedJob, weight: float) -> None:
        """Queue a job that has waiting tasks.

        :param job: the job.
        :param weight: weight of its class.
        """
        service = job.request.service
        queue = self._backlog_by_service.get(service)
        if queue is None:
            queue = backlog.Backlog(lambda name: self._may_start("class", name))
            self._backlog_by_service[service] = queue
        queue.add(job, weight)
        # A returned task used no slot, so its class gets the charge back.
        for task in job.returned_tasks:
            queue.charge(job, -_work_ms(task))
            if self._limits is not None:
                self._limits.refund_start(job.request)
        job.returned_tasks.clear()

    def remove(self, job: ownedjob.OwnedJob) -> None:
        """Remove a job that has ended or is now owned by another entry host.

        :param job: the job.
        """
        queue = self._backlog_by_service.get(job.request.service)
        if queue is not None:
            queue.remove(job)

    def update_weights(self, weight: Callable[[str, str], float]) -> None:
        """Apply changed weights to the queued jobs.

        :param weight: returns the weight for a service and a class.
        """
        for service, queue in self._backlog_by_service.items():
            queue.update_weights(functools.partial(weight, service))
        self._has_new_weights = True

    def _may_start(self, scope: str, name: str) -> bool:
        return self._limits is None or self._limits.may_start(scope, name)

    def waiting_count(self) -> int:
        """Return the number of waiting tasks, over all services."""
        return sum(queue.demand()[0] for queue in self._backlog_by_service.values())

    def dispatch(
        self, on_scope_exhausted: Callable[[ownedjob.OwnedJob], None]
    ) -> _Effects:
        """Send the tasks that can start now, and the demand of the tasks that wait.

        :param on_outside_scope: called with a job that has waiting tasks when no worker
            in its scope can take one while other workers have free slots.
        """
        for name, queue in self._backlog_by_service.items():
            yield from self._send_tasks(name, queue, on_scope_exhausted)
            yield from self._send_demand(name, queue)
        self._has_new_weights = False

    def _send_tasks(
        self,
        service: str,
        queue: backlog.Backlog,
        on_scope_exhausted: Callable[[ownedjob.OwnedJob], None],
    ) -> _Effects:
        free = self._workers.service(service).available
        if not free or not self._may_start("service", service):
            return
        batches = _StartBatches()
        for job in queue.jobs_in_order():
            if not self._assign_one_task(queue, job, free, batches):
                on_scope_exhausted(job)
            if not free or not self._may_start("service", service):
                break
        yield from batches.start_messages()

    def _assign_one_task(
        self,
        queue: backlog.Backlog,
        job: ownedjob.OwnedJob,
        free: pool.Pool,
        batches: _StartBatches,
    ) -> bool:
        worker = self._choose_worker(job, free)
        if worker is None:
            return False
        index = batches.add(job, worker.node)
        self._workers.record_sent(worker)
        if self._workers.health is not None:
            request = job.request
            self._workers.health.record_sent(
                worker.record, request.caller_class, request.job, index
            )
        if self._limits is not None:
            self._limits.record_start(job.request)
        queue.charge(job, _work_ms(job.request.tasks[index]))
        self._counters.count("tasks.sent")
        return True

    def _choose_worker(
        self, job: ownedjob.OwnedJob, free: pool.Pool
    ) -> directory.Worker | None:
        """Choose a worker in the scope of a job for its next task.

        The scope is searched, unless it is larger than ``SMALL_SCOPE_SIZE`` and there
        are fewer free workers: then these are searched.
        """
        task, scope = job.next_task, job.terms.scope
        worker_by_name = self._workers.worker_by_name

        def usable_or_none(worker: directory.Worker | None) -> directory.Worker | None:
            if worker is None or worker.available_slots <= 0 or not _fits(worker, task):
                return None
            if worker.hello.service != job.request.service:
                return None
            if not self._workers.is_schedulable(worker):
                unschedulable.append(worker)
                return None
            return worker if job.may_send_to(worker.node) else None

        unschedulable: list[directory.Worker] = []
        # Workers on probation come first: they need tasks to leave probation, and a
        # policy would seldom choose these few.
        on_probation = self._workers.service(job.request.service).on_probation
        found = next(filter(usable_or_none, on_probation.values()), None)
        if found is None and SMALL_SCOPE_SIZE < len(scope) > len(free):
            found = self._policy.choose_by_index(
                len(free), lambda index: usable_or_none(free[index])
            )
        elif found is None:
            found = self._policy.choose_by_index(
                len(scope),
                lambda index: usable_or_none(worker_by_name.get(scope[index].name)),
            )
        for worker in unschedulable:
            self._workers.reindex(worker)
        return found

    def _send_demand(self, name: str, queue: backlog.Backlog) -> _Effects:
        service = self._workers.service(name)
        # A service at its limit could not use the slots that agents offer it.
        if queue.is_empty or not self._may_start("service", name):
            self._demand_state_by_service.pop(name, None)
            for worker in _in_join_order(service.with_demand.values()):
                self._workers.set_demand(worker, 0)
                yield effects.Send(worker.name, messages.Demand(0, 0.0))
            return
        # Agents divide their slots by the weights in the latest demand messages.
        to_resend = list(service.with_demand.values()) if self._has_new_weights else []
        to_send = self._workers_to_send_demand(name, service, queue)
        if to_resend or to_send:
            waiting, weight = queue.demand()
            for worker in _in_join_order([*to_resend, *to_send]):
                self._workers.set_demand(worker, waiting)
                yield effects.Send(worker.name, messages.Demand(waiting, weight))

    def _workers_to_send_demand(
        self, name: str, service: directory.ServiceIndex, queue: backlog.Backlog
    ) -> list[directory.Worker]:
        """Return the workers without demand to which it is sent now.

        A service with many workers sends it only within the scopes of the first jobs
        of its classes, because the other workers may not get their tasks.
        """
        if not service.without_demand:
            return []
        if len(service.members) <= DEMAND_WORKERS_MIN:
            return self._schedulable(service.without_demand.values())
        if len(service.with_demand) >= max(DEMAND_WORKERS_MIN, queue.demand()[0]):
            return []
        first_jobs = list(queue.first_jobs())
        state = (service.additions, *first_jobs)
        if self._demand_state_by_service.get(name) == state:
            return []
        self._demand_state_by_service[name] = state
        scope_names = {node.name for job in first_jobs for node in job.terms.scope}
        return self._schedulable(
            service.without_demand[worker_name]
            for worker_name in scope_names
            if worker_name in service.without_demand
        )

    def _schedulable(
        self, workers: Iterable[directory.Worker]
    ) -> list[directory.Worker]:
        """Return the schedulable workers, and reindex the others."""
        candidates = list(workers)
        for worker in candidates:
            if not self._workers.is_schedulable(worker):
                self._workers.reindex(worker)
        return [worker for worker in candidates if self._workers.is_schedulable(worker)]


def _in_join_order(workers: Iterable[directory.Worker]) -> list[directory.Worker]:
    return sorted(workers, key=lambda worker: worker.join_number)


def _work_ms(task: jobs.TaskSpec) -> float:
    return task.expected_ms or DEFAULT_WORK_MS


def _fits(worker: directory.Worker, task: jobs.TaskSpec) -> bool:
    return worker.fits(task.cores, task.memory_mb, task.accelerators)
