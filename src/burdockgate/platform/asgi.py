"""The few parts of ASGI that the adapter's servers share."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]


class BodyTooLargeError(Exception):
    """The body of a request is over the limit."""


class CallerGoneError(Exception):
    """The connection ended before the whole request was read."""


async def read_body(receive: Receive, limit: int) -> bytes:
    """Return the body of a request.

    :param receive: the server's receive function.
    :param limit: most bytes.
    :raises BodyTooLargeError: when it is larger.
    :raises CallerGoneError: when the connection ended.
    """
    body = bytearray()
    while True:
        event = await receive()
        if event["type"] == "http.disconnect":
            raise CallerGoneError
        body += event.get("body", b"")
        if len(body) > limit:
            raise BodyTooLargeError
        if not event.get("more_body"):
            return bytes(body)


async def wait_gone(receive: Receive, gone: asyncio.Future[None]) -> None:
    """Complete a future when the caller closes its connection.

    :param receive: the server's receive function; the body has been read.
    :param gone: the future.
    """
    while (await receive())["type"] != "http.disconnect":
        pass
    if not gone.done():
        gone.set_result(None)


async def answer(
    send: Send,
    status: int,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    content_type: str = "application/json",
) -> None:
    """Send a whole answer.

    :param send: the server's send function.
    :param status: HTTP status.
    :param body: the body.
    :param headers: further headers.
    :param content_type: type of the body.
    """
    fields = {"content-type": content_type, "content-length": str(len(body))}
    fields.update(headers or {})
    pairs = [(name.lower().encode(), value.encode()) for name, value in fields.items()]
    await send({"type": "http.response.start", "status": status, "headers": pairs})
    await send({"type": "http.response.body", "body": body})
