"""Stand-ins for the platform, and a small deployment of real processes on loopback.

The store, the workers and the clients follow PROTOCOL.md and DEPLOY.md. The programs
under test are started with the commands of ``deploy/system.toml``. Every event that a
client, a worker or the operator can see goes to ``record.txt``.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import shlex
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]

# Bounds of the small deployments, from SYSTEM.md.
BOUNDS = {
    "seedLagS": 3,
    "addrReuseS": 2,
    "contactMs": 3000,
    "ackTimeoutMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "maxSkewMs": 5000,
    "recoveryS": 12,
    "maxHoldMs": 1000,
    "stopTimeoutMs": 50,
    "gangTimeoutMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "leaseMs": 3000,
    "thawMs": 300,
    "retransmitMs": 1300,
}
HEARTBEAT_S = 1.5
SERVICE = "huvo11a"
HOST = "nony24.example"
PREFIX = "/lohu930/"


class CannotRunError(Exception):
    """The case could not run, which says nothing about the rule."""


class Record:
    """Lines of what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self._started_at = time.monotonic()
        self._file = open(path, "w")

    def now(self):
        return time.monotonic() - self._started_at

    def write(self, text):
        line = f"{self.now():8.3f} s  {text}"
        self._file.write(line + "\n")
        self._file.flush()

    def close(self):
        self._file.close()


class HttpServer:
    """A small HTTP/1.1 server; a handler that returns ``None`` resets the connection."""

    def __init__(self, host, port, handler):
        self.host, self.port, self._handler = host, port, handler
        self._server = None
        self._writers = set()
        self._is_aborted = False

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self.host, self.port)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {
                    name.strip().lower(): value.strip()
                    for name, _, value in (line.partition(":") for line in lines[1:])
                }
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                if self._is_aborted:
                    # What a crashed process had not read is lost.
                    return
                answer = await self._handler(method, target, headers, body)
                if answer is None:
                    writer.transport.abort()
                    return
                status, content = answer
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(content)}\r\n\r\n".encode() + content
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    def abort(self):
        """End like a crashed process."""
        self._is_aborted = True
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()


class Store:
    """The platform's log: one partition a topic, and the newest record of each key."""

    def __init__(self, host, port):
        self._records_by_topic = {}
        self._changed = asyncio.Event()
        self.server = HttpServer(host, port, self._handle)
        self.address = f"{host}:{port}"

    def append(self, topic, key, value):
        records = self._records_by_topic.setdefault(topic, [])
        records.append((key, value))
        self._changed.set()
        self._changed = asyncio.Event()
        return len(records) - 1

    async def _handle(self, method, target, headers, body):
        path, _, query_text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query_text))
        topic = query.get("topic", "")
        await asyncio.sleep(0.004)
        match path.rpartition("/")[2]:
            case "log-append":
                offset, position = None, 0
                while position < len(body):
                    (length,) = struct.unpack_from(">I", body, position)
                    record = body[position + 4 : position + 4 + length]
                    position += 4 + length
                    end = 1 + record[0]
                    added = self.append(topic, record[1:end].decode(), record[end:])
                    offset = added if offset is None else offset
                end = len(self._records_by_topic.get(topic, []))
                return 200, json.dumps({"offset": offset, "end": end}).encode()
            case "log-newest":
                return 200, self._newest(topic)
            case "log-read":
                return 200, await self._read(topic, query)
        return 404, b"{}"

    def _newest(self, topic):
        records = self._records_by_topic.get(topic, [])
        newest = {key: (value, number) for number, (key, value) in enumerate(records)}
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": number}
            for key, (value, number) in sorted(newest.items())
            if value
        ]
        return json.dumps({"items": items, "more": False, "end": len(records)}).encode()

    async def _read(self, topic, query):
        start, wait_s = int(query["from"]), int(query.get("waitMs", 0)) / 1000
        if len(self._records_by_topic.get(topic, [])) <= start:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    while len(self._records_by_topic.get(topic, [])) <= start:
                        await self._changed.wait()
        records = self._records_by_topic.get(topic, [])
        raw = struct.pack(">QQ", len(records), 0)
        for key, value in records[start:]:
            record = bytes([len(key)]) + key.encode() + value
            raw += struct.pack(">I", len(record)) + record
        return raw


