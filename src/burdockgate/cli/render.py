"""Text for the terminal: tables, one answer, the status of an entry host.

All functions take values and return text without the last newline.
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
_WORKER_COLUMNS = {
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
_HISTOGRAM_COLUMNS = {
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
    """Return whether text for a stream may hold colours.

    :param stream: where the text will be written.
    :param environ: environment; a ``NO_COLOR`` that is not empty forbids colours.
    """
    return not environ.get("NO_COLOR") and stream.isatty()


def styled(text: str, style: str, colour: bool) -> str:
    """Return a text in a style.

    :param style: "bold", "red", "green" or "yellow".
    :param colour: whether to apply it; otherwise the text is returned unchanged.
    """
    return f"\x1b[{_STYLE_BY_NAME[style]}m{text}\x1b[0m" if colour else text


def cell(value: object) -> str:
    """Return one value as printable text on one line.

    Unprintable characters are escaped, because a text from a server must not
    send control sequences to the terminal.

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

    :param headers: one title per column; all empty for a table without titles.
    :param rows: one value per column in each row.
    """
    lines = [list(headers)] if any(headers) else []
    lines += [[cell(value) for value in row] for row in rows]
    columns = range(len(headers))
    widths = [max((len(line[i]) for line in lines), default=0) for i in columns]
    right = [bool(rows) and all(_is_numeric(row[i]) for row in rows) for i in columns]
    return "\n".join(
        "  ".join(
            line[i].rjust(widths[i]) if right[i] else line[i].ljust(widths[i])
            for i in columns
        ).rstrip()
        for line in lines
    )


def progress_line(text: str, columns: int) -> str:
    """Return a text that replaces the terminal's current line.

    :param text: the new content; an empty string clears the line.
    :param columns: width of the terminal; the text is cut to fit.
    """
    # The last column stays free, because some terminals wrap after it.
    width = max(columns - 1, 0)
    return "\r" + cell(text or " ")[:width].ljust(width) + ("" if text else "\r")


def answer(facts: Mapping[str, Any], colour: bool) -> str:
    """Return the answer to a job as a short table and one line per result.

    :param facts: outcome, code, name, start, attempt, key, time_s (seconds, may be
        missing), entry, detail, and results of a complete job.
    :param colour: whether to colour the outcome.
    """
    time_s = facts.get("time_s")
    rows = [
        ("outcome", facts.get("outcome")),
        ("code", f"{cell(facts.get('code'))} {cell(facts.get('name'))}"),
        ("start", facts.get("start")),
        ("attempt", facts.get("attempt")),
        ("key", facts.get("key")),
        ("time", None if time_s is None else f"{time_s:.3f} s"),
        ("entry", facts.get("entry")),
        ("detail", facts.get("detail")),
    ]
    text = table(("", ""), rows)
    style = _STYLE_BY_OUTCOME.get(str(facts.get("outcome")), "bold")
    first, rest = text.split("\n", 1)
    lines = [styled(first, style, colour), rest]
    results = facts.get("results")
    if results is not None:
        lines.append(f"results  {len(results)}")
        lines += map(json.dumps, results)
    return "\n".join(lines)


def status(url: str, facts: Mapping[str, Any], colour: bool) -> str:
    """Return the status of one entry host.

    :param url: the URL that was asked.
    :param facts: JSON object of ``GET /v1/status``; a missing key is shown as "-".
    :param colour: whether to emphasise titles.
    """
    title = styled(f"{cell(facts.get('name'))}  {cell(url)}", "bold", colour)
    sections = [
        "\n".join([title, _indent(table(("", ""), _overview(facts)))]),
        _section("workers", _WORKER_COLUMNS, facts.get("workers"), colour),
        _counters(facts.get("counters"), colour),
        _section("histograms", _HISTOGRAM_COLUMNS, facts.get("histograms"), colour),
        *_plots(facts.get("histograms")),
    ]
    return "\n\n".join(sections)


def _overview(facts: Mapping[str, Any]) -> list[tuple[str, str]]:
    ready = cell(facts.get("ready"))
    if facts.get("ready") is False:
        ready += f": {cell(facts.get('not_ready_reason'))}"
    tasks, size = cell(facts.get("backlog_tasks")), cell(facts.get("backlog_bytes"))
    return [
        ("boot", cell(facts.get("boot"))),
        ("ready", ready),
        ("table version", cell(facts.get("table_version"))),
        ("view number", cell(facts.get("view_number"))),
        ("jobs in progress", cell(facts.get("jobs_in_progress"))),
        ("backlog", f"{tasks} tasks, {size} bytes"),
    ]


def _section(
    title: str,
    key_by_header: Mapping[str, str],
    entries: Sequence[Mapping[str, Any]] | None,
    colour: bool,
) -> str:
    heading = styled(title, "bold", colour)
    if not entries:
        return f"{heading}  {MISSING if entries is None else 'none'}"
    rows = [[entry.get(key) for key in key_by_header.values()] for entry in entries]
    return "\n".join([heading, _indent(table(list(key_by_header), rows))])


def _counters(counters: Mapping[str, Any] | None, colour: bool) -> str:
    heading = styled("counters", "bold", colour)
    if not counters:
        return f"{heading}  {MISSING if counters is None else 'none'}"
    return "\n".join([heading, _indent(table(("", ""), sorted(counters.items())))])


def _plots(histograms: Sequence[Mapping[str, Any]] | None) -> Iterator[str]:
    for entry in histograms or ():
        lines = str(entry.get("plot") or "").splitlines()
        if lines:
            title = f"{cell(entry.get('measure'))}, {cell(entry.get('caller_class'))}"
            plot = "\n".join(cell(line) if line else "" for line in lines)
            yield "\n".join([title, _indent(plot)])


def _indent(text: str) -> str:
    return "\n".join(f"{_INDENT}{line}".rstrip() for line in text.split("\n"))


def _is_numeric(value: object) -> bool:
    return value is None or (
        isinstance(value, int | float) and not isinstance(value, bool)
    )
