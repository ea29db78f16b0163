"""Daemon of an entry host for best-effort jobs.

Passes requests and the messages of agents to the scheduler and performs its effects,
and follows the configuration and the other entry hosts in the store.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import secrets
from collections.abc import Callable, Iterable
from typing import Any

import attrs

from burdockgate import assignments, clock, errors
from burdockgate.connection import stream
from burdockgate.process import (
    actions,
    assigner,
    background,
    evacuation,
    events,
    follower,
    links,
    registration,
    relay,
    restart,
    runner,
    scheduler,
    selection,
    stalls,
    store,
    subset,
)
from burdockgate.request import besteffort, caller
from burdockgate.version import routes

TICK_S = 0.02
# Load reports and task ends that arrive within this time share one assignment pass.
ASSIGN_DELAY_S = 0.001
BOOT_BITS = 62


@attrs.frozen
class EntryDaemonSettings:
    """Location and limits of an entry host.

    :param host: own IP address, to which agents connect.
    :param port: port for agents.
    :param grace_s: time between the stop signal and the exit of the process.
    :param configuration_topic: topic of the store that holds the configuration.
    :param configuration_key: key of the configuration in its topic.
    :param evacuation_prefix: start of the keys, in the same topic, of requests to empty
        a data centre; its name follows. Empty where there are no such requests.
    """

    name: str
    zone: str
    host: str
    port: int
    grace_s: float
    configuration_topic: str
    configuration_key: str
    evacuation_prefix: str = ""
    scheduler: assigner.SchedulerSettings = assigner.SchedulerSettings()
    selection: selection.SelectionSettings = selection.SelectionSettings()


class EntryDaemon(links.Handler, runner.Runnable):
    """Connects the scheduler with callers, agents and the store.

    :param settings: location and limits.
    :param client: client of the store.
    :param decode_routes: decodes a record; returns ``None`` if it is unreadable.
    :param rng: source of random numbers.
    """

    def __init__(
        self,
        settings: EntryDaemonSettings,
        client: store.Store,
        decode_routes: Callable[[bytes], routes.RouteTable | None],
        rng: random.Random | None = None,
    ) -> None:
        self._settings = settings
        self._store = client
        self._decode_routes = decode_routes
        self._rng = rng or random.Random(secrets.randbits(64))
        self._time = clock.BootClock()
        self.events = events.EventLog(settings.name, self._time)
        self.boot = self._rng.getrandbits(BOOT_BITS)
        self.scheduler = scheduler.Scheduler(
            settings.zone,
            settings.scheduler,
            settings.selection,
            selection.FinishStarted(),
            self._time,
            self._rng,
        )
        self.routes: routes.RouteTable | None = None
        self._has_routes = asyncio.Event()
        self._configuration_message: assignments.Configuration | None = None
        self._holders = relay.Holders(self._time, self._rng)
        self._evacuations = evacuation.Replica(settings.evacuation_prefix)
        self._links = links.EntryLinks(self, self._time)
        self._server: asyncio.Server | None = None
        self._link_by_agent: dict[str, stream.Stream] = {}
        self._agent_by_link: dict[stream.Stream, str] = {}
        self._future_by_ticket: dict[int, asyncio.Future[besteffort.Outcome]] = {}
        self._tickets = itertools.count(1)
        self.background = background.Background(self._record_failure)
        self._registration = registration.Registration(
            assignments.EntryHost(settings.name, self._address, settings.zone, 0),
            client,
            self._time,
            self.events,
            self._rng,
            self._announce_entry_hosts,
        )
        self._stop_plan: restart.StopPlan | None = None
        self._stalls = stalls.StallDetector(self._time.now())

    @property
    def _address(self) -> str:
        return f"{self._settings.host}:{self._settings.port}"

    @property
    def is_stopping(self) -> bool:
        """Whether the process has been told to stop."""
        return self._stop_plan is not None

    @property
    def releases_callers(self) -> bool:
        """Whether callers should reach another entry host with their next request.

        An open connection stays here until it is closed. Before the balancer has
        noticed the stop, a new one could lead here again.
        """
        plan = self._stop_plan
        return plan is not None and self._time.now() >= plan.balancer_left_at

    @property
    def is_ready(self) -> bool:
        """Whether the balancer should send requests here."""
        return (
            not self.is_stopping
            and self.routes is not None
            and self.scheduler.fleet.has_enough_agents(self._time.now())
        )

    async def wait_for_routes(self, limit_s: float) -> routes.RouteTable | None:
        """Return the route table; ``None`` when none arrives in time.

        :param limit_s: longest wait for the first route table in seconds.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                await self._has_routes.wait()
        return self.routes

    async def start(self) -> None:
        """Listen for agents and start the background tasks."""
        self.events.record("process.started", {"boot": self.boot})
        self._server = await self._links.start(self._settings.host, self._settings.port)
        self.background.keep_running(self._run_timers)
        self.background.keep_running(self._follow_configuration)
        self.background.keep_running(self._registration.follow)
        self.background.keep_running(self._registration.maintain)
        self.background.keep_running(self._registration.expire)

    async def stop(self) -> None:
        """Wait for the jobs in progress and interrupt those left when time is up."""
        now = self._time.now()
        plan = self._stop_plan = restart.StopPlan(
            now - runner.stop_delay_s(), self._settings.grace_s
        )
        runner.limit_stop(plan.exit_at - now)
        self.events.record("process.stopping", {"jobs": len(self.scheduler.job_by_id)})
        self.background.run(self._registration.leave())
        self.scheduler.stop_deadline = plan.interrupt_at
        await asyncio.sleep(max(0.0, plan.balancer_left_at - now))
        while self.scheduler.job_by_id:
            remaining_s = plan.interrupt_at - self._time.now()
            if remaining_s <= 0:
                break
            await asyncio.sleep(min(TICK_S, remaining_s))
        # The servers close next and would cut off a job that came meanwhile.
        self.scheduler.stop_deadline = self._time.now()
        self._perform(self.scheduler.interrupt_all())

    async def close(self) -> None:
        """Close all connections; call after the requests have been answered."""
        self.events.record("process.stopped", {"jobs": len(self.scheduler.job_by_id)})
        if self._server is not None:
            self._server.close()
        self._links.close()
        await self.background.cancel()
        await self._store.close()

    # Requests of callers.

    async def submit(
        self,
        submission: besteffort.Submission,
        client: caller.Caller,
        disconnected: asyncio.Future[None],
    ) -> besteffort.Outcome | None:
        """Submit a job and wait for its outcome.

        :param submission: the job.
        :param client: its caller.
        :param disconnected: done when the caller has closed its connection.
        :returns: how the job ended; ``None`` when its caller disconnected before.
        """
        ticket = next(self._tickets)
        future: asyncio.Future[besteffort.Outcome] = (
            asyncio.get_running_loop().create_future()
        )
        self._future_by_ticket[ticket] = future
        started_at = self._time.now()
        is_late = client.was_delayed() or self._stalls.may_have_waited(started_at)
        try:
            self._perform(self.scheduler.submit(submission, ticket, client, is_late))
            awaited: set[asyncio.Future[Any]] = {future, disconnected}
            await asyncio.wait(awaited, return_when=asyncio.FIRST_COMPLETED)
            if not future.done():
                self._perform(
                    self.scheduler.handle_caller_disconnected(submission.job, ticket)
                )
                return None
            outcome = future.result()
            self.events.histograms.record(
                f"response.{outcome.code.name.lower()}",
                submission.route,
                self._time.now() - started_at,
            )
            return outcome
        finally:
            del self._future_by_ticket[ticket]

    def cancel(self, job: str) -> bool:
        """Cancel a job; return whether it was in progress.

        :param job: its identifier.
        """
        is_known = job in self.scheduler.job_by_id
        self._perform(self.scheduler.cancel(job))
        return is_known

    # Effects of the scheduler.

    def _perform(self, effects: Iterable[assigner.Effect]) -> None:
        for effect in effects:
            match effect:
                case actions.LogEvent(event, fields):
                    self.events.record(event, fields)
                case actions.Send(agent, message):
                    link = self._link_by_agent.get(agent)
                    if link is not None:
                        link.send(message)
                    else:
                        self.events.record(
                            "message.unsent",
                            {"to": agent, "kind": type(message).__name__},
                        )
                case assigner.ScheduleAssignment():
                    asyncio.get_running_loop().call_later(ASSIGN_DELAY_S, self._assign)
                case assigner.Respond(ticket, _, outcome):
                    future = self._future_by_ticket.get(ticket)
                    if future is not None and not future.done():
                        future.set_result(outcome)

    def _assign(self) -> None:
        self._perform(self.scheduler.assign())

    def _record_failure(self, task: str, trace: str) -> None:
        self.events.record("task.failed", {"task": task, "trace": trace})

    # Connections of agents.

    def handle_open(self, link: stream.Stream) -> None:
        """Send the hello to a newly connected agent."""
        settings = self._settings
        link.send(
            assignments.EntryHello(
                assignments.PROTOCOL, settings.name, self.boot, settings.zone
            )
        )

    def handle_message(self, link: stream.Stream, message: assignments.Message) -> None:
        """Handle a message of an agent."""
        if isinstance(message, assignments.AgentHello):
            self._accept_agent(link, message)
            return
        agent = self._agent_by_link.get(link)
        if agent is None:
            raise errors.WireError(f"{type(message).__name__} came before the hello")
        match message:
            case assignments.LoadReport():
                self._holders.record(agent, message.configuration_version)
                self._perform(self.scheduler.handle_load_report(agent, message))
            case assignments.TaskEnd():
                self._perform(self.scheduler.handle_task_end(agent, message))
            case assignments.WorkerInfo():
                self._perform(self.scheduler.handle_worker_info(agent, message))
            case assignments.Configuration():
                self._apply_configuration(
                    relay.unpack(message), f"agent {agent}", message
                )
            case assignments.Evacuations():
                if self._evacuations.receive(agent, message):
                    self._record_evacuations(f"agent {agent}")
                self._send_evacuations()

    def _accept_agent(self, link: stream.Stream, hello: assignments.AgentHello) -> None:
        if hello.protocol != assignments.PROTOCOL:
            raise errors.WireError(f"protocol {hello.protocol} of {hello.name}")
        old = self._link_by_agent.get(hello.name)
        self._link_by_agent[hello.name] = link
        self._agent_by_link[link] = hello.name
        if old is not None and old is not link:
            del self._agent_by_link[old]
            old.abort()
        self._perform(self.scheduler.handle_agent_connected(hello, self.boot))
        link.send(assignments.EntryHosts(self._registration.registry.all()))
        self._holders.record(hello.name, 0)
        self._evacuations.forget(hello.name)
        self._send_evacuations()

    def handle_close(self, link: stream.Stream) -> None:
        """Handle the end of a connection."""
        agent = self._agent_by_link.pop(link, None)
        if agent is not None:
            del self._link_by_agent[agent]
            self._perform(self.scheduler.handle_agent_disconnected(agent))
            self._holders.forget(agent)
            self._evacuations.forget(agent)

    def handle_rejected(self, reason: str) -> None:
        """Handle a message that was rejected as malformed."""
        self.events.record("link.rejected", {"detail": reason})

    async def _run_timers(self) -> None:
        while True:
            self._handle_stall()
            self._links.abort_silent_links()
            self._perform(self.scheduler.tick())
            self._exchange_configuration()
            await asyncio.sleep(TICK_S)

    def _handle_stall(self) -> None:
        stall_s = self._stalls.observe(self._time.now())
        if stall_s:
            self.events.record("process.stalled", {"for_ms": int(stall_s * 1000)})
            self.scheduler.handle_stall()

    # Configuration and membership.

    async def _follow_configuration(self) -> None:
        settings = self._settings
        source = follower.TopicFollower(
            self._store, settings.configuration_topic, self.events, self._rng
        )
        async for page in source.pages():
            for record in page.records:
                if record.key == settings.configuration_key:
                    self._apply_configuration(record.value, "store")
            if self._evacuations.apply(page):
                self._record_evacuations("store")
            self._send_evacuations()

    def _record_evacuations(self, source: str) -> None:
        zones = list(self._evacuations.current.zones)
        self.events.record("evacuations.applied", {"zones": zones, "source": source})

    def _send_evacuations(self) -> None:
        """Send the evacuations to the agents that have an older state."""
        for agent in self._evacuations.outdated_peers(self._link_by_agent):
            self._link_by_agent[agent].send(self._evacuations.current)

    def _apply_configuration(
        self,
        body: bytes,
        source: str,
        message: assignments.Configuration | None = None,
    ) -> None:
        """Apply a configuration that is newer than the one in force.

        :param body: the record as read from the store.
        :param source: where it came from, for the log.
        :param message: the message in which it came from an agent.
        """
        table = self._decode_routes(body)
        if table is None:
            self.events.record("configuration.unreadable", {"source": source})
            return
        current = self.routes
        if current is not None and table.version <= current.version:
            return
        self.routes = table
        self._has_routes.set()
        self._configuration_message = message or relay.pack(table.version, body)
        self.events.record(
            "configuration.applied",
            {
                "version": table.version,
                "before": current.version if current else 0,
                "routes": len(table.routes),
                "source": source,
            },
        )
        self._holders.handle_applied()

    def _exchange_configuration(self) -> None:
        """Send due copies to agents, and ask one for a newer version if needed."""
        version = self.routes.version if self.routes is not None else 0
        if self._configuration_message is not None:
            if self._holders.has_enough_copies(version):
                self.scheduler.configuration_version = version
            for agent in self._holders.collect_receivers(version):
                self.events.record(
                    "configuration.copied", {"version": version, "agent": agent}
                )
                self._link_by_agent[agent].send(self._configuration_message)
        source = self._holders.next_source(version)
        if source is not None:
            self.events.record(
                "configuration.requested", {"version": version, "agent": source}
            )
            self._link_by_agent[source].send(assignments.ConfigurationRequest(version))

    def _announce_entry_hosts(self, changed: tuple[assignments.EntryHost, ...]) -> None:
        """Send changed records of entry hosts to the agents."""
        present = self._registration.registry.present()
        self.scheduler.entry_host_count = min(len(present), subset.LIMIT)
        for link in self._link_by_agent.values():
            link.send(assignments.EntryHosts(changed))
