"""Guards the counting of votes: only a majority of one group decides."""

import random

import pytest

import builders
from burdockgate import clock, effects, messages
from burdockgate.request import claimant
from burdockgate.version import view

VERDICT = messages.Verdict
VIEW = builders.view_of("a1", "a2", "a3")


@pytest.fixture
def time():
    return clock.ManualClock()


@pytest.fixture
def claim(time):
    made = claimant.Claimant(builders.terms(epoch=2), time, random.Random(1), 0.5)
    made.asked = builders.sent(made.begin(VIEW), messages.Claim)
    return made


def reply(claim, name, verdict, record=None, epoch=2):
    claim.reply(
        name, messages.ClaimReply(builders.JOB, epoch, verdict, VIEW.number, record)
    )


def test_every_member_is_asked_with_the_terms(claim):
    """A claim without its group or scope would be granted by the wrong members."""
    assert len(claim.asked) == 3
    assert {each.group for each in claim.asked} == {VIEW.group(builders.JOB)}
    assert {(each.epoch, each.code) for each in claim.asked} == {(2, 900)}


def test_majority_of_members_wins(claim):
    """No vote counts twice, for another epoch, or from a stranger."""
    reply(claim, "a1", VERDICT.GRANTED)
    reply(claim, "a1", VERDICT.GRANTED)
    reply(claim, "a9", VERDICT.GRANTED)
    reply(claim, "a2", VERDICT.GRANTED, epoch=1)
    assert claim.result is None
    reply(claim, "a2", VERDICT.GRANTED)
    assert claim.result == claimant.Won(None)


def test_won_has_the_newest_record_with_all_scopes(claim):
    """A scope that is missing here would not be fenced."""
    s1, s2 = (builders.node("s1"),), (builders.node("s2"),)
    newer = builders.claim_record(epoch=2, scope=s2)
    reply(claim, "a1", VERDICT.GRANTED, newer)
    reply(claim, "a2", VERDICT.GRANTED, builders.claim_record(epoch=1, scope=s1))
    assert claim.result.record.epoch == 2
    assert set(claim.result.record.scope) == {*s1, *s2}


def test_settled_record_wins_over_a_pending_one(claim):
    """A member that missed the settlement must not hide it."""
    settled = builders.claim_record(code=200)
    reply(claim, "a1", VERDICT.HELD, settled)
    reply(claim, "a2", VERDICT.HELD, builders.claim_record())
    assert claim.result == claimant.Held(settled)


def test_one_held_does_not_end_a_round(claim, time):
    """A minority record must not stop a claim that a majority still can grant."""
    reply(claim, "a1", VERDICT.HELD, builders.claim_record())
    assert claim.result is None
    reply(claim, "a2", VERDICT.GRANTED)
    reply(claim, "a3", VERDICT.GRANTED)
    assert isinstance(claim.result, claimant.Won)


def test_one_held_decides_after_the_round(claim, time):
    """With the other members silent, the claimant joins instead of waiting."""
    reply(claim, "a1", VERDICT.HELD, builders.claim_record())
    time.advance(0.5)
    list(claim.tick(VIEW))
    assert isinstance(claim.result, claimant.Held)


def test_free_needs_a_majority(claim, time):
    """A refusal "not run" after one answer of three may be false."""
    reply(claim, "a1", VERDICT.FREE)
    time.advance(1.0)
    list(claim.tick(VIEW))
    assert claim.result is None
    reply(claim, "a2", VERDICT.FREE)
    assert claim.result == claimant.Free()


def test_empty_group_decides_nothing(time):
    """Before any voter is known, nobody owns or refuses a job."""
    empty = claimant.Claimant(builders.terms(), time, random.Random(1), 0.5)
    assert list(empty.begin(view.View())) == []
    time.advance(1.0)
    assert list(empty.tick(view.View())) == []
    assert empty.result is None


def test_votes_of_another_group_are_forgotten(claim, time):
    """Votes of two groups together are a majority of neither."""
    reply(claim, "a1", VERDICT.GRANTED)
    changed = builders.fold(VIEW, builders.removal("a2"), *builders.voters("a4"))
    assert len(builders.sent(claim.tick(changed), messages.Claim)) == 3
    reply(claim, "a4", VERDICT.GRANTED)
    assert claim.result is None
    reply(claim, "a2", VERDICT.GRANTED)
    assert claim.result is None


def test_retry_asks_only_members_without_a_vote(claim, time):
    """A stale view is asked again soon, and a vote that counts is not lost."""
    reply(claim, "a1", VERDICT.GRANTED)
    reply(claim, "a2", VERDICT.STALE_VIEW)
    assert list(claim.tick(VIEW)) == []
    time.advance(claimant.RETRY_MAX_S)
    asked = [each for each in claim.tick(VIEW) if isinstance(each, effects.Send)]
    assert {each.to for each in asked} == {"a2", "a3"}
    claim.hurry()
    assert builders.sent(claim.tick(VIEW), messages.Claim)
    reply(claim, "a2", VERDICT.GRANTED)
    assert claim.result == claimant.Won(None)
    assert list(claim.tick(VIEW)) == []
