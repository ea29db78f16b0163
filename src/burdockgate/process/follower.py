"""Follows a keyed topic of the store, across outages of the store."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator

from burdockgate import errors
from burdockgate.process import events, store

# A change has to be in force within 2 s, which leaves time for several retries.
RETRY_S = 0.25
# Share of the delay by which retries vary, so that readers do not retry all at once
# after an outage.
RETRY_JITTER = 0.4


class TopicFollower:
    """Yields the newest record of each key of a topic, then the changes.

    :param client: client of the store.
    :param topic: name of the topic.
    :param log: records the start and the end of each outage.
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
        self._is_reachable = True

    async def records(self) -> AsyncIterator[store.KeyedRecord]:
        """Yield records until cancelled; a record may be yielded more than once."""
        async for page in self.pages():
            for record in page.records:
                yield record

    async def pages(self) -> AsyncIterator[store.Page]:
        """Yield a snapshot of the topic and then its changes, until cancelled.

        Another snapshot follows when the changes since the last page were deleted.
        """
        while True:
            page = await self._next_page()
            if page is not None:
                yield page

    async def _next_page(self) -> store.Page | None:
        try:
            page = await self._read()
        except errors.HistoryExpiredError as error:
            self._log.record(
                "store.history_expired", {"topic": self._topic, "detail": str(error)}
            )
            self._offset = None
            return None
        except errors.LogUnavailableError as error:
            self._set_reachable(False, str(error))
            jitter = self._rng.uniform(1 - RETRY_JITTER, 1 + RETRY_JITTER)
            await asyncio.sleep(RETRY_S * jitter)
            return None
        self._set_reachable(True, "")
        if page.unreadable:
            self._log.record(
                "store.unreadable", {"topic": self._topic, "records": page.unreadable}
            )
        self._offset = page.end
        return page

    async def _read(self) -> store.Page:
        if self._offset is None:
            return await self._client.read_newest(self._topic)
        return await self._client.read_changes(self._topic, self._offset)

    def _set_reachable(self, is_reachable: bool, detail: str) -> None:
        if is_reachable != self._is_reachable:
            self._is_reachable = is_reachable
            event = "store.regained" if is_reachable else "store.lost"
            self._log.record(event, {"topic": self._topic, "detail": detail})
