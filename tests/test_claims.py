"""Guards the rules by which a claim group member votes and keeps records."""

import pytest

import builders
from burdockgate import clock, codes, messages
from burdockgate.process import claims

NAMES = ("a1", "a2", "a3")
VERDICT = messages.Verdict
S1, S2 = (builders.node("s1"),), (builders.node("s2"),)


@pytest.fixture
def time():
    return clock.ManualClock(100.0)


@pytest.fixture
def store(time):
    made = claims.ClaimStore(builders.node("a1"), time, 300.0)
    made.catchup.advance(builders.view_of(*NAMES))
    return made


def vote(store, **fields):
    group = fields.pop("group", store.catchup.view.group(builders.JOB))
    return store.vote(builders.claim(group, **fields))


@pytest.mark.parametrize(
    ("fields", "verdict"),
    [
        ({"epoch": 2}, VERDICT.GRANTED),
        ({"epoch": 2, "owner": "e2"}, VERDICT.HELD),
        ({"epoch": 1}, VERDICT.HELD),
        ({"epoch": 3, "owner": "e2"}, VERDICT.GRANTED),
        ({"epoch": 3, "owner": "e2", "attempt": 1}, VERDICT.HELD),
        ({"epoch": 0}, VERDICT.HELD),
    ],
)
def test_second_claim_of_a_job(store, fields, verdict):
    """Two owners of one epoch, or a return to an older attempt, start tasks twice."""
    assert vote(store, epoch=2, attempt=2).verdict is VERDICT.GRANTED
    reply = vote(store, **({"attempt": 2} | fields))
    assert reply.verdict is verdict
    assert (reply.record.epoch, reply.record.attempt) == (2, 2)


def test_refused_claim_changes_nothing(store):
    """A loser must not replace the record of the owner."""
    vote(store, epoch=2)
    vote(store, epoch=1, owner="e2")
    record = vote(store, epoch=0).record
    assert (record.epoch, record.owner.name) == (2, "e1")


def test_question_records_nothing(store):
    """A question that left a record would block the first real claim."""
    assert vote(store, epoch=0).verdict is VERDICT.FREE
    assert len(store) == 0


def test_another_boot_of_the_owner_is_another_owner(store):
    """A restarted entry host has lost what it sent and must not own the old epoch."""
    vote(store)
    again = builders.claim(store.catchup.view.group(builders.JOB))
    again = builders.attrs.evolve(again, owner=builders.node("e1", boot=2))
    assert store.vote(again).verdict is VERDICT.HELD


def test_group_of_another_view_is_stale(store):
    """A vote for a group that the member does not see could make two majorities."""
    other = builders.view_of("a1", "a2", "a4").group(builders.JOB)
    assert vote(store, group=other).verdict is VERDICT.STALE_VIEW
    assert vote(store).verdict is VERDICT.GRANTED


def test_member_that_catches_up_does_not_vote(time):
    """A new member that knows no earlier claim would grant a job a second time."""
    store = claims.ClaimStore(builders.node("a4"), time, 300.0)
    before = builders.view_of(*NAMES)
    after = builders.fold(before, builders.removal("a1"), *builders.voters("a4"))
    store.catchup.advance(before)
    store.catchup.advance(after)
    assert vote(store).verdict is VERDICT.CATCHING_UP


def test_scopes_add_up_and_never_shrink(store):
    """An agent missing from the scope would not be fenced by the next owner."""
    vote(store, scope=S1)
    vote(store, epoch=2, owner="e2", scope=S2)
    vote(store, epoch=2, owner="e2", scope=())
    assert vote(store, epoch=0).record.scope == S1 + S2


def test_settled_code_outlives_a_takeover_but_not_a_new_attempt(store):
    """A "not run" that was answered must be found by every later claimant."""
    not_run = int(codes.Code.CANCELLED_NOT_RUN)
    vote(store, code=not_run)
    vote(store, epoch=2, owner="e2")
    assert vote(store, epoch=0).record.code == not_run
    vote(store, epoch=3, attempt=2)
    assert vote(store, epoch=0).record.code == codes.Code.PENDING


def test_settle_of_an_older_epoch_is_ignored(store):
    """A paused owner must not end the job of the owner that took over."""
    vote(store, epoch=2)
    store.settle(messages.Settle(builders.JOB, 1, 1, 200))
    assert vote(store, epoch=0).record.code == codes.Code.PENDING
    store.settle(messages.Settle(builders.JOB, 2, 1, 200))
    assert vote(store, epoch=0).record.code == 200


def test_merge_keeps_the_newer_record_with_both_scopes(store):
    """An older record from another member must not undo a newer claim."""
    vote(store, epoch=2, owner="e2", scope=S2)
    store.merge([builders.claim_record(epoch=1, scope=S1)])
    record = vote(store, epoch=0).record
    assert (record.epoch, record.owner.name) == (2, "e2")
    assert set(record.scope) == set(S1 + S2)
    settled = builders.claim_record(epoch=2, owner="e2", code=200)
    store.merge([settled])
    store.merge([builders.claim_record(epoch=2, owner="e2")])
    assert vote(store, epoch=0).record.code == 200


def test_record_is_kept_until_deadline_and_retention(store, time):
    """A record dropped too early lets a resubmitted key start its tasks again."""
    vote(store, expires_in_ms=30_000)
    time.advance(329.0)
    store.expire()
    assert len(store) == 1
    store.settle(messages.Settle(builders.JOB, 1, 1, 0))
    time.advance(299.0)
    store.expire()
    assert len(store) == 1
    time.advance(1.0)
    store.expire()
    assert len(store) == 0


def test_records_for_gives_only_groups_of_the_member(store):
    """A new member gets its groups' records, with the time that they are still kept."""
    vote(store)
    number = store.catchup.view.number
    (record,) = store.records_for(builders.node("a2"), number)
    assert record.expires_in_ms == 330_000
    assert store.records_for(builders.node("a9"), number) == []
    assert store.records_for(builders.node("a2", boot=2), number) == []
