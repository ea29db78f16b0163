"""Client of the platform's log service: append with an id, read, follow."""

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
# A change must be in force 5 s after an outage of the log has ended. The longest
# pause plus one call that hangs for the default timeout stay below that.
BACKOFF_LIMIT_S = 2.0
# A connection that was cut silently is noticed after this wait plus the timeout.
FOLLOW_WAIT_S = 2.0
APPEND_BUDGET_S = 10.0
TIMEOUT_S = 2.0
# About a day of changes; a duplicate comes within seconds of the first append.
SEEN_LIMIT = 10_000
# The service refuses the call for good, unless it asks to try again.
_RETRY_STATUSES = (408, 425, 429)


class _UnsentError(Exception):
    """The call did not reach the log, or the log refused it for now."""


class _UnansweredError(Exception):
    """The call may have taken effect."""


@attrs.define
class _Progress:
    """What is known about an append.

    :param may_be_accepted: whether a call whose answer is not known can have taken
        effect.
    :param offset: offset from an answer to an append.
    :param failure: the last failure, in one line.
    """

    may_be_accepted: bool = False
    offset: int | None = None
    failure: str = "no answer in time"


class Backoff:
    """Exponential back-off with full jitter.

    :param rng: source of the jitter.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._failures = 0

    def reset(self) -> None:
        """Begin again with the shortest pause."""
        self._failures = 0

    def pause_s(self) -> float:
        """Return the seconds to wait before the next try."""
        # The exponent is bounded because a long outage would overflow a float.
        ceiling = BACKOFF_FIRST_S * 2 ** min(self._failures, 16)
        self._failures += 1
        return self._rng.uniform(0, min(BACKOFF_LIMIT_S, ceiling))


class LogClient:
    """Appends to and reads streams of the log service.

    :param url: base URL of the service, ``http://HOST:PORT``.
    :param rng: source of the jitter between tries.
    :param timeout_s: seconds for the answer to one call, besides a long poll's wait.
    :raises errors.SettingsError: when the URL is not one of HTTP or HTTPS.
    """

    def __init__(
        self, url: str, rng: random.Random, timeout_s: float = TIMEOUT_S
    ) -> None:
        if not re.fullmatch(r"https?://[^/\s?#]+/?", url):
            raise errors.SettingsError(
                [f"log URL {url!r}: allowed is http://HOST:PORT"]
            )
        try:
            # Proxies set in the environment are for other traffic.
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

        When an answer is lost, the stream is read back for the record id before
        the append is tried again. If the record landed twice, the offset is that
        of the first one, which is the one that readers use.

        :param record_id: id of the record, 1 to 128 visible ASCII characters,
            never used for another record.
        :param value: JSON text.
        :param budget_s: seconds after which to give up.
        :param since: offset from which to read back; the stream held no record
            with this id before it.
        :raises errors.LogUnavailableError: when the budget is used up or the log
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
                f"{record_id} {_verdict(progress)}"
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
                    # An earlier try can have landed as well, so the first is sought.
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
        before = progress.may_be_accepted
        progress.may_be_accepted = True
        try:
            answer = await self._call("POST", stream, self._timeout_s, content=body)
        except _UnsentError:
            progress.may_be_accepted = before
            raise
        except errors.LogUnavailableError as error:
            progress.may_be_accepted = before
            raise errors.LogUnavailableError(
                f"{error}; the record {record_id} {_verdict(progress)}"
            ) from error
        offset = answer.get("offset")
        if not _is_offset(offset):
            raise _UnansweredError("the answer has no offset")
        progress.may_be_accepted = before
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
        """Read records from an offset on, in one call.

        The result begins at the oldest kept record when the wanted one has
        expired; its ``first`` is then larger than the one asked for. It holds no
        records when the stream has no newer ones.

        :param first: offset of the first record wanted.
        :param wait_s: seconds to wait for a record, at most 30.
        :raises errors.LogUnavailableError: when the log cannot be reached or gives
            an answer that makes no sense.
        """
        try:
            return await self._read(stream, first, wait_s)
        except (_UnsentError, _UnansweredError) as error:
            self.failures += 1
            raise errors.LogUnavailableError(f"log {self._url}: {error}") from error

    async def follow(
        self, stream: str, first: int
    ) -> AsyncGenerator[messages.Records, None]:
        """Yield records from an offset on, for ever.

        An empty answer is yielded each time that the end is reached or a wait at the
        end was in vain, so that the caller knows that it has caught up. Records whose
        id came before are left out. When the wanted record has expired, ``first`` of
        the result is larger than ``next`` of the one before.

        :param first: offset of the first record wanted.
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
            fresh = tuple(_unseen(records.records, seen))
            yield attrs.evolve(records, records=fresh)
            # Without a wait until the end, so that it shows as an empty answer.
            if records.next == records.first:
                wait_s = FOLLOW_WAIT_S
            first = records.next

    async def _read(self, stream: str, first: int, wait_s: float) -> messages.Records:
        params = {"from": str(first), "wait_s": f"{wait_s:g}"}
        timeout_s = self._timeout_s + wait_s
        answer = await self._call("GET", stream, timeout_s, params=params)
        try:
            records = tuple(map(_record, answer["records"]))
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
        with _tagged():
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
            # A 5xx can come from a balancer after the log has taken the record.
            answer = response.json() if status in (200, 201) else None
        except ValueError:
            answer = None
        if not isinstance(answer, dict):
            raise _UnansweredError(f"status {status} and no usable answer")
        return answer


@contextlib.contextmanager
def _tagged() -> Iterator[None]:
    try:
        yield
    except httpx.ConnectError as error:
        raise _UnsentError(f"cannot connect: {error}") from error
    except httpx.HTTPError as error:
        line = f"{type(error).__name__} {error}".rstrip()
        raise _UnansweredError(line) from error
    except TimeoutError as error:
        raise _UnansweredError("no answer in time") from error


def _record(entry: Any) -> messages.LogRecord:
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
    while len(seen) > SEEN_LIMIT:
        seen.popitem(last=False)


def _is_offset(value: Any) -> TypeGuard[int]:
    return type(value) is int and value >= 0


def _verdict(progress: _Progress) -> str:
    if progress.offset is not None:
        return f"was accepted at or before offset {progress.offset}"
    if progress.may_be_accepted:
        return "may have been accepted"
    return "was not accepted"
