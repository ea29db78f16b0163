"""Connections with limits: legal requests are served, and refusals are true."""

import asyncio
import pathlib
import socket

import pytest

from burdockgate import clock
from burdockgate.platform import asgi, boot
from burdockgate.process import guard, intake, serving

LIMITS = intake.Limits(memory_mb=56, response_s=0.5)
HEAD = b"POST /%d HTTP/1.1\r\nHost: h\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
LEGAL_BYTES = 262_144


class _Application:
    """Responds with the size of the body, or with ``answer``."""

    def __init__(self):
        self.requests = []
        self.answer = b""

    async def __call__(self, scope, receive, send):
        try:
            body = await asgi.read_body(receive, LEGAL_BYTES)
        except asgi.CallerGoneError:
            return
        self.requests.append((scope["path"], len(body), scope["headers"]))
        await asgi.send_response(send, 200, self.answer or b"%d" % len(body))


@pytest.fixture
def application():
    return _Application()


@pytest.fixture
def reports():
    return []


@pytest.fixture
async def server(application, reports):
    time = clock.SystemClock()
    endpoint = guard.Endpoint(
        "callers",
        intake.Intake(LIMITS, time),
        time,
        4,
        lambda *row: reports.append(row),
    )
    running = serving.Server(application, "127.0.0.1", endpoint=endpoint)
    await running.start()
    yield running
    await running.stop_now()


async def _open(server, *pieces):
    reader, writer = await asyncio.open_connection(*server.address.split(":"))
    for piece in pieces:
        writer.write(piece)
        await writer.drain()
        await asyncio.sleep(0.001)
    return reader, writer


async def _exchange(server, *pieces):
    """Send the pieces and return what arrives until the connection is closed."""
    reader, writer = await _open(server, *pieces)
    received = await asyncio.wait_for(reader.read(), 20)
    writer.close()
    return received


CLOSE = b"Connection: close\r\n"


