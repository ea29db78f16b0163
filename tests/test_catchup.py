"""Guards the entry of a member into claim groups: no vote before it knows them."""

import pytest

import builders
from burdockgate import clock, effects, messages
from burdockgate.process import catchup

WINDOW_S = 600.0
JOB = builders.JOB


@pytest.fixture
def time():
    return clock.ManualClock()


def entered(time, own="a4"):
    """Return a member's state after a4 has replaced a1 in the group of the job."""
    member = catchup.Catchup(builders.node(own), time, WINDOW_S)
    before = builders.view_of("a1", "a2", "a3")
    member.advance(before)
    list(member.tick([]))
    member.advance(builders.fold(before, *builders.voters("a4")))
    return member


def test_agrees_only_on_the_same_group(time):
    """Two views in use at once must not both get votes of one member."""
    member = entered(time, own="a2")
    own = member.view.group(JOB)
    assert member.agrees(JOB, own)
    assert not member.agrees(JOB, builders.view_of("a1", "a2", "a3").group(JOB))
    other_boot = tuple(messages.Node(n.name, n.boot + 1, n.address) for n in own)
    assert not member.agrees(JOB, other_boot)
    assert not entered(time, own="a1").agrees(JOB, own)


def test_new_member_votes_after_a_majority_of_the_old_group(time):
    """One reply of two voters may miss a claim that the other one granted."""
    member = entered(time)
    number = member.view.number
    assert not member.is_ready(JOB)
    member.reply(builders.node("a2"), number)
    member.reply(builders.node("a2"), number)
    member.reply(builders.node("a9"), number)
    member.reply(builders.node("a3"), number - 1)
    member.reply(builders.node("a3", boot=2), number)
    assert not member.is_ready(JOB)
    member.reply(builders.node("a3"), number)
    assert member.is_ready(JOB)


def test_member_of_the_old_group_votes_at_once(time):
    """A view change must not stop the members that know their groups."""
    assert entered(time, own="a2").is_ready(JOB)


def test_first_view_needs_no_replies(time):
    """Without voters before, no claim can exist, so a new system must start."""
    member = catchup.Catchup(builders.node("a1"), time, WINDOW_S)
    member.advance(builders.view_of("a1"))
    assert member.is_ready(JOB)


def test_restart_under_the_same_name_must_catch_up(time):
    """A new boot has lost its records though its name was in the group before."""
    member = catchup.Catchup(builders.node("a1", boot=2), time, WINDOW_S)
    before = builders.view_of("a1", "a2", "a3")
    member.advance(before)
    member.advance(builders.fold(before, *builders.voters("a1", boot=2)))
    assert not member.is_ready(JOB)


def test_an_open_older_step_still_counts(time):
    """A later change must not hide that the member never caught up on an earlier."""
    member = entered(time)
    after = builders.fold(member.view, builders.removal("a3"))
    member.advance(after)
    assert not member.is_ready(JOB)


def test_window_ends_the_wait(time):
    """After the longest deadline and the retention no older claim can matter."""
    member = entered(time)
    time.advance(WINDOW_S - 1)
    list(member.tick([]))
    assert not member.is_ready(JOB)
    time.advance(1)
    list(member.tick([]))
    assert member.is_ready(JOB)


def test_can_reply_only_when_the_records_are_complete(time):
    """Records sent before the step is applied, or while catching up, may lack one."""
    old, new = entered(time, own="a2"), entered(time)
    number = old.view.number
    assert old.can_reply(number)
    assert not old.can_reply(number + 1)
    assert new.can_reply(number)
    assert not new.can_reply(number + 1)
    new.advance(builders.fold(new.view, *builders.voters("a5")))
    assert not new.can_reply(number + 1)


def test_is_member_looks_at_both_views(time):
    """Too few records for a member that enters would lose a claim."""
    member = entered(time, own="a2")
    then = member.view.number - 1
    for name, expected in (("a1", True), ("a4", True), ("a9", False)):
        assert member.is_member(builders.node(name), JOB, then) is expected
    assert not member.is_member(builders.node("a1"), JOB, member.view.number)
    assert member.is_member(builders.node("a9"), JOB, number=10_000)


def test_tick_asks_voters_that_are_missing(time):
    """A lost question is asked again, and one that is not connected is dialled."""
    member = entered(time)
    sync = messages.Sync(member.view.number)
    dials = [effects.Dial(builders.node(name)) for name in ("a1", "a3")]
    asked = list(member.tick(["a2"]))
    assert asked == [dials[0], effects.Send("a2", sync), dials[1]]
    assert list(member.tick(["a2"])) == []
    member.reply(builders.node("a2"), member.view.number)
    time.advance(catchup.ASK_INTERVAL_S)
    assert list(member.tick(["a3"])) == [dials[0], effects.Send("a3", sync)]


def test_settled_step_is_dropped_only_when_no_group_needs_it(time):
    """With two of three old voters unheard, some group lacks a majority."""
    member = catchup.Catchup(builders.node("b"), time, WINDOW_S)
    before = builders.view_of("a1", "a2", "a3", "a4", "a5")
    member.advance(before)
    member.advance(builders.fold(before, *builders.voters("b")))
    number = member.view.number
    for name in ("a1", "a2", "a3"):
        member.reply(builders.node(name), number)
    assert len(builders.sent(member.tick(["a4", "a5"]), messages.Sync)) == 2
    member.reply(builders.node("a4"), number)
    time.advance(catchup.ASK_INTERVAL_S)
    assert list(member.tick(["a4", "a5"])) == []
