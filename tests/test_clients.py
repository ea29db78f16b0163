"""Clients outside the limits of a request: no process ends, grows or stops serving.

Each case opens a small crowd at one address of a process whose settings allow it little
memory and few descriptors, and leaves the crowd's connections open. Every client sends
a bounded number of bytes and ends when its connection does.
"""

import asyncio
import contextlib
import itertools
import pathlib
import socket
import struct

import httpx
import pytest

import platform_deployment

# The limits of the machine, and the bounds of each case: resident memory with the bytes
# that the kernel holds unread, and open descriptors (200 of ``maxFds`` are for files).
MEMORY_MB = 96
MAX_FDS = 500
MAX_OPEN = MAX_FDS - 200
SETTINGS = f"[limits]\nmemoryMb = {MEMORY_MB}\nmaxFds = {MAX_FDS}\n"
MB = 1 << 20
CROWD_S = 12
SAMPLE_S = 0.02
BODY_BYTES = 262_000
POST = b"POST /jobs/%016x HTTP/1.1\r\nHost: h.example\r\nDeadline-Ms: 60000\r\n"
BEAT = b"POST /burdockgate/instances/i-%d/heartbeat HTTP/1.1\r\nHost: h.example\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
LENGTH = b"Content-Length: %d\r\n\r\n"
PART = b" " * 16_384


class Crowd:
    """Connections to one address, which stay open until the crowd is closed.

    :param address: host and port.
    :param head: first line and fields of a request, with a place for a number.
    """

    def __init__(self, address, head):
        self.address = address
        self._head = head
        self._sockets = []
        self._numbers = itertools.count(1 << 32)

    def head(self):
        return self._head % next(self._numbers)

    async def send(self, pieces, pause_s=0.0, receive_bytes=None):
        """Open a connection and send the pieces, until the server closes it."""
        loop = asyncio.get_running_loop()
        client = socket.socket()
        client.setblocking(False)
        if receive_bytes:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        self._sockets.append(client)
        with contextlib.suppress(OSError):
            await loop.sock_connect(client, self.address)
            for piece in pieces:
                await loop.sock_sendall(client, piece)
                await asyncio.sleep(pause_s)

    async def send_all(self, clients):
        """Run the clients together; those that are not done in time stay open."""
        tasks = [asyncio.ensure_future(client) for client in clients]
        done, unfinished = await asyncio.wait(tasks, timeout=CROWD_S)
        for task in unfinished:
            task.cancel()
        await asyncio.gather(*unfinished, return_exceptions=True)
        for task in done:
            task.result()

    def close(self):
        for client in self._sockets:
            client.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            client.close()


class Watch:
    """Records the most memory and descriptors that a process had in use."""

    def __init__(self, process, ports):
        self.process = process
        self.memory_mb = 0.0
        self.open = 0
        self._ports = [f":{port:04X}" for port in ports]
        self._task = asyncio.create_task(self._run())

    async def _run(self):
        folder = pathlib.Path("/proc", str(self.process.pid))
        while True:
            with contextlib.suppress(OSError, StopIteration, ValueError):
                status = (folder / "status").read_text().splitlines()
                line = next(line for line in status if line.startswith("VmRSS:"))
                used = int(line.split()[1]) / 1024 + self._unread_bytes() / MB
                self.memory_mb = max(self.memory_mb, used)
                self.open = max(self.open, len(list((folder / "fd").iterdir())))
            await asyncio.sleep(SAMPLE_S)

    def _unread_bytes(self):
        rows = pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]
        columns = (row.split() for row in rows)
        return sum(
            int(row[4].partition(":")[2], 16)
            for row in columns
            if row[1][-5:] in self._ports and row[3] == "01"
        )

    def close(self):
        self._task.cancel()


async def head_without_end(crowd):
    start = crowd.head() + b"X-A: "
    return [crowd.send([start, *[b"a" * MB] * 20]) for _ in range(6)]


async def target_without_end(crowd):
    start = crowd.head().partition(b" HTTP")[0] + b"?"
    return [crowd.send([start, *[b"a" * MB] * 20]) for _ in range(6)]


async def fields_without_end(crowd):
    block = b"X-Field: value\r\n" * 4_096
    return [crowd.send([crowd.head(), *[block] * 40]) for _ in range(6)]


