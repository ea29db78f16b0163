"""Runs a daemon until a signal asks it to stop."""

from __future__ import annotations

import abc
import asyncio
import contextvars
import os
import signal
import time
from collections.abc import Callable
from typing import NoReturn

# When the signal came that made the current task stop a daemon.
_signalled_at: contextvars.ContextVar[float] = contextvars.ContextVar("signalled_at")


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

    The process exits with status 0, or 1 when the graceful stop was cut short.

    :param daemon: the service.
    """
    return asyncio.run(serve(daemon))


async def serve(daemon: Runnable) -> NoReturn:
    """Run until SIGTERM or SIGINT, on the current event loop, and exit.

    :param daemon: the service.
    """
    stop_requested = asyncio.Event()
    signalled_at: list[float] = []
    on_signal(stop_requested.set, signalled_at)
    await daemon.start()
    await stop_requested.wait()
    _signalled_at.set(signalled_at[0])
    stopping = asyncio.ensure_future(daemon.stop())
    on_signal(stopping.cancel)
    status = 0
    try:
        await stopping
    except asyncio.CancelledError:
        status = 1
    # The end of the event loop would go on to answer the requests of callers that do
    # not read, for longer than the grace time.
    os._exit(status)


def limit_stop(limit_s: float) -> None:
    """Cancel the current task, a graceful stop, when it takes too long.

    :func:`serve` then ends the process, whatever it still waits for.

    :param limit_s: longest time until the end of the task in seconds.
    """
    task = asyncio.current_task()
    assert task is not None
    timer = asyncio.get_running_loop().call_later(limit_s, task.cancel)
    task.add_done_callback(lambda _: timer.cancel())


def stop_delay_s() -> float:
    """Return how long ago the signal came that made the current task stop a daemon.

    A busy event loop begins to stop late, but the grace time counts from the signal.

    :returns: seconds; 0 when the stop was not asked for by a signal.
    """
    signalled_at = _signalled_at.get(None)
    return 0.0 if signalled_at is None else time.monotonic() - signalled_at


def on_signal(
    action: Callable[[], object], signalled_at: list[float] | None = None
) -> None:
    """Call a function on SIGTERM and SIGINT, instead of any earlier one.

    :param action: called in the event loop.
    :param signalled_at: gets the times of the signals by the monotonic clock.
    """
    loop = asyncio.get_running_loop()
    times = [] if signalled_at is None else signalled_at

    # The loop's own handlers would wait for the callback that is running.
    def handle(*_: object) -> None:
        times.append(time.monotonic())
        loop.call_soon_threadsafe(action)

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, handle)
