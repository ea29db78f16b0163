"""Measures the processor time of the agent's HTTP calls to its backend server."""

from __future__ import annotations

import asyncio
import time

from burdockgate import messages
from burdockgate.process import backend
from burdockgate.standin import costmeter


def measure_http_calls(calls: int, seed: int) -> dict[str, float]:
    """Call a backend server with the agent's client, and over a bare socket.

    The server runs on the same event loop and sends a fixed response. The calls over
    the bare socket show the cost of the server and the sockets alone.
    """
    return asyncio.run(_measure(calls))


async def _measure(calls: int) -> dict[str, float]:
    body = b'"' + b"x" * (costmeter.PAYLOAD_BYTES - 2) + b'"'
    head = f"HTTP/1.1 200 OK\r\ncontent-length: {len(body)}\r\n"
    answer = f"{head}content-type: application/json\r\n\r\n".encode() + body

    served: set[asyncio.Task[None]] = set()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        served.add(task)
        while await _read_request(reader):
            writer.write(answer)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    client = backend.BackendClient(f"http://127.0.0.1:{port}", 8, 1 << 20)
    await client.run(b"j" * 16, 1, 0, body, 5000)
    begin = time.process_time()
    for index in range(calls):
        report = await client.run(b"j" * 16, 1, index, body, 5000)
        if report.state is not messages.TaskState.DONE:
            raise AssertionError(f"backend call ended as {report}")
    client_s = time.process_time() - begin
    await client.close()
    socket_s = await _call_over_socket(port, calls, len(answer), body)
    await asyncio.gather(*served)
    server.close()
    return {
        "HTTP calls of the agent, client and server, ms": client_s * 1000,
        "HTTP calls over a bare socket, client and server, ms": socket_s * 1000,
    }


async def _read_request(reader: asyncio.StreamReader) -> bool:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lower = head.lower()
        at = lower.find(b"content-length:")
        if at >= 0:
            size = int(lower[at + 15 : lower.index(b"\r\n", at)])
            await reader.readexactly(size)
    except asyncio.IncompleteReadError:
        return False
    return True


async def _call_over_socket(port: int, calls: int, size: int, body: bytes) -> float:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    head = f"POST /tasks HTTP/1.1\r\ncontent-length: {len(body)}\r\n\r\n".encode()
    begin = time.process_time()
    for _ in range(calls):
        writer.write(head + body)
        await reader.readexactly(size)
    processor_s = time.process_time() - begin
    writer.close()
    return processor_s
