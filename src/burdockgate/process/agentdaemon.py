"""Agent's daemon for best-effort jobs, between executor, worker and entry hosts."""

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
    background,
    discovery,
    entryregistry,
    entrysessions,
    evacuation,
    events,
    executor,
    executoractions,
    links,
    relay,
    restart,
    runner,
    stalls,
    store,
    subset,
    workercontrol,
)

_T = TypeVar("_T")

# Half of the shortest time limit, the 0.2 s after which a stop is repeated. A shorter
# tick wastes processor time, as a wake-up costs an agent more than a message does.
TICK_S = 0.1
REPORT_INTERVAL_S = 0.2
# Changes of the load within this time are sent in one report.
REPORT_DELAY_S = 0.004
# Pause after a refused poll, so that the agent does not poll in a tight loop.
POLL_PAUSE_S = 0.05
STORE_RETRY_S = 0.5
BOOT_BITS = 62


@attrs.frozen
class AgentDaemonSettings:
    """Name, zone and limits of an agent.

    :param entry_addresses: ``host:port`` of the entry hosts that are known at the
        start.
    :param grace_s: longest time between the signal to stop and the end of the process.
    :param executor: time limits of the executor.
    :param worker_address: ``host:port`` of the worker on the same machine; empty if it
        is not known. Heartbeats that name another address are rejected.
    """

    name: str
    zone: str
    entry_addresses: tuple[str, ...]
    grace_s: float
    executor: executoractions.ExecutorSettings
    worker_address: str = ""


