"""Codec between messages and frames.

A frame is a 4-byte big-endian length and one msgpack array: the number of the
message type, then the fields in their declared order. Decoding checks arity,
types and ranges, so the rest of the program can trust a message's shape.
"""

from __future__ import annotations

import enum
import functools
import struct
import types
import typing
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, Any

import attrs
import msgpack

from burdockgate import assignments, errors

# The messages of claimed jobs are imported at their first use, since building their
# classes delays the start of a process that never sends one.
if TYPE_CHECKING:
    from burdockgate import messages

    Message = messages.Message | assignments.Message

HEADER = struct.Struct(">I")
FRAME_LIMIT_BYTES = 4 * 1024 * 1024
TEXT_LIMIT_CHARS = 4096
INT_LIMIT = 2**63
# Equal nodes are decoded to one object, because each claim names up to 64 agents and
# a claim group member keeps thousands of claims. The cache has space for the 10,000
# workers of a system.
NODE_CACHE_SIZE = 16_384
# More than there are types of messages; numbers without a type take entries too.
MAX_CODECS = 256


@attrs.define
class _LastFrame:
    """The last encoded frame; claims and settlements are sent to several nodes."""

    message: Message | None = None
    frame: bytes = b""


_last_frame = _LastFrame()
_Reader = Callable[[Any], Any]
_Writer = Callable[[Any], Any]


def encode(message: Message) -> bytes:
    """Return the frame of a message.

    :param message: any message of :mod:`burdockgate.messages` or
        :mod:`burdockgate.assignments`.
    :raises errors.WireError: when the frame would be over the size limit.
    """
    # Messages are frozen, so the same object has the same frame.
    if message is not _last_frame.message:
        _last_frame.frame, _last_frame.message = _encode(message), message
    return _last_frame.frame


def _encode(message: Message) -> bytes:
    cls: type = type(message)
    number, write = _numbered_writer(cls)
    body: bytes = msgpack.packb([number, *write(message)])
    if len(body) > FRAME_LIMIT_BYTES:
        raise errors.WireError(
            f"{type(message).__name__}: {len(body)} bytes, allowed are "
            f"{FRAME_LIMIT_BYTES}"
        )
    return HEADER.pack(len(body)) + body


def decode(body: bytes | memoryview) -> Message:
    """Return the message of a frame's body.

    :param body: the frame without its length.
    :raises errors.WireError: when the body is not exactly one valid message.
    """
    try:
        array = msgpack.unpackb(body, use_list=False, strict_map_key=True)
    except (ValueError, msgpack.UnpackException, RecursionError) as error:
        raise errors.WireError(f"frame is not msgpack: {error}") from error
    if not isinstance(array, tuple) or not array or type(array[0]) is not int:
        raise errors.WireError("frame is not an array that begins with a type number")
    is_possible = 0 <= array[0] < MAX_CODECS
    reader = _message_reader(array[0]) if is_possible else None
    if reader is None:
        raise errors.WireError(f"message type {array[0]} is unknown")
    message: Message = reader(array[1:])
    return message


def decode_session_message(body: bytes | memoryview) -> messages.Message:
    """Return the message of a frame of the protocol for claimed jobs.

    :param body: the frame without its length.
    :raises errors.WireError: when it is malformed or of the other protocol.
    """
    message = decode(body)
    if isinstance(message, assignments.Message):
        raise errors.WireError(f"{type(message).__name__} belongs to another protocol")
    return message


class FrameBuffer:
    """Splits a stream of bytes into message bodies.

    :param limit: largest body accepted, in bytes.
    """

    def __init__(self, limit: int = FRAME_LIMIT_BYTES) -> None:
        self._limit = limit
        self._buffer = bytearray()

    @property
    def held_bytes(self) -> int:
        """Bytes of the frame that is not complete."""
        return len(self._buffer)

    @property
    def is_partial(self) -> bool:
        """Whether the bytes received so far end within a frame."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Add bytes and yield each body that is complete.

        :param data: the bytes received.
        :raises errors.WireError: when a length is 0 or over the limit.
        """
        self._buffer += data
        start = 0
        try:
            while len(self._buffer) - start >= HEADER.size:
                (length,) = HEADER.unpack_from(self._buffer, start)
                if not 0 < length <= self._limit:
                    raise errors.WireError(
                        f"frame of {length} bytes, allowed are 1 to {self._limit}"
                    )
                end = start + HEADER.size + length
                if len(self._buffer) < end:
                    break
                body = bytes(self._buffer[start + HEADER.size : end])
                start = end
                yield body
        finally:
            del self._buffer[:start]


def _read_int(value: Any) -> int:
    if type(value) is not int or not 0 <= value < INT_LIMIT:
        raise errors.WireError(f"{value!r:.40} is not an integer from 0 to 2**63-1")
    return value


