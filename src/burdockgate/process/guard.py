"""HTTP connections whose memory, time and number are bounded."""

from __future__ import annotations

import asyncio
import collections
import http
import select
import socket
from collections.abc import Callable, Mapping
from typing import Any, cast

import attrs
import msgspec
from uvicorn.protocols.http import httptools_impl

from burdockgate import clock
from burdockgate.process import intake, stalls
from burdockgate.request import caller

# Key of the connection, a :class:`caller.Caller`, in the extensions of a request's
# scope.
CALLER_EXTENSION = "burdockgate.caller"
# Body that is read and dropped after an early response, so that a client which sends
# its whole body first gets the response. A heartbeat may have 4 MiB.
DISCARD_BYTES = 8 * intake.MIB
RETRY_AFTER_S = 1

# For other reasons the connection is closed without a response.
_STATUS_BY_REASON = {
    intake.Reason.HEAD: 431,
    intake.Reason.TARGET: 431,
    intake.Reason.FIELDS: 431,
    intake.Reason.TRAILERS: 431,
    intake.Reason.BLANK: 400,
    intake.Reason.MALFORMED: 400,
    intake.Reason.SLOW_BODY: 408,
    intake.Reason.MEMORY: 503,
    intake.Reason.CONNECTIONS: 503,
}
# Reasons that need no part of a request.
_MISTAKES = (intake.Reason.BLANK, intake.Reason.MALFORMED)


@attrs.frozen
class Endpoint:
    """A listening address and its share of the budgets."""

    name: str
    budgets: intake.Intake
    time: clock.Clock
    # Budget of connections.
    max_connections: int
    # Called at most once per second with the number of refused clients by reason.
    report: Callable[[str, Mapping[intake.Reason, int]], None]

    def sweep(self) -> None:
        """Disconnect the clients whose time has run out; call it once per second."""
        for connection in self.budgets.clients(self.name):
            cast(Connection, connection).observe_writes()
        for usage, reason in self.budgets.overdue(self.name):
            usage.client.give_way(reason)
        if counts := self.budgets.take_counts(self.name):
            self.report(self.name, counts)


class _RefusedError(Exception):
    """Stops the parser after the connection has been refused."""


def _is_ended_by_peer(connection: socket.socket) -> bool:
    """Return whether the end of the peer's stream, or a reset, has arrived.

    The kernel tells it even where data before the end has not been read.
    """
    poll = select.poll()
    poll.register(connection, select.POLLRDHUP)
    # Errors and hang-ups are always reported.
    return bool(poll.poll(0))


