"""Connections between agents and entry hosts; an agent dials every entry host."""

from __future__ import annotations

import abc
import asyncio
import random
import socket
from typing import cast

import attrs

from burdockgate import assignments, clock, errors, wire
from burdockgate.connection import stream

DIAL_TIMEOUT_S = 0.6
# An entry host is dialled again soon after a reset, because its runs here end with
# the session lease; later less often, since dead addresses stay known for long.
FIRST_REDIAL_S = 0.05
MAX_REDIAL_S = 1.0
# Reports and renewals pass every 0.2 s, so that a connection that is silent for this
# long is broken. It is longer than the session lease: a lease that lapsed is noted
# before the connection is given up.
SILENCE_S = 0.9
# Entry hosts are few; the bound keeps a faulty list from growing without end.
MAX_ADDRESSES = 200


class Handler(abc.ABC):
    """What an end of a link reports to."""

    @abc.abstractmethod
    def handle_open(self, link: stream.Stream) -> None:
        """Handle a connection that was made.

        :param link: the connection.
        """

    @abc.abstractmethod
    def handle_message(self, link: stream.Stream, message: assignments.Message) -> None:
        """Handle a message.

        :param link: the connection.
        :param message: the message.
        """

    @abc.abstractmethod
    def handle_close(self, link: stream.Stream) -> None:
        """Handle the end of a connection.

        :param link: the connection.
        """

    @abc.abstractmethod
    def handle_rejected(self, reason: str) -> None:
        """Handle a malformed message; its connection is closed.

        :param reason: what was wrong.
        """

    def handle_refused(self, address: str) -> None:  # noqa: B027
        """Handle that no process listens at an address.

        :param address: the address.
        """


class Links(stream.Receiver):
    """Open connections, with the time of the last message of each.

    :param handler: gets the events.
    :param time: a clock that counts suspensions.
    """

    def __init__(self, handler: Handler, time: clock.Clock) -> None:
        self._handler = handler
        self._time = time
        self._heard_at_by_link: dict[stream.Stream, float] = {}

    def handle_open(self, stream: stream.Stream) -> None:
        """Report a connection."""
        self._heard_at_by_link[stream] = self._time.now()
        self._handler.handle_open(stream)

    def handle_close(self, stream: stream.Stream) -> None:
        """Report the end of a connection."""
        if self._heard_at_by_link.pop(stream, None) is not None:
            self._handler.handle_close(stream)

    def handle_truncated(self, stream: stream.Stream) -> None:
        """Accept a connection that ends within a frame; the end itself is reported."""

    def handle_rejected(self, stream: stream.Stream, error: errors.WireError) -> None:
        """Report a malformed frame."""
        self._handler.handle_rejected(str(error))

    def handle_message(
        self, stream: stream.Stream, message: wire.Message, size: int
    ) -> None:
        """Hand on a message."""
        if stream not in self._heard_at_by_link:
            return
        self._heard_at_by_link[stream] = self._time.now()
        if not isinstance(message, assignments.Message):
            raise errors.WireError(f"{type(message).__name__} is not expected here")
        self._handler.handle_message(stream, message)

    def abort_silent_links(self) -> None:
        """Abort the connections that are silent."""
        now = self._time.now()
        for link, heard_at in list(self._heard_at_by_link.items()):
            if now - heard_at > SILENCE_S:
                link.abort()
                self.handle_close(link)

    def close(self) -> None:
        """Close all connections after what was queued."""
        for link in list(self._heard_at_by_link):
            link.close()


class EntryLinks(Links):
    """The side that accepts."""

    async def start(self, host: str, port: int) -> asyncio.Server:
        """Listen for agents.

        :param host: own IP address.
        :param port: port to listen at.
        :raises OSError: when the address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        return await loop.create_server(
            lambda: stream.Stream(self), host, port, backlog=1024
        )


@attrs.define
class _Target:
    """An entry host to keep a connection with."""

    address: str
    link: stream.Stream | None = None
    is_dialling: bool = False
    next_dial_at: float = 0.0
    pause_s: float = FIRST_REDIAL_S


class AgentLinks(Links):
    """The side that dials.

    :param handler: gets the events.
    :param time: a clock that counts suspensions.
    :param rng: spreads the dials of many agents.
    """

    def __init__(self, handler: Handler, time: clock.Clock, rng: random.Random) -> None:
        super().__init__(handler, time)
        self._rng = rng
        self._target_by_address: dict[str, _Target] = {}
        self._dials: set[asyncio.Task[None]] = set()

    @property
    def addresses(self) -> tuple[str, ...]:
        """The known addresses of entry hosts."""
        return tuple(self._target_by_address)

    def add(self, address: str) -> None:
        """Keep a connection with an entry host, and dial a new one now.

        :param address: ``host:port``.
        """
        is_known = address in self._target_by_address
        if not is_known and len(self._target_by_address) < MAX_ADDRESSES:
            self._target_by_address[address] = _Target(address)
            self.dial_due()

    def dial_due(self) -> None:
        """Dial the entry hosts without a connection."""
        now = self._time.now()
        for target in self._target_by_address.values():
            if target.link is not None and target.link.is_closed:
                target.link, target.next_dial_at = None, now + FIRST_REDIAL_S
                target.pause_s = FIRST_REDIAL_S
            is_idle = target.link is None and not target.is_dialling
            if is_idle and now >= target.next_dial_at:
                target.is_dialling = True
                dial = asyncio.get_running_loop().create_task(self._dial(target))
                self._dials.add(dial)
                dial.add_done_callback(self._dials.discard)

    def address_of(self, link: stream.Stream) -> str:
        """Return the address that was dialled for a connection; empty if unknown.

        :param link: the connection.
        """
        return next(
            (
                target.address
                for target in self._target_by_address.values()
                if target.link is link
            ),
            "",
        )

    async def _dial(self, target: _Target) -> None:
        host, port = target.address.rsplit(":", 1)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_S):
                transport, made = await loop.create_connection(
                    lambda: stream.Stream(self), host, int(port)
                )
            connection = cast(socket.socket, transport.get_extra_info("socket"))
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            target.link, target.pause_s = made, FIRST_REDIAL_S
        except ConnectionRefusedError:
            self._postpone(target)
            self._handler.handle_refused(target.address)
        except (OSError, ValueError, TimeoutError):
            self._postpone(target)
        finally:
            target.is_dialling = False

    def _postpone(self, target: _Target) -> None:
        target.pause_s = min(2 * target.pause_s, MAX_REDIAL_S)
        spread: float = self._rng.uniform(0.7, 1.3)
        target.next_dial_at = self._time.now() + target.pause_s * spread

    def close(self) -> None:
        """Close all connections and dial no more."""
        self._target_by_address.clear()
        for dial in self._dials:
            dial.cancel()
        super().close()
