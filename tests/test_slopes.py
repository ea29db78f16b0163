"""Tests the measurement of costs behind ``make slopes``."""

import pytest

from burdockgate.standin import probes, regression, slopes


def test_line_through_exact_points():
    """Guards against swapped slope and intercept."""
    found = regression.fit_line([(1, 5.0), (2, 7.0), (4, 11.0)])
    assert (found.slope, found.intercept) == pytest.approx((2.0, 3.0))
    assert found.residual == pytest.approx(0.0, abs=1e-9)


def test_line_with_residual():
    """Guards against a residual that hides a point far from the line."""
    found = regression.fit_line([(0, 0.0), (1, 3.0), (2, 0.0)])
    assert (found.slope, found.intercept) == pytest.approx((0.0, 1.0))
    assert found.residual == pytest.approx(2.0)


def test_spread_is_over_repetitions():
    """Guards against a spread over sizes, which would grow with the slope."""
    series = regression.Series(
        "cost", "agents", {1: [1.0, 2.0, 4.0], 2: [2.0, 4.0, 8.0]}
    )
    assert [
        each.slope for each in regression.fit_each_repetition(series)
    ] == pytest.approx([1, 2, 4])
    row = list(regression.markdown_table([series]))[-1]
    assert row == "| cost | agents | 1, 2 | 2 | 1 to 4 | 0 | 2, 4 | 0% |"


@pytest.mark.parametrize(
    ("value", "text"),
    [(0.0, "0"), (1234.5, "1234"), (100.0, "100"), (0.012345, "0.0123"), (2.5, "2.5")],
)
def test_numbers_have_three_digits_and_no_exponent(value, text):
    """Guards against lost digits of small slopes and lost zeros of round values."""
    assert regression.format_number(value) == text


def test_small_measurement_has_a_row_for_each_value():
    """Guards against a probe that fails, or a table that Markdown would not show."""
    small = (
        probes.Probe("tasks of a job", (1, 2, 3), probes.jobs),
        probes.Probe("voters", (3, 4, 5), probes.claim_group),
    )
    text = slopes.report(small, [1])
    rows = [line for line in text.splitlines() if line.startswith("|")]
    assert len(rows) == 2 + 6 + 1
    assert {row.count("|") for row in rows} == {len(regression.HEADER) + 1}
    assert "| View.group µs | voters | 3, 4, 5 |" in text


def test_view_change_is_measured():
    """The probe ended ``make slopes``, as no agent was sent a record."""
    values = probes.view_change(16, 1)
    assert values["view change: messages of the entry host"] >= 16
    assert values["view change: bytes of the entry host"] > 0
