"""Order of waiting tasks, and the worker that gets one."""

from __future__ import annotations

import abc
import random
from collections.abc import Iterable

import attrs

from burdockgate.process import fleet
from burdockgate.request import besteffort

# Bounds of the parts of a rank.
MAX_PRIORITY = 1000
MAX_LENGTH_MS = 10_000_000
# How much longer a task takes away from the rack of its data; the users' platforms
# state 1.5 and 3.
REMOTE_FACTOR = 1.5


class Ordering(abc.ABC):
    """Decides which job's tasks are assigned first."""

    @abc.abstractmethod
    def key(self, job: besteffort.Job, now: float) -> tuple[float, ...]:
        """Return the sort key of a job; the smallest is served first.

        :param job: the job.
        :param now: the time in seconds.
        """

    def rank(self, job: besteffort.Job, now: float) -> int:
        """Return the urgency of a job among those of all entry hosts.

        :param job: the job.
        :param now: the time in seconds.
        :returns: lateness, priority and length in one number; smaller is more urgent.
        """
        is_late = int(job.start_by() < now)
        length_ms = min(int(job.chain_s() * 1000), MAX_LENGTH_MS)
        priority = min(job.submission.priority, MAX_PRIORITY)
        return (is_late * (MAX_PRIORITY + 1) + priority) * (
            MAX_LENGTH_MS + 1
        ) + length_ms


class LeastSlack(Ordering):
    """Jobs that can still be on time, by their latest start; then the late ones.

    Load pattern: demand above capacity for some seconds. Serving late jobs first
    would make every following job late too.
    """

    def key(self, job: besteffort.Job, now: float) -> tuple[float, ...]:
        """Return lateness, progress and the latest start that is on time."""
        start_by = job.start_by()
        return (float(start_by < now), float(not job.has_run), start_by)


class ShortestFirst(Ordering):
    """Jobs that can still be on time, by priority and then by length; then the others.

    Load pattern: a crest of demand above capacity for some seconds. Short jobs have
    the least slack and block a place for the shortest time. Jobs that have begun come
    before others, so that work already done is not lost.
    """

    def key(self, job: besteffort.Job, now: float) -> tuple[float, ...]:
        """Return lateness, progress, priority, length and the latest start."""
        start_by = job.start_by()
        return (
            float(start_by < now),
            float(not job.has_run),
            float(job.submission.priority),
            job.chain_s(),
            start_by,
        )


class FirstCome(Ordering):
    """Jobs in the order in which they came; the baseline for comparisons."""

    def key(self, job: besteffort.Job, now: float) -> tuple[float, ...]:
        """Return the time of arrival."""
        return (job.received_at,)


@attrs.frozen
class SelectionSettings:
    """Weights of the choice of a worker.

    :param other_zone_s: what a run in another zone costs, in seconds; twice the
        latency between zones and the price of the bytes.
    :param spread_s: random part, so that entry hosts with the same view differ.
    """

    other_zone_s: float = 0.004
    spread_s: float = 0.002


class Selection:
    """Chooses the worker on which a task is expected to end first.

    :param settings: weights.
    :param zone: zone of the entry host.
    :param rng: source of random numbers.
    """

    def __init__(
        self, settings: SelectionSettings, zone: str, rng: random.Random
    ) -> None:
        self._settings = settings
        self._zone = zone
        self._rng = rng

    def choose(
        self, task: besteffort.Task, views: Iterable[fleet.WorkerView], now: float
    ) -> fleet.WorkerView | None:
        """Return the best worker, or ``None`` when none has room.

        :param task: the task.
        :param views: workers of its service that may be given tasks.
        :param now: the time in seconds.
        """
        rated = (
            (self._rate(task.step, view), view.agent, view)
            for view in views
            if view.has_room(task.step) and _may_have(task, view, now)
        )
        best = min(rated, default=None)
        return best[2] if best else None

    def _rate(self, step: besteffort.Step, view: fleet.WorkerView) -> float:
        run_s = step.estimate_s / view.speed
        far_s = 0.0 if view.zone == self._zone else self._settings.other_zone_s
        if step.data_rack and not view.has_label(step.data_rack):
            run_s *= REMOTE_FACTOR
        spread_s: float = self._rng.random() * self._settings.spread_s
        return run_s + far_s + spread_s


def _may_have(task: besteffort.Task, view: fleet.WorkerView, now: float) -> bool:
    if task.step.label and not view.has_label(task.step.label):
        return False
    return task.avoided_until_by_agent.get(view.agent, 0.0) <= now
