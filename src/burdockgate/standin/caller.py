"""HTTP/1.1 client of the load tool, with persistent connections.

The connection pool of httpx iterates over all open connections at each state change of
a request. A burst of a few hundred requests would block the event loop for seconds, and
with it the system under test that shares the loop.
"""

from __future__ import annotations

import asyncio
import time
import urllib.parse

import attrs

from burdockgate import errors

# Below the 5 s after which the entry host closes an idle connection.
IDLE_LIMIT_S = 2.0
_Host = tuple[str, int]
_CONNECTION_ERRORS = (
    OSError,
    asyncio.IncompleteReadError,
    asyncio.LimitOverrunError,
    ValueError,
)


@attrs.frozen
class Reply:
    """An HTTP response.

    :param status: HTTP status.
    :param content: the body.
    """

    status: int
    content: bytes


@attrs.define
class _Connection:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    used_at: float

    @property
    def is_usable(self) -> bool:
        is_recent = time.monotonic() - self.used_at < IDLE_LIMIT_S
        is_open = not (self.reader.at_eof() or self.writer.transport.is_closing())
        return is_recent and is_open


class Caller:
    """Sends HTTP requests; each one has a connection to itself until its response."""

    def __init__(self) -> None:
        self._idle_by_host: dict[_Host, list[_Connection]] = {}

    async def call(
        self, method: str, url: str, body: bytes = b"", key: str = ""
    ) -> Reply:
        """Send a request, without retries, and return the response.

        :param method: the HTTP method.
        :param url: ``http://host:port/path``.
        :param body: JSON text.
        :param key: the idempotency key; empty for none.
        :raises errors.ClientError: when no complete response arrives.
        """
        parts = urllib.parse.urlsplit(url)
        if parts.scheme != "http" or not parts.hostname:
            raise errors.ClientError(f"{url!r:.80}: allowed is http://HOST:PORT")
        host = (parts.hostname, parts.port or 80)
        head = f"{method} {parts.path} HTTP/1.1\r\nHost: {parts.netloc}\r\n"
        if key:
            head += f"Idempotency-Key: {key}\r\nContent-Type: application/json\r\n"
        head += f"Content-Length: {len(body)}\r\n\r\n"
        try:
            connection = await self._connect(host)
            try:
                connection.writer.write(head.encode("latin-1") + body)
                reply = await _read_reply(connection.reader)
            except BaseException:
                connection.writer.close()
                raise
        except _CONNECTION_ERRORS as error:
            raise errors.ClientError(f"{method} {url}: {error}") from error
        connection.used_at = time.monotonic()
        self._idle_by_host.setdefault(host, []).append(connection)
        return reply

    async def _connect(self, host: _Host) -> _Connection:
        idle = self._idle_by_host.get(host, [])
        while idle:
            connection = idle.pop()
            if connection.is_usable:
                return connection
            connection.writer.close()
        reader, writer = await asyncio.open_connection(*host)
        return _Connection(reader, writer, time.monotonic())

    def close(self) -> None:
        """Close the idle connections."""
        for idle in self._idle_by_host.values():
            for connection in idle:
                connection.writer.close()
        self._idle_by_host.clear()


async def _read_reply(reader: asyncio.StreamReader) -> Reply:
    head = (await reader.readuntil(b"\r\n\r\n")).split(b"\r\n")
    size = 0
    for line in head[1:]:
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            size = int(value)
    return Reply(int(head[0].split()[1]), await reader.readexactly(size))
