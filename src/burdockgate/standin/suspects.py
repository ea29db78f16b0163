"""Bench that weighs ways to find bad workers, in virtual time.

Each run gives the same seeded arrivals to one detector and to one way in which the
entry hosts learn of outcomes. Only the judgement is the system's own; sockets, claims
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
SECONDS = 60.0
FAULT_AT_S = 10.0
DEADLINE_S = 20.0
POISONED_SHARE = 0.1
TICK_S = 0.25
# Agents report with the heartbeat, so that what they carry comes within 0.8 s.
HEARTBEAT_S = 0.8
WAYS = ("own", "row", "every outcome")
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
FLAKY_SHARE = 0.5


class Row(detectors.FailureDetector):
    """Failures in a row; a success begins anew."""

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


class Rate(detectors.FailureDetector):
    """Success rate against that of the class: a worker 60% below it is ejected."""

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
    "row": Row,
    "rate": Rate,
}


@attrs.frozen
class Case:
    """What is run.

    :param fault: one of ``FAULTS``.
    :param way: how an entry host learns of outcomes of others, one of ``WAYS``:
        never; failed jobs in a row with the heartbeat; each one with the heartbeat.
    :param base_rate: share of the tasks that fail on every worker.
    """

    fault: str
    detector: str = "likelihood"
    way: str = "row"
    entries: int = 3
    workers: int = 11
    seed: int = 1
    base_rate: float = 0.0


@attrs.define
class Figures:
    """What one run gave.

    :param failed: jobs that failed by a bad worker.
    :param poisoned: jobs that would have failed on any worker.
    :param good_ejected: ejections of good workers.
    :param found_s: time from the fault until an entry host ejected a bad worker, for
        each entry host and bad worker that it found.
    """

    jobs: int = 0
    failed: int = 0
    poisoned: int = 0
    good_ejected: int = 0
    bad_ejected: int = 0
    detection_delays_s: list[float] = attrs.field(factory=list)
    max_ejected: int = 0


@attrs.define(eq=False)
class _Job:
    job: arrivals.Job
    id: bytes
    left: int
    has_ended: bool = False
    running: dict[int, int] = attrs.field(factory=dict)


@attrs.define(eq=False)
class _Host:
    judge: health.HealthMonitor
    records: list[detectors.WorkerRecord]
    queue: collections.deque[tuple[_Job, int]] = attrs.field(factory=collections.deque)


class Bench:
    """One run.

    :param case: what to run.
    """

    def __init__(self, case: Case) -> None:
        self._case = case
        self._clock = clock.ManualClock()
        self._rng = random.Random(f"bench {case.seed}")
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._running = [0] * case.workers
        self._row = [0] * case.workers
        self._failed_job = [b""] * case.workers
        self._bad = range(_bad_workers(case.fault))
        self._hosts = [self._host() for _ in range(case.entries)]
        self._found: set[tuple[int, str]] = set()
        self.figures = Figures()

    def _host(self) -> _Host:
        config = settings.HealthSettings()
        detector = DETECTOR_BY_NAME[self._case.detector](config.failures)
        counters = metrics.Metrics(settings.StatsdSettings())
        judge = health.HealthMonitor(config, self._clock, counters, detector)
        return _Host(judge, [judge.join(hello(i)) for i in range(self._case.workers)])

    def run(self) -> Figures:
        """Run all arrivals and return the figures."""
        case = self._case
        shape = arrivals.Shape(
            case.workers * SLOTS,
            case.entries,
            (arrivals.Phase(SECONDS, scenarios.LOAD),),
        )
        for job in arrivals.plan(shape, case.seed):
            held = _Job(job, job.id, len(job.tasks))
            self._later(job.at, lambda held=held: self._arrive(held))  # type: ignore[misc]
        self._later(TICK_S, self._tick)
        if case.way == "row":
            self._later(HEARTBEAT_S, self._beat)
        while self._events and self._events[0][0] < SECONDS + DEADLINE_S:
            at, _, action = heapq.heappop(self._events)
            self._clock.advance(at - self._clock.now())
            action()
        return self.figures

    def _later(self, at: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._order), action))

    def _tick(self) -> None:
        now = self._clock.now()
        for number, host in enumerate(self._hosts):
            host.judge.tick()
            self._read_changes(number, host, now)
            self._dispatch(host)
        if now < SECONDS + DEADLINE_S:
            self._later(now + TICK_S, self._tick)

    def _beat(self) -> None:
        for host in self._hosts:
            for record, row in zip(host.records, self._row, strict=True):
                host.judge.record_reported_failures(record, row)
        self._later(self._clock.now() + HEARTBEAT_S, self._beat)

    def _read_changes(self, number: int, host: _Host, now: float) -> None:
        while host.judge.changes:
            change = host.judge.changes.popleft()
            if change.state is not detectors.HealthState.EJECTED:
                continue
            is_bad = int(change.worker) in self._bad and now >= FAULT_AT_S
            self.figures.bad_ejected += is_bad
            self.figures.good_ejected += not is_bad
            if is_bad and (number, change.worker) not in self._found:
                self._found.add((number, change.worker))
                self.figures.detection_delays_s.append(now - FAULT_AT_S)
        out = sum(
            record.state is detectors.HealthState.EJECTED for record in host.records
        )
        self.figures.max_ejected = max(self.figures.max_ejected, out)

    def _arrive(self, held: _Job) -> None:
        self.figures.jobs += 1
        host = self._hosts[held.job.entry]
        host.queue.extend((held, index) for index in range(held.left))
        deadline = self._clock.now() + DEADLINE_S
        self._later(deadline, lambda: self._fail(host, held, is_bad=True))
        self._dispatch(host)

    def _dispatch(self, host: _Host) -> None:
        while host.queue:
            held, index = host.queue[0]
            if not held.has_ended:
                worker = self._choose(host)
                if worker is None:
                    return
                self._start(host, held, index, worker)
            host.queue.popleft()

    def _choose(self, host: _Host) -> int | None:
        free = [
            number
            for number, record in enumerate(host.records)
            if record.allowance > 0 and self._running[number] < SLOTS
        ]
        if not free:
            return None
        for number in free:
            if host.records[number].state is detectors.HealthState.PROBATION:
                return number
        return min(
            self._rng.sample(free, min(2, len(free))), key=self._running.__getitem__
        )

    def _start(self, host: _Host, held: _Job, index: int, worker: int) -> None:
        self._running[worker] += 1
        held.running[index] = worker
        record = host.records[worker]
        host.judge.record_sent(record, held.job.caller_class, held.id, index)
        state, run_s = self._outcome(held, index, worker)
        if run_s is not None:
            end = self._clock.now() + run_s
            self._later(end, lambda: self._end(host, held, index, state, run_s))

    def _outcome(
        self, held: _Job, index: int, worker: int
    ) -> tuple[messages.TaskState, float | None]:
        run_s: float | None = held.job.tasks[index].run_ms / 1000
        fault = self._case.fault if self._clock.now() >= FAULT_AT_S else "none"
        failed, done = messages.TaskState.FAILED, messages.TaskState.DONE
        if self._is_poisoned(held, fault) or self._rng.random() < self._case.base_rate:
            return failed, run_s
        if worker not in self._bad or fault == "none":
            return done, run_s
        if fault == "flaky":
            return (failed if self._rng.random() < FLAKY_SHARE else done), run_s
        if fault == "slow":
            assert run_s is not None
            return done, run_s * SLOW_FACTOR
        if fault == "silent":
            return done, None
        # A worker that fails at once has free slots and so attracts more tasks.
        return failed, 0.005

    def _is_poisoned(self, held: _Job, fault: str) -> bool:
        if fault == "class":
            return held.job.caller_class == arrivals.CLASSES[0]
        if fault == "every job":
            return True
        return fault == "jobs" and held.id[0] < 256 * POISONED_SHARE

    def _end(
        self,
        host: _Host,
        held: _Job,
        index: int,
        state: messages.TaskState,
        run_s: float,
    ) -> None:
        if index not in held.running:
            return
        worker = self._report(host, held, index, state, run_s)
        held.left -= 1
        if state is messages.TaskState.FAILED:
            self._fail(host, held, is_bad=worker in self._bad)
        elif held.left == 0:
            held.has_ended = True
        self._dispatch(host)

    def _report(
        self,
        host: _Host,
        held: _Job,
        index: int,
        state: messages.TaskState,
        run_s: float,
    ) -> int:
        worker = held.running.pop(index)
        self._running[worker] -= 1
        report = messages.TaskReport(index, 1, state, b"", run_s * 1000)
        message = messages.Results(held.id, 1, 1, 1, 0, 0, (report,))
        host.judge.record_results(message)
        if state is messages.TaskState.DONE:
            self._row[worker], self._failed_job[worker] = 0, b""
        elif state is messages.TaskState.FAILED and held.id != self._failed_job[worker]:
            self._row[worker] += 1
            self._failed_job[worker] = held.id
        if (
            self._case.way == "every outcome"
            and state is not messages.TaskState.STOPPED
        ):
            others = [other for other in self._hosts if other is not host]
            at = self._clock.now() + self._rng.uniform(0, HEARTBEAT_S)
            self._later(at, lambda: self._carry(others, worker, held, message))
        return worker

    def _carry(
        self, hosts: list[_Host], worker: int, held: _Job, message: messages.Results
    ) -> None:
        index = message.reports[0].index
        for host in hosts:
            record = host.records[worker]
            host.judge.record_sent(record, held.job.caller_class, held.id, index)
            host.judge.record_results(message)

    def _fail(self, host: _Host, held: _Job, is_bad: bool) -> None:
        if held.has_ended:
            return
        held.has_ended = True
        self.figures.failed += is_bad
        self.figures.poisoned += not is_bad
        for index in list(held.running):
            self._report(host, held, index, messages.TaskState.STOPPED, 0.0)


def _bad_workers(fault: str) -> int:
    if fault in ("none", "jobs", "class", "every job"):
        return 0
    return NODES_PER_RACK if fault == "rack" else 1


def hello(number: int) -> messages.Hello:
    """Return the announcement of a worker.

    :param number: its number, which is also its name.
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
    """Return the bytes for each worker, and the seconds for each task and outcome.

    :param workers: number of workers.
    :param outcomes: number of outcomes, one in a hundred a failure.
    """
    announced = [hello(number) for number in range(workers)]
    time_ = clock.ManualClock()
    counters = metrics.Metrics(settings.StatsdSettings())
    tracemalloc.start()
    judge = health.HealthMonitor(settings.HealthSettings(), time_, counters)
    records = [judge.join(each) for each in announced]
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
    began = time.process_time()
    for number, message in enumerate(results):
        judge.record_sent(records[number % workers], "default", message.job, 0)
        judge.record_results(message)
    return size / workers, (time.process_time() - began) / outcomes


