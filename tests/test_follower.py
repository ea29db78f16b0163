"""Tests of following the store across outages and deletions."""

import asyncio
import io
import json
import random

import pytest

from burdockgate import assignments, clock, errors
from burdockgate.process import discovery, events, follower, logs, store

UNREADABLE = "store.unreadable"


class ScriptedStore(store.Store):
    """Returns the listed answers in order; raises those that are exceptions."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.calls = []

    async def _answer(self, *call):
        self.calls.append(call)
        if not self.answers:
            await asyncio.sleep(30)
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer

    async def read_newest(self, topic):
        return await self._answer("newest")

    async def read_changes(self, topic, offset):
        return await self._answer("changes", offset)

    async def put(self, topic, key, value):
        raise NotImplementedError

    async def close(self):
        pass


def _page(end, *keys, unreadable=0):
    records = tuple(store.KeyedRecord(key, b"v", 0) for key in keys)
    return store.Page(records, end, unreadable)


@pytest.fixture
def follow(monkeypatch):
    monkeypatch.setattr(follower, "RETRY_S", 0.001)
    output = io.StringIO()
    logs.configure(output, as_json=True)
    log = events.EventLog("entry-1", clock.ManualClock())

    async def run(client, count):
        source = follower.TopicFollower(
            client, "keyed.op", log, random.Random(1)
        ).records()
        return [(await anext(source)).key for _ in range(count)], output.getvalue()

    return run


async def test_newest_records_are_followed_by_their_changes(follow):
    """A starting process must get the present records without waiting for a change."""
    client = ScriptedStore(_page(5, "config"), _page(6, "config"))
    keys, _ = await follow(client, 2)
    assert keys == ["config", "config"]
    assert client.calls == [("newest",), ("changes", 5)]


async def test_deleted_history_is_replaced_by_the_newest_records(follow):
    """The platform may delete records of the operator's topic at any time."""
    expired = errors.HistoryExpiredError("keyed.op from 5")
    client = ScriptedStore(_page(5, "config"), expired, _page(9, "config"))
    keys, lines = await follow(client, 2)
    assert client.calls == [("newest",), ("changes", 5), ("newest",)]
    assert "store.history_expired" in lines
    assert keys == ["config", "config"]


async def test_outage_is_logged_once_and_so_is_its_end(follow):
    """Each lost or regained dependency is logged in one line, not at each retry."""
    down = [errors.LogUnavailableError("status 503") for _ in range(4)]
    client = ScriptedStore(*down, _page(5, "config"))
    _, lines = await follow(client, 1)
    assert lines.count("store.lost") == 1
    assert lines.count("store.regained") == 1


async def test_unreadable_records_are_counted_in_the_log(follow):
    """A malformed record of another writer is skipped, but logged."""
    client = ScriptedStore(_page(5, "config", unreadable=2))
    _, lines = await follow(client, 1)
    parsed = [json.loads(line) for line in lines.splitlines()]
    assert [line["records"] for line in parsed if line["event"] == UNREADABLE] == [2]


def test_records_without_a_valid_address_are_skipped():
    """A malformed record must not hide the other entry hosts; a deleted one is kept."""
    values = [
        discovery.encode("10.0.0.1:7720", "z1"),
        b"",
        b"\xc1",
        discovery.encode("no-port", "z1"),
        b"\x93\x01\x02\x03",
        discovery.encode("10.0.0.3:70000", "z1"),
        discovery.encode("10.0.0.3:\u00b2", "z1"),
        discovery.encode("name.example:7720", "z1"),
        b"\x91" * 100_000,
        discovery.encode("10.0.0.2:7720", "z1"),
    ]
    records = [store.KeyedRecord(str(at), value, at) for at, value in enumerate(values)]
    assert list(discovery.entry_hosts(records)) == [
        assignments.EntryHost("0", "10.0.0.1:7720", "z1", 1),
        assignments.EntryHost("1", "", "", 2),
        assignments.EntryHost("9", "10.0.0.2:7720", "z1", 10),
    ]
