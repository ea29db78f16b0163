"""An agent's record of one job: which of its tasks were received, started and ended.

The record is made before a task starts, and it refuses every message with an older
epoch or fence number than its own. This comparison, and no clock, prevents a second
start of a task.
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
    """Whether a record accepts a start or a fence, or why not.

    ``OLD_EPOCH`` also stands for an older attempt.
    """

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

    :param job: 16-byte job id.
    :param owner: name of the entry host that gets the results.
    :param changed_at: time of the last change, in seconds.
    :param is_settled: whether the owner has settled the job.
    """

    job: bytes
    epoch: int
    fence: int
    attempt: int
    owner: str
    changed_at: float
    is_settled: bool = False
    _task_by_index: dict[int, _Task] = attrs.field(factory=dict)

    def admit(self, epoch: int, fence: int, attempt: int, owner: str) -> Admission:
        """Check a message of an owner, and adopt its numbers when they are not older.

        :param epoch: the message's epoch.
        :param fence: the message's fence number.
        :param attempt: the message's attempt; a newer one clears the tasks.
        :param owner: name of the sender.
        """
        if epoch < self.epoch or attempt < self.attempt:
            return Admission.OLD_EPOCH
        if epoch == self.epoch and fence < self.fence:
            return Admission.OLD_FENCE
        if attempt > self.attempt:
            self._task_by_index.clear()
        if epoch > self.epoch or attempt > self.attempt:
            self.is_settled = False
        self.epoch, self.fence = epoch, fence
        self.attempt, self.owner = attempt, owner
        return Admission.ADMITTED

    def is_new_send(self, index: int, send: int) -> bool:
        """Return whether a task that was received may be started or returned.

        :param index: index of the task.
        :param send: number of the send. After the first one, only a higher number is
            accepted, and only when the last send was returned.
        """
        task = self._task_by_index.get(index)
        if task is None:
            return True
        return send > task.send and task.state is messages.TaskState.RETURNED

    def record_start(self, index: int, send: int) -> None:
        """Record that a task is started.

        :param index: index of the task.
        :param send: number of the send.
        """
        self._task_by_index[index] = _Task(send, messages.TaskState.RUNNING)

    def record_return(self, index: int, send: int) -> messages.TaskReport:
        """Record that a task is returned without a start, and return its report.

        :param index: index of the task.
        :param send: number of the send.
        """
        task = _Task(send, messages.TaskState.RETURNED)
        self._task_by_index[index] = task
        return _report(index, task)

    def record_end(
        self, index: int, state: messages.TaskState, payload: bytes, run_ms: float
    ) -> messages.TaskReport | None:
        """Record how a running task ended, and return its report.

        :param index: index of the task.
        :param state: any state but running.
        :param payload: JSON text of the result, or one line that describes the
            failure.
        :param run_ms: run time in ms.
        :returns: ``None`` when the record has no such running task.
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

    def running_indexes(self) -> list[int]:
        """Return the indexes of the running tasks."""
        return [
            index
            for index, task in self._task_by_index.items()
            if task.state is messages.TaskState.RUNNING
        ]

    def result_bytes(self) -> int:
        """Return the size of the stored results in bytes."""
        return sum(len(task.payload) for task in self._task_by_index.values())

    def drop_results(self) -> None:
        """Drop the results and keep the states.

        An empty payload of an ended task means that its result was dropped.
        """
        for task in self._task_by_index.values():
            if task.state in _ENDED:
                task.payload = b""


def _report(index: int, task: _Task) -> messages.TaskReport:
    return messages.TaskReport(index, task.send, task.state, task.payload, task.run_ms)