def _read_float(value: Any) -> float:
    if type(value) not in (int, float) or not 0 <= value < INT_LIMIT:
        raise errors.WireError(f"{value!r:.40} is not a number of at least 0")
    return float(value)


def _read_bool(value: Any) -> bool:
    if type(value) is not bool:
        raise errors.WireError(f"{value!r:.40} is not a boolean")
    return value


def _read_text(value: Any) -> str:
    if type(value) is not str or len(value) > TEXT_LIMIT_CHARS:
        raise errors.WireError(
            f"{value!r:.40} is not a string of at most {TEXT_LIMIT_CHARS} characters"
        )
    return value


def _read_bytes(value: Any) -> bytes:
    if type(value) is not bytes:
        raise errors.WireError(f"{value!r:.40} is not binary")
    return value


def _unchanged(value: Any) -> Any:
    return value


_READER_BY_TYPE: dict[Any, _Reader] = {
    int: _read_int,
    float: _read_float,
    bool: _read_bool,
    str: _read_text,
    bytes: _read_bytes,
}


def _enum_reader(enum_class: type[enum.IntEnum]) -> _Reader:
    member_by_value = {int(member): member for member in enum_class}

    def read(value: Any) -> enum.IntEnum:
        if type(value) is not int or value not in member_by_value:
            raise errors.WireError(f"{value!r:.40} is not a {enum_class.__name__}")
        return member_by_value[value]

    return read


def _tuple_reader(item: _Reader) -> _Reader:
    def read(value: Any) -> tuple[Any, ...]:
        if type(value) is not tuple:
            raise errors.WireError(f"{value!r:.40} is not an array")
        return tuple(map(item, value))

    return read


def _optional_reader(item: _Reader) -> _Reader:
    def read(value: Any) -> Any:
        return None if value is None else item(value)

    return read


@functools.lru_cache(MAX_CODECS)
def _class_reader(cls: type) -> _Reader:
    hints = typing.get_type_hints(cls)
    readers = [_reader(hints[field.name]) for field in attrs.fields(cls)]
    construct: Callable[..., Any] = cls
    if getattr(cls, "IS_SHARED", False):
        construct = functools.lru_cache(NODE_CACHE_SIZE)(cls)

    def read(value: Any) -> Any:
        if type(value) is not tuple or len(value) != len(readers):
            raise errors.WireError(
                f"{cls.__name__} needs an array of {len(readers)} fields"
            )
        return construct(
            *[reader(item) for reader, item in zip(readers, value, strict=True)]
        )

    return read


def _reader(annotation: Any) -> _Reader:
    if annotation in _READER_BY_TYPE:
        return _READER_BY_TYPE[annotation]
    if typing.get_origin(annotation) is tuple:
        return _tuple_reader(_reader(typing.get_args(annotation)[0]))
    if isinstance(annotation, types.UnionType):
        return _optional_reader(_reader(typing.get_args(annotation)[0]))
    if issubclass(annotation, enum.IntEnum):
        return _enum_reader(annotation)
    return _class_reader(annotation)


def _tuple_writer(item: _Writer) -> _Writer:
    return lambda value: [item(entry) for entry in value]


def _optional_writer(item: _Writer) -> _Writer:
    return lambda value: None if value is None else item(value)


def _class_writer(cls: type) -> _Writer:
    hints = typing.get_type_hints(cls)
    fields = [(field.name, _writer(hints[field.name])) for field in attrs.fields(cls)]
    return lambda value: [write(getattr(value, name)) for name, write in fields]


def _writer(annotation: Any) -> _Writer:
    if annotation in _READER_BY_TYPE:
        return _unchanged
    if typing.get_origin(annotation) is tuple:
        return _tuple_writer(_writer(typing.get_args(annotation)[0]))
    if isinstance(annotation, types.UnionType):
        return _optional_writer(_writer(typing.get_args(annotation)[0]))
    if issubclass(annotation, enum.IntEnum):
        return int
    return _class_writer(annotation)


def _class_of_number(number: int) -> type[Message] | None:
    cls = assignments.TYPES.get(number)
    if cls is not None:
        return cls
    from burdockgate import messages

    return messages.TYPES.get(number)


@functools.lru_cache(MAX_CODECS)
def _message_reader(number: int) -> _Reader | None:
    cls: type | None = _class_of_number(number)
    return None if cls is None else _class_reader(cls)


@functools.lru_cache(MAX_CODECS)
def _numbered_writer(cls: type) -> tuple[int, _Writer]:
    """Return the number of a message type, and the writer of its fields."""
    if cls in _NUMBER_BY_ASSIGNMENT:
        return _NUMBER_BY_ASSIGNMENT[cls], _class_writer(cls)
    from burdockgate import messages

    number = next(key for key, value in messages.TYPES.items() if value is cls)
    return number, _class_writer(cls)


_NUMBER_BY_ASSIGNMENT: dict[type, int] = {
    cls: number for number, cls in assignments.TYPES.items()
}
