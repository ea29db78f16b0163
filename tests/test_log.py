"""Tests the log stand-in: offsets, retention, faults and invalid input."""

import asyncio

import httpx
import pytest

from burdockgate import clock, errors
from burdockgate.standin import log

RECORDS = "/v1/streams/table/records"


@pytest.fixture
async def served():
    manual = clock.ManualClock()
    server = log.LogServer(log.LogStore(manual, retention_s=60))
    await server.start()
    async with httpx.AsyncClient(base_url=server.url, trust_env=False) as http:
        yield server, http, manual
    await server.stop_now()


async def _append(http, record_id, value=None):
    return await http.post(RECORDS, json={"id": record_id, "value": value})


def _watch_waits(store):
    """Return an event that is set when a reader begins to wait."""
    wait, entered = store.wait_for_offset, asyncio.Event()

    async def notify_and_wait(*arguments):
        entered.set()
        await wait(*arguments)

    store.wait_for_offset = notify_and_wait
    return entered


async def test_offsets_grow_and_records_expire(served):
    """Expired records must advance ``first``, and their offsets are never reused."""
    _, http, manual = served
    assert (await _append(http, "a", {"x": [1.5, "é"]})).json() == {"offset": 0}
    manual.advance(50)
    assert (await _append(http, "a")).json() == {"offset": 1}
    page = (await http.get(RECORDS)).json()
    assert page["records"][0] == {"offset": 0, "id": "a", "value": {"x": [1.5, "é"]}}
    manual.advance(20)
    assert (await http.get(RECORDS)).json() == {
        "first": 1,
        "next": 2,
        "records": [{"offset": 1, "id": "a", "value": None}],
    }
    manual.advance(60)
    empty = {"first": 2, "next": 2, "records": []}
    assert (await http.get(RECORDS)).json() == empty
    assert (await _append(http, "b")).json() == {"offset": 2}


async def test_long_poll_returns_on_append(served):
    """A long poll must return as soon as a record is appended."""
    server, http, _ = served
    entered = _watch_waits(server.store)
    poll = asyncio.create_task(http.get(f"{RECORDS}?from=0&wait_s=30", timeout=20))
    await entered.wait()
    await _append(http, "a")
    assert (await poll).json()["next"] == 1
    assert (await http.get(f"{RECORDS}?from=1&wait_s=0.01")).json()["records"] == []


async def test_page_size_is_limited(served):
    """A page must fit in a frame, whatever the size of the stream."""
    server, http, _ = served
    for number in range(4):
        server.store.append("table", str(number), '"' + "x" * 900_000 + '"')
    page = (await http.get(RECORDS)).json()
    assert page["next"] == len(page["records"]) == 2
    assert (await http.get(f"{RECORDS}?from=2")).json()["next"] == 4


@pytest.mark.parametrize(
    ("path", "body", "status"),
    [
        (RECORDS, b"{", 400),
        (RECORDS, b"[" * 100_000, 400),
        (RECORDS, b"[]", 400),
        (RECORDS, b'{"value":1}', 400),
        (RECORDS, b'{"id":"a"}', 400),
        (RECORDS, b'{"id":"a b","value":1}', 400),
        (RECORDS, b'{"id":"a","value":NaN}', 400),
        (RECORDS, b'{"id":"a","value":1e999}', 400),
        (RECORDS, b'{"id":"a","value":"' + b"x" * 2**20 + b'"}', 413),
        ("/v1/streams/A%0A/records", b'{"id":"a","value":1}', 400),
        ("/v1/faults", b'{"delay_s":-1}', 400),
        ("/v1/faults", b'{"lose_answers":["no"]}', 400),
        ("/v1/nothing", b"", 404),
    ],
)
async def test_invalid_requests_get_one_line_errors(served, path, body, status):
    """Invalid input must be rejected with one line of text and have no effect."""
    server, http, _ = served
    answer = await http.post(path, content=body)
    assert answer.status_code == status
    assert "\n" not in answer.json()["error"]
    assert server.store.read_page("table", 0).next == 0


@pytest.mark.parametrize("query", ["from=-1", "from=x", "wait_s=31", "wait_s=nan"])
async def test_invalid_query_parameters_are_rejected(served, query):
    _, http, _ = served
    assert (await http.get(f"{RECORDS}?{query}")).status_code == 400


async def test_faults_over_http(served):
    """Down rejects an append, a lost response does not, and faults can be cleared."""
    server, http, _ = served
    entered = _watch_waits(server.store)
    poll = asyncio.create_task(http.get(f"{RECORDS}?wait_s=30", timeout=20))
    await entered.wait()
    await http.post("/v1/faults", json={"down": True})
    assert (await poll).status_code == 503
    assert (await _append(http, "a")).status_code == 503
    assert server.store.read_page("table", 0).next == 0
    await http.post("/v1/faults", json={"lose_answers": "error"})
    assert (await _append(http, "a")).status_code == 500
    await http.post("/v1/faults", json={"lose_answers": "cut"})
    with pytest.raises(httpx.RemoteProtocolError):
        await _append(http, "b")
    cleared = await http.post("/v1/faults", json={})
    assert cleared.json() == {"down": False, "delay_s": 0.0, "lose_answers": "no"}
    assert [r.id for r in server.store.read_page("table", 0).records] == ["a", "b"]


async def test_stop_ends_long_polls():
    """A stop must answer long polls at once, although they may wait for 30 s."""
    server = log.LogServer(log.LogStore())
    await server.start()
    async with httpx.AsyncClient(base_url=server.url, trust_env=False) as http:
        entered = _watch_waits(server.store)
        poll = asyncio.create_task(http.get(f"{RECORDS}?wait_s=30", timeout=20))
        await entered.wait()
        await server.stop_now()
        assert (await poll).status_code == 200


async def test_port_in_use_is_a_one_line_error(served):
    server, _, _ = served
    with pytest.raises(errors.SettingsError, match=f"127.0.0.1:{server.port}: "):
        await log.LogServer(log.LogStore(), port=server.port).start()
