"""Tests the stand-in for a backend server: responses, faults and recorded starts."""

import asyncio
import contextlib
import json

import httpx
import pytest

from burdockgate import clock
from burdockgate.standin import backend

HEADERS = {
    "Burdockgate-Job": "0a" * 16,
    "Burdockgate-Attempt": "2",
    "Burdockgate-Task": "5",
}


@contextlib.asynccontextmanager
async def serving():
    server = backend.BackendServer("b-1", "127.0.0.1", 0, clock.ManualClock(7.5))
    await server.start()
    try:
        async with httpx.AsyncClient(base_url=f"http://{server.address}") as client:
            yield server, client
    finally:
        await server.stop_now()


async def post_task(client, payload, headers=HEADERS):
    return await client.post("/tasks", content=json.dumps(payload), headers=headers)


async def wait_for_starts(client, count):
    async with asyncio.timeout(10):
        while len((await client.get("/v1/starts")).json()) < count:
            pass


@pytest.mark.parametrize("payload", [{"a": [1, "ü"], "sleep_ms": 1}, None, 3, "x", []])
async def test_result_contains_task_payload_and_server(payload):
    async with serving() as (_, client):
        answer = await post_task(client, payload)
    assert answer.status_code == 200
    assert answer.json() == {"task": 5, "echo": payload, "server": "b-1"}


async def test_all_starts_are_listed_including_failed_and_cut_tasks():
    async with serving() as (server, client):
        await post_task(client, {"fail": True})
        with pytest.raises(httpx.RemoteProtocolError):
            await post_task(client, {"cut": True})
        await post_task(client, 1)
        listed = (await client.get("/v1/starts?from=1")).json()
    first = backend.Start(b"\x0a" * 16, 2, 5, 0, 7.5, b'{"fail": true}')
    assert server.starts[0] == first
    assert [entry["sequence"] for entry in listed] == [1, 2]
    assert listed[1] == {
        "job": "0a" * 16,
        "attempt": 2,
        "task": 5,
        "sequence": 2,
        "at": 7.5,
        "payload": 1,
    }


async def test_result_is_padded_to_the_requested_size():
    async with serving() as (_, client):
        answer = await post_task(client, {"result_bytes": 5000})
    assert len(answer.content) == 5000
    assert answer.json()["echo"] == {"result_bytes": 5000}


async def test_hanging_task_ends_only_on_disconnect_or_server_stop():
    async with serving() as (server, client):
        first = asyncio.create_task(post_task(client, {"hang": True}))
        second = asyncio.create_task(post_task(client, {"sleep_ms": 3_600_000}))
        await wait_for_starts(client, 2)
        assert not first.done() and not second.done()
        first.cancel()
        await server.stop_now()
        with pytest.raises(httpx.RequestError):
            await second


@pytest.mark.parametrize(
    ("faults", "status", "health", "starts"),
    [
        ({"down": True}, 503, 503, 0),
        ({"fail_all": True}, 500, 200, 1),
        ({"slow_factor": 0}, 200, 200, 1),
    ],
)
async def test_faults_change_the_responses(faults, status, health, starts):
    async with serving() as (server, client):
        assert (await client.post("/v1/faults", json=faults)).status_code == 200
        assert (await post_task(client, {"sleep_ms": 500})).status_code == status
        assert (await client.get("/healthz")).status_code == health
        assert len(server.starts) == starts


@pytest.mark.parametrize(
    ("payload", "headers"),
    [
        ({"sleep_ms": "long"}, HEADERS),
        ({"result_bytes": -1}, HEADERS),
        (1, {**HEADERS, "Burdockgate-Job": "0a"}),
        (1, {}),
    ],
)
async def test_malformed_task_is_rejected_and_not_recorded(payload, headers):
    async with serving() as (server, client):
        answer = await post_task(client, payload, headers)
        assert answer.status_code == 400
        assert server.starts == []
