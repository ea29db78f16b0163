"""HTTP server on the current event loop, used by daemons and stand-ins."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import socket
from collections.abc import Callable, Iterator
from typing import Any

import uvicorn

from burdockgate import errors
from burdockgate.process import guard, intake, listeners

# The load balancer keeps a pool of connections, which must stay open between requests.
KEEP_ALIVE_S = 60
CANCEL_TIMEOUT_S = 1.0
# The ``Date`` header has a resolution of one second.
DATE_INTERVAL_S = 1.0


class Server:
    """Runs an ASGI application without installing signal handlers.

    :param application: the application.
    :param host: IP address to listen on.
    :param port: port to listen on; 0 selects a free one.
    :param protocol: class of the HTTP connections; by default uvicorn's class on h11,
        or :class:`guard.Connection` with an endpoint.
    :param endpoint: limits of the clients, the first parameter of ``protocol``; by
        default there are none.
    """

    def __init__(
        self,
        application: Any,
        host: str,
        port: int = 0,
        protocol: Callable[..., asyncio.Protocol] | None = None,
        endpoint: guard.Endpoint | None = None,
    ) -> None:
        self.host = host
        self.port = port
        self._endpoint = endpoint
        factory: Any = protocol or "h11"
        if endpoint is not None:
            factory = functools.partial(protocol or guard.Connection, endpoint)
        self._server = _Uvicorn(
            uvicorn.Config(
                application,
                http=factory,
                ws="none",
                lifespan="off",
                interface="asgi3",
                log_config=None,
                # At lower levels, uvicorn logs a line for each malformed request.
                log_level="error",
                access_log=False,
                proxy_headers=False,
                server_header=False,
                backlog=(
                    listeners.ACCEPT_BATCH if endpoint else listeners.ACCEPT_BACKLOG
                ),
                timeout_keep_alive=KEEP_ALIVE_S,
            ),
            endpoint,
        )
        self._task: asyncio.Task[None] | None = None

    @property
    def address(self) -> str:
        """``host:port`` of the server; with port 0, known only after the start."""
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"

    async def start(self) -> None:
        """Start to listen and serve in the background.

        :raises errors.SettingsError: when the address cannot be bound.
        """
        listener = self._bind()
        self.port = listener.getsockname()[1]
        self._task = asyncio.create_task(self._server.serve(sockets=[listener]))
        ready = asyncio.create_task(self._server.ready.wait())
        await asyncio.wait({self._task, ready}, return_when="FIRST_COMPLETED")
        ready.cancel()

    def _bind(self) -> socket.socket:
        family = socket.AF_INET6 if ":" in self.host else socket.AF_INET
        # asyncio sets TCP_NODELAY only if the protocol is given explicitly. Without
        # it, the body of a response can wait 40 ms for the acknowledgement of its
        # header.
        listener = _Listener(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        if self._endpoint is not None:
            # Accepted connections inherit the size.
            with contextlib.suppress(OSError):
                listener.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, intake.RECEIVE_BUFFER_BYTES
                )
        try:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind((self.host, self.port))
        except (OSError, OverflowError) as error:
            listener.close()
            raise errors.SettingsError(
                [f"listen address {self.host}:{self.port}: {error}"]
            ) from error
        return listener

    async def stop(self, timeout_s: float) -> None:
        """Accept no further connections, finish the requests in progress, and close.

        A request that is still in progress at the timeout is cancelled, and the
        application can still respond to it.

        :param timeout_s: longest time for the requests in progress, in seconds.
        """
        if self._task is None:
            return
        self._server.should_exit = True
        self._server.stop_requested.set()
        await asyncio.wait({self._task}, timeout=timeout_s)
        if not self._task.done():
            await self._cancel_requests()
        await self._task

    async def _cancel_requests(self) -> None:
        """Cancel the requests in progress, then close or abort all connections."""
        assert self._task is not None
        state = self._server.server_state
        for task in list(state.tasks):
            task.cancel()
        if state.tasks:
            await asyncio.wait(list(state.tasks), timeout=CANCEL_TIMEOUT_S)
        for connection in list(state.connections):
            connection.transport.close()
        self._server.force_exit = True
        await asyncio.wait({self._task}, timeout=CANCEL_TIMEOUT_S)
        # A closed transport stays open while its client doesn't read the response.
        for connection in list(state.connections):
            connection.transport.abort()

    async def stop_now(self) -> None:
        """Abort all connections and cancel all requests, like a crash."""
        if self._task is None:
            return
        self._server.abort()
        await self._task
        self._task = None


class _Listener(socket.socket):
    """A listener whose queue is longer than what asyncio accepts at a time."""

    def listen(self, backlog: int = listeners.ACCEPT_BACKLOG, /) -> None:
        """Listen with a queue of ``ACCEPT_BACKLOG`` connections."""
        super().listen(max(backlog, listeners.ACCEPT_BACKLOG))


class _Uvicorn(uvicorn.Server):
    def __init__(self, config: uvicorn.Config, endpoint: guard.Endpoint | None) -> None:
        super().__init__(config)
        self._endpoint = endpoint
        self.ready = asyncio.Event()
        self.stop_requested = asyncio.Event()

    async def main_loop(self) -> None:
        """Update the ``Date`` header and apply the limits until the stop."""
        # uvicorn calls on_tick ten times a second with a counter from 0. Only each
        # tenth call updates the header, and the others just check for the stop.
        while not await self.on_tick(0):
            if self._endpoint is not None:
                self._endpoint.sweep()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.stop_requested.wait(), DATE_INTERVAL_S)

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        await super().startup(sockets)
        self.ready.set()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave signal handling to the process."""
        yield

    def abort(self) -> None:
        """Close the listeners, abort all connections and cancel all requests."""
        self.should_exit = True
        self.stop_requested.set()
        for server in self.servers:
            server.close()
        for connection in list(self.server_state.connections):
            connection.transport.abort()
        for task in list(self.server_state.tasks):
            task.cancel()
