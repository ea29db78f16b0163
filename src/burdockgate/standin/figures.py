"""Computes the figures of a finished run and checks its invariants."""

from __future__ import annotations

import heapq
import itertools
import json
import math
from collections import Counter
from collections.abc import Iterable, Iterator, Sequence

import attrs

from burdockgate import codes
from burdockgate.standin import (
    arrivals,
    checker,
    load,
    local,
    targets,
    trace,
)

MAX_VIOLATION_DETAILS = 20
# At the start of a peak, free slots fill up and each class builds up a backlog.
PEAK_SETTLING_S = 0.5


@attrs.frozen
class Answer:
    """One parsed answer.

    :param at: time of the answer, in seconds after the start of the run.
    :param results: JSON text of each result.
    """

    at: float
    code: codes.Code
    outcome: str
    attempt: int
    results: tuple[bytes, ...]


def percentiles(values: Sequence[float]) -> dict[str, float] | None:
    """Return the median and the 99th percentile, or ``None`` without values.

    :param values: the values in any order.
    """
    if not values:
        return None
    ordered = sorted(values)
    return {
        name: round(ordered[math.ceil(share * len(ordered)) - 1], 3)
        for name, share in (("p50", 0.5), ("p99", 0.99))
    }


def parse_answer(body: bytes, at: float | None) -> Answer | None:
    """Return the parsed answer, or ``None`` when it is missing or malformed.

    :param body: JSON text of the answer.
    :param at: time of the answer, in seconds after the start of the run.
    """
    if not body or at is None:
        return None
    try:
        value = json.loads(body)
        results = tuple(
            json.dumps(item, separators=(",", ":")).encode()
            for item in value.get("results", ())
        )
        code = codes.Code(value["code"])
        return Answer(at, code, value["outcome"], value["attempt"], results)
    except (ValueError, KeyError, AttributeError):
        return None


