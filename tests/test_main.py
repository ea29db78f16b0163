"""Tests the exit status, error output and start-up imports of the command line."""

import argparse
import os
import subprocess
import sys
from unittest import mock

import pytest

from burdockgate import errors
from burdockgate.cli import jobs, main


def _parsers(parser):
    yield parser
    for action in parser._actions:
        if isinstance(action, argparse._SubParsersAction):
            for child in action.choices.values():
                yield from _parsers(child)


def test_every_help_has_an_example():
    """No subcommand of any group may be added without an example."""
    parsers = list(_parsers(main.build_parser()))
    assert len(parsers) >= 7
    assert [p.prog for p in parsers if "example" not in (p.epilog or "")] == []


@pytest.mark.parametrize(
    ("error", "status", "lines"),
    [
        (errors.SettingsError(["a: 1", "b: 2"]), 2, ["a: 1", "b: 2"]),
        (errors.ClientError("no answer"), 1, ["no answer"]),
        (errors.ClientError(), 1, ["ClientError"]),
        (KeyboardInterrupt(), 130, []),
        (BrokenPipeError(), 141, []),
    ],
)
def test_errors_are_lines_not_tracebacks(error, status, lines, monkeypatch, capsys):
    """An error must not show a traceback or return a wrong exit status."""
    monkeypatch.setattr(jobs, "run_fetch", mock.Mock(side_effect=error))
    assert main.main(["fetch", "acme", "k1"]) == status
    assert capsys.readouterr().err.splitlines() == [f"burdockgate: {x}" for x in lines]


def test_closed_pipe_is_quiet():
    """The interpreter must not print a traceback when it flushes a closed pipe."""
    reader, writer = os.pipe()
    os.close(reader)
    command = [sys.executable, "-m", "burdockgate", "--help"]
    # With unbuffered output, argparse itself ignores the failed write.
    env = {k: v for k, v in os.environ.items() if k != "PYTHONUNBUFFERED"}
    completed = subprocess.run(command, stdout=writer, stderr=subprocess.PIPE, env=env)
    os.close(writer)
    assert (completed.returncode, completed.stderr) == (141, b"")


def test_parser_imports_no_heavy_module():
    """A daemon imports the parser of every group and must fit in its memory limit."""
    code = (
        "import sys; from burdockgate.cli import main; main.build_parser();"
        "print({'asyncio', 'attrs', 'httpx', 'litestar', 'msgpack', 'structlog',"
        " 'uvicorn', 'burdockgate.codes'} & set(sys.modules))"
    )
    assert subprocess.check_output([sys.executable, "-c", code]) == b"set()\n"
