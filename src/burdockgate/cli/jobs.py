"""Subcommands for callers: ``submit``, ``fetch`` and ``cancel``.

The module also holds what all commands that call an entry host share: the options
``--entry`` and ``--json``, the client and the progress line.
"""

from __future__ import annotations

import argparse
import contextlib
import json
import math
import os
import random
import shutil
import sys
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping, Sequence
from typing import TYPE_CHECKING, Any, NoReturn

from burdockgate.cli import main

if TYPE_CHECKING:
    from burdockgate import client, clock

ENTRY_VARIABLE = "BURDOCKGATE_ENTRY"
KEY_LIMIT_CHARS = 128
# An entry host answers every call at once, except a submission or fetch that waits;
# the margin is for a busy host.
CALL_TIMEOUT_S = 10.0
# Limit of a submission without a deadline. A late answer is better than none, so the
# wait ends only when the job must have been lost.
ANSWER_TIMEOUT_S = 3600.0
PROGRESS_INTERVAL_S = 0.5
_CANCELLED_CODE_NAMES = ("CANCELLED_NOT_RUN", "CANCELLED_MAY_HAVE_RUN")


def register(subparsers: main.Subparsers) -> None:
    """Add the parsers of this group.

    :param subparsers: the subcommands of the main parser.
    """
    _register_submit(subparsers)
    fetch = main.add_command(
        subparsers,
        "fetch",
        "fetch the stored answer or the state of a job",
        "burdockgate fetch acme 4f1c --wait 10 --entry http://127.0.0.1:8080",
    )
    fetch.add_argument(
        "--wait",
        type=seconds,
        default=0.0,
        metavar="SECONDS",
        help="wait at most this long for a pending job to end (default: 0)",
    )
    cancel = main.add_command(
        subparsers,
        "cancel",
        "cancel a job and print its definite outcome",
        "burdockgate cancel acme 4f1c --entry http://127.0.0.1:8080",
    )
    for parser, run in ((fetch, run_fetch), (cancel, run_cancel)):
        parser.add_argument("guest", metavar="GUEST", help="guest of the job")
        parser.add_argument("key", metavar="KEY", type=_key, help="idempotency key")
        add_entry_options(parser)
        parser.set_defaults(run=run)


def _register_submit(subparsers: main.Subparsers) -> None:
    parser = main.add_command(
        subparsers,
        "submit",
        "submit a job and print its answer",
        "burdockgate submit job.json --key 4f1c --entry http://127.0.0.1:8080",
    )
    parser.add_argument("file", metavar="FILE", help="JSON job; - reads standard input")
    parser.add_argument(
        "--key", type=_key, help="idempotency key (default: a random one)"
    )
    parser.add_argument("--guest", help="guest of the job")
    parser.add_argument("--service", help="service that runs the tasks")
    parser.add_argument("--class", dest="caller_class", help="caller class of the job")
    parser.add_argument(
        "--deadline",
        type=_positive_seconds,
        metavar="SECONDS",
        help="longest time until the answer, counted from the arrival of the job",
    )
    parser.add_argument(
        "--not-repeatable", action="store_true", help="the job runs at most once"
    )
    parser.add_argument(
        "--no-wait", action="store_true", help="return once the job is accepted"
    )
    add_entry_options(parser)
    parser.set_defaults(run=run_submit)


def add_entry_options(parser: argparse.ArgumentParser) -> None:
    """Add ``--entry`` and ``--json``.

    :param parser: parser of a command that calls entry hosts.
    """
    parser.add_argument(
        "--entry",
        action="append",
        type=_url,
        metavar="URL",
        help="URL of an entry host, can be given several times (default: "
        f"{ENTRY_VARIABLE}, URLs separated by commas or spaces)",
    )
    parser.add_argument("--json", action="store_true", help="print one JSON object")


def entry_urls(args: argparse.Namespace) -> list[str]:
    """Return the URLs of the entry hosts to call, at least one.

    :param args: parsed arguments with ``entry``.
    :raises errors.SettingsError: when there is no URL, or when one in the
        environment variable is not valid.
    """
    if args.entry:
        return list(args.entry)
    urls = os.environ.get(ENTRY_VARIABLE, "").replace(",", " ").split()
    if not urls:
        _raise_settings_error(
            f"--entry: not given and {ENTRY_VARIABLE} is not set; "
            "give at least one URL, such as http://127.0.0.1:8080"
        )
    try:
        return [_url(url) for url in urls]
    except argparse.ArgumentTypeError as error:
        _raise_settings_error(f"{ENTRY_VARIABLE}: {error}")


