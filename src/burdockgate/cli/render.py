"""Formats tables, answers and the status of an entry host for the terminal.

The functions that return text return it without a trailing newline.
"""

from __future__ import annotations

import json
from collections.abc import Iterator, Mapping, Sequence
from typing import Any, TextIO

MISSING = "-"
_INDENT = "  "
_STYLE_BY_NAME = {"bold": "1", "red": "31", "green": "32", "yellow": "33"}
_STYLE_BY_OUTCOME = {
    "complete": "green",
    "pending": "yellow",
    "failed": "red",
    "refused": "red",
}
_WORKER_KEY_BY_HEADER = {
    "worker": "name",
    "data centre": "data_centre",
    "rack": "rack",
    "service": "service",
    "slots": "slots",
    "free": "free",
    "running": "running",
    "table": "table_version",
    "draining": "draining",
    "lapsed": "lapsed",
    "health": "health",
    "reason": "health_reason",
    "ejected s": "ejected_s",
    "age s": "age_s",
}
_HISTOGRAM_KEY_BY_HEADER = {
    "measure": "measure",
    "class": "caller_class",
    "count": "count",
    "p50 ms": "p50",
    "p90 ms": "p90",
    "p99 ms": "p99",
    "p99.9 ms": "p999",
    "max ms": "max",
}


def uses_colour(stream: TextIO, environ: Mapping[str, str]) -> bool:
    """Return whether text for a stream may contain colours.

    :param stream: where the text will be written.
    :param environ: environment variables; a non-empty ``NO_COLOR`` disables colours.
    """
    return not environ.get("NO_COLOR") and stream.isatty()


def styled(text: str, style: str, colour: bool) -> str:
    """Return a text with the escape sequences of a style.

    :param style: "bold", "red", "green" or "yellow".
    :param colour: whether to apply the style; otherwise the text is returned as it is.
    """
    return f"\x1b[{_STYLE_BY_NAME[style]}m{text}\x1b[0m" if colour else text


def cell(value: object) -> str:
    """Return a value as printable text on one line.

    Unprintable characters are escaped, so that text from a server cannot send
    control sequences to the terminal.

    :param value: ``None`` and an empty string give "-", a bool "yes" or "no", and
        a float one decimal.
    """
    if value is None or value == "":
        return MISSING
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.1f}"
    return "".join(
        char if char.isprintable() else char.encode("unicode_escape").decode()
        for char in str(value)
    )


def table(headers: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return a table with aligned columns; columns of numbers are right-aligned.

    :param headers: one title per column; all empty for a table without a header line.
    :param rows: one value per column in each row.
    """
    lines = [list(headers)] if any(headers) else []
    lines += [[cell(value) for value in row] for row in rows]
    columns = range(len(headers))
    widths = [max((len(line[i]) for line in lines), default=0) for i in columns]
    right_aligned = [
        bool(rows) and all(_is_numeric(row[i]) for row in rows) for i in columns
    ]
    return "\n".join(
        "  ".join(
            line[i].rjust(widths[i]) if right_aligned[i] else line[i].ljust(widths[i])
            for i in columns
        ).rstrip()
        for line in lines
    )


def progress_line(text: str, columns: int) -> str:
    """Return a text that replaces the terminal's current line.

    :param text: the new content; an empty string clears the line.
    :param columns: width of the terminal; the text is cut to fit.
    """
    # The last column stays empty, because some terminals wrap after it.
    width = max(columns - 1, 0)
    return "\r" + cell(text or " ")[:width].ljust(width) + ("" if text else "\r")


def answer(fields: Mapping[str, Any], colour: bool) -> str:
    """Return the answer to a job as a short table and one line per result.

    :param fields: outcome, code, name, start, attempt, key, time_s (seconds, may be
        missing), entry, detail, and results of a complete job.
    :param colour: whether to colour the outcome.
    """
    time_s = fields.get("time_s")
    rows = [
        ("outcome", fields.get("outcome")),
        ("code", f"{cell(fields.get('code'))} {cell(fields.get('name'))}"),
        ("start", fields.get("start")),
        ("attempt", fields.get("attempt")),
        ("key", fields.get("key")),
        ("time", None if time_s is None else f"{time_s:.3f} s"),
        ("entry", fields.get("entry")),
        ("detail", fields.get("detail")),
    ]
    text = table(("", ""), rows)
    style = _STYLE_BY_OUTCOME.get(str(fields.get("outcome")), "bold")
    first, rest = text.split("\n", 1)
    lines = [styled(first, style, colour), rest]
    results = fields.get("results")
    if results is not None:
        lines.append(f"results  {len(results)}")
        lines += map(json.dumps, results)
    return "\n".join(lines)


def status(url: str, fields: Mapping[str, Any], colour: bool) -> str:
    """Return the status of one entry host.

    :param url: the URL of the entry host.
    :param fields: JSON object of ``GET /v1/status``; a missing key is shown as "-".
    :param colour: whether to print titles in bold.
    """
    title = styled(f"{cell(fields.get('name'))}  {cell(url)}", "bold", colour)
    sections = [
        "\n".join([title, _indent(table(("", ""), _overview(fields)))]),
        _table_section("workers", _WORKER_KEY_BY_HEADER, fields.get("workers"), colour),
        _counters_section(fields.get("counters"), colour),
        _table_section(
            "histograms", _HISTOGRAM_KEY_BY_HEADER, fields.get("histograms"), colour
        ),
        *_plots(fields.get("histograms")),
    ]
    return "\n\n".join(sections)


def _overview(fields: Mapping[str, Any]) -> list[tuple[str, str]]:
    ready = cell(fields.get("ready"))
    if fields.get("ready") is False:
        ready += f": {cell(fields.get('not_ready_reason'))}"
    backlog_tasks = cell(fields.get("backlog_tasks"))
    backlog_bytes = cell(fields.get("backlog_bytes"))
    return [
        ("boot", cell(fields.get("boot"))),
        ("ready", ready),
        ("table version", cell(fields.get("table_version"))),
        ("view number", cell(fields.get("view_number"))),
        ("jobs in progress", cell(fields.get("jobs_in_progress"))),
        ("backlog", f"{backlog_tasks} tasks, {backlog_bytes} bytes"),
    ]


def _table_section(
    title: str,
    key_by_header: Mapping[str, str],
    items: Sequence[Mapping[str, Any]] | None,
    colour: bool,
) -> str:
    heading = styled(title, "bold", colour)
    if not items:
        return f"{heading}  {MISSING if items is None else 'none'}"
    rows = [[item.get(key) for key in key_by_header.values()] for item in items]
    return "\n".join([heading, _indent(table(list(key_by_header), rows))])


def _counters_section(counters: Mapping[str, Any] | None, colour: bool) -> str:
    heading = styled("counters", "bold", colour)
    if not counters:
        return f"{heading}  {MISSING if counters is None else 'none'}"
    return "\n".join([heading, _indent(table(("", ""), sorted(counters.items())))])


def _plots(histograms: Sequence[Mapping[str, Any]] | None) -> Iterator[str]:
    for histogram in histograms or ():
        lines = str(histogram.get("plot") or "").splitlines()
        if lines:
            measure = cell(histogram.get("measure"))
            title = f"{measure}, {cell(histogram.get('caller_class'))}"
            plot = "\n".join(cell(line) if line else "" for line in lines)
            yield "\n".join([title, _indent(plot)])


def _indent(text: str) -> str:
    return "\n".join(f"{_INDENT}{line}".rstrip() for line in text.split("\n"))


def _is_numeric(value: object) -> bool:
    return value is None or (
        isinstance(value, int | float) and not isinstance(value, bool)
    )
