"""Load generator: submits the planned jobs to a system and records the answers.

The load is open-loop: a job is submitted at its planned time whether or not earlier
ones were answered. Waiting times count from the planned time, so that the delays of a
slow system or of a slow load generator are part of the measurement.
"""

from __future__ import annotations

import asyncio
import contextlib
import signal
import time
from collections.abc import Coroutine, Iterator, Sequence
from http import HTTPStatus
from typing import Any

import attrs

from burdockgate import errors
from burdockgate.standin import arrivals, caller, fleet, rollout, scenarios, targets

# Answers that take longer after the planned arrivals are not waited for.
ANSWER_TIMEOUT_S = 60.0
WARM_UP_TASK_MS = 20.0
START_DELAY_S = 0.1


@attrs.frozen
class Config:
    """Configuration of a run.

    :param seconds: length of the run; see :meth:`scenarios.Scenario.phases`.
    :param urls: base URLs of the entry hosts of a running system; empty to start one.
    :param has_processes: whether each role and each stand-in runs in its own process.
    """

    scenario: scenarios.Scenario
    seed: int = 1
    seconds: float = 10.0
    size: targets.Size = attrs.field(factory=targets.Size)
    urls: tuple[str, ...] = ()
    has_processes: bool = False

    @property
    def arrivals_s(self) -> float:
        """Length of the planned arrivals, in seconds."""
        return sum(phase.seconds for phase in self.scenario.phases(self.seconds))


@attrs.define
class Record:
    """The answers to one job; times are in seconds after the start of the run.

    :param body: the answer; empty until it arrives.
    :param cancel_body: the answer to the cancellation.
    """

    job: arrivals.Job
    sent_at: float | None = None
    answered_at: float | None = None
    body: bytes = b""
    cancelled_at: float | None = None
    cancel_body: bytes = b""


@attrs.frozen
class Run:
    """A finished run.

    :param started_at: start of the run by the monotonic clock, in seconds.
    :param seconds: time from the start to the last answer.
    :param window_s: time from the start to the end of the planned arrivals.
    :param before: totals at the start.
    :param after: totals at the end of the planned arrivals.
    :param starts: task starts of the planned jobs; ``None`` when unknown.
    :param fault_at: time of the fault, in seconds after the start.
    :param worker: the worker that the faults affect.
    :param changes: the changes of the table; ``None`` for a run without changes.
    """

    config: Config
    slots: int
    agents: int
    started_at: float
    seconds: float
    window_s: float
    records: list[Record]
    before: targets.Totals | None
    after: targets.Totals | None
    starts: list[targets.Start] | None
    fault_at: float | None
    worker: str
    changes: rollout.Rollout | None = None


async def run(config: Config, is_base: bool = False) -> Run:
    """Start the system, submit the planned jobs and stop the system.

    :param config: configuration of the run.
    :param is_base: whether to leave out the stragglers.
    """
    target = _create_target(config)
    if config.has_processes:
        # Without a handler, SIGTERM would leave the child processes running.
        task, loop = asyncio.current_task(), asyncio.get_running_loop()
        assert task is not None
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        await target.start()
        shape = config.scenario.shape(
            target.slots, len(target.urls), config.seconds, is_base
        )
        plan = config.scenario.plan(shape, config.seconds, config.seed)
        return await _LoadDriver(config, target, plan).run()
    except asyncio.CancelledError:
        raise errors.BurdockgateError("the run was stopped by a signal") from None
    finally:
        await target.stop()


def _create_target(config: Config) -> targets.Target:
    if config.urls:
        return targets.RemoteTarget(config.urls)
    if config.has_processes:
        return fleet.FleetTarget(config.size)
    return targets.LocalTarget(config.size, config.seed)


