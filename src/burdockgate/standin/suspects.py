"""Compares detectors of bad workers in a simulation with virtual time.

Each run applies one detector, and one mode of sharing outcomes between entry hosts, to
the same seeded arrivals. Only the health monitor is the system's own; sockets, claims
and the division of slots are left out.
"""

from __future__ import annotations

import collections
import heapq
import itertools
import random
import statistics
import sys
import time
import tracemalloc
from collections.abc import Callable, Iterator

import attrs

from burdockgate import clock, messages, settings
from burdockgate.process import detectors, health, metrics
from burdockgate.standin import arrivals, scenarios

SERVICE = "sample"
SLOTS = 8
NODES_PER_RACK = 3
SLOW_FACTOR = 10.0
LOAD_S = 60.0
FAULT_AT_S = 10.0
DEADLINE_S = 20.0
POISONED_SHARE = 0.1
TICK_S = 0.25
# Agents report failures with the heartbeat, so entry hosts receive them within 0.8 s.
HEARTBEAT_S = 0.8
SHARING_MODES = ("own", "row", "every outcome")
SEEDS = (1, 2, 3)
FAULTS = (
    "none",
    "failing",
    "flaky",
    "rack",
    "slow",
    "silent",
    "jobs",
    "class",
    "every job",
)
FLAKY_FAILURE_SHARE = 0.5


class ConsecutiveFailureDetector(detectors.FailureDetector):
    """Counts failures in a row; a success resets the count."""

    @property
    def threshold(self) -> float:
        """Score at which a worker is ejected."""
        return float(self.failures_to_eject)

    def failure_weight(
        self, record: detectors.WorkerRecord, stats: detectors.OutcomeStatistics
    ) -> float:
        """Return what a failure adds to the score."""
        return 1.0

    def score_after_success(
        self, record: detectors.WorkerRecord, stats: detectors.OutcomeStatistics
    ) -> float:
        """Return the score after a success."""
        return 0.0


class SuccessRateDetector(detectors.FailureDetector):
    """Ejects a worker with a success rate 60 percentage points below the expected."""

    @property
    def threshold(self) -> float:
        """Score at which a worker is ejected."""
        return 1.0

    def failure_weight(
        self, record: detectors.WorkerRecord, stats: detectors.OutcomeStatistics
    ) -> float:
        """Return what a failure adds to the score."""
        return self._score(record, stats) - record.failure_score

    def score_after_success(
        self, record: detectors.WorkerRecord, stats: detectors.OutcomeStatistics
    ) -> float:
        """Return the score after a success."""
        return self._score(record, stats)

    def _score(
        self, record: detectors.WorkerRecord, stats: detectors.OutcomeStatistics
    ) -> float:
        return ((1.0 - stats.expected_failure_rate) - record.trust) / 0.6


DETECTOR_BY_NAME: dict[str, Callable[[int], detectors.FailureDetector]] = {
    "likelihood": detectors.LikelihoodDetector,
    "row": ConsecutiveFailureDetector,
    "rate": SuccessRateDetector,
}


@attrs.frozen
class Case:
    """Parameters of one run.

    :param fault: one of ``FAULTS``.
    :param detector: a key of ``DETECTOR_BY_NAME``.
    :param sharing: what an entry host receives of the outcomes at other hosts, one of
        ``SHARING_MODES``: nothing, the failed jobs in a row with the heartbeat, or each
        outcome within a heartbeat interval.
    :param entries: number of entry hosts.
    :param workers: number of workers.
    :param base_failure_rate: share of the tasks that fail on every worker.
    """

    fault: str
    detector: str = "likelihood"
    sharing: str = "row"
    entries: int = 3
    workers: int = 11
    seed: int = 1
    base_failure_rate: float = 0.0


@attrs.define
class Figures:
    """Results of one run.

    :param failed: jobs that failed because of a bad worker or passed their deadline.
    :param poisoned: jobs that failed on a good worker.
    :param good_ejected: ejections of good workers.
    :param bad_ejected: ejections of bad workers after the start of the fault.
    :param detection_delays_s: time from the fault until an entry host first ejected a
        bad worker, for each pair of entry host and bad worker that it ejected.
    :param max_ejected: largest number of workers ejected at one entry host.
    """

    jobs: int = 0
    failed: int = 0
    poisoned: int = 0
    good_ejected: int = 0
    bad_ejected: int = 0
    detection_delays_s: list[float] = attrs.field(factory=list)
    max_ejected: int = 0


