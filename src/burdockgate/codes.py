"""Numbered result codes, each in exactly one start class.

The table in ``docs/result-codes.md`` is checked against this module by a test.
"""

from __future__ import annotations

import enum
from collections.abc import Iterator

import attrs


class StartClass(enum.Enum):
    """Whether tasks of a job were started, as far as its result code states."""

    NOT_RUN = "not run"
    MAY_HAVE_RUN = "may have run"
    RAN = "ran"


class Code(enum.IntEnum):
    """Result code of a job.

    The hundreds digit gives the start class: 0 and 3 for "ran", 1 for "not run",
    2 for "may have run", 9 for a job that has no result yet.
    """

    COMPLETE = 0
    INVALID_REQUEST = 100
    TOO_LARGE = 101
    TOO_MANY_TASKS = 102
    UNKNOWN_SERVICE = 103
    NEVER_FITS = 104
    BACKLOG_FULL = 105
    RATE_EXCEEDED = 106
    QUEUE_TIMEOUT = 107
    NOT_READY = 108
    DRAINING = 109
    DEADLINE_NOT_RUN = 110
    CANCELLED_NOT_RUN = 111
    KEY_REUSED = 112
    NOT_FOUND = 113
    WORKER_LOST = 200
    OWNER_LOST = 201
    DEADLINE_MAY_HAVE_RUN = 202
    CANCELLED_MAY_HAVE_RUN = 203
    REQUEST_CUT = 204
    CLAIM_UNAVAILABLE = 205
    TASK_FAILED = 300
    ANSWER_EXPIRED = 301
    RESULT_TOO_LARGE = 302
    PENDING = 900


@attrs.frozen
class Meaning:
    """Properties of one result code.

    :param start_class: ``None`` for a job without a result yet.
    :param status: HTTP status of the answer.
    :param retryable: whether submitting again with the same key can help.
    :param text: one sentence for the docs and the answer's detail.
    """

    start_class: StartClass | None
    status: int
    retryable: bool
    text: str


_NOT_RUN, _MAY_HAVE_RUN, _RAN = (
    StartClass.NOT_RUN,
    StartClass.MAY_HAVE_RUN,
    StartClass.RAN,
)

MEANING_BY_CODE: dict[Code, Meaning] = {
    Code.COMPLETE: Meaning(_RAN, 200, False, "Every task ran and has its result."),
    Code.INVALID_REQUEST: Meaning(_NOT_RUN, 400, False, "The request is malformed."),
    Code.TOO_LARGE: Meaning(
        _NOT_RUN, 413, False, "The request body is over the size limit."
    ),
    Code.TOO_MANY_TASKS: Meaning(
        _NOT_RUN, 413, False, "The job has more tasks than allowed."
    ),
    Code.UNKNOWN_SERVICE: Meaning(
        _NOT_RUN, 422, True, "No backend server announces this service."
    ),
    Code.NEVER_FITS: Meaning(
        _NOT_RUN, 422, False, "A task asks for more than any worker has."
    ),
    Code.BACKLOG_FULL: Meaning(_NOT_RUN, 429, True, "The backlog bound is reached."),
    Code.RATE_EXCEEDED: Meaning(
        _NOT_RUN, 429, True, "The table's rate limit for the class is reached."
    ),
    Code.QUEUE_TIMEOUT: Meaning(
        _NOT_RUN, 503, True, "No task started within the row's queue time."
    ),
    Code.NOT_READY: Meaning(
        _NOT_RUN, 503, True, "The entry host is not ready to take jobs."
    ),
    Code.DRAINING: Meaning(_NOT_RUN, 503, True, "The entry host is stopping."),
    Code.DEADLINE_NOT_RUN: Meaning(
        _NOT_RUN, 504, True, "The deadline passed before any task started."
    ),
    Code.CANCELLED_NOT_RUN: Meaning(
        _NOT_RUN, 409, True, "The job was cancelled before any task started."
    ),
    Code.KEY_REUSED: Meaning(
        _NOT_RUN, 422, False, "The idempotency key belongs to another job body."
    ),
    Code.NOT_FOUND: Meaning(
        _NOT_RUN, 404, False, "This entry host knows no job with this key."
    ),
    Code.WORKER_LOST: Meaning(
        _MAY_HAVE_RUN, 502, True, "A worker that had tasks of the job was lost."
    ),
    Code.OWNER_LOST: Meaning(
        _MAY_HAVE_RUN,
        502,
        True,
        "The entry host that owned the job was lost and a start is in doubt.",
    ),
    Code.DEADLINE_MAY_HAVE_RUN: Meaning(
        _MAY_HAVE_RUN, 504, True, "The deadline passed after tasks were sent."
    ),
    Code.CANCELLED_MAY_HAVE_RUN: Meaning(
        _MAY_HAVE_RUN, 409, True, "The job was cancelled after tasks were sent."
    ),
    Code.REQUEST_CUT: Meaning(
        _MAY_HAVE_RUN,
        502,
        True,
        "A request to a backend server was sent and not answered.",
    ),
    Code.CLAIM_UNAVAILABLE: Meaning(
        _MAY_HAVE_RUN,
        503,
        True,
        "No majority of the claim group answered, so an earlier submission with "
        "this key may have run.",
    ),
    Code.TASK_FAILED: Meaning(
        _RAN, 502, True, "A backend server answered a task with an error."
    ),
    Code.ANSWER_EXPIRED: Meaning(
        _RAN, 410, False, "The job ran and its answer is no longer kept."
    ),
    Code.RESULT_TOO_LARGE: Meaning(
        _RAN, 502, False, "A task's result is over the size limit."
    ),
    Code.PENDING: Meaning(None, 202, True, "The job has no result yet."),
}


def start_class(code: Code) -> StartClass | None:
    """Return the start class of a result code.

    :param code: the result code.
    :returns: the start class, or ``None`` for a pending job.
    """
    return MEANING_BY_CODE[code].start_class


def markdown_table() -> str:
    """Return the table of all codes for ``docs/result-codes.md``.

    :returns: a Markdown table; each line ends with a newline.
    """
    return "".join(_markdown_rows())


def _markdown_rows() -> Iterator[str]:
    yield "| code | name | start | HTTP status | retry can help | meaning |\n"
    yield "| --- | --- | --- | --- | --- | --- |\n"
    for code, meaning in MEANING_BY_CODE.items():
        start = meaning.start_class.value if meaning.start_class else "none yet"
        retry = "yes" if meaning.retryable else "no"
        yield (
            f"| {code:d} | `{code.name}` | {start} | {meaning.status} | {retry} "
            f"| {meaning.text} |\n"
        )
