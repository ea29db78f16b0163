"""Subcommand ``measure``: runs a scenario under load and prints its figures."""

from __future__ import annotations

import argparse
import math

from burdockgate.cli import main

DEFAULT_DURATION_S = 10.0
DURATION_LIMIT_S = 3600.0


def register(subparsers: main.Subparsers) -> None:
    """Add the subcommand ``measure``.

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
        type=_duration,
        default=DEFAULT_DURATION_S,
        metavar="S",
        help="duration of the run (default: %(default)g)",
    )
    parser.add_argument(
        "--deployment",
        choices=("a", "b"),
        default="a",
        help="a has 4 data centres, b has 3 (default: %(default)s)",
    )
    parser.add_argument("--json", action="store_true", help="print JSON objects")
    parser.add_argument("--report", metavar="FILE", help="write an HTML page")
    parser.add_argument(
        "--connect",
        action="append",
        default=[],
        metavar="URL",
        help="URL of a running entry host; can be given several times",
    )
    parser.add_argument(
        "--processes",
        action="store_true",
        help="run each role and each stand-in in its own process",
    )
    parser.add_argument("--policy", metavar="NAME", help="placement policy")
    parser.add_argument(
        "--versus", metavar="NAME", help="run again with this placement policy"
    )
    parser.set_defaults(run=run_measure)


def run_measure(args: argparse.Namespace) -> int:
    """Run one scenario, or list all.

    :param args: parsed arguments of ``measure``.
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


def _duration(text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not 0 < value <= DURATION_LIMIT_S:
        raise argparse.ArgumentTypeError(
            f"{text!r:.80}, allowed is a number of seconds above 0 and up to "
            f"{DURATION_LIMIT_S:g}"
        )
    return value
