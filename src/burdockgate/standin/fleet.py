"""A system of separate processes on the loopback interface, under load."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
from collections.abc import Iterator, Mapping
from typing import Any

import attrs
import httpx
import msgspec

from burdockgate import errors
from burdockgate.process import daemon
from burdockgate.standin import backend, local, targets

HOST = "127.0.0.1"
SERVICE = "sample"
READY_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 20.0
POLL_S = 0.1

_PLACE = """[node]
name = {name}
region = {region}
data_centre = dc-{data_centre}
rack = rack-{rack}
listen = {listen}
[platform]
log_url = http://{log}
seeds = {seeds}
[statsd]
host = {host}
port = {port}
prefix = {name}
"""


class _Start(msgspec.Struct):
    """A start as the stand-in of a backend server shows it."""

    at: float
    job: str
    attempt: int
    task: int
    payload: msgspec.Raw


_STARTS = msgspec.json.Decoder(list[_Start])


class Totals(asyncio.DatagramProtocol):
    """Adds up the counters that the daemons send to statsd."""

    def __init__(self) -> None:
        self.count_by_name: collections.Counter[str] = collections.Counter()

    def datagram_received(self, data: bytes, _address: object) -> None:
        """Add the counters of one packet; the first part of a name is the node.

        :param data: lines of ``node.name:value|c``; other kinds are passed over.
        """
        for line in data.decode().splitlines():
            name, _, value = line.partition(":")
            if value.endswith("|c"):
                _, _, counter = name.partition(".")
                role = name.partition("-")[0]
                self.count_by_name[f"{role}.{counter}"] += int(value[:-2])

    def total(self, counter: str, *roles: str) -> int:
        """Return a counter's sum over the processes of some roles.

        :param counter: name of the counter.
        :param roles: first parts of the names of the nodes.
        """
        return sum(self.count_by_name[f"{role}.{counter}"] for role in roles)


class FleetTarget(targets.ManagedTarget):
    """Starts a process for each role and each stand-in.

    Messages are counted by statsd, so a total is up to one flush old.

    :param size: size of the system; the policy must be the default one.
    """

    totals_delay_s = daemon.METRICS_INTERVAL_S + POLL_S

    def __init__(self, size: targets.Size) -> None:
        self.service = SERVICE
        self.slots = size.agents * size.slots
        self.agents = size.agents
        self.worker = "agent-1"
        self._size = size
        self._totals = Totals()
        self._transport: asyncio.BaseTransport | None = None
        self._process_by_name: dict[str, asyncio.subprocess.Process] = {}
        self._directory = tempfile.TemporaryDirectory(prefix="burdockgate-")
        self._log, *addresses = _free_addresses(1 + 2 * (size.entries + size.agents))
        self.log_url = f"http://{self._log}"
        self._streams = [addresses.pop() for _ in range(size.entries)]
        self.urls = [f"http://{addresses.pop()}" for _ in range(size.entries)]
        self._servers = [addresses.pop() for _ in range(size.agents)]
        self._agents = [addresses.pop() for _ in range(size.agents)]
        self._http = httpx.AsyncClient(trust_env=False)

    async def start(self) -> None:
        """Start all processes and wait until every worker is known everywhere.

        :raises errors.ClientError: when they are not ready in time.
        """
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self._totals, local_addr=(HOST, 0)
        )
        port = self._transport.get_extra_info("sockname")[1]
        for name, arguments in self._commands(port):
            self._process_by_name[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "burdockgate",
                *arguments,
                stdout=subprocess.DEVNULL,
                stderr=subprocess.DEVNULL,
            )
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                while not await self._is_ready():
                    await asyncio.sleep(POLL_S)
        except TimeoutError:
            raise errors.ClientError(
                f"the processes were not ready within {READY_TIMEOUT_S:g} s"
            ) from None

    def _commands(self, port: int) -> Iterator[tuple[str, list[str]]]:
        yield "log", ["standin", "log", "--listen", self._log]
        for index, address in enumerate(self._servers, start=1):
            name = f"server-{index}"
            listen = ["--listen", address, "--name", name]
            yield name, ["standin", "backend", *listen]
        for index, address in enumerate(self._streams):
            own = {"http": self.urls[index].removeprefix("http://")}
            yield self._daemon("entry", "entry", index, address, port, own)
        for index, address in enumerate(self._agents):
            own = {
                "url": f"http://{self._servers[index]}",
                "service": SERVICE,
                "slots": str(self._size.slots),
            }
            yield self._daemon("agent", "backend_server", index, address, port, own)

    def _daemon(
        self,
        role: str,
        section: str,
        index: int,
        listen: str,
        port: int,
        own: Mapping[str, str],
    ) -> tuple[str, list[str]]:
        name = f"{role}-{index + 1}"
        rack = index // targets.NODES_PER_RACK
        centres = targets.DATA_CENTRES_BY_DEPLOYMENT[self._size.deployment]
        text = _PLACE.format(
            name=name,
            region=local.REGION,
            data_centre=rack % centres + 1,
            rack=rack + 1,
            listen=listen,
            log=self._log,
            seeds=", ".join(self._streams),
            host=HOST,
            port=port,
        )
        keys = "".join(f"{key} = {value}\n" for key, value in own.items())
        path = pathlib.Path(self._directory.name) / f"{name}.ini"
        path.write_text(f"{text}[{section}]\n{keys}", encoding="utf-8")
        return name, [role, "--settings", str(path)]

    async def _is_ready(self) -> bool:
        statuses = [await self._status(url) for url in self.urls]
        numbers = {status.get("view_number") for status in statuses}
        return len(numbers) == 1 and all(
            status.get("ready")
            and len(status["peers"]) == self._size.entries - 1
            and len(status["voters"]) == self.agents
            and sum(worker["free"] for worker in status["workers"]) == self.slots
            for status in statuses
        )

    async def _status(self, url: str) -> dict[str, Any]:
        try:
            reply = await self._http.get(f"{url}/v1/status")
        except httpx.HTTPError:
            return {}
        return dict(reply.json())

    async def stop(self) -> None:
        """Stop the processes, callers' side first and the log last."""
        for role in ("entry", "agent", "server", "log"):
            own = [
                process
                for name, process in self._process_by_name.items()
                if name.startswith(role)
            ]
            for process in own:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGTERM)
            for process in own:
                await _wait(process)
        await self._http.aclose()
        if self._transport is not None:
            self._transport.close()
        self._directory.cleanup()

    async def set_backend_faults(self, count: int, faults: backend.Faults) -> None:
        """Replace the faults of the first backend servers.

        :param count: number of servers; a rack holds the first three.
        :param faults: the faults.
        """
        for address in self._servers[:count]:
            await self._post_faults(address, attrs.asdict(faults))

    async def set_log_down(self, is_down: bool) -> None:
        """Begin or end an outage of the log.

        :param is_down: whether it begins.
        """
        await self._post_faults(self._log, {"down": is_down})

    def kill_worker(self) -> None:
        """Kill the agent of the first worker."""
        self._process_by_name[self.worker].kill()

    async def _post_faults(self, address: str, faults: dict[str, Any]) -> None:
        reply = await self._http.post(f"http://{address}/v1/faults", json=faults)
        reply.raise_for_status()

    def read_totals(self) -> targets.Totals:
        """Return the totals so far, as of the last flush of each daemon."""
        roles = ("entry", "agent")
        agent_bytes = sum(
            self._totals.total(name, "agent")
            for name in ("wire.bytes_sent", "wire.bytes_received")
        )
        running = {
            name: process.pid
            for name, process in self._process_by_name.items()
            if name.startswith(roles) and process.returncode is None
        }
        return targets.Totals(
            self._totals.total("wire.sent", *roles),
            agent_bytes,
            self._totals.total("tasks.returned", "agent"),
            sum(_processor_s(pid) for pid in running.values()),
            max(
                _resident_mb(pid)
                for name, pid in running.items()
                if name.startswith("agent")
            ),
        )

    async def read_starts(self) -> list[targets.Start]:
        """Return every start so far, with the names of the agents."""
        found = []
        for index, address in enumerate(self._servers, start=1):
            reply = await self._http.get(f"http://{address}/v1/starts")
            found += [
                targets.Start(
                    start.at,
                    bytes.fromhex(start.job),
                    start.attempt,
                    start.task,
                    f"agent-{index}",
                    bytes(start.payload),
                )
                for start in _STARTS.decode(reply.raise_for_status().content)
            ]
        return found


def _free_addresses(count: int) -> list[str]:
    """Return loopback addresses that were free a moment ago."""
    with contextlib.ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind((HOST, 0))
        return [f"{HOST}:{probe.getsockname()[1]}" for probe in probes]


async def _wait(process: asyncio.subprocess.Process) -> None:
    try:
        async with asyncio.timeout(STOP_TIMEOUT_S):
            await process.wait()
    except TimeoutError:
        process.kill()
        await process.wait()


def _processor_s(pid: int) -> float:
    # The name of the program, in parentheses, may hold spaces.
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    user, system = int(fields[11]), int(fields[12])
    return (user + system) / os.sysconf("SC_CLK_TCK")


def _resident_mb(pid: int) -> float:
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / (1 << 20)