class Figures:
    """Figures and invariant violations of one run.

    :param run: the finished run.
    """

    def __init__(self, run: load.Run) -> None:
        self.run = run
        self.answers = [
            parse_answer(item.body, item.answered_at) for item in run.records
        ]
        self.job_by_id = {item.job.id: item.job for item in run.records}
        self.violations = checker.check(
            list(self._events()),
            checker.Settings(run.changes.nodes if run.changes else ()),
        )

    def _events(self) -> Iterator[trace.Event]:
        began = self.run.started_at
        for record, answer in zip(self.run.records, self.answers, strict=True):
            job, entry = record.job, f"entry-{record.job.entry + 1}"
            if record.sent_at is not None:
                yield trace.Submitted(
                    began + record.sent_at,
                    job.guest,
                    job.key,
                    1,
                    entry,
                    job.payloads(),
                    repeatable=True,
                )
            cancelled = parse_answer(record.cancel_body, record.cancelled_at)
            for reply in (answer, cancelled):
                if reply is not None:
                    yield trace.Answered(
                        began + reply.at,
                        job.guest,
                        job.key,
                        reply.code,
                        reply.attempt,
                        reply.results,
                        entry,
                    )
        yield from started_events(self.run.starts or ())
        if self.run.config.scenario.is_worker_removed and self.run.fault_at is not None:
            yield trace.Left(began + self.run.fault_at, self.run.worker)
        if self.run.changes is not None:
            yield from self.run.changes.events

    def summary(self) -> dict[str, object]:
        """Return the figures in a form for JSON; an unknown figure is ``None``."""
        run, config = self.run, self.run.config
        outcomes = Counter(item.outcome for item in self.answers if item is not None)
        summary = {
            "scenario": config.scenario.name,
            "policy": None if config.urls else config.size.policy,
            "deployment": None if config.urls else config.size.deployment,
            "seed": config.seed,
            "seconds": round(run.seconds, 3),
            "jobs": len(run.records),
            "tasks": sum(len(record.job.tasks) for record in run.records),
            "complete": outcomes["complete"],
            "failed": outcomes["failed"],
            "refused": outcomes["refused"],
            "unanswered": sum(item is None for item in self.answers),
            "violations": len(self.violations),
            "violation_details": [
                f"{item.invariant.name}: {item.detail}"
                for item in self.violations[:MAX_VIOLATION_DETAILS]
            ],
            "response_over_ideal": percentiles(
                [ratio for _, ratio in self.response_ratios()]
            ),
            "short_wait_ms": percentiles(self.short_waits()),
            "short_wait_ratio": None,
            "send_lag_ms": percentiles(
                [
                    (record.sent_at - record.job.at) * 1000
                    for record in run.records
                    if record.sent_at is not None
                ]
            ),
            "slots_busy": self._slots_busy(),
            "share_error": self._share_error(),
            "recovery_s": self._recovery_s(),
            "last_new_task_s": self._last_new_task_s(),
            "in_force_s": self._in_force_s(is_in_outage=False),
            "in_force_after_outage_s": self._in_force_s(is_in_outage=True),
            "starts_per_s": None,
            "rss_mb": self._resident_mb(),
        }
        return summary | self._costs()

    @property
    def is_failed(self) -> bool:
        """Whether an invariant was violated or an outcome was not expected.

        A run without a complete job has failed, too.
        """
        outcomes = Counter(item.outcome if item else "" for item in self.answers)
        allowed = {"complete"}
        if self.run.config.scenario.expects_failures:
            allowed |= {"failed"}
        return (
            bool(self.violations)
            or not outcomes["complete"]
            or bool(outcomes.keys() - allowed)
        )

    def _resident_mb(self) -> float | None:
        after = self.run.after
        if after is None or after.agent_mb is None:
            return None
        return round(after.agent_mb, 1)

    def _costs(self) -> dict[str, object]:
        before, after = self.run.before, self.run.after
        names = (
            "messages_per_task",
            "wasted_messages_per_task",
            "cpu_share",
            "bytes_per_s",
        )
        seconds = self.run.window_s
        tasks = sum(
            start.at - self.run.started_at < seconds for start in self.run.starts or ()
        )
        if before is None or after is None or not tasks:
            return dict.fromkeys(names)
        agent_bytes = after.agent_bytes - before.agent_bytes
        values = (
            (after.messages - before.messages) / tasks,
            # An upper bound, since one message can return several tasks.
            2 * (after.returned_tasks - before.returned_tasks) / tasks,
            (after.processor_s - before.processor_s) / seconds,
            agent_bytes / self.run.agents / seconds,
        )
        return {
            name: round(value, 4) for name, value in zip(names, values, strict=True)
        }

    def response_ratios(self) -> list[tuple[float, float]]:
        """Return the planned time and the response over the ideal of each complete job.

        The time is in seconds after the start of the run.
        """
        return [
            (
                record.job.at,
                (answer.at - record.job.at)
                * 1000
                / local.ideal_ms(
                    [task.run_ms for task in record.job.tasks], self.run.slots
                ),
            )
            for record, answer in zip(self.run.records, self.answers, strict=True)
            if answer is not None and answer.outcome == "complete"
        ]

    def waits(self) -> Iterator[tuple[arrivals.Job, arrivals.Task, float]]:
        """Yield each started task and its job with the wait from arrival, in ms."""
        for start in self.run.starts or ():
            job = self.job_by_id[start.job]
            wait_ms = (start.at - self.run.started_at - job.at) * 1000
            yield job, job.tasks[start.index], wait_ms

    def short_waits(self) -> list[float]:
        """Return the waits of short tasks, in ms."""
        return [
            wait
            for _, task, wait in self.waits()
            if task.run_ms < arrivals.SHORT_TASK_MAX_MS
        ]

    def backlog(self) -> list[tuple[float, int]]:
        """Return the number of waiting tasks at each time when it changes.

        A task waits from its planned arrival until its start or its job's answer,
        whichever comes first.
        """
        started_at = {
            (start.job, start.index): start.at - self.run.started_at
            for start in self.run.starts or ()
        }
        changes: list[tuple[float, int]] = []
        for record in self.run.records:
            end = math.inf if record.answered_at is None else record.answered_at
            for index in range(len(record.job.tasks)):
                wait_end = min(end, started_at.get((record.job.id, index), math.inf))
                changes += [(record.job.at, 1), (wait_end, -1)]
        changes.sort()
        times = (at for at, _ in changes)
        counts = itertools.accumulate(change for _, change in changes)
        return list(zip(times, counts, strict=True))

    def _recovery_s(self) -> float | None:
        """Return the time until the backlog is back to its normal size.

        The normal size is the largest backlog before the peak or the cancel wave.
        """
        seconds = self.run.config.seconds
        recovery_from = self.run.config.scenario.recovery_from(seconds)
        if recovery_from is None or self.run.starts is None:
            return None
        surge_from = seconds / (3 if self.run.config.scenario.has_peak else 2)
        backlog = self.backlog()
        normal = max((count for at, count in backlog if at < surge_from), default=0)
        for at, count in backlog:
            if at >= recovery_from and count <= normal:
                return round(at - recovery_from, 3)
        return None

    def _last_new_task_s(self) -> float | None:
        run = self.run
        if not run.config.scenario.is_worker_removed:
            return None
        if run.fault_at is None or run.starts is None:
            return None
        last = max(
            (item.at for item in run.starts if item.worker == run.worker),
            default=0.0,
        )
        return round(max(0.0, last - run.started_at - run.fault_at), 4)

    def _in_force_s(self, is_in_outage: bool) -> dict[str, float | int] | None:
        """Return how long changes of the table took to be in force on every node."""
        changes = self.run.changes
        delays = sorted(changes.delays(is_in_outage)) if changes is not None else []
        if not delays:
            return None
        return {
            "changes": len(delays),
            "p50": round(delays[(len(delays) - 1) // 2], 3),
            "max": round(delays[-1], 3),
        }

    def _load_window(self) -> tuple[float, float]:
        """Return the start and end of the measured part of the run, in seconds."""
        seconds = self.run.config.seconds
        if self.run.config.scenario.has_peak:
            return min(seconds / 3 + PEAK_SETTLING_S, seconds / 2), 2 * seconds / 3
        return 0.0, seconds

    def _slots_busy(self) -> float | None:
        """Return the share of slot time in which backend servers ran tasks."""
        # The run time of a cancelled task is not known.
        if self.run.starts is None or self.run.config.scenario.has_cancel_wave:
            return None
        begin, end = self._load_window()
        busy = 0.0
        for start in self.run.starts:
            at = start.at - self.run.started_at
            run_s = self.job_by_id[start.job].tasks[start.index].run_ms / 1000
            busy += max(0.0, min(at + run_s, end) - max(at, begin))
        return round(busy / (end - begin) / self.run.slots, 4)

    def _share_error(self) -> float | None:
        """Return the largest relative error of the classes' shares during the peak.

        Shares are of declared run times, because the queue knows no others. The
        classes have equal weights.
        """
        if not self.run.config.scenario.has_peak or not self.run.starts:
            return None
        begin, end = self._load_window()
        work_by_class: Counter[str] = Counter()
        for start in self.run.starts:
            if begin <= start.at - self.run.started_at < end:
                job = self.job_by_id[start.job]
                declared = job.tasks[start.index].declared_ms
                work_by_class[job.caller_class] += round(declared * 1000)
        if not work_by_class:
            return None
        fair = work_by_class.total() / len(arrivals.CLASSES)
        errors = [abs(work_by_class[name] / fair - 1) for name in arrivals.CLASSES]
        return round(max(errors), 4)


def started_events(starts: Iterable[targets.Start]) -> Iterator[trace.Event]:
    """Yield trace events for the starts.

    :param starts: starts that the backend servers recorded.
    """
    for start in starts:
        yield trace.Started(
            start.at, start.job, start.attempt, start.index, start.worker, start.payload
        )


def single_queue_ratios(run: load.Run) -> dict[str, float] | None:
    """Return percentiles of the response over the ideal with one queue for all slots.

    Tasks start in the order of arrival and without overhead, so the figure shows how
    much of the response time is due to the load and not to the dispatcher.

    :param run: run with the planned jobs.
    """
    free_at = [0.0] * run.slots
    ratios = []
    for record in run.records:
        end = 0.0
        for task in sorted(record.job.tasks, key=lambda item: -item.run_ms):
            begin = max(record.job.at, heapq.heappop(free_at))
            heapq.heappush(free_at, begin + task.run_ms / 1000)
            end = max(end, begin + task.run_ms / 1000)
        ideal = local.ideal_ms([task.run_ms for task in record.job.tasks], run.slots)
        ratios.append((end - record.job.at) * 1000 / ideal)
    return percentiles(ratios)
