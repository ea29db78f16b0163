"""Stand-in of the platform's log service: streams of records over HTTP and JSON.

The streams live in memory. Faults can be set in process or over HTTP, so that
tests meet a log that is down, slow, or loses the answer to an append.
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
# With the largest record, a page of records still fits in a frame between nodes.
PAGE_LIMIT_BYTES = 2 * 1024 * 1024
RETENTION_S = 3600.0
# A stop ends the long polls at once; this bounds calls delayed by a fault.
STOP_TIMEOUT_S = 1.0

_Request = litestar.Request[Any, Any, Any]
_STREAM_NAME = re.compile(r"[a-z0-9_-]{1,64}")
_RECORD_ID = re.compile(r"[!-~]{1,128}")


class LostAnswer(enum.Enum):
    """What the writer gets instead of the answer to an append that took effect."""

    NO = "no"
    ERROR = "error"
    CUT = "cut"


@attrs.frozen
class Faults:
    """Faults of the log service.

    :param down: every call is answered with 503 and has no effect.
    :param delay_s: seconds before a call takes effect.
    :param lose_answers: what replaces the answer to an append.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_answers: LostAnswer = LostAnswer.NO


@attrs.frozen
class Record:
    """One record of a stream.

    :param value: the JSON text of the value.
    :param appended_s: time of the append on the store's clock, in seconds.
    """

    offset: int
    id: str
    value: str
    appended_s: float


@attrs.frozen
class Page:
    """Answer to a read.

    :param first: offset of the oldest record kept.
    :param next: offset from which to read on.
    """

    first: int
    next: int
    records: tuple[Record, ...]

    def text(self) -> str:
        """Return the page as JSON text."""
        records = ",".join(
            f'{{"offset":{record.offset},"id":{json.dumps(record.id)},'
            f'"value":{record.value}}}'
            for record in self.records
        )
        return f'{{"first":{self.first},"next":{self.next},"records":[{records}]}}'


class Stream:
    """Records of one stream, oldest first.

    :param retention_s: seconds for which a record is kept.
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

    def read_page(self, wanted: int) -> Page:
        """Return the kept records from an offset on, as many as a page holds."""
        oldest = self._clock.now() - self._retention_s
        while self._records and self._records[0].appended_s < oldest:
            self._records.popleft()
        first = self._records[0].offset if self._records else self.next
        start = max(wanted, first)
        records = tuple(self._cut(start))
        end = records[-1].offset + 1 if records else self.next
        return Page(first, end, records)

    def _cut(self, start: int) -> Iterator[Record]:
        size = 0
        index = start - (self.next - len(self._records))
        end = min(len(self._records), index + PAGE_LIMIT_RECORDS)
        for record in itertools.islice(self._records, index, end):
            size += len(record.value)
            if size > PAGE_LIMIT_BYTES:
                return
            yield record


class LogStore:
    """All streams, the faults, and the readers that wait for records.

    :param retention_s: seconds for which a record is kept.
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
        """Replace the faults; readers that wait notice it at once."""
        self.faults = faults
        self._wake()

    def close(self) -> None:
        """End every wait of a reader, now and from now on."""
        self._closed = True
        self._wake()

    def append(self, name: str, record_id: str, value: str) -> int:
        """Add a record, whose value is JSON text, and return its offset."""
        if name not in self._stream_by_name:
            self._stream_by_name[name] = Stream(self._clock, self._retention_s)
        offset = self._stream_by_name[name].append(record_id, value)
        self._wake()
        return offset

    def read_page(self, name: str, wanted: int) -> Page:
        """Return kept records of a stream; one that does not exist is empty."""
        stream = self._stream_by_name.get(name)
        return stream.read_page(wanted) if stream else Page(0, 0, ())

    async def wait_for_offset(self, name: str, wanted: int, wait_s: float) -> None:
        """Wait until a stream has the wanted offset, the log goes down or closes.

        :param wait_s: longest wait in seconds.
        """
        deadline = asyncio.get_running_loop().time() + wait_s
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(deadline):
                while not (self._closed or self.faults.down or self._has(name, wanted)):
                    await self._changed.wait()

    def _has(self, name: str, wanted: int) -> bool:
        stream = self._stream_by_name.get(name)
        return stream is not None and stream.next > wanted

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


def _fail(status: int, line: str) -> NoReturn:
    raise exceptions.HTTPException(line, status_code=status)


async def _object(request: _Request) -> dict[str, Any]:
    try:
        body = json.loads(await request.body(), parse_constant=_refuse_constant)
    except (ValueError, RecursionError):
        _fail(400, "body: allowed is one JSON object")
    if not isinstance(body, dict):
        _fail(400, f"body: {type(body).__name__}, allowed is one JSON object")
    return body


def _refuse_constant(name: str) -> NoReturn:
    raise ValueError(name)


def _stream_name(request: _Request) -> str:
    name = str(request.path_params["name"])
    if not _STREAM_NAME.fullmatch(name):
        _fail(400, f"stream {name!r:.40}: allowed are 1 to 64 of a-z, 0-9, _ and -")
    return name


