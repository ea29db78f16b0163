"""A caller's job and its tasks."""

from __future__ import annotations

import attrs
import xxhash

# Members of claim groups that have lost their records wait for this time and the
# key retention before they vote on unknown keys, so it cannot be large.
LONGEST_DEADLINE_S = 300.0


@attrs.frozen
class TaskSpec:
    """One task as the caller declared it.

    :param payload: JSON text for the backend server.
    :param expected_ms: declared run time in ms; 0 when not declared.
    :param cores: processors that the task asks for.
    :param memory_mb: memory that the task asks for, in MB.
    """

    payload: bytes
    expected_ms: float = 0.0
    cores: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0


@attrs.frozen
class JobRequest:
    """One submission.

    :param key: the caller's idempotency key.
    :param caller_class: class of callers that the table may limit.
    :param deadline_ms: time for the answer, counted from the arrival.
    :param job: 16-byte job id, from :func:`job_id`.
    :param digest: hash of the body, to recognise a key used for another body.
    :param size: size of the body in bytes.
    """

    guest: str
    key: str
    service: str
    caller_class: str
    repeatable: bool
    deadline_ms: int
    tasks: tuple[TaskSpec, ...]
    job: bytes
    digest: bytes
    size: int


def job_id(guest: str, key: str) -> bytes:
    """Return the 16-byte id of a job.

    :param guest: the guest's name; it contains no NUL character.
    :param key: the idempotency key.
    """
    return xxhash.xxh3_128_digest(f"{guest}\0{key}".encode())
