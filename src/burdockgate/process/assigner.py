"""Assigns the waiting tasks of best-effort jobs to workers.

Base class of the scheduler: holds the jobs in progress and sends assignments and
demands to the agents. :mod:`selection` defines the order of jobs and rates workers.
"""

from __future__ import annotations

import abc
import collections
import random
from collections.abc import Iterable, Iterator

import attrs

from burdockgate import assignments, clock
from burdockgate.process import actions, fleet, selection, throughput
from burdockgate.request import besteffort

# Minimum intervals between demands sent to the agents: when the urgency has changed,
# and otherwise while tasks wait.
DEMAND_CHANGE_S = 0.01
DEMAND_REPEAT_S = 0.1


@attrs.frozen
class SchedulerSettings:
    """Limits of the scheduler; times in seconds.

    :param agent_timeout_s: time since the last renewal after which all runs of a
        disconnected agent have ended; see :func:`scheduler.agent_timeout_s`.
    :param return_backoff_s: delay before a returned task is assigned again.
    :param avoid_agent_s: how long a task is not assigned to an agent that has returned,
        stopped or lost it.
    :param ended_job_ttl_s: how long a completed job answers repeated submissions;
        callers may send a job again seconds after its answer.
    :param max_ended_jobs: most ended jobs kept, to bound memory use.
    :param max_examined_tasks: number of tried tasks after which an assignment pass
        ends, so that a long queue does not block the event loop.
    :param max_jobs: most jobs in progress; further ones are refused.
    :param startup_grace_s: time after the start in which jobs are queued although no
        worker is known. Workers send heartbeats every 1.5 s and agents connect within
        1 s.
    """

    agent_timeout_s: float = 1.42
    return_backoff_s: float = 0.01
    avoid_agent_s: float = 0.25
    ended_job_ttl_s: float = 20.0
    max_ended_jobs: int = 4000
    max_examined_tasks: int = 100
    max_jobs: int = 2000
    startup_grace_s: float = 3.0


@attrs.frozen
class Respond:
    """Effect: answer a caller's request with the outcome of its job.

    :param ticket: number of the request.
    """

    ticket: int
    job: str
    outcome: besteffort.Outcome


@attrs.frozen
class ScheduleAssignment:
    """Effect: call :meth:`Assigner.assign` within 1 to 2 ms."""


@attrs.frozen
class RevokedRun:
    """A run that was revoked and may still be active on its agent.

    Its task is not assigned again before the agent has reported its end.
    """

    agent: str
    key: assignments.RunKey


Effect = actions.Send | Respond | actions.LogEvent | ScheduleAssignment


@attrs.define
class _Pass:
    """State of one assignment pass.

    :param min_unfit_cpu_by_service: processors of the smallest task that fits no
        worker; larger tasks are skipped.
    :param tasks_by_group: assigned tasks by job, step and agent.
    :param abandoned_jobs: jobs that had a worker, but no caller any more.
    """

    now: float
    examined: int = 0
    min_unfit_cpu_by_service: dict[str, int] = attrs.field(factory=dict)
    views_by_service: dict[str, list[fleet.WorkerView]] = attrs.field(factory=dict)
    tasks_by_group: dict[tuple[str, int, str], list[besteffort.Task]] = attrs.field(
        factory=dict
    )
    abandoned_jobs: list[besteffort.Job] = attrs.field(factory=list)


