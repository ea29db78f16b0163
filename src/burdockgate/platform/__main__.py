"""Runs one process on the platform: ``python -m burdockgate.platform ROLE``."""

from __future__ import annotations

import abc
import argparse
import asyncio
import os
import signal
import stat
import sys
from typing import Any

from uvicorn.protocols.http import httptools_impl

from burdockgate import errors
from burdockgate.platform import asgi, boot, configuration, storeclient
from burdockgate.process import events, logs, runner, serving

# Named in deploy/system.toml.
METRICS_PORT = 9464
# A caller that does not read its answer must not keep the process from ending.
SERVER_STOP_S = 0.3


class Process(runner.Runnable):
    """A daemon with its HTTP servers.

    :param settings: the settings file.
    """

    def __init__(self, settings: boot.Boot) -> None:
        self.settings = settings
        self.store = storeclient.PlatformStore(settings.store.address)
        self._servers: list[serving.Server] = []

    async def listen(self, application: Any, address: str) -> None:
        """Serve an application.

        :param application: the ASGI application.
        :param address: ``host:port``; empty serves nothing.
        """
        if not address:
            return
        host, _, port = address.rpartition(":")
        server = serving.Server(
            application, host, int(port), httptools_impl.HttpToolsProtocol
        )
        await server.start()
        self._servers.append(server)

    async def listen_metrics(self, source: events.EventLog) -> None:
        """Serve the metrics page, or say why not.

        :param source: what the page shows.
        """
        try:
            await self.listen(Metrics(source), f"{self.settings.host}:{METRICS_PORT}")
        except errors.SettingsError as error:
            source.record("metrics.unavailable", {"detail": str(error)})

    async def close_servers(self) -> None:
        """Finish the requests in progress and stop listening."""
        await asyncio.gather(*(server.stop(SERVER_STOP_S) for server in self._servers))

    def reload(self) -> None:
        """Read the settings file again and take new addresses from it."""
        try:
            self.settings = boot.load()
        except errors.SettingsError as error:
            self.reloaded(str(error))
            return
        self.reloaded("")

    @abc.abstractmethod
    def reloaded(self, problem: str) -> None:
        """Handle changed settings.

        :param problem: why the file can't be used; the old settings then stay.
        """


class Metrics:
    """Serves the counters and histograms of a process.

    :param source: what is shown.
    """

    def __init__(self, source: events.EventLog) -> None:
        self._source = source

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Answer with the metrics page."""
        body = "\n".join([*self._source.render(), ""]).encode()
        await asgi.answer(send, 200, body, content_type="text/plain; version=0.0.4")


class EntryProcess(Process):
    """An entry host."""

    def __init__(self, settings: boot.Boot) -> None:
        from burdockgate.process import entrydaemon

        super().__init__(settings)
        self._daemon = entrydaemon.EntryDaemon(
            settings.entry_settings(), self.store, configuration.decode
        )

    async def start(self) -> None:
        """Begin to serve."""
        from burdockgate.platform import front, heartbeats

        await self._daemon.start()
        listen = self.settings.listen
        await self.listen(front.Front(self._daemon), listen.front)
        await self.listen(front.Ready(self._daemon), listen.ready)
        await self.listen(heartbeats.NoHeartbeats(), listen.heartbeats)
        await self.listen_metrics(self._daemon.events)

    async def stop(self) -> None:
        """Let the jobs in progress end."""
        await self._daemon.stop()
        await self.close_servers()
        await self._daemon.close()

    def reloaded(self, problem: str) -> None:
        """Log the change; the settings of an entry host are fixed at its start."""
        self._daemon.events.record("settings.reloaded", {"problem": problem})


class AgentProcess(Process):
    """An agent."""

    def __init__(self, settings: boot.Boot) -> None:
        from burdockgate.platform import worker
        from burdockgate.process import agentdaemon

        super().__init__(settings)
        self._daemon = agentdaemon.AgentDaemon(
            settings.agent_settings(),
            worker.PlatformWorker(settings.worker),
            self.store,
        )

    async def start(self) -> None:
        """Begin to serve."""
        from burdockgate.platform import heartbeats

        await self._daemon.start()
        await self.listen(
            heartbeats.Heartbeats(self._daemon), self.settings.listen.heartbeats
        )
        await self.listen_metrics(self._daemon.events)

    async def stop(self) -> None:
        """Let what runs end."""
        await self._daemon.stop()
        await self.close_servers()

    def reloaded(self, problem: str) -> None:
        """Take in new addresses of entry hosts."""
        self._daemon.events.record("settings.reloaded", {"problem": problem})
        for address in self.settings.entry_addresses():
            self._daemon.links.add(address)


_PROCESS_BY_ROLE: dict[str, type[EntryProcess] | type[AgentProcess]] = {
    "entry": EntryProcess,
    "agent": AgentProcess,
}


async def _run(role: str) -> int:
    process = _PROCESS_BY_ROLE[role](boot.load())
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, process.reload)
    return await runner.serve(process)


def main() -> int:
    """Run the process named on the command line and return its exit status."""
    parser = argparse.ArgumentParser(prog="burdockgate.platform")
    parser.add_argument("role", choices=sorted(_PROCESS_BY_ROLE))
    arguments = parser.parse_args()
    if stat.S_ISFIFO(os.fstat(sys.stdout.fileno()).st_mode):
        # A reader that stops must not stop the process; lines are lost instead.
        os.set_blocking(sys.stdout.fileno(), False)
    logs.configure(sys.stdout, as_json=True)
    try:
        return asyncio.run(_run(arguments.role))
    except errors.SettingsError as error:
        for problem in error.problems:
            print(f"error: {problem}", file=sys.stderr)
        return 2


if __name__ == "__main__":
    sys.exit(main())
