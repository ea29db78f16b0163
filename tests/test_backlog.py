"""The order of waiting jobs: classes share by weight, and no job starves."""

import collections
import gc
import weakref

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

import builders
from burdockgate import clock
from burdockgate.process import backlog

A1 = builders.node("a1")


@pytest.fixture
def queue():
    return backlog.Backlog()


def job(key, tasks=1, caller_class="default", time=None):
    made = builders.request(key, tasks, caller_class)
    return builders.make_owned_job(manual_clock=time, job_request=made)


def serve(queue, count, work=100.0):
    """Assign tasks one by one, and return the key of each task's job."""
    keys = []
    for owned_job in queue.jobs_in_order():
        keys.append(owned_job.request.key)
        owned_job.assign_next_task(A1)
        queue.charge(owned_job, work)
        if len(keys) == count:
            break
    return keys


@settings(derandomize=True, deadline=None, max_examples=20)
@given(
    st.lists(st.integers(1, 4), min_size=2, max_size=3), st.sampled_from([1, 7, 300])
)
def test_shares_follow_the_weights(weights, batch):
    """Under overload each class gets its share within 5%, for any batch size."""
    queue = backlog.Backlog()
    for index, weight in enumerate(weights):
        queue.add(job(f"c{index}", 300, f"c{index}"), float(weight))
    served = collections.Counter()
    while served.total() < 300:
        served.update(serve(queue, min(batch, 300 - served.total())))
    for index, weight in enumerate(weights):
        share = weight / sum(weights)
        assert abs(served[f"c{index}"] / 300 - share) <= 0.05 * share


def test_work_counts_and_not_tasks(queue):
    queue.add(job("long", 50, "long"), 1.0)
    queue.add(job("short", 50, "short"), 1.0)
    served = collections.Counter()
    for owned_job in queue.jobs_in_order():
        key = owned_job.request.key
        served[key] += 1
        owned_job.assign_next_task(A1)
        queue.charge(owned_job, 400.0 if key == "long" else 100.0)
        if served.total() == 50:
            break
    assert served == {"long": 10, "short": 40}


@pytest.mark.parametrize("idle_first", [False, True])
def test_returning_class_does_not_catch_up(queue, idle_first):
    """A class that was idle must not get all slots to make up for that time."""
    if idle_first:
        queue.add(job("early", 1, "rare"), 1.0)
        assert serve(queue, 1) == ["early"]
    queue.add(job("busy", 100, "busy"), 1.0)
    serve(queue, 40)
    queue.add(job("rare", 50, "rare"), 1.0)
    assert abs(serve(queue, 20).count("rare") - 10) <= 1


def test_refilled_class_keeps_its_virtual_time(queue):
    """A class whose queue empties and refills must not be served before others."""
    served = collections.Counter()
    for number in range(40):
        queue.add(job(f"n{number}", 1, "small"), 1.0)
        if number == 0:
            assert serve(queue, 1) == ["n0"]
            queue.add(job("big", 100, "big"), 1.0)
        else:
            served.update(key == "big" for key in serve(queue, 1))
    assert abs(served[True] - 20) <= 1


def test_nearly_complete_job_goes_first(queue):
    """A caller gets an answer only once all tasks of its job are done."""
    queue.add(job("large", 10), 1.0)
    queue.add(job("small", 2), 1.0)
    assert serve(queue, 3) == ["small", "small", "large"]


@settings(derandomize=True, deadline=None, max_examples=10)
@given(st.integers(2, 60), st.integers(1, 5))
def test_no_job_starves(tasks, newcomers):
    """The rank of a large job is bounded, so newer small jobs come after it."""
    time = clock.ManualClock()
    queue = backlog.Backlog()
    queue.add(job("large", tasks, time=time), 1.0)
    bound_s = backlog.SECONDS_PER_WAITING_TASK * tasks
    queue.add(job("0.0-first", 1, time=time), 1.0)
    while (key := serve(queue, 1)[0]) != "large":
        assert float(key.partition("-")[0]) <= bound_s
        time.advance(0.1)
        for number in range(newcomers):
            queue.add(job(f"{time.now()}-{number}", 1, time=time), 1.0)


def test_job_without_suitable_worker_is_skipped_and_stays_queued(queue):
    """A job that fits no free worker must neither block other jobs nor be lost."""
    queue.add(job("stuck", 1), 1.0)
    queue.add(job("next", 2), 1.0)
    offered = []
    for owned_job in queue.jobs_in_order():
        offered.append(owned_job.request.key)
        if owned_job.request.key == "next":
            owned_job.assign_next_task(A1)
    assert offered == ["stuck", "next", "next"]
    assert (queue.demand(), queue.is_empty) == ((1, 1.0), False)
    assert serve(queue, 2) == ["stuck"]
    assert (queue.demand(), queue.is_empty) == ((0, 0.0), True)


def test_job_is_queued_once_with_its_latest_weight(queue):
    """A job that is queued twice would count twice in the demand."""
    owned_job = job("k1", 3)
    for weight in (1.0, 2.0):
        queue.add(owned_job, weight)
    assert queue.demand() == (3, 2.0)
    assert serve(queue, 9) == ["k1"] * 3


def test_new_attempt_is_queued_while_the_failed_one_is(queue):
    """The entry of a failed attempt must not block the entry of the next one."""
    failed, again = job("k1"), job("k1")
    queue.add(failed, 1.0)
    list(failed.cancel())
    assert queue.is_empty
    queue.add(again, 1.0)
    assert queue.demand()[0] == 1
    assert serve(queue, 2) == ["k1"]


def test_ended_jobs_are_released_while_no_slot_is_free(queue):
    """Jobs that end during a long outage of the workers must not use up memory."""
    refs = []
    for number in range(5):
        owned_job = job(f"k{number}")
        refs.append(weakref.ref(owned_job))
        queue.add(owned_job, 1.0)
        list(owned_job.cancel())
        del owned_job
    gc.collect()
    assert [ref() is None for ref in refs] == [True] * 4 + [False]


def test_job_that_ended_is_not_served(queue):
    """No task of a cancelled job may be sent to a worker."""
    ended = job("k1")
    queue.add(ended, 1.0)
    list(ended.cancel())
    assert serve(queue, 1) == []


def test_classes_without_jobs_are_removed(queue):
    """Callers choose the names of classes, so old ones must not use up memory."""
    for number in range(50):
        queue.add(job(f"k{number}", 1, f"c{number}"), 1.0)
        serve(queue, 2)
    names = []
    queue.update_weights(lambda name: names.append(name) or 1.0)
    assert len(names) <= 1
