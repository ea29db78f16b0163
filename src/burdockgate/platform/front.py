"""HTTP interface for callers and for the load balancer's readiness check.

Requests are matched here and not by a framework's router, because the routes come from
the configuration and change while the server runs.
"""

from __future__ import annotations

import asyncio
import math

from burdockgate import codes, errors
from burdockgate.platform import asgi, jobs
from burdockgate.process import entrydaemon, guard
from burdockgate.request import besteffort, caller
from burdockgate.version import routes

READY_PATH = "/burdockgate/readyz"
METRICS_PATH = "/metrics"
# Longer identifiers are truncated in the log.
MAX_REQUEST_ID_CHARS = 64
# Used for requests without a valid deadline.
DEFAULT_DEADLINE_S = 5.0
MAX_DEADLINE_S = 3600.0
# Longer job identifiers and host names are truncated in the log.
MAX_LOGGED_CHARS = 100
# Retry-After of requests before the first configuration, which is read within a second
# after the store is available again.
CONFIGURATION_RETRY_AFTER_S = "1"
# A process that has just started gets its configuration from the store or an agent
# within about 20 ms. Requests wait for it, because callers treat the 503 that they
# would get without it as final.
CONFIGURATION_WAIT_S = 0.3


class CallerApplication:
    """ASGI application that serves the requests of callers.

    :param daemon: runs the jobs.
    """

    def __init__(self, daemon: entrydaemon.EntryDaemon) -> None:
        self._daemon = daemon

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Handle a request and send the response, unless the caller disconnected."""
        try:
            status, headers, body = await self._handle(scope, receive)
        except asgi.CallerGoneError:
            return
        if self._daemon.releases_callers:
            headers = {**headers, "Connection": "close"}
        await asgi.send_response(send, status, body, headers)

    async def _handle(
        self, scope: asgi.Scope, receive: asgi.Receive
    ) -> tuple[int, dict[str, str], bytes]:
        header_by_name = {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in scope["headers"]
        }
        request_id = header_by_name.get("request-id", "")[:MAX_REQUEST_ID_CHARS]
        table = self._daemon.routes
        if table is None:
            table = await self._daemon.wait_for_routes(CONFIGURATION_WAIT_S)
        if table is None:
            code, detail = codes.Code.NOT_READY, "no configuration"
            self._record_rejection("", request_id, code, detail)
            return jobs.encode_rejection(
                code, detail, {"Retry-After": CONFIGURATION_RETRY_AFTER_S}
            )
        host = header_by_name.get("host", "").partition(":")[0]
        route = table.match(host, scope["path"])
        if route is None:
            code, detail = codes.Code.NOT_FOUND, "no such route"
            self._record_rejection("", request_id, code, detail, host=host)
            return jobs.encode_rejection(code, detail)
        job_id = scope["path"][len(route.path_prefix) :]
        match scope["method"]:
            case "POST":
                deadline_s = _deadline_s(header_by_name)
                client = scope["extensions"][guard.CALLER_EXTENSION]
                return await self._submit(
                    job_id, request_id, route, table, deadline_s, client, receive
                )
            case "GET" if not job_id:
                pending = self._daemon.scheduler.unassigned_job_count(route.name)
                return 200, {}, f'{{"pending":{pending}}}'.encode()
            case "GET":
                return self._job_state(job_id)
            case "DELETE":
                return self._cancel(job_id)
        return 405, {}, b""

    async def _submit(
        self,
        job_id: str,
        request_id: str,
        route: routes.Route,
        table: routes.RouteTable,
        deadline_s: float,
        client: caller.Caller,
        receive: asgi.Receive,
    ) -> tuple[int, dict[str, str], bytes]:
        try:
            submission = await _read_submission(
                job_id, request_id, route, table, deadline_s, receive
            )
        except asgi.BodyTooLargeError:
            code, detail = codes.Code.TOO_LARGE, f"limit {table.max_body_bytes} bytes"
            self._record_rejection(job_id, request_id, code, detail)
            return jobs.encode_rejection(code, detail)
        except errors.RequestError as error:
            self._record_rejection(job_id, request_id, error.code, error.detail)
            return jobs.encode_rejection(error.code, error.detail, {"Retry-After": "1"})
        disconnected: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        disconnect_task = asyncio.create_task(
            asgi.wait_for_disconnect(receive, disconnected)
        )
        try:
            outcome = await self._daemon.submit(submission, client, disconnected)
        finally:
            disconnect_task.cancel()
        if outcome is None:  # the caller disconnected
            raise asgi.CallerGoneError
        return jobs.encode(outcome)

    def _record_rejection(
        self,
        job_id: str,
        request_id: str,
        code: codes.Code,
        detail: str,
        host: str = "",
    ) -> None:
        optional_fields = {"job": job_id, "request": request_id, "host": host}
        fields = {
            name: value[:MAX_LOGGED_CHARS]
            for name, value in optional_fields.items()
            if value
        }
        self._daemon.events.record(
            "job.rejected", {**fields, "code": code.name, "detail": detail}
        )

    def _job_state(self, job_id: str) -> tuple[int, dict[str, str], bytes]:
        job = self._daemon.scheduler.job_by_id.get(job_id)
        if job is None:
            return 410, {}, b""
        state = "running" if job.has_been_assigned else "queued"
        return 200, {}, f'{{"state":"{state}"}}'.encode()

    def _cancel(self, job_id: str) -> tuple[int, dict[str, str], bytes]:
        return (200, {}, b"{}") if self._daemon.cancel(job_id) else (410, {}, b"")


async def _read_submission(
    job_id: str,
    request_id: str,
    route: routes.Route,
    table: routes.RouteTable,
    deadline_s: float,
    receive: asgi.Receive,
) -> besteffort.Submission:
    """Return the job in a request, whose body is not kept while the job runs."""
    body = await asgi.read_body(receive, table.max_body_bytes)
    return jobs.decode(job_id, body, route, deadline_s, request_id)


def _deadline_s(header_by_name: dict[str, str]) -> float:
    text = header_by_name.get("deadline-ms", "")
    try:
        deadline_s = float(text) / 1000
    except ValueError:
        return DEFAULT_DEADLINE_S
    if not math.isfinite(deadline_s):
        return DEFAULT_DEADLINE_S
    return min(max(0.0, deadline_s), MAX_DEADLINE_S)


class ReadinessApplication:
    """ASGI application for the load balancer's readiness check.

    :param daemon: the entry host to check.
    """

    def __init__(self, daemon: entrydaemon.EntryDaemon) -> None:
        self._daemon = daemon

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Respond with 200 when the entry host is ready and with 503 otherwise."""
        await asgi.send_response(send, 200 if self._daemon.is_ready else 503)