def rows(cases: list[Case]) -> Iterator[str]:
    """Yield a table row for each case, over all seeds.

    :param cases: what to run; their seeds are replaced.
    """
    for case in cases:
        runs = [Bench(attrs.evolve(case, seed=seed)).run() for seed in SEEDS]
        found = [item for run in runs for item in run.detection_delays_s]
        wanted = _bad_workers(case.fault) * case.entries * len(SEEDS)
        yield " | ".join(
            (
                f"| {case.fault}, {case.workers} workers, {case.entries} hosts"
                + (f", base {case.base_rate:g}" if case.base_rate else ""),
                f"{case.detector}, {case.way}",
                _spread([run.failed for run in runs]),
                _spread([run.poisoned for run in runs]),
                _spread([run.good_ejected for run in runs]),
                f"{len(found)} of {wanted}",
                f"{statistics.median(found):.2f} / {max(found):.2f}" if found else "-",
                f"{max(run.max_ejected for run in runs)} |",
            )
        )


def _spread(values: list[int]) -> str:
    return f"{min(values)} / {statistics.median(values):g} / {max(values)}"


def main() -> int:
    """Print the tables of ``docs/policy.md``."""
    detectors = [Case(fault, name) for fault in FAULTS for name in DETECTOR_BY_NAME]
    detectors += [
        Case("none", name, base_rate=rate)
        for rate in (0.05, 0.2)
        for name in DETECTOR_BY_NAME
    ]
    ways = [
        Case(fault, way=way, entries=entries)
        for fault in ("failing", "rack", "jobs", "every job")
        for entries in (3, 16)
        for way in WAYS
    ]
    for title, cases in (("detectors", detectors), ("ways", ways)):
        print(title)
        for row in rows(cases):
            print(row, flush=True)
    for workers in (11, 10_000):
        size, seconds = measure_cost(workers)
        print(f"{workers} workers: {size:.0f} bytes each, {seconds * 1e6:.2f} us")
    return 0


if __name__ == "__main__":
    sys.exit(main())
