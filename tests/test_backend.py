"""Tests the state that each end of a call gives, and that no request is sent twice.

``RETURNED`` lets the owner start the task on another worker, so a wrong ``RETURNED``
would start the task twice.
"""

import asyncio
import contextlib
import json
import socket

import httpx
import pytest

from burdockgate import clock, errors, messages
from burdockgate.process import backend
from burdockgate.standin import backend as standin

State = messages.TaskState
JOB = b"j" * 16
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
OK = HEAD % 2 + b"42"


@contextlib.asynccontextmanager
async def raw_server(*responses):
    """Answer the n-th request with the n-th response and collect the requests.

    A response is bytes to send, or ``None`` to reset the connection. The connection is
    closed after each response except ``OK``.
    """
    requests = []

    async def serve(reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                size = int(head.lower().split(b"content-length:")[1].split()[0])
                requests.append(head + await reader.readexactly(size))
                response = responses[len(requests) - 1]
                if response is None:
                    writer.transport.abort()
                    return
                writer.write(response)
                if response != OK:
                    break
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    try:
        yield f"http://127.0.0.1:{port}", requests
    finally:
        server.close()


@contextlib.asynccontextmanager
async def backend_client(url, connections=4, limit=1000):
    client = backend.BackendClient(url, connections, limit, clock.ManualClock())
    try:
        yield client
    finally:
        await client.close()


@contextlib.asynccontextmanager
async def standin_server():
    server = standin.BackendServer("b", "127.0.0.1", 0, clock.ManualClock())
    await server.start()
    try:
        yield server, f"http://{server.address}"
    finally:
        await server.stop_now()


async def run(client, payload=b"1", timeout_ms=5000):
    return await client.run(JOB, 2, 7, payload, timeout_ms)


async def test_result_and_headers_pass_unchanged():
    async with standin_server() as (server, url), backend_client(url) as client:
        result = await run(client, b'{"a": 1.50}')
        assert await client.probe()
        server.faults = standin.Faults(down=True)
        assert not await client.probe()
    assert result.state is State.DONE
    assert result.payload == b'{"task":7,"echo":{"a": 1.50},"server":"b"}'
    assert server.starts == [standin.Start(JOB, 2, 7, 0, 0.0, b'{"a": 1.50}')]
    async with backend_client(url) as client:
        assert not await client.probe()


@pytest.mark.parametrize(
    ("response", "state"),
    [
        (OK, State.DONE),
        (HEAD % 3 + b"NaN", State.FAILED),
        (HEAD % 4 + b"\xff\xfe4\x00", State.FAILED),
        (HEAD % 0, State.FAILED),
        (HEAD % 5000 + b"1" * 5000, State.OVERSIZE),
        (HEAD % 1000 + b"1" * 1000, State.DONE),
        (b"HTTP/1.1 200 OK\r\n\r\n" + b"1" * 1001, State.OVERSIZE),
        (HEAD % 9 + b"42", State.UNKNOWN),
        (b"HTTP/1.1 500 X\r\nContent-Length: 9\r\n\r\nbad\n", State.FAILED),
        (b"HTTP/1.1 302 X\r\nLocation: /tasks\r\n\r\n", State.FAILED),
        (b"HTTP/1.1 204 X\r\n\r\n", State.FAILED),
        (b"not HTTP\r\n\r\n", State.UNKNOWN),
        (b"", State.UNKNOWN),
        (None, State.UNKNOWN),
    ],
)
async def test_state_of_each_answer_and_no_second_send(response, state):
    async with (
        raw_server(response, OK) as (url, requests),
        backend_client(url) as client,
    ):
        result = await run(client)
    assert result.state is state, result
    assert state is State.DONE or b"\n" not in result.payload
    assert len(requests) == 1


@pytest.mark.parametrize("response", [b"", None])
async def test_broken_kept_connection_is_unknown_and_not_sent_again(response):
    async with (
        raw_server(OK, response, OK) as (url, requests),
        backend_client(url) as client,
    ):
        assert (await run(client)).state is State.DONE
        assert (await run(client)).state is State.UNKNOWN
        assert len(requests) == 2


async def test_refused_connection_is_returned():
    with socket.create_server(("127.0.0.1", 0)) as closed:
        port = closed.getsockname()[1]
    async with backend_client(f"http://127.0.0.1:{port}") as client:
        result = await run(client)
    assert result.state is State.RETURNED
    assert b"ConnectError" in result.payload


async def test_connection_that_is_not_accepted_in_time_is_returned():
    with socket.create_server(("127.0.0.1", 0), backlog=0) as full:
        fillers = [socket.socket() for _ in range(4)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex(full.getsockname())
        async with backend_client(
            f"http://127.0.0.1:{full.getsockname()[1]}"
        ) as client:
            result = await run(client, timeout_ms=300)
        for filler in fillers:
            filler.close()
    assert result.state is State.RETURNED
    assert b"ConnectTimeout" in result.payload


async def test_call_without_a_free_connection_is_returned_and_not_sent():
    async with standin_server() as (server, url), backend_client(url, 1) as client:
        first = asyncio.create_task(run(client, b'{"hang": true}'))
        async with asyncio.timeout(10), httpx.AsyncClient() as standin_client:
            while not (await standin_client.get(f"{url}/v1/starts")).json():
                pass
        result = await run(client, timeout_ms=300)
        first.cancel()
        assert len(server.starts) == 1
    assert result.state is State.RETURNED
    assert b"PoolTimeout" in result.payload


async def test_timeout_after_the_send_is_unknown():
    async with standin_server() as (server, url), backend_client(url) as client:
        result = await run(client, b'{"hang": true}', 300)
        assert len(server.starts) == 1
    assert result.state is State.UNKNOWN


async def test_request_that_is_only_partly_written_is_unknown():
    """A connection that breaks during a write may have delivered the request."""

    async def reset(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.transport.abort()

    server = await asyncio.start_server(reset, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    async with backend_client(f"http://127.0.0.1:{port}") as client:
        result = await run(client, json.dumps("x" * 20_000_000).encode())
    server.close()
    assert result.state is State.UNKNOWN


@pytest.mark.parametrize("warm", [False, True])
async def test_cancelled_call_closes_its_request_and_loses_no_connection(warm):
    """Leaked connections would in time use up the pool of the agent."""
    async with standin_server() as (_, url):
        for steps in range(40):
            async with backend_client(url, 1) as client:
                if warm:
                    assert (await run(client)).state is State.DONE
                task = asyncio.create_task(run(client, b'{"hang": true}'))
                for _ in range(steps):
                    await asyncio.sleep(0)
                task.cancel()
                with pytest.raises(asyncio.CancelledError):
                    await task
                first = await run(client, timeout_ms=300)
                assert first.state in (State.DONE, State.RETURNED)
                assert (await run(client)).state is State.DONE


@pytest.mark.parametrize(
    "url", ["https://h:1", "h:1", "http://h/x", "http://[", "http://h:99999", ""]
)
def test_url_of_another_form_is_refused_in_one_line(url):
    with pytest.raises(errors.SettingsError) as caught:
        backend.BackendClient(url, 1, 1)
    assert len(caught.value.problems) == 1


async def test_cancelled_call_stops_the_task_at_the_backend_server():
    """A task that runs on after its cancellation keeps the backend server busy."""
    async with standin_server() as (server, url), backend_client(url) as client:
        task = asyncio.create_task(run(client, b'{"sleep_ms": 60000}', 60_000))
        async with asyncio.timeout(10):
            while not server.starts:
                await asyncio.sleep(0)
            task.cancel()
            while not server.stopped_count:
                await asyncio.sleep(0)
