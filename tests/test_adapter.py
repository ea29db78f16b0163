"""Tests the platform's adapter: names in its wire format, and all kinds of response."""

import asyncio
import base64
import json
import struct

import pytest

from burdockgate import assignments, codes, errors
from burdockgate.platform import (
    asgi,
    boot,
    configuration,
    front,
    heartbeats,
    http,
    jobs,
    storeclient,
    worker,
)
from burdockgate.process import serving, workercontrol
from burdockgate.request import besteffort
from burdockgate.version import routes

SETTINGS = b"""
nodeName = "edge-1"
role = "entry"
ip = "127.0.0.1"
zone = "z1"
portRange = [7720, 7735]
seeds = ["10.1.0.13:8166", "10.2.0.30:8166"]
newField = "ignored"
[listen]
front = "127.0.0.1:8161"
ready = "127.0.0.1:8167"
control = "127.0.0.1:8166"
[bounds]
graceS = 6
maxHoldMs = 900
[platform]
address = "127.0.0.1:8169"
"""

ROUTE = routes.Route(
    "r", "h.example", "/jobs/", "svc", 1, 3, 1.6, 0.06, 1.5, needs_advice=False
)


class ScriptedServer:
    """An ASGI server that sends given responses in turn and records the requests.

    A response of ``None`` never comes.
    """

    def __init__(self, *responses):
        self.responses = list(responses)
        self.requests = []
        self.server = serving.Server(self, "127.0.0.1")

    async def __call__(self, scope, receive, send):
        body = await asgi.read_body(receive, 1 << 20)
        headers = {name.decode(): value.decode() for name, value in scope["headers"]}
        query = scope["query_string"].decode()
        self.requests.append((scope["path"], query, headers, body))
        response = self.responses.pop(0)
        if response is None:
            await asyncio.sleep(30)
            return
        status, body = response
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
        await asgi.send_response(send, status, body)


@pytest.fixture
async def start_server():
    servers = []

    async def start(*responses):
        server = ScriptedServer(*responses)
        await server.server.start()
        servers.append(server)
        return server

    yield start
    for server in servers:
        await server.server.stop_now()


# Settings.


def test_settings_are_decoded():
    """Seeds have heartbeat ports; agents connect to the first port of the range."""
    settings = boot.decode(SETTINGS)
    assert settings.entry_addresses() == ("10.1.0.13:7720", "10.2.0.30:7720")
    assert settings.entry_settings().port == 7720
    assert settings.agent_settings().executor.worker_lease_s == 0.9
    # Callers return after 1.3 s, and leases end 0.08 s earlier; 0.2 s are the margin.
    timeout_s = settings.entry_settings().scheduler.agent_timeout_s
    assert timeout_s == pytest.approx(1.3 - 0.08 + 0.2)


def test_time_until_callers_return_is_that_of_the_settings():
    """The limit of orphaned runs follows from it, so it must not be a constant."""
    content = SETTINGS.replace(b"maxHoldMs", b"retransmitMs = 1500\nmaxHoldMs")
    assert boot.decode(content).agent_settings().executor.caller_retry_s == 1.5
    assert boot.decode(SETTINGS).agent_settings().executor.caller_retry_s == 1.3
    # Entry hosts wait for silent agents by the same limit.
    timeout_s = boot.decode(content).entry_settings().scheduler.agent_timeout_s
    assert timeout_s == pytest.approx(1.5 - 0.08 + 0.2)


def test_cost_of_remote_data_is_that_of_the_settings():
    """With the constant 1.5 tasks left the rack of their data where that costs more."""
    content = SETTINGS.replace(b"maxHoldMs", b"remoteFactor = 3\nmaxHoldMs")
    assert boot.decode(content).entry_settings().selection.remote_data_factor == 3
    assert boot.decode(SETTINGS).entry_settings().selection.remote_data_factor == 1.5


@pytest.mark.parametrize(
    "content", [b"", b"nodeName = 1", b"\xff", SETTINGS.replace(b"ip =", b"pi =")]
)
def test_unusable_settings_are_reported_in_one_line(content):
    """The operator gets one line that names the problem, not a traceback."""
    with pytest.raises(errors.SettingsError) as caught:
        boot.decode(content)
    assert "\n" not in str(caught.value)


