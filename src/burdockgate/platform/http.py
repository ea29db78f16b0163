"""HTTP client for the platform: the store and the worker.

An agent gives its worker 40 orders a second on a fraction of a core, and a call
through httpx takes 2 ms of it. Parsing is done by httptools; what is added here is a
pool of connections and the distinction whether a request can have been carried out.
"""

from __future__ import annotations

import asyncio
import collections
import socket
from collections.abc import Mapping
from typing import cast
from urllib import parse

import attrs
import httptools

from burdockgate import errors

CONNECT_TIMEOUT_S = 0.5
# A peer without power answers nothing; the kernel must not wait for minutes.
USER_TIMEOUT_MS = 1500
# The store answers a read with at most 1 MB.
MAX_BODY_BYTES = 8 * 1024 * 1024


@attrs.frozen
class Answer:
    """An answer to a request."""

    status: int
    body: bytes


class _Connection(asyncio.Protocol):
    """One connection; it carries one request at a time."""

    def __init__(self) -> None:
        self.is_closed = False
        self._transport: asyncio.Transport | None = None
        self._answer: asyncio.Future[Answer] | None = None
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

    def send(self, request: bytes) -> asyncio.Future[Answer]:
        """Send a request and return its answer to come.

        :param request: head and body.
        """
        assert self._transport is not None
        self._reset()
        self._answer = asyncio.get_running_loop().create_future()
        self._transport.write(request)
        return self._answer

    def data_received(self, data: bytes) -> None:
        """Parse what came; called by asyncio."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(f"malformed answer: {error}")
            self.abort()

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body; called by the parser."""
        self._body += body
        if len(self._body) > MAX_BODY_BYTES:
            self._fail("answer is too large")
            self.abort()

    def on_message_complete(self) -> None:
        """Hand over the answer; called by the parser."""
        answer, self._answer = self._answer, None
        if not self._parser.should_keep_alive():
            self.abort()
        if answer is not None and not answer.done():
            answer.set_result(Answer(self._parser.get_status_code(), bytes(self._body)))

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request under way; called by asyncio."""
        self.is_closed = True
        self._fail(str(exc or "connection closed"))

    def _fail(self, reason: str) -> None:
        answer, self._answer = self._answer, None
        if answer is not None and not answer.done():
            answer.set_exception(errors.UnansweredError(reason))

    def abort(self) -> None:
        """Close at once."""
        self.is_closed = True
        if self._transport is not None:
            self._transport.abort()


class Client:
    """Keeps connections to one server open.

    :param address: ``host:port`` of the server.
    :param connections: most connections.
    """

    def __init__(self, address: str, connections: int) -> None:
        self._address = address
        self._host, _, port = address.rpartition(":")
        self._port = int(port or 0)
        self._idle: collections.deque[_Connection] = collections.deque()
        self._free = asyncio.Semaphore(connections)

    async def request(
        self,
        method: str,
        path: str,
        answer_s: float,
        query: Mapping[str, object] | None = None,
        headers: Mapping[str, str] | None = None,
        body: bytes = b"",
    ) -> Answer:
        """Send a request and return its answer.

        :param method: HTTP method.
        :param path: path without a query.
        :param answer_s: how long the answer may take, in seconds.
        :param query: fields of the query.
        :param headers: further headers.
        :param body: body of the request.
        :raises errors.NotSentError: when no connection could be made.
        :raises errors.UnansweredError: when the request may have been carried out.
        """
        request = self._encode(method, path, query, headers, body)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self._free.acquire()
        except TimeoutError as error:
            raise errors.NotSentError("no free connection") from error
        try:
            connection = await self._connection()
            return await self._exchange(connection, request, answer_s)
        finally:
            self._free.release()

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

    async def _connection(self) -> _Connection:
        while self._idle:
            connection = self._idle.pop()
            if not connection.is_closed:
                return connection
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, made = await loop.create_connection(
                    _Connection, self._host, self._port
                )
        except (OSError, TimeoutError) as error:
            raise errors.NotSentError(str(error) or "no connection in time") from error
        return made

    async def _exchange(
        self, connection: _Connection, request: bytes, answer_s: float
    ) -> Answer:
        try:
            async with asyncio.timeout(answer_s):
                answer = await connection.send(request)
        except TimeoutError as error:
            connection.abort()
            raise errors.UnansweredError(f"no answer in {answer_s} s") from error
        except asyncio.CancelledError:
            connection.abort()
            raise
        if not connection.is_closed:
            self._idle.append(connection)
        return answer

    def close(self) -> None:
        """Close the idle connections; others end with their requests."""
        while self._idle:
            self._idle.pop().abort()
