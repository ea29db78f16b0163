"""Tests of the client: it retries with one key and reports only outcomes from hosts."""

import asyncio
import json
import random

import pytest

import test_web
from burdockgate import client, codes, errors
from burdockgate.process import web
from burdockgate.request import outcome

BODY = {"guest": "g", "service": "s", "tasks": [{"payload": 1}]}
COMPLETE = outcome.Complete(1, (b'{"a":1}',))
LOST = outcome.Failed(1, codes.Code.WORKER_LOST, "lost")
FULL = outcome.Refused(codes.Code.BACKLOG_FULL, "full")


class _Service(test_web._Service):
    """Answers with each of ``results`` in turn and then always with the last one."""

    def __init__(self, *results):
        super().__init__()
        self.results = list(results)

    async def _call(self, *call):
        self.calls.append(call)
        return self.results.pop(0) if len(self.results) > 1 else self.results[0]

    def keys(self):
        return [call[2] for call in self.calls]


@pytest.fixture(autouse=True)
def _no_delay(monkeypatch):
    monkeypatch.setattr(client, "BACKOFF_BASE_S", 0.0)


@pytest.fixture
async def serve():
    """Return a function that starts an entry host for each service.

    It returns their URLs.
    """
    servers = []

    async def start(*services):
        for service in services:
            server = web.Server(
                web.create_application(service, test_web.LIMITS), "127.0.0.1"
            )
            await server.start()
            servers.append(server)
        return [f"http://{server.address}" for server in servers[-len(services) :]]

    yield start
    await asyncio.gather(*[server.stop(0.0) for server in servers])


