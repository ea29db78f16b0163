"""Tests what an entry host knows of workers, their leases and their free slots."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

import builders
from burdockgate import clock
from burdockgate.process import directory

SERVICE = builders.sessions.SERVICE


@pytest.fixture
def time():
    return clock.ManualClock()


@pytest.fixture
def workers(time):
    workers = directory.Directory(time, 2.5)
    workers.join(builders.hello("a1"))
    return workers


def schedulable_names(workers, service=SERVICE):
    return [worker.name for worker in workers.schedulable_workers(service)]


def test_lease_ends_and_is_renewed(workers, time):
    """A worker that has crashed must get no new task after its lease."""
    time.advance(2.5)
    assert schedulable_names(workers) == ["a1"]
    workers.renew_lease("a1")
    time.advance(2.6)
    assert schedulable_names(workers) == []
    workers.renew_lease("a1")
    assert schedulable_names(workers) == ["a1"]


def test_draining_or_other_worker_is_left_out(workers):
    """A draining worker, or one of another service, must get no new task."""
    workers.join(builders.hello("a2", draining=True))
    workers.join(builders.hello("a3", service="other"))
    assert schedulable_names(workers) == ["a1"]
    assert schedulable_names(workers, "other") == ["a3"]
    workers.worker_by_name["a1"].draining = True
    workers.leave("a3")
    assert schedulable_names(workers) + schedulable_names(workers, "other") == []


def test_tasks_on_the_way_are_subtracted(workers):
    """A report that the agent sent before a start arrived must not free the slot."""
    worker = workers.worker_by_name["a1"]
    workers.record_report("a1", 2, 0)
    worker.sent = 2
    assert worker.available_slots == 0
    workers.record_report("a1", 1, 1)
    assert worker.available_slots == 0
    workers.record_report("a1", 0, 2)
    assert worker.available_slots == 0
    workers.record_offer("a1", 1, 2)
    assert worker.available_slots == 1


def test_offer_uses_up_demand(workers):
    """An offer reduces the open demand; otherwise no new demand would be announced."""
    worker = workers.worker_by_name["a1"]
    worker.open_demand = 1
    workers.record_report("a1", 1, 0)
    assert worker.open_demand == 1
    workers.record_offer("a1", 1, 0)
    workers.record_offer("a1", 1, 0)
    assert worker.open_demand == 0


def test_new_session_counts_from_zero(workers):
    """Counters of a previous session would hide the free slots of the new one."""
    workers.record_report("a1", 2, 0)
    workers.worker_by_name["a1"].sent = 5
    workers.join(builders.hello("a1", boot=2))
    workers.record_report("a1", 2, 0)
    worker = workers.worker_by_name["a1"]
    assert (worker.available_slots, worker.node.boot) == (2, 2)


def test_unknown_names_are_ignored(workers):
    """A late message of a worker that has left is ignored."""
    workers.leave("a9")
    workers.renew_lease("a9")
    workers.record_offer("a9", 1, 1)
    assert schedulable_names(workers) == ["a1"]


@pytest.mark.parametrize(
    ("needs", "fits"),
    [
        ((4.0, 1000, 1), True),
        ((4.1, 1000, 1), False),
        ((4.0, 1001, 1), False),
        ((4.0, 1000, 2), False),
    ],
)
def test_fits_compares_each_resource(workers, needs, fits):
    """A task must not be sent to a worker that lacks one of its resources."""
    assert workers.worker_by_name["a1"].fits(*needs) is fits


EVENTS = st.tuples(
    st.sampled_from(
        ["join", "drain", "renew", "leave", "record_report", "record_offer"]
    ),
    st.sampled_from(["a1", "a2"]),
    st.floats(0, 3),
)


@settings(derandomize=True, deadline=None, max_examples=150)
@given(st.lists(EVENTS, max_size=30))
def test_only_workers_heard_of_within_the_lease_get_tasks(events):
    """No order of events may yield a worker that has left, has lapsed or drains."""
    time = clock.ManualClock()
    workers = directory.Directory(time, 2.5)
    last_message_at_by_name, draining = {}, set()
    for kind, name, wait_s in events:
        time.advance(wait_s)
        if kind in ("join", "drain"):
            workers.join(builders.hello(name, draining=kind == "drain"))
            last_message_at_by_name[name] = time.now()
            (draining.add if kind == "drain" else draining.discard)(name)
        elif kind == "leave":
            workers.leave(name)
            last_message_at_by_name.pop(name, None)
        elif kind == "renew":
            workers.renew_lease(name)
            if name in last_message_at_by_name:
                last_message_at_by_name[name] = time.now()
        else:
            getattr(workers, kind)(name, 1, 0)
        expected = {
            name
            for name, at in last_message_at_by_name.items()
            if time.now() - at <= 2.5 and name not in draining
        }
        assert set(schedulable_names(workers)) == expected
