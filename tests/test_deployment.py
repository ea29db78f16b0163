"""Tests the platform's programs as separate processes, with stand-ins over HTTP."""

import asyncio
import contextlib
import itertools
import json
import os
import signal
import socket
import sys

import httpx
import pytest

import platform_standins

WAIT_S = 30
GRACE_S = 4
CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "r",
            "host": "h.example",
            "pathPrefix": "/jobs/",
            "service": "svc",
            "priority": 0,
            "timeoutMs": 1500,
            "targetLatencyMs": 60,
            "stretch": 1.6,
            "maxAttempts": 3,
        }
    ],
}


def _free_ports(count):
    listeners = [socket.socket() for _ in range(count)]
    for listener in listeners:
        # Each port is used at several loopback addresses and must be free at all.
        listener.bind(("0.0.0.0", 0))
    ports = [listener.getsockname()[1] for listener in listeners]
    for listener in listeners:
        listener.close()
    return ports


class Deployment:
    """A store, two entry hosts, and two agents with their workers."""

    def __init__(self, folder):
        self.folder = folder
        self.link_port, self.front_port, self.ready_port, self.heartbeat_port = (
            _free_ports(4)
        )
        self.store = platform_standins.StoreStandIn()
        self.workers = []
        self.process_by_name = {}

    async def start(self):
        self.store.append("keyed.op", "config", json.dumps(CONFIGURATION).encode())
        await self.store.server.start()
        for number in (1, 2):
            await self.start_process(
                f"entry-{number}", "entry", f"127.0.0.{10 + number}"
            )
            host = f"127.0.0.{20 + number}"
            worker = platform_standins.WorkerStandIn(
                f"i-{number}", f"{host}:{self.heartbeat_port}", 0.3
            )
            await worker.start()
            self.workers.append(worker)
            await self.start_process(
                f"agent-{number}", "agent", host, worker.server.address
            )
        for host in ("127.0.0.11", "127.0.0.12"):
            await self.wait_ready(host)

    async def start_process(self, name, role, host, worker=""):
        path = self.folder / f"{name}.toml"
        path.write_text(
            f'nodeName = "{name}"\nrole = "{role}"\nip = "{host}"\nzone = "z1"\n'
            f"portRange = [{self.link_port}, {self.link_port + 1}]\n"
            f'seeds = ["127.0.0.11:{self.heartbeat_port}"]\napp = "{worker}"\n'
            f'[listen]\ncontrol = "{host}:{self.heartbeat_port}"\n'
            + (
                f'front = "{host}:{self.front_port}"\n'
                f'ready = "{host}:{self.ready_port}"\n'
                if role == "entry"
                else ""
            )
            + f"[bounds]\ngraceS = {GRACE_S}\n"
            + f'[platform]\naddress = "{self.store.server.address}"\n'
        )
        log = (self.folder / f"{name}.log").open("ab")
        self.process_by_name[name] = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "burdockgate.platform",
            role,
            env={**os.environ, "BURDOCKGATE_NODE_FILE": str(path)},
            stdout=log,
            stderr=log,
        )
        log.close()

    async def wait_ready(self, host):
        async def is_ready():
            try:
                response = await self.get(host, self.ready_port, "/burdockgate/readyz")
            except httpx.HTTPError:
                return False
            return response.status_code == 200

        await self.wait_for(is_ready)

    async def wait_for(self, condition):
        async with asyncio.timeout(WAIT_S):
            while not await condition():
                await asyncio.sleep(0.05)

    async def get(self, host, port, path):
        async with httpx.AsyncClient(trust_env=False) as client:
            headers = {"Host": "h.example"}
            return await client.get(f"http://{host}:{port}{path}", headers=headers)

    async def post(self, host, job, count=4):
        body = {
            "spec": "text",
            "bestEffort": True,
            "steps": [{"count": count, "cpu": 1600, "memMb": 64, "estimateMs": 300}],
        }
        async with httpx.AsyncClient(trust_env=False) as client:
            return await client.post(
                f"http://{host}:{self.front_port}/jobs/{job}",
                json=body,
                headers={
                    "Host": "h.example",
                    "Deadline-Ms": "20000",
                    "Request-Id": f"req-{job}",
                },
                timeout=WAIT_S,
            )

    def spans(self, job):
        return [
            span
            for worker in self.workers
            for span in [*worker.simulated.spans, *worker.simulated.open_spans()]
            if span.key.task.job == job
        ]

    async def close(self):
        for process in self.process_by_name.values():
            if process.returncode is None:
                process.kill()
            await process.wait()
        for worker in self.workers:
            await worker.close()
        await self.store.server.stop_now()


