"""Connections of a node with all others, shared by both daemons."""

from __future__ import annotations

import abc
import asyncio
import random
from collections.abc import Callable, Iterable

import attrs

from burdockgate import assignments, clock, errors, messages, wire
from burdockgate.connection import session, stream
from burdockgate.process import metrics

DIAL_TIMEOUT_S = 2.0
DIAL_RETRY_S = 0.5
# With a heartbeat due every third of the lease, a connection is never silent for
# more than half of it.
RECENT_SHARE_OF_LEASE = 1 / 6


class Handler(abc.ABC):
    """What a node does with the events of its connections."""

    @abc.abstractmethod
    def handle_connect(self, hello: messages.Hello) -> None:
        """Handle a node that has connected.

        :param hello: its announcement.
        """

    @abc.abstractmethod
    def handle_disconnect(self, name: str) -> None:
        """Handle the loss of a node's only connection.

        :param name: its name.
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

    :param dialled: the address, when it was dialled from here.
    :param heartbeat: the last one sent.
    :param sent_at: time of the last message sent, in seconds.
    :param is_leaving: whether either end has announced that it leaves.
    """

    stream: stream.Stream
    session: session.Session
    dialled: str = ""
    heartbeat: messages.Heartbeat | None = None
    sent_at: float = 0.0
    is_leaving: bool = False


