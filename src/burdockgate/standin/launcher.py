"""Runs a stand-in as a process of its own."""

from __future__ import annotations

from burdockgate.process import runner, serving


class _Standin(runner.Runnable):
    def __init__(self, server: serving.Server) -> None:
        self._server = server

    async def start(self) -> None:
        await self._server.start()
        print(self._server.address, flush=True)

    async def stop(self) -> None:
        await self._server.stop_now()


def run(server: serving.Server) -> int:
    """Serve until SIGTERM or SIGINT; prints the bound address as the first line.

    :param server: the stand-in.
    :returns: the exit status.
    """
    return runner.run(_Standin(server))
