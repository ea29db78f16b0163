"""A deployment of the platform's programs as separate processes, with stand-ins."""

import asyncio
import json
import os
import socket
import sys

import httpx

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
    """A store, entry hosts, and as many agents with their workers.

    Each process has an address of its own in ``network``, the first three bytes of
    loopback addresses. ``settings`` is appended to each settings file.
    """

    def __init__(self, folder, count=2, network="127.0.0", settings=""):
        self.folder = folder
        self.numbers = range(1, count + 1)
        self.network = network
        self.settings = settings
        self.link_port, self.front_port, self.ready_port, self.heartbeat_port = (
            _free_ports(4)
        )
        self.store = platform_standins.StoreStandIn()
        self.workers = []
        self.process_by_name = {}

    async def start(self):
        self.store.append("keyed.op", "config", json.dumps(CONFIGURATION).encode())
        await self.store.server.start()
        for number in self.numbers:
            await self.start_process(
                f"entry-{number}", "entry", f"{self.network}.{10 + number}"
            )
            host = f"{self.network}.{20 + number}"
            worker = platform_standins.WorkerStandIn(
                f"i-{number}", f"{host}:{self.heartbeat_port}", 0.3
            )
            await worker.start()
            self.workers.append(worker)
            await self.start_process(
                f"agent-{number}", "agent", host, worker.server.address
            )
        for number in self.numbers:
            await self.wait_ready(f"{self.network}.{10 + number}")
            await self.wait_listening(f"{self.network}.{20 + number}")

    async def start_process(self, name, role, host, worker=""):
        path = self.folder / f"{name}.toml"
        path.write_text(
            f'nodeName = "{name}"\nrole = "{role}"\nip = "{host}"\nzone = "z1"\n'
            f"portRange = [{self.link_port}, {self.link_port + 1}]\n"
            f'seeds = ["{self.network}.11:{self.heartbeat_port}"]\napp = "{worker}"\n'
            f'[listen]\ncontrol = "{host}:{self.heartbeat_port}"\n'
            + (
                f'front = "{host}:{self.front_port}"\n'
                f'ready = "{host}:{self.ready_port}"\n'
                if role == "entry"
                else ""
            )
            + f"[bounds]\ngraceS = {GRACE_S}\n"
            + f'[platform]\naddress = "{self.store.server.address}"\n'
            + self.settings
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

    async def wait_listening(self, host):
        """Wait until an agent listens; entry hosts are ready with one of them."""

        async def is_listening():
            try:
                await self.get(host, self.heartbeat_port, "/")
            except httpx.HTTPError:
                return False
            return True

        await self.wait_for(is_listening)

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
