"""Stand-ins for the platform over HTTP: a store with keyed topics, and a worker."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import random
import struct
import urllib.parse

import httpx

from burdockgate import assignments
from burdockgate.platform import asgi
from burdockgate.process import serving, workercontrol
from burdockgate.standin import simworker, virtualtime


class LoopClock(virtualtime.VirtualClock):
    """The clock of the event loop, for a simulated worker in real time."""

    def now(self):
        return asyncio.get_running_loop().time()

    def call_later(self, delay_s, action):
        asyncio.get_running_loop().call_later(delay_s, action)


class StoreStandIn:
    """A metadata store whose topics have one partition each.

    It delays each response by ``delay_s``, and while ``is_down`` is set it responds to
    every call with 503.
    """

    def __init__(self):
        self.records_by_topic = {}
        self.is_down = False
        self.delay_s = 0.0
        self.server = serving.Server(self, "127.0.0.1")
        self._changed = asyncio.Event()

    def append(self, topic, key, value):
        self.records_by_topic.setdefault(topic, []).append((key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    async def __call__(self, scope, receive, send):
        body = await asgi.read_body(receive, 1 << 20)
        query = dict(urllib.parse.parse_qsl(scope["query_string"].decode()))
        await asyncio.sleep(self.delay_s)
        if self.is_down:
            await asgi.send_response(send, 503)
            return
        topic = query["topic"]
        match scope["path"].rpartition("/")[2]:
            case "log-append":
                record = body[4:]
                key_end = 1 + record[0]
                self.append(topic, record[1:key_end].decode(), record[key_end:])
                await asgi.send_response(send, 200, b'{"offset":0,"end":1}')
            case "log-newest":
                await asgi.send_response(send, 200, self._newest(topic))
            case "log-read":
                await self._read(topic, query, send)

    def _newest(self, topic):
        records = self.records_by_topic.get(topic, [])
        newest = {key: (value, offset) for offset, (key, value) in enumerate(records)}
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (value, offset) in sorted(newest.items())
        ]
        return json.dumps({"items": items, "more": False, "end": len(records)}).encode()

    async def _read(self, topic, query, send):
        offset, wait_s = int(query["from"]), int(query["waitMs"]) / 1000
        if len(self.records_by_topic.get(topic, [])) <= offset:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self._changed.wait()
        records = self.records_by_topic.get(topic, [])
        raw = struct.pack(">QQ", len(records), 0)
        for key, value in records[offset:]:
            record = bytes([len(key)]) + key.encode() + value
            raw += struct.pack(">I", len(record)) + record
        await asgi.send_response(
            send, 200, raw, content_type="application/octet-stream"
        )


_REASON_BY_REFUSAL = {
    workercontrol.Refusal.FENCED: "fence",
    workercontrol.Refusal.OLD_RUN: "old",
    workercontrol.Refusal.LATE: "late",
}


class WorkerStandIn:
    """A simulated worker behind its HTTP interface, with heartbeats to its agent."""

    def __init__(self, name, heartbeat_address, work_s):
        self.time = LoopClock()
        self.simulated = simworker.SimulatedWorker(
            name, 16_000, 1.0, self.time, random.Random(1), lambda task: (work_s, 1600)
        )
        self.server = serving.Server(self, "127.0.0.1")
        self._heartbeat_address = heartbeat_address
        self._sequence = 0
        self._heartbeat_task = None

    async def start(self):
        await self.server.start()
        self._heartbeat_task = asyncio.create_task(self._send_heartbeats())

    async def close(self):
        self._heartbeat_task.cancel()
        await self.server.stop_now()

    async def _send_heartbeats(self):
        path = f"/burdockgate/instances/{self.simulated.name}/heartbeat"
        async with httpx.AsyncClient(trust_env=False) as client:
            while True:
                self._sequence += 1
                # The agent may not be running yet; a later heartbeat reaches it.
                with contextlib.suppress(httpx.HTTPError):
                    await client.post(
                        f"http://{self._heartbeat_address}{path}",
                        json=self._heartbeat(),
                        timeout=1,
                    )
                await asyncio.sleep(0.3)

    def _heartbeat(self):
        return {
            "service": "svc",
            "address": self.server.address,
            "zone": "z1",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "capacity": {"cpu": self.simulated.cpu, "memMb": 65536, "gpu": 0},
            "labels": ["a", "r1"],
            "clockMs": self.simulated.clock_ms,
            "seq": self._sequence,
            "born": self.simulated.born,
        }

    async def __call__(self, scope, receive, send):
        fields = json.loads(await asgi.read_body(receive, 1 << 20))
        match scope["path"].rpartition("/")[2]:
            case "run-start":
                command = workercontrol.StartCommand(
                    "",
                    _parse_run_key(fields["task"], fields["run"]),
                    fields["spec"],
                    fields["deadlineMs"],
                    fields["fencingToken"],
                )
                await self._send_result(send, self.simulated.start(command))
            case "run-stop":
                key = _parse_run_key(fields["task"], fields["run"])
                command = workercontrol.StopCommand("", key, fields["fencingToken"])
                await self._send_result(send, self.simulated.stop(command))
            case "hold":
                await self._poll(fields, send)

    async def _poll(self, fields, send):
        result_future = asyncio.get_running_loop().create_future()
        command = workercontrol.PollCommand(
            "",
            fields["fencingToken"],
            fields["ackedThrough"],
            fields.get("deadlineMs"),
            fields["waitMs"],
        )
        self.simulated.poll(command, result_future.set_result)
        result = await result_future
        if isinstance(result, workercontrol.Refused):
            await self._send_result(send, result)
            return
        lists = {
            "clockMs": result.clock_ms,
            "born": result.born,
            "running": [
                [_format_task(entry.key), entry.key.run, "", entry.percent]
                for entry in result.running
            ],
            "finished": [
                [
                    entry.number,
                    _format_task(entry.key),
                    entry.key.run,
                    entry.reason.value,
                    "",
                ]
                for entry in result.finished
            ],
        }
        await asgi.send_response(send, 200, json.dumps(lists).encode())

    @staticmethod
    async def _send_result(send, result):
        if isinstance(result, workercontrol.Accepted):
            body = {"clockMs": result.clock_ms}
            await asgi.send_response(send, 200, json.dumps(body).encode())
        else:
            body = {
                "clockMs": result.clock_ms,
                "reason": _REASON_BY_REFUSAL[result.reason],
            }
            await asgi.send_response(send, 409, json.dumps(body).encode())


def _parse_run_key(name, run):
    job, _, step, index = name.split(".")
    return assignments.RunKey(assignments.TaskKey(job, int(step), int(index)), run)


def _format_task(key):
    return f"{key.task.job}.0.{key.task.step}.{key.task.index}"
