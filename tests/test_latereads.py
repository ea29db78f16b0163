"""Requests that an entry host reads late, when their callers may have left.

A caller that has left sends its job to another entry host after the retry delay, so a
task that is started for it here may run there as well. Clients are plain sockets on
loopback; the entry host's decisions, server and event loop are the real ones, and the
loop stands still while the clients act.
"""

import asyncio
import gc
import json
import random
import socket
import struct
import time
import weakref
from unittest import mock

import pytest

from burdockgate import assignments, clock
from burdockgate.platform import front
from burdockgate.process import entrydaemon, guard, intake, scheduler, serving
from burdockgate.version import routes

ROUTE = routes.Route(
    "r", "h.example", "/jobs/", "svc", 1, 3, 1.6, 0.06, 1.5, needs_advice=False
)
JOB = {
    "spec": "text",
    "bestEffort": True,
    "steps": [{"count": 2, "cpu": 1000, "memMb": 64, "estimateMs": 300}],
}
# Longer than any pause of a healthy event loop.
STANDSTILL_S = 0.4
# In which the entry host handles all that waits in its sockets.
SETTLED_S = 0.3
CALLERS = 12
RESET = struct.pack("ii", 1, 0)


class EntryHost:
    """An entry host that serves callers over HTTP, with one agent's connection."""

    def __init__(self):
        settings = entrydaemon.EntryDaemonSettings(
            "e1", "z1", "127.0.0.1", 7720, 4.0, "topic", "key"
        )
        store = mock.Mock(put=mock.AsyncMock())
        self.daemon = entrydaemon.EntryDaemon(settings, store, mock.Mock())
        self.daemon.routes = routes.RouteTable(1, (ROUTE,), 1 << 18)
        self.agent = mock.Mock()
        time = clock.SystemClock()
        endpoint = guard.Endpoint(
            "callers",
            intake.Intake(intake.Limits(), time),
            time,
            1000,
            lambda name, counts: None,
        )
        self.server = serving.Server(
            front.CallerApplication(self.daemon), "127.0.0.1", endpoint=endpoint
        )

    async def start(self):
        await self.server.start()
        self.daemon.background.keep_running(self.daemon._run_timers)
        hello = assignments.AgentHello(
            assignments.PROTOCOL, "a1", 5, "z1", self.daemon.boot, ()
        )
        self.daemon.handle_message(self.agent, hello)
        info = assignments.WorkerInfo("w1", 1, "svc", 64_000, 65_536, 0, ("a", "r1"))
        self.daemon.handle_message(self.agent, info)
        self.report()

    def report(self, free_cpu=64_000):
        """Handle a load report, as the agent's next one waits in its connection."""
        report = assignments.LoadReport(
            1,
            self.daemon.scheduler.fleet.view_by_agent["a1"].last_assign_number,
            assignments.WorkerState.READY,
            True,
            free_cpu,
            65_536,
            0,
            0,
            0,
            1000,
            True,
            0,
        )
        self.daemon.handle_message(self.agent, report)

    def assigned_jobs(self):
        messages = (call.args[0] for call in self.agent.send.call_args_list)
        return {
            message.job
            for message in messages
            if isinstance(message, assignments.Assign)
        }

    async def stop(self):
        await self.daemon.background.cancel()
        await self.server.stop_now()

    def connect(self):
        caller = socket.create_connection(("127.0.0.1", self.server.port))
        caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return caller