@attrs.define(eq=False)
class _JobProgress:
    job: arrivals.Job
    id: bytes
    unfinished_tasks: int
    has_ended: bool = False
    worker_by_index: dict[int, int] = attrs.field(factory=dict)


@attrs.define(eq=False)
class _EntryHost:
    monitor: health.HealthMonitor
    records: list[detectors.WorkerRecord]
    queue: collections.deque[tuple[_JobProgress, int]] = attrs.field(
        factory=collections.deque
    )


class Bench:
    """Simulation of one case.

    :param case: parameters of the run.
    """

    def __init__(self, case: Case) -> None:
        self._case = case
        self._clock = clock.ManualClock()
        self._rng = random.Random(f"bench {case.seed}")
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._running_tasks = [0] * case.workers
        self._consecutive_failures = [0] * case.workers
        self._last_failed_job = [b""] * case.workers
        self._bad_workers = range(_bad_worker_count(case.fault))
        self._hosts = [self._make_host() for _ in range(case.entries)]
        self._detected: set[tuple[int, str]] = set()
        self.figures = Figures()

    def _make_host(self) -> _EntryHost:
        config = settings.HealthSettings()
        detector = DETECTOR_BY_NAME[self._case.detector](config.failures)
        counters = metrics.Metrics(settings.StatsdSettings())
        monitor = health.HealthMonitor(config, self._clock, counters, detector)
        return _EntryHost(
            monitor, [monitor.join(make_hello(i)) for i in range(self._case.workers)]
        )

    def run(self) -> Figures:
        """Run all arrivals and return the figures."""
        case = self._case
        shape = arrivals.Shape(
            case.workers * SLOTS,
            case.entries,
            (arrivals.Phase(LOAD_S, scenarios.STEADY_LOAD),),
        )
        for job in arrivals.plan(shape, case.seed):
            progress = _JobProgress(job, job.id, len(job.tasks))
            self._schedule(job.at, lambda progress=progress: self._submit(progress))  # type: ignore[misc]
        self._schedule(TICK_S, self._tick)
        if case.sharing == "row":
            self._schedule(HEARTBEAT_S, self._send_heartbeats)
        while self._events and self._events[0][0] < LOAD_S + DEADLINE_S:
            at, _, action = heapq.heappop(self._events)
            self._clock.advance(at - self._clock.now())
            action()
        return self.figures

    def _schedule(self, at: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._order), action))

    def _tick(self) -> None:
        now = self._clock.now()
        for number, host in enumerate(self._hosts):
            host.monitor.tick()
            self._count_ejections(number, host, now)
            self._dispatch(host)
        if now < LOAD_S + DEADLINE_S:
            self._schedule(now + TICK_S, self._tick)

    def _send_heartbeats(self) -> None:
        for host in self._hosts:
            for record, failures in zip(
                host.records, self._consecutive_failures, strict=True
            ):
                host.monitor.record_reported_failures(record, failures)
        self._schedule(self._clock.now() + HEARTBEAT_S, self._send_heartbeats)

    def _count_ejections(self, number: int, host: _EntryHost, now: float) -> None:
        while host.monitor.changes:
            change = host.monitor.changes.popleft()
            if change.state is not detectors.HealthState.EJECTED:
                continue
            is_bad = int(change.worker) in self._bad_workers and now >= FAULT_AT_S
            self.figures.bad_ejected += is_bad
            self.figures.good_ejected += not is_bad
            if is_bad and (number, change.worker) not in self._detected:
                self._detected.add((number, change.worker))
                self.figures.detection_delays_s.append(now - FAULT_AT_S)
        ejected = sum(
            record.state is detectors.HealthState.EJECTED for record in host.records
        )
        self.figures.max_ejected = max(self.figures.max_ejected, ejected)

    def _submit(self, progress: _JobProgress) -> None:
        self.figures.jobs += 1
        host = self._hosts[progress.job.entry]
        host.queue.extend(
            (progress, index) for index in range(progress.unfinished_tasks)
        )
        deadline = self._clock.now() + DEADLINE_S
        self._schedule(
            deadline, lambda: self._fail_job(host, progress, is_worker_bad=True)
        )
        self._dispatch(host)

    def _dispatch(self, host: _EntryHost) -> None:
        while host.queue:
            progress, index = host.queue[0]
            if not progress.has_ended:
                worker = self._choose_worker(host)
                if worker is None:
                    return
                self._start_task(host, progress, index, worker)
            host.queue.popleft()

    def _choose_worker(self, host: _EntryHost) -> int | None:
        free = [
            number
            for number, record in enumerate(host.records)
            if record.allowance > 0 and self._running_tasks[number] < SLOTS
        ]
        if not free:
            return None
        for number in free:
            if host.records[number].state is detectors.HealthState.PROBATION:
                return number
        return min(
            self._rng.sample(free, min(2, len(free))),
            key=self._running_tasks.__getitem__,
        )

    def _start_task(
        self, host: _EntryHost, progress: _JobProgress, index: int, worker: int
    ) -> None:
        self._running_tasks[worker] += 1
        progress.worker_by_index[index] = worker
        record = host.records[worker]
        host.monitor.record_sent(record, progress.job.caller_class, progress.id, index)
        state, run_s = self._draw_outcome(progress, index, worker)
        if run_s is not None:
            end = self._clock.now() + run_s
            self._schedule(
                end, lambda: self._end_task(host, progress, index, state, run_s)
            )

    def _draw_outcome(
        self, progress: _JobProgress, index: int, worker: int
    ) -> tuple[messages.TaskState, float | None]:
        run_s: float | None = progress.job.tasks[index].run_ms / 1000
        fault = self._case.fault if self._clock.now() >= FAULT_AT_S else "none"
        failed, done = messages.TaskState.FAILED, messages.TaskState.DONE
        if (
            self._is_poisoned(progress, fault)
            or self._rng.random() < self._case.base_failure_rate
        ):
            return failed, run_s
        if worker not in self._bad_workers or fault == "none":
            return done, run_s
        if fault == "flaky":
            return (failed if self._rng.random() < FLAKY_FAILURE_SHARE else done), run_s
        if fault == "slow":
            assert run_s is not None
            return done, run_s * SLOW_FACTOR
        if fault == "silent":
            return done, None
        # A worker that fails tasks at once has free slots and so attracts more tasks.
        return failed, 0.005

    def _is_poisoned(self, progress: _JobProgress, fault: str) -> bool:
        if fault == "class":
            return progress.job.caller_class == arrivals.CLASSES[0]
        if fault == "every job":
            return True
        return fault == "jobs" and progress.id[0] < 256 * POISONED_SHARE

    def _end_task(
        self,
        host: _EntryHost,
        progress: _JobProgress,
        index: int,
        state: messages.TaskState,
        run_s: float,
    ) -> None:
        if index not in progress.worker_by_index:
            return
        worker = self._record_end(host, progress, index, state, run_s)
        progress.unfinished_tasks -= 1
        if state is messages.TaskState.FAILED:
            self._fail_job(host, progress, is_worker_bad=worker in self._bad_workers)
        elif progress.unfinished_tasks == 0:
            progress.has_ended = True
        self._dispatch(host)

    def _record_end(
        self,
        host: _EntryHost,
        progress: _JobProgress,
        index: int,
        state: messages.TaskState,
        run_s: float,
    ) -> int:
        worker = progress.worker_by_index.pop(index)
        self._running_tasks[worker] -= 1
        report = messages.TaskReport(index, 1, state, b"", run_s * 1000)
        message = messages.Results(progress.id, 1, 1, 1, 0, 0, (report,))
        host.monitor.record_results(message)
        if state is messages.TaskState.DONE:
            self._consecutive_failures[worker], self._last_failed_job[worker] = 0, b""
        elif (
            state is messages.TaskState.FAILED
            and progress.id != self._last_failed_job[worker]
        ):
            self._consecutive_failures[worker] += 1
            self._last_failed_job[worker] = progress.id
        if (
            self._case.sharing == "every outcome"
            and state is not messages.TaskState.STOPPED
        ):
            others = [other for other in self._hosts if other is not host]
            at = self._clock.now() + self._rng.uniform(0, HEARTBEAT_S)
            self._schedule(
                at, lambda: self._share_outcome(others, worker, progress, message)
            )
        return worker

    def _share_outcome(
        self,
        hosts: list[_EntryHost],
        worker: int,
        progress: _JobProgress,
        message: messages.Results,
    ) -> None:
        index = message.reports[0].index
        for host in hosts:
            record = host.records[worker]
            host.monitor.record_sent(
                record, progress.job.caller_class, progress.id, index
            )
            host.monitor.record_results(message)

    def _fail_job(
        self, host: _EntryHost, progress: _JobProgress, is_worker_bad: bool
    ) -> None:
        if progress.has_ended:
            return
        progress.has_ended = True
        self.figures.failed += is_worker_bad
        self.figures.poisoned += not is_worker_bad
        for index in list(progress.worker_by_index):
            self._record_end(host, progress, index, messages.TaskState.STOPPED, 0.0)


