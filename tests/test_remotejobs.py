"""Guards an entry host that waits for a job that another one owns."""

import sessions
from burdockgate import codes, messages


def test_complete_outcome_without_results_is_no_answer():
    """A caller that only asks has no body to count the results by."""
    session = sessions.Session()
    request = sessions.make_request("k1", [300] * 4)
    session.submit("entry-1", request)
    session.run(0.05)
    ticket = session.cancel("entry-2", request)
    session.filters.append(lambda *_: [])
    empty = messages.Outcome(request.job, 1, 1, int(codes.Code.COMPLETE), "", ())
    joined = session.processes["entry-2"]
    session.run(0.01)
    held = joined.core.jobs._submission_by_job[request.job]
    held.owner = session.core("entry-1").node
    session._perform(joined, joined.core.receive("entry-1", empty))
    assert session.wait_answer(ticket).code is codes.Code.ANSWER_EXPIRED
