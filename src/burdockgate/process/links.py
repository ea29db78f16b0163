"""Connections between agents and entry hosts, for best-effort jobs.

Each agent connects to the entry hosts that it serves. Connections without messages are
aborted and made again.
"""

from __future__ import annotations

import abc
import asyncio
import random
import socket
from collections.abc import Iterable, Mapping
from typing import cast

import attrs

from burdockgate import addresses, assignments, clock, errors, wire
from burdockgate.connection import stream
from burdockgate.process import intake, listeners, peerintake

DIAL_TIMEOUT_S = 0.6
# The first retry after a reset is early, because the entry host's runs on this worker
# end with the session lease. The delay then doubles up to the maximum, since addresses
# of dead entry hosts stay known for long.
FIRST_REDIAL_S = 0.05
MAX_REDIAL_S = 1.0
# Reports and renewals are sent every 0.2 s, so a connection without a message for this
# long is broken. The timeout exceeds the session lease, so that the lapse of a lease is
# handled before its connection is aborted.
SILENCE_TIMEOUT_S = 0.9
# Bounds the number of targets if an entry host sends a faulty list.
MAX_ADDRESSES = 2000
# An entry host that leaves finishes its jobs first, in the grace time of its platform
# of a few seconds. Until then, a broken connection to it is made again.
DEPARTURE_S = 15.0
REPORT_INTERVAL_S = 1.0


