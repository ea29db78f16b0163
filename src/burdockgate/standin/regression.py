"""Least squares fits of measured points, with their spread over repetitions."""

from __future__ import annotations

import statistics
from collections.abc import Iterator, Mapping, Sequence

import attrs

HEADER = (
    "measure",
    "against",
    "sizes",
    "slope",
    "slope min to max",
    "at size 0",
    "values at the sizes",
    "largest residual",
)


@attrs.frozen
class FittedLine:
    """A line that was fitted to points.

    :param slope: change of the value for each unit of size.
    :param intercept: value of the line at size 0.
    :param residual: largest distance of a point from the line.
    """

    slope: float
    intercept: float
    residual: float


@attrs.frozen
class Series:
    """Values of one measure at all sizes.

    :param name: what was measured, with its unit.
    :param parameter: what the size counts.
    :param values_by_size: values of the repetitions, in the order of the seeds.
    """

    name: str
    parameter: str
    values_by_size: Mapping[int, Sequence[float]]


def fit_line(points: Sequence[tuple[float, float]]) -> FittedLine:
    """Return the least squares line through points.

    :param points: sizes and values, with at least two different sizes.
    """
    sizes, values = zip(*points, strict=True)
    slope, start = statistics.linear_regression(sizes, values)
    residual = max(abs(value - start - slope * size) for size, value in points)
    return FittedLine(slope, start, residual)


def fit_each_repetition(series: Series) -> list[FittedLine]:
    """Return the fitted line of each repetition.

    :param series: a series with the same number of values at each size.
    """
    values_by_size = series.values_by_size
    sizes = list(values_by_size)
    return [
        fit_line(list(zip(sizes, values, strict=True)))
        for values in zip(*values_by_size.values(), strict=True)
    ]


def markdown_table(all_series: Sequence[Series]) -> Iterator[str]:
    """Yield the lines of a Markdown table with one row for each series.

    The residual is the largest of all repetitions, as a share of the largest value.

    :param all_series: the series.
    """
    yield _row(HEADER)
    yield _row(["---"] * len(HEADER))
    for series in all_series:
        fits = fit_each_repetition(series)
        slopes = [fit.slope for fit in fits]
        peak = max(
            abs(value) for values in series.values_by_size.values() for value in values
        )
        residual = max(fit.residual for fit in fits) / peak if peak else 0.0
        medians = map(statistics.median, series.values_by_size.values())
        yield _row(
            [
                series.name,
                series.parameter,
                ", ".join(map(str, series.values_by_size)),
                format_number(statistics.median(slopes)),
                f"{format_number(min(slopes))} to {format_number(max(slopes))}",
                format_number(statistics.median(fit.intercept for fit in fits)),
                ", ".join(map(format_number, medians)),
                f"{residual:.0%}",
            ]
        )


def format_number(value: float) -> str:
    """Return a number with three significant digits and no exponent.

    :param value: the number.
    """
    if value == 0 or abs(value) < 1e-9:
        return "0"
    digits = 0
    while abs(value) * 10**digits < 100 and digits < 6:
        digits += 1
    text = f"{value:.{digits}f}"
    return text.rstrip("0").rstrip(".") if "." in text else text


def _row(cells: Sequence[str]) -> str:
    return f"| {' | '.join(cells)} |"
