"""A system of real processes on the loopback interface, and the calls to test it."""

import asyncio
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time

import httpx

from burdockgate import client, codes, messages, wire
from burdockgate.process import editor, logclient
from burdockgate.request import job
from burdockgate.standin import checker, trace
from burdockgate.version import table, view

LIMIT_S = 20.0
POLL_S = 0.02
STATUS_FIELDS = (
    "name",
    "ready",
    "peers",
    "view_number",
    "voters",
    "workers",
    "jobs_in_progress",
)
GUEST = "acme"
SERVICE = "sample"
SLOTS = 8
# Below the ephemeral ports, which outgoing connections use.
PORTS = range(20000, 32000)
# More than the workers of one run.
PORT_PARTS = 16
# Without keep-alive, since a connection to a killed process would fail the next call.
HTTP = httpx.Client(
    trust_env=False, verify=False, limits=httpx.Limits(max_keepalive_connections=0)
)

_SETTINGS_TEMPLATE = """[node]
name = {name}
region = north
data_centre = dc-{place}
rack = rack-{place}
listen = 127.0.0.1:{port}
[platform]
log_url = http://{log}
seeds = {seeds}
"""


def wait_for(condition, description):
    """Poll until the condition gives a true value, and return it.

    :param description: of the condition, for the error: text or a function.
    """
    end = time.monotonic() + LIMIT_S
    while not (value := condition()):
        shown = (
            description()
            if callable(description) and time.monotonic() >= end
            else description
        )
        assert time.monotonic() < end, f"not within {LIMIT_S:g} s: {shown}"
        time.sleep(POLL_S)
    return value


async def wait_until(condition, description):
    """Do as :func:`wait_for` does in a thread, without blocking the event loop."""
    return await asyncio.to_thread(wait_for, condition, description)


# A port is free until its process binds it, so that it must not be returned twice.
_returned_ports = set()


def free_port():
    """Return a port that no process uses and that was not returned before."""
    worker = os.environ.get("PYTEST_XDIST_WORKER", "gw0")
    # Systems of other pytest workers take their ports at the same time.
    own_ports = PORTS[int(worker.removeprefix("gw")) % PORT_PARTS :: PORT_PARTS]
    for port in random.sample(own_ports, 100):
        if port in _returned_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            _returned_ports.add(port)
            return port
    raise AssertionError(f"no free port in {PORTS}")


def make_body(run_times_ms, **fields):
    """Return the body of a job whose payloads differ from each other."""
    tasks = [
        {"payload": {"sleep_ms": run_time_ms, "mark": index}}
        for index, run_time_ms in enumerate(run_times_ms)
    ]
    return {"guest": GUEST, "service": SERVICE, "tasks": tasks} | fields


class Process:
    """A process that can be restarted with the same arguments."""

    def __init__(self, name, directory, *arguments):
        self.name = name
        self._command = [sys.executable, "-m", "burdockgate", *arguments]
        self._error_path = pathlib.Path(directory) / f"{name}.stderr"
        self._running = None

    def start(self):
        assert self._running is None, f"{self.name} ended with {self._running.poll()}"
        with self._error_path.open("ab") as stderr:
            self._running = subprocess.Popen(
                self._command, stdout=subprocess.DEVNULL, stderr=stderr
            )

    @property
    def is_running(self):
        return self._running is not None and self._running.poll() is None

    @property
    def pid(self):
        return self._running.pid

    @property
    def unexpected_exit_status(self):
        """Exit status of a process that ended on its own, otherwise ``None``."""
        return None if self._running is None else self._running.poll()

    @property
    def stderr(self):
        return self._error_path.read_text()

    def send(self, number):
        self._running.send_signal(number)

    def wait(self):
        """Return the exit status."""
        status = self._running.wait(LIMIT_S)
        self._running = None
        return status

    def end(self, number=signal.SIGKILL):
        """Send a signal that ends the process, wait, and return the exit status."""
        self.send(number)
        return self.wait()

    def kill(self):
        """Kill the process if it was started and not yet waited for."""
        if self._running is not None:
            self._running.kill()
            self._running.wait()
            self._running = None


class Server(Process):
    """A stand-in backend server, which records its starts in a file.

    The file is kept over restarts.
    """

    def __init__(self, name, directory, port):
        self.address = f"127.0.0.1:{port}"
        self._record = pathlib.Path(directory) / f"{name}.starts"
        arguments = ("--name", name, "--record", str(self._record))
        listen = ("--listen", self.address)
        super().__init__(name, directory, "standin", "backend", *listen, *arguments)

    def read_starts(self):
        """Return all starts so far, also those before a restart."""
        if not self._record.exists():
            return []
        # A line without a newline is still being written.
        lines = self._record.read_bytes().split(b"\n")[:-1]
        return [
            trace.Started(
                start["at"],
                bytes.fromhex(start["job"]),
                start["attempt"],
                start["task"],
                self.name,
                json.dumps(start["payload"]).encode(),
            )
            for start in map(json.loads, lines)
        ]

    def set_faults(self, **faults):
        """Set these faults and clear all others."""
        HTTP.post(f"http://{self.address}/v1/faults", json=faults).raise_for_status()


