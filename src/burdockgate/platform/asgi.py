"""ASGI helpers shared by the adapter's HTTP servers."""

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
    """The caller closed its connection before the response was sent."""


async def read_body(receive: Receive, max_bytes: int) -> bytes:
    """Return the body of a request.

    :param receive: the server's receive function.
    :param max_bytes: largest accepted size.
    :raises BodyTooLargeError: when the body is larger.
    :raises CallerGoneError: when the caller closed its connection first.
    """
    body = bytearray()
    while True:
        event = await receive()
        if event["type"] == "http.disconnect":
            raise CallerGoneError
        body += event.get("body", b"")
        if len(body) > max_bytes:
            raise BodyTooLargeError
        if not event.get("more_body"):
            return bytes(body)


async def wait_for_disconnect(
    receive: Receive, disconnected: asyncio.Future[None]
) -> None:
    """Complete a future when the caller closes its connection.

    :param receive: the server's receive function, after the body has been read.
    :param disconnected: the future.
    """
    while (await receive())["type"] != "http.disconnect":
        pass
    if not disconnected.done():
        disconnected.set_result(None)


async def send_response(
    send: Send,
    status: int,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    content_type: str = "application/json",
) -> None:
    """Send a response with its whole body.

    :param send: the server's send function.
    :param status: HTTP status.
    :param body: the body.
    :param headers: further headers.
    :param content_type: media type of the body.
    """
    fields = {"content-type": content_type, "content-length": str(len(body))}
    fields.update(headers or {})
    pairs = [(name.lower().encode(), value.encode()) for name, value in fields.items()]
    await send({"type": "http.response.start", "status": status, "headers": pairs})
    await send({"type": "http.response.body", "body": body})
