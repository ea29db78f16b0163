"""Guards an owned job: no second start, no false "not run"."""

import pytest

import builders
from burdockgate import clock, codes, effects, messages
from burdockgate.request import outcome

STATE = messages.TaskState
RUNNING, RETURNED, DONE = STATE.RUNNING, STATE.RETURNED, STATE.DONE
C = codes.Code
A1, A2 = builders.node("a1"), builders.node("a2")
report = builders.report


@pytest.fixture
def time():
    return clock.ManualClock()


@pytest.fixture
def job(time):
    return builders.make_owned_job(time=time)


def take(job, *nodes):
    return [job.assign_next_task(node) for node in nodes]


def results(job, name, *reports, **fields):
    return list(job.handle_results(name, builders.results(*reports, **fields)))


def reply(job, name, *reports, **fields):
    return list(job.handle_fence_reply(name, builders.fence_reply(*reports, **fields)))


def reconnect(job, node):
    job.handle_agent_disconnected(node.name)
    return builders.sent(job.handle_agent_connected(node), messages.Fence)


def code(job):
    return job.outcome and job.outcome.code


@pytest.mark.parametrize(
    ("name", "index", "send", "fields"),
    [
        ("a1", 0, 1, {"epoch": 2}),
        ("a1", 0, 1, {"attempt": 2}),
        ("a1", 0, 1, {"boot": 2}),
        ("a1", 0, 2, {}),
        ("a1", 7, 1, {}),
        ("a2", 0, 1, {}),
        ("a9", 0, 1, {}),
    ],
)
def test_answer_is_whole_in_order_and_from_matching_results(
    job, name, index, send, fields
):
    take(job, A1, A2)
    results(job, name, report(index, send), **fields)
    assert job.dropped_count == 1
    results(job, "a2", report(1, payload=b"y"))
    assert job.outcome is None
    results(job, "a1", report(0, payload=b"x"))
    assert job.outcome == outcome.Complete(1, (b"x", b"y"))


def test_start_names_what_the_agent_checks(job):
    start = job.start_message(A1, take(job, A1)).message
    assert (start.epoch, start.fence, start.attempt, start.boot) == (1, 0, 1, 1)
    results(job, "a1", report(0, 1, RETURNED))
    assert [task.send for task in take(job, A2)] == [2]
    reconnect(job, A2)
    reply(job, "a2")
    assert job.start_message(A2, take(job, A2)).message.fence == 1


def test_only_agents_of_the_scope_are_allowed(job):
    """A later owner fences only the recorded scope."""
    a3 = builders.node("a3")
    allowed = [job.may_send_to(each) for each in (A1, a3, builders.node("a1", 2))]
    assert allowed == [True, False, False]
    job.extend_scope(builders.terms(("a1", "a3")))
    assert job.may_send_to(a3)


def test_no_task_for_an_agent_that_is_lost_or_fenced(job, time):
    """A start sent around a fence would make its reply meaningless."""
    take(job, A1)
    job.handle_agent_disconnected("a1")
    assert not job.may_send_to(A1)
    time.advance(4.0)
    job.handle_agent_disconnected("a1")
    list(job.handle_agent_connected(A1))
    assert not job.may_send_to(A1)
    reply(job, "a1", report(0, state=RUNNING))
    assert job.may_send_to(A1)
    results(job, "a1", report(0))
    assert reconnect(job, A1) == [], "a fence for an idle agent is waste"
    assert job.may_send_to(A1)


@pytest.mark.parametrize(
    "fields", [{"fence": 1}, {"fence": 3}, {"epoch": 0}, {"attempt": 2}]
)
def test_reply_to_another_fence_frees_no_task(job, fields):
    take(job, A1)
    reconnect(job, A1)
    assert [fence.fence for fence in reconnect(job, A1)] == [2]
    reply(job, "a1", **({"fence": 2} | fields))
    assert (job.waiting_count, job.may_send_to(A1)) == (1, False)
    reply(job, "a1", fence=2)
    assert job.waiting_count == 2
    take(job, A1)
    reply(job, "a1", fence=2)
    assert job.waiting_count == 1, "a duplicate must free nothing"


