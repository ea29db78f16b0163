"""Effects: the I/O that state machines ask their daemon to perform.

The state machines under ``request`` and ``process`` do no I/O. Their methods are
generators that yield effects, and the daemon performs each one.
"""

from __future__ import annotations

import attrs

from burdockgate import messages
from burdockgate.request import outcome


@attrs.frozen
class Send:
    """Send a message to a node.

    :param to: name of the node; the message is dropped if it is not connected.
    """

    to: str
    message: messages.Message


@attrs.frozen
class Dial:
    """Open a connection to a node, unless there is one already."""

    node: messages.Node


@attrs.frozen
class Answer:
    """Deliver the outcome of a job to a waiting caller.

    :param ticket: number under which the caller waits.
    """

    ticket: int
    outcome: outcome.Outcome


@attrs.frozen
class Execute:
    """Run a task on the backend server and report how it ended.

    :param job: 16-byte job id.
    :param payload: JSON text.
    :param timeout_ms: timeout of the request to the backend server.
    """

    job: bytes
    attempt: int
    index: int
    payload: bytes
    timeout_ms: int


@attrs.frozen
class Stop:
    """Stop a running task on the backend server."""

    job: bytes
    attempt: int
    index: int


@attrs.frozen
class Append:
    """Append a record to a stream of the log, unless it is there already.

    :param value: JSON text.
    """

    stream: str
    record_id: str
    value: bytes


Effect = Append | Send | Dial | Answer | Execute | Stop
