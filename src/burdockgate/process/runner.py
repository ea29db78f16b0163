"""Runs a daemon until a signal asks it to stop."""

from __future__ import annotations

import abc
import asyncio
import signal
from collections.abc import Callable


class Runnable(abc.ABC):
    """Something that is started, serves, and is stopped gracefully."""

    @abc.abstractmethod
    async def start(self) -> None:
        """Begin to serve."""

    @abc.abstractmethod
    async def stop(self) -> None:
        """Finish what is in progress and end."""


def run(daemon: Runnable) -> int:
    """Run until SIGTERM or SIGINT; a second signal ends the graceful stop.

    :param daemon: what to run.
    :returns: the exit status: 0, or 1 when the graceful stop was cut short.
    """
    return asyncio.run(serve(daemon))


async def serve(daemon: Runnable) -> int:
    """Run until SIGTERM or SIGINT, on the current event loop.

    :param daemon: what to run.
    :returns: the exit status, as :func:`run`.
    """
    asked = asyncio.Event()
    on_signal(asked.set)
    await daemon.start()
    await asked.wait()
    stopping = asyncio.ensure_future(daemon.stop())
    on_signal(stopping.cancel)
    try:
        await stopping
    except asyncio.CancelledError:
        return 1
    return 0


def on_signal(action: Callable[[], object]) -> None:
    """Call a function on SIGTERM and SIGINT, in place of any earlier one.

    :param action: called in the event loop.
    """
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, action)
