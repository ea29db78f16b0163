"""A virtual clock that makes scheduled calls in order, without waiting."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

from burdockgate import clock


class VirtualClock(clock.Clock):
    """A clock that advances from one scheduled call to the next."""

    def __init__(self) -> None:
        self._now = 1000.0
        self._due: list[tuple[float, int, Callable[[], object]]] = []
        self._numbers = itertools.count()

    def now(self) -> float:
        """Return the virtual time in seconds."""
        return self._now

    def call_later(self, delay_s: float, action: Callable[[], object]) -> None:
        """Schedule a call.

        :param delay_s: delay in seconds.
        :param action: the function.
        """
        call = (self._now + delay_s, next(self._numbers), action)
        heapq.heappush(self._due, call)

    def run_until(self, end: float) -> None:
        """Make all calls that are due by a time, and advance the clock to it.

        :param end: the virtual time in seconds.
        """
        while self._due and self._due[0][0] <= end:
            self._now, _, action = heapq.heappop(self._due)
            action()
        self._now = max(self._now, end)
