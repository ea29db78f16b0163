"""Every message between nodes, as frozen attrs classes.

The order of the fields is their order on the wire. ``TYPES`` gives each message
type its number; numbers are never used again for another type.
"""

from __future__ import annotations

import enum

import attrs

PROTOCOL = 1
RESULT_LIMIT_BYTES = 1024 * 1024
# Members of claim groups that have lost their records wait for this time and the
# key retention before they vote on unknown keys, so it cannot be large.
MAX_DEADLINE_S = 300.0
UNKNOWN_AGE_S = 2**31 - 1


class Role(enum.IntEnum):
    """Role of a node."""

    ENTRY = 1
    AGENT = 2


class TaskState(enum.IntEnum):
    """What an agent knows about one task.

    ``RETURNED`` is a promise: the task was not started by the send it answers and
    never will be. ``UNKNOWN`` means that the request went out and no answer came.
    ``OVERSIZE`` means that the task ran and its result is over the size limit.
    """

    RETURNED = 1
    RUNNING = 2
    DONE = 3
    FAILED = 4
    UNKNOWN = 5
    STOPPED = 6
    OVERSIZE = 7


class Verdict(enum.IntEnum):
    """Answer of a claim group member to a claim."""

    GRANTED = 1
    HELD = 2
    STALE_VIEW = 3
    CATCHING_UP = 4
    FREE = 5


@attrs.frozen
class Node:
    """One incarnation of a process.

    :param name: name from the settings, unique in the system.
    :param boot: random 63-bit number drawn at each start.
    :param address: ``host:port`` at which the node accepts streams.
    """

    name: str
    boot: int
    address: str

    def is_same_incarnation(self, other: Node) -> bool:
        """Return whether both are the same incarnation.

        :param other: the node to compare with; its address is not looked at.
        """
        return self.name == other.name and self.boot == other.boot


@attrs.frozen
class Hello:
    """First frame in both directions; announces a node and its resources.

    :param slots: tasks that the worker runs at once; 0 for an entry host.
    :param cores: processors that one task may ask for.
    :param memory_mb: memory that one task may ask for, in MB.
    """

    protocol: int
    role: Role
    node: Node
    region: str
    data_centre: str
    rack: str
    service: str
    slots: int
    cores: float
    memory_mb: int
    accelerators: int
    draining: bool


@attrs.frozen
class Peers:
    """Entry hosts known to the sender."""

    entries: tuple[Node, ...]


@attrs.frozen
class Heartbeat:
    """Renews the lease of an idle connection and shows versions in force.

    :param view_age_s: between entry hosts, upper bound of the seconds since this view
        was known to be the newest one.
    """

    table_version: int
    view_number: int
    view_age_s: int = UNKNOWN_AGE_S


@attrs.frozen
class Load:
    """Free capacity of an agent.

    :param free_slots: free slots not reserved for another entry host.
    :param received: tasks received from this entry host in this session, which
        tells it which of its sends the number of free slots already counts.
    :param consecutive_failed_jobs: failed jobs since the last task that ended with a
        result, over the tasks of all entry hosts.
    """

    free_slots: int
    running: int
    received: int
    draining: bool
    consecutive_failed_jobs: int = 0


@attrs.frozen
class Demand:
    """An entry host has tasks waiting for this agent.

    :param waiting: number of tasks; 0 withdraws the demand.
    :param weight: sum of the weights of the classes that wait.
    """

    waiting: int
    weight: float


@attrs.frozen
class Offer:
    """Slots reserved for one entry host for a short time.

    :param free_slots: free slots, those reserved for the receiver included.
    :param received: as in :class:`Load`.
    """

    free_slots: int
    received: int


@attrs.frozen
class LogRecord:
    """One record of a log stream.

    :param value: the record's JSON text.
    """

    offset: int
    id: str
    value: bytes


@attrs.frozen
class Records:
    """Log records, handed on to a node that does not read the log itself.

    :param first: offset of the first record.
    :param next: offset after the last record; larger than the number of records
        when some of them were superseded by a snapshot.
    """

    stream: str
    first: int
    next: int
    records: tuple[LogRecord, ...]


@attrs.frozen
class Claim:
    """Asks a member of a claim group for the ownership of a job.

    :param view_number: the claimant's view.
    :param group: names and boots of the members by that view.
    :param epoch: 0 only asks whether a record is held and records nothing.
    :param digest: hash of the job's body.
    :param scope: agents to which the owner may send tasks.
    :param expires_in_ms: how long the record is needed if no settlement comes.
    :param code: 900 (pending), or the result code with which the owner settles the
        job if a majority still takes it for the owner.
    """

    job: bytes
    view_number: int
    group: tuple[Node, ...]
    epoch: int
    attempt: int
    owner: Node
    digest: bytes
    scope: tuple[Node, ...]
    expires_in_ms: int
    repeatable: bool
    code: int