def open_client(urls: Sequence[str], timeout_s: float) -> client.Client:
    """Return a client, to be used as an asynchronous context manager.

    :param urls: base URLs of the entry hosts.
    :param timeout_s: longest time of one call with all its tries, in seconds.
    """
    from burdockgate import client

    return client.Client(urls, timeout_s=timeout_s)


def system_clock() -> clock.Clock:
    """Return the clock that measures the duration of a call."""
    from burdockgate import clock

    return clock.SystemClock()


@contextlib.asynccontextmanager
async def progress(describe: Callable[[float], str]) -> AsyncIterator[None]:
    """Show a progress line while the ``async with`` block runs.

    The line goes to standard error, and only when that is a terminal.

    :param describe: returns the line, given the seconds since the start.
    """
    if not sys.stderr.isatty():
        yield
        return
    import asyncio

    updater = asyncio.create_task(_update_progress(describe))
    try:
        yield
    finally:
        updater.cancel()
        _write_progress("")


async def _update_progress(describe: Callable[[float], str]) -> None:
    import asyncio

    timer = system_clock()
    start = timer.now()
    while True:
        _write_progress(describe(timer.now() - start))
        await asyncio.sleep(PROGRESS_INTERVAL_S)


def _write_progress(text: str) -> None:
    from burdockgate.cli import render

    columns = shutil.get_terminal_size().columns
    sys.stderr.write(render.progress_line(text, columns))
    sys.stderr.flush()


def run_submit(args: argparse.Namespace) -> int:
    """Submit a job.

    :param args: parsed arguments of ``submit``.
    :returns: 0 for a complete job, or with ``--no-wait`` for an accepted one;
        otherwise 1.
    :raises errors.SettingsError: when the file does not hold a JSON object.
    :raises errors.ClientError: when no entry host can be reached.
    """
    import asyncio

    urls = entry_urls(args)
    body, key = _read_job(args)
    if key is None:
        key = new_key(random.SystemRandom())
        # Printed before the wait, so that an interrupted command can be repeated.
        print(f"key: {key}", file=sys.stderr)
    timeout_s = ANSWER_TIMEOUT_S
    if args.no_wait:
        timeout_s = CALL_TIMEOUT_S
    elif args.deadline is not None:
        timeout_s = args.deadline + CALL_TIMEOUT_S

    async def call(entry_client: client.Client) -> client.Answer:
        return await entry_client.submit(body, key=key, wait=not args.no_wait)

    fields = asyncio.run(_call_entry(urls, timeout_s, "waiting for the answer", call))
    _print_answer(fields, args.json)
    accepted = ("complete", "pending") if args.no_wait else ("complete",)
    return 0 if fields["outcome"] in accepted else 1


def run_fetch(args: argparse.Namespace) -> int:
    """Fetch the stored answer or the state of a job.

    :param args: parsed arguments of ``fetch``.
    :returns: 0 for a complete or pending job, otherwise 1.
    :raises errors.ClientError: when no entry host can be reached.
    """
    import asyncio

    async def call(entry_client: client.Client) -> client.Answer:
        return await entry_client.fetch(args.guest, args.key, wait_s=args.wait)

    timeout_s = args.wait + CALL_TIMEOUT_S
    urls = entry_urls(args)
    fields = asyncio.run(_call_entry(urls, timeout_s, "waiting for the job", call))
    _print_answer(fields, args.json)
    return 0 if fields["outcome"] in ("complete", "pending") else 1


def run_cancel(args: argparse.Namespace) -> int:
    """Cancel a job.

    :param args: parsed arguments of ``cancel``.
    :returns: 0 when the job ended as cancelled; 1 when it had ended otherwise or is
        not known.
    :raises errors.ClientError: when no entry host can be reached.
    """
    import asyncio

    async def call(entry_client: client.Client) -> client.Answer:
        return await entry_client.cancel(args.guest, args.key)

    urls = entry_urls(args)
    fields = asyncio.run(_call_entry(urls, CALL_TIMEOUT_S, "cancelling the job", call))
    _print_answer(fields, args.json)
    return 0 if fields["name"] in _CANCELLED_CODE_NAMES else 1