def test_fence_frees_only_tasks_the_agent_never_got(job):
    take(job, A1, A1)
    reconnect(job, A1)
    reply(job, "a1", report(0, state=RUNNING), more=True)
    assert job.waiting_count == 0
    reply(job, "a1")
    assert job.assign_next_task(A2).index == 1


def test_repeated_send_that_was_lost_is_freed_by_the_fence(job):
    """The report of the send before must not hide that the repeat never arrived."""
    take(job, A1)
    results(job, "a1", report(0, 1, RETURNED))
    take(job, A1)
    reconnect(job, A1)
    reply(job, "a1", report(0, 1, RETURNED))
    assert job.waiting_count == 2


def test_no_task_waits_while_an_agent_is_recovered(job):
    """Until all agents of the scopes have answered, a task may run at any of them."""
    wanted = list(job.recover([A1, A2]))
    assert effects.Dial(A1) in wanted
    fences = builders.sent(wanted, messages.Fence)
    assert [(fence.epoch, fence.fence) for fence in fences] == [(1, 1), (1, 1)]
    reply(job, "a1", report(0, 3, RUNNING))
    assert job.waiting_count == 0
    reply(job, "a2", report(1, 4, RETURNED))
    assert [task.send for task in take(job, A2)] == [5]
    for name, index, send in (("a1", 0, 3), ("a2", 1, 5)):
        results(job, name, report(index, send))
    assert code(job) is C.COMPLETE


@pytest.mark.parametrize(("count", "expected"), [(1, C.OWNER_LOST), (2, C.COMPLETE)])
def test_lost_agent_leaves_unknown_tasks_in_doubt(job, time, count, expected):
    list(job.recover([A1, A2]))
    reply(job, "a1", report(0), *[report(1, state=RUNNING)][: count - 1])
    time.advance(4.9)
    list(job.tick())
    assert job.outcome is None
    time.advance(0.1)
    list(job.tick())
    results(job, "a1", report(1))
    assert code(job) is expected


def test_two_boots_of_one_agent_leave_doubt_once_all_have_answered(job):
    list(job.recover([A1, builders.node("a1", boot=2), A2]))
    reply(job, "a1")
    assert job.outcome is None
    reply(job, "a2")
    assert code(job) is C.OWNER_LOST


@pytest.mark.parametrize("cause", ["timeout", "hello", "reply"])
@pytest.mark.parametrize("returned", [False, True])
def test_lost_worker_fails_the_job_if_it_has_tasks(job, time, cause, returned):
    """A cut of less than the timeout fails nothing; another boot fails at once."""
    take(job, A1)
    if cause == "reply":
        reconnect(job, A1)
        reply(job, "a1", *[report(0, 1, RETURNED)] * returned)
        take(job, *[A1] * (not returned))
        reconnect(job, A1)
        reply(job, "a1", fence=2, boot=2)
    else:
        results(job, "a1", *[report(0, 1, RETURNED)] * returned)
        job.handle_agent_disconnected("a1")
        time.advance(4.9)
        list(job.tick())
        assert job.outcome is None
        time.advance(0.1 * (cause == "timeout"))
        list(job.tick())
        if cause == "hello":
            list(job.handle_agent_connected(builders.node("a1", boot=2)))
    assert code(job) is (None if returned else C.WORKER_LOST)
    assert job.waiting_count == (2 if returned else 0)


def test_higher_epoch_ends_the_leadership(job):
    reply(job, "a9", epoch=2)
    assert job.is_superseded


@pytest.mark.parametrize(
    ("state", "payload", "expected"),
    [
        (STATE.FAILED, b"x", C.TASK_FAILED),
        (STATE.UNKNOWN, b"x", C.REQUEST_CUT),
        (STATE.STOPPED, b"x", C.CANCELLED_MAY_HAVE_RUN),
        (STATE.OVERSIZE, b"x", C.RESULT_TOO_LARGE),
        (DONE, b"", C.ANSWER_EXPIRED),
    ],
)
def test_failed_task_fails_the_whole_job(job, state, payload, expected):
    take(job, A1, A2)
    wanted = results(job, "a1", report(0, state=state, payload=payload))
    assert [(each.to, type(each.message)) for each in wanted] == [
        ("a2", messages.Cancel)
    ]
    results(job, "a2", report(1))
    list(job.cancel())
    assert (code(job), job.waiting_count) == (expected, 0)
    told = [(each.to, each.message.code) for each in job.settle()]
    assert told == [(name, int(expected)) for name in ("a1", "a2", "m1")]


