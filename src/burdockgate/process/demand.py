"""Division of an entry host's waiting tasks among its near agents."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from burdockgate.request import besteffort


def divide(
    waiting: Sequence[tuple[besteffort.Job, int]],
) -> Iterator[tuple[besteffort.Job, int]]:
    """Yield what is announced to each agent: a job, and the processors that wait.

    The first agent gets the job of the first task, the second that of the second, and
    so on. An agent that frees more capacity may give it to all tasks from there on.
    If every agent got the rank of the first task, the entry hosts with a short queue
    would take the capacity for all of it, and the one with the longest queue the rest.

    :param waiting: job and processors, in thousandths of a core, of each waiting task
        in the order of service.
    """
    remaining_cpu = sum(cpu for _, cpu in waiting)
    for job, cpu in waiting:
        yield job, remaining_cpu
        remaining_cpu -= cpu
