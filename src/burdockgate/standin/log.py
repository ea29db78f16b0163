"""Stand-in for the platform's log service: streams of JSON records over HTTP.

The records are kept in memory. Faults, set in the process or over HTTP, make the
service unavailable or slow, or lose the response to an append.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import enum
import itertools
import json
import re
from collections.abc import Iterator
from typing import Any, NoReturn

import attrs
import litestar
from litestar import exceptions, types
from litestar.response import base

from burdockgate import clock
from burdockgate.process import serving

BODY_LIMIT_BYTES = 1024 * 1024
WAIT_LIMIT_S = 30.0
DELAY_LIMIT_S = 60.0
PAGE_LIMIT_RECORDS = 500
# A full page fits in one frame between nodes, even with a record of maximum size.
PAGE_LIMIT_BYTES = 2 * 1024 * 1024
RETENTION_S = 3600.0
# Long polls end at once on a stop; this limits requests delayed by a fault.
STOP_TIMEOUT_S = 1.0

_Request = litestar.Request[Any, Any, Any]
_STREAM_NAME = re.compile(r"[a-z0-9_-]{1,64}")
_RECORD_ID = re.compile(r"[!-~]{1,128}")


class LostAnswer(enum.Enum):
    """What replaces the response to an append that took effect."""

    NO = "no"
    ERROR = "error"
    CUT = "cut"


@attrs.frozen
class Faults:
    """Faults of the log service.

    :param down: every request gets status 503 and has no effect.
    :param delay_s: delay of each request in seconds, before it takes effect.
    :param lose_answers: what replaces the response to an append.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_answers: LostAnswer = LostAnswer.NO


@attrs.frozen
class Record:
    """One record of a stream.

    :param value: JSON text.
    :param appended_s: time of the append by the store's clock, in seconds.
    """

    offset: int
    id: str
    value: str
    appended_s: float


@attrs.frozen
class Page:
    """Response to a read.

    :param first: offset of the oldest retained record.
    :param next: offset at which the next read continues.
    """

    first: int
    next: int
    records: tuple[Record, ...]

    def to_json(self) -> str:
        """Return the page as JSON text."""
        records = ",".join(
            f'{{"offset":{record.offset},"id":{json.dumps(record.id)},'
            f'"value":{record.value}}}'
            for record in self.records
        )
        return f'{{"first":{self.first},"next":{self.next},"records":[{records}]}}'


class Stream:
    """Records of one stream, oldest first.

    :param retention_s: seconds for which a record is retained.
    """

    def __init__(self, time: clock.Clock, retention_s: float) -> None:
        self._clock = time
        self._retention_s = retention_s
        self._records: collections.deque[Record] = collections.deque()
        self.next = 0

    def append(self, record_id: str, value: str) -> int:
        """Add a record, whose value is JSON text, and return its offset."""
        offset = self.next
        self._records.append(Record(offset, record_id, value, self._clock.now()))
        self.next += 1
        return offset

    def read_page(self, from_offset: int) -> Page:
        """Return the retained records from an offset onwards, up to the page limits."""
        oldest = self._clock.now() - self._retention_s
        while self._records and self._records[0].appended_s < oldest:
            self._records.popleft()
        first = self._records[0].offset if self._records else self.next
        start = max(from_offset, first)
        records = tuple(self._select_records(start))
        end = records[-1].offset + 1 if records else self.next
        return Page(first, end, records)

    def _select_records(self, start: int) -> Iterator[Record]:
        size = 0
        index = start - (self.next - len(self._records))
        end = min(len(self._records), index + PAGE_LIMIT_RECORDS)
        for record in itertools.islice(self._records, index, end):
            size += len(record.value)
            if size > PAGE_LIMIT_BYTES:
                return
            yield record


