"""Guards what an entry host believes about workers and their free slots."""

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
def known(time):
    made = directory.Directory(time, 2.5)
    made.join(builders.hello("a1"))
    return made


def names(known, service=SERVICE):
    return [worker.name for worker in known.schedulable_workers(service)]


def test_lease_ends_and_is_renewed(known, time):
    """A worker that has died must get no new task after its lease."""
    time.advance(2.5)
    assert names(known) == ["a1"]
    known.renew_lease("a1")
    time.advance(2.6)
    assert names(known) == []
    known.renew_lease("a1")
    assert names(known) == ["a1"]


def test_draining_or_other_worker_is_left_out(known):
    """A leaving worker, or one of another service, must get no new task."""
    known.join(builders.hello("a2", draining=True))
    known.join(builders.hello("a3", service="other"))
    assert names(known) == ["a1"]
    assert names(known, "other") == ["a3"]
    known.worker_by_name["a1"].draining = True
    known.leave("a3")
    assert names(known) + names(known, "other") == []


def test_tasks_on_the_way_are_subtracted(known):
    """A report from before a start arrived must not free its slot again."""
    worker = known.worker_by_name["a1"]
    known.record_report("a1", 2, 0)
    worker.sent = 2
    assert worker.available_slots == 0
    known.record_report("a1", 1, 1)
    assert worker.available_slots == 0
    known.record_report("a1", 0, 2)
    assert worker.available_slots == 0
    known.record_offer("a1", 1, 2)
    assert worker.available_slots == 1


def test_offer_uses_up_demand(known):
    """Demand that is never used up would keep the worker from being asked again."""
    worker = known.worker_by_name["a1"]
    worker.open_demand = 1
    known.record_report("a1", 1, 0)
    assert worker.open_demand == 1
    known.record_offer("a1", 1, 0)
    known.record_offer("a1", 1, 0)
    assert worker.open_demand == 0


def test_new_session_counts_from_zero(known):
    """Counters of an older session would hide the free slots of the new one."""
    known.record_report("a1", 2, 0)
    known.worker_by_name["a1"].sent = 5
    known.join(builders.hello("a1", boot=2))
    known.record_report("a1", 2, 0)
    worker = known.worker_by_name["a1"]
    assert (worker.available_slots, worker.node.boot) == (2, 2)


def test_unknown_names_are_ignored(known):
    """A late message of a worker that has left must do no harm."""
    known.leave("a9")
    known.renew_lease("a9")
    known.record_offer("a9", 1, 1)
    assert names(known) == ["a1"]


@pytest.mark.parametrize(
    ("needs", "fits"),
    [
        ((4.0, 1000, 1), True),
        ((4.1, 1000, 1), False),
        ((4.0, 1001, 1), False),
        ((4.0, 1000, 2), False),
    ],
)
def test_fits_compares_each_resource(known, needs, fits):
    """A task on a worker without its resources fails."""
    assert known.worker_by_name["a1"].fits(*needs) is fits


EVENTS = st.tuples(
    st.sampled_from(
        ["join", "drain", "hear", "leave", "record_report", "record_offer"]
    ),
    st.sampled_from(["a1", "a2"]),
    st.floats(0, 3),
)


@settings(derandomize=True, deadline=None, max_examples=150)
@given(st.lists(EVENTS, max_size=30))
def test_only_workers_heard_of_within_the_lease_get_tasks(events):
    """No order of events may keep a worker that has left, lapsed or drains."""
    time = clock.ManualClock()
    known = directory.Directory(time, 2.5)
    heard_at_by_name, draining = {}, set()
    for kind, name, wait_s in events:
        time.advance(wait_s)
        if kind in ("join", "drain"):
            known.join(builders.hello(name, draining=kind == "drain"))
            heard_at_by_name[name] = time.now()
            (draining.add if kind == "drain" else draining.discard)(name)
        elif kind == "leave":
            known.leave(name)
            heard_at_by_name.pop(name, None)
        elif kind == "hear":
            known.renew_lease(name)
            if name in heard_at_by_name:
                heard_at_by_name[name] = time.now()
        else:
            getattr(known, kind)(name, 1, 0)
        expected = {
            name
            for name, at in heard_at_by_name.items()
            if time.now() - at <= 2.5 and name not in draining
        }
        assert set(names(known)) == expected
