"""A small deployment on loopback addresses: stand-ins, real processes and a record.

The store, the workers and the clients are stand-ins that follow the users' pages. The
entry hosts and agents are the project's own programs, started with the commands of the
deploy file. Only the standard library is used.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]

# Bounds of the small deployments on the users' pages.
MAX_HOLD_MS = 1000
HEARTBEAT_S = 1.5
STOP_S = 0.02
RETRANSMIT_S = 1.3
RECOVERY_S = 12.0


class Record:
    """Lines of what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self._file = open(path, "w")
        self._started_at = time.monotonic()

    def now(self):
        return time.monotonic() - self._started_at

    def write(self, text):
        self._file.write(f"{self.now():9.3f} {text}\n")
        self._file.flush()

    def close(self):
        self._file.close()


# HTTP.


async def read_message(reader):
    """Return first line, headers and body of an HTTP message; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return first, headers, body


def encode_response(status, body, content_type="application/json"):
    head = (
        f"HTTP/1.1 {status} X\r\nContent-Type: {content_type}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


class HttpServer:
    """Serves requests of kept connections; ``stop`` resets all of them."""

    def __init__(self, host, port, handle):
        self.host, self.port, self._handle = host, port, handle
        self._server = None
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, reuse_address=True, limit=1 << 22
        )

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while (message := await read_message(reader)) is not None:
                first, headers, body = message
                method, target, _ = first.split(" ", 2)
                response = await self._handle(method, target, headers, body)
                if response is None:
                    break
                writer.write(response)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def stop(self):
        """Close the port and reset the connections, as the end of a process does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()


async def call(address, method, path, headers=None, body=b"", timeout_s=5.0):
    """Return status and body of a call on a connection of its own."""
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = [f"{method} {path} HTTP/1.1"]
            fields = {"Host": address, "Content-Type": "application/json"}
            fields.update(headers or {})
            lines += [f"{name}: {value}" for name, value in fields.items()]
            lines += [f"Content-Length: {len(body)}", "", ""]
            writer.write("\r\n".join(lines).encode() + body)
            message = await read_message(reader)
            if message is None:
                raise ConnectionError("connection closed without an answer")
            first, _, content = message
            return int(first.split(" ")[1]), content
        finally:
            writer.close()


# The platform's store.


class Store:
    """Keyed topics with one partition each."""

    def __init__(self, host, port):
        self.server = HttpServer(host, port, self._handle)
        self.records_by_topic = {}
        self._changed = asyncio.Event()

    def append(self, topic, key, value):
        self.records_by_topic.setdefault(topic, []).append((key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, method, target, headers, body):
        path, _, query_text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query_text))
        await asyncio.sleep(0.004)
        topic = query.get("topic", "")
        records = self.records_by_topic.setdefault(topic, [])
        if path.endswith("/log-newest"):
            newest = {key: (value, number) for number, (key, value) in enumerate(records)}
            items = [
                {"key": k, "value": base64.b64encode(v).decode(), "offset": number}
                for k, (v, number) in sorted(newest.items())
                if v
            ]
            page = {"items": items, "more": False, "end": len(records)}
            return encode_response(200, json.dumps(page).encode())
        if path.endswith("/log-read"):
            offset = int(query["from"])
            if len(records) <= offset:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(int(query.get("waitMs", 0)) / 1000):
                        await self._changed.wait()
            raw = struct.pack(">QQ", len(records), 0)
            for key, value in records[offset:]:
                content = bytes([len(key)]) + key.encode() + value
                raw += struct.pack(">I", len(content)) + content
            return encode_response(200, raw, "application/octet-stream")
        if path.endswith("/log-append"):
            first = len(records)
            position = 0
            while position + 4 <= len(body):
                (length,) = struct.unpack_from(">I", body, position)
                content = body[position + 4 : position + 4 + length]
                position += 4 + length
                key_end = 1 + content[0]
                self.append(topic, content[1:key_end].decode(), content[key_end:])
            answer = {"offset": first, "end": len(records)}
            return encode_response(200, json.dumps(answer).encode())
        return encode_response(404, b"{}")


