"""The queue of jobs with waiting tasks at an entry host.

Classes share by start-time fair queueing: each class has a virtual time that
grows by the work sent divided by the class's weight, and the class with the
lowest one is served next. Within a class, the job with the fewest waiting tasks
goes first, since an answer counts only when the job is whole; the time of arrival
counts too, so that a large job is not passed for ever.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable, Iterator

import attrs

from burdockgate.request import ownedjob

# One waiting task weighs as much as this much later arrival.
SECONDS_PER_WAITING_TASK = 0.02
# Jobs of which nothing can be sent that one round looks at. Without a bound each
# message would visit the whole backlog while the free workers are outside the scopes.
SKIPPED_JOBS_LIMIT = 64


@attrs.define
class _ClassQueue:
    """Jobs of one class.

    :param tasks: waiting tasks of the queued jobs, as last seen.
    :param dropped: entries of the heap that count no more.
    :param last_rank: the highest rank given so far.
    """

    weight: float
    virtual_time: float
    heap: list[tuple[float, int, ownedjob.OwnedJob]] = attrs.field(factory=list)
    waiting_tasks: int = 0
    stale_entries: int = 0
    highest_rank: float = 0.0


@attrs.define
class _QueuedJob:
    """A queued job; an entry of the heap with another number counts no more."""

    number: int
    waiting_tasks: int


class Backlog:
    """Orders the jobs that have waiting tasks.

    :param may_start: whether tasks of a class may start now; others stay queued.
    """

    def __init__(self, may_start: Callable[[str], bool] = lambda name: True) -> None:
        self._may_start = may_start
        self._queue_by_class: dict[str, _ClassQueue] = {}
        self._virtual_time = 0.0
        self._entry_numbers = itertools.count()
        self._queued_by_job: dict[ownedjob.OwnedJob, _QueuedJob] = {}

    def add(self, job: ownedjob.OwnedJob, weight: float) -> None:
        """Queue a job unless it is queued.

        :param job: the job; it stays queued until it has no waiting task.
        :param weight: weight of its class.
        """
        name = job.request.caller_class
        queue = self._queue_by_class.get(name)
        if queue is None:
            queue = _ClassQueue(weight, self._virtual_time)
            self._queue_by_class[name] = queue
        queue.weight = weight
        self._remove_ended_jobs(queue)
        self._push(job)

    def _remove_ended_jobs(self, queue: _ClassQueue) -> None:
        """Release jobs that ended while no slot was free, to bound the memory."""
        while queue.heap:
            _, number, job = queue.heap[0]
            if self._is_current_entry(number, job) and job.outcome is None:
                return
            self._pop(queue)

    def _is_current_entry(self, number: int, job: ownedjob.OwnedJob) -> bool:
        queued = self._queued_by_job.get(job)
        return queued is not None and queued.number == number

    def _pop(self, queue: _ClassQueue) -> ownedjob.OwnedJob | None:
        """Take the first entry, and return its job unless it counts no more."""
        _, number, job = heapq.heappop(queue.heap)
        if not self._is_current_entry(number, job):
            queue.stale_entries -= 1
            return None
        queue.waiting_tasks -= self._queued_by_job.pop(job).waiting_tasks
        return job

    def remove(self, job: ownedjob.OwnedJob) -> None:
        """Release a job that has ended.

        :param job: the job; one that is not queued is ignored.
        """
        queued = self._queued_by_job.pop(job, None)
        if queued is None:
            return
        queue = self._queue_by_class[job.request.caller_class]
        queue.waiting_tasks -= queued.waiting_tasks
        queue.stale_entries += 1
        # Entries are removed in bulk, so that a wave of cancellations stays linear.
        if queue.stale_entries > len(queue.heap) // 2:
            queue.heap = [
                entry
                for entry in queue.heap
                if self._is_current_entry(entry[1], entry[2])
            ]
            heapq.heapify(queue.heap)
            queue.stale_entries = 0

    def jobs_in_order(self) -> Iterator[ownedjob.OwnedJob]:
        """Yield the jobs in the order of service; the caller sends their tasks.

        Each time the caller has taken tasks of a job, it calls :meth:`charge`. A
        job of which nothing was taken is passed over in this round. When many are,
        the round ends, and they go to the end so that the next round sees others.
        """
        skipped: list[ownedjob.OwnedJob] = []
        try:
            while len(skipped) < SKIPPED_JOBS_LIMIT:
                if (name := self._next_class()) is None:
                    break
                job = self._pop(self._queue_by_class[name])
                if job is None or (before := job.waiting_count) == 0:
                    continue
                skipped.append(job)
                yield job
                if job.waiting_count != before:
                    self._push(skipped.pop())
        finally:
            for job in skipped:
                self._push(job, is_last=len(skipped) >= SKIPPED_JOBS_LIMIT)
            self._remove_idle_classes()

    def _push(self, job: ownedjob.OwnedJob, is_last: bool = False) -> None:
        tasks = job.waiting_count
        queued = self._queued_by_job.get(job)
        queue = self._queue_by_class[job.request.caller_class]
        if queued is not None:
            queue.waiting_tasks += tasks - queued.waiting_tasks
            queued.waiting_tasks = tasks
        elif tasks:
            number = next(self._entry_numbers)
            self._queued_by_job[job] = _QueuedJob(number, tasks)
            queue.waiting_tasks += tasks
            rank = queue.highest_rank if is_last else _rank(job)
            queue.highest_rank = max(queue.highest_rank, rank)
            heapq.heappush(queue.heap, (rank, number, job))

    def charge(self, job: ownedjob.OwnedJob, work: float) -> None:
        """Count work sent against the class of a job.

        :param job: the job.
        :param work: amount of work, such as expected ms.
        """
        queue = self._queue_by_class[job.request.caller_class]
        self._virtual_time = max(self._virtual_time, queue.virtual_time)
        queue.virtual_time += work / queue.weight

    def update_weights(self, weight: Callable[[str], float]) -> None:
        """Apply changed weights to the classes that are queued.

        :param weight: returns the weight of a class.
        """
        for name, queue in self._queue_by_class.items():
            queue.weight = weight(name)

    @property
    def is_empty(self) -> bool:
        """Whether no task that may start waits; ended jobs may still be queued."""
        return next(self.first_jobs(), None) is None

    def first_jobs(self) -> Iterator[ownedjob.OwnedJob]:
        """Yield the first job with waiting tasks of each class that may start."""
        for name, queue in self._queue_by_class.items():
            if queue.heap and self._may_start(name):
                while queue.heap:
                    _, number, job = queue.heap[0]
                    if self._is_current_entry(number, job) and job.waiting_count:
                        yield job
                        break
                    self._pop(queue)

    def demand(self) -> tuple[int, float]:
        """Return the number of waiting tasks and the weights of their classes."""
        queues = self._queue_by_class.values()
        tasks = sum(queue.waiting_tasks for queue in queues)
        return tasks, sum(
            (queue.weight for queue in queues if queue.waiting_tasks), 0.0
        )

    def _next_class(self) -> str | None:
        return min(
            (
                name
                for name, queue in self._queue_by_class.items()
                if queue.heap and self._may_start(name)
            ),
            key=lambda name: self._queue_by_class[name].virtual_time,
            default=None,
        )

    def _remove_idle_classes(self) -> None:
        """Forget classes without jobs once their virtual time is in the past."""
        if not any(queue.heap for queue in self._queue_by_class.values()):
            # Without a rival there is no debt to remember. Classes that each come
            # once would otherwise stay, because none ever moves the time past them.
            times = [queue.virtual_time for queue in self._queue_by_class.values()]
            self._virtual_time = max([self._virtual_time, *times])
        for name, queue in list(self._queue_by_class.items()):
            if not queue.heap and queue.virtual_time <= self._virtual_time:
                del self._queue_by_class[name]


def _rank(job: ownedjob.OwnedJob) -> float:
    return job.arrived_at + SECONDS_PER_WAITING_TASK * job.waiting_count
