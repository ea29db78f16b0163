"""Tests the checker: each violation is found, and correct traces pass."""

import pytest

from burdockgate import codes
from burdockgate.request import job as request_job
from burdockgate.standin import checker, trace

JOB = request_job.job_id("g", "k")
TASKS = (b'{"n":1}', b"2")
RESULTS = tuple(
    b'{"task":%d,"echo":%b,"server":"w"}' % (index, payload)
    for index, payload in enumerate(TASKS)
)
Code = codes.Code
Invariant = checker.Invariant


def submitted(at=0.0, repeatable=True, tasks=TASKS, entry="e"):
    return trace.Submitted(at, "g", "k", 1, entry, tasks, repeatable)


def started(at, index, attempt=1, server="w"):
    return trace.Started(at, JOB, attempt, index, server, TASKS[index])


def answered(at, code=Code.COMPLETE, attempt=1, results=RESULTS, entry="e"):
    return trace.Answered(at, "g", "k", code, attempt, results, entry)


def refused(at, code=Code.BACKLOG_FULL, attempt=0, entry="e"):
    return answered(at, code, attempt, (), entry)


def claimed(epoch, owner):
    return trace.Claimed(0.1, JOB, 1, epoch, owner)


CORRECT = [
    submitted(),
    claimed(1, "e/1"),
    trace.Sent(0.2, JOB, 1, 0, "w"),
    started(0.2, 0),
    started(0.2, 1, server="v"),
    answered(0.9),
]
VERSIONS = [
    trace.InForce(0.0, "a", 1),
    trace.InForce(0.0, "b", 1),
    trace.Accepted(1.0, 2),
    trace.InForce(2.0, "a", 2),
]
OTHER = submitted(5.0, tasks=(b"9",))
ASKED = [submitted()]
RUNNING = [submitted(), started(0.1, 0)]
LEFT = [trace.Left(1.0, "w")]
BACK = [*VERSIONS, trace.Left(1.5, "b"), trace.Joined(8.0, "b")]


def violated(events, **settings):
    found = checker.check(events, checker.Settings(**settings))
    assert all("\n" not in violation.detail for violation in found)
    return [violation.invariant for violation in found]


@pytest.mark.parametrize(
    "events",
    [
        [],
        CORRECT,
        list(reversed(CORRECT)),
        # The same owner claims again, and another takes over by the next epoch.
        [*CORRECT, claimed(1, "e/1"), claimed(2, "f/1")],
        # One entry host refused a submission and a cancel, another ran the job.
        [*CORRECT, submitted(0.1, entry="f"), refused(0.11), refused(0.12)],
        # A failed attempt, then the next one of a repeatable job.
        [
            *RUNNING,
            refused(0.2, Code.TASK_FAILED, 1),
            submitted(1.0),
            started(1.1, 0, 2),
            started(1.1, 1, 2),
            answered(1.2, attempt=2),
        ],
        # A refusal after an attempt that has ended, and one before the first start.
        [*RUNNING, refused(0.2, Code.TASK_FAILED, 1)] + [submitted(1.0), refused(1.1)],
        [*ASKED, refused(0.1), *CORRECT],
        # A start between submission and refusal may belong to another submission.
        [*ASKED, submitted(0.0, entry="f"), started(0.1, 0), refused(0.2)],
        # The refused body is not the one that ran.
        [*CORRECT[:-1], OTHER, refused(5.1, Code.KEY_REUSED)],
        [*RUNNING, refused(0.2, Code.WORKER_LOST, 1)],
        # The same JSON in other formatting.
        [
            submitted(),
            answered(1, results=(b'{"echo": {"n": 1}, "task": 0}', RESULTS[1])),
        ],
        [*LEFT, started(4.0, 0)],
        [*LEFT, trace.Joined(8.0, "w"), started(9.0, 0)],
        [*VERSIONS, trace.InForce(6.0, "b", 3), trace.Accepted(9.0, 4)],
        [*VERSIONS, trace.Left(3.0, "b"), trace.InForce(20.0, "a", 2)],
        # A version is due 5 s after a node has joined again.
        [*BACK, trace.InForce(12.0, "b", 2), trace.InForce(30.0, "a", 2)],
    ],
)
def test_correct_trace_passes(events):
    assert violated(events) == []


