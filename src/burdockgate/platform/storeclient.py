"""Client of the platform's metadata store, a log with keyed topics."""

from __future__ import annotations

import base64
import binascii
import struct
from collections.abc import Iterator
from typing import Any

import msgspec

from burdockgate import errors
from burdockgate.platform import http
from burdockgate.process import store

# How long a read waits for a record. Short enough that a connection that went silent
# is noticed within the bound of 2 s for a change to be in force.
READ_WAIT_S = 1.5
# Beyond the wait; the store answers in 4 ms, and in 0.25 s when it is slow.
ANSWER_S = 0.6
CONNECTIONS = 4
_ENDS = struct.Struct(">QQ")
_LENGTH = struct.Struct(">I")
_OK, _NOT_FOUND, _GONE = 200, 404, 410


class _Item(msgspec.Struct):
    key: str
    offset: int
    value: str = ""


class _Newest(msgspec.Struct):
    # Not typed further, so that one unreadable item does not hide the others.
    items: list[Any]
    end: int
    more: bool = False


class PlatformStore(store.Store):
    """The store over HTTP.

    :param address: ``host:port`` of the store.
    """

    def __init__(self, address: str) -> None:
        self._client = http.Client(address, CONNECTIONS)

    async def read_newest(self, topic: str) -> store.Page:
        """Return the newest record of each key, over all pages."""
        records: list[store.KeyedRecord] = []
        # Pages are not a snapshot: changes after the first page's end are read again.
        end: int | None = None
        after: str | None = None
        unreadable = 0
        while True:
            query: dict[str, str | int] = {"topic": topic, "part": 0}
            if after is not None:
                query["after"] = after
            answer = await self._call("GET", "/burdockgate/log-newest", query, ANSWER_S)
            if answer.status == _NOT_FOUND:
                return store.Page((), 0)
            self._require(answer, topic)
            try:
                page = msgspec.json.decode(answer.body, type=_Newest)
            except msgspec.DecodeError as error:
                raise errors.LogUnavailableError(f"newest of {topic}: {error}") from (
                    error
                )
            end = page.end if end is None else end
            found = list(_items(page.items))
            records += found
            unreadable += len(page.items) - len(found)
            if not page.more or not found:
                return store.Page(tuple(records), end, unreadable)
            after = found[-1].key

    async def read_changes(self, topic: str, offset: int) -> store.Page:
        """Wait up to 1.5 s for new records."""
        query = {
            "topic": topic,
            "part": 0,
            "from": offset,
            "waitMs": int(READ_WAIT_S * 1000),
        }
        answer = await self._call(
            "GET", "/burdockgate/log-read", query, READ_WAIT_S + ANSWER_S
        )
        if answer.status == _GONE:
            raise errors.HistoryExpiredError(f"{topic} from {offset}")
        if answer.status == _NOT_FOUND:
            raise errors.LogUnavailableError(f"{topic} does not exist yet")
        self._require(answer, topic)
        if len(answer.body) < _ENDS.size:
            raise errors.LogUnavailableError(f"{topic}: answer is cut short")
        records = tuple(_records(answer.body, offset))
        return store.Page(records, records[-1].offset + 1 if records else offset)

    async def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a record."""
        name = key.encode()
        record = bytes([len(name)]) + name + value
        answer = await self._call(
            "POST",
            "/burdockgate/log-append",
            {"topic": topic, "part": 0},
            ANSWER_S,
            _LENGTH.pack(len(record)) + record,
        )
        self._require(answer, topic)

    async def close(self) -> None:
        """Close the connections."""
        self._client.close()

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, Any],
        answer_s: float,
        content: bytes = b"",
    ) -> http.Answer:
        try:
            return await self._client.request(
                method, path, answer_s, query, body=content
            )
        except errors.CallError as error:
            raise errors.LogUnavailableError(f"{path}: {error}") from error

    @staticmethod
    def _require(answer: http.Answer, path: str) -> None:
        if answer.status != _OK:
            raise errors.LogUnavailableError(f"{path}: status {answer.status}")


def _items(items: list[Any]) -> Iterator[store.KeyedRecord]:
    for raw in items:
        try:
            item = msgspec.convert(raw, _Item)
            value = base64.b64decode(item.value, validate=True)
        except (msgspec.ValidationError, binascii.Error):
            # Another writer's record; the others hold.
            continue
        yield store.KeyedRecord(item.key, value, item.offset)


def _records(content: bytes, offset: int) -> Iterator[store.KeyedRecord]:
    """Yield the records of a read; one that can't be read counts by its offset."""
    position = _ENDS.size
    while position + _LENGTH.size <= len(content):
        (length,) = _LENGTH.unpack_from(content, position)
        record = content[position + _LENGTH.size : position + _LENGTH.size + length]
        position += _LENGTH.size + length
        if len(record) < length:
            return
        key_end = 1 + record[0] if record else 0
        key = record[1:key_end].decode(errors="replace")
        yield store.KeyedRecord(key, record[key_end:], offset)
        offset += 1