@pytest.fixture
async def deployment(tmp_path):
    instance = Deployment(tmp_path)
    try:
        await instance.start()
        yield instance
    finally:
        await instance.close()


async def _wait_until_running(deployment, job):
    async def is_running():
        return bool(deployment.spans(job))

    await deployment.wait_for(is_running)


async def test_job_is_served_and_its_log_names_every_step(deployment):
    """Each step of a job is logged, so that an engineer on call can follow the job."""
    response = await deployment.post("127.0.0.11", "00000000000000aa")
    assert (response.status_code, response.json()) == (200, {"state": "completed"})
    repeated = await deployment.post("127.0.0.11", "00000000000000aa")
    assert repeated.json() == {"state": "completed"}
    assert len(deployment.spans("00000000000000aa")) == 4
    log = "".join(path.read_text() for path in deployment.folder.glob("*.log"))
    events = {
        json.loads(line)["event"]
        for line in log.splitlines()
        if "00000000000000aa" in line
    }
    assert {
        "job.received",
        "task.assigned",
        "run.starting",
        "run.ended",
        "job.ended",
    } <= (events)


async def test_job_outlives_its_entry_host_and_runs_once_at_a_time(deployment):
    """A caller whose entry host was killed sends its job to another one."""
    job = "00000000000000bb"
    first = asyncio.create_task(deployment.post("127.0.0.11", job))
    await _wait_until_running(deployment, job)
    deployment.process_by_name["entry-1"].kill()
    with pytest.raises(httpx.HTTPError):
        await first
    await asyncio.sleep(1.3)
    response = await deployment.post("127.0.0.12", job)
    assert response.json() == {"state": "completed"}
    spans_by_task = {}
    for span in deployment.spans(job):
        spans_by_task.setdefault(span.key.task, []).append(span)
    assert len(spans_by_task) == 4
    for spans in spans_by_task.values():
        spans.sort(key=lambda span: span.started_at)
        assert all(
            earlier.ended_at <= later.started_at
            for earlier, later in zip(spans, spans[1:], strict=False)
        )


async def test_store_outage_stops_no_job_and_a_restarted_entry_host_serves(deployment):
    """The configuration comes from the agents while the store is down."""
    deployment.store.is_down = True
    process = deployment.process_by_name["entry-1"]
    process.kill()
    await process.wait()
    assert (await deployment.post("127.0.0.12", "00000000000000cc")).status_code == 200
    await deployment.start_process("entry-1", "entry", "127.0.0.11")
    await deployment.wait_ready("127.0.0.11")
    assert (await deployment.post("127.0.0.11", "00000000000000dd")).status_code == 200


async def test_request_before_the_first_configuration_waits_for_it(deployment):
    """A 503 from a process that has just started would be final for its caller."""
    for name in ("agent-1", "agent-2", "entry-1"):
        deployment.process_by_name[name].kill()
        await deployment.process_by_name[name].wait()
    deployment.store.delay_s = 0.1
    await deployment.start_process("entry-1", "entry", "127.0.0.11")
    statuses = []

    async def is_answered():
        with contextlib.suppress(httpx.ConnectError):
            response = await deployment.get(
                "127.0.0.11", deployment.front_port, "/jobs/"
            )
            statuses.append(response.status_code)
        return statuses

    await deployment.wait_for(is_answered)
    assert statuses == [200]


