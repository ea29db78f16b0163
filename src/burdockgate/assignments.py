"""Messages between an entry host and the agents that run its best-effort jobs.

An agent opens one connection to each entry host and reports the load of its worker.
The entry host renews the session lease of the agent and assigns tasks. Text fields are
UTF-8, cpu fields thousandths of a core; times are micro- or milliseconds as named.
"""

from __future__ import annotations

import enum

import attrs

PROTOCOL = 7


class WorkerState(enum.IntEnum):
    """Whether new tasks may be assigned to a worker."""

    READY = 1
    # The worker or its agent is shutting down; running tasks continue.
    DRAINING = 2
    # The worker does not answer its agent.
    UNREACHABLE = 3
    # Recent tasks failed or stalled on the worker; it gets no tasks.
    EJECTED = 4
    # The worker was ejected and gets one task at a time as a trial.
    PROBATION = 5
    # The data centre of the worker is being emptied; running tasks continue.
    EVACUATED = 6


class EndKind(enum.IntEnum):
    """How one run of a task ended."""

    DONE = 1
    FAILED = 2
    # Stopped on request or by a decision of the agent.
    STOPPED = 3
    # The lease of the run lapsed or its worker restarted.
    LOST = 4
    # The run has not started and will not start.
    RETURNED = 5


@attrs.frozen
class TaskKey:
    """Identifies a task.

    :param job: identifier chosen by the caller.
    :param step: number of the step, from 0.
    :param index: number of the task in its step, from 0.
    """

    job: str
    step: int
    index: int


@attrs.frozen
class RunKey:
    """Identifies a run of a task; the runs of a task are numbered from 1."""

    task: TaskKey
    run: int


@attrs.frozen
class AgentHello:
    """First message of an agent.

    :param boot: random number drawn at the start of the agent's process.
    :param entry_boot: boot of the entry host that assigned the active runs.
    :param active_runs: runs of this entry host that the agent still has. Earlier runs
        that are not listed never started, or their :class:`TaskEnd` follows.
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

    :param boot: random number drawn at the start of the entry host's process.
    """

    protocol: int
    name: str
    boot: int
    zone: str


@attrs.frozen
class WorkerInfo:
    """Properties of a worker that seldom change.

    :param worker: identifier of the worker; empty while none is known.
    :param born: start time of the worker, Unix milliseconds.
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
    :param state: whether the receiver may assign tasks. It says nothing about runs: an
        agent that will not serve the receiver any more reports ``DRAINING`` before it
        has reached its worker.
    :param earlier_runs_ended: whether all runs that earlier processes of the agent
        started have ended.
    :param free_cpu: thousandths of a core that the receiver may assign. While tasks
        wait at entry hosts, free capacity is allotted to those with the most urgent.
    :param used_cpu: thousandths of a core of all runs that are not known to have ended.
    :param queued_cpu: thousandths of a core of runs that wait at the agent.
    :param speed: speed relative to the estimates, in thousandths.
    :param is_near: whether the receiver is one of the near entry hosts, which get a
        report of every change at once and share the freed capacity. The others get
        periodic reports only.
    :param configuration_version: version of the configuration that the agent holds for
        entry hosts without it; 0 for none.
    """

    sent_at_us: int
    last_assign_number: int
    state: WorkerState
    earlier_runs_ended: bool
    free_cpu: int
    used_cpu: int
    used_memory_mb: int
    used_gpu: int
    queued_cpu: int
    speed: int
    is_near: bool
    configuration_version: int


@attrs.frozen
class Renewal:
    """Extends the session lease of an agent.

    :param echo_us: ``sent_at_us`` of the newest report received.
    :param last_end_number: number of the last :class:`TaskEnd` received.
    :param configuration_version: newest version of which enough agents hold copies;
        older copies must not be passed on any more.
    """

    echo_us: int
    last_end_number: int
    configuration_version: int


@attrs.frozen
class Demand:
    """Tasks that wait at an entry host for free capacity.

    :param waiting_cpu: thousandths of a core of all waiting tasks; 0 when none waits.
    :param rank: urgency of the first waiting task; smaller is more urgent.
    """

    waiting_cpu: int
    rank: int


@attrs.frozen
class Assign:
    """Runs of tasks of one step of a job for the agent's worker.

    The agent's worker may have been replaced by another kind since the entry host chose
    it, so the message says what the tasks require of it.

    :param number: number of runs assigned on the connection when the message is sent.
    :param spec: text that the worker gets with each task.
    :param indexes: numbers of the tasks in their step.
    :param runs: number of the run of each task.
    :param priority: 0 is served first.
    :param start_by_ms: time from now until the latest start that is on time.
    :param service: service whose workers may run the tasks.
    :param label: label that the worker must have; empty for any.
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
    service: str
    label: str


@attrs.frozen
class TaskEnd:
    """The end of a run.

    :param number: counts the ends of a session, from 1; repeated until acknowledged.
    :param run_ms: duration of the run, measured by the agent.
    :param next_run: smallest number that the worker accepts for the next run.
    """

    number: int
    key: RunKey
    kind: EndKind
    run_ms: int
    next_run: int


@attrs.frozen
class Revoke:
    """Cancels runs: they must not start, and started ones must be stopped."""

    keys: tuple[RunKey, ...]


@attrs.frozen
class EntryHost:
    """Record of an entry host.

    :param address: ``host:port`` for agents; empty when the entry host has left.
    :param zone: its zone; empty if unknown.
    :param version: number of the change in the store, from 1; 0 for an entry host that
        has not been registered yet.
    """

    name: str
    address: str
    zone: str
    version: int


@attrs.frozen
class EntryHosts:
    """Records of entry hosts that the receiver may not have."""

    entries: tuple[EntryHost, ...]


@attrs.frozen
class Configuration:
    """A version of the configuration, passed on to nodes that cannot reach the store.

    :param body: the record as read from the store, compressed.
    """

    version: int
    body: bytes


@attrs.frozen
class ConfigurationRequest:
    """Asks an agent for its configuration.

    :param version: version in force at the entry host; 0 when it has none.
    """

    version: int


@attrs.frozen
class Evacuations:
    """Data centres in which no task may be started.

    :param version: offset in the store up to which the requests are included; a larger
        one is newer.
    :param zones: names of the data centres, sorted.
    """

    version: int
    zones: tuple[str, ...]


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
    | ConfigurationRequest
    | Evacuations
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
    51: ConfigurationRequest,
    52: Evacuations,
}
