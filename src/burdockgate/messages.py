"""Messages of the protocol for claimed jobs, as frozen attrs classes.

The order of the fields is their order on the wire. ``TYPES`` maps the number of each
message type to its class; the number of a removed type is never reused.

The entry host that runs a job is its owner. The *epoch* of a job grows with each owner,
and the *attempt* counts how often the job of a key is run. A *claim group* is the
agents that vote on the ownership of a job, and a *settlement* tells them and the agents
with tasks of the job its result code. The *scope* is the agents to which an owner may
send tasks. A *fence* makes an agent refuse earlier owners and report its tasks of the
job. The *view* is the list of entry hosts and voters by the members stream, and the
*table* holds the operators' weights and limits.
"""

from __future__ import annotations

import enum
from typing import ClassVar

import attrs

PROTOCOL = 1
RESULT_LIMIT_BYTES = 1024 * 1024
# A claim group member that has lost its records votes on unknown jobs only after this
# time plus the key retention and the view limit, so a large value delays its recovery.
MAX_DEADLINE_S = 300.0
# Value of ``Heartbeat.view_age_s`` when the age is not known.
UNKNOWN_AGE_S = 2**31 - 1


class Role(enum.IntEnum):
    """Role of a node."""

    ENTRY = 1
    AGENT = 2


class TaskState(enum.IntEnum):
    """State of one task at an agent.

    ``RETURNED`` guarantees that the send which it answers has not started the task and
    never will. ``UNKNOWN`` means that the request to the backend server was sent and
    not answered. ``OVERSIZE`` means that the task ran and its result is over the size
    limit.
    """

    RETURNED = 1
    RUNNING = 2
    DONE = 3
    FAILED = 4
    UNKNOWN = 5
    STOPPED = 6
    OVERSIZE = 7


class Verdict(enum.IntEnum):
    """Answer of a claim group member to a claim.

    ``GRANTED`` means that the claim is recorded, ``HELD`` that the member's record of
    the job takes precedence, ``STALE_VIEW`` that the two views give different claim
    groups, and ``CATCHING_UP`` that the member still lacks records and cannot vote.
    A query (epoch 0) gets ``HELD`` when there is a record, else ``FREE``.
    """

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

    # Equal nodes are decoded to one object; see :data:`wire.NODE_CACHE_SIZE`.
    IS_SHARED: ClassVar[bool] = True

    name: str
    boot: int
    address: str

    def is_same_incarnation(self, other: Node) -> bool:
        """Return whether both are the same incarnation.

        :param other: the node to compare with; its address is ignored.
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
    """Renews the lease of an idle connection and announces table and view versions.

    :param view_age_s: between entry hosts, upper bound of the time since the view was
        known to be the newest one, in seconds.
    """

    table_version: int
    view_number: int
    view_age_s: int = UNKNOWN_AGE_S


@attrs.frozen
class Load:
    """Free capacity of an agent.

    :param free_slots: free slots not reserved for another entry host.
    :param received: tasks received from this entry host in this session, so that the
        entry host knows which of its sends ``free_slots`` already accounts for.
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
    """Tells an agent that an entry host has tasks waiting for a slot.

    :param waiting: number of waiting tasks; 0 withdraws the demand.
    :param weight: sum of the weights of the classes that have waiting tasks.
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
    """Log records, forwarded to a node that does not read the log itself.

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

    :param view_number: number of the claimant's view.
    :param group: the members of the claim group in that view.
    :param epoch: 0 for a query whether a record exists, which stores nothing.
    :param digest: hash of the job's body.
    :param scope: agents to which the owner may send tasks.
    :param expires_in_ms: how long the record is needed if no settlement arrives.
    :param code: 900 (pending), or the result code with which the owner settles the
        job if a majority still recognizes it as the owner.
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
    """Record of a job at a member of its claim group.

    :param scope: all agents to which any owner so far may have sent tasks.
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

    :param record: the member's record from before this claim, if any.
    """

    job: bytes
    epoch: int
    verdict: Verdict
    view_number: int
    record: ClaimRecord | None


@attrs.frozen
class Settle:
    """Announces the result code with which a job has ended."""

    job: bytes
    epoch: int
    attempt: int
    code: int


@attrs.frozen
class TaskStart:
    """One task within :class:`Start`.

    :param send_number: number of this send of the task; an agent ignores a number that
        is not higher than the last one it received for the task.
    :param payload: JSON text for the backend server.
    :param timeout_ms: time limit for the backend server's answer.
    """

    index: int
    send_number: int
    payload: bytes
    timeout_ms: int


@attrs.frozen
class Start:
    """Sends tasks of one job to an agent.

    :param fence: number of the last fence that the owner sent to this agent.
    :param boot: boot number of the agent, as known to the owner.
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

    :param payload: JSON text of the result, or one line that describes a failure; empty
        when the agent no longer keeps the result.
    :param run_ms: run time measured by the agent, in ms.
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
    """Makes an agent refuse older starts of a job and report the job's tasks."""

    job: bytes
    epoch: int
    fence: int
    attempt: int
    boot: int


@attrs.frozen
class FenceReply:
    """State of a job at an agent.

    :param epoch: the highest epoch received for the job; when it is above the epoch of
        the fence, the fence was refused.
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
    """Withdraws :class:`Attach`.

    :param cancel: whether the caller cancels the job.
    """

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
    """Asks another member for its records, after the sender has joined claim groups.

    :param view_number: number of the view in which the sender joined them.
    """

    view_number: int


@attrs.frozen
class SyncReply:
    """Claim records for the groups that the requesting member has joined.

    :param more: whether further replies to the same request follow.
    """

    view_number: int
    records: tuple[ClaimRecord, ...]
    more: bool


@attrs.frozen
class Leave:
    """Announces that the sender is shutting down and will close the connection.

    An entry host answers an agent with the same message and sends no task on the
    connection after it.
    """


@attrs.frozen
class Drain:
    """Drains the agent's worker for an operator.

    :param active: false resumes the worker.
    """

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