class Assigner(abc.ABC):
    """Jobs in progress and the assignment of their tasks to workers.

    :param zone: zone of the entry host.
    :param settings: limits.
    :param selection_settings: weights of the choice of a worker.
    :param ordering: order of the waiting jobs.
    :param time: a clock that goes on while the machine is suspended.
    :param rng: source of random numbers.
    """

    def __init__(
        self,
        zone: str,
        settings: SchedulerSettings,
        selection_settings: selection.SelectionSettings,
        ordering: selection.Ordering,
        time: clock.Clock,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._ordering = ordering
        self._selection = selection.Selection(selection_settings, zone, rng)
        self._time = time
        self.fleet = fleet.Fleet()
        self._started_at = time.now()
        # Time by which the process must exit; set when its stop begins.
        self.stop_deadline: float | None = None
        # Sent to the agents with renewals, so that they drop older copies.
        self.configuration_version = 0
        # Entry hosts that share each worker, including this one.
        self.entry_host_count = 1
        self.job_by_id: dict[str, besteffort.Job] = {}
        self._waiting_by_id: dict[str, besteffort.Job] = {}
        self._is_assign_due = False
        self._sent_demand = assignments.Demand(0, 0)
        self._demand_sent_at = 0.0
        self._refusals_checked_at = 0.0
        self._expiry_checked_at = 0.0
        self._callers_checked_at = 0.0
        self._throughput = throughput.Throughput(time.now())
        self._ended: collections.OrderedDict[str, besteffort.Job] = (
            collections.OrderedDict()
        )
        self._revoked_run_by_task: dict[assignments.TaskKey, RevokedRun] = {}

    def _retry_after_s(self, service: str) -> float:
        """Return the seconds the workers need for this host's work, at least 1."""
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
        # Divides the work of this entry host alone by the capacity of all assignable
        # workers, although other entry hosts, which are expected to have similar work,
        # use the same workers.
        return max(1.0, work / capacity)

    def _schedule_assignment(self) -> Iterator[Effect]:
        """Schedule one assignment pass for a burst of load reports and task ends.

        One pass for each of them would saturate the processor while jobs wait.
        """
        if self._waiting_by_id and not self._is_assign_due:
            self._is_assign_due = True
            yield ScheduleAssignment()

    def assign(self) -> Iterator[Effect]:
        """Assign waiting tasks to workers with free capacity."""
        self._is_assign_due = False
        now = self._time.now()
        waiting = sorted(
            self._waiting_by_id.values(),
            key=lambda job: self._ordering.key(job, now),
        )
        current = _Pass(now)
        for job in waiting:
            self._assign_job(job, current)
            if not job.is_waiting:
                del self._waiting_by_id[job.submission.job]
            if current.examined >= self._settings.max_examined_tasks:
                break
        for (job_id, _, agent), tasks in current.tasks_by_group.items():
            yield from self._send_assignment(self.job_by_id[job_id], agent, tasks, now)
        for job in current.abandoned_jobs:
            yield from self._abandon_unassigned(job)
        in_progress = [job for job in waiting if job.outcome is None]
        yield from self._send_demand(in_progress, now)

    def _assign_job(self, job: besteffort.Job, current: _Pass) -> None:
        """Choose workers for the waiting tasks of a job.

        Its callers are looked at before the first task. One that has left sends the job
        to another entry host, and a task that is started here may run there as well.
        The end of its connection may still wait to be read, after a standstill of this
        process or behind other events.
        """
        service, now = job.submission.service, current.now
        if service not in current.views_by_service:
            current.views_by_service[service] = list(
                self.fleet.assignable_workers(service, now)
            )
        has_caller = False
        for task in self._assignable_tasks(job, now):
            if task.step.cpu >= current.min_unfit_cpu_by_service.get(service, 1 << 60):
                continue
            current.examined += 1
            view = self._choose_worker(
                job, task, current.views_by_service[service], now
            )
            if view is None:
                if task.is_unconstrained(now):
                    current.min_unfit_cpu_by_service[service] = task.step.cpu
                continue
            has_caller = has_caller or job.has_caller()
            if not has_caller:
                current.abandoned_jobs.append(job)
                return
            self._record_assignment(job, task, view, now)
            group = (task.key.job, task.key.step, view.agent)
            current.tasks_by_group.setdefault(group, []).append(task)

    @abc.abstractmethod
    def _abandon_unassigned(self, job: besteffort.Job) -> Iterator[Effect]:
        """End a job none of whose callers is connected any more."""

    def _send_demand(
        self, waiting: list[besteffort.Job], now: float
    ) -> Iterator[Effect]:
        """Send the demand of unassigned tasks, so that agents share freed capacity."""
        # A returned task in its backoff is no demand: other workers may have capacity.
        unassigned = [
            (job, task.step.cpu)
            for job in waiting
            for task in self._assignable_tasks(job, now)
        ]
        cpu = sum(task_cpu for _, task_cpu in unassigned)
        rank = self._ordering.rank(unassigned[0][0], now) if unassigned else 0
        demand = assignments.Demand(cpu, rank)
        has_changed = demand != self._sent_demand and (
            not cpu
            or not self._sent_demand.waiting_cpu
            or rank != self._sent_demand.rank
        )
        due_s = DEMAND_CHANGE_S if has_changed else DEMAND_REPEAT_S
        if (cpu or has_changed) and now - self._demand_sent_at >= due_s:
            self._sent_demand, self._demand_sent_at = demand, now
            for view in self.fleet.view_by_agent.values():
                if view.is_near and view.is_fresh(now):
                    yield actions.Send(view.agent, demand)

    def _assignable_tasks(
        self, job: besteffort.Job, now: float
    ) -> Iterator[besteffort.Task]:
        return (
            task
            for task in job.all_tasks()
            if task.state is besteffort.TaskState.WAITING
            and max(task.not_before, job.not_before) <= now
            and task.key not in self._revoked_run_by_task
        )

    def _choose_worker(
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
        return self._selection.choose_worker(task, views, now)

    def _record_assignment(
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
        # Counts every run. ``Assign.number`` is the count after all runs that the
        # assignment pass sends to the agent.
        view.add_assignment(task.step)

    def _send_assignment(
        self, job: besteffort.Job, agent: str, tasks: list[besteffort.Task], now: float
    ) -> Iterator[Effect]:
        view, step = self.fleet.view_by_agent[agent], tasks[0].step
        submission = job.submission
        yield actions.LogEvent(
            "task.assigned",
            {
                "job": submission.job,
                "tasks": [f"{task.key.step}.{task.key.index}" for task in tasks],
                "runs": [task.run for task in tasks],
                "agent": agent,
                "committed_cpu": view.committed_cpu(),
                "report_age_ms": int((now - view.reported_at) * 1000),
                "waited_ms": self._age_ms(job),
            },
        )
        yield actions.Send(
            agent,
            assignments.Assign(
                view.last_assign_number,
                submission.job,
                tasks[0].key.step,
                submission.spec,
                tuple(task.key.index for task in tasks),
                tuple(task.run for task in tasks),
                step.cpu,
                step.memory_mb,
                step.gpu,
                submission.priority,
                max(0, int((job.start_by() - now) * 1000)),
                int(step.estimate_s * 1000),
                submission.service,
                step.label,
            ),
        )

    def _age_ms(self, job: besteffort.Job) -> int:
        return int((self._time.now() - job.received_at) * 1000)
