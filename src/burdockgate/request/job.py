"""A job as a caller submits it, and the validation of its JSON body."""

from __future__ import annotations

import re
from typing import Annotated, Any, NoReturn

import attrs
import msgspec
import xxhash

from burdockgate import codes, errors

NAME_LIMIT_CHARS = 128
KEY_LIMIT_CHARS = 128
DEPTH_LIMIT = 64
EXPECTED_LIMIT_MS = 86_400_000
CORES_LIMIT = 65_536
MEMORY_LIMIT_MB = 2**40
ACCELERATORS_LIMIT = 65_536
DEADLINE_LIMIT_MS = 2**53
SHORTENED_LIMIT_CHARS = 40

# A payload is nested in the body, the list of tasks and its task.
_ENVELOPE_DEPTH = 3
_KEY = re.compile(rf"[\x21-\x7e]{{1,{KEY_LIMIT_CHARS}}}")
_KEY_ALLOWED = f"1 to {KEY_LIMIT_CHARS} visible ASCII characters"
_CONTROL = re.compile(r"[\x00-\x1f\x7f-\x9f\u2028\u2029]")
# Possessive quantifiers prevent long strings from filling the backtracking stack.
_STRING = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"', re.DOTALL)
_BRACKETS = bytes.maketrans(b"[]{}", b"()()")
_NO_BRACKETS = bytes(set(range(256)) - set(b"[]{}"))
_PATH = re.compile(r"^(.*?)(?: - at `(?:key in )?\$(.*)`)?$", re.DOTALL)
_STEP = re.compile(r"\.([A-Za-z_]+)|\[(\d+)\]")


@attrs.frozen
class Limits:
    """Limits of one submission.

    :param body_bytes: largest size of a body.
    :param max_tasks: largest number of tasks in one job.
    :param default_deadline_s: deadline for a body without one, in seconds.
    :param max_deadline_s: longest deadline in a body, in seconds.
    """

    body_bytes: int
    max_tasks: int
    default_deadline_s: float
    max_deadline_s: float


@attrs.frozen
class TaskSpec:
    """One task as declared by the caller.

    :param payload: JSON text for the backend server.
    :param expected_ms: declared run time in ms; 0 when not declared.
    :param cores: number of processors that the task needs.
    :param memory_mb: memory that the task needs, in MB.
    :param accelerators: number of accelerators that the task needs.
    """

    payload: bytes
    expected_ms: float = 0.0
    cores: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0


