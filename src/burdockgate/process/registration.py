"""An entry host's own record in the store, and what it knows of the other ones."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from burdockgate import assignments, clock, errors
from burdockgate.process import discovery, entryregistry, events, follower, store

STORE_RETRY_S = 0.5
# Shortest time between two appends of the own record, in case another process deletes
# it again and again.
MIN_APPEND_INTERVAL_S = 1.0
# Each append wakes the readers of all entry hosts, so it is rare.
REFRESH_S = 120.0
# A record that was not refreshed for this long belongs to a machine that is gone.
EXPIRY_S = 400.0
# Entry hosts check for expired records at random times, so that one of them deletes
# a record and the others see it gone.
EXPIRY_CHECK_S = 60.0
# Reads return every 1.5 s while the store is available. After a longer pause, the time
# since the last refresh of a record tells nothing.
MAX_READ_GAP_S = 10.0
JITTER = 0.4

Notify = Callable[[tuple[assignments.EntryHost, ...]], None]


class Registration:
    """Keeps the record of an entry host in the store and follows those of the others.

    :param own: name and address of this entry host.
    :param client: client of the store.
    :param time: a clock that goes on while the machine is suspended.
    :param log: records the changes.
    :param rng: source of random numbers.
    :param notify: called with the records that are new, have left or have moved.
    """

    def __init__(
        self,
        own: assignments.EntryHost,
        client: store.Store,
        time: clock.Clock,
        log: events.EventLog,
        rng: random.Random,
        notify: Notify,
    ) -> None:
        self.registry = entryregistry.EntryRegistry()
        self.registry.merge([own])
        self._own = own
        self._store = client
        self._time = time
        self._log = log
        self._rng = rng
        self._notify = notify
        self._is_leaving = False
        self._is_lost = asyncio.Event()
        self._refreshed_at_by_name: dict[str, float] = {}
        self._read_at = float("-inf")

    async def follow(self) -> None:
        """Follow the records of all entry hosts until cancelled."""
        source = follower.TopicFollower(
            self._store, discovery.TOPIC, self._log, self._rng
        )
        async for page in source.pages():
            self._apply(page)

    def _apply(self, page: store.Page) -> None:
        now = self._time.now()
        if not self._is_current(now):
            self._refreshed_at_by_name.clear()
        self._read_at = now
        entries = list(discovery.entry_hosts(page.records))
        if page.is_snapshot:
            changed = self.registry.apply_snapshot(entries, page.end)
        else:
            changed = self.registry.merge(entries)
        for entry in entries:
            self._refreshed_at_by_name[entry.name] = now
        for entry in changed:
            event = "entry.known" if entry.address else "entry.departed"
            self._log.record(event, {"entry": entry.name, "address": entry.address})
        if changed:
            self._notify(changed)
        stored = self.registry.get(self._own.name)
        if stored is not None and stored.address != self._own.address:
            self._is_lost.set()

    def _is_current(self, now: float) -> bool:
        """Return whether the records have been read without a long pause."""
        return now - self._read_at < MAX_READ_GAP_S

    async def maintain(self) -> None:
        """Write the own record, and again when it is due or was deleted."""
        while not self._is_leaving:
            self._is_lost.clear()
            problem = await self._write(self._own.name, self._own.address)
            if problem:
                self._log.record("entry.not_registered", {"detail": problem})
                await asyncio.sleep(STORE_RETRY_S)
                continue
            self._log.record("entry.registered", {"address": self._own.address})
            await asyncio.sleep(MIN_APPEND_INTERVAL_S)
            try:
                async with asyncio.timeout(self._jittered(REFRESH_S)):
                    await self._is_lost.wait()
            except TimeoutError:
                continue

    async def expire(self) -> None:
        """Delete the records of entry hosts that are gone without leaving."""
        while True:
            await asyncio.sleep(self._jittered(EXPIRY_CHECK_S))
            for name in self._expired_names():
                problem = await self._write(name, "")
                self._log.record("entry.expired", {"entry": name, "detail": problem})

    def _expired_names(self) -> list[str]:
        """Return the entry hosts without a refresh; starts to watch unknown ones."""
        now = self._time.now()
        if not self._is_current(now):
            return []
        names = [record.name for record in self.registry.present()]
        for name in names:
            self._refreshed_at_by_name.setdefault(name, now)
        for name in set(self._refreshed_at_by_name) - set(names):
            del self._refreshed_at_by_name[name]
        return [
            name
            for name, refreshed_at in self._refreshed_at_by_name.items()
            if name != self._own.name and now - refreshed_at > EXPIRY_S
        ]

    def _jittered(self, duration_s: float) -> float:
        return duration_s * self._rng.uniform(1 - JITTER, 1 + JITTER)

    async def leave(self) -> None:
        """Delete the own record, because the process is about to end."""
        self._is_leaving = True
        problem = await self._write(self._own.name, "")
        if problem:
            self._log.record("entry.not_deregistered", {"detail": problem})

    async def _write(self, name: str, address: str) -> str:
        """Write a record, or delete it if there is no address.

        :returns: why it may not have been written; empty on success.
        """
        value = discovery.encode(address, self._own.zone) if address else b""
        try:
            await self._store.put(discovery.TOPIC, name, value)
        except errors.LogUnavailableError as error:
            return str(error)
        return ""