async def _call_entry(
    urls: Sequence[str],
    timeout_s: float,
    activity: str,
    call: Callable[[client.Client], Awaitable[client.Answer]],
) -> dict[str, Any]:
    """Make a call with a progress line and return the fields of its answer to print."""
    timer = system_clock()
    start = timer.now()
    async with (
        open_client(urls, timeout_s) as entry_client,
        progress(lambda elapsed_s: f"{activity}: {elapsed_s:.0f} s"),
    ):
        answer = await call(entry_client)
    fields: dict[str, Any] = {
        "outcome": answer.outcome,
        "code": int(answer.code),
        "name": answer.name,
        "start": answer.start,
        "attempt": answer.attempt,
        "key": answer.key,
        "time_s": round(timer.now() - start, 3),
        "entry": answer.url,
        "detail": answer.detail,
    }
    # Only a complete job has results; an empty list would look like a complete answer.
    if answer.outcome == "complete":
        fields["results"] = list(answer.results)
    return fields


def _print_answer(fields: Mapping[str, Any], as_json: bool) -> None:
    from burdockgate.cli import render

    if as_json:
        print(json.dumps(fields))
    else:
        print(render.answer(fields, render.uses_colour(sys.stdout, os.environ)))


def _read_job(args: argparse.Namespace) -> tuple[bytes | dict[str, Any], str | None]:
    data = _read_file(args.file)
    source = "standard input" if args.file == "-" else args.file
    try:
        body = json.loads(data, parse_constant=_reject_constant)
    except (ValueError, RecursionError) as error:
        _raise_settings_error(f"{source}: not valid JSON: {error}")
    if not isinstance(body, dict):
        _raise_settings_error(
            f"{source}: holds a JSON {type(body).__name__}, allowed is an object"
        )
    options = {
        "guest": args.guest,
        "service": args.service,
        "class": args.caller_class,
        "repeatable": False if args.not_repeatable else None,
        "deadline_ms": None if args.deadline is None else round(args.deadline * 1000),
    }
    overrides = {name: value for name, value in options.items() if value is not None}
    if not overrides and "key" not in body:
        # Sent byte for byte: any client that submits the file again sends the same
        # body, while another encoding would be refused as a reused key.
        return data, args.key
    key = body.pop("key", None)
    if args.key is None and key is not None:
        try:
            return {**body, **overrides}, _key(key)
        except argparse.ArgumentTypeError as error:
            _raise_settings_error(f"{source}: key: {error}")
    return {**body, **overrides}, args.key


def _read_file(path: str) -> bytes:
    try:
        if path == "-":
            return sys.stdin.buffer.read()
        with open(path, "rb") as file:
            return file.read()
    except OSError as error:
        _raise_settings_error(f"{path}: cannot be read: {error.strerror}")


def new_key(rng: random.Random) -> str:
    """Return a new idempotency key of 32 hexadecimal digits.

    :param rng: source of the 128 random bits.
    """
    return f"{rng.getrandbits(128):032x}"


def seconds(text: str) -> float:
    """Parse a number of seconds of at least 0.

    :param text: a decimal number.
    :raises argparse.ArgumentTypeError: when it is not a finite number of at least 0.
    """
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not 0 <= value < math.inf:
        raise argparse.ArgumentTypeError(f"{text!r}: allowed are 0 or more seconds")
    return value


def _positive_seconds(text: str) -> float:
    value = seconds(text)
    # The deadline is sent in whole milliseconds.
    if value < 0.001:
        raise argparse.ArgumentTypeError(f"{text!r}: allowed are 0.001 or more seconds")
    return value


def _key(text: object) -> str:
    if (
        not isinstance(text, str)
        or not 0 < len(text) <= KEY_LIMIT_CHARS
        or not all("!" <= char <= "~" for char in text)
    ):
        raise argparse.ArgumentTypeError(
            f"{text!r:.140}: allowed are 1 to {KEY_LIMIT_CHARS} visible ASCII "
            "characters"
        )
    return text


def _url(text: str) -> str:
    scheme, _, rest = text.partition("://")
    if scheme not in ("http", "https") or not rest.strip("/"):
        raise argparse.ArgumentTypeError(f"{text!r}: allowed is http://HOST:PORT")
    return text.rstrip("/")


def _reject_constant(text: str) -> NoReturn:
    raise ValueError(f"{text} is not a JSON number")


def _raise_settings_error(problem: str) -> NoReturn:
    from burdockgate import errors

    raise errors.SettingsError([problem])
