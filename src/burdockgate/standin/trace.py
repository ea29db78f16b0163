"""Events of a run, as the checker and the measurements read them.

All times are seconds of one clock.
"""

from __future__ import annotations

import attrs

from burdockgate import codes


@attrs.frozen
class Submitted:
    """A caller sent a job.

    :param attempt_of_caller: counts the caller's submissions of this key.
    :param entry: name of the entry host.
    :param tasks: JSON text of each task's payload, in order.
    """

    at: float
    guest: str
    key: str
    attempt_of_caller: int
    entry: str
    tasks: tuple[bytes, ...]
    repeatable: bool


@attrs.frozen
class Claimed:
    """An entry host became the owner of a job.

    :param owner: name and boot of the entry host, as one text.
    """

    at: float
    job: bytes
    attempt: int
    epoch: int
    owner: str


@attrs.frozen
class Sent:
    """An owner sent a task to an agent; no promise is judged by it alone."""

    at: float
    job: bytes
    attempt: int
    index: int
    agent: str


@attrs.frozen
class Started:
    """A backend server got a task.

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
    """A caller got an answer.

    :param attempt: attempt that the answer names; 0 for none.
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
    """A worker or another node left, died, or let its lease lapse."""

    at: float
    worker: str


@attrs.frozen
class Joined:
    """A worker or another node that had left announced itself again."""

    at: float
    worker: str


@attrs.frozen
class Accepted:
    """The log accepted a version of the table."""

    at: float
    version: int


@attrs.frozen
class InForce:
    """A node works by a version of the table.

    :param node: name as in :class:`Left`; a restarted node is the same node.
    """

    at: float
    node: str
    version: int


Event = (
    Submitted | Claimed | Sent | Started | Answered | Left | Joined | Accepted | InForce
)
