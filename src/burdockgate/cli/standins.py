"""Subcommands ``standin log`` and ``standin backend``.

Each runs a stand-in of a part of the platform in a process of its own.
"""

from __future__ import annotations

import argparse
import math

from burdockgate.cli import main

DEFAULT_LISTEN = "127.0.0.1:0"
DEFAULT_RETENTION_S = 3600.0
PORT_LIMIT = 65535


def register(subparsers: main.Subparsers) -> None:
    """Add ``standin log`` and ``standin backend``.

    :param subparsers: the subcommands of the main parser.
    """
    standin = main.add_command(
        subparsers,
        "standin",
        "run a stand-in of the platform until SIGTERM",
        "burdockgate standin log --listen 127.0.0.1:7400",
    )
    kinds = standin.add_subparsers(dest="standin", required=True, metavar="KIND")
    log = main.add_command(
        kinds,
        "log",
        "the platform's append-only log service",
        "burdockgate standin log --listen 127.0.0.1:7400 --retention-s 600",
    )
    _add_listen(log)
    log.add_argument(
        "--retention-s",
        type=_seconds,
        default=DEFAULT_RETENTION_S,
        help="how many seconds records are retained (default: %(default)s)",
    )
    log.set_defaults(run=run_log)
    backend = main.add_command(
        kinds,
        "backend",
        "a backend server that sleeps and returns the payload",
        "burdockgate standin backend --listen 127.0.0.1:7500 --name server-1",
    )
    _add_listen(backend)
    backend.add_argument(
        "--name", default="backend", help="name that its results carry"
    )
    backend.add_argument(
        "--record",
        metavar="FILE",
        help="append each task start to this file as a line of JSON; the file keeps it "
        "when the process is killed",
    )
    backend.set_defaults(run=run_backend)


def run_log(args: argparse.Namespace) -> int:
    """Serve the log stand-in until SIGTERM or SIGINT.

    :param args: ``listen`` (host and port) and ``retention_s``.
    :returns: the exit status.
    """
    from burdockgate.standin import launcher, log

    store = log.LogStore(retention_s=args.retention_s)
    return launcher.run(log.LogServer(store, *args.listen))


def run_backend(args: argparse.Namespace) -> int:
    """Serve the stand-in of a backend server until SIGTERM or SIGINT.

    :param args: ``listen`` (host and port), ``name`` and ``record``.
    :returns: the exit status.
    """
    from burdockgate import clock
    from burdockgate.standin import backend, launcher

    host, port = args.listen
    server = backend.BackendServer(
        args.name, host, port, clock.SystemClock(), args.record
    )
    return launcher.run(server)


def _add_listen(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--listen",
        type=_address,
        default=DEFAULT_LISTEN,
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
