"""Guards how a member joins claim groups: no vote before it has their records."""

import attrs
import pytest

import builders
from burdockgate import clock, effects, messages
from burdockgate.process import catchup
from burdockgate.version import view as views

JOB = builders.JOB
OLD_VIEW = builders.make_view("a1", "a2", "a3")
NODE_BY_NAME = {name: builders.node(name) for name in ("a1", "a2", "a3", "a4", "a9")}


def make_member(own="a4", boot=1, time=None, new=None):
    """Return the state of a member after a4 has replaced a1 in the group of the job."""
    time = time or clock.ManualClock()
    member = catchup.Catchup(builders.node(own, boot), time, 600.0)
    member.advance(OLD_VIEW)
    list(member.tick([]))
    member.advance(builders.fold(OLD_VIEW, new or builders.voter("a4")))
    return member


def test_agrees_only_on_the_same_group_and_as_a_member():
    """One member must not vote by two views at the same time."""
    member = make_member("a2")
    own = member.view.group(JOB)
    assert member.agrees_on_group(JOB, own)
    assert not member.agrees_on_group(JOB, OLD_VIEW.group(JOB))
    assert not member.agrees_on_group(JOB, tuple(builders.node(n.name, 2) for n in own))
    assert not make_member("a1").agrees_on_group(JOB, own)


def test_new_member_votes_after_a_majority_of_the_old_group():
    member = make_member()
    number = member.view.number
    replies = [
        (NODE_BY_NAME["a2"], number),
        (NODE_BY_NAME["a2"], number),
        (NODE_BY_NAME["a9"], number),
    ]
    replies += [(NODE_BY_NAME["a3"], number - 1), (builders.node("a3", 2), number)]
    for node, view_number in replies:
        member.record_reply(node, view_number)
        assert not member.is_ready(JOB)
    member.record_reply(NODE_BY_NAME["a3"], number)
    assert member.is_ready(JOB)


def test_which_members_vote_without_catching_up():
    """A restarted member has lost its records; one that stays has them."""
    assert make_member("a2").is_ready(JOB)
    assert not make_member("a1", boot=2, new=builders.voter("a1", 2)).is_ready(JOB)
    first = catchup.Catchup(NODE_BY_NAME["a1"], clock.ManualClock(), 600.0)
    first.advance(builders.make_view("a1"))
    assert first.is_ready(JOB), "without earlier voters, no claim can exist"


def test_unfinished_older_reconfiguration_still_counts():
    member = make_member()
    member.advance(builders.fold(member.view, builders.removal("a3")))
    assert not member.is_ready(JOB)


def test_last_member_of_a_shrunk_group_catches_up():
    """One of two is no majority, so it may not know what the other one granted.

    After the voters had been removed one by one, the last member granted a job that
    already had an owner (fuzz seed 302).
    """
    member = catchup.Catchup(NODE_BY_NAME["a2"], clock.ManualClock(), 600.0)
    member.advance(OLD_VIEW)
    list(member.tick([]))
    member.advance(builders.fold(member.view, builders.removal("a3")))
    assert member.is_ready(JOB), "both of two are a majority of three"
    member.advance(builders.fold(member.view, builders.removal("a1")))
    assert not member.is_ready(JOB)
    member.record_reply(NODE_BY_NAME["a1"], member.view.number)
    assert member.is_ready(JOB)


@pytest.mark.parametrize("own", ["a2", "a4"])
def test_voter_after_a_view_without_voters_catches_up(own):
    """Claims granted by the earlier voters remain valid after all were removed."""
    member = catchup.Catchup(NODE_BY_NAME[own], clock.ManualClock(), 600.0)
    member.advance(OLD_VIEW)
    list(member.tick([]))
    member.advance(builders.fold(OLD_VIEW, *map(builders.removal, ("a1", "a2", "a3"))))
    member.advance(builders.fold(member.view, builders.voter(own)))
    assert not member.is_ready(JOB)
    for name in ("a1", "a3"):
        member.record_reply(NODE_BY_NAME[name], member.view.number)
    assert member.is_ready(JOB)


