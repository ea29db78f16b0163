"""Tests when an agent ejects its worker, and when it assigns tasks to it again."""

import pytest

from burdockgate import assignments
from burdockgate.process import workerhealth

READY = assignments.WorkerState.READY
EJECTED = assignments.WorkerState.EJECTED
PROBATION = assignments.WorkerState.PROBATION


def test_failures_of_one_job_do_not_eject_the_worker():
    """A job that always fails does so on every worker."""
    worker = workerhealth.WorkerHealth()
    assert not any(worker.record_failure("job", 1.0) for _ in range(10))
    assert worker.state(1.0) is READY


def test_failures_of_two_jobs_eject_the_worker_unless_a_success_is_between():
    """Single failures happen on healthy workers too."""
    worker = workerhealth.WorkerHealth()
    worker.record_failure("a", 1.0)
    worker.record_success(0.1, 0.1, 1.0)
    assert not worker.record_failure("b", 1.0)
    assert worker.record_failure("c", 1.0)
    assert worker.state(1.5) is EJECTED
    assert worker.state(2.1) is PROBATION


def test_failed_trials_become_rarer_and_a_success_ends_the_probation():
    """Each failed trial costs a caller one attempt."""
    worker, now, pauses = workerhealth.WorkerHealth(), 0.0, []
    worker.record_failure("a", now)
    worker.record_failure("b", now)
    for number in range(4):
        began = now
        while worker.state(now) is EJECTED:
            now += 0.1
        pauses.append(round(now - began))
        assert worker.record_failure(f"trial-{number}", now)
    assert pauses == [1, 2, 4, 4]
    now += 5.0
    worker.record_success(0.1, 0.1, now)
    assert worker.state(now) is READY


def test_speed_follows_samples_within_bounds_and_recovers():
    """A slow worker must get tasks again later, and one sample must not decide."""
    worker = workerhealth.WorkerHealth()
    worker.record_speed(0.001, 1.0)
    assert worker.current_speed(1.0) > 0.5
    for _ in range(40):
        worker.record_speed(0.001, 1.0)
    assert worker.current_speed(1.0) == pytest.approx(
        workerhealth.SPEED_BOUNDS[0], rel=0.01
    )
    assert worker.current_speed(1.0 + 8 * workerhealth.SPEED_HALF_LIFE_S) > 0.98
