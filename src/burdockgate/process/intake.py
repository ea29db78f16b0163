"""Budgets of bytes and connections for the clients of a process.

The process does not control its clients, so what they have not finished sending, or do
not read, is bounded. When a budget is full, the client with the least progress gives
way and not the one that has just come.
"""

from __future__ import annotations

import abc
import collections
import enum
import heapq
from collections.abc import Iterable, Iterator

import attrs

from burdockgate import clock

MIB = 1 << 20
# Used when the settings do not contain them.
DEFAULT_MEMORY_MB = 256
DEFAULT_MAX_FDS = 4096
# Interpreter, modules and allocator.
BASE_BYTES = 48 * MIB
# Of the rest, shares for requests that are still coming in, for connections, and for
# unfinished frames of peers. What remains is for jobs in progress.
REQUEST_SHARE = 0.25
CONNECTION_SHARE = 0.5
PEER_SHARE = 0.125
# Room for a few of the largest legal requests.
MIN_REQUEST_BYTES = 2 * MIB
# Room for the largest frame, 4 MiB, of a peer beside that of another one.
MIN_PEER_BYTES = 9 * MIB
# Memory of one connection beside its request: objects, write buffer, and the bytes
# that the kernel holds unread.
CONNECTION_BYTES = 48 << 10
RECEIVE_BUFFER_BYTES = 32 << 10
WRITE_BUFFER_BYTES = 16 << 10
# Peers may be in another zone; a smaller window would slow down their large frames.
PEER_RECEIVE_BUFFER_BYTES = 64 << 10
# Descriptors that the system keeps for files.
FILE_FDS = 200
# Part of the sockets that callers cannot take: peers, the store and the other
# endpoints. Each of three endpoints gets a sixth of the reserve, and peers get half.
RESERVE_SHARE = 0.25
RESERVED_ENDPOINTS = 6
PEER_CONNECTION_SHARE = 0.5
# A request without progress for this time gives way before those that make progress,
# which is looked at once per second.
STALL_S = 3.0
# Part of the connections that are closed together when there is no room, so that the
# next new ones need no search.
BATCH_SHARE = 1 / 32


class Reason(enum.Enum):
    """Why a client was refused or disconnected."""

    HEAD = "head too large"
    TARGET = "target too long"
    FIELDS = "too many fields"
    TRAILERS = "trailers too large"
    BLANK = "blank lines"
    PIPELINE = "too many pipelined requests"
    MALFORMED = "malformed request"
    SLOW_HEAD = "slow head"
    SLOW_BODY = "slow body"
    UNREAD = "response not read"
    DISCARDED = "body goes on after the response"
    IDLE = "idle"
    MEMORY = "memory budget full"
    CONNECTIONS = "connection budget full"


