"""Relays the configuration from an agent to entry hosts with an older version.

A configuration can have 250 KB, and the link of an entry host can be slow. So it is
sent only to an entry host whose renewals show an older version for some time, because
the host cannot reach the store or has just started.
"""

from __future__ import annotations

import random

from burdockgate import assignments, clock

# An entry host that reaches the store has a new version before the minimum. The delay
# is random, so that most agents see in a renewal that another agent was faster.
RELAY_DELAY_MIN_S = 0.25
RELAY_DELAY_MAX_S = 1.0
# A configuration has arrived after this time, even over a slow link.
RESEND_S = 1.5


class Relay:
    """Stores the newest configuration and tracks the entry hosts that lack it.

    :param time: the clock.
    :param rng: source of the random delay before a configuration is sent.
    """

    def __init__(self, time: clock.Clock, rng: random.Random) -> None:
        self._time = time
        self._rng = rng
        self._configuration: assignments.Configuration | None = None
        self._due_at_by_entry: dict[str, float] = {}

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

    def record_version(self, entry: str, version: int) -> None:
        """Record the version of an entry host, and schedule a copy if it is older.

        :param entry: name of the entry host.
        :param version: version in force there; 0 when it has none.
        """
        if version >= self.version:
            self._due_at_by_entry.pop(entry, None)
        elif entry not in self._due_at_by_entry:
            delay_s = self._rng.uniform(RELAY_DELAY_MIN_S, RELAY_DELAY_MAX_S)
            self._due_at_by_entry[entry] = self._time.now() + delay_s

    def forget(self, entry: str) -> None:
        """Drop the copy that is due to an entry host, as its connection is lost.

        :param entry: name of the entry host.
        """
        self._due_at_by_entry.pop(entry, None)

    def collect_due(self) -> list[tuple[str, assignments.Configuration]]:
        """Return the entry hosts to send the configuration to now, with it.

        Schedules the next copy, in case an entry host still lacks the version then.
        """
        now = self._time.now()
        entries = [entry for entry, at in self._due_at_by_entry.items() if now >= at]
        if self._configuration is None:
            return []
        for entry in entries:
            self._due_at_by_entry[entry] = now + RESEND_S
        return [(entry, self._configuration) for entry in entries]
