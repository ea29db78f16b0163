"""Order of the waiting jobs, and choice of the worker for a task."""

from __future__ import annotations

import abc
import random
import statistics
from collections.abc import Iterable

import attrs

from burdockgate.process import fleet
from burdockgate.request import besteffort

# Upper bounds of the components of a rank.
MAX_PRIORITY = 1000
MAX_LENGTH_MS = 10_000_000
# A late job is finished first if at most this share of its work still waits, and if it
# can end within this many times its objective. Its result is of use up to three times
# the objective; the difference is for estimates that are too low.
FINISH_SHARE = 0.5
FINISH_FACTOR = 2.5

# Speeds that differ by less count as equal: estimates of run times are off by 40%, and
# all entry hosts would choose the worker that happens to look fastest.
SPEED_ERROR = 0.2


class Ordering(abc.ABC):
    """Order in which the waiting jobs are served."""

    @abc.abstractmethod
    def key(self, job: besteffort.Job, now: float) -> tuple[float, ...]:
        """Return the sort key of a job; the smallest is served first.

        :param job: the job.
        :param now: the time in seconds.
        """

    def urgency(self, job: besteffort.Job, now: float) -> int:
        """Return the class of a job's urgency; a smaller one is served first.

        :param job: the job.
        :param now: the time in seconds.
        """
        return int(job.start_by() < now)

    def rank(self, job: besteffort.Job, now: float) -> int:
        """Return the urgency of a job, comparable across entry hosts.

        :param job: the job.
        :param now: the time in seconds.
        :returns: class of urgency, priority and critical path in one number; smaller
            is more urgent.
        """
        length_ms = min(int(job.critical_path_s() * 1000), MAX_LENGTH_MS)
        priority = min(job.submission.priority, MAX_PRIORITY)
        return (self.urgency(job, now) * (MAX_PRIORITY + 1) + priority) * (
            MAX_LENGTH_MS + 1
        ) + length_ms


class LeastSlack(Ordering):
    """Jobs that can still be on time, by their latest start; then the late ones.

    Meant for overload of some seconds: serving late jobs first would make every
    following job late too.
    """

    def key(self, job: besteffort.Job, now: float) -> tuple[float, ...]:
        """Return lateness, progress and the latest start that is on time."""
        start_by = job.start_by()
        return (float(start_by < now), float(not job.has_run), start_by)


class ShortestFirst(Ordering):
    """Jobs that can still be on time, by priority and critical path; then the others.

    Meant for overload of some seconds: short jobs have the least slack and occupy a
    worker for the shortest time. Started jobs come before others of the same lateness,
    so that finished work is not lost.
    """

    def key(self, job: besteffort.Job, now: float) -> tuple[float, ...]:
        """Return lateness, progress, priority, critical path and latest start."""
        start_by = job.start_by()
        return (
            float(start_by < now),
            float(not job.has_run),
            float(job.submission.priority),
            job.critical_path_s(),
            start_by,
        )


class FinishStarted(ShortestFirst):
    """Like :class:`ShortestFirst`, but late jobs that are half done come first.

    Meant for overload with jobs of different widths: a job of which only some tasks
    found free capacity became late, waited behind all later jobs that could still be on
    time, and was interrupted at its caller's deadline with its work lost. Jobs of which
    less has been started stay behind, since finishing them would make others late.
    """

    def urgency(self, job: besteffort.Job, now: float) -> int:
        """Return 0 and 1 for jobs on time, 2 and 3 for late ones; even if started.

        :param job: the job.
        :param now: the time in seconds.
        """
        is_late = job.start_by() < now
        if is_late and _is_worth_finishing(job, now):
            return 0
        return 2 * int(is_late) + int(not job.has_run)

    def key(self, job: besteffort.Job, now: float) -> tuple[float, ...]:
        """Return urgency, priority, critical path and latest start."""
        return (
            float(self.urgency(job, now)),
            float(job.submission.priority),
            job.critical_path_s(),
            job.start_by(),
        )


def _is_worth_finishing(job: besteffort.Job, now: float) -> bool:
    """Return whether most of a job has been started and it can still be of use."""
    if not job.is_started:
        return False
    useful_until = job.received_at + FINISH_FACTOR * job.objective_s()
    return (
        now + job.remaining_path_s() <= useful_until
        and job.waiting_core_s() <= FINISH_SHARE * job.total_core_s()
    )


class FirstCome(Ordering):
    """Jobs in order of arrival; the baseline for comparisons."""

    def key(self, job: besteffort.Job, now: float) -> tuple[float, ...]:
        """Return the time of arrival."""
        return (job.received_at,)


@attrs.frozen
class SelectionSettings:
    """Weights of the choice of a worker.

    :param other_zone_penalty_s: added for a worker in another zone, in seconds; twice
        the latency between zones, and the cost of the traffic.
    :param jitter_s: upper bound of a random part in seconds, so that entry hosts with
        the same load reports choose different workers.
    :param return_delay_s: delay in seconds of a task that is returned because another
        entry host took its place: two messages, the backoff and a wait for the next
        place.
    :param remote_data_factor: how much longer a task runs outside the rack of its data.
    """

    other_zone_penalty_s: float = 0.004
    jitter_s: float = 0.002
    return_delay_s: float = 0.03
    remote_data_factor: float = 1.5


class Selection:
    """Chooses the worker on which a task is expected to finish first.

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

    def choose_worker(
        self, task: besteffort.Task, views: Iterable[fleet.WorkerView], now: float
    ) -> fleet.WorkerView | None:
        """Return the best worker, or ``None`` when none has free capacity.

        :param task: the task.
        :param views: assignable workers of its service.
        :param now: the time in seconds.
        """
        candidates = [
            (view, slots, view.speed)
            for view in views
            if (slots := view.free_slots(task.step)) and _is_allowed(task, view, now)
        ]
        if not candidates:
            return None
        typical_speed = statistics.median_low(speed for _, _, speed in candidates)
        scored = (
            (
                self._run_s(task.step, view, speed, typical_speed)
                + self._penalty_s(view, slots),
                view.agent,
                view,
            )
            for view, slots, speed in candidates
        )
        return min(scored)[2]

    def _run_s(
        self,
        step: besteffort.Step,
        view: fleet.WorkerView,
        speed: float,
        typical_speed: float,
    ) -> float:
        if abs(speed - typical_speed) < SPEED_ERROR * typical_speed:
            speed = typical_speed
        run_s = step.estimate_s / speed
        if step.data_rack and not view.has_label(step.data_rack):
            run_s *= self._settings.remote_data_factor
        return run_s

    def _penalty_s(self, view: fleet.WorkerView, slots: int) -> float:
        settings = self._settings
        zone_s = 0.0 if view.zone == self._zone else settings.other_zone_penalty_s
        return_s = settings.return_delay_s * _return_risk(view, slots)
        jitter_s: float = self._rng.random() * settings.jitter_s
        return zone_s + return_s + jitter_s


def _return_risk(view: fleet.WorkerView, slots: int) -> float:
    """Return the risk that another entry host takes the place first, from 0 to 1."""
    return 1 / slots if view.is_near else 1.0


def _is_allowed(task: besteffort.Task, view: fleet.WorkerView, now: float) -> bool:
    if task.step.label and not view.has_label(task.step.label):
        return False
    return task.avoided_until_by_agent.get(view.agent, 0.0) <= now