class Handler(abc.ABC):
    """Handles the events of the connections of a process."""

    @abc.abstractmethod
    def handle_open(self, link: stream.Stream) -> None:
        """Handle a new connection.

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

    def handle_gave_way(self, counts: Mapping[intake.Reason, int]) -> None:  # noqa: B027
        """Handle that connections gave way; called at most once per second.

        :param counts: their number by reason.
        """


class Links(stream.Receiver):
    """Open connections, with the time of the last message of each.

    :param handler: handles the events.
    :param time: a clock that goes on while the machine is suspended.
    """

    def __init__(self, handler: Handler, time: clock.Clock) -> None:
        self._handler = handler
        self._time = time
        self._last_message_at_by_link: dict[stream.Stream, float] = {}

    def handle_open(self, stream: stream.Stream) -> None:
        """Report a new connection."""
        self._last_message_at_by_link[stream] = self._time.now()
        self._handler.handle_open(stream)

    def handle_close(self, stream: stream.Stream) -> None:
        """Report the end of a connection."""
        if self._last_message_at_by_link.pop(stream, None) is not None:
            self._handler.handle_close(stream)

    def handle_truncated(self, stream: stream.Stream) -> None:
        """Accept a connection that ends within a frame; the end itself is reported."""

    def handle_rejected(self, stream: stream.Stream, error: errors.WireError) -> None:
        """Report a malformed frame."""
        self._handler.handle_rejected(str(error))

    def handle_message(
        self, stream: stream.Stream, message: wire.Message, size: int
    ) -> None:
        """Pass a message to the handler."""
        if stream not in self._last_message_at_by_link:
            return
        self._last_message_at_by_link[stream] = self._time.now()
        if not isinstance(message, assignments.Message):
            raise errors.WireError(f"{type(message).__name__} is not expected here")
        self._handler.handle_message(stream, message)

    def abort_silent_links(self) -> None:
        """Abort the connections whose last message is too old."""
        now = self._time.now()
        for link, last_message_at in list(self._last_message_at_by_link.items()):
            if now - last_message_at > SILENCE_TIMEOUT_S:
                link.abort()
                self.handle_close(link)

    def close(self) -> None:
        """Close all connections after sending the queued messages."""
        for link in list(self._last_message_at_by_link):
            link.close()


class EntryLinks(Links):
    """Connections that an entry host accepts.

    :param handler: handles the events.
    :param time: a clock that goes on while the machine is suspended.
    :param limits: the limits of the process.
    """

    def __init__(
        self, handler: Handler, time: clock.Clock, limits: intake.Limits
    ) -> None:
        super().__init__(handler, time)
        self._budgets: peerintake.PeerIntake[stream.Stream]
        self._budgets = peerintake.PeerIntake(limits)
        self._reported_at = time.now()

    async def start(self, host: str, port: int) -> asyncio.Server:
        """Listen for agents.

        :param host: own IP address.
        :param port: port to listen at.
        :raises OSError: when the address cannot be bound.
        """
        server = await listeners.bind(
            lambda: stream.Stream(self, is_accepted=True), host, port
        )
        await listeners.serve(server)
        return server

    def handle_open(self, stream: stream.Stream) -> None:
        """Report a new connection, for which an older one may give way."""
        self._abort(self._budgets.connect(stream))
        super().handle_open(stream)

    def handle_held(self, stream: stream.Stream, held_bytes: int) -> None:
        """Count the bytes of an unfinished frame."""
        self._abort(self._budgets.hold(stream, held_bytes))

    def handle_message(
        self, stream: stream.Stream, message: wire.Message, size: int
    ) -> None:
        """Pass a message to the handler, which accepts only a hello as the first."""
        super().handle_message(stream, message, size)
        self._budgets.introduce(stream)

    def handle_close(self, stream: stream.Stream) -> None:
        """Report the end of a connection."""
        self._budgets.disconnect(stream)
        super().handle_close(stream)

    def _abort(self, victims: Iterable[stream.Stream]) -> None:
        for link in victims:
            link.abort()
            self.handle_close(link)

    def report(self) -> None:
        """Report the connections that gave way, at most once per second."""
        now = self._time.now()
        if now - self._reported_at < REPORT_INTERVAL_S:
            return
        self._reported_at = now
        if counts := self._budgets.take_counts():
            self._handler.handle_gave_way(counts)


@attrs.define
class _Target:
    """An entry host to stay connected with."""

    address: str
    link: stream.Stream | None = None
    is_dialling: bool = False
    next_dial_at: float = 0.0
    redial_delay_s: float = FIRST_REDIAL_S
    # When the target is forgotten; infinite while its entry host is present.
    departs_at: float = float("inf")


class AgentLinks(Links):
    """Connections that an agent opens.

    :param handler: handles the events.
    :param time: a clock that goes on while the machine is suspended.
    :param rng: source of the jitter that keeps agents from dialling at the same time.
    """

    def __init__(self, handler: Handler, time: clock.Clock, rng: random.Random) -> None:
        super().__init__(handler, time)
        self._rng = rng
        self._target_by_address: dict[str, _Target] = {}
        self._dial_tasks: set[asyncio.Task[None]] = set()

    @property
    def addresses(self) -> tuple[str, ...]:
        """The known addresses of entry hosts."""
        return tuple(self._target_by_address)

    def set_wanted(self, addresses_wanted: Iterable[str]) -> None:
        """Stay connected with these entry hosts, and dial unknown ones immediately.

        Connections to the others are kept until they end, or are released.

        :param addresses_wanted: ``host:port`` of the entry hosts.
        """
        wanted = dict.fromkeys(addresses_wanted)
        now = self._time.now()
        for address, target in self._target_by_address.items():
            if address in wanted:
                target.departs_at = float("inf")
            else:
                target.departs_at = min(target.departs_at, now + DEPARTURE_S)
        for address in wanted:
            self._add_target(address)

    def _add_target(self, address: str) -> None:
        if address in self._target_by_address:
            return
        if not addresses.is_dialable(address):
            self._handler.handle_rejected(f"address {address!r:.80}")
        elif len(self._target_by_address) < MAX_ADDRESSES:
            self._target_by_address[address] = _Target(address)
            self.dial_due()

    def is_failing(self, address: str) -> bool:
        """Return whether the last attempt to connect with an entry host has failed.

        :param address: its address.
        """
        target = self._target_by_address.get(address)
        return (
            target is not None
            and (target.link is None or target.link.is_closed)
            and target.redial_delay_s > FIRST_REDIAL_S
        )

    def release(self, link: stream.Stream) -> None:
        """Close a connection after its queued messages, and forget its entry host.

        :param link: the connection.
        """
        self._target_by_address.pop(self.address_of(link), None)
        link.close()

    def _forget_departed(self, now: float) -> None:
        for address, target in list(self._target_by_address.items()):
            is_open = target.link is not None and not target.link.is_closed
            if now >= target.departs_at and not is_open and not target.is_dialling:
                del self._target_by_address[address]

    def dial_due(self) -> None:
        """Dial the disconnected entry hosts whose delay has passed."""
        now = self._time.now()
        self._forget_departed(now)
        for target in self._target_by_address.values():
            if target.link is not None and target.link.is_closed:
                target.link, target.next_dial_at = None, now + FIRST_REDIAL_S
                target.redial_delay_s = FIRST_REDIAL_S
            is_disconnected = target.link is None and not target.is_dialling
            if is_disconnected and now >= target.next_dial_at:
                target.is_dialling = True
                dial = asyncio.get_running_loop().create_task(self._dial(target))
                self._dial_tasks.add(dial)
                dial.add_done_callback(self._dial_tasks.discard)

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
        host, port = addresses.split(target.address)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_S):
                transport, link = await loop.create_connection(
                    lambda: stream.Stream(self), host, port
                )
            sock = cast(socket.socket, transport.get_extra_info("socket"))
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            target.link, target.redial_delay_s = link, FIRST_REDIAL_S
        except ConnectionRefusedError:
            self._back_off(target)
            self._handler.handle_refused(target.address)
        except (OSError, ValueError, OverflowError, TimeoutError):
            self._back_off(target)
        finally:
            target.is_dialling = False

    def _back_off(self, target: _Target) -> None:
        target.redial_delay_s = min(2 * target.redial_delay_s, MAX_REDIAL_S)
        jitter: float = self._rng.uniform(0.7, 1.3)
        target.next_dial_at = self._time.now() + target.redial_delay_s * jitter

    def close(self) -> None:
        """Close all connections and stop dialling."""
        self._target_by_address.clear()
        for dial in self._dial_tasks:
            dial.cancel()
        super().close()
