"""Guards the ports of running daemons against bad input."""

import asyncio
import contextlib
import itertools
import json
import struct

import httpx
import pytest

import builders
import processes
from burdockgate import messages, wire

HEADER_BYTES = 4
_numbers = itertools.count(1)


@pytest.fixture
async def system(shared_system):
    """Give a running system; after the test, it must still run a good job."""
    yield shared_system
    answer = await shared_system.submit(f"good-{next(_numbers)}", [1] * 24)
    assert (answer.outcome, answer.attempt) == ("complete", 1)
    assert all(process.is_running for process in shared_system.processes)
    assert shared_system.violations() == []
    assert [p.name for p in shared_system.processes if "Traceback" in p.stderr] == []


def _frame(body):
    return struct.pack(">I", len(body)) + body


def _hello(**fields):
    """Return an announcement that adds no worker to the system."""
    fields = {"role": messages.Role.ENTRY, "service": "", "slots": 0} | fields
    return wire.encode(builders.hello(f"stranger-{next(_numbers)}", **fields))


GOOD_HELLO = _hello()
BAD_STREAMS = {
    "text of another protocol": b"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
    "length over the limit": struct.pack(">I", wire.FRAME_LIMIT_BYTES + 1),
    "length of zero": struct.pack(">I", 0),
    "frame that is not msgpack": _frame(b"\xc1" * 40),
    "type that does not exist": _frame(b"\x91\xcc\xff"),
    "deep nesting": _frame(b"\x91" * 100_000),
    "message before the announcement": wire.encode(messages.Leave()),
    "wrong protocol number": _hello(protocol=messages.PROTOCOL + 1),
    "second announcement": GOOD_HELLO + GOOD_HELLO,
    "field of a wrong type": GOOD_HELLO + _frame(b"\x93\x03\xa1x\x01"),
}


def _stream_addresses(system):
    ports = system.agent_ports[0]
    return {"entry": system.seeds[0], "agent": f"127.0.0.1:{ports}"}


async def _read_to_end(reader):
    """Read until the peer closes or resets the connection."""
    async with asyncio.timeout(processes.LIMIT_S):
        with contextlib.suppress(ConnectionError):
            while await reader.read(65536):
                pass


def _counted(system, name):
    return system.status(0)["counters"][name]


@pytest.mark.parametrize("role", ["entry", "agent"])
@pytest.mark.parametrize("data", BAD_STREAMS.values(), ids=BAD_STREAMS.keys())
async def test_bad_stream_is_closed_and_counted(system, role, data):
    """One bad peer must neither stop a daemon nor keep its connection."""
    host, port = _stream_addresses(system)[role].split(":")
    before = _counted(system, "wire.rejected")
    reader, writer = await asyncio.open_connection(host, port)
    with contextlib.closing(writer):
        writer.write(data)
        await _read_to_end(reader)
    if role == "entry":
        assert _counted(system, "wire.rejected") == before + 1


@pytest.mark.parametrize("role", ["entry", "agent"])
@pytest.mark.parametrize("cut", [1, HEADER_BYTES, len(GOOD_HELLO) - 1])
async def test_truncated_frame_ends_with_its_connection(system, role, cut):
    """A part of a frame must not be taken for a message."""
    host, port = _stream_addresses(system)[role].split(":")
    names = ("sessions.opened", "wire.truncated")
    before = [_counted(system, name) for name in names]
    reader, writer = await asyncio.open_connection(host, port)
    with contextlib.closing(writer):
        writer.write(GOOD_HELLO[:cut])
        writer.write_eof()
        await _read_to_end(reader)
    if role == "entry":
        after = [_counted(system, name) for name in names]
        assert after == [before[0], before[1] + 1]