# Configuration.


def _configuration(**changes):
    fields = {
        "version": 7,
        "routes": [
            {
                "name": "r",
                "host": "h.example",
                "pathPrefix": "/jobs/",
                "service": "svc",
                "priority": 1,
                "timeoutMs": 1500,
                "targetLatencyMs": 60,
                "stretch": 1.6,
                "maxAttempts": 3,
            }
        ],
        "limits": {"maxBodyBytes": 1000},
    }
    return json.dumps({**fields, **changes}).encode()


def test_configuration_becomes_a_route_table():
    """The wire format has milliseconds, the route table seconds."""
    table = configuration.decode(_configuration())
    assert table == routes.RouteTable(7, (ROUTE,), 1000)
    assert table.match("h.example", "/jobs/ab") == ROUTE
    assert table.match("other.example", "/jobs/ab") is None


@pytest.mark.parametrize(
    "body", [b"", b"{", b"[]", _configuration(version="7"), _configuration(routes=3)]
)
def test_malformed_configuration_is_none(body):
    """A malformed record must not end the process or replace the route table."""
    assert configuration.decode(body) is None


# Heartbeats.


def _heartbeat(**changes):
    fields = {
        "service": "svc",
        "address": "10.0.0.9:8080",
        "zone": "z1",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "coldRemainingMs": 0,
        "capacity": {"cpu": 16000, "memMb": 32768, "gpu": 0},
        "labels": ["a", "r1-3"],
        "clockMs": 482113,
        "seq": 4,
        "born": 1700000000000,
    }
    return json.dumps({**fields, **changes}).encode()


def test_heartbeat_is_decoded():
    """Capacity, clock and start time of the worker must be in the right fields."""
    heartbeat = heartbeats.decode("i-1", _heartbeat(state="draining"))
    assert heartbeat == workercontrol.WorkerHeartbeat(
        "i-1",
        1700000000000,
        "svc",
        16000,
        32768,
        0,
        ("a", "r1-3"),
        True,
        4,
        482113,
        "10.0.0.9:8080",
    )


@pytest.mark.parametrize(
    "body",
    [
        b"\xff\xfe",
        b"{}",
        _heartbeat(state="unknown"),
        _heartbeat(seq="4"),
        _heartbeat(capacity=None),
        _heartbeat(capacity={"cpu": "many", "memMb": 1}),
        _heartbeat(labels=[1]),
    ],
)
def test_malformed_heartbeat_is_none(body):
    """Heartbeats with missing fields, wrong types or unknown states are ignored."""
    assert heartbeats.decode("i-1", body) is None


# Jobs.


def _job(**changes):
    fields = {
        "spec": "text",
        "bestEffort": True,
        "steps": [
            {"count": 2, "cpu": 500, "memMb": 64, "estimateMs": 900},
            {"count": 1, "cpu": 100, "after": [0], "requires": "a", "antiAffinity": 1},
        ],
    }
    return json.dumps({**fields, **changes}).encode()


def test_job_becomes_a_submission():
    """Steps, resources and the order of steps must be decoded."""
    submission = jobs.decode("ab12", _job(), ROUTE, 2.5)
    assert submission.steps == (
        besteffort.Step(2, 500, 64, 0, 0.9),
        besteffort.Step(1, 100, 0, 0, 0.0, (0,), "a", "", 1),
    )
    assert (submission.priority, submission.deadline_s) == (1, 2.5)


@pytest.mark.parametrize(
    ("body", "code"),
    [
        (b"{", codes.Code.INVALID_REQUEST),
        (_job(steps=[]), codes.Code.TOO_MANY_TASKS),
        (_job(steps=[{"count": 1, "after": [0]}]), codes.Code.INVALID_REQUEST),
        (_job(steps=[{"count": 10_001}]), codes.Code.TOO_MANY_TASKS),
        (_job(bestEffort=False), codes.Code.NOT_READY),
        (_job(steps=[{"count": 2, "gang": True}]), codes.Code.NOT_READY),
        (_job(repeatCount=3), codes.Code.NOT_READY),
    ],
)
def test_unsupported_job_is_refused_and_not_run(body, code):
    """A job that has to be stored must not be accepted and lost."""
    with pytest.raises(errors.RequestError) as caught:
        jobs.decode("ab12", body, ROUTE, 2.5)
    assert caught.value.code is code
    assert codes.start_class(code) is codes.StartClass.NOT_RUN