class System:
    """A log, two entry hosts, and three agents with a backend server each."""

    def __init__(self, directory):
        # A SIGTERM to the test run, as from a time limit, must end these processes too.
        signal.signal(signal.SIGTERM, signal.default_int_handler)
        self._directory = pathlib.Path(directory)
        self._events = []
        self._row_version = 0
        self._log_address = f"127.0.0.1:{free_port()}"
        self.log_url = f"http://{self._log_address}"
        listen = ("--listen", self._log_address)
        self.log = Process("log", directory, "standin", "log", *listen)
        ports = [free_port() for _ in range(2)]
        self.seeds = [f"127.0.0.1:{port}" for port in ports]
        self.urls = [f"http://127.0.0.1:{free_port()}" for _ in ports]
        self.entries = [self._make_entry(index) for index in range(2)]
        self.servers = [
            Server(f"server-{index + 1}", directory, free_port()) for index in range(3)
        ]
        self.agent_ports = [free_port() for _ in self.servers]
        self.agents = [self._make_agent(index) for index in range(3)]

    def _make_entry(self, index):
        http = self.urls[index].removeprefix("http://")
        return self._make_daemon("entry", index, self.seeds[index], f"http = {http}")

    def _make_agent(self, index):
        keys = (
            f"url = http://{self.servers[index].address}",
            f"service = {SERVICE}",
            f"slots = {SLOTS}",
        )
        listen = f"127.0.0.1:{self.agent_ports[index]}"
        return self._make_daemon("agent", index, listen, "\n".join(keys))

    def _make_daemon(self, role, index, listen, keys):
        name = f"{role}-{index + 1}"
        section = {"entry": "entry", "agent": "backend_server"}[role]
        text = _SETTINGS_TEMPLATE.format(
            name=name,
            place=index + 1,
            port=listen.rpartition(":")[2],
            log=self._log_address,
            seeds=", ".join(self.seeds),
        )
        path = self._directory / f"{name}.ini"
        path.write_text(f"{text}[{section}]\n{keys}\n")
        return Process(name, self._directory, role, "--settings", str(path))

    @property
    def processes(self):
        return [self.log, *self.servers, *self.entries, *self.agents]

    def start(self):
        """Start the processes that are not running, and wait for a ready system."""
        for process in self.processes:
            if not process.is_running:
                process.start()
        self.wait_ready()

    def kill(self):
        for process in self.processes:
            process.kill()

    def wait_ready(self):
        """Wait until every entry host has its peer, and 3 voters with free slots."""
        wait_for(self._is_ready, self._describe)

    def _describe(self):
        current = self.view()
        lines = [f"the system to be ready; view {current and current.number}"]
        for status in filter(None, map(self.status, range(2))):
            lines += [f"{name}={status[name]}" for name in STATUS_FIELDS]
        return "\n".join(lines)

    def _is_ready(self):
        statuses = [self.status(index) for index in range(2)]
        current = self.view()
        if None in statuses or current is None:
            return False
        return all(
            status["ready"]
            and len(status["peers"]) == 1
            and status["view_number"] == current.number
            and len(status["voters"]) == 3
            and self._are_workers_free(status["workers"])
            for status in statuses
        )

    def _are_workers_free(self, workers):
        free = [w for w in workers if w["free"] == SLOTS and not w["lapsed"]]
        return len(free) == 3 and not any(w["draining"] for w in workers)

    def status(self, index):
        """Return the status of an entry host, or ``None`` when it gives none."""
        return _get_json(f"{self.urls[index]}/v1/status")

    def view(self):
        """Return the membership view in the log, or ``None`` when it can't be read."""
        page = _get_json(f"{self.log_url}/v1/streams/{view.STREAM}/records?from=0")
        if page is None:
            return None
        current = view.View()
        for record in page["records"]:
            value = json.dumps(record["value"]).encode()
            record = messages.LogRecord(record["offset"], record["id"], value)
            current = view.fold(current, record)
        return current

    def repeat_last_member(self):
        """Append the last record of the members stream once more."""
        url = f"{self.log_url}/v1/streams/{view.STREAM}/records"
        last = HTTP.get(f"{url}?from=0").json()["records"][-1]
        body = {"id": last["id"], "value": last["value"]}
        HTTP.post(url, json=body).raise_for_status()

    def set_log_faults(self, **faults):
        """Set these faults of the log and clear all others."""
        HTTP.post(f"{self.log_url}/v1/faults", json=faults).raise_for_status()

    async def change_table(self):
        """Change a row of the table and return the outcome of the change."""
        rng = random.Random()
        row = table.Row("class", "changed", weight=rng.uniform(1, 2))
        async with logclient.LogClient(self.log_url, rng) as log:
            table_editor = editor.TableEditor(log, rng, LIMIT_S)
            outcome = await table_editor.set_row(row, self._row_version)
        self._row_version = getattr(outcome, "version", self._row_version)
        return outcome

    def is_in_force(self, version):
        """Return whether every entry host and agent works by a table version."""
        statuses = [self.status(index) for index in range(2)]
        return None not in statuses and all(
            min(status["table_version"], *_table_versions(status)) >= version
            and len(status["workers"]) == 3
            for status in statuses
        )

    def close_connection(self, name, index):
        """Close the connection between a node and an entry host.

        A second connection with the node's announcement replaces it, and is closed.
        """
        current = self.view()
        voter, entry = current.voter_by_name.get(name), current.entry_by_name.get(name)
        role = messages.Role.ENTRY if voter is None else messages.Role.AGENT
        node = entry or voter.node
        # Without a service this connection gets no tasks, which would be lost with it.
        hello = messages.Hello(
            messages.PROTOCOL,
            role,
            node,
            "north",
            "dc",
            "rack",
            "",
            0,
            0.0,
            0,
            0,
            False,
        )
        host, port = self.seeds[index].split(":")
        with socket.create_connection((host, port), LIMIT_S) as connection:
            connection.sendall(wire.encode(hello))
            # An entry host that sends more than its announcement has accepted the
            # connection.
            frames = wire.FrameBuffer()
            count = 0
            while count < 2 and (data := connection.recv(65536)):
                count += len(list(frames.feed(data)))
        assert count >= 2, f"{self.entries[index].name} kept the other connection"

    def voter_boot(self, name):
        """Return the boot id of a voter, or ``None`` when the node is not a voter."""
        current = self.view()
        voter = current and current.voter_by_name.get(name)
        return voter and voter.node.boot

    def worker(self, index, name):
        """Return a worker's part of an entry host's status, empty when it has none."""
        status = self.status(index) or {"workers": []}
        return next((w for w in status["workers"] if w["name"] == name), {})

    def starts(self, key=None):
        """Return the starts of the tasks of a key, or all starts."""
        job_id = None if key is None else job.job_id(GUEST, key)
        found = [start for server in self.servers for start in server.read_starts()]
        return [start for start in found if job_id in (None, start.job)]

    async def wait_for_starts(self, *keys, count=1):
        """Wait until each key has this many starts, and return them by key."""

        def started():
            found = [self.starts(key) for key in keys]
            return found if all(len(each) >= count for each in found) else None

        return await wait_until(started, f"{count} starts of each of {keys}")

    async def submit(self, key, run_times_ms, urls=None, **fields):
        """Submit a job through a new client and return the answer."""
        async with client.Client(urls or self.urls, timeout_s=2 * LIMIT_S) as caller:
            return await self.submit_with(caller, key, run_times_ms, **fields)

    async def submit_with(self, caller, key, run_times_ms, **fields):
        """Submit a job through a client that may have open connections."""
        body = make_body(run_times_ms, **fields)
        entry = " ".join(self.urls)
        self._record_submission(key, body, entry)
        answer = await caller.submit(body, key)
        self._record_answer(key, answer.code, answer.attempt, answer.results, entry)
        return answer

    async def post(self, index, key, run_times_ms, **fields):
        """Submit a job in one request and return the body of the answer."""
        body = make_body(run_times_ms, **fields)
        url = self.urls[index]
        self._record_submission(key, body, url)
        async with httpx.AsyncClient(trust_env=False, timeout=2 * LIMIT_S) as caller:
            headers = {"Idempotency-Key": key}
            reply = await caller.post(f"{url}/v1/jobs", json=body, headers=headers)
        answer = reply.json()
        code, results = codes.Code(answer["code"]), answer.get("results", [])
        self._record_answer(key, code, answer["attempt"], results, url)
        return answer

    def _record_submission(self, key, body, entry):
        tasks = tuple(json.dumps(task["payload"]).encode() for task in body["tasks"])
        repeatable = body.get("repeatable", True)
        now = time.monotonic()
        self._events.append(
            trace.Submitted(now, GUEST, key, 1, entry, tasks, repeatable)
        )

    def _record_answer(self, key, code, attempt, results, entry):
        texts = tuple(json.dumps(result).encode() for result in results)
        now = time.monotonic()
        self._events.append(
            trace.Answered(now, GUEST, key, code, attempt, texts, entry)
        )

    def violations(self):
        """Return the violations that the checker finds in the answers and starts."""
        return checker.check([*self._events, *self.starts()], checker.Settings())


def _table_versions(status):
    return [worker["table_version"] for worker in status["workers"]]


def _get_json(url):
    try:
        reply = HTTP.get(url)
    except httpx.HTTPError:
        return None
    return reply.json() if reply.status_code == 200 else None
