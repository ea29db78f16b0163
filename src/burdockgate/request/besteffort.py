"""Best-effort jobs: steps of tasks whose caller waits for the outcome.

Such jobs are not stored. A caller whose connection breaks sends the job again under
the same identifier, to any entry host.
"""

from __future__ import annotations

import enum
from collections.abc import Iterator

import attrs

from burdockgate import assignments, codes
from burdockgate.request import caller

# A job is late after its objective, and useless to its caller after this many times
# the objective.
LATE_FACTOR = 3.0


@attrs.frozen
class Step:
    """Tasks that may run in parallel.

    :param cpu: thousandths of a core for each task.
    :param estimate_s: estimated duration of a task.
    :param after: numbers of the steps that must be done before this one.
    :param label: label that the worker must have; empty for any.
    :param data_rack: rack of the data, where the tasks run fastest; empty for any.
    :param max_per_worker: most tasks of the step on one worker; 0 for no limit.
    """

    count: int
    cpu: int
    memory_mb: int
    gpu: int
    estimate_s: float
    after: tuple[int, ...] = ()
    label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0


@attrs.frozen
class Submission:
    """A job as its caller sent it.

    :param route: name of the route that matched the request.
    :param priority: 0 is served first.
    :param max_attempts: failed runs of one task after which the job has failed.
    :param stretch: factor on the critical path in the objective.
    :param target_s: fixed part of the objective.
    :param deadline_s: how long the caller waits for the outcome.
    :param request: the caller's identifier of this request, for the log.
    """

    job: str
    route: str
    service: str
    spec: str
    steps: tuple[Step, ...]
    priority: int
    max_attempts: int
    stretch: float
    target_s: float
    deadline_s: float
    request: str = ""


@attrs.frozen
class Completed:
    """All tasks are done."""

    code: codes.Code = codes.Code.COMPLETE


@attrs.frozen
class Failed:
    """The job can't be done; some of its tasks may have run."""

    code: codes.Code


@attrs.frozen
class Refused:
    """No task of the job has run or will run.

    :param retry_after_s: delay after which a new submission is likely to be served.
    """

    code: codes.Code
    retry_after_s: float


@attrs.frozen
class Interrupted:
    """The job got no result here; some tasks may have run, none runs any more."""

    code: codes.Code


Outcome = Completed | Failed | Refused | Interrupted


class TaskState(enum.Enum):
    """Progress of a task."""

    # A step that it depends on is not done.
    BLOCKED = "blocked"
    WAITING = "waiting"
    ASSIGNED = "assigned"
    DONE = "done"


@attrs.define
class Task:
    """One task; times in seconds of the entry host's clock.

    :param run: number of the last run; 0 before the first.
    :param failures: number of failed runs.
    :param agent: agent to which the last run is assigned; empty after its end.
    :param not_before: earliest time of the next assignment.
    :param avoided_until_by_agent: agents on which a run ended without success, and
        until when the task is not assigned to them.
    """

    key: assignments.TaskKey
    step: Step
    state: TaskState = TaskState.BLOCKED
    run: int = 0
    failures: int = 0
    agent: str = ""
    assigned_at: float = 0.0
    not_before: float = 0.0
    avoided_until_by_agent: dict[str, float] = attrs.field(factory=dict)

    @property
    def run_key(self) -> assignments.RunKey:
        """The key of the last run."""
        return assignments.RunKey(self.key, self.run)

    def is_unconstrained(self, now: float) -> bool:
        """Return whether any worker with free capacity may run the task.

        :param now: the time.
        """
        is_avoiding = any(until > now for until in self.avoided_until_by_agent.values())
        return not (is_avoiding or self.step.label or self.step.max_per_worker)