@attrs.frozen
class JobRequest:
    """A submitted job.

    :param key: the caller's idempotency key.
    :param caller_class: class of callers, for weights and limits in the table.
    :param deadline_ms: time until the deadline, counted from the arrival, in ms.
    :param job: 16-byte job id, from :func:`job_id`.
    :param digest: hash of the body, to detect a key that is reused for another body.
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


def parse(body: bytes, key: str | None, limits: Limits) -> JobRequest:
    """Return the job described by a JSON body and an idempotency key.

    Payloads stay JSON text. The nesting depth of the body, including payloads, is at
    most ``DEPTH_LIMIT``. The digest covers the service, the class, whether the job is
    repeatable, and the text of the payloads. It excludes the deadline, because a caller
    that submits the same job again has less time left, and the declared sizes, because
    they are only estimates.

    :param body: the request body.
    :param key: the idempotency key; ``None`` when the request has none.
    :raises errors.RequestError: if the body or the key is not valid.
    """
    if len(body) > limits.body_bytes:
        raise too_large(len(body), limits)
    key = check_key(key)
    decoded = _decode(body)
    _check_name("guest", decoded.guest)
    _check_name("service", decoded.service)
    _check_name("class", decoded.caller_class)
    _check_count(len(decoded.tasks), limits)
    tasks = tuple(
        TaskSpec(
            _checked_payload(index, task.payload),
            task.expected_ms,
            task.cores,
            task.memory_mb,
            task.accelerators,
        )
        for index, task in enumerate(decoded.tasks)
    )
    return JobRequest(
        decoded.guest,
        key,
        decoded.service,
        decoded.caller_class,
        decoded.repeatable,
        _deadline_ms(decoded.deadline_ms, limits),
        tasks,
        job_id(decoded.guest, key),
        _digest(decoded, tasks),
        len(body),
    )


def check_key(key: str | None) -> str:
    """Return an idempotency key after validating it.

    :param key: the key; ``None`` when the request has none.
    :raises errors.RequestError: if it is missing or not valid.
    """
    if key is None:
        raise _invalid(f"Idempotency-Key is missing, allowed are {_KEY_ALLOWED}")
    if not _KEY.fullmatch(key):
        raise _invalid(f"Idempotency-Key: {shorten(key)}, allowed are {_KEY_ALLOWED}")
    return key


def too_large(size: int, limits: Limits) -> errors.RequestError:
    """Return the error for a body above the size limit.

    :param size: size of the body in bytes, or of the part that was read.
    :param limits: the limits in force.
    """
    return errors.RequestError(
        codes.Code.TOO_LARGE,
        f"body: at least {size} bytes, allowed are {limits.body_bytes}",
    )


def shorten(value: object) -> str:
    """Return a value as printable ASCII text of bounded length, for error messages.

    :param value: any value.
    """
    text = ascii(
        value[: SHORTENED_LIMIT_CHARS + 1] if isinstance(value, str) else value
    )
    return (
        text
        if len(text) <= SHORTENED_LIMIT_CHARS
        else text[: SHORTENED_LIMIT_CHARS - 3] + "..."
    )


def _invalid(detail: str) -> errors.RequestError:
    return errors.RequestError(codes.Code.INVALID_REQUEST, detail)


class _Task(msgspec.Struct, forbid_unknown_fields=True):
    payload: msgspec.Raw
    expected_ms: Annotated[float, msgspec.Meta(ge=0, le=EXPECTED_LIMIT_MS)] = 0.0
    cores: Annotated[float, msgspec.Meta(ge=0, le=CORES_LIMIT)] = 0.0
    memory_mb: Annotated[int, msgspec.Meta(ge=0, le=MEMORY_LIMIT_MB)] = 0
    accelerators: Annotated[int, msgspec.Meta(ge=0, le=ACCELERATORS_LIMIT)] = 0


class _Body(msgspec.Struct, forbid_unknown_fields=True):
    guest: str
    service: str
    tasks: list[_Task]
    caller_class: str = msgspec.field(default="default", name="class")
    repeatable: bool = True
    deadline_ms: (
        Annotated[int, msgspec.Meta(ge=1, le=DEADLINE_LIMIT_MS)] | msgspec.UnsetType
    ) = msgspec.UNSET


_DECODER = msgspec.json.Decoder(_Body)


def _decode(body: bytes) -> _Body:
    try:
        # Raw payloads are not checked for UTF-8 by the decoder.
        body.decode()
        return _DECODER.decode(body)
    except UnicodeDecodeError as error:
        raise _invalid(f"body: byte {error.start} is not UTF-8") from None
    except RecursionError:
        raise _too_deep("body") from None
    except msgspec.ValidationError as error:
        _raise_validation_error(body, str(error))
    except msgspec.DecodeError as error:
        raise _invalid(f"body: {shorten_line(str(error))}, allowed is JSON") from None


def shorten_line(text: str) -> str:
    """Return a text as one line of printable ASCII characters of bounded length.

    :param text: the text; it may contain a caller's input.
    """
    line = ascii(text)[1:-1]
    return line if len(line) <= 200 else line[:197] + "..."


def _raise_validation_error(body: bytes, text: str) -> NoReturn:
    """Raise the error for a body that does not match the schema.

    The decoder's message has the path and what was expected, but not the value, so the
    value is looked up here.
    """
    match = _PATH.match(text)
    reason, path = (match[1], match[2] or "") if match else (text, "")
    field = path.lstrip(".") or "body"
    try:
        value: Any = msgspec.json.decode(body)
        for name, index in _STEP.findall(path):
            value = value[name or int(index)]
        shown = f"{shorten_line(field)}: {shorten(value)}"
    except (ValueError, LookupError, TypeError, RecursionError):
        shown = shorten_line(field)
    raise _invalid(f"{shown}: {shorten_line(reason)}") from None


def _check_name(field: str, value: str) -> None:
    if not 0 < len(value) <= NAME_LIMIT_CHARS or _CONTROL.search(value):
        raise _invalid(
            f"{field}: {shorten(value)}, allowed are 1 to {NAME_LIMIT_CHARS} "
            "characters without control characters"
        )


def check_guest(guest: str) -> str:
    """Return a guest name after validating it.

    :param guest: the name.
    :raises errors.RequestError: if it is not valid.
    """
    _check_name("guest", guest)
    return guest


def _check_count(count: int, limits: Limits) -> None:
    if count == 0:
        raise _invalid(f"tasks: [], allowed are 1 to {limits.max_tasks} tasks")
    if count > limits.max_tasks:
        raise errors.RequestError(
            codes.Code.TOO_MANY_TASKS,
            f"tasks: {count} tasks, allowed are 1 to {limits.max_tasks}",
        )


def _checked_payload(index: int, raw: msgspec.Raw) -> bytes:
    payload = bytes(raw)
    allowed = DEPTH_LIMIT - _ENVELOPE_DEPTH
    if payload.count(b"[") + payload.count(b"{") > allowed and _is_deep(
        payload, allowed
    ):
        raise _too_deep(f"tasks[{index}].payload")
    return payload


def _is_deep(text: bytes, allowed: int) -> bool:
    """Return whether valid JSON text is nested more deeply than allowed.

    Each iteration removes the innermost brackets, so the number of iterations is the
    depth.
    """
    brackets = _STRING.sub(b"", text).translate(_BRACKETS, _NO_BRACKETS)
    for _ in range(allowed):
        if not brackets:
            return False
        brackets = brackets.replace(b"()", b"")
    return bool(brackets)


def _too_deep(field: str) -> errors.RequestError:
    return _invalid(
        f"{field}: nested too deeply, allowed are {DEPTH_LIMIT} levels in the body"
    )


def _deadline_ms(declared: int | msgspec.UnsetType, limits: Limits) -> int:
    if declared is msgspec.UNSET:
        return int(limits.default_deadline_s * 1000)
    longest = int(limits.max_deadline_s * 1000)
    if declared > longest:
        raise _invalid(f"deadline_ms: {declared}, allowed are 1 to {longest}")
    return declared


def _digest(decoded: _Body, tasks: tuple[TaskSpec, ...]) -> bytes:
    # The lengths come first, so that different lists of parts never hash the same text.
    parts = [decoded.service.encode(), decoded.caller_class.encode()]
    parts += [task.payload for task in tasks]
    lengths = ",".join(map(str, map(len, parts)))
    hasher = xxhash.xxh3_128(f"{decoded.repeatable:d}:{lengths}:".encode())
    hasher.update(b"".join(parts))
    return hasher.digest()