# Workers.


class Run:
    def __init__(self, task, number, spec, work_s, cpu, started_at):
        self.task, self.number, self.spec = task, number, spec
        self.work_s, self.cpu, self.started_at = work_s, cpu, started_at
        self.is_stopping = False


class Worker:
    """One machine's worker; each life is an incarnation.

    :param clock_start_ms: reading of its steady clock at the start of the first life;
        each further life begins anew at 0.
    """

    def __init__(self, deployment, number, clock_start_ms, kind="a", cpu=16000):
        self.deployment = deployment
        self.number = number
        self.kind, self.cpu = kind, cpu
        self.host = deployment.side_host(number)
        self.address = f"{self.host}:{deployment.worker_port}"
        self.control = f"{self.host}:{deployment.control_port}"
        self.server = HttpServer(self.host, deployment.worker_port, self._handle)
        self.is_up = False
        self.id = f"i-{random.getrandbits(40):010x}"
        self._next_clock_ms = clock_start_ms
        self._beats = None
        self.life = 0

    @property
    def record(self):
        return self.deployment.record

    def clock_ms(self):
        return int(self._clock_ms + (time.monotonic() - self._clock_at) * 1000)

    async def start(self, first_beat_s=0.0, new_id=None):
        """Begin a life, with no runs and no fencing token."""
        if new_id is not None:
            self.id = new_id
        self.life += 1
        self.is_up, self.is_draining = True, False
        self._clock_ms, self._clock_at = self._next_clock_ms, time.monotonic()
        self._next_clock_ms = 0
        self.born = int(time.time() * 1000)
        self.token, self.sequence = 0, 0
        self.lease_until_ms = 0
        self.run_by_task, self.highest_ended = {}, {}
        self.finished, self.last_end = [], 0
        self._ended = asyncio.Event()
        await self.server.start()
        self.record.write(
            f"worker {self.number} starts: id {self.id} born {self.born} kind "
            f"{self.kind} cpu {self.cpu} clock {self.clock_ms()}"
        )
        self._beats = asyncio.create_task(self._send_heartbeats(first_beat_s))
        self._leases = asyncio.create_task(self._expire())

    def crash(self):
        """End the life at once; everything that runs ends."""
        self.is_up = False
        self._beats.cancel()
        self._leases.cancel()
        self.server.stop()
        for run in list(self.run_by_task.values()):
            self.deployment.note_end(self, run, "crash")
        self.run_by_task = {}
        self.record.write(f"worker {self.number} crashes")

    def heartbeat(self):
        self.sequence += 1
        return {
            "service": self.deployment.service,
            "address": self.address,
            "zone": "z1",
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.is_draining else "ready",
            "coldRemainingMs": 0,
            "capacity": {"cpu": self.cpu, "memMb": 65536, "gpu": 0},
            "labels": [self.kind, f"r-{self.number}"],
            "clockMs": self.clock_ms(),
            "seq": self.sequence,
            "born": self.born,
        }

    async def _send_heartbeats(self, first_beat_s):
        await asyncio.sleep(first_beat_s)
        while True:
            path = f"/burdockgate/instances/{self.id}/heartbeat"
            body = json.dumps(self.heartbeat()).encode()
            delay_s = HEARTBEAT_S
            try:
                status, _ = await call(
                    self.control, "POST", path, body=body, timeout_s=1.0
                )
                if self.sequence == 1:
                    self.record.write(f"worker {self.number} first beat: {status}")
            except (OSError, TimeoutError):
                delay_s = 0.3  # no acknowledgement
            await asyncio.sleep(delay_s)

    async def _expire(self):
        while True:
            if self.run_by_task and self.clock_ms() >= self.lease_until_ms:
                for run in list(self.run_by_task.values()):
                    self._end(run, "lapsed")
            await asyncio.sleep(0.005)

    def _end(self, run, how):
        if self.run_by_task.get(run.task) is not run:
            return
        del self.run_by_task[run.task]
        self.highest_ended[run.task] = max(
            run.number, self.highest_ended.get(run.task, 0)
        )
        self.last_end += 1
        self.finished.append([self.last_end, run.task, run.number, how, ""])
        self.deployment.note_end(self, run, how)
        self._ended.set()
        self._ended = asyncio.Event()

    def _extend(self, deadline_ms):
        limit = self.clock_ms() + MAX_HOLD_MS
        self.lease_until_ms = max(self.lease_until_ms, min(deadline_ms, limit))

    def _answer(self, status, **fields):
        body = json.dumps({"clockMs": self.clock_ms(), **fields}).encode()
        return encode_response(status, body)

    async def _handle(self, method, target, headers, body):
        if headers.get("expected-instance", self.id) != self.id:
            return self._answer(421)
        fields = json.loads(body)
        action = target.rpartition("/")[2]
        if fields["fencingToken"] < self.token:
            return self._answer(409, reason="fence")
        self.token = fields["fencingToken"]
        match action:
            case "run-start":
                return await self._start_run(fields)
            case "run-stop":
                return self._stop_run(fields)
            case "hold":
                return await self._hold(fields)
        return self._answer(404)

    async def _start_run(self, fields):
        task, number = fields["task"], fields["run"]
        existing = self.run_by_task.get(task)
        if existing is not None and existing.number == number:
            return self._answer(200)
        if number <= self.highest_ended.get(task, 0):
            self._extend(fields["deadlineMs"])
            return self._answer(409, reason="old")
        if fields["deadlineMs"] <= self.clock_ms():
            return self._answer(409, reason="late")
        self._extend(fields["deadlineMs"])
        spec = json.loads(fields["spec"])
        run = Run(
            task, number, fields["spec"], spec["s"], spec["cpu"], time.monotonic()
        )
        self.run_by_task[task] = run
        self.deployment.note_start(self, run)
        asyncio.get_running_loop().call_later(run.work_s, self._finish, run)
        return self._answer(200)

    def _finish(self, run):
        if not run.is_stopping:
            self._end(run, "done")

    def _stop_run(self, fields):
        task, number = fields["task"], fields["run"]
        run = self.run_by_task.get(task)
        if run is not None and run.number <= number:
            run.is_stopping = True
            asyncio.get_running_loop().call_later(STOP_S, self._end, run, "stopped")
        else:
            self.highest_ended[task] = max(number, self.highest_ended.get(task, 0))
        return self._answer(200)

    async def _hold(self, fields):
        if "deadlineMs" in fields:
            self._extend(fields["deadlineMs"])
        self.finished = [e for e in self.finished if e[0] > fields["ackedThrough"]]
        if not self.finished and fields.get("waitMs"):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(fields["waitMs"] / 1000):
                    await self._ended.wait()
        now = time.monotonic()
        running = [
            [r.task, r.number, "", min(99, int(100 * (now - r.started_at) / r.work_s)), 0]
            for r in self.run_by_task.values()
        ]
        return self._answer(
            200, born=self.born, running=running, finished=self.finished[:500]
        )