@pytest.fixture
async def broken_host():
    """Return a function that starts a host and returns its URL.

    The host reads the head of a request, sends ``reply`` and closes the connection.
    """
    listeners = []

    async def start(reply=b""):
        async def handle(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(reply)
            writer.close()

        listeners.append(await asyncio.start_server(handle, "127.0.0.1", 0))
        return f"http://127.0.0.1:{listeners[-1].sockets[0].getsockname()[1]}"

    yield start
    for listener in listeners:
        listener.close()


class _FirstUrl(random.Random):
    """Makes the client start at the first URL."""

    def randrange(self, *args):
        return 0


def _client(urls, timeout_s=30.0):
    return client.Client(urls, timeout_s, _FirstUrl(1))


async def _unreachable_url():
    listener = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
    port = listener.sockets[0].getsockname()[1]
    listener.close()
    await listener.wait_closed()
    return f"http://127.0.0.1:{port}"


async def test_next_host_is_called_with_the_same_key(serve, broken_host):
    """A different key at the next host would start the tasks a second time."""
    service = _Service(LOST, COMPLETE)
    [url] = await serve(service)
    async with _client([await _unreachable_url(), await broken_host(), url]) as entry:
        answer = await entry.submit(BODY)
        assert (answer.outcome, answer.results) == ("complete", ({"a": 1},))
        assert answer.url == url
        assert service.keys() == [answer.key] * 2
        assert (await entry.submit(json.dumps(BODY).encode(), "mine")).key == "mine"
        assert service.keys()[2:] == ["mine"]


RESPONSE_HEAD = b"HTTP/1.1 502 Bad\r\nConnection: close\r\n\r\n"
INVALID_REPLIES = [
    b"",
    RESPONSE_HEAD + b"<html>",
    RESPONSE_HEAD + b'{"error": 1}',
    RESPONSE_HEAD
    + b'{"code":0,"start":"ran","outcome":"complete","attempt":1,"detail":"",'
    b'"key":"other","results":[]}',
    RESPONSE_HEAD
    + b'{"code":113,"start":"not run","outcome":"refused","attempt":0,"detail":"",'
    b'"key":""}',
    RESPONSE_HEAD
    + b'{"code":105,"start":"ran","outcome":"refused","attempt":1,"detail":"",'
    b'"key":"k"}',
]


@pytest.mark.parametrize("reply", INVALID_REPLIES, ids=range(len(INVALID_REPLIES)))
async def test_invalid_reply_is_not_taken_as_the_outcome(broken_host, reply):
    """A malformed answer, or one about another job, must not become the outcome."""
    async with _client([await broken_host(reply)]) as entry:
        with pytest.raises(errors.ClientError, match="key k: gave up after 8.* may "):
            await entry.submit(BODY, "k")


async def test_refusal_does_not_hide_an_unanswered_request(serve, broken_host):
    """A request to another host may still run the job after a refusal by this one."""
    urls = await serve(_Service(FULL))
    async with _client([await broken_host(), *urls]) as entry:
        with pytest.raises(errors.ClientError, match="BACKLOG_FULL.*may have run"):
            await entry.submit(BODY)
    async with _client([await _unreachable_url(), *urls]) as entry:
        assert (await entry.submit(BODY)).code is codes.Code.BACKLOG_FULL


async def test_unreachable_hosts_are_reported_as_such(broken_host):
    """The error must tell the caller that nothing was sent."""
    async with _client([await _unreachable_url()]) as entry:
        with pytest.raises(errors.ClientError, match="no request is left unanswered"):
            await entry.submit(BODY)
        with pytest.raises(errors.ClientError, match="GET /v1/status: gave up"):
            await entry.status()


@pytest.mark.parametrize(
    ("code", "tries"),
    [
        (codes.Code.WORKER_LOST, 8),
        (codes.Code.ANSWER_EXPIRED, 1),
        (codes.Code.CANCELLED_NOT_RUN, 1),
        (codes.Code.DEADLINE_MAY_HAVE_RUN, 1),
    ],
)
async def test_only_some_codes_are_retried(serve, code, tries):
    """Endless or pointless retries would add load when hosts are overloaded."""
    service = _Service(outcome.Failed(1, code, "x"))
    async with _client(await serve(service)) as entry:
        assert (await entry.submit(BODY)).code is code
    assert len(service.calls) == tries


async def test_retry_budget_is_shared_by_calls(serve):
    """Unlimited retries by many callers would keep an overloaded host overloaded."""
    service = _Service(FULL)
    async with _client(await serve(service)) as entry:
        for _ in range(10):
            await entry.submit(BODY)
    assert len(service.calls) <= 10 + client.RETRY_BUDGET_MAX + 1


async def test_retry_after_is_honoured(serve, monkeypatch):
    """A retry before the time in ``Retry-After`` would be refused again."""
    delays = []
    sleep = asyncio.sleep

    async def record(delay_s):
        delays.append(delay_s)
        await sleep(0)

    later = outcome.Refused(codes.Code.RATE_EXCEEDED, "x", 2.0)
    urls = await serve(_Service(later, COMPLETE), _Service(later))
    monkeypatch.setattr(client.asyncio, "sleep", record)
    async with _client(urls[:1]) as entry:
        assert (await entry.submit(BODY)).outcome == "complete"
    assert [delay for delay in delays if delay >= 2] == [2.0]
    monkeypatch.setattr(client, "RETRY_TIME_S", 1.0)
    async with _client(urls[1:]) as entry:
        assert (await entry.submit(BODY)).code is codes.Code.RATE_EXCEEDED


async def test_timeout_reports_that_the_job_may_have_run():
    """A host that never answers must not block the caller or count as a failed job."""

    async def handle(reader, writer):
        await reader.read()
        writer.close()

    listener = await asyncio.start_server(handle, "127.0.0.1", 0)
    port = listener.sockets[0].getsockname()[1]
    async with _client([f"http://127.0.0.1:{port}"], 0.2) as entry:
        with pytest.raises(errors.ClientError, match="within 0.2 s.*may have run"):
            await entry.submit(BODY)
    listener.close()


async def test_fetch_cancel_status_and_drain(serve):
    """Names with reserved characters must reach the host unchanged."""
    first, second = _Service(LOST), _Service(outcome.Pending(1))
    second.worker = "w/1"
    urls = await serve(first, second)
    async with _client(urls) as entry:
        assert (await entry.fetch("g/1", "a?b", 1.5)).code is codes.Code.WORKER_LOST
        assert (await entry.cancel("g/1", ".")).start == "may have run"
        assert first.calls == [("fetch", "g/1", "a?b", 1.5), ("cancel", "g/1", ".")]
        assert await entry.status() == {"workers": 3}
        assert await entry.drain("w/1")
        assert not await entry.drain("w2", active=False)
    async with _client([urls[0], await _unreachable_url()]) as entry:
        with pytest.raises(errors.ClientError, match="ConnectError"):
            await entry.drain("w2")
    for bad in ([], ["127.0.0.1:80"], ["http://"], ["http://h:x"]):
        with pytest.raises(errors.ClientError, match="urls: "):
            client.Client(bad)