class Network(stream.Receiver):
    """Listens, dials, and hands messages to a handler.

    :param hello: returns the announcement that opens each connection.
    :param handler: gets the events.
    :param lease_s: a connection silent for this long is closed.
    :param time: the clock.
    :param rng: the source of random delays.
    :param counters: the process's metrics.
    """

    def __init__(
        self,
        hello: Callable[[], messages.Hello],
        handler: Handler,
        lease_s: float,
        time: clock.Clock,
        rng: random.Random,
        counters: metrics.Metrics,
    ) -> None:
        self._hello = hello
        self._handler = handler
        self._lease_s = lease_s
        self._time = time
        self._rng = rng
        self._counters = counters
        self._server: asyncio.Server | None = None
        self._link_by_stream: dict[stream.Stream, _Link] = {}
        self._stream_by_name: dict[str, stream.Stream] = {}
        self._task_by_address: dict[str, asyncio.Task[None]] = {}
        self._dialled_at_by_address: dict[str, float] = {}
        self._watched_at = time.now()

    async def bind(self, listen: str) -> str:
        """Bind an address; :meth:`serve` accepts connections.

        The two are apart because the announcement, which a connection needs at
        once, names the bound address.

        :param listen: ``host:port``; port 0 takes a free one.
        :returns: the bound ``host:port``.
        :raises errors.SettingsError: when the address cannot be bound.
        """
        host, _, port = listen.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            self._server = await loop.create_server(
                lambda: stream.Stream(self), host, int(port), start_serving=False
            )
        except OSError as error:
            line = f"[node] listen={listen}: {error.strerror or error}"
            raise errors.SettingsError([line]) from error
        bound = self._server.sockets[0].getsockname()
        return f"{bound[0]}:{bound[1]}"

    async def serve(self) -> None:
        """Accept connections at the bound address."""
        assert self._server is not None
        await self._server.start_serving()

    async def stop(self) -> None:
        """Stop listening and close every connection after its last write."""
        if self._server is not None:
            self._server.close()
        for task in self._task_by_address.values():
            task.cancel()
        for link in list(self._link_by_stream.values()):
            link.is_leaving = True
            link.stream.close()
        await asyncio.sleep(0)

    @property
    def names(self) -> Iterable[str]:
        """Names of the connected nodes."""
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
            if self._is_needless(link, message, now):
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

    def _is_needless(
        self, link: _Link, message: messages.Heartbeat, now: float
    ) -> bool:
        """Return whether the peer learns nothing from a heartbeat.

        Any message renews the lease, so a heartbeat with the versions of the last
        one is left out on a connection that was just used.
        """
        is_recent = now - link.sent_at < self._lease_s * RECENT_SHARE_OF_LEASE
        return is_recent and message == link.heartbeat

    def dial(self, address: str, name: str = "") -> None:
        """Connect to an address unless that is done or under way.

        :param address: ``host:port``.
        :param name: name of the node there, if it is known.
        """
        if name in self._stream_by_name or address in self._task_by_address:
            return
        if any(link.dialled == address for link in self._link_by_stream.values()):
            return
        now = self._time.now()
        last = self._dialled_at_by_address.get(address)
        if last is not None and now - last < DIAL_RETRY_S:
            return
        self._dialled_at_by_address[address] = now
        task = asyncio.get_running_loop().create_task(self._connect(address))
        self._task_by_address[address] = task
        task.add_done_callback(lambda _: self._task_by_address.pop(address, None))

    async def _connect(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_S):
                _, made = await loop.create_connection(
                    lambda: stream.Stream(self), host, int(port)
                )
        except (OSError, ValueError, OverflowError, TimeoutError):
            return
        link = self._link_by_stream.get(made)
        if link is not None:
            link.dialled = address

    def watch(self) -> None:
        """Close overdue connections; call at least every 0.2 s.

        After a pause of this process itself, frames may be unread, so the peers are
        given a new lease instead.
        """
        now = self._time.now()
        paused = now - self._watched_at > self._lease_s / 2
        self._watched_at = now
        for link in list(self._link_by_stream.values()):
            if paused:
                link.session.heard_at = now
            elif link.session.is_overdue(now, self._lease_s):
                if not self._is_between_agents(link):
                    self._counters.count("wire.timeouts")
                link.stream.abort()
        if len(self._dialled_at_by_address) > 1000:
            self._dialled_at_by_address.clear()

    def handle_open(self, stream: stream.Stream) -> None:
        """Send the announcement."""
        now = self._time.now()
        self._link_by_stream[stream] = _Link(stream, session.Session(now, now))
        stream.send(self._hello())

    def handle_close(self, stream: stream.Stream) -> None:
        """Report the loss of a node unless another connection replaced this one."""
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
        """Return whether a connection serves a catch-up only, and lapses after it."""
        hello = link.session.hello
        agent = messages.Role.AGENT
        return hello is not None and hello.role is self._hello().role is agent

    def handle_truncated(self, stream: stream.Stream) -> None:
        """Count a frame without its end."""
        self._counters.count("wire.truncated")

    def handle_rejected(self, stream: stream.Stream, error: errors.WireError) -> None:
        """Count a malformed frame."""
        self._counters.count("wire.rejected")

    def handle_message(
        self, stream: stream.Stream, message: wire.Message, size: int
    ) -> None:
        """Hand on a message, or finish the handshake."""
        self._counters.count("wire.received")
        self._counters.count("wire.bytes_received", size)
        if isinstance(message, assignments.Message):
            raise errors.WireError(
                f"{type(message).__name__} belongs to another protocol"
            )
        link = self._link_by_stream[stream]
        if link.session.record_activity(message, self._time.now()):
            self._join(link)
        elif link.session.hello is not None:
            name = link.session.hello.node.name
            link.is_leaving |= isinstance(message, messages.Leave)
            if self._stream_by_name.get(name) is stream:
                self._handler.handle_message(name, message)

    def _join(self, link: _Link) -> None:
        """Make a connection the one of its node; an older one is closed."""
        hello = link.session.hello
        assert hello is not None
        own = self._hello().node
        if hello.node.name == own.name:
            link.stream.abort()
            return
        old = self._stream_by_name.get(hello.node.name)
        if old is not None:
            if self._keeps_old(own, link, old):
                link.stream.abort()
                return
            del self._stream_by_name[hello.node.name]
            if not self._is_same(link, old):
                self._count_lost(self._link_by_stream[old])
            old.abort()
            self._handler.handle_disconnect(hello.node.name)
        self._stream_by_name[hello.node.name] = link.stream
        self._counters.count("sessions.opened")
        self._handler.handle_connect(hello)

    def _keeps_old(self, own: messages.Node, link: _Link, old: stream.Stream) -> bool:
        """Return whether an older connection of the same incarnation stays.

        When two nodes dial each other at once, both must keep the same connection:
        the one dialled by the node with the smaller name.
        """
        hello = link.session.hello
        if hello is None or not self._is_same(link, old):
            return False
        old_is_own = bool(self._link_by_stream[old].dialled)
        new_is_own = bool(link.dialled)
        if old_is_own == new_is_own:
            return False
        return old_is_own == (own.name < hello.node.name)

    def _is_same(self, link: _Link, old: stream.Stream) -> bool:
        """Return whether two connections are of one incarnation of a node."""
        hello, old_hello = link.session.hello, self._link_by_stream[old].session.hello
        return (
            hello is not None
            and old_hello is not None
            and hello.node.is_same_incarnation(old_hello.node)
        )
