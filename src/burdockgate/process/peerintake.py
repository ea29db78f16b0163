"""Budgets of bytes and connections for the peers of a process.

Anyone can connect to the port for peers. A stranger is a connection that has not said a
valid hello; strangers give way before peers.
"""

from __future__ import annotations

import collections
from collections.abc import Hashable
from typing import Generic, TypeVar

from burdockgate.process import intake

_Link = TypeVar("_Link", bound=Hashable)


class PeerIntake(Generic[_Link]):
    """Decides which connections give way.

    The caller closes the connections that a method returns; they no longer count.

    :param limits: the limits of the process.
    """

    def __init__(self, limits: intake.Limits) -> None:
        self._limits = limits
        self.held_bytes = 0
        # Only links that hold bytes.
        self._held_bytes_by_link: dict[_Link, int] = {}
        # In the order in which they came.
        self._strangers: dict[_Link, None] = {}
        self._peers: set[_Link] = set()
        self._counts: collections.Counter[intake.Reason] = collections.Counter()

    def connect(self, link: _Link) -> list[_Link]:
        """Count a new connection, a stranger.

        :param link: the connection.
        :returns: the strangers that give way to it, those that came first.
        """
        self._strangers[link] = None
        limit = max(
            self._limits.min_strangers, self._limits.peer_connections - len(self._peers)
        )
        victims = list(self._strangers)[: max(0, len(self._strangers) - limit)]
        for victim in victims:
            self._dismiss(victim, intake.Reason.CONNECTIONS)
        return victims

    def introduce(self, link: _Link) -> None:
        """Note that a stranger has said a valid hello; others stay what they are."""
        if link in self._strangers:
            del self._strangers[link]
            self._peers.add(link)

    def hold(self, link: _Link, held_bytes: int) -> list[_Link]:
        """Set the bytes of an unfinished frame.

        :param link: the connection, which may give way itself.
        :param held_bytes: bytes that it holds now.
        :returns: the connections that give way: strangers first, and of them those that
            hold most.
        """
        self._release(link)
        if held_bytes:
            self._held_bytes_by_link[link] = held_bytes
            self.held_bytes += held_bytes
        victims: list[_Link] = []
        while self.held_bytes > self._limits.peer_bytes:
            victim = max(
                self._held_bytes_by_link,
                key=lambda held: (
                    held in self._strangers,
                    self._held_bytes_by_link[held],
                ),
            )
            victims.append(victim)
            self._dismiss(victim, intake.Reason.MEMORY)
        return victims

    def disconnect(self, link: _Link) -> None:
        """Stop counting a connection."""
        self._release(link)
        self._strangers.pop(link, None)
        self._peers.discard(link)

    def _release(self, link: _Link) -> None:
        self.held_bytes -= self._held_bytes_by_link.pop(link, 0)

    def _dismiss(self, link: _Link, reason: intake.Reason) -> None:
        self.disconnect(link)
        self._counts[reason] += 1

    def take_counts(self) -> dict[intake.Reason, int]:
        """Return the connections that gave way since the last call, by reason."""
        counts, self._counts = self._counts, collections.Counter()
        return dict(counts)
