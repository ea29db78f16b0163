"""Handshake and lease of one connection between nodes, without I/O."""

from __future__ import annotations

import attrs

from burdockgate import errors, messages

HELLO_TIMEOUT_S = 5.0


@attrs.define
class Session:
    """State of one connection.

    :param opened_at: time at which the connection was made, in seconds.
    :param last_received_at: time of the last message received, in seconds.
    :param hello: the peer's first message, once it has arrived.
    """

    opened_at: float
    last_received_at: float
    hello: messages.Hello | None = None

    def record_activity(self, message: messages.Message, now: float) -> bool:
        """Record a received message and check the handshake.

        :param message: the first one must be :class:`messages.Hello`.
        :param now: the time in seconds.
        :returns: whether the message completes the handshake.
        :raises errors.WireError: when the message violates the handshake.
        """
        self.last_received_at = now
        if self.hello is not None:
            if isinstance(message, messages.Hello):
                raise errors.WireError("Hello was sent twice")
            return False
        if not isinstance(message, messages.Hello):
            raise errors.WireError(f"{type(message).__name__} came before Hello")
        if message.protocol != messages.PROTOCOL:
            raise errors.WireError(
                f"protocol {message.protocol} of {message.node.name}, allowed is "
                f"{messages.PROTOCOL}"
            )
        self.hello = message
        return True

    def is_overdue(self, now: float, lease_s: float) -> bool:
        """Return whether the connection must be closed.

        :param now: the time in seconds.
        :param lease_s: longest silence after the handshake, in seconds.
        """
        if self.hello is None:
            return now - self.opened_at > HELLO_TIMEOUT_S
        return now - self.last_received_at > lease_s
