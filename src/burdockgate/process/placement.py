"""Policies that choose the worker for a task."""

from __future__ import annotations

import abc
import random
from collections.abc import Callable, Sequence

from burdockgate.process import directory

# After so many draws without two workers, every place is looked at. With no more
# places than this, looking at all is cheaper.
DRAWS = 16


class Placement(abc.ABC):
    """Chooses among workers that fit a task and have a free slot."""

    @abc.abstractmethod
    def choose(self, candidates: Sequence[directory.Worker]) -> directory.Worker:
        """Return the worker that gets the task.

        :param candidates: at least one worker.
        """

    def choose_by_index(
        self, count: int, at: Callable[[int], directory.Worker | None]
    ) -> directory.Worker | None:
        """Return the worker that gets the task, or ``None`` when none may.

        :param count: number of places.
        :param at: returns the worker at a place; ``None`` when it must not get it.
        """
        found = (at(place) for place in range(count))
        candidates = [worker for worker in found if worker is not None]
        return self.choose(candidates) if candidates else None


class TwoChoices(Placement):
    """The worker with more free slots of two random ones.

    Several entry hosts that all took the least loaded worker would pick the same
    one until its next report; two random choices spread them.

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
        self, count: int, at: Callable[[int], directory.Worker | None]
    ) -> directory.Worker | None:
        """Draw places until two workers that may get the task are found.

        :param count: number of places.
        :param at: returns the worker at a place; ``None`` when it must not get it.
        """
        if count <= DRAWS:
            return super().choose_by_index(count, at)
        first = None
        for _ in range(DRAWS):
            worker = at(int(self._rng.random() * count))
            if worker is None or worker is first:
                continue
            if first is not None:
                return (
                    first if first.available_slots >= worker.available_slots else worker
                )
            first = worker
        return super().choose_by_index(count, at)


class LeastLoaded(Placement):
    """The worker with the most free slots, the first of several."""

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
