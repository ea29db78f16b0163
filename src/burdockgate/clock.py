"""Clocks for the classes that make decisions based on time.

All times are seconds as floats. Decisions use monotonic time only; wall-clock time is
only displayed.
"""

from __future__ import annotations

import abc
import time


class Clock(abc.ABC):
    """Interface of a monotonic clock."""

    @abc.abstractmethod
    def now(self) -> float:
        """Return the monotonic time in seconds."""


class SystemClock(Clock):
    """The machine's monotonic clock."""

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()


class BootClock(Clock):
    """The machine's monotonic clock, which also runs while the machine is suspended.

    Leases are measured with it, so that a process that was suspended finds them lapsed.
    """

    def now(self) -> float:
        """Return the time since the machine's boot in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock(Clock):
    """A clock that is advanced explicitly, for deterministic tests.

    :param start: the initial time in seconds.
    """

    def __init__(self, start: float = 0.0) -> None:
        self._now = start

    def now(self) -> float:
        """Return the current time in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Move the clock forward.

        :param seconds: duration of at least 0.
        """
        self._now += seconds
