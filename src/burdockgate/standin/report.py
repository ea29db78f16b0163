"""A report of measured runs: one HTML page with inline SVG plots."""

from __future__ import annotations

import html
import itertools
import math
from collections.abc import Iterable, Sequence

import attrs

from burdockgate.standin import arrivals, figures

WIDTH = 720
HEIGHT = 220
MARGIN = 48
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
    """One line or cloud of points of a plot.

    :param is_line: whether the points are joined by steps.
    """

    name: str
    points: _Points
    is_line: bool = False


def page(
    results: Iterable[tuple[figures.Figures, dict[str, object]]],
) -> str:
    """Return the whole page.

    :param results: the runs with their summaries.
    """
    parts = "".join(
        f"<h2>{_text(summary['scenario'])}, seed {_text(summary['seed'])}, "
        f"policy {_text(summary['policy'])}</h2>{_plots(result)}{_table(summary)}"
        for result, summary in results
    )
    return (
        '<!doctype html><html lang="en"><meta charset="utf-8">'
        f"<title>burdockgate measure</title><style>{_STYLE}</style>"
        f"<h1>burdockgate measure</h1>{parts}</html>\n"
    )


def _text(value: object) -> str:
    return html.escape("-" if value is None else str(value))


def _table(summary: dict[str, object]) -> str:
    rows = "".join(
        f"<tr><td>{_text(name)}<td>{_text(value)}" for name, value in summary.items()
    )
    return f"<table>{rows}</table>"


def _plots(result: figures.Figures) -> str:
    waits_by_class: dict[str, list[float]] = {name: [] for name in arrivals.CLASSES}
    for job, _, wait in result.waits():
        waits_by_class.setdefault(job.caller_class, []).append(wait)
    waits = [
        Series(name, _distribution(values), is_line=True)
        for name, values in waits_by_class.items()
        if values
    ]
    responses = Series("complete jobs", result.responses())
    backlog = Series("tasks", result.backlog(), is_line=True)
    return (
        plot("response over ideal, by arrival (s)", [responses])
        + plot("waiting tasks over time (s)", [backlog])
        + plot("wait from arrival to start (ms), by percentile", waits)
    )


def _distribution(values: Sequence[float]) -> _Points:
    ordered = sorted(values)
    return [
        (100 * (index + 1) / len(ordered), value) for index, value in enumerate(ordered)
    ]


def plot(title: str, series: Sequence[Series]) -> str:
    """Return one plot as an SVG element; it begins at 0 on both axes.

    :param title: text above the plot.
    :param series: what to draw; points without finite values are left out.
    """
    finite = [
        attrs.evolve(item, points=_thinned(list(filter(_is_finite, item.points))))
        for item in series
    ]
    points = [point for item in finite for point in item.points]
    if not points:
        return f"<h3>{_text(title)}</h3><p>no values</p>"
    right = max(x for x, _ in points) or 1.0
    top = max(y for _, y in points) or 1.0
    marks = "".join(
        _draw(item, right, top, colour)
        for item, colour in zip(finite, itertools.cycle(COLOURS), strict=False)
    )
    legend = " ".join(
        f'<span style="color:{colour}">{_text(item.name)}</span>'
        for item, colour in zip(finite, itertools.cycle(COLOURS), strict=False)
    )
    return (
        f"<h3>{_text(title)}</h3><p>{legend}</p>"
        f'<svg width="{WIDTH}" height="{HEIGHT}" role="img">'
        f"{_axes(right, top)}{marks}</svg>"
    )


def _is_finite(point: tuple[float, float]) -> bool:
    return all(map(math.isfinite, point))


def _thinned(points: _Points) -> _Points:
    step = math.ceil(len(points) / MAX_POINTS) or 1
    # The last point may be the largest one of a distribution.
    return [*points[::step], *points[-1:]]


def _place(x: float, y: float, right: float, top: float) -> tuple[float, float]:
    return (
        MARGIN + (WIDTH - 2 * MARGIN) * x / right,
        HEIGHT - MARGIN / 2 - (HEIGHT - MARGIN) * y / top,
    )


def _draw(series: Series, right: float, top: float, colour: str) -> str:
    places = [_place(x, y, right, top) for x, y in series.points]
    if not series.is_line:
        return "".join(
            f'<circle cx="{x:.1f}" cy="{y:.1f}" r="2" fill="{colour}"/>'
            for x, y in places
        )
    path = " ".join(f"H{x:.1f}V{y:.1f}" for x, y in places)
    x, y = places[0] if places else (MARGIN, HEIGHT)
    return f'<path d="M{x:.1f} {y:.1f}{path}" fill="none" stroke="{colour}"/>'


def _axes(right: float, top: float) -> str:
    parts = []
    for step in range(TICKS + 1):
        share = step / TICKS
        x, base = _place(share * right, 0.0, right, top)
        left, y = _place(0.0, share * top, right, top)
        parts.append(
            f'<text x="{x:.1f}" y="{base + 14:.1f}" text-anchor="middle">'
            f"{share * right:.3g}</text>"
            f'<text x="{left - 4:.1f}" y="{y + 4:.1f}" text-anchor="end">'
            f"{share * top:.3g}</text>"
            f'<path d="M{left:.1f} {y:.1f}H{WIDTH - MARGIN}" stroke="#ddd"/>'
        )
    return "".join(parts)
