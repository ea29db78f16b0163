"""Guards appends to the members stream: only due changes, by one entry host each."""

import pytest

import builders
from burdockgate import clock
from burdockgate.process import membership
from burdockgate.version import view as views

ENTRIES = ("e1", "e2", "e3")
BASE = builders.fold(
    views.View(), *(views.entry_record(builders.node(name)) for name in ENTRIES)
)


@pytest.fixture
def time():
    return clock.ManualClock()


def tick(time, view, agents=(), entries=ENTRIES, own="e1", publisher=None):
    """Return the records that an entry host appends, by name of the node changed."""
    publisher = publisher or membership.MembershipPublisher(builders.node(own), time)
    others = [builders.node(name) for name in entries if name != own]
    values = [
        views.json.loads(each.value)
        for each in publisher.tick(view, list(agents), others)
    ]
    return {value["name"]: value["type"] for value in values}


def test_own_entry_is_announced_at_once(time):
    """An entry host that no agent knows gets no workers."""
    assert tick(time, views.View()) == {"e1": "entry"}
    assert tick(time, BASE) == {}
    older = builders.fold(BASE, views.entry_record(builders.node("e1", boot=7)))
    assert tick(time, older) == {"e1": "entry"}


def test_entry_hosts_append_one_after_the_other(time):
    """Duplicate appends by all entry hosts would use up the rate of the log."""
    publisher_by_name = {
        name: membership.MembershipPublisher(builders.node(name), time)
        for name in ENTRIES
    }
    agents = [builders.hello("a1")]
    counts = []
    for _ in range(3):
        appended = [
            tick(time, BASE, agents, own=own, publisher=publisher)
            for own, publisher in publisher_by_name.items()
        ]
        counts.append(appended.count({"a1": "voter"}))
        time.advance(membership.RANK_DELAY_S)
    assert counts == [1, 1, 1]


def test_lost_append_is_repeated_until_the_view_has_the_change(time):
    """An append without an answer must not leave the view unchanged."""
    publisher = membership.MembershipPublisher(builders.node("e1"), time)
    agents = [builders.hello("a1")]
    alone = {"agents": agents, "entries": ("e1",), "publisher": publisher}
    view = builders.fold(views.View(), views.entry_record(builders.node("e1")))
    assert tick(time, view, **alone) == {"a1": "voter"}
    time.advance(membership.REPEAT_INTERVAL_S - 0.1)
    assert tick(time, view, **alone) == {}
    time.advance(0.1)
    assert tick(time, view, **alone) == {"a1": "voter"}
    after = builders.fold(view, views.voter_record(agents[0]))
    time.advance(membership.REPEAT_INTERVAL_S)
    assert tick(time, after, **alone) == {}


def test_only_agents_that_stay_become_voters(time):
    """A draining agent would soon leave its groups again."""
    agents = [builders.hello("a1", draining=True), builders.hello("a2", boot=2)]
    view = builders.fold(BASE, builders.voter("a2"))
    publisher = membership.MembershipPublisher(builders.node("e1"), time)
    alone = {"agents": agents, "publisher": publisher, "entries": ("e1",)}
    assert tick(time, view, **alone) == {"a2": "voter"}


def test_voters_of_a_region_are_bounded(time, monkeypatch):
    """With more voters, nearly every restart would change the view."""
    monkeypatch.setattr(views, "VOTERS_PER_REGION_LIMIT", 2)
    view = builders.fold(BASE, builders.voter("a1"))
    names = ("a1", "a2", "a3")
    agents = [builders.hello(name) for name in names]
    agents.append(builders.hello("b1", region="r2"))
    assert tick(time, view, agents, ("e1",)) == {"a2": "voter", "b1": "voter"}
    restarted = [builders.hello("a1", boot=2), *agents[1:3]]
    full = builders.fold(view, builders.voter("a2"))
    assert tick(time, full, restarted, ("e1",)) == {"a1": "voter"}


@pytest.mark.parametrize(
    ("timeout_s", "entries", "lost", "change"),
    [
        (membership.VOTER_TIMEOUT_S, ("e1",), "a1", "remove"),
        (membership.ENTRY_TIMEOUT_S, ("e1",), "e2", "gone"),
    ],
)
def test_node_is_removed_after_its_timeout(time, timeout_s, entries, lost, change):
    """A short loss must not change the view, and a reconnect resets the timeout."""
    view = builders.fold(BASE, builders.voter("a1"))
    publisher = membership.MembershipPublisher(builders.node("e1"), time)
    back = {"agents": [builders.hello("a1")], "publisher": publisher}
    for _ in range(2):
        assert lost not in tick(time, view, entries=entries, publisher=publisher)
        time.advance(timeout_s - 0.1)
        assert lost not in tick(time, view, entries=entries, publisher=publisher)
        tick(time, view, **back)
    assert lost not in tick(time, view, entries=entries, publisher=publisher)
    time.advance(timeout_s)
    assert tick(time, view, entries=entries, publisher=publisher)[lost] == change


def test_timeout_grows_with_each_removal_of_a_voter(time):
    """Two entry hosts must not remove and add a voter in turn forever.

    An entry host without a connection to an agent removed it every 10 s, and another
    one with a connection added it again.
    """
    publisher = membership.MembershipPublisher(builders.node("e1"), time)
    view = builders.fold(BASE, builders.voter("a1"))
    removals = 0
    for _ in range(90):
        time.advance(1.0)
        if tick(time, view, publisher=publisher):
            removals += 1
            tick(time, BASE, publisher=publisher)
    assert removals == 3


def test_restarted_voter_does_not_count_twice(time, monkeypatch):
    """A restarted voter must not take the place of a new agent in the region."""
    monkeypatch.setattr(views, "VOTERS_PER_REGION_LIMIT", 2)
    view = builders.fold(BASE, views.voter_record(builders.hello("a1")))
    agents = [builders.hello("a1", boot=2), builders.hello("a2")]
    publisher = membership.MembershipPublisher(builders.node("e1"), time)
    appended = {}
    for _ in ENTRIES:
        appended |= tick(time, view, agents, publisher=publisher)
        time.advance(membership.RANK_DELAY_S)
    assert appended == {"a1": "voter", "a2": "voter"}


def test_entry_host_does_not_remove_itself(time):
    """An entry host has no connection to itself."""
    publisher = membership.MembershipPublisher(builders.node("e1"), time)
    for _ in range(2):
        assert "e1" not in tick(time, BASE, publisher=publisher)
        time.advance(
            membership.ENTRY_TIMEOUT_S + len(ENTRIES) * membership.RANK_DELAY_S
        )