def test_no_reply_across_a_gap_of_the_stream():
    """After missed reconfigurations, the records of a member may be incomplete."""
    member = catchup.Catchup(NODE_BY_NAME["a1"], clock.ManualClock(), 600.0)
    member.advance(OLD_VIEW)
    list(member.tick([]))
    member.advance(attrs.evolve(OLD_VIEW, number=9, buffered=()))
    assert not member.can_reply(5)
    member.advance(attrs.evolve(OLD_VIEW, number=10))
    assert not member.can_reply(5)


def test_member_outside_a_reconfiguration_is_ready():
    """A change of groups without this member must not delay its next group."""
    member = make_member("a1")
    assert not any(node.name == "a1" for node in member.view.group(JOB))
    for name in ("a5", "a6", "a7"):
        member.advance(builders.fold(member.view, builders.voter(name)))
    assert member.is_ready(JOB)


def test_window_ends_the_wait():
    time = clock.ManualClock()
    member = make_member(time=time)
    for seconds, is_ready in ((599, False), (1, True)):
        time.advance(seconds)
        list(member.tick([]))
        assert member.is_ready(JOB) is is_ready


def test_can_reply_only_when_the_records_are_complete():
    """A reply sent before the view is applied, or during catch-up, may lack records."""
    old, new = make_member("a2"), make_member()
    number = old.view.number
    assert old.can_reply(number) and new.can_reply(number)
    removed = catchup.Catchup(NODE_BY_NAME["a9"], clock.ManualClock(), 600.0)
    removed.advance(OLD_VIEW)
    assert removed.can_reply(OLD_VIEW.number) and not removed.can_reply(number)
    new.advance(builders.fold(new.view, builders.voter("a5")))
    assert not new.can_reply(number + 1)


@pytest.mark.parametrize(
    ("name", "number", "expected"),
    [("a1", 3, True), ("a4", 3, True), ("a9", 3, False), ("a1", 4, False)]
    + [("a9", 999, True)],
)
def test_records_are_sent_for_the_groups_of_both_views(name, number, expected):
    assert make_member("a2").needs_record(NODE_BY_NAME[name], JOB, number) is expected


def test_missing_voters_are_asked_again_and_dialled():
    time = clock.ManualClock()
    member = make_member(time=time)
    sync, dial1, dial3 = (
        messages.Sync(4),
        *(effects.Dial(NODE_BY_NAME[n]) for n in ("a1", "a3")),
    )
    assert list(member.tick(["a2"])) == [dial1, effects.Send("a2", sync), dial3]
    assert list(member.tick(["a2"])) == []
    member.record_reply(NODE_BY_NAME["a2"], 4)
    time.advance(catchup.ASK_INTERVAL_S)
    assert list(member.tick(["a3"])) == [dial1, effects.Send("a3", sync)]
    assert len(list(make_member("a2").tick([]))) == 2, "a voter does not ask itself"


def test_reconfiguration_ends_when_every_group_has_a_majority():
    time = clock.ManualClock()
    member = catchup.Catchup(builders.node("b"), time, 600.0)
    member.advance(builders.fold(OLD_VIEW, *map(builders.voter, ("a4", "a5"))))
    member.advance(builders.fold(member.view, builders.voter("b")))
    for name in ("a1", "a2", "a3"):
        member.record_reply(NODE_BY_NAME[name], 6)
    assert len(builders.sent_messages(member.tick(["a4", "a5"]), messages.Sync)) == 2
    member.record_reply(NODE_BY_NAME["a4"], 6)
    time.advance(catchup.ASK_INTERVAL_S)
    assert list(member.tick(["a4", "a5"])) == []


def test_member_that_starts_from_a_snapshot_waits_for_the_window():
    """The groups before a snapshot are not known, so no member can be asked."""
    time = clock.ManualClock()
    member = catchup.Catchup(NODE_BY_NAME["a1"], time, 600.0)
    member.advance(views.View(5, buffered=()))
    member.advance(builders.make_view("a1", "a2", "a3"))
    for name in ("a2", "a3"):
        member.record_reply(NODE_BY_NAME[name], member.view.number)
    list(member.tick([]))
    assert not member.is_ready(JOB)
    time.advance(600)
    list(member.tick([]))
    assert member.is_ready(JOB)
