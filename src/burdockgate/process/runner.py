"""Runs a daemon until a signal asks it to stop."""

from __future__ import annotations

import abc
import asyncio
import signal
from collections.abc import Callable


class Runnable(abc.ABC):
    """A service that is started and stopped gracefully."""

    @abc.abstractmethod
    async def start(self) -> None:
        """Start serving."""

    @abc.abstractmethod
    async def stop(self) -> None:
        """Finish the work in progress and stop serving."""


def run(daemon: Runnable) -> int:
    """Run until SIGTERM or SIGINT; a second signal cancels the graceful stop.

    :param daemon: the service.
    :returns: the exit status: 0, or 1 when the graceful stop was cut short.
    """
    return asyncio.run(serve(daemon))


async def serve(daemon: Runnable) -> int:
    """Run until SIGTERM or SIGINT, on the current event loop.

    :param daemon: the service.
    :returns: the exit status, as :func:`run`.
    """
    stop_requested = asyncio.Event()
    on_signal(stop_requested.set)
    await daemon.start()
    await stop_requested.wait()
    stopping = asyncio.ensure_future(daemon.stop())
    on_signal(stopping.cancel)
    try:
        await stopping
    except asyncio.CancelledError:
        return 1
    return 0


def on_signal(action: Callable[[], object]) -> None:
    """Call a function on SIGTERM and SIGINT, instead of any earlier one.

    :param action: called in the event loop.
    """
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, action)
