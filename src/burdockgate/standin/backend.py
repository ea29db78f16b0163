"""Stand-in for a backend server: runs tasks over HTTP and records their starts.

The application is a plain ASGI function, because under load the routing of a
framework would cost more than the tasks.
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
JOB_ID_BYTES = 16

_Scope = dict[str, Any]
_Receive = Callable[[], Awaitable[dict[str, Any]]]
_Send = Callable[[dict[str, Any]], Awaitable[None]]


@attrs.frozen
class Start:
    """The start of a task.

    :param job: 16-byte job id.
    :param sequence: number of the start on this server, from 0.
    :param at: time of the start by the server's clock, in seconds.
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
    """Faults to inject.

    :param down: tasks and the health check get status 503, and no task starts.
    :param slow_factor: factor for each ``sleep_ms``, at least 0.
    :param fail_all: each task gets status 500 after its run time.
    :param hang_all: no task gets a response.
    """

    down: bool = False
    slow_factor: float = 1.0
    fail_all: bool = False
    hang_all: bool = False


@attrs.frozen
class _Controls:
    """Fields of a payload that control the run of its task.

    :param sleep_ms: run time.
    :param fail: respond with status 500 after the run time.
    :param hang: send no response.
    :param result_bytes: size to which the result is padded.
    :param cut: close the connection without a response.
    """

    sleep_ms: float = 0.0
    fail: bool = False
    hang: bool = False
    result_bytes: int = 0
    cut: bool = False


_NO_CONTROLS = _Controls()


class BackendServer(serving.Server):
    """Serves ``/tasks``, ``/healthz``, ``/v1/starts`` and ``/v1/faults``.

    :param name: name of the server in the results.
    :param host: address to bind.
    :param port: TCP port to bind; 0 lets the system choose.
    :param clock: clock for the times of the starts.
    :param record: file to which each start is appended as one JSON line, so that
        the starts survive a kill of the process; ``None`` for no file.
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
        super().__init__(self._application, host, port, _TransportProtocol)
        self.name = name
        self._record = None if record is None else _open_record(record)
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
                await self._handle_other(scope, receive, send)
        except errors.RequestError as error:
            await _send_response(send, 400, error.detail.encode(), b"text/plain")
        except asyncio.CancelledError:
            # Only stop() cancels requests, after it has closed their connections.
            if self._server is None or not self._server.should_exit:
                raise

    async def _run_task(self, scope: _Scope, receive: _Receive, send: _Send) -> None:
        payload = await _read_body(receive)
        if self.faults.down:
            await _send_response(send, 503, b"down", b"text/plain")
            return
        job, attempt, index = _parse_task_headers(scope["headers"])
        controls = _parse_controls(payload)
        start = Start(job, attempt, index, len(self.starts), self._clock.now(), payload)
        self.starts.append(start)
        if self._record is not None:
            self._record.write(_encode_start(start) + b"\n")
        if controls.cut:
            scope["state"]["transport"].close()
        if controls.cut or controls.hang or self.faults.hang_all:
            await _wait_for_disconnect(receive)
            return
        if controls.sleep_ms:
            run_time_s = controls.sleep_ms * self.faults.slow_factor / 1000
            if await _wait_for_loss(scope["state"]["lost"], run_time_s):
                self.stopped_count += 1
                return
        if controls.fail or self.faults.fail_all:
            await _send_response(send, 500, b"the task failed as asked", b"text/plain")
            return
        await _send_response(
            send, 200, self._encode_result(index, payload, int(controls.result_bytes))
        )

    def _encode_result(self, index: int, payload: bytes, size: int) -> bytes:
        result = b'{"task":%d,"echo":%b%b}' % (index, payload, self._tail)
        padding = size - len(result) - len(b',"pad":""')
        if padding > 0:
            return result[:-1] + b',"pad":"' + b"x" * padding + b'"}'
        return result

    async def _handle_other(
        self, scope: _Scope, receive: _Receive, send: _Send
    ) -> None:
        route = (scope["method"], scope["path"])
        if route == ("GET", "/healthz"):
            status, text = (503, b"down") if self.faults.down else (200, b"ok")
            await _send_response(send, status, text, b"text/plain")
        elif route == ("GET", "/v1/starts"):
            await _send_response(send, 200, self._encode_starts(scope["query_string"]))
        elif route == ("POST", "/v1/faults"):
            self.faults = _parse_faults(await _read_body(receive))
            await _send_response(
                send, 200, json.dumps(attrs.asdict(self.faults)).encode()
            )
        else:
            await _send_response(send, 404, b"no such path", b"text/plain")

    def _encode_starts(self, query: bytes) -> bytes:
        text = urllib.parse.parse_qs(query.decode("latin-1")).get("from", ["0"])[0]
        if not (text.isascii() and text.isdigit()):
            raise _invalid_request(f"from: {text!r:.40} is not a sequence number")
        entries = (_encode_start(start) for start in self.starts[int(text) :])
        return b"[" + b",".join(entries) + b"]"


class _TransportProtocol(h11_impl.H11Protocol):
    """Passes the transport, and an event for its loss, to the application.

    ASGI can't close a connection without a response, which ``cut`` needs. Waiting for
    ``http.disconnect`` in an asyncio task would cost more than the run itself.
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