@attrs.frozen
class Limits:
    """Limits of the clients of one process."""

    # Memory of the machine.
    memory_mb: float = DEFAULT_MEMORY_MB
    # Descriptors of the process.
    max_fds: float = DEFAULT_MAX_FDS
    # Bytes of a request's first line and header fields together.
    head_bytes: float = 16_384
    # Bytes of the request target.
    target_bytes: float = 8_192
    # Number of header fields, and of trailer fields.
    header_fields: float = 100
    # Bytes between two pieces of a chunked body, and of the trailers after it.
    trailer_bytes: float = 8_192
    # Bytes of empty lines before a request.
    blank_bytes: float = 1_024
    # Requests that a connection may send before the response to the first.
    pipelined_requests: float = 16
    # Time for a whole head, in seconds; on a new connection, from its start.
    head_s: float = 10.0
    # Least pace of a body, in bytes per second, and the time over which it is measured.
    body_bytes_per_s: float = 512.0
    body_s: float = 10.0
    # Time without any progress of a response that the client does not read, in seconds.
    response_s: float = 10.0
    # Time without a request after a response, in seconds.
    idle_s: float = 60.0

    @property
    def _free_bytes(self) -> int:
        return max(MIB, int(self.memory_mb * MIB) - BASE_BYTES)

    @property
    def request_bytes(self) -> int:
        """Budget for requests that are coming in and responses that are not read."""
        return max(MIN_REQUEST_BYTES, int(self._free_bytes * REQUEST_SHARE))

    @property
    def _reserve(self) -> int:
        return int(max(0, self.max_fds - FILE_FDS) * RESERVE_SHARE)

    @property
    def caller_connections(self) -> int:
        """Budget of connections at the address for callers."""
        by_descriptors = int(self.max_fds) - FILE_FDS - self._reserve
        by_memory = int(self._free_bytes * CONNECTION_SHARE) // CONNECTION_BYTES
        return max(1, min(by_descriptors, by_memory))

    @property
    def reserved_connections(self) -> int:
        """Budget of connections at each of the other endpoints."""
        return max(2, self._reserve // RESERVED_ENDPOINTS)

    @property
    def peer_connections(self) -> int:
        """Connections of peers up to which one without a hello never gives way."""
        return max(2, int(self._reserve * PEER_CONNECTION_SHARE))

    @property
    def min_strangers(self) -> int:
        """Connections without a hello that are kept beside any number of peers."""
        return self.reserved_connections

    @property
    def peer_bytes(self) -> int:
        """Budget for unfinished frames of peers."""
        return max(MIN_PEER_BYTES, int(self._free_bytes * PEER_SHARE))


class Phase(enum.Enum):
    """What a connection waits for."""

    # Before the first byte of the first request.
    NEW = enum.auto()
    IDLE = enum.auto()
    HEAD = enum.auto()
    BODY = enum.auto()
    SERVED = enum.auto()
    CLOSING = enum.auto()


_HEAD_PHASES = (Phase.NEW, Phase.HEAD)


class Client(abc.ABC):
    """A connection that may have to give way."""

    @abc.abstractmethod
    def give_way(self, reason: Reason) -> None:
        """Refuse the request that is coming in, if there is one, and disconnect."""


@attrs.define(eq=False)
class Usage:
    """What one connection uses."""

    client: Client
    endpoint: str
    # Time of the last progress: a new phase, or a body or response at the least pace.
    progress_at: float
    phase: Phase = Phase.NEW
    # Bytes in the parser, in the body of an unfinished request, and not yet sent.
    held_bytes: int = 0
    # Bytes of a body received since the last progress.
    received_bytes: int = 0
    # Bytes of the response that the client has not read; 0 while it keeps up.
    unsent_bytes: int = 0
    # When the client stopped reading; ``None`` while it keeps up.
    blocked_at: float | None = None

    def enter(self, phase: Phase, now: float) -> None:
        """Begin a phase, which is progress."""
        self.phase = phase
        self.progress_at = now
        self.received_bytes = 0

    @property
    def may_give_way(self) -> bool:
        """Whether no whole request is in progress, or its response is not read."""
        return self.phase is not Phase.SERVED or self.blocked_at is not None


class Intake:
    """Decides which clients are refused or disconnected.

    The caller closes the connections that a method returns; each of them stops counting
    at :meth:`disconnect`.

    :param limits: the limits of the process.
    :param time: a steady clock.
    """

    def __init__(self, limits: Limits, time: clock.Clock) -> None:
        self.limits = limits
        self._time = time
        self._usages_by_endpoint: dict[str, set[Usage]] = {}
        self.held_bytes = 0
        self._counts_by_endpoint: dict[str, collections.Counter[Reason]] = {}

    def connect(
        self, client: Client, endpoint: str, max_connections: int
    ) -> tuple[Usage, list[Usage], bool]:
        """Count a new connection.

        :param client: the connection.
        :param endpoint: name of the listening address.
        :param max_connections: budget of the endpoint.
        :returns: its usage; the connections that give way to it; and whether there is
            room, which is not so while all others have a request in progress.
        """
        usages = self._usages_by_endpoint.setdefault(endpoint, set())
        victims: list[Usage] = []
        has_room = len(usages) < max_connections
        if not has_room:
            victims = heapq.nsmallest(
                max(1, int(max_connections * BATCH_SHARE)),
                (usage for usage in usages if usage.may_give_way),
                key=lambda usage: usage.progress_at,
            )
            has_room = bool(victims)
        usage = Usage(client, endpoint, self._time.now())
        usages.add(usage)
        return usage, victims, has_room

    def disconnect(self, usage: Usage) -> None:
        """Stop counting a connection."""
        self._usages_by_endpoint[usage.endpoint].discard(usage)
        self.held_bytes -= usage.held_bytes
        usage.held_bytes = 0

    def hold(self, usage: Usage, held_bytes: int) -> Iterator[Usage]:
        """Set the bytes that a connection holds; yield connections that give way.

        Unless the caller disconnects each yielded connection, the iteration ends early.

        :param usage: the connection, which may give way itself.
        :param held_bytes: all bytes that it holds now.
        """
        self.held_bytes += held_bytes - usage.held_bytes
        usage.held_bytes = held_bytes
        while self.held_bytes > self.limits.request_bytes:
            victim = self._largest()
            if victim is None:
                return
            yield victim
            if victim.held_bytes:
                return

    def _largest(self) -> Usage | None:
        stalled_since = self._time.now() - STALL_S
        return max(
            (
                usage
                for usages in self._usages_by_endpoint.values()
                for usage in usages
                if usage.held_bytes and usage.may_give_way
            ),
            key=lambda usage: (usage.progress_at < stalled_since, usage.held_bytes),
            default=None,
        )

    def overdue(self, endpoint: str) -> list[tuple[Usage, Reason]]:
        """Return the connections of an endpoint whose time has run out, with the cause.

        Meant to be called once per second.
        """
        now = self._time.now()
        usages = self._usages_by_endpoint.get(endpoint, ())
        return list(self._find_overdue(usages, now))

    def _find_overdue(
        self, usages: Iterable[Usage], now: float
    ) -> Iterator[tuple[Usage, Reason]]:
        limits = self.limits
        for usage in usages:
            waited_s = now - usage.progress_at
            if usage.blocked_at is not None:
                if now - usage.blocked_at > limits.response_s:
                    yield usage, Reason.UNREAD
            elif usage.phase is Phase.IDLE and waited_s > limits.idle_s:
                yield usage, Reason.IDLE
            elif usage.phase in _HEAD_PHASES and waited_s > limits.head_s:
                yield usage, Reason.SLOW_HEAD
            elif usage.phase is Phase.CLOSING and waited_s > limits.response_s:
                yield usage, Reason.UNREAD
            elif usage.phase is Phase.BODY:
                if usage.received_bytes >= limits.body_bytes_per_s * waited_s:
                    usage.enter(Phase.BODY, now)
                elif waited_s > limits.body_s:
                    yield usage, Reason.SLOW_BODY

    def clients(self, endpoint: str) -> list[Client]:
        """Return the connections of an endpoint."""
        return [usage.client for usage in self._usages_by_endpoint.get(endpoint, ())]

    def count(self, endpoint: str, reason: Reason) -> None:
        """Count a refused or disconnected client."""
        counts = self._counts_by_endpoint.setdefault(endpoint, collections.Counter())
        counts[reason] += 1

    def take_counts(self, endpoint: str) -> dict[Reason, int]:
        """Return the clients counted at an endpoint since the last call, by reason."""
        return dict(self._counts_by_endpoint.pop(endpoint, {}))
