"""Decides for an entry host which task runs where, and how each job ends."""

from __future__ import annotations

import collections
import random
from collections.abc import Iterable, Iterator

import attrs

from burdockgate import assignments, clock, codes
from burdockgate.process import fleet, gate, selection, throughput
from burdockgate.request import batch


@attrs.frozen
class SchedulerSettings:
    """Limits of the scheduler; times in seconds.

    :param agent_gone_s: time since the last renewal after which all runs of an agent
        that is not connected have ended, as :func:`agent_gone_s` gives it.
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

    agent_gone_s: float = 2.3
    return_pause_s: float = 0.01
    avoid_s: float = 0.25
    kept_s: float = 20.0
    kept_jobs: int = 4000
    examined_tasks: int = 100
    waiting_jobs: int = 2000
    settling_s: float = 3.0


# A worker that was ejected or is out of reach is tried again after one second.
NO_WORKER_RETRY_S = 1.0
# Another entry host takes the request at once.
RETRY_ELSEWHERE_S = 1.0
# Estimates are up to 40% off, and slow workers take a quarter longer.
LONG_RUN_FACTOR = 1.75
# While tasks wait, agents hear of a more urgent one this often, and of the amount.
DEMAND_CHANGE_S = 0.01
DEMAND_REPEAT_S = 0.1
# How often the waiting jobs are looked through for those without a chance.
REJECT_INTERVAL_S = 0.1
# A job is rejected only when half of the work ahead of it would already take too long:
# estimates are 40% off, and the rate of a moment is not that of the next.
HOPELESS_SHARE = 0.5
# Latency and late timers, beside the limits that the agent keeps.
AGENT_GONE_MARGIN_S = 0.2


def agent_gone_s(limits: gate.GateSettings) -> float:
    """Return the time after which the runs of a silent agent have ended.

    The agent stops them when its session lease lapses. When the worker does not
    confirm the stops, the agent lets the lease of the worker lapse.

    :param limits: what the agents keep to.
    """
    stops_s = 2 * limits.stop_repeat_s
    lease_s = limits.worker_lease_s * (1 + limits.clock_drift)
    return limits.session_lease_s + stops_s + lease_s + AGENT_GONE_MARGIN_S


@attrs.frozen
class Send:
    """Effect: send a message to an agent; dropped when it is not connected."""

    to: str
    message: assignments.Message


@attrs.frozen
class Conclude:
    """Effect: answer a caller's request.

    :param ticket: number of the request.
    """

    ticket: int
    job: str
    verdict: batch.Verdict


@attrs.frozen
class Note:
    """Effect: write a log line."""

    event: str
    fields: dict[str, object]


@attrs.frozen
class AssignSoon:
    """Effect: call :meth:`Scheduler.assign` within a millisecond or two."""


Effect = Send | Conclude | Note | AssignSoon


class Scheduler:
    """The entry host's decisions; all methods but queries are generators of effects.

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
        self.job_by_id: dict[str, batch.Job] = {}
        self._waiting_by_id: dict[str, batch.Job] = {}
        self._is_assign_due = False
        self._demand = assignments.Demand(0, 0)
        self._demanded_at = 0.0
        self._rejected_at = 0.0
        self._throughput = throughput.Throughput(time.now())
        self._ended: collections.OrderedDict[str, batch.Job] = collections.OrderedDict()
        # Runs of jobs that are not in progress any more but may still run, with the
        # time after which they count as ended.
        self._lingering: dict[assignments.TaskKey, str] = {}

    # Callers.

    def submit(self, submission: batch.Submission, ticket: int) -> Iterator[Effect]:
        """Take a job, or answer at once.

        :param submission: the job.
        :param ticket: number of the caller's request.
        """
        now = self._time.now()
        job = self.job_by_id.get(submission.job)
        if job is not None:
            yield Note("job.joined", {"job": submission.job})
            job.tickets.add(ticket)
            return
        ended = self._ended.get(submission.job)
        if ended is not None and isinstance(ended.verdict, batch.Completed):
            yield Note("job.repeated", {"job": submission.job})
            yield Conclude(ticket, submission.job, ended.verdict)
            return
        refusal = self._refusal(submission)
        if refusal is not None:
            yield Note(
                "job.refused",
                {
                    "job": submission.job,
                    "route": submission.route,
                    "code": refusal.code.name,
                    "waiting": len(self.job_by_id),
                },
            )
            yield Conclude(ticket, submission.job, refusal)
            return
        job = batch.Job.begin(submission, now, ticket)
        self.job_by_id[submission.job] = self._waiting_by_id[submission.job] = job
        yield Note(
            "job.received",
            {
                "job": submission.job,
                "route": submission.route,
                "tasks": sum(step.count for step in submission.steps),
                "objective_ms": int(job.objective_s() * 1000),
                "deadline_ms": int(submission.deadline_s * 1000),
            },
        )
        yield from self._assign_soon()

    def _refusal(self, submission: batch.Submission) -> batch.Verdict | None:
        service = submission.service
        is_settling = self._time.now() - self._started_at < self._settings.settling_s
        if not is_settling and not any(self.fleet.serving(service, self._time.now())):
            return batch.Refused(codes.Code.NOT_READY, NO_WORKER_RETRY_S)
        if self.stops_at is not None:
            chain_s = batch.Job.begin(submission, 0.0, 0).chain_s()
            if self._time.now() + LONG_RUN_FACTOR * chain_s > self.stops_at:
                return batch.Refused(codes.Code.DRAINING, RETRY_ELSEWHERE_S)
        if len(self.job_by_id) >= self._settings.waiting_jobs:
            return batch.Refused(codes.Code.BACKLOG_FULL, self._retry_after_s(service))
        return None

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
            if task.state is not batch.TaskState.DONE
        )
        # Other entry hosts use the same workers; each is expected to have like work.
        return max(1.0, work / capacity)

    def abandon(self, job_id: str, ticket: int) -> Iterator[Effect]:
        """Handle that a caller has gone: nobody can get the answer any more.

        :param job_id: identifier of the job.
        :param ticket: number of the caller's request.
        """
        job = self.job_by_id.get(job_id)
        if job is None or ticket not in job.tickets:
            return
        job.tickets.discard(ticket)
        if job.tickets:
            return
        yield Note("job.abandoned", {"job": job_id, "age_ms": self._age_ms(job)})
        verdict = batch.Interrupted(codes.Code.REQUEST_CUT)
        yield from self._end_job(job, verdict)

    def cancel(self, job_id: str) -> Iterator[Effect]:
        """End a job on request.

        :param job_id: identifier of the job.
        """
        job = self.job_by_id.get(job_id)
        if job is not None:
            is_run = job.has_run or bool(job.assigned())
            yield from self._end_job(
                job,
                batch.Interrupted(codes.Code.CANCELLED_MAY_HAVE_RUN)
                if is_run
                else batch.Refused(codes.Code.CANCELLED_NOT_RUN, 0.0),
            )

    def interrupt_all(self) -> Iterator[Effect]:
        """End every job because the process ends."""
        for job in list(self.job_by_id.values()):
            verdict = batch.Interrupted(codes.Code.OWNER_LOST)
            yield from self._end_job(job, verdict)

    def pending(self, route: str) -> int:
        """Return how many jobs of a route have not begun.

        :param route: name of the route.
        """
        return sum(
            1
            for job in self.job_by_id.values()
            if job.submission.route == route and not job.is_offered
        )

    # Agents.

    def linked(self, hello: assignments.AgentHello, own_boot: int) -> Iterator[Effect]:
        """Handle a new connection of an agent.

        :param hello: its first message.
        :param own_boot: number of this process' life; runs held for an earlier life
            are not ours.
        """
        now = self._time.now()
        view = self.fleet.by_agent.get(hello.name)
        held = set(hello.held) if hello.entry_boot == own_boot else set()
        if view is None:
            view = fleet.WorkerView(hello.name, hello.boot, hello.zone)
            self.fleet.by_agent[hello.name] = view
        elif view.boot != hello.boot:
            yield Note("agent.restarted", {"agent": hello.name, "boot": hello.boot})
            view.boot, view.is_recovering = hello.boot, True
            view.info = None
            view.ends_through = 0
        view.relink()
        view.renewed_at = now
        # Ends that were under way are repeated before the first report; what is
        # missing then is gone.
        view.unconfirmed = {task.run_key for task in self._tasks_of(hello.name)} - held
        yield Note("agent.linked", {"agent": hello.name, "held": len(held)})

    def unlinked(self, agent: str) -> Iterator[Effect]:
        """Handle the loss of the connection to an agent.

        :param agent: its name.
        """
        view = self.fleet.by_agent.get(agent)
        if view is not None and view.is_linked:
            view.is_linked = False
            yield Note(
                "agent.unlinked",
                {"agent": agent, "tasks": len(self._tasks_of(agent))},
            )

    def informed(self, agent: str, info: assignments.WorkerInfo) -> Iterator[Effect]:
        """Handle facts about a worker.

        :param agent: name of its agent.
        :param info: the facts.
        """
        self.fleet.by_agent[agent].info = info
        yield Note("worker.known", {"agent": agent, "worker": info.worker})

    def reported(self, agent: str, load: assignments.LoadReport) -> Iterator[Effect]:
        """Handle a report: renew the session and use the room that it shows.

        :param agent: name of the agent.
        :param load: the report.
        """
        now, view = self._time.now(), self.fleet.by_agent[agent]
        before = view.load.state if view.load else None
        view.reported(load, now)
        if before is not load.state:
            yield Note(
                "worker.state",
                {"agent": agent, "state": load.state.name, "speed": load.speed},
            )
        if not view.is_recovering:
            yield from self._lose_unconfirmed(view)
        elif load.state is not assignments.WorkerState.UNREACHABLE:
            # The new life of the agent has seen the worker without foreign runs.
            view.is_recovering = False
            yield from self._lose_all(agent, "agent restarted")
        view.renewed_at = now
        yield Send(agent, assignments.Renewal(load.sent_at_us, view.ends_through))
        yield from self._assign_soon()

    def ended(self, agent: str, end: assignments.TaskEnd) -> Iterator[Effect]:
        """Handle the end of a run.

        :param agent: name of the agent.
        :param end: the end.
        """
        view = self.fleet.by_agent[agent]
        view.ends_through = max(view.ends_through, end.number)
        key = end.key
        lingering = self._lingering.get(key.task)
        if lingering == agent:
            del self._lingering[key.task]
        job = self.job_by_id.get(key.task.job)
        if job is None:
            return
        task = job.tasks[key.task.step][key.task.index]
        if (
            task.state is not batch.TaskState.ASSIGNED
            or task.run != key.run
            or task.agent != agent
        ):
            return
        yield from self._task_ended(job, task, end.kind, end.next_run)

    def _task_ended(
        self,
        job: batch.Job,
        task: batch.Task,
        kind: assignments.EndKind,
        next_run: int,
    ) -> Iterator[Effect]:
        now, agent = self._time.now(), task.agent
        task.agent = ""
        if kind is assignments.EndKind.DONE:
            job.has_run = True
            task.state = batch.TaskState.DONE
            job.unblock()
            if job.is_complete:
                yield from self._end_job(job, batch.Completed())
            elif job.is_waiting:
                self._waiting_by_id[task.key.job] = job
            yield from self._assign_soon()
            return
        task.state = batch.TaskState.WAITING
        self._waiting_by_id[task.key.job] = job
        task.run = max(task.run, next_run - 1)
        task.avoided_until_by_agent[agent] = now + self._settings.avoid_s
        yield Note(
            "task.ended",
            {
                "job": task.key.job,
                "task": f"{task.key.step}.{task.key.index}",
                "run": task.run,
                "agent": agent,
                "kind": kind.name,
                "failures": task.failures,
            },
        )
        if kind is assignments.EndKind.RETURNED:
            task.not_before = now + self._settings.return_pause_s
        else:
            job.has_run = True
        if kind is assignments.EndKind.FAILED:
            task.failures += 1
            task.avoided_until_by_agent[agent] = float("inf")
            if task.failures >= job.submission.max_attempts:
                yield from self._end_job(job, batch.Failed(codes.Code.TASK_FAILED))
                return
        yield from self._assign_soon()

    def _tasks_of(self, agent: str) -> list[batch.Task]:
        return [
            task
            for job in self.job_by_id.values()
            for task in job.all_tasks()
            if task.state is batch.TaskState.ASSIGNED and task.agent == agent
        ]

    def _lose_unconfirmed(self, view: fleet.WorkerView) -> Iterator[Effect]:
        """End the runs that an agent neither holds nor has ended."""
        missing, view.unconfirmed = view.unconfirmed, set()
        for task in self._tasks_of(view.agent) if missing else []:
            job = self.job_by_id.get(task.key.job)
            if task.run_key in missing and job is not None:
                # Whether the message came before the connection broke is not known.
                yield from self._task_ended(
                    job, task, assignments.EndKind.LOST, task.run + 1
                )

    def _lose_all(self, agent: str, reason: str) -> Iterator[Effect]:
        """Treat all runs of an agent as ended."""
        for key in [key for key, at in self._lingering.items() if at == agent]:
            del self._lingering[key]
        tasks = self._tasks_of(agent)
        if tasks:
            yield Note(
                "agent.runs_lost",
                {"agent": agent, "reason": reason, "tasks": len(tasks)},
            )
        for task in tasks:
            job = self.job_by_id.get(task.key.job)
            if job is not None and task.state is batch.TaskState.ASSIGNED:
                yield from self._task_ended(
                    job, task, assignments.EndKind.LOST, task.run + 1
                )

    # Assigning.

    def _assign_soon(self) -> Iterator[Effect]:
        """Ask for one assignment after many reports and ends.

        Assigning at each of them would take the whole processor when jobs wait.
        """
        if self._waiting_by_id and not self._is_assign_due:
            self._is_assign_due = True
            yield AssignSoon()

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
        chosen: dict[tuple[str, int, str], list[batch.Task]] = {}
        for job in waiting:
            service = job.submission.service
            for task in self._assignable(job, now):
                if task.step.cpu >= full_by_service.get(service, 1 << 60):
                    continue
                examined += 1
                view = self._choose(job, task, now)
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

    def _tell_demand(self, waiting: list[batch.Job], now: float) -> Iterator[Effect]:
        """Tell the agents what found no room, so that they share out what frees."""
        left = [job for job in waiting if job.is_waiting]
        cpu = sum(
            task.step.cpu
            for job in left
            for task in job.all_tasks()
            if task.state is batch.TaskState.WAITING
        )
        rank = self._ordering.rank(left[0], now) if left else 0
        demand = assignments.Demand(cpu, rank)
        changed = demand != self._demand and (
            not cpu or not self._demand.waiting_cpu or rank != self._demand.rank
        )
        due_s = DEMAND_CHANGE_S if changed else DEMAND_REPEAT_S
        if (cpu or changed) and now - self._demanded_at >= due_s:
            self._demand, self._demanded_at = demand, now
            for view in self.fleet.by_agent.values():
                if view.is_fresh(now):
                    yield Send(view.agent, demand)

    def _assignable(self, job: batch.Job, now: float) -> Iterator[batch.Task]:
        return (
            task
            for task in job.all_tasks()
            if task.state is batch.TaskState.WAITING
            and task.not_before <= now
            and task.key not in self._lingering
        )

    def _choose(
        self, job: batch.Job, task: batch.Task, now: float
    ) -> fleet.WorkerView | None:
        service = job.submission.service
        views: Iterable[fleet.WorkerView] = self.fleet.serving(service, now)
        limit = task.step.max_per_worker
        if limit:
            counts = collections.Counter(
                other.agent
                for other in job.tasks[task.key.step]
                if other.state is batch.TaskState.ASSIGNED
            )
            views = (view for view in views if counts[view.agent] < limit)
        return self._selection.choose(task, views, now)

    def _place(
        self, job: batch.Job, task: batch.Task, view: fleet.WorkerView, now: float
    ) -> None:
        task.state = batch.TaskState.ASSIGNED
        task.run += 1
        task.agent, task.assigned_at = view.agent, now
        job.is_offered = True
        self._throughput.add(task.step.cpu / 1000 * task.step.estimate_s)
        # Each task is counted by itself; the message carries the last number.
        view.assign(1, task.step)

    def _send(
        self, job: batch.Job, agent: str, tasks: list[batch.Task], now: float
    ) -> Iterator[Effect]:
        view, step = self.fleet.by_agent[agent], tasks[0].step
        given = job.submission
        yield Note(
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
        yield Send(
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

    # Ends and time.

    def _age_ms(self, job: batch.Job) -> int:
        return int((self._time.now() - job.received_at) * 1000)

    def _end_job(self, job: batch.Job, verdict: batch.Verdict) -> Iterator[Effect]:
        """End a job, stop what still runs of it and answer its caller."""
        job.verdict, job.ended_at = verdict, self._time.now()
        job_id = job.submission.job
        del self.job_by_id[job_id]
        self._waiting_by_id.pop(job_id, None)
        self._ended[job_id] = job
        self._ended.move_to_end(job_id)
        by_agent: dict[str, list[assignments.RunKey]] = {}
        for task in job.assigned():
            self._lingering[task.key] = task.agent
            by_agent.setdefault(task.agent, []).append(task.run_key)
        for agent, keys in by_agent.items():
            yield Send(agent, assignments.Revoke(tuple(keys)))
        yield Note(
            "job.ended",
            {
                "job": job_id,
                "route": job.submission.route,
                "code": verdict.code.name,
                "age_ms": self._age_ms(job),
                "objective_ms": int(job.objective_s() * 1000),
                "revoked": sum(map(len, by_agent.values())),
            },
        )
        for ticket in sorted(job.tickets):
            yield Conclude(ticket, job_id, verdict)

    def tick(self) -> Iterator[Effect]:
        """Do what is due; call every few tens of milliseconds."""
        now = self._time.now()
        for view in list(self.fleet.by_agent.values()):
            is_gone = now - view.renewed_at > self._settings.agent_gone_s
            if is_gone and (view.is_recovering or not view.is_linked):
                view.is_recovering = False
                yield from self._lose_all(view.agent, "agent silent")
        for job in list(self.job_by_id.values()):
            yield from self._expire(job, now)
        if now - self._rejected_at >= REJECT_INTERVAL_S:
            self._rejected_at = now
            yield from self._reject_hopeless(now)
        self._forget(now)
        yield from self.assign()

    def _expire(self, job: batch.Job, now: float) -> Iterator[Effect]:
        """End a job that can't be of use to its caller any more."""
        remaining_s = job.remaining_s()
        if job.has_run or job.assigned():
            if now + remaining_s > job.received_at + job.submission.deadline_s:
                verdict = batch.Interrupted(codes.Code.DEADLINE_MAY_HAVE_RUN)
                yield from self._end_job(job, verdict)
        elif now + remaining_s > job.useful_until():
            yield from self._reject(job)

    def _reject(self, job: batch.Job) -> Iterator[Effect]:
        retry_after_s = self._retry_after_s(job.submission.service)
        verdict = batch.Refused(codes.Code.QUEUE_TIMEOUT, retry_after_s)
        yield from self._end_job(job, verdict)

    def _reject_hopeless(self, now: float) -> Iterator[Effect]:
        """Reject the waiting jobs whose turn will come too late.

        Their callers learn at once when to return, instead of after their deadline.
        """
        ahead_s = 0.0
        rate = self._throughput.rate(now)
        waiting = sorted(
            self._waiting_by_id.values(),
            key=lambda job: self._ordering.key(job, now),
        )
        for job in waiting:
            is_begun = job.has_run or bool(job.assigned())
            begins_at = now + HOPELESS_SHARE * ahead_s / rate if rate else now
            if not is_begun and begins_at + job.remaining_s() > job.useful_until():
                yield from self._reject(job)
            else:
                ahead_s += job.waiting_core_s()

    def _forget(self, now: float) -> None:
        while self._ended:
            job = next(iter(self._ended.values()))
            is_old = now - job.ended_at > self._settings.kept_s
            if not is_old and len(self._ended) <= self._settings.kept_jobs:
                return
            self._ended.popitem(last=False)
