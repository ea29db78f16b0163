"""Detects that the event loop of a process has stood still.

A stopped process, a suspended machine and a callback that blocks have the same effect:
what arrived meanwhile is read late, and much of it at once.
"""

from __future__ import annotations

# Longer than the pauses of a healthy process on a throttled core, of 0.1 s.
STALL_S = 0.25


class StallDetector:
    """Compares the times of a timer that fires much more often than once per stall.

    :param now: the time, of a clock that goes on while the machine is suspended.
    """

    def __init__(self, now: float) -> None:
        self._observed_at = now

    def observe(self, now: float) -> float:
        """Return how long the loop has stood still since the last call.

        :param now: the time.
        :returns: seconds; 0 if it was shorter than a stall.
        """
        elapsed_s, self._observed_at = now - self._observed_at, now
        return elapsed_s if elapsed_s >= STALL_S else 0.0