async def test_new_version_is_in_force_and_an_old_one_does_not_return(deployment):
    """An old version that is read late must not replace a newer one."""
    newer = {**CONFIGURATION, "version": 9, "routes": []}
    deployment.store.append("keyed.op", "config", json.dumps(newer).encode())

    async def is_gone():
        response = await deployment.get("127.0.0.12", deployment.front_port, "/jobs/")
        return response.status_code == 404

    await deployment.wait_for(is_gone)
    deployment.store.append("keyed.op", "config", json.dumps(CONFIGURATION).encode())
    deployment.store.append("keyed.op", "other", b"x")
    await asyncio.sleep(0.5)
    assert await is_gone()


async def test_emptied_zone_gets_no_task_until_it_is_taken_back(deployment):
    """Workers of a data centre that operators had emptied went on getting tasks.

    An agent that starts meanwhile, while the store is down, must not start any either.
    """
    job = "00000000000000e1"
    numbers = itertools.count()

    async def post_new_job():
        # An identifier that was answered before would get that answer again.
        return await deployment.post("127.0.0.11", f"{next(numbers):016x}")

    async def is_refused():
        return (await post_new_job()).status_code == 503

    async def is_served():
        return (await post_new_job()).status_code == 200

    async def is_restarted_agent_informed():
        log = (deployment.folder / "agent-1.log").read_text()
        return log.count("worker.evacuated") == 2

    running = asyncio.create_task(deployment.post("127.0.0.11", job))
    await _wait_until_running(deployment, job)
    deployment.store.append("keyed.op", "evacuate/z1", b"{}")
    await deployment.wait_for(is_refused)
    assert (await running).json() == {"state": "completed"}
    deployment.store.is_down = True
    process = deployment.process_by_name["agent-1"]
    process.kill()
    await process.wait()
    await deployment.start_process(
        "agent-1", "agent", "127.0.0.21", deployment.workers[0].server.address
    )
    await deployment.wait_for(is_restarted_agent_informed)
    refused = await deployment.post("127.0.0.11", "00000000000000e2")
    assert refused.status_code == 503
    assert deployment.spans("00000000000000e2") == []
    deployment.store.is_down = False
    deployment.store.append("keyed.op", "evacuate/z1", b"")
    await deployment.wait_for(is_served)


async def test_planned_stop_answers_what_is_in_progress(deployment):
    """A graceful stop must not cut off a request."""
    job = "00000000000000ee"
    request = asyncio.create_task(deployment.post("127.0.0.11", job))
    await _wait_until_running(deployment, job)
    deployment.process_by_name["entry-1"].send_signal(signal.SIGTERM)
    assert (await request).json() == {"state": "completed"}
    assert await deployment.process_by_name["entry-1"].wait() == 0


async def test_planned_stop_ends_in_time_beside_callers_that_do_not_read(deployment):
    """The process waited for them after its last jobs, and was killed."""
    job = "00000000000000f0"
    request = asyncio.create_task(deployment.post("127.0.0.11", job, count=1000))
    await _wait_until_running(deployment, job)
    # Long heads, so that the entry host reads only some requests at a time.
    head = b"GET /jobs/ HTTP/1.1\r\nHost: h.example\r\nPad: " + b"x" * 2000
    requests = (head + b"\r\n\r\n") * 100
    with socket.socket() as caller:
        caller.setblocking(False)
        # A small window, so that few unread responses fill the entry host's buffers.
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(caller, ("127.0.0.11", deployment.front_port))
        with contextlib.suppress(TimeoutError):
            while True:
                await asyncio.wait_for(loop.sock_sendall(caller, requests), 1)
        process = deployment.process_by_name["entry-1"]
        process.send_signal(signal.SIGTERM)
        await asyncio.wait_for(process.wait(), GRACE_S)
    assert (await request).status_code == 502


async def test_caller_that_leaves_has_its_tasks_stopped(deployment):
    """Tasks whose caller has left would delay the tasks of others."""
    job = "00000000000000ff"
    request = asyncio.create_task(deployment.post("127.0.0.11", job))
    await _wait_until_running(deployment, job)
    request.cancel()

    async def is_idle():
        return not any(worker.simulated.open_spans() for worker in deployment.workers)

    await deployment.wait_for(is_idle)
    reasons = {span.reason.value for span in deployment.spans(job)}
    assert reasons <= {"stopped", "done"}


