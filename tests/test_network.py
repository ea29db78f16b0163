"""Tests of streams and connections between nodes, over real sockets."""

import asyncio
import contextlib
import random
import socket
from unittest import mock

import pytest

import builders
from burdockgate import clock, errors, messages, settings, wire
from burdockgate.connection import session, stream
from burdockgate.process import intake, metrics, network

HEARTBEAT = messages.Heartbeat(1, 1)


class Node(network.Handler):
    """A node that records its connection events as text."""

    def __init__(self, name, boot=1, limits=None, **fields):
        self.events = []
        self.time = clock.ManualClock()
        self.counters = metrics.Metrics(settings.StatsdSettings())
        self.hello = builders.hello(name, boot, **fields)
        self.network = network.Network(
            lambda: self.hello,
            self,
            2.5,
            self.time,
            random.Random(1),
            self.counters,
            limits,
        )

    def handle_connect(self, hello):
        self.events.append(f"+{hello.node.name}.{hello.node.boot}")

    def handle_disconnect(self, name):
        self.events.append(f"-{name}")

    def handle_message(self, name, message):
        self.events.append((name, message))

    @property
    def streams(self):
        return list(self.network._link_by_stream)

    def count(self, name):
        return self.counters.snapshot()[name]


async def until(condition):
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.001)


@pytest.fixture
async def start():
    """Return a function that starts a node; all nodes are stopped after the test."""
    async with contextlib.AsyncExitStack() as stack:

        async def begin(name, boot=1, **fields):
            node = Node(name, boot, **fields)
            node.address = await node.network.bind("127.0.0.1:0")
            await node.network.serve()
            stack.push_async_callback(node.network.stop)
            return node

        yield begin


async def connect(first, second):
    first.network.dial(second.address, second.hello.node.name)
    names = (first.hello.node.name, second.hello.node.name)
    await until(lambda: names[1] in first.network.connected_names)
    await until(lambda: names[0] in second.network.connected_names)


async def open_raw(stack, node, data):
    reader, writer = await asyncio.open_connection(*node.address.split(":"))
    stack.callback(writer.close)
    writer.write(data)
    return reader


async def test_messages_arrive_in_order_and_are_counted(start):
    """A lost or reordered message would break the counts of sends and the fences."""
    a, b = await start("a"), await start("b")
    await connect(a, b)
    heartbeats = [messages.Heartbeat(number, 1) for number in range(500)]
    assert all(a.network.send("b", heartbeat) for heartbeat in heartbeats)
    await until(lambda: len(b.events) == 501)
    assert b.events == ["+a.1", *(("a", heartbeat) for heartbeat in heartbeats)]
    assert (a.count("wire.sent"), b.count("wire.received")) == (500, 501)
    assert not a.network.send("c", HEARTBEAT)


@pytest.mark.parametrize("first_dialler", ["a", "b"])
async def test_nodes_that_dial_each_other_keep_the_same_connection(
    start, first_dialler
):
    """If each node closed the connection that the other keeps, none would be left."""
    a, b = await start("a"), await start("b")
    order = (a, b) if first_dialler == "a" else (b, a)
    for own, other in (order, order[::-1]):
        own.network.dial(other.address, other.hello.node.name)
    await until(lambda: len(a.streams) == len(b.streams) == 1 and a.events and b.events)
    await until(
        lambda: "b" in a.network.connected_names and "a" in b.network.connected_names
    )
    (stream_of_a,) = a.streams
    (stream_of_b,) = b.streams
    assert stream_of_a._transport.get_extra_info(
        "peername"
    ) == stream_of_b._transport.get_extra_info("sockname")
    assert a.network._link_by_stream[stream_of_a].dialled_address == b.address
    assert a.network.send("b", HEARTBEAT) and b.network.send("a", HEARTBEAT)
    await until(lambda: ("b", HEARTBEAT) in a.events and ("a", HEARTBEAT) in b.events)


@pytest.mark.parametrize(
    "garbage",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        b"\x00\x00\x00\x00",
        wire.HEADER.pack(3) + b"\xc1\xc1\xc1",
        wire.encode(HEARTBEAT),
        wire.encode(builders.hello("c", protocol=9)),
        wire.encode(builders.hello("c")) * 2,
    ],
    ids=["http", "empty frame", "no msgpack", "no hello", "protocol", "two hellos"],
)
async def test_garbage_closes_only_its_connection(start, garbage):
    """Bytes of another program must not disturb the connections between nodes."""
    a, b = await start("a"), await start("b")
    await connect(a, b)
    with contextlib.ExitStack() as stack:
        reader = await open_raw(stack, b, garbage)
        with contextlib.suppress(ConnectionError):
            await reader.read()
            assert reader.at_eof()
        await until(lambda: len(b.streams) == 1)
    assert b.count("wire.rejected") == 1
    assert a.network.send("b", HEARTBEAT)
    await until(lambda: ("a", HEARTBEAT) in b.events)


