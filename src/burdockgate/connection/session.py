"""The handshake and the lease of one connection, without I/O."""

from __future__ import annotations

import attrs

from burdockgate import errors, messages

HELLO_TIMEOUT_S = 5.0


@attrs.define
class Session:
    """State of one connection.

    :param opened_at: time at which the connection was made, in seconds.
    :param heard_at: time of the last frame.
    :param hello: the peer's announcement, once it has come.
    """

    opened_at: float
    heard_at: float
    hello: messages.Hello | None = None

    def record_activity(self, message: messages.Message, now: float) -> bool:
        """Note a message.

        :param message: the first one must be :class:`messages.Hello`.
        :param now: the time in seconds.
        :returns: whether the message completes the handshake.
        :raises errors.WireError: when the handshake is not kept.
        """
        self.heard_at = now
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
        :param lease_s: longest silence after the handshake.
        """
        if self.hello is None:
            return now - self.opened_at > HELLO_TIMEOUT_S
        return now - self.heard_at > lease_s
