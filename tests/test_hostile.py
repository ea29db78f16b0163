"""Guards the daemons against malformed input on their ports."""

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
_counter = itertools.count(1)


@pytest.fixture
async def system(shared_system):
    """Yield a running system, which must still complete a job after the test."""
    yield shared_system
    result = await shared_system.submit(f"good-{next(_counter)}", [1] * 24)
    assert (result.outcome, result.attempt) == ("complete", 1)
    assert all(process.is_running for process in shared_system.processes)
    assert shared_system.violations() == []
    assert [p.name for p in shared_system.processes if "Traceback" in p.stderr] == []


def _frame(body):
    return struct.pack(">I", len(body)) + body


def _hello(**fields):
    """Return an encoded ``Hello`` that adds no worker to the system."""
    fields = {"role": messages.Role.ENTRY, "service": "", "slots": 0} | fields
    return wire.encode(builders.hello(f"stranger-{next(_counter)}", **fields))


GOOD_HELLO = _hello()
BAD_STREAMS = {
    "text of another protocol": b"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
    "length over the limit": struct.pack(">I", wire.FRAME_LIMIT_BYTES + 1),
    "length of zero": struct.pack(">I", 0),
    "frame that is not msgpack": _frame(b"\xc1" * 40),
    "type that does not exist": _frame(b"\x91\xcc\xff"),
    "deep nesting": _frame(b"\x91" * 100_000),
    "message before Hello": wire.encode(messages.Leave()),
    "wrong protocol number": _hello(protocol=messages.PROTOCOL + 1),
    "second Hello": GOOD_HELLO + GOOD_HELLO,
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


def _count(system, name):
    return system.status(0)["counters"][name]


@pytest.mark.parametrize("role", ["entry", "agent"])
@pytest.mark.parametrize("data", BAD_STREAMS.values(), ids=BAD_STREAMS.keys())
async def test_bad_stream_is_closed_and_counted(system, role, data):
    """A faulty peer must not stop a daemon, and its connection must be closed."""
    host, port = _stream_addresses(system)[role].split(":")
    before = _count(system, "wire.rejected")
    reader, writer = await asyncio.open_connection(host, port)
    with contextlib.closing(writer):
        writer.write(data)
        await _read_to_end(reader)
    if role == "entry":
        assert _count(system, "wire.rejected") == before + 1


@pytest.mark.parametrize("role", ["entry", "agent"])
@pytest.mark.parametrize("sent_bytes", [1, HEADER_BYTES, len(GOOD_HELLO) - 1])
async def test_truncated_frame_ends_with_its_connection(system, role, sent_bytes):
    """A partial frame must not be handled as a message."""
    host, port = _stream_addresses(system)[role].split(":")
    names = ("sessions.opened", "wire.truncated")
    before = [_count(system, name) for name in names]
    reader, writer = await asyncio.open_connection(host, port)
    with contextlib.closing(writer):
        writer.write(GOOD_HELLO[:sent_bytes])
        writer.write_eof()
        await _read_to_end(reader)
    if role == "entry":
        after = [_count(system, name) for name in names]
        assert after == [before[0], before[1] + 1]


@pytest.mark.parametrize("role", ["entry", "agent"])
async def test_slow_sender_is_closed(system, role):
    """A peer that sends ``Hello`` too slowly must be disconnected."""
    host, port = _stream_addresses(system)[role].split(":")
    before = _count(system, "wire.timeouts")
    reader, writer = await asyncio.open_connection(host, port)

    async def send_slowly():
        with contextlib.suppress(ConnectionError):
            for byte in GOOD_HELLO[:-1]:
                writer.write(bytes((byte,)))
                await writer.drain()
                await asyncio.sleep(0.3)

    with contextlib.closing(writer):
        sending = asyncio.create_task(send_slowly())
        await _read_to_end(reader)
        assert not sending.done(), "closed only after the last byte"
        sending.cancel()
    if role == "entry":
        assert _count(system, "wire.timeouts") == before + 1


def _nested_body(levels):
    payload = b"[" * levels + b"]" * levels
    return b'{"guest":"a","service":"s","tasks":[{"payload":%b}]}' % payload


def _body(**fields):
    return json.dumps(processes.make_body([1]) | fields).encode()


BAD_BODIES = {
    "empty": (b"", 400),
    "not JSON": (b"{", 400),
    "not UTF-8": (b'{"guest":"\xff"}', 400),
    "not an object": (b"[]", 400),
    "unknown field": (_body(colour="red"), 400),
    "guest of a wrong type": (_body(guest=1), 400),
    "guest with a control character": (_body(guest="a\0b"), 400),
    "tasks of a wrong type": (_body(tasks={}), 400),
    "no task": (_body(tasks=[]), 400),
    "task without payload": (_body(tasks=[{}]), 400),
    "negative size": (_body(tasks=[{"payload": 1, "cores": -1}]), 400),
    "negative deadline": (_body(deadline_ms=-1), 400),
    "too deep": (_nested_body(65), 400),
    "far too deep": (_nested_body(500_000), 400),
    "too many tasks": (_body(tasks=[{"payload": 1}] * 1001), 413),
    "over the size limit": (b" " * 2_097_153, 413),
}


@pytest.mark.parametrize(("body", "status"), BAD_BODIES.values(), ids=BAD_BODIES.keys())
async def test_bad_body_gets_a_result_code_and_is_counted(system, body, status):
    """An invalid job must get an error of one line and start no task."""
    starts_before, rejected_before = (
        len(system.starts()),
        _count(system, "http.rejected"),
    )
    headers = {"Idempotency-Key": "bad"}
    async with httpx.AsyncClient(trust_env=False, timeout=20) as caller:
        url = f"{system.urls[0]}/v1/jobs"
        response = await caller.post(url, content=body, headers=headers)
    result = response.json()
    assert (response.status_code, result["start"]) == (status, "not run")
    assert 100 <= result["code"] <= 102
    assert result["outcome"] == "refused"
    assert 0 < len(result["detail"].splitlines()) <= 1
    assert _count(system, "http.rejected") == rejected_before + 1
    assert len(system.starts()) == starts_before


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
    """A malformed HTTP request must close its connection and have no other effect."""
    before = _count(system, "http.rejected")
    host, port = system.urls[0].removeprefix("http://").split(":")
    reader, writer = await asyncio.open_connection(host, port)
    with contextlib.closing(writer):
        writer.write(data)
        await _read_to_end(reader)
    assert _count(system, "http.rejected") == before + 1