async def test_nothing_after_a_malformed_frame_is_handled(start):
    """Frames after a malformed one in the same read cannot be trusted."""
    b = await start("b", role=messages.Role.ENTRY)
    with contextlib.ExitStack() as stack:
        data = wire.encode(builders.hello("c")) + b"\0\0\0\0" + wire.encode(HEARTBEAT)
        await open_raw(stack, b, data)
        await until(lambda: b.events == ["+c.1", "-c"])
    assert b.count("sessions.lost") == 1


async def test_connection_without_hello_is_closed(start):
    """Connections that never send ``Hello`` must not accumulate."""
    b = await start("b")
    with contextlib.ExitStack() as stack:
        await open_raw(stack, b, b"")
        await until(lambda: b.streams)
        for _ in range(5):
            b.time.advance(1.0)
            b.network.close_overdue()
        await asyncio.sleep(0)
        assert len(b.streams) == 1
        b.time.advance(session.HELLO_TIMEOUT_S - 4.9)
        b.network.close_overdue()
        await until(lambda: not b.streams)
    assert b.events == []


async def test_silent_node_is_disconnected_once_after_the_lease(start):
    """A paused node keeps its connections open, so only its silence shows the pause."""
    a, b = await start("a"), await start("b")
    await connect(a, b)
    for _ in range(2):
        b.time.advance(1.2)
        b.network.close_overdue()
    assert "a" in b.network.connected_names
    b.time.advance(0.2)
    b.network.close_overdue()
    await until(lambda: not b.streams)
    assert b.events == ["+a.1", "-a"]


async def test_own_pause_does_not_end_the_peers_leases(start):
    """After a pause of this process, unread frames do not mean that a peer is dead."""
    a, b = await start("a"), await start("b")
    await connect(a, b)
    b.time.advance(9.0)
    b.network.close_overdue()
    b.network.close_overdue()
    await asyncio.sleep(0.01)
    assert b.events == ["+a.1"]
    assert "a" in b.network.connected_names


async def test_restart_under_the_same_name_replaces_the_connection(start):
    """The loss of the older boot is reported once, and before the new boot."""
    b = await start("b")
    await connect(await start("a", boot=1), b)
    newer = await start("a", boot=2)
    await connect(newer, b)
    await until(lambda: len(b.events) == 3 and len(b.streams) == 1)
    assert b.events == ["+a.1", "-a", "+a.2"]
    assert b.network.send("a", HEARTBEAT)
    await until(lambda: ("b", HEARTBEAT) in newer.events)


async def test_node_does_not_connect_to_itself(start):
    """A node that finds its own address among its peers must not connect to itself."""
    a = await start("a")
    a.network.dial(a.address)
    await until(lambda: a.count("wire.received") >= 1)
    await until(lambda: not a.streams)
    assert a.events == []


async def test_dial_is_not_repeated(start):
    """A further connection to a node would replace the one in use."""
    a, b = await start("a"), await start("b")
    a.network.dial(b.address)
    a.network.dial(b.address)
    await until(
        lambda: "b" in a.network.connected_names and "a" in b.network.connected_names
    )
    a.time.advance(9.0)
    a.network.dial(b.address)
    a.network.dial("127.0.0.1:1", "b")
    assert not a.network._dial_task_by_address
    await until(lambda: a.events == ["+b.1"])
    assert (len(a.streams), len(b.streams)) == (1, 1)


async def test_refused_dial_is_tried_again_later(start):
    """A node that has not started yet must be reached after its start."""
    a = await start("a")
    with socket.socket() as closed:
        closed.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{closed.getsockname()[1]}"
        for advance_s, is_tried in ((0, True), (0.4, False), (0.1, True)):
            a.time.advance(advance_s)
            a.network.dial(address)
            assert bool(a.network._dial_task_by_address) == is_tried
            await until(lambda: not a.network._dial_task_by_address)
    a.network.dial("no port")
    await until(lambda: not a.network._dial_task_by_address)


