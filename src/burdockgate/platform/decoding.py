"""Bounded decoding of JSON that other programs send.

The annotated types bound each number and text by what its field can mean. What passes
them can be added up, sent on between processes and logged without a further check.
"""

from __future__ import annotations

from typing import Annotated, TypeVar

import msgspec

from burdockgate import errors

_T = TypeVar("_T")

# JSON numbers are exact up to this value. It leaves space for sums below the 2**63 of
# the messages between processes.
MAX_INTEGER = 2**53
# Ten thousand processors, a petabyte, and a day. Tasks and workers of this system are
# far below.
MAX_CPU = 10_000_000
MAX_MEMORY_MB = 2**30
MAX_GPU = 100_000
MAX_DURATION_MS = 86_400_000
MAX_NAME_CHARS = 256
MAX_LABELS = 100
# Start of the year 2200 in Unix milliseconds.
MAX_UNIX_MS = 7_258_118_400_000

Integer = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
Cpu = Annotated[int, msgspec.Meta(ge=0, le=MAX_CPU)]
MemoryMb = Annotated[int, msgspec.Meta(ge=0, le=MAX_MEMORY_MB)]
Gpu = Annotated[int, msgspec.Meta(ge=0, le=MAX_GPU)]
UnixMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_UNIX_MS)]
DurationMs = Annotated[float, msgspec.Meta(ge=0, le=MAX_DURATION_MS)]
Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARS)]
Labels = Annotated[list[Name], msgspec.Meta(max_length=MAX_LABELS)]


def decode(content: bytes, kind: type[_T]) -> _T:
    """Return the value that JSON text holds.

    :param content: the text.
    :param kind: type of the value, with its bounds.
    :raises errors.MalformedError: when the text is not JSON, is nested too deeply, or
        the value is of another type or out of its bounds.
    """
    try:
        return msgspec.json.decode(content, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise errors.MalformedError(str(error)) from error
    except RecursionError as error:
        # Also raised for unknown fields, which the decoder has to skip.
        raise errors.MalformedError("nested too deeply") from error
