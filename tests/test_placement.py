"""Tests of the policies that choose the worker for a task."""

import collections
import random

import builders
from burdockgate.process import directory, placement


def make_workers(*free_slots):
    workers = [
        directory.Worker(builders.hello(f"a{i}"), 0.0) for i in range(len(free_slots))
    ]
    for worker, slots in zip(workers, free_slots, strict=True):
        worker.reported_free = slots
    return workers


def test_two_choices_never_takes_the_fullest():
    """Of two candidates the one with fewer free slots must not get the task."""
    policy = placement.TwoChoices(random.Random(1))
    workers = make_workers(1, 4, 5, 6)
    chosen = collections.Counter(policy.choose(workers).name for _ in range(600))
    assert chosen["a0"] == 0
    assert 50 < chosen["a1"] < 150
    assert 250 < chosen["a3"] < 350


def test_two_choices_spreads_equal_workers():
    """Equal workers must be chosen about equally often, or one is overloaded."""
    policy = placement.TwoChoices(random.Random(1))
    chosen = collections.Counter(
        policy.choose(make_workers(2, 2, 2)).name for _ in range(600)
    )
    assert min(chosen.values()) > 150
    assert len(chosen) == 3


def test_single_candidate_is_taken():
    """Both policies must choose the only candidate."""
    (only,) = make_workers(1)
    assert placement.TwoChoices(random.Random(1)).choose([only]) is only
    assert placement.LeastLoaded().choose([only]) is only


def test_least_loaded_takes_the_first_with_most_free_slots():
    """The policy is the baseline of benchmarks, so its choice must be exact."""
    workers = make_workers(1, 3, 3, 2)
    assert placement.LeastLoaded().choose(workers) is workers[1]


def test_draw_finds_the_only_worker_of_many():
    """Random draws can miss the only eligible worker, which must be found anyway."""
    workers = make_workers(*[1] * 1000)
    policy = placement.TwoChoices(random.Random(1))
    assert (
        policy.choose_by_index(1000, lambda n: workers[n] if n == 777 else None)
        is workers[777]
    )
    assert policy.choose_by_index(1000, lambda _: None) is None
    drawn = {policy.choose_by_index(1000, workers.__getitem__).name for _ in range(300)}
    assert len(drawn) > 200