DEEP = b"[" * 20_000 + b"]" * 20_000
ODD_CONFIGURATIONS = [
    b"\xff",
    b'{"version":99,"routes":[],"note":' + DEEP + b"}",
    b'{"version":%d,"routes":[]}' % 10**40,
]
ODD_ENTRIES = [
    b"\x91" * 100_000,
    b"\x81\xa7address\xaf127.0.0.1:70000",
    b"\x81\xa7address\xab127.0.0.1:\xc2\xb2",
    b"\x81\xa7address\xcf\xff\xff\xff\xff\xff\xff\xff\xff",
]


async def _send_odd_heartbeats(deployment):
    """Send heartbeats of another writer to both agents; return the statuses."""
    statuses = []
    async with httpx.AsyncClient(trust_env=False) as client:
        for worker in deployment.workers:
            good = worker._heartbeat()
            path = f"/burdockgate/instances/{worker.simulated.name}/heartbeat"
            url = f"http://{worker._heartbeat_address}{path}"
            for changes in (
                {"born": 10**40},
                {"seq": 2**70},
                {"capacity": {"cpu": 2**63, "memMb": 1}},
                {"address": "127.0.0.1:99999"},
                {"address": "10.9.9.9:80", "born": good["born"] + 1},
            ):
                response = await client.post(url, json={**good, **changes})
                statuses.append(response.status_code)
            response = await client.post(url, content=b'{"x":' + DEEP + b"}")
            statuses.append(response.status_code)
    return statuses


async def test_odd_entries_of_another_writer_change_nothing(deployment):
    """Processes ended, or stopped following the store, after one odd entry."""
    for value in ODD_CONFIGURATIONS:
        deployment.store.append("keyed.op", "config", value)
    for number, value in enumerate(ODD_ENTRIES):
        deployment.store.append("keyed.entries", f"odd-{number}", value)
    assert set(await _send_odd_heartbeats(deployment)) == {400}
    newer = {**CONFIGURATION, "version": 9}
    newer["routes"] = [{**CONFIGURATION["routes"][0], "pathPrefix": "/new/"}]
    deployment.store.append("keyed.op", "config", json.dumps(newer).encode())

    async def is_followed():
        response = await deployment.get("127.0.0.11", deployment.front_port, "/new/")
        return response.status_code == 200

    await deployment.wait_for(is_followed)
    for process in deployment.process_by_name.values():
        assert process.returncode is None
    log = "".join(path.read_text() for path in deployment.folder.glob("*.log"))
    assert "Traceback" not in log
    assert "configuration.unreadable" in log
    assert "heartbeat.foreign" in log


async def test_departed_entry_host_leaves_the_lists_also_of_new_processes(deployment):
    """After a restart, a server that had left was in use again."""
    deployment.process_by_name["entry-1"].send_signal(signal.SIGTERM)
    await deployment.process_by_name["entry-1"].wait()

    def departures(name):
        log = (deployment.folder / f"{name}.log").read_text()
        return [line for line in log.splitlines() if "entry.departed" in line]

    async def is_forgotten():
        names = ("entry-2", "agent-1", "agent-2")
        return all("entry-1" in "".join(departures(name)) for name in names)

    await deployment.wait_for(is_forgotten)
    worker = deployment.workers[0]
    deployment.process_by_name["agent-1"].kill()
    await deployment.process_by_name["agent-1"].wait()
    (deployment.folder / "agent-1.log").unlink()
    host = "127.0.0.21"
    await deployment.start_process("agent-1", "agent", host, worker.server.address)

    async def is_linked():
        return "owner.linked" in (deployment.folder / "agent-1.log").read_text()

    await deployment.wait_for(is_linked)
    log = (deployment.folder / "agent-1.log").read_text()
    assert '"entry.known","entry":"entry-1"' not in log.replace(" ", "")
