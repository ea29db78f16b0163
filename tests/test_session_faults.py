"""Sessions in which one or two processes or connections fail."""

import pytest

import sessions
from burdockgate import codes, messages
from burdockgate.request import outcome


@pytest.fixture
def session():
    return sessions.Session()


def assert_failed(result, code):
    assert isinstance(result, outcome.Failed)
    assert result.code is code


def kill_after_starts(session, name, count):
    session.run_until(lambda: len(session.starts) >= count)
    session.kill(name)


def test_owner_dies_and_caller_submits_elsewhere(session, snapshot):
    """Guards a takeover: it collects results, awaits running tasks, restarts none."""
    request = sessions.make_request("k1", [50, 500, 500, 500, 50, 50, 50, 50])
    session.submit("entry-1", request)
    kill_after_starts(session, "entry-1", 7)
    ticket = session.submit("entry-2", request)
    sessions.assert_complete(request, session.wait_answer(ticket))
    sessions.assert_single_starts(session)
    assert session.trace_text() == snapshot


def test_owner_dies_between_claim_and_dispatch(session):
    """Guards against a job that is blocked for ever by a claim without a start."""
    request = sessions.make_request("k1", [50] * 4)
    session.filters.append(
        lambda _from, _to, message, delays: (
            [] if isinstance(message, messages.Start) and _from == "entry-1" else delays
        )
    )
    session.submit("entry-1", request)
    session.run(0.01)
    session.kill("entry-1")
    ticket = session.submit("entry-2", request)
    sessions.assert_complete(request, session.wait_answer(ticket))
    sessions.assert_single_starts(session)


def test_owner_frozen_then_thawed(session):
    """A paused owner that goes on after a takeover starts nothing and joins the job."""
    request = sessions.make_request("k1", [400] * 20)
    first = session.submit("entry-1", request)
    session.run_until(lambda: len(session.starts) >= 6)
    session.freeze("entry-1")
    session.run(0.1)
    second = session.submit("entry-2", request)
    session.run(3.5)
    session.thaw("entry-1")
    sessions.assert_complete(request, session.wait_answer(second))
    sessions.assert_complete(request, session.wait_answer(first))
    sessions.assert_single_starts(session)


def test_frozen_owner_does_not_say_not_run(session):
    """Guards against a false "not run" of an owner that was paused past the deadline.

    Its job had not started, but another entry host took it over and ran it.
    """
    session.submit("entry-2", sessions.make_request("long", [3000] * 6))
    session.run(0.1)
    first = session.submit(
        "entry-1", sessions.make_request("k1", [50] * 4, deadline_ms=2000)
    )
    session.run(0.1)
    session.freeze("entry-1")
    again = sessions.make_request("k1", [50] * 4)
    second = session.submit("entry-2", again)
    sessions.assert_complete(again, session.wait_answer(second))
    session.thaw("entry-1")
    result = session.wait_answer(first)
    assert codes.start_class(result.code) is not codes.StartClass.NOT_RUN
    sessions.assert_single_starts(session)


def test_agent_dies_with_tasks(session, snapshot):
    """The whole job fails as "may have run", and its other tasks are not started."""
    request = sessions.make_request("k1", [300] * 12)
    ticket = session.submit("entry-1", request)
    kill_after_starts(session, "agent-2", 6)
    assert_failed(session.wait_answer(ticket), codes.Code.WORKER_LOST)
    sessions.assert_single_starts(session)
    assert session.trace_text() == snapshot


def test_agent_restarts_under_the_same_name(session):
    """A new boot id proves the loss: the job fails at once, not after 5 s."""
    request = sessions.make_request("k1", [300] * 12)
    ticket = session.submit("entry-1", request)
    kill_after_starts(session, "agent-2", 6)
    session.start("agent-2")
    at = session.clock.now()
    assert_failed(session.wait_answer(ticket), codes.Code.WORKER_LOST)
    assert session.clock.now() - at < 1.5


