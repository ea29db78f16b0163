"""Sources of time for decisions.

All times are seconds as floats. Decisions use the monotonic time only; the wall
clock serves display.
"""

from __future__ import annotations

import abc
import time


class Clock(abc.ABC):
    """Tells the time to the classes that decide."""

    @abc.abstractmethod
    def now(self) -> float:
        """Return the monotonic time in seconds."""


class SystemClock(Clock):
    """The machine's monotonic clock."""

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()


class BootClock(Clock):
    """The machine's steady clock, which also counts the time of a suspension.

    Leases are judged by it: a process that was suspended must find them lapsed.
    """

    def now(self) -> float:
        """Return the time since the machine's start in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock(Clock):
    """A clock that moves only when told, for exact tests.

    :param start: the first time in seconds.
    """

    def __init__(self, start: float = 0.0) -> None:
        self._now = start

    def now(self) -> float:
        """Return the time last set, in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Move the clock forward.

        :param seconds: how far, at least 0.
        """
        self._now += seconds
