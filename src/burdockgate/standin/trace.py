"""Events of a run, which the checker and the measurements read.

All times are in seconds, by the same clock.
"""

from __future__ import annotations

import attrs

from burdockgate import codes


@attrs.frozen
class Submitted:
    """A caller sent a job.

    :param submission_number: number of the caller's submission of this key.
    :param entry: name of the entry host.
    :param tasks: JSON text of each task's payload, in order.
    """

    at: float
    guest: str
    key: str
    submission_number: int
    entry: str
    tasks: tuple[bytes, ...]
    repeatable: bool


@attrs.frozen
class Claimed:
    """An entry host became the owner of a job.

    :param owner: name and boot of the entry host, as one string.
    """

    at: float
    job: bytes
    attempt: int
    epoch: int
    owner: str


@attrs.frozen
class Sent:
    """An owner sent a task to an agent; the checker ignores it."""

    at: float
    job: bytes
    attempt: int
    index: int
    agent: str


@attrs.frozen
class Started:
    """A backend server started a task.

    :param server: name of the worker, as in :class:`Left`.
    :param payload: JSON text.
    """

    at: float
    job: bytes
    attempt: int
    index: int
    server: str
    payload: bytes


@attrs.frozen
class Answered:
    """A caller received an answer.

    :param attempt: attempt given in the answer; 0 for none.
    :param results: JSON text of each result; empty when the answer has none.
    :param entry: name of the entry host.
    """

    at: float
    guest: str
    key: str
    code: codes.Code
    attempt: int
    results: tuple[bytes, ...]
    entry: str


@attrs.frozen
class Left:
    """A worker or another node left, crashed, or its lease expired."""

    at: float
    worker: str


@attrs.frozen
class Joined:
    """A worker or another node that had left joined again."""

    at: float
    worker: str


@attrs.frozen
class Accepted:
    """The log accepted a new version of the table."""

    at: float
    version: int


@attrs.frozen
class InForce:
    """A version of the table took effect on a node.

    :param node: name as in :class:`Left`; it stays the same after a restart.
    """

    at: float
    node: str
    version: int


Event = (
    Submitted | Claimed | Sent | Started | Answered | Left | Joined | Accepted | InForce
)