def test_failed_job_runs_again_only_if_repeatable(session):
    """A submitted key starts a new attempt of a failed job only if it is repeatable."""
    for key, repeatable in (("again", True), ("once", False)):
        request = sessions.make_request(key, [300] * 6, repeatable=repeatable)
        ticket = session.submit("entry-1", request)
        session.run(0.01)
        session.kill("agent-2")
        assert_failed(session.wait_answer(ticket), codes.Code.WORKER_LOST)
        session.start("agent-2")
        session.run(1.0)
        for name in ("entry-1", "entry-2"):
            result = session.wait_answer(session.submit(name, request))
            if repeatable:
                sessions.assert_complete(request, result)
                assert result.attempt == 2
            else:
                assert_failed(result, codes.Code.WORKER_LOST)
    sessions.assert_single_starts(session)


def test_agent_connection_cut_and_back(session):
    """A fence collects the results that could not be sent during a short cut."""
    request = sessions.make_request("k1", [300] * 12)
    ticket = session.submit("entry-1", request)
    session.run(0.1)
    session.cut("entry-1", "agent-2")
    session.run(0.5)
    session.heal("entry-1", "agent-2")
    sessions.assert_complete(request, session.wait_answer(ticket))
    sessions.assert_single_starts(session)


def test_start_lost_with_the_connection_is_sent_again(session):
    """A fence shows that an agent did not get a task, which may then go to another."""
    request = sessions.make_request("k1", [100] * 4)
    lost = []

    def lose_first(_from, to, message, delays):
        if isinstance(message, messages.Start) and to == "agent-1" and not lost:
            lost.append(message)
            return []
        return delays

    session.filters.append(lose_first)
    ticket = session.submit("entry-1", request)
    session.run(0.05)
    assert lost
    session.cut("entry-1", "agent-1")
    session.heal("entry-1", "agent-1")
    sessions.assert_complete(request, session.wait_answer(ticket))
    sessions.assert_single_starts(session)


def test_duplicated_and_delayed_messages(session):
    """Guards against tasks started twice or lost when every message arrives again."""
    session.filters.append(
        lambda _from, _to, _message, delays: [*delays, *(d + 0.15 for d in delays)]
    )
    for index in range(10):
        request = sessions.make_request(f"k{index}", [20 + index] * 10)
        tickets = [session.submit(name, request) for name in ("entry-1", "entry-2")]
        for ticket in tickets:
            sessions.assert_complete(request, session.wait_answer(ticket))
    sessions.assert_single_starts(session)


def test_one_member_lost_does_not_stop_claims(session):
    """Two of the three members of a claim group are a majority."""
    session.kill("agent-3")
    request = sessions.make_request("k1", [50] * 4)
    sessions.assert_complete(
        request, session.wait_answer(session.submit("entry-1", request))
    )


def test_no_majority_is_not_called_not_run(session):
    """Without a majority an earlier submission is possible, so "not run" is false."""
    session.log_is_up = False
    request = sessions.make_request("k1", [50] * 2, deadline_ms=3000)
    sessions.assert_complete(
        request, session.wait_answer(session.submit("entry-1", request))
    )
    for name in ("agent-2", "agent-3", "entry-1"):
        session.kill(name)
    unknown = sessions.make_request("k2", [50], deadline_ms=3000)
    result = session.wait_answer(session.submit("entry-2", unknown))
    assert result.code is codes.Code.CLAIM_UNAVAILABLE
    known = session.wait_answer(session.submit("entry-2", request))
    assert codes.start_class(known.code) is codes.StartClass.MAY_HAVE_RUN
    sessions.assert_single_starts(session)


def test_lost_member_is_replaced_and_catches_up():
    """A member that joins a claim group must know the claims from before.

    Otherwise a job could be claimed again after two changes of the view.
    """
    session = sessions.Session(entries=2, agents=6)
    requests = [sessions.make_request(f"k{index}", [20]) for index in range(30)]
    for request in requests:
        sessions.assert_complete(
            request, session.wait_answer(session.submit("entry-1", request))
        )
    for name in ("agent-1", "agent-2"):
        session.kill(name)
        session.run(20.0)
        session.start(name)
        session.run(5.0)
    session.kill("entry-1")
    for request in requests:
        session.wait_answer(session.submit("entry-2", request))
    sessions.assert_single_starts(session)


