"""How a simulated process handles what has waited for it while it stood still."""

from __future__ import annotations

import abc
import collections
import itertools
import random
from collections.abc import Callable

import attrs

from burdockgate.standin import virtualtime

# Duration of a turn of the event loop that reads from many sockets, as measured at
# entry hosts that go on after a stop: from a few callbacks to dozens of requests.
TURN_RANGE_S = (0.0002, 0.003)
# Turns from one read of a caller's connection to the next: a listener's queue is
# accepted in several turns, and a request is read in one or more pieces.
CALLER_TURNS = (1, 1, 2, 3)


@attrs.frozen
class Event:
    """Something that a process handles.

    :param source: connection or timer that it comes from; the events of a source are
        handled in order. Empty for one that is in no order with others.
    """

    action: Callable[[], None]
    source: str = ""


class Connected(Event):
    """A message of another process; one read returns all that have arrived."""


class Requested(Event):
    """What comes from a caller: one event for each read."""


class Ended(Event):
    """The end of a connection; read in a turn after the data before it."""


class Repeated(Event):
    """A timer that is set again when it has fired; it is due at most once."""


class Inbox(abc.ABC):
    """The events that wait for a process which stands still, or has just gone on."""

    @property
    @abc.abstractmethod
    def is_handling(self) -> bool:
        """Whether the process goes on and has not handled all events yet."""

    @abc.abstractmethod
    def put(self, event: Event) -> None:
        """Let an event wait.

        :param event: the event.
        """

    @abc.abstractmethod
    def go_on(self, run: Callable[[Event], None]) -> None:
        """Handle the waiting events, as the process goes on.

        :param run: handles an event; does nothing when the process has ended.
        """

    @abc.abstractmethod
    def stop(self) -> None:
        """Handle nothing before the process goes on, as it stands still again."""

    @abc.abstractmethod
    def clear(self) -> None:
        """Drop all events, as the process has ended."""


class AllAtOnce(Inbox):
    """Handles all events in their order and in one instant."""

    def __init__(self) -> None:
        self._events: list[Event] = []

    @property
    def is_handling(self) -> bool:
        """Never, as it takes no time."""
        return False

    def put(self, event: Event) -> None:
        """Let an event wait.

        :param event: the event.
        """
        self._events.append(event)

    def go_on(self, run: Callable[[Event], None]) -> None:
        """Handle the waiting events.

        :param run: handles an event.
        """
        events, self._events = self._events, []
        for event in events:
            run(event)

    def stop(self) -> None:
        """Handle nothing before the process goes on."""

    def clear(self) -> None:
        """Drop all events."""
        self._events.clear()


class InTurns(Inbox):
    """Handles events in turns of an event loop, in an order drawn by the seed.

    :param time: virtual time.
    :param rng: source of random numbers.
    """

    def __init__(self, time: virtualtime.VirtualClock, rng: random.Random) -> None:
        self._time, self._rng = time, rng
        self._numbers = itertools.count()
        self._events_by_source: dict[str, collections.deque[Event]] = {}
        self._turn = 0
        self._due_turn_by_source: dict[str, int] = {}
        self._is_handling = False
        # Turns that were scheduled before the process stopped again are void.
        self._period = 0

    @property
    def is_handling(self) -> bool:
        """Whether events wait although the process goes on."""
        return self._is_handling

    def put(self, event: Event) -> None:
        """Let an event wait behind those of the same source.

        :param event: the event.
        """
        source = event.source or f"#{next(self._numbers)}"
        waiting = self._events_by_source.setdefault(source, collections.deque())
        if isinstance(event, Repeated):
            waiting.clear()
        if not waiting and isinstance(event, Requested):
            self._due_turn_by_source[source] = self._next_read()
        waiting.append(event)

    def _next_read(self) -> int:
        return self._turn + self._rng.choice(CALLER_TURNS)

    def go_on(self, run: Callable[[Event], None]) -> None:
        """Handle the waiting events in turns.

        :param run: handles an event.
        """
        self._period += 1
        self._is_handling = True
        self._take_turn(run, self._period)

    def _take_turn(self, run: Callable[[Event], None], period: int) -> None:
        if period != self._period:
            return
        self._turn += 1
        batches = [self._read(source) for source in list(self._events_by_source)]
        self._rng.shuffle(batches)
        for event in itertools.chain.from_iterable(batches):
            run(event)
        if period != self._period:
            # An event has ended the process.
            return
        self._is_handling = bool(self._events_by_source)
        if self._is_handling:
            self._time.call_later(
                self._rng.uniform(*TURN_RANGE_S), lambda: self._take_turn(run, period)
            )

    def _read(self, source: str) -> list[Event]:
        """Return the events of a source that are read in this turn."""
        if self._due_turn_by_source.get(source, 0) > self._turn:
            return []
        waiting = self._events_by_source[source]
        batch = [waiting.popleft()]
        while isinstance(batch[-1], Connected) and waiting:
            if not isinstance(waiting[0], Connected):
                break
            batch.append(waiting.popleft())
        if waiting:
            self._due_turn_by_source[source] = self._next_read()
        else:
            del self._events_by_source[source]
            self._due_turn_by_source.pop(source, None)
        return batch

    def stop(self) -> None:
        """Take no further turn before the process goes on."""
        self._period += 1
        self._is_handling = False

    def clear(self) -> None:
        """Drop all events."""
        self.stop()
        self._events_by_source.clear()
        self._due_turn_by_source.clear()
