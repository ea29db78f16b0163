"""Systems that the load tool runs against: a local system or running daemons."""

from __future__ import annotations

import abc
import time
from collections.abc import Sequence

import attrs

from burdockgate import client, errors
from burdockgate.process import placement
from burdockgate.standin import backend, local, log, scenarios

DATA_CENTRES_BY_DEPLOYMENT = {"a": 4, "b": 3}
NODES_PER_RACK = 3
SLOW_FACTOR = 10.0


@attrs.frozen
class Size:
    """Size of a system that is started for a run.

    The defaults are those of both deployments.

    :param entries: number of entry hosts.
    :param agents: number of agents.
    :param slots: slots of each worker.
    :param deployment: a key of ``DATA_CENTRES_BY_DEPLOYMENT``.
    :param policy: name of the placement policy.
    """

    entries: int = 3
    agents: int = 11
    slots: int = 8
    deployment: str = "a"
    policy: str = placement.DEFAULT


@attrs.frozen
class Totals:
    """Running totals at one time.

    :param messages: messages sent between the system's processes.
    :param agent_bytes: bytes that agents sent and received, payloads included.
    :param returned_tasks: tasks that agents returned without a start.
    :param processor_s: processor time of the processes, in seconds.
    :param agent_mb: resident memory of the largest agent in MB; ``None`` when the
        agents share a process with others.
    """

    messages: int
    agent_bytes: int
    returned_tasks: int
    processor_s: float
    agent_mb: float | None = None


@attrs.frozen
class Start:
    """A start of a task, as recorded by a backend server.

    :param at: seconds of the monotonic clock.
    :param worker: name of the agent.
    """

    at: float
    job: bytes
    attempt: int
    index: int
    worker: str
    payload: bytes


class Target(abc.ABC):
    """A system under load.

    After :meth:`start`, ``urls`` has the base URLs of the entry hosts, ``slots`` and
    ``agents`` are the numbers of slots and agents of the service, and ``worker`` is the
    name of the worker that is drained or killed.
    """

    urls: Sequence[str]
    service: str
    slots: int
    agents: int
    worker: str
    # Time until the totals include everything counted so far.
    totals_delay_s = 0.0
    log_url: str = ""

    @abc.abstractmethod
    async def start(self) -> None:
        """Make the system ready and set the attributes."""

    @abc.abstractmethod
    async def stop(self) -> None:
        """Release the resources of :meth:`start`."""

    @abc.abstractmethod
    async def set_fault(self, fault: scenarios.Fault, is_on: bool) -> None:
        """Begin or end a fault.

        :param fault: the fault to inject.
        :param is_on: whether the fault begins.
        """

    @abc.abstractmethod
    def read_totals(self) -> Totals | None:
        """Return the totals so far; ``None`` when they are not available."""

    @abc.abstractmethod
    async def read_starts(self) -> list[Start] | None:
        """Return every start so far; ``None`` when they are not available."""

    async def drain(self, is_on: bool) -> None:
        """Drain or resume the first worker.

        :param is_on: whether to drain.
        """
        async with client.Client(self.urls) as caller:
            if not await caller.drain(self.worker, is_on):
                raise errors.ClientError(
                    f"worker {self.worker}: unknown to the entry hosts"
                )


class ManagedTarget(Target):
    """A system with stand-ins that is started for the run and stopped after it."""

    async def set_fault(self, fault: scenarios.Fault, is_on: bool) -> None:
        """Begin or end a fault.

        :param fault: the fault to inject.
        :param is_on: whether the fault begins.
        """
        match fault:
            case scenarios.Fault.BAD_WORKER:
                await self.set_backend_faults(1, backend.Faults(fail_all=is_on))
            case scenarios.Fault.SLOW_WORKER:
                factor = SLOW_FACTOR if is_on else 1.0
                await self.set_backend_faults(1, backend.Faults(slow_factor=factor))
            case scenarios.Fault.SILENT_WORKER:
                await self.set_backend_faults(1, backend.Faults(hang_all=is_on))
            case scenarios.Fault.BAD_RACK:
                faults = backend.Faults(fail_all=is_on)
                await self.set_backend_faults(NODES_PER_RACK, faults)
            case scenarios.Fault.LOG_DOWN:
                await self.set_log_down(is_on)
            case scenarios.Fault.DRAIN:
                await self.drain(is_on)
            case scenarios.Fault.AGENT_KILLED if is_on:
                self.kill_worker()

    @abc.abstractmethod
    async def set_backend_faults(self, count: int, faults: backend.Faults) -> None:
        """Replace the faults of the first backend servers.

        :param count: number of servers; the first three are in one rack.
        :param faults: faults of each of them.
        """

    @abc.abstractmethod
    async def set_log_down(self, is_down: bool) -> None:
        """Begin or end an outage of the log.

        :param is_down: whether the outage begins.
        """

    def kill_worker(self) -> None:
        """Kill the agent of the first worker.

        :raises errors.SettingsError: when the agent is not a separate process.
        """
        raise errors.SettingsError(["--scenario: only possible with --processes"])