class AgentDaemon(links.Handler, runner.Runnable):
    """Performs the effects of an executor and passes it messages, results and time.

    :param settings: name, zone and limits.
    :param worker: sends commands to the worker.
    :param client: the store, where entry hosts are looked up while none is connected.
    :param rng: source of random numbers; seeded by the system by default.
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
        self._sent_info_by_entry: dict[str, assignments.WorkerInfo] = {}
        self._configuration = relay.Copy()
        self._evacuations = evacuation.Replica()
        self.background = background.Background(self._record_failure)
        # Addresses at which the first entry host is looked for.
        self.seeds = settings.entry_addresses
        self._registry = entryregistry.EntryRegistry()
        self._ranked_entries: list[assignments.EntryHost] = []
        self._is_report_scheduled = False
        self._has_worker = asyncio.Event()

    async def start(self) -> None:
        """Connect to the entry hosts, and start the timers and the polls."""
        self.events.record("process.started", {"boot": self.boot})
        self._choose_entries()
        self.background.keep_running(self._run_timers)
        self.background.keep_running(self._poll_forever)
        self.background.keep_running(self._find_entries)

    async def stop(self) -> None:
        """Return queued runs, let dispatched ones end within the grace time, and end.

        Runs that are still in progress shortly before the end are stopped.
        """
        now = self._time.now()
        started_at = now - runner.stop_delay_s()
        plan = restart.StopPlan(started_at, self._settings.grace_s)
        runner.limit_stop(plan.exit_at - now)
        self.events.record(
            "process.stopping", {"running": self.executor.dispatched_count}
        )
        self._perform(self.executor.drain())
        # Without queued runs, entry hosts would assign until the next periodic report.
        self._report_changes()
        await self._wait_until_idle(plan.stop_runs_at)
        if self.executor.dispatched_count:
            self._perform(self.executor.stop_all("agent stops"))
            await self._wait_until_idle(plan.leave_runs_at)
        self._report()
        self.links.close()
        await asyncio.sleep(0)
        await self.background.cancel()
        await self._worker.close()
        await self._store.close()
        self.events.record(
            "process.stopped", {"running": self.executor.dispatched_count}
        )

    async def _wait_until_idle(self, limit_at: float) -> None:
        while self.executor.dispatched_count:
            remaining_s = limit_at - self._time.now()
            if remaining_s <= 0:
                return
            await asyncio.sleep(min(TICK_S, remaining_s))

    def handle_heartbeat(self, heartbeat: workercontrol.WorkerHeartbeat) -> bool:
        """Handle a heartbeat of the worker.

        :param heartbeat: the heartbeat.
        :returns: whether it is of the worker on the same machine.
        """
        expected = self._settings.worker_address
        if expected and heartbeat.address and heartbeat.address != expected:
            self.events.record(
                "heartbeat.foreign",
                {"worker": heartbeat.worker, "address": heartbeat.address},
            )
            return False
        self._perform(self.executor.handle_heartbeat(heartbeat))
        self._has_worker.set()
        return True

    def handle_deregistration(self, worker: str) -> None:
        """Handle the notice that the worker shuts down.

        :param worker: identifier of the worker.
        """
        self.events.record("worker.deregistered", {"worker": worker})

    # Effects of the executor.

    def _perform(self, effects: Iterable[executoractions.Effect]) -> None:
        for effect in effects:
            match effect:
                case actions.LogEvent(event, fields):
                    self.events.record(event, fields)
                case actions.Send(to, message):
                    self._send(to, message)
                case executoractions.Start(start_command):
                    self.background.run(self._start_run(start_command))
                case executoractions.Stop(stop_command):
                    self.background.run(self._stop_run(stop_command))
                case executoractions.Poll(poll_command):
                    self.background.run(self._poll_once(poll_command))
            self._schedule_report()

    def _record_failure(self, task: str, trace: str) -> None:
        self.events.record("task.failed", {"task": task, "trace": trace})

    async def _call_worker(
        self, call: Coroutine[Any, Any, _T]
    ) -> _T | workercontrol.Unanswered:
        """Return the result of a command to the worker.

        After an unexpected error, the command may have been carried out.
        """
        try:
            return await call
        except Exception as error:
            self.background.report("call_worker", error)
            return workercontrol.Unanswered()

    async def _start_run(self, command: workercontrol.StartCommand) -> None:
        result = await self._call_worker(self._worker.start(command))
        self._perform(self.executor.handle_start_result(command, result))

    async def _stop_run(self, command: workercontrol.StopCommand) -> None:
        result = await self._call_worker(self._worker.stop(command))
        self._perform(self.executor.handle_stop_result(command, result))

    async def _poll_once(
        self, command: workercontrol.PollCommand
    ) -> workercontrol.PollResult:
        result = await self._call_worker(self._worker.poll(command))
        self._perform(self.executor.handle_poll_result(command, result))
        return result

    async def _poll_forever(self) -> None:
        """Poll the worker continuously, without waiting for a poll that is overdue."""
        await self._has_worker.wait()
        while True:
            command = self.executor.next_poll()
            if command is None:
                await asyncio.sleep(POLL_PAUSE_S)
                continue
            poll = self.background.run(self._poll_once(command))
            overdue_s = command.wait_ms / 1000 + self._settings.executor.poll_repeat_s
            done, _ = await asyncio.wait({poll}, timeout=overdue_s)
            if done and not isinstance(poll.result(), workercontrol.Snapshot):
                await asyncio.sleep(POLL_PAUSE_S)

    # Connections to entry hosts.

    def _send(self, entry: str, message: assignments.Message) -> None:
        link = self._link_by_entry.get(entry)
        if link is not None:
            link.send(message)
        else:
            self.events.record(
                "message.unsent", {"to": entry, "kind": type(message).__name__}
            )

    def handle_open(self, link: stream.Stream) -> None:
        """Do nothing: the entry host sends its hello first."""

    def handle_message(self, link: stream.Stream, message: assignments.Message) -> None:
        """Handle a message from an entry host."""
        if isinstance(message, assignments.EntryHello):
            self._handle_hello(link, message)
            return
        entry = self._entry_by_link.get(link)
        if entry is None:
            raise errors.WireError(f"{type(message).__name__} came before the hello")
        match message:
            case assignments.Assign():
                self._perform(self.executor.handle_assignment(entry, message))
            case assignments.Renewal():
                self.executor.handle_renewal(entry, message)
                self._drop_old_configuration(message.configuration_version)
            case assignments.Demand():
                self.executor.handle_demand(entry, message)
                self._schedule_report()
            case assignments.Revoke():
                self._perform(self.executor.handle_revocation(entry, message))
            case _:
                self._handle_shared_state(entry, message)

    def _handle_shared_state(self, entry: str, message: assignments.Message) -> None:
        """Handle a message about state that all nodes share."""
        match message:
            case assignments.EntryHosts(entries):
                self._handle_entry_hosts(self._registry.merge(entries))
            case assignments.Configuration():
                self._update_configuration(entry, message)
            case assignments.ConfigurationRequest(version):
                self._send_configuration(entry, version)
            case assignments.Evacuations():
                self._update_evacuations(entry, message)

    def _handle_entry_hosts(self, changed: tuple[assignments.EntryHost, ...]) -> None:
        """Connect to the new entry hosts, and forget those that have left."""
        for entry in changed:
            event = "entry.known" if entry.address else "entry.departed"
            self.events.record(event, {"entry": entry.name, "address": entry.address})
        if changed:
            self._ranked_entries = subset.rank(
                self._settings.name, self._settings.zone, self._registry.present()
            )
            self._choose_entries()

    def _choose_entries(self) -> None:
        """Connect to the chosen entry hosts, and release connections to others."""
        chosen = subset.choose(self._ranked_entries, self.links.is_failing)
        wanted = [entry.address for entry in chosen]
        if not self._link_by_entry:
            wanted += self.seeds
        self.links.set_wanted(wanted)
        if self._ranked_entries:
            self._release_surplus({entry.name for entry in chosen})

    def _release_surplus(self, chosen: set[str]) -> None:
        """Release the present entry hosts that are connected and not chosen."""
        surplus = {
            entry
            for entry in self._link_by_entry.keys() - chosen
            if (record := self._registry.get(entry)) is not None and record.address
        }
        for entry in self.executor.release(surplus):
            self.events.record("owner.released", {"owner": entry})
            self.links.release(self._link_by_entry[entry])

    def _handle_hello(self, link: stream.Stream, hello: assignments.EntryHello) -> None:
        if hello.protocol != assignments.PROTOCOL:
            raise errors.WireError(f"protocol {hello.protocol} of {hello.name}")
        previous_link = self._link_by_entry.get(hello.name)
        if previous_link is not None and previous_link is not link:
            del self._entry_by_link[previous_link]
            previous_link.abort()
        boot, active_runs = self.executor.session_state(hello.name)
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
                active_runs,
            )
        )
        self._sent_info_by_entry.pop(hello.name, None)
        self.events.record(
            "owner.linked", {"owner": hello.name, "held": len(active_runs)}
        )
        distance = entrysessions.distance(
            self._settings.name, self._settings.zone, hello.name, hello.zone
        )
        self._perform(
            self.executor.handle_entry_connected(hello.name, hello.boot, distance)
        )
        self._evacuations.forget(hello.name)
        self._send_evacuations()
        self._report()

    def _update_configuration(
        self, entry: str, message: assignments.Configuration
    ) -> None:
        if self._configuration.update(message):
            self.executor.configuration_version = message.version
            self.events.record(
                "configuration.held", {"version": message.version, "source": entry}
            )

    def _update_evacuations(self, entry: str, message: assignments.Evacuations) -> None:
        """Apply the evacuations that an entry host knows, and pass newer ones on."""
        if self._evacuations.receive(entry, message):
            self.events.record(
                "evacuations.applied",
                {"zones": list(message.zones), "source": f"entry host {entry}"},
            )
        is_evacuated = self._evacuations.is_evacuated(self._settings.zone)
        if is_evacuated != self.executor.is_evacuated:
            self._perform(self.executor.set_evacuated(is_evacuated))
        self._send_evacuations()

    def _send_evacuations(self) -> None:
        for entry in self._evacuations.outdated_peers(self._link_by_entry):
            self._send(entry, self._evacuations.current)

    def _drop_old_configuration(self, version: int) -> None:
        if self._configuration.drop_older_than(version):
            self.executor.configuration_version = 0
            self.events.record("configuration.dropped", {"version": version})

    def _send_configuration(self, entry: str, version: int) -> None:
        """Send an entry host the configuration if it is newer than the one there."""
        configuration = self._configuration.newer_than(version)
        if configuration is not None:
            self.events.record(
                "configuration.relayed",
                {"version": configuration.version, "owner": entry},
            )
            self._send(entry, configuration)

    def handle_close(self, link: stream.Stream) -> None:
        """Handle the end of a connection to an entry host."""
        entry = self._entry_by_link.pop(link, None)
        if entry is not None:
            del self._link_by_entry[entry]
            self._evacuations.forget(entry)
            self._perform(self.executor.handle_entry_disconnected(entry))

    def handle_rejected(self, reason: str) -> None:
        """Handle a malformed message."""
        self.events.record("link.rejected", {"detail": reason})

    def handle_refused(self, address: str) -> None:
        """Stop the runs of an entry host whose process has ended."""
        entry = self._entry_by_address.get(address)
        if entry is not None and entry not in self._link_by_entry:
            self._perform(self.executor.handle_entry_gone(entry))

    # Reports and timers.

    def _schedule_report(self) -> None:
        if not self._is_report_scheduled:
            self._is_report_scheduled = True
            asyncio.get_running_loop().call_later(REPORT_DELAY_S, self._report_changes)

    def _report_changes(self) -> None:
        self._is_report_scheduled = False
        self._report(is_periodic=False)

    def _report(self, is_periodic: bool = True) -> None:
        """Send the due load reports, each after the worker's facts if they changed.

        :param is_periodic: whether periodic reports are included.
        """
        info, report_by_entry = (
            self.executor.worker_info(),
            self.executor.due_reports(is_periodic),
        )
        for entry, report in report_by_entry.items():
            link = self._link_by_entry.get(entry)
            if link is None:
                continue
            if info is not None and self._sent_info_by_entry.get(entry) != info:
                self._sent_info_by_entry[entry] = info
                link.send(info)
            link.send(report)

    async def _run_timers(self) -> None:
        report_at = 0.0
        detector = stalls.StallDetector(self._time.now())
        while True:
            now = self._time.now()
            stall_s = detector.observe(now)
            if stall_s:
                self.events.record("process.stalled", {"for_ms": int(stall_s * 1000)})
            self.links.abort_silent_links()
            self._choose_entries()
            self.links.dial_due()
            self._perform(self.executor.tick())
            if now >= report_at:
                report_at = now + REPORT_INTERVAL_S
                self._report()
            await asyncio.sleep(TICK_S)

    async def _find_entries(self) -> None:
        """Look entry hosts up in the store while none is connected."""
        while True:
            if not self._link_by_entry:
                await self._read_entries()
            await asyncio.sleep(STORE_RETRY_S)

    async def _read_entries(self) -> None:
        try:
            page = await self._store.read_newest(discovery.TOPIC)
        except errors.LogUnavailableError as error:
            self.events.record(
                "store.lost", {"topic": discovery.TOPIC, "detail": str(error)}
            )
            return
        found = list(discovery.entry_hosts(page.records))
        self.events.record(
            "entries.found", {"addresses": [entry.address for entry in found]}
        )
        self._handle_entry_hosts(self._registry.apply_snapshot(found, page.end))
