"""The HTTP interface of an entry host, and the server that runs it.

Every response except the OpenAPI document is JSON. An error has the same fields as
the response to a job: a result code, its start class and one line of detail.
"""

from __future__ import annotations

import abc
import asyncio
import math
import urllib.parse
from collections.abc import AsyncIterator, Awaitable, Mapping
from typing import Any, cast

import litestar
import structlog
from litestar import exceptions, openapi, types
from litestar.openapi import plugins

from burdockgate import clock, codes, errors
from burdockgate.process import guard, intake, listeners, responses, schema, serving
from burdockgate.request import job, outcome

BODY_TIMEOUT_S = 10.0
READY_RETRY_S = 1.0

_logger = structlog.get_logger(__name__)
_Request = litestar.Request[Any, Any, Any]


class EntryService(abc.ABC):
    """The operations of an entry host that the HTTP interface calls.

    A method may raise :class:`errors.RequestError` to reject a request.
    """

    @abc.abstractmethod
    async def submit(self, request: job.JobRequest, wait: bool) -> outcome.Outcome:
        """Submit a job and return its outcome.

        :param wait: whether to wait until the job has ended.
        """

    @abc.abstractmethod
    async def fetch(self, guest: str, key: str, wait_s: float) -> outcome.Outcome:
        """Return the outcome of an earlier submission.

        :param wait_s: how long to wait for a pending job to end, in seconds.
        """

    @abc.abstractmethod
    async def cancel(self, guest: str, key: str) -> outcome.Outcome:
        """Cancel a job and return its definite outcome."""

    @abc.abstractmethod
    async def drain(self, worker: str, active: bool) -> bool:
        """Drain a worker, or resume it, and return whether the worker is known."""

    @abc.abstractmethod
    def status(self) -> dict[str, object]:
        """Return the state of this entry host as JSON-compatible values."""

    @abc.abstractmethod
    def not_ready_reason(self) -> str:
        """Return why no job can be accepted; an empty string when ready."""

    @abc.abstractmethod
    def count_rejected(self) -> None:
        """Count a rejected HTTP request."""


def create_application(service: EntryService, limits: job.Limits) -> litestar.Litestar:
    """Return the application with all routes.

    :param service: the entry host.
    :param limits: limits of one submission.
    """
    return _Application(service, limits)


class _Application(litestar.Litestar):
    def __init__(self, service: EntryService, limits: job.Limits) -> None:
        self.service = service
        self.limits = limits
        super().__init__(
            [_submit, _fetch, _cancel, _drain, _status, _alive, _ready],
            exception_handlers={
                errors.RequestError: _handle_request_error,
                exceptions.HTTPException: _handle_http_error,
                Exception: _handle_error,
            },
            openapi_config=openapi.OpenAPIConfig(
                title="burdockgate",
                version="1",
                path="/schema",
                render_plugins=[plugins.JsonRenderPlugin(path=["/", "/openapi.json"])],
            ),
            logging_config=None,
        )

    async def __call__(
        self,
        scope: types.Scope | types.LifeSpanScope,
        receive: types.Receive | types.LifeSpanReceive,
        send: types.Send | types.LifeSpanSend,
    ) -> None:
        # Routes match the percent-encoded path, so that a key may contain "/".
        if raw_path := cast(dict[str, Any], scope).get("raw_path"):
            cast(dict[str, Any], scope)["path"] = raw_path.decode("latin-1")
        await super().__call__(scope, receive, send)


def _application(request: _Request) -> _Application:
    return cast(_Application, request.app)


@litestar.post("/v1/jobs", operation_class=schema.SubmitOperation, status_code=200)
async def _submit(request: _Request) -> responses.Response:
    """Submit a job and wait for its outcome."""
    application = _application(request)
    wait = _boolean_parameter(request, "wait")
    body = await _read_body(request, application.limits)
    key = _header(request, b"idempotency-key")
    submission = job.parse(body, key, application.limits)
    call = application.service.submit(submission, wait)
    return await _respond(submission.guest, submission.key, call)


@litestar.get("/v1/jobs/{guest:str}/{key:str}", operation_class=schema.FetchOperation)
async def _fetch(request: _Request) -> responses.Response:
    """Return the stored outcome or the state of a job."""
    application = _application(request)
    guest, key = _guest_and_key(request)
    max_wait_s = application.limits.max_deadline_s
    text = _query_parameter(request, "wait_s", "0")
    try:
        wait_s = float(text)
    except ValueError:
        wait_s = math.nan
    if not 0 <= wait_s <= max_wait_s:
        raise _invalid_request(
            f"wait_s: {job.shorten(text)}, allowed are 0 to {max_wait_s:g} s"
        )
    return await _respond(guest, key, application.service.fetch(guest, key, wait_s))


