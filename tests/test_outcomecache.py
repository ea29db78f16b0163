"""The outcome cache: its bounds in size and age, and which jobs may run again."""

import pytest

from burdockgate import clock, codes
from burdockgate.process import outcomecache
from burdockgate.request import outcome


@pytest.fixture
def time():
    return clock.ManualClock(1000.0)


@pytest.fixture
def cache(time):
    return outcomecache.OutcomeCache(time, 300.0, 100)


def complete(time, size=40):
    whole = outcome.Complete(1, (b"x" * (size - 10), b"y" * 10))
    return outcomecache.CachedOutcome(whole, 1, b"d", True, time.now())


def test_bytes_are_bounded_and_the_oldest_goes_first(cache, time):
    """An unbounded cache would exhaust the memory of the entry host."""
    for job in (b"1", b"2", b"1", b"3"):
        cache.put(job, complete(time))
    assert [job for job in (b"1", b"2", b"3") if cache.get(job)] == [b"1", b"3"]
    cache.discard(b"1")
    cache.discard(b"1")
    cache.put(b"4", complete(time, 60))
    assert cache.get(b"3") and cache.get(b"4")
    cache.put(b"5", complete(time, 101))
    assert not any(cache.get(job) for job in (b"3", b"4", b"5"))
    cache.put(b"6", complete(time, 100))
    assert cache.get(b"6")


def test_retention(cache, time):
    """An outcome is available for exactly the retention time."""
    cache.put(b"1", complete(time))
    time.advance(200.0)
    cache.put(b"2", complete(time))
    time.advance(99.0)
    cache.expire()
    assert cache.get(b"1")
    time.advance(1.0)
    cache.expire()
    assert (cache.get(b"1"), bool(cache.get(b"2"))) == (None, True)


@pytest.mark.parametrize(
    ("code", "repeatable", "expected"),
    [
        (codes.Code.COMPLETE, True, False),
        (codes.Code.WORKER_LOST, True, True),
        (codes.Code.WORKER_LOST, False, False),
        (codes.Code.TASK_FAILED, False, False),
        (codes.Code.CANCELLED_NOT_RUN, False, True),
    ],
)
def test_may_run_again(time, code, repeatable, expected):
    """A job that is not repeatable must run at most once."""
    failed = outcome.Failed(1, code, "detail")
    made = outcomecache.CachedOutcome(failed, 1, b"d", repeatable, time.now())
    assert made.may_run_again is expected
    assert made.size == 6
