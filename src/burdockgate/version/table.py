"""The table of weights and limits, as a fold of the log's ``table`` stream.

All readers fold the same records in offset order and therefore have the same rows.
The version of a row, and of the table, is the offset after the change that set it.
The version of a deletion is kept, so that a change that is based on an earlier state
of the row is a conflict.
"""

from __future__ import annotations

import enum
import json
import re
import types
from collections.abc import Iterable, Iterator, Mapping
from typing import Any

import attrs

from burdockgate import errors, messages

STREAM = "table"
# Number of records, about one day of changes. Bounds the memory of a reader that
# waits for a snapshot.
BUFFER_LIMIT = 10_000
# Number of deletions whose versions are kept. Without its version, a late duplicate of
# the change that created a row would create it again; duplicates come within seconds.
# A snapshot contains the deletions and must fit in an append of 1 MiB.
DELETED_LIMIT = 2_000

_NAME = re.compile(r"[!-~]{1,128}")
_NAME_ALLOWED = "allowed are 1 to 128 visible ASCII characters"

Key = tuple[str, str]
_frozen = types.MappingProxyType


@attrs.frozen
class Row:
    """Weight and limits of a service or of a class of callers.

    :param scope: "service" or "class".
    :param weight: share of the slots, relative to other rows; 0.001 to 1000.
    :param max_in_progress: maximum number of tasks in progress; None for no limit.
    :param max_rate: maximum number of task starts per second; None for no limit.
    :param max_queue_s: maximum time in the queue in seconds; None for no limit.
    :param max_queue_bytes: maximum number of bytes in the queue; None for no limit.
    :param region: home region of a class; empty for none.
    :param version: offset after the change that set the row; 0 for a default row.
    """

    scope: str
    name: str
    weight: float = attrs.field(default=1.0, converter=float)
    max_in_progress: int | None = None
    max_rate: float | None = None
    max_queue_s: float | None = None
    max_queue_bytes: int | None = None
    region: str = ""
    version: int = 0

    @property
    def key(self) -> Key:
        """Scope and name."""
        return (self.scope, self.name)


@attrs.frozen
class Table:
    """All rows at one version.

    :param version: offset after the last accepted change; 0 when there is none.
    :param next: offset after the last record folded, from which to read on.
    :param deleted_by_key: versions of deletions, oldest first.
    :param buffered: records kept until a snapshot is read, because older ones have
        expired.
    :param buffer_start: offset from which ``buffered`` has every record; None when
        the rows are complete.
    """

    version: int = 0
    row_by_key: Mapping[Key, Row] = _frozen({})
    next: int = 0
    deleted_by_key: Mapping[Key, int] = _frozen({})
    buffered: tuple[messages.LogRecord, ...] = ()
    buffer_start: int | None = None

    @property
    def is_complete(self) -> bool:
        """Whether no records are missing between the rows and ``next``."""
        return self.buffer_start is None

    def row(self, scope: str, name: str) -> Row:
        """Return a row, or one with default values when there is none."""
        return self.row_by_key.get((scope, name)) or Row(scope, name)

    def row_version(self, key: Key) -> int:
        """Return the version of a row or of its deletion; 0 when there is neither."""
        row = self.row_by_key.get(key)
        return row.version if row else self.deleted_by_key.get(key, 0)


