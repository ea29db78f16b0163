"""What a measured run drives: a local system, or daemons that run already."""

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
    """Size of the local system; the default is that of both deployments.

    :param slots: slots of each worker.
    """

    entries: int = 3
    agents: int = 11
    slots: int = 8
    deployment: str = "a"
    policy: str = placement.DEFAULT


@attrs.frozen
class Counts:
    """Totals up to one moment.

    :param messages: messages sent between the system's processes.
    :param agent_bytes: bytes that agents sent and received, payloads included.
    :param returned: tasks that agents returned without a start.
    :param processor_s: processor time of the processes, in seconds.
    :param agent_mb: resident memory of the largest agent in MB; ``None`` when the
        agents share a process with others.
    """

    messages: int
    agent_bytes: int
    returned: int
    processor_s: float
    agent_mb: float | None = None


@attrs.frozen
class Start:
    """A start as a backend server saw it.

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
    """A system under load."""

    urls: Sequence[str]
    service: str
    slots: int
    agents: int
    worker: str
    # Time after which all that was counted up to now is in the totals.
    counts_delay_s = 0.0
    log_url: str = ""

    @abc.abstractmethod
    async def start(self) -> None:
        """Make the system ready; sets the attributes."""

    @abc.abstractmethod
    async def stop(self) -> None:
        """Release what :meth:`start` made."""

    @abc.abstractmethod
    async def set_fault(self, fault: scenarios.Fault, is_on: bool) -> None:
        """Begin or end a fault.

        :param fault: the fault.
        :param is_on: whether it begins.
        """

    @abc.abstractmethod
    def counts(self) -> Counts | None:
        """Return the totals so far; ``None`` when they cannot be known."""

    @abc.abstractmethod
    async def starts(self) -> list[Start] | None:
        """Return every start so far; ``None`` when they cannot be known."""

    async def drain(self, is_on: bool) -> None:
        """Drain or resume the first worker.

        :param is_on: whether to drain.
        """
        async with client.Client(self.urls) as caller:
            if not await caller.drain(self.worker, is_on):
                raise errors.ClientError(f"worker {self.worker}: no host knows it")


class OwnTarget(Target):
    """A system that was started for the run, with its stand-ins."""

    async def set_fault(self, fault: scenarios.Fault, is_on: bool) -> None:
        """Begin or end a fault.

        :param fault: the fault.
        :param is_on: whether it begins.
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
            case scenarios.Fault.DEATH if is_on:
                self.kill_worker()

    @abc.abstractmethod
    async def set_backend_faults(self, count: int, faults: backend.Faults) -> None:
        """Replace the faults of the first backend servers.

        :param count: number of servers; a rack holds the first three.
        :param faults: the faults.
        """

    @abc.abstractmethod
    async def set_log_down(self, is_down: bool) -> None:
        """Begin or end an outage of the log.

        :param is_down: whether it begins.
        """

    def kill_worker(self) -> None:
        """Kill the agent of the first worker.

        :raises errors.SettingsError: when it is no process of its own.
        """
        raise errors.SettingsError(["--scenario: only possible with --processes"])


class LocalTarget(OwnTarget):
    """All roles and the stand-ins in this process.

    :param size: size of the system.
    :param seed: seed of the system's own random choices.
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
        """Stop them."""
        await self.system.stop()

    async def set_backend_faults(self, count: int, faults: backend.Faults) -> None:
        """Replace the faults of the first backend servers.

        :param count: number of servers; a rack holds the first three.
        :param faults: the faults.
        """
        for server in self.system.servers[:count]:
            server.faults = faults

    async def set_log_down(self, is_down: bool) -> None:
        """Begin or end an outage of the log.

        :param is_down: whether it begins.
        """
        self.system.log.store.set_faults(log.Faults(down=is_down))

    def counts(self) -> Counts:
        """Return the totals so far."""
        agent_bytes = sum(
            int(agent.counters.snapshot()[name])
            for agent in self.system.agents
            for name in ("wire.bytes_sent", "wire.bytes_received")
        )
        return Counts(
            self.system.message_count,
            agent_bytes,
            sum(
                int(agent.counters.snapshot()["tasks.returned"])
                for agent in self.system.agents
            ),
            time.process_time(),
        )

    async def starts(self) -> list[Start]:
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
    """Daemons that run already; their backend servers must be stand-ins.

    :param urls: base URLs of the entry hosts.
    """

    def __init__(self, urls: Sequence[str]) -> None:
        self.urls = urls

    async def start(self) -> None:
        """Read the service and the number of slots from an entry host.

        :raises errors.ClientError: when no entry host answers or knows a worker.
        """
        async with client.Client(self.urls) as caller:
            status = await caller.status()
        workers = status["workers"]
        if not workers:
            raise errors.ClientError(f"{self.urls[0]}: knows no worker")
        self.service = workers[0]["service"]
        own = [item for item in workers if item["service"] == self.service]
        self.slots = sum(item["slots"] for item in own)
        self.agents = len(own)
        self.worker = own[0]["name"]

    async def stop(self) -> None:
        """Leave the daemons as they are."""

    async def set_fault(self, fault: scenarios.Fault, is_on: bool) -> None:
        """Drain or resume a worker.

        :param fault: the fault.
        :param is_on: whether it begins.
        :raises errors.SettingsError: for a fault of the stand-ins.
        """
        if fault is not scenarios.Fault.DRAIN:
            raise errors.SettingsError(
                [f"--connect: not possible with the fault {fault.value!r}"]
            )
        await self.drain(is_on)

    def counts(self) -> None:
        """Return nothing: only entry hosts are reached, and the agents count too."""

    async def starts(self) -> None:
        """Return nothing: the backend servers are not reached."""
