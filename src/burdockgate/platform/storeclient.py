"""HTTP client of the platform's metadata store, a log with keyed topics."""

from __future__ import annotations

import base64
import binascii
import re
import struct
from collections.abc import Iterator
from typing import Any

import msgspec

from burdockgate import errors
from burdockgate.platform import decoding, http
from burdockgate.process import store

# How long a read waits for a record. Short enough to detect a silent connection within
# 2 s, the time limit for a change to be in force.
READ_WAIT_S = 1.5
# Until a response begins, in addition to the wait of a read. The store responds in
# 4 ms, or 0.4 s when slow.
CALL_TIMEOUT_S = 0.6
# Between two parts of a response. A page of 1 MB takes 4 s over a link of 2 Mbit/s, and
# other transfers share the link.
SILENCE_TIMEOUT_S = 0.6
MAX_CONNECTIONS = 4
_READ_HEADER = struct.Struct(">QQ")
_RECORD_LENGTH = struct.Struct(">I")
# The page is an object at depth 1 and its list of items is at depth 2.
_ITEM_DEPTH = 3
_OK, _NOT_FOUND, _GONE = 200, 404, 410


# Tokens of JSON text that begin or end a value or could hide such a token.
_JSON_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{}]')


class _Item(msgspec.Struct):
    key: decoding.Name
    offset: decoding.Integer
    value: str = ""


class _NewestPage(msgspec.Struct):
    # Decoded one by one, so that a malformed item does not hide the others.
    items: list[Any]
    end: decoding.Integer
    more: bool = False


class PlatformStore(store.Store):
    """The metadata store over HTTP.

    :param address: ``host:port`` of the store.
    """

    def __init__(self, address: str) -> None:
        self._client = http.Client(address, MAX_CONNECTIONS)

    async def read_newest(self, topic: str) -> store.Page:
        """Return the newest record of each key, over all pages."""
        records: list[store.KeyedRecord] = []
        # The pages are not a snapshot. The end of the first page is returned, so that
        # changes after it are read again.
        end: int | None = None
        after: str | None = None
        unreadable = 0
        while True:
            query: dict[str, str | int] = {"topic": topic, "part": 0}
            if after is not None:
                query["after"] = after
            response = await self._call(
                "GET", "/burdockgate/log-newest", query, CALL_TIMEOUT_S
            )
            if response.status == _NOT_FOUND:
                return store.Page((), 0, is_snapshot=True)
            self._check_status(response, topic)
            try:
                page = _decode_page(response.body)
            except errors.MalformedError as error:
                raise errors.LogUnavailableError(f"newest of {topic}: {error}") from (
                    error
                )
            end = page.end if end is None else end
            decoded = list(_decode_items(page.items))
            records += decoded
            unreadable += len(page.items) - len(decoded)
            last_key = _last_key(page.items)
            if not page.more or last_key is None or last_key == after:
                return store.Page(tuple(records), end, unreadable, is_snapshot=True)
            after = last_key

    async def read_changes(self, topic: str, offset: int) -> store.Page:
        """Wait up to :data:`READ_WAIT_S` for new records."""
        query = {
            "topic": topic,
            "part": 0,
            "from": offset,
            "waitMs": int(READ_WAIT_S * 1000),
        }
        response = await self._call(
            "GET", "/burdockgate/log-read", query, READ_WAIT_S + CALL_TIMEOUT_S
        )
        if response.status == _GONE:
            raise errors.HistoryExpiredError(f"{topic} from {offset}")
        if response.status == _NOT_FOUND:
            raise errors.LogUnavailableError(f"{topic} does not exist yet")
        self._check_status(response, topic)
        if len(response.body) < _READ_HEADER.size:
            raise errors.LogUnavailableError(f"{topic}: answer is cut short")
        records = tuple(_decode_records(response.body, offset))
        return store.Page(records, records[-1].offset + 1 if records else offset)

    async def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a record."""
        name = key.encode()
        record = bytes([len(name)]) + name + value
        response = await self._call(
            "POST",
            "/burdockgate/log-append",
            {"topic": topic, "part": 0},
            CALL_TIMEOUT_S,
            _RECORD_LENGTH.pack(len(record)) + record,
        )
        self._check_status(response, topic)

    async def close(self) -> None:
        """Close the connections."""
        self._client.close()

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, Any],
        timeout_s: float,
        content: bytes = b"",
    ) -> http.Response:
        try:
            return await self._client.request(
                method,
                path,
                timeout_s,
                query,
                body=content,
                silence_s=SILENCE_TIMEOUT_S,
            )
        except errors.CallError as error:
            raise errors.LogUnavailableError(f"{path}: {error}") from error

    @staticmethod
    def _check_status(response: http.Response, path: str) -> None:
        if response.status != _OK:
            raise errors.LogUnavailableError(f"{path}: status {response.status}")


def _decode_page(body: bytes) -> _NewestPage:
    """Return a page of newest records.

    :param body: the page, JSON.
    :raises errors.MalformedError: when the page is unreadable as a whole.
    """
    try:
        return decoding.decode(body, _NewestPage)
    except errors.MalformedError:
        return _decode_items_apart(body)


def _decode_items_apart(body: bytes) -> _NewestPage:
    """Return a page whose items are decoded one by one, ``None`` if unreadable.

    The decoder refuses a whole page for one item that is nested too deeply or holds
    text that is not Unicode.
    """
    spans = list(_item_spans(body))
    if not spans:
        raise errors.MalformedError("no items")
    envelope = body[: spans[0][0]] + body[spans[-1][1] :]
    page = decoding.decode(envelope, _NewestPage)
    page.items = [_decode_any(body[start:end]) for start, end in spans]
    return page


def _item_spans(body: bytes) -> Iterator[tuple[int, int]]:
    """Yield start and end of each object or array in the lists of a JSON object."""
    depth, start = 0, 0
    for token in _JSON_TOKEN.finditer(body):
        if token[0] in (b"[", b"{"):
            depth += 1
            if depth == _ITEM_DEPTH:
                start = token.start()
        elif token[0] in (b"]", b"}"):
            if depth == _ITEM_DEPTH:
                yield start, token.end()
            depth -= 1


def _decode_any(content: bytes) -> Any:
    try:
        return decoding.decode(content, object)
    except errors.MalformedError:
        return None


def _last_key(items: list[Any]) -> str | None:
    """Return the last key of a page, also of a malformed item, to continue after it."""
    keys = (item.get("key") for item in reversed(items) if isinstance(item, dict))
    return next((key for key in keys if isinstance(key, str)), None)


def _decode_items(items: list[Any]) -> Iterator[store.KeyedRecord]:
    for raw in items:
        try:
            item = msgspec.convert(raw, _Item)
            value = base64.b64decode(item.value, validate=True)
        except (msgspec.ValidationError, binascii.Error, ValueError):
            # Malformed, from another writer; the other records are still valid.
            continue
        yield store.KeyedRecord(item.key, value, item.offset)


def _decode_records(content: bytes, offset: int) -> Iterator[store.KeyedRecord]:
    """Yield the records of a read, malformed ones too, as each takes an offset."""
    position = _READ_HEADER.size
    while position + _RECORD_LENGTH.size <= len(content):
        (length,) = _RECORD_LENGTH.unpack_from(content, position)
        record = content[
            position + _RECORD_LENGTH.size : position + _RECORD_LENGTH.size + length
        ]
        position += _RECORD_LENGTH.size + length
        if len(record) < length:
            return
        key_end = 1 + record[0] if record else 0
        key = record[1:key_end].decode(errors="replace")
        yield store.KeyedRecord(key, record[key_end:], offset)
        offset += 1
