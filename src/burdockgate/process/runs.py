"""The runs of an agent, queued or dispatched to its worker, and their resources."""

from __future__ import annotations

import enum
from collections.abc import Iterator

import attrs

from burdockgate import assignments


class RunState(enum.Enum):
    """State of a run at the agent; a run that has ended is removed.

    A run in any other state than ``QUEUED`` is dispatched: it may exist at the worker.
    """

    QUEUED = "queued"
    # The start command was sent and its answer is awaited.
    STARTING = "starting"
    # The start command got no answer and may still be carried out.
    UNCERTAIN = "uncertain"
    RUNNING = "running"


@attrs.define
class Run:
    """A run that an entry host has assigned; times in seconds of the agent's clock.

    :param owner: name of the entry host that runs its job.
    :param cpu: required processors in thousandths of a core.
    :param priority: smaller is started first.
    :param start_by: latest start that is on time.
    :param estimate_s: estimated run time.
    :param service: service whose workers may run it.
    :param label: label that the worker must have; empty for any.
    :param assignment: number of the message that assigned the run.
    :param token: fencing token of the last start command.
    :param born: start time of the incarnation of the worker that the last start command
        was meant for.
    :param stop_requested_at: since when the run must stop, or must not start; ``None``
        while it may run.
    :param stop_sent_at: when the last stop command was sent.
    :param lease_limit: latest end of the worker's lease, set with
        ``stop_requested_at``; before that, the owner's session defines it.
    :param started_at: when the last start command was sent; 0 before the first.
    :param accepted_clock_ms: the worker's clock when the start was confirmed; 0 before
        that.
    :param percent: share of the work that is done, 0 to 100.
    :param progressed_at: when the share last grew, or the start command was sent.
    """

    key: assignments.RunKey
    owner: str
    spec: str
    cpu: int
    memory_mb: int
    gpu: int
    priority: int
    start_by: float
    estimate_s: float
    queued_at: float
    service: str
    label: str
    assignment: int = 0
    state: RunState = RunState.QUEUED
    token: int = 0
    born: int = 0
    stop_requested_at: float | None = None
    stop_sent_at: float = 0.0
    lease_limit: float = float("inf")
    started_at: float = 0.0
    accepted_clock_ms: int = 0
    percent: int = 0
    progressed_at: float = 0.0

    @property
    def is_stopping(self) -> bool:
        """Whether the run must not start, or must stop."""
        return self.stop_requested_at is not None


@attrs.define
class Resources:
    """Amounts of resources: the capacity of a worker, or the part in use.

    :param cpu: thousandths of a core.
    """

    cpu: int = 0
    memory_mb: int = 0
    gpu: int = 0

    def fits(self, used: Resources, run: Run) -> bool:
        """Return whether a run fits into the part of this capacity that is not in use.

        :param used: resources in use.
        :param run: the run.
        """
        return (
            used.cpu + run.cpu <= self.cpu
            and used.memory_mb + run.memory_mb <= self.memory_mb
            and used.gpu + run.gpu <= self.gpu
        )

    def add(self, run: Run) -> None:
        """Add the resources of a run.

        :param run: the run.
        """
        self.cpu += run.cpu
        self.memory_mb += run.memory_mb
        self.gpu += run.gpu


@attrs.define
class RunTable:
    """All runs of an agent that have not ended."""

    run_by_key: dict[assignments.RunKey, Run] = attrs.field(factory=dict)

    def remove(self, run: Run) -> None:
        """Remove a run that has ended.

        A run that was returned before it was added is not in the table. Another owner's
        run of the same task may be there under the same key.

        :param run: the run.
        """
        if self.run_by_key.get(run.key) is run:
            del self.run_by_key[run.key]

    def queued(self) -> Iterator[Run]:
        """Yield the runs that wait for their start."""
        return (run for run in self.run_by_key.values() if run.state is RunState.QUEUED)

    def dispatched(self) -> Iterator[Run]:
        """Yield the runs whose start command was sent and that may exist."""
        return (
            run for run in self.run_by_key.values() if run.state is not RunState.QUEUED
        )

    def owned_by(self, owner: str) -> list[Run]:
        """Return the runs of an entry host.

        :param owner: name of the entry host.
        """
        return [run for run in self.run_by_key.values() if run.owner == owner]

    def used(self) -> Resources:
        """Return the resources of all runs that may exist at the worker."""
        used = Resources()
        for run in self.dispatched():
            used.add(run)
        return used

    def find_by_task(self, task: assignments.TaskKey) -> Run | None:
        """Return the run of a task, or ``None``.

        :param task: key of the task.
        """
        return next(
            (run for key, run in self.run_by_key.items() if key.task == task), None
        )