class Run:
    """A run of a task on a worker; times in seconds of the record."""

    def __init__(self, worker, life, task, number, spec, cpu, started_at):
        self.worker, self.life, self.task, self.number = worker, life, task, number
        self.spec, self.cpu = spec, cpu
        self.started_at, self.ended_at, self.how = started_at, None, ""


class Worker:
    """A worker beside an agent, which starts what it is told to start.

    :param work_s: duration of a task by its name.
    :param cpu_of: ``cpu`` of a task by its name, as the client sent it.
    """

    def __init__(self, name, host, port, control, record, work_s, cpu_of, kind):
        self.name, self.host, self.port, self.control = name, host, port, control
        self.record = record
        self.runs = []
        self._work_s, self._cpu_of = work_s, cpu_of
        self._life = 0
        self._tasks = []
        self.is_up = False
        self.capacity, self.labels = kind
        # Set while the worker is to crash when it has begun a task.
        self.crashes_at_start = False
        self.has_crashed = asyncio.Event()
        # An unhealthy worker refuses starts with 503 and does nothing.
        self.is_unhealthy = False
        self.server = None

    # One life.

    async def start(self, first_heartbeat_s=0.0):
        self._life += 1
        self.is_up = True
        self.born = int(time.time() * 1000)
        self._clock_start = time.monotonic()
        self._token, self._deadline_ms = 0, 0
        self._running = {}
        self._finished = []
        self._end_count = 0
        self._highest_ended = {}
        self._sequence = 0
        self._ended = asyncio.Event()
        self.server = HttpServer(self.host, self.port, self._handle)
        await self.server.start()
        self.record.write(
            f"worker {self.name} starts, life {self._life}: capacity {self.capacity}, "
            f"labels {self.labels}"
        )
        self._tasks = [
            asyncio.create_task(self._beat(first_heartbeat_s)),
            asyncio.create_task(self._watch()),
        ]

    def crash(self):
        self.is_up = False
        self.server.abort()
        for task in self._tasks:
            task.cancel()
        for run in self._running.values():
            self._note_end(run, "lost with the worker")
        self._running = {}
        self.record.write(f"worker {self.name} crashes")
        self.crashes_at_start = False
        self.has_crashed.set()

    async def crash_at_start(self):
        """Crash as soon as a task has begun, before the start is answered."""
        self.has_crashed.clear()
        self.crashes_at_start = True
        await self.has_crashed.wait()

    def close(self):
        if self.is_up:
            self.is_up = False
            self.server.abort()
            for task in self._tasks:
                task.cancel()

    @property
    def clock_ms(self):
        return int((time.monotonic() - self._clock_start) * 1000)

    def _note_end(self, run, how):
        run.ended_at, run.how = self.record.now(), how
        self.record.write(f"{self.name} ends {run.task} run {run.number}: {how}")

    def _end(self, key, how):
        run = self._running.pop(key)
        self._note_end(run, how)
        self._end_count += 1
        self._finished.append([self._end_count, run.task, run.number, how, ""])
        self._highest_ended[run.task] = max(
            run.number, self._highest_ended.get(run.task, 0)
        )
        self._ended.set()
        self._ended = asyncio.Event()

    async def _watch(self):
        while True:
            await asyncio.sleep(0.005)
            if self._running and self.clock_ms > self._deadline_ms:
                for key in list(self._running):
                    self._end(key, "lapsed")
            now = self.record.now()
            for key, run in list(self._running.items()):
                if now - run.started_at >= self._work_s(run.task):
                    self._end(key, "done")

    async def _beat(self, first_s):
        await asyncio.sleep(first_s)
        while True:
            await self.heartbeat()
            await asyncio.sleep(HEARTBEAT_S)

    def heartbeat_fields(self):
        self._sequence += 1
        return {
            "service": SERVICE,
            "address": f"{self.host}:{self.port}",
            "zone": "kapana",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "capacity": {"cpu": self.capacity, "memMb": 32768, "gpu": 0},
            "labels": self.labels,
            "clockMs": self.clock_ms,
            "seq": self._sequence,
            "born": self.born,
        }

    async def heartbeat(self):
        life = self._life
        status = await call(
            self.control,
            "POST",
            f"/burdockgate/instances/{self.name}/heartbeat",
            self.heartbeat_fields(),
            timeout_s=1.0,
        )
        if self._sequence <= 1:
            self.record.write(
                f"worker {self.name} life {life}: first heartbeat, {status[0]}"
            )

    # Calls of the agent.

    async def _handle(self, method, target, headers, body):
        if headers.get("expected-instance", self.name) != self.name:
            return self._reply(421)
        fields = json.loads(body or b"{}")
        if fields.get("fencingToken", 0) < self._token:
            return self._reply(409, reason="fence")
        self._token = fields.get("fencingToken", 0)
        match target.rpartition("/")[2]:
            case "run-start":
                answer = self._start_run(fields)
                if self.crashes_at_start and answer[0] == 200:
                    self.crash()
                    return None
                return answer
            case "run-stop":
                return await self._stop_run(fields)
            case "hold":
                return await self._hold(fields)
        return 404, b"{}"

    def _reply(self, status, **fields):
        content = {"clockMs": self.clock_ms, "born": self.born, **fields}
        return status, json.dumps(content).encode()

    def _extend(self, fields):
        if "deadlineMs" in fields:
            limit = self.clock_ms + BOUNDS["maxHoldMs"]
            self._deadline_ms = max(self._deadline_ms, min(fields["deadlineMs"], limit))

    def _start_run(self, fields):
        if self.is_unhealthy:
            return self._reply(503)
        task, number = fields["task"], fields["run"]
        if (task, number) in self._running:
            self._extend(fields)
            return self._reply(200)
        if number <= self._highest_ended.get(task, 0):
            self._extend(fields)
            return self._reply(409, reason="old")
        if fields["deadlineMs"] <= self.clock_ms:
            return self._reply(409, reason="late")
        self._extend(fields)
        run = Run(
            self.name,
            self._life,
            task,
            number,
            fields["spec"],
            self._cpu_of(task),
            self.record.now(),
        )
        self._running[task, number] = run
        self.runs.append(run)
        run.labels, run.capacity = list(self.labels), self.capacity
        run.used_cpu = sum(other.cpu for other in self._running.values())
        self.record.write(
            f"{self.name} starts {task} run {number}: {run.used_cpu} of "
            f"{self.capacity} in use, labels {self.labels}"
        )
        return self._reply(200)

    async def _stop_run(self, fields):
        task, number = fields["task"], fields["run"]
        self._highest_ended[task] = max(number, self._highest_ended.get(task, 0))
        await asyncio.sleep(0.01)
        if (task, number) in self._running:
            self._end((task, number), "stopped")
        return self._reply(200)

    async def _hold(self, fields):
        self._extend(fields)
        acked = fields.get("ackedThrough", 0)
        self._finished = [row for row in self._finished if row[0] > acked]
        wait_s = fields.get("waitMs", 0) / 1000
        if wait_s and not self._finished:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self._ended.wait()
        now = self.record.now()
        running = [
            [
                run.task,
                run.number,
                "",
                min(99, int(100 * (now - run.started_at) / self._work_s(run.task))),
                run.cpu,
            ]
            for run in self._running.values()
        ]
        return self._reply(200, running=running, finished=self._finished[:500])