async def _wait_for_loss(connection_lost: asyncio.Event, timeout_s: float) -> bool:
    """Wait for a run time; return whether the caller disconnected before its end."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            await connection_lost.wait()
    return connection_lost.is_set()


async def _read_body(receive: _Receive) -> bytes:
    parts: list[bytes] = []
    size = 0
    more = True
    while more:
        event = await receive()
        if event["type"] == "http.disconnect":
            raise _invalid_request(
                "body: the connection closed before the end of the body"
            )
        parts.append(event.get("body", b""))
        size += len(parts[-1])
        if size > BODY_LIMIT_BYTES:
            raise _invalid_request(f"body: over the limit of {BODY_LIMIT_BYTES} bytes")
        more = event.get("more_body", False)
    return parts[0] if len(parts) == 1 else b"".join(parts)


async def _wait_for_disconnect(receive: _Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass


async def _send_response(
    send: _Send, status: int, body: bytes, content_type: bytes = b"application/json"
) -> None:
    headers = [(b"content-type", content_type), (b"content-length", b"%d" % len(body))]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})


def _invalid_request(detail: str) -> errors.RequestError:
    return errors.RequestError(codes.Code.INVALID_REQUEST, detail)


def _parse_task_headers(headers: list[tuple[bytes, bytes]]) -> tuple[bytes, int, int]:
    value_by_name = dict(headers)
    try:
        job = bytes.fromhex(value_by_name[b"burdockgate-job"].decode("ascii"))
        attempt = int(value_by_name[b"burdockgate-attempt"])
        index = int(value_by_name[b"burdockgate-task"])
    except (KeyError, ValueError) as error:
        raise _invalid_request(f"task headers: {error}") from error
    if len(job) != JOB_ID_BYTES or attempt < 1 or index < 0:
        raise _invalid_request(
            f"task headers: job of {len(job)} bytes, attempt {attempt}, "
            f"task {index}; allowed are {JOB_ID_BYTES} bytes, from 1, from 0"
        )
    return job, attempt, index


def _open_record(path: str) -> BinaryIO:
    try:
        # Unbuffered, so that written starts survive a kill of the process.
        return open(path, "ab", buffering=0)
    except OSError as error:
        raise errors.SettingsError([f"--record: {path}: {error.strerror}"]) from None


def _encode_start(start: Start) -> bytes:
    head = b'{"job":"%b","attempt":%d,"task":%d,"sequence":%d,"at":%b,"payload":%b}'
    return head % (
        start.job.hex().encode(),
        start.attempt,
        start.index,
        start.sequence,
        repr(start.at).encode(),
        start.payload,
    )


def _parse_json(body: bytes) -> Any:
    try:
        return json.loads(body.decode())
    except (ValueError, RecursionError) as error:
        raise _invalid_request(f"body: not JSON: {error}") from error


def _parse_controls(payload: bytes) -> _Controls:
    value = _parse_json(payload)
    if not isinstance(value, dict):
        return _NO_CONTROLS
    known = {field.name for field in attrs.fields(_Controls)} & value.keys()
    if not known:
        return _NO_CONTROLS
    controls = _Controls(**{name: value[name] for name in known})
    _check_number("sleep_ms", controls.sleep_ms)
    _check_number("result_bytes", controls.result_bytes)
    return controls


def _parse_faults(body: bytes) -> Faults:
    value = _parse_json(body)
    allowed = [field.name for field in attrs.fields(Faults)]
    if not isinstance(value, dict) or not value.keys() <= set(allowed):
        raise _invalid_request(
            f"faults: {value!r:.80}, allowed is an object of {allowed}"
        )
    faults = Faults(**value)
    _check_number("slow_factor", faults.slow_factor)
    return faults


def _check_number(name: str, value: object) -> None:
    if (
        isinstance(value, bool)
        or not isinstance(value, int | float)
        or not 0 <= value < math.inf
    ):
        raise _invalid_request(
            f"{name}: {value!r:.40}, allowed is a number of at least 0"
        )
