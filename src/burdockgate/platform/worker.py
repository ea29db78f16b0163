"""Client that sends commands to the worker on the same machine, over HTTP."""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import Any

import msgspec

from burdockgate import assignments, errors
from burdockgate.platform import decoding, http
from burdockgate.process import workercontrol

# The worker on the same machine responds within a millisecond. When a command times out
# too early, one more poll finds out whether it was carried out.
COMMAND_TIMEOUT_S = 0.08
# Timeout of a poll, in addition to the time for which it lets the worker wait.
POLL_TIMEOUT_MARGIN_S = 0.25
# The worker accepts 64.
MAX_CONNECTIONS = 16
# Names of tasks consist of job, occurrence, step and index. A best-effort job has a
# single occurrence.
_OCCURRENCE = "0"
_TASK_NAME = re.compile(r"([^.]{1,256})\.[0-9]{1,15}\.([0-9]{1,9})\.([0-9]{1,9})")
MAX_PERCENT = 100
_INSTANCE_HEADER = "Expected-Instance"
_OK = 200
# A gateway may send these, so they don't tell whether the worker carried out a command.
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
_END_REASON_BY_NAME = {
    "done": workercontrol.EndReason.DONE,
    "failed": workercontrol.EndReason.FAILED,
    "stopped": workercontrol.EndReason.STOPPED,
    "lapsed": workercontrol.EndReason.LAPSED,
}


class _CommandResponse(msgspec.Struct, rename={"clock_ms": "clockMs"}):
    clock_ms: decoding.Integer = 0
    reason: str = ""


class _RunLists(msgspec.Struct, rename={"clock_ms": "clockMs"}):
    clock_ms: decoding.Integer
    # Rows of task, run, checkpoint, percent of the work done, and approximate load.
    running: list[Any]
    # Rows of number, task, run, name of the end reason, and checkpoint.
    finished: list[Any]
    # Start time of this incarnation of the worker; older platforms do not send it.
    born: decoding.UnixMs = 0


class PlatformWorker(workercontrol.WorkerControl):
    """Client of the worker's HTTP interface.

    :param address: ``host:port`` of the worker.
    """

    def __init__(self, address: str) -> None:
        self._client = http.Client(address, MAX_CONNECTIONS)

    async def start(
        self, command: workercontrol.StartCommand
    ) -> workercontrol.CommandResult:
        """Start a run."""
        fields = {
            "task": _format_task(command.key.task),
            "run": command.key.run,
            "spec": command.spec,
            "deadlineMs": command.lease_until_ms,
            "fencingToken": command.token,
        }
        return await self._send_command(
            "/burdockgate/run-start", command.worker, fields
        )

    async def stop(
        self, command: workercontrol.StopCommand
    ) -> workercontrol.CommandResult:
        """Stop a run."""
        fields = {
            "task": _format_task(command.key.task),
            "run": command.key.run,
            "fencingToken": command.token,
        }
        return await self._send_command("/burdockgate/run-stop", command.worker, fields)

    async def poll(
        self, command: workercontrol.PollCommand
    ) -> workercontrol.PollResult:
        """Read the lists of running and finished runs."""
        fields = {
            "fencingToken": command.token,
            "ackedThrough": command.acknowledged,
            "waitMs": command.wait_ms,
        }
        if command.lease_until_ms is not None:
            fields["deadlineMs"] = command.lease_until_ms
        response = await self._post(
            "/burdockgate/hold",
            command.worker,
            fields,
            command.wait_ms / 1000 + POLL_TIMEOUT_MARGIN_S,
        )
        if not isinstance(response, http.Response):
            return response
        if response.status != _OK:
            return _decode_refusal(response)
        try:
            return _decode_snapshot(decoding.decode(response.body, _RunLists))
        except errors.MalformedError:
            return workercontrol.Refused(workercontrol.Refusal.INVALID)

    async def close(self) -> None:
        """Close the connections."""
        self._client.close()

    async def _send_command(
        self, path: str, worker: str, fields: dict[str, Any]
    ) -> workercontrol.CommandResult:
        response = await self._post(path, worker, fields, COMMAND_TIMEOUT_S)
        if not isinstance(response, http.Response):
            return response
        if response.status == _OK:
            return workercontrol.Accepted(_decode_response(response).clock_ms)
        if response.status in _UNCERTAIN_STATUSES:
            return workercontrol.Unanswered()
        return _decode_refusal(response)

    async def _post(
        self, path: str, worker: str, fields: dict[str, Any], timeout_s: float
    ) -> http.Response | workercontrol.Refused | workercontrol.Unanswered:
        headers = {"Content-Type": "application/json", _INSTANCE_HEADER: worker}
        body = msgspec.json.encode(fields)
        try:
            return await self._client.request(
                "POST", path, timeout_s, headers=headers, body=body
            )
        except errors.NotSentError:
            return workercontrol.Refused(workercontrol.Refusal.NOT_SENT)
        except errors.ConnectionLostError:
            return workercontrol.Unanswered(is_connection_lost=True)
        except errors.UnansweredError:
            return workercontrol.Unanswered()


def _decode_response(response: http.Response) -> _CommandResponse:
    try:
        return decoding.decode(response.body, _CommandResponse)
    except errors.MalformedError:
        return _CommandResponse()


def _decode_refusal(response: http.Response) -> workercontrol.Refused:
    content = _decode_response(response)
    reason = _REFUSAL_BY_STATUS.get(response.status)
    if reason is None:
        reason = _REFUSAL_BY_REASON.get(content.reason, workercontrol.Refusal.INVALID)
    return workercontrol.Refused(reason, content.clock_ms)


def _decode_snapshot(lists: _RunLists) -> workercontrol.Snapshot:
    running = tuple(_decode_running(lists.running))
    finished = tuple(_decode_finished(lists.finished))
    entry_count = len(lists.running) + len(lists.finished)
    return workercontrol.Snapshot(
        lists.clock_ms,
        lists.born,
        running,
        finished,
        entry_count - len(running) - len(finished),
    )


def _decode_running(rows: list[Any]) -> Iterator[workercontrol.RunningEntry]:
    for row in rows:
        match row:
            case [str(task), int(run), _, int() | float() as percent, *_]:
                key = _parse_run_key(task, run)
                if key is not None and 0 <= percent <= MAX_PERCENT:
                    yield workercontrol.RunningEntry(key, int(percent))


def _decode_finished(rows: list[Any]) -> Iterator[workercontrol.FinishedEntry]:
    for row in rows:
        match row:
            case [int(number), str(task), int(run), str(end_name), *_]:
                key = _parse_run_key(task, run)
                if key is not None and number and _is_integer(number):
                    reason = _END_REASON_BY_NAME.get(
                        end_name, workercontrol.EndReason.OTHER
                    )
                    yield workercontrol.FinishedEntry(number, key, reason)


def _format_task(task: assignments.TaskKey) -> str:
    return f"{task.job}.{_OCCURRENCE}.{task.step}.{task.index}"


def _is_integer(value: int) -> bool:
    """Return whether a value is an integer in bounds; JSON's ``true`` is not."""
    return type(value) is int and 0 <= value <= decoding.MAX_INTEGER


def _parse_run_key(task: str, run: int) -> assignments.RunKey | None:
    """Return the key of a run, or ``None`` when its name or number is malformed."""
    match = _TASK_NAME.fullmatch(task)
    if match is None or not _is_integer(run):
        return None
    job, step, index = match.groups()
    return assignments.RunKey(assignments.TaskKey(job, int(step), int(index)), run)
