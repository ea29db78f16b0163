"""Decides for an entry host which task runs where, and how each job ends."""

from __future__ import annotations

from collections.abc import Iterator

from burdockgate import assignments, codes
from burdockgate.process import actions, assigner, executoractions, fleet
from burdockgate.request import besteffort

# A worker that was ejected or is out of reach is tried again after one second.
NO_WORKER_RETRY_S = 1.0
# Another entry host takes the request at once.
RETRY_ELSEWHERE_S = 1.0
# Estimates are up to 40% off, and slow workers take a quarter longer.
LONG_RUN_FACTOR = 1.75
# How often the waiting jobs are looked through for those without a chance.
REJECT_INTERVAL_S = 0.1
# A job is rejected only when half of the work ahead of it would already take too long:
# estimates are 40% off, and the rate of a moment is not that of the next.
HOPELESS_SHARE = 0.5
# Reports of changes come more often than the lease of 0.7 s needs to be renewed. The
# regular reports of every 0.2 s all renew it.
RENEWAL_INTERVAL_S = 0.15
# Latency and late timers, beside the limits that the agent keeps.
AGENT_GONE_MARGIN_S = 0.2


def agent_timeout_s(limits: executoractions.ExecutorSettings) -> float:
    """Return the time after which the runs of a silent agent have ended.

    The agent stops them when its session lease lapses. When the worker does not
    confirm the stops, the agent lets the lease of the worker lapse.

    :param limits: what the agents keep to.
    """
    stops_s = 2 * limits.stop_repeat_s
    lease_s = limits.worker_lease_s * (1 + limits.clock_drift)
    return limits.session_lease_s + stops_s + lease_s + AGENT_GONE_MARGIN_S


