"""Heartbeats of the worker on the same machine, over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from burdockgate.platform import asgi
from burdockgate.process import workercontrol

if TYPE_CHECKING:
    from burdockgate.process import agentdaemon

BODY_LIMIT = 65_536
_PREFIX = "/burdockgate/instances/"


class _Capacity(msgspec.Struct, rename={"memory_mb": "memMb"}):
    # Thousandths of a core.
    cpu: int
    memory_mb: int
    gpu: int = 0


class _Heartbeat(msgspec.Struct, rename={"clock_ms": "clockMs", "sequence": "seq"}):
    service: str
    address: str
    zone: str
    state: str
    capacity: _Capacity
    sequence: int
    # The worker's steady clock.
    clock_ms: int
    labels: list[str] = []
    # Start of this life of the worker, Unix milliseconds.
    born: int = 0


_IS_DRAINING_BY_STATE = {"ready": False, "draining": True}


def decode(worker: str, body: bytes) -> workercontrol.WorkerHeartbeat | None:
    """Return what a worker says of itself, or ``None`` when it can't be read.

    :param worker: identifier from the path.
    :param body: the heartbeat, JSON.
    """
    try:
        told = msgspec.json.decode(body, type=_Heartbeat)
    except msgspec.DecodeError:
        return None
    is_draining = _IS_DRAINING_BY_STATE.get(told.state)
    if is_draining is None:
        return None
    return workercontrol.WorkerHeartbeat(
        worker,
        told.born,
        told.service,
        told.capacity.cpu,
        told.capacity.memory_mb,
        told.capacity.gpu,
        tuple(told.labels),
        is_draining,
        told.sequence,
        told.clock_ms,
    )


class Heartbeats:
    """Takes the heartbeats.

    :param daemon: the agent.
    """

    def __init__(self, daemon: agentdaemon.AgentDaemon) -> None:
        self._daemon = daemon

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Acknowledge a heartbeat that was taken in."""
        path: str = scope["path"]
        if scope["method"] != "POST" or not path.startswith(_PREFIX):
            await asgi.answer(send, 404)
            return
        worker, _, action = path[len(_PREFIX) :].partition("/")
        try:
            body = await asgi.read_body(receive, BODY_LIMIT)
        except asgi.BodyTooLargeError:
            await asgi.answer(send, 413)
            return
        except asgi.CallerGoneError:
            return
        await asgi.answer(send, self._take(worker, action, body), b"{}")

    def _take(self, worker: str, action: str, body: bytes) -> int:
        if action == "deregister":
            self._daemon.handle_deregistration(worker)
            return 200
        if action != "heartbeat":
            return 404
        told = decode(worker, body)
        if told is None:
            self._daemon.events.record("heartbeat.unreadable", {"worker": worker})
            return 400
        self._daemon.handle_heartbeat(told)
        return 200


class NoHeartbeats:
    """Refuses heartbeats on a machine without a worker, so that they go elsewhere."""

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Answer 503."""
        await asgi.answer(send, 503)
