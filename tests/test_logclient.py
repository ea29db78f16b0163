"""Tests the log client with lost answers, outages and expired records."""

import asyncio
import itertools
import random

import pytest

from burdockgate import clock, errors
from burdockgate.process import logclient
from burdockgate.standin import log

DOWN = log.Faults(down=True)


@pytest.fixture
async def served():
    manual = clock.ManualClock()
    server = log.LogServer(log.LogStore(manual, retention_s=60))
    await server.start()
    async with logclient.LogClient(server.url, random.Random(1)) as client:
        yield server.store, client, manual
    await server.stop_now()


def _ids(records):
    return [record.id for record in records.records]


async def _until(condition):
    async with asyncio.timeout(30):
        for _ in itertools.count():
            if condition():
                return
            await asyncio.sleep(0.01)


@pytest.mark.parametrize("lost", [log.LostAnswer.ERROR, log.LostAnswer.CUT])
async def test_lost_answer_is_settled_without_a_second_append(served, lost):
    """A retry after a lost answer must not append the record twice."""
    store, client, _ = served
    await client.append("table", "a", b"1")
    store.set_faults(log.Faults(lose_answers=lost))
    assert await client.append("table", "b", b'{"x":1}') == 1
    records = await client.read("table", 0)
    assert _ids(records) == ["a", "b"]
    assert records.records[1].value == b'{"x":1}'


async def test_late_append_gives_the_first_offset(served, monkeypatch):
    """When a slow try and its retry are both appended, readers use the first."""
    store, client, _ = served
    find, slow_ids = client._find, iter(["a"])

    async def find_before_slow_append(stream, record_id, since):
        found = await find(stream, record_id, since)
        for slow_id in slow_ids:
            store.append(stream, slow_id, "1")
        return found

    monkeypatch.setattr(client, "_find", find_before_slow_append)
    store.set_faults(DOWN)
    append = asyncio.create_task(client.append("table", "a", b"1"))
    await _until(lambda: client.failures >= 1)
    store.set_faults(log.Faults())
    assert await append == 0
    assert _ids(await client.read("table", 0)) == ["a", "a"]


async def test_budget_and_what_the_error_says(served):
    """The error must say when the record may have been accepted."""
    store, client, _ = served
    store.set_faults(DOWN)
    with pytest.raises(errors.LogUnavailableError, match="may have been accepted"):
        await client.append("table", "a", b"1", budget_s=0.3)
    unreachable = logclient.LogClient("http://127.0.0.1:1", random.Random(1))
    with pytest.raises(errors.LogUnavailableError, match="a was not accepted"):
        await unreachable.append("table", "a", b"1", budget_s=0.3)
    store.set_faults(log.Faults())
    with pytest.raises(errors.LogUnavailableError, match="413.*was not accepted"):
        await client.append("table", "b", b'"%s"' % (b"x" * 2**20))


async def test_silent_log_times_out(served):
    store, _, _ = served
    store.set_faults(log.Faults(delay_s=5))
    client = logclient.LogClient(served[1]._url, random.Random(1), timeout_s=0.05)
    with pytest.raises(errors.LogUnavailableError, match="no answer in time"):
        await client.read("table", 0)
    with pytest.raises(errors.LogUnavailableError, match="may have been accepted"):
        await client.append("table", "a", b"1", budget_s=0.3)


async def test_follow_goes_on_after_an_outage_and_skips_duplicates(served):
    """An outage between two pages must neither lose nor repeat a record."""
    store, client, _ = served
    store.append("table", "a", "1")
    pages = client.follow("table", 0)
    assert _ids(await anext(pages)) == ["a"]
    store.set_faults(DOWN)
    following = asyncio.create_task(anext(pages))
    await _until(lambda: client.failures >= 2)
    store.append("table", "a", "1")
    store.append("table", "b", "1")
    store.set_faults(log.Faults())
    page = await following
    assert (_ids(page), page.first, page.next) == (["b"], 1, 3)


async def test_follow_shows_expiry(served):
    """A reader whose offset has expired must see that records are missing."""
    store, client, manual = served
    store.append("table", "a", "1")
    manual.advance(100)
    store.append("table", "b", "1")
    page = await anext(client.follow("table", 0))
    assert (page.first, page.next, _ids(page)) == (1, 2, ["b"])


async def test_log_that_lost_its_end_is_an_error(served):
    """A reader must not continue at lower offsets when the log has lost its records."""
    with pytest.raises(errors.LogUnavailableError, match="ends at 0, wanted was 7"):
        await served[1].read("table", 7)


def test_backoff_is_bounded():
    """Longer pauses would delay a change by more than 5 s after an outage."""
    backoff = logclient.Backoff(random.Random(1))
    pauses = [backoff.pause_s() for _ in range(5000)]
    assert pauses[0] <= logclient.BACKOFF_FIRST_S
    assert 1 < max(pauses) <= logclient.BACKOFF_LIMIT_S


@pytest.mark.parametrize("url", ["", "ftp://a", "http://", "http://a/b", "http://a:x"])
def test_bad_url_is_a_settings_error(url):
    with pytest.raises(errors.SettingsError):
        logclient.LogClient(url, random.Random(1))
