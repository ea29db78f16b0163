"""Tests the printed text with missing values and unprintable characters."""

import io
import types

import pytest

from burdockgate.cli import render

WORKER = {"name": "worker-1", "data_centre": "dc-a", "rack": "r1", "service": "resize"}
WORKER |= {"slots": 8, "free": 5, "running": 3, "draining": True, "age_s": 0.43}
TIMES = {"count": 100, "p50": 51.0, "p90": 80.2, "p99": 120.0, "p999": 300, "max": 301}
HISTOGRAM = {"measure": "response", "caller_class": "default", **TIMES}
STATUS = {"name": "entry-1", "ready": False, "not_ready_reason": "the log is down"}
STATUS |= {"boot": 77, "table_version": 4, "view_number": 17, "jobs_in_progress": 2}
STATUS |= {"backlog_tasks": 12, "counters": {"wire.rejected": 1, "ended": 20}}
STATUS |= {"workers": [WORKER, {"name": "worker-10"}]}
STATUS |= {"histograms": [{**HISTOGRAM, "plot": "50 |##\n\n\x1b[2J90 |#"}, {}]}


@pytest.mark.parametrize("facts", [STATUS, {}, {"workers": [], "counters": {}}])
def test_status(facts, snapshot):
    """An older entry host may not send all keys; a missing one is shown as "-"."""
    assert render.status("http://127.0.0.1:8080", facts, False) == snapshot


def test_control_characters_are_escaped():
    """Text from a server must not send control sequences to the terminal."""
    assert render.cell("a\x1b[2J\x9b\nb é") == "a\\x1b[2J\\x9b\\nb é"
    assert "\x1b" not in render.status("u", STATUS, False)
    text = render.answer({"outcome": "complete", "results": ["\x1b\x9b"]}, False)
    assert text.splitlines()[-1] == '"\\u001b\\u009b"'


@pytest.mark.parametrize("is_terminal", [True, False])
@pytest.mark.parametrize("environ", [{}, {"NO_COLOR": ""}, {"NO_COLOR": "1"}])
def test_colour_only_where_allowed(is_terminal, environ):
    """Escape sequences must not reach a file or a user who opted out."""
    stream = types.SimpleNamespace(isatty=lambda: is_terminal)
    is_allowed = is_terminal and environ != {"NO_COLOR": "1"}
    assert render.uses_colour(stream, environ) is is_allowed
    assert not render.uses_colour(io.StringIO(), environ)
    text = render.answer({"outcome": "failed"}, is_allowed)
    assert text.startswith("\x1b[31moutcome" if is_allowed else "outcome")


def test_progress_line_replaces_the_whole_line():
    """A shorter text must overwrite all of a longer one."""
    assert render.progress_line("abc", 6) == "\rabc  "
    assert render.progress_line("abcdefgh", 6) == "\rabcde"
    assert render.progress_line("", 6) == "\r     \r"
