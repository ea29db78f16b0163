"""Tests how an entry host keeps its record in the store and follows the others."""

import asyncio
import io
import random

import pytest

from burdockgate import assignments, clock, errors
from burdockgate.process import discovery, events, logs, registration, store

OWN = assignments.EntryHost("e1", "10.0.0.1:7720", "z1", 0)
OTHER = "10.0.0.2:7720"


class MemoryStore(store.Store):
    """A keyed topic in memory; it can be down, and drop its history."""

    def __init__(self):
        self.log = []
        self.is_down = False
        self._changed = asyncio.Event()

    def append(self, key, value):
        self.log.append((key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    def _check(self):
        if self.is_down:
            raise errors.LogUnavailableError("down")

    async def read_newest(self, topic):
        self._check()
        newest = {}
        for offset, (key, value) in enumerate(self.log):
            newest[key] = store.KeyedRecord(key, value, offset)
        records = tuple(record for record in newest.values() if record.value)
        return store.Page(records, len(self.log), is_snapshot=True)

    async def read_changes(self, topic, offset):
        if len(self.log) <= offset:
            try:
                async with asyncio.timeout(0.02):
                    await self._changed.wait()
            except TimeoutError:
                pass
        self._check()
        records = tuple(
            store.KeyedRecord(key, value, offset + number)
            for number, (key, value) in enumerate(self.log[offset:])
        )
        return store.Page(records, len(self.log))

    async def put(self, topic, key, value):
        self._check()
        self.append(key, value)

    async def close(self):
        pass


class Bench:
    """A registration on a store in memory."""

    def __init__(self):
        logs.configure(io.StringIO(), as_json=True)
        self.store = MemoryStore()
        self.time = clock.ManualClock(1000.0)
        self.changes = []
        self.registration = registration.Registration(
            OWN,
            self.store,
            self.time,
            events.EventLog("e1", self.time),
            random.Random(1),
            self.changes.extend,
        )
        self.tasks = [
            asyncio.create_task(self.registration.follow()),
            asyncio.create_task(self.registration.maintain()),
        ]

    def present(self):
        return {entry.name for entry in self.registration.registry.present()}

    def stored(self):
        return dict(self.store.log).get("e1", b"")

    async def wait_for(self, condition):
        async with asyncio.timeout(10):
            while not condition():
                await asyncio.sleep(0.005)


@pytest.fixture
async def bench(monkeypatch):
    monkeypatch.setattr(registration, "STORE_RETRY_S", 0.01)
    monkeypatch.setattr(registration, "MIN_APPEND_INTERVAL_S", 0.01)
    instance = Bench()
    yield instance
    for task in instance.tasks:
        task.cancel()
    await asyncio.gather(*instance.tasks, return_exceptions=True)


async def test_departure_of_another_entry_host_is_announced_once(bench):
    """A deleted record was skipped, so the machine was dialled for ever."""
    bench.store.append("e2", discovery.encode(OTHER, "z2"))
    await bench.wait_for(lambda: "e2" in bench.present())
    bench.store.append("e2", b"")
    await bench.wait_for(lambda: "e2" not in bench.present())
    others = [entry.address for entry in bench.changes if entry.name == "e2"]
    assert others == [OTHER, ""]


async def test_deleted_own_record_is_written_again(bench):
    """A record that lapsed while the store was away left a live machine unknown."""
    await bench.wait_for(bench.stored)
    bench.store.append("e1", b"")
    await bench.wait_for(bench.stored)


async def test_own_record_is_back_after_an_outage_of_the_store(bench):
    """The users ask for it within two seconds of the store's return."""
    await bench.wait_for(bench.stored)
    bench.store.is_down = True
    bench.store.append("e1", b"")
    await asyncio.sleep(0.1)
    assert not bench.stored()
    bench.store.is_down = False
    await bench.wait_for(bench.stored)


def test_waits_after_an_outage_are_within_the_bound():
    """The read is tried every 0.25 s and the append every 0.5 s: below two seconds."""
    longest_s = registration.STORE_RETRY_S + registration.MIN_APPEND_INTERVAL_S
    assert longest_s + 0.25 * 1.4 < 2.0


async def test_process_that_leaves_does_not_write_its_record_again(bench):
    """A server that had left was in use again."""
    await bench.wait_for(bench.stored)
    await bench.registration.leave()
    await asyncio.sleep(0.1)
    assert not bench.stored()


async def test_record_without_refreshes_expires(bench):
    """A machine that lost power for good never deletes its record."""
    bench.store.append("e2", discovery.encode(OTHER, "z2"))
    await bench.wait_for(lambda: "e2" in bench.present())
    for _ in range(100):
        bench.time.advance(registration.MAX_READ_GAP_S / 2)
        bench.registration._apply(store.Page((), len(bench.store.log)))
    assert bench.registration._expired_names() == ["e2"], "and not its own"


async def test_record_does_not_expire_by_an_outage_of_the_store(bench):
    """No entry host can refresh its record while the store is away."""
    bench.store.append("e2", discovery.encode(OTHER, "z2"))
    await bench.wait_for(lambda: "e2" in bench.present())
    bench.store.is_down = True
    bench.time.advance(registration.EXPIRY_S * 2)
    assert bench.registration._expired_names() == []
    bench.registration._apply(store.Page((), len(bench.store.log)))
    assert bench.registration._expired_names() == []
