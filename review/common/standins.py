"""Stand-ins for the platform, its workers and its callers, and a proxy, over TCP.

They need Python's standard library only and follow PROTOCOL.md where it speaks.
"""

import asyncio
import base64
import contextlib
import json
import random
import socket
import struct
import time
import urllib.parse

HEARTBEAT_S = 1.5
STOP_S = 0.04
MAX_LEASE_MS = 1000
# PROTOCOL.md: such calls are executed "seconds later"; the bench says 2 to 12 s.
LATE_S = (2.0, 12.0)
RESEND_S = 1.3


async def read_head(reader):
    """Return the first line and the headers of an HTTP message; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return first, {name.lower(): value.strip() for name, _, value in pairs}


class HttpServer:
    """HTTP/1.1 server; ``handle`` returns status and body, or None for no answer."""

    def __init__(self):
        self.server = None
        self.writers = set()

    async def listen(self, host, port):
        self.server = await asyncio.start_server(
            self._serve, host, port, limit=1 << 20, backlog=512
        )

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                first, headers = head
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                method, target, _ = first.split(" ")
                result = await self.handle(method, target, headers, body)
                if result is None:
                    # A call without an answer: the connection returns nothing more.
                    await reader.read()
                    return
                status, content = result
                writer.write(
                    f"HTTP/1.1 {status} x\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(content)}\r\n\r\n".encode() + content
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, method, target, headers, body):
        raise NotImplementedError

    def close(self):
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store(HttpServer):
    """The platform's store: keyed topics with one partition.

    :param translate: applied to the values that this listener returns of the topic of
        entry hosts, where a proxy gives these another address.
    """

    def __init__(self, records_by_topic, changed, translate=lambda value: value):
        super().__init__()
        self.records_by_topic = records_by_topic
        self.changed = changed
        self.translate = translate

    def append(self, topic, key, value):
        records = self.records_by_topic.setdefault(topic, [])
        records.append((key, value))
        for event in self.changed:
            event.set()
        self.changed.clear()
        return len(records) - 1

    def _records(self, topic):
        records = self.records_by_topic.get(topic, [])
        if topic != "keyed.entries":
            return records
        return [(key, self.translate(value)) for key, value in records]

    async def handle(self, method, target, headers, body):
        path, _, text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        topic = query.get("topic", "")
        await asyncio.sleep(0.004)
        match path.rpartition("/")[2]:
            case "log-append":
                offset = None
                while body:
                    (length,) = struct.unpack_from(">I", body)
                    record, body = body[4 : 4 + length], body[4 + length :]
                    end = 1 + record[0]
                    number = self.append(topic, record[1:end].decode(), record[end:])
                    offset = number if offset is None else offset
                end = len(self.records_by_topic.get(topic, []))
                return 200, json.dumps({"offset": offset, "end": end}).encode()
            case "log-newest":
                records = self._records(topic)
                newest = {key: (value, n) for n, (key, value) in enumerate(records)}
                items = [
                    {
                        "key": key,
                        "value": base64.b64encode(value).decode(),
                        "offset": number,
                    }
                    for key, (value, number) in sorted(newest.items())
                    if value
                ]
                page = {"items": items, "more": False, "end": len(records)}
                return 200, json.dumps(page).encode()
            case "log-read":
                offset, wait_s = int(query["from"]), int(query.get("waitMs", 0)) / 1000
                if len(self._records(topic)) <= offset:
                    event = asyncio.Event()
                    self.changed.append(event)
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(event.wait(), wait_s)
                records = self._records(topic)
                raw = struct.pack(">QQ", len(records), 0)
                for key, value in records[offset:]:
                    record = bytes([len(key)]) + key.encode() + value
                    raw += struct.pack(">I", len(record)) + record
                return 200, raw
        return 404, b"{}"


class Run:
    """A run on a worker; ``ended_at`` is None while it works."""

    def __init__(self, worker, task, number, cpu, started_at):
        self.worker, self.task, self.number, self.cpu = worker, task, number, cpu
        self.started_at, self.ended_at, self.how = started_at, None, None
        self.percent_of = lambda: 0


class Worker(HttpServer):
    """A worker that doesn't guard its capacity and doesn't know any caller.

    The text of a task begins with its work and its processors: ``work_ms cpu``.

    :param say: writes a line of the record.
    """

    def __init__(self, name, app, control, zone, say, kind="a", cpu=16000):
        super().__init__()
        self.name, self.app, self.control, self.zone = name, app, control, zone
        self.say, self.kind, self.cpu = say, kind, cpu
        # Where heartbeats are sent; another address than ``control`` behind a proxy.
        self.heartbeat_to = control
        self.late_share = 0.0
        self.rng = random.Random()
        self.runs = []
        # From the start until the first heartbeat.
        self.first_heartbeat_s = 0.0
        self._heartbeat_task = self._lease_task = None
        self._reset()

    def _reset(self):
        self.started_at = time.monotonic()
        self.born = int(time.time() * 1000)
        self.token, self.lease_until = 0, 0.0
        self.running, self.finished = {}, []
        self.highest_by_task, self.end_number, self.sequence = {}, 0, 0
        self.waiters = set()

    async def start(self):
        host, _, port = self.app.rpartition(":")
        await self.listen(host, int(port))
        self._heartbeat_task = asyncio.create_task(self._send_heartbeats())
        self._lease_task = asyncio.create_task(self._watch_lease())

    def stop_tasks(self):
        for task in (self._heartbeat_task, self._lease_task):
            if task is not None:
                task.cancel()
        self.close()

    def crash(self):
        """End without a word; what ran is gone."""
        self.stop_tasks()
        for run in list(self.running.values()):
            run.ended_at, run.how = time.monotonic(), "crashed"
        self.say(f"{self.name} crashed with {len(self.running)} runs")
        self.running = {}

    async def start_again(self, kind):
        """Start a new incarnation under the same id, of another kind."""
        self.kind = kind
        self._reset()
        self.say(f"{self.name} starts again, kind {kind}")
        await self.start()

    @property
    def clock_ms(self):
        return int((time.monotonic() - self.started_at) * 1000)

    async def _send_heartbeats(self):
        await asyncio.sleep(self.first_heartbeat_s)
        while True:
            self.sequence += 1
            beat = {
                "service": "svc",
                "address": self.app,
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "coldRemainingMs": 0,
                "capacity": {"cpu": self.cpu, "memMb": 65536, "gpu": 0},
                "labels": [self.kind, "r1"],
                "clockMs": self.clock_ms,
                "seq": self.sequence,
                "born": self.born,
            }
            path = f"/burdockgate/instances/{self.name}/heartbeat"
            with contextlib.suppress(OSError, TimeoutError, ValueError):
                await asyncio.wait_for(
                    call("POST", self.heartbeat_to, path, json.dumps(beat).encode()), 1
                )
            await asyncio.sleep(HEARTBEAT_S)

    async def _watch_lease(self):
        while True:
            await asyncio.sleep(0.005)
            if self.running and time.monotonic() > self.lease_until:
                for run in list(self.running.values()):
                    self._end(run, "lapsed")

    def _extend(self, deadline_ms):
        end_ms = min(deadline_ms, self.clock_ms + MAX_LEASE_MS)
        self.lease_until = max(self.lease_until, self.started_at + end_ms / 1000)

    async def handle(self, method, target, headers, body):
        fields = json.loads(body or b"{}")
        operation = target.rpartition("/")[2]
        expected = headers.get("expected-instance")
        if expected is not None and expected != self.name:
            return 421, b"{}"
        if self.late_share and self.rng.random() < self.late_share:
            delay_s = self.rng.uniform(*LATE_S)
            asyncio.get_running_loop().call_later(
                delay_s, lambda: self._order(operation, fields)
            )
            if operation != "hold":
                self.say(
                    f"{self.name} leaves {operation} {fields.get('task')} unanswered, "
                    f"executes it {delay_s:.1f} s later"
                )
            return None
        status, answer = self._order(operation, fields)
        if operation == "hold" and status == 200:
            await self._wait_for_end(fields)
            answer = self._lists()
        return status, json.dumps({"clockMs": self.clock_ms, **answer}).encode()

    async def _wait_for_end(self, fields):
        if self.finished or not fields.get("waitMs"):
            return
        event = asyncio.Event()
        self.waiters.add(event)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(event.wait(), fields["waitMs"] / 1000)
        self.waiters.discard(event)

    def _lists(self):
        return {
            "clockMs": self.clock_ms,
            "born": self.born,
            "running": [
                [run.task, run.number, "", run.percent_of(), run.cpu]
                for run in self.running.values()
            ],
            "finished": self.finished[:500],
        }

    def _order(self, operation, fields):
        """Execute an order; returns status and fields of the answer."""
        if fields["fencingToken"] < self.token:
            return 409, {"reason": "fence"}
        self.token = fields["fencingToken"]
        if operation == "hold":
            if "deadlineMs" in fields:
                self._extend(fields["deadlineMs"])
            acknowledged = fields.get("ackedThrough", 0)
            self.finished = [row for row in self.finished if row[0] > acknowledged]
            return 200, {}
        task, number = fields["task"], fields["run"]
        if operation == "run-stop":
            highest = self.highest_by_task.get(task, 0)
            self.highest_by_task[task] = max(highest, number)
            run = self.running.get(task)
            if run is not None and run.number == number:
                self.say(f"{self.name} stops {task} run {number}")
                asyncio.get_running_loop().call_later(
                    STOP_S, lambda: self._end(run, "stopped")
                )
            return 200, {}
        run = self.running.get(task)
        if run is not None and run.number == number:
            self._extend(fields["deadlineMs"])
            return 200, {}
        if fields["deadlineMs"] <= self.clock_ms:
            return 409, {"reason": "late"}
        self._extend(fields["deadlineMs"])
        if run is not None or number <= self.highest_by_task.get(task, 0):
            return 409, {"reason": "old"}
        self._start(task, number, fields["spec"])
        return 200, {}

    def _start(self, task, number, spec):
        work_ms, cpu = (int(word) for word in spec.split()[:2])
        now = time.monotonic()
        run = Run(self.name, task, number, cpu, now)
        run.kind, run.used = self.kind, cpu + sum(
            other.cpu for other in self.running.values()
        )
        run.capacity = self.cpu
        run.percent_of = lambda: min(99, int((time.monotonic() - now) / work_ms * 1e5))
        self.running[task] = run
        self.runs.append(run)
        self.say(
            f"{self.name} starts {task} run {number}, kind {self.kind}, "
            f"in use {run.used} of {self.cpu}"
        )
        asyncio.get_running_loop().call_later(
            work_ms / 1000, lambda: self._end(run, "done")
        )

    def _end(self, run, how):
        if run.ended_at is not None:
            return
        run.ended_at, run.how = time.monotonic(), how
        self.running.pop(run.task, None)
        highest = self.highest_by_task.get(run.task, 0)
        self.highest_by_task[run.task] = max(highest, run.number)
        self.end_number += 1
        self.finished.append([self.end_number, run.task, run.number, how, ""])
        self.say(f"{self.name} ends {run.task} run {run.number} {how}")
        for event in self.waiters:
            event.set()


async def call(method, address, path, body=b"", headers=None):
    """Send a request; returns status and body. Raises OSError if the answer breaks."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}"]
        fields = {"Host": address, "Content-Type": "application/json"}
        fields.update(headers or {})
        lines += [f"{name}: {value}" for name, value in fields.items()]
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        await writer.drain()
        head = await read_head(reader)
        if head is None:
            raise ConnectionResetError("no answer")
        first, answer = head
        try:
            content = await reader.readexactly(int(answer.get("content-length", 0)))
        except asyncio.IncompleteReadError as error:
            raise ConnectionResetError("cut answer") from error
        return int(first.split(" ")[1]), content
    finally:
        writer.transport.abort()


