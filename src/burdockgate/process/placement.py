"""Policies that choose the worker for a task, for the dispatcher."""

from __future__ import annotations

import abc
import random
from collections.abc import Callable, Sequence

from burdockgate.process import directory

# Random draws before all candidates are enumerated. With no more candidates than this,
# enumerating them is cheaper than drawing.
MAX_DRAWS = 16


class Placement(abc.ABC):
    """Chooses among workers that fit a task and have an available slot."""

    @abc.abstractmethod
    def choose(self, candidates: Sequence[directory.Worker]) -> directory.Worker:
        """Return the worker that gets the task.

        :param candidates: at least one worker.
        """

    def choose_by_index(
        self, count: int, worker_at: Callable[[int], directory.Worker | None]
    ) -> directory.Worker | None:
        """Return the worker that gets the task; ``None`` when none is eligible.

        :param count: number of indexes.
        :param worker_at: returns the worker at an index; ``None`` when that worker is
            not eligible.
        """
        found = (worker_at(index) for index in range(count))
        candidates = [worker for worker in found if worker is not None]
        return self.choose(candidates) if candidates else None


class TwoChoices(Placement):
    """Chooses the one of two random workers that has more available slots.

    Entry hosts that all chose the least loaded worker would choose the same one until
    its next report; two random choices spread the load.

    :param rng: the source of random numbers.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, candidates: Sequence[directory.Worker]) -> directory.Worker:
        """Return the worker that gets the task.

        :param candidates: at least one worker.
        """
        if len(candidates) == 1:
            return candidates[0]
        first, second = self._rng.sample(candidates, 2)
        return first if first.available_slots >= second.available_slots else second

    def pick(
        self, count: int, worker_at: Callable[[int], directory.Worker | None]
    ) -> directory.Worker | None:
        """Draw indexes until two eligible workers are found.

        :param count: number of indexes.
        :param worker_at: returns the worker at an index; ``None`` when that worker is
            not eligible.
        """
        if count <= MAX_DRAWS:
            return super().choose_by_index(count, worker_at)
        first = None
        for _ in range(MAX_DRAWS):
            worker = worker_at(int(self._rng.random() * count))
            if worker is None or worker is first:
                continue
            if first is not None:
                return (
                    first if first.available_slots >= worker.available_slots else worker
                )
            first = worker
        return super().choose_by_index(count, worker_at)


class LeastLoaded(Placement):
    """Chooses the first of the workers with the most available slots."""

    def choose(self, candidates: Sequence[directory.Worker]) -> directory.Worker:
        """Return the worker that gets the task.

        :param candidates: at least one worker.
        """
        return max(candidates, key=lambda worker: worker.available_slots)


DEFAULT = "two-choices"
POLICY_BY_NAME: dict[str, Callable[[random.Random], Placement]] = {
    DEFAULT: TwoChoices,
    "least-loaded": lambda _: LeastLoaded(),
}