# The system's own processes.


class Process:
    """An entry host or an agent, as a process of its own."""

    def __init__(self, deployment, name, role, host, settings):
        self.deployment, self.name, self.role, self.host = (
            deployment, name, role, host,
        )
        self._file = deployment.folder / f"{name}.toml"
        # Returns the settings, which are placed at each start.
        self._settings = settings
        self._popen = None

    async def start(self):
        self._file.write_text(self._settings())
        command = self.deployment.command_by_role[self.role].split()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["BURDOCKGATE_NODE_FILE"] = str(self._file)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        log = open(self.deployment.folder / f"{self.name}.log", "ab")
        self._popen = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        self.deployment.record.write(f"{self.name} starts")

    def send(self, number):
        if self._popen is not None and self._popen.returncode is None:
            self._popen.send_signal(number)
            self.deployment.record.write(f"{self.name} gets {signal.Signals(number).name}")

    async def kill(self):
        if self._popen is None:
            return
        if self._popen.returncode is None:
            self._popen.kill()
            self.deployment.record.write(f"{self.name} is killed")
        await self._popen.wait()


def free_ports(hosts, count):
    """Return ports that are free on all hosts."""
    ports = []
    while len(ports) < count:
        port = random.randint(20_000, 60_000)
        with contextlib.ExitStack() as stack:
            try:
                for host in hosts:
                    probe = stack.enter_context(socket.socket())
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind((host, port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


class Deployment:
    """The stand-ins and processes of one run of a script."""

    def __init__(self, folder, entries, workers, spare_entries=0):
        self.case = pathlib.Path(folder)
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._temporary.name)
        self.record = Record(self.case / "record.txt")
        network = random.randint(1, 250)
        self._network = f"127.{random.randint(10, 250)}.{network}"
        self.service, self.prefix, self.host_name = "svc1", "/jobs/", "queue.example"
        hosts = [self.entry_host(n) for n in range(entries + spare_entries)]
        hosts += [self.side_host(n) for n in range(workers)] + [f"{self._network}.1"]
        (
            self.front_port, self.ready_port, self.control_port,
            self.worker_port, self.link_port, self.store_port,
        ) = free_ports(hosts, 6)
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.command_by_role = {
            role: fields["run"] for role, fields in deploy["roles"].items()
        }
        self.store = Store(f"{self._network}.1", self.store_port)
        # Entry hosts that have not been removed for good.
        self.entries = [self.new_entry(n) for n in range(entries)]
        self.agents = [
            Process(
                self, f"side-{n}", "agent", self.side_host(n),
                lambda n=n: self._settings(n, False),
            )
            for n in range(workers)
        ]
        self.workers = []
        # Starts and ends of runs: (task, run, worker, started, ended, how).
        self.runs = []
        self._open = {}
        self.start_checks = []

    def new_entry(self, number):
        return Process(
            self, f"edge-{number}", "entry", self.entry_host(number),
            lambda: self._settings(number, True),
        )

    def entry_host(self, number):
        return f"{self._network}.{10 + number}"

    def side_host(self, number):
        return f"{self._network}.{50 + number}"

    def _settings(self, number, is_entry):
        host = self.entry_host(number) if is_entry else self.side_host(number)
        kind = "edge" if is_entry else "side"
        hosts = [entry.host for entry in self.entries[:3]]
        seeds = ",".join(f'"{seed}:{self.control_port}"' for seed in hosts)
        lines = [
            f'nodeName = "{kind}-{number}"',
            f'role = "{"entry" if is_entry else "agent"}"',
            f'machineClass = "{kind}"',
            f'ip = "{host}"',
            'zone = "z1"',
            'region = "r1"',
            f"portRange = [{self.link_port},{self.link_port}]",
            f"seeds = [{seeds}]",
            "bootstrap = true",
            'discovery = "local"',
            f"heartbeatMs = {int(HEARTBEAT_S * 1000)}",
            'orders = "invoke"',
        ]
        if not is_entry:
            lines += [f'app = "{host}:{self.worker_port}"', f'service = "{self.service}"']
        lines += ["[listen]"]
        if is_entry:
            lines += [
                f'front = "{host}:{self.front_port}"',
                f'ready = "{host}:{self.ready_port}"',
            ]
        lines += [
            f'control = "{host}:{self.control_port}"',
            "[bounds]",
            "graceS = 6",
            f"maxHoldMs = {MAX_HOLD_MS}",
            f"retransmitMs = {int(RETRANSMIT_S * 1000)}",
            "[platform]",
            f'address = "{self._network}.1:{self.store_port}"',
            'form = "log"',
        ]
        return "\n".join(lines) + "\n"

    def put_configuration(self, version=1, **fields):
        route = {
            "name": "r-1", "host": self.host_name, "pathPrefix": self.prefix,
            "kind": "non_idempotent", "timeoutMs": 30000, "targetLatencyMs": 60,
            "priority": 0, "service": self.service, "maxAttempts": 3, "stretch": 1.6,
            **fields,
        }
        configuration = {
            "version": version,
            "routes": [route],
            "services": [{"name": self.service, "enforcesCapacity": False}],
            "limits": {"maxBodyBytes": 262144},
        }
        self.store.append("keyed.op", "config", json.dumps(configuration).encode())

    # What workers see.

    def note_start(self, worker, run):
        for check in self.start_checks:
            check(worker, run)
        self.record.write(
            f"worker {worker.number} starts run {run.task} #{run.number} cpu {run.cpu}"
        )
        row = [run.task, run.number, worker.number, self.record.now(), None, ""]
        self.runs.append(row)
        self._open[id(run)] = row

    def note_end(self, worker, run, how):
        self.record.write(
            f"worker {worker.number} ends run {run.task} #{run.number}: {how}"
        )
        row = self._open.pop(id(run), None)
        if row is not None:
            row[4:] = self.record.now(), how

    def overlaps(self):
        """Return the pairs of runs of one task that ran at the same time."""
        rows_by_task = {}
        for row in self.runs:
            rows_by_task.setdefault(row[0], []).append(row)
        end = self.record.now()
        pairs = []
        for rows in rows_by_task.values():
            for number, first in enumerate(rows):
                for second in rows[number + 1 :]:
                    last = min(first[4] or end, second[4] or end)
                    if last > max(first[3], second[3]):
                        pairs.append((first, second))
        return pairs

    # Life of the deployment.

    async def start(self):
        await self.store.server.start()
        self.put_configuration()
        for process in [*self.entries, *self.agents]:
            await process.start()

    async def wait_ready(self, timeout_s=25.0):
        """Wait until all entry hosts are ready."""
        async with asyncio.timeout(timeout_s):
            for entry in self.entries:
                while True:
                    with contextlib.suppress(OSError, TimeoutError):
                        status, _ = await call(
                            f"{entry.host}:{self.ready_port}", "GET",
                            "/burdockgate/readyz", timeout_s=1.0,
                        )
                        if status == 200:
                            break
                    await asyncio.sleep(0.1)
        self.record.write("all entry hosts are ready")

    async def submit(self, entry, job, steps, spec, deadline_s=1.5):
        """Send a best-effort job once; return the status, or None without an answer."""
        body = {"spec": json.dumps(spec), "steps": steps, "bestEffort": True}
        headers = {"Host": self.host_name, "Deadline-Ms": str(int(deadline_s * 1000))}
        self.record.write(f"client sends {job} to {entry.name}")
        try:
            status, content = await call(
                f"{entry.host}:{self.front_port}", "POST", self.prefix + job,
                headers, json.dumps(body).encode(), deadline_s,
            )
        except (OSError, TimeoutError) as error:
            self.record.write(f"client has no answer to {job}: {type(error).__name__}")
            return None
        self.record.write(f"client gets {status} {content.decode()[:80]} to {job}")
        return status

    async def close(self):
        await asyncio.gather(*(p.kill() for p in [*self.entries, *self.agents]))
        for worker in self.workers:
            if worker.is_up:
                worker.crash()
        self.store.server.stop()
        self.record.close()
        self._temporary.cleanup()


def job_id():
    return f"{random.getrandbits(64):016x}"


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def main(play):
    """Run a case and exit with 1 if the rule was broken, 0 if it held, 2 if not run."""

    async def run():
        deployment = None
        try:
            async with asyncio.timeout(115):
                deployment = play.deployment()
                broken = await play.run(deployment)
        except Exception as error:  # the case could not run
            print(f"the case could not run: {type(error).__name__}: {error}")
            if deployment is not None:
                deployment.record.write(f"could not run: {type(error).__name__} {error}")
                if os.environ.get("KEEP_LOGS"):
                    keep_logs(deployment)
            return 2
        finally:
            if deployment is not None:
                if os.environ.get("KEEP_LOGS"):
                    keep_logs(deployment)
                await deployment.close()
        return 1 if broken else 0

    sys.exit(asyncio.run(run()))


def keep_logs(deployment):
    """Copy the logs of the processes to the folder in KEEP_LOGS, to look for a cause."""
    target = pathlib.Path(os.environ["KEEP_LOGS"])
    target.mkdir(parents=True, exist_ok=True)
    for log in deployment.folder.glob("*.log"):
        (target / log.name).write_bytes(log.read_bytes())
