"""Subcommand ``table``: read and change the table of weights and limits."""

from __future__ import annotations

import argparse
from collections.abc import Awaitable, Callable, Iterable, Mapping
from typing import TYPE_CHECKING, Any

from burdockgate.cli import rollout

if TYPE_CHECKING:
    from burdockgate.process import editor
    from burdockgate.version import table

_ROW_FORM = "service/NAME or class/NAME"
_ROW_HELP = f"row as {_ROW_FORM}"
_BASED_ON_HELP = "version of the row that the change is meant for (default: current)"

# Carries out an action with an editor and the parsed arguments and returns the exit
# status.
_Action = Callable[["editor.TableEditor", argparse.Namespace], Awaitable[int]]


def register(subparsers: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Add the subcommand ``table`` and its own subcommands.

    Each parser sets the default ``run``, a function that takes the arguments and
    returns the exit status: 0, 1 (a failure or a conflict) or 2 (usage).

    :param subparsers: the subcommands of the main parser.
    """
    table_parser = _add_parser(
        subparsers,
        "table",
        "read and change the table of weights and limits",
        "burdockgate table set class/batch weight=0.5 --log http://127.0.0.1:7000",
    )
    actions = table_parser.add_subparsers(required=True, metavar="ACTION")

    parser = _add_action(actions, "get", "show rows", "class/batch", _get)
    parser.add_argument("row", nargs="?", metavar="ROW", help=_ROW_HELP)

    parser = _add_action(actions, "set", "set columns", "class/batch weight=0.5", _set)
    parser.add_argument("row", metavar="ROW", help=_ROW_HELP)
    parser.add_argument(
        "columns",
        nargs="+",
        metavar="column=value",
        help="weight, max_in_progress, max_rate (tasks/s), max_queue_s, "
        "max_queue_bytes or region; an empty value restores the default",
    )
    parser.add_argument("--based-on", type=int, metavar="N", help=_BASED_ON_HELP)

    parser = _add_action(actions, "delete", "delete a row", "class/batch", _delete)
    parser.add_argument("row", metavar="ROW", help=_ROW_HELP)
    parser.add_argument("--based-on", type=int, metavar="N", help=_BASED_ON_HELP)

    parser = _add_action(
        actions, "import", "set the rows of a CSV", "rows.csv", _import
    )
    parser.add_argument("file", metavar="FILE", help="CSV file as export writes it")

    _add_action(actions, "export", "write all rows as CSV", "> rows.csv", _export)

    parser = _add_action(
        actions, "history", "show the changes in the log", "", _history
    )
    parser.add_argument("--change", metavar="ID", help="show the outcome of one change")

    rollout.add_options(
        _add_parser(
            actions,
            "wait",
            "wait until a table version is in force on all nodes",
            "burdockgate table wait 42 --entry http://127.0.0.1:8080",
        )
    )

    parser = _add_action(
        actions, "diff", "compare the table with a CSV", "rows.csv", _diff
    )
    parser.add_argument("file", metavar="FILE", help="CSV file as export writes it")


def _add_parser(
    subparsers: argparse._SubParsersAction[argparse.ArgumentParser],
    name: str,
    summary: str,
    example: str,
) -> argparse.ArgumentParser:
    return subparsers.add_parser(
        name, help=summary, description=summary, epilog=f"example: {example}"
    )


def _add_action(
    subparsers: argparse._SubParsersAction[argparse.ArgumentParser],
    name: str,
    summary: str,
    example: str,
    action: _Action,
) -> argparse.ArgumentParser:
    command_line = f"burdockgate table {name} --log http://127.0.0.1:7000 {example}"
    parser = _add_parser(subparsers, name, summary, command_line.rstrip())
    parser.add_argument(
        "--log", required=True, metavar="URL", help="URL of the log service"
    )
    parser.add_argument("--json", action="store_true", help="write JSON")
    parser.set_defaults(run=lambda args: _run(action, args))
    return parser


def _run(action: _Action, args: argparse.Namespace) -> int:
    import asyncio
    import sys

    from burdockgate import errors

    try:
        return asyncio.run(_run_with_editor(action, args))
    except (errors.TableError, errors.SettingsError) as error:
        print(error, file=sys.stderr)
        return 2
    except errors.BurdockgateError as error:
        print(error, file=sys.stderr)
        return 1


async def _run_with_editor(action: _Action, args: argparse.Namespace) -> int:
    import random

    from burdockgate.process import editor, logclient

    # Change ids must be unique among all writers, so they come from the operating
    # system's random source.
    rng = random.SystemRandom()
    async with logclient.LogClient(args.log, rng) as log:
        return await action(editor.TableEditor(log, rng), args)


async def _get(table_editor: editor.TableEditor, args: argparse.Namespace) -> int:
    key = _parse_key(args.row) if args.row else None
    current = await table_editor.read()
    rows = [current.row(*key)] if key else list(current.row_by_key.values())
    if args.json:
        _print_json({"version": current.version, "rows": list(map(_row_json, rows))})
    else:
        print(f"version {current.version}")
        for row in rows:
            print(_format_row(row))
    return 0


async def _set(table_editor: editor.TableEditor, args: argparse.Namespace) -> int:
    from burdockgate import errors
    from burdockgate.version import table

    key = _parse_key(args.row)
    columns = dict(assignment.partition("=")[::2] for assignment in args.columns)
    problems = [
        f"{args.row}: {assignment!r:.80}, allowed is column=value with columns "
        f"{', '.join(table.COLUMNS[2:])}"
        for assignment in args.columns
        if "=" not in assignment
        or assignment.partition("=")[0] not in table.COLUMNS[2:]
    ]
    if problems:
        raise errors.TableError(problems)
    key_columns = {"scope": key[0], "name": key[1]}
    # Checked before the log is read, so that invalid values are reported even when the
    # log cannot be reached.
    table.parse_row({**columns, **key_columns})
    current = await table_editor.read()
    row = table.parse_row(
        {**_column_texts(current.row(*key)), **columns, **key_columns}
    )
    based_on = current.row_version(key) if args.based_on is None else args.based_on
    return _print_outcomes(
        [(args.row, await table_editor.set_row(row, based_on))], args
    )


async def _delete(table_editor: editor.TableEditor, args: argparse.Namespace) -> int:
    from burdockgate import errors

    key = _parse_key(args.row)
    current = await table_editor.read()
    if key not in current.row_by_key:
        raise errors.ConflictError(f"{args.row}: there is no such row to delete")
    based_on = current.row_version(key) if args.based_on is None else args.based_on
    return _print_outcomes(
        [(args.row, await table_editor.delete_row(*key, based_on))], args
    )


async def _import(table_editor: editor.TableEditor, args: argparse.Namespace) -> int:
    from burdockgate.process import editor

    rows = _read_file(args.file)
    current = await table_editor.read()
    outcomes: list[tuple[str, editor.Outcome]] = []
    for row in rows:
        if _column_texts(row) == _column_texts(current.row(*row.key)) and (
            row.key in current.row_by_key
        ):
            continue
        # With a version from the file, a row that has changed since the export is a
        # conflict.
        based_on = row.version or current.row_version(row.key)
        outcome = await table_editor.set_row(row, based_on)
        outcomes.append(("/".join(row.key), outcome))
        if isinstance(outcome, editor.Unknown):
            break
    return _print_outcomes(outcomes, args)


async def _export(table_editor: editor.TableEditor, args: argparse.Namespace) -> int:
    import csv
    import sys

    from burdockgate.version import table

    current = await table_editor.read()
    rows = list(current.row_by_key.values())
    if args.json:
        _print_json({"version": current.version, "rows": list(map(_row_json, rows))})
        return 0
    writer = csv.writer(sys.stdout, lineterminator="\n")
    writer.writerow([*table.COLUMNS, "version"])
    writer.writerows([*_column_texts(row).values(), row.version] for row in rows)
    return 0


async def _history(table_editor: editor.TableEditor, args: argparse.Namespace) -> int:
    import json

    from burdockgate import errors

    if args.change:
        outcome = await table_editor.outcome(args.change)
        if outcome is None:
            raise errors.ConflictError(
                f"change {args.change}: not among the records that the log keeps"
            )
        return _print_outcomes([(f"change {args.change}", outcome)], args)
    for entry in await table_editor.history():
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


async def _diff(table_editor: editor.TableEditor, args: argparse.Namespace) -> int:
    file_rows = {row.key: row for row in _read_file(args.file)}
    table_rows = (await table_editor.read()).row_by_key
    changes = []
    for key in sorted(file_rows.keys() | table_rows.keys()):
        table_row, file_row = table_rows.get(key), file_rows.get(key)
        if (
            table_row is None
            or file_row is None
            or _column_texts(table_row) != _column_texts(file_row)
        ):
            changes.append((table_row, file_row))
    for table_row, file_row in changes:
        if args.json:
            _print_json(
                {
                    "table": _row_json(table_row) if table_row else None,
                    "file": _row_json(file_row) if file_row else None,
                }
            )
            continue
        if table_row:
            print(f"- {_format_row(table_row)}")
        if file_row:
            print(f"+ {_format_row(file_row)}")
    return 0


def _parse_key(text: str) -> table.Key:
    from burdockgate import errors
    from burdockgate.version import table

    scope, slash, name = text.partition("/")
    if not slash:
        raise errors.TableError([f"row {text!r:.80}: allowed is {_ROW_FORM}"])
    return table.parse_row({"scope": scope, "name": name}).key


def _read_file(path: str) -> list[table.Row]:
    import csv

    from burdockgate import errors

    try:
        with open(path, encoding="utf-8", newline="") as file:
            records = list(csv.DictReader(file, strict=True))
    except (OSError, ValueError, csv.Error) as error:
        raise errors.TableError([f"file {path}: {error}"]) from error
    rows: list[table.Row] = []
    problems: list[str] = []
    for number, columns in enumerate(records, 1):
        try:
            row = _parse_record(columns)
            if row.key in {earlier.key for earlier in rows}:
                name = "/".join(row.key)
                raise errors.TableError([f"{name}: allowed is one line per row"])
            rows.append(row)
        except errors.TableError as error:
            problems += [f"row {number}: {problem}" for problem in error.problems]
    if problems:
        raise errors.TableError(problems)
    return rows


def _parse_record(record: Mapping[str | None, Any]) -> table.Row:
    import attrs

    from burdockgate import errors
    from burdockgate.version import table

    if None in record or None in record.values():
        raise errors.TableError(
            ["the number of fields differs from that of the header"]
        )
    fields = {str(column): str(text) for column, text in record.items()}
    version = fields.pop("version", "") or "0"
    row = table.parse_row(fields)
    if not (version.isascii() and version.isdigit() and len(version) < 19):
        name = "/".join(row.key)
        raise errors.TableError(
            [f"{name}: version={version!r:.40}, allowed is an integer of at least 0"]
        )
    return attrs.evolve(row, version=int(version))


def _column_texts(row: table.Row) -> dict[str, str]:
    from burdockgate.version import table

    values = {column: getattr(row, column) for column in table.COLUMNS}
    return {
        column: "" if value is None else str(value) for column, value in values.items()
    }


def _row_json(row: table.Row) -> dict[str, Any]:
    import attrs

    return attrs.asdict(row)


def _format_row(row: table.Row) -> str:
    assignments = [
        f"{column}={text}"
        for column, text in list(_column_texts(row).items())[2:]
        if text
    ]
    version = f" (version {row.version})" if row.version else " (default)"
    return f"{row.scope}/{row.name} {' '.join(assignments)}{version}"


def _print_outcomes(
    outcomes: Iterable[tuple[str, editor.Outcome]], args: argparse.Namespace
) -> int:
    import dataclasses
    import sys

    import attrs

    from burdockgate.process import editor

    status = 0
    for subject, outcome in outcomes:
        if not isinstance(outcome, editor.Accepted):
            status = 1
        if args.json:
            fields = dataclasses.asdict(outcome)
            row = None if isinstance(outcome, editor.Unknown) else outcome.row
            if "row" in fields:
                fields["row"] = attrs.asdict(row) if row else None
            kind = type(outcome).__name__.lower()
            _print_json({"subject": subject, "outcome": kind, **fields})
        else:
            stream = sys.stdout if isinstance(outcome, editor.Accepted) else sys.stderr
            print(f"{subject}: {_format_outcome(outcome)}", file=stream)
    return status


def _format_outcome(outcome: editor.Outcome) -> str:
    from burdockgate.process import editor

    if isinstance(outcome, editor.Accepted):
        return f"accepted: version {outcome.version}, change {outcome.change_id}"
    if isinstance(outcome, editor.Conflict):
        current = _format_row(outcome.row) if outcome.row else "no such row"
        return f"conflict: {outcome.detail}; current: {current}"
    return (
        f"not known: {outcome.detail}; to look it up later, run: burdockgate table "
        f"history --change {outcome.change_id}"
    )


def _print_json(value: Any) -> None:
    import json

    print(json.dumps(value))
