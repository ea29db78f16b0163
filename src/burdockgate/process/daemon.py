"""Base class of the daemons of entry hosts and agents.

A daemon performs the effects of its core on the event loop, passes the events of
connections to it, and runs its timers.
"""

from __future__ import annotations

import abc
import asyncio
import random
import secrets
from collections.abc import Coroutine, Iterable
from typing import Any

from burdockgate import clock, effects, errors, messages, settings
from burdockgate.process import (
    background,
    core,
    logclient,
    logs,
    metrics,
    network,
    runner,
)

TICK_S = 0.05
METRICS_INTERVAL_S = 1.0
APPEND_TIMEOUT_S = 10.0
BOOT_BITS = 63


class Daemon(network.Handler, runner.Runnable):
    """Performs the effects of a core; subclasses handle the connection events.

    :param node_settings: name and location of the node.
    :param platform_settings: address of the log, and the seeds.
    :param timing: intervals and timeouts.
    :param statsd: where metrics are sent.
    :param rng: the source of random numbers.
    """

    core: core.Core

    def __init__(
        self,
        node_settings: settings.NodeSettings,
        platform_settings: settings.PlatformSettings,
        timing: settings.TimingSettings,
        statsd: settings.StatsdSettings,
        rng: random.Random | None = None,
    ) -> None:
        self.rng = rng or random.Random(secrets.randbits(64))
        self.time = clock.SystemClock()
        self.counters = metrics.Metrics(statsd)
        self.log = logs.get_logger(node_settings.name)
        self.boot = self.rng.getrandbits(BOOT_BITS)
        self.address = ""
        self._node_settings = node_settings
        self._platform_settings = platform_settings
        self._timing = timing
        self.background = background.Background(self._record_failure)
        self.log_client = (
            logclient.LogClient(platform_settings.log_url, self.rng)
            if platform_settings.log_url
            else None
        )
        self.network = network.Network(
            self.hello, self, timing.lease_s, self.time, self.rng, self.counters
        )

    @abc.abstractmethod
    def hello(self) -> messages.Hello:
        """Return the message that opens each connection of this node."""

    def perform(self, requested: Iterable[effects.Effect]) -> None:
        """Perform effects in order.

        :param requested: effects that the core yields.
        """
        for effect in requested:
            match effect:
                case effects.Send(to, message):
                    self.network.send(to, message)
                case effects.Dial(node):
                    self.network.dial(node.address, node.name)
                case effects.Append():
                    self.spawn(self._append(effect))
                case _:
                    self.perform_specific_effect(effect)

    @abc.abstractmethod
    def perform_specific_effect(self, effect: effects.Effect) -> None:
        """Perform an effect that only one kind of daemon supports.

        :param effect: the effect.
        """

    def log_state_changes(self) -> None:  # noqa: B027
        """Log the state changes found by a tick of the core."""

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run a coroutine until it ends or the daemon stops.

        :param coroutine: the coroutine object.
        """
        return self.background.run(coroutine)

    def _record_failure(self, task: str, trace: str) -> None:
        self.counters.count("tasks.crashed")
        self.log.error("background task failed", task=task, trace=trace)

    async def _append(self, effect: effects.Append) -> None:
        if self.log_client is None:
            return
        self.counters.count("log.appends")
        try:
            await self.log_client.append(
                effect.stream, effect.record_id, effect.value, APPEND_TIMEOUT_S
            )
        except errors.LogUnavailableError:
            self.counters.count("log.errors")

    async def follow(self, stream: str, first: int) -> None:
        """Pass the records of a log stream to the core as they arrive.

        :param stream: name of the stream.
        :param first: offset of the first record to read.
        """
        if self.log_client is None:
            return
        async for records in self.log_client.follow(stream, first):
            self.perform(self.core.follow(records))

    async def run_timers(self) -> None:
        """Tick the core, send heartbeats and flush metrics until cancelled."""
        next_heartbeat_at = next_flush_at = self.time.now()
        while True:
            now = self.time.now()
            self.network.close_overdue()
            self.perform(self.core.tick())
            self.log_state_changes()
            if now >= next_heartbeat_at:
                next_heartbeat_at = now + self._timing.heartbeat_s
                self.perform(self.core.send_heartbeats())
            if now >= next_flush_at:
                next_flush_at = now + METRICS_INTERVAL_S
                self.counters.flush()
            await asyncio.sleep(TICK_S)

    async def close(self) -> None:
        """Cancel all tasks, close all connections and flush the metrics."""
        await self.background.cancel()
        await self.network.stop()
        if self.log_client is not None:
            await self.log_client.close()
        self.counters.flush()
