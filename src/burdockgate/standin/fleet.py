"""Runs a system under load, each role in its own process on the loopback interface."""

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
POLL_INTERVAL_S = 0.1

_SETTINGS_TEMPLATE = """[node]
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
    """A start as listed by the backend server stand-in."""

    at: float
    job: str
    attempt: int
    task: int
    payload: msgspec.Raw


_STARTS = msgspec.json.Decoder(list[_Start])


class StatsdTotals(asyncio.DatagramProtocol):
    """Receives statsd packets and sums up the counters of the daemons."""

    def __init__(self) -> None:
        self.count_by_name: collections.Counter[str] = collections.Counter()

    def datagram_received(self, data: bytes, _address: object) -> None:
        """Add the counters of one packet.

        :param data: lines of ``node.counter:value|c``; other types are ignored.
        """
        for line in data.decode().splitlines():
            name, _, value = line.partition(":")
            if value.endswith("|c"):
                _, _, counter = name.partition(".")
                role = name.partition("-")[0]
                self.count_by_name[f"{role}.{counter}"] += int(value[:-2])

    def total(self, counter: str, *roles: str) -> int:
        """Return the sum of a counter over the processes of some roles.

        :param counter: name of the counter.
        :param roles: roles, which are the prefixes of the names of the nodes.
        """
        return sum(self.count_by_name[f"{role}.{counter}"] for role in roles)


class FleetTarget(targets.ManagedTarget):
    """Starts a process for each daemon and each stand-in.

    The counts come from statsd, so that they are up to one flush interval old.

    :param size: size of the system; the policy must be the default one.
    """

    totals_delay_s = daemon.METRICS_INTERVAL_S + POLL_INTERVAL_S

    def __init__(self, size: targets.Size) -> None:
        self.service = SERVICE
        self.slots = size.agents * size.slots
        self.agents = size.agents
        self.worker = "agent-1"
        self._size = size
        self._totals = StatsdTotals()
        self._transport: asyncio.BaseTransport | None = None
        self._process_by_name: dict[str, asyncio.subprocess.Process] = {}
        self._directory = tempfile.TemporaryDirectory(prefix="burdockgate-")
        self._log_address, *addresses = _free_addresses(
            1 + 2 * (size.entries + size.agents)
        )
        self.log_url = f"http://{self._log_address}"
        self._entry_addresses = [addresses.pop() for _ in range(size.entries)]
        self.urls = [f"http://{addresses.pop()}" for _ in range(size.entries)]
        self._server_addresses = [addresses.pop() for _ in range(size.agents)]
        self._agent_addresses = [addresses.pop() for _ in range(size.agents)]
        self._http = httpx.AsyncClient(trust_env=False)

    async def start(self) -> None:
        """Start all processes and wait until each entry host knows all workers.

        :raises errors.ClientError: when the processes are not ready in time.
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
                    await asyncio.sleep(POLL_INTERVAL_S)
        except TimeoutError:
            raise errors.ClientError(
                f"the processes were not ready within {READY_TIMEOUT_S:g} s"
            ) from None

    def _commands(self, port: int) -> Iterator[tuple[str, list[str]]]:
        yield "log", ["standin", "log", "--listen", self._log_address]
        for index, address in enumerate(self._server_addresses, start=1):
            name = f"server-{index}"
            listen = ["--listen", address, "--name", name]
            yield name, ["standin", "backend", *listen]
        for index, address in enumerate(self._entry_addresses):
            section_settings = {"http": self.urls[index].removeprefix("http://")}
            yield self._write_settings(
                "entry", "entry", index, address, port, section_settings
            )
        for index, address in enumerate(self._agent_addresses):
            section_settings = {
                "url": f"http://{self._server_addresses[index]}",
                "service": SERVICE,
                "slots": str(self._size.slots),
            }
            yield self._write_settings(
                "agent", "backend_server", index, address, port, section_settings
            )

    def _write_settings(
        self,
        role: str,
        section: str,
        index: int,
        listen: str,
        port: int,
        section_settings: Mapping[str, str],
    ) -> tuple[str, list[str]]:
        name = f"{role}-{index + 1}"
        rack = index // targets.NODES_PER_RACK
        data_centres = targets.DATA_CENTRES_BY_DEPLOYMENT[self._size.deployment]
        text = _SETTINGS_TEMPLATE.format(
            name=name,
            region=local.REGION,
            data_centre=rack % data_centres + 1,
            rack=rack + 1,
            listen=listen,
            log=self._log_address,
            seeds=", ".join(self._entry_addresses),
            host=HOST,
            port=port,
        )
        section_lines = "".join(
            f"{key} = {value}\n" for key, value in section_settings.items()
        )
        path = pathlib.Path(self._directory.name) / f"{name}.ini"
        path.write_text(f"{text}[{section}]\n{section_lines}", encoding="utf-8")
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
        """Stop the processes: entry hosts, agents, backend servers, then the log."""
        for role in ("entry", "agent", "server", "log"):
            processes = [
                process
                for name, process in self._process_by_name.items()
                if name.startswith(role)
            ]
            for process in processes:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGTERM)
            for process in processes:
                await _wait_or_kill(process)
        await self._http.aclose()
        if self._transport is not None:
            self._transport.close()
        self._directory.cleanup()

    async def set_backend_faults(self, count: int, faults: backend.Faults) -> None:
        """Replace the faults of the first backend servers.

        :param count: number of servers; the first three share a rack.
        :param faults: the new faults.
        """
        for address in self._server_addresses[:count]:
            await self._post_faults(address, attrs.asdict(faults))

    async def set_log_down(self, is_down: bool) -> None:
        """Begin or end an outage of the log.

        :param is_down: whether the log is down from now on.
        """
        await self._post_faults(self._log_address, {"down": is_down})

    def kill_worker(self) -> None:
        """Kill the agent of the first worker."""
        self._process_by_name[self.worker].kill()

    async def _post_faults(self, address: str, faults: dict[str, Any]) -> None:
        reply = await self._http.post(f"http://{address}/v1/faults", json=faults)
        reply.raise_for_status()

    def read_totals(self) -> targets.Totals:
        """Return the totals as of the last statsd flush of each daemon."""
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
        """Return all starts so far, with the names of the agents."""
        starts = []
        for index, address in enumerate(self._server_addresses, start=1):
            reply = await self._http.get(f"http://{address}/v1/starts")
            starts += [
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
        return starts


def _free_addresses(count: int) -> list[str]:
    """Return addresses with free ports; another process may take them before use."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for probe in sockets:
            probe.bind((HOST, 0))
        return [f"{HOST}:{probe.getsockname()[1]}" for probe in sockets]


async def _wait_or_kill(process: asyncio.subprocess.Process) -> None:
    try:
        async with asyncio.timeout(STOP_TIMEOUT_S):
            await process.wait()
    except TimeoutError:
        process.kill()
        await process.wait()


def _processor_s(pid: int) -> float:
    # The program name, in parentheses, may contain spaces.
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    user, system = int(fields[11]), int(fields[12])
    return (user + system) / os.sysconf("SC_CLK_TCK")


def _resident_mb(pid: int) -> float:
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / (1 << 20)