class LogStore:
    """Holds all streams and the faults, and wakes readers that wait for records.

    :param retention_s: seconds for which a record is retained.
    """

    def __init__(
        self, time: clock.Clock | None = None, retention_s: float = RETENTION_S
    ) -> None:
        self._clock = time or clock.SystemClock()
        self._retention_s = retention_s
        self._stream_by_name: dict[str, Stream] = {}
        self._changed = asyncio.Event()
        self._closed = False
        self.faults = Faults()

    def set_faults(self, faults: Faults) -> None:
        """Replace the faults and wake the waiting readers."""
        self.faults = faults
        self._wake_readers()

    def close(self) -> None:
        """Wake the waiting readers; later waits return at once."""
        self._closed = True
        self._wake_readers()

    def append(self, name: str, record_id: str, value: str) -> int:
        """Add a record, whose value is JSON text, and return its offset."""
        if name not in self._stream_by_name:
            self._stream_by_name[name] = Stream(self._clock, self._retention_s)
        offset = self._stream_by_name[name].append(record_id, value)
        self._wake_readers()
        return offset

    def read_page(self, name: str, from_offset: int) -> Page:
        """Return a page of a stream; a stream that does not exist is empty."""
        stream = self._stream_by_name.get(name)
        return stream.read_page(from_offset) if stream else Page(0, 0, ())

    async def wait_for_offset(self, name: str, offset: int, wait_s: float) -> None:
        """Wait until a stream has a record at an offset, or the log is down or closed.

        :param wait_s: maximum wait in seconds.
        """
        deadline = asyncio.get_running_loop().time() + wait_s
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(deadline):
                while not (
                    self._closed or self.faults.down or self._has_record(name, offset)
                ):
                    await self._changed.wait()

    def _has_record(self, name: str, offset: int) -> bool:
        stream = self._stream_by_name.get(name)
        return stream is not None and stream.next > offset

    def _wake_readers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


def _raise_http_error(status: int, message: str) -> NoReturn:
    raise exceptions.HTTPException(message, status_code=status)


async def _read_object(request: _Request) -> dict[str, Any]:
    try:
        body = json.loads(await request.body(), parse_constant=_reject_constant)
    except (ValueError, RecursionError):
        _raise_http_error(400, "body: allowed is one JSON object")
    if not isinstance(body, dict):
        _raise_http_error(
            400, f"body: {type(body).__name__}, allowed is one JSON object"
        )
    return body


def _reject_constant(name: str) -> NoReturn:
    raise ValueError(name)


def _parse_stream_name(request: _Request) -> str:
    name = str(request.path_params["name"])
    if not _STREAM_NAME.fullmatch(name):
        _raise_http_error(
            400, f"stream {name!r:.40}: allowed are 1 to 64 of a-z, 0-9, _ and -"
        )
    return name


def _parse_number(request: _Request, name: str, maximum: float) -> float:
    text = request.query_params.get(name, "0")
    try:
        number = float(text)
    except ValueError:
        number = -1.0
    if not 0 <= number <= maximum:
        _raise_http_error(400, f"{name}={text!r:.40}: allowed are 0 to {maximum:g}")
    return number


def _parse_offset(request: _Request) -> int:
    text = request.query_params.get("from", "0")
    if not re.fullmatch(r"[0-9]{1,18}", text):
        _raise_http_error(400, f"from={text!r:.40}: allowed is an offset of at least 0")
    return int(text)


async def _apply_faults(store: LogStore) -> None:
    await asyncio.sleep(store.faults.delay_s)
    if store.faults.down:
        _raise_http_error(503, "the log is down")


async def _cut_connection(
    scope: types.Scope, receive: types.Receive, send: types.Send
) -> None:
    # uvicorn closes the connection when the application returns before the response
    # is complete.
    await base.ASGIResponse(content_length=1).start_response(send)


