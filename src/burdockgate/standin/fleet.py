"""A measured system whose roles and stand-ins are processes of their own."""

from __future__ import annotations

import asyncio
import json
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
from typing import Any

import httpx

from burdockgate import errors
from burdockgate.standin import scenarios, targets
from burdockgate.version import view

LOOPBACK = "127.0.0.1"
SERVICE = "sample"
READY_TIMEOUT_S = 60.0
READY_POLL_S = 0.1
# Below the range from which systems take ports of outgoing connections.
PORTS = range(20000, 32000)
PORT_TRIES = 100

_SETTINGS = """[node]
name = {name}
region = local
data_centre = dc-{data_centre}
rack = rack-{rack}
listen = {listen}
[platform]
log_url = {log_url}
seeds = {seeds}
{own}
"""


class ProcessTarget(targets.Target):
    """Starts one process for each role and stand-in, on the loopback interface.

    :param size: size of the system; its policy must be the default one.
    """

    def __init__(self, size: targets.Size) -> None:
        self._size = size
        self._rng = random.Random()
        self._directory = tempfile.TemporaryDirectory(prefix="burdockgate-")
        self._path = pathlib.Path(self._directory.name)
        self._process_by_name: dict[str, subprocess.Popen[bytes]] = {}
        self._servers = [self._free_address() for _ in range(size.agents)]
        self._seeds = [self._free_address() for _ in range(size.entries)]
        self.urls = [f"http://{self._free_address()}" for _ in range(size.entries)]
        self.log_url = f"http://{self._free_address()}"
        self.service = SERVICE
        self.slots = size.agents * size.slots
        self.agents = size.agents
        self.worker = "agent-1"

    def _free_address(self) -> str:
        for port in self._rng.sample(PORTS, PORT_TRIES):
            with socket.socket() as probe:
                try:
                    probe.bind((LOOPBACK, port))
                except OSError:
                    continue
                return f"{LOOPBACK}:{port}"
        raise errors.BurdockgateError(f"no free port in {PORTS}")

    async def start(self) -> None:
        """Start every process and wait until jobs can be taken.

        :raises errors.BurdockgateError: when the system is not ready in time.
        """
        log = self.log_url.removeprefix("http://")
        self._launch("log", "standin", "log", "--listen", log)
        for index, url in enumerate(self.urls):
            own = f"[entry]\nhttp = {url.removeprefix('http://')}"
            self._launch_daemon("entry", index, self._seeds[index], own)
        for index, server in enumerate(self._servers):
            name = f"server-{index + 1}"
            listen = ("--listen", server, "--name", name)
            self._launch(name, "standin", "backend", *listen)
            own = (
                f"[backend_server]\nurl = http://{server}\nservice = {SERVICE}\n"
                f"slots = {self._size.slots}"
            )
            self._launch_daemon("agent", index, f"{LOOPBACK}:0", own)
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                while not await self._is_ready():
                    await asyncio.sleep(READY_POLL_S)
        except TimeoutError:
            raise errors.BurdockgateError(
                f"the processes were not ready within {READY_TIMEOUT_S:g} s"
            ) from None

    def _launch_daemon(self, role: str, index: int, listen: str, own: str) -> None:
        name, rack = f"{role}-{index + 1}", index // targets.NODES_PER_RACK
        centres = targets.DATA_CENTRES_BY_DEPLOYMENT[self._size.deployment]
        text = _SETTINGS.format(
            name=name,
            data_centre=rack % centres + 1,
            rack=rack + 1,
            listen=listen,
            log_url=self.log_url,
            seeds=", ".join(self._seeds),
            own=own,
        )
        path = self._path / f"{name}.ini"
        path.write_text(text, encoding="utf-8")
        self._launch(name, role, "--settings", str(path))

    def _launch(self, name: str, *arguments: str) -> None:
        with (self._path / f"{name}.stderr").open("wb") as stderr:
            self._process_by_name[name] = subprocess.Popen(
                [sys.executable, "-m", "burdockgate", *arguments],
                stdout=subprocess.DEVNULL,
                stderr=stderr,
            )

    async def _is_ready(self) -> bool:
        async with httpx.AsyncClient(trust_env=False) as caller:
            try:
                statuses = [
                    (await caller.get(f"{url}/v1/status")).json() for url in self.urls
                ]
                members = await caller.get(
                    f"{self.log_url}/v1/streams/{view.STREAM}/records"
                )
            except httpx.HTTPError:
                return False
        number = members.json()["next"]
        return all(self._is_whole(status, number) for status in statuses)

    def _is_whole(self, status: dict[str, Any], number: int) -> bool:
        return bool(
            status["ready"]
            and status["view_number"] == number
            and len(status["peers"]) == self._size.entries - 1
            and len(status["workers"]) == len(status["voters"]) == self._size.agents
        )

    async def stop(self) -> None:
        """Kill every process, and show the tracebacks that they have written."""
        for process in self._process_by_name.values():
            process.kill()
        for process in self._process_by_name.values():
            process.wait()
        for name in self._process_by_name:
            text = (self._path / f"{name}.stderr").read_text(errors="replace")
            if "Traceback" in text:
                print(f"{name}:\n{text}", file=sys.stderr)
        self._directory.cleanup()

    async def set_fault(self, fault: scenarios.Fault, is_on: bool) -> None:
        """Begin or end a fault; a killed agent stays dead.

        :param fault: the fault.
        :param is_on: whether it begins.
        """
        match fault:
            case scenarios.Fault.BAD_WORKER:
                await _post(f"http://{self._servers[0]}", {"fail_all": is_on})
            case scenarios.Fault.LOG_DOWN:
                await _post(self.log_url, {"down": is_on})
            case scenarios.Fault.DRAIN:
                await self.drain(is_on)
            case scenarios.Fault.DEATH if is_on:
                self._process_by_name[self.worker].send_signal(signal.SIGKILL)

    def counts(self) -> None:
        """Return nothing: the counts of agents are not reached."""

    def starts(self) -> list[targets.Start]:
        """Return every start so far, with the names of the agents."""
        found = []
        for index, server in enumerate(self._servers):
            reply = httpx.get(f"http://{server}/v1/starts", trust_env=False)
            found += [
                targets.Start(
                    start["at"],
                    bytes.fromhex(start["job"]),
                    start["attempt"],
                    start["task"],
                    f"agent-{index + 1}",
                    json.dumps(start["payload"], separators=(",", ":")).encode(),
                )
                for start in reply.raise_for_status().json()
            ]
        return found


async def _post(url: str, faults: dict[str, bool]) -> None:
    async with httpx.AsyncClient(trust_env=False) as caller:
        (await caller.post(f"{url}/v1/faults", json=faults)).raise_for_status()
