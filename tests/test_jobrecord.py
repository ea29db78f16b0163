"""Guards an agent's record of a job: a task of an attempt starts at most once."""

import collections

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

import builders
from burdockgate import messages
from burdockgate.request import jobrecord

STATE = messages.TaskState
OK, OLD_EPOCH, OLD_FENCE = jobrecord.Admission
NUMBER = st.integers(1, 3)
STEPS = st.one_of(
    st.tuples(NUMBER, NUMBER, NUMBER, st.none() | NUMBER, st.booleans()),
    st.sampled_from(sorted(STATE)),
)


@pytest.fixture
def job():
    return jobrecord.JobRecord(builders.JOB, 2, 2, 2, "e1", 0.0)


@settings(derandomize=True, deadline=None, max_examples=150)
@given(st.lists(STEPS, min_size=5, max_size=40))
def test_no_interleaving_starts_a_task_twice(steps):
    """Of fences, returns and duplicate starts, only a return allows another start."""
    job = jobrecord.JobRecord(builders.JOB, 1, 0, 1, "e1", 0.0)
    starts_by_attempt = collections.Counter()
    for step in steps:
        if isinstance(step, STATE):
            ended = (
                job.record_end(0, step, b"1", 1.0) if job.running_indexes() else None
            )
            starts_by_attempt[job.attempt] -= (
                ended is not None and step is STATE.RETURNED
            )
            continue
        *numbers, send, has_slot = step
        if job.admit(*numbers, "e1") is not OK or send is None:
            continue
        if job.is_new_send(0, send):
            (job.record_start if has_slot else job.record_return)(0, send)
            starts_by_attempt[numbers[2]] += has_slot
        assert max(starts_by_attempt.values()) <= 1


@pytest.mark.parametrize(
    ("numbers", "admission"),
    [
        ((1, 9, 2), OLD_EPOCH),
        ((3, 9, 1), OLD_EPOCH),
        ((2, 1, 2), OLD_FENCE),
        ((2, 2, 2), OK),
        ((3, 0, 2), OK),
        ((3, 0, 3), OK),
    ],
)
def test_old_owner_or_fence_is_refused(job, numbers, admission):
    assert job.admit(*numbers, "e2") is admission
    expected = (*numbers, "e2") if admission is OK else (2, 2, 2, "e1")
    assert (job.epoch, job.fence, job.attempt, job.owner) == expected


def test_send_is_new_only_after_a_return(job):
    job.record_return(0, 2)
    assert [job.is_new_send(0, send) for send in (1, 2, 3)] == [False, False, True]
    job.record_start(0, 3)
    assert not job.is_new_send(0, 4)
    job.record_end(0, STATE.DONE, b"1", 1.0)
    assert not job.is_new_send(0, 4)


def test_new_attempt_forgets_the_tasks_and_a_new_epoch_keeps_them(job):
    job.record_start(0, 1)
    for numbers, running in (((3, 0, 2), [0]), ((4, 0, 3), [])):
        job.is_settled = True
        job.admit(*numbers, "e2")
        assert (job.running_indexes(), job.is_settled) == (running, False)


def test_result_is_reported_once_and_its_loss_allows_no_start(job):
    job.record_start(0, 1)
    assert job.record_end(1, STATE.DONE, b"1", 1.0) is None
    first = job.record_end(0, STATE.DONE, b"123", 2.0)
    assert first == messages.TaskReport(0, 1, STATE.DONE, b"123", 2.0)
    assert job.record_end(0, STATE.FAILED, b"2", 1.0) is None
    assert (list(job.reports()), job.running_indexes(), job.result_bytes()) == (
        [first],
        [],
        3,
    )
    job.drop_results()
    assert (job.result_bytes(), job.is_new_send(0, 2)) == (0, False)
    assert [each.state for each in job.reports()] == [STATE.DONE]
