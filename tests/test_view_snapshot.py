"""Guards readers of the members stream that start after records have expired."""

import attrs

from burdockgate import messages
from burdockgate.version import view as views


def _node(name, boot=1):
    return messages.Node(name, boot, f"{name}:1")


def _record(offset, value):
    return messages.LogRecord(offset, f"id-{offset}", value)


def _fold(records):
    view = views.View()
    for record in records:
        view = views.fold(view, record)
    return view


def _stream():
    """Return records of entry hosts that start and stop, with a snapshot in between."""
    records = [_record(i, views.entry_record(_node(f"e{i}"))) for i in range(4)]
    snapshot = views.snapshot_record(_fold(records[:3]))
    records.append(_record(4, views.removal_record(views.Change.GONE, _node("e0"))))
    records.append(_record(5, snapshot))
    records.append(_record(6, views.entry_record(_node("e6"))))
    return records


def test_reader_from_the_snapshot_has_the_same_view():
    """Records between the end of a snapshot and its append must not be lost."""
    records = _stream()
    assert _fold(records[3:]) == _fold(records)
    assert set(_fold(records).entry_by_name) == {"e1", "e2", "e3", "e6"}


def test_snapshot_with_a_gap_before_the_buffered_records_is_not_used():
    """A record between the end of the snapshot and the buffered ones is missing."""
    view = _fold(_stream()[4:])
    assert not view.is_complete
    assert not view.entry_by_name


def test_snapshot_changes_nothing_for_a_complete_reader():
    """A snapshot written by a slow entry host must not undo later records."""
    records = _stream()
    assert _fold(records[:5]).entry_by_name == _fold(records[:6]).entry_by_name


def test_omitted_duplicate_is_no_gap():
    """A duplicate that the log client leaves out must not make the view incomplete."""
    records = _stream()
    first = messages.Records(views.STREAM, 0, 4, tuple(records[:4]))
    repeated = messages.Records(views.STREAM, 4, 5, ())
    later = messages.Records(views.STREAM, 5, 6, (records[6],))
    view = views.View()
    for page in (first, repeated, later):
        *_, view = views.fold_page(view, page)
    assert view.is_complete
    assert "e6" in view.entry_by_name


def test_gap_waits_for_a_snapshot():
    """A reader that was offline beyond the retention must not go on with old nodes."""
    records = _stream()
    before = _fold(records[:1])
    page = messages.Records(views.STREAM, 3, 7, tuple(records[3:]))
    *_, view = views.fold_page(before, page)
    assert view == _fold(records)
    *_, incomplete = views.fold_page(before, attrs.evolve(page, next=5, records=()))
    assert not incomplete.is_complete