async def call(address, method, path, fields=None, headers=None, timeout_s=5.0):
    """Send a request on a connection of its own; return status and body.

    The status is 0 when the connection broke or no response came in time.
    """
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            body = b"" if fields is None else json.dumps(fields).encode()
            lines = [f"{method} {path} HTTP/1.1"]
            given = {"Host": address, "Content-Type": "application/json"}
            given |= headers or {}
            lines += [f"{name}: {value}" for name, value in given.items()]
            lines += [f"Content-Length: {len(body)}", "", ""]
            writer.write("\r\n".join(lines).encode() + body)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            status = int(head.split(" ", 2)[1])
            length = 0
            for line in head.split("\r\n")[1:]:
                name, _, value = line.partition(":")
                if name.lower() == "content-length":
                    length = int(value)
            return status, (await reader.readexactly(length)).decode()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, ""
    finally:
        if writer is not None:
            writer.transport.abort()


def _free_ports(count, hosts):
    """Return ports that are free at each of the loopback addresses."""
    listeners, ports = [], []
    try:
        for _ in range(10 * count):
            if len(ports) == count:
                return ports
            port = 0
            try:
                for host in hosts:
                    listener = socket.socket()
                    listeners.append(listener)
                    listener.bind((host, port))
                    port = listener.getsockname()[1]
            except OSError:
                continue
            ports.append(port)
    finally:
        for listener in listeners:
            listener.close()
    raise CannotRunError("no free ports")


