"""HDR histograms of durations, by measure and class of callers, and their plots."""

from __future__ import annotations

import bisect
import itertools
import math
from collections.abc import Iterable

import attrs
from hdrh import histogram as hdr

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
MAX_CLASSES = 380
OTHER_CLASS = "other"
# With 4-byte counters, this range and 2 digits, a histogram takes 14 KB and the full
# set of 380 classes with 3 measures 16 MB. With 8-byte counters the set takes 31 MB,
# which is over the limit of 20 MB.
_COUNTER_BYTES = 4
_LARGEST_COUNT = (1 << 8 * _COUNTER_BYTES) - 1
_US_PER_S = 1_000_000
_US_PER_MS = 1000
_SUMMARY_PERCENTILES = (50.0, 90.0, 99.0, 99.9)
_PLOT_PERCENTILES = (10.0, 25.0, 50.0, 75.0, 90.0, 95.0, 99.0, 99.9, 99.99, 100.0)
_PLOT_MIN_WIDTH = 40


@attrs.frozen
class Summary:
    """Percentiles of a measure and class in ms, and the exact maximum."""

    measure: str
    caller_class: str
    count: int
    p50: float
    p90: float
    p99: float
    p999: float
    max: float


class Histograms:
    """Histograms from 1 us to 1 h with 2 significant digits, created on first use.

    :param max_classes: number of classes that get histograms of their own; further
        ones are recorded under the class "other", so that callers cannot fill the
        memory with names of classes.
    """

    def __init__(self, max_classes: int = MAX_CLASSES) -> None:
        self._max_classes = max_classes
        self._classes: set[str] = set()
        self._histogram_by_key: dict[tuple[str, str], hdr.HdrHistogram] = {}

    def record(self, measure: str, caller_class: str, seconds: float) -> None:
        """Record a duration.

        :param measure: name of the measured duration, one of a few.
        :param seconds: the duration; values outside 1 us to 1 h count as the limit.
        """
        histogram = self.find(measure, caller_class)
        if histogram is None:
            histogram = self._create(measure, caller_class)
        if histogram.total_count >= _LARGEST_COUNT:
            # Resets before a counter wraps around to 0, which takes 16 days at 3,000
            # records a second.
            histogram.reset()
        microseconds = int(max(0.0, min(seconds, 3600.0)) * _US_PER_S + 0.5)
        histogram.record_value(max(LOWEST_US, microseconds))

    def find(self, measure: str, caller_class: str) -> hdr.HdrHistogram | None:
        """Return the histogram of a measure and class in us; ``None`` without one.

        :param caller_class: a class, or "other" for those beyond ``max_classes``.
        """
        return self._histogram_by_key.get((measure, caller_class))

    def summary(self) -> list[Summary]:
        """Return a summary of each histogram, ordered by measure and class.

        This takes about 160 ms for the full set of 380 classes with 3 measures.
        """
        return [
            _summarize(*key, histogram)
            for key, histogram in sorted(
                self._histogram_by_key.items(), key=lambda item: item[0]
            )
        ]

    def _create(self, measure: str, caller_class: str) -> hdr.HdrHistogram:
        if caller_class not in self._classes and caller_class != OTHER_CLASS:
            if len(self._classes) < self._max_classes:
                self._classes.add(caller_class)
            else:
                caller_class = OTHER_CLASS
        key = (measure, caller_class)
        if key not in self._histogram_by_key:
            self._histogram_by_key[key] = hdr.HdrHistogram(
                LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS, word_size=_COUNTER_BYTES
            )
        return self._histogram_by_key[key]


def plot(source: Summary | hdr.HdrHistogram, width: int) -> str:
    """Return the percentile distribution as text, with one bar per percentile.

    The bars have a logarithmic scale, which the last line states.

    :param source: a summary, or a histogram in us, which gives more percentiles.
    :param width: maximum number of characters in a line; below 40 it counts as 40.
    """
    if isinstance(source, Summary):
        title = f"{source.measure}, class {source.caller_class}: {source.count} values"
        values = (source.p50, source.p90, source.p99, source.p999, source.max)
        points = list(zip((*_SUMMARY_PERCENTILES, 100.0), values, strict=True))
        count = source.count
    else:
        count = source.total_count
        title = f"{count} values"
        points = list(
            zip(
                _PLOT_PERCENTILES,
                _percentiles_ms(source, _PLOT_PERCENTILES),
                strict=True,
            )
        )
    lines = [title] + (_bar_lines(points, max(width, _PLOT_MIN_WIDTH)) if count else [])
    return "\n".join(line[: max(width, _PLOT_MIN_WIDTH)] for line in lines)


def _bar_lines(points: list[tuple[float, float]], width: int) -> list[str]:
    low = 10 ** math.floor(math.log10(points[0][1]))
    high = max(points[-1][1], 1.001 * low)
    # A line starts with "99.99 % " and "3600000.000 ms "; the bar follows.
    bar_width = width - 23
    lines = [
        f"{percentile:>5g} % {ms:>11.3f} ms "
        + "#" * max(1, round(bar_width * math.log(ms / low) / math.log(high / low)))
        for percentile, ms in points
    ]
    return [*lines, f"log scale from {low:g} ms to {high:g} ms"]


def _summarize(measure: str, caller_class: str, histogram: hdr.HdrHistogram) -> Summary:
    p50, p90, p99, p999 = _percentiles_ms(histogram, _SUMMARY_PERCENTILES)
    count, highest = histogram.total_count, histogram.max_value / _US_PER_MS
    return Summary(measure, caller_class, count, p50, p90, p99, p999, highest)


def _percentiles_ms(
    histogram: hdr.HdrHistogram, percentiles: Iterable[float]
) -> list[float]:
    """Return the values at the percentiles, in ms.

    The search of the library takes more than twice as long, and it would block the
    event loop of the daemon for that time.
    """
    totals = list(itertools.accumulate(histogram.counts[:]))
    indexes = (
        bisect.bisect_left(totals, histogram.get_target_count_at_percentile(percentile))
        for percentile in percentiles
    )
    upper_bounds = (
        histogram.get_highest_equivalent_value(histogram.get_value_from_index(index))
        for index in indexes
    )
    return [min(bound, histogram.max_value) / _US_PER_MS for bound in upper_bounds]
