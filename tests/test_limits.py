"""The limits of table rows: a job above one waits or is refused with a reason."""

import types

import attrs
import pytest

import builders
from burdockgate import clock
from burdockgate.process import limits
from burdockgate.version import table


def make(*rows, hosts=1):
    """Return limits for the given rows, with the clock and the replica of the table."""
    replica = types.SimpleNamespace(table=None)
    change(replica, *rows)
    time = clock.ManualClock()
    return limits.Limits(replica, time, lambda: hosts), time, replica


def change(replica, *rows):
    replica.table = table.Table(row_by_key={row.key: row for row in rows})


def start_all(limit, request, most=100):
    """Start tasks until the class may start no more; return their number."""
    for count in range(most):
        if not limit.may_start("class", "batch"):
            return count
        limit.record_start(request)
    return most


REQUEST = builders.request(caller_class="batch")


def test_weight_is_that_of_the_service_times_that_of_the_class():
    """A missing row must count as weight 1, not 0."""
    limit, _, replica = make(table.Row("class", "batch", weight=0.5))
    assert limit.weight("records", "batch") == 0.5
    change(
        replica,
        table.Row("class", "batch", weight=0.5),
        table.Row("service", "records", weight=3),
    )
    assert limit.weight("records", "batch") == 1.5


@pytest.mark.parametrize(("most", "hosts", "share"), [(6, 1, 6), (6, 2, 3), (1, 3, 1)])
def test_tasks_in_progress(most, hosts, share):
    """Tasks beyond the share of an entry host wait until others end."""
    limit, _, replica = make(
        table.Row("class", "batch", max_in_progress=most), hosts=hosts
    )
    assert start_all(limit, REQUEST) == share
    limit.set_in_progress(REQUEST, share - 1)
    assert start_all(limit, REQUEST) == 1
    limit.set_in_progress(REQUEST, 0)
    assert start_all(limit, REQUEST) == share
    change(replica)
    assert limit.may_start("class", "batch")


def test_rate_allows_one_second_of_burst():
    """A pause must not accumulate more than one second of starts."""
    limit, time, _ = make(table.Row("class", "batch", max_rate=10), hosts=2)
    assert start_all(limit, REQUEST) == 5
    time.advance(0.4)
    assert start_all(limit, REQUEST) == 2
    time.advance(60)
    assert start_all(limit, REQUEST) == 5


def test_slow_rate_still_starts_tasks():
    """A rate below one task per second must not block a class for ever."""
    limit, time, _ = make(table.Row("class", "batch", max_rate=0.5))
    assert start_all(limit, REQUEST) == 1
    time.advance(1.9)
    assert not limit.may_start("class", "batch")
    time.advance(0.2)
    assert limit.may_start("class", "batch")


def test_queue_bytes_of_ended_jobs_are_released():
    """If bytes were not released, every later job would be refused."""
    limit, _, _ = make(table.Row("service", "records", max_queue_bytes=150))
    request = attrs.evolve(REQUEST, size=100)
    assert limit.refusal(request) == ""
    limit.add_queued_bytes(request, 100)
    assert "100 of 150 bytes of service/records" in limit.refusal(request)
    limit.add_queued_bytes(request, -100)
    assert limit.refusal(request) == ""


def test_shorter_queue_time_applies():
    limit, _, _ = make(
        table.Row("service", "records", max_queue_s=9),
        table.Row("class", "batch", max_queue_s=2),
    )
    assert limit.max_queue_s(REQUEST) == 2
    assert limit.max_queue_s(builders.request(caller_class="web")) == 9
