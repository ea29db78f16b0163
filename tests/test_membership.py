"""Guards the appends to the members stream: due changes only, by one entry host."""

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


def tick(time, view, agents=(), entries=ENTRIES, own="e1", made=None):
    """Return the records that an entry host appends, by name of the node changed."""
    made = made or membership.MembershipPublisher(builders.node(own), time)
    others = [builders.node(name) for name in entries if name != own]
    values = [
        views.json.loads(each.value) for each in made.tick(view, list(agents), others)
    ]
    return {value["name"]: value["type"] for value in values}


def test_own_entry_is_announced_at_once(time):
    """An entry host that no agent knows gets no workers."""
    assert tick(time, views.View()) == {"e1": "entry"}
    assert tick(time, BASE) == {}
    older = builders.fold(BASE, views.entry_record(builders.node("e1", boot=7)))
    assert tick(time, older) == {"e1": "entry"}


def test_entry_hosts_append_one_after_the_other(time):
    """Entry hosts that all append the same change waste the log's rate."""
    rosters = {
        name: membership.MembershipPublisher(builders.node(name), time)
        for name in ENTRIES
    }
    agents = [builders.hello("a1")]
    counts = []
    for _ in range(3):
        done = [tick(time, BASE, agents, own=n, made=r) for n, r in rosters.items()]
        counts.append(done.count({"a1": "voter"}))
        time.advance(membership.RANK_DELAY_S)
    assert counts == [1, 1, 1]


def test_lost_append_is_repeated_and_a_done_change_is_not(time):
    """An append whose answer was lost must not leave the view as it was."""
    made = membership.MembershipPublisher(builders.node("e1"), time)
    agents = [builders.hello("a1")]
    alone = {"agents": agents, "entries": ("e1",), "made": made}
    view = builders.fold(views.View(), views.entry_record(builders.node("e1")))
    assert tick(time, view, **alone) == {"a1": "voter"}
    time.advance(membership.REPEAT_S - 0.1)
    assert tick(time, view, **alone) == {}
    time.advance(0.1)
    assert tick(time, view, **alone) == {"a1": "voter"}
    after = builders.fold(view, views.voter_record(agents[0]))
    time.advance(membership.REPEAT_S)
    assert tick(time, after, **alone) == {}


def test_only_agents_that_stay_become_voters(time):
    """A draining voter would leave its groups at once."""
    agents = [builders.hello("a1", draining=True), builders.hello("a2", boot=2)]
    view = builders.fold(BASE, builders.voter("a2"))
    made = membership.MembershipPublisher(builders.node("e1"), time)
    alone = {"agents": agents, "made": made, "entries": ("e1",)}
    assert tick(time, view, **alone) == {"a2": "voter"}


def test_voters_of_a_region_are_bounded(time, monkeypatch):
    """More voters mean a view change for nearly every restart."""
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
    ("loss_s", "entries", "lost", "change"),
    [
        (membership.VOTER_LOSS_S, ("e1",), "a1", "remove"),
        (membership.ENTRY_LOSS_S, ("e1",), "e2", "gone"),
    ],
)
def test_loss_counts_only_after_its_time(time, loss_s, entries, lost, change):
    """A short cut must not change the view, and a reconnect starts the time anew."""
    view = builders.fold(BASE, builders.voter("a1"))
    made = membership.MembershipPublisher(builders.node("e1"), time)
    back = {"agents": [builders.hello("a1")], "made": made}
    for _ in range(2):
        assert lost not in tick(time, view, entries=entries, made=made)
        time.advance(loss_s - 0.1)
        assert lost not in tick(time, view, entries=entries, made=made)
        tick(time, view, **back)
    assert lost not in tick(time, view, entries=entries, made=made)
    time.advance(loss_s)
    assert tick(time, view, entries=entries, made=made)[lost] == change


def test_voter_that_comes_back_is_removed_ever_later(time):
    """Two entry hosts must not remove and add a voter in turn for ever.

    One that is cut off from an agent removed it every 10 s, the other one added it.
    """
    made = membership.MembershipPublisher(builders.node("e1"), time)
    view = builders.fold(BASE, builders.voter("a1"))
    removals = 0
    for _ in range(90):
        time.advance(1.0)
        if tick(time, view, made=made):
            removals += 1
            tick(time, BASE, made=made)
    assert removals == 3


def test_restarted_voter_does_not_count_twice(time, monkeypatch):
    """A voter that comes back must not keep a new agent out of the region."""
    monkeypatch.setattr(views, "VOTERS_PER_REGION_LIMIT", 2)
    view = builders.fold(BASE, views.voter_record(builders.hello("a1")))
    agents = [builders.hello("a1", boot=2), builders.hello("a2")]
    made = membership.MembershipPublisher(builders.node("e1"), time)
    appended = {}
    for _ in ENTRIES:
        appended |= tick(time, view, agents, made=made)
        time.advance(membership.RANK_DELAY_S)
    assert appended == {"a1": "voter", "a2": "voter"}


def test_entry_host_does_not_remove_itself(time):
    """It is never among its own connections."""
    made = membership.MembershipPublisher(builders.node("e1"), time)
    for _ in range(2):
        assert "e1" not in tick(time, BASE, made=made)
        time.advance(membership.ENTRY_LOSS_S + len(ENTRIES) * membership.RANK_DELAY_S)
