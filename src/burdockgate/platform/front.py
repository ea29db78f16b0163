"""HTTP interface for callers and the balancer.

Routes come with the configuration and change while the server runs, so they are
matched here and not by a framework's router.
"""

from __future__ import annotations

import asyncio

from burdockgate import codes, errors
from burdockgate.platform import asgi, jobs
from burdockgate.process import entrydaemon
from burdockgate.version import routes

READY_PATH = "/burdockgate/readyz"
METRICS_PATH = "/metrics"
# Longer identifiers are cut in the log.
MAX_REQUEST_ID = 64
# For callers that do not say how long they wait.
DEFAULT_DEADLINE_S = 5.0
# Seconds; a configuration that has not come yet is read within a second of the store's
# return.
CONFIGURATION_RETRY = "1"
# The store and agents in reach give a process that has just started its configuration
# within some 20 ms; callers take the 503 that is due without one as final.
CONFIGURATION_WAIT_S = 0.3


class Front:
    """Takes the requests of callers.

    :param daemon: decides about them.
    """

    def __init__(self, daemon: entrydaemon.EntryDaemon) -> None:
        self._daemon = daemon

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Answer a request."""
        try:
            status, headers, body = await self._handle(scope, receive)
        except asgi.CallerGoneError:
            return
        await asgi.answer(send, status, body, headers)

    async def _handle(
        self, scope: asgi.Scope, receive: asgi.Receive
    ) -> tuple[int, dict[str, str], bytes]:
        header_by_name = {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in scope["headers"]
        }
        request_id = header_by_name.get("request-id", "")[:MAX_REQUEST_ID]
        table = self._daemon.routes
        if table is None:
            table = await self._daemon.wait_for_routes(CONFIGURATION_WAIT_S)
        if table is None:
            code, detail = codes.Code.NOT_READY, "no configuration"
            self._note_rejected("", request_id, code, detail)
            return jobs.refuse(code, detail, {"Retry-After": CONFIGURATION_RETRY})
        host = header_by_name.get("host", "").partition(":")[0]
        route = table.match(host, scope["path"])
        if route is None:
            code, detail = codes.Code.NOT_FOUND, "no such route"
            self._note_rejected("", request_id, code, detail, host=host)
            return jobs.refuse(code, detail)
        job_id = scope["path"][len(route.path_prefix) :]
        match scope["method"]:
            case "POST":
                deadline_s = _deadline_s(header_by_name)
                return await self._submit(
                    job_id, request_id, route, table, deadline_s, receive
                )
            case "GET" if not job_id:
                pending = self._daemon.scheduler.unassigned_job_count(route.name)
                return 200, {}, f'{{"pending":{pending}}}'.encode()
            case "GET":
                return self._state(job_id)
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
        receive: asgi.Receive,
    ) -> tuple[int, dict[str, str], bytes]:
        try:
            body = await asgi.read_body(receive, table.max_body_bytes)
            submission = jobs.decode(job_id, body, route, deadline_s, request_id)
        except asgi.BodyTooLargeError:
            code, detail = codes.Code.TOO_LARGE, f"limit {table.max_body_bytes} bytes"
            self._note_rejected(job_id, request_id, code, detail)
            return jobs.refuse(code, detail)
        except errors.RequestError as error:
            self._note_rejected(job_id, request_id, error.code, error.detail)
            return jobs.refuse(error.code, error.detail, {"Retry-After": "1"})
        gone: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        watch = asyncio.create_task(asgi.wait_gone(receive, gone))
        try:
            verdict = await self._daemon.submit(submission, gone)
        finally:
            watch.cancel()
        if verdict is None:
            raise asgi.CallerGoneError
        return jobs.encode(verdict)

    def _note_rejected(
        self,
        job_id: str,
        request_id: str,
        code: codes.Code,
        detail: str,
        host: str = "",
    ) -> None:
        facts = {"job": job_id, "request": request_id, "host": host}
        known = {name: value for name, value in facts.items() if value}
        self._daemon.events.record(
            "job.rejected", {**known, "code": code.name, "detail": detail}
        )

    def _state(self, job_id: str) -> tuple[int, dict[str, str], bytes]:
        job = self._daemon.scheduler.job_by_id.get(job_id)
        if job is None:
            return 410, {}, b""
        state = "running" if job.has_been_assigned else "queued"
        return 200, {}, f'{{"state":"{state}"}}'.encode()

    def _cancel(self, job_id: str) -> tuple[int, dict[str, str], bytes]:
        return (200, {}, b"{}") if self._daemon.cancel(job_id) else (410, {}, b"")


def _deadline_s(header_by_name: dict[str, str]) -> float:
    text = header_by_name.get("deadline-ms", "")
    try:
        return max(0.0, float(text) / 1000)
    except ValueError:
        return DEFAULT_DEADLINE_S


class Ready:
    """Answers the balancer's check.

    :param daemon: knows whether it is ready.
    """

    def __init__(self, daemon: entrydaemon.EntryDaemon) -> None:
        self._daemon = daemon

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Answer 200 when ready and 503 otherwise."""
        await asgi.answer(send, 200 if self._daemon.is_ready else 503)
