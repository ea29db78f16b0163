"""Tests the percentiles, the bounded memory and the plots of the histograms."""

import itertools
import tracemalloc

import hypothesis
import pytest
from hypothesis import strategies

from burdockgate.process import histograms

hypothesis.settings.register_profile("ci", derandomize=True, deadline=None)
hypothesis.settings.load_profile("ci")


@hypothesis.given(
    strategies.lists(strategies.integers(1, 3_600_000_000), min_size=1, max_size=50)
)
def test_percentiles_are_those_of_the_library(values):
    """The module's own search must find the same percentiles as the library's."""
    recorded = histograms.Histograms()
    for value in values:
        recorded.record("wait", "a", value / 1e6)
    (summary,) = recorded.summary()
    histogram = recorded.find("wait", "a")
    found = {50: summary.p50, 90: summary.p90, 99: summary.p99, 99.9: summary.p999}
    for percentile, ms in found.items():
        exact = min(histogram.get_value_at_percentile(percentile), max(values))
        assert ms == exact / 1000
        rank = max(1, int(percentile / 100 * len(values) + 0.5))
        assert ms == pytest.approx(sorted(values)[rank - 1] / 1000, rel=0.01)
    assert (summary.count, summary.max) == (len(values), max(values) / 1000)


LIMITS = [(-1, 0.001), (0, 0.001), (float("nan"), 0.001), (1e9, 3.6e6), (1e999, 3.6e6)]


@pytest.mark.parametrize(("seconds", "ms"), LIMITS)
def test_duration_out_of_range_is_counted_at_the_limit(seconds, ms):
    """The library drops such values, and a stalled task would not be visible."""
    recorded = histograms.Histograms()
    recorded.record("wait", "a", seconds)
    (summary,) = recorded.summary()
    assert (summary.count, summary.max, summary.p50) == (1, ms, ms)


def test_classes_over_the_bound_go_to_other():
    """Callers choose the names of classes, so the number of histograms is bounded."""
    recorded = histograms.Histograms(max_classes=2)
    for name in ("a", "b", "c", "d", "a", "other"):
        recorded.record("wait", name, 0.001)
        recorded.record("run", name, 0.001)
    assert [(s.measure, s.caller_class, s.count) for s in recorded.summary()] == [
        (measure, name, count)
        for measure in ("run", "wait")
        for name, count in (("a", 2), ("b", 1), ("other", 3))
    ]


def test_full_set_stays_below_20_mb():
    """A larger range or more digits would take too much memory of an entry host."""
    tracemalloc.start()
    recorded = histograms.Histograms()
    for name, measure in itertools.product(range(500), ("wait", "run", "total")):
        recorded.record(measure, str(name), 0.05)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(recorded.summary()) == 381 * 3
    assert 381 * 3 * 4 * 3000 < used < 20_000_000


def test_counter_does_not_wrap():
    """The 4-byte counters of the library wrap around to 0 without an error."""
    recorded = histograms.Histograms()
    recorded.record("wait", "a", 0.05)
    recorded.find("wait", "a").record_value(50_000, (1 << 32) - 2)
    recorded.record("wait", "a", 0.05)
    (summary,) = recorded.summary()
    assert (summary.count, summary.p50) == (1, 50)


@pytest.mark.parametrize("width", [10, 40, 80])
def test_plot_fits_and_grows(width):
    """A line that is wider than the terminal would be wrapped and break its bar."""
    recorded = histograms.Histograms()
    for value in range(1, 1000):
        recorded.record("wait", "a" * 90, value / 1000)
    (summary,) = recorded.summary()
    for source in (summary, recorded.find("wait", "a" * 90)):
        _, *rows, _ = lines = histograms.plot(source, width).split("\n")
        assert max(map(len, lines)) <= max(width, 40)
        bars = [row.count("#") for row in rows]
        assert bars == sorted(bars)
        assert len(rows[-1]) == max(width, 40)
        assert "100 %     999.000 ms #" in rows[-1]


def test_plot_of_equal_or_no_values():
    """A scale of length 0 must not cause a division by zero."""
    recorded = histograms.Histograms()
    recorded.record("wait", "a", 0.001)
    histogram = recorded.find("wait", "a")
    assert "1.000 ms #" in histograms.plot(histogram, 60)
    histogram.reset()
    assert histograms.plot(histogram, 60) == "0 values"
