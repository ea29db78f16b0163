"""Runs a stand-in server in its own process."""

from __future__ import annotations

from burdockgate.process import runner, serving


class _StandinProcess(runner.Runnable):
    def __init__(self, server: serving.Server) -> None:
        self._server = server

    async def start(self) -> None:
        await self._server.start()
        print(self._server.address, flush=True)

    async def stop(self) -> None:
        await self._server.stop_now()


def run(server: serving.Server) -> int:
    """Print the bound address as the first line, and serve until SIGTERM or SIGINT.

    :param server: the stand-in server.
    :returns: the exit status.
    """
    return runner.run(_StandinProcess(server))