def test_status_tells_whether_tasks_may_have_run():
    """429 and 503 state that no task ran; after 502 and 504 tasks may have run."""
    assert jobs.encode(besteffort.Completed())[::2] == (200, b'{"state":"completed"}')
    assert (
        jobs.encode(besteffort.Failed(codes.Code.TASK_FAILED))[2]
        == b'{"state":"failed"}'
    )
    status, headers, _ = jobs.encode(besteffort.Refused(codes.Code.QUEUE_TIMEOUT, 1.2))
    assert (status, headers) == (503, {"Retry-After": "2"})
    assert jobs.encode(besteffort.Interrupted(codes.Code.OWNER_LOST))[0] == 502
    late = besteffort.Interrupted(codes.Code.DEADLINE_MAY_HAVE_RUN)
    assert jobs.encode(late)[0] == 504


@pytest.mark.parametrize(
    ("text", "seconds"), [("2500", 2.5), ("", 5.0), ("soon", 5.0), ("-4", 0.0)]
)
def test_deadline_header(text, seconds):
    """A malformed deadline is replaced by the default; a negative one by 0."""
    assert front._deadline_s({"deadline-ms": text}) == seconds


# Worker.

_KEY = assignments.RunKey(assignments.TaskKey("ab", 1, 17), 2)


async def test_start_command_on_the_wire(start_server):
    """The worker must get the lease, the fencing token and the expected instance."""
    server = await start_server((200, {"clockMs": 5}))
    client = worker.PlatformWorker(server.server.address)
    result = await client.start(workercontrol.StartCommand("i-1", _KEY, "text", 900, 7))
    await client.close()
    assert result == workercontrol.Accepted(5)
    path, _, headers, body = server.requests[0]
    assert path == "/burdockgate/run-start"
    assert headers["expected-instance"] == "i-1"
    assert json.loads(body) == {
        "task": "ab.0.1.17",
        "run": 2,
        "spec": "text",
        "deadlineMs": 900,
        "fencingToken": 7,
    }


@pytest.mark.parametrize(
    ("response", "expected"),
    [
        (
            (409, {"clockMs": 9, "reason": "fence"}),
            workercontrol.Refused(workercontrol.Refusal.FENCED, 9),
        ),
        (
            (409, {"clockMs": 9, "reason": "old"}),
            workercontrol.Refused(workercontrol.Refusal.OLD_RUN, 9),
        ),
        (
            (409, {"clockMs": 9, "reason": "late"}),
            workercontrol.Refused(workercontrol.Refusal.LATE, 9),
        ),
        ((421, b""), workercontrol.Refused(workercontrol.Refusal.OTHER_WORKER)),
        ((503, b""), workercontrol.Refused(workercontrol.Refusal.UNHEALTHY)),
        ((400, b"?"), workercontrol.Refused(workercontrol.Refusal.INVALID)),
        ((502, b""), workercontrol.Unanswered()),
        (None, workercontrol.Unanswered()),
    ],
)
async def test_responses_to_a_command(start_server, response, expected):
    """A command counts as refused only if it certainly was not carried out."""
    server = await start_server(response)
    client = worker.PlatformWorker(server.server.address)
    assert await client.stop(workercontrol.StopCommand("i-1", _KEY, 7)) == expected
    await client.close()


async def test_command_to_a_closed_port_was_not_sent(start_server):
    """A refused connection proves that the worker did nothing."""
    server = await start_server()
    await server.server.stop_now()
    client = worker.PlatformWorker(server.server.address)
    result = await client.stop(workercontrol.StopCommand("i-1", _KEY, 7))
    assert result == workercontrol.Refused(workercontrol.Refusal.NOT_SENT)


