"""HTTP client of an agent for its backend server.

Each request is sent at most once. httpx repeats a request only for transport retries
and redirects, which are off here, and its pool switches to another connection only
before the first byte is written.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import re

import attrs
import httpx

from burdockgate import clock, errors, messages

TASKS_PATH = "/tasks"
HEALTH_PATH = "/healthz"
# Connecting and waiting for a pooled connection together must end before the time-out
# of the task, so that a time-out before the send differs from one after it.
CONNECT_LIMIT_S = 1.0
CONNECT_SHARE = 1 / 3
# Common servers close a connection that is idle for 5 s. A request that is sent while
# the server closes its connection counts as "may have run", although nothing ran.
IDLE_LIMIT_S = 2.0
PROBE_LIMIT_S = 1.0
DETAIL_LIMIT_CHARS = 200
DETAIL_READ_BYTES = 1024
DETAIL_LIMIT_S = 0.2
PORT_LIMIT = 65535

_URL = re.compile(r"http://([\w.-]+|\[[0-9A-Fa-f:.]+\])(:[0-9]{1,5})?/?", re.ASCII)

# Errors that httpx raises only before the first byte of the request is written. A
# WriteError is not one of them, because a part of the request may have arrived.
_NOT_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


@attrs.frozen
class CallResult:
    """Result of one call.

    :param payload: JSON text of the result for ``DONE``, else one line of text.
    :param run_ms: duration of the call in ms.
    """

    state: messages.TaskState
    payload: bytes
    run_ms: float


class BackendClient:
    """Runs tasks on one backend server.

    :param url: ``http://host:port`` of the backend server, without a path.
    :param connections: largest number of connections; further calls wait.
    :param result_limit: largest size of a result in bytes.
    :param timer: clock for the run times; the system clock when ``None``.
    :raises errors.SettingsError: when the URL does not have this form.
    """

    def __init__(
        self,
        url: str,
        connections: int,
        result_limit: int,
        timer: clock.Clock | None = None,
    ) -> None:
        base = _base_url(url)
        # httpx logs each request at INFO, and a log line per task costs too much.
        logging.getLogger("httpx").setLevel(logging.WARNING)
        self._tasks_url = base.copy_with(path=TASKS_PATH)
        self._health_url = base.copy_with(path=HEALTH_PATH)
        self._result_limit = result_limit
        self._timer = timer or clock.SystemClock()
        self._host = base.netloc
        self._connections = connections
        self._pool = _Pool(connections)

    async def run(
        self, job: bytes, attempt: int, index: int, payload: bytes, timeout_ms: int
    ) -> CallResult:
        """Run a task and return its result; the request is sent at most once.

        The state is ``RETURNED`` when nothing was sent, ``FAILED`` when the backend
        server answered without a result, ``UNKNOWN`` when the time-out passed or the
        connection broke after the send, and ``OVERSIZE`` when the result exceeds the
        limit.

        :param job: 16-byte job id.
        :param payload: JSON text.
        :param timeout_ms: time limit of the whole call in ms, above 0.
        :raises asyncio.CancelledError: after the connection has been closed.
        """
        start = self._timer.now()
        limit_s = timeout_ms / 1000
        request = self._request(job, attempt, index, payload, limit_s)
        pool = self._pool
        pool.running += 1
        try:
            async with asyncio.timeout(limit_s) as limit:
                state, body = await self._call(pool.client, request, limit)
        except _NOT_SENT as error:
            state, body = messages.TaskState.RETURNED, _error_line("not sent", error)
            if isinstance(error, httpx.PoolTimeout):
                self._replace_pool(pool)
        except httpx.HTTPError as error:
            state, body = (
                messages.TaskState.UNKNOWN,
                _error_line("sent, no answer", error),
            )
        except TimeoutError:
            state = messages.TaskState.UNKNOWN
            body = b"sent, no answer within %d ms" % timeout_ms
        finally:
            pool.running -= 1
            if pool is not self._pool and not pool.running:
                await pool.client.aclose()
        return CallResult(state, body, (self._timer.now() - start) * 1000)

    async def probe(self) -> bool:
        """Return whether the backend server reports that it is healthy."""
        try:
            async with asyncio.timeout(PROBE_LIMIT_S):
                answer = await self._pool.client.get(self._health_url)
        except (httpx.HTTPError, TimeoutError):
            return False
        return answer.status_code == httpx.codes.OK

    async def close(self) -> None:
        """Close all connections; calls in progress end as ``UNKNOWN``."""
        await self._pool.client.aclose()

    def _replace_pool(self, pool: _Pool) -> None:
        """Replace a pool that has leaked a connection.

        httpx counts a connection as busy for ever when its call is cancelled just after
        the connection was opened. The leak is detected when a call gets no connection
        although no more calls run than the pool has connections.
        """
        if pool is self._pool and pool.running <= self._connections:
            self._pool = _Pool(self._connections)

    def _request(
        self, job: bytes, attempt: int, index: int, payload: bytes, limit_s: float
    ) -> httpx.Request:
        connect_s = min(CONNECT_LIMIT_S, limit_s * CONNECT_SHARE)
        return httpx.Request(
            "POST",
            self._tasks_url,
            headers=[
                (b"Host", self._host),
                (b"Content-Type", b"application/json"),
                (b"Burdockgate-Job", job.hex().encode()),
                (b"Burdockgate-Attempt", b"%d" % attempt),
                (b"Burdockgate-Task", b"%d" % index),
            ],
            content=payload,
            # Single reads and writes have no limits: each limit costs a timer, and the
            # one on the whole call covers them.
            extensions={"timeout": {"connect": connect_s, "pool": connect_s}},
        )

    async def _call(
        self, client: httpx.AsyncClient, request: httpx.Request, limit: asyncio.Timeout
    ) -> tuple[messages.TaskState, bytes]:
        response = await client.send(request, stream=True, auth=None)
        try:
            if response.status_code != httpx.codes.OK:
                # The state is known, and a slow error text must not change it.
                limit.reschedule(None)
                return messages.TaskState.FAILED, await _error_detail(response)
            body = await _read_body(response, self._result_limit)
        finally:
            await response.aclose()
        if body is None:
            text = b"result over the limit of %d bytes" % self._result_limit
            return messages.TaskState.OVERSIZE, text
        if not _is_json(body):
            return messages.TaskState.FAILED, b"answer 200: its body is not JSON"
        return messages.TaskState.DONE, body


class _Pool:
    """An httpx client and the number of task calls in progress on it."""

    def __init__(self, connections: int) -> None:
        self.running = 0
        self.client = httpx.AsyncClient(
            # Only http:// is allowed, so loading certificates is not needed.
            verify=False,
            # Proxies set in the environment must not be used for these calls.
            trust_env=False,
            follow_redirects=False,
            timeout=PROBE_LIMIT_S,
            limits=httpx.Limits(
                max_connections=connections,
                max_keepalive_connections=connections,
                keepalive_expiry=IDLE_LIMIT_S,
            ),
        )


def _base_url(url: str) -> httpx.URL:
    with contextlib.suppress(httpx.InvalidURL):
        if _URL.fullmatch(url) and (httpx.URL(url).port or 80) <= PORT_LIMIT:
            return httpx.URL(url)
    raise errors.SettingsError(
        [f"backend url: {url!r:.80}, allowed is http://host:port"]
    )


async def _read_body(response: httpx.Response, limit: int) -> bytes | None:
    """Return the body, or ``None`` as soon as it is known to exceed the limit."""
    declared = response.headers.get("content-length", "0")
    if int(declared) > limit:
        return None
    parts: list[bytes] = []
    size = 0
    async for part in response.aiter_raw():
        size += len(part)
        if size > limit:
            return None
        parts.append(part)
    return parts[0] if len(parts) == 1 else b"".join(parts)


async def _error_detail(response: httpx.Response) -> bytes:
    head = b""
    with contextlib.suppress(httpx.HTTPError, TimeoutError):
        async with asyncio.timeout(DETAIL_LIMIT_S):
            async for part in response.aiter_raw():
                head += part[:DETAIL_READ_BYTES]
                if len(head) >= DETAIL_READ_BYTES:
                    break
    lines = head.decode("utf-8", "replace").strip().splitlines() or [""]
    text = "".join(filter(str.isprintable, lines[0]))[:DETAIL_LIMIT_CHARS]
    return f"answer {response.status_code}: {text}".encode()


def _error_line(summary: str, error: Exception) -> bytes:
    lines = str(error).splitlines() or [""]
    text = f"{summary}: {type(error).__name__} {lines[0]}"
    return text.strip()[:DETAIL_LIMIT_CHARS].encode()


def _reject_constant(constant: str) -> None:
    raise ValueError(f"{constant} is not JSON")


# Numbers are not converted, because int() rejects more than 4,300 digits. NaN and
# Infinity, which Python's decoder accepts, are not JSON.
_DECODER = json.JSONDecoder(
    parse_int=len, parse_float=len, parse_constant=_reject_constant
)


def _is_json(body: bytes) -> bool:
    try:
        _DECODER.decode(body.decode())
    except (ValueError, RecursionError):
        return False
    return True
