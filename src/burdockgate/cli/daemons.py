"""The subcommands that run daemons: ``entry``, ``agent`` and ``local``."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable

from burdockgate.cli import main

COUNT_LIMIT = 100


def register(subparsers: main.Subparsers) -> None:
    """Add the parsers of this group.

    :param subparsers: the subcommands of the main parser.
    """
    _add_daemon(subparsers, "entry", "run an entry host until SIGTERM", _run_entry)
    _add_daemon(
        subparsers,
        "agent",
        "run the agent of a backend server until SIGTERM",
        _run_agent,
    )
    parser = main.add_command(
        subparsers,
        "local",
        "run one job on entry hosts, agents and stand-ins in one process",
        "burdockgate local --job job.json --agents 5 --json",
    )
    parser.add_argument(
        "--job", metavar="FILE", help="JSON job to run instead of the sample"
    )
    for name, default in (("--entries", 2), ("--agents", 3), ("--slots", 8)):
        parser.add_argument(name, type=_count, default=default, metavar="N")
    parser.add_argument("--http-port", type=int, default=0, metavar="PORT")
    parser.add_argument("--seed", type=int, default=1, metavar="N")
    parser.add_argument("--json", action="store_true", help="print one JSON object")
    parser.add_argument(
        "--keep", action="store_true", help="keep serving after the job until SIGTERM"
    )
    parser.set_defaults(run=_run_local)


def _count(text: str) -> int:
    if not text.isdecimal() or not 1 <= int(text) <= COUNT_LIMIT:
        raise argparse.ArgumentTypeError(
            f"{text} is not a number from 1 to {COUNT_LIMIT}"
        )
    return int(text)


def _add_daemon(
    subparsers: main.Subparsers,
    name: str,
    summary: str,
    run: Callable[[argparse.Namespace], int],
) -> None:
    example = f"burdockgate {name} --settings examples/{name}.ini"
    parser = main.add_command(subparsers, name, summary, example)
    parser.add_argument("--settings", required=True, metavar="FILE")
    parser.set_defaults(run=run)


def _run_entry(args: argparse.Namespace) -> int:
    from burdockgate import settings
    from burdockgate.process import entryhost, logs, runner

    config = settings.load_entry(args.settings)
    logs.configure(sys.stderr)
    return runner.run(entryhost.EntryHost(config))


def _run_agent(args: argparse.Namespace) -> int:
    from burdockgate import settings
    from burdockgate.process import agenthost, logs, runner

    config = settings.load_agent(args.settings)
    logs.configure(sys.stderr)
    return runner.run(agenthost.AgentHost(config))


def _run_local(args: argparse.Namespace) -> int:
    from burdockgate.process import logs
    from burdockgate.standin import demo, local

    logs.configure(sys.stderr)
    body = demo.read_job(args.job)
    config = local.LocalSettings(
        entries=args.entries,
        agents=args.agents,
        slots=args.slots,
        service=str(body["service"]),
        http_port=args.http_port,
        seed=args.seed,
    )
    return demo.run(config, body, as_json=args.json, keep=args.keep)