@attrs.define
class Job:
    """A job in progress.

    :param received_at: when its caller's request was read.
    :param caller_by_ticket: the requests that wait for the outcome, by their numbers;
        several when the caller has sent the job again.
    :param not_before: earliest time of the next assignment.
    :param has_run: whether a run of it has ended and may have started.
    :param has_been_assigned: whether a task was ever assigned.
    :param outcome: set once the job has ended.
    """

    submission: Submission
    received_at: float
    tasks: list[list[Task]]
    caller_by_ticket: dict[int, caller.Caller] = attrs.field(factory=dict)
    not_before: float = 0.0
    has_run: bool = False
    has_been_assigned: bool = False
    outcome: Outcome | None = None
    ended_at: float = 0.0

    @classmethod
    def from_submission(cls, submission: Submission, now: float) -> Job:
        """Return a new job for a submission; no request waits for it yet.

        :param submission: what the caller sent.
        :param now: the time.
        """
        tasks = [
            [
                Task(assignments.TaskKey(submission.job, number, index), step)
                for index in range(step.count)
            ]
            for number, step in enumerate(submission.steps)
        ]
        job = cls(submission, now, tasks)
        job.unblock()
        return job

    def unblock(self) -> None:
        """Make the blocked tasks wait whose preceding steps are done."""
        for number, step in enumerate(self.submission.steps):
            if all(self._is_step_done(earlier) for earlier in step.after):
                for task in self.tasks[number]:
                    if task.state is TaskState.BLOCKED:
                        task.state = TaskState.WAITING

    def _is_step_done(self, number: int) -> bool:
        return all(task.state is TaskState.DONE for task in self.tasks[number])

    def all_tasks(self) -> Iterator[Task]:
        """Yield every task."""
        for tasks in self.tasks:
            yield from tasks

    def assigned_tasks(self) -> list[Task]:
        """Return the tasks that are assigned to an agent."""
        return [task for task in self.all_tasks() if task.state is TaskState.ASSIGNED]

    @property
    def is_started(self) -> bool:
        """Whether a run of it may have started."""
        return self.has_run or any(
            task.state is TaskState.ASSIGNED for task in self.all_tasks()
        )

    def has_caller(self) -> bool:
        """Return whether a request that waits for it is still connected."""
        return any(caller.is_connected() for caller in self.caller_by_ticket.values())

    @property
    def is_waiting(self) -> bool:
        """Whether a task waits to be assigned."""
        return any(task.state is TaskState.WAITING for task in self.all_tasks())

    @property
    def is_complete(self) -> bool:
        """Whether every task is done."""
        return all(task.state is TaskState.DONE for task in self.all_tasks())

    def critical_path_s(self) -> float:
        """Return the duration of the critical path through the steps, as estimated."""
        ends_s: list[float] = []
        for step in self.submission.steps:
            start_s = max((ends_s[earlier] for earlier in step.after), default=0.0)
            ends_s.append(start_s + step.estimate_s)
        return max(ends_s, default=0.0)

    def objective_s(self) -> float:
        """Return the time in which the caller expects the result."""
        submission = self.submission
        return submission.stretch * self.critical_path_s() + submission.target_s

    def remaining_path_s(self) -> float:
        """Return the critical path through the steps with unassigned tasks."""
        ends_s: list[float] = []
        for number, step in enumerate(self.submission.steps):
            start_s = max((ends_s[earlier] for earlier in step.after), default=0.0)
            has_unassigned = any(
                task.state in (TaskState.WAITING, TaskState.BLOCKED)
                for task in self.tasks[number]
            )
            ends_s.append(start_s + (step.estimate_s if has_unassigned else 0.0))
        return max(ends_s, default=0.0)

    def total_core_s(self) -> float:
        """Return the estimated work of all tasks in core-seconds."""
        return sum(
            step.count * step.cpu / 1000 * step.estimate_s
            for step in self.submission.steps
        )

    def waiting_core_s(self) -> float:
        """Return the estimated work of the waiting tasks in core-seconds."""
        return sum(
            task.step.cpu / 1000 * task.step.estimate_s
            for task in self.all_tasks()
            if task.state is TaskState.WAITING
        )

    def start_by(self) -> float:
        """Return the latest time to start the remaining work and meet the objective."""
        return self.received_at + self.objective_s() - self.remaining_path_s()

    def useful_until(self) -> float:
        """Return the time after which the result is useless to the caller."""
        useful_s = min(LATE_FACTOR * self.objective_s(), self.submission.deadline_s)
        return self.received_at + useful_s
