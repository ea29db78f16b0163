"""Subcommand ``table wait``: waits until a table version is in force everywhere."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Iterator, Mapping, Sequence
from typing import Any

from burdockgate.cli import jobs, operate

POLL_S = 0.2
LACKING_SHOWN = 10


def add_options(parser: argparse.ArgumentParser) -> None:
    """Add the options of ``table wait``.

    :param parser: its parser.
    """
    parser.add_argument(
        "version",
        nargs="?",
        type=int,
        metavar="VERSION",
        help="table version (default: the newest that an entry host shows)",
    )
    parser.add_argument(
        "--timeout",
        type=float,
        default=10.0,
        metavar="SECONDS",
        help="longest wait (default: 10)",
    )
    jobs.add_entry_options(parser)
    parser.set_defaults(run=run_wait)


def run_wait(args: argparse.Namespace) -> int:
    """Wait until every node that the entry hosts know has a version in force.

    :param args: parsed arguments of ``table wait``.
    :returns: 0, or 1 when the time has passed before that.
    """
    import asyncio
    import json

    version, lacking = asyncio.run(_wait(jobs.entry_urls(args), args))
    if args.json:
        print(json.dumps({"version": version, "ok": not lacking, "lacking": lacking}))
    elif lacking:
        shown = ", ".join(lacking[:LACKING_SHOWN])
        more = len(lacking) - LACKING_SHOWN
        print(
            f"burdockgate: table version {version}: after {args.timeout:g} s not known "
            f"to be in force at {shown}{f' and {more} more' if more > 0 else ''}",
            file=sys.stderr,
        )
    else:
        print(f"table version {version} is in force on all nodes")
    return 1 if lacking else 0


async def _wait(
    urls: Sequence[str], args: argparse.Namespace
) -> tuple[int | None, list[str]]:
    import asyncio

    version: int | None = args.version
    lacking = list(urls)
    try:
        async with (
            jobs.progress(lambda s: f"{len(lacking)} nodes to go, {s:.0f} s"),
            asyncio.timeout(args.timeout),
        ):
            while True:
                answers = await operate.read_statuses(urls)
                shown = [answer["status"] for answer in answers if "status" in answer]
                if version is None and shown:
                    version = max(facts.get("table_version", 0) for facts in shown)
                failed = [answer["error"] for answer in answers if "error" in answer]
                lacking = [*failed, *sorted(_lacking(shown, version or 0))]
                if not lacking:
                    return version, []
                await asyncio.sleep(POLL_S)
    except TimeoutError:
        return version, lacking


def _lacking(shown: Sequence[Mapping[str, Any]], version: int) -> set[str]:
    """Return the nodes that one of the entry hosts does not show at the version."""
    asked = {facts["name"]: facts.get("table_version", 0) for facts in shown}
    return {
        name
        for facts in shown
        for name, at in _versions(facts)
        # What an entry host says of itself is newer than what its peers have heard.
        if asked.get(name, at) < version
    }


def _versions(facts: Mapping[str, Any]) -> Iterator[tuple[str, int]]:
    # An older release shows no versions; its nodes count as lacking every one.
    yield facts["name"], facts.get("table_version", 0)
    yield from facts.get("table_version_by_entry", {}).items()
    for worker in facts["workers"]:
        yield worker["name"], worker.get("table_version", 0)
