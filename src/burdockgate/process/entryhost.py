"""The entry host's daemon: callers on one side, agents on the other."""

from __future__ import annotations

import asyncio
import collections
import itertools
import random
from collections.abc import Callable, Iterator

import attrs

from burdockgate import effects, messages, settings
from burdockgate.process import daemon, detectors, entry, histograms, placement, web
from burdockgate.request import job, outcome
from burdockgate.version import table
from burdockgate.version import view as views

DRAIN_POLL_S = 0.05
DRAIN_GRACE_S = 0.2
# Two rounds of claims: the claim group and the owner are asked before it is known
# whether a job exists elsewhere, also for a caller that does not wait for its end.
LOOKUP_S = 1.0
# A wave of cancels must not keep the loop from heartbeats and results.
CANCELS_PER_PASS = 256
RESPONSE_MEASURE = "response"
PLOT_WIDTH = 72


class EntryHost(daemon.Daemon, web.EntryService):
    """Runs one entry host.

    :param config: its settings.
    :param rng: the source of random numbers.
    :param policy: name of the placement policy.
    """

    def __init__(
        self,
        config: settings.EntrySettings,
        rng: random.Random | None = None,
        policy: str = placement.DEFAULT,
    ) -> None:
        super().__init__(
            config.node, config.platform, config.timing, config.statsd, rng
        )
        self._config = config
        self._policy = policy
        self._histograms = histograms.Histograms()
        self._future_by_ticket: dict[int, asyncio.Future[outcome.Outcome]] = {}
        self._tickets = itertools.count(1)
        self._turns: collections.deque[asyncio.Future[None]] = collections.deque()
        self._web: web.Server
        self.core: entry.EntryCore

    async def start(self) -> None:
        """Listen for nodes and callers, and follow the log."""
        self.address = await self.network.bind(self._config.node.listen)
        node = messages.Node(self._config.node.name, self.boot, self.address)
        self.core = entry.EntryCore(
            node, self._config, self.time, self.rng, self.counters, self._policy
        )
        await self.network.serve()
        limits = self._config.limits
        application = web.create_application(
            self,
            job.Limits(
                limits.body_bytes,
                limits.max_tasks,
                limits.default_deadline_s,
                limits.max_deadline_s,
            ),
        )
        host, _, port = self._config.http.rpartition(":")
        self._web = web.Server(application, host, int(port))
        await self._web.start()
        self.spawn(self.run_timers())
        self.spawn(self.follow(views.STREAM, 0))
        self.spawn(self.follow(table.STREAM, 0))
        self.spawn(self._dial_seeds())
        self.log.info(
            "entry host started", address=self.address, http=self.http_address
        )

    @property
    def http_address(self) -> str:
        """The bound ``host:port`` for callers."""
        return self._web.address

    async def stop(self) -> None:
        """Refuse new jobs, finish those in progress, and leave."""
        self.log.info("entry host draining", jobs=len(self.core.jobs))
        self.core.draining = True
        try:
            async with asyncio.timeout(self._config.timing.stop_timeout_s):
                while len(self.core.jobs):
                    await asyncio.sleep(DRAIN_POLL_S)
        except TimeoutError:
            self.log.warning("entry host stops with jobs", jobs=len(self.core.jobs))
        await self._web.stop(self._config.timing.stop_timeout_s)
        await self._append_leave()
        for name in list(self.network.names):
            self.network.send(name, messages.Leave())
        await asyncio.sleep(DRAIN_GRACE_S)
        await self.close()
        self.log.info("entry host stopped")

    async def _append_leave(self) -> None:
        change = views.Change.GONE
        value = views.removal_record(change, self.core.node)
        record_id = f"{change}-{self.core.node.name}-{self.boot}-stop"
        append = effects.Append(views.STREAM, record_id, value)
        try:
            async with asyncio.timeout(1.0):
                await self._append(append)
        except TimeoutError:
            self.counters.count("log.errors")

    async def _dial_seeds(self) -> None:
        """Connect to the seeds until an entry host has been found."""
        while not self.core.jobs.peer_by_name:
            for address in self._config.platform.seeds:
                if address != self.address:
                    self.network.dial(address)
            await asyncio.sleep(1.0)

    def hello(self) -> messages.Hello:
        """Return the announcement of this entry host."""
        place = self._config.node
        return messages.Hello(
            messages.PROTOCOL,
            messages.Role.ENTRY,
            messages.Node(place.name, self.boot, self.address),
            place.region,
            place.data_centre,
            place.rack,
            service="",
            slots=0,
            cores=0.0,
            memory_mb=0,
            accelerators=0,
            draining=self.core.draining,
        )

    def report(self) -> None:
        """Log the workers whose health has changed."""
        while self.core.health.changes:
            change = self.core.health.changes.popleft()
            facts = {"worker": change.worker, "reason": change.reason.value}
            if change.state is detectors.HealthState.EJECTED:
                self.log.warning("worker ejected", **facts, seconds=change.seconds)
            elif change.state is detectors.HealthState.PROBATION:
                self.log.info("worker on probation", **facts)
            else:
                self.log.info("worker readmitted", **facts)

    def handle_connect(self, hello: messages.Hello) -> None:
        """Tell the core about a node."""
        self.log.info("node connected", node=hello.node.name, role=hello.role.name)
        self.perform(self.core.handle_connect(hello))

    def handle_disconnect(self, name: str) -> None:
        """Tell the core about the loss of a node."""
        self.log.info("node lost", node=name)
        self.perform(self.core.handle_disconnect(name))

    def handle_message(self, name: str, message: messages.Message) -> None:
        """Hand a message to the core."""
        self.perform(self.core.receive(name, message))

    def perform_own(self, effect: effects.Effect) -> None:
        """Answer a caller."""
        if isinstance(effect, effects.Answer):
            waiting = self._future_by_ticket.pop(effect.ticket, None)
            if waiting is not None and not waiting.done():
                waiting.set_result(effect.outcome)

    # The callers' interface

    async def submit(self, request: job.JobRequest, wait: bool) -> outcome.Outcome:
        """Take a job and return its outcome, or that it is pending."""
        started_at = self.time.now()
        result = await self._ask(
            lambda ticket: self.core.submit(request, ticket), None if wait else 0.0
        )
        if isinstance(result, outcome.Complete):
            elapsed = self.time.now() - started_at
            self._histograms.record(RESPONSE_MEASURE, request.caller_class, elapsed)
        return result

    async def fetch(self, guest: str, key: str, wait_s: float) -> outcome.Outcome:
        """Return the outcome of a job submitted before, or that it is pending."""
        job_id = job.job_id(guest, key)
        if not self.core.jobs.is_local(job_id):
            wait_s = max(wait_s, LOOKUP_S)
        return await self._ask(lambda ticket: self.core.fetch(job_id, ticket), wait_s)

    async def cancel(self, guest: str, key: str) -> outcome.Outcome:
        """Cancel a job and return its outcome."""
        job_id = job.job_id(guest, key)
        await self._take_turn()
        return await self._ask(lambda ticket: self.core.cancel(job_id, ticket), None)

    async def _take_turn(self) -> None:
        """Wait while this pass of the loop has had its share of cancels."""
        loop = asyncio.get_running_loop()
        turn: asyncio.Future[None] = loop.create_future()
        self._turns.append(turn)
        if len(self._turns) == 1:
            loop.call_soon(self._give_turns)
        await turn

    def _give_turns(self) -> None:
        given = 0
        while self._turns and given < CANCELS_PER_PASS:
            turn = self._turns.popleft()
            if not turn.done():
                turn.set_result(None)
                given += 1
        if self._turns:
            asyncio.get_running_loop().call_soon(self._give_turns)

    async def _ask(
        self,
        ask: Callable[[int], Iterator[effects.Effect]],
        wait_s: float | None,
    ) -> outcome.Outcome:
        ticket = next(self._tickets)
        waiting: asyncio.Future[outcome.Outcome]
        waiting = asyncio.get_running_loop().create_future()
        self._future_by_ticket[ticket] = waiting
        try:
            self.perform(ask(ticket))
            async with asyncio.timeout(wait_s):
                return await waiting
        except TimeoutError:
            return outcome.Pending(0)
        finally:
            if self._future_by_ticket.pop(ticket, None) is not None:
                self.core.jobs.remove_caller(ticket)

    async def drain(self, worker: str, active: bool) -> bool:
        """Drain or resume a worker."""
        if worker not in self.core.workers.worker_by_name:
            return False
        self.perform(self.core.drain_worker(worker, active))
        return True

    def count_rejected(self) -> None:
        """Count a rejected HTTP request."""
        self.counters.count("http.rejected")

    def not_ready_reason(self) -> str:
        """Return why no job can be taken, or an empty string."""
        if self.core.draining:
            return "stopping"
        if not self.core.view.voter_by_name:
            return "no membership view: the log has not been read"
        if not self.core.has_current_table:
            return (
                "the table may be older than one in force: the log has not been read "
                "to its end, and no majority of the entry hosts has told its version"
            )
        if not any(self.core.workers.worker_by_name):
            return "no worker is connected"
        return ""

    def status(self) -> dict[str, object]:
        """Return this entry host's state, ready for JSON."""
        reason = self.not_ready_reason()
        return {
            "name": self.core.node.name,
            "boot": self.boot,
            "ready": not reason,
            "not_ready_reason": reason,
            "table_version": self.core.table_replica.version,
            "table_version_by_entry": self.core.table_version_by_entry,
            "view_number": self.core.view.number,
            "voters": sorted(self.core.view.voter_by_name),
            "peers": sorted(self.core.jobs.peer_by_name),
            "workers": [self._worker_status(name) for name in self._worker_names()],
            "backlog_tasks": self.core.backlog_tasks,
            "backlog_bytes": self.core.jobs.body_bytes,
            "jobs_in_progress": len(self.core.jobs),
            "counters": self.counters.snapshot(),
            "histograms": [
                {**attrs.asdict(item), "plot": histograms.plot(item, PLOT_WIDTH)}
                for item in self._histograms.summary()
            ],
        }

    def _worker_names(self) -> list[str]:
        return sorted(self.core.workers.worker_by_name)

    def _worker_status(self, name: str) -> dict[str, object]:
        worker = self.core.workers.worker_by_name[name]
        return {
            "name": name,
            "data_centre": worker.hello.data_centre,
            "rack": worker.hello.rack,
            "service": worker.hello.service,
            "slots": worker.hello.slots,
            "free": worker.free_slots,
            "running": worker.running,
            "draining": worker.draining,
            **self._health_status(worker.record),
            "table_version": worker.table_version,
            "lapsed": self.core.workers.has_lapsed(worker),
            "age_s": round(self.time.now() - worker.last_message_at, 3),
        }

    def _health_status(self, record: detectors.WorkerRecord) -> dict[str, object]:
        """Return the state of a worker; ``suspect`` is one in use at the cap."""
        state = record.state.value
        if (
            record.state is detectors.HealthState.HEALTHY
            and self.core.health.is_suspect(record)
        ):
            state = "suspect"
        is_ejected = record.state is detectors.HealthState.EJECTED
        left_s = record.ejected_until - self.time.now() if is_ejected else 0.0
        return {
            "health": state,
            "health_reason": "" if state == "healthy" else record.reason.value,
            "ejected_s": round(max(0.0, left_s), 1) if is_ejected else None,
        }