def test_cancel_before_and_after_the_start(session):
    """Guards against a cancel without a final outcome, and a false "not run"."""
    session.submit("entry-1", sessions.make_request("long", [3000] * 6))
    session.run(0.1)
    waiting = sessions.make_request("waiting", [50] * 2)
    ticket = session.submit("entry-1", waiting)
    session.run(0.1)
    cancelled = session.wait_answer(session.cancel("entry-1", waiting))
    assert cancelled.code is codes.Code.CANCELLED_NOT_RUN
    assert session.answers[ticket] == cancelled
    running = sessions.make_request("long", [3000] * 6)
    result = session.wait_answer(session.cancel("entry-2", running))
    assert result.code is codes.Code.CANCELLED_MAY_HAVE_RUN
    session.run(0.1)
    assert session.core("agent-1").slots.running == 0


def test_key_with_another_body_is_refused(session):
    """Guards against the answer to another body that used the same key."""
    first = sessions.make_request("k1", [50])
    second = sessions.make_request("k1", [60])
    session.submit("entry-1", first)
    for name in ("entry-1", "entry-2"):
        result = session.wait_answer(session.submit(name, second))
        assert result.code is codes.Code.KEY_REUSED


def test_full_backlog_refuses_but_joins_what_runs(session):
    """Guards against a "not run" for a job that runs at another entry host."""
    request = sessions.make_request("k1", [300] * 6)
    ticket = session.submit("entry-1", request)
    session.run(0.05)
    session.core("entry-2").draining = True
    second = session.submit("entry-2", request)
    refused = session.submit("entry-2", sessions.make_request("k2", [50]))
    assert session.wait_answer(refused).code is codes.Code.DRAINING
    sessions.assert_complete(request, session.wait_answer(second))
    sessions.assert_complete(request, session.wait_answer(ticket))
    sessions.assert_single_starts(session)


def test_log_outage_does_not_stop_jobs(session):
    """Claims and starts need no append to the log."""
    session.log_is_up = False
    request = sessions.make_request("k1", [50] * 10)
    sessions.assert_complete(
        request, session.wait_answer(session.submit("entry-1", request))
    )


@pytest.mark.parametrize("count", [0, 3, 5])
def test_answer_of_the_owner_that_is_not_whole_is_no_answer(session, count):
    """Guards against a partial answer from the owner to a caller of another host."""
    request = sessions.make_request("k1", [300] * 4)
    session.submit("entry-1", request)
    session.run(0.05)
    ticket = session.submit("entry-2", request)
    session.run(0.05)
    part = messages.Outcome(request.job, 1, 1, 0, "", (b"1",) * count)
    joined = session.processes["entry-2"]
    session._perform(joined, joined.core.receive("entry-1", part))
    assert_failed(session.wait_answer(ticket), codes.Code.ANSWER_EXPIRED)


def test_entry_hosts_connect_again_after_a_cut():
    """Guards against entry hosts that stay apart after the end of a cut."""
    session = sessions.Session()
    session.is_redialing = False
    session.cut("entry-1", "entry-2")
    session.run(1.0)
    session.cut_pairs.clear()
    session.run(1.0)
    assert "entry-2" in session.core("entry-1").jobs.peer_by_name


def test_lost_settlement_holds_up_no_planned_stop():
    """Guards against a lost settlement that delays a planned stop by 60 s."""
    session = sessions.Session()

    def lose_settlements(_sender, to, message, delays):
        is_lost = to == "agent-1" and isinstance(message, messages.Settle)
        return [] if is_lost else delays

    session.filters.append(lose_settlements)
    request = sessions.make_request("k1", [20] * 6)
    ticket = session.submit("entry-1", request)
    session.run(1.0)
    assert session.wait_answer(ticket).code is codes.Code.COMPLETE
    assert not session.core("agent-1").is_idle
    session.filters.remove(lose_settlements)
    session.drain("agent-1")
    session.run(2.0)
    assert session.core("agent-1").is_idle
