"""Sessions in which jobs are cancelled, singly and in large numbers."""

import pytest

import sessions
from burdockgate import codes, messages


@pytest.fixture
def session():
    return sessions.Session()


def delay_messages(session, kind, seconds):
    """Delay the messages of one type."""
    session.filters.append(
        lambda _from, _to, message, delays: (
            [seconds] if isinstance(message, kind) else delays
        )
    )


@pytest.mark.parametrize("wait_s", [0.0, 5.0])
def test_cancel_that_overtakes_its_submission(session, wait_s):
    """Guards against running a job whose cancel arrived first.

    When many jobs were cancelled at once, 147 of 528 ran for this reason.
    """
    request = sessions.make_request("k1", [50] * 4)
    cancel = session.cancel("entry-1", request)
    session.run(wait_s)
    ticket = session.submit("entry-1", request)
    assert session.wait_answer(ticket).code is codes.Code.CANCELLED_NOT_RUN
    assert (
        codes.start_class(session.wait_answer(cancel).code) is codes.StartClass.NOT_RUN
    )
    assert session.starts == []
    again = session.submit("entry-1", request)
    sessions.assert_complete(request, session.wait_answer(again))


def test_cancel_of_a_key_is_not_remembered_for_ever(session):
    """Guards against dropping a job submitted long after a cancel of its key."""
    request = sessions.make_request("k1", [50])
    session.cancel("entry-1", request)
    session.run(11.0)
    assert not session.core("entry-1").jobs._cancelled_at_by_job
    ticket = session.submit("entry-1", request)
    sessions.assert_complete(request, session.wait_answer(ticket))


def test_cancel_from_elsewhere_during_the_claim(session):
    """Guards against an owner that drops a cancel received during its claim."""
    request = sessions.make_request("k1", [50] * 4)
    votes = []

    def delay_votes(sender, to, message, delays):
        is_vote = isinstance(message, messages.ClaimReply) and to == "entry-1"
        votes.extend([message] * is_vote)
        return [0.2] if is_vote else delays

    session.filters.append(delay_votes)
    ticket = session.submit("entry-1", request)
    session.run(0.01)
    assert votes
    cancel = session.cancel("entry-2", request)
    for each in (ticket, cancel):
        assert session.wait_answer(each).code is codes.Code.CANCELLED_NOT_RUN
    assert session.starts == []


def test_cancel_without_a_majority_ends_at_once(session):
    """Guards against a cancel that waits for the deadline of the job, up to 300 s."""
    delay_messages(session, messages.ClaimReply, 1000.0)
    request = sessions.make_request("k1", [50] * 4, deadline_ms=300_000)
    ticket = session.submit("entry-1", request)
    cancel = session.cancel("entry-1", request)
    for each in (ticket, cancel):
        result = session.wait_answer(each, limit_s=3.0)
        assert result.code is codes.Code.CLAIM_UNAVAILABLE
    assert session.starts == []


def test_wave_leaves_nothing_behind(session):
    """Guards against slots, claims and bytes that stay taken after many cancels.

    Waiting tasks must cost the workers no starts and no cancels.
    """
    requests = [sessions.make_request(f"k{n}", [5000] * 4) for n in range(200)]
    for request in requests:
        session.submit("entry-1", request)
    session.run(0.2)
    assert len(session.starts) == 6
    session.trace.clear()
    cancels = [session.cancel("entry-1", request) for request in requests]
    ended = {session.wait_answer(ticket, limit_s=1.0).code for ticket in cancels}
    session.run(1.0)
    assert ended == {
        codes.Code.CANCELLED_NOT_RUN,
        codes.Code.CANCELLED_MAY_HAVE_RUN,
    }
    sent = [line.split()[4] for line in session.trace if " entry-1 -> agent" in line]
    assert sent.count("Start") == 0
    assert sent.count("Cancel") <= 6
    # Each "not run" takes one claim per member, whatever the number of tasks.
    assert sent.count("Claim") <= 3 * 200
    core = session.core("entry-1")
    assert (len(core.jobs), core.backlog_tasks, core.jobs.body_bytes) == (0, 0, 0)
    for name in ("agent-1", "agent-2", "agent-3"):
        assert session.core(name).slots.running == 0
        assert core.workers.worker_by_name[name].available_slots == 2
    whole = sessions.make_request("last", [50] * 6)
    sessions.assert_complete(
        whole, session.wait_answer(session.submit("entry-1", whole), 0.2)
    )
