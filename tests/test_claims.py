"""Guards the rules by which a claim group member votes and keeps records."""

import pytest

import builders
from burdockgate import clock, messages
from burdockgate.process import claims

V = messages.Verdict
GROUP = builders.view_of("a1", "a2", "a3").group(builders.JOB)
S1, S2 = (builders.node("s1"),), (builders.node("s2"),)


def make_store(time=None, own="a1"):
    made = claims.ClaimStore(
        builders.node(own), time or clock.ManualClock(), 300.0, 3900.0
    )
    made.catchup.advance(builders.view_of("a1", "a2", "a3"))
    return made


def vote(store, group=GROUP, **fields):
    return store.vote(builders.claim(group, **fields))


def held(store):
    return vote(store, epoch=0).record


@pytest.mark.parametrize(
    ("fields", "verdict"),
    [
        ({"epoch": 2}, V.GRANTED),
        ({"epoch": 2, "owner": "e2"}, V.HELD),
        ({"epoch": 2, "boot": 2}, V.HELD),
        ({"epoch": 1}, V.HELD),
        ({"epoch": 3, "owner": "e2"}, V.GRANTED),
        ({"epoch": 3, "owner": "e2", "attempt": 1}, V.HELD),
        ({"epoch": 0}, V.HELD),
    ],
)
def test_two_owners_of_an_epoch_or_an_older_attempt_are_refused(fields, verdict):
    store = make_store()
    assert vote(store, epoch=2, attempt=2).verdict is V.GRANTED
    reply = vote(store, **({"attempt": 2} | fields))
    assert reply.verdict is verdict
    assert (reply.record.epoch, reply.record.attempt) == (2, 2)
    if verdict is V.HELD:
        assert held(store) == reply.record, "a refused claim must change nothing"


def test_no_vote_for_another_group_or_before_catching_up():
    store = make_store()
    other = builders.view_of("a1", "a2", "a4")
    assert vote(store, other.group(builders.JOB)).verdict is V.STALE_VIEW
    assert vote(store, epoch=0).verdict is V.FREE
    assert len(store) == 0, "a question must not block the first claim"
    entering = make_store(own="a4")
    entering.catchup.advance(builders.fold(entering.catchup.view, builders.voter("a4")))
    group = entering.catchup.view.group(builders.JOB)
    assert vote(entering, group).verdict is V.CATCHING_UP


def test_scopes_never_shrink_and_codes_stay_within_the_attempt():
    """An agent missing from the scope is not fenced; a lost code is a second run."""
    store = make_store()
    vote(store, scope=S1, code=111)
    vote(store, epoch=2, owner="e2", scope=S2)
    vote(store, epoch=2, owner="e2")
    assert (held(store).scope, held(store).code) == (S1 + S2, 111)
    vote(store, epoch=3, attempt=2)
    assert held(store).code == 900


def test_settle_of_an_older_epoch_is_ignored():
    store = make_store()
    vote(store, epoch=2)
    store.settle(messages.Settle(builders.JOB, 1, 1, 200))
    assert held(store).code == 900
    store.settle(messages.Settle(builders.JOB, 2, 1, 200))
    assert held(store).code == 200


def test_merge_keeps_the_newer_record_with_both_scopes():
    store = make_store()
    vote(store, epoch=2, owner="e2", scope=S2)
    store.merge([builders.claim_record(epoch=1, scope=S1)])
    assert (held(store).epoch, held(store).owner.name) == (2, "e2")
    assert set(held(store).scope) == set(S1 + S2)
    for code in (200, 900):
        store.merge([builders.claim_record(epoch=2, code=code)])
    assert held(store).code == 200, "a pending record must not hide a settlement"


def test_record_is_kept_until_deadline_and_retention():
    time = clock.ManualClock()
    store = make_store(time)
    vote(store, expires_in_ms=30_000)
    for seconds, settles, count in ((329, True, 1), (299, False, 1), (1, False, 0)):
        time.advance(seconds)
        store.expire()
        assert len(store) == count
        if settles:
            store.settle(messages.Settle(builders.JOB, 1, 1, 0))


def test_member_gets_the_records_of_its_groups_only():
    store = make_store()
    vote(store)
    number = store.catchup.view.number
    (record,) = store.records_for(builders.node("a2"), number)
    assert record.expires_in_ms == 330_000
    for other in (builders.node("a9"), builders.node("a2", boot=2)):
        assert store.records_for(other, number) == []
