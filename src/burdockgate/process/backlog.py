"""The queue of claimed jobs with waiting tasks at an entry host.

Classes share the slots by start-time fair queueing: the virtual time of a class grows
by the work sent divided by the weight of the class, and the class with the lowest
virtual time is served next. Within a class, jobs with few waiting tasks go first,
because an answer needs all tasks of a job, and the time of arrival counts too, so that
large jobs do not starve.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable, Iterator

import attrs

from burdockgate.request import ownedjob

# Each waiting task of a job counts like an arrival later by this time.
SECONDS_PER_WAITING_TASK = 0.02
# Largest number of jobs without a suitable worker that one round visits. Without this
# bound, each message would cause a scan of the whole backlog while only workers outside
# the scopes of its jobs are free.
SKIPPED_JOBS_LIMIT = 64


@attrs.define
class _ClassQueue:
    """The queued jobs of one class.

    :param heap: rank, entry number and job of each entry; some may be stale.
    :param waiting_tasks: waiting tasks of the queued jobs when they were last counted.
    :param stale_entries: entries of the heap whose job was removed from the queue.
    :param highest_rank: the highest rank given so far.
    """

    weight: float
    virtual_time: float
    heap: list[tuple[float, int, ownedjob.OwnedJob]] = attrs.field(factory=list)
    waiting_tasks: int = 0
    stale_entries: int = 0
    highest_rank: float = 0.0


@attrs.define
class _QueuedJob:
    """A queued job; heap entries of the job with another number are stale."""

    number: int
    waiting_tasks: int


class Backlog:
    """Orders the jobs of one service that have waiting tasks.

    :param may_start: returns whether tasks of a class may start now; the jobs of other
        classes stay queued.
    """

    def __init__(self, may_start: Callable[[str], bool] = lambda name: True) -> None:
        self._may_start = may_start
        self._queue_by_class: dict[str, _ClassQueue] = {}
        self._virtual_time = 0.0
        self._entry_numbers = itertools.count()
        self._queued_by_job: dict[ownedjob.OwnedJob, _QueuedJob] = {}

    def add(self, job: ownedjob.OwnedJob, weight: float) -> None:
        """Queue a job, or update its number of waiting tasks if it is queued.

        :param job: the job; it stays queued until it has no waiting task.
        :param weight: weight of its class; replaces an earlier one.
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
        """Remove ended jobs from the front of a queue, to bound its memory.

        Jobs end in the queue while no slot is free.
        """
        while queue.heap:
            _, number, job = queue.heap[0]
            if self._is_current_entry(number, job) and job.outcome is None:
                return
            self._pop(queue)

    def _is_current_entry(self, number: int, job: ownedjob.OwnedJob) -> bool:
        queued = self._queued_by_job.get(job)
        return queued is not None and queued.number == number

    def _pop(self, queue: _ClassQueue) -> ownedjob.OwnedJob | None:
        """Remove the first entry, and return its job unless the entry is stale."""
        _, number, job = heapq.heappop(queue.heap)
        if not self._is_current_entry(number, job):
            queue.stale_entries -= 1
            return None
        queue.waiting_tasks -= self._queued_by_job.pop(job).waiting_tasks
        return job

    def remove(self, job: ownedjob.OwnedJob) -> None:
        """Remove a job that has ended.

        :param job: the job; one that is not queued is ignored.
        """
        queued = self._queued_by_job.pop(job, None)
        if queued is None:
            return
        queue = self._queue_by_class[job.request.caller_class]
        queue.waiting_tasks -= queued.waiting_tasks
        queue.stale_entries += 1
        # Stale entries are removed in bulk, so that many cancellations at once take
        # linear time in total.
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

        The caller calls :meth:`charge` for each task that it sends. A job of which it
        sends nothing is skipped for the rest of the round. After
        ``SKIPPED_JOBS_LIMIT`` skipped jobs the round ends, and these jobs move to the
        end of their queues so that the next round visits others.
        """
        skipped: list[ownedjob.OwnedJob] = []
        try:
            while len(skipped) < SKIPPED_JOBS_LIMIT:
                if (name := self._next_class()) is None:
                    break
                job = self._pop(self._queue_by_class[name])
                if job is None or (waiting_before := job.waiting_count) == 0:
                    continue
                skipped.append(job)
                yield job
                if job.waiting_count != waiting_before:
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
        """Advance the virtual time of the class of a job.

        :param job: the job.
        :param work: amount of work sent, such as expected ms; negative for a task that
            was returned.
        """
        queue = self._queue_by_class[job.request.caller_class]
        self._virtual_time = max(self._virtual_time, queue.virtual_time)
        queue.virtual_time += work / queue.weight

    def update_weights(self, weight: Callable[[str], float]) -> None:
        """Apply changed weights to the queued classes.

        :param weight: returns the weight of a class.
        """
        for name, queue in self._queue_by_class.items():
            queue.weight = weight(name)

    @property
    def is_empty(self) -> bool:
        """Whether no waiting task may start; ended jobs may still be queued."""
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
        """Return the number of waiting tasks and the sum of their classes' weights."""
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
        """Remove the classes without jobs that are not ahead in virtual time."""
        if not any(queue.heap for queue in self._queue_by_class.values()):
            # With all queues empty, no class is ahead of another. Without this step,
            # classes that are each used once would stay for ever, because no charge
            # would move the virtual time past theirs.
            virtual_times = [
                queue.virtual_time for queue in self._queue_by_class.values()
            ]
            self._virtual_time = max([self._virtual_time, *virtual_times])
        for name, queue in list(self._queue_by_class.items()):
            if not queue.heap and queue.virtual_time <= self._virtual_time:
                del self._queue_by_class[name]


def _rank(job: ownedjob.OwnedJob) -> float:
    return job.arrived_at + SECONDS_PER_WAITING_TASK * job.waiting_count