@attrs.frozen
class ClaimRecord:
    """What a member of a claim group holds about a job.

    :param scope: every agent to which any owner so far may have sent tasks.
    :param code: result code when the job is settled, else 900 (pending).
    """

    job: bytes
    epoch: int
    attempt: int
    owner: Node
    digest: bytes
    scope: tuple[Node, ...]
    code: int
    repeatable: bool
    expires_in_ms: int


@attrs.frozen
class ClaimReply:
    """A member's answer to a claim.

    :param record: the record held before this claim, if any.
    """

    job: bytes
    epoch: int
    verdict: Verdict
    view_number: int
    record: ClaimRecord | None


@attrs.frozen
class Settle:
    """The job has ended with this result code."""

    job: bytes
    epoch: int
    attempt: int
    code: int


@attrs.frozen
class TaskStart:
    """One task within :class:`Start`.

    :param send_number: counts the sends of this task; an agent ignores a send that is
        not newer than the last one it has seen for the task.
    :param payload: JSON text for the backend server.
    :param timeout_ms: time for the backend server's answer.
    """

    index: int
    send_number: int
    payload: bytes
    timeout_ms: int


@attrs.frozen
class Start:
    """Sends tasks of one job to an agent.

    :param boot: the agent's boot id that the owner knows.
    :param fence: number of the last fence that the owner sent to this agent.
    """

    job: bytes
    epoch: int
    fence: int
    attempt: int
    boot: int
    tasks: tuple[TaskStart, ...]


@attrs.frozen
class TaskReport:
    """State of one task at an agent.

    :param payload: JSON text of the result, or a line that explains a failure.
    :param run_ms: run time in ms as the agent saw it.
    """

    index: int
    send_number: int
    state: TaskState
    payload: bytes
    run_ms: float


@attrs.frozen
class Results:
    """Tasks that ended or were returned.

    :param free_slots: free slots not reserved for another entry host.
    :param received: as in :class:`Load`.
    """

    job: bytes
    epoch: int
    attempt: int
    boot: int
    free_slots: int
    received: int
    reports: tuple[TaskReport, ...]


@attrs.frozen
class Fence:
    """Stops older starts of a job at an agent and asks what it knows."""

    job: bytes
    epoch: int
    fence: int
    attempt: int
    boot: int


@attrs.frozen
class FenceReply:
    """All that an agent knows about a job.

    :param epoch: the highest epoch seen; above that of the fence, the fence was
        refused.
    :param more: whether further replies to the same fence follow.
    """

    job: bytes
    epoch: int
    fence: int
    attempt: int
    boot: int
    reports: tuple[TaskReport, ...]
    more: bool


@attrs.frozen
class Cancel:
    """Stops the tasks of a job at an agent."""

    job: bytes
    epoch: int
    attempt: int


@attrs.frozen
class Attach:
    """Asks the owner of a job for its outcome."""

    job: bytes
    epoch: int


@attrs.frozen
class Detach:
    """Withdraws :class:`Attach`; with ``cancel`` the caller cancels the job."""

    job: bytes
    cancel: bool


@attrs.frozen
class Outcome:
    """Outcome of a job, from its owner to an attached entry host.

    :param code: 900 (pending) means that the sender does not own the job.
    :param results: JSON text of each task's result, in order.
    """

    job: bytes
    epoch: int
    attempt: int
    code: int
    detail: str
    results: tuple[bytes, ...]


@attrs.frozen
class Sync:
    """A member that enters claim groups asks another for its records."""

    view_number: int


@attrs.frozen
class SyncReply:
    """Claims of the groups that the asking member has entered.

    :param more: whether further replies to the same request follow.
    """

    view_number: int
    records: tuple[ClaimRecord, ...]
    more: bool


@attrs.frozen
class Leave:
    """The sender stops on purpose and will close the connection.

    An entry host answers an agent with the same message, after which it sends no
    task on the connection.
    """


@attrs.frozen
class Drain:
    """An operator drains the agent's worker, or with ``active`` false resumes it."""

    active: bool


Message = (
    Hello
    | Peers
    | Heartbeat
    | Load
    | Demand
    | Offer
    | Records
    | Claim
    | ClaimReply
    | Settle
    | Start
    | Results
    | Fence
    | FenceReply
    | Cancel
    | Attach
    | Detach
    | Outcome
    | Sync
    | SyncReply
    | Leave
    | Drain
)

TYPES: dict[int, type[Message]] = {
    1: Hello,
    2: Peers,
    3: Heartbeat,
    4: Load,
    5: Demand,
    6: Offer,
    7: Records,
    8: Claim,
    9: ClaimReply,
    10: Settle,
    11: Start,
    12: Results,
    13: Fence,
    14: FenceReply,
    15: Cancel,
    16: Attach,
    17: Detach,
    18: Outcome,
    19: Sync,
    20: SyncReply,
    21: Leave,
    22: Drain,
}
