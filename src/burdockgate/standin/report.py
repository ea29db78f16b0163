"""Renders measured runs as one HTML page with inline SVG plots."""

from __future__ import annotations

import html
import itertools
import math
from collections.abc import Iterable, Sequence

import attrs

from burdockgate.standin import arrivals, figures

WIDTH_PX = 720
HEIGHT_PX = 220
MARGIN_PX = 48
TICKS = 5
MAX_POINTS = 2000
COLOURS = ("#1b6ca8", "#c8553d", "#4f7942")
_STYLE = (
    "body{font:14px sans-serif;margin:2em;max-width:800px}"
    "td{padding:0 1em 0 0;vertical-align:top}svg text{font:11px sans-serif}"
)

_Points = Sequence[tuple[float, float]]


@attrs.frozen
class Series:
    """One line or scatter of points in a plot.

    :param name: name in the legend.
    :param points: pairs of x and y.
    :param is_line: whether steps join the points.
    """

    name: str
    points: _Points
    is_line: bool = False


def render_page(
    results: Iterable[tuple[figures.Figures, dict[str, object]]],
) -> str:
    """Return the whole page.

    :param results: figures of each run and their summary.
    """
    parts = "".join(
        f"<h2>{_escape(summary['scenario'])}, seed {_escape(summary['seed'])}, "
        f"policy {_escape(summary['policy'])}</h2>"
        f"{_render_plots(result)}{_render_table(summary)}"
        for result, summary in results
    )
    return (
        '<!doctype html><html lang="en"><meta charset="utf-8">'
        f"<title>burdockgate measure</title><style>{_STYLE}</style>"
        f"<h1>burdockgate measure</h1>{parts}</html>\n"
    )


def _escape(value: object) -> str:
    return html.escape("-" if value is None else str(value))


def _render_table(summary: dict[str, object]) -> str:
    rows = "".join(
        f"<tr><td>{_escape(name)}<td>{_escape(value)}"
        for name, value in summary.items()
    )
    return f"<table>{rows}</table>"


def _render_plots(result: figures.Figures) -> str:
    waits_by_class: dict[str, list[float]] = {name: [] for name in arrivals.CLASSES}
    for job, _, wait in result.waits():
        waits_by_class.setdefault(job.caller_class, []).append(wait)
    waits = [
        Series(name, _percentile_points(values), is_line=True)
        for name, values in waits_by_class.items()
        if values
    ]
    responses = Series("complete jobs", result.response_ratios())
    backlog = Series("tasks", result.backlog(), is_line=True)
    return (
        render_plot("response over ideal, by arrival (s)", [responses])
        + render_plot("waiting tasks over time (s)", [backlog])
        + render_plot("wait from arrival to start (ms), by percentile", waits)
    )


def _percentile_points(values: Sequence[float]) -> _Points:
    ordered = sorted(values)
    return [
        (100 * (index + 1) / len(ordered), value) for index, value in enumerate(ordered)
    ]


def render_plot(title: str, series: Sequence[Series]) -> str:
    """Return one plot as HTML with an SVG element; both axes start at 0.

    :param title: heading of the plot.
    :param series: series to draw; points with infinite values are left out.
    """
    finite = [
        attrs.evolve(item, points=_downsample(list(filter(_is_finite, item.points))))
        for item in series
    ]
    points = [point for item in finite for point in item.points]
    if not points:
        return f"<h3>{_escape(title)}</h3><p>no values</p>"
    x_max = max(x for x, _ in points) or 1.0
    y_max = max(y for _, y in points) or 1.0
    shapes = "".join(
        _render_series(item, x_max, y_max, colour)
        for item, colour in zip(finite, itertools.cycle(COLOURS), strict=False)
    )
    legend = " ".join(
        f'<span style="color:{colour}">{_escape(item.name)}</span>'
        for item, colour in zip(finite, itertools.cycle(COLOURS), strict=False)
    )
    return (
        f"<h3>{_escape(title)}</h3><p>{legend}</p>"
        f'<svg width="{WIDTH_PX}" height="{HEIGHT_PX}" role="img">'
        f"{_render_axes(x_max, y_max)}{shapes}</svg>"
    )


def _is_finite(point: tuple[float, float]) -> bool:
    return all(map(math.isfinite, point))


def _downsample(points: _Points) -> _Points:
    step = math.ceil(len(points) / MAX_POINTS) or 1
    # The last point of a distribution is its maximum, so it is always drawn.
    return [*points[::step], *points[-1:]]


def _to_pixels(x: float, y: float, x_max: float, y_max: float) -> tuple[float, float]:
    return (
        MARGIN_PX + (WIDTH_PX - 2 * MARGIN_PX) * x / x_max,
        HEIGHT_PX - MARGIN_PX / 2 - (HEIGHT_PX - MARGIN_PX) * y / y_max,
    )


def _render_series(series: Series, x_max: float, y_max: float, colour: str) -> str:
    pixels = [_to_pixels(x, y, x_max, y_max) for x, y in series.points]
    if not series.is_line:
        return "".join(
            f'<circle cx="{x:.1f}" cy="{y:.1f}" r="2" fill="{colour}"/>'
            for x, y in pixels
        )
    path = " ".join(f"H{x:.1f}V{y:.1f}" for x, y in pixels)
    x, y = pixels[0] if pixels else (MARGIN_PX, HEIGHT_PX)
    return f'<path d="M{x:.1f} {y:.1f}{path}" fill="none" stroke="{colour}"/>'


def _render_axes(x_max: float, y_max: float) -> str:
    parts = []
    for step in range(TICKS + 1):
        share = step / TICKS
        x, base = _to_pixels(share * x_max, 0.0, x_max, y_max)
        left, y = _to_pixels(0.0, share * y_max, x_max, y_max)
        parts.append(
            f'<text x="{x:.1f}" y="{base + 14:.1f}" text-anchor="middle">'
            f"{share * x_max:.3g}</text>"
            f'<text x="{left - 4:.1f}" y="{y + 4:.1f}" text-anchor="end">'
            f"{share * y_max:.3g}</text>"
            f'<path d="M{left:.1f} {y:.1f}H{WIDTH_PX - MARGIN_PX}" stroke="#ddd"/>'
        )
    return "".join(parts)