class LocalTarget(ManagedTarget):
    """All roles and stand-ins in this process.

    :param size: size of the system.
    :param seed: seed of the random choices that the system makes.
    """

    def __init__(self, size: Size, seed: int) -> None:
        self.system = local.LocalSystem(
            local.LocalSettings(
                entries=size.entries,
                agents=size.agents,
                slots=size.slots,
                seed=seed,
                data_centres=DATA_CENTRES_BY_DEPLOYMENT[size.deployment],
                nodes_per_rack=NODES_PER_RACK,
                policy=size.policy,
            )
        )
        self.service = self.system.config.service
        self.slots = size.agents * size.slots
        self.agents = size.agents

    async def start(self) -> None:
        """Start the roles and the stand-ins."""
        await self.system.start()
        self.urls = self.system.urls
        self.worker = self.system.agents[0].core.node.name
        self.log_url = self.system.log.url

    async def stop(self) -> None:
        """Stop the roles and the stand-ins."""
        await self.system.stop()

    async def set_backend_faults(self, count: int, faults: backend.Faults) -> None:
        """Replace the faults of the first backend servers.

        :param count: number of servers; the first three are in one rack.
        :param faults: faults of each of them.
        """
        for server in self.system.servers[:count]:
            server.faults = faults

    async def set_log_down(self, is_down: bool) -> None:
        """Begin or end an outage of the log.

        :param is_down: whether the outage begins.
        """
        self.system.log.store.set_faults(log.Faults(down=is_down))

    def read_totals(self) -> Totals:
        """Return the totals so far."""
        agent_bytes = sum(
            int(agent.counters.snapshot()[name])
            for agent in self.system.agents
            for name in ("wire.bytes_sent", "wire.bytes_received")
        )
        return Totals(
            self.system.message_count,
            agent_bytes,
            sum(
                int(agent.counters.snapshot()["tasks.returned"])
                for agent in self.system.agents
            ),
            time.process_time(),
        )

    async def read_starts(self) -> list[Start]:
        """Return every start so far, with the names of the agents."""
        pairs = zip(self.system.servers, self.system.agents, strict=True)
        return [
            Start(
                start.at,
                start.job,
                start.attempt,
                start.index,
                agent.core.node.name,
                start.payload,
            )
            for server, agent in pairs
            for start in server.starts
        ]


class RemoteTarget(Target):
    """Running daemons; their backend servers must be stand-ins.

    :param urls: base URLs of the entry hosts.
    """

    def __init__(self, urls: Sequence[str]) -> None:
        self.urls = urls

    async def start(self) -> None:
        """Read the service and the number of slots from an entry host.

        :raises errors.ClientError: when no entry host answers, or the one that answers
            has no worker.
        """
        async with client.Client(self.urls) as caller:
            status = await caller.status()
        workers = status["workers"]
        if not workers:
            raise errors.ClientError(f"{self.urls[0]}: the entry host has no worker")
        self.service = workers[0]["service"]
        service_workers = [item for item in workers if item["service"] == self.service]
        self.slots = sum(item["slots"] for item in service_workers)
        self.agents = len(service_workers)
        self.worker = service_workers[0]["name"]

    async def stop(self) -> None:
        """Leave the daemons as they are."""

    async def set_fault(self, fault: scenarios.Fault, is_on: bool) -> None:
        """Drain or resume a worker.

        :param fault: the fault to inject.
        :param is_on: whether to drain.
        :raises errors.SettingsError: for a fault other than a drain.
        """
        if fault is not scenarios.Fault.DRAIN:
            raise errors.SettingsError(
                [f"--connect: not possible with the fault {fault.value!r}"]
            )
        await self.drain(is_on)

    def read_totals(self) -> None:
        """Return ``None``: the totals include the agents, which are not reachable."""

    async def read_starts(self) -> None:
        """Return ``None``: the backend servers are not reachable."""
