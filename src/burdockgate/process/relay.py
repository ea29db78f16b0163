"""How an agent passes the configuration on to entry hosts that lag behind.

The body of a configuration can have 250 KB, and the link of an entry host can be small.
So the body goes only to an entry host whose renewals show an older version for a while:
one that the store does not reach, or that has just started.
"""

from __future__ import annotations

import random

from burdockgate import assignments, clock

# An entry host that reaches the store has a new version before the first of these. The
# spread lets the others see in its renewals that one agent has sent the body.
LAG_MIN_S = 0.25
LAG_MAX_S = 1.0
# After this time a body that was sent has come, even over a small link.
REPEAT_S = 1.5


class Relay:
    """Keeps the newest configuration and the entry hosts that lag.

    :param time: the clock.
    :param rng: spreads the agents.
    """

    def __init__(self, time: clock.Clock, rng: random.Random) -> None:
        self._time = time
        self._rng = rng
        self._held: assignments.Configuration | None = None
        self._due_at_by_entry: dict[str, float] = {}

    @property
    def version(self) -> int:
        """Version of the configuration held here; 0 without one."""
        return self._held.version if self._held is not None else 0

    def update(self, configuration: assignments.Configuration) -> bool:
        """Keep a configuration unless it is older.

        :param configuration: the configuration.
        :returns: whether it is newer than what was held.
        """
        if configuration.version <= self.version:
            return False
        self._held = configuration
        return True

    def record_version(self, entry: str, version: int) -> None:
        """Note which version an entry host has.

        :param entry: name of the entry host.
        :param version: its version; 0 when it has none.
        """
        if version >= self.version:
            self._due_at_by_entry.pop(entry, None)
        elif entry not in self._due_at_by_entry:
            delay_s = self._rng.uniform(LAG_MIN_S, LAG_MAX_S)
            self._due_at_by_entry[entry] = self._time.now() + delay_s

    def forget(self, entry: str) -> None:
        """Note that an entry host is not connected any more.

        :param entry: its name.
        """
        self._due_at_by_entry.pop(entry, None)

    def due(self) -> list[tuple[str, assignments.Configuration]]:
        """Return the entry hosts that have lagged too long, with what to send them."""
        now = self._time.now()
        entries = [entry for entry, at in self._due_at_by_entry.items() if now >= at]
        if self._held is None:
            return []
        for entry in entries:
            self._due_at_by_entry[entry] = now + REPEAT_S
        return [(entry, self._held) for entry in entries]