class Effect(enum.Enum):
    """How a record affects the table."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    IGNORED = "ignored"
    MALFORMED = "malformed"
    WAITING = "waiting"


@attrs.frozen
class Result:
    """Effect of one record.

    :param key: the key of the row that the record names, if any.
    :param row: the row after the record, if any.
    :param detail: one line with the reason; empty for an accepted change.
    """

    effect: Effect
    key: Key | None = None
    row: Row | None = None
    detail: str = ""


@attrs.frozen
class _Column:
    number_type: type[int] | type[float]
    low: float
    high: float

    def parse(self, text: str) -> float:
        # int() and float() accept underscores and the digits of every script.
        if not text.isascii() or "_" in text:
            raise ValueError(text)
        return self.number_type(text)

    def is_valid(self, value: Any) -> bool:
        return type(value) in {int, self.number_type} and self.low <= value <= self.high


_COLUMN_BY_NAME = {
    "weight": _Column(float, 0.001, 1000),
    "max_in_progress": _Column(int, 1, 10**9),
    "max_rate": _Column(float, 0.001, 10**9),
    "max_queue_s": _Column(float, 0, 86_400),
    "max_queue_bytes": _Column(int, 0, 2**50),
}
COLUMNS = ("scope", "name", *_COLUMN_BY_NAME, "region")


def parse_row(columns: Mapping[str, str]) -> Row:
    """Return the row of the given columns.

    :param columns: text by column name; an absent or empty column has its default.
    :raises errors.TableError: with one line for each problem.
    """
    values: dict[str, Any] = {}
    problems = []
    for column, text in columns.items():
        rule, text = _COLUMN_BY_NAME.get(column), text.strip()
        try:
            if text:
                values[column] = rule.parse(text) if rule else text
        except ValueError:
            problems.append(_range_problem(columns, column, text))
    problems += _check_values(values, columns)
    if problems:
        raise errors.TableError(problems)
    return Row(**values)


def _range_problem(where: Mapping[str, Any], column: str, value: Any) -> str:
    rule = _COLUMN_BY_NAME[column]
    what = "numbers" if rule.number_type is float else "integers"
    allowed = f"allowed are {what} from {rule.low:.15g} to {rule.high:.15g}"
    return f"{_label(where)}: {column}={value!r:.40}, {allowed}"


def _label(where: Mapping[str, Any]) -> str:
    label = f"{where.get('scope', '')!s:.20}/{where.get('name', '')!s:.128}"
    return label if label.isprintable() else repr(label)


def _check_values(values: Mapping[str, Any], where: Mapping[str, Any]) -> Iterator[str]:
    label = _label(where)
    scope, name, region = (values.get(key, "") for key in ("scope", "name", "region"))
    if scope not in ("service", "class"):
        yield f"{label}: scope={scope!r:.40}, allowed are service and class"
    if not isinstance(name, str) or not _NAME.fullmatch(name):
        yield f"{label}: name={name!r:.40}, {_NAME_ALLOWED}"
    if not isinstance(region, str) or (region and not _NAME.fullmatch(region)):
        yield f"{label}: region={region!r:.40}, {_NAME_ALLOWED}"
    elif region and scope == "service":
        yield f"{label}: region={region!r:.40}, allowed is a region in class rows only"
    for column, value in values.items():
        if column not in COLUMNS:
            yield f"{label}: column {column!r:.40}, allowed are {', '.join(COLUMNS)}"
        elif column in _COLUMN_BY_NAME and not _COLUMN_BY_NAME[column].is_valid(value):
            yield _range_problem(where, column, value)


def row_record(row: Row, based_on: int) -> bytes:
    """Return the JSON text of a record that sets a row.

    :param based_on: the :meth:`Table.row_version` that the writer read.
    """
    return _encode({"type": "set", "row": _row_json(row), "based_on": based_on})


def deletion_record(key: Key, based_on: int) -> bytes:
    """Return the JSON text of a record that deletes a row.

    :param based_on: the :meth:`Table.row_version` that the writer read.
    """
    scope, name = key
    return _encode(
        {"type": "delete", "scope": scope, "name": name, "based_on": based_on}
    )


def snapshot_record(table: Table) -> bytes:
    """Return the JSON text of a snapshot; its ``through`` is the version of the table.

    :raises errors.TableError: when the table is not complete.
    """
    if not table.is_complete:
        raise errors.TableError(["table: incomplete, allowed is a complete one"])
    rows = [
        {**_row_json(row), "version": row.version} for row in table.row_by_key.values()
    ]
    deleted = [
        {"scope": scope, "name": name, "version": version}
        for (scope, name), version in table.deleted_by_key.items()
    ]
    head = {"type": "snapshot", "through": table.version, "next": table.next}
    return _encode({**head, "rows": rows, "deleted": deleted})


def _encode(value: Mapping[str, Any]) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode()


def _row_json(row: Row) -> dict[str, Any]:
    return {column: getattr(row, column) for column in COLUMNS}


def fold(table: Table, record: messages.LogRecord) -> tuple[Table, Result]:
    """Return the table after a record, and the effect of the record.

    A record whose offset was folded before is ignored. An empty table whose first
    record is not at offset 0 buffers it until a usable snapshot is read. A later gap
    cannot be detected here, because the log client leaves out duplicates, so pages of
    records must go through :func:`fold_page`.
    """
    if record.offset < table.next:
        return table, Result(Effect.IGNORED, detail="older than the table")
    if table.next == 0 and record.offset > 0:
        table = attrs.evolve(table, buffer_start=record.offset)
    table = attrs.evolve(table, next=record.offset + 1)
    try:
        return _apply(table, record, _require_object(json.loads(record.value)))
    except (ValueError, RecursionError) as error:
        detail = " ".join(str(error).split())
        return table, Result(Effect.MALFORMED, detail=f"{detail:.200}")


def fold_page(
    table: Table, page: messages.Records
) -> tuple[Table, list[tuple[messages.LogRecord, Result]]]:
    """Return the table after a page, and the effect of each of its records.

    The page was read from ``table.next`` on. When it begins later, the records in
    between have expired; the table then keeps its rows and is not complete until a
    usable snapshot is read.
    """
    if page.first > table.next:
        table = attrs.evolve(
            table, next=page.first, buffer_start=page.first, buffered=()
        )
    results = []
    for record in page.records:
        table, result = fold(table, record)
        results.append((record, result))
    return attrs.evolve(table, next=max(table.next, page.next)), results


def _apply(
    table: Table, record: messages.LogRecord, change: Mapping[str, Any]
) -> tuple[Table, Result]:
    kind = change.get("type")
    if kind == "snapshot":
        return _apply_snapshot(table, record, change)
    if kind == "set":
        row = attrs.evolve(_read_row(change.get("row")), version=record.offset + 1)
        key = row.key
    elif kind == "delete":
        row, key = None, _read_key(change)
    else:
        raise ValueError(f"type={kind!r:.40}, allowed are set, delete and snapshot")
    based_on = _require_version(change, "based_on", record.offset)
    if not table.is_complete:
        return _buffer(table, record, key)
    current = table.row_by_key.get(key)
    if based_on != table.row_version(key) or (row is None and current is None):
        detail = f"based on version {based_on}, current is {table.row_version(key)}"
        return table, Result(Effect.CONFLICT, key, current, detail)
    table = _update_row(table, key, row, record.offset + 1)
    return table, Result(Effect.ACCEPTED, key, row)


def _update_row(table: Table, key: Key, row: Row | None, version: int) -> Table:
    rows, deleted = dict(table.row_by_key), dict(table.deleted_by_key)
    deleted.pop(key, None)
    if row is None:
        del rows[key]
        deleted[key] = version
        for oldest in list(deleted)[:-DELETED_LIMIT]:
            del deleted[oldest]
    else:
        rows[key] = row
    return Table(version, _frozen(rows), table.next, _frozen(deleted))


def _buffer(table: Table, record: messages.LogRecord, key: Key) -> tuple[Table, Result]:
    result = Result(Effect.WAITING, key, detail="waits for a snapshot")
    if len(table.buffered) == BUFFER_LIMIT:
        return attrs.evolve(table, buffered=(), buffer_start=record.offset + 1), result
    return attrs.evolve(table, buffered=(*table.buffered, record)), result


def _apply_snapshot(
    table: Table, record: messages.LogRecord, change: Mapping[str, Any]
) -> tuple[Table, Result]:
    snapshot = _read_snapshot(change, record.offset)
    is_same = snapshot.version == table.version and table.is_complete
    if is_same or snapshot.version < table.version:
        return table, Result(Effect.IGNORED, detail="the table is not older")
    # A complete table lacks no change, so it cannot be older than a snapshot.
    buffer_start = record.offset if table.buffer_start is None else table.buffer_start
    if snapshot.next < buffer_start:
        detail = f"records from {snapshot.next} to {buffer_start - 1} are missing"
        return attrs.evolve(table, buffer_start=buffer_start), Result(
            Effect.IGNORED, detail=detail
        )
    for later in table.buffered:
        snapshot, _ = fold(snapshot, later)
    return attrs.evolve(snapshot, next=table.next), Result(Effect.ACCEPTED)


def read_snapshot(value: bytes) -> Table:
    """Return the table that :func:`snapshot_record` wrote.

    :raises errors.TableError: when the text is not a snapshot.
    """
    try:
        change = _require_object(json.loads(value))
        return _read_snapshot(change, _require_version(change, "next", 2**63))
    except (ValueError, RecursionError) as error:
        raise errors.TableError([f"snapshot: {error}"]) from error


def _read_snapshot(change: Mapping[str, Any], offset: int) -> Table:
    end = _require_version(change, "next", offset)
    through = _require_version(change, "through", end)
    rows = [
        attrs.evolve(
            _read_row(entry), version=_require_version(entry, "version", through)
        )
        for entry in _require_list(change, "rows")
    ]
    deleted = {
        _read_key(entry): _require_version(entry, "version", through)
        for entry in _require_list(change, "deleted")
    }
    row_by_key = {row.key: row for row in rows}
    return Table(through, _frozen(row_by_key), end, _frozen(deleted))


def _require_object(value: Any) -> Mapping[str, Any]:
    if not isinstance(value, dict):
        raise ValueError(f"{value!r:.40}: allowed is a JSON object")
    return value


def _require_list(change: Mapping[str, Any], field: str) -> Iterable[Mapping[str, Any]]:
    value = change.get(field)
    if not isinstance(value, list):
        raise ValueError(f"{field}={value!r:.40}, allowed is a list")
    return map(_require_object, value)


def _require_version(change: Mapping[str, Any], field: str, high: int) -> int:
    value = change.get(field)
    if type(value) is not int or not 0 <= value <= high:
        raise ValueError(f"{field}={value!r:.40}, allowed are 0 to {high}")
    return value


def _read_key(change: Mapping[str, Any]) -> Key:
    key = {"scope": change.get("scope"), "name": change.get("name")}
    for problem in _check_values(key, key):
        raise ValueError(problem)
    return (str(key["scope"]), str(key["name"]))


def _read_row(value: Any) -> Row:
    # Unknown columns are ignored, so that readers of an older release accept the same
    # changes as those of a newer one.
    row = _require_object(value)
    values = {column: row[column] for column in COLUMNS if row.get(column) is not None}
    for problem in _check_values(values, row):
        raise ValueError(problem)
    return Row(**values)
