"""An agent's record of one job: what was received, started and finished.

The record is made before a task starts, and it refuses whatever is older than the
highest epoch and fence it has seen. That comparison, not a clock, is what keeps a
task from starting twice.
"""

from __future__ import annotations

import enum
from collections.abc import Iterator

import attrs

from burdockgate import messages

_ENDED = frozenset(messages.TaskState) - {
    messages.TaskState.RUNNING,
    messages.TaskState.RETURNED,
}


class Admission(enum.Enum):
    """How a record answers a start or a fence."""

    ADMITTED = "admitted"
    OLD_EPOCH = "old epoch"
    OLD_FENCE = "old fence"


@attrs.define
class _Task:
    send: int
    state: messages.TaskState
    payload: bytes = b""
    run_ms: float = 0.0


@attrs.define
class JobRecord:
    """State of one job at one agent.

    :param owner: name of the entry host that gets the results.
    :param touched_at: time of the last change, in seconds.
    :param settled: whether the owner has settled the job.
    """

    job: bytes
    epoch: int
    fence: int
    attempt: int
    owner: str
    touched_at: float
    settled: bool = False
    _task_by_index: dict[int, _Task] = attrs.field(factory=dict)

    def admit(self, epoch: int, fence: int, attempt: int, owner: str) -> Admission:
        """Check a message of an owner, and take over its epoch when it is newer.

        :param epoch: the message's epoch.
        :param fence: the message's fence number.
        :param attempt: the message's attempt; a newer one starts afresh.
        :param owner: name of the sender.
        """
        if epoch < self.epoch or attempt < self.attempt:
            return Admission.OLD_EPOCH
        if epoch == self.epoch and fence < self.fence:
            return Admission.OLD_FENCE
        if attempt > self.attempt:
            self._task_by_index.clear()
        if epoch > self.epoch or attempt > self.attempt:
            self.settled = False
        self.epoch, self.fence = epoch, fence
        self.attempt, self.owner = attempt, owner
        return Admission.ADMITTED

    def is_new_send(self, index: int, send: int) -> bool:
        """Return whether a send of a task may be acted on.

        :param index: index of the task.
        :param send: number of the send; only a newer one than the last may, and
            only when the last one was returned.
        """
        task = self._task_by_index.get(index)
        if task is None:
            return True
        return send > task.send and task.state is messages.TaskState.RETURNED

    def start(self, index: int, send: int) -> None:
        """Record that a task is started.

        :param index: index of the task.
        :param send: number of the send.
        """
        self._task_by_index[index] = _Task(send, messages.TaskState.RUNNING)

    def give_back(self, index: int, send: int) -> messages.TaskReport:
        """Record that a task is not started, and return the report of it.

        :param index: index of the task.
        :param send: number of the send.
        """
        task = _Task(send, messages.TaskState.RETURNED)
        self._task_by_index[index] = task
        return _report(index, task)

    def finish(
        self, index: int, state: messages.TaskState, payload: bytes, run_ms: float
    ) -> messages.TaskReport | None:
        """Record how a running task ended, and return the report of it.

        :param index: index of the task.
        :param state: any state but running.
        :param payload: JSON text of the result, or a line about the failure.
        :param run_ms: run time in ms.
        :returns: ``None`` when the task is not running by this record.
        """
        task = self._task_by_index.get(index)
        if task is None or task.state is not messages.TaskState.RUNNING:
            return None
        task.state, task.payload, task.run_ms = state, payload, run_ms
        return _report(index, task)

    def reports(self) -> Iterator[messages.TaskReport]:
        """Yield the report of each task that was received."""
        for index, task in self._task_by_index.items():
            yield _report(index, task)

    def running(self) -> list[int]:
        """Return the indexes of the tasks that run."""
        return [
            index
            for index, task in self._task_by_index.items()
            if task.state is messages.TaskState.RUNNING
        ]

    def size(self) -> int:
        """Return the bytes of the results kept."""
        return sum(len(task.payload) for task in self._task_by_index.values())

    def drop_results(self) -> None:
        """Forget the results and keep the states.

        An empty payload of a finished task says that its result is not kept.
        """
        for task in self._task_by_index.values():
            if task.state in _ENDED:
                task.payload = b""


def _report(index: int, task: _Task) -> messages.TaskReport:
    return messages.TaskReport(index, task.send, task.state, task.payload, task.run_ms)