def _bad_worker_count(fault: str) -> int:
    if fault in ("none", "jobs", "class", "every job"):
        return 0
    return NODES_PER_RACK if fault == "rack" else 1


def make_hello(number: int) -> messages.Hello:
    """Return the hello message of a worker.

    :param number: number of the worker, which is also its name.
    """
    return messages.Hello(
        messages.PROTOCOL,
        messages.Role.AGENT,
        messages.Node(str(number), 1, "127.0.0.1:1"),
        "r",
        "d",
        "k",
        SERVICE,
        SLOTS,
        1.0,
        1,
        0,
        draining=False,
    )


def measure_cost(workers: int, outcomes: int = 200_000) -> tuple[float, float]:
    """Return the memory per worker in bytes and the time per outcome in seconds.

    The time covers a sent task and its outcome.

    :param workers: number of workers.
    :param outcomes: number of outcomes; one in a hundred is a failure.
    """
    hellos = [make_hello(number) for number in range(workers)]
    manual_clock = clock.ManualClock()
    counters = metrics.Metrics(settings.StatsdSettings())
    tracemalloc.start()
    monitor = health.HealthMonitor(settings.HealthSettings(), manual_clock, counters)
    records = [monitor.join(each) for each in hellos]
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    states = (messages.TaskState.FAILED, messages.TaskState.DONE)
    results = [
        messages.Results(
            number.to_bytes(16, "big"),
            1,
            1,
            1,
            0,
            0,
            (messages.TaskReport(0, 1, states[number % 100 > 0], b"", 100.0),),
        )
        for number in range(outcomes)
    ]
    begin = time.process_time()
    for number, message in enumerate(results):
        monitor.record_sent(records[number % workers], "default", message.job, 0)
        monitor.record_results(message)
    return size / workers, (time.process_time() - begin) / outcomes


