"""An HTTP server on the current event loop, for daemons and stand-ins."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Iterator
from typing import Any

import uvicorn
from uvicorn.protocols.http import h11_impl

from burdockgate import errors

# A pool of connections at the balancer outlives the pauses between requests.
KEEP_ALIVE_S = 60
ACCEPT_BACKLOG = 2048
CANCEL_TIMEOUT_S = 1.0
# The date in the headers of answers has whole seconds.
DATE_INTERVAL_S = 1.0


class Server:
    """Runs an ASGI application; installs no signal handlers.

    :param application: the application.
    :param host: IP address to listen at.
    :param port: port to listen at; 0 for a free one.
    :param protocol: uvicorn's class for one HTTP connection.
    """

    def __init__(
        self,
        application: Any,
        host: str,
        port: int = 0,
        protocol: type[asyncio.Protocol] = h11_impl.H11Protocol,
    ) -> None:
        self.host = host
        self.port = port
        self._server = _Uvicorn(
            uvicorn.Config(
                application,
                http=protocol,
                ws="none",
                lifespan="off",
                interface="asgi3",
                log_config=None,
                # Below this uvicorn logs a line for each malformed request.
                log_level="error",
                access_log=False,
                proxy_headers=False,
                server_header=False,
                backlog=ACCEPT_BACKLOG,
                timeout_keep_alive=KEEP_ALIVE_S,
            )
        )
        self._task: asyncio.Task[None] | None = None

    @property
    def address(self) -> str:
        """``host:port`` at which the server listens; final after the start."""
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"

    async def start(self) -> None:
        """Listen and serve until stopped.

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
        # With the protocol named, asyncio sets TCP_NODELAY on the connections.
        # Without it the body of an answer can wait for the acknowledgement of
        # its header, which takes 40 ms.
        listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
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
        """Accept nothing more, finish the requests in progress and close.

        A request that has not ended in time is cancelled, which lets the
        application still answer it.

        :param timeout_s: time for the requests in progress, in seconds.
        """
        if self._task is None:
            return
        self._server.should_exit = True
        self._server.ending.set()
        await asyncio.wait({self._task}, timeout=timeout_s)
        if not self._task.done():
            await self._cut_short()
        await self._task

    async def _cut_short(self) -> None:
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
        # A client that does not read its answer keeps a closed transport open.
        for connection in list(state.connections):
            connection.transport.abort()

    async def stop_now(self) -> None:
        """Stop at once, as a crash does: abort connections, cancel requests."""
        if self._task is None:
            return
        self._server.abort()
        await self._task
        self._task = None


class _Uvicorn(uvicorn.Server):
    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self.ready = asyncio.Event()
        self.ending = asyncio.Event()

    async def main_loop(self) -> None:
        """Wait for the end, and keep the date of the answers."""
        # Each tenth call, counted from 0, changes the date; the others only look for
        # the end, ten times a second.
        while not await self.on_tick(0):
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.ending.wait(), DATE_INTERVAL_S)

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        await super().startup(sockets)
        self.ready.set()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave the signals to the process."""
        yield

    def abort(self) -> None:
        """Close the listeners, abort all connections and cancel all requests."""
        self.should_exit = True
        self.ending.set()
        for server in self.servers:
            server.close()
        for connection in list(self.server_state.connections):
            connection.transport.abort()
        for task in list(self.server_state.tasks):
            task.cancel()
