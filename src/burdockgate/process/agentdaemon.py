"""The daemon beside a worker: performs what its executor decides."""

from __future__ import annotations

import asyncio
import random
import secrets
from collections.abc import Coroutine, Iterable
from typing import Any, TypeVar

import attrs

from burdockgate import assignments, clock, errors
from burdockgate.connection import stream
from burdockgate.process import (
    actions,
    discovery,
    entrysessions,
    events,
    executor,
    executoractions,
    links,
    relay,
    runner,
    store,
    workercontrol,
)

_T = TypeVar("_T")

# Half of the shortest limit, the 0.2 s after which a stop is repeated. A wake-up costs
# an agent more processor time than a message.
TICK_S = 0.1
REPORT_INTERVAL_S = 0.2
# Changes of load within this time go out in one report.
REPORT_DELAY_S = 0.004
# A worker that refuses polls must not be asked without a pause.
POLL_PAUSE_S = 0.05
# What is left of the time for a stop after the last runs were stopped: the worker's
# limit for a stop, and the delivery of the ends.
STOP_RESERVE_S = 0.8
STORE_RETRY_S = 0.5
BOOT_BITS = 62


@attrs.frozen
class AgentDaemonSettings:
    """Place and limits of an agent.

    :param entry_addresses: ``host:port`` of entry hosts to begin with.
    :param grace_s: time between the signal to stop and the end of the process.
    """

    name: str
    zone: str
    entry_addresses: tuple[str, ...]
    grace_s: float
    executor: executoractions.ExecutorSettings