class Proxy:
    """Forwards connections, and resets those that it is told to.

    :param translate: applied to the bytes that the listening process sends back.
    """

    def __init__(self, target, translate=lambda data: data):
        self.target, self.translate = target, translate
        self.pairs = {}
        self.is_cut = False
        self.server = None

    async def listen(self, host, port):
        self.server = await asyncio.start_server(self._accept, host, port, backlog=512)

    async def _accept(self, reader, writer):
        host, _, port = self.target.rpartition(":")
        if self.is_cut:
            # The bytes of a partitioned peer get no answer.
            self.pairs[writer] = None
            with contextlib.suppress(ConnectionError):
                await reader.read()
            self.pairs.pop(writer, None)
            writer.transport.abort()
            return
        try:
            other_reader, other_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.pairs[writer] = other_writer
        tasks = [
            asyncio.create_task(self._copy(reader, other_writer, lambda data: data)),
            asyncio.create_task(self._copy(other_reader, writer, self.translate)),
        ]
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()
        self.pairs.pop(writer, None)
        for end in (writer, other_writer):
            end.transport.abort()

    async def _copy(self, reader, writer, translate):
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(1 << 16):
                if self.is_cut:
                    # Held until the cut ends; a reset loses them.
                    while self.is_cut:
                        await asyncio.sleep(0.01)
                writer.write(translate(data))
                await writer.drain()

    def reset(self, writer):
        """Reset one connection at both ends."""
        for end in (writer, self.pairs.get(writer)):
            if end is None:
                continue
            raw = end.get_extra_info("socket")
            if raw is not None and raw.fileno() >= 0:
                raw.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )
            end.transport.abort()

    def close(self):
        if self.server is not None:
            self.server.close()
        for writer in list(self.pairs):
            self.reset(writer)


def overlaps(workers):
    """Yield pairs of runs of one task that were at work at the same time."""
    runs_by_task = {}
    for worker in workers:
        for run in worker.runs:
            runs_by_task.setdefault(run.task, []).append(run)
    now = time.monotonic()
    for runs in runs_by_task.values():
        runs.sort(key=lambda run: run.started_at)
        for index, first in enumerate(runs):
            for second in runs[index + 1 :]:
                if second.started_at < (first.ended_at or now):
                    yield first, second
