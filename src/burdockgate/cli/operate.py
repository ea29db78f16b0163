"""Subcommands for operators: ``status``, ``drain`` and ``check-settings``."""

from __future__ import annotations

import argparse
import json
import os
import sys
from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING, Any

from burdockgate.cli import jobs, main

if TYPE_CHECKING:
    from burdockgate import client

# Agents report their running tasks with each heartbeat, by default every 0.8 s.
DRAIN_POLL_S = 0.5


def register(subparsers: main.Subparsers) -> None:
    """Add the parsers of this group.

    :param subparsers: the subcommands of the main parser.
    """
    status = main.add_command(
        subparsers,
        "status",
        "show the state of entry hosts",
        "burdockgate status --entry http://127.0.0.1:8080",
    )
    jobs.add_entry_options(status)
    status.set_defaults(run=run_status)

    drain = main.add_command(
        subparsers,
        "drain",
        "drain a worker: it finishes its tasks and gets no new ones",
        "burdockgate drain worker-3 --wait --entry http://127.0.0.1:8080",
    )
    drain.add_argument("worker", metavar="WORKER", help="name of the worker")
    mode = drain.add_mutually_exclusive_group()
    mode.add_argument("--undo", action="store_true", help="give it new tasks again")
    mode.add_argument("--wait", action="store_true", help="wait until it runs no tasks")
    jobs.add_entry_options(drain)
    drain.set_defaults(run=run_drain)

    check = main.add_command(
        subparsers,
        "check-settings",
        "check settings files and print each problem",
        "burdockgate check-settings entry.ini agent.ini",
    )
    check.add_argument("files", nargs="+", metavar="FILE", help="INI settings file")
    check.add_argument(
        "--role",
        choices=("entry", "agent"),
        help="role of the daemon (default: detected from the file)",
    )
    check.set_defaults(run=run_check)


def run_status(args: argparse.Namespace) -> int:
    """Show the state of each entry host, also when others cannot be reached.

    :param args: parsed arguments of ``status``.
    :returns: 0, or 1 when an entry host cannot be reached.
    """
    import asyncio

    from burdockgate.cli import render

    entries = asyncio.run(read_statuses(jobs.entry_urls(args)))
    if args.json:
        print(json.dumps({"entries": entries}))
    else:
        colour = render.uses_colour(sys.stdout, os.environ)
        sections = [
            render.status(entry["entry"], entry["status"], colour)
            for entry in entries
            if "status" in entry
        ]
        if sections:
            print("\n\n".join(sections))
    failures = [entry["error"] for entry in entries if "error" in entry]
    for line in failures:
        print(f"burdockgate: {line}", file=sys.stderr)
    return 1 if failures else 0


async def read_statuses(urls: Sequence[str]) -> list[dict[str, Any]]:
    """Return the status of each entry host, or an error in one line.

    :param urls: URLs of the entry hosts.
    :returns: an object per URL in the same order, with ``entry`` (the URL) and either
        ``status`` or ``error``.
    """
    import asyncio

    return await asyncio.gather(*map(_read_status, urls))


async def _read_status(url: str) -> dict[str, Any]:
    from burdockgate import errors

    try:
        async with jobs.open_client([url], jobs.CALL_TIMEOUT_S) as entry_client:
            return {"entry": url, "status": await entry_client.status()}
    except errors.ClientError as error:
        text = str(error)
        return {"entry": url, "error": text if url in text else f"{url}: {text}"}


def run_drain(args: argparse.Namespace) -> int:
    """Drain a worker, or undo the drain.

    :param args: parsed arguments of ``drain``.
    :returns: 0, or 1 when no entry host knows the worker, or when the wait ended while
        tasks may still run.
    :raises errors.ClientError: when no entry host can be reached.
    """
    import asyncio

    has_failed, detail = asyncio.run(_drain(args))
    if args.json:
        fields = {"worker": args.worker, "ok": not has_failed, "detail": detail}
        print(json.dumps(fields))
    elif has_failed:
        print(f"burdockgate: worker {args.worker}: {detail}", file=sys.stderr)
    else:
        print(f"worker {args.worker}: {detail}")
    return 1 if has_failed else 0


async def _drain(args: argparse.Namespace) -> tuple[bool, str]:
    """Return whether the command failed, and a line with the result."""
    urls = jobs.entry_urls(args)
    async with jobs.open_client(urls, jobs.CALL_TIMEOUT_S) as entry_client:
        if not await entry_client.drain(args.worker, active=not args.undo):
            return True, "not known to the entry host"
        if args.undo:
            return False, "gets new tasks again"
        if args.wait:
            return await _wait_until_drained(entry_client, args.worker)
        return False, "draining"


async def _wait_until_drained(
    entry_client: client.Client, worker_name: str
) -> tuple[bool, str]:
    import asyncio

    state = "draining"
    # Polls may be answered by different entry hosts, and not every entry host lists
    # every worker. A missing worker has left only if the same host listed it before.
    listing_entries: set[object] = set()
    async with jobs.progress(
        lambda elapsed_s: f"{worker_name}: {state}, {elapsed_s:.0f} s"
    ):
        while True:
            status = await entry_client.status()
            entry = status.get("name")
            worker = _find_worker(status, worker_name)
            if worker is None:
                if entry in listing_entries:
                    return False, "no longer listed"
                return True, f"not listed by {entry}, its running tasks are not known"
            if worker.get("lapsed"):
                return True, "its lease lapsed, its running tasks are not known"
            running = worker.get("running")
            # Before the agent reports the drain, its count of tasks may be outdated.
            if worker.get("draining") and running == 0:
                return False, "drained, no task is running"
            listing_entries.add(entry)
            state = f"{running} tasks running"
            await asyncio.sleep(DRAIN_POLL_S)


def _find_worker(status: Mapping[str, Any], name: str) -> Mapping[str, Any] | None:
    workers: Sequence[Mapping[str, Any]] = status.get("workers") or ()
    return next((worker for worker in workers if worker.get("name") == name), None)


def run_check(args: argparse.Namespace) -> int:
    """Check settings files.

    :param args: parsed arguments of ``check-settings``.
    :returns: 0 when no file has a problem, otherwise 2.
    """
    problems_by_file = {path: _check_file(path, args.role) for path in args.files}
    for path, problems in problems_by_file.items():
        for line in problems or ["ok"]:
            print(line if line.startswith(f"{path}:") else f"{path}: {line}")
    return 2 if any(problems_by_file.values()) else 0


def _check_file(path: str, role: str | None) -> list[str]:
    from burdockgate import errors, settings

    try:
        return list(settings.check(path, role or settings.detect_role(path)))
    except errors.SettingsError as error:
        return error.problems
    except OSError as error:
        return [f"cannot be read: {error.strerror}"]