async def test_message_over_the_limit_is_not_sent(start):
    """The peer would reject such a frame and close the connection."""
    a, b = await start("a"), await start("b")
    await connect(a, b)
    huge = messages.Outcome(b"j" * 16, 1, 1, 0, "", (b"x" * 1_000_000,) * 5)
    assert not a.network.send("b", huge)
    assert a.network.send("b", HEARTBEAT)
    await until(lambda: ("a", HEARTBEAT) in b.events)


async def test_stop_writes_queued_messages(start):
    """The last message of a planned stop must not be lost."""
    a, b = await start("a"), await start("b")
    await connect(a, b)
    a.network.send("b", messages.Leave())
    await a.network.stop()
    await until(lambda: b.events == ["+a.1", ("a", messages.Leave()), "-a"])
    assert not b.network.send("a", HEARTBEAT)


async def test_connection_to_a_slow_reader_is_aborted(start, monkeypatch):
    """Messages that a peer does not read must not exhaust the memory."""
    monkeypatch.setattr(stream, "WRITE_BUFFER_LIMIT_BYTES", 1_000_000)
    a = await start("a")
    with contextlib.ExitStack() as stack:
        await open_raw(stack, a, wire.encode(builders.hello("c")))
        await until(lambda: "c" in a.network.connected_names)
        part = messages.Outcome(b"j" * 16, 1, 1, 0, "", (b"x" * 1_000_000,) * 3)
        for _ in range(20):
            a.network.send("c", part)
            await asyncio.sleep(0)
        await until(lambda: not a.streams)
    assert a.events == ["+c.1", "-c"]


@pytest.mark.parametrize(("name", "boot"), [("a", 1), ("z", 2)])
async def test_later_connection_replaces_one_that_may_be_dead(start, name, boot):
    """A peer that dials again, or with another boot, has lost its older connection."""
    b = await start("b")
    with contextlib.ExitStack() as stack:
        if boot == 1:
            await open_raw(stack, b, wire.encode(builders.hello(name)))
        else:
            await connect(b, await start(name))
        await until(lambda: b.events)
        await open_raw(stack, b, wire.encode(builders.hello(name, boot)))
        await until(lambda: len(b.events) == 3 and len(b.streams) == 1)
    assert b.events[:3] == [f"+{name}.1", f"-{name}", f"+{name}.{boot}"]


async def test_frames_on_a_closed_stream_are_dropped():
    """Frames in the same read as an abort come from a peer that was disconnected."""
    receiver = mock.Mock(spec=stream.Receiver)
    connection = stream.Stream(receiver)
    connection.connection_made(mock.Mock(spec=asyncio.Transport))
    receiver.handle_message.side_effect = lambda *_: connection.abort()
    connection.data_received(wire.encode(HEARTBEAT) * 3)
    connection.data_received(wire.encode(HEARTBEAT))
    assert receiver.handle_message.call_count == 1
    assert connection.send(HEARTBEAT) == 0


async def test_frames_on_a_replaced_stream_are_dropped(start):
    """A late message of an older boot must not be taken for one of the newer boot."""
    b = await start("b")
    with contextlib.ExitStack() as stack:
        for boot in (1, 2):
            await open_raw(stack, b, wire.encode(builders.hello("a", boot)))
            await until(lambda: b.events and b.events[-1] == f"+a.{boot}")  # noqa: B023
            if boot == 1:
                (old,) = b.streams
                # The older connection stays registered, as if its end were reported
                # after frames that have been read already.
                b.network._link_by_stream = UndeletableDict(b.network._link_by_stream)
        b.network.handle_message(old, HEARTBEAT, 1)
        assert b.events == ["+a.1", "-a", "+a.2"]


class UndeletableDict(dict):
    """A dictionary whose ``pop`` removes nothing."""

    def pop(self, key, default=None):
        return default


async def test_one_dial_to_an_address_at_a_time(start, monkeypatch):
    """A peer that accepts slowly must not get another connection at each retry."""
    a, pending = await start("a"), asyncio.Event()
    loop, dialled_addresses = asyncio.get_running_loop(), []

    async def connect_slowly(_factory, host, port):
        dialled_addresses.append(f"{host}:{port}")
        await pending.wait()
        raise ConnectionRefusedError

    monkeypatch.setattr(loop, "create_connection", connect_slowly)
    for address in ("10.0.0.1:1", "10.0.0.1:1", "10.0.0.2:1", "10.0.0.1:1"):
        a.network.dial(address)
        a.time.advance(network.DIAL_RETRY_S)
        await asyncio.sleep(0)
    assert dialled_addresses == ["10.0.0.1:1", "10.0.0.2:1"]
    pending.set()
    await until(lambda: not a.network._dial_task_by_address)
    a.network.dial("10.0.0.1:1")
    await until(lambda: len(dialled_addresses) == 3)