class Fleet:
    """A store, entry hosts, and agents with a worker each, on loopback addresses."""

    def __init__(self, record, entries, workers, work_s, cpu_of):
        """Choose addresses.

        :param workers: capacity and labels of each worker.
        """
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        network = f"127.{random.randint(16, 240)}.{random.randint(1, 250)}"
        self.entry_hosts = [f"{network}.{10 + number}" for number in range(entries)]
        self.agent_hosts = [f"{network}.{50 + number}" for number in range(len(workers))]
        hosts = [f"{network}.1", *self.entry_hosts, *self.agent_hosts]
        ports = _free_ports(6, hosts)
        store_port, self.front, self.ready, self.control, app, link = ports
        self.link = link
        self.store = Store(f"{network}.1", store_port)
        self.workers = [
            Worker(
                f"i-{number}",
                host,
                app,
                f"{host}:{self.control}",
                record,
                work_s,
                cpu_of,
                kind,
            )
            for number, (host, kind) in enumerate(
                zip(self.agent_hosts, workers, strict=True)
            )
        ]
        self.app = app
        self.process_by_name = {}
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._command_by_role = {
            role: shlex.split(deploy["roles"][role]["run"])
            for role in ("entry", "agent")
        }

    def _settings(self, name, role, host):
        is_entry = role == "entry"
        seeds = json.dumps([f"{seed}:{self.control}" for seed in self.entry_hosts[:3]])
        lines = [
            f'nodeName = "{name}"',
            f'role = "{role}"',
            f'machineClass = "{"edge" if is_entry else "side"}"',
            f'serves = {json.dumps(["edge", "control_plane"] if is_entry else ["side"])}',
            f'ip = "{host}"',
            'zone = "kapana"',
            'region = "plovdiv"',
            f"portRange = [{self.link}, {self.link}]",
            f"seeds = {seeds}",
            "bootstrap = true",
            'discovery = "local"',
            f"heartbeatMs = {int(HEARTBEAT_S * 1000)}",
            'orders = "invoke"',
        ]
        if not is_entry:
            lines += [f'app = "{host}:{self.app}"', f'service = "{SERVICE}"']
        lines += ["[zones]", 'kapana = "plovdiv"', "[listen]"]
        lines.append(f'control = "{host}:{self.control}"')
        if is_entry:
            lines += [f'front = "{host}:{self.front}"', f'ready = "{host}:{self.ready}"']
        memory_mb, max_fds = (300, 4100) if is_entry else (168, 4096)
        lines += ["[limits]", f"memoryMb = {memory_mb}", f"maxFds = {max_fds}"]
        lines.append("[bounds]")
        lines += [f"{key} = {value}" for key, value in BOUNDS.items()]
        lines += ["[platform]", f'address = "{self.store.address}"', 'form = "log"']
        return "\n".join(lines) + "\n"

    async def start(self, configuration):
        self.store.append("keyed.op", "config", json.dumps(configuration).encode())
        await self.store.server.start()
        for number, host in enumerate(self.entry_hosts):
            await self.start_process(f"edge-{number}", "entry", host)
        for number, host in enumerate(self.agent_hosts):
            await self.start_process(f"side-{number}", "agent", host)
        for worker in self.workers:
            await self._wait_listening(worker.control)
            await worker.start()
        for host in self.entry_hosts:
            await self.wait_ready(host)
        # Until each entry host has heard of each worker.
        await asyncio.sleep(2.0)
        self.record.write("all entry hosts are ready")

    async def start_process(self, name, role, host):
        path = self.folder / f"{name}.toml"
        path.write_text(self._settings(name, role, host))
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment |= {
            "BURDOCKGATE_NODE_FILE": str(path),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with (self.folder / f"{name}.log").open("ab") as log:
            self.process_by_name[name] = await asyncio.create_subprocess_exec(
                *self._command_by_role[role],
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def _wait_listening(self, address):
        for _ in range(200):
            if (await call(address, "GET", "/", timeout_s=1.0))[0]:
                return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"nothing listens at {address}")

    async def wait_ready(self, host):
        for _ in range(300):
            status, _ = await call(
                f"{host}:{self.ready}", "GET", "/burdockgate/readyz", timeout_s=1.0
            )
            if status == 200:
                return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{host} is not ready")

    def signal(self, name, number):
        """Send a signal to a process that this fleet started, by its id."""
        os.kill(self.process_by_name[name].pid, number)
        self.record.write(f"{name} gets {signal.Signals(number).name}")

    async def client(self, entry, method, job, fields=None, deadline_ms=30_000, who=""):
        """Send a request as a client and record it; return status and body."""
        host = self.entry_hosts[entry]
        self.record.write(f"client {who}: {method} {job} sent to edge-{entry}")
        status, body = await call(
            f"{host}:{self.front}",
            method,
            f"{PREFIX}{job}",
            fields,
            {"Host": HOST, "Deadline-Ms": str(deadline_ms)},
            deadline_ms / 1000,
        )
        self.record.write(
            f"client {who}: {method} {job} at edge-{entry} gets "
            f"{status or 'no response'} {body}"
        )
        return status, body

    @property
    def runs(self):
        return [run for worker in self.workers for run in worker.runs]

    async def close(self):
        for process in self.process_by_name.values():
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
            await process.wait()
        for worker in self.workers:
            worker.close()
        self.store.server.abort()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def configuration(version=7, **route):
    """Return a configuration with one queue."""
    fields = {
        "name": "r-3hwrr6x",
        "host": HOST,
        "pathPrefix": PREFIX,
        "kind": "non_idempotent",
        "timeoutMs": 30_000,
        "targetLatencyMs": 60,
        "priority": 0,
        "service": SERVICE,
        "maxAttempts": 4,
        "stretch": 1.6,
    }
    return {
        "version": version,
        "routes": [fields | route],
        "services": [{"name": SERVICE, "enforcesCapacity": False}],
        "limits": {"maxBodyBytes": 262_144},
    }


def main(case, limit_s=110):
    """Run a case and exit with 1 if the rule was broken, 0 if it held, else 2.

    :param case: a coroutine function of the record and of whether there is the
        disruption; it returns the breaches, one line each.
    """
    folder = pathlib.Path(sys.argv[1]).resolve()
    is_disturbed = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record.write(f"disruption: {'yes' if is_disturbed else 'no'}")

    async def run():
        async with asyncio.timeout(limit_s):
            return await case(record, is_disturbed)

    try:
        breaches = asyncio.run(run())
    except BaseException as error:
        record.write(f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}")
        record.close()
        sys.exit(2)
    for breach in breaches:
        record.write(f"BREACH: {breach}")
    record.write(f"breaches: {len(breaches)}")
    record.close()
    print(f"breaches: {len(breaches)}")
    for breach in breaches[:5]:
        print(breach, flush=True)
    sys.exit(1 if breaches else 0)
