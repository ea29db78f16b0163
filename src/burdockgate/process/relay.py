"""Copies of the configuration that agents hold for entry hosts.

An entry host that cannot reach the store, or has just started, asks an agent for the
configuration. A configuration can have 250 KB and a link 2 Mbit/s, so copies are
compressed, one is requested at a time, and an agent gets one of each version.
"""

from __future__ import annotations

import random
import zlib

from burdockgate import assignments, clock, errors

# At the fastest level, 209 KB of 1,118 routes shrink to 22 KB in 1 ms.
COMPRESSION_LEVEL = 1
MAX_BODY_BYTES = 64 * 1024 * 1024
# Number of an entry host's agents that hold each version. An agent serves a part of the
# entry hosts; with several, some remain when a zone is lost.
COPIES = 4
# Entry hosts get a new version at the same time. They send copies at random times
# within this span, so that most of them see that others have done so.
COPY_SPREAD_S = 0.4
# How often the number of copies is checked, since agents come and go.
COPY_CHECK_S = 2.0
# An entry host that reaches the store has a new version before this time.
REQUEST_DELAY_S = 0.25
# Without any version nothing can be served, so the store's answer is hardly awaited.
FIRST_REQUEST_DELAY_S = 0.05
# Time for a copy to arrive before another agent is asked; it doubles with each request.
FIRST_RETRY_S = 1.0
MAX_RETRY_S = 8.0


def pack(version: int, body: bytes) -> assignments.Configuration:
    """Return the message that holds a configuration.

    :param version: its version.
    :param body: the record as read from the store.
    """
    return assignments.Configuration(version, zlib.compress(body, COMPRESSION_LEVEL))


def unpack(message: assignments.Configuration) -> bytes:
    """Return the record in a message.

    :param message: the message.
    :raises errors.WireError: when it is not compressed data of a bounded size.
    """
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(message.body, MAX_BODY_BYTES)
    except zlib.error as error:
        raise errors.WireError(f"configuration {message.version}: {error}") from error
    if not decompressor.eof:
        raise errors.WireError(f"configuration {message.version} is cut or too long")
    return body


class Copy:
    """The newest configuration that an agent has received."""

    def __init__(self) -> None:
        self._configuration: assignments.Configuration | None = None

    @property
    def version(self) -> int:
        """Version of the stored configuration; 0 without one."""
        return self._configuration.version if self._configuration is not None else 0

    def update(self, configuration: assignments.Configuration) -> bool:
        """Store a configuration if it is newer than the stored one.

        :param configuration: the configuration.
        :returns: whether it is newer.
        """
        if configuration.version <= self.version:
            return False
        self._configuration = configuration
        return True

    def drop_older_than(self, version: int) -> bool:
        """Drop the stored configuration if it is older than a version.

        An entry host that starts while the store is down would otherwise bring routes
        into force again that were removed since.

        :param version: version of which other agents hold copies.
        :returns: whether it was dropped.
        """
        if not 0 < self.version < version:
            return False
        self._configuration = None
        return True

    def newer_than(self, version: int) -> assignments.Configuration | None:
        """Return the stored configuration if it is newer than a version.

        :param version: version that an entry host has; 0 for none.
        """
        return self._configuration if self.version > version else None


class Holders:
    """An entry host's knowledge of the versions that agents hold.

    :param time: the clock.
    :param rng: source of random numbers.
    """

    def __init__(self, time: clock.Clock, rng: random.Random) -> None:
        self._time = time
        self._rng = rng
        self._version_by_agent: dict[str, int] = {}
        self._newest = 0
        self._copies_due_at = float("inf")
        self._request_due_at: float | None = None
        self._retry_s = FIRST_RETRY_S

    def record(self, agent: str, version: int) -> None:
        """Record the version that a connected agent holds.

        :param agent: name of the agent.
        :param version: the version; 0 for none.
        """
        self._version_by_agent[agent] = version
        self._newest = max(self._newest, version)

    def forget(self, agent: str) -> None:
        """Forget an agent whose connection has ended.

        :param agent: name of the agent.
        """
        self._version_by_agent.pop(agent, None)

    def handle_applied(self) -> None:
        """Schedule copies of a version that has just come into force here."""
        self._copies_due_at = self._time.now() + self._rng.uniform(0, COPY_SPREAD_S)
        self._request_due_at = None
        self._retry_s = FIRST_RETRY_S

    def collect_receivers(self, version: int) -> list[str]:
        """Return the agents to which a copy is to be sent now.

        :param version: version in force at this entry host.
        """
        now = self._time.now()
        if now < self._copies_due_at:
            return []
        self._copies_due_at = now + COPY_CHECK_S
        lacking = sorted(
            agent for agent, held in self._version_by_agent.items() if held < version
        )
        missing = COPIES - (len(self._version_by_agent) - len(lacking))
        return self._rng.sample(lacking, min(max(0, missing), len(lacking)))

    def has_enough_copies(self, version: int) -> bool:
        """Return whether enough agents hold a version, or a newer one.

        :param version: version in force at this entry host.
        """
        held = sum(1 for known in self._version_by_agent.values() if known >= version)
        return held >= min(COPIES, max(1, len(self._version_by_agent)))

    def next_source(self, version: int) -> str | None:
        """Return the agent to ask for a newer configuration now, if one is due.

        :param version: version in force at this entry host; 0 for none.
        """
        if self._newest <= version:
            self._request_due_at = None
            return None
        now = self._time.now()
        if self._request_due_at is None:
            delay_s = REQUEST_DELAY_S if version else FIRST_REQUEST_DELAY_S
            self._request_due_at = now + delay_s
        if now < self._request_due_at:
            return None
        newest = max(self._version_by_agent.values(), default=0)
        sources = [
            agent for agent, held in self._version_by_agent.items() if held == newest
        ]
        if newest <= version:
            return None
        self._request_due_at = now + self._retry_s
        self._retry_s = min(2 * self._retry_s, MAX_RETRY_S)
        return self._rng.choice(sorted(sources))
