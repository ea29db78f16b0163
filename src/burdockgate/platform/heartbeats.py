"""HTTP endpoint for the heartbeats of the worker on the same machine."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from burdockgate import addresses, errors
from burdockgate.platform import asgi, decoding
from burdockgate.process import workercontrol

if TYPE_CHECKING:
    from burdockgate.process import agentdaemon

MAX_BODY_BYTES = 65_536
_PREFIX = "/burdockgate/instances/"


class _Capacity(msgspec.Struct, rename={"memory_mb": "memMb"}):
    # Thousandths of a core.
    cpu: decoding.Cpu
    memory_mb: decoding.MemoryMb
    gpu: decoding.Gpu = 0


class _Heartbeat(msgspec.Struct, rename={"clock_ms": "clockMs", "sequence": "seq"}):
    service: decoding.Name
    address: decoding.Name
    zone: decoding.Name
    state: decoding.Name
    capacity: _Capacity
    sequence: decoding.Integer
    # The worker's monotonic clock.
    clock_ms: decoding.Integer
    labels: decoding.Labels = []
    # Start time of this worker instance, Unix milliseconds.
    born: decoding.UnixMs = 0


_IS_DRAINING_BY_STATE = {"ready": False, "draining": True}


def decode(worker: str, body: bytes) -> workercontrol.WorkerHeartbeat | None:
    """Decode a heartbeat; return ``None`` when it is malformed.

    :param worker: identifier of the worker, from the path.
    :param body: the heartbeat, JSON.
    """
    try:
        heartbeat = decoding.decode(body, _Heartbeat)
    except errors.MalformedError:
        return None
    is_draining = _IS_DRAINING_BY_STATE.get(heartbeat.state)
    if is_draining is None or not addresses.is_dialable(heartbeat.address):
        return None
    if not 0 < len(worker) <= decoding.MAX_NAME_CHARS:
        return None
    return workercontrol.WorkerHeartbeat(
        worker,
        heartbeat.born,
        heartbeat.service,
        heartbeat.capacity.cpu,
        heartbeat.capacity.memory_mb,
        heartbeat.capacity.gpu,
        tuple(heartbeat.labels),
        is_draining,
        heartbeat.sequence,
        heartbeat.clock_ms,
        heartbeat.address,
    )


class Heartbeats:
    """ASGI application that receives the heartbeats.

    :param daemon: the agent that handles them.
    """

    def __init__(self, daemon: agentdaemon.AgentDaemon) -> None:
        self._daemon = daemon

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Handle a heartbeat or deregistration and send the status."""
        path: str = scope["path"]
        if scope["method"] != "POST" or not path.startswith(_PREFIX):
            await asgi.send_response(send, 404)
            return
        worker, _, action = path[len(_PREFIX) :].partition("/")
        try:
            body = await asgi.read_body(receive, MAX_BODY_BYTES)
        except asgi.BodyTooLargeError:
            await asgi.send_response(send, 413)
            return
        except asgi.CallerGoneError:
            return
        await asgi.send_response(send, self._handle(worker, action, body), b"{}")

    def _handle(self, worker: str, action: str, body: bytes) -> int:
        if action == "deregister":
            self._daemon.handle_deregistration(worker)
            return 200
        if action != "heartbeat":
            return 404
        heartbeat = decode(worker, body)
        if heartbeat is None:
            fields = {"worker": worker[: decoding.MAX_NAME_CHARS]}
            self._daemon.events.record("heartbeat.unreadable", fields)
            return 400
        return 200 if self._daemon.handle_heartbeat(heartbeat) else 400


class NoHeartbeats:
    """Rejects heartbeats on a machine without a worker, so that they go elsewhere."""

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Respond with 503."""
        await asgi.send_response(send, 503)
