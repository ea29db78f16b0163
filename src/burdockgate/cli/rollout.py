"""Subcommand ``table wait``: waits until a table version is in force on all nodes."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Iterator, Mapping, Sequence
from typing import Any

from burdockgate.cli import jobs, operate

POLL_S = 0.2
MAX_NODES_SHOWN = 10


def add_options(parser: argparse.ArgumentParser) -> None:
    """Add the options of ``table wait``.

    :param parser: parser of ``table wait``.
    """
    parser.add_argument(
        "version",
        nargs="?",
        type=int,
        metavar="VERSION",
        help="table version (default: the newest that an entry host reports)",
    )
    parser.add_argument(
        "--timeout",
        type=float,
        default=10.0,
        metavar="SECONDS",
        help="longest time to wait (default: 10)",
    )
    jobs.add_entry_options(parser)
    parser.set_defaults(run=run_wait)


def run_wait(args: argparse.Namespace) -> int:
    """Wait until every node that the entry hosts know has a version in force.

    :param args: parsed arguments of ``table wait``.
    :returns: 0, or 1 when the timeout passed first.
    """
    import asyncio
    import json

    version, unconfirmed = asyncio.run(_wait(jobs.entry_urls(args), args))
    if args.json:
        print(
            json.dumps(
                {"version": version, "ok": not unconfirmed, "lacking": unconfirmed}
            )
        )
    elif unconfirmed:
        shown = ", ".join(unconfirmed[:MAX_NODES_SHOWN])
        more = len(unconfirmed) - MAX_NODES_SHOWN
        print(
            f"burdockgate: table version {version}: after {args.timeout:g} s not known "
            f"to be in force at {shown}{f' and {more} more' if more > 0 else ''}",
            file=sys.stderr,
        )
    else:
        print(f"table version {version} is in force on all nodes")
    return 1 if unconfirmed else 0


async def _wait(
    urls: Sequence[str], args: argparse.Namespace
) -> tuple[int | None, list[str]]:
    """Return the version, and the errors and nodes that leave it unconfirmed."""
    import asyncio

    version: int | None = args.version
    unconfirmed = list(urls)
    try:
        async with (
            jobs.progress(
                lambda elapsed_s: (
                    f"{len(unconfirmed)} nodes outstanding, {elapsed_s:.0f} s"
                )
            ),
            asyncio.timeout(args.timeout),
        ):
            while True:
                entries = await operate.read_statuses(urls)
                statuses = [entry["status"] for entry in entries if "status" in entry]
                if version is None and statuses:
                    version = max(status.get("table_version", 0) for status in statuses)
                failures = [entry["error"] for entry in entries if "error" in entry]
                unconfirmed = [
                    *failures,
                    *sorted(_find_outdated(statuses, version or 0)),
                ]
                if not unconfirmed:
                    return version, []
                await asyncio.sleep(POLL_S)
    except TimeoutError:
        return version, unconfirmed


def _find_outdated(statuses: Sequence[Mapping[str, Any]], version: int) -> set[str]:
    """Return the names of the nodes that an entry host reports at an older version."""
    own_version_by_entry = {
        status["name"]: status.get("table_version", 0) for status in statuses
    }
    return {
        name
        for status in statuses
        for name, reported in _reported_versions(status)
        # An entry host's own report is newer than what its peers know about it.
        if own_version_by_entry.get(name, reported) < version
    }


def _reported_versions(status: Mapping[str, Any]) -> Iterator[tuple[str, int]]:
    # An older release reports no versions; its nodes count as having version 0.
    yield status["name"], status.get("table_version", 0)
    yield from status.get("table_version_by_entry", {}).items()
    for worker in status["workers"]:
        yield worker["name"], worker.get("table_version", 0)