@pytest.mark.parametrize("by_deadline", [False, True])
@pytest.mark.parametrize(
    ("situation", "is_not_run"),
    [("waiting", True), ("returned", True), ("sent", False), ("done", False)]
    + [("running", False), ("recovering", False), ("earlier attempt", False)],
)
def test_not_run_is_said_only_when_nothing_can_have_started(
    time, situation, is_not_run, by_deadline
):
    had_attempt = situation == "earlier attempt"
    job = builders.make_owned_job(time=time, had_attempt=had_attempt)
    if situation in ("returned", "sent", "running", "done"):
        take(job, A1)
    if situation in ("returned", "done"):
        results(job, "a1", report(0, state=STATE[situation.upper()]))
    if situation == "running":
        reconnect(job, A1)
        reply(job, "a1", report(0, state=RUNNING))
        results(job, "a1", report(0, state=RETURNED))
    if situation == "recovering":
        list(job.recover([A1, A2]))
    time.advance(30.0 if by_deadline else 0.0)
    list(job.tick() if by_deadline else job.cancel())
    assert (codes.start_of(code(job)) is codes.Start.NOT_RUN) == is_not_run


def test_fence_forgets_what_an_earlier_one_showed(job):
    """A repeated send that was lost would otherwise never be sent again."""
    take(job, A1)
    reconnect(job, A1)
    reply(job, "a1", report(0, 1, RUNNING))
    results(job, "a1", report(0, 1, RETURNED))
    take(job, A1)
    reconnect(job, A1)
    reply(job, "a1", report(0, 1, RETURNED), fence=2)
    assert job.waiting_count == 2


def test_outcome_stands_whatever_comes_later(job):
    """A cancelled job must not turn complete, nor work for its agents go on."""
    take(job, A1, A2)
    reconnect(job, A1)
    list(job.cancel())
    results(job, "a2", report(1))
    reply(job, "a1", report(0), report(1))
    assert (code(job), job.dropped_count) == (C.CANCELLED_MAY_HAVE_RUN, 2)
    assert reconnect(job, A1) == []
    assert job.sent_count == 2, "the reply must free nothing"


def test_rest_of_a_message_after_a_failed_task_is_dropped(job):
    take(job, A1, A1)
    results(job, "a1", report(0, state=STATE.FAILED), report(1))
    assert (code(job), job.dropped_count) == (C.TASK_FAILED, 1)


def test_only_tasks_unaccounted_for_are_taken_over(job):
    """Two agents may report one task, and a report may name a task of no job."""
    list(job.recover([A1, A2]))
    reply(job, "a1", report(0, 3, RUNNING), report(2, 1, DONE))
    assert job.dropped_count == 1
    reply(job, "a2", report(0, 5, RUNNING), report(1, 1, RETURNED))
    assert job.returned_tasks == [], "the earlier owner has counted it"
    results(job, "a1", report(0, 3, RETURNED))
    assert [(task.index, task.send) for task in take(job, A2)] == [(0, 6)]


def test_send_number_of_a_task_taken_over_goes_on(job):
    """The agent ignores a send that is not newer than the one it returned."""
    list(job.recover([A1]))
    reply(job, "a1", report(0, 3, RUNNING))
    results(job, "a1", report(0, 3, RETURNED))
    assert take(job, A1)[0].send == 4


def test_second_loss_does_not_prolong_the_wait(job, time):
    """A connection that closes again and again must not keep the job for ever."""
    take(job, A1)
    for wait_s in (0.0, 3.0):
        time.advance(wait_s)
        job.handle_agent_disconnected("a1")
    time.advance(2.0)
    list(job.tick())
    assert code(job) is C.WORKER_LOST
