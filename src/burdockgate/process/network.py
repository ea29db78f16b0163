"""The connections of a node with other nodes, for claimed jobs.

The daemons of entry hosts and agents send and receive all messages through it.
"""

from __future__ import annotations

import abc
import asyncio
import random
from collections.abc import Callable, Iterable

import attrs

from burdockgate import assignments, clock, errors, messages, wire
from burdockgate.connection import session, stream
from burdockgate.process import intake, listeners, metrics, peerintake

DIAL_TIMEOUT_S = 2.0
DIAL_RETRY_S = 0.5
# A heartbeat may be skipped on a connection used within this fraction of the lease.
# With a heartbeat due every third of the lease, a connection is then never silent for
# more than half of it.
RECENT_USE_LEASE_FRACTION = 1 / 6


class Handler(abc.ABC):
    """Handles the events of a node's connections."""

    @abc.abstractmethod
    def handle_connect(self, hello: messages.Hello) -> None:
        """Handle a new connection with a node.

        :param hello: the first message of the node.
        """

    @abc.abstractmethod
    def handle_disconnect(self, name: str) -> None:
        """Handle the loss of a node's only connection.

        :param name: name of the node.
        """

    @abc.abstractmethod
    def handle_message(self, name: str, message: messages.Message) -> None:
        """Handle a message.

        :param name: name of the sender.
        :param message: the message.
        """


@attrs.define
class _Link:
    """One connection.

    :param dialled_address: the peer's address if this node dialled it, else empty.
    :param heartbeat: the last heartbeat sent.
    :param sent_at: time of the last message sent, in seconds.
    :param is_leaving: whether either end has sent ``Leave``, or this node stops.
    """

    stream: stream.Stream
    session: session.Session
    dialled_address: str = ""
    heartbeat: messages.Heartbeat | None = None
    sent_at: float = 0.0
    is_leaving: bool = False