@litestar.delete("/v1/jobs/{guest:str}/{key:str}", status_code=200)
async def _cancel(request: _Request) -> responses.Response:
    """Cancel a job and return its definite outcome."""
    _query_parameter(request)  # rejects every parameter
    guest, key = _guest_and_key(request)
    return await _respond(guest, key, _application(request).service.cancel(guest, key))


@litestar.post(
    "/v1/workers/{name:str}/drain",
    operation_class=schema.DrainOperation,
    status_code=200,
)
async def _drain(request: _Request) -> responses.Response:
    """Drain a worker, or resume it with ``active=false``."""
    active = _boolean_parameter(request, "active")
    worker = _unquote("worker", request.path_params["name"])
    if not await _application(request).service.drain(worker, active):
        raise errors.RequestError(
            codes.Code.NOT_FOUND,
            f"worker: {job.shorten(worker)}, allowed are workers that this entry "
            "host knows",
        )
    return responses.json_response({"worker": worker, "draining": active})


@litestar.get("/v1/status")
async def _status(request: _Request) -> responses.Response:
    """Return the state of this entry host."""
    return responses.json_response(_application(request).service.status())


@litestar.get("/healthz")
async def _alive(request: _Request) -> responses.Response:
    """Return 200 while the process responds."""
    return responses.json_response({"alive": True})


@litestar.get("/readyz")
async def _ready(request: _Request) -> responses.Response:
    """Return 200 when jobs are accepted, else 503 with the reason."""
    reason = _application(request).service.not_ready_reason()
    if not reason:
        return responses.json_response({"ready": True})
    refused = outcome.Refused(codes.Code.NOT_READY, reason, READY_RETRY_S)
    return responses.job_response("", "", refused)


def _header(request: _Request, name: bytes) -> str | None:
    values = [value for header, value in request.scope["headers"] if header == name]
    if len(values) > 1:
        raise _invalid_request(
            f"header {name.decode()}: sent {len(values)} times, allowed is 1"
        )
    return values[0].decode("latin-1") if values else None


def _query_parameter(request: _Request, name: str = "", default: str = "") -> str:
    """Return the value of the only query parameter that a route accepts."""
    query = request.scope["query_string"]
    if not query:
        return default
    pairs = urllib.parse.parse_qsl(query.decode("latin-1"), keep_blank_values=True)
    for field, _ in pairs:
        if field != name:
            allowed = f"allowed is {name}" if name else "none is allowed"
            raise _invalid_request(f"query parameter {job.shorten(field)}, {allowed}")
    if len(pairs) > 1:
        raise _invalid_request(f"{name}: sent {len(pairs)} times, allowed is 1")
    return pairs[0][1] if pairs else default


def _boolean_parameter(request: _Request, name: str) -> bool:
    text = _query_parameter(request, name, "true")
    if text not in ("true", "false"):
        raise _invalid_request(
            f"{name}: {job.shorten(text)}, allowed are true and false"
        )
    return text == "true"


def _guest_and_key(request: _Request) -> tuple[str, str]:
    guest = _unquote("guest", request.path_params["guest"])
    key = _unquote("key", request.path_params["key"])
    return job.check_guest(guest), job.check_key(key)


def _unquote(field: str, text: str) -> str:
    try:
        return urllib.parse.unquote(text, errors="strict")
    except UnicodeDecodeError:
        raise _invalid_request(
            f"{field}: {job.shorten(text)}, allowed is UTF-8"
        ) from None


async def _read_body(request: _Request, limits: job.Limits) -> bytes:
    """Return the body; reading stops at the size limit and at the timeout."""
    declared = _header(request, b"content-length")
    if declared is not None and int(declared) > limits.body_bytes:
        raise job.too_large(int(declared), limits)
    chunks: list[bytes] = []
    size = 0
    try:
        async with asyncio.timeout(BODY_TIMEOUT_S):
            async for chunk in _receive_chunks(request):
                chunks.append(chunk)
                size += len(chunk)
                if size > limits.body_bytes:
                    raise job.too_large(size, limits)
    except TimeoutError:
        raise exceptions.HTTPException(
            f"body: {size} bytes in {BODY_TIMEOUT_S:g} s, allowed is a whole body in "
            "this time",
            status_code=408,
        ) from None
    except asyncio.CancelledError:
        # Requests are cancelled only when the stop timeout has expired.
        raise errors.RequestError(
            codes.Code.DRAINING, "the entry host stopped before the body arrived"
        ) from None
    return b"".join(chunks)


