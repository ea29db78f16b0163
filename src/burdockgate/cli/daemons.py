"""The subcommands that run daemons: ``entry``, ``agent`` and ``local``."""

from __future__ import annotations

import argparse
import asyncio
import json
import signal
import sys
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burdockgate import client
    from burdockgate.standin import local

SAMPLE_RUN_TIMES_MS = (50, 80, 120, 60, 200, 90, 150, 70, 300, 50, 110, 60)


def register(subparsers: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Add the subcommands.

    :param subparsers: the parser's subcommands.
    """
    _add_daemon(subparsers, "entry", "run an entry host", _run_entry)
    _add_daemon(subparsers, "agent", "run the agent of a backend server", _run_agent)
    parser = subparsers.add_parser(
        "local",
        help="run all roles with stand-ins in one process, and a sample job",
        description="Run the log, entry hosts, agents and backend servers on one "
        "event loop, submit one job and print its answer.",
        epilog="example: burdockgate local --job job.json --agents 5 --json",
    )
    parser.add_argument("--job", metavar="FILE", help="JSON job instead of the sample")
    parser.add_argument("--entries", type=_count, default=2, metavar="N")
    parser.add_argument("--agents", type=_count, default=3, metavar="N")
    parser.add_argument("--slots", type=_count, default=8, metavar="N")
    parser.add_argument("--http-port", type=int, default=0, metavar="PORT")
    parser.add_argument("--seed", type=int, default=1, metavar="N")
    parser.add_argument("--json", action="store_true", help="print one JSON object")
    parser.add_argument(
        "--keep", action="store_true", help="keep serving after the job until SIGTERM"
    )
    parser.set_defaults(run=_run_local)


def _count(text: str) -> int:
    number = int(text)
    if not 1 <= number <= 100:
        raise argparse.ArgumentTypeError(f"{text} is not a number from 1 to 100")
    return number


def _add_daemon(
    subparsers: argparse._SubParsersAction[argparse.ArgumentParser],
    name: str,
    text: str,
    run: Callable[[argparse.Namespace], int],
) -> None:
    parser = subparsers.add_parser(
        name,
        help=text,
        description=f"{text.capitalize()} until SIGTERM, which stops it gracefully.",
        epilog=f"example: burdockgate {name} --settings examples/{name}.ini",
    )
    parser.add_argument("--settings", required=True, metavar="FILE")
    parser.set_defaults(run=run)


def _run_entry(args: argparse.Namespace) -> int:
    from burdockgate import settings
    from burdockgate.process import entryhost, logs

    config = settings.load_entry(args.settings)
    logs.configure(sys.stderr)
    host = entryhost.EntryHost(config)
    return asyncio.run(_serve(host.start, host.stop))


def _run_agent(args: argparse.Namespace) -> int:
    from burdockgate import settings
    from burdockgate.process import agenthost, logs

    config = settings.load_agent(args.settings)
    logs.configure(sys.stderr)
    host = agenthost.AgentHost(config)
    return asyncio.run(_serve(host.start, host.stop))


async def _serve(
    start: Callable[[], Awaitable[None]], stop: Callable[[], Awaitable[None]]
) -> int:
    """Run a daemon until SIGTERM or SIGINT; a second signal ends it at once."""
    asked = asyncio.Event()
    _on_signal(asked.set)
    await start()
    await asked.wait()
    stopping = asyncio.ensure_future(stop())
    _on_signal(stopping.cancel)
    try:
        await stopping
    except asyncio.CancelledError:
        return 1
    return 0


def _on_signal(action: Callable[[], object]) -> None:
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, action)


def _run_local(args: argparse.Namespace) -> int:
    from burdockgate.process import logs

    logs.configure(sys.stderr)
    return asyncio.run(_local(args))


async def _local(args: argparse.Namespace) -> int:
    from burdockgate import client
    from burdockgate.standin import local

    body = _read_job(args.job)
    system = local.Local(
        local.LocalSettings(
            entries=args.entries,
            agents=args.agents,
            slots=args.slots,
            service=str(body["service"]),
            http_port=args.http_port,
            seed=args.seed,
        )
    )
    asked = asyncio.Event()
    _on_signal(asked.set)
    try:
        await system.start()
        async with client.Client(system.urls) as caller:
            answer, summary = await _submit(system, caller, body)
        _print_local(args.json, answer, summary)
        if args.keep:
            print("serving at", " ".join(system.urls), file=sys.stderr)
            await asked.wait()
    finally:
        await system.stop()
    return 0 if answer.outcome == "complete" else 1


def _read_job(path: str | None) -> dict[str, object]:
    """Read a job from a file, or return the sample."""
    from burdockgate import codes, errors

    if path is None:
        tasks = [{"payload": {"sleep_ms": ms}} for ms in SAMPLE_RUN_TIMES_MS * 2]
        return {"guest": "sample-guest", "service": "sample", "tasks": tasks}
    try:
        with open(path, encoding="utf-8") as file:
            body = json.load(file)
    except (OSError, ValueError) as error:
        raise errors.RequestError(
            codes.Code.INVALID_REQUEST, f"{path}: {error}"
        ) from None
    if not isinstance(body, dict) or not isinstance(body.get("service"), str):
        raise errors.RequestError(
            codes.Code.INVALID_REQUEST, f"{path}: service: a string is needed"
        )
    return body


async def _submit(
    system: local.Local, caller: client.Client, body: dict[str, object]
) -> tuple[client.Answer, dict[str, object]]:
    from burdockgate.standin import local

    loop = asyncio.get_running_loop()
    sent, started = system.messages, system.starts
    begin = loop.time()
    answer = await caller.submit(body)
    response_ms = (loop.time() - begin) * 1000
    tasks = body.get("tasks")
    run_times = [_sleep_ms(task) for task in tasks] if isinstance(tasks, list) else []
    config = system.config
    summary: dict[str, object] = {
        "outcome": answer.outcome,
        "code": answer.code,
        "key": answer.key,
        "tasks": len(run_times),
        "starts": system.starts - started,
        "response_ms": round(response_ms, 3),
        "ideal_ms": local.ideal_ms(run_times, config.agents * config.slots),
        "messages": system.messages - sent,
    }
    return answer, summary


def _sleep_ms(task: object) -> float:
    payload = task.get("payload") if isinstance(task, dict) else None
    value = payload.get("sleep_ms") if isinstance(payload, dict) else None
    return float(value) if isinstance(value, int | float) else 0.0


def _print_local(
    as_json: bool, answer: client.Answer, summary: dict[str, object]
) -> None:
    if as_json:
        print(json.dumps({**summary, "results": answer.results}))
        return
    for index, result in enumerate(answer.results or ()):
        print(f"task {index:3d}  {json.dumps(result)}")
    for name, value in summary.items():
        print(f"{name:12s} {value}")
    if answer.detail:
        print(f"{'detail':12s} {answer.detail}")