@litestar.post("/v1/streams/{name:str}/records")
async def _append(request: _Request) -> types.ASGIApp:
    store: LogStore = request.app.state.store
    await _apply_faults(store)
    name, body = _parse_stream_name(request), await _read_object(request)
    record_id = body.get("id")
    if not isinstance(record_id, str) or not _RECORD_ID.fullmatch(record_id):
        _raise_http_error(
            400, f"id={record_id!r:.40}: allowed are 1 to 128 visible ASCII"
        )
    if "value" not in body:
        _raise_http_error(400, "value: missing, allowed is any JSON")
    try:
        value = json.dumps(body["value"], separators=(",", ":"), allow_nan=False)
    except (ValueError, RecursionError):
        _raise_http_error(400, "value: allowed is JSON with finite numbers")
    offset = store.append(name, record_id, value)
    if store.faults.lose_answers is LostAnswer.CUT:
        return _cut_connection
    if store.faults.lose_answers is LostAnswer.ERROR:
        _raise_http_error(500, "the response is lost")
    return _json_response(f'{{"offset":{offset}}}')


@litestar.get("/v1/streams/{name:str}/records")
async def _read(request: _Request) -> types.ASGIApp:
    store: LogStore = request.app.state.store
    await _apply_faults(store)
    name, from_offset = _parse_stream_name(request), _parse_offset(request)
    await store.wait_for_offset(
        name, from_offset, _parse_number(request, "wait_s", WAIT_LIMIT_S)
    )
    if store.faults.down:
        _raise_http_error(503, "the log is down")
    return _json_response(store.read_page(name, from_offset).to_json())


@litestar.get("/v1/faults")
async def _get_faults(request: _Request) -> types.ASGIApp:
    return _faults_response(request.app.state.store.faults)


@litestar.post("/v1/faults")
async def _set_faults(request: _Request) -> types.ASGIApp:
    store: LogStore = request.app.state.store
    body = await _read_object(request)
    for unknown in body.keys() - {"down", "delay_s", "lose_answers"}:
        _raise_http_error(
            400, f"{unknown!r:.40}: allowed are down, delay_s and lose_answers"
        )
    down, delay_s = body.get("down", False), body.get("delay_s", 0.0)
    if type(down) is not bool:
        _raise_http_error(400, f"down={down!r:.40}: allowed are true and false")
    if type(delay_s) not in (int, float) or not 0 <= delay_s <= DELAY_LIMIT_S:
        _raise_http_error(
            400, f"delay_s={delay_s!r:.40}: allowed are 0 to {DELAY_LIMIT_S:g}"
        )
    try:
        lost = LostAnswer(body.get("lose_answers", "no"))
    except ValueError:
        _raise_http_error(400, "lose_answers: allowed are no, error and cut")
    store.set_faults(Faults(down, float(delay_s), lost))
    return _faults_response(store.faults)


def _faults_response(faults: Faults) -> types.ASGIApp:
    body = attrs.asdict(faults) | {"lose_answers": faults.lose_answers.value}
    return _json_response(json.dumps(body))


def _json_response(text: str) -> types.ASGIApp:
    return base.ASGIResponse(body=text, media_type=litestar.MediaType.JSON)


def _error_response(_: _Request, error: Exception) -> litestar.Response[dict[str, str]]:
    status, message = 500, "internal error"
    if isinstance(error, exceptions.HTTPException):
        status, message = error.status_code, " ".join(error.detail.split())
    return litestar.Response({"error": message}, status_code=status)


def create_application(store: LogStore) -> litestar.Litestar:
    """Return an HTTP application that serves a store."""
    app = litestar.Litestar(
        [_append, _read, _get_faults, _set_faults],
        exception_handlers={Exception: _error_response},
        logging_config=None,
        openapi_config=None,
        request_max_body_size=BODY_LIMIT_BYTES,
    )
    app.state.store = store
    return app


class LogServer(serving.Server):
    """Serves a store over HTTP on the current event loop.

    :param store: holds the streams to serve.
    :param host: address to bind.
    :param port: TCP port; 0 lets the system choose.
    """

    def __init__(self, store: LogStore, host: str = "127.0.0.1", port: int = 0) -> None:
        super().__init__(create_application(store), host, port)
        self.store = store

    @property
    def url(self) -> str:
        """Base URL of the bound address."""
        return f"http://{self.address}"

    async def stop_now(self) -> None:
        """End all long polls and stop the server; the store keeps its records."""
        self.store.close()
        await self.stop(STOP_TIMEOUT_S)
