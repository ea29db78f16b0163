"""Decodes the jobs that callers send and encodes the responses to them."""

from __future__ import annotations

import math
import re
from typing import Annotated

import msgspec

from burdockgate import codes, errors
from burdockgate.platform import decoding
from burdockgate.request import besteffort
from burdockgate.version import routes

MAX_TASKS = 10_000
MAX_STEPS = 200
# The platform's limit is 4,000 bytes.
MAX_SPEC_CHARS = 4096
# Job identifiers are parts of task names, in which a dot separates the parts.
_JOB_ID = re.compile(r"[0-9A-Za-z_-]{1,64}")


class _Step(
    msgspec.Struct,
    rename={
        "memory_mb": "memMb",
        "estimate_ms": "estimateMs",
        "label": "requires",
        "data_rack": "dataRack",
        "max_per_worker": "antiAffinity",
        "is_long_running": "longRunning",
        "is_filling": "fills",
    },
):
    count: decoding.Integer
    # Thousandths of a core.
    cpu: decoding.Cpu = 0
    memory_mb: decoding.MemoryMb = 0
    gpu: decoding.Gpu = 0
    estimate_ms: decoding.DurationMs = 0.0
    # Indexes of the earlier steps that must be done first.
    after: Annotated[list[int], msgspec.Meta(max_length=MAX_STEPS)] = []
    label: decoding.Name = ""
    data_rack: decoding.Name = ""
    max_per_worker: decoding.Integer = 0
    # The tasks must start together; not supported yet.
    gang: bool = False
    is_long_running: bool = False
    is_filling: bool = False


class _Job(
    msgspec.Struct,
    rename={
        "is_best_effort": "bestEffort",
        "repeat_count": "repeatCount",
        "is_long_running": "longRunning",
    },
):
    spec: Annotated[str, msgspec.Meta(max_length=MAX_SPEC_CHARS)]
    steps: list[_Step]
    # The caller waits for the end of the job, and the job is not stored.
    is_best_effort: bool = False
    repeat_count: decoding.Integer = 0
    is_long_running: bool = False


def decode(
    job_id: str,
    body: bytes,
    route: routes.Route,
    deadline_s: float,
    request_id: str = "",
) -> besteffort.Submission:
    """Decode the job in a request.

    :param job_id: identifier of the job, from the path.
    :param body: body of the request, JSON.
    :param route: the route that matched the request.
    :param deadline_s: how long the caller waits, in seconds.
    :param request_id: the caller's identifier of the request.
    :raises errors.RequestError: when the job is malformed or of a kind that is not
        supported.
    """
    try:
        job = decoding.decode(body, _Job)
    except errors.MalformedError as error:
        raise errors.RequestError(codes.Code.INVALID_REQUEST, str(error)) from error
    if not _JOB_ID.fullmatch(job_id):
        raise errors.RequestError(
            codes.Code.INVALID_REQUEST,
            f"job {job_id!r:.80}: allowed are 1 to 64 of 0-9 A-Z a-z _ -",
        )
    _check_is_served(job, route)
    return besteffort.Submission(
        job_id,
        route.name,
        route.service,
        job.spec,
        tuple(map(_convert_step, job.steps)),
        route.priority,
        route.max_attempts,
        route.stretch,
        route.target_s,
        deadline_s,
        request_id,
    )


def _check_is_served(job: _Job, route: routes.Route) -> None:
    tasks = sum(step.count for step in job.steps)
    if not 0 < tasks <= MAX_TASKS or len(job.steps) > MAX_STEPS:
        raise errors.RequestError(
            codes.Code.TOO_MANY_TASKS,
            f"{tasks} tasks in {len(job.steps)} steps, allowed are {MAX_TASKS} in "
            f"{MAX_STEPS}",
        )
    for number, step in enumerate(job.steps):
        if any(not 0 <= earlier < number for earlier in step.after):
            raise errors.RequestError(
                codes.Code.INVALID_REQUEST, f"step {number}: after={step.after}"
            )
        if step.gang or step.is_long_running or step.is_filling:
            raise errors.RequestError(
                codes.Code.NOT_READY, f"step {number}: its kind is not served yet"
            )
    if not job.is_best_effort or job.repeat_count or job.is_long_running:
        # Storing jobs is not supported yet, so a job that has to be stored is refused.
        raise errors.RequestError(
            codes.Code.NOT_READY, "only best-effort jobs are served yet"
        )
    if route.needs_advice:
        raise errors.RequestError(
            codes.Code.NOT_READY, f"route {route.name} needs an advisor"
        )


def _convert_step(step: _Step) -> besteffort.Step:
    return besteffort.Step(
        step.count,
        step.cpu,
        step.memory_mb,
        step.gpu,
        step.estimate_ms / 1000,
        tuple(step.after),
        step.label,
        step.data_rack,
        step.max_per_worker,
    )


def encode(outcome: besteffort.Outcome) -> tuple[int, dict[str, str], bytes]:
    """Return the status, headers and body of the response to a job.

    Statuses 429 and 503 state that no task ran. After 502 and 504 tasks may have run;
    the caller sends the job again.

    :param outcome: how the job ended.
    """
    match outcome:
        case besteffort.Completed():
            return 200, {}, b'{"state":"completed"}'
        case besteffort.Failed():
            return 200, {}, b'{"state":"failed"}'
        case besteffort.Refused(code, retry_after_s):
            headers = {"Retry-After": str(max(1, math.ceil(retry_after_s)))}
            # The platform's callers know only 429 and 503 as "not run".
            status = 429 if codes.MEANING_BY_CODE[code].status == 429 else 503
            return status, headers, _encode_error(code, "")
        case besteffort.Interrupted(code):
            status = 504 if code is codes.Code.DEADLINE_MAY_HAVE_RUN else 502
            return status, {}, _encode_error(code, "")


def encode_rejection(
    code: codes.Code, detail: str, headers: dict[str, str] | None = None
) -> tuple[int, dict[str, str], bytes]:
    """Return the status, headers and body of the response to a rejected request.

    :param code: the result code.
    :param detail: one line for the caller; empty for the text of the code.
    :param headers: further headers.
    """
    status = codes.MEANING_BY_CODE[code].status
    return status, headers or {}, _encode_error(code, detail)


def _encode_error(code: codes.Code, detail: str) -> bytes:
    text = detail or codes.MEANING_BY_CODE[code].text
    return msgspec.json.encode({"code": int(code), "name": code.name, "detail": text})
