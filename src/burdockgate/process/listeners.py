"""Listeners for connections of other processes, and the limits that they inherit."""

from __future__ import annotations

import asyncio
import contextlib
import resource
import socket
from collections.abc import Callable

from burdockgate.process import intake

ACCEPT_BACKLOG = 2048
# Connections that are accepted before the budget of connections is looked at.
ACCEPT_BATCH = 8


async def bind(
    factory: Callable[[], asyncio.Protocol], host: str, port: int
) -> asyncio.Server:
    """Bind an address for peers; :func:`serve` accepts connections.

    :param factory: makes the protocol of a connection.
    :param host: IP address or name of this host.
    :param port: port; 0 selects a free one.
    :raises OSError: when the address cannot be bound.
    """
    server = await asyncio.get_running_loop().create_server(
        factory, host, port, backlog=ACCEPT_BATCH, start_serving=False
    )
    for listener in server.sockets:
        # Accepted connections inherit the size.
        with contextlib.suppress(OSError):
            listener.setsockopt(
                socket.SOL_SOCKET,
                socket.SO_RCVBUF,
                intake.PEER_RECEIVE_BUFFER_BYTES,
            )
    return server


async def serve(server: asyncio.Server) -> None:
    """Accept connections, a few at a time, from a queue that is longer.

    :param server: from :func:`bind`.
    """
    await server.start_serving()
    for listener in server.sockets:
        # asyncio uses one number for the queue and for what it accepts at a time.
        with listener.dup() as duplicate:
            duplicate.listen(ACCEPT_BACKLOG)


def inherited_limits() -> intake.Limits:
    """Return the limits of a process whose settings file has none."""
    max_fds, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if max_fds == resource.RLIM_INFINITY:
        return intake.Limits()
    return intake.Limits(max_fds=max_fds)
