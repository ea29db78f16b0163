"""Guards the policies that choose a worker: load counts, and no worker is left out."""

import collections
import random

import builders
from burdockgate.process import directory, placement


def workers(*free):
    made = [directory.Worker(builders.hello(f"a{i}"), 0.0) for i in range(len(free))]
    for worker, slots in zip(made, free, strict=True):
        worker.reported_free = slots
    return made


def test_two_choices_never_takes_the_fullest():
    """Of two candidates the one with fewer free slots must not get the task."""
    policy = placement.TwoChoices(random.Random(1))
    many = workers(1, 4, 5, 6)
    chosen = collections.Counter(policy.choose(many).name for _ in range(600))
    assert chosen["a0"] == 0
    assert 50 < chosen["a1"] < 150
    assert 250 < chosen["a3"] < 350


def test_two_choices_spreads_equal_workers():
    """Entry hosts that all preferred one of several equal workers would crowd it."""
    policy = placement.TwoChoices(random.Random(1))
    chosen = collections.Counter(
        policy.choose(workers(2, 2, 2)).name for _ in range(600)
    )
    assert min(chosen.values()) > 150
    assert len(chosen) == 3


def test_single_candidate_is_taken():
    """The last free worker must be usable."""
    (only,) = workers(1)
    assert placement.TwoChoices(random.Random(1)).choose([only]) is only
    assert placement.LeastLoaded().choose([only]) is only


def test_least_loaded_takes_the_first_with_most_free_slots():
    """The policy is the baseline of comparisons, so it must be exact."""
    many = workers(1, 3, 3, 2)
    assert placement.LeastLoaded().choose(many) is many[1]


def test_draw_finds_the_only_worker_of_many():
    """A draw that gave up would leave the last free slot of a service unused."""
    many = workers(*[1] * 1000)
    policy = placement.TwoChoices(random.Random(1))
    assert (
        policy.choose_by_index(1000, lambda n: many[n] if n == 777 else None)
        is many[777]
    )
    assert policy.choose_by_index(1000, lambda _: None) is None
    drawn = {policy.choose_by_index(1000, many.__getitem__).name for _ in range(300)}
    assert len(drawn) > 200
