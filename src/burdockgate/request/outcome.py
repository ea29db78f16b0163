"""The possible outcomes of a job, as a union of dataclasses.

Only :class:`Complete` has results, so a partial answer cannot be represented.
"""

from __future__ import annotations

import dataclasses

from burdockgate import codes


@dataclasses.dataclass(frozen=True, slots=True)
class Complete:
    """Every task ran and has a result.

    :param attempt: number of the attempt under the key, from 1.
    :param results: JSON text of each task's result, in the order of the tasks.
    """

    attempt: int
    results: tuple[bytes, ...]
    code: codes.Code = codes.Code.COMPLETE
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The job was accepted and has failed as a whole.

    :param attempt: number of the attempt under the key, from 1.
    :param detail: one line that names the cause.
    """

    attempt: int
    code: codes.Code
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The job was not accepted.

    :param retry_after_s: time after which a retry may succeed, in seconds; 0 for never.
    """

    code: codes.Code
    detail: str
    retry_after_s: float = 0.0
    attempt: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Pending:
    """The job has no outcome yet."""

    attempt: int
    code: codes.Code = codes.Code.PENDING
    detail: str = ""


Outcome = Complete | Failed | Refused | Pending
