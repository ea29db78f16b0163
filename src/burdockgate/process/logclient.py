"""Client of the log service of the platform.

It appends records with an id, so that a repeated append can be detected, reads them
and follows the end of a stream.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import json
import random
import re
from collections.abc import AsyncGenerator, Iterator
from typing import Any, TypeGuard

import attrs
import httpx

from burdockgate import errors, messages

BACKOFF_FIRST_S = 0.1
# A change must be in force 5 s after the end of an outage of the log. The longest
# pause plus one call that hangs until the default timeout is below that.
BACKOFF_LIMIT_S = 2.0
# Wait of a long poll. A silently broken connection is detected after it plus the
# timeout.
FOLLOW_WAIT_S = 2.0
APPEND_BUDGET_S = 10.0
TIMEOUT_S = 2.0
# Record ids kept to detect duplicates. This is about a day of changes, and a duplicate
# follows within seconds of the first append.
MAX_SEEN_IDS = 10_000
# The 4xx statuses that ask for a retry; any other one refuses the call for good.
_RETRY_STATUSES = (408, 425, 429)


class _UnsentError(Exception):
    """The call did not reach the log, or the log refused it for now."""


class _UnansweredError(Exception):
    """The call had no usable answer and may have taken effect."""


@attrs.define
class _Progress:
    """State of an append over its tries.

    :param may_be_accepted: whether a try without a usable answer may have taken effect.
    :param offset: offset that the answer to a try gave.
    :param failure: the last failure, in one line.
    """

    may_be_accepted: bool = False
    offset: int | None = None
    failure: str = "no answer in time"


class Backoff:
    """Exponential backoff with full jitter.

    :param rng: source of the jitter.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._failures = 0

    def reset(self) -> None:
        """Start again with the shortest pause."""
        self._failures = 0

    def pause_s(self) -> float:
        """Return the seconds to wait before the next try."""
        # The exponent is bounded, because a long outage would overflow a float.
        ceiling = BACKOFF_FIRST_S * 2 ** min(self._failures, 16)
        self._failures += 1
        return self._rng.uniform(0, min(BACKOFF_LIMIT_S, ceiling))


