"""Tests of the codec: a frame is decoded to the same message or rejected."""

import subprocess
import sys

import attrs
import hypothesis
import msgpack
import pytest
from hypothesis import strategies

from burdockgate import errors, messages, wire

hypothesis.settings.register_profile("ci", derandomize=True, deadline=None)
hypothesis.settings.load_profile("ci")

NODE = messages.Node("agent-1", 7, "127.0.0.1:7001")
RECORD = messages.ClaimRecord(
    b"j" * 16, 2, 1, NODE, b"d" * 16, (NODE, NODE), 900, True, 300_000
)
SAMPLES = [
    messages.Heartbeat(3, 4),
    messages.Peers((NODE,)),
    messages.ClaimReply(b"j" * 16, 2, messages.Verdict.HELD, 9, RECORD),
    messages.ClaimReply(b"j" * 16, 2, messages.Verdict.GRANTED, 9, None),
    messages.Start(
        b"j" * 16, 1, 0, 1, 7, (messages.TaskStart(0, 1, b'{"a":1}', 5000),)
    ),
    messages.Leave(),
]


@pytest.mark.parametrize("message", SAMPLES, ids=lambda m: type(m).__name__)
def test_round_trip(message):
    frame = wire.encode(message)
    assert list(wire.FrameBuffer().feed(frame)) == [frame[wire.HEADER.size :]]
    assert wire.decode(frame[wire.HEADER.size :]) == message


@hypothesis.given(strategies.binary(max_size=200))
def test_random_bytes_are_rejected_or_decoded(body):
    """Malformed bytes must raise ``WireError``, on which the connection is closed."""
    try:
        message = wire.decode(body)
    except errors.WireError:
        return
    assert attrs.has(type(message))


@hypothesis.given(strategies.data())
def test_frames_are_decoded_whatever_the_split(data):
    """TCP may split a frame at any byte."""
    stream = b"".join(map(wire.encode, SAMPLES))
    buffer = wire.FrameBuffer()
    decoded = []
    while stream:
        size = data.draw(strategies.integers(1, len(stream)))
        decoded += [wire.decode(body) for body in buffer.feed(stream[:size])]
        stream = stream[size:]
    assert decoded == SAMPLES


def test_length_over_limit_is_rejected_before_the_body_arrives():
    """A length over the limit must not make the process buffer that many bytes."""
    with pytest.raises(errors.WireError, match="allowed are 1 to 100"):
        list(wire.FrameBuffer(limit=100).feed(wire.HEADER.pack(101)))


@pytest.mark.parametrize(
    "body",
    [b"\x91\x03", b"\x93\x03\x01\x02\x03", b"\x93\x03\x01\xa1a", b"\x92\x63\x01"],
)
def test_malformed_array_is_rejected(body):
    """Wrong arity, wrong type and an unknown message number are rejected."""
    with pytest.raises(errors.WireError):
        wire.decode(body)


def test_equal_nodes_are_one_object():
    """Guards against a copy of the scope's nodes in every claim record."""
    first, second = (
        wire.decode(wire.encode(messages.Peers((NODE,)))[wire.HEADER.size :])
        for _ in range(2)
    )
    assert first.entries[0] is second.entries[0]
    assert first.entries[0] == NODE


@pytest.mark.parametrize("boot", [True, 7.0, -1])
def test_cached_node_does_not_bypass_the_type_checks(boot):
    """Guards against a cache lookup before the checks: 7.0 equals the boot 7."""
    wire.decode(wire.encode(messages.Peers((NODE,)))[wire.HEADER.size :])
    body = msgpack.packb([2, [[NODE.name, boot, NODE.address]]])
    with pytest.raises(errors.WireError):
        wire.decode(body)


def test_programs_of_the_platform_do_not_import_the_other_protocol():
    """Each of hundreds of restarts built classes and parsers that it never used."""
    imports = (
        "import sys, burdockgate.platform.__main__, burdockgate.platform.worker, "
        "burdockgate.platform.heartbeats, burdockgate.process.agentdaemon; "
        "print(sorted({'burdockgate.messages', 'h11', 'litestar'} & set(sys.modules)))"
    )
    result = subprocess.run(
        [sys.executable, "-c", imports], capture_output=True, check=True, text=True
    )
    assert result.stdout.strip() == "[]"
