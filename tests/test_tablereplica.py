"""Guards the table of a node: it accepts every source and never gets older."""

import random

import attrs
import pytest

from burdockgate import messages
from burdockgate.process import tablereplica
from burdockgate.version import table


def record(offset, value):
    return messages.LogRecord(offset, f"id-{offset}", value)


def changes(count):
    """Return records that set one row repeatedly, every fourth of them a conflict."""
    records, version = [], 0
    for offset in range(count):
        is_conflict = offset % 4 == 3
        row = table.Row("class", "batch", weight=offset + 1)
        based_on = 0 if is_conflict else version
        records.append(record(offset, table.row_record(row, based_on)))
        version = version if is_conflict else offset + 1
    return records


def page(records, first=None):
    first = records[0].offset if first is None else first
    return messages.Records("table", first, records[-1].offset + 1, tuple(records))


def read(*pages, **fields):
    replica = tablereplica.TableReplica(**fields)
    for each in pages:
        replica.apply_log_page(each)
    return replica


def state(replica):
    return replica.version, replica.table.row_by_key


@pytest.mark.parametrize("seed", range(30))
def test_pages_in_any_order_never_lower_the_version(seed):
    """Peers and the log may deliver old, repeated and reordered pages at any time."""
    rng = random.Random(seed)
    records = changes(40)
    source = read(page(records))
    target = tablereplica.TableReplica()
    versions = [0]
    for _ in range(60):
        start = rng.randrange(40)
        part = page(records[start : start + rng.randint(1, 12)])
        older = read(
            page(records[: rng.randint(1, 40)]), record_limit=rng.choice([0, 50])
        )
        choice = rng.randrange(3)
        if choice == 0 and part.first <= target.table.next:
            target.apply_log_page(part)
        elif choice == 1:
            target.apply_peer_page("peer", part)
        else:
            for each in older.pages_since(rng.randrange(40)):
                target.apply_peer_page("peer", each)
        versions.append(target.version)
        expected = read(page(records[: target.version])) if target.version else target
        assert state(target) == state(expected)
    assert versions == sorted(versions)
    for each in source.pages_since(target.version):
        target.apply_peer_page("peer", each)
    assert state(target) == state(source)


@pytest.mark.parametrize("record_limit", [0, 2000])
def test_node_behind_gets_what_it_lacks(record_limit):
    """A node at any older version must get the newest table from one that is ahead."""
    records = changes(30)
    source = read(page(records), record_limit=record_limit)
    for count in range(1, 30):
        target = read(page(records[:count]))
        for each in source.pages_since(target.version):
            target.apply_peer_page("peer", each)
        assert state(target) == state(source)
    assert list(source.pages_since(source.version)) == []


def test_gap_in_the_log_is_closed_by_a_peer():
    """Expired records must neither lower the version nor block later changes."""
    records = changes(30)
    target = read(page(records[:5]), page(records[10:30]))
    assert (target.version, target.table.is_complete) == (5, False)
    for each in read(page(records[:20])).pages_since(5):
        target.apply_peer_page("peer", each)
    assert state(target) == state(read(page(records)))
    assert target.table.is_complete


def test_snapshot_bounds_the_stored_records():
    """Records that a snapshot includes would accumulate as long as the process runs."""
    records = changes(20)
    source = read(page(records))
    later = [record(20, table.snapshot_record(source.table))]
    source.apply_log_page(page(later))
    assert source.record_count == 0
    row = table.Row("class", "web")
    source.apply_log_page(page([record(21, table.row_record(row, 0))]))
    assert source.record_count == 1
    target = read(page(records[:2]))
    for each in source.pages_since(2):
        target.apply_peer_page("peer", each)
    assert state(target) == state(source)


def test_table_is_current_once_it_has_the_versions_of_a_majority():
    """After a restart during an outage, an older table must not count as current."""
    source = read(page(changes(9)))
    target = tablereplica.TableReplica()
    others = {"e2", "e3"}
    target.apply_peer_page("e2", source.version_announcement())
    assert not target.is_current(others)
    target.apply_peer_page(
        "e3", attrs.evolve(source.version_announcement(), first=0, next=0)
    )
    assert not target.is_current(others)
    for each in source.pages_since(0):
        target.apply_peer_page("e2", each)
    assert target.is_current(others)
    assert not target.is_current(set())


def test_log_counts_as_read_at_its_end_only():
    """The first page of a long log must not make an entry host ready."""
    target = read(page(changes(9)))
    assert not target.is_current({"e2"})
    target.apply_log_page(messages.Records("table", 9, 9, ()))
    assert target.is_current({"e2"})