@pytest.mark.parametrize("address", ["127.0.0.1:99999", "a\0b:1", "no port", "x:-1"])
async def test_dial_of_an_unusable_address_raises_nothing(start, address):
    """Addresses of peers are not validated, and must not cause an unhandled error."""
    a = await start("a")
    a.network.dial(address)
    task = a.network._dial_task_by_address[address]
    await asyncio.wait({task})
    assert task.exception() is None


async def test_address_in_use_is_a_settings_error(start):
    """The operator gets one line that names the setting, and no traceback."""
    a = await start("a")
    with pytest.raises(errors.SettingsError) as caught:
        await Node("b").network.bind(a.address)
    assert caught.value.problems[0].startswith(f"[node] listen={a.address}: ")


@pytest.mark.parametrize("data", [b"\0\0\0\0", wire.HEADER.pack(1) + b"\xc1"])
async def test_malformed_frame_is_reported_as_a_wire_error(data):
    """Any other exception would leave the connection open without a handler."""
    receiver, transport = mock.Mock(spec=stream.Receiver), mock.Mock()
    connection = stream.Stream(receiver)
    connection.connection_made(transport)
    connection.data_received(data)
    assert isinstance(receiver.handle_rejected.call_args.args[1], errors.WireError)
    assert transport.abort.called and not receiver.handle_truncated.called


AGENT, ENTRY = messages.Role.AGENT, messages.Role.ENTRY


@pytest.mark.parametrize(
    ("own", "peer", "leaves", "lost"),
    [
        (ENTRY, AGENT, False, 1),
        (AGENT, ENTRY, False, 1),
        (ENTRY, ENTRY, False, 1),
        (AGENT, AGENT, False, 0),
        (ENTRY, AGENT, True, 0),
    ],
)
async def test_catchups_and_planned_leaves_do_not_count_as_lost(
    start, own, peer, leaves, lost
):
    """Connections for catch-ups end by timeout, and a planned leave is not a loss."""
    a, b = await start("a", role=own), await start("b", role=peer)
    await connect(b, a)
    if leaves:
        b.network.send("a", messages.Leave())
        await until(lambda: ("b", messages.Leave()) in a.events)
    for _ in range(3):
        a.time.advance(1.2)
        a.network.close_overdue()
    await until(lambda: "-b" in a.events)
    assert a.count("sessions.lost") == lost
    assert a.count("wire.timeouts") == (own is not AGENT or peer is not AGENT)


async def test_strangers_give_way_and_nodes_stay(start):
    """Connections without a hello took the descriptors and the memory of a node."""
    limits = intake.Limits(memory_mb=56, max_fds=300)
    node = await start("a", limits=limits)
    peer = await start("b")
    await connect(peer, node)
    host, port = node.address.split(":")
    clients = [
        socket.create_connection((host, int(port)))
        for _ in range(limits.peer_connections + 4)
    ]
    await until(lambda: node.count("wire.refused") == 5)
    part = wire.HEADER.pack(wire.FRAME_LIMIT_BYTES) + b"a" * (
        wire.FRAME_LIMIT_BYTES - 1
    )
    for client in clients[-4:]:
        await asyncio.to_thread(_send, client, part)
    await until(lambda: node.count("wire.refused") > 5)
    assert "-b" not in node.events
    assert node.network._budgets.held_bytes <= limits.peer_bytes
    for client in clients:
        client.close()


def _send(client, data):
    with contextlib.suppress(OSError):
        client.sendall(data)


async def test_closed_connections_return_what_they_used(start):
    """Nodes that come and go would have used up the budgets."""
    limits = intake.Limits(max_fds=300)
    node = await start("a", limits=limits)
    host, port = node.address.split(":")
    for _ in range(2 * limits.peer_connections):
        client = socket.create_connection((host, int(port)))
        client.sendall(wire.HEADER.pack(wire.FRAME_LIMIT_BYTES) + b"a")
        await until(lambda: node.network._budgets.held_bytes)
        client.close()
        await until(lambda: not node.streams)
        assert node.network._budgets.held_bytes == 0
    assert node.count("wire.refused") == 0
