"""A few seeds of the fuzzer; ``make fuzz SEEDS=N`` runs more of them."""

import pytest

import fuzz
import sessions
from burdockgate.request import outcome

SEEDS = range(12)


@pytest.mark.parametrize("seed", SEEDS)
def test_random_faults_break_no_promise(seed):
    """Guards against violations under random kills, pauses, cuts and lost messages."""
    assert fuzz.FuzzRun(seed).execute() == []


def test_planted_violations_are_found():
    """Guards against a fuzzer that misses violations: each planted one is reported."""
    run = fuzz.FuzzRun(0)
    request = sessions.make_request("planted", [10, 10], repeatable=False)
    run.submit("entry-1", request)
    for ticket, result in enumerate(
        [
            outcome.Complete(1, (b"partial",)),
            outcome.Refused(fuzz.codes.Code.BACKLOG_FULL, ""),
        ],
        start=900,
    ):
        run.request_by_ticket[ticket] = request
        run.session.answers[ticket] = result
        run.requested_at_by_ticket[ticket], run.answered_at_by_ticket[ticket] = 1e8, 1e9
        run.entry_by_ticket[ticket] = run.session.processes["entry-1"]
    start = sessions.BackendStart(1.0, request.job, 1, 0, "agent-1")
    again = sessions.BackendStart(2.0, request.job, 2, 0, "agent-2")
    run.session.starts += [start, start, again]
    found = "\n".join(run._violations())
    for text in (
        "and again on",
        "is not repeatable",
        "1 results for 2",
        "was told",
        "never",
    ):
        assert text in found
