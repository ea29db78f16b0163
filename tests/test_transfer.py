"""Tests reads of the store over slow and silent links."""

import asyncio
import json

import pytest

from burdockgate import errors
from burdockgate.platform import storeclient

PAGE = json.dumps(
    {"items": [{"key": "config", "value": "eHh4" * 500, "offset": 4}], "end": 5}
).encode()


async def _serve(parts, pause_s, is_cut):
    """Start a server that sends a page in parts, and then nothing if it is cut."""

    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(PAGE)}\r\n\r\n"
        writer.write(head.encode())
        size = len(PAGE) // parts + 1
        chunks = [PAGE[at : at + size] for at in range(0, len(PAGE), size)]
        for chunk in chunks[:-1] if is_cut else chunks:
            await asyncio.sleep(pause_s)
            writer.write(chunk)
        await asyncio.sleep(5)

    return await asyncio.start_server(handle, "127.0.0.1", 0)


@pytest.fixture
def limits(monkeypatch):
    monkeypatch.setattr(storeclient, "CALL_TIMEOUT_S", 0.3)
    monkeypatch.setattr(storeclient, "SILENCE_TIMEOUT_S", 0.3, raising=False)


async def _read(server):
    port = server.sockets[0].getsockname()[1]
    client = storeclient.PlatformStore(f"127.0.0.1:{port}")
    try:
        return await client.read_newest("keyed.op")
    finally:
        await client.close()
        server.close()


async def test_page_that_keeps_arriving_is_read(limits):
    """A configuration of 1,100 routes never arrived over a link of 2 Mbit/s.

    The time limit held for the whole transfer, and each retry began anew.
    """
    page = await _read(await _serve(10, 0.1, is_cut=False))
    assert [record.key for record in page.records] == ["config"]


async def test_page_that_stops_arriving_is_given_up(limits):
    """A connection can fall silent in the middle of a response."""
    started_at = asyncio.get_running_loop().time()
    with pytest.raises(errors.LogUnavailableError):
        await _read(await _serve(4, 0.05, is_cut=True))
    assert asyncio.get_running_loop().time() - started_at < 3


async def test_store_that_does_not_answer_is_given_up(limits):
    """Until a response begins, the time limit of the call holds."""

    async def handle(reader, writer):
        await asyncio.sleep(5)

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    with pytest.raises(errors.LogUnavailableError):
        await _read(server)