def _number(request: _Request, name: str, high: float) -> float:
    text = request.query_params.get(name, "0")
    try:
        number = float(text)
    except ValueError:
        number = -1.0
    if not 0 <= number <= high:
        _fail(400, f"{name}={text!r:.40}: allowed are 0 to {high:g}")
    return number


def _offset(request: _Request) -> int:
    text = request.query_params.get("from", "0")
    if not re.fullmatch(r"[0-9]{1,18}", text):
        _fail(400, f"from={text!r:.40}: allowed is an offset of at least 0")
    return int(text)


async def _enter(store: LogStore) -> None:
    await asyncio.sleep(store.faults.delay_s)
    if store.faults.down:
        _fail(503, "the log is down")


async def _cut_connection(
    scope: types.Scope, receive: types.Receive, send: types.Send
) -> None:
    # uvicorn closes a connection whose application ends before its answer does.
    await base.ASGIResponse(content_length=1).start_response(send)


@litestar.post("/v1/streams/{name:str}/records")
async def _append(request: _Request) -> types.ASGIApp:
    store: LogStore = request.app.state.store
    await _enter(store)
    name, body = _stream_name(request), await _object(request)
    record_id = body.get("id")
    if not isinstance(record_id, str) or not _RECORD_ID.fullmatch(record_id):
        _fail(400, f"id={record_id!r:.40}: allowed are 1 to 128 visible ASCII")
    if "value" not in body:
        _fail(400, "value: missing, allowed is any JSON")
    try:
        value = json.dumps(body["value"], separators=(",", ":"), allow_nan=False)
    except (ValueError, RecursionError):
        _fail(400, "value: allowed is JSON with finite numbers")
    offset = store.append(name, record_id, value)
    if store.faults.lose_answers is LostAnswer.CUT:
        return _cut_connection
    if store.faults.lose_answers is LostAnswer.ERROR:
        _fail(500, "the answer is lost")
    return _json(f'{{"offset":{offset}}}')


@litestar.get("/v1/streams/{name:str}/records")
async def _read(request: _Request) -> types.ASGIApp:
    store: LogStore = request.app.state.store
    await _enter(store)
    name, wanted = _stream_name(request), _offset(request)
    await store.wait_for_offset(name, wanted, _number(request, "wait_s", WAIT_LIMIT_S))
    if store.faults.down:
        _fail(503, "the log is down")
    return _json(store.read_page(name, wanted).text())


@litestar.get("/v1/faults")
async def _show_faults(request: _Request) -> types.ASGIApp:
    return _faults_json(request.app.state.store.faults)


@litestar.post("/v1/faults")
async def _set_faults(request: _Request) -> types.ASGIApp:
    store: LogStore = request.app.state.store
    body = await _object(request)
    for unknown in body.keys() - {"down", "delay_s", "lose_answers"}:
        _fail(400, f"{unknown!r:.40}: allowed are down, delay_s and lose_answers")
    down, delay_s = body.get("down", False), body.get("delay_s", 0.0)
    if type(down) is not bool:
        _fail(400, f"down={down!r:.40}: allowed are true and false")
    if type(delay_s) not in (int, float) or not 0 <= delay_s <= DELAY_LIMIT_S:
        _fail(400, f"delay_s={delay_s!r:.40}: allowed are 0 to {DELAY_LIMIT_S:g}")
    try:
        lost = LostAnswer(body.get("lose_answers", "no"))
    except ValueError:
        _fail(400, "lose_answers: allowed are no, error and cut")
    store.set_faults(Faults(down, float(delay_s), lost))
    return _faults_json(store.faults)


def _faults_json(faults: Faults) -> types.ASGIApp:
    body = attrs.asdict(faults) | {"lose_answers": faults.lose_answers.value}
    return _json(json.dumps(body))


def _json(text: str) -> types.ASGIApp:
    return base.ASGIResponse(body=text, media_type=litestar.MediaType.JSON)


def _answer_error(_: _Request, error: Exception) -> litestar.Response[dict[str, str]]:
    status, line = 500, "internal error"
    if isinstance(error, exceptions.HTTPException):
        status, line = error.status_code, " ".join(error.detail.split())
    return litestar.Response({"error": line}, status_code=status)


def application(store: LogStore) -> litestar.Litestar:
    """Return the HTTP application over a store."""
    app = litestar.Litestar(
        [_append, _read, _show_faults, _set_faults],
        exception_handlers={Exception: _answer_error},
        logging_config=None,
        openapi_config=None,
        request_max_body_size=BODY_LIMIT_BYTES,
    )
    app.state.store = store
    return app


class LogServer(serving.Server):
    """Serves a store over HTTP on the current event loop.

    :param store: the streams to serve.
    :param host: address to bind.
    :param port: TCP port; 0 takes any free one.
    """

    def __init__(self, store: LogStore, host: str = "127.0.0.1", port: int = 0) -> None:
        super().__init__(application(store), host, port)
        self.store = store

    @property
    def url(self) -> str:
        """Base URL of the bound address."""
        return f"http://{self.address}"

    async def stop_now(self) -> None:
        """End every long poll and stop; the store keeps its records."""
        self.store.close()
        await self.stop(STOP_TIMEOUT_S)
