"""Guards an agent's record of a job: a task of an attempt starts at most once."""

import collections

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

import builders
from burdockgate import messages
from burdockgate.request import jobrecord

STATE = messages.TaskState
OK, EPOCH, FENCE = jobrecord.Admission
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
    """Starts, fences, returns and duplicates; only a returned start is repeated."""
    job = jobrecord.JobRecord(builders.JOB, 1, 0, 1, "e1", 0.0)
    begun = collections.Counter()
    for step in steps:
        if isinstance(step, STATE):
            ended = job.finish(0, step, b"1", 1.0) if job.running() else None
            begun[job.attempt] -= ended is not None and step is STATE.RETURNED
            continue
        *numbers, send, has_slot = step
        if job.admit(*numbers, "e1") is not OK or send is None:
            continue
        if job.is_new_send(0, send):
            (job.start if has_slot else job.give_back)(0, send)
            begun[numbers[2]] += has_slot
        assert max(begun.values()) <= 1


@pytest.mark.parametrize(
    ("numbers", "admission"),
    [
        ((1, 9, 2), EPOCH),
        ((3, 9, 1), EPOCH),
        ((2, 1, 2), FENCE),
        ((2, 2, 2), OK),
        ((3, 0, 2), OK),
        ((3, 0, 3), OK),
    ],
)
def test_old_owner_or_fence_is_refused(job, numbers, admission):
    assert job.admit(*numbers, "e2") is admission
    taken = (*numbers, "e2") if admission is OK else (2, 2, 2, "e1")
    assert (job.epoch, job.fence, job.attempt, job.owner) == taken


def test_send_is_new_only_after_a_return(job):
    job.give_back(0, 2)
    assert [job.is_new_send(0, send) for send in (1, 2, 3)] == [False, False, True]
    job.start(0, 3)
    assert not job.is_new_send(0, 4)
    job.finish(0, STATE.DONE, b"1", 1.0)
    assert not job.is_new_send(0, 4)


def test_new_attempt_forgets_the_tasks_and_a_new_epoch_keeps_them(job):
    job.start(0, 1)
    for numbers, running in (((3, 0, 2), [0]), ((4, 0, 3), [])):
        job.settled = True
        job.admit(*numbers, "e2")
        assert (job.running(), job.settled) == (running, False)


def test_result_is_reported_once_and_its_loss_allows_no_start(job):
    job.start(0, 1)
    assert job.finish(1, STATE.DONE, b"1", 1.0) is None
    first = job.finish(0, STATE.DONE, b"123", 2.0)
    assert first == messages.TaskReport(0, 1, STATE.DONE, b"123", 2.0)
    assert job.finish(0, STATE.FAILED, b"2", 1.0) is None
    assert (list(job.reports()), job.running(), job.size()) == ([first], [], 3)
    job.drop_results()
    assert (job.size(), job.is_new_send(0, 2)) == (0, False)
    assert [each.state for each in job.reports()] == [STATE.DONE]