def format_rows(cases: list[Case]) -> Iterator[str]:
    """Yield a table row for each case, over all seeds.

    :param cases: parameters of the runs; their seeds are replaced.
    """
    for case in cases:
        runs = [Bench(attrs.evolve(case, seed=seed)).run() for seed in SEEDS]
        delays_s = [item for run in runs for item in run.detection_delays_s]
        expected = _bad_worker_count(case.fault) * case.entries * len(SEEDS)
        yield " | ".join(
            (
                f"| {case.fault}, {case.workers} workers, {case.entries} hosts"
                + (
                    f", base {case.base_failure_rate:g}"
                    if case.base_failure_rate
                    else ""
                ),
                f"{case.detector}, {case.sharing}",
                _format_range([run.failed for run in runs]),
                _format_range([run.poisoned for run in runs]),
                _format_range([run.good_ejected for run in runs]),
                f"{len(delays_s)} of {expected}",
                f"{statistics.median(delays_s):.2f} / {max(delays_s):.2f}"
                if delays_s
                else "-",
                f"{max(run.max_ejected for run in runs)} |",
            )
        )


def _format_range(values: list[int]) -> str:
    return f"{min(values)} / {statistics.median(values):g} / {max(values)}"


def main() -> int:
    """Print the tables of ``docs/policy.md``."""
    detector_cases = [
        Case(fault, name) for fault in FAULTS for name in DETECTOR_BY_NAME
    ]
    detector_cases += [
        Case("none", name, base_failure_rate=rate)
        for rate in (0.05, 0.2)
        for name in DETECTOR_BY_NAME
    ]
    sharing_cases = [
        Case(fault, sharing=mode, entries=entries)
        for fault in ("failing", "rack", "jobs", "every job")
        for entries in (3, 16)
        for mode in SHARING_MODES
    ]
    for title, cases in (("detectors", detector_cases), ("ways", sharing_cases)):
        print(title)
        for row in format_rows(cases):
            print(row, flush=True)
    for workers in (11, 10_000):
        size, seconds = measure_cost(workers)
        print(f"{workers} workers: {size:.0f} bytes each, {seconds * 1e6:.2f} us")
    return 0


if __name__ == "__main__":
    sys.exit(main())