class Scheduler(assigner.Assigner):
    """The entry host's decisions; all methods but queries are generators of effects."""

    def submit(
        self, submission: besteffort.Submission, ticket: int
    ) -> Iterator[assigner.Effect]:
        """Take a job, or answer at once.

        :param submission: the job.
        :param ticket: number of the caller's request.
        """
        now = self._time.now()
        job = self.job_by_id.get(submission.job)
        if job is not None:
            yield actions.LogEvent(
                "job.joined", {"job": submission.job, "request": submission.request}
            )
            job.tickets.add(ticket)
            return
        ended = self._ended.get(submission.job)
        if ended is not None and isinstance(ended.verdict, besteffort.Completed):
            yield actions.LogEvent(
                "job.repeated", {"job": submission.job, "request": submission.request}
            )
            yield assigner.Respond(ticket, submission.job, ended.verdict)
            return
        refusal = self._refusal(submission)
        if refusal is not None:
            yield actions.LogEvent(
                "job.refused",
                {
                    "job": submission.job,
                    "request": submission.request,
                    "route": submission.route,
                    "code": refusal.code.name,
                    "waiting": len(self.job_by_id),
                },
            )
            yield assigner.Respond(ticket, submission.job, refusal)
            return
        job = besteffort.Job.begin(submission, now, ticket)
        self.job_by_id[submission.job] = self._waiting_by_id[submission.job] = job
        yield actions.LogEvent(
            "job.received",
            {
                "job": submission.job,
                "request": submission.request,
                "route": submission.route,
                "tasks": sum(step.count for step in submission.steps),
                "objective_ms": int(job.objective_s() * 1000),
                "deadline_ms": int(submission.deadline_s * 1000),
            },
        )
        yield from self._assign_soon()

    def _refusal(self, submission: besteffort.Submission) -> besteffort.Outcome | None:
        service = submission.service
        is_settling = self._time.now() - self._started_at < self._settings.settling_s
        if not is_settling and not any(self.fleet.serving(service, self._time.now())):
            return besteffort.Refused(codes.Code.NOT_READY, NO_WORKER_RETRY_S)
        if self.stops_at is not None:
            chain_s = besteffort.Job.begin(submission, 0.0, 0).chain_s()
            if self._time.now() + LONG_RUN_FACTOR * chain_s > self.stops_at:
                return besteffort.Refused(codes.Code.DRAINING, RETRY_ELSEWHERE_S)
        if not is_settling and not all(
            self.fleet.can_fit(step, service) for step in submission.steps
        ):
            return besteffort.Refused(codes.Code.NEVER_FITS, NO_WORKER_RETRY_S)
        if len(self.job_by_id) >= self._settings.waiting_jobs:
            return besteffort.Refused(
                codes.Code.BACKLOG_FULL, self._retry_after_s(service)
            )
        return None

    def abandon(self, job_id: str, ticket: int) -> Iterator[assigner.Effect]:
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
        yield actions.LogEvent(
            "job.abandoned", {"job": job_id, "age_ms": self._age_ms(job)}
        )
        verdict = besteffort.Interrupted(codes.Code.REQUEST_CUT)
        yield from self._end_job(job, verdict)

    def cancel(self, job_id: str) -> Iterator[assigner.Effect]:
        """End a job on request.

        :param job_id: identifier of the job.
        """
        job = self.job_by_id.get(job_id)
        if job is not None:
            is_run = job.has_run or bool(job.assigned())
            yield from self._end_job(
                job,
                besteffort.Interrupted(codes.Code.CANCELLED_MAY_HAVE_RUN)
                if is_run
                else besteffort.Refused(codes.Code.CANCELLED_NOT_RUN, 0.0),
            )

    def interrupt_all(self) -> Iterator[assigner.Effect]:
        """End every job because the process ends."""
        for job in list(self.job_by_id.values()):
            verdict = besteffort.Interrupted(codes.Code.OWNER_LOST)
            yield from self._end_job(job, verdict)

    def unassigned_job_count(self, route: str) -> int:
        """Return how many jobs of a route have not begun.

        :param route: name of the route.
        """
        return sum(
            1
            for job in self.job_by_id.values()
            if job.submission.route == route and not job.has_been_assigned
        )

    def handle_agent_connected(
        self, hello: assignments.AgentHello, own_boot: int
    ) -> Iterator[assigner.Effect]:
        """Handle a new connection of an agent.

        :param hello: its first message.
        :param own_boot: number of this process' life; runs held for an earlier life
            are not ours.
        """
        now = self._time.now()
        view = self.fleet.view_by_agent.get(hello.name)
        held = set(hello.active_runs) if hello.entry_boot == own_boot else set()
        if view is None:
            view = fleet.WorkerView(hello.name, hello.boot, hello.zone)
            self.fleet.view_by_agent[hello.name] = view
        elif view.boot != hello.boot:
            yield actions.LogEvent(
                "agent.restarted", {"agent": hello.name, "boot": hello.boot}
            )
            view.boot, view.is_recovering = hello.boot, True
            view.info = None
            view.ends_through = 0
        view.reset_session()
        view.renewed_at = now
        # Ends that were under way are repeated before the first report; what is
        # missing then is gone.
        view.unconfirmed = {task.run_key for task in self._tasks_of(hello.name)} - held
        yield actions.LogEvent("agent.linked", {"agent": hello.name, "held": len(held)})

    def handle_agent_disconnected(self, agent: str) -> Iterator[assigner.Effect]:
        """Handle the loss of the connection to an agent.

        :param agent: its name.
        """
        view = self.fleet.view_by_agent.get(agent)
        if view is not None and view.is_linked:
            view.is_linked = False
            yield actions.LogEvent(
                "agent.unlinked",
                {"agent": agent, "tasks": len(self._tasks_of(agent))},
            )

    def handle_worker_info(
        self, agent: str, info: assignments.WorkerInfo
    ) -> Iterator[assigner.Effect]:
        """Handle facts about a worker.

        :param agent: name of its agent.
        :param info: the facts.
        """
        self.fleet.view_by_agent[agent].info = info
        yield actions.LogEvent("worker.known", {"agent": agent, "worker": info.worker})

    def handle_load_report(
        self, agent: str, load: assignments.LoadReport
    ) -> Iterator[assigner.Effect]:
        """Handle a report: renew the session and use the room that it shows.

        :param agent: name of the agent.
        :param load: the report.
        """
        now, view = self._time.now(), self.fleet.view_by_agent[agent]
        before = view.load.state if view.load else None
        view.apply_report(load, now)
        if before is not load.state:
            yield actions.LogEvent(
                "worker.state",
                {"agent": agent, "state": load.state.name, "speed": load.speed},
            )
        if not view.is_recovering:
            yield from self._lose_unconfirmed(view)
        elif load.state is not assignments.WorkerState.UNREACHABLE:
            # The new life of the agent has seen the worker without foreign runs.
            view.is_recovering = False
            yield from self._lose_all(agent, "agent restarted")
        if now >= view.renewal_due_at:
            view.renewed_at, view.renewal_due_at = now, now + RENEWAL_INTERVAL_S
            yield actions.Send(
                agent,
                assignments.Renewal(
                    load.sent_at_us, view.ends_through, self.configuration_version
                ),
            )
        yield from self._assign_soon()

    def handle_task_end(
        self, agent: str, end: assignments.TaskEnd
    ) -> Iterator[assigner.Effect]:
        """Handle the end of a run.

        :param agent: name of the agent.
        :param end: the end.
        """
        view = self.fleet.view_by_agent[agent]
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
            task.state is not besteffort.TaskState.ASSIGNED
            or task.run != key.run
            or task.agent != agent
        ):
            return
        yield from self._task_ended(job, task, end.kind, end.next_run)

    def _task_ended(
        self,
        job: besteffort.Job,
        task: besteffort.Task,
        kind: assignments.EndKind,
        next_run: int,
    ) -> Iterator[assigner.Effect]:
        now, agent = self._time.now(), task.agent
        task.agent = ""
        if kind is assignments.EndKind.DONE:
            job.has_run = True
            task.state = besteffort.TaskState.DONE
            job.unblock()
            if job.is_complete:
                yield from self._end_job(job, besteffort.Completed())
            elif job.is_waiting:
                self._waiting_by_id[task.key.job] = job
            yield from self._assign_soon()
            return
        task.state = besteffort.TaskState.WAITING
        self._waiting_by_id[task.key.job] = job
        task.run = max(task.run, next_run - 1)
        task.avoided_until_by_agent[agent] = now + self._settings.avoid_s
        yield actions.LogEvent(
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
                yield from self._end_job(job, besteffort.Failed(codes.Code.TASK_FAILED))
                return
        yield from self._assign_soon()

    def _tasks_of(self, agent: str) -> list[besteffort.Task]:
        return [
            task
            for job in self.job_by_id.values()
            for task in job.all_tasks()
            if task.state is besteffort.TaskState.ASSIGNED and task.agent == agent
        ]

    def _lose_unconfirmed(self, view: fleet.WorkerView) -> Iterator[assigner.Effect]:
        """End the runs that an agent neither holds nor has ended."""
        missing, view.unconfirmed = view.unconfirmed, set()
        for task in self._tasks_of(view.agent) if missing else []:
            job = self.job_by_id.get(task.key.job)
            if task.run_key in missing and job is not None:
                # Whether the message came before the connection broke is not known.
                yield from self._task_ended(
                    job, task, assignments.EndKind.LOST, task.run + 1
                )

    def _lose_all(self, agent: str, reason: str) -> Iterator[assigner.Effect]:
        """Treat all runs of an agent as ended."""
        for key in [key for key, at in self._lingering.items() if at == agent]:
            del self._lingering[key]
        tasks = self._tasks_of(agent)
        if tasks:
            yield actions.LogEvent(
                "agent.runs_lost",
                {"agent": agent, "reason": reason, "tasks": len(tasks)},
            )
        for task in tasks:
            job = self.job_by_id.get(task.key.job)
            if job is not None and task.state is besteffort.TaskState.ASSIGNED:
                yield from self._task_ended(
                    job, task, assignments.EndKind.LOST, task.run + 1
                )

    def _end_job(
        self, job: besteffort.Job, verdict: besteffort.Outcome
    ) -> Iterator[assigner.Effect]:
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
            yield actions.Send(agent, assignments.Revoke(tuple(keys)))
        yield actions.LogEvent(
            "job.ended",
            {
                "job": job_id,
                "request": job.submission.request,
                "route": job.submission.route,
                "code": verdict.code.name,
                "age_ms": self._age_ms(job),
                "objective_ms": int(job.objective_s() * 1000),
                "revoked": sum(map(len, by_agent.values())),
            },
        )
        for ticket in sorted(job.tickets):
            yield assigner.Respond(ticket, job_id, verdict)

    def tick(self) -> Iterator[assigner.Effect]:
        """Do what is due; call every few tens of milliseconds."""
        now = self._time.now()
        for view in list(self.fleet.view_by_agent.values()):
            is_gone = now - view.renewed_at > self._settings.agent_timeout_s
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

    def _expire(self, job: besteffort.Job, now: float) -> Iterator[assigner.Effect]:
        """End a job that can't be of use to its caller any more."""
        remaining_s = job.remaining_s()
        if job.has_run or job.assigned():
            if now + remaining_s > job.received_at + job.submission.deadline_s:
                verdict = besteffort.Interrupted(codes.Code.DEADLINE_MAY_HAVE_RUN)
                yield from self._end_job(job, verdict)
        elif now + remaining_s > job.useful_until():
            yield from self._reject(job)

    def _reject(self, job: besteffort.Job) -> Iterator[assigner.Effect]:
        retry_after_s = self._retry_after_s(job.submission.service)
        verdict = besteffort.Refused(codes.Code.QUEUE_TIMEOUT, retry_after_s)
        yield from self._end_job(job, verdict)

    def _reject_hopeless(self, now: float) -> Iterator[assigner.Effect]:
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
