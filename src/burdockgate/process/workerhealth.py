"""Health of an agent's worker: its speed, and its ejection after failures or stalls."""

from __future__ import annotations

import math

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
# Estimates are off by 40%, so that one sample proves little.
SPEED_WEIGHT = 0.02
# Samples that the initial speed of 1 counts for.
INITIAL_SAMPLES = 4
# Weight of a sample in the recent speed, by which a worker that turns slow is known
# after some four samples.
RECENT_WEIGHT = 0.25
# Factor between the recent and the steady speed beyond which the recent one holds; it
# varies by a quarter although the worker stays alike.
CHANGE_FACTOR = 1.7
# Bounds of a sample, so that single tasks of extreme length do not make a worker look
# slow.
SPEED_BOUNDS = (0.1, 2.0)
# Without samples the speed returns to 1, so that a recovered worker gets tasks again:
# first it is kept for a time, since idle workers have few samples.
SPEED_KEPT_S = 1.0
SPEED_HALF_LIFE_S = 6.0


@attrs.define
class WorkerHealth:
    """Speed and health of one incarnation of a worker; times in seconds."""

    # Logarithms of the speed against the estimates, after the last sample.
    _steady_log: float = 0.0
    _recent_log: float = 0.0
    _sample_count: int = 0
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
        speed = estimate_s / max(run_s, 0.001)
        self._sample_count += 1
        weight = max(SPEED_WEIGHT, 1 / (self._sample_count + INITIAL_SAMPLES))
        self.record_speed(speed, now)
        self._steady_log += weight * (_bounded_log(speed) - self._steady_log)

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
        """Include a sample in the recent speed.

        The speed of runs that have not ended is no sample of the steady speed: only
        slow runs last long enough to be sampled.

        :param speed: speed against the estimates; 1 where they are right.
        :param now: the time.
        """
        kept = self._kept_share(now)
        self._steady_log *= kept
        self._recent_log *= kept
        self._recent_log += RECENT_WEIGHT * (_bounded_log(speed) - self._recent_log)
        self._sampled_at = now

    def current_speed(self, now: float) -> float:
        """Return the speed against the estimates; returns to 1 without samples.

        :param now: the time.
        """
        has_changed = abs(self._recent_log - self._steady_log) > math.log(CHANGE_FACTOR)
        speed_log = self._recent_log if has_changed else self._steady_log
        return math.exp(speed_log * self._kept_share(now))

    def _kept_share(self, now: float) -> float:
        """Return the share of the logarithms that is left since the last sample."""
        age_s = max(0.0, now - self._sampled_at - SPEED_KEPT_S)
        share: float = 0.5 ** (age_s / SPEED_HALF_LIFE_S)
        return share

    @staticmethod
    def stall_limit_s(estimate_s: float) -> float:
        """Return how long a task may show no progress before it counts as stalled.

        :param estimate_s: estimated run time of the whole task.
        """
        return STALL_MIN_S + STALL_ESTIMATE_SHARE * estimate_s


def _bounded_log(speed: float) -> float:
    low, high = SPEED_BOUNDS
    return math.log(min(max(speed, low), high))
