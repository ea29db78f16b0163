"""Decisions of a process that stops as planned, within its grace time."""

from __future__ import annotations

import attrs

# The load balancer detects within two seconds that an entry host is not ready. Requests
# that it still sends until then are served.
BALANCER_DELAY_S = 2.2
# Parts of the grace time: the last responses of an entry host, and the end of the
# process, on a slow machine with late timers.
ANSWER_RESERVE_S = 0.5
EXIT_RESERVE_S = 0.3
# The worker's time limit for a stop, and the delivery of the ends to their owners.
RUN_STOP_RESERVE_S = 0.8
# Estimates are up to 40% off, and slow workers take a quarter longer.
WORST_CASE_RUN_FACTOR = 1.75


@attrs.frozen
class StopPlan:
    """Times of a planned stop, in seconds of the process's clock.

    :param started_at: when the signal to stop came.
    :param grace_s: time after which it is killed.
    """

    started_at: float
    grace_s: float

    @property
    def balancer_left_at(self) -> float:
        """When the balancer sends no new connections any more."""
        return min(self.started_at + BALANCER_DELAY_S, self.interrupt_at)

    @property
    def interrupt_at(self) -> float:
        """When an entry host interrupts the jobs that are left."""
        return self.started_at + max(0.0, self.grace_s - ANSWER_RESERVE_S)

    @property
    def stop_runs_at(self) -> float:
        """When an agent stops the runs that are left."""
        return self.started_at + max(0.0, self.grace_s - RUN_STOP_RESERVE_S)

    @property
    def leave_runs_at(self) -> float:
        """When an agent no longer waits for the ends of the runs that it stopped."""
        return self.stop_runs_at + RUN_STOP_RESERVE_S / 2

    @property
    def exit_at(self) -> float:
        """When the process exits, whatever it still waits for."""
        return self.started_at + max(0.0, self.grace_s - EXIT_RESERVE_S)


def can_end(path_s: float, deadline_s: float, now: float, stop_at: float) -> bool:
    """Return whether a new job ends before a stop, also when it takes long.

    :param path_s: estimated duration of its critical path in seconds.
    :param deadline_s: how long its caller waits. The job ends then in any case.
    :param now: the time.
    :param stop_at: when the remaining jobs are interrupted.
    """
    return now < stop_at and (
        now + min(WORST_CASE_RUN_FACTOR * path_s, deadline_s) <= stop_at
    )
