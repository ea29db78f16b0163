"""Assigns the waiting tasks of an entry host to workers."""

from __future__ import annotations

import collections
import random
from collections.abc import Iterable, Iterator

import attrs

from burdockgate import assignments, clock
from burdockgate.process import actions, fleet, selection, throughput
from burdockgate.request import besteffort

# While tasks wait, agents hear of a more urgent one this often, and of the amount.
DEMAND_CHANGE_S = 0.01
DEMAND_REPEAT_S = 0.1


@attrs.frozen
class SchedulerSettings:
    """Limits of the scheduler; times in seconds.

    :param agent_timeout_s: time since the last renewal after which all runs of an agent
        that is not connected have ended, as :func:`agent_timeout_s` gives it.
    :param return_pause_s: pause before a task that was returned is assigned again.
    :param avoid_s: how long other workers are preferred for such a task.
    :param kept_s: how long ended jobs answer a repeated submission; callers send a
        job again seconds after its answer.
    :param kept_jobs: most ended jobs kept, so that memory stays bounded.
    :param examined_tasks: most waiting tasks tried at a time, so that a long queue
        does not hold up the event loop.
    :param waiting_jobs: most jobs that wait.
    :param settling_s: time after the start in which jobs wait although no worker is
        known. Workers announce themselves every 1.5 s and agents dial within 1 s.
    """

    agent_timeout_s: float = 2.3
    return_pause_s: float = 0.01
    avoid_s: float = 0.25
    kept_s: float = 20.0
    kept_jobs: int = 4000
    examined_tasks: int = 100
    waiting_jobs: int = 2000
    settling_s: float = 3.0


@attrs.frozen
class Respond:
    """Effect: answer a caller's request.

    :param ticket: number of the request.
    """

    ticket: int
    job: str
    verdict: besteffort.Outcome


@attrs.frozen
class ScheduleAssignment:
    """Effect: call :meth:`Assigner.assign` within a millisecond or two."""


Effect = actions.Send | Respond | actions.LogEvent | ScheduleAssignment


