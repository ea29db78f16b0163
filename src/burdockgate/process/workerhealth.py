"""Health of an agent's worker: its speed, and its ejection after failures or stalls."""

from __future__ import annotations

import attrs

from burdockgate import assignments

# Number of different jobs whose tasks must fail without a success between them. A job
# that always fails does so on every worker and is no sign of a bad one.
FAILED_JOBS_TO_EJECT = 2
FIRST_EJECTION_S = 1.0
# The ejection time doubles up to this limit while trials fail, because each failed
# trial costs a caller one attempt.
MAX_EJECTION_S = 4.0
# A worker reports progress in whole percent. A task that runs ten times as long as its
# estimate gains one percent in a tenth of the estimate.
STALL_MIN_S = 0.5
STALL_ESTIMATE_SHARE = 0.2
# Weight of a new sample. Estimates are off by 40%, so that one sample proves little.
SPEED_WEIGHT = 0.25
# Bounds of a sample, so that single tasks of extreme length do not make a worker look
# slow.
SPEED_BOUNDS = (0.1, 2.0)
# Without samples the speed returns to 1, so that a recovered worker gets tasks again.
SPEED_HALF_LIFE_S = 6.0


@attrs.define
class WorkerHealth:
    """Speed and health of one incarnation of a worker; times in seconds.

    :param speed: speed against the estimates after the last sample; 1 where they are
        right.
    """

    speed: float = 1.0
    _sampled_at: float = 0.0
    _failed_jobs: set[str] = attrs.field(factory=set)
    _ejected_until: float = 0.0
    _ejection_s: float = FIRST_EJECTION_S
    _is_on_probation: bool = False

    def state(self, now: float) -> assignments.WorkerState:
        """Return whether the worker is ready, ejected or on probation.

        :param now: the time in seconds.
        """
        if now < self._ejected_until:
            return assignments.WorkerState.EJECTED
        if self._is_on_probation:
            return assignments.WorkerState.PROBATION
        return assignments.WorkerState.READY

    def record_success(self, run_s: float, estimate_s: float, now: float) -> None:
        """Record a task that succeeded; ends a probation.

        :param run_s: run time in seconds.
        :param estimate_s: estimated run time.
        :param now: the time.
        """
        self._failed_jobs.clear()
        self._is_on_probation = False
        self._ejection_s = FIRST_EJECTION_S
        self.record_speed(estimate_s / max(run_s, 0.001), now)

    def record_failure(self, job: str, now: float) -> bool:
        """Record a task that failed.

        :param job: identifier of its job.
        :param now: the time.
        :returns: whether the worker is ejected for it.
        """
        self._failed_jobs.add(job)
        if self._is_on_probation or len(self._failed_jobs) >= FAILED_JOBS_TO_EJECT:
            return self.eject(now)
        return False

    def eject(self, now: float) -> bool:
        """Eject the worker for a time; it is on probation afterwards.

        :param now: the time.
        :returns: ``False`` if the worker is already ejected.
        """
        if now < self._ejected_until:
            return False
        self._ejected_until = now + self._ejection_s
        self._ejection_s = min(2 * self._ejection_s, MAX_EJECTION_S)
        self._is_on_probation = True
        self._failed_jobs.clear()
        return True

    def record_speed(self, speed: float, now: float) -> None:
        """Include a sample in the speed.

        :param speed: speed against the estimates; 1 where they are right.
        :param now: the time.
        """
        low, high = SPEED_BOUNDS
        bounded = min(max(speed, low), high)
        self.speed = self.current_speed(now) ** (1 - SPEED_WEIGHT) * (
            bounded**SPEED_WEIGHT
        )
        self._sampled_at = now

    def current_speed(self, now: float) -> float:
        """Return the speed against the estimates; returns to 1 without samples.

        :param now: the time.
        """
        age = max(0.0, now - self._sampled_at)
        weight: float = 0.5 ** (age / SPEED_HALF_LIFE_S)
        return float(self.speed**weight)

    @staticmethod
    def stall_limit_s(estimate_s: float) -> float:
        """Return how long a task may show no progress before it counts as stalled.

        :param estimate_s: estimated run time of the whole task.
        """
        return STALL_MIN_S + STALL_ESTIMATE_SHARE * estimate_s
