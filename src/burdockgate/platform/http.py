"""HTTP client for the platform's store and worker.

An agent sends its worker 40 commands a second on a fraction of a core, and a call
through httpx takes 2 ms of that. This client parses with httptools, pools connections,
and tells requests that were not sent from those that may have been carried out.
"""

from __future__ import annotations

import asyncio
import collections
import socket
from collections.abc import Callable, Mapping
from typing import cast
from urllib import parse

import attrs
import httptools

from burdockgate import errors

CONNECT_TIMEOUT_S = 0.5
# A host that lost power acknowledges nothing; by default the kernel closes the
# connection only after minutes.
USER_TIMEOUT_MS = 1500
# The store returns at most 1 MB for a read.
MAX_BODY_BYTES = 8 * 1024 * 1024
# Longest time for a whole response that arrives in parts.
MAX_TRANSFER_S = 30.0


@attrs.frozen
class Response:
    """The response to a request."""

    status: int
    body: bytes


class _Connection(asyncio.Protocol):
    """A connection to the server; it carries one request at a time."""

    def __init__(self) -> None:
        self.is_closed = False
        self._transport: asyncio.Transport | None = None
        self._response: asyncio.Future[Response] | None = None
        # Called for each received part of a response.
        self.on_progress: Callable[[], None] | None = None
        self._reset()

    def _reset(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._body = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket's options; called by asyncio."""
        self._transport = cast(asyncio.Transport, transport)
        connection = cast(socket.socket, transport.get_extra_info("socket"))
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
        )

    def send(self, request: bytes) -> asyncio.Future[Response]:
        """Send a request and return a future of its response.

        :param request: head and body of the request.
        """
        assert self._transport is not None
        self._reset()
        self._response = asyncio.get_running_loop().create_future()
        self._transport.write(request)
        return self._response

    def data_received(self, data: bytes) -> None:
        """Parse received data; called by asyncio."""
        if self.on_progress is not None:
            self.on_progress()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(errors.UnansweredError(f"malformed answer: {error}"))
            self.abort()

    def on_body(self, body: bytes) -> None:
        """Append to the body of the response; called by the parser."""
        self._body += body
        if len(self._body) > MAX_BODY_BYTES:
            self._fail(errors.UnansweredError("answer is too large"))
            self.abort()

    def on_message_complete(self) -> None:
        """Complete the future of the response; called by the parser."""
        response, self._response = self._response, None
        if not self._parser.should_keep_alive():
            self.abort()
        if response is not None and not response.done():
            response.set_result(
                Response(self._parser.get_status_code(), bytes(self._body))
            )

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request in progress; called by asyncio."""
        self.is_closed = True
        self._fail(errors.ConnectionLostError(str(exc or "connection closed")))

    def _fail(self, error: errors.UnansweredError) -> None:
        response, self._response = self._response, None
        if response is not None and not response.done():
            response.set_exception(error)

    def abort(self) -> None:
        """Close the connection at once."""
        self.is_closed = True
        if self._transport is not None:
            self._transport.abort()


class Client:
    """HTTP client of one server, with a pool of connections.

    :param address: ``host:port`` of the server.
    :param max_connections: largest number of connections.
    """

    def __init__(self, address: str, max_connections: int) -> None:
        self._address = address
        self._host, _, port = address.rpartition(":")
        self._port = int(port or 0)
        self._idle: collections.deque[_Connection] = collections.deque()
        self._connection_slots = asyncio.Semaphore(max_connections)

    async def request(
        self,
        method: str,
        path: str,
        timeout_s: float,
        query: Mapping[str, object] | None = None,
        headers: Mapping[str, str] | None = None,
        body: bytes = b"",
        silence_s: float | None = None,
    ) -> Response:
        """Send a request and return its response.

        :param method: HTTP method.
        :param path: path without the query string.
        :param timeout_s: time limit for the response, in seconds.
        :param silence_s: time limit between two parts of the response, in seconds. Once
            the first part has come, it replaces ``timeout_s``, so that a long response
            can arrive over a slow link.
        :param query: parameters of the query string.
        :param headers: further headers.
        :param body: body of the request.
        :raises errors.NotSentError: when no connection could be made or was free.
        :raises errors.UnansweredError: when no valid response came, so that the request
            may have been carried out.
        :raises errors.ConnectionLostError: likewise, as the connection ended before.
        """
        request = self._encode(method, path, query, headers, body)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self._connection_slots.acquire()
        except TimeoutError as error:
            raise errors.NotSentError("no free connection") from error
        try:
            connection = await self._get_connection()
            return await self._exchange(connection, request, timeout_s, silence_s)
        finally:
            self._connection_slots.release()

    def _encode(
        self,
        method: str,
        path: str,
        query: Mapping[str, object] | None,
        headers: Mapping[str, str] | None,
        body: bytes,
    ) -> bytes:
        target = f"{path}?{parse.urlencode(query)}" if query else path
        lines = [f"{method} {target} HTTP/1.1", f"Host: {self._address}"]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        lines += [f"Content-Length: {len(body)}", "", ""]
        return "\r\n".join(lines).encode("latin-1") + body

    async def _get_connection(self) -> _Connection:
        while self._idle:
            connection = self._idle.pop()
            if not connection.is_closed:
                return connection
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, new_connection = await loop.create_connection(
                    _Connection, self._host, self._port
                )
        except (OSError, TimeoutError) as error:
            raise errors.NotSentError(str(error) or "no connection in time") from error
        return new_connection

    async def _exchange(
        self,
        connection: _Connection,
        request: bytes,
        timeout_s: float,
        silence_s: float | None,
    ) -> Response:
        loop = asyncio.get_running_loop()
        latest_end = loop.time() + MAX_TRANSFER_S
        try:
            async with asyncio.timeout(timeout_s) as limit:

                def extend() -> None:
                    if silence_s is not None and not limit.expired():
                        limit.reschedule(min(loop.time() + silence_s, latest_end))

                connection.on_progress = extend
                response = await connection.send(request)
        except TimeoutError as error:
            connection.abort()
            raise errors.UnansweredError(f"no answer in {timeout_s} s") from error
        except asyncio.CancelledError:
            connection.abort()
            raise
        finally:
            connection.on_progress = None
        if not connection.is_closed:
            self._idle.append(connection)
        return response

    def close(self) -> None:
        """Close the idle connections; others end with their requests."""
        while self._idle:
            self._idle.pop().abort()
