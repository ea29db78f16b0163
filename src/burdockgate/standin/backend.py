"""Stand-in of a backend server: runs tasks over HTTP and records their starts.

The application is a plain ASGI function, because a framework's routing would
cost more than the task itself under load.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import urllib.parse
from collections.abc import Awaitable, Callable
from typing import Any, BinaryIO

import attrs
from uvicorn.protocols.http import h11_impl

from burdockgate import clock, codes, errors
from burdockgate.process import serving

BODY_LIMIT_BYTES = 4 * 1024 * 1024
JOB_BYTES = 16

_Scope = dict[str, Any]
_Receive = Callable[[], Awaitable[dict[str, Any]]]
_Send = Callable[[dict[str, Any]], Awaitable[None]]


@attrs.frozen
class Start:
    """One task that the server was asked to run.

    :param job: 16-byte job id.
    :param sequence: counts the starts of this server, from 0.
    :param at: time of the start in seconds, by the server's clock.
    :param payload: JSON text.
    """

    job: bytes
    attempt: int
    index: int
    sequence: int
    at: float
    payload: bytes


@attrs.frozen
class Faults:
    """Faults that a test switches on.

    :param down: answer 503 to tasks and to the health check; starts nothing.
    :param slow_factor: multiplies each ``sleep_ms``, at least 0.
    :param fail_all: answer 500 to each task after its run time.
    :param hang_all: answer no task.
    """

    down: bool = False
    slow_factor: float = 1.0
    fail_all: bool = False
    hang_all: bool = False


@attrs.frozen
class _Controls:
    """What a payload asks the stand-in to do."""

    sleep_ms: float = 0.0
    fail: bool = False
    hang: bool = False
    result_bytes: int = 0
    cut: bool = False


_NO_CONTROLS = _Controls()


class BackendServer(serving.Server):
    """Serves ``/tasks``, ``/healthz``, ``/v1/starts`` and ``/v1/faults``.

    :param name: name that the results carry.
    :param host: address to bind.
    :param port: TCP port to bind; 0 lets the system choose.
    :param clock: source of the times of the starts.
    :param record: file to which each start is added as one line; starts in it
        outlive a process that is killed. ``None`` for none.
    :raises errors.SettingsError: when the file cannot be opened.

    ``stopped_count`` is the number of tasks whose caller closed the connection during
    the run.
    """

    def __init__(
        self,
        name: str,
        host: str,
        port: int,
        clock: clock.Clock,
        record: str | None = None,
    ) -> None:
        super().__init__(self._application, host, port, _Protocol)
        self.name = name
        self._record = None if record is None else _open(record)
        self.starts: list[Start] = []
        self.stopped_count = 0
        self.faults = Faults()
        self._clock = clock
        self._tail = b',"server":' + json.dumps(name).encode()

    async def _application(self, scope: _Scope, receive: _Receive, send: _Send) -> None:
        try:
            if scope["path"] == "/tasks" and scope["method"] == "POST":
                await self._run_task(scope, receive, send)
            else:
                await self._serve_other(scope, receive, send)
        except errors.RequestError as error:
            await _answer(send, 400, error.detail.encode(), b"text/plain")
        except asyncio.CancelledError:
            # Only stop() cancels a request, after it has cut the connection.
            if self._server is None or not self._server.should_exit:
                raise

    async def _run_task(self, scope: _Scope, receive: _Receive, send: _Send) -> None:
        payload = await _read_body(receive)
        if self.faults.down:
            await _answer(send, 503, b"down", b"text/plain")
            return
        job, attempt, index = _task_headers(scope["headers"])
        controls = _controls(payload)
        start = Start(job, attempt, index, len(self.starts), self._clock.now(), payload)
        self.starts.append(start)
        if self._record is not None:
            self._record.write(_line(start) + b"\n")
        if controls.cut:
            scope["state"]["transport"].close()
        if controls.cut or controls.hang or self.faults.hang_all:
            await _wait_for_disconnect(receive)
            return
        if controls.sleep_ms:
            seconds = controls.sleep_ms * self.faults.slow_factor / 1000
            if await _is_cut(scope["state"]["lost"], seconds):
                self.stopped_count += 1
                return
        if controls.fail or self.faults.fail_all:
            await _answer(send, 500, b"the task failed as asked", b"text/plain")
            return
        await _answer(
            send, 200, self._result(index, payload, int(controls.result_bytes))
        )

    def _result(self, index: int, payload: bytes, size: int) -> bytes:
        result = b'{"task":%d,"echo":%b%b}' % (index, payload, self._tail)
        padding = size - len(result) - len(b',"pad":""')
        if padding > 0:
            return result[:-1] + b',"pad":"' + b"x" * padding + b'"}'
        return result

    async def _serve_other(self, scope: _Scope, receive: _Receive, send: _Send) -> None:
        route = (scope["method"], scope["path"])
        if route == ("GET", "/healthz"):
            status, text = (503, b"down") if self.faults.down else (200, b"ok")
            await _answer(send, status, text, b"text/plain")
        elif route == ("GET", "/v1/starts"):
            await _answer(send, 200, self._listing(scope["query_string"]))
        elif route == ("POST", "/v1/faults"):
            self.faults = _faults(await _read_body(receive))
            await _answer(send, 200, json.dumps(attrs.asdict(self.faults)).encode())
        else:
            await _answer(send, 404, b"no such path", b"text/plain")

    def _listing(self, query: bytes) -> bytes:
        text = urllib.parse.parse_qs(query.decode("latin-1")).get("from", ["0"])[0]
        if not (text.isascii() and text.isdigit()):
            raise _bad(f"from: {text!r:.40} is not a sequence number")
        entries = (_line(start) for start in self.starts[int(text) :])
        return b"[" + b",".join(entries) + b"]"


class _Protocol(h11_impl.H11Protocol):
    """Gives the application the transport, which ``cut`` closes, and its loss.

    ASGI itself has no way to close a connection without an answer, and a task that
    waits for the event of a disconnect would cost more than the run itself.
    """

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        super().connection_made(transport)
        self._lost = asyncio.Event()
        self.app_state = {
            **self.app_state,
            "transport": transport,
            "lost": self._lost,
        }

    def connection_lost(self, exc: Exception | None) -> None:
        self._lost.set()
        super().connection_lost(exc)


async def _is_cut(lost: asyncio.Event, seconds: float) -> bool:
    """Wait for a run time, and return whether the caller has gone before its end."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await lost.wait()
    return lost.is_set()