@pytest.mark.parametrize(
    ("invariant", "events"),
    [
        (Invariant.TASK_STARTED_ONCE, [*CORRECT, started(1.0, 0, server="v")]),
        (Invariant.ONE_OWNER, [*CORRECT, claimed(1, "f/1")]),
        (Invariant.WHOLE_ANSWER, [*ASKED, answered(1, results=RESULTS[:1])]),
        (Invariant.WHOLE_ANSWER, [*ASKED, answered(1, Code.WORKER_LOST)]),
        (Invariant.OWN_ANSWER, [*ASKED, answered(1, results=RESULTS[::-1])]),
        (Invariant.OWN_ANSWER, [submitted(tasks=(b"1", b"2")), answered(1)]),
        (Invariant.OWN_ANSWER, [*ASKED, answered(1, results=(b"{", b"1"))]),
        (
            Invariant.OWN_ANSWER,
            [
                submitted(tasks=(b"1",)),
                answered(1, results=(b'{"task":0,"echo":true}',)),
            ],
        ),
        (Invariant.OWN_ANSWER, [answered(1)]),
        (Invariant.NOT_RUN_IS_TRUE, [*RUNNING, refused(0.2, Code.QUEUE_TIMEOUT, 1)]),
        # The start comes after the refusal.
        (
            Invariant.NOT_RUN_IS_TRUE,
            [*ASKED, refused(0.2, Code.CANCELLED_NOT_RUN, 1), started(0.3, 0)],
        ),
        # The only submission is refused without an attempt, then a task starts.
        (Invariant.NOT_RUN_IS_TRUE, [*ASKED, refused(0.2), started(0.3, 0)]),
        # A second submission is refused while the first one runs.
        (
            Invariant.NOT_RUN_IS_TRUE,
            [*RUNNING, submitted(1.0), refused(1.1), answered(2)],
        ),
        (Invariant.NOT_RUN_IS_TRUE, [*RUNNING, refused(0.2, Code.KEY_REUSED)]),
        (
            Invariant.NOT_REPEATABLE,
            [submitted(repeatable=False), started(0.1, 0), started(1.0, 0, 2)],
        ),
        (
            Invariant.SAME_ANSWER,
            [*CORRECT, answered(2, results=(RESULTS[0] + b" ", RESULTS[1]))],
        ),
        (Invariant.LEFT_WORKER_RESTS, [*LEFT, started(4.1, 0)]),
        # A crash after a leave does not restart the time limit.
        (Invariant.LEFT_WORKER_RESTS, [*LEFT, trace.Left(3.0, "w"), started(5.0, 0)]),
        (Invariant.VERSION_GROWS, [*VERSIONS, trace.InForce(2.5, "a", 1)]),
        (Invariant.VERSION_IN_FORCE, [*VERSIONS, trace.InForce(6.1, "b", 2)]),
        (Invariant.VERSION_IN_FORCE, [*VERSIONS, trace.InForce(9.0, "a", 2)]),
        (Invariant.VERSION_IN_FORCE, [*BACK, trace.InForce(13.1, "b", 2)]),
    ],
)
def test_only_the_violated_invariant_is_reported(invariant, events):
    assert violated(events) == [invariant]


def test_node_that_never_reports_a_version_is_found():
    events = [*VERSIONS, trace.InForce(6.0, "b", 2), trace.InForce(9.0, "a", 2)]
    assert violated(events) == []
    assert violated(events, nodes=("c",)) == [Invariant.VERSION_IN_FORCE]


def test_every_invariant_is_covered():
    marks = test_only_the_violated_invariant_is_reported.pytestmark
    assert {invariant for invariant, _ in marks[0].args[1]} == set(Invariant)