class Network(stream.Receiver):
    """Listens, dials, and passes messages to a handler.

    :param hello: returns the message that opens each connection.
    :param handler: receives the events.
    :param lease_s: longest silence, in seconds, before a connection is closed.
    :param time: the clock.
    :param rng: the source of random delays.
    :param counters: the process's metrics.
    :param limits: the limits of the process; by default those that it inherits.
    """

    def __init__(
        self,
        hello: Callable[[], messages.Hello],
        handler: Handler,
        lease_s: float,
        time: clock.Clock,
        rng: random.Random,
        counters: metrics.Metrics,
        limits: intake.Limits | None = None,
    ) -> None:
        self._hello = hello
        self._handler = handler
        self._lease_s = lease_s
        self._time = time
        self._rng = rng
        self._counters = counters
        self._budgets: peerintake.PeerIntake[stream.Stream]
        self._budgets = peerintake.PeerIntake(limits or listeners.inherited_limits())
        self._server: asyncio.Server | None = None
        self._link_by_stream: dict[stream.Stream, _Link] = {}
        self._stream_by_name: dict[str, stream.Stream] = {}
        self._dial_task_by_address: dict[str, asyncio.Task[None]] = {}
        self._dialled_at_by_address: dict[str, float] = {}
        self._last_check_at = time.now()

    async def bind(self, listen: str) -> str:
        """Bind an address; :meth:`serve` accepts connections.

        The two steps are separate because the first message on a connection, which
        is sent as soon as one is accepted, contains the bound address.

        :param listen: ``host:port``; port 0 selects a free one.
        :returns: the bound ``host:port``.
        :raises errors.SettingsError: when the address cannot be bound.
        """
        host, _, port = listen.rpartition(":")
        try:
            self._server = await listeners.bind(
                lambda: stream.Stream(self, is_accepted=True), host, int(port)
            )
        except OSError as error:
            problem = f"[node] listen={listen}: {error.strerror or error}"
            raise errors.SettingsError([problem]) from error
        bound_address = self._server.sockets[0].getsockname()
        return f"{bound_address[0]}:{bound_address[1]}"

    async def serve(self) -> None:
        """Accept connections at the bound address."""
        assert self._server is not None
        await listeners.serve(self._server)

    async def stop(self) -> None:
        """Stop listening and close every connection after writing what is queued."""
        if self._server is not None:
            self._server.close()
        for task in self._dial_task_by_address.values():
            task.cancel()
        for link in list(self._link_by_stream.values()):
            link.is_leaving = True
            link.stream.close()
        await asyncio.sleep(0)

    @property
    def connected_names(self) -> Iterable[str]:
        """The names of the connected nodes."""
        return self._stream_by_name.keys()

    def send(self, name: str, message: messages.Message) -> bool:
        """Send a message.

        :param name: name of the receiver.
        :param message: the message.
        :returns: whether the receiver is connected; if not, nothing is sent.
        """
        target = self._stream_by_name.get(name)
        if target is None:
            return False
        link, now = self._link_by_stream[target], self._time.now()
        if isinstance(message, messages.Heartbeat):
            if self._is_redundant(link, message, now):
                return True
            link.heartbeat = message
        link.is_leaving |= isinstance(message, messages.Leave)
        try:
            size = target.send(message)
        except errors.WireError:
            self._counters.count("wire.rejected")
            return False
        link.sent_at = now
        self._counters.count("wire.sent")
        self._counters.count("wire.bytes_sent", size)
        return True

    def _is_redundant(
        self, link: _Link, message: messages.Heartbeat, now: float
    ) -> bool:
        """Return whether a heartbeat tells the peer nothing new.

        Any message renews the lease, so a heartbeat equal to the last one is skipped
        on a connection that was used recently.
        """
        is_recent = now - link.sent_at < self._lease_s * RECENT_USE_LEASE_FRACTION
        return is_recent and message == link.heartbeat

    def dial(self, address: str, name: str = "") -> None:
        """Connect to an address unless it is connected or being dialled.

        :param address: ``host:port``.
        :param name: name of the node at the address, if known.
        """
        if name in self._stream_by_name or address in self._dial_task_by_address:
            return
        if any(
            link.dialled_address == address for link in self._link_by_stream.values()
        ):
            return
        now = self._time.now()
        last_dialled_at = self._dialled_at_by_address.get(address)
        if last_dialled_at is not None and now - last_dialled_at < DIAL_RETRY_S:
            return
        self._dialled_at_by_address[address] = now
        task = asyncio.get_running_loop().create_task(self._connect(address))
        self._dial_task_by_address[address] = task
        task.add_done_callback(lambda _: self._dial_task_by_address.pop(address, None))

    async def _connect(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: stream.Stream(self), host, int(port)
                )
        except (OSError, ValueError, OverflowError, TimeoutError):
            return
        link = self._link_by_stream.get(connection)
        if link is not None:
            link.dialled_address = address

    def close_overdue(self) -> None:
        """Close overdue connections; call at least every 0.2 s.

        After a pause of this process itself, received frames may still be unread, so
        all peers get a new lease instead.
        """
        now = self._time.now()
        was_paused = now - self._last_check_at > self._lease_s / 2
        self._last_check_at = now
        for link in list(self._link_by_stream.values()):
            if was_paused:
                link.session.last_received_at = now
            elif link.session.is_overdue(now, self._lease_s):
                if not self._is_between_agents(link):
                    self._counters.count("wire.timeouts")
                link.stream.abort()
        # Addresses that are no longer dialled must not accumulate.
        if len(self._dialled_at_by_address) > 1000:
            self._dialled_at_by_address.clear()

    def handle_open(self, stream: stream.Stream) -> None:
        """Send ``Hello`` on a new connection."""
        now = self._time.now()
        if stream.is_accepted:
            self._abort(self._budgets.connect(stream))
        self._link_by_stream[stream] = _Link(stream, session.Session(now, now))
        stream.send(self._hello())

    def handle_held(self, stream: stream.Stream, held_bytes: int) -> None:
        """Count the bytes of an unfinished frame."""
        self._abort(self._budgets.hold(stream, held_bytes))

    def _abort(self, victims: Iterable[stream.Stream]) -> None:
        for victim in victims:
            self._counters.count("wire.refused")
            victim.abort()

    def handle_close(self, stream: stream.Stream) -> None:
        """Report the loss of a node unless another connection has replaced this one."""
        self._budgets.disconnect(stream)
        link = self._link_by_stream.pop(stream, None)
        if link is None or link.session.hello is None:
            return
        name = link.session.hello.node.name
        if self._stream_by_name.get(name) is stream:
            del self._stream_by_name[name]
            self._count_lost(link)
            self._handler.handle_disconnect(name)

    def _count_lost(self, link: _Link) -> None:
        if not (link.is_leaving or self._is_between_agents(link)):
            self._counters.count("sessions.lost")

    def _is_between_agents(self, link: _Link) -> bool:
        """Return whether both ends are agents.

        Such a connection serves a catch-up only, and ends by timeout afterwards.
        """
        hello = link.session.hello
        agent = messages.Role.AGENT
        return hello is not None and hello.role is self._hello().role is agent

    def handle_truncated(self, stream: stream.Stream) -> None:
        """Count a frame that was cut off by the end of its connection."""
        self._counters.count("wire.truncated")

    def handle_rejected(self, stream: stream.Stream, error: errors.WireError) -> None:
        """Count a malformed frame."""
        self._counters.count("wire.rejected")

    def handle_message(
        self, stream: stream.Stream, message: wire.Message, size: int
    ) -> None:
        """Pass a message to the handler, or complete the handshake."""
        self._counters.count("wire.received")
        self._counters.count("wire.bytes_received", size)
        if isinstance(message, assignments.Message):
            raise errors.WireError(
                f"{type(message).__name__} belongs to another protocol"
            )
        link = self._link_by_stream[stream]
        if link.session.record_activity(message, self._time.now()):
            self._register(link)
        elif link.session.hello is not None:
            name = link.session.hello.node.name
            link.is_leaving |= isinstance(message, messages.Leave)
            if self._stream_by_name.get(name) is stream:
                self._handler.handle_message(name, message)

    def _register(self, link: _Link) -> None:
        """Use a connection for its node; of two connections, one is closed."""
        self._budgets.introduce(link.stream)
        hello = link.session.hello
        assert hello is not None
        own_node = self._hello().node
        if hello.node.name == own_node.name:
            link.stream.abort()
            return
        old = self._stream_by_name.get(hello.node.name)
        if old is not None:
            if self._must_keep_old(own_node, link, old):
                link.stream.abort()
                return
            del self._stream_by_name[hello.node.name]
            if not self._is_same_incarnation(link, old):
                self._count_lost(self._link_by_stream[old])
            old.abort()
            self._handler.handle_disconnect(hello.node.name)
        self._stream_by_name[hello.node.name] = link.stream
        self._counters.count("sessions.opened")
        self._handler.handle_connect(hello)

    def _must_keep_old(
        self, own_node: messages.Node, link: _Link, old: stream.Stream
    ) -> bool:
        """Return whether an older connection with the same incarnation is kept.

        When two nodes dial each other at the same time, both must keep the same
        connection: the one dialled by the node with the smaller name.
        """
        hello = link.session.hello
        if hello is None or not self._is_same_incarnation(link, old):
            return False
        old_dialled_here = bool(self._link_by_stream[old].dialled_address)
        new_dialled_here = bool(link.dialled_address)
        if old_dialled_here == new_dialled_here:
            return False
        return old_dialled_here == (own_node.name < hello.node.name)

    def _is_same_incarnation(self, link: _Link, old: stream.Stream) -> bool:
        """Return whether two connections are with the same incarnation of a node."""
        hello, old_hello = link.session.hello, self._link_by_stream[old].session.hello
        return (
            hello is not None
            and old_hello is not None
            and hello.node.is_same_incarnation(old_hello.node)
        )