def _request(job, pieces=1):
    """Return a request in one piece or in several."""
    body = json.dumps(JOB).encode()
    request = (
        f"POST /jobs/{job} HTTP/1.1\r\nHost: h.example\r\nDeadline-Ms: 4000\r\n"
        f"Connection: close\r\nContent-Length: {len(body)}\r\n\r\n"
    ).encode() + body
    size = -(-len(request) // pieces)
    return [request[index : index + size] for index in range(0, len(request), size)]


def _leave(caller, how):
    if how == "reset":
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    caller.close()


@pytest.fixture
async def entry_host():
    instance = EntryHost()
    await instance.start()
    try:
        yield instance
    finally:
        await instance.stop()


@pytest.fixture
def long_delay(monkeypatch):
    """Lengthen the delay of late requests, so that a busy machine doesn't matter."""
    monkeypatch.setattr(scheduler, "LATE_REQUEST_DELAY_S", SETTLED_S / 2)


@pytest.fixture(params=[scheduler.LATE_REQUEST_DELAY_S, 0.0], ids=["", "undelayed"])
def delay(request, monkeypatch):
    """Set the delay of late requests; the end of a connection must be seen at once."""
    monkeypatch.setattr(scheduler, "LATE_REQUEST_DELAY_S", request.param)


def _stand_still(entry_host, seconds):
    """Let the event loop stand still; reports of the agent wait meanwhile."""
    time.sleep(seconds)
    entry_host.report()


@pytest.mark.parametrize("how", ["closed", "reset"])
@pytest.mark.parametrize("pieces", [1, 5])
async def test_no_task_starts_for_callers_that_left_in_the_queue_of_the_listener(
    entry_host, how, pieces, delay
):
    """Tasks had two runs: their callers had sent the jobs elsewhere meanwhile."""
    rng = random.Random(1)
    for number in range(CALLERS):
        caller = entry_host.connect()
        for piece in _request(f"{number:016x}", pieces):
            caller.sendall(piece)
        _leave(caller, how)
    _stand_still(entry_host, STANDSTILL_S * rng.uniform(0.9, 1.1))
    await asyncio.sleep(SETTLED_S)
    assert entry_host.assigned_jobs() == set()


@pytest.mark.parametrize("how", ["closed", "reset"])
async def test_no_task_starts_for_callers_that_left_after_they_were_accepted(
    entry_host, how, delay
):
    """The head was read before the standstill, and the rest after it."""
    callers = [entry_host.connect() for _ in range(CALLERS)]
    requests = [_request(f"{number:016x}", 2) for number in range(CALLERS)]
    for caller, (head, _) in zip(callers, requests, strict=True):
        caller.sendall(head)
    await asyncio.sleep(0.05)
    for caller, (_, rest) in zip(callers, requests, strict=True):
        caller.sendall(rest)
        _leave(caller, how)
    _stand_still(entry_host, STANDSTILL_S)
    await asyncio.sleep(SETTLED_S)
    assert entry_host.assigned_jobs() == set()


@pytest.mark.parametrize("how", ["closed", "reset"])
async def test_no_task_starts_when_the_end_arrives_shortly_after_the_request(
    entry_host, how, long_delay
):
    """A proxy or a link that held both back delivers the end as a packet of its own."""
    callers = [entry_host.connect() for _ in range(CALLERS)]
    for number, caller in enumerate(callers):
        caller.sendall(*_request(f"{number:016x}"))
    _stand_still(entry_host, STANDSTILL_S)
    await asyncio.sleep(0.006)
    for caller in callers:
        _leave(caller, how)
    await asyncio.sleep(SETTLED_S)
    assert entry_host.assigned_jobs() == set()


async def test_no_task_starts_for_a_request_whose_link_was_cut(entry_host, long_delay):
    """A request that comes long after its connection may have been held back."""
    callers = [entry_host.connect() for _ in range(CALLERS)]
    await asyncio.sleep(STANDSTILL_S)
    entry_host.report()
    for number, caller in enumerate(callers):
        caller.sendall(*_request(f"{number:016x}"))
    await asyncio.sleep(0.006)
    for caller in callers:
        _leave(caller, "closed")
    await asyncio.sleep(SETTLED_S)
    assert entry_host.assigned_jobs() == set()


async def test_no_task_starts_for_a_job_that_waited_through_a_standstill(
    entry_host, long_delay
):
    """Its request had been read before, but the end of its connection came after it."""
    entry_host.report(free_cpu=0)
    caller = entry_host.connect()
    caller.sendall(*_request("00000000000000aa"))
    await asyncio.sleep(0.05)
    assert set(entry_host.daemon.scheduler.job_by_id) == {"00000000000000aa"}
    assert entry_host.assigned_jobs() == set()
    _stand_still(entry_host, STANDSTILL_S)
    await asyncio.sleep(0.006)
    _leave(caller, "closed")
    await asyncio.sleep(SETTLED_S)
    assert entry_host.assigned_jobs() == set()


async def test_no_task_starts_for_requests_that_were_held_back_together(
    entry_host, long_delay
):
    """The second request in a segment hid that the first one had been held back."""
    caller = entry_host.connect()
    await asyncio.sleep(STANDSTILL_S)
    entry_host.report()
    jobs = ("00000000000000aa", "00000000000000bb")
    requests = b"".join(b"".join(_request(job)) for job in jobs)
    caller.sendall(requests.replace(b"Connection: close\r\n", b""))
    await asyncio.sleep(0.006)
    _leave(caller, "closed")
    await asyncio.sleep(SETTLED_S)
    assert entry_host.assigned_jobs() == set()


async def test_callers_that_still_wait_after_a_standstill_are_served(entry_host):
    """Refusing all that was read late would turn away callers that still wait."""
    callers = [entry_host.connect() for _ in range(CALLERS)]
    jobs = [f"{number:016x}" for number in range(CALLERS)]
    for job, caller in zip(jobs, callers, strict=True):
        caller.sendall(*_request(job))
    _stand_still(entry_host, STANDSTILL_S)
    await asyncio.sleep(2 * SETTLED_S)
    assert entry_host.assigned_jobs() == set(jobs)
    for caller in callers:
        caller.close()


async def test_no_further_task_starts_for_a_caller_that_left_during_a_standstill(
    entry_host,
):
    """A later step was started before the end of the connection had been read."""
    steps = [dict(JOB["steps"][0], count=1), dict(JOB["steps"][0], after=[0])]
    caller = entry_host.connect()
    with mock.patch.dict(JOB, steps=steps):
        caller.sendall(*_request("00000000000000aa"))
    await asyncio.sleep(0.1)
    assert entry_host.assigned_jobs() == {"00000000000000aa"}
    entry_host.agent.reset_mock()
    _leave(caller, "closed")
    key = assignments.RunKey(assignments.TaskKey("00000000000000aa", 0, 0), 1)
    end = assignments.TaskEnd(1, key, assignments.EndKind.DONE, 100, 2)
    entry_host.daemon.handle_message(entry_host.agent, end)
    _stand_still(entry_host, 0.0)
    entry_host.daemon._perform(entry_host.daemon.scheduler.assign())
    await asyncio.sleep(SETTLED_S)
    assert entry_host.assigned_jobs() == set()


async def test_job_ends_with_its_connection_beside_a_request_sent_ahead(
    entry_host, monkeypatch
):
    """Only the newest request on a connection learned of its end; the others ran on."""
    # The regular look at all callers would end the job as well.
    monkeypatch.setattr(scheduler, "CALLER_CHECK_INTERVAL_S", float("inf"))
    caller = entry_host.connect()
    for job in ("00000000000000aa", "00000000000000bb"):
        request = b"".join(_request(job)).replace(b"Connection: close\r\n", b"")
        caller.sendall(request)
    await asyncio.sleep(0.1)
    assert entry_host.assigned_jobs() == {"00000000000000aa"}
    _leave(caller, "closed")
    await asyncio.sleep(SETTLED_S)
    assert entry_host.daemon.scheduler.job_by_id == {}


@pytest.mark.parametrize("how", ["closed", "reset"])
async def test_job_ends_with_its_connection_when_another_request_came_meanwhile(
    entry_host, how
):
    """The server reads no further while a request waits behind the one in progress."""
    caller = entry_host.connect()
    for job in ("00000000000000aa", "00000000000000bb"):
        caller.sendall(b"".join(_request(job)).replace(b"Connection: close\r\n", b""))
        await asyncio.sleep(0.1)
    assert entry_host.assigned_jobs() == {"00000000000000aa"}
    _leave(caller, how)
    await asyncio.sleep(SETTLED_S + scheduler.CALLER_CHECK_INTERVAL_S)
    assert entry_host.daemon.scheduler.job_by_id == {}


async def test_connection_is_freed_when_its_job_has_ended(entry_host):
    """Ended jobs, which are kept for repeated submissions, kept their connections."""
    connections = []
    connect = guard.Connection.connection_made

    def record(connection, transport):
        connections.append(weakref.ref(connection))
        connect(connection, transport)

    job = "00000000000000aa"
    with mock.patch.object(guard.Connection, "connection_made", record):
        caller = entry_host.connect()
        caller.sendall(*_request(job))
        await asyncio.sleep(0.1)
    for index in range(2):
        key = assignments.RunKey(assignments.TaskKey(job, 0, index), 1)
        end = assignments.TaskEnd(index + 1, key, assignments.EndKind.DONE, 100, 2)
        entry_host.daemon.handle_message(entry_host.agent, end)
    await asyncio.sleep(0.1)
    assert caller.recv(4096).startswith(b"HTTP/1.1 200")
    caller.close()
    await asyncio.sleep(SETTLED_S)
    gc.collect()
    assert [connection() for connection in connections] == [None]
