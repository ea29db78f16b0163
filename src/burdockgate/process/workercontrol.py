"""How an agent controls the runs on its worker, and what the worker answers.

The worker keeps a lease on everything that runs, a list of running and finished
runs, and the highest fencing token that it has seen. Times of the worker are
milliseconds of its own steady clock.
"""

from __future__ import annotations

import abc
import enum

import attrs

from burdockgate import assignments


@attrs.frozen
class WorkerHeartbeat:
    """What a worker says of itself in a heartbeat.

    :param worker: identifier of the worker.
    :param born: start of this life of the worker, Unix milliseconds.
    :param cpu: capacity in thousandths of a core.
    :param sequence: grows with each heartbeat of one life.
    :param clock_ms: the worker's steady clock.
    """

    worker: str
    born: int
    service: str
    cpu: int
    memory_mb: int
    gpu: int
    labels: tuple[str, ...]
    is_draining: bool
    sequence: int
    clock_ms: int


@attrs.frozen
class StartCommand:
    """Start a run.

    :param lease_until_ms: end of the lease on the worker's clock.
    :param token: fencing token.
    """

    worker: str
    key: assignments.RunKey
    spec: str
    lease_until_ms: int
    token: int


@attrs.frozen
class StopCommand:
    """Stop a run."""

    worker: str
    key: assignments.RunKey
    token: int


@attrs.frozen
class PollCommand:
    """Read the lists, acknowledge ends and extend the lease.

    :param lease_until_ms: end of the lease; ``None`` leaves it as it is.
    :param acknowledged: number of the last end that was processed.
    :param wait_ms: how long the worker waits for an end before it answers.
    """

    worker: str
    token: int
    acknowledged: int
    lease_until_ms: int | None
    wait_ms: int


class Refusal(enum.Enum):
    """Why a command was not carried out; it never will be."""

    # The worker has seen a higher fencing token.
    FENCED = "fenced"
    # This or a higher run of the task has ended or was stopped there.
    OLD_RUN = "old run"
    # The lease of the command had lapsed on the worker's clock.
    LATE = "late"
    # The task does not fit.
    NO_CAPACITY = "no room"
    # The worker is unhealthy.
    UNHEALTHY = "unhealthy"
    # Another life or another worker answered.
    OTHER_WORKER = "other worker"
    # The connection could not be made, so that nothing was sent.
    NOT_SENT = "not sent"
    INVALID = "invalid"


@attrs.frozen
class Accepted:
    """The command was carried out."""

    clock_ms: int


@attrs.frozen
class Refused:
    """The command was not carried out.

    :param clock_ms: the worker's clock; 0 when the answer had none.
    """

    reason: Refusal
    clock_ms: int = 0


@attrs.frozen
class Unanswered:
    """Whether the command was carried out is not known; it may still be."""


@attrs.frozen
class RunningEntry:
    """A run that the worker lists as running.

    :param percent: share of the work done, 0 to 100.
    """

    key: assignments.RunKey
    percent: int


class EndReason(enum.Enum):
    """How the worker says that a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    # Ends of groups of tasks, which are not assigned yet.
    OTHER = "other"


@attrs.frozen
class FinishedEntry:
    """An end that the worker has not seen acknowledged.

    :param number: counts the ends of one life of the worker, from 1.
    """

    number: int
    key: assignments.RunKey
    reason: EndReason


@attrs.frozen
class Snapshot:
    """Answer to a poll.

    :param unreadable: number of entries that could not be read.
    """

    clock_ms: int
    born: int
    running: tuple[RunningEntry, ...]
    finished: tuple[FinishedEntry, ...]
    unreadable: int = 0


CommandResult = Accepted | Refused | Unanswered
PollResult = Snapshot | Refused | Unanswered


class WorkerControl(abc.ABC):
    """Gives commands to the worker beside the agent."""

    @abc.abstractmethod
    async def start(self, command: StartCommand) -> CommandResult:
        """Start a run; never raises.

        :param command: what to start.
        """

    @abc.abstractmethod
    async def stop(self, command: StopCommand) -> CommandResult:
        """Stop a run; its end is listed later. Never raises.

        :param command: what to stop.
        """

    @abc.abstractmethod
    async def poll(self, command: PollCommand) -> PollResult:
        """Read the lists of runs; never raises.

        :param command: token, lease and acknowledged ends.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Close the connections."""
