"""HDR histograms of durations per measure and class of callers."""

from __future__ import annotations

import bisect
import itertools
import math
from collections.abc import Iterable

import attrs
from hdrh import histogram as hdr

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
DIGITS = 2
MAX_CLASSES = 380
OTHER_CLASS = "other"
# With this range, 2 digits and 4 bytes a histogram takes 14 KB, so that 380 classes
# with 3 measures take 16 MB. With 8 bytes they take 31 MB, over the limit of 20 MB.
_COUNTER_BYTES = 4
_LARGEST_COUNT = (1 << 8 * _COUNTER_BYTES) - 1
_US_PER_S = 1_000_000
_US_PER_MS = 1000
_SUMMARY_PERCENTILES = (50.0, 90.0, 99.0, 99.9)
_PLOT_PERCENTILES = (10.0, 25.0, 50.0, 75.0, 90.0, 95.0, 99.0, 99.9, 99.99, 100.0)
_PLOT_MIN_WIDTH = 40


@attrs.frozen
class Summary:
    """Percentiles of one measure and class, in ms; ``max`` is exact."""

    measure: str
    caller_class: str
    count: int
    p50: float
    p90: float
    p99: float
    p999: float
    max: float


class Histograms:
    """Histograms from 1 us to 1 h with 2 significant digits, made at first use.

    :param max_classes: classes that get histograms of their own; later ones are
        recorded under the class "other", so that callers cannot fill the memory.
    """

    def __init__(self, max_classes: int = MAX_CLASSES) -> None:
        self._max_classes = max_classes
        self._classes: set[str] = set()
        self._histogram_by_key: dict[tuple[str, str], hdr.HdrHistogram] = {}

    def record(self, measure: str, caller_class: str, seconds: float) -> None:
        """Record a duration.

        :param measure: name of what was measured; the program has a few.
        :param seconds: the duration; below 1 us it counts as 1 us and above 1 h as 1 h.
        """
        histogram = self.find(measure, caller_class)
        if histogram is None:
            histogram = self._make(measure, caller_class)
        if histogram.total_count >= _LARGEST_COUNT:
            # A counter would wrap around to 0. At 3,000 records a second this takes
            # 16 days; the histogram then begins again.
            histogram.reset()
        microseconds = int(max(0.0, min(seconds, 3600.0)) * _US_PER_S + 0.5)
        histogram.record_value(max(LOWEST_US, microseconds))

    def find(self, measure: str, caller_class: str) -> hdr.HdrHistogram | None:
        """Return the histogram of a measure and class, in us; ``None`` when unused.

        :param caller_class: a class, or "other" for those over the bound.
        """
        return self._histogram_by_key.get((measure, caller_class))

    def summary(self) -> list[Summary]:
        """Return one summary per histogram, ordered by measure and class.

        The full set of 380 classes with 3 measures takes about 160 ms.
        """
        return [
            _summary(*key, histogram)
            for key, histogram in sorted(
                self._histogram_by_key.items(), key=lambda item: item[0]
            )
        ]

    def _make(self, measure: str, caller_class: str) -> hdr.HdrHistogram:
        if caller_class not in self._classes and caller_class != OTHER_CLASS:
            if len(self._classes) < self._max_classes:
                self._classes.add(caller_class)
            else:
                caller_class = OTHER_CLASS
        key = (measure, caller_class)
        if key not in self._histogram_by_key:
            self._histogram_by_key[key] = hdr.HdrHistogram(
                LOWEST_US, HIGHEST_US, DIGITS, word_size=_COUNTER_BYTES
            )
        return self._histogram_by_key[key]


def plot(source: Summary | hdr.HdrHistogram, width: int) -> str:
    """Return the percentile distribution as text, one bar per percentile.

    The bars have a logarithmic scale, which the last line names.

    :param source: a summary, or a histogram in us, which gives more percentiles.
    :param width: most characters per line; below 40 it counts as 40.
    """
    if isinstance(source, Summary):
        title = f"{source.measure}, class {source.caller_class}: {source.count} values"
        tail = (source.p50, source.p90, source.p99, source.p999, source.max)
        points = list(zip((*_SUMMARY_PERCENTILES, 100.0), tail, strict=True))
        count = source.count
    else:
        count = source.total_count
        title = f"{count} values"
        points = list(
            zip(_PLOT_PERCENTILES, _ms(source, _PLOT_PERCENTILES), strict=True)
        )
    lines = [title] + (_bars(points, max(width, _PLOT_MIN_WIDTH)) if count else [])
    return "\n".join(line[: max(width, _PLOT_MIN_WIDTH)] for line in lines)


def _bars(points: list[tuple[float, float]], width: int) -> list[str]:
    low = 10 ** math.floor(math.log10(points[0][1]))
    high = max(points[-1][1], 1.001 * low)
    # A row is "99.99 % " and "3600000.000 ms ", then the bar.
    room = width - 23
    rows = [
        f"{percentile:>5g} % {ms:>11.3f} ms "
        + "#" * max(1, round(room * math.log(ms / low) / math.log(high / low)))
        for percentile, ms in points
    ]
    return [*rows, f"log scale from {low:g} ms to {high:g} ms"]


def _summary(measure: str, caller_class: str, histogram: hdr.HdrHistogram) -> Summary:
    p50, p90, p99, p999 = _ms(histogram, _SUMMARY_PERCENTILES)
    count, highest = histogram.total_count, histogram.max_value / _US_PER_MS
    return Summary(measure, caller_class, count, p50, p90, p99, p999, highest)


def _ms(histogram: hdr.HdrHistogram, percentiles: Iterable[float]) -> list[float]:
    """Return the values at the percentiles, in ms.

    The library's own search takes more than twice as long, and the loop of a daemon
    stands still meanwhile.
    """
    totals = list(itertools.accumulate(histogram.counts[:]))
    indexes = (
        bisect.bisect_left(totals, histogram.get_target_count_at_percentile(percentile))
        for percentile in percentiles
    )
    tops = (
        histogram.get_highest_equivalent_value(histogram.get_value_from_index(index))
        for index in indexes
    )
    return [min(top, histogram.max_value) / _US_PER_MS for top in tops]
