"""A few seeds of the fuzzer in every run; ``make fuzz`` runs as many as wanted."""

import pytest

import fuzz
import sessions
from burdockgate.request import outcome

SEEDS = range(12)


@pytest.mark.parametrize("seed", SEEDS)
def test_random_faults_break_no_promise(seed):
    """Kills, pauses, cuts and disturbed messages in random order."""
    assert fuzz.Run(seed).go() == []


def test_planted_violations_are_found():
    """The fuzzer's own checks must fail on a run that breaks each promise."""
    run = fuzz.Run(0)
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
        run.asked_at[ticket], run.answered_at[ticket] = 1e8, 1e9
        run.entry_by_ticket[ticket] = run.session.processes["entry-1"]
    start = sessions.StartSeen(1.0, request.job, 1, 0, "agent-1")
    again = sessions.StartSeen(2.0, request.job, 2, 0, "agent-2")
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
