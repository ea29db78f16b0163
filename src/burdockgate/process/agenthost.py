"""The agent's daemon: one small process beside a backend server."""

from __future__ import annotations

import asyncio
import random

import xxhash

from burdockgate import effects, messages, settings
from burdockgate.process import agent, backend, daemon
from burdockgate.version import view as views

ENTRY_SUBSET = 16
DIAL_INTERVAL_S = 0.5
LOG_FALLBACK_S = 2.0
PROBE_INTERVAL_S = 0.5
DRAIN_POLL_S = 0.05

_Key = tuple[bytes, int, int]


class AgentHost(daemon.Daemon):
    """Runs one agent.

    :param config: the agent's settings.
    :param rng: the source of random numbers.
    """

    def __init__(
        self, config: settings.AgentSettings, rng: random.Random | None = None
    ) -> None:
        super().__init__(
            config.node, config.platform, config.timing, config.statsd, rng
        )
        self._config = config
        self._backend = backend.BackendClient(
            config.backend_server.url,
            config.backend_server.connections,
            messages.RESULT_LIMIT_BYTES,
        )
        self._entry_by_name: dict[str, messages.Node] = {}
        self._execution_by_key: dict[_Key, asyncio.Task[None]] = {}
        self.core: agent.AgentCore

    async def start(self) -> None:
        """Listen, connect to entry hosts, and begin to take tasks."""
        self.address = await self.network.bind(self._config.node.listen)
        node = messages.Node(self._config.node.name, self.boot, self.address)
        self.core = agent.AgentCore(node, self._config, self.time, self.counters)
        self.core.slots.is_open = await self._backend.probe()
        await self.network.serve()
        self.spawn(self.run_timers())
        self.spawn(self._dial_entries())
        self.spawn(self._probe())
        self.log.info(
            "agent started", address=self.address, backend_up=self.core.slots.is_open
        )

    async def stop(self) -> None:
        """Drain, wait for the jobs to be settled, and leave."""
        self.log.info("agent draining")
        self.perform(self.core.drain(active=True))
        try:
            async with asyncio.timeout(self._config.timing.stop_timeout_s):
                while not self.core.is_idle:
                    await asyncio.sleep(DRAIN_POLL_S)
                self.perform(self.core.leave())
                while not (self.core.has_left and self.core.is_idle):
                    await asyncio.sleep(DRAIN_POLL_S)
        except TimeoutError:
            self.log.warning("agent stops with jobs that are not settled")
            self.perform(self.core.leave())
        await self.close()
        await self._backend.close()
        self.log.info("agent stopped")

    def hello(self) -> messages.Hello:
        """Return the announcement of this agent."""
        place, server = self._config.node, self._config.backend_server
        return messages.Hello(
            messages.PROTOCOL,
            messages.Role.AGENT,
            messages.Node(place.name, self.boot, self.address),
            place.region,
            place.data_centre,
            place.rack,
            server.service,
            server.slots,
            server.cores,
            server.memory_mb,
            server.accelerators,
            self.core.draining,
        )

    def handle_connect(self, hello: messages.Hello) -> None:
        """Tell the core about a node."""
        if hello.role is messages.Role.ENTRY:
            self._entry_by_name[hello.node.name] = hello.node
            self.log.info("entry host connected", entry=hello.node.name)
        self.perform(self.core.handle_connect(hello))

    def handle_disconnect(self, name: str) -> None:
        """Tell the core about the loss of a node."""
        if name in self._entry_by_name:
            self.log.info("entry host lost", entry=name)
        self.perform(self.core.handle_disconnect(name))

    def handle_message(self, name: str, message: messages.Message) -> None:
        """Hand a message to the core; lists of entry hosts are used here."""
        if isinstance(message, messages.Peers):
            for node in message.entries:
                self._entry_by_name[node.name] = node
        else:
            self.perform(self.core.receive(name, message))

    def perform_own(self, effect: effects.Effect) -> None:
        """Run or stop a task on the backend server."""
        match effect:
            case effects.Execute():
                key = (effect.job, effect.attempt, effect.index)
                self._execution_by_key[key] = self.spawn(self._execute(effect))
            case effects.Stop(job, attempt, index):
                running = self._execution_by_key.get((job, attempt, index))
                if running is not None:
                    # A task that is cancelled before its first step runs no handler,
                    # so its slot would stay taken. The first step is queued already.
                    asyncio.get_running_loop().call_soon(running.cancel)

    async def _execute(self, effect: effects.Execute) -> None:
        try:
            ended = await self._backend.run(
                effect.job,
                effect.attempt,
                effect.index,
                effect.payload,
                effect.timeout_ms,
            )
            state, payload, run_ms = ended.state, ended.payload, ended.run_ms
        except asyncio.CancelledError:
            state, payload, run_ms = messages.TaskState.STOPPED, b"stopped", 0.0
        finally:
            key = (effect.job, effect.attempt, effect.index)
            self._execution_by_key.pop(key, None)
        self.perform(
            self.core.handle_task_end(
                effect.job, effect.attempt, effect.index, state, payload, run_ms
            )
        )
        if state is messages.TaskState.RETURNED:
            self._set_backend_up(is_up=False)
        elif state is messages.TaskState.UNKNOWN and self.core.slots.is_open:
            # The connection may have ended with the server's process, and the next
            # task may be long in coming.
            self._set_backend_up(await self._backend.probe())

    def _set_backend_up(self, is_up: bool) -> None:
        if self.core.slots.is_open != is_up and not self.core.draining:
            self.log.info("backend server up" if is_up else "backend server down")
            self.perform(self.core.set_backend_up(is_up))

    async def _probe(self) -> None:
        """Probe the backend server while it is down."""
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            if not self.core.slots.is_open and not self.core.draining:
                self._set_backend_up(await self._backend.probe())

    async def _dial_entries(self) -> None:
        """Keep connections to a subset of the entry hosts."""
        alone_since = self.time.now()
        while True:
            connected = set(self.network.names) & self._entry_by_name.keys()
            if connected:
                alone_since = self.time.now()
            elif self.time.now() - alone_since > LOG_FALLBACK_S:
                await self._learn_from_log()
            self._dial_subset(connected)
            await asyncio.sleep(DIAL_INTERVAL_S)

    def _dial_subset(self, connected: set[str]) -> None:
        if not connected:
            for address in self._config.platform.seeds:
                self.network.dial(address)
        for node in self._subset():
            if node.name not in connected:
                self.network.dial(node.address, node.name)

    def _subset(self) -> list[messages.Node]:
        own = self._config.node.name
        ranked = sorted(
            self._entry_by_name.values(),
            key=lambda node: xxhash.xxh3_64_intdigest(f"{own}\0{node.name}".encode()),
            reverse=True,
        )
        return ranked[:ENTRY_SUBSET]

    async def _learn_from_log(self) -> None:
        """Read the entry hosts from the log, because no known one answers."""
        if self.log_client is None:
            return
        try:
            records = await self.log_client.read(views.STREAM, 0, 0.0)
        except Exception:  # noqa: BLE001 - any failure means the log is of no help
            self.counters.count("log.errors")
            return
        current = views.View()
        for record in records.records:
            current = views.fold(current, record)
        self._entry_by_name = dict(current.entry_by_name)
