"""Guards the stand-in of a backend server: its answers, faults and record of starts."""

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


async def post(client, payload, headers=HEADERS):
    return await client.post("/tasks", content=json.dumps(payload), headers=headers)


async def until_started(client, count):
    async with asyncio.timeout(10):
        while len((await client.get("/v1/starts")).json()) < count:
            pass


@pytest.mark.parametrize("payload", [{"a": [1, "ü"], "sleep_ms": 1}, None, 3, "x", []])
async def test_answer_names_task_payload_and_server(payload):
    async with serving() as (_, client):
        answer = await post(client, payload)
    assert answer.status_code == 200
    assert answer.json() == {"task": 5, "echo": payload, "server": "b-1"}


async def test_every_start_is_listed_even_when_the_task_fails_or_is_cut():
    async with serving() as (server, client):
        await post(client, {"fail": True})
        with pytest.raises(httpx.RemoteProtocolError):
            await post(client, {"cut": True})
        await post(client, 1)
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


async def test_padded_result_has_the_size_asked_for():
    async with serving() as (_, client):
        answer = await post(client, {"result_bytes": 5000})
    assert len(answer.content) == 5000
    assert answer.json()["echo"] == {"result_bytes": 5000}


async def test_hanging_task_ends_only_when_the_caller_goes_or_the_server_stops():
    async with serving() as (server, client):
        first = asyncio.create_task(post(client, {"hang": True}))
        second = asyncio.create_task(post(client, {"sleep_ms": 3_600_000}))
        await until_started(client, 2)
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
async def test_faults_change_the_answers(faults, status, health, starts):
    async with serving() as (server, client):
        assert (await client.post("/v1/faults", json=faults)).status_code == 200
        assert (await post(client, {"sleep_ms": 500})).status_code == status
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
async def test_malformed_task_is_refused_and_not_recorded(payload, headers):
    async with serving() as (server, client):
        answer = await post(client, payload, headers)
        assert answer.status_code == 400
        assert server.starts == []
