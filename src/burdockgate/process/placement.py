"""Policies that choose the worker for a task."""

from __future__ import annotations

import abc
import random
from collections.abc import Callable, Sequence

from burdockgate.process import directory


class Placement(abc.ABC):
    """Chooses among workers that fit a task and have a free slot."""

    @abc.abstractmethod
    def choose(self, candidates: Sequence[directory.Worker]) -> directory.Worker:
        """Return the worker that gets the task.

        :param candidates: at least one worker.
        """


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
        return first if first.free >= second.free else second


class LeastLoaded(Placement):
    """The worker with the most free slots, the first of several."""

    def choose(self, candidates: Sequence[directory.Worker]) -> directory.Worker:
        """Return the worker that gets the task.

        :param candidates: at least one worker.
        """
        return max(candidates, key=lambda worker: worker.free)


DEFAULT = "two-choices"
POLICY_BY_NAME: dict[str, Callable[[random.Random], Placement]] = {
    DEFAULT: TwoChoices,
    "least-loaded": lambda _: LeastLoaded(),
}
