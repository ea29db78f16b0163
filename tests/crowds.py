"""Crowds of clients outside the limits, and what a process may use meanwhile.

Every client sends a bounded number of bytes and ends when its connection does.
"""

import asyncio
import contextlib
import itertools
import pathlib
import socket
import struct

import attrs
import httpx

# The limits of the machine, and the bounds of each case: resident memory with the bytes
# that the kernel holds unread, and open descriptors (200 of ``maxFds`` are for files).
MEMORY_MB = 96
MAX_FDS = 500
MAX_OPEN = MAX_FDS - 200
SETTINGS = f"[limits]\nmemoryMb = {MEMORY_MB}\nmaxFds = {MAX_FDS}\n"
MB = 1 << 20
CROWD_S = 12
SAMPLE_S = 0.02
# For one ordinary request after the crowd.
ANSWER_S = 30
BODY_BYTES = 262_000
POST = b"POST /jobs/%016x HTTP/1.1\r\nHost: h.example\r\nDeadline-Ms: 60000\r\n"
BEAT = b"POST /burdockgate/instances/i-%d/heartbeat HTTP/1.1\r\nHost: h.example\r\n"
METRICS_PORT = 9464
METRICS = b"POST /metrics HTTP/1.1\r\nHost: h.example\r\nX-Number: %d\r\n"
READY = METRICS.replace(b"/metrics", b"/burdockgate/readyz")
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
        self._sockets.clear()


class Watch:
    """Records the most memory and descriptors that a process had in use."""

    def __init__(self, pid, ports):
        self._pid = pid
        self.memory_mb = 0.0
        self.open = 0
        self._ports = [f":{port:04X}" for port in ports]
        self._task = asyncio.create_task(self._run())

    async def _run(self):
        folder = pathlib.Path("/proc", str(self._pid))
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


def _unread(crowd, *requests):
    """Return clients that send requests in turn and read no answers."""
    return [
        crowd.send([request * 200] * 4, receive_bytes=2_048)
        for request, _ in zip(itertools.cycle(requests), range(60), strict=False)
    ]


def _without(head, name):
    lines = head.split(b"\r\n")
    return b"\r\n".join(line for line in lines if not line.startswith(name))


def _request(crowd):
    return crowd.head().replace(b"POST", b"GET", 1) + b"\r\n"


def _without_host(crowd):
    return _without(_request(crowd), b"Host")


def _without_deadline(crowd):
    return _without(crowd.head(), b"Deadline-Ms") + LENGTH % 2 + b"{}"


def _of_http_1_0(crowd):
    request = _request(crowd).replace(b"HTTP/1.1", b"HTTP/1.0", 1)
    return request[:-2] + b"Connection: keep-alive\r\n\r\n"


def _unknown_path(crowd):
    return b"GET /unknown" + _request(crowd).partition(b" ")[2]


def _behind_blank_lines(crowd):
    return b"\r\n" * 8 + _request(crowd)


async def unread_without_host(crowd):
    return _unread(crowd, _without_host(crowd))


async def unread_without_deadline(crowd):
    return _unread(crowd, _without_deadline(crowd))


async def unread_of_http_1_0(crowd):
    return _unread(crowd, _of_http_1_0(crowd))


async def unread_for_unknown_paths(crowd):
    return _unread(crowd, _unknown_path(crowd))


async def unread_between_blank_lines(crowd):
    return _unread(crowd, _behind_blank_lines(crowd))


UNREAD = [
    unread_without_host,
    unread_without_deadline,
    unread_of_http_1_0,
    unread_for_unknown_paths,
    unread_between_blank_lines,
]


async def unread_of_all_kinds(crowd):
    return _unread(
        crowd,
        _without_host(crowd),
        _without_deadline(crowd),
        _of_http_1_0(crowd),
        _unknown_path(crowd),
        _behind_blank_lines(crowd),
    )


async def mixed(crowd):
    """Play several kinds of crowd at once."""
    kinds = [
        head_without_end,
        blank_lines_without_end,
        trailers_without_end,
        answers_unread,
        unread_of_all_kinds,
    ]
    clients = [client for kind in kinds for client in await kind(crowd)]
    for kind in (bodies_at_once, bodies_in_parts, silent_connections):
        some = await kind(crowd)
        clients += some[:100]
        for unused in some[100:]:
            unused.close()
    return clients


FRAME = b"\0\x40\0\0"  # a length of 4 MiB


async def frames_without_end(crowd):
    """Send nearly all of the largest frame between processes."""
    return [crowd.send([FRAME, *[b"a" * (MB // 4)] * 15]) for _ in range(100)]


# What each port of the other processes is tried with.
PORT_CASES = [
    head_without_end,
    blank_lines_without_end,
    trailers_without_end,
    answers_unread,
    unread_of_all_kinds,
    silent_connections,
]


@attrs.frozen
class Target:
    """A process under a crowd."""

    pid: int
    # Returns whether the process lives.
    is_alive: object
    # Returns whether one ordinary request is answered.
    is_answered: object
    memory_mb: float = MEMORY_MB


async def wait_for(condition):
    """Return whether a condition holds within the time for one ordinary request."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(ANSWER_S):
            while not await condition():
                await asyncio.sleep(0.05)
            return True
    return False


async def check(target, name, crowds, case):
    """Play a case against a process; check its bounds and one ordinary request."""
    watch = Watch(target.pid, [crowd.address[1] for crowd in crowds])
    try:
        played = [crowd.send_all(await case(crowd)) for crowd in crowds]
        await asyncio.gather(*played)
        served = await wait_for(target.is_answered)
    finally:
        watch.close()
        for crowd in crowds:
            crowd.close()
    figures = f"{watch.memory_mb:.0f} MB, {watch.open} descriptors, served: {served}"
    ports = [crowd.address[1] for crowd in crowds]
    print(f"{case.__name__} at {ports} of {name}: {figures}")
    assert target.is_alive(), figures
    assert watch.memory_mb <= target.memory_mb, figures
    assert watch.open <= MAX_OPEN, figures
    assert served, figures


def deployed(deployment, name, is_answered):
    """Return a process of a deployment as a target."""
    process = deployment.process_by_name[name]
    return Target(process.pid, lambda: process.returncode is None, is_answered)


def ordinary_job(deployment):
    """Return a condition: whether a job with a number of its own is answered."""
    numbers = itertools.count()

    async def is_answered():
        try:
            response = await deployment.post("127.0.1.11", f"{next(numbers):016x}")
        except httpx.HTTPError:
            return False
        return response.status_code == 200

    return is_answered


def ordinary_page(deployment, host, port, path, status=200):
    """Return a condition: whether a page is answered with a status."""

    async def is_answered():
        try:
            response = await deployment.get(host, port, path)
        except httpx.HTTPError:
            return False
        return response.status_code == status

    return is_answered