async def blank_lines_without_end(crowd):
    return [crowd.send([b"\r\n" * (MB // 2)] * 20) for _ in range(6)]


async def trailers_without_end(crowd):
    block = b"X-Field: value\r\n" * 4_096
    start = CHUNKED + b"2\r\n{}\r\n0\r\n"
    return [crowd.send([crowd.head() + start, *[block] * 40]) for _ in range(6)]


async def trailer_value_without_end(crowd):
    start = CHUNKED + b"2\r\n{}\r\n0\r\nX-A: "
    return [crowd.send([crowd.head() + start, *[b"a" * MB] * 20]) for _ in range(6)]


async def chunk_extensions_without_end(crowd):
    start = CHUNKED + b"2;x="
    return [crowd.send([crowd.head() + start, *[b"a" * MB] * 20]) for _ in range(6)]


def _whole(crowd):
    return crowd.head() + LENGTH % BODY_BYTES + b" " * (BODY_BYTES - 1)


async def bodies_at_once(crowd):
    return [crowd.send([_whole(crowd)]) for _ in range(400)]


def _parts():
    return [PART] * (BODY_BYTES // len(PART))


async def bodies_in_parts(crowd):
    start = LENGTH % BODY_BYTES
    return [
        crowd.send([crowd.head() + start, *_parts()], pause_s=0.1) for _ in range(400)
    ]


async def chunked_bodies_in_parts(crowd):
    chunk = b"%x\r\n%b\r\n" % (len(PART), PART)
    return [
        crowd.send([crowd.head() + CHUNKED, *[chunk] * 15], pause_s=0.1)
        for _ in range(400)
    ]


async def chunked_bodies_at_once(crowd):
    body = b"%x\r\n%b\r\n" % (BODY_BYTES, b" " * BODY_BYTES)
    return [crowd.send([crowd.head() + CHUNKED + body]) for _ in range(400)]


async def whole_bodies_at_once(crowd):
    job = b'{"spec":"","bestEffort":true,"steps":[{"count":1,"cpu":1600,"memMb":64}]}'
    body = LENGTH % BODY_BYTES + job.ljust(BODY_BYTES)
    return [crowd.send([crowd.head() + body]) for _ in range(300)]


async def silent_connections(crowd):
    return [crowd.send([]) for _ in range(400)]


async def slow_connections(crowd):
    head = crowd.head()
    pieces = [head[index : index + 1] for index in range(10)]
    return [crowd.send(pieces, pause_s=0.2) for _ in range(400)]


async def answers_unread(crowd):
    request = crowd.head().replace(b"POST", b"GET", 1) + b"\r\n"
    return [crowd.send([request * 200] * 4, receive_bytes=2_048) for _ in range(60)]


CASES = [
    head_without_end,
    target_without_end,
    fields_without_end,
    blank_lines_without_end,
    trailers_without_end,
    trailer_value_without_end,
    chunk_extensions_without_end,
    bodies_at_once,
    bodies_in_parts,
    chunked_bodies_at_once,
    chunked_bodies_in_parts,
    silent_connections,
    slow_connections,
    answers_unread,
]


@pytest.fixture
async def deployment(tmp_path):
    instance = platform_deployment.Deployment(tmp_path, 1, "127.0.1", SETTINGS)
    try:
        await instance.start()
        yield instance
    finally:
        await instance.close()


@pytest.fixture
def numbers():
    return itertools.count()


async def _check(deployment, name, crowd, case, is_answered):
    """Play a case against a process; check its bounds and one ordinary request."""
    process = deployment.process_by_name[name]
    watch = Watch(process, [crowd.address[1]])
    try:
        await crowd.send_all(await case(crowd))
        served = False
        with contextlib.suppress(TimeoutError):
            await deployment.wait_for(is_answered)
            served = True
    finally:
        watch.close()
        crowd.close()
    figures = f"{watch.memory_mb:.0f} MB, {watch.open} descriptors, served: {served}"
    print(f"{case.__name__} at {crowd.address[1]} of {name}: {figures}")
    assert process.returncode is None, figures
    assert watch.memory_mb <= MEMORY_MB, figures
    assert watch.open <= MAX_OPEN, figures
    assert served, figures


def _ordinary_job(deployment, numbers):
    async def is_answered():
        try:
            response = await deployment.post("127.0.1.11", f"{next(numbers):016x}")
        except httpx.HTTPError:
            return False
        return response.status_code == 200

    return is_answered


@pytest.mark.parametrize(
    "case", [*CASES, whole_bodies_at_once], ids=lambda case: case.__name__
)
async def test_clients_of_the_entry_host(deployment, numbers, case):
    """Clients outside the limits ended an entry host: it ran out of memory."""
    crowd = Crowd(("127.0.1.11", deployment.front_port), POST)
    is_answered = _ordinary_job(deployment, numbers)
    await _check(deployment, "entry-1", crowd, case, is_answered)


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.__name__)
async def test_clients_of_the_heartbeat_endpoint(deployment, numbers, case):
    """An agent that runs out of memory loses the runs of its worker."""
    crowd = Crowd(("127.0.1.21", deployment.heartbeat_port), BEAT)
    is_answered = _ordinary_job(deployment, numbers)
    await _check(deployment, "agent-1", crowd, case, is_answered)


METRICS_PORT = 9464
METRICS = b"POST /metrics HTTP/1.1\r\nHost: h.example\r\nX-Number: %d\r\n"


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.__name__)
async def test_clients_of_the_metrics_page(deployment, case):
    """The metrics page is open to anyone in the network of the machines."""
    crowd = Crowd(("127.0.1.11", METRICS_PORT), METRICS)

    async def is_answered():
        try:
            response = await deployment.get("127.0.1.11", METRICS_PORT, "/metrics")
        except httpx.HTTPError:
            return False
        return response.status_code == 200

    await _check(deployment, "entry-1", crowd, case, is_answered)
