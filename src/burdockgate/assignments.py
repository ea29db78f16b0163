"""Messages between an entry host and the agents that run its best-effort jobs.

An agent opens one connection to each entry host. It reports the load of its worker;
the entry host answers each report with a renewal of the agent's session lease and
assigns tasks. Text fields are UTF-8; times are microseconds or milliseconds as named.
"""

from __future__ import annotations

import enum

import attrs

PROTOCOL = 2


class WorkerState(enum.IntEnum):
    """Whether new tasks may be assigned to a worker."""

    READY = 1
    # The worker or its agent leaves; running tasks go on.
    DRAINING = 2
    # The worker does not answer its agent.
    UNREACHABLE = 3
    # The worker failed or stalled what it ran lately and is given no tasks.
    EJECTED = 4
    # The worker was ejected and may have one task as a trial.
    PROBATION = 5


class EndKind(enum.IntEnum):
    """How one run of a task ended."""

    DONE = 1
    FAILED = 2
    # Stopped on request or for a reason of the agent's.
    STOPPED = 3
    # The run is gone: its lease lapsed or its worker restarted.
    LOST = 4
    # The run never started and never will.
    RETURNED = 5


@attrs.frozen
class TaskKey:
    """Name of a task.

    :param job: identifier chosen by the caller.
    :param step: number of the step, from 0.
    :param index: number of the task in its step, from 0.
    """

    job: str
    step: int
    index: int


@attrs.frozen
class RunKey:
    """One run of a task; runs of a task are numbered upwards from 1."""

    task: TaskKey
    run: int


@attrs.frozen
class AgentHello:
    """First message of an agent.

    :param boot: random number of this life of the agent's process.
    :param active_runs: runs of this entry host that the agent still has. Runs assigned
        earlier and not listed never started, or their end follows.
    """

    protocol: int
    name: str
    boot: int
    zone: str
    entry_boot: int
    active_runs: tuple[RunKey, ...]


@attrs.frozen
class EntryHello:
    """First message of an entry host.

    :param boot: random number of this life of the entry host's process.
    """

    protocol: int
    name: str
    boot: int
    zone: str


@attrs.frozen
class WorkerInfo:
    """What changes seldom about a worker.

    :param worker: identifier of the worker; empty while none is known.
    :param born: start of this life of the worker, Unix milliseconds.
    :param cpu: capacity in thousandths of a core.
    :param labels: kind and rack of the worker.
    """

    worker: str
    born: int
    service: str
    cpu: int
    memory_mb: int
    gpu: int
    labels: tuple[str, ...]


@attrs.frozen
class LoadReport:
    """Load of a worker; serves as the heartbeat of the session.

    :param sent_at_us: steady clock of the agent, echoed by :class:`Renewal`.
    :param last_assign_number: number of the last :class:`Assign` that the load
        includes.
    :param free_cpu: thousandths of a core that the receiver may assign. While entry
        hosts have waiting tasks, the free room is shared out to the most urgent ones.
    :param used_cpu: thousandths of a core of all runs that are not known to have ended.
    :param queued_cpu: thousandths of a core of runs that wait at the agent.
    :param speed: speed against the estimates, in thousandths.
    :param is_near: whether the receiver is one of the entry hosts that hear of every
        change at once and share out the freed room. Others hear at regular times.
    """

    sent_at_us: int
    last_assign_number: int
    state: WorkerState
    free_cpu: int
    used_cpu: int
    used_memory_mb: int
    used_gpu: int
    queued_cpu: int
    speed: int
    is_near: bool


@attrs.frozen
class Renewal:
    """Extends the session lease of an agent.

    :param echo_us: ``sent_at_us`` of the newest report received.
    :param last_end_number: number of the last :class:`TaskEnd` received.
    :param configuration_version: version of the configuration in force at the entry
        host; 0 when it has none.
    """

    echo_us: int
    last_end_number: int
    configuration_version: int


@attrs.frozen
class Demand:
    """What waits at an entry host for want of room.

    :param waiting_cpu: thousandths of a core of all waiting tasks; 0 when none waits.
    :param rank: urgency of the first of them; smaller is more urgent.
    """

    waiting_cpu: int
    rank: int


@attrs.frozen
class Assign:
    """Runs of tasks of one step of a job for the agent's worker.

    :param number: counts the messages of this kind on the connection, from 1.
    :param spec: text that the worker gets with each task.
    :param priority: 0 is served first.
    :param start_by_ms: time from now until the latest start that is on time.
    """

    number: int
    job: str
    step: int
    spec: str
    indexes: tuple[int, ...]
    runs: tuple[int, ...]
    cpu: int
    memory_mb: int
    gpu: int
    priority: int
    start_by_ms: int
    estimate_ms: int


@attrs.frozen
class TaskEnd:
    """The end of a run.

    :param number: counts the ends of a session, from 1; repeated until acknowledged.
    :param run_ms: time from the start to the end at the agent.
    :param next_run: smallest number that the worker accepts for the next run.
    """

    number: int
    key: RunKey
    kind: EndKind
    run_ms: int
    next_run: int


@attrs.frozen
class Revoke:
    """The runs must not start; those that run must be stopped."""

    keys: tuple[RunKey, ...]


@attrs.frozen
class EntryHosts:
    """``host:port`` of the entry hosts that the sender knows."""

    addresses: tuple[str, ...]


@attrs.frozen
class Configuration:
    """A version of the configuration, passed on to those that the store cannot reach.

    :param body: the record as the store holds it.
    """

    version: int
    body: bytes


Message = (
    AgentHello
    | EntryHello
    | WorkerInfo
    | LoadReport
    | Renewal
    | Demand
    | Assign
    | TaskEnd
    | Revoke
    | EntryHosts
    | Configuration
)

TYPES: dict[int, type[Message]] = {
    40: AgentHello,
    41: EntryHello,
    42: WorkerInfo,
    43: LoadReport,
    44: Renewal,
    45: Assign,
    46: TaskEnd,
    47: Revoke,
    48: EntryHosts,
    49: Configuration,
    50: Demand,
}
