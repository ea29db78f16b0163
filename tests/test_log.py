"""Guards the stand-in of the log: offsets, retention, faults, bad input."""

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


def _entered(store):
    """Return an event that is set once a reader begins to wait."""
    wait, entered = store.wait_for_offset, asyncio.Event()

    async def noticed(*arguments):
        entered.set()
        await wait(*arguments)

    store.wait_for_offset = noticed
    return entered


async def test_offsets_grow_and_records_expire(served):
    """Expired records must move ``first`` and never free their offsets."""
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


async def test_long_poll_ends_with_the_record(served):
    """A reader must not wait for its whole time once a record is there."""
    server, http, _ = served
    entered = _entered(server.store)
    poll = asyncio.create_task(http.get(f"{RECORDS}?from=0&wait_s=30", timeout=20))
    await entered.wait()
    await _append(http, "a")
    assert (await poll).json()["next"] == 1
    assert (await http.get(f"{RECORDS}?from=1&wait_s=0.01")).json()["records"] == []


async def test_pages_are_bounded(served):
    """A page must fit in a frame whatever the stream holds."""
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
async def test_bad_calls_get_one_line(served, path, body, status):
    """Bad input must be refused without a traceback and without effect."""
    server, http, _ = served
    answer = await http.post(path, content=body)
    assert answer.status_code == status
    assert "\n" not in answer.json()["error"]
    assert server.store.read_page("table", 0).next == 0


@pytest.mark.parametrize("query", ["from=-1", "from=x", "wait_s=31", "wait_s=nan"])
async def test_bad_queries_are_refused(served, query):
    _, http, _ = served
    assert (await http.get(f"{RECORDS}?{query}")).status_code == 400


async def test_faults_over_http(served):
    """Down has no effect, a lost answer has one, and both can be cleared."""
    server, http, _ = served
    entered = _entered(server.store)
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
    """A stop must answer readers at once that wait up to 30 s."""
    server = log.LogServer(log.LogStore())
    await server.start()
    async with httpx.AsyncClient(base_url=server.url, trust_env=False) as http:
        entered = _entered(server.store)
        poll = asyncio.create_task(http.get(f"{RECORDS}?wait_s=30", timeout=20))
        await entered.wait()
        await server.stop_now()
        assert (await poll).status_code == 200


async def test_taken_port_is_one_line(served):
    server, _, _ = served
    with pytest.raises(errors.SettingsError, match=f"127.0.0.1:{server.port}: "):
        await log.LogServer(log.LogStore(), port=server.port).start()
