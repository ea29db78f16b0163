"""Tests that tasks never exceed the slots of a worker and offers follow the weights."""

import collections
import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from burdockgate import clock
from burdockgate.process import slots as module

ENTRY = st.sampled_from(["e1", "e2", "e3"])
STEPS = st.one_of(
    st.tuples(st.just("acquire"), ENTRY),
    st.tuples(st.just("demand"), ENTRY, st.integers(0, 3), st.floats(0, 4)),
    st.tuples(st.sampled_from(["offer", "release", "wait", "remove"]), ENTRY),
    st.tuples(st.just("open"), st.booleans()),
)


@pytest.fixture
def time():
    return clock.ManualClock()


def run_next(slots):
    """Run a task on the next offered slot and return the name of the entry host."""
    entry = slots.offer()
    assert slots.acquire(entry)
    slots.release()
    return entry


def step(slots, time, reserved, kind, first, *rest):
    """Execute one step and update the reservations that are expected to be in force."""
    if kind == "acquire" and slots.acquire(first) and reserved[first]:
        reserved[first].pop()
    elif kind == "demand":
        slots.set_demand(first, *rest)
    elif kind == "release" and slots.running:
        slots.release()
    elif kind == "wait":
        time.advance(module.RESERVATION_S / 2)
    elif kind == "open":
        slots.is_open = first
    elif kind == "offer" and (entry := slots.offer()) is not None:
        reserved[entry].append(time.now() + module.RESERVATION_S)
    elif kind == "remove":
        slots.remove_entry(first)
    if kind == "remove" or (kind == "demand" and rest[0] == 0):
        reserved.pop(first, None)


@settings(derandomize=True, deadline=None)
@given(st.integers(1, 4), st.lists(STEPS, max_size=60))
def test_running_and_reserved_never_exceed_the_total(total, steps):
    time = clock.ManualClock()
    slots = module.Slots(total, time)
    reserved = collections.defaultdict(list)
    for each in steps:
        step(slots, time, reserved, *each)
        for entry, expiries in reserved.items():
            reserved[entry] = [at for at in expiries if at > time.now()]
        total_reserved = sum(map(len, reserved.values()))
        assert 0 <= slots.running <= slots.running + total_reserved <= total
        for entry in ("e1", "e2", "e3"):
            free = total - slots.running - total_reserved + len(reserved[entry])
            assert slots.free_for(entry) <= (free if slots.is_open else 0)


@settings(derandomize=True, deadline=None)
@given(st.lists(st.integers(1, 8), min_size=2, max_size=5), st.integers(1, 200))
def test_offers_follow_the_weights_within_one_slot(weights, count):
    slots = module.Slots(1, clock.ManualClock())
    for index, weight in enumerate(weights):
        slots.set_demand(index, 1000, float(weight))
    served = collections.Counter(run_next(slots) for _ in range(count))
    for (i, first), (j, second) in itertools.permutations(enumerate(weights), 2):
        assert (served[i] - 1) / first <= served[j] / second + 1e-9


def test_demand_of_single_tasks_does_not_starve_another(time):
    """An entry host that announces each task separately must not get every offer."""
    slots = module.Slots(1, time)
    slots.set_demand("e2", 100, 1.0)
    served = collections.Counter()
    for _ in range(20):
        slots.set_demand("e1", 1, 1.0)
        served[run_next(slots)] += 1
    assert served == {"e1": 10, "e2": 10}


def test_newcomer_does_not_catch_up_on_the_past(time):
    """A new entry host starts at the current virtual time.

    With a start at zero it would get every offer until it has caught up.
    """
    slots = module.Slots(1, time)
    slots.set_demand("e1", 100, 1.0)
    assert {run_next(slots) for _ in range(20)} == {"e1"}
    slots.set_demand("e2", 100, 1.0)
    served = collections.Counter(run_next(slots) for _ in range(10))
    assert served == {"e1": 5, "e2": 5}


def test_reserved_slot_is_free_only_for_its_entry_host(time):
    """No other entry host can acquire an offered slot, and an unused offer expires."""
    slots = module.Slots(1, time)
    slots.set_demand("e1", 5, 1.0)
    assert slots.offer() == "e1"
    assert (slots.free_for("e1"), slots.free_for("e2")) == (1, 0)
    assert (slots.offer(), slots.acquire("e2")) == (None, False)
    time.advance(module.RESERVATION_S)
    assert slots.offer() == "e1"
    slots.remove_entry("e1")
    assert (slots.offer(), slots.acquire("e2")) == (None, True)


def test_closed_worker_and_ended_demand_get_no_offer(time):
    slots = module.Slots(3, time)
    slots.set_demand("e1", 1, 1.0)
    slots.set_demand("e2", 5, 1.0)
    slots.is_open = False
    assert (slots.offer(), slots.acquire("e1")) == (None, False)
    slots.is_open = True
    assert [slots.offer(), slots.offer()] == ["e1", "e2"]
    assert slots.free_for("e3") == 1
    slots.set_demand("e2", 0, 1.0)
    assert (slots.offer(), slots.free_for("e3")) == (None, 2)