class LogClient:
    """Appends to and reads streams of the log service.

    :param url: base URL of the service, ``http://HOST:PORT``.
    :param rng: source of the jitter between tries.
    :param timeout_s: time limit of a call in seconds, besides the wait of a long poll.
    :raises errors.SettingsError: when the URL is not an HTTP or HTTPS URL.
    """

    def __init__(
        self, url: str, rng: random.Random, timeout_s: float = TIMEOUT_S
    ) -> None:
        if not re.fullmatch(r"https?://[^/\s?#]+/?", url):
            raise errors.SettingsError(
                [f"log URL {url!r}: allowed is http://HOST:PORT"]
            )
        try:
            # Proxies set in the environment must not be used for the log.
            self._http = httpx.AsyncClient(base_url=url, trust_env=False, timeout=None)
        except httpx.InvalidURL as error:
            raise errors.SettingsError([f"log URL {url!r}: {error}"]) from error
        self._url = url
        self._rng = rng
        self._timeout_s = timeout_s
        self.failures = 0

    async def __aenter__(self) -> LogClient:
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.close()

    async def close(self) -> None:
        """Close the connections to the service."""
        await self._http.aclose()

    async def append(
        self,
        stream: str,
        record_id: str,
        value: bytes,
        budget_s: float = APPEND_BUDGET_S,
        since: int = 0,
    ) -> int:
        """Append a record once and return its offset.

        When an answer is lost, the stream is searched for the record id before the next
        try. If the record was appended twice all the same, the offset is that of the
        first one, which is the one that readers use.

        :param record_id: unique id of the record, 1 to 128 visible ASCII characters.
        :param value: JSON text.
        :param budget_s: time limit over all tries, in seconds.
        :param since: offset at which the search starts; the stream must hold no record
            with this id before it.
        :raises errors.LogUnavailableError: when the time limit is reached or the log
            refuses the record; the text says whether the record may have been
            accepted.
        """
        progress = _Progress()
        try:
            async with asyncio.timeout(budget_s):
                return await self._append(stream, record_id, value, since, progress)
        except TimeoutError as error:
            raise errors.LogUnavailableError(
                f"log {self._url}: {progress.failure}; after {budget_s:g} s the record "
                f"{record_id} {_describe_acceptance(progress)}"
            ) from error

    async def _append(
        self,
        stream: str,
        record_id: str,
        value: bytes,
        since: int,
        progress: _Progress,
    ) -> int:
        body = b'{"id":%s,"value":%s}' % (json.dumps(record_id).encode(), value)
        backoff = Backoff(self._rng)
        while True:
            try:
                if progress.may_be_accepted:
                    found = await self._find(stream, record_id, since)
                    if found is not None:
                        return found
                if progress.offset is None:
                    progress.offset = await self._post(
                        stream, record_id, body, progress
                    )
                    # An earlier try may have taken effect too, so the first record of
                    # this id is searched for.
                    if progress.may_be_accepted:
                        continue
                return progress.offset
            except (_UnsentError, _UnansweredError) as error:
                self.failures += 1
                progress.failure = str(error)
                await asyncio.sleep(backoff.pause_s())

    async def _post(
        self, stream: str, record_id: str, body: bytes, progress: _Progress
    ) -> int:
        previously = progress.may_be_accepted
        progress.may_be_accepted = True
        try:
            answer = await self._call("POST", stream, self._timeout_s, content=body)
        except _UnsentError:
            progress.may_be_accepted = previously
            raise
        except errors.LogUnavailableError as error:
            progress.may_be_accepted = previously
            raise errors.LogUnavailableError(
                f"{error}; the record {record_id} {_describe_acceptance(progress)}"
            ) from error
        offset = answer.get("offset")
        if not _is_offset(offset):
            raise _UnansweredError("the answer has no offset")
        progress.may_be_accepted = previously
        return offset

    async def _find(self, stream: str, record_id: str, since: int) -> int | None:
        while True:
            records = await self._read(stream, since, 0)
            for record in records.records:
                if record.id == record_id:
                    return record.offset
            if not records.records:
                return None
            since = records.next

    async def read(
        self, stream: str, first: int, wait_s: float = 0.0
    ) -> messages.Records:
        """Read a page of records, starting at an offset.

        When the record at the offset has expired, the page starts at the oldest record
        that the log still holds, and its ``first`` is larger than the offset. The page
        is empty at the end of the stream.

        :param first: offset of the first record to read.
        :param wait_s: seconds to wait for a record, at most 30.
        :raises errors.LogUnavailableError: when the log cannot be reached or gives no
            valid answer.
        """
        try:
            return await self._read(stream, first, wait_s)
        except (_UnsentError, _UnansweredError) as error:
            self.failures += 1
            raise errors.LogUnavailableError(f"log {self._url}: {error}") from error

    async def follow(
        self, stream: str, first: int
    ) -> AsyncGenerator[messages.Records, None]:
        """Yield pages of records, starting at an offset, without end.

        An empty page is yielded when the end is reached and after each long poll
        without a new record, so that the caller knows that it has caught up. Records
        with an id that was already yielded are left out. When records have expired,
        ``first`` of a page is larger than ``next`` of the previous one.

        :param first: offset of the first record to read.
        """
        backoff = Backoff(self._rng)
        seen: collections.OrderedDict[str, None] = collections.OrderedDict()
        wait_s = 0.0
        while True:
            try:
                records = await self.read(stream, first, wait_s)
            except errors.LogUnavailableError:
                wait_s = 0.0
                await asyncio.sleep(backoff.pause_s())
                continue
            backoff.reset()
            new_records = tuple(_unseen(records.records, seen))
            yield attrs.evolve(records, records=new_records)
            # Long polls start at the end, so that reaching it yields an empty page.
            if records.next == records.first:
                wait_s = FOLLOW_WAIT_S
            first = records.next

    async def _read(self, stream: str, first: int, wait_s: float) -> messages.Records:
        params = {"from": str(first), "wait_s": f"{wait_s:g}"}
        timeout_s = self._timeout_s + wait_s
        answer = await self._call("GET", stream, timeout_s, params=params)
        try:
            records = tuple(map(_parse_record, answer["records"]))
            start, end = max(first, answer["first"]), answer["next"]
            valid = _is_offset(answer["first"]) and _is_offset(end)
        except (KeyError, TypeError, ValueError) as error:
            raise _UnansweredError("the answer is not a page of records") from error
        offsets = [record.offset for record in records]
        if not valid or offsets != sorted(set(offsets)):
            raise _UnansweredError("the answer is not a page of records")
        if end < start or (offsets and not start <= offsets[0] <= offsets[-1] < end):
            raise _UnansweredError(f"stream {stream} ends at {end}, wanted was {first}")
        return messages.Records(stream, start, end, records)

    async def _call(
        self, method: str, stream: str, timeout_s: float, **arguments: Any
    ) -> dict[str, Any]:
        path = f"/v1/streams/{stream}/records"
        with _translate_errors():
            async with asyncio.timeout(timeout_s):
                response = await self._http.request(method, path, **arguments)
        status = response.status_code
        if status in _RETRY_STATUSES:
            raise _UnsentError(f"status {status}")
        if 400 <= status < 500:
            line = " ".join(response.text.split())
            raise errors.LogUnavailableError(
                f"log {self._url}: refused with status {status}: {line:.200}"
            )
        try:
            # A load balancer can send a 5xx after the log has accepted the record.
            answer = response.json() if status in (200, 201) else None
        except ValueError:
            answer = None
        if not isinstance(answer, dict):
            raise _UnansweredError(f"status {status} and no usable answer")
        return answer


@contextlib.contextmanager
def _translate_errors() -> Iterator[None]:
    try:
        yield
    except httpx.ConnectError as error:
        raise _UnsentError(f"cannot connect: {error}") from error
    except httpx.HTTPError as error:
        line = f"{type(error).__name__} {error}".rstrip()
        raise _UnansweredError(line) from error
    except TimeoutError as error:
        raise _UnansweredError("no answer in time") from error


def _parse_record(entry: Any) -> messages.LogRecord:
    offset, record_id = entry["offset"], entry["id"]
    if not _is_offset(offset) or not isinstance(record_id, str):
        raise ValueError(offset)
    value = json.dumps(entry["value"], separators=(",", ":"))
    return messages.LogRecord(offset, record_id, value.encode())


def _unseen(
    records: tuple[messages.LogRecord, ...],
    seen: collections.OrderedDict[str, None],
) -> Iterator[messages.LogRecord]:
    for record in records:
        if record.id not in seen:
            seen[record.id] = None
            yield record
    while len(seen) > MAX_SEEN_IDS:
        seen.popitem(last=False)


def _is_offset(value: Any) -> TypeGuard[int]:
    return type(value) is int and value >= 0


def _describe_acceptance(progress: _Progress) -> str:
    if progress.offset is not None:
        return f"was accepted at or before offset {progress.offset}"
    if progress.may_be_accepted:
        return "may have been accepted"
    return "was not accepted"
