"""HTTP connections to the platform: the store and the worker."""

from __future__ import annotations

import socket

import httpx

# A peer without power answers nothing; the kernel must not wait for minutes.
USER_TIMEOUT_MS = 1500
KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_PROBES = 2
CONNECT_TIMEOUT_S = 0.5

SOCKET_OPTIONS = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
]

# Failures after which nothing can have been sent.
NOT_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


def client(address: str, connections: int) -> httpx.AsyncClient:
    """Return a client that keeps its connections open.

    :param address: ``host:port`` of the server.
    :param connections: most connections.
    """
    limits = httpx.Limits(
        max_connections=connections, max_keepalive_connections=connections
    )
    return httpx.AsyncClient(
        base_url=f"http://{address}",
        transport=httpx.AsyncHTTPTransport(
            limits=limits, socket_options=SOCKET_OPTIONS, trust_env=False
        ),
        trust_env=False,
    )


def timeout(answer_s: float) -> httpx.Timeout:
    """Return the limits of one call.

    :param answer_s: how long the answer may take.
    """
    return httpx.Timeout(answer_s, connect=CONNECT_TIMEOUT_S)