async def test_largest_legal_body_in_pieces_is_served(server):
    """A limit must not meet a caller that keeps to the platform's limits."""
    length = b"Content-Length: %d\r\n\r\n" % LEGAL_BYTES
    pieces = [b" " * 1024] * (LEGAL_BYTES // 1024)
    response = await _exchange(server, HEAD % 1 + CLOSE + length, *pieces)
    assert response.endswith(b"\r\n\r\n262144")
    chunks = [b"400\r\n" + piece + b"\r\n" for piece in pieces]
    end = b"0\r\nX-A: b\r\n\r\n"
    response = await _exchange(server, HEAD % 1 + CLOSE + CHUNKED, *chunks, end)
    assert response.endswith(b"\r\n\r\n262144")


async def test_trailers_do_not_become_fields_of_the_head(server, application):
    """A trailer could replace a field after the request was matched to a route."""
    end = b"2\r\n{}\r\n0\r\nHost: other\r\n\r\n"
    await _exchange(server, HEAD % 1 + CLOSE + CHUNKED + end)
    ((_, _, fields),) = application.requests
    assert [value for name, value in fields if name == b"host"] == [b"h"]


@pytest.mark.parametrize(
    ("data", "status", "reason"),
    [
        (HEAD % 1 + b"X: " + b"a" * 20_000, 431, intake.Reason.HEAD),
        (HEAD % 1 + b"X: " + b"a" * 17_000 + b"\r\n\r\n", 431, intake.Reason.HEAD),
        (HEAD % 1 + b"X: a\r\n" * 101 + b"\r\n", 431, intake.Reason.FIELDS),
        (b"GET /" + b"a" * 9_000, 431, intake.Reason.TARGET),
        (b"\r\n" * 600, 400, intake.Reason.BLANK),
        (b"nonsense\r\n\r\n", 400, intake.Reason.MALFORMED),
        (
            HEAD % 1 + CHUNKED + b"0\r\n" + (b"X: %b\r\n" % (b"a" * 3_000)) * 4,
            431,
            intake.Reason.TRAILERS,
        ),
    ],
)
async def test_request_over_a_limit_is_refused_and_counted(
    server, application, reports, data, status, reason
):
    """A refused request never reaches the application as a whole."""
    assert b" %d " % status in await _exchange(server, data)
    assert application.requests == []
    while not reports:
        await asyncio.sleep(0.05)
    assert reports == [("callers", {reason: 1})]


async def test_body_that_gives_way_gets_a_true_refusal(server, application):
    """Callers take 503 for "not run" and send the job again."""
    head = HEAD % 1 + b"Content-Length: 262144\r\n\r\n"
    body = b" " * 262_143
    connections = [await _open(server, head + body) for _ in range(4)]
    assert LIMITS.request_bytes < 8 * LEGAL_BYTES + 1
    assert b"200" in await _exchange(
        server, HEAD % 2 + CLOSE + b"Content-Length: 2\r\n\r\n{}"
    )
    refused = [reader for reader, _ in connections if reader.at_eof() or reader._buffer]
    assert len(refused) == 1
    response = await refused[0].read()
    assert b" 503 " in response
    assert b"retry-after: 1" in response
    assert [path for path, _, _ in application.requests] == ["/2"]
    for _, writer in connections:
        writer.close()


async def test_pipelined_requests_are_answered_in_order(server):
    """A refusal behind a job in progress would be taken for its response."""
    length = b"Content-Length: %d\r\n\r\n"
    requests = [HEAD % n + length % n + b" " * n for n in range(1, 6)]
    bad = b"GET /" + b"a" * 9_000
    response = await _exchange(server, b"".join(requests) + bad)
    assert b"431" not in response
    sizes = [part[:1] for part in response.split(b"\r\n\r\n")[1:]]
    assert sizes == [b"%d" % n for n in range(1, 1 + len(sizes))]


async def test_client_that_does_not_read_is_disconnected(server, application, reports):
    """Its response stayed in memory until the process ended."""
    application.answer = b"a" * 40_000_000
    _, writer = await _open(server, HEAD % 1 + b"\r\n")
    writer.transport.pause_reading()
    while not reports:
        await asyncio.sleep(0.05)
    assert set(reports[0][1]) <= {intake.Reason.UNREAD, intake.Reason.MEMORY}
    writer.close()


def _open_descriptors():
    return len(list(pathlib.Path("/proc/self/fd").iterdir()))


async def test_burst_of_connections_is_accepted_in_small_parts(server):
    """All connections in the queue were accepted before any of them was counted."""
    host, _, port = server.address.rpartition(":")
    clients = [socket.create_connection((host, int(port))) for _ in range(200)]
    before = _open_descriptors()
    most = 0
    for _ in range(400):
        await asyncio.sleep(0)
        most = max(most, _open_descriptors() - before)
    for client in clients:
        client.close()
    assert most <= 60


async def test_accepted_connections_have_a_small_receive_buffer(server):
    """What the kernel holds unread counts as memory of the process."""
    _, writer = await _open(server, HEAD % 1)
    ((listener,),) = [running.sockets for running in server._server.servers]
    size = listener.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
    # Linux doubles the size, for its own use.
    assert size <= 2 * intake.RECEIVE_BUFFER_BYTES
    writer.close()


def test_limits_come_from_the_settings_file():
    """The limits of the machine were not read."""
    content = (
        b'nodeName = "n"\nip = "127.0.0.1"\nzone = "z"\nportRange = [1, 2]\n[listen]\n'
        b'[platform]\naddress = "a"\n[limits]\nmemoryMb = 300\nmaxFds = 4100\n'
        b"cpuShare = 0.5\nbodyBytesPerS = 100\nheadBytes = 0\n"
    )
    expected = intake.Limits(memory_mb=300, max_fds=4100, body_bytes_per_s=100)
    assert boot.decode(content).client_limits() == expected
    assert boot.decode(content).entry_settings().limits == expected
