"""The runs that an agent holds for its worker, and the room that they take."""

from __future__ import annotations

import enum
from collections.abc import Iterator

import attrs

from burdockgate import assignments


class RunState(enum.Enum):
    """How far a run has come."""

    QUEUED = "queued"
    # The order is under way.
    STARTING = "starting"
    # The order got no answer and may still be carried out.
    UNCERTAIN = "uncertain"
    RUNNING = "running"


@attrs.define
class Run:
    """A run that an entry host has assigned; times in seconds of the agent's clock.

    :param owner: name of the entry host.
    :param assignment: number of the message that assigned it.
    :param start_by: latest start that is on time.
    :param token: fencing token of the last start order.
    :param stop_since: since when it must not start or must stop.
    :param stop_sent_at: when the last stop order was sent.
    :param accepted_ms: the worker's clock when the start was confirmed.
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
    assignment: int = 0
    state: RunState = RunState.QUEUED
    token: int = 0
    stop_since: float | None = None
    stop_sent_at: float = 0.0
    started_at: float = 0.0
    accepted_ms: int = 0
    percent: int = 0
    progressed_at: float = 0.0

    @property
    def is_stopping(self) -> bool:
        """Whether the run must not start, or must stop."""
        return self.stop_since is not None


@attrs.define
class Resources:
    """What a worker offers, or what is in use of it."""

    cpu: int = 0
    memory_mb: int = 0
    gpu: int = 0

    def fits(self, used: Resources, run: Run) -> bool:
        """Return whether a run fits beside what is in use.

        :param used: what is in use.
        :param run: the run.
        """
        return (
            used.cpu + run.cpu <= self.cpu
            and used.memory_mb + run.memory_mb <= self.memory_mb
            and used.gpu + run.gpu <= self.gpu
        )

    def add(self, run: Run) -> None:
        """Add what a run takes.

        :param run: the run.
        """
        self.cpu += run.cpu
        self.memory_mb += run.memory_mb
        self.gpu += run.gpu


@attrs.define
class RunTable:
    """All runs of an agent by their key."""

    by_key: dict[assignments.RunKey, Run] = attrs.field(factory=dict)

    def queued(self) -> Iterator[Run]:
        """Yield the runs that wait."""
        return (run for run in self.by_key.values() if run.state is RunState.QUEUED)

    def ordered(self) -> Iterator[Run]:
        """Yield the runs that the worker was told to start and that may exist there."""
        return (run for run in self.by_key.values() if run.state is not RunState.QUEUED)

    def of_owner(self, owner: str) -> list[Run]:
        """Return the runs of an entry host.

        :param owner: its name.
        """
        return [run for run in self.by_key.values() if run.owner == owner]

    def used(self) -> Resources:
        """Return the room of all runs that may exist at the worker."""
        used = Resources()
        for run in self.ordered():
            used.add(run)
        return used

    def find_task(self, task: assignments.TaskKey) -> Run | None:
        """Return the run of a task, or ``None``.

        :param task: name of the task.
        """
        return next((run for key, run in self.by_key.items() if key.task == task), None)
