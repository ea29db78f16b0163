"""Detects that the event loop of a process has stood still.

A stopped process, a suspended machine and a callback that blocks have the same effect:
what arrived meanwhile is read late, and much of it at once.
"""

from __future__ import annotations

# Longer than the pauses of a healthy process on a throttled core, of 0.1 s.
STALL_S = 0.25
# In which a process reads what has waited during a stall: 2,048 connections in the
# queue of a listener, of which it accepts eight in a turn of the loop.
BACKLOG_S = 1.0


class StallDetector:
    """Compares the times of a timer that fires much more often than once per stall.

    :param now: the time, of a clock that goes on while the machine is suspended.
    """

    def __init__(self, now: float) -> None:
        self._observed_at = now
        self._stall_ended_at = float("-inf")

    def observe(self, now: float) -> float:
        """Return how long the loop has stood still since the last call.

        :param now: the time.
        :returns: seconds; 0 if it was shorter than a stall.
        """
        elapsed_s, self._observed_at = now - self._observed_at, now
        if elapsed_s < STALL_S:
            return 0.0
        self._stall_ended_at = now
        return elapsed_s

    def may_have_waited(self, now: float) -> bool:
        """Return whether what is read now may have arrived during a stall.

        :param now: the time.
        """
        is_unobserved = now - self._observed_at >= STALL_S
        return is_unobserved or now - self._stall_ended_at < BACKLOG_S
