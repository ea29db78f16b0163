"""How much work an entry host gets placed, as a rate."""

from __future__ import annotations

import attrs

# Demand swings within seconds; the rate must follow within one.
WINDOW_S = 1.0
MIN_AGE_S = 0.25


@attrs.define
class Throughput:
    """Core-seconds placed per second, over the last window.

    :param begun_at: begin of the present window, in seconds.
    """

    begun_at: float
    _placed_core_s: float = 0.0
    _rate: float | None = None

    def add(self, core_s: float) -> None:
        """Note placed work.

        :param core_s: processors times seconds.
        """
        self._placed_core_s += core_s

    def rate(self, now: float) -> float:
        """Return core-seconds per second; 0 while nothing is known.

        :param now: the time in seconds.
        """
        age_s = now - self.begun_at
        if age_s >= WINDOW_S:
            recent = self._placed_core_s / age_s
            self._rate = recent if self._rate is None else (self._rate + recent) / 2
            self.begun_at, self._placed_core_s = now, 0.0
        elif self._rate is None and age_s >= MIN_AGE_S:
            return self._placed_core_s / age_s
        return self._rate or 0.0
