"""Guards the fold of the table stream and the checks of rows."""

import json

import hypothesis
import pytest
from hypothesis import strategies

from burdockgate import errors, messages
from burdockgate.version import table

hypothesis.settings.register_profile("ci", derandomize=True, deadline=None)
hypothesis.settings.load_profile("ci")

BATCH = table.Row("class", "batch", weight=0.5)
KEYS = [("class", "a"), ("class", "b"), ("service", "a")]


def _record(offset, value):
    return messages.LogRecord(offset, f"id-{offset}", value)


def _fold(records, start=0):
    """Fold records as a reader of a log that begins at offset ``start``."""
    retained = tuple(record for record in records if record.offset >= start)
    page = messages.Records("table", start, len(records), retained)
    return table.fold_page(table.Table(), page)


def _effects(results):
    return [result.effect.value for _, result in results]


def test_log_order_decides_between_concurrent_changes():
    """Two changes based on the same version must not both be accepted."""
    first, second = BATCH, table.Row("class", "batch", weight=2)
    values = [table.row_record(first, 0), table.row_record(second, 0)]
    folded, results = _fold([_record(n, value) for n, value in enumerate(values)])
    assert _effects(results) == ["accepted", "conflict"]
    assert results[1][1].row == folded.row("class", "batch")
    assert (folded.version, folded.row("class", "batch").weight) == (1, 0.5)
    assert folded.row("class", "other") == table.Row("class", "other")


def test_late_duplicate_does_not_restore_a_deleted_row():
    """Without the version of the deletion, a repeated creation would be accepted."""
    create = table.row_record(BATCH, 0)
    values = [create, table.deletion_record(BATCH.key, 1), create]
    records = [_record(n, value) for n, value in enumerate(values)]
    folded, results = _fold(records)
    assert _effects(results) == ["accepted", "accepted", "conflict"]
    assert (folded.version, dict(folded.row_by_key)) == (2, {})
    again, result = table.fold(folded, _record(3, table.row_record(BATCH, 2)))
    assert (result.effect, again.version) == (table.Effect.ACCEPTED, 4)


@pytest.mark.parametrize(
    "change",
    [
        b"{",
        b"[" * 100_000,
        b"[]",
        b'{"type":"move"}',
        b'{"type":"set","based_on":0}',
        b'{"type":"set","row":{"scope":null,"name":"a"},"based_on":0}',
        b'{"type":"set","row":{"scope":"class","name":["a"]},"based_on":0}',
        b'{"type":"set","row":{"scope":"class","name":"a","weight":true},"based_on":0}',
        b'{"type":"set","row":{"scope":"class","name":"a","weight":NaN},"based_on":0}',
        b'{"type":"set","row":{"scope":"class","name":"a"},"based_on":-1}',
        b'{"type":"set","row":{"scope":"class","name":"a"},"based_on":8}',
        b'{"type":"delete","scope":"class","name":"a\\n","based_on":0}',
        b'{"type":"snapshot","through":9,"next":1,"rows":[],"deleted":[]}',
        b'{"type":"snapshot","through":0,"next":0,"rows":[{}],"deleted":[]}',
    ],
)
def test_malformed_change_is_ignored_and_reported(change):
    """A malformed record in the log must not stop a reader."""
    before, _ = _fold([_record(0, table.row_record(BATCH, 0))])
    after, result = table.fold(before, _record(1, change))
    assert result.effect is table.Effect.MALFORMED
    assert result.detail
    assert "\n" not in result.detail
    assert (after.version, after.row_by_key) == (1, before.row_by_key)


def test_unknown_column_is_left_out():
    """Readers of an older release must accept a change with a newer column."""
    change = {"type": "set", "row": {"scope": "class", "name": "a", "x": 1}}
    value = json.dumps({**change, "based_on": 0}).encode()
    folded, results = _fold([_record(0, value)])
    assert _effects(results) == ["accepted"]
    assert folded.row("class", "a").version == 1


