"""Tests when an agent ejects its worker, and when it assigns tasks to it again."""

import random
import statistics

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


def _record_tasks(worker, speed, count, now, rng):
    """Record tasks whose estimates are off by 40%, ten a second."""
    reported = []
    for _ in range(count):
        now += 0.1
        run_s = 0.4 * rng.lognormvariate(0.0, 0.4) / speed
        worker.record_success(run_s, 0.4 * rng.uniform(0.6, 1.4), now)
        reported.append(worker.current_speed(now))
    return reported


@pytest.mark.parametrize("seed", range(5))
def test_speed_of_a_steady_worker_varies_little(seed):
    """Entry hosts all chose the worker that happened to look fastest."""
    worker, rng = workerhealth.WorkerHealth(), random.Random(seed)
    reported = _record_tasks(worker, 1.0, 300, 0.0, rng)[50:]
    assert statistics.quantiles(reported, n=20)[0] > 0.75
    assert statistics.quantiles(reported, n=20)[-1] < 1.3


@pytest.mark.parametrize(("speed", "tasks"), [(0.25, 10), (0.4, 10), (0.55, 60)])
def test_worker_that_turns_slow_is_known_soon(speed, tasks):
    """Callers wait for each task that still goes to it: a very slow one is known first.

    The steady mean alone takes some eighty tasks.
    """
    worker, rng = workerhealth.WorkerHealth(), random.Random(1)
    _record_tasks(worker, 1.0, 100, 0.0, rng)
    reported = _record_tasks(worker, speed, tasks, 10.0, rng)
    assert reported[-1] < 1.3 * speed


def test_overdue_runs_lower_the_speed_and_leave_no_trace():
    """A slow worker ends no task for long; a single long task proves nothing."""
    worker, rng = workerhealth.WorkerHealth(), random.Random(1)
    _record_tasks(worker, 1.0, 100, 0.0, rng)
    for tick in range(10):
        worker.record_speed(0.25, 10.0 + tick / 10)
    assert worker.current_speed(11.0) < 0.4
    assert _record_tasks(worker, 1.0, 10, 11.0, rng)[-1] > 0.75
