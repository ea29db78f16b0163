"""Entry point of the command ``burdockgate``: parser, error output and exit status.

Each group of subcommands is a module of this package with
``register(subparsers) -> None``. Each parser that it adds sets the default ``run``, a
function that takes the parsed arguments and returns the exit status. At module level,
group modules import only the standard library and this package: every command, also
that of the agent, imports all groups, and an agent must stay within its memory limit.
"""

from __future__ import annotations

import argparse
import contextlib
import importlib
import io
import os
import sys
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

import burdockgate

if TYPE_CHECKING:
    # Type of add_subparsers(), for which argparse has no public name.
    Subparsers = argparse._SubParsersAction[argparse.ArgumentParser]

GROUPS = ("jobs", "operate", "daemons", "table", "standins", "measure")

EXIT_FAILED = 1
EXIT_USAGE = 2
# 128 plus the signal number, as a shell reports a process ended by SIGINT or
# SIGPIPE. Neither says anything about the outcome of a job.
EXIT_INTERRUPTED = 130
EXIT_PIPE_CLOSED = 141


def main(argv: Sequence[str] | None = None) -> int:
    """Run one command.

    :param argv: arguments without the program's name; those of the process when
        not given.
    :returns: the exit status: 0, 1 (failure, refusal or an unreachable server),
        2 (usage or settings), 130 (Ctrl-C) or 141 (output pipe closed).
    """
    _prepare_streams()
    try:
        status = _run(argv)
        # Without this flush, the interpreter would print a traceback at exit when the
        # output pipe is closed.
        sys.stdout.flush()
    except KeyboardInterrupt:
        return EXIT_INTERRUPTED
    except BrokenPipeError:
        _discard_output()
        return EXIT_PIPE_CLOSED
    return status


def build_parser() -> argparse.ArgumentParser:
    """Return the parser with the subcommands of all groups."""
    parser = argparse.ArgumentParser(
        prog="burdockgate",
        description=burdockgate.__doc__,
        epilog="example:\n  burdockgate submit job.json --entry http://127.0.0.1:8080",
        formatter_class=argparse.RawDescriptionHelpFormatter,
        allow_abbrev=False,
    )
    parser.add_argument(
        "--version", action="version", version=f"burdockgate {burdockgate.__version__}"
    )
    subparsers = parser.add_subparsers(metavar="COMMAND", required=True)
    for group in GROUPS:
        importlib.import_module(f"burdockgate.cli.{group}").register(subparsers)
    return parser


def add_command(
    subparsers: Subparsers,
    name: str,
    summary: str,
    example: str,
) -> argparse.ArgumentParser:
    """Add one subcommand whose help ends with an example.

    :param name: name of the subcommand.
    :param summary: what it does, in a few words that start in lower case.
    :param example: a complete command line.
    :returns: its parser.
    """
    return subparsers.add_parser(
        name,
        help=summary,
        description=f"{summary[0].upper()}{summary[1:]}.",
        epilog=f"example:\n  {example}",
        formatter_class=argparse.RawDescriptionHelpFormatter,
        allow_abbrev=False,
    )


def _run(argv: Sequence[str] | None) -> int:
    try:
        args = build_parser().parse_args(argv)
    except SystemExit as request:
        return request.code if isinstance(request.code, int) else EXIT_USAGE
    # Imported late because it imports attrs, which --help and --version do not need.
    from burdockgate import errors

    run: Callable[[argparse.Namespace], int] = args.run
    try:
        return run(args)
    except errors.BurdockgateError as error:
        for line in str(error).splitlines() or [type(error).__name__]:
            print(f"burdockgate: {line}", file=sys.stderr)
        usage = isinstance(error, errors.SettingsError)
        return EXIT_USAGE if usage else EXIT_FAILED


def _prepare_streams() -> None:
    for name, mode in (("stdin", "r"), ("stdout", "w"), ("stderr", "w")):
        # A stream that was closed when the interpreter started is None.
        if getattr(sys, name) is None:
            setattr(sys, name, open(os.devnull, mode))  # noqa: SIM115
    for stream in (sys.stdout, sys.stderr):
        # A character that the stream's encoding lacks must not end the command.
        if isinstance(stream, io.TextIOWrapper):
            stream.reconfigure(errors="backslashreplace")


def _discard_output() -> None:
    """Redirect closed streams to the null device, so that a flush at exit succeeds."""
    for stream in (sys.stdout, sys.stderr):
        try:
            stream.flush()
        except OSError:
            with contextlib.suppress(OSError), open(os.devnull, "wb") as null:
                os.dup2(null.fileno(), stream.fileno())
