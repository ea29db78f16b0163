"""Orders to the worker on the same machine, over HTTP."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import msgspec

from burdockgate import assignments, errors
from burdockgate.platform import http
from burdockgate.process import workercontrol

# The worker is on the same machine and answers in a millisecond. A command that was
# given up too early costs one poll, which finds out what became of it.
COMMAND_ANSWER_S = 0.08
# Beyond the wait that the poll allows.
POLL_ANSWER_S = 0.25
# The worker allows 64.
CONNECTIONS = 16
# Best-effort jobs have one occurrence.
_OCCURRENCE = "0"
_INSTANCE_HEADER = "Expected-Instance"
_OK = 200
# A gateway's answers say nothing about what the worker did.
_UNCERTAIN_STATUSES = (500, 502, 504)

_REFUSAL_BY_REASON = {
    "fence": workercontrol.Refusal.FENCED,
    "old": workercontrol.Refusal.OLD_RUN,
    "late": workercontrol.Refusal.LATE,
    "room": workercontrol.Refusal.NO_CAPACITY,
}
_REFUSAL_BY_STATUS = {
    421: workercontrol.Refusal.OTHER_WORKER,
    429: workercontrol.Refusal.UNHEALTHY,
    503: workercontrol.Refusal.UNHEALTHY,
}
_REASON_BY_WORD = {
    "done": workercontrol.EndReason.DONE,
    "failed": workercontrol.EndReason.FAILED,
    "stopped": workercontrol.EndReason.STOPPED,
    "lapsed": workercontrol.EndReason.LAPSED,
}


class _Answer(msgspec.Struct, rename={"clock_ms": "clockMs"}):
    clock_ms: int = 0
    reason: str = ""


class _Lists(msgspec.Struct, rename={"clock_ms": "clockMs"}):
    clock_ms: int
    # Rows of task, run, checkpoint, percent of the work done, and a rough load.
    running: list[Any]
    # Rows of number, task, run, word for the end, and checkpoint.
    finished: list[Any]
    # Start of this life of the worker; older platforms do not tell it.
    born: int = 0


class PlatformWorker(workercontrol.WorkerControl):
    """The worker's interface over HTTP.

    :param address: ``host:port`` of the worker.
    """

    def __init__(self, address: str) -> None:
        self._client = http.Client(address, CONNECTIONS)

    async def start(
        self, command: workercontrol.StartCommand
    ) -> workercontrol.CommandResult:
        """Start a run."""
        fields = {
            "task": _task_name(command.key.task),
            "run": command.key.run,
            "spec": command.spec,
            "deadlineMs": command.lease_until_ms,
            "fencingToken": command.token,
        }
        return await self._order("/burdockgate/run-start", command.worker, fields)

    async def stop(
        self, command: workercontrol.StopCommand
    ) -> workercontrol.CommandResult:
        """Stop a run."""
        fields = {
            "task": _task_name(command.key.task),
            "run": command.key.run,
            "fencingToken": command.token,
        }
        return await self._order("/burdockgate/run-stop", command.worker, fields)

    async def poll(
        self, command: workercontrol.PollCommand
    ) -> workercontrol.PollResult:
        """Read the lists of runs."""
        fields = {
            "fencingToken": command.token,
            "ackedThrough": command.acknowledged,
            "waitMs": command.wait_ms,
        }
        if command.lease_until_ms is not None:
            fields["deadlineMs"] = command.lease_until_ms
        answer = await self._post(
            "/burdockgate/hold",
            command.worker,
            fields,
            command.wait_ms / 1000 + POLL_ANSWER_S,
        )
        if not isinstance(answer, http.Answer):
            return answer
        if answer.status != _OK:
            return _refused(answer)
        try:
            return _snapshot(msgspec.json.decode(answer.body, type=_Lists))
        except msgspec.DecodeError:
            return workercontrol.Refused(workercontrol.Refusal.INVALID)

    async def close(self) -> None:
        """Close the connections."""
        self._client.close()

    async def _order(
        self, path: str, worker: str, fields: dict[str, Any]
    ) -> workercontrol.CommandResult:
        answer = await self._post(path, worker, fields, COMMAND_ANSWER_S)
        if not isinstance(answer, http.Answer):
            return answer
        if answer.status == _OK:
            return workercontrol.Accepted(_decode_answer(answer).clock_ms)
        if answer.status in _UNCERTAIN_STATUSES:
            return workercontrol.Unanswered()
        return _refused(answer)

    async def _post(
        self, path: str, worker: str, fields: dict[str, Any], answer_s: float
    ) -> http.Answer | workercontrol.Refused | workercontrol.Unanswered:
        headers = {"Content-Type": "application/json", _INSTANCE_HEADER: worker}
        body = msgspec.json.encode(fields)
        try:
            return await self._client.request(
                "POST", path, answer_s, headers=headers, body=body
            )
        except errors.NotSentError:
            return workercontrol.Refused(workercontrol.Refusal.NOT_SENT)
        except errors.UnansweredError:
            return workercontrol.Unanswered()


def _decode_answer(answer: http.Answer) -> _Answer:
    try:
        return msgspec.json.decode(answer.body, type=_Answer)
    except msgspec.DecodeError:
        return _Answer()


def _refused(answer: http.Answer) -> workercontrol.Refused:
    told = _decode_answer(answer)
    reason = _REFUSAL_BY_STATUS.get(answer.status)
    if reason is None:
        reason = _REFUSAL_BY_REASON.get(told.reason, workercontrol.Refusal.INVALID)
    return workercontrol.Refused(reason, told.clock_ms)


def _snapshot(lists: _Lists) -> workercontrol.Snapshot:
    running = tuple(_running(lists.running))
    finished = tuple(_finished(lists.finished))
    unreadable = len(lists.running) + len(lists.finished)
    return workercontrol.Snapshot(
        lists.clock_ms,
        lists.born,
        running,
        finished,
        unreadable - len(running) - len(finished),
    )


def _running(rows: list[Any]) -> Iterator[workercontrol.RunningEntry]:
    for row in rows:
        match row:
            case [str(task), int(run), _, int() | float() as percent, *_]:
                key = _run_key(task, run)
                if key is not None:
                    yield workercontrol.RunningEntry(key, int(percent))


def _finished(rows: list[Any]) -> Iterator[workercontrol.FinishedEntry]:
    for row in rows:
        match row:
            case [int(number), str(task), int(run), str(word), *_]:
                key = _run_key(task, run)
                if key is not None:
                    reason = _REASON_BY_WORD.get(word, workercontrol.EndReason.OTHER)
                    yield workercontrol.FinishedEntry(number, key, reason)


def _task_name(task: assignments.TaskKey) -> str:
    return f"{task.job}.{_OCCURRENCE}.{task.step}.{task.index}"


def _run_key(task: str, run: int) -> assignments.RunKey | None:
    """Return the run of a row, or ``None`` for a name of another form."""
    match task.split("."):
        case [job, _, step, index] if step.isdecimal() and index.isdecimal():
            key = assignments.TaskKey(job, int(step), int(index))
            return assignments.RunKey(key, run)
    return None
