"""Follows a keyed topic of the store through its outages."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator

from burdockgate import errors
from burdockgate.process import events, store

# The bound for a change to be in force is 2 s; several attempts must fit into it.
RETRY_S = 0.25
# Every reader that was turned away comes back; the spread keeps them apart.
RETRY_SPREAD = 0.4


class TopicFollower:
    """Yields the newest records of a topic, then its changes.

    :param client: the store.
    :param topic: name of the topic.
    :param log: gets a line for each outage and its end.
    :param rng: source of random numbers.
    """

    def __init__(
        self,
        client: store.Store,
        topic: str,
        log: events.EventLog,
        rng: random.Random,
    ) -> None:
        self._client = client
        self._topic = topic
        self._log = log
        self._rng = rng
        self._offset: int | None = None
        self._is_reached = True

    async def records(self) -> AsyncIterator[store.KeyedRecord]:
        """Yield records until cancelled; a record may come again."""
        while True:
            for record in await self._next():
                yield record

    async def _next(self) -> tuple[store.KeyedRecord, ...]:
        try:
            page = await self._read()
        except errors.HistoryExpiredError as error:
            self._log.record(
                "store.history_expired", {"topic": self._topic, "detail": str(error)}
            )
            self._offset = None
            return ()
        except errors.LogUnavailableError as error:
            self._note(False, str(error))
            spread = self._rng.uniform(1 - RETRY_SPREAD, 1 + RETRY_SPREAD)
            await asyncio.sleep(RETRY_S * spread)
            return ()
        self._note(True, "")
        if page.unreadable:
            self._log.record(
                "store.unreadable", {"topic": self._topic, "records": page.unreadable}
            )
        self._offset = page.end
        return page.records

    async def _read(self) -> store.Page:
        if self._offset is None:
            return await self._client.read_newest(self._topic)
        return await self._client.read_changes(self._topic, self._offset)

    def _note(self, is_reached: bool, detail: str) -> None:
        if is_reached != self._is_reached:
            self._is_reached = is_reached
            event = "store.regained" if is_reached else "store.lost"
            self._log.record(event, {"topic": self._topic, "detail": detail})
