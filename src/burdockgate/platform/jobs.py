"""Jobs as callers send them, and the answers that they get."""

from __future__ import annotations

import math

import msgspec

from burdockgate import codes, errors
from burdockgate.request import besteffort
from burdockgate.version import routes

MAX_TASKS = 10_000
MAX_STEPS = 200


class _Step(
    msgspec.Struct,
    rename={
        "memory_mb": "memMb",
        "estimate_ms": "estimateMs",
        "label": "requires",
        "data_rack": "dataRack",
        "max_per_worker": "antiAffinity",
        "is_lasting": "longRunning",
        "is_filling": "fills",
    },
):
    count: int
    # Thousandths of a core.
    cpu: int = 0
    memory_mb: int = 0
    gpu: int = 0
    estimate_ms: float = 0.0
    # Numbers of the steps that must be done before.
    after: list[int] = []
    label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0
    # Tasks that start together; not served yet.
    gang: bool = False
    is_lasting: bool = False
    is_filling: bool = False


class _Job(
    msgspec.Struct,
    rename={
        "is_best_effort": "bestEffort",
        "repeat_count": "repeatCount",
        "is_lasting": "longRunning",
    },
):
    spec: str
    steps: list[_Step]
    # The caller waits for the end, and nothing is stored.
    is_best_effort: bool = False
    repeat_count: int = 0
    is_lasting: bool = False


def decode(
    job_id: str,
    body: bytes,
    route: routes.Route,
    deadline_s: float,
    request_id: str = "",
) -> besteffort.Submission:
    """Return the job of a request.

    :param job_id: identifier from the path.
    :param body: body of the request, JSON.
    :param route: the route that matched.
    :param deadline_s: how long the caller waits.
    :param request_id: the caller's identifier of the request.
    :raises errors.RequestError: when it is malformed or of a kind that is not served.
    """
    try:
        told = msgspec.json.decode(body, type=_Job)
    except msgspec.DecodeError as error:
        raise errors.RequestError(codes.Code.INVALID_REQUEST, str(error)) from error
    _check(told, route)
    return besteffort.Submission(
        job_id,
        route.name,
        route.service,
        told.spec,
        tuple(map(_step, told.steps)),
        route.priority,
        route.max_attempts,
        route.stretch,
        route.target_s,
        deadline_s,
        request_id,
    )


def _check(told: _Job, route: routes.Route) -> None:
    tasks = sum(step.count for step in told.steps)
    if not 0 < tasks <= MAX_TASKS or len(told.steps) > MAX_STEPS:
        raise errors.RequestError(
            codes.Code.TOO_MANY_TASKS,
            f"{tasks} tasks in {len(told.steps)} steps, allowed are {MAX_TASKS} in "
            f"{MAX_STEPS}",
        )
    for number, step in enumerate(told.steps):
        if any(not 0 <= earlier < number for earlier in step.after):
            raise errors.RequestError(
                codes.Code.INVALID_REQUEST, f"step {number}: after={step.after}"
            )
        if step.gang or step.is_lasting or step.is_filling:
            raise errors.RequestError(
                codes.Code.NOT_READY, f"step {number}: its kind is not served yet"
            )
    if not told.is_best_effort or told.repeat_count or told.is_lasting:
        # Nothing is stored yet, so a job that has to be kept is never accepted.
        raise errors.RequestError(
            codes.Code.NOT_READY, "only best-effort jobs are served yet"
        )
    if route.needs_advice:
        raise errors.RequestError(
            codes.Code.NOT_READY, f"route {route.name} needs an advisor"
        )


def _step(told: _Step) -> besteffort.Step:
    return besteffort.Step(
        told.count,
        told.cpu,
        told.memory_mb,
        told.gpu,
        told.estimate_ms / 1000,
        tuple(told.after),
        told.label,
        told.data_rack,
        told.max_per_worker,
    )


def encode(verdict: besteffort.Outcome) -> tuple[int, dict[str, str], bytes]:
    """Return status, headers and body of an answer.

    A status of 429 or 503 says that no task ran; 502 and 504 say nothing about that,
    and the caller sends the job again.

    :param verdict: how the job ended.
    """
    match verdict:
        case besteffort.Completed():
            return 200, {}, b'{"state":"completed"}'
        case besteffort.Failed():
            return 200, {}, b'{"state":"failed"}'
        case besteffort.Refused(code, retry_after_s):
            headers = {"Retry-After": str(max(1, math.ceil(retry_after_s)))}
            # Callers on the platform know two statuses for "not run".
            status = 429 if codes.MEANING_BY_CODE[code].status == 429 else 503
            return status, headers, _error_body(code, "")
        case besteffort.Interrupted(code):
            status = 504 if code is codes.Code.DEADLINE_MAY_HAVE_RUN else 502
            return status, {}, _error_body(code, "")


def refuse(
    code: codes.Code, detail: str, headers: dict[str, str] | None = None
) -> tuple[int, dict[str, str], bytes]:
    """Return the answer to a request that was not run.

    :param code: the result code.
    :param detail: one line for the caller.
    :param headers: headers to send.
    """
    status = codes.MEANING_BY_CODE[code].status
    return status, headers or {}, _error_body(code, detail)


def _error_body(code: codes.Code, detail: str) -> bytes:
    text = detail or codes.MEANING_BY_CODE[code].text
    return msgspec.json.encode({"code": int(code), "name": code.name, "detail": text})
