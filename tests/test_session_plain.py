"""Sessions without faults."""

import sessions


def test_plain_session(snapshot):
    """One job takes exactly these messages; guards against additional ones."""
    session = sessions.Session()
    request = sessions.make_request("k1", [50, 60, 70, 80])
    sessions.assert_complete(
        request, session.wait_answer(session.submit("entry-1", request))
    )
    session.run(0.1)
    assert session.trace_text() == snapshot


def test_same_key_at_two_entry_hosts_runs_once():
    """Two entry hosts that receive a job at the same time must not both run it."""
    session = sessions.Session()
    request = sessions.make_request("k1", [50] * 4)
    tickets = [session.submit(name, request) for name in ("entry-1", "entry-2")]
    for ticket in tickets:
        sessions.assert_complete(request, session.wait_answer(ticket))
    sessions.assert_single_starts(session)
