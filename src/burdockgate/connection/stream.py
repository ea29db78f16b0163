"""Messages between nodes on one TCP connection."""

from __future__ import annotations

import abc
import asyncio
from typing import cast

from burdockgate import errors, wire

# A connection with more unsent data than this is aborted, so that a peer that reads
# too slowly can't exhaust the memory.
WRITE_BUFFER_LIMIT_BYTES = 16 * 1024 * 1024


class Receiver(abc.ABC):
    """Handles the events of a stream."""

    @abc.abstractmethod
    def handle_message(self, stream: Stream, message: wire.Message, size: int) -> None:
        """Handle a message.

        :param stream: the stream it came from.
        :param message: the message.
        :param size: size of its frame in bytes.
        """

    @abc.abstractmethod
    def handle_rejected(self, stream: Stream, error: errors.WireError) -> None:
        """Handle a malformed frame; the stream closes itself.

        :param stream: the stream it came from.
        :param error: describes the malformed frame.
        """

    @abc.abstractmethod
    def handle_truncated(self, stream: Stream) -> None:
        """Handle a connection that ends within a frame.

        :param stream: the stream it came from; :meth:`handle_close` follows.
        """

    @abc.abstractmethod
    def handle_open(self, stream: Stream) -> None:
        """Handle a new connection.

        :param stream: the new stream.
        """

    @abc.abstractmethod
    def handle_close(self, stream: Stream) -> None:
        """Handle the end of a connection.

        :param stream: the stream that ended.
        """

    def handle_held(self, stream: Stream, held_bytes: int) -> None:  # noqa: B027
        """Handle a change of the bytes that a stream keeps of an unfinished frame.

        :param stream: the stream.
        :param held_bytes: bytes that it keeps now.
        """


class Stream(asyncio.Protocol):
    """Sends and receives messages on one connection.

    Messages sent in one pass of the event loop are combined into one write.

    :param receiver: receives the messages and the events.
    :param is_accepted: whether the other end opened the connection.
    """

    def __init__(self, receiver: Receiver, is_accepted: bool = False) -> None:
        self._receiver = receiver
        self.is_accepted = is_accepted
        self._buffer = wire.FrameBuffer()
        self._held_bytes = 0
        self._transport: asyncio.Transport | None = None
        self._outgoing: list[bytes] = []
        self.is_closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and report the connection; called by asyncio."""
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
            return
        held_bytes = self._buffer.held_bytes
        if held_bytes != self._held_bytes and not self.is_closed:
            self._held_bytes = held_bytes
            self._receiver.handle_held(self, held_bytes)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection; called by asyncio."""
        # A frame that was cut off by an abort of this end is not reported.
        if not self.is_closed and self._buffer.is_partial:
            self._receiver.handle_truncated(self)
        self.is_closed = True
        self._receiver.handle_close(self)

    def send(self, message: wire.Message) -> int:
        """Queue a message.

        :param message: the message.
        :returns: size of its frame in bytes; 0 when the stream is closed.
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
        """Close the connection after writing the queued messages."""
        if self._transport is not None and not self.is_closed:
            self._flush()
            self._transport.close()
            # A frame that is cut off by this close is not reported as truncated.
            self._buffer = wire.FrameBuffer()

    def abort(self) -> None:
        """Close the connection at once and drop all that is kept."""
        self.is_closed = True
        self._buffer, self._outgoing = wire.FrameBuffer(), []
        if self._transport is not None:
            self._transport.abort()
