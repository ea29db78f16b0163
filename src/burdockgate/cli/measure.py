"""The ``measure`` subcommand: runs a scenario under load and prints its figures."""

from __future__ import annotations

import argparse
import math

from burdockgate.cli import main

SECONDS_DEFAULT = 10.0
SECONDS_LIMIT = 3600.0


def register(subparsers: main.Subparsers) -> None:
    """Add ``measure``.

    :param subparsers: the subcommands of the main parser.
    """
    parser = main.add_command(
        subparsers,
        "measure",
        "run a scenario under load and print its figures",
        "burdockgate measure --scenario steady --seed 1 --report steady.html",
    )
    parser.add_argument("--list", action="store_true", help="list the scenarios")
    parser.add_argument("--scenario", default="steady", metavar="NAME")
    parser.add_argument("--seed", type=int, default=1, metavar="N")
    parser.add_argument(
        "--seconds",
        type=_seconds,
        default=SECONDS_DEFAULT,
        metavar="S",
        help="length of the run (default: %(default)g)",
    )
    parser.add_argument(
        "--deployment",
        choices=("a", "b"),
        default="a",
        help="4 data centres or 3 (default: %(default)s)",
    )
    parser.add_argument("--json", action="store_true", help="print JSON objects")
    parser.add_argument("--report", metavar="FILE", help="write an HTML page")
    parser.add_argument(
        "--connect",
        action="append",
        default=[],
        metavar="URL",
        help="an entry host that runs already; can be given several times",
    )
    parser.add_argument(
        "--processes",
        action="store_true",
        help="start a process for each role and stand-in, not all in one",
    )
    parser.add_argument("--policy", metavar="NAME", help="placement policy")
    parser.add_argument(
        "--versus", metavar="NAME", help="run again with this placement policy"
    )
    parser.set_defaults(run=run_measure)


def run_measure(args: argparse.Namespace) -> int:
    """Run one scenario, or list all.

    :param args: the parsed arguments.
    :returns: the exit status: 1 when a promise was broken or the run failed.
    """
    from burdockgate.standin import measurement

    if args.list:
        measurement.print_scenarios()
        return 0
    return measurement.run(
        measurement.Request(
            scenario=args.scenario,
            seed=args.seed,
            seconds=args.seconds,
            deployment=args.deployment,
            as_json=args.json,
            report=args.report,
            urls=tuple(args.connect),
            has_processes=args.processes,
            policy=args.policy,
            versus=args.versus,
        )
    )


def _seconds(text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not 0 < value <= SECONDS_LIMIT:
        raise argparse.ArgumentTypeError(
            f"{text!r:.80}, allowed is a number of seconds above 0 and up to "
            f"{SECONDS_LIMIT:g}"
        )
    return value
