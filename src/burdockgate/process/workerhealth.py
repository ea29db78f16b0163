"""Evidence about the worker beside an agent: speed, failures and stalls."""

from __future__ import annotations

import attrs

from burdockgate import assignments

# Tasks of this many different jobs must fail in a row: a job that can never be done
# fails on every worker and says nothing about this one.
FAILED_JOBS_TO_EJECT = 2
FIRST_EJECTION_S = 1.0
# Trials cost a caller one failed attempt each, so they become rare on a worker that
# stays bad.
MAX_EJECTION_S = 4.0
# A worker reports progress in whole percent. A task ten times as long as its estimate
# shows one percent in a tenth of the estimate.
STALL_MIN_S = 0.5
STALL_ESTIMATE_SHARE = 0.2
# Weight of a new observation. Estimates are 40% off, so one sample must not decide.
SPEED_WEIGHT = 0.25
# The tail of long tasks must not pass for a slow worker.
SPEED_BOUNDS = (0.1, 2.0)
# Without samples the speed returns towards 1, so that a recovered worker is tried.
SPEED_RECOVERY_S = 6.0


@attrs.define
class WorkerHealth:
    """Speed and health of one life of a worker; times in seconds."""

    speed: float = 1.0
    _sampled_at: float = 0.0
    _failed_jobs: set[str] = attrs.field(factory=set)
    _ejected_until: float = 0.0
    _ejection_s: float = FIRST_EJECTION_S
    _is_on_trial: bool = False

    def state(self, now: float) -> assignments.WorkerState:
        """Return whether the worker may be given tasks.

        :param now: the time in seconds.
        """
        if now < self._ejected_until:
            return assignments.WorkerState.EJECTED
        if self._is_on_trial:
            return assignments.WorkerState.PROBATION
        return assignments.WorkerState.READY

    def record_success(self, ran_s: float, estimate_s: float, now: float) -> None:
        """Note a task that ended well.

        :param ran_s: how long it ran.
        :param estimate_s: how long it should have run.
        :param now: the time.
        """
        self._failed_jobs.clear()
        self._is_on_trial = False
        self._ejection_s = FIRST_EJECTION_S
        self.sample(estimate_s / max(ran_s, 0.001), now)

    def record_failure(self, job: str, now: float) -> bool:
        """Note a task that failed.

        :param job: its job.
        :param now: the time.
        :returns: whether this ejects the worker.
        """
        self._failed_jobs.add(job)
        if self._is_on_trial or len(self._failed_jobs) >= FAILED_JOBS_TO_EJECT:
            return self.eject(now)
        return False

    def eject(self, now: float) -> bool:
        """Keep new tasks away for a time, then allow a trial.

        :param now: the time.
        :returns: whether the worker was not ejected before.
        """
        if now < self._ejected_until:
            return False
        self._ejected_until = now + self._ejection_s
        self._ejection_s = min(2 * self._ejection_s, MAX_EJECTION_S)
        self._is_on_trial = True
        self._failed_jobs.clear()
        return True

    def sample(self, speed: float, now: float) -> None:
        """Note an observation of the speed.

        :param speed: work done per time, 1 where the estimates are right.
        :param now: the time.
        """
        low, high = SPEED_BOUNDS
        bounded = min(max(speed, low), high)
        self.speed = self.current_speed(now) ** (1 - SPEED_WEIGHT) * (
            bounded**SPEED_WEIGHT
        )
        self._sampled_at = now

    def current_speed(self, now: float) -> float:
        """Return the speed; it returns to 1 when there are no observations.

        :param now: the time.
        """
        age = max(0.0, now - self._sampled_at)
        weight: float = 0.5 ** (age / SPEED_RECOVERY_S)
        return float(self.speed**weight)

    @staticmethod
    def stall_s(estimate_s: float) -> float:
        """Return how long a task may show no progress.

        :param estimate_s: how long the task should run in all.
        """
        return STALL_MIN_S + STALL_ESTIMATE_SHARE * estimate_s
