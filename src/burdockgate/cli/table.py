"""Subcommand ``table``: read and change the table of weights and limits."""

from __future__ import annotations

import argparse
from collections.abc import Awaitable, Callable, Iterable, Mapping
from typing import TYPE_CHECKING, Any

from burdockgate.cli import rollout

if TYPE_CHECKING:
    from burdockgate.process import editor
    from burdockgate.version import table

_ROW_HELP = "row as service/NAME or class/NAME"
_BASED_ON_HELP = "version of the row that the change is meant for (default: current)"

# What an action of this module does with an editor; returns the exit status.
_Action = Callable[["editor.TableEditor", argparse.Namespace], Awaitable[int]]


def register(subparsers: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Add the subcommand ``table`` and its own subcommands.

    Each parser sets the default ``run``, a function that takes the arguments and
    returns the exit status: 0, 1 (a failure or a conflict) or 2 (usage).

    :param subparsers: the subparsers of the main parser.
    """
    main = _parser(
        subparsers,
        "table",
        "read and change the table of weights and limits",
        "burdockgate table set class/batch weight=0.5 --log http://127.0.0.1:7000",
    )
    actions = main.add_subparsers(required=True, metavar="ACTION")

    parser = _leaf(actions, "get", "show rows", "class/batch", _get)
    parser.add_argument("row", nargs="?", metavar="ROW", help=_ROW_HELP)

    parser = _leaf(actions, "set", "set columns", "class/batch weight=0.5", _set)
    parser.add_argument("row", metavar="ROW", help=_ROW_HELP)
    parser.add_argument(
        "columns",
        nargs="+",
        metavar="column=value",
        help="weight, max_in_progress, max_rate (tasks/s), max_queue_s, "
        "max_queue_bytes or region; an empty value restores the default",
    )
    parser.add_argument("--based-on", type=int, metavar="N", help=_BASED_ON_HELP)

    parser = _leaf(actions, "delete", "delete a row", "class/batch", _delete)
    parser.add_argument("row", metavar="ROW", help=_ROW_HELP)
    parser.add_argument("--based-on", type=int, metavar="N", help=_BASED_ON_HELP)

    parser = _leaf(actions, "import", "set the rows of a CSV", "rows.csv", _import)
    parser.add_argument("file", metavar="FILE", help="CSV file as export writes it")

    _leaf(actions, "export", "write all rows as CSV", "> rows.csv", _export)

    parser = _leaf(actions, "history", "show the changes kept", "", _history)
    parser.add_argument("--change", metavar="ID", help="show one change's outcome")

    rollout.add_options(
        _parser(
            actions,
            "wait",
            "wait until a table version is in force on all nodes",
            "burdockgate table wait 42 --entry http://127.0.0.1:8080",
        )
    )

    parser = _leaf(actions, "diff", "compare with a CSV", "rows.csv", _diff)
    parser.add_argument("file", metavar="FILE", help="CSV file as export writes it")


def _parser(
    subparsers: argparse._SubParsersAction[argparse.ArgumentParser],
    name: str,
    summary: str,
    example: str,
) -> argparse.ArgumentParser:
    return subparsers.add_parser(
        name, help=summary, description=summary, epilog=f"example: {example}"
    )


def _leaf(
    subparsers: argparse._SubParsersAction[argparse.ArgumentParser],
    name: str,
    summary: str,
    example: str,
    action: _Action,
) -> argparse.ArgumentParser:
    words = f"burdockgate table {name} --log http://127.0.0.1:7000 {example}"
    parser = _parser(subparsers, name, summary, words.rstrip())
    parser.add_argument("--log", required=True, metavar="URL", help="the log service")
    parser.add_argument("--json", action="store_true", help="write JSON")
    parser.set_defaults(run=lambda args: _run(action, args))
    return parser


def _run(action: _Action, args: argparse.Namespace) -> int:
    import asyncio
    import sys

    from burdockgate import errors

    try:
        return asyncio.run(_edit(action, args))
    except (errors.TableError, errors.SettingsError) as error:
        print(error, file=sys.stderr)
        return 2
    except errors.BurdockgateError as error:
        print(error, file=sys.stderr)
        return 1


async def _edit(action: _Action, args: argparse.Namespace) -> int:
    import random

    from burdockgate.process import editor, logclient

    # Operators' change ids must differ, so they come from the system's source.
    rng = random.SystemRandom()
    async with logclient.LogClient(args.log, rng) as log:
        return await action(editor.TableEditor(log, rng), args)


async def _get(edit: editor.TableEditor, args: argparse.Namespace) -> int:
    key = _key(args.row) if args.row else None
    current = await edit.read()
    rows = [current.row(*key)] if key else list(current.row_by_key.values())
    if args.json:
        _print_json({"version": current.version, "rows": list(map(_row_json, rows))})
    else:
        print(f"version {current.version}")
        for row in rows:
            print(_line(row))
    return 0


async def _set(edit: editor.TableEditor, args: argparse.Namespace) -> int:
    from burdockgate import errors
    from burdockgate.version import table

    key = _key(args.row)
    columns = dict(word.partition("=")[::2] for word in args.columns)
    problems = [
        f"{args.row}: {word!r:.80}, allowed is column=value with columns "
        f"{', '.join(table.COLUMNS[2:])}"
        for word in args.columns
        if "=" not in word or word.partition("=")[0] not in table.COLUMNS[2:]
    ]
    if problems:
        raise errors.TableError(problems)
    named = {"scope": key[0], "name": key[1]}
    # Wrong values are reported even when the log cannot be reached.
    table.parse_row({**columns, **named})
    current = await edit.read()
    row = table.parse_row({**_columns(current.row(*key)), **columns, **named})
    based_on = current.row_version(key) if args.based_on is None else args.based_on
    return _report([(args.row, await edit.set_row(row, based_on))], args)


async def _delete(edit: editor.TableEditor, args: argparse.Namespace) -> int:
    from burdockgate import errors

    key = _key(args.row)
    current = await edit.read()
    if key not in current.row_by_key:
        raise errors.ConflictError(f"{args.row}: there is no such row to delete")
    based_on = current.row_version(key) if args.based_on is None else args.based_on
    return _report([(args.row, await edit.delete_row(*key, based_on))], args)


async def _import(edit: editor.TableEditor, args: argparse.Namespace) -> int:
    from burdockgate.process import editor

    rows = _read_file(args.file)
    current = await edit.read()
    reports: list[tuple[str, editor.Outcome]] = []
    for row in rows:
        if _columns(row) == _columns(current.row(*row.key)) and (
            row.key in current.row_by_key
        ):
            continue
        # A version in the file makes a change of the row since the export a conflict.
        based_on = row.version or current.row_version(row.key)
        outcome = await edit.set_row(row, based_on)
        reports.append(("/".join(row.key), outcome))
        if isinstance(outcome, editor.Unknown):
            break
    return _report(reports, args)


async def _export(edit: editor.TableEditor, args: argparse.Namespace) -> int:
    import csv
    import sys

    from burdockgate.version import table

    current = await edit.read()
    rows = list(current.row_by_key.values())
    if args.json:
        _print_json({"version": current.version, "rows": list(map(_row_json, rows))})
        return 0
    writer = csv.writer(sys.stdout, lineterminator="\n")
    writer.writerow([*table.COLUMNS, "version"])
    writer.writerows([*_columns(row).values(), row.version] for row in rows)
    return 0


async def _history(edit: editor.TableEditor, args: argparse.Namespace) -> int:
    import json

    from burdockgate import errors

    if args.change:
        outcome = await edit.outcome(args.change)
        if outcome is None:
            raise errors.ConflictError(
                f"change {args.change}: not among the records that the log keeps"
            )
        return _report([(f"change {args.change}", outcome)], args)
    for entry in await edit.history():
        record, result = entry.record, entry.result
        if args.json:
            _print_json(
                {
                    "offset": record.offset,
                    "change": record.id,
                    "effect": result.effect.value,
                    "detail": result.detail,
                    "value": json.loads(record.value),
                }
            )
        else:
            detail = f" ({result.detail})" if result.detail else ""
            value = record.value.decode()
            print(f"{record.offset} {record.id} {result.effect.value}{detail} {value}")
    return 0


async def _diff(edit: editor.TableEditor, args: argparse.Namespace) -> int:
    wanted = {row.key: row for row in _read_file(args.file)}
    current = (await edit.read()).row_by_key
    changes = []
    for key in sorted(wanted.keys() | current.keys()):
        here, there = current.get(key), wanted.get(key)
        if here is None or there is None or _columns(here) != _columns(there):
            changes.append((here, there))
    for here, there in changes:
        if args.json:
            _print_json(
                {
                    "table": _row_json(here) if here else None,
                    "file": _row_json(there) if there else None,
                }
            )
            continue
        if here:
            print(f"- {_line(here)}")
        if there:
            print(f"+ {_line(there)}")
    return 0


def _key(text: str) -> table.Key:
    from burdockgate import errors
    from burdockgate.version import table

    scope, slash, name = text.partition("/")
    if not slash:
        raise errors.TableError([f"row {text!r:.80}: allowed is {_ROW_HELP[7:]}"])
    return table.parse_row({"scope": scope, "name": name}).key


def _read_file(path: str) -> list[table.Row]:
    import csv

    from burdockgate import errors

    try:
        with open(path, encoding="utf-8", newline="") as file:
            lines = list(csv.DictReader(file, strict=True))
    except (OSError, ValueError, csv.Error) as error:
        raise errors.TableError([f"file {path}: {error}"]) from error
    rows: list[table.Row] = []
    problems: list[str] = []
    for number, columns in enumerate(lines, 1):
        try:
            row = _read_columns(columns)
            if row.key in {earlier.key for earlier in rows}:
                name = "/".join(row.key)
                raise errors.TableError([f"{name}: allowed is one line for each row"])
            rows.append(row)
        except errors.TableError as error:
            problems += [f"row {number}: {problem}" for problem in error.problems]
    if problems:
        raise errors.TableError(problems)
    return rows


def _read_columns(columns: Mapping[str | None, Any]) -> table.Row:
    import attrs

    from burdockgate import errors
    from burdockgate.version import table

    if None in columns or None in columns.values():
        raise errors.TableError(["allowed are as many fields as the header has"])
    fields = {str(column): str(text) for column, text in columns.items()}
    version = fields.pop("version", "") or "0"
    row = table.parse_row(fields)
    if not (version.isascii() and version.isdigit() and len(version) < 19):
        name = "/".join(row.key)
        raise errors.TableError(
            [f"{name}: version={version!r:.40}, allowed is an integer of at least 0"]
        )
    return attrs.evolve(row, version=int(version))


def _columns(row: table.Row) -> dict[str, str]:
    from burdockgate.version import table

    values = {column: getattr(row, column) for column in table.COLUMNS}
    return {column: "" if v is None else str(v) for column, v in values.items()}


def _row_json(row: table.Row) -> dict[str, Any]:
    import attrs

    return attrs.asdict(row)


def _line(row: table.Row) -> str:
    words = [f"{c}={text}" for c, text in list(_columns(row).items())[2:] if text]
    version = f" (version {row.version})" if row.version else " (default)"
    return f"{row.scope}/{row.name} {' '.join(words)}{version}"


def _report(
    reports: Iterable[tuple[str, editor.Outcome]], args: argparse.Namespace
) -> int:
    import dataclasses
    import sys

    import attrs

    from burdockgate.process import editor

    status = 0
    for label, outcome in reports:
        if not isinstance(outcome, editor.Accepted):
            status = 1
        if args.json:
            fields = dataclasses.asdict(outcome)
            row = None if isinstance(outcome, editor.Unknown) else outcome.row
            if "row" in fields:
                fields["row"] = attrs.asdict(row) if row else None
            kind = type(outcome).__name__.lower()
            _print_json({"subject": label, "outcome": kind, **fields})
        else:
            stream = sys.stdout if isinstance(outcome, editor.Accepted) else sys.stderr
            print(f"{label}: {_outcome_line(outcome)}", file=stream)
    return status


def _outcome_line(outcome: editor.Outcome) -> str:
    from burdockgate.process import editor

    if isinstance(outcome, editor.Accepted):
        return f"accepted: version {outcome.version}, change {outcome.change_id}"
    if isinstance(outcome, editor.Conflict):
        current = _line(outcome.row) if outcome.row else "no such row"
        return f"conflict: {outcome.detail}; current: {current}"
    return (
        f"not known: {outcome.detail}; ask later with: burdockgate table history "
        f"--change {outcome.change_id}"
    )


def _print_json(value: Any) -> None:
    import json

    print(json.dumps(value))
