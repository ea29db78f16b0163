"""Guards the HTTP interface: each response is JSON and states the known outcome."""

import asyncio
import json

import httpx
import pytest

from burdockgate import codes, errors
from burdockgate.process import intake, web
from burdockgate.request import job, outcome

LIMITS = job.Limits(2000, 3, 30.0, 60.0)
BODY = b'{"guest":"g/1","service":"s","tasks":[{"payload":[1]},{"payload":2}]}'
KEY = {"Idempotency-Key": "a/b"}
JOB_PATH = "/v1/jobs/g%2F1/a%2Fb"


class _Service(web.EntryService):
    """Records calls and returns ``result``, or raises it."""

    def __init__(self):
        self.calls = []
        self.worker = "w"
        self.called = asyncio.Event()
        self.result = outcome.Complete(1, (b"[1]", b'"\xc3\xa9"'))
        self.proceed = None
        self.unready_reason = ""
        self.rejections = 0

    async def _call(self, *arguments):
        self.calls.append(arguments)
        self.called.set()
        if self.proceed:
            await self.proceed.wait()
        if isinstance(self.result, Exception):
            raise self.result
        return self.result

    async def submit(self, request, wait):
        return await self._call("submit", request.guest, request.key, wait)

    async def fetch(self, guest, key, wait_s):
        return await self._call("fetch", guest, key, wait_s)

    async def cancel(self, guest, key):
        return await self._call("cancel", guest, key)

    async def drain(self, worker, active):
        self.calls.append(("drain", worker, active))
        return worker == self.worker

    def status(self):
        return {"workers": 3}

    def not_ready_reason(self):
        return self.unready_reason

    def count_rejected(self):
        self.rejections += 1


@pytest.fixture
def service():
    return _Service()


@pytest.fixture
async def server(service):
    running = web.Server(web.create_application(service, LIMITS), "127.0.0.1")
    await running.start()
    yield running
    await running.stop(1.0)


@pytest.fixture
async def http(server):
    async with httpx.AsyncClient(base_url=f"http://{server.address}") as client:
        yield client


async def test_routes_call_the_service(service, http):
    """A key with a slash must reach the service unchanged."""
    response = await http.post("/v1/jobs?wait=false", content=BODY, headers=KEY)
    assert response.json() == {
        "code": 0,
        "name": "COMPLETE",
        "guest": "g/1",
        "key": "a/b",
        "attempt": 1,
        "detail": "",
        "start": "ran",
        "outcome": "complete",
        "results": [[1], "é"],
    }
    await http.post("/v1/jobs", content=BODY, headers=KEY)
    await http.get(f"{JOB_PATH}?wait_s=2.5")
    await http.delete(JOB_PATH)
    assert (await http.post("/v1/workers/w/drain")).status_code == 200
    assert (await http.post("/v1/workers/x/drain?active=false")).status_code == 404
    assert service.calls == [
        ("submit", "g/1", "a/b", False),
        ("submit", "g/1", "a/b", True),
        ("fetch", "g/1", "a/b", 2.5),
        ("cancel", "g/1", "a/b"),
        ("drain", "w", True),
        ("drain", "x", False),
    ]
    assert (await http.get("/v1/status")).json() == {"workers": 3}
    assert (await http.get("/healthz")).status_code == 200
    assert (await http.get("/readyz")).status_code == 200
    service.unready_reason = "no table yet"
    response = await http.get("/readyz")
    assert (response.status_code, response.json()["detail"]) == (503, "no table yet")
    assert {"/v1/jobs", "/v1/status"} <= set(
        (await http.get("/schema")).json()["paths"]
    )


@pytest.mark.parametrize(
    ("result", "status", "start", "retry"),
    [
        (outcome.Pending(1), 202, None, None),
        (outcome.Failed(2, codes.Code.WORKER_LOST, "x"), 502, "may have run", None),
        (outcome.Refused(codes.Code.BACKLOG_FULL, "x", 0.2), 429, "not run", "1"),
        (outcome.Refused(codes.Code.BACKLOG_FULL, "x", 2.1), 429, "not run", "3"),
        (outcome.Refused(codes.Code.NEVER_FITS, "x"), 422, "not run", None),
        (
            errors.RequestError(codes.Code.UNKNOWN_SERVICE, "x"),
            422,
            "not run",
            None,
        ),
        (RuntimeError("secret"), 500, "may have run", None),
    ],
)
async def test_outcome_is_rendered_as_json(service, http, result, status, start, retry):
    """Without results a job must not look complete, nor an error like a refusal."""
    service.result = result
    response = await http.post("/v1/jobs", content=BODY, headers=KEY)
    assert response.status_code == status
    assert response.json()["start"] == start
    assert response.headers.get("retry-after") == retry
    assert "results" not in response.json()
    assert "secret" not in response.text


