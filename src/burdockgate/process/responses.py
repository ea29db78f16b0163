"""The answers of the HTTP interface: outcomes and errors as JSON."""

from __future__ import annotations

import asyncio
import contextlib
import math
from typing import Any

import litestar
import msgspec
from litestar import types
from litestar.response import base

from burdockgate import codes
from burdockgate.request import outcome

JSON = "application/json"
# A connection closed before the caller has sent its whole body is reset, and the
# caller may lose the answer that explains it.
DISCARD_TIMEOUT_S = 1.0

# Litestar passes this kind of response on as it is.
Response = base.ASGIResponse
ErrorResponse = litestar.Response[bytes]


_NAME_BY_KIND: dict[type[outcome.Outcome], str] = {
    outcome.Complete: "complete",
    outcome.Failed: "failed",
    outcome.Refused: "refused",
    outcome.Pending: "pending",
}


def render(guest: str, key: str, result: outcome.Outcome) -> Response:
    """Return the answer to a call about a job.

    :param guest: the caller.
    :param key: idempotency key of the job.
    :param result: what is known of the job.
    """
    status = codes.MEANING_BY_CODE[result.code].status
    headers = {}
    if isinstance(result, outcome.Refused) and result.retry_after_s > 0:
        headers["Retry-After"] = str(max(1, math.ceil(result.retry_after_s)))
    body = content(guest, key, result)
    return Response(body=body, status_code=status, headers=headers, media_type=JSON)


def content(guest: str, key: str, result: outcome.Outcome) -> bytes:
    """Return the JSON object of an outcome.

    :param guest: the caller; empty where there is no job.
    :param key: idempotency key of the job; empty where there is no job.
    :param result: the outcome.
    """
    start = codes.start_class(result.code)
    body = msgspec.json.encode(
        {
            "code": int(result.code),
            "name": result.code.name,
            "guest": guest,
            "key": key,
            "attempt": result.attempt,
            "detail": result.detail,
            "start": start.value if start else None,
            "outcome": _NAME_BY_KIND[type(result)],
        }
    )
    if isinstance(result, outcome.Complete):
        # The results are JSON text already.
        body = b'%s,"results":[%s]}' % (body[:-1], b",".join(result.results))
    return body


def reply(value: object) -> Response:
    """Return an answer with status 200.

    :param value: what msgspec can encode as JSON.
    """
    return Response(body=msgspec.json.encode(value), media_type=JSON)


def error(
    result: outcome.Outcome,
    status: int,
    headers: dict[str, str],
    kind: type[ErrorResponse] = ErrorResponse,
) -> ErrorResponse:
    """Return the answer to a request that was not accepted.

    :param result: the code and its detail.
    :param status: HTTP status.
    :param headers: further headers.
    :param kind: the class of the response.
    """
    return kind(
        content("", "", result), status_code=status, headers=headers, media_type=JSON
    )


class UnreadBodyResponse(ErrorResponse):
    """An error sent before the end of the request's body."""

    def to_asgi_response(self, *args: Any, **options: Any) -> Response:
        """Return the response as litestar sends it, see the base class."""
        response = super().to_asgi_response(*args, **options)
        return _DiscardingResponse(
            body=response.body,
            status_code=response.status_code,
            headers=[
                (name.decode("latin-1"), value.decode("latin-1"))
                for name, value in response.encode_headers()
            ],
        )


class _DiscardingResponse(Response):
    """Sends the answer, and then discards the request's body before the close."""

    async def send_body(self, send: types.Send, receive: types.Receive) -> None:
        """Send the answer and read on, for at most ``DISCARD_TIMEOUT_S``.

        :param send: see ASGI.
        :param receive: see ASGI.
        """
        part: types.HTTPResponseBodyEvent = {
            "type": "http.response.body",
            "body": self.body,
            "more_body": True,
        }
        await send(part)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(DISCARD_TIMEOUT_S):
                while await _has_more(receive):
                    pass
        await send(part | {"body": b"", "more_body": False})


async def _has_more(receive: types.Receive) -> bool:
    message = await receive()
    return message["type"] == "http.request" and message["more_body"]
