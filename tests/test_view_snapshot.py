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
    """Return entry hosts that come and go, and a snapshot in the middle."""
    records = [_record(i, views.entry_record(_node(f"e{i}"))) for i in range(4)]
    snapshot = views.snapshot_record(_fold(records[:3]))
    records.append(_record(4, views.removal_record(views.Change.GONE, _node("e0"))))
    records.append(_record(5, snapshot))
    records.append(_record(6, views.entry_record(_node("e6"))))
    return records


def test_reader_from_the_snapshot_has_the_same_view():
    """Records between the snapshot's state and its append must not be lost."""
    records = _stream()
    assert _fold(records[3:]) == _fold(records)
    assert set(_fold(records).entry_by_name) == {"e1", "e2", "e3", "e6"}


def test_snapshot_with_a_gap_before_the_kept_records_is_not_used():
    """A record between the snapshot's state and the first kept one is missing."""
    view = _fold(_stream()[4:])
    assert not view.is_complete
    assert not view.entry_by_name


def test_snapshot_changes_nothing_for_a_complete_reader():
    """A snapshot written by a slow entry host must not undo later records."""
    records = _stream()
    assert _fold(records[:5]).entry_by_name == _fold(records[:6]).entry_by_name


def test_left_out_duplicate_is_no_gap():
    """A repeated record that the log client leaves out must not stop the view."""
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
    """A reader cut off for longer than the retention must not go on with old nodes."""
    records = _stream()
    before = _fold(records[:1])
    page = messages.Records(views.STREAM, 3, 7, tuple(records[3:]))
    *_, view = views.fold_page(before, page)
    assert view == _fold(records)
    *_, stuck = views.fold_page(before, attrs.evolve(page, next=5, records=()))
    assert not stuck.is_complete