async def test_poll_decodes_the_lists_and_counts_unreadable_rows(start_server):
    """Malformed rows must not hide the others."""
    lists = {
        "clockMs": 10,
        "born": 3,
        "running": [["ab.0.1.17", 2, "", 41, 5], ["odd", 1, "", 0], 7],
        "finished": [[58, "ab.0.1.9", 1, "done", ""], [59, "ab.0.1.9", 1]],
    }
    server = await start_server((200, lists))
    client = worker.PlatformWorker(server.server.address)
    snapshot = await client.poll(workercontrol.PollCommand("i-1", 7, 57, None, 0))
    await client.close()
    other = assignments.RunKey(assignments.TaskKey("ab", 1, 9), 1)
    assert snapshot == workercontrol.Snapshot(
        10,
        3,
        (workercontrol.RunningEntry(_KEY, 41),),
        (workercontrol.FinishedEntry(58, other, workercontrol.EndReason.DONE),),
        3,
    )
    assert "deadlineMs" not in json.loads(server.requests[0][3])


# Store.


def _item(key, value, offset):
    return {
        "key": key,
        "value": base64.b64encode(value).decode(),
        "offset": offset,
    }


async def test_newest_reads_all_pages_and_skips_unreadable_items(start_server):
    """The end of the first page is returned, so that later changes are read again."""
    first = {"items": [_item("a", b"1", 0), 5], "more": True, "end": 4}
    second = {"items": [_item("b", b"2", 5)], "more": False, "end": 6}
    server = await start_server((200, first), (200, second))
    client = storeclient.PlatformStore(server.server.address)
    page = await client.read_newest("keyed.op")
    await client.close()
    assert [record.key for record in page.records] == ["a", "b"]
    assert (page.end, page.unreadable) == (4, 1)
    assert "after=a" in server.requests[1][1]


def _encode_read(*records):
    parts = [struct.pack(">QQ", 9, 0)]
    for key, value in records:
        record = bytes([len(key)]) + key + value
        parts.append(struct.pack(">I", len(record)) + record)
    return b"".join(parts)


async def test_changes_are_read_from_raw_records(start_server):
    """Offsets must advance by one for each record."""
    server = await start_server((200, _encode_read((b"config", b"{}"), (b"x", b""))))
    client = storeclient.PlatformStore(server.server.address)
    page = await client.read_changes("keyed.op", 4)
    await client.close()
    assert [(record.key, record.value) for record in page.records] == [
        ("config", b"{}"),
        ("x", b""),
    ]
    assert page.end == 6


async def test_expired_history_and_outage_raise_different_errors(start_server):
    """Expired history requires reading the newest records; an outage only a retry."""
    server = await start_server((410, {"first": 8}), (503, b""))
    client = storeclient.PlatformStore(server.server.address)
    with pytest.raises(errors.HistoryExpiredError):
        await client.read_changes("keyed.op", 4)
    with pytest.raises(errors.LogUnavailableError):
        await client.read_changes("keyed.op", 4)
    await client.close()


async def test_put_frames_the_key(start_server):
    """The record has the length of the key, the key and the value."""
    server = await start_server((200, {"offset": 0, "end": 1}))
    client = storeclient.PlatformStore(server.server.address)
    await client.put("keyed.entries", "edge-1", b"value")
    await client.close()
    assert server.requests[0][3] == b"\x00\x00\x00\x0c\x06edge-1value"


# HTTP.


async def test_client_reuses_its_connection(start_server):
    """Opening a connection for each request would be expensive."""
    server = await start_server(*[(200, b"{}")] * 5)
    client = http.Client(server.server.address, 4)
    for _ in range(5):
        assert (await client.request("GET", "/", 1.0)).status == 200
    assert len(client._idle) == 1
    client.close()


async def test_request_that_times_out_closes_its_connection(start_server):
    """A late response must not be taken for that of the next request."""
    server = await start_server(None, (200, b"second"))
    client = http.Client(server.server.address, 1)
    with pytest.raises(errors.UnansweredError):
        await client.request("GET", "/", 0.05)
    assert (await client.request("GET", "/", 1.0)).body == b"second"
    client.close()


@pytest.mark.parametrize("response", [b"nonsense\r\n\r\n", b"", b"HTTP/1.1 200 OK\r\n"])
async def test_malformed_response_leaves_the_request_unanswered(response):
    """Whatever the server sends, the caller gets one of the client's two errors."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(response)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    client = http.Client(f"127.0.0.1:{port}", 1)
    with pytest.raises(errors.UnansweredError):
        await client.request("GET", "/", 2.0)
    server.close()