@strategies.composite
def logs(draw):
    """Draw a stream of current and stale changes, duplicates and late snapshots."""
    records: list[messages.LogRecord] = []
    tables = [table.Table()]
    for offset in range(draw(strategies.integers(1, 25))):
        kind = draw(strategies.sampled_from(["set", "set", "delete", "again", "snap"]))
        key = draw(strategies.sampled_from(KEYS))
        seen = tables[-1 - draw(strategies.integers(0, min(2, offset)))]
        if kind == "again" and records:
            value = draw(strategies.sampled_from(records)).value
        elif kind == "delete":
            value = table.deletion_record(key, seen.row_version(key))
        elif kind == "snap":
            value = table.snapshot_record(seen)
        else:
            weight = draw(strategies.integers(1, 9))
            row = table.Row(*key, weight=weight)
            value = table.row_record(row, seen.row_version(key))
        records.append(_record(offset, value))
        tables.append(table.fold(tables[-1], records[-1])[0])
    return records


@hypothesis.given(logs(), strategies.data())
def test_every_reader_agrees_wherever_it_starts(records, data):
    """A reader that starts after expiry has the same rows or is marked incomplete."""
    full, _ = _fold(records)
    start = data.draw(strategies.integers(0, len(records)))
    late, _ = _fold(records, start)
    if late.is_complete:
        assert late == full
    # A reader that was offline keeps its rows and catches up in the same way.
    cut = data.draw(strategies.integers(0, start))
    before, _ = _fold(records[:cut])
    page = messages.Records("table", start, len(records), tuple(records[start:]))
    after, _ = table.fold_page(before, page)
    assert after.version >= before.version
    assert after == full or not after.is_complete


@hypothesis.given(logs(), strategies.data())
def test_stale_record_never_lowers_the_version(records, data):
    """Records in any order, also repeated ones, must never lower the version."""
    folded = table.Table()
    for record in data.draw(strategies.lists(strategies.sampled_from(records))):
        after, result = table.fold(folded, record)
        assert after.version >= folded.version
        if record.offset < folded.next:
            assert (after, result.effect) == (folded, table.Effect.IGNORED)
        folded = after


def test_reader_starts_at_a_snapshot_and_applies_changes_around_it():
    """Changes between the end of a snapshot and its append must not be lost."""
    values = [table.row_record(BATCH, 0), table.row_record(table.Row("class", "a"), 0)]
    early, _ = _fold([_record(0, values[0])])
    values += [table.snapshot_record(early), table.deletion_record(BATCH.key, 1)]
    records = [_record(n, value) for n, value in enumerate(values)]
    full, _ = _fold(records)
    late, results = _fold(records, 1)
    assert _effects(results) == ["waiting", "accepted", "accepted"]
    assert late == full
    # From 2 on, the change at 1 is in neither the snapshot nor the records.
    assert not _fold(records, 2)[0].is_complete
    alone, result = table.fold(table.Table(), records[3])
    assert (result.effect, alone.is_complete) == (table.Effect.WAITING, False)
    assert table.read_snapshot(table.snapshot_record(full)) == full


def test_row_is_checked_with_all_problems_at_once():
    """An operator must get all problems of a row in one message."""
    columns = {
        "scope": "team",
        "name": "a b",
        "weight": "1e4",
        "max_in_progress": "1_0",
        "max_rate": "nan",
        "max_queue_s": " ",
        "colour": "red",
    }
    with pytest.raises(errors.TableError) as caught:
        table.parse_row(columns)
    lines = "\n".join(caught.value.problems)
    assert len(caught.value.problems) == 6
    assert "team/a b: weight=" in lines
    assert "allowed are numbers from 0.001 to 1000" in lines
    assert "max_in_progress='1_0', allowed are integers from 1" in lines


def test_row_of_text():
    columns = {"scope": "class", "name": "a", "weight": "2", "max_in_progress": "7"}
    row = table.parse_row({**columns, "max_rate": "", "region": "north"})
    assert row == table.Row("class", "a", 2.0, 7, region="north")
    with pytest.raises(errors.TableError, match="in class rows only"):
        table.parse_row({"scope": "service", "name": "a", "region": "north"})
