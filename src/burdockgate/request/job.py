"""A caller's job and its tasks, and the checks of the JSON body."""

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

# The body, its task list and the task itself enclose each payload.
_ENVELOPE_DEPTH = 3
_KEY = re.compile(rf"[\x21-\x7e]{{1,{KEY_LIMIT_CHARS}}}")
_KEY_ALLOWED = f"1 to {KEY_LIMIT_CHARS} visible ASCII characters"
_CONTROL = re.compile(r"[\x00-\x1f\x7f-\x9f\u2028\u2029]")
# Possessive repeats keep long strings from filling the matcher's backtrack stack.
_STRING = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"', re.DOTALL)
_BRACKETS = bytes.maketrans(b"[]{}", b"()()")
_NO_BRACKETS = bytes(set(range(256)) - set(b"[]{}"))
_PATH = re.compile(r"^(.*?)(?: - at `(?:key in )?\$(.*)`)?$", re.DOTALL)
_STEP = re.compile(r"\.([A-Za-z_]+)|\[(\d+)\]")


@attrs.frozen
class Limits:
    """Limits of one submission.

    :param body_bytes: largest body.
    :param max_tasks: most tasks of one job.
    :param default_deadline_s: deadline of a body that names none, in seconds.
    :param max_deadline_s: longest deadline that a body may name, in seconds.
    """

    body_bytes: int
    max_tasks: int
    default_deadline_s: float
    max_deadline_s: float


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


def parse(body: bytes, key: str | None, limits: Limits) -> JobRequest:
    """Return the submission that a JSON body and an idempotency key describe.

    Payloads stay JSON text. The nesting depth of the body, payloads included, is
    at most ``DEPTH_LIMIT``. The digest covers the service, the class, whether the
    job is repeatable, and the text of the payloads. It leaves out the deadline,
    because a caller that submits again has less time left and still means the same
    job, and the declared sizes, because they are only estimates.

    :param body: the request body.
    :param key: the idempotency key; ``None`` when the request has none.
    :raises errors.RequestError: when the body or the key is not valid.
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
    """Return an idempotency key that is valid.

    :param key: the key; ``None`` when the request has none.
    :raises errors.RequestError: when it is missing or not valid.
    """
    if key is None:
        raise _invalid(f"Idempotency-Key is missing, allowed are {_KEY_ALLOWED}")
    if not _KEY.fullmatch(key):
        raise _invalid(f"Idempotency-Key: {shorten(key)}, allowed are {_KEY_ALLOWED}")
    return key


def too_large(size: int, limits: Limits) -> errors.RequestError:
    """Return the error for a body over the limit.

    :param size: size of the body in bytes, as far as it is known.
    :param limits: the limits in force.
    """
    return errors.RequestError(
        codes.Code.TOO_LARGE,
        f"body: at least {size} bytes, allowed are {limits.body_bytes}",
    )


def shorten(value: object) -> str:
    """Return a value as printable ASCII text of bounded length for an error line.

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
    """Return a text as one line of printable ASCII of bounded length.

    :param text: the text, which may quote a caller's input.
    """
    line = ascii(text)[1:-1]
    return line if len(line) <= 200 else line[:197] + "..."


def _raise_validation_error(body: bytes, text: str) -> NoReturn:
    """Raise the error for a body of the wrong shape, with the value at fault.

    The decoder names the path and what it expected, but not the value.
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
    """Return a guest name that is valid.

    :param guest: the name.
    :raises errors.RequestError: when it is not valid.
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
    """Return whether valid JSON text is nested deeper than allowed.

    Each round removes the innermost brackets, so the number of rounds is the depth.
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
    # Lengths before the parts keep two different lists from hashing as one text.
    parts = [decoded.service.encode(), decoded.caller_class.encode()]
    parts += [task.payload for task in tasks]
    lengths = ",".join(map(str, map(len, parts)))
    hasher = xxhash.xxh3_128(f"{decoded.repeatable:d}:{lengths}:".encode())
    hasher.update(b"".join(parts))
    return hasher.digest()
