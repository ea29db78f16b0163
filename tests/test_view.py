"""Guards the membership view: the same records give every process the same groups."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

import builders
from burdockgate import messages
from burdockgate.version import view as views

JOBS = [bytes([number]) * 16 for number in range(20)]
NAMES = st.sampled_from([f"a{number}" for number in range(8)])
PLACES = st.integers(0, 4)
VOTERS = st.builds(
    lambda name, boot, place, rack: views.voter_record(
        builders.hello(name, boot, place, rack=f"rack{rack}")
    ),
    NAMES,
    st.integers(1, 2),
    PLACES,
    st.integers(0, 1),
)
REMOVALS = st.builds(builders.removal, NAMES, st.integers(1, 2))
GARBAGE = [
    b"",
    b"\xff",
    b"7",
    b"[" * 100_000,
    b'{"type": "unknown"}',
    b'{"type": "voter"}',
    b'{"type": "entry", "name": "e1", "boot": "x"}',
    b'{"type": "entry", "name": "e1", "boot": Infinity}',
    b'{"type": "entry", "name": "e1", "boot": 9223372036854775808}',
    b'{"type": "remove", "name": []}',
    b'{"type": "snapshot", "entries": [], "voters": ["a1"]}',
    b'{"type": "snapshot", "entries": 7, "voters": []}',
]
CHANGES = st.lists(st.one_of(VOTERS, REMOVALS), max_size=20)
PROPERTY = settings(derandomize=True, deadline=None, max_examples=60)


def ids(group):
    return [(node.name, node.boot) for node in group]


def groups(view):
    return [ids(view.group(job)) for job in JOBS]


@PROPERTY
@given(CHANGES, st.lists(st.integers(0, 20), max_size=4))
def test_same_records_give_the_same_groups(values, malformed):
    """Processes must agree despite overlapping batches and malformed records."""
    for position in malformed:
        values.insert(position, GARBAGE[position % len(GARBAGE)])
    records = tuple(
        messages.LogRecord(offset, str(offset), value)
        for offset, value in enumerate(values)
    )
    whole = builders.fold(views.View(), *values)
    view = views.View()
    for first in range(0, len(records), 2):
        batch = records[max(0, first - 3) : first + 2]
        *_, view = [view, *views.fold_records(view, batch)]
    assert view.number == len(values)
    assert view == whole
    assert groups(view) == groups(whole)


@pytest.mark.parametrize("value", GARBAGE, ids=lambda value: str(value[:50]))
def test_malformed_record_changes_only_the_number(value):
    """A malformed record in the log must not stop the processes that read it."""
    view = builders.make_view("a1", "a2")
    after = builders.fold(view, value)
    assert after == builders.attrs.evolve(view, number=view.number + 1)
    assert builders.fold(views.View(), value) == views.View(1)


@PROPERTY
@given(CHANGES, st.one_of(VOTERS, REMOVALS))
def test_change_of_one_voter_touches_only_its_groups(values, change):
    """Other groups would have to catch up without need."""
    before = builders.fold(views.View(), *values)
    after = builders.fold(before, change)
    name = views.json.loads(change)["name"]
    for old, new in zip(groups(before), groups(after), strict=True):
        assert old == new or name in dict(old) or name in dict(new)


@PROPERTY
@given(CHANGES)
def test_members_are_in_different_data_centres_and_racks(values):
    """The loss of one data centre or rack must cost at most one member."""
    view = builders.fold(views.View(), *values)
    voters = view.voter_by_name
    centres = {voter.data_centre for voter in voters.values()}
    racks = {(voter.data_centre, voter.rack) for voter in voters.values()}
    for group in groups(view):
        members = [voters[name] for name, _ in group]
        assert len(set(dict(group))) == len(group) == min(3, len(voters))
        assert len({m.data_centre for m in members}) == min(3, len(centres))
        assert len({(m.data_centre, m.rack) for m in members}) == min(3, len(racks))


def test_groups_spread_over_all_voters():
    """If groups did not depend on the job, three agents would get all claims."""
    view = builders.make_view(*(f"a{number}" for number in range(8)))
    used = {name for group in groups(view) for name, _ in group}
    assert used == set(view.voter_by_name)


def test_late_removal_does_not_hit_the_next_boot():
    """A removal appended after a restart must not remove the new incarnation."""
    view = builders.fold(builders.make_view("a1"), builders.voter("a1", 2))
    view = builders.fold(view, builders.removal("a1", boot=1))
    assert view.is_voter(builders.node("a1", boot=2))
    assert not view.is_voter(builders.node("a1", boot=1))
    entry = builders.node("e1", boot=2)
    gone = views.removal_record(views.Change.GONE, builders.node("e1", boot=1))
    view = builders.fold(view, views.entry_record(entry), gone)
    assert view.entry_by_name == {"e1": entry}
    gone = views.removal_record(views.Change.GONE, entry)
    assert builders.fold(view, gone).entry_by_name == {}


def test_old_record_is_ignored():
    """A record folded twice would undo the records after it."""
    view = builders.fold(builders.make_view("a1", "a2"), builders.removal("a1"))
    old = messages.LogRecord(0, "id", builders.voter("a1"))
    assert views.fold(view, old) == view


def test_late_snapshot_does_not_undo_changes():
    """A snapshot that is appended late must not undo the changes made meanwhile.

    ``test_view_snapshot`` covers readers that start from a snapshot.
    """
    earlier = builders.fold(
        builders.make_view("a1", "a2"), views.entry_record(builders.node("e1"))
    )
    before = builders.fold(earlier, builders.removal("a1"))
    after = builders.fold(before, views.snapshot_record(earlier))
    assert after.voter_by_name == before.voter_by_name
    assert after.entry_by_name == before.entry_by_name


@pytest.mark.parametrize(("size", "needed"), [(1, 1), (2, 2), (3, 2), (4, 3), (5, 3)])
def test_majority(size, needed):
    """Two majorities of one group must have a member in common."""
    assert views.majority(size) == needed


def test_one_data_centre_spreads_over_racks():
    """The loss of one rack must cost at most one member where three racks exist."""
    view = builders.fold(
        views.View(),
        *(
            views.voter_record(builders.hello(f"a{number}", rack=f"rack{rack}"))
            for number, rack in enumerate((0, 0, 0, 0, 1, 2))
        ),
    )
    for group in groups(view):
        assert len({view.voter_by_name[name].rack for name, _ in group}) == 3
