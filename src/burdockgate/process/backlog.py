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

from burdockgate.request import leader as leaders

# One waiting task weighs as much as this much later arrival.
SECONDS_PER_WAITING_TASK = 0.02


@attrs.define
class _ClassQueue:
    weight: float
    virtual_time: float
    heap: list[tuple[float, int, leaders.Leader]] = attrs.field(factory=list)


class Backlog:
    """Orders the jobs that have waiting tasks.

    :param may_start: whether tasks of a class may start now; others stay queued.
    """

    def __init__(self, may_start: Callable[[str], bool] = lambda name: True) -> None:
        self._may_start = may_start
        self._queue_by_class: dict[str, _ClassQueue] = {}
        self._virtual_time = 0.0
        self._counter = itertools.count()
        self._queued: set[leaders.Leader] = set()

    def add(self, leader: leaders.Leader, weight: float) -> None:
        """Queue a job unless it is queued.

        :param leader: the job; it stays queued until it has no waiting task.
        :param weight: weight of its class.
        """
        name = leader.request.caller_class
        queue = self._queue_by_class.get(name)
        if queue is None:
            queue = _ClassQueue(weight, self._virtual_time)
            self._queue_by_class[name] = queue
        queue.weight = weight
        self._drop_ended(queue)
        self._push(leader)

    def _drop_ended(self, queue: _ClassQueue) -> None:
        """Release jobs that ended while no slot was free, to bound the memory."""
        while queue.heap and queue.heap[0][2].outcome is not None:
            self._queued.discard(heapq.heappop(queue.heap)[2])

    def in_order(self) -> Iterator[leaders.Leader]:
        """Yield the jobs in the order of service; the caller sends their tasks.

        Each time the caller has taken tasks of a job, it calls :meth:`charge`. A
        job of which nothing was taken is passed over in this round.
        """
        passed: list[leaders.Leader] = []
        try:
            while (name := self._next_class()) is not None:
                leader = heapq.heappop(self._queue_by_class[name].heap)[2]
                self._queued.discard(leader)
                before = leader.waiting_count
                if before == 0:
                    continue
                passed.append(leader)
                yield leader
                if leader.waiting_count != before:
                    self._push(passed.pop())
        finally:
            for leader in passed:
                self._push(leader)
            self._drop_empty()

    def _push(self, leader: leaders.Leader) -> None:
        if leader.waiting_count and leader not in self._queued:
            self._queued.add(leader)
            queue = self._queue_by_class[leader.request.caller_class]
            entry = (_rank(leader), next(self._counter), leader)
            heapq.heappush(queue.heap, entry)

    def charge(self, leader: leaders.Leader, work: float) -> None:
        """Count work sent against the class of a job.

        :param leader: the job.
        :param work: amount of work, such as expected ms.
        """
        queue = self._queue_by_class[leader.request.caller_class]
        self._virtual_time = max(self._virtual_time, queue.virtual_time)
        queue.virtual_time += work / queue.weight

    def reweigh(self, weight: Callable[[str], float]) -> None:
        """Apply changed weights to the classes that are queued.

        :param weight: returns the weight of a class.
        """
        for name, queue in self._queue_by_class.items():
            queue.weight = weight(name)

    @property
    def is_empty(self) -> bool:
        """Whether no task that may start waits; ended jobs may still be queued."""
        return not any(
            item[2].waiting_count
            for name, queue in self._queue_by_class.items()
            if queue.heap and self._may_start(name)
            for item in queue.heap
        )

    def waiting(self) -> tuple[int, float]:
        """Return the number of waiting tasks and the weights of their classes."""
        tasks = 0
        weight = 0.0
        for queue in self._queue_by_class.values():
            in_class = sum(item[2].waiting_count for item in queue.heap)
            tasks += in_class
            weight += queue.weight if in_class else 0.0
        return tasks, weight

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

    def _drop_empty(self) -> None:
        """Forget classes without jobs once their virtual time is in the past."""
        if not any(queue.heap for queue in self._queue_by_class.values()):
            # Without a rival there is no debt to remember. Classes that each come
            # once would otherwise stay, because none ever moves the time past them.
            times = [queue.virtual_time for queue in self._queue_by_class.values()]
            self._virtual_time = max([self._virtual_time, *times])
        for name, queue in list(self._queue_by_class.items()):
            if not queue.heap and queue.virtual_time <= self._virtual_time:
                del self._queue_by_class[name]


def _rank(leader: leaders.Leader) -> float:
    return leader.arrived_at + SECONDS_PER_WAITING_TASK * leader.waiting_count