class _LoadDriver:
    """Submits the jobs and injects the faults at their planned times."""

    def __init__(
        self, config: Config, target: targets.Target, plan: Sequence[arrivals.Job]
    ) -> None:
        self._config = config
        self._target = target
        self._records = [Record(job) for job in plan]
        self._started_at = 0.0
        self._fault_at: float | None = None
        self._all_answered = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._changes = (
            rollout.Rollout(target.urls, target.log_url)
            if config.scenario.has_changes
            else None
        )
        self._caller = caller.Caller()

    def _now(self) -> float:
        return time.monotonic() - self._started_at

    async def run(self) -> Run:
        """Submit the planned jobs and wait for the answers."""
        with contextlib.closing(self._caller):
            await self._warm_up()
            await asyncio.sleep(self._target.totals_delay_s)
            before = self._target.read_totals()
            # Leaves time to create the tasks and encode the bodies before the first
            # arrival.
            self._started_at = time.monotonic() + START_DELAY_S
            fault = asyncio.create_task(self._inject_fault())
            rollout_tasks = [
                asyncio.create_task(item) for item in self._rollout_coroutines()
            ]
            try:
                await self._send_all()
                # After the last arrival there are few tasks and many heartbeats, so
                # the costs exclude this time.
                end = self._config.arrivals_s + self._target.totals_delay_s
                await asyncio.sleep(max(0.0, end - self._now()))
                window_s, after = self._now(), self._target.read_totals()
                if self._tasks:
                    await asyncio.wait(self._tasks, timeout=ANSWER_TIMEOUT_S)
                if self._changes is not None:
                    await self._changes.wait_until_in_force()
                seconds = self._now()
                self._all_answered.set()
                if self._config.scenario.fault is scenarios.Fault.DRAIN:
                    await fault
            finally:
                await _cancel_tasks([fault, *rollout_tasks, *self._tasks])
        for task in (fault, *rollout_tasks):
            if not task.cancelled():
                task.result()
        starts = await self._target.read_starts()
        return self._build_run(seconds, window_s, before, after, starts)

    async def _warm_up(self) -> None:
        """Run one job on each entry host, which opens the connections of the run."""
        task = arrivals.Task(WARM_UP_TASK_MS, WARM_UP_TASK_MS)
        per_entry = max(1, self._target.slots // len(self._target.urls))
        jobs = [
            arrivals.Job(
                0.0,
                "warm-up",
                f"warm-up-{self._config.seed}-{index}-{time.monotonic_ns()}",
                arrivals.CLASSES[0],
                index,
                (task,) * per_entry,
            )
            for index in range(len(self._target.urls))
        ]
        replies = await asyncio.gather(*(self._post(job) for job in jobs))
        for reply in replies:
            if reply.status != HTTPStatus.OK:
                text = reply.content.decode(errors="replace")
                raise errors.ClientError(f"warm-up: {text:.200}")

    async def _send_all(self) -> None:
        bodies = [item.job.body(self._target.service) for item in self._records]
        for record, body in zip(self._records, bodies, strict=True):
            delay = record.job.at - self._now()
            if delay > 0:
                await asyncio.sleep(delay)
            self._create_task(self._submit(record, body))
            if record.job.cancel_at is not None:
                self._create_task(self._cancel(record, record.job.cancel_at))

    def _create_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.create_task(coroutine))

    async def _submit(self, record: Record, body: bytes) -> None:
        record.sent_at = self._now()
        with contextlib.suppress(errors.ClientError):
            reply = await self._post(record.job, body)
            record.body = reply.content
            record.answered_at = self._now()

    async def _post(self, job: arrivals.Job, body: bytes | None = None) -> caller.Reply:
        return await self._caller.call(
            "POST",
            f"{self._target.urls[job.entry]}/v1/jobs",
            body or job.body(self._target.service),
            job.key,
        )

    async def _cancel(self, record: Record, at: float) -> None:
        await asyncio.sleep(max(0.0, at - self._now()))
        job = record.job
        url = f"{self._target.urls[job.entry]}/v1/jobs/{job.guest}/{job.key}"
        with contextlib.suppress(errors.ClientError):
            reply = await self._caller.call("DELETE", url)
            record.cancel_body = reply.content
            record.cancelled_at = self._now()

    async def _inject_fault(self) -> None:
        scenario, seconds = self._config.scenario, self._config.seconds
        if scenario.fault is scenarios.Fault.NONE:
            return
        await asyncio.sleep(scenario.fault_from * seconds + START_DELAY_S)
        requested_at = self._now()
        await self._target.set_fault(scenario.fault, is_on=True)
        # The time of a drain is that of the response to the operator.
        is_drain = scenario.fault is scenarios.Fault.DRAIN
        self._fault_at = self._now() if is_drain else requested_at
        if is_drain:
            # A worker that is resumed during the run would get new tasks.
            await self._all_answered.wait()
        await asyncio.sleep(max(0.0, scenario.fault_to * seconds - self._now()))
        if self._changes is not None:
            self._changes.outage_ended_at = time.monotonic()
        await self._target.set_fault(scenario.fault, is_on=False)

    def _rollout_coroutines(self) -> Iterator[Coroutine[Any, Any, None]]:
        if self._changes is not None:
            yield self._changes.watch_versions()
            yield self._changes.set_rows(self._started_at + self._config.seconds)

    def _build_run(
        self,
        seconds: float,
        window_s: float,
        before: targets.Totals | None,
        after: targets.Totals | None,
        starts: list[targets.Start] | None,
    ) -> Run:
        if starts is not None:
            planned = {record.job.id for record in self._records}
            starts = [start for start in starts if start.job in planned]
        return Run(
            self._config,
            self._target.slots,
            self._target.agents,
            self._started_at,
            seconds,
            window_s,
            self._records,
            before,
            after,
            starts,
            self._fault_at,
            self._target.worker,
            self._changes,
        )


async def _cancel_tasks(tasks: Sequence[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