class Assigner:
    """Waiting jobs and the choice of workers; methods are generators of effects.

    :param zone: zone of the entry host.
    :param settings: limits.
    :param chosen: weights of the choice of a worker.
    :param ordering: order of the waiting jobs.
    :param time: a clock that counts suspensions.
    :param rng: source of random numbers.
    """

    def __init__(
        self,
        zone: str,
        settings: SchedulerSettings,
        chosen: selection.SelectionSettings,
        ordering: selection.Ordering,
        time: clock.Clock,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._ordering = ordering
        self._selection = selection.Selection(chosen, zone, rng)
        self._time = time
        self.fleet = fleet.Fleet()
        self._started_at = time.now()
        # When the process has to end, once it was asked to.
        self.stops_at: float | None = None
        # Told to the agents, which pass newer ones on.
        self.configuration_version = 0
        self.job_by_id: dict[str, besteffort.Job] = {}
        self._waiting_by_id: dict[str, besteffort.Job] = {}
        self._is_assign_due = False
        self._demand = assignments.Demand(0, 0)
        self._demanded_at = 0.0
        self._rejected_at = 0.0
        self._throughput = throughput.Throughput(time.now())
        self._ended: collections.OrderedDict[str, besteffort.Job] = (
            collections.OrderedDict()
        )
        # Tasks of jobs that have ended here but may still run, with their agent.
        self._lingering: dict[assignments.TaskKey, str] = {}

    def _retry_after_s(self, service: str) -> float:
        """Return the time in which the waiting work can be done."""
        capacity = self.fleet.capacity_cpu(service, self._time.now())
        if not capacity:
            return 1.0
        work = sum(
            task.step.cpu * task.step.estimate_s
            for job in self.job_by_id.values()
            if job.submission.service == service
            for task in job.all_tasks()
            if task.state is not besteffort.TaskState.DONE
        )
        # Other entry hosts use the same workers; each is expected to have like work.
        return max(1.0, work / capacity)

    def _assign_soon(self) -> Iterator[Effect]:
        """Ask for one assignment after many reports and ends.

        Assigning at each of them would take the whole processor when jobs wait.
        """
        if self._waiting_by_id and not self._is_assign_due:
            self._is_assign_due = True
            yield ScheduleAssignment()

    def assign(self) -> Iterator[Effect]:
        """Assign waiting tasks to workers with room."""
        self._is_assign_due = False
        now = self._time.now()
        waiting = sorted(
            self._waiting_by_id.values(),
            key=lambda job: self._ordering.key(job, now),
        )
        examined = 0
        # The smallest task that found no room, by service: larger ones find none.
        full_by_service: dict[str, int] = {}
        chosen: dict[tuple[str, int, str], list[besteffort.Task]] = {}
        views_by_service: dict[str, list[fleet.WorkerView]] = {}
        for job in waiting:
            service = job.submission.service
            if service not in views_by_service:
                views_by_service[service] = list(self.fleet.serving(service, now))
            for task in self._assignable(job, now):
                if task.step.cpu >= full_by_service.get(service, 1 << 60):
                    continue
                examined += 1
                view = self._choose(job, task, views_by_service[service], now)
                if view is not None:
                    self._place(job, task, view, now)
                    group = (task.key.job, task.key.step, view.agent)
                    chosen.setdefault(group, []).append(task)
                elif task.is_unconstrained(now):
                    full_by_service[service] = task.step.cpu
            if not job.is_waiting:
                del self._waiting_by_id[job.submission.job]
            if examined >= self._settings.examined_tasks:
                break
        for (job_id, _, agent), tasks in chosen.items():
            yield from self._send(self.job_by_id[job_id], agent, tasks, now)
        yield from self._tell_demand(waiting, now)

    def _tell_demand(
        self, waiting: list[besteffort.Job], now: float
    ) -> Iterator[Effect]:
        """Tell the agents what found no room, so that they share out what frees."""
        # A task that was returned and pauses has not found the other workers full.
        left = [
            (job, task.step.cpu)
            for job in waiting
            for task in self._assignable(job, now)
        ]
        cpu = sum(task_cpu for _, task_cpu in left)
        rank = self._ordering.rank(left[0][0], now) if left else 0
        demand = assignments.Demand(cpu, rank)
        changed = demand != self._demand and (
            not cpu or not self._demand.waiting_cpu or rank != self._demand.rank
        )
        due_s = DEMAND_CHANGE_S if changed else DEMAND_REPEAT_S
        if (cpu or changed) and now - self._demanded_at >= due_s:
            self._demand, self._demanded_at = demand, now
            for view in self.fleet.view_by_agent.values():
                if view.is_near and view.is_fresh(now):
                    yield actions.Send(view.agent, demand)

    def _assignable(self, job: besteffort.Job, now: float) -> Iterator[besteffort.Task]:
        return (
            task
            for task in job.all_tasks()
            if task.state is besteffort.TaskState.WAITING
            and task.not_before <= now
            and task.key not in self._lingering
        )

    def _choose(
        self,
        job: besteffort.Job,
        task: besteffort.Task,
        views: Iterable[fleet.WorkerView],
        now: float,
    ) -> fleet.WorkerView | None:
        limit = task.step.max_per_worker
        if limit:
            counts = collections.Counter(
                other.agent
                for other in job.tasks[task.key.step]
                if other.state is besteffort.TaskState.ASSIGNED
            )
            views = (view for view in views if counts[view.agent] < limit)
        return self._selection.choose(task, views, now)

    def _place(
        self,
        job: besteffort.Job,
        task: besteffort.Task,
        view: fleet.WorkerView,
        now: float,
    ) -> None:
        task.state = besteffort.TaskState.ASSIGNED
        task.run += 1
        task.agent, task.assigned_at = view.agent, now
        job.has_been_assigned = True
        self._throughput.add(task.step.cpu / 1000 * task.step.estimate_s)
        # Each task is counted by itself; the message carries the last number.
        view.assign(task.step)

    def _send(
        self, job: besteffort.Job, agent: str, tasks: list[besteffort.Task], now: float
    ) -> Iterator[Effect]:
        view, step = self.fleet.view_by_agent[agent], tasks[0].step
        given = job.submission
        yield actions.LogEvent(
            "task.assigned",
            {
                "job": given.job,
                "tasks": [f"{task.key.step}.{task.key.index}" for task in tasks],
                "runs": [task.run for task in tasks],
                "agent": agent,
                "committed_cpu": view.committed_cpu(),
                "report_age_ms": int((now - view.load_at) * 1000),
                "waited_ms": self._age_ms(job),
            },
        )
        yield actions.Send(
            agent,
            assignments.Assign(
                view.assigned_number,
                given.job,
                tasks[0].key.step,
                given.spec,
                tuple(task.key.index for task in tasks),
                tuple(task.run for task in tasks),
                step.cpu,
                step.memory_mb,
                step.gpu,
                given.priority,
                max(0, int((job.start_by() - now) * 1000)),
                int(step.estimate_s * 1000),
            ),
        )

    def _age_ms(self, job: besteffort.Job) -> int:
        return int((self._time.now() - job.received_at) * 1000)