class AgentDaemon(links.Handler, runner.Runnable):
    """Connects the executor with the worker, the entry hosts and the store.

    :param settings: place and limits.
    :param worker: control of the worker.
    :param client: the store, read for entry hosts while none is connected.
    :param rng: source of random numbers.
    """

    def __init__(
        self,
        settings: AgentDaemonSettings,
        worker: workercontrol.WorkerControl,
        client: store.Store,
        rng: random.Random | None = None,
    ) -> None:
        self._settings = settings
        self._worker = worker
        self._store = client
        self._rng = rng or random.Random(secrets.randbits(64))
        self._time = clock.BootClock()
        self.events = events.EventLog(settings.name, self._time)
        self.boot = self._rng.getrandbits(BOOT_BITS)
        self.executor = executor.Executor(settings.executor, self._time)
        self.links = links.AgentLinks(self, self._time, self._rng)
        self._link_by_entry: dict[str, stream.Stream] = {}
        self._entry_by_address: dict[str, str] = {}
        self._entry_by_link: dict[stream.Stream, str] = {}
        self._info_sent: dict[str, assignments.WorkerInfo] = {}
        self._relay = relay.Relay(self._time, self._rng)
        self._tasks: set[asyncio.Task[Any]] = set()
        self._is_report_due = False
        self._has_worker = asyncio.Event()

    async def start(self) -> None:
        """Begin to serve."""
        self.events.record("process.started", {"boot": self.boot})
        for address in self._settings.entry_addresses:
            self.links.add(address)
        self._spawn(self._run_timers())
        self._spawn(self._poll())
        self._spawn(self._find_entries())

    async def stop(self) -> None:
        """Let what runs end, return what waits, and end."""
        self.events.record("process.stopping", {"running": self.executor.running_count})
        self._perform(self.executor.leave())
        await self._wait_idle(self._settings.grace_s - STOP_RESERVE_S)
        if self.executor.running_count:
            self._perform(self.executor.stop_all("agent stops"))
            await self._wait_idle(STOP_RESERVE_S / 2)
        self._report()
        self.links.close()
        await asyncio.sleep(0)
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._worker.close()
        await self._store.close()
        self.events.record("process.stopped", {"running": self.executor.running_count})

    async def _wait_idle(self, limit_s: float) -> None:
        ends_at = self._time.now() + limit_s
        while self.executor.running_count and self._time.now() < ends_at:
            await asyncio.sleep(TICK_S)

    def handle_heartbeat(self, told: workercontrol.WorkerHeartbeat) -> None:
        """Handle a heartbeat of the worker.

        :param told: what it says of itself.
        """
        self._perform(self.executor.handle_heartbeat(told))
        self._has_worker.set()

    def handle_deregistration(self, worker: str) -> None:
        """Handle that the worker ends.

        :param worker: its identifier.
        """
        self.events.record("worker.deregistered", {"worker": worker})

    # Effects of the executor.

    def _perform(self, wanted: Iterable[executoractions.Effect]) -> None:
        for effect in wanted:
            match effect:
                case actions.LogEvent(event, fields):
                    self.events.record(event, fields)
                case actions.Send(to, message):
                    self._send(to, message)
                case executoractions.Start(start_command):
                    self._spawn(self._start_run(start_command))
                case executoractions.Stop(stop_command):
                    self._spawn(self._stop_run(stop_command))
                case executoractions.Poll(poll_command):
                    self._spawn(self._poll_once(poll_command))
            self._schedule_report()

    def _spawn(self, coroutine: Coroutine[Any, Any, _T]) -> asyncio.Task[_T]:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _start_run(self, command: workercontrol.StartCommand) -> None:
        answer = await self._worker.start(command)
        self._perform(self.executor.handle_start_result(command, answer))

    async def _stop_run(self, command: workercontrol.StopCommand) -> None:
        answer = await self._worker.stop(command)
        self._perform(self.executor.handle_stop_result(command, answer))

    async def _poll_once(
        self, command: workercontrol.PollCommand
    ) -> workercontrol.PollResult:
        answer = await self._worker.poll(command)
        self._perform(self.executor.handle_poll_result(command, answer))
        return answer

    async def _poll(self) -> None:
        await self._has_worker.wait()
        while True:
            command = self.executor.next_poll()
            if command is None:
                await asyncio.sleep(POLL_PAUSE_S)
                continue
            poll = self._spawn(self._poll_once(command))
            overdue_s = command.wait_ms / 1000 + self._settings.executor.poll_repeat_s
            done, _ = await asyncio.wait({poll}, timeout=overdue_s)
            if done and not isinstance(poll.result(), workercontrol.Snapshot):
                await asyncio.sleep(POLL_PAUSE_S)

    # Links.

    def _send(self, entry: str, message: assignments.Message) -> None:
        link = self._link_by_entry.get(entry)
        if link is not None:
            link.send(message)

    def handle_open(self, link: stream.Stream) -> None:
        """Wait for the entry host's hello."""

    def handle_message(self, link: stream.Stream, message: assignments.Message) -> None:
        """Handle a message of an entry host."""
        if isinstance(message, assignments.EntryHello):
            self._greet(link, message)
            return
        entry = self._entry_by_link.get(link)
        if entry is None:
            raise errors.WireError(f"{type(message).__name__} came before the hello")
        match message:
            case assignments.Assign():
                self._perform(self.executor.handle_assignment(entry, message))
            case assignments.Renewal():
                self.executor.handle_renewal(entry, message)
                self._relay.record_version(entry, message.configuration_version)
            case assignments.Demand():
                self.executor.handle_demand(entry, message)
                self._schedule_report()
            case assignments.Revoke():
                self._perform(self.executor.handle_revocation(message))
            case assignments.EntryHosts(addresses):
                for address in addresses:
                    self.links.add(address)
            case assignments.Configuration():
                self._hold(entry, message)

    def _greet(self, link: stream.Stream, hello: assignments.EntryHello) -> None:
        if hello.protocol != assignments.PROTOCOL:
            raise errors.WireError(f"protocol {hello.protocol} of {hello.name}")
        old = self._link_by_entry.get(hello.name)
        if old is not None and old is not link:
            del self._entry_by_link[old]
            old.abort()
        boot, held = self.executor.session_state(hello.name)
        self._link_by_entry[hello.name] = link
        self._entry_by_link[link] = hello.name
        self._entry_by_address[self.links.address_of(link)] = hello.name
        link.send(
            assignments.AgentHello(
                assignments.PROTOCOL,
                self._settings.name,
                self.boot,
                self._settings.zone,
                boot,
                held,
            )
        )
        self._info_sent.pop(hello.name, None)
        self.events.record("owner.linked", {"owner": hello.name, "held": len(held)})
        distance = entrysessions.distance(
            self._settings.name, self._settings.zone, hello.name, hello.zone
        )
        self._perform(
            self.executor.handle_entry_connected(hello.name, hello.boot, distance)
        )
        self._report()

    def _hold(self, entry: str, message: assignments.Configuration) -> None:
        if self._relay.update(message):
            self.events.record(
                "configuration.held", {"version": message.version, "source": entry}
            )

    def handle_close(self, link: stream.Stream) -> None:
        """Handle the end of a connection."""
        entry = self._entry_by_link.pop(link, None)
        if entry is not None:
            del self._link_by_entry[entry]
            self._relay.forget(entry)
            self._perform(self.executor.handle_entry_disconnected(entry))

    def handle_rejected(self, reason: str) -> None:
        """Handle a malformed message."""
        self.events.record("link.rejected", {"detail": reason})

    def handle_refused(self, address: str) -> None:
        """Stop the runs of an entry host whose process has ended."""
        entry = self._entry_by_address.get(address)
        if entry is not None and entry not in self._link_by_entry:
            self._perform(self.executor.handle_entry_gone(entry))

    # Time.

    def _schedule_report(self) -> None:
        if not self._is_report_due:
            self._is_report_due = True
            asyncio.get_running_loop().call_later(REPORT_DELAY_S, self._report_change)

    def _report_change(self) -> None:
        self._is_report_due = False
        self._report(is_periodic=False)

    def _report(self, is_periodic: bool = True) -> None:
        """Send the load to the entry hosts, after changed facts of the worker.

        :param is_periodic: whether every entry host gets it.
        """
        info, loads = (
            self.executor.worker_info(),
            self.executor.due_reports(is_periodic),
        )
        for entry, load in loads.items():
            link = self._link_by_entry.get(entry)
            if link is None:
                continue
            if info is not None and self._info_sent.get(entry) != info:
                self._info_sent[entry] = info
                link.send(info)
            link.send(load)

    async def _run_timers(self) -> None:
        report_at = 0.0
        while True:
            now = self._time.now()
            self.links.abort_silent_links()
            self.links.dial_due()
            self._perform(self.executor.tick())
            for entry, configuration in self._relay.due():
                self.events.record(
                    "configuration.relayed",
                    {"version": configuration.version, "owner": entry},
                )
                self._send(entry, configuration)
            if now >= report_at:
                report_at = now + REPORT_INTERVAL_S
                self._report()
            await asyncio.sleep(TICK_S)

    async def _find_entries(self) -> None:
        """Read the entry hosts from the store until one is connected."""
        while True:
            if not self._link_by_entry:
                await self._read_members()
            await asyncio.sleep(STORE_RETRY_S)

    async def _read_members(self) -> None:
        try:
            page = await self._store.read_newest(discovery.TOPIC)
        except errors.LogUnavailableError as error:
            self.events.record(
                "store.lost", {"topic": discovery.TOPIC, "detail": str(error)}
            )
            return
        found = list(discovery.addresses(page.records))
        self.events.record("entries.found", {"addresses": found})
        for address in found:
            self.links.add(address)