async def _read_body(receive: _Receive) -> bytes:
    parts: list[bytes] = []
    size = 0
    more = True
    while more:
        event = await receive()
        if event["type"] == "http.disconnect":
            raise _bad("body: the connection closed before its end")
        parts.append(event.get("body", b""))
        size += len(parts[-1])
        if size > BODY_LIMIT_BYTES:
            raise _bad(f"body: over the limit of {BODY_LIMIT_BYTES} bytes")
        more = event.get("more_body", False)
    return parts[0] if len(parts) == 1 else b"".join(parts)


async def _wait_for_disconnect(receive: _Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass


async def _answer(
    send: _Send, status: int, body: bytes, kind: bytes = b"application/json"
) -> None:
    headers = [(b"content-type", kind), (b"content-length", b"%d" % len(body))]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})


def _bad(detail: str) -> errors.RequestError:
    return errors.RequestError(codes.Code.INVALID_REQUEST, detail)


def _task_headers(headers: list[tuple[bytes, bytes]]) -> tuple[bytes, int, int]:
    value_by_name = dict(headers)
    try:
        job = bytes.fromhex(value_by_name[b"burdockgate-job"].decode("ascii"))
        attempt = int(value_by_name[b"burdockgate-attempt"])
        index = int(value_by_name[b"burdockgate-task"])
    except (KeyError, ValueError) as error:
        raise _bad(f"headers of the task: {error}") from error
    if len(job) != JOB_BYTES or attempt < 1 or index < 0:
        raise _bad(
            f"headers of the task: job of {len(job)} bytes, attempt {attempt}, "
            f"task {index}; allowed are {JOB_BYTES} bytes, from 1, from 0"
        )
    return job, attempt, index


def _open(path: str) -> BinaryIO:
    try:
        # Unbuffered: what was written is in the file when the process is killed.
        return open(path, "ab", buffering=0)
    except OSError as error:
        raise errors.SettingsError([f"--record: {path}: {error.strerror}"]) from None


def _line(start: Start) -> bytes:
    head = b'{"job":"%b","attempt":%d,"task":%d,"sequence":%d,"at":%b,"payload":%b}'
    return head % (
        start.job.hex().encode(),
        start.attempt,
        start.index,
        start.sequence,
        repr(start.at).encode(),
        start.payload,
    )


def _json(body: bytes) -> Any:
    try:
        return json.loads(body.decode())
    except (ValueError, RecursionError) as error:
        raise _bad(f"body: not JSON: {error}") from error


def _controls(payload: bytes) -> _Controls:
    value = _json(payload)
    if not isinstance(value, dict):
        return _NO_CONTROLS
    known = {field.name for field in attrs.fields(_Controls)} & value.keys()
    if not known:
        return _NO_CONTROLS
    controls = _Controls(**{name: value[name] for name in known})
    _check_number("sleep_ms", controls.sleep_ms)
    _check_number("result_bytes", controls.result_bytes)
    return controls


def _faults(body: bytes) -> Faults:
    value = _json(body)
    allowed = [field.name for field in attrs.fields(Faults)]
    if not isinstance(value, dict) or not value.keys() <= set(allowed):
        raise _bad(f"faults: {value!r:.80}, allowed is an object of {allowed}")
    faults = Faults(**value)
    _check_number("slow_factor", faults.slow_factor)
    return faults


def _check_number(name: str, value: object) -> None:
    if (
        isinstance(value, bool)
        or not isinstance(value, int | float)
        or not 0 <= value < math.inf
    ):
        raise _bad(f"{name}: {value!r:.40}, allowed is a number of at least 0")
