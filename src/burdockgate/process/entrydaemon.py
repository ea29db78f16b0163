"""The daemon that takes best-effort jobs: performs what its scheduler decides."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import secrets
from collections.abc import Callable, Coroutine, Iterable
from typing import Any

import attrs

from burdockgate import assignments, clock, errors
from burdockgate.connection import stream
from burdockgate.process import (
    actions,
    assigner,
    discovery,
    events,
    follower,
    links,
    runner,
    scheduler,
    selection,
    store,
)
from burdockgate.request import besteffort
from burdockgate.version import routes

TICK_S = 0.02
# Reports and ends that come in this time lead to one assignment.
ASSIGN_DELAY_S = 0.001
# The balancer notices within two seconds that an entry host is not ready. Until then
# it still sends requests, which are served.
UNREADY_S = 2.2
# What is left of the time for a stop, for answers under way.
STOP_RESERVE_S = 0.5
STORE_RETRY_S = 0.5
BOOT_BITS = 62
# Agents that get the body of each configuration, to pass it on to entry hosts that lag.
# Any of them reaches every entry host; several stay when a zone is lost.
CONFIGURATION_HOLDERS = 3


@attrs.frozen
class EntryDaemonSettings:
    """Place and limits of an entry host.

    :param host: own IP address, at which agents connect.
    :param port: port for agents.
    :param grace_s: time between the signal to stop and the end of the process.
    :param configuration_topic: topic that holds the configuration.
    :param configuration_key: its key.
    """

    name: str
    zone: str
    host: str
    port: int
    grace_s: float
    configuration_topic: str
    configuration_key: str
    scheduler: assigner.SchedulerSettings = assigner.SchedulerSettings()
    selection: selection.SelectionSettings = selection.SelectionSettings()


class EntryDaemon(links.Handler, runner.Runnable):
    """Connects the scheduler with callers, agents and the store.

    :param settings: place and limits.
    :param client: the store.
    :param decode_routes: returns the table of a record; ``None`` when unreadable.
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
            selection.ShortestFirst(),
            self._time,
            self._rng,
        )
        self.routes: routes.RouteTable | None = None
        self._has_routes = asyncio.Event()
        self._configuration: assignments.Configuration | None = None
        self._holders: set[str] = set()
        self._links = links.EntryLinks(self, self._time)
        self._server: asyncio.Server | None = None
        self._link_by_agent: dict[str, stream.Stream] = {}
        self._agent_by_link: dict[stream.Stream, str] = {}
        self._address_by_entry: dict[str, str] = {settings.name: self._address}
        self._answer_by_ticket: dict[int, asyncio.Future[besteffort.Outcome]] = {}
        self._tickets = itertools.count(1)
        self._tasks: set[asyncio.Task[None]] = set()
        self.is_stopping = False

    @property
    def _address(self) -> str:
        return f"{self._settings.host}:{self._settings.port}"

    @property
    def is_ready(self) -> bool:
        """Whether the balancer should send requests here."""
        return (
            not self.is_stopping
            and self.routes is not None
            and self.scheduler.fleet.has_enough_agents(self._time.now())
        )

    async def wait_for_routes(self, limit_s: float) -> routes.RouteTable | None:
        """Return the configuration; ``None`` when none has come in time.

        :param limit_s: longest wait for the first one in seconds.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                await self._has_routes.wait()
        return self.routes

    async def start(self) -> None:
        """Begin to serve."""
        self.events.record("process.started", {"boot": self.boot})
        self._server = await self._links.start(self._settings.host, self._settings.port)
        self._spawn(self._run_timers())
        self._spawn(self._follow_configuration())
        self._spawn(self._follow_members())
        self._spawn(self._register())

    async def stop(self) -> None:
        """Let the jobs in progress end, then end."""
        self.is_stopping = True
        self.events.record("process.stopping", {"jobs": len(self.scheduler.job_by_id)})
        self._spawn(self._deregister())
        begun_at = self._time.now()
        limit_s = self._settings.grace_s - STOP_RESERVE_S
        self.scheduler.stop_deadline = begun_at + limit_s
        await asyncio.sleep(min(UNREADY_S, limit_s))
        while self.scheduler.job_by_id and self._time.now() - begun_at < limit_s:
            await asyncio.sleep(TICK_S)
        self._perform(self.scheduler.interrupt_all())

    async def close(self) -> None:
        """End every connection; call after the requests have been answered."""
        self.events.record("process.stopped", {"jobs": len(self.scheduler.job_by_id)})
        if self._server is not None:
            self._server.close()
        self._links.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._store.close()

    # Callers.

    async def submit(
        self, submission: besteffort.Submission, gone: asyncio.Future[None]
    ) -> besteffort.Outcome | None:
        """Return how a job ended; ``None`` when its caller went before.

        :param submission: the job.
        :param gone: done when the caller has closed its connection.
        """
        ticket = next(self._tickets)
        answer: asyncio.Future[besteffort.Outcome] = (
            asyncio.get_running_loop().create_future()
        )
        self._answer_by_ticket[ticket] = answer
        began_at = self._time.now()
        try:
            self._perform(self.scheduler.submit(submission, ticket))
            waited: set[asyncio.Future[Any]] = {answer, gone}
            await asyncio.wait(waited, return_when=asyncio.FIRST_COMPLETED)
            if not answer.done():
                self._perform(
                    self.scheduler.handle_caller_disconnected(submission.job, ticket)
                )
                return None
            verdict = answer.result()
            self.events.histograms.record(
                f"response.{verdict.code.name.lower()}",
                submission.route,
                self._time.now() - began_at,
            )
            return verdict
        finally:
            del self._answer_by_ticket[ticket]

    def cancel(self, job: str) -> bool:
        """Cancel a job; return whether it was in progress.

        :param job: its identifier.
        """
        is_known = job in self.scheduler.job_by_id
        self._perform(self.scheduler.cancel(job))
        return is_known

    # Effects of the scheduler.

    def _perform(self, wanted: Iterable[assigner.Effect]) -> None:
        for effect in wanted:
            match effect:
                case actions.LogEvent(event, fields):
                    self.events.record(event, fields)
                case actions.Send(to, message):
                    link = self._link_by_agent.get(to)
                    if link is not None:
                        link.send(message)
                case assigner.ScheduleAssignment():
                    asyncio.get_running_loop().call_later(ASSIGN_DELAY_S, self._assign)
                case assigner.Respond(ticket, _, verdict):
                    answer = self._answer_by_ticket.get(ticket)
                    if answer is not None and not answer.done():
                        answer.set_result(verdict)

    def _assign(self) -> None:
        self._perform(self.scheduler.assign())

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Links.

    def handle_open(self, link: stream.Stream) -> None:
        """Greet an agent."""
        settings = self._settings
        link.send(
            assignments.EntryHello(
                assignments.PROTOCOL, settings.name, self.boot, settings.zone
            )
        )

    def handle_message(self, link: stream.Stream, message: assignments.Message) -> None:
        """Handle a message of an agent."""
        if isinstance(message, assignments.AgentHello):
            self._greeted(link, message)
            return
        agent = self._agent_by_link.get(link)
        if agent is None:
            raise errors.WireError(f"{type(message).__name__} came before the hello")
        match message:
            case assignments.LoadReport():
                self._perform(self.scheduler.handle_load_report(agent, message))
            case assignments.TaskEnd():
                self._perform(self.scheduler.handle_task_end(agent, message))
            case assignments.WorkerInfo():
                self._perform(self.scheduler.handle_worker_info(agent, message))
            case assignments.Configuration(_, body):
                self._configure(body, f"agent {agent}")

    def _greeted(self, link: stream.Stream, hello: assignments.AgentHello) -> None:
        if hello.protocol != assignments.PROTOCOL:
            raise errors.WireError(f"protocol {hello.protocol} of {hello.name}")
        old = self._link_by_agent.get(hello.name)
        self._link_by_agent[hello.name] = link
        self._agent_by_link[link] = hello.name
        if old is not None and old is not link:
            del self._agent_by_link[old]
            old.abort()
        self._perform(self.scheduler.handle_agent_connected(hello, self.boot))
        link.send(assignments.EntryHosts(tuple(self._address_by_entry.values())))
        self._holders.discard(hello.name)
        self._hand_out_configuration()

    def handle_close(self, link: stream.Stream) -> None:
        """Handle the end of a connection."""
        agent = self._agent_by_link.pop(link, None)
        if agent is not None:
            del self._link_by_agent[agent]
            self._perform(self.scheduler.handle_agent_disconnected(agent))
            self._holders.discard(agent)
            self._hand_out_configuration()

    def handle_rejected(self, reason: str) -> None:
        """Handle a malformed message."""
        self.events.record("link.rejected", {"detail": reason})

    async def _run_timers(self) -> None:
        while True:
            self._links.abort_silent_links()
            self._perform(self.scheduler.tick())
            await asyncio.sleep(TICK_S)

    # Configuration and membership.

    async def _follow_configuration(self) -> None:
        settings = self._settings
        source = follower.TopicFollower(
            self._store, settings.configuration_topic, self.events, self._rng
        )
        async for record in source.records():
            if record.key == settings.configuration_key:
                self._configure(record.value, "store")

    def _configure(self, body: bytes, source: str) -> None:
        """Take a version into force unless it is older than the known one."""
        table = self._decode_routes(body)
        if table is None:
            self.events.record("configuration.unreadable", {"source": source})
            return
        known = self.routes
        if known is not None and table.version <= known.version:
            return
        self.routes = table
        self._has_routes.set()
        self._configuration = assignments.Configuration(table.version, body)
        self.events.record(
            "configuration.applied",
            {
                "version": table.version,
                "before": known.version if known else 0,
                "routes": len(table.routes),
                "source": source,
            },
        )
        self.scheduler.configuration_version = table.version
        self._holders.clear()
        self._hand_out_configuration()

    def _hand_out_configuration(self) -> None:
        """Send the configuration to agents until enough of them hold it."""
        missing = CONFIGURATION_HOLDERS - len(self._holders)
        if self._configuration is None or missing <= 0:
            return
        others = sorted(set(self._link_by_agent) - self._holders)
        for agent in self._rng.sample(others, min(missing, len(others))):
            self._holders.add(agent)
            self._link_by_agent[agent].send(self._configuration)

    async def _follow_members(self) -> None:
        source = follower.TopicFollower(
            self._store, discovery.TOPIC, self.events, self._rng
        )
        async for record in source.records():
            self._learn(record)

    def _learn(self, record: store.KeyedRecord) -> None:
        """Tell the agents of another entry host."""
        for address in discovery.addresses([record]):
            if self._address_by_entry.get(record.key) != address:
                self._address_by_entry[record.key] = address
                self.events.record(
                    "entry.known", {"entry": record.key, "address": address}
                )
                known = tuple(self._address_by_entry.values())
                for link in self._link_by_agent.values():
                    link.send(assignments.EntryHosts(known))

    async def _register(self) -> None:
        """Write the own address to the store, once it can be reached."""
        while True:
            try:
                await self._store.put(
                    discovery.TOPIC,
                    self._settings.name,
                    discovery.encode(self._address),
                )
            except errors.LogUnavailableError as error:
                self.events.record("entry.not_registered", {"detail": str(error)})
                await asyncio.sleep(STORE_RETRY_S)
            else:
                self.events.record("entry.registered", {"address": self._address})
                return

    async def _deregister(self) -> None:
        try:
            await self._store.put(discovery.TOPIC, self._settings.name, b"")
        except errors.LogUnavailableError as error:
            self.events.record("entry.not_deregistered", {"detail": str(error)})