async def _receive_chunks(request: _Request) -> AsyncIterator[bytes]:
    more = True
    while more:
        message = await request.receive()
        if message["type"] != "http.request":
            raise _invalid_request("body: the connection was closed before its end")
        yield message["body"]
        more = message["more_body"]


def _invalid_request(detail: str) -> errors.RequestError:
    return errors.RequestError(codes.Code.INVALID_REQUEST, detail)


async def _respond(
    guest: str, key: str, call: Awaitable[outcome.Outcome]
) -> responses.Response:
    try:
        result = await call
    except asyncio.CancelledError:
        # Requests are cancelled only when the stop timeout has expired.
        result = outcome.Failed(
            0, codes.Code.OWNER_LOST, "the entry host stopped before the job ended"
        )
    except errors.RequestError as error:
        result = outcome.Refused(error.code, error.detail)
    return responses.job_response(guest, key, result)


def _handle_request_error(
    request: _Request, error: errors.RequestError
) -> responses.ErrorResponse:
    status = codes.MEANING_BY_CODE[error.code].status
    return _reject(request, error.code, error.detail, status)


def _reject(
    request: _Request, code: codes.Code, detail: str, status: int
) -> responses.ErrorResponse:
    _application(request).service.count_rejected()
    result = outcome.Refused(code, detail)
    if status in (408, 413):
        return responses.error_response(
            result, status, {"Connection": "close"}, responses.UnreadBodyResponse
        )
    return responses.error_response(result, status, {})


def _handle_http_error(
    request: _Request, error: exceptions.HTTPException
) -> responses.ErrorResponse:
    if error.status_code >= 500:
        return _handle_error(request, error)
    route = f"{request.method} {job.shorten(request.scope['path'])}"
    if error.status_code == 404:
        return _reject(request, codes.Code.NOT_FOUND, f"{route}: no such route", 404)
    invalid = codes.Code.INVALID_REQUEST
    if error.status_code != 405:
        detail = job.shorten_line(error.detail)
        return _reject(request, invalid, detail, error.status_code)
    allow = (error.headers or {}).get("allow", "")
    response = _reject(request, invalid, f"{route}: allowed are {allow}", 405)
    response.headers["Allow"] = allow
    return response


def _handle_error(request: _Request, error: Exception) -> responses.ErrorResponse:
    _logger.error("web.error", path=request.scope["path"], exc_info=error)
    detail = f"internal error of the entry host ({type(error).__name__})"
    return responses.error_response(
        outcome.Failed(0, codes.Code.OWNER_LOST, detail), 500, {}
    )


class Server(serving.Server):
    """Runs an application from :func:`create_application` in the current event loop.

    A job request that has not ended when the stop times out gets the response
    ``OWNER_LOST``.

    :param application: the application.
    :param host: IP address to listen on.
    :param port: port to listen on; 0 selects a free one.
    :param limits: limits of the clients; by default those that the process's limit of
        descriptors allows.
    """

    def __init__(
        self,
        application: litestar.Litestar,
        host: str,
        port: int = 0,
        limits: intake.Limits | None = None,
    ) -> None:
        limits = limits or listeners.inherited_limits()
        time = clock.SystemClock()
        endpoint = guard.Endpoint(
            "web",
            intake.Intake(limits, time),
            time,
            limits.caller_connections,
            _report_refused,
        )
        super().__init__(application, host, port, _Connection, endpoint)


def _report_refused(endpoint: str, counts: Mapping[intake.Reason, int]) -> None:
    for reason, count in counts.items():
        _logger.warning("client.refused", reason=reason.value, clients=count)


class _Connection(guard.Connection):
    """Adds JSON error responses to refusals."""

    def encode_body(self, status: int, reason: intake.Reason) -> bytes:
        """Return a result code and its detail, and count the rejection."""
        cast(_Application, self.config.app).service.count_rejected()
        code = codes.Code.NOT_READY if status == 503 else codes.Code.INVALID_REQUEST
        refused = outcome.Refused(code, reason.value)
        return responses.encode_outcome("", "", refused)

    def on_response_complete(self) -> None:
        """Close the connection if the request's body has not arrived."""
        super().on_response_complete()
        # Without the close, the body could go on arriving for ever.
        if self.has_unread_body:
            self.transport.close()
