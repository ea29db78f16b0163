"""Guards the histograms: right percentiles, bounded memory, plots that fit."""

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
    """The search of this module must find what the library's slower one finds."""
    kept = histograms.Histograms()
    for value in values:
        kept.record("wait", "a", value / 1e6)
    (summary,) = kept.summary()
    histogram = kept.find("wait", "a")
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
    """The library drops such values, so a stalled task would not show."""
    kept = histograms.Histograms()
    kept.record("wait", "a", seconds)
    (summary,) = kept.summary()
    assert (summary.count, summary.max, summary.p50) == (1, ms, ms)


def test_classes_over_the_bound_go_to_other():
    """Callers choose the names of classes and must not fill the memory with them."""
    kept = histograms.Histograms(max_classes=2)
    for name in ("a", "b", "c", "d", "a", "other"):
        kept.record("wait", name, 0.001)
        kept.record("run", name, 0.001)
    assert [(s.measure, s.caller_class, s.count) for s in kept.summary()] == [
        (measure, name, count)
        for measure in ("run", "wait")
        for name, count in (("a", 2), ("b", 1), ("other", 3))
    ]


def test_full_set_stays_below_20_mb():
    """Another range or number of digits could take an entry host's memory."""
    tracemalloc.start()
    kept = histograms.Histograms()
    for name, measure in itertools.product(range(500), ("wait", "run", "total")):
        kept.record(measure, str(name), 0.05)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(kept.summary()) == 381 * 3
    assert 381 * 3 * 4 * 3000 < used < 20_000_000


def test_counter_does_not_wrap():
    """The library's counters of 4 bytes wrap to 0 without an error."""
    kept = histograms.Histograms()
    kept.record("wait", "a", 0.05)
    kept.find("wait", "a").record_value(50_000, (1 << 32) - 2)
    kept.record("wait", "a", 0.05)
    (summary,) = kept.summary()
    assert (summary.count, summary.p50) == (1, 50)


@pytest.mark.parametrize("width", [10, 40, 80])
def test_plot_fits_and_grows(width):
    """A line wider than the terminal breaks the bars."""
    kept = histograms.Histograms()
    for value in range(1, 1000):
        kept.record("wait", "a" * 90, value / 1000)
    (summary,) = kept.summary()
    for source in (summary, kept.find("wait", "a" * 90)):
        _, *rows, _ = lines = histograms.plot(source, width).split("\n")
        assert max(map(len, lines)) <= max(width, 40)
        bars = [row.count("#") for row in rows]
        assert bars == sorted(bars)
        assert len(rows[-1]) == max(width, 40)
        assert "100 %     999.000 ms #" in rows[-1]


def test_plot_of_equal_or_no_values():
    """A scale of no length must not divide by zero."""
    kept = histograms.Histograms()
    kept.record("wait", "a", 0.001)
    histogram = kept.find("wait", "a")
    assert "1.000 ms #" in histograms.plot(histogram, 60)
    histogram.reset()
    assert histograms.plot(histogram, 60) == "0 values"
