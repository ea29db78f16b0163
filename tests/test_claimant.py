"""The counting of votes: only a majority of one claim group decides a claim."""

import random

import pytest

import builders
from burdockgate import clock, effects, messages
from burdockgate.request import claimant
from burdockgate.version import view

V = messages.Verdict
VIEW = builders.make_view("a1", "a2", "a3")
S1, S2 = (builders.node("s1"),), (builders.node("s2"),)
RECORD = builders.claim_record(epoch=2, scope=S2)
SETTLED = builders.claim_record(epoch=2, code=200)


@pytest.fixture
def time():
    return clock.ManualClock()


@pytest.fixture
def claim(time):
    terms = builders.claim_terms(epoch=2, code=111)
    made = claimant.Claimant(terms, time, random.Random(1), 0.5)
    made.asked = list(made.send_claims(VIEW))
    return made


def reply(claim, name, verdict, record=None, epoch=2):
    claim.handle_reply(
        name, messages.ClaimReply(builders.JOB, epoch, verdict, 3, record)
    )


def receivers(claim, view=VIEW):
    return {each.to for each in claim.tick(view) if isinstance(each, effects.Send)}


def test_every_member_is_dialled_and_gets_the_claim(claim):
    sent = builders.sent_messages(claim.asked, messages.Claim)
    group = VIEW.group(builders.JOB)
    assert {(each.group, each.epoch, each.code) for each in sent} == {(group, 2, 111)}
    assert {each.node for each in claim.asked if isinstance(each, effects.Dial)} == {
        *group
    }


def test_repeated_votes_other_epochs_and_non_members_do_not_count(claim):
    for name, epoch in (("a1", 2), ("a1", 2), ("a9", 2), ("a2", 1)):
        reply(claim, name, V.GRANTED, epoch=epoch)
        assert claim.result is None
    reply(claim, "a2", V.GRANTED)
    assert claim.result == claimant.Granted(None)
    reply(claim, "a3", V.HELD, RECORD)
    assert list(claim.tick(builders.make_view("a1"))) == [], (
        "a decided claim is not sent again"
    )


@pytest.mark.parametrize("verdict", [V.GRANTED, V.HELD])
def test_newest_record_is_found_with_all_scopes(claim, verdict):
    """No fence would be sent to the agents of a missing scope."""
    older = builders.claim_record(epoch=1, scope=S1)
    for name, record in (("a1", older), ("a2", RECORD)):
        reply(claim, name, verdict, record)
    assert claim.result.record.epoch == 2
    assert set(claim.result.record.scope) == {*S1, *S2}


def test_pending_record_does_not_hide_a_settlement(claim):
    for name, record in (("a1", builders.claim_record(epoch=2)), ("a2", SETTLED)):
        reply(claim, name, V.HELD, record)
    assert claim.result == claimant.AlreadyClaimed(SETTLED)


@pytest.mark.parametrize("is_silent", [False, True])
def test_minority_record_decides_only_after_the_round(claim, time, is_silent):
    reply(claim, "a1", V.HELD, RECORD)
    assert claim.result is None
    if is_silent:
        time.advance(0.5)
        list(claim.tick(VIEW))
        assert claim.result == claimant.AlreadyClaimed(RECORD)
    else:
        reply(claim, "a2", V.GRANTED)
        reply(claim, "a3", V.GRANTED)
        assert isinstance(claim.result, claimant.Granted)


def test_free_needs_a_majority(claim, time):
    """After one reply of three, a "not run" refusal might be false."""
    reply(claim, "a1", V.FREE)
    time.advance(1.0)
    list(claim.tick(VIEW))
    assert claim.result is None
    reply(claim, "a2", V.FREE)
    assert claim.result == claimant.Unclaimed()


def test_votes_of_another_group_are_discarded(claim):
    """Votes of two groups must not add up, and an empty group must not decide."""
    reply(claim, "a1", V.GRANTED)
    changed = builders.fold(VIEW, builders.removal("a2"), builders.voter("a4"))
    assert receivers(claim, changed) == {"a1", "a3", "a4"}
    for name in ("a4", "a2"):
        reply(claim, name, V.GRANTED)
        assert claim.result is None
    assert receivers(claim, view.View()) == set()
    assert claim.result is None


def test_only_members_without_a_vote_are_asked_again(claim, time):
    reply(claim, "a1", V.GRANTED)
    reply(claim, "a2", V.STALE_VIEW)
    assert receivers(claim) == set()
    time.advance(claimant.RETRY_MAX_S)
    assert receivers(claim) == {"a2", "a3"}
    claim.retry_at_next_tick()
    assert receivers(claim) == {"a2", "a3"}
    reply(claim, "a2", V.GRANTED)
    assert claim.result == claimant.Granted(None)
