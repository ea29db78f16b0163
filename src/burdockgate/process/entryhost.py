"""The daemon of an entry host for claimed jobs.

It connects the core of the entry host with callers over HTTP, and with agents and
other entry hosts over the network.
"""

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
LEAVE_GRACE_S = 0.2
# Time of two rounds of claims. The claim group and the owner must reply before it is
# known whether a job exists on another entry host, even for a caller that does not wait
# for the job to end.
MIN_LOOKUP_WAIT_S = 1.0
# Bounds a burst of cancels, so that heartbeats and results are handled in between.
MAX_CANCELS_PER_LOOP_PASS = 256
RESPONSE_MEASURE = "response"
PLOT_WIDTH = 72


class EntryHost(daemon.Daemon, web.EntryService):
    """Runs one entry host.

    :param config: the settings of the entry host.
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
        self._waiting_cancels: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )
        self._web: web.Server
        self.core: entry.EntryCore

    async def start(self) -> None:
        """Listen for nodes and callers, and follow the log streams."""
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
        self.background.keep_running(self.run_timers)
        self.background.keep_running(self.follow, views.STREAM, 0)
        self.background.keep_running(self.follow, table.STREAM, 0)
        self.background.keep_running(self._dial_seeds)
        self.log.info(
            "entry host started", address=self.address, http=self.http_address
        )

    @property
    def http_address(self) -> str:
        """The bound ``host:port`` for callers."""
        return self._web.address

    async def stop(self) -> None:
        """Refuse new jobs, finish those in progress, and send ``Leave``."""
        self.log.info("entry host draining", jobs=len(self.core.jobs))
        self.core.draining = True
        try:
            async with asyncio.timeout(self._config.timing.stop_timeout_s):
                while len(self.core.jobs):
                    await asyncio.sleep(DRAIN_POLL_S)
        except TimeoutError:
            self.log.warning("entry host stops with jobs", jobs=len(self.core.jobs))
        await self._web.stop(self._config.timing.stop_timeout_s)
        await self._append_removal()
        for name in list(self.network.connected_names):
            self.network.send(name, messages.Leave())
        await asyncio.sleep(LEAVE_GRACE_S)
        await self.close()
        self.log.info("entry host stopped")

    async def _append_removal(self) -> None:
        """Append the removal of this entry host from the view to the log."""
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
        """Dial the seeds until another entry host is known."""
        while not self.core.jobs.peer_by_name:
            for address in self._config.platform.seeds:
                if address != self.address:
                    self.network.dial(address)
            await asyncio.sleep(1.0)

    def hello(self) -> messages.Hello:
        """Return the message that opens each connection of this entry host."""
        node_settings = self._config.node
        return messages.Hello(
            messages.PROTOCOL,
            messages.Role.ENTRY,
            messages.Node(node_settings.name, self.boot, self.address),
            node_settings.region,
            node_settings.data_centre,
            node_settings.rack,
            service="",
            slots=0,
            cores=0.0,
            memory_mb=0,
            accelerators=0,
            draining=self.core.draining,
        )

    def log_state_changes(self) -> None:
        """Log the workers whose health has changed."""
        while self.core.health.changes:
            change = self.core.health.changes.popleft()
            fields = {"worker": change.worker, "reason": change.reason.value}
            if change.state is detectors.HealthState.EJECTED:
                self.log.warning("worker ejected", **fields, seconds=change.seconds)
            elif change.state is detectors.HealthState.PROBATION:
                self.log.info("worker on probation", **fields)
            else:
                self.log.info("worker readmitted", **fields)

    def handle_connect(self, hello: messages.Hello) -> None:
        """Log a connected node, and pass the event to the core."""
        self.log.info("node connected", node=hello.node.name, role=hello.role.name)
        self.perform(self.core.handle_connect(hello))

    def handle_disconnect(self, name: str) -> None:
        """Log a lost node, and pass the event to the core."""
        self.log.info("node lost", node=name)
        self.perform(self.core.handle_disconnect(name))

    def handle_message(self, name: str, message: messages.Message) -> None:
        """Pass a message to the core."""
        self.perform(self.core.receive(name, message))

    def perform_specific_effect(self, effect: effects.Effect) -> None:
        """Deliver an outcome to the caller that waits for it."""
        if isinstance(effect, effects.Answer):
            future = self._future_by_ticket.pop(effect.ticket, None)
            if future is not None and not future.done():
                future.set_result(effect.outcome)

    # Implementation of web.EntryService

    async def submit(self, request: job.JobRequest, wait: bool) -> outcome.Outcome:
        """Submit a job and return its outcome, or ``Pending``."""
        started_at = self.time.now()
        result = await self._wait_for_outcome(
            lambda ticket: self.core.submit(request, ticket), None if wait else 0.0
        )
        if isinstance(result, outcome.Complete):
            elapsed = self.time.now() - started_at
            self._histograms.record(RESPONSE_MEASURE, request.caller_class, elapsed)
        return result

    async def fetch(self, guest: str, key: str, wait_s: float) -> outcome.Outcome:
        """Return the outcome of an earlier submission, or ``Pending``."""
        job_id = job.job_id(guest, key)
        if not self.core.jobs.is_local(job_id):
            wait_s = max(wait_s, MIN_LOOKUP_WAIT_S)
        return await self._wait_for_outcome(
            lambda ticket: self.core.fetch(job_id, ticket), wait_s
        )

    async def cancel(self, guest: str, key: str) -> outcome.Outcome:
        """Cancel a job and return its outcome."""
        job_id = job.job_id(guest, key)
        await self._throttle_cancel()
        return await self._wait_for_outcome(
            lambda ticket: self.core.cancel(job_id, ticket), None
        )

    async def _throttle_cancel(self) -> None:
        """Wait until a pass of the event loop may handle one more cancel."""
        loop = asyncio.get_running_loop()
        waiter: asyncio.Future[None] = loop.create_future()
        self._waiting_cancels.append(waiter)
        if len(self._waiting_cancels) == 1:
            loop.call_soon(self._admit_cancels)
        await waiter

    def _admit_cancels(self) -> None:
        """Release the cancels for this pass, and schedule the rest for the next."""
        admitted = 0
        while self._waiting_cancels and admitted < MAX_CANCELS_PER_LOOP_PASS:
            waiter = self._waiting_cancels.popleft()
            if not waiter.done():
                waiter.set_result(None)
                admitted += 1
        if self._waiting_cancels:
            asyncio.get_running_loop().call_soon(self._admit_cancels)

    async def _wait_for_outcome(
        self,
        call_core: Callable[[int], Iterator[effects.Effect]],
        wait_s: float | None,
    ) -> outcome.Outcome:
        """Return the outcome that the core delivers, or ``Pending`` after a timeout.

        :param call_core: takes the ticket of the caller and returns the effects.
        :param wait_s: longest time to wait, in seconds; ``None`` for no limit.
        """
        ticket = next(self._tickets)
        future: asyncio.Future[outcome.Outcome]
        future = asyncio.get_running_loop().create_future()
        self._future_by_ticket[ticket] = future
        try:
            self.perform(call_core(ticket))
            async with asyncio.timeout(wait_s):
                return await future
        except TimeoutError:
            return outcome.Pending(0)
        finally:
            if self._future_by_ticket.pop(ticket, None) is not None:
                self.core.jobs.remove_caller(ticket)

    async def drain(self, worker: str, active: bool) -> bool:
        """Drain or resume a worker, and return whether it is known."""
        if worker not in self.core.workers.worker_by_name:
            return False
        self.perform(self.core.drain_worker(worker, active))
        return True

    def count_rejected(self) -> None:
        """Count a rejected HTTP request."""
        self.counters.count("http.rejected")

    def not_ready_reason(self) -> str:
        """Return why no job can be accepted, or an empty string."""
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
        """Return the state of this entry host as JSON-compatible values."""
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
        """Return the health fields of a worker.

        A healthy worker is reported as ``suspect`` while one more failure would eject
        it, and only the cap on ejections keeps it in use.
        """
        state = record.state.value
        if (
            record.state is detectors.HealthState.HEALTHY
            and self.core.health.is_suspect(record)
        ):
            state = "suspect"
        is_ejected = record.state is detectors.HealthState.EJECTED
        remaining_s = record.ejected_until - self.time.now() if is_ejected else 0.0
        return {
            "health": state,
            "health_reason": "" if state == "healthy" else record.reason.value,
            "ejected_s": round(max(0.0, remaining_s), 1) if is_ejected else None,
        }
