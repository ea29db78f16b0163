"""Background tasks of a daemon, none of which can end unnoticed."""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

_T = TypeVar("_T")

# A loop that fails at once each time must neither fill the log nor keep the processor
# busy. The first restart is early, because leases are renewed by such loops.
FIRST_RESTART_S = 0.05
MAX_RESTART_S = 1.0
# A loop that has run for this long starts again with the first delay.
STABLE_AFTER_S = 10.0

Report = Callable[[str, str], None]


class Background:
    """Runs the tasks of a daemon until they end or the daemon stops.

    :param report: called with the name of a task that failed and its traceback.
    """

    def __init__(self, report: Report) -> None:
        self._report = report
        self._tasks: set[asyncio.Task[Any]] = set()

    def run(self, coroutine: Coroutine[Any, Any, _T]) -> asyncio.Task[_T]:
        """Run a coroutine once; a failure is reported.

        :param coroutine: the coroutine object.
        :returns: its task, which raises the failure again when it is awaited.
        """
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._handle_end)
        return task

    def keep_running(
        self, function: Callable[..., Coroutine[Any, Any, None]], *arguments: object
    ) -> asyncio.Task[None]:
        """Run a coroutine function; after a failure, report it and run it again.

        :param function: the function; when it returns, it is not called again.
        :param arguments: its arguments.
        """
        return self.run(self._restart_on_failure(function, arguments))

    async def _restart_on_failure(
        self,
        function: Callable[..., Coroutine[Any, Any, None]],
        arguments: tuple[object, ...],
    ) -> None:
        loop = asyncio.get_running_loop()
        delay_s = FIRST_RESTART_S
        while True:
            started_at = loop.time()
            try:
                await function(*arguments)
                return
            except Exception as error:
                self.report(function.__name__.lstrip("_"), error)
            if loop.time() - started_at >= STABLE_AFTER_S:
                delay_s = FIRST_RESTART_S
            await asyncio.sleep(delay_s)
            delay_s = min(2 * delay_s, MAX_RESTART_S)

    def _handle_end(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            name = getattr(task.get_coro(), "__name__", task.get_name())
            self.report(name.lstrip("_"), task.exception())

    def report(self, name: str, error: BaseException | None) -> None:
        """Report a failure.

        :param name: name of the task or callback that failed.
        :param error: the exception.
        """
        self._report(name, "".join(traceback.format_exception(error)))

    def handle_loop_error(
        self, _: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """Report an exception of a callback; to be set as the loop's handler.

        :param context: what asyncio knows of the failure.
        """
        error = context.get("exception")
        message = str(context.get("message", "callback failed"))
        if isinstance(error, Exception):
            self.report(message, error)
        else:
            self._report(message, "")

    async def cancel(self) -> None:
        """Cancel all tasks and wait for their ends."""
        tasks = [task for task in self._tasks if task is not asyncio.current_task()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
