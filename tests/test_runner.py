"""Tests how a process runs until a signal and stops."""

import asyncio
import contextlib
import os
import signal
import time
from unittest import mock

from burdockgate.process import runner

BUSY_S = 0.2


class Stuck(runner.Runnable):
    """A daemon that is busy when the signal comes, and whose stop never ends."""

    def __init__(self):
        self.delay_s = 0.0

    async def start(self):
        asyncio.get_running_loop().call_soon(self._work)

    def _work(self):
        os.kill(os.getpid(), signal.SIGTERM)
        time.sleep(BUSY_S)

    async def stop(self):
        self.delay_s = runner.stop_delay_s()
        runner.limit_stop(0.05)
        await asyncio.get_running_loop().create_future()


@contextlib.contextmanager
def _kept_signal_handlers():
    numbers = (signal.SIGTERM, signal.SIGINT)
    handlers = [signal.getsignal(number) for number in numbers]
    try:
        yield
    finally:
        for number, handler in zip(numbers, handlers, strict=True):
            signal.signal(number, handler)


async def test_stop_counts_from_the_signal_and_ends_in_time():
    """A busy process began to stop late, waited for all, and was killed."""
    daemon = Stuck()
    with _kept_signal_handlers(), mock.patch.object(os, "_exit") as end:
        async with asyncio.timeout(5):
            await runner.serve(daemon)
    assert daemon.delay_s >= BUSY_S
    end.assert_called_once_with(1)
