"""Guards the rules by which a claim group member votes and keeps records."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

import builders
from burdockgate import clock, codes, messages
from burdockgate.process import claims

V = messages.Verdict
GROUP = builders.make_view("a1", "a2", "a3").group(builders.JOB)
OWNER = builders.node("e1")
S1, S2 = (builders.node("s1"),), (builders.node("s2"),)


def make_store(time=None, own="a1"):
    store = claims.ClaimStore(
        builders.node(own), time or clock.ManualClock(), 300.0, 3900.0
    )
    store.catchup.advance(builders.make_view("a1", "a2", "a3"))
    return store


def vote(store, group=GROUP, **fields):
    return store.vote(builders.claim(group, **fields))


def record_of(store):
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
        assert record_of(store) == reply.record, "a refused claim must change nothing"


def test_no_vote_for_another_group_or_before_catching_up():
    store = make_store()
    other = builders.make_view("a1", "a2", "a4")
    assert vote(store, other.group(builders.JOB)).verdict is V.STALE_VIEW
    assert vote(store, epoch=0).verdict is V.FREE
    assert len(store) == 0, "a query must not block the first claim"
    joining = make_store(own="a4")
    joining.catchup.advance(builders.fold(joining.catchup.view, builders.voter("a4")))
    group = joining.catchup.view.group(builders.JOB)
    assert vote(joining, group).verdict is V.CATCHING_UP


def test_scopes_never_shrink_and_codes_stay_within_the_attempt():
    """An agent missing from the scope is not fenced; a lost code leads to a rerun."""
    store = make_store()
    vote(store, scope=S1)
    vote(store, epoch=2, owner="e2", scope=S2)
    vote(store, epoch=2, owner="e2", code=111)
    vote(store, epoch=2, owner="e2")
    assert (record_of(store).scope, record_of(store).code) == (S1 + S2, 111)
    vote(store, epoch=3, attempt=2)
    assert record_of(store).code == 900


@pytest.mark.parametrize(("code", "epoch"), [(111, 1), (200, 1), (0, 2), (900, 2)])
def test_failed_attempt_is_closed_to_later_owners(code, epoch):
    """A code copied into the record of the next epoch led to a second run.

    The next owner had won without this member and ran the attempt; a third entry
    host read from this member that it had not run, and started another attempt
    (fuzz seed 277).
    """
    store = make_store()
    vote(store, scope=S1, code=code)
    reply = vote(store, epoch=2, owner="e2", scope=S2)
    assert reply.verdict is (V.HELD if epoch == 1 else V.GRANTED)
    assert (record_of(store).epoch, record_of(store).code) == (epoch, code)
    assert vote(store, epoch=3, owner="e3", attempt=2).verdict is V.GRANTED


def test_settle_of_an_older_epoch_is_ignored():
    store = make_store()
    vote(store, epoch=2)
    store.settle(messages.Settle(builders.JOB, 1, 1, 200), OWNER)
    assert record_of(store).code == 900
    store.settle(messages.Settle(builders.JOB, 2, 1, 200), OWNER)
    assert record_of(store).code == 200


@pytest.mark.parametrize("epoch", [1, 2])
def test_settled_record_names_the_owner_that_won(epoch):
    """A member that had granted the losing owner kept naming it after the settlement.

    The next submission took the job over although the real owner still had the
    results, one of which was by then lost with its worker.
    """
    store = make_store()
    vote(store, owner="e2")
    store.settle(messages.Settle(builders.JOB, epoch, 1, 0), OWNER)
    assert (record_of(store).epoch, record_of(store).owner, record_of(store).code) == (
        epoch,
        OWNER,
        0,
    )
    store.merge([builders.claim_record("e1", epoch=epoch, code=0)])
    assert record_of(store).epoch == epoch, (
        "records of one owner must not raise the epoch"
    )


def test_merge_keeps_the_newer_record_with_both_scopes():
    store = make_store()
    vote(store, epoch=2, owner="e2", scope=S2)
    store.merge([builders.claim_record(epoch=1, scope=S1)])
    assert (record_of(store).epoch, record_of(store).owner.name) == (2, "e2")
    assert set(record_of(store).scope) == set(S1 + S2)
    for code in (200, 900):
        store.merge([builders.claim_record(epoch=2, code=code)])
    assert record_of(store).code == 200, "a pending record must not hide a settlement"


def test_merge_of_two_owners_of_an_epoch_grants_it_to_neither():
    """A member that has merged both votes cannot tell which one won a majority.

    With the record of the losing owner, it completed a second majority (fuzz seed
    597).
    """
    for first, second in (("e1", "e2"), ("e2", "e1")):
        store = make_store()
        store.merge([builders.claim_record(first, scope=S1)])
        store.merge([builders.claim_record(second, scope=S2)])
        assert set(record_of(store).scope) == set(S1 + S2)
        for owner in ("e1", "e2"):
            assert vote(store, owner=owner).verdict is V.HELD
        assert (
            vote(store, owner="e3", epoch=record_of(store).epoch + 1).verdict
            is V.GRANTED
        )


@pytest.mark.parametrize("order", [1, -1])
def test_attempt_closed_by_a_lost_majority_is_granted_to_no_later_owner(order):
    """The outcome "not run" was wrong when a later owner won with a new member.

    Member 2 granted epoch 2, then members 1 and 3 closed the attempt; member 1 was
    lost, and its replacement merged the records of members 2 and 3.
    """
    closed, granted, joining = make_store(), make_store(), make_store()
    vote(closed, scope=S1, code=110)
    vote(granted, epoch=2, owner="e2", scope=S2)
    records = [builders.claim_record("e1", code=110, scope=S1), record_of(granted)]
    joining.merge(records[::order])
    for owner, epoch in (("e2", 2), ("e3", 4)):
        assert vote(closed, owner=owner, epoch=epoch).verdict is V.HELD
        assert vote(joining, owner=owner, epoch=epoch).verdict is V.HELD
    assert set(record_of(joining).scope) == set(S1 + S2)
    assert codes.start_class(record_of(joining).code) is codes.StartClass.MAY_HAVE_RUN
    # The next attempt of a repeatable job is open.
    assert vote(joining, owner="e3", epoch=4, attempt=2).verdict is V.GRANTED


def test_record_is_kept_until_deadline_and_retention():
    time = clock.ManualClock()
    store = make_store(time)
    vote(store, expires_in_ms=30_000)
    for seconds, settles, count in ((329, True, 1), (299, False, 1), (1, False, 0)):
        time.advance(seconds)
        store.expire()
        assert len(store) == count
        if settles:
            store.settle(messages.Settle(builders.JOB, 1, 1, 0), OWNER)


def test_member_gets_the_records_of_its_groups_only():
    store = make_store()
    vote(store)
    number = store.catchup.view.number
    (record,) = store.records_for(builders.node("a2"), number)
    assert record.expires_in_ms == 330_000
    for other in (builders.node("a9"), builders.node("a2", boot=2)):
        assert store.records_for(other, number) == []


CLAIMS = st.tuples(
    st.sets(st.sampled_from(["a1", "a2", "a3"]), min_size=1),
    st.sampled_from(["e1", "e2", "e3"]),
    st.integers(1, 4),
    st.integers(1, 2),
    st.sampled_from([900, 900, 110]),
)


@settings(derandomize=True, deadline=None, max_examples=150)
@given(st.lists(CLAIMS, min_size=5, max_size=30))
def test_majorities_share_what_they_granted(steps):
    """An epoch has one owner; later majorities know scopes and closed attempts."""
    stores = {name: make_store(own=name) for name in ("a1", "a2", "a3")}
    members_by_vote, scopes, closed = {}, set(), set()
    for number, (names, owner, epoch, attempt, code) in enumerate(steps):
        scope = (builders.node(f"s{number}"),)
        fields = {"owner": owner, "epoch": epoch, "attempt": attempt, "code": code}
        replies = {name: vote(stores[name], scope=scope, **fields) for name in names}
        granted = {name for name in names if replies[name].verdict is V.GRANTED}
        members_by_vote.setdefault((epoch, owner), set()).update(granted)
        owners = [key for key, members in members_by_vote.items() if len(members) >= 2]
        assert len(owners) == len({key[0] for key in owners})
        if len(granted) < 2:
            continue
        known = {
            n for name in granted for n in getattr(replies[name].record, "scope", ())
        }
        assert scopes <= known
        assert code == 110 or all(
            attempt > closed_attempt or (epoch, owner) == closing_claim
            for closed_attempt, closing_claim in closed
        )
        scopes.add(scope[0])
        if code == 110:
            closed.add((attempt, (epoch, owner)))