class Connection(httptools_impl.HttpToolsProtocol, intake.Client, caller.Caller):
    """An HTTP connection within the limits of its endpoint.

    :param endpoint: the endpoint that accepted it.
    :param options: parameters of uvicorn's protocol.
    """

    def __init__(self, endpoint: Endpoint, **options: Any) -> None:
        super().__init__(**options)
        self._endpoint = endpoint
        self._budgets = endpoint.budgets
        self._limits = endpoint.budgets.limits
        self._usage: intake.Usage
        self._is_refused = False
        # When the connection opened; later, when the oldest request in progress began.
        self._began_at = endpoint.time.now()
        # Bytes that were received since the parser last passed on a part of a request.
        self._unclaimed_bytes = 0
        self._trailer_count = 0
        self._trailer_bytes = 0
        # Requests without a complete response, the one in progress first.
        self._open_cycles: collections.deque[httptools_impl.RequestResponseCycle]
        self._open_cycles = collections.deque()
        self._body_bytes = 0
        self._discarded_bytes = 0

    # Implementation of asyncio.Protocol

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Take a place in the budget of connections."""
        super().connection_made(transport)
        transport.set_write_buffer_limits(high=intake.WRITE_BUFFER_BYTES)
        endpoint = self._endpoint
        self._usage, victims, has_room = self._budgets.connect(
            self, endpoint.name, endpoint.max_connections
        )
        for victim in victims:
            victim.client.give_way(intake.Reason.CONNECTIONS)
        if not has_room:
            self._refuse(intake.Reason.CONNECTIONS)

    def connection_lost(self, exc: Exception | None) -> None:
        """Return the place in the budgets."""
        self._budgets.disconnect(self._usage)
        self._disconnect_requests()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse the data, then count what is held because of it."""
        usage = self._usage
        phase = usage.phase
        self._unclaimed_bytes += len(data)
        super().data_received(data)
        if self._is_refused:
            return
        if usage.phase is not phase:
            usage.enter(usage.phase, self._endpoint.time.now())
        if self._unclaimed_bytes:
            self._check_unclaimed()
        self._update_held()

    def pause_writing(self) -> None:
        """Count the unsent response."""
        super().pause_writing()
        self._usage.blocked_at = self._endpoint.time.now()
        self._usage.unsent_bytes = self.transport.get_write_buffer_size()
        self._update_held()

    def resume_writing(self) -> None:
        """Stop counting the unsent response."""
        super().resume_writing()
        self._usage.blocked_at = None
        self._usage.unsent_bytes = 0
        self._update_held()

    def observe_writes(self) -> None:
        """Note whether the client reads its response."""
        usage, now = self._usage, self._endpoint.time.now()
        if usage.blocked_at is not None:
            unsent_bytes = self.transport.get_write_buffer_size()
            if usage.unsent_bytes - unsent_bytes >= self._limits.body_bytes_per_s:
                usage.blocked_at, usage.unsent_bytes = now, unsent_bytes
        elif self.transport.is_closing() and usage.phase is not intake.Phase.CLOSING:
            usage.enter(intake.Phase.CLOSING, now)

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        """Begin a head."""
        super().on_message_begin()
        if self.cycle is not None and not self._open_cycles:
            self._began_at = self._endpoint.time.now()
        cast(dict[str, Any], self.scope)["extensions"] = {CALLER_EXTENSION: self}
        self._usage.phase = intake.Phase.HEAD

    def on_url(self, url: bytes) -> None:
        """Add a part of the request target."""
        if len(self.url) + len(url) > self._limits.target_bytes:
            self._refuse_parsing(intake.Reason.TARGET)
        super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header field; trailer fields are dropped."""
        if self._usage.phase is not intake.Phase.BODY:
            super().on_header(name, value)
            return
        self._trailer_count += 1
        self._trailer_bytes += len(name) + len(value)
        if self._trailer_count > self._limits.header_fields:
            self._refuse_parsing(intake.Reason.FIELDS)
        if self._trailer_bytes > self._limits.trailer_bytes:
            self._refuse_parsing(intake.Reason.TRAILERS)

    def on_headers_complete(self) -> None:
        """Begin a body."""
        limits = self._limits
        if len(self.pipeline) >= limits.pipelined_requests:
            self._refuse_parsing(intake.Reason.PIPELINE)
        if len(self.headers) > limits.header_fields:
            self._refuse_parsing(intake.Reason.FIELDS)
        # The head may have come with a body of any size.
        if self._unclaimed_bytes > limits.head_bytes < self._head_bytes():
            self._refuse_parsing(intake.Reason.HEAD)
        super().on_headers_complete()
        self._open_cycles.append(self.cycle)
        self._usage.phase = intake.Phase.BODY
        self._unclaimed_bytes = self._trailer_count = self._trailer_bytes = 0

    def _head_bytes(self) -> int:
        fields = sum(len(name) + len(value) for name, value in self.headers)
        return len(self.url) + fields

    def on_body(self, body: bytes) -> None:
        """Add a part of a body."""
        self._unclaimed_bytes = 0
        self._usage.received_bytes += len(body)
        super().on_body(body)
        if self.cycle.response_complete:
            self._discarded_bytes += len(body)
            if self._discarded_bytes > DISCARD_BYTES:
                self._refuse_parsing(intake.Reason.DISCARDED)
        elif self.cycle.response_started:
            self._body_bytes = len(self.cycle.body)
        else:
            self._body_bytes += len(body)

    def on_message_complete(self) -> None:
        """End a request, whose body now belongs to the application."""
        super().on_message_complete()
        self._unclaimed_bytes = self._discarded_bytes = 0
        if not self.pipeline:
            self._body_bytes = 0
        is_answered = self.cycle.response_complete
        self._usage.phase = intake.Phase.IDLE if is_answered else intake.Phase.SERVED

    def on_response_complete(self) -> None:
        """Wait for the next request."""
        while self._open_cycles and self._open_cycles[0].response_complete:
            self._open_cycles.popleft()
        super().on_response_complete()
        if not self.cycle.response_complete:  # a later request is in progress
            return
        self._body_bytes = 0
        if self._usage.phase is intake.Phase.SERVED:
            self._usage.enter(intake.Phase.IDLE, self._endpoint.time.now())
        self._update_held()

    def is_connected(self) -> bool:
        """Return whether the client has not ended its connection, as far as known."""
        if self.transport.is_closing():
            return False
        connection = cast(socket.socket, self.transport.get_extra_info("socket"))
        return not _is_ended_by_peer(connection)

    def was_delayed(self) -> bool:
        """Return whether the request may have been held back on its way.

        Clients send a request as soon as they are connected, and at once.
        """
        return self._endpoint.time.now() - self._began_at >= stalls.STALL_S

    @property
    def has_unread_body(self) -> bool:
        """Whether the request was answered before its whole body has arrived."""
        is_receiving = self._usage.phase is intake.Phase.BODY
        return is_receiving and self.cycle.response_complete

    # Refusals

    def _check_unclaimed(self) -> None:
        match self._usage.phase:
            case intake.Phase.HEAD:
                reason, limit = intake.Reason.HEAD, self._limits.head_bytes
            case intake.Phase.BODY:
                reason, limit = intake.Reason.TRAILERS, self._limits.trailer_bytes
            case _:
                reason, limit = intake.Reason.BLANK, self._limits.blank_bytes
        if self._unclaimed_bytes > limit:
            self._refuse(reason)

    def _update_held(self) -> None:
        usage = self._usage
        held_bytes = self._unclaimed_bytes + self._body_bytes + usage.unsent_bytes
        if held_bytes == usage.held_bytes or self._is_refused:
            return
        for victim in self._budgets.hold(usage, held_bytes):
            victim.client.give_way(intake.Reason.MEMORY)

    def give_way(self, reason: intake.Reason) -> None:
        """Refuse the request that is coming in, if there is one, and disconnect."""
        if not self._is_refused:
            self._refuse(reason)

    def send_400_response(self, msg: str) -> None:
        """Refuse a malformed request, unless the connection is refused already."""
        if not self._is_refused:
            self._refuse(intake.Reason.MALFORMED)

    def _refuse_parsing(self, reason: intake.Reason) -> None:
        self._refuse(reason)
        raise _RefusedError

    def _refuse(self, reason: intake.Reason) -> None:
        self._is_refused = True
        if reason is not intake.Reason.IDLE:
            self._budgets.count(self._endpoint.name, reason)
        status = _STATUS_BY_REASON.get(reason)
        if status is not None and self._may_answer(reason):
            self.transport.write(self._encode_refusal(status, reason))
        if self.cycle is not None and not self.cycle.response_complete:
            self.cycle.body = bytearray()
        self._disconnect_requests()
        self.pipeline.clear()
        # What the kernel has taken is still sent.
        self.transport.abort()
        self._budgets.disconnect(self._usage)

    def _disconnect_requests(self) -> None:
        """Let the application know of the end of the connection.

        uvicorn tells it to the newest request only, which may wait behind others.
        """
        for cycle in self._open_cycles:
            if not cycle.response_complete:
                cycle.disconnected = True
                cycle.message_event.set()

    def _may_answer(self, reason: intake.Reason) -> bool:
        """Return whether a response would belong to the request that is coming in."""
        match self._usage.phase:
            case intake.Phase.NEW | intake.Phase.IDLE if reason not in _MISTAKES:
                return False
            case intake.Phase.NEW | intake.Phase.IDLE | intake.Phase.HEAD:
                return self.cycle is None or self.cycle.response_complete
            case intake.Phase.BODY:
                return not self.pipeline and not self.cycle.response_started
        return False

    def _encode_refusal(self, status: int, reason: intake.Reason) -> bytes:
        body = self.encode_body(status, reason)
        lines = [
            f"HTTP/1.1 {status} {http.HTTPStatus(status).phrase}",
            "content-type: application/json",
            f"content-length: {len(body)}",
            "connection: close",
        ]
        if status == 503:
            lines.append(f"retry-after: {RETRY_AFTER_S}")
        return "\r\n".join([*lines, "", ""]).encode() + body

    def encode_body(self, status: int, reason: intake.Reason) -> bytes:
        """Return the body of a refusal, JSON.

        :param status: HTTP status.
        :param reason: why the client is refused.
        """
        return msgspec.json.encode({"detail": reason.value})
