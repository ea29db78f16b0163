"""Commands from an agent to its worker, and the worker's answers and heartbeats.

The worker keeps a lease on all of its runs, lists of the running and the finished
ones, and the highest fencing token that it has seen; it rejects commands with a lower
token. Times named ``clock_ms`` or ``lease_until_ms`` are on its own monotonic clock.
"""

from __future__ import annotations

import abc
import enum

import attrs

from burdockgate import assignments


@attrs.frozen
class WorkerHeartbeat:
    """Identity, capacity and state that a worker reports regularly.

    :param worker: identifier of the worker.
    :param born: start time of this incarnation of the worker, Unix milliseconds.
    :param cpu: capacity in thousandths of a core.
    :param sequence: number that grows with each heartbeat of one incarnation.
    :param clock_ms: reading of the worker's monotonic clock.
    :param address: ``host:port`` at which the worker accepts commands; empty if it is
        not known.
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
    address: str = ""


@attrs.frozen
class StartCommand:
    """Start a run.

    :param lease_until_ms: end of the lease on the worker's clock.
    :param token: fencing token of the agent.
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
    """Read the lists of runs, acknowledge ends and extend the lease.

    :param acknowledged: number of the last end that was processed.
    :param lease_until_ms: end of the lease; ``None`` does not extend it.
    :param wait_ms: how long the worker waits for the end of a run before it answers.
    """

    worker: str
    token: int
    acknowledged: int
    lease_until_ms: int | None
    wait_ms: int


class Refusal(enum.Enum):
    """Why a command was not carried out; the worker will not carry it out later."""

    # The worker has seen a higher fencing token.
    FENCED = "fenced"
    # This or a higher run number of the task has ended or was stopped there.
    OLD_RUN = "old run"
    # The lease in the command had expired on the worker's clock.
    LATE = "late"
    # The task does not fit into the free capacity.
    NO_CAPACITY = "no room"
    UNHEALTHY = "unhealthy"
    # Another worker or another incarnation answered.
    OTHER_WORKER = "other worker"
    # No connection could be established, so that nothing was sent.
    NOT_SENT = "not sent"
    # The answer is malformed or gives an unknown reason.
    INVALID = "invalid"


@attrs.frozen
class Accepted:
    """The command was carried out."""

    clock_ms: int


@attrs.frozen
class Refused:
    """The command was not carried out.

    :param clock_ms: the worker's clock; 0 when the answer does not contain it.
    """

    reason: Refusal
    clock_ms: int = 0


@attrs.frozen
class Unanswered:
    """No answer: the command may have been carried out, or may still be.

    :param is_connection_lost: whether the connection ended, as it does with the
        worker's process.
    """

    is_connection_lost: bool = False


@attrs.frozen
class RunningEntry:
    """A run that the worker lists as running.

    :param percent: share of the work that is done, 0 to 100.
    """

    key: assignments.RunKey
    percent: int


class EndReason(enum.Enum):
    """How a run ended, as the worker reports it."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    # Ends of groups of tasks, which this program does not assign yet.
    OTHER = "other"


@attrs.frozen
class FinishedEntry:
    """The end of a run; listed until a poll acknowledges it.

    :param number: number of the end, counted from 1 in each incarnation of the worker.
    """

    number: int
    key: assignments.RunKey
    reason: EndReason


@attrs.frozen
class Snapshot:
    """Answer to a poll: the lists of runs.

    :param born: start time of the incarnation that answered, Unix milliseconds.
    :param unreadable: number of list entries that could not be decoded.
    """

    clock_ms: int
    born: int
    running: tuple[RunningEntry, ...]
    finished: tuple[FinishedEntry, ...]
    unreadable: int = 0


def may_have_restarted(result: CommandResult | PollResult) -> bool:
    """Return whether the worker's process may have ended since it was last heard of.

    Then another incarnation may accept connections by now.

    :param result: the result of a command or a poll.
    """
    match result:
        case Unanswered(is_connection_lost):
            return is_connection_lost
        case Refused(reason):
            return reason is Refusal.NOT_SENT
    return False


CommandResult = Accepted | Refused | Unanswered
PollResult = Snapshot | Refused | Unanswered


class WorkerControl(abc.ABC):
    """Sends commands to the worker beside the agent."""

    @abc.abstractmethod
    async def start(self, command: StartCommand) -> CommandResult:
        """Start a run; never raises.

        :param command: run, lease and token.
        """

    @abc.abstractmethod
    async def stop(self, command: StopCommand) -> CommandResult:
        """Stop a run; a later snapshot lists its end. Never raises.

        :param command: run and token.
        """

    @abc.abstractmethod
    async def poll(self, command: PollCommand) -> PollResult:
        """Read the lists of runs; never raises.

        :param command: token, lease and acknowledged ends.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Close the connections."""
