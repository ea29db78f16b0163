"""Runs one process on the platform: ``python -m burdockgate.platform ROLE``."""

from __future__ import annotations

import abc
import argparse
import asyncio
import gc
import os
import signal
import stat
import sys
from collections.abc import Mapping
from typing import Any

from burdockgate import clock, errors
from burdockgate.platform import asgi, boot, configuration, storeclient
from burdockgate.process import events, guard, intake, logs, runner, serving

# Must match deploy/system.toml.
METRICS_PORT = 9464
# Endpoint whose connections have the largest budget.
CALLERS = "callers"
# Objects allocated between two collections. Messages and jobs are freed without
# the collector, and a full collection visits the objects of all imported modules.
COLLECTION_THRESHOLD = 20_000
# Bounds the wait for clients that do not read their response, so that the process can
# exit.
SERVER_STOP_TIMEOUT_S = 0.3


class Process(runner.Runnable):
    """A daemon and its HTTP servers.

    :param settings: content of the settings file.
    """

    def __init__(self, settings: boot.Boot) -> None:
        self.settings = settings
        self.store = storeclient.PlatformStore(settings.store.address)
        self._servers: list[serving.Server] = []
        self._time = clock.SystemClock()
        self._intake = intake.Intake(settings.client_limits(), self._time)

    async def listen(
        self, application: Any, address: str, name: str, event_log: events.EventLog
    ) -> None:
        """Serve an application over HTTP.

        :param application: the ASGI application.
        :param address: ``host:port``; if empty, the application is not served.
        :param name: name of the endpoint in log lines.
        :param event_log: records the refused clients.
        """
        if not address:
            return

        def report(endpoint: str, counts: Mapping[intake.Reason, int]) -> None:
            for reason, count in counts.items():
                fields = {"reason": reason.value, "endpoint": endpoint}
                event_log.record("client.refused", {**fields, "clients": count}, count)

        limits = self._intake.limits
        is_for_callers = name == CALLERS
        endpoint = guard.Endpoint(
            name,
            self._intake,
            self._time,
            limits.caller_connections
            if is_for_callers
            else limits.reserved_connections,
            report,
        )
        host, _, port = address.rpartition(":")
        server = serving.Server(application, host, int(port), endpoint=endpoint)
        await server.start()
        self._servers.append(server)

    async def listen_metrics(self, event_log: events.EventLog) -> None:
        """Serve the metrics page; record an event if its address cannot be bound.

        :param event_log: the counters and histograms to show.
        """
        try:
            address = f"{self.settings.host}:{METRICS_PORT}"
            await self.listen(Metrics(event_log), address, "metrics", event_log)
        except errors.SettingsError as error:
            event_log.record("metrics.unavailable", {"detail": str(error)})

    async def close_servers(self) -> None:
        """Stop listening and finish the requests in progress."""
        await asyncio.gather(
            *(server.stop(SERVER_STOP_TIMEOUT_S) for server in self._servers)
        )

    def reload(self) -> None:
        """Read the settings file again; keep the old settings if it is not usable."""
        try:
            self.settings = boot.load()
        except errors.SettingsError as error:
            self.handle_reload(str(error))
            return
        self.handle_reload("")

    @abc.abstractmethod
    def handle_reload(self, problem: str) -> None:
        """Apply the settings after a reload.

        :param problem: why the file can't be used, so that the old settings stay; empty
            on success.
        """


class Metrics:
    """Serves the counters and histograms of a process.

    :param event_log: the counters and histograms.
    """

    def __init__(self, event_log: events.EventLog) -> None:
        self._event_log = event_log

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Respond with the metrics page."""
        body = "\n".join([*self._event_log.render(), ""]).encode()
        await asgi.send_response(
            send, 200, body, content_type="text/plain; version=0.0.4"
        )


class EntryProcess(Process):
    """An entry host."""

    def __init__(self, settings: boot.Boot) -> None:
        from burdockgate.process import entrydaemon

        super().__init__(settings)
        self.daemon = entrydaemon.EntryDaemon(
            settings.entry_settings(), self.store, configuration.decode
        )

    async def start(self) -> None:
        """Start the daemon, then its HTTP servers."""
        from burdockgate.platform import front, heartbeats

        await self.daemon.start()
        listen = self.settings.listen
        log = self.daemon.events
        callers = front.CallerApplication(self.daemon)
        await self.listen(callers, listen.front, CALLERS, log)
        readiness = front.ReadinessApplication(self.daemon)
        await self.listen(readiness, listen.ready, "readiness", log)
        no_heartbeats = heartbeats.NoHeartbeats()
        await self.listen(no_heartbeats, listen.heartbeats, "heartbeats", log)
        await self.listen_metrics(log)

    async def stop(self) -> None:
        """Finish the jobs in progress, then close the servers and the daemon."""
        await self.daemon.stop()
        await self.close_servers()
        await self.daemon.close()

    def handle_reload(self, problem: str) -> None:
        """Log the reload; an entry host applies its settings only when it starts."""
        self.daemon.events.record("settings.reloaded", {"problem": problem})


class AgentProcess(Process):
    """An agent."""

    def __init__(self, settings: boot.Boot) -> None:
        from burdockgate.platform import worker
        from burdockgate.process import agentdaemon

        super().__init__(settings)
        self.daemon = agentdaemon.AgentDaemon(
            settings.agent_settings(),
            worker.PlatformWorker(settings.worker),
            self.store,
        )

    async def start(self) -> None:
        """Start the daemon, then its HTTP servers."""
        from burdockgate.platform import heartbeats

        await self.daemon.start()
        log = self.daemon.events
        application = heartbeats.Heartbeats(self.daemon)
        address = self.settings.listen.heartbeats
        await self.listen(application, address, "heartbeats", log)
        await self.listen_metrics(log)

    async def stop(self) -> None:
        """Finish or stop the runs in progress, then close the servers."""
        await self.daemon.stop()
        await self.close_servers()

    def handle_reload(self, problem: str) -> None:
        """Log the reload; look for entry hosts at the new addresses if needed."""
        self.daemon.events.record("settings.reloaded", {"problem": problem})
        self.daemon.seeds = self.settings.entry_addresses()


_PROCESS_BY_ROLE: dict[str, type[EntryProcess] | type[AgentProcess]] = {
    "entry": EntryProcess,
    "agent": AgentProcess,
}


async def _run(role: str) -> int:
    process = _PROCESS_BY_ROLE[role](boot.load())
    # What has been imported stays until the end and need not be visited again.
    gc.freeze()
    gc.set_threshold(COLLECTION_THRESHOLD)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, process.reload)
    loop.set_exception_handler(process.daemon.background.handle_loop_error)
    return await runner.serve(process)


def main() -> int:
    """Run the process named on the command line and return its exit status."""
    parser = argparse.ArgumentParser(prog="burdockgate.platform")
    parser.add_argument("role", choices=sorted(_PROCESS_BY_ROLE))
    arguments = parser.parse_args()
    if stat.S_ISFIFO(os.fstat(sys.stdout.fileno()).st_mode):
        # When the reader of the pipe stalls, log lines are lost; a blocking write would
        # stop the process.
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