BAD_REQUESTS = [
    ("POST", "/v1/jobs", b"{", KEY, 400, 100),
    ("POST", "/v1/jobs", b"{}", KEY, 400, 100),
    ("POST", "/v1/jobs", BODY, {}, 400, 100),
    ("POST", "/v1/jobs", BODY, [("Idempotency-Key", "a")] * 2, 400, 100),
    ("POST", "/v1/jobs?wait=yes", BODY, KEY, 400, 100),
    ("POST", "/v1/jobs?wiat=true", BODY, KEY, 400, 100),
    ("POST", "/v1/jobs?wait=true&wait=true", BODY, KEY, 400, 100),
    ("POST", "/v1/jobs", b" " * 2001, KEY, 413, 101),
    ("PUT", "/v1/jobs", BODY, KEY, 405, 100),
    ("GET", "/v1/jobs/g", b"", {}, 404, 113),
    ("GET", "/nowhere%00", b"", {}, 404, 113),
    ("GET", "/v1/jobs/g/k?wait_s=nan", b"", {}, 400, 100),
    ("GET", "/v1/jobs/g/k?wait_s=61", b"", {}, 400, 100),
    ("GET", "/v1/jobs/g/k?wait_s=", b"", {}, 400, 100),
    ("GET", "/v1/jobs/g%ff/k", b"", {}, 400, 100),
    ("GET", "/v1/jobs/g/k%0A", b"", {}, 400, 100),
    ("DELETE", "/v1/jobs/g%00/k", b"", {}, 400, 100),
    ("POST", "/v1/workers/w/drain?active=1", b"", {}, 400, 100),
]


@pytest.mark.parametrize(
    ("method", "path", "body", "headers", "status", "code"),
    BAD_REQUESTS,
    ids=range(len(BAD_REQUESTS)),
)
async def test_bad_request_gets_a_code(
    service, http, method, path, body, headers, status, code
):
    """An invalid request must get a JSON error, be counted, and not be passed on."""
    response = await http.request(method, path, content=body, headers=headers)
    assert (response.status_code, response.json()["code"]) == (status, code)
    assert response.json()["detail"].isprintable()
    assert service.rejections == 1
    assert not service.calls


async def _exchange(server, data):
    """Send bytes and return all bytes received until the connection is closed."""
    reader, writer = await asyncio.open_connection(*server.address.split(":"))
    writer.write(data)
    received = await asyncio.wait_for(reader.read(), 30)
    writer.close()
    return received


_HEAD = b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\n"
_CHUNKED = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    ("data", "status", "code"),
    [
        (_CHUNKED + b"7d1\r\n" + b" " * 2001, 413, 101),
        (_HEAD + b"Content-Length: 2001\r\n\r\n", 413, 101),
        (_CHUNKED + b"zz\r\n", 400, 100),
        (b"nonsense\r\n\r\n", 400, 100),
    ],
)
async def test_connection_is_closed_without_reading_the_rest(
    server, data, status, code
):
    """Reading stops at the limit, as the rest of a body could arrive for ever."""
    head, _, body = (await _exchange(server, data)).partition(b"\r\n\r\n")
    assert b" %d " % status in head
    assert json.loads(body)["code"] == code


async def test_response_reaches_a_caller_that_sends_too_much(http):
    """A connection reset must not discard the response that explains the error."""
    response = await http.post("/v1/jobs", content=b" " * 8_000_000, headers=KEY)
    assert (response.status_code, response.json()["code"]) == (413, 101)


async def test_slow_senders_are_disconnected(service, monkeypatch):
    """Connections of slow senders must not accumulate."""
    limits = intake.Limits(head_s=0.1)
    application = web.create_application(service, LIMITS)
    server = web.Server(application, "127.0.0.1", limits=limits)
    await server.start()
    monkeypatch.setattr(web, "BODY_TIMEOUT_S", 0.1)
    assert await _exchange(server, b"") == b""
    assert await _exchange(server, b"GET /healthz HT") == b""
    slow = await _exchange(server, _HEAD + b"Content-Length: 9\r\n\r\n{")
    assert b" 408 " in slow
    assert b"1 bytes in 0.1 s" in slow
    second = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\nGET /he"
    assert b" 200 " in await _exchange(server, second)
    await server.stop(1.0)


async def test_stop_finishes_requests_in_progress(service, server, http):
    """A planned stop interrupts no request and accepts no new connections."""
    service.proceed = asyncio.Event()
    request = asyncio.create_task(http.post("/v1/jobs", content=BODY, headers=KEY))
    await service.called.wait()
    stop = asyncio.create_task(server.stop(30.0))
    while True:
        try:
            await _exchange(server, b"GET /healthz HTTP/1.0\r\n\r\n")
        except ConnectionError:
            break
    service.proceed.set()
    assert (await request).json()["name"] == "COMPLETE"
    await stop


async def test_request_cancelled_by_a_stop_may_have_run(service, server, http):
    """The job of a request that is cancelled at the stop timeout may have run."""
    service.proceed = asyncio.Event()
    request = asyncio.create_task(http.post("/v1/jobs", content=BODY, headers=KEY))
    await service.called.wait()
    await server.stop(0.0)
    assert (await request).json()["start"] == "may have run"


async def test_address_in_use_is_a_settings_error(service, server):
    """The operator must get one line; uvicorn itself would end the process."""
    host, port = server.address.split(":")
    second = web.Server(web.create_application(service, LIMITS), host, int(port))
    with pytest.raises(errors.SettingsError, match=f"{server.address}: "):
        await second.start()
