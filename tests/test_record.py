"""Guards an agent's record of a job: a task of an attempt starts at most once."""

import collections

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

import builders
from burdockgate import messages
from burdockgate.request import record

STATE = messages.TaskState
ADMITTED = record.Admission.ADMITTED
NUMBERS = st.integers(1, 3)
STEPS = st.one_of(
    st.tuples(st.just("start"), NUMBERS, NUMBERS, NUMBERS, NUMBERS, st.booleans()),
    st.tuples(st.just("fence"), NUMBERS, NUMBERS, NUMBERS),
    st.tuples(st.just("finish"), st.sampled_from(sorted(STATE))),
)


@pytest.fixture
def job():
    return record.Record(builders.JOB, 2, 2, 2, "e1", 0.0)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.lists(STEPS, min_size=5, max_size=40))
def test_no_interleaving_starts_a_task_twice(steps):
    """Starts, fences, returns and duplicates in any order start a task once.

    A task may start again only after the start before it was returned.
    """
    job = record.Record(builders.JOB, 1, 0, 1, "e1", 0.0)
    begun = collections.Counter()
    highest = (1, 1)
    for kind, *values in steps:
        if kind == "finish":
            ended = job.finish(0, values[0], b"1", 1.0) if job.running() else None
            if ended is not None and ended.state is STATE.RETURNED:
                begun[job.attempt] -= 1
            continue
        epoch, fence, attempt, *rest = values
        if job.admit(epoch, fence, attempt, "e1") is not ADMITTED:
            continue
        assert epoch >= highest[0] and attempt >= highest[1]
        highest = (epoch, attempt)
        if rest and job.is_new_send(0, rest[0]):
            if rest[1]:
                job.start(0, rest[0])
                begun[attempt] += 1
            else:
                job.give_back(0, rest[0])
        assert max(begun.values(), default=0) <= 1


@pytest.mark.parametrize(
    ("epoch", "fence", "attempt", "admission"),
    [
        (1, 9, 2, record.Admission.OLD_EPOCH),
        (3, 9, 1, record.Admission.OLD_EPOCH),
        (2, 1, 2, record.Admission.OLD_FENCE),
        (2, 2, 2, ADMITTED),
        (3, 0, 2, ADMITTED),
        (3, 0, 3, ADMITTED),
    ],
)
def test_admission(job, epoch, fence, attempt, admission):
    """An owner that was fenced off or taken over must not start anything."""
    assert job.admit(epoch, fence, attempt, "e2") is admission
    taken = admission is ADMITTED
    assert job.owner == ("e2" if taken else "e1")
    assert (job.epoch, job.fence, job.attempt) == (
        (epoch, fence, attempt) if taken else (2, 2, 2)
    )


def test_refused_message_of_an_older_fence_stays_refused(job):
    """A start that a fence has overtaken must find the newer fence recorded."""
    job.admit(2, 5, 2, "e1")
    assert job.admit(2, 4, 2, "e1") is record.Admission.OLD_FENCE


def test_send_is_new_only_after_a_return(job):
    """A duplicated, late or repeated send of a task must not run it again."""
    assert job.is_new_send(0, 1)
    job.give_back(0, 2)
    assert not job.is_new_send(0, 1)
    assert not job.is_new_send(0, 2)
    assert job.is_new_send(0, 3)
    job.start(0, 3)
    assert not job.is_new_send(0, 4)
    job.finish(0, STATE.DONE, b"1", 1.0)
    assert not job.is_new_send(0, 4)


def test_new_attempt_forgets_the_tasks_and_a_new_epoch_keeps_them(job):
    """A takeover must find what ran; a new attempt runs everything again."""
    job.start(0, 1)
    job.settled = True
    job.admit(3, 0, 2, "e2")
    assert (job.running(), job.settled) == ([0], False)
    job.settled = True
    job.admit(4, 0, 3, "e2")
    assert (job.running(), job.settled) == ([], False)


def test_finish_is_reported_once(job):
    """A second end of a task must not change the result that was reported."""
    job.start(0, 1)
    assert job.finish(1, STATE.DONE, b"1", 1.0) is None
    first = job.finish(0, STATE.DONE, b"1", 2.0)
    assert (first.payload, first.send, first.run_ms) == (b"1", 1, 2.0)
    assert job.finish(0, STATE.FAILED, b"2", 1.0) is None
    assert list(job.reports()) == [first]


def test_dropped_results_keep_the_states(job):
    """A task whose result is dropped must still not start again."""
    job.start(0, 1)
    job.finish(0, STATE.DONE, b"123", 1.0)
    job.start(1, 1)
    assert job.size() == 3
    job.drop_results()
    assert job.size() == 0
    assert [each.state for each in job.reports()] == [STATE.DONE, STATE.RUNNING]
    assert not job.is_new_send(0, 2)
