"""Daemon of an agent for claimed jobs: one process beside each backend server.

It connects the agent's core with entry hosts and with the backend server.
"""

from __future__ import annotations

import asyncio
import random

import xxhash

from burdockgate import effects, messages, settings
from burdockgate.process import agent, backend, daemon
from burdockgate.version import view as views

MAX_DIALLED_ENTRIES = 16
DIAL_INTERVAL_S = 0.5
# An agent without a connected entry host for this long reads their list from the log.
LOG_FALLBACK_DELAY_S = 2.0
PROBE_INTERVAL_S = 0.5
DRAIN_POLL_S = 0.05

_TaskKey = tuple[bytes, int, int]


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
        self._execution_by_key: dict[_TaskKey, asyncio.Task[None]] = {}
        self.core: agent.AgentCore

    async def start(self) -> None:
        """Listen, connect to entry hosts, and start to accept tasks."""
        self.address = await self.network.bind(self._config.node.listen)
        node = messages.Node(self._config.node.name, self.boot, self.address)
        self.core = agent.AgentCore(node, self._config, self.time, self.counters)
        self.core.slots.is_open = await self._backend.probe()
        await self.network.serve()
        self.background.keep_running(self.run_timers)
        self.background.keep_running(self._dial_entries)
        self.background.keep_running(self._probe_while_down)
        self.log.info(
            "agent started", address=self.address, backend_up=self.core.slots.is_open
        )

    async def stop(self) -> None:
        """Drain, wait until all jobs are settled, and send ``Leave``."""
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
        """Return the message that opens each connection of this agent."""
        node_settings, server_settings = self._config.node, self._config.backend_server
        return messages.Hello(
            messages.PROTOCOL,
            messages.Role.AGENT,
            messages.Node(node_settings.name, self.boot, self.address),
            node_settings.region,
            node_settings.data_centre,
            node_settings.rack,
            server_settings.service,
            server_settings.slots,
            server_settings.cores,
            server_settings.memory_mb,
            server_settings.accelerators,
            self.core.draining,
        )

    def handle_connect(self, hello: messages.Hello) -> None:
        """Log a connected entry host, and pass the event to the core."""
        if hello.role is messages.Role.ENTRY:
            self._entry_by_name[hello.node.name] = hello.node
            self.log.info("entry host connected", entry=hello.node.name)
        self.perform(self.core.handle_connect(hello))

    def handle_disconnect(self, name: str) -> None:
        """Log a lost entry host, and pass the event to the core."""
        if name in self._entry_by_name:
            self.log.info("entry host lost", entry=name)
        self.perform(self.core.handle_disconnect(name))

    def handle_message(self, name: str, message: messages.Message) -> None:
        """Store a list of entry hosts; pass any other message to the core."""
        if isinstance(message, messages.Peers):
            for node in message.entries:
                self._entry_by_name[node.name] = node
        else:
            self.perform(self.core.receive(name, message))

    def perform_specific_effect(self, effect: effects.Effect) -> None:
        """Run or stop a task on the backend server."""
        match effect:
            case effects.Execute():
                key = (effect.job, effect.attempt, effect.index)
                self._execution_by_key[key] = self.spawn(self._execute(effect))
            case effects.Stop(job, attempt, index):
                execution = self._execution_by_key.get((job, attempt, index))
                if execution is not None:
                    # An asyncio task that is cancelled before its first step never
                    # reaches its exception handler, and its slot would stay taken.
                    # The first step is queued already, so the cancel follows it.
                    asyncio.get_running_loop().call_soon(execution.cancel)

    async def _execute(self, effect: effects.Execute) -> None:
        try:
            result = await self._backend.run(
                effect.job,
                effect.attempt,
                effect.index,
                effect.payload,
                effect.timeout_ms,
            )
            state, payload, run_ms = result.state, result.payload, result.run_ms
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
            # The connection may have broken because the server's process ended.
            # Without a probe, this would be found only by the next task, which may
            # not arrive for a long time.
            self._set_backend_up(await self._backend.probe())

    def _set_backend_up(self, is_up: bool) -> None:
        if self.core.slots.is_open != is_up and not self.core.draining:
            self.log.info("backend server up" if is_up else "backend server down")
            self.perform(self.core.set_backend_up(is_up))

    async def _probe_while_down(self) -> None:
        """Probe the backend server while it is down."""
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            if not self.core.slots.is_open and not self.core.draining:
                self._set_backend_up(await self._backend.probe())

    async def _dial_entries(self) -> None:
        """Keep the agent connected to a subset of the entry hosts."""
        last_connected_at = self.time.now()
        while True:
            connected = set(self.network.connected_names) & self._entry_by_name.keys()
            if connected:
                last_connected_at = self.time.now()
            elif self.time.now() - last_connected_at > LOG_FALLBACK_DELAY_S:
                await self._read_entries_from_log()
            self._dial_missing(connected)
            await asyncio.sleep(DIAL_INTERVAL_S)

    def _dial_missing(self, connected: set[str]) -> None:
        """Dial the chosen entry hosts that are not connected.

        The seeds are dialled too while no entry host is connected.
        """
        if not connected:
            for address in self._config.platform.seeds:
                self.network.dial(address)
        for node in self._choose_entries():
            if node.name not in connected:
                self.network.dial(node.address, node.name)

    def _choose_entries(self) -> list[messages.Node]:
        """Return the entry hosts to connect with, by rendezvous hashing."""
        own_name = self._config.node.name
        ranked = sorted(
            self._entry_by_name.values(),
            key=lambda node: xxhash.xxh3_64_intdigest(
                f"{own_name}\0{node.name}".encode()
            ),
            reverse=True,
        )
        return ranked[:MAX_DIALLED_ENTRIES]

    async def _read_entries_from_log(self) -> None:
        """Read the list of entry hosts from the log."""
        if self.log_client is None:
            return
        try:
            records = await self.log_client.read(views.STREAM, 0, 0.0)
        except Exception:  # noqa: BLE001 - any failure means that the log is unavailable
            self.counters.count("log.errors")
            return
        view = views.View()
        for record in records.records:
            view = views.fold(view, record)
        self._entry_by_name = dict(view.entry_by_name)
