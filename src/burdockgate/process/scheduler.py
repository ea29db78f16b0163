"""Scheduler of best-effort jobs on an entry host.

Admits jobs, tracks the runs of their tasks and decides how each job ends. The base
class in :mod:`assigner` chooses the workers; :mod:`entrydaemon` performs the effects.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from burdockgate import assignments, codes
from burdockgate.process import actions, assigner, executoractions, fleet, restart
from burdockgate.request import besteffort, caller

# Retry time when no worker can take a task of the job. Ejected and unreachable workers
# are retried after one second.
NO_WORKER_RETRY_S = 1.0
# Another entry host can accept the job immediately.
RETRY_ELSEWHERE_S = 1.0
# How often jobs and agents are checked for time limits, which are 0.2 s or longer.
EXPIRY_CHECK_INTERVAL_S = 0.06
# How often the callers of jobs in progress are looked at. A caller sends its job again
# 1.3 s after its connection ended.
CALLER_CHECK_INTERVAL_S = 0.2
# How often waiting jobs are checked for those that cannot finish in time.
REFUSAL_CHECK_INTERVAL_S = 0.1
# Share of the estimated queueing delay that counts against a waiting job. It is below 1
# because estimates are up to 40% off and the throughput fluctuates.
QUEUE_DELAY_FACTOR = 0.5
# Share of its even part of the workers that an entry host gets at least, as the most
# urgent work of all entry hosts is served first. A lower measured rate is from a time
# in which workers were away.
MIN_RATE_SHARE = 0.5
# Minimum interval between renewals. Load changes are reported more often than a session
# lease of 0.7 s has to be renewed. The interval is below the 0.2 s between periodic
# reports, so that each of those renews the lease.
RENEWAL_INTERVAL_S = 0.15
# Workers whose agent has been disconnected for this long are dropped; they have been
# replaced under another name.
WORKER_TTL_S = 60.0
# Wait for the end of the connection behind a request that was read late. A client or a
# proxy whose packets were held back sends it when the request has been acknowledged, a
# round trip of up to 6 ms later.
LATE_REQUEST_DELAY_S = 0.02
# Allows for late timers of the worker, and for clocks that differ.
AGENT_TIMEOUT_MARGIN_S = 0.2


def agent_timeout_s(limits: executoractions.ExecutorSettings) -> float:
    """Return the seconds after which all runs of a silent agent have ended.

    Counted from the last renewal sent. Whether the agent lives or not, it has not
    extended the lease of its worker beyond the limit of the run's owner.

    :param limits: timeouts that the agents enforce.
    """
    lease_s = limits.orphan_lease_s * (1 + limits.clock_drift)
    return lease_s + AGENT_TIMEOUT_MARGIN_S


class Scheduler(assigner.Assigner):
    """Handles events of callers and agents; handlers yield the resulting effects."""

    def submit(
        self,
        submission: besteffort.Submission,
        ticket: int,
        client: caller.Caller,
        is_late: bool = False,
    ) -> Iterator[assigner.Effect]:
        """Accept a job, join it to the same job in progress, or answer it at once.

        :param submission: the job.
        :param ticket: number of the caller's request.
        :param client: the caller.
        :param is_late: whether the request was read late, so that the caller may have
            left since.
        """
        now = self._time.now()
        job = self.job_by_id.get(submission.job)
        if job is not None:
            yield actions.LogEvent(
                "job.joined", {"job": submission.job, "request": submission.request}
            )
            job.caller_by_ticket[ticket] = client
            if is_late:
                self._delay(job, now)
            return
        ended = self._ended.get(submission.job)
        if ended is not None and isinstance(ended.outcome, besteffort.Completed):
            yield actions.LogEvent(
                "job.repeated", {"job": submission.job, "request": submission.request}
            )
            yield assigner.Respond(ticket, submission.job, ended.outcome)
            return
        refusal = self._check_admission(submission)
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
        job = besteffort.Job.from_submission(submission, now)
        job.caller_by_ticket[ticket] = client
        if is_late:
            self._delay(job, now)
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
                "late": is_late,
            },
        )
        yield from self._schedule_assignment()

    @staticmethod
    def _delay(job: besteffort.Job, now: float) -> None:
        job.not_before = now + LATE_REQUEST_DELAY_S

    def handle_stall(self) -> None:
        """Handle that the event loop has stood still: callers may have left since."""
        for job in self.job_by_id.values():
            self._delay(job, self._time.now())

    def _check_admission(
        self, submission: besteffort.Submission
    ) -> besteffort.Outcome | None:
        """Return why a job is refused; ``None`` when it is admitted."""
        service = submission.service
        is_starting_up = (
            self._time.now() - self._started_at < self._settings.startup_grace_s
        )
        if not is_starting_up and not any(
            self.fleet.assignable_workers(service, self._time.now())
        ):
            return besteffort.Refused(codes.Code.NOT_READY, NO_WORKER_RETRY_S)
        if self.stop_deadline is not None:
            path_s = besteffort.Job.from_submission(submission, 0.0).critical_path_s()
            if not restart.can_end(
                path_s, submission.deadline_s, self._time.now(), self.stop_deadline
            ):
                return besteffort.Refused(codes.Code.DRAINING, RETRY_ELSEWHERE_S)
        if not is_starting_up and not all(
            self.fleet.can_fit(step, service) for step in submission.steps
        ):
            return besteffort.Refused(codes.Code.NEVER_FITS, NO_WORKER_RETRY_S)
        if len(self.job_by_id) >= self._settings.max_jobs:
            return besteffort.Refused(
                codes.Code.BACKLOG_FULL, self._retry_after_s(service)
            )
        return None

    def handle_caller_disconnected(
        self, job_id: str, ticket: int
    ) -> Iterator[assigner.Effect]:
        """End a job whose last waiting caller has disconnected.

        :param job_id: identifier of the job.
        :param ticket: number of the caller's request.
        """
        job = self.job_by_id.get(job_id)
        if job is None or ticket not in job.caller_by_ticket:
            return
        del job.caller_by_ticket[ticket]
        if not job.caller_by_ticket:
            yield from self._abandon(job, "end of the connection read")

    def _abandon(self, job: besteffort.Job, reason: str) -> Iterator[assigner.Effect]:
        yield actions.LogEvent(
            "job.abandoned",
            {
                "job": job.submission.job,
                "age_ms": self._age_ms(job),
                "reason": reason,
            },
        )
        outcome = besteffort.Interrupted(codes.Code.REQUEST_CUT)
        yield from self._end_job(job, outcome)

    def _abandon_disconnected(self) -> Iterator[assigner.Effect]:
        """End the jobs none of whose callers is connected any more.

        The end of a connection is not read while a request sent ahead waits on it.
        """
        for job in list(self.job_by_id.values()):
            if not job.has_caller():
                yield from self._abandon(job, "found by a check")

    def _abandon_unassigned(self, job: besteffort.Job) -> Iterator[assigner.Effect]:
        yield from self._abandon(job, "found before an assignment")

    def cancel(self, job_id: str) -> Iterator[assigner.Effect]:
        """End a job on request.

        :param job_id: identifier of the job.
        """
        job = self.job_by_id.get(job_id)
        if job is not None:
            yield from self._end_job(
                job,
                besteffort.Interrupted(codes.Code.CANCELLED_MAY_HAVE_RUN)
                if job.is_started
                else besteffort.Refused(codes.Code.CANCELLED_NOT_RUN, 0.0),
            )

    def interrupt_all(self) -> Iterator[assigner.Effect]:
        """End every job because the process is about to exit."""
        for job in list(self.job_by_id.values()):
            outcome = besteffort.Interrupted(codes.Code.OWNER_LOST)
            yield from self._end_job(job, outcome)

    def unassigned_job_count(self, route: str) -> int:
        """Return how many jobs of a route have not had a task assigned yet.

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
        :param own_boot: boot number of this process; runs that the agent lists for an
            earlier boot are ignored.
        """
        now = self._time.now()
        view = self.fleet.view_by_agent.get(hello.name)
        active_runs = hello.active_runs if hello.entry_boot == own_boot else ()
        if view is None:
            view = fleet.WorkerView(hello.name, hello.boot, hello.zone)
            self.fleet.view_by_agent[hello.name] = view
        elif view.boot != hello.boot:
            yield actions.LogEvent(
                "agent.restarted", {"agent": hello.name, "boot": hello.boot}
            )
            view.boot, view.may_have_old_runs = hello.boot, True
            view.info = None
            view.last_end_number = 0
        view.reset_session()
        view.renewed_at = now
        assigned_runs = {task.run_key for task in self._tasks_assigned_to(hello.name)}
        revoked_runs = set(self._revoked_runs_of(hello.name))
        view.unconfirmed_runs = set()
        # A new process lists none of the runs of earlier ones, which may go on.
        if not view.may_have_old_runs:
            # The agent repeats unacknowledged ends before its first load report. Runs
            # that are still unconfirmed by then count as lost.
            view.unconfirmed_runs = (assigned_runs | revoked_runs) - set(active_runs)
        surplus_runs = [key for key in active_runs if key not in assigned_runs]
        yield actions.LogEvent(
            "agent.linked", {"agent": hello.name, "held": len(active_runs)}
        )
        for key in surplus_runs:
            yield actions.LogEvent("run.surplus", {"run": key, "agent": hello.name})
        yield from self._revoke(hello.name, surplus_runs)

    def _revoke(
        self, agent: str, keys: Iterable[assignments.RunKey]
    ) -> Iterator[assigner.Effect]:
        """Revoke runs, so that their tasks wait until the agent reports their ends.

        The message is lost when the connection breaks. The agent then lists the runs
        when it connects again, and they are revoked again before any renewal.
        """
        keys = tuple(keys)
        for key in keys:
            self._revoked_run_by_task[key.task] = assigner.RevokedRun(agent, key)
        if keys:
            yield actions.Send(agent, assignments.Revoke(keys))

    def _revoked_runs_of(self, agent: str) -> list[assignments.RunKey]:
        return [
            revoked.key
            for revoked in self._revoked_run_by_task.values()
            if revoked.agent == agent
        ]

    def _forget_revoked(self, agent: str, key: assignments.RunKey) -> None:
        """Let a task be assigned again if a run of it was revoked and has ended."""
        if self._revoked_run_by_task.get(key.task) == assigner.RevokedRun(agent, key):
            del self._revoked_run_by_task[key.task]

    def handle_agent_disconnected(self, agent: str) -> Iterator[assigner.Effect]:
        """Handle the loss of the connection to an agent.

        :param agent: its name.
        """
        view = self.fleet.view_by_agent.get(agent)
        if view is None or not view.is_connected:
            return
        view.is_connected = False
        tasks = len(self._tasks_assigned_to(agent))
        yield actions.LogEvent("agent.unlinked", {"agent": agent, "tasks": tasks})
        if (
            view.load is not None
            and view.load.state is assignments.WorkerState.DRAINING
            and not tasks
            and not self._revoked_runs_of(agent)
        ):
            # The agent has left, or serves other entry hosts from now on.
            del self.fleet.view_by_agent[agent]

    def handle_worker_info(
        self, agent: str, info: assignments.WorkerInfo
    ) -> Iterator[assigner.Effect]:
        """Store the static properties of a worker.

        :param agent: name of its agent.
        :param info: capacity and labels of the worker.
        """
        self.fleet.view_by_agent[agent].info = info
        yield actions.LogEvent("worker.known", {"agent": agent, "worker": info.worker})

    def handle_load_report(
        self, agent: str, load: assignments.LoadReport
    ) -> Iterator[assigner.Effect]:
        """Handle a load report: renew the session lease and assign waiting tasks.

        :param agent: name of the agent.
        :param load: the report.
        """
        now, view = self._time.now(), self.fleet.view_by_agent[agent]
        previous_state = view.load.state if view.load else None
        view.apply_report(load, now)
        if previous_state is not load.state:
            yield actions.LogEvent(
                "worker.state",
                {"agent": agent, "state": load.state.name, "speed": load.speed},
            )
        if not view.may_have_old_runs:
            yield from self._mark_unconfirmed_lost(view)
        elif load.earlier_runs_ended:
            view.may_have_old_runs = False
            yield from self._mark_all_lost(agent, "agent restarted")
        if now >= view.renewal_due_at:
            view.renewed_at, view.renewal_due_at = now, now + RENEWAL_INTERVAL_S
            yield actions.Send(
                agent,
                assignments.Renewal(
                    load.sent_at_us, view.last_end_number, self.configuration_version
                ),
            )
        yield from self._schedule_assignment()

    def handle_task_end(
        self, agent: str, end: assignments.TaskEnd
    ) -> Iterator[assigner.Effect]:
        """Handle the end of a run.

        :param agent: name of the agent.
        :param end: the end.
        """
        view = self.fleet.view_by_agent[agent]
        view.last_end_number = max(view.last_end_number, end.number)
        key = end.key
        self._forget_revoked(agent, key)
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
        yield from self._finish_run(job, task, end.kind, end.next_run)

    def _finish_run(
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
            yield from self._schedule_assignment()
            return
        task.state = besteffort.TaskState.WAITING
        self._waiting_by_id[task.key.job] = job
        # The next assignment adds one.
        task.run = max(task.run, next_run - 1)
        task.avoided_until_by_agent[agent] = now + self._settings.avoid_agent_s
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
            task.not_before = now + self._settings.return_backoff_s
        else:
            job.has_run = True
        if kind is assignments.EndKind.FAILED:
            task.failures += 1
            task.avoided_until_by_agent[agent] = float("inf")
            if task.failures >= job.submission.max_attempts:
                yield from self._end_job(job, besteffort.Failed(codes.Code.TASK_FAILED))
                return
        yield from self._schedule_assignment()

    def _tasks_assigned_to(self, agent: str) -> list[besteffort.Task]:
        return [
            task
            for job in self.job_by_id.values()
            for task in job.all_tasks()
            if task.state is besteffort.TaskState.ASSIGNED and task.agent == agent
        ]

    def _mark_unconfirmed_lost(
        self, view: fleet.WorkerView
    ) -> Iterator[assigner.Effect]:
        """Mark the runs as lost that an agent neither lists nor reports as ended."""
        missing, view.unconfirmed_runs = view.unconfirmed_runs, set()
        for key in missing:
            self._forget_revoked(view.agent, key)
        for task in self._tasks_assigned_to(view.agent) if missing else []:
            job = self.job_by_id.get(task.key.job)
            if task.run_key in missing and job is not None:
                # The assignment may or may not have arrived before the disconnect.
                yield from self._finish_run(
                    job, task, assignments.EndKind.LOST, task.run + 1
                )

    def _mark_all_lost(self, agent: str, reason: str) -> Iterator[assigner.Effect]:
        """Mark all runs of an agent as lost."""
        for key in self._revoked_runs_of(agent):
            self._forget_revoked(agent, key)
        tasks = self._tasks_assigned_to(agent)
        if tasks:
            yield actions.LogEvent(
                "agent.runs_lost",
                {"agent": agent, "reason": reason, "tasks": len(tasks)},
            )
        for task in tasks:
            job = self.job_by_id.get(task.key.job)
            if job is not None and task.state is besteffort.TaskState.ASSIGNED:
                yield from self._finish_run(
                    job, task, assignments.EndKind.LOST, task.run + 1
                )

    def _end_job(
        self, job: besteffort.Job, outcome: besteffort.Outcome
    ) -> Iterator[assigner.Effect]:
        """End a job, revoke its remaining runs and answer its callers."""
        job.outcome, job.ended_at = outcome, self._time.now()
        job_id = job.submission.job
        del self.job_by_id[job_id]
        self._waiting_by_id.pop(job_id, None)
        self._ended[job_id] = job
        self._ended.move_to_end(job_id)
        run_keys_by_agent: dict[str, list[assignments.RunKey]] = {}
        for task in job.assigned_tasks():
            run_keys_by_agent.setdefault(task.agent, []).append(task.run_key)
        for agent, keys in run_keys_by_agent.items():
            yield from self._revoke(agent, keys)
        yield actions.LogEvent(
            "job.ended",
            {
                "job": job_id,
                "request": job.submission.request,
                "route": job.submission.route,
                "code": outcome.code.name,
                "age_ms": self._age_ms(job),
                "objective_ms": int(job.objective_s() * 1000),
                "revoked": sum(map(len, run_keys_by_agent.values())),
            },
        )
        # Ended jobs are kept, and would keep the connections of their callers.
        tickets = sorted(job.caller_by_ticket)
        job.caller_by_ticket.clear()
        for ticket in tickets:
            yield assigner.Respond(ticket, job_id, outcome)

    def tick(self) -> Iterator[assigner.Effect]:
        """Handle timeouts and assign tasks; call every few tens of milliseconds."""
        now = self._time.now()
        if now - self._expiry_checked_at >= EXPIRY_CHECK_INTERVAL_S:
            self._expiry_checked_at = now
            yield from self._handle_timeouts(now)
        if now - self._callers_checked_at >= CALLER_CHECK_INTERVAL_S:
            self._callers_checked_at = now
            yield from self._abandon_disconnected()
        if now - self._refusals_checked_at >= REFUSAL_CHECK_INTERVAL_S:
            self._refusals_checked_at = now
            yield from self._refuse_unservable(now)
        self._evict_ended_jobs(now)
        yield from self.assign()

    def _handle_timeouts(self, now: float) -> Iterator[assigner.Effect]:
        """End jobs that are out of time, and give up agents that have been silent."""
        for view in list(self.fleet.view_by_agent.values()):
            is_timed_out = now - view.renewed_at > self._settings.agent_timeout_s
            if is_timed_out and (view.may_have_old_runs or not view.is_connected):
                view.may_have_old_runs = False
                yield from self._mark_all_lost(view.agent, "agent silent")
            elif not view.is_connected and now - view.renewed_at > WORKER_TTL_S:
                yield from self._mark_all_lost(view.agent, "agent gone")
                del self.fleet.view_by_agent[view.agent]
        for job in list(self.job_by_id.values()):
            yield from self._expire(job, now)

    def _expire(self, job: besteffort.Job, now: float) -> Iterator[assigner.Effect]:
        """End a job that can no longer finish in time for its caller."""
        remaining_s = job.remaining_path_s()
        outcome: besteffort.Outcome
        if job.is_started:
            if now + remaining_s > job.received_at + job.submission.deadline_s:
                outcome = besteffort.Interrupted(codes.Code.DEADLINE_MAY_HAVE_RUN)
                yield from self._end_job(job, outcome)
        elif now + remaining_s > job.useful_until():
            yield from self._refuse(job)
        elif self.stop_deadline is not None and now + remaining_s > self.stop_deadline:
            outcome = besteffort.Refused(codes.Code.DRAINING, RETRY_ELSEWHERE_S)
            yield from self._end_job(job, outcome)

    def _refuse(self, job: besteffort.Job) -> Iterator[assigner.Effect]:
        retry_after_s = self._retry_after_s(job.submission.service)
        outcome = besteffort.Refused(codes.Code.QUEUE_TIMEOUT, retry_after_s)
        yield from self._end_job(job, outcome)

    def _refuse_unservable(self, now: float) -> Iterator[assigner.Effect]:
        """Refuse waiting jobs that cannot finish in time behind the jobs before them.

        Callers get a retry time at once instead of waiting until their deadline. After
        a start of this process, the workers become known one by one, and the rate of
        the first of them says nothing about the wait.
        """
        if now - self._started_at < self._settings.startup_grace_s:
            return
        ahead_core_s = 0.0
        measured = self._throughput.rate(now)
        rate_by_service: dict[str, float] = {}
        waiting = sorted(
            self._waiting_by_id.values(),
            key=lambda job: self._ordering.key(job, now),
        )
        for job in waiting:
            service = job.submission.service
            if service not in rate_by_service:
                rate_by_service[service] = max(measured, self._min_rate(service, now))
            rate = rate_by_service[service]
            start_at = now + QUEUE_DELAY_FACTOR * ahead_core_s / rate if rate else now
            if (
                not job.is_started
                and start_at + job.remaining_path_s() > job.useful_until()
            ):
                yield from self._refuse(job)
            else:
                ahead_core_s += job.waiting_core_s()

    def _min_rate(self, service: str, now: float) -> float:
        """Return the rate that the known workers allow, in core-seconds per second."""
        capacity = self.fleet.capacity_cpu(service, now) / 1000
        return MIN_RATE_SHARE * capacity / self.entry_host_count

    def _evict_ended_jobs(self, now: float) -> None:
        while self._ended:
            job = next(iter(self._ended.values()))
            is_expired = now - job.ended_at > self._settings.ended_job_ttl_s
            if not is_expired and len(self._ended) <= self._settings.max_ended_jobs:
                return
            self._ended.popitem(last=False)
