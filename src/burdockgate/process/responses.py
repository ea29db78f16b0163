"""HTTP responses of an entry host: outcomes and errors as JSON."""

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
# A connection that is closed before the caller has sent its whole body is reset, and
# the caller may lose the response that explains the rejection. So the body is read and
# discarded for this long.
DISCARD_TIMEOUT_S = 1.0

# Litestar sends a response of this class unchanged.
Response = base.ASGIResponse
ErrorResponse = litestar.Response[bytes]


_NAME_BY_OUTCOME_TYPE: dict[type[outcome.Outcome], str] = {
    outcome.Complete: "complete",
    outcome.Failed: "failed",
    outcome.Refused: "refused",
    outcome.Pending: "pending",
}


def job_response(guest: str, key: str, result: outcome.Outcome) -> Response:
    """Return the response to a request about a job.

    :param guest: the guest that owns the job.
    :param key: idempotency key of the job.
    :param result: the current outcome of the job.
    """
    status = codes.MEANING_BY_CODE[result.code].status
    headers = {}
    if isinstance(result, outcome.Refused) and result.retry_after_s > 0:
        headers["Retry-After"] = str(max(1, math.ceil(result.retry_after_s)))
    body = encode_outcome(guest, key, result)
    return Response(body=body, status_code=status, headers=headers, media_type=JSON)


def encode_outcome(guest: str, key: str, result: outcome.Outcome) -> bytes:
    """Return the JSON object of an outcome.

    :param guest: the guest; empty if there is no job.
    :param key: idempotency key of the job; empty if there is no job.
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
            "outcome": _NAME_BY_OUTCOME_TYPE[type(result)],
        }
    )
    if isinstance(result, outcome.Complete):
        # The results are encoded as JSON already.
        body = b'%s,"results":[%s]}' % (body[:-1], b",".join(result.results))
    return body


def json_response(value: object) -> Response:
    """Return a JSON response with status 200.

    :param value: any value that msgspec can encode as JSON.
    """
    return Response(body=msgspec.json.encode(value), media_type=JSON)


def error_response(
    result: outcome.Outcome,
    status: int,
    headers: dict[str, str],
    response_type: type[ErrorResponse] = ErrorResponse,
) -> ErrorResponse:
    """Return the response to a rejected request.

    :param result: the result code and its detail.
    :param status: HTTP status.
    :param headers: additional headers.
    :param response_type: the class of the response.
    """
    return response_type(
        encode_outcome("", "", result),
        status_code=status,
        headers=headers,
        media_type=JSON,
    )


class UnreadBodyResponse(ErrorResponse):
    """An error response that is sent before the request's body has been read."""

    def to_asgi_response(self, *args: Any, **options: Any) -> Response:
        """Return the ASGI response; see the base class."""
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
    """Sends the response, then discards the request's body before the close."""

    async def send_body(self, send: types.Send, receive: types.Receive) -> None:
        """Send the response, and discard the body for up to ``DISCARD_TIMEOUT_S``.

        :param send: see ASGI.
        :param receive: see ASGI.
        """
        event: types.HTTPResponseBodyEvent = {
            "type": "http.response.body",
            "body": self.body,
            "more_body": True,
        }
        await send(event)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(DISCARD_TIMEOUT_S):
                while await _has_more_body(receive):
                    pass
        await send(event | {"body": b"", "more_body": False})


async def _has_more_body(receive: types.Receive) -> bool:
    message = await receive()
    return message["type"] == "http.request" and message["more_body"]
