"""The ``standin`` subcommands: the platform's parts as processes of their own."""

from __future__ import annotations

import argparse
import asyncio
import math
import signal
import sys
from collections.abc import Awaitable, Callable

LISTEN_DEFAULT = "127.0.0.1:0"
RETENTION_DEFAULT_S = 3600.0
PORT_LIMIT = 65535


def register(
    subparsers: argparse._SubParsersAction[argparse.ArgumentParser],
) -> None:
    """Add ``standin log`` and ``standin backend``.

    :param subparsers: the subcommands of the main parser.
    """
    standin = subparsers.add_parser("standin", help="run a stand-in of the platform")
    kinds = standin.add_subparsers(dest="standin", required=True)
    log = kinds.add_parser("log", help="the platform's append-only log service")
    _add_listen(log)
    log.add_argument(
        "--retention-s",
        type=_seconds,
        default=RETENTION_DEFAULT_S,
        help="seconds for which records are kept (default: %(default)s)",
    )
    log.set_defaults(run=run_log)
    backend = kinds.add_parser("backend", help="a backend server")
    _add_listen(backend)
    backend.add_argument("--name", default="backend", help="name in its results")
    backend.set_defaults(run=run_backend)


def run_log(args: argparse.Namespace) -> int:
    """Serve the log stand-in until SIGTERM or SIGINT.

    :param args: ``listen`` (host and port) and ``retention_s``.
    :returns: 0, or 1 when the address cannot be bound.
    """
    from burdockgate import clock
    from burdockgate.standin import log  # type: ignore[attr-defined]

    async def start() -> tuple[str, Callable[[], Awaitable[None]]]:
        host, port = args.listen
        server = await log.serve(host, port, args.retention_s, clock.SystemClock())
        return server.address, server.stop

    return _run(args, start)


def run_backend(args: argparse.Namespace) -> int:
    """Serve the stand-in of a backend server until SIGTERM or SIGINT.

    :param args: ``listen`` (host and port) and ``name``.
    :returns: 0, or 1 when the address cannot be bound.
    """
    from burdockgate import clock
    from burdockgate.standin import backend

    async def start() -> tuple[str, Callable[[], Awaitable[None]]]:
        host, port = args.listen
        server = backend.BackendServer(args.name, host, port, clock.SystemClock())
        await server.start()
        return server.address, server.stop

    return _run(args, start)


_Start = Callable[[], Awaitable[tuple[str, Callable[[], Awaitable[None]]]]]


def _run(args: argparse.Namespace, start: _Start) -> int:
    try:
        asyncio.run(_serve(start))
    except OSError as error:
        host, port = args.listen
        print(f"--listen {host}:{port}: {error.strerror or error}", file=sys.stderr)
        return 1
    return 0


async def _serve(start: _Start) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    address, stop = await start()
    print(address, flush=True)
    await stopping.wait()
    await stop()


def _add_listen(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--listen",
        type=_address,
        default=LISTEN_DEFAULT,
        metavar="HOST:PORT",
        help="address to bind; port 0 lets the system choose (default: %(default)s)",
    )


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    if not (host and port.isascii() and port.isdigit() and int(port) <= PORT_LIMIT):
        raise argparse.ArgumentTypeError(
            f"{text!r:.80}, allowed is HOST:PORT with a port from 0 to {PORT_LIMIT}"
        )
    return host, int(port)


def _seconds(text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not 0 < value < math.inf:
        raise argparse.ArgumentTypeError(
            f"{text!r:.80}, allowed is a number of seconds above 0"
        )
    return value
