"""Runs all roles and the stand-ins in one process on one event loop."""

from __future__ import annotations

import asyncio
import heapq
import random

import attrs

from burdockgate import clock, errors, settings
from burdockgate.process import agenthost, entryhost, placement
from burdockgate.standin import backend, log

LOOPBACK = "127.0.0.1"
READY_TIMEOUT_S = 10.0
READY_POLL_S = 0.01
DATA_CENTRES = 4
REGION = "local"


@attrs.frozen
class LocalSettings:
    """Size of a local system.

    :param slots: slots of each worker.
    :param service: name of the one service.
    :param http_port: port of the first entry host; 0 lets the system choose.
    :param data_centres: number of data centres; racks are assigned to them in turn.
    :param nodes_per_rack: number of agents, and of entry hosts, in one rack.
    :param policy: name of the placement policy of the entry hosts.
    """

    entries: int = 2
    agents: int = 3
    slots: int = 8
    service: str = "sample"
    http_port: int = 0
    seed: int = 1
    data_centres: int = DATA_CENTRES
    nodes_per_rack: int = 1
    policy: str = placement.DEFAULT
    timing: settings.TimingSettings = attrs.field(factory=settings.TimingSettings)
    limits: settings.LimitSettings = attrs.field(factory=settings.LimitSettings)


class LocalSystem:
    """A complete system on the loopback interface.

    :param config: size of the system.
    """

    def __init__(self, config: LocalSettings) -> None:
        self.config = config
        self.log = log.LogServer(log.LogStore())
        self.servers: list[backend.BackendServer] = []
        self.entries: list[entryhost.EntryHost] = []
        self.agents: list[agenthost.AgentHost] = []
        self._rng = random.Random(config.seed)

    async def start(self) -> None:
        """Start all roles and wait until the system accepts jobs.

        :raises errors.BurdockgateError: when the system is not ready in time.
        """
        await self.log.start()
        for index in range(self.config.entries):
            await self.add_entry(f"entry-{index + 1}", index)
        for index in range(self.config.agents):
            await self.add_agent(f"agent-{index + 1}", index)
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                while not self._is_ready():
                    await asyncio.sleep(READY_POLL_S)
        except TimeoutError:
            raise errors.BurdockgateError(
                f"the local system was not ready within {READY_TIMEOUT_S:g} s"
            ) from None

    def _is_ready(self) -> bool:
        """Return whether all nodes know each other and have the same view."""
        numbers = {entry.core.view.number for entry in self.entries}
        numbers |= {item.core.claims.catchup.view.number for item in self.agents}
        return len(numbers) == 1 and all(
            len(entry.core.workers.worker_by_name) == len(self.agents)
            and len(entry.core.view.voter_by_name) == len(self.agents)
            and len(entry.core.jobs.peer_by_name) == len(self.entries) - 1
            for entry in self.entries
        )

    async def add_entry(self, name: str, position: int) -> entryhost.EntryHost:
        """Start another entry host.

        :param name: name of the entry host.
        :param position: number from which its data centre and rack follow.
        """
        port = self.config.http_port if not self.entries else 0
        config = settings.EntrySettings(
            node=self._node_settings(name, position),
            http=f"{LOOPBACK}:{port}",
            platform=self._platform_settings(),
            limits=self.config.limits,
            timing=self.config.timing,
            statsd=settings.StatsdSettings(),
        )
        rng = random.Random(self._rng.random())
        entry = entryhost.EntryHost(config, rng, self.config.policy)
        await entry.start()
        self.entries.append(entry)
        return entry

    async def add_agent(self, name: str, position: int) -> agenthost.AgentHost:
        """Start another backend server with its agent.

        :param name: name of the agent.
        :param position: number from which its data centre and rack follow.
        """
        server = backend.BackendServer(
            f"server-of-{name}", LOOPBACK, 0, clock.SystemClock()
        )
        await server.start()
        self.servers.append(server)
        config = settings.AgentSettings(
            node=self._node_settings(name, position),
            backend_server=settings.BackendSettings(
                url=f"http://{server.address}",
                service=self.config.service,
                slots=self.config.slots,
            ),
            platform=self._platform_settings(),
            timing=self.config.timing,
            statsd=settings.StatsdSettings(),
        )
        host = agenthost.AgentHost(config, random.Random(self._rng.random()))
        await host.start()
        self.agents.append(host)
        return host

    def _platform_settings(self) -> settings.PlatformSettings:
        return settings.PlatformSettings(
            log_url=self.log.url, seeds=tuple(entry.address for entry in self.entries)
        )

    @property
    def urls(self) -> list[str]:
        """Base URLs of the entry hosts."""
        return [f"http://{entry.http_address}" for entry in self.entries]

    @property
    def message_count(self) -> int:
        """Number of messages of all types sent so far between the daemons."""
        return self.sum_counter("wire.sent")

    def sum_counter(self, name: str) -> int:
        """Return the sum of a counter over all daemons.

        :param name: name of the counter.
        """
        daemons = [*self.entries, *self.agents]
        return sum(int(item.counters.snapshot()[name]) for item in daemons)

    @property
    def start_count(self) -> int:
        """Number of starts so far that the backend servers recorded."""
        return sum(len(server.starts) for server in self.servers)

    async def stop(self) -> None:
        """Stop all roles: entry hosts, agents, backend servers, and last the log."""
        await asyncio.gather(*(entry.stop() for entry in self.entries))
        await asyncio.gather(*(host.stop() for host in self.agents))
        await asyncio.gather(*(server.stop_now() for server in self.servers))
        await self.log.stop_now()

    def _node_settings(self, name: str, position: int) -> settings.NodeSettings:
        rack = position // self.config.nodes_per_rack
        return settings.NodeSettings(
            name=name,
            region=REGION,
            data_centre=f"dc-{rack % self.config.data_centres + 1}",
            rack=f"rack-{rack + 1}",
            listen=f"{LOOPBACK}:0",
        )


def ideal_ms(run_times_ms: list[float], slots: int) -> float:
    """Return the response time in ms of a job that has all slots to itself.

    Longer tasks are placed first.

    :param run_times_ms: run times of its tasks.
    :param slots: number of slots.
    """
    free_at_ms = [0.0] * slots
    for run_time in sorted(run_times_ms, reverse=True):
        heapq.heappush(free_at_ms, heapq.heappop(free_at_ms) + run_time)
    return max(free_at_ms)
