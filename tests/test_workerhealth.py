"""Guards when an agent gives its worker up, and when it tries it again."""

import pytest

from burdockgate import assignments
from burdockgate.process import workerhealth

READY = assignments.WorkerState.READY
EJECTED = assignments.WorkerState.EJECTED
PROBATION = assignments.WorkerState.PROBATION


def test_failures_of_one_job_eject_no_worker():
    """A job that can never be done fails everywhere."""
    worker = workerhealth.WorkerHealth()
    assert not any(worker.record_failure("job", 1.0) for _ in range(10))
    assert worker.state(1.0) is READY


def test_two_jobs_that_fail_in_a_row_eject_and_a_success_between_does_not():
    """Single failures happen on sound workers."""
    worker = workerhealth.WorkerHealth()
    worker.record_failure("a", 1.0)
    worker.record_success(0.1, 0.1, 1.0)
    assert not worker.record_failure("b", 1.0)
    assert worker.record_failure("c", 1.0)
    assert worker.state(1.5) is EJECTED
    assert worker.state(2.1) is PROBATION


def test_failed_trials_come_less_often_and_a_good_one_ends_them():
    """Each trial costs a caller one attempt."""
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


def test_speed_follows_samples_within_bounds_and_returns():
    """A worker that was slow must be tried again, and one sample must not decide."""
    worker = workerhealth.WorkerHealth()
    worker.sample(0.001, 1.0)
    assert worker.current_speed(1.0) > 0.5
    for _ in range(40):
        worker.sample(0.001, 1.0)
    assert worker.current_speed(1.0) == pytest.approx(
        workerhealth.SPEED_BOUNDS[0], rel=0.01
    )
    assert worker.current_speed(1.0 + 8 * workerhealth.SPEED_RECOVERY_S) > 0.98
