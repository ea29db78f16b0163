"""Figures of a finished run, and the verdict of the checker."""

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

SHOWN_VIOLATIONS = 20
# At the begin of a crest the slots fill and the backlogs of the classes build up.
CREST_SETTLING_S = 0.5


@attrs.frozen
class Answer:
    """One parsed answer; ``at`` is in seconds after the start of the run."""

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


def parse(body: bytes, at: float | None) -> Answer | None:
    """Return an answer, or ``None`` when there was none that can be used.

    :param body: the JSON text.
    :param at: when it came, in seconds after the start of the run.
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
    """Everything that is computed from one run.

    :param run: the run.
    """

    def __init__(self, run: load.Run) -> None:
        self.run = run
        self.answers = [parse(item.body, item.answered_at) for item in run.records]
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
            cancelled = parse(record.cancel_body, record.cancelled_at)
            for given in (answer, cancelled):
                if given is not None:
                    yield trace.Answered(
                        began + given.at,
                        job.guest,
                        job.key,
                        given.code,
                        given.attempt,
                        given.results,
                        entry,
                    )
        yield from started_events(self.run.starts or ())
        if self.run.config.scenario.ends_worker and self.run.fault_at is not None:
            yield trace.Left(began + self.run.fault_at, self.run.worker)
        if self.run.changes is not None:
            yield from self.run.changes.events

    def summary(self) -> dict[str, object]:
        """Return the figures, ready for JSON; what is not known is ``None``."""
        run, config = self.run, self.run.config
        outcomes = Counter(item.outcome for item in self.answers if item is not None)
        known = {
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
                for item in self.violations[:SHOWN_VIOLATIONS]
            ],
            "response_over_ideal": percentiles(
                [ratio for _, ratio in self.responses()]
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
            "in_force_s": self._in_force_s(met_outage=False),
            "in_force_after_outage_s": self._in_force_s(met_outage=True),
            "starts_per_s": None,
            "rss_mb": self._resident_mb(),
        }
        return known | self._costs()

    @property
    def is_failed(self) -> bool:
        """Whether a promise was broken or the run did not go as it should."""
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
            # At most: several tasks of one message may be returned together.
            2 * (after.returned - before.returned) / tasks,
            (after.processor_s - before.processor_s) / seconds,
            agent_bytes / self.run.agents / seconds,
        )
        return {
            name: round(value, 4) for name, value in zip(names, values, strict=True)
        }

    def responses(self) -> list[tuple[float, float]]:
        """Return planned time and response over the ideal of each complete job."""
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
        """Yield each started task with its wait from the arrival, in ms."""
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
        """Return the number of tasks that wait, at each time of a change.

        A task waits from its planned arrival to its start or its job's answer.
        """
        started_at = {
            (start.job, start.index): start.at - self.run.started_at
            for start in self.run.starts or ()
        }
        changes: list[tuple[float, int]] = []
        for record in self.run.records:
            end = math.inf if record.answered_at is None else record.answered_at
            for index in range(len(record.job.tasks)):
                left = min(end, started_at.get((record.job.id, index), math.inf))
                changes += [(record.job.at, 1), (left, -1)]
        changes.sort()
        times = (at for at, _ in changes)
        counts = itertools.accumulate(change for _, change in changes)
        return list(zip(times, counts, strict=True))

    def _recovery_s(self) -> float | None:
        """Return the time from the change until the backlog is normal again."""
        seconds = self.run.config.seconds
        change_at = self.run.config.scenario.change_at(seconds)
        if change_at is None or self.run.starts is None:
            return None
        crowd_at = seconds / (3 if self.run.config.scenario.is_crest else 2)
        backlog = self.backlog()
        normal = max((count for at, count in backlog if at < crowd_at), default=0)
        for at, count in backlog:
            if at >= change_at and count <= normal:
                return round(at - change_at, 3)
        return None

    def _last_new_task_s(self) -> float | None:
        run = self.run
        if not run.config.scenario.ends_worker:
            return None
        if run.fault_at is None or run.starts is None:
            return None
        last = max(
            (item.at for item in run.starts if item.worker == run.worker),
            default=0.0,
        )
        return round(max(0.0, last - run.started_at - run.fault_at), 4)

    def _in_force_s(self, met_outage: bool) -> dict[str, float | int] | None:
        """Return how long changes of the table took to be in force everywhere."""
        changes = self.run.changes
        delays = sorted(changes.delays(met_outage)) if changes is not None else []
        if not delays:
            return None
        return {
            "changes": len(delays),
            "p50": round(delays[(len(delays) - 1) // 2], 3),
            "max": round(delays[-1], 3),
        }

    def _window(self) -> tuple[float, float]:
        """Return the part of the run in which the load is judged, in seconds."""
        seconds = self.run.config.seconds
        if self.run.config.scenario.is_crest:
            return min(seconds / 3 + CREST_SETTLING_S, seconds / 2), 2 * seconds / 3
        return 0.0, seconds

    def _slots_busy(self) -> float | None:
        """Return the share of slot time in which backend servers ran tasks."""
        # How long a cancelled task ran is not known.
        if self.run.starts is None or self.run.config.scenario.has_wave:
            return None
        begin, end = self._window()
        busy = 0.0
        for start in self.run.starts:
            at = start.at - self.run.started_at
            run_s = self.job_by_id[start.job].tasks[start.index].run_ms / 1000
            busy += max(0.0, min(at + run_s, end) - max(at, begin))
        return round(busy / (end - begin) / self.run.slots, 4)

    def _share_error(self) -> float | None:
        """Return the largest relative error of the classes' shares at the crest.

        Shares are of declared run times, because the queue knows no others. The
        classes have equal weights.
        """
        if not self.run.config.scenario.is_crest or not self.run.starts:
            return None
        begin, end = self._window()
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
    """Yield the starts as events of a trace.

    :param starts: the starts that the backend servers saw.
    """
    for start in starts:
        yield trace.Started(
            start.at, start.job, start.attempt, start.index, start.worker, start.payload
        )


def best_case(run: load.Run) -> dict[str, float] | None:
    """Return response over ideal of one ideal queue in front of all slots.

    Tasks start in the order of arrival with no cost of any kind. It shows which
    part of the response comes from the load itself and not from the dispatcher.

    :param run: the run whose plan is used.
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
