"""Rate at which an entry host assigns work."""

from __future__ import annotations

import attrs

# Demand changes within seconds; the rate has to follow within one second.
WINDOW_S = 1.0
MIN_WINDOW_S = 0.25


@attrs.define
class Throughput:
    """Core-seconds assigned per second, smoothed over consecutive windows.

    :param window_started_at: start of the current window, in seconds.
    """

    window_started_at: float
    _assigned_core_s: float = 0.0
    _rate: float | None = None

    def add(self, core_s: float) -> None:
        """Count assigned work.

        :param core_s: estimated core-seconds.
        """
        self._assigned_core_s += core_s

    def rate(self, now: float) -> float:
        """Return core-seconds per second; 0 while there is no measurement.

        :param now: the time in seconds.
        """
        age_s = now - self.window_started_at
        if age_s >= WINDOW_S:
            recent = self._assigned_core_s / age_s
            self._rate = recent if self._rate is None else (self._rate + recent) / 2
            self.window_started_at, self._assigned_core_s = now, 0.0
        elif self._rate is None and age_s >= MIN_WINDOW_S:
            return self._assigned_core_s / age_s
        return self._rate or 0.0