@pytest.mark.parametrize("role", ["entry", "agent"])
async def test_slow_sender_is_closed(system, role):
    """A peer that never finishes its announcement must not keep a connection."""
    host, port = _stream_addresses(system)[role].split(":")
    before = _counted(system, "wire.timeouts")
    reader, writer = await asyncio.open_connection(host, port)

    async def drip():
        with contextlib.suppress(ConnectionError):
            for byte in GOOD_HELLO[:-1]:
                writer.write(bytes((byte,)))
                await writer.drain()
                await asyncio.sleep(0.3)

    with contextlib.closing(writer):
        dripping = asyncio.create_task(drip())
        await _read_to_end(reader)
        assert not dripping.done(), "closed only after the last byte"
        dripping.cancel()
    if role == "entry":
        assert _counted(system, "wire.timeouts") == before + 1


def _deep(levels):
    payload = b"[" * levels + b"]" * levels
    return b'{"guest":"a","service":"s","tasks":[{"payload":%b}]}' % payload


def _job(**fields):
    return json.dumps(processes.make_body([1]) | fields).encode()


BAD_BODIES = {
    "empty": (b"", 400),
    "not JSON": (b"{", 400),
    "not UTF-8": (b'{"guest":"\xff"}', 400),
    "not an object": (b"[]", 400),
    "unknown field": (_job(colour="red"), 400),
    "guest of a wrong type": (_job(guest=1), 400),
    "guest with a control character": (_job(guest="a\0b"), 400),
    "tasks of a wrong type": (_job(tasks={}), 400),
    "no task": (_job(tasks=[]), 400),
    "task without payload": (_job(tasks=[{}]), 400),
    "negative size": (_job(tasks=[{"payload": 1, "cores": -1}]), 400),
    "negative deadline": (_job(deadline_ms=-1), 400),
    "too deep": (_deep(65), 400),
    "far too deep": (_deep(500_000), 400),
    "too many tasks": (_job(tasks=[{"payload": 1}] * 1001), 413),
    "over the size limit": (b" " * 2_097_153, 413),
}


@pytest.mark.parametrize(("body", "status"), BAD_BODIES.values(), ids=BAD_BODIES.keys())
async def test_bad_body_gets_a_result_code_and_is_counted(system, body, status):
    """A caller's mistake must be answered in one line and start nothing."""
    starts, before = len(system.starts()), _counted(system, "http.rejected")
    headers = {"Idempotency-Key": "bad"}
    async with httpx.AsyncClient(trust_env=False, timeout=20) as caller:
        url = f"{system.urls[0]}/v1/jobs"
        reply = await caller.post(url, content=body, headers=headers)
    answer = reply.json()
    assert (reply.status_code, answer["start"]) == (status, "not run")
    assert 100 <= answer["code"] <= 102
    assert answer["outcome"] == "refused"
    assert 0 < len(answer["detail"].splitlines()) <= 1
    assert _counted(system, "http.rejected") == before + 1
    assert len(system.starts()) == starts


BAD_REQUESTS = {
    "garbage": b"\x00\xff\x00\xff\r\n\r\n",
    "frame between nodes": GOOD_HELLO + b"\r\n\r\n",
    "two lengths": b"POST /v1/jobs HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n"
    b"Content-Length: 2\r\n\r\n{",
    "negative length": b"POST /v1/jobs HTTP/1.1\r\nHost: a\r\n"
    b"Content-Length: -1\r\n\r\n",
    "endless header": b"GET / HTTP/1.1\r\nA: " + b"a" * 200_000,
}


@pytest.mark.parametrize("data", BAD_REQUESTS.values(), ids=BAD_REQUESTS.keys())
async def test_bad_http_is_closed_and_counted(system, data):
    """Bytes that are no HTTP request must end the connection, and nothing else."""
    before = _counted(system, "http.rejected")
    host, port = system.urls[0].removeprefix("http://").split(":")
    reader, writer = await asyncio.open_connection(host, port)
    with contextlib.closing(writer):
        writer.write(data)
        await _read_to_end(reader)
    assert _counted(system, "http.rejected") == before + 1
