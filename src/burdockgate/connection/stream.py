"""One TCP connection between nodes, as a stream of messages."""

from __future__ import annotations

import abc
import asyncio
from typing import cast

from burdockgate import errors, wire

# A peer that reads this much too slowly is cut off, so that memory stays bounded.
WRITE_BUFFER_LIMIT_BYTES = 16 * 1024 * 1024


class Receiver(abc.ABC):
    """What a stream reports to."""

    @abc.abstractmethod
    def handle_message(self, stream: Stream, message: wire.Message, size: int) -> None:
        """Handle a message.

        :param stream: the stream it came from.
        :param message: the message.
        :param size: bytes of its frame.
        """

    @abc.abstractmethod
    def handle_rejected(self, stream: Stream, error: errors.WireError) -> None:
        """Handle a malformed frame; the stream closes itself.

        :param stream: the stream it came from.
        :param error: what was wrong.
        """

    @abc.abstractmethod
    def handle_truncated(self, stream: Stream) -> None:
        """Handle the end of a connection within a frame.

        :param stream: the stream it came from; :meth:`handle_close` follows.
        """

    @abc.abstractmethod
    def handle_open(self, stream: Stream) -> None:
        """Handle a connection that has just been made.

        :param stream: the new stream.
        """

    @abc.abstractmethod
    def handle_close(self, stream: Stream) -> None:
        """Handle the end of a connection.

        :param stream: the stream that ended.
        """


class Stream(asyncio.Protocol):
    """Sends and receives messages on one connection.

    Messages sent in one pass of the event loop leave in one write.

    :param receiver: gets the messages and the events.
    """

    def __init__(self, receiver: Receiver) -> None:
        self._receiver = receiver
        self._buffer = wire.FrameBuffer()
        self._transport: asyncio.Transport | None = None
        self._outgoing: list[bytes] = []
        self.is_closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport; called by asyncio."""
        self._transport = cast(asyncio.Transport, transport)
        self._receiver.handle_open(self)

    def data_received(self, data: bytes) -> None:
        """Decode and report the messages in new data; called by asyncio."""
        try:
            for body in self._buffer.feed(data):
                if self.is_closed:
                    return
                message = wire.decode(body)
                self._receiver.handle_message(self, message, len(body))
        except errors.WireError as error:
            self._receiver.handle_rejected(self, error)
            self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection; called by asyncio."""
        # After an own abort, the rest of a frame was not awaited.
        if not self.is_closed and self._buffer.is_partial:
            self._receiver.handle_truncated(self)
        self.is_closed = True
        self._receiver.handle_close(self)

    def send(self, message: wire.Message) -> int:
        """Queue a message.

        :param message: the message.
        :returns: bytes of its frame; 0 when the stream is closed.
        """
        if self.is_closed or self._transport is None:
            return 0
        frame = wire.encode(message)
        if not self._outgoing:
            asyncio.get_running_loop().call_soon(self._flush)
        self._outgoing.append(frame)
        return len(frame)

    def _flush(self) -> None:
        frames, self._outgoing = self._outgoing, []
        if self.is_closed or self._transport is None:
            return
        self._transport.write(b"".join(frames))
        if self._transport.get_write_buffer_size() > WRITE_BUFFER_LIMIT_BYTES:
            self.abort()

    def close(self) -> None:
        """Close after what was queued has been written."""
        if self._transport is not None and not self.is_closed:
            self._flush()
            self._transport.close()
            # What the peer was sending is not awaited.
            self._buffer = wire.FrameBuffer()

    def abort(self) -> None:
        """Close at once and drop what was queued."""
        self.is_closed = True
        if self._transport is not None:
            self._transport.abort()
