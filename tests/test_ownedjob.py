"""The owned job: no task starts twice, and no "not run" outcome is false."""

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
    return builders.make_owned_job(manual_clock=time)


def assign(job, *nodes):
    return [job.assign_next_task(node) for node in nodes]


def results(job, name, *reports, **fields):
    return list(job.handle_results(name, builders.results(*reports, **fields)))


def reply(job, name, *reports, **fields):
    return list(job.handle_fence_reply(name, builders.fence_reply(*reports, **fields)))


def reconnect(job, node):
    job.handle_agent_disconnected(node.name)
    return builders.sent_messages(job.handle_agent_connected(node), messages.Fence)


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
    assign(job, A1, A2)
    results(job, name, report(index, send), **fields)
    assert job.dropped_count == 1
    results(job, "a2", report(1, payload=b"y"))
    assert job.outcome is None
    results(job, "a1", report(0, payload=b"x"))
    assert job.outcome == outcome.Complete(1, (b"x", b"y"))


def test_start_names_what_the_agent_checks(job):
    start = job.start_message(A1, assign(job, A1)).message
    assert (start.epoch, start.fence, start.attempt, start.boot) == (1, 0, 1, 1)
    results(job, "a1", report(0, 1, RETURNED))
    assert [task.send_number for task in assign(job, A2)] == [2]
    reconnect(job, A2)
    reply(job, "a2")
    assert job.start_message(A2, assign(job, A2)).message.fence == 1


def test_only_agents_of_the_scope_are_allowed(job):
    """A later owner sends fences only to the recorded scope."""
    a3 = builders.node("a3")
    allowed = [job.may_send_to(each) for each in (A1, a3, builders.node("a1", 2))]
    assert allowed == [True, False, False]
    job.extend_scope(builders.claim_terms(("a1", "a3")))
    assert job.may_send_to(a3)


def test_no_task_for_an_agent_that_is_lost_or_fenced(job, time):
    """A start sent while a fence is outstanding would make the reply meaningless."""
    assign(job, A1)
    job.handle_agent_disconnected("a1")
    assert not job.may_send_to(A1)
    time.advance(4.0)
    job.handle_agent_disconnected("a1")
    list(job.handle_agent_connected(A1))
    assert not job.may_send_to(A1)
    reply(job, "a1", report(0, state=RUNNING))
    assert job.may_send_to(A1)
    results(job, "a1", report(0))
    assert reconnect(job, A1) == [], "an idle agent needs no fence"
    assert job.may_send_to(A1)


@pytest.mark.parametrize(
    "fields", [{"fence": 1}, {"fence": 3}, {"epoch": 0}, {"attempt": 2}]
)
def test_reply_to_another_fence_requeues_no_task(job, fields):
    assign(job, A1)
    reconnect(job, A1)
    assert [fence.fence for fence in reconnect(job, A1)] == [2]
    reply(job, "a1", **({"fence": 2} | fields))
    assert (job.waiting_count, job.may_send_to(A1)) == (1, False)
    reply(job, "a1", fence=2)
    assert job.waiting_count == 2
    assign(job, A1)
    reply(job, "a1", fence=2)
    assert job.waiting_count == 1, "a duplicate reply must not requeue tasks"


def test_fence_requeues_only_tasks_the_agent_never_received(job):
    assign(job, A1, A1)
    reconnect(job, A1)
    reply(job, "a1", report(0, state=RUNNING), more=True)
    assert job.waiting_count == 0
    reply(job, "a1")
    assert job.assign_next_task(A2).index == 1


def test_lost_second_send_is_requeued_by_the_fence(job):
    """The report of the first send must not hide that the second never arrived."""
    assign(job, A1)
    results(job, "a1", report(0, 1, RETURNED))
    assign(job, A1)
    reconnect(job, A1)
    reply(job, "a1", report(0, 1, RETURNED))
    assert job.waiting_count == 2


def test_no_task_is_sent_during_recovery(job):
    """Until all agents of the scopes have replied, a task may run at any of them."""
    performed = list(job.recover([A1, A2]))
    assert effects.Dial(A1) in performed
    fences = builders.sent_messages(performed, messages.Fence)
    assert [(fence.epoch, fence.fence) for fence in fences] == [(1, 1), (1, 1)]
    reply(job, "a1", report(0, 3, RUNNING))
    assert job.waiting_count == 0
    reply(job, "a2", report(1, 4, RETURNED))
    assert [task.send_number for task in assign(job, A2)] == [5]
    for name, index, send in (("a1", 0, 3), ("a2", 1, 5)):
        results(job, name, report(index, send))
    assert code(job) is C.COMPLETE


@pytest.mark.parametrize(("count", "expected"), [(1, C.OWNER_LOST), (2, C.COMPLETE)])
def test_lost_agent_with_unreported_tasks_fails_the_job(job, time, count, expected):
    list(job.recover([A1, A2]))
    reply(job, "a1", report(0), *[report(1, state=RUNNING)][: count - 1])
    time.advance(4.9)
    list(job.tick())
    assert job.outcome is None
    time.advance(0.1)
    list(job.tick())
    results(job, "a1", report(1))
    assert code(job) is expected


def test_two_boots_of_one_agent_fail_the_job_once_all_have_replied(job):
    list(job.recover([A1, builders.node("a1", boot=2), A2]))
    reply(job, "a1")
    assert job.outcome is None
    reply(job, "a2")
    assert code(job) is C.OWNER_LOST


@pytest.mark.parametrize("cause", ["timeout", "hello", "reply"])
@pytest.mark.parametrize("returned", [False, True])
def test_lost_worker_fails_the_job_if_it_has_tasks(job, time, cause, returned):
    """Another boot fails the job at once, a disconnection only after the timeout."""
    assign(job, A1)
    if cause == "reply":
        reconnect(job, A1)
        reply(job, "a1", *[report(0, 1, RETURNED)] * returned)
        assign(job, *[A1] * (not returned))
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


def test_higher_epoch_supersedes_the_job(job):
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
    assign(job, A1, A2)
    performed = results(job, "a1", report(0, state=state, payload=payload))
    assert [(each.to, type(each.message)) for each in performed] == [
        ("a2", messages.Cancel)
    ]
    results(job, "a2", report(1))
    list(job.cancel())
    assert (code(job), job.waiting_count) == (expected, 0)
    settlements = [(each.to, each.message.code) for each in job.settle()]
    assert settlements == [(name, int(expected)) for name in ("a1", "a2", "m1")]


@pytest.mark.parametrize("by_deadline", [False, True])
@pytest.mark.parametrize(
    ("situation", "is_not_run"),
    [("waiting", True), ("returned", True), ("sent", False), ("done", False)]
    + [("running", False), ("recovering", False), ("earlier attempt", False)],
)
def test_code_says_not_run_only_if_no_task_can_have_started(
    time, situation, is_not_run, by_deadline
):
    may_have_run_before = situation == "earlier attempt"
    job = builders.make_owned_job(
        manual_clock=time, may_have_run_before=may_have_run_before
    )
    if situation in ("returned", "sent", "running", "done"):
        assign(job, A1)
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
    assert (codes.start_class(code(job)) is codes.StartClass.NOT_RUN) == is_not_run


def test_fence_discards_reports_of_an_earlier_fence(job):
    """Otherwise a second send that was lost would never be repeated."""
    assign(job, A1)
    reconnect(job, A1)
    reply(job, "a1", report(0, 1, RUNNING))
    results(job, "a1", report(0, 1, RETURNED))
    assign(job, A1)
    reconnect(job, A1)
    reply(job, "a1", report(0, 1, RETURNED), fence=2)
    assert job.waiting_count == 2


def test_outcome_does_not_change(job):
    """A cancelled job must not become complete, and its agents get no more fences."""
    assign(job, A1, A2)
    reconnect(job, A1)
    list(job.cancel())
    results(job, "a2", report(1))
    reply(job, "a1", report(0), report(1))
    assert (code(job), job.dropped_count) == (C.CANCELLED_MAY_HAVE_RUN, 2)
    assert reconnect(job, A1) == []
    assert job.sent_count == 2, "the reply must not requeue tasks"


def test_reports_after_a_failed_task_are_dropped(job):
    assign(job, A1, A1)
    results(job, "a1", report(0, state=STATE.FAILED), report(1))
    assert (code(job), job.dropped_count) == (C.TASK_FAILED, 1)


def test_only_unaccounted_tasks_are_adopted(job):
    """Two agents may report the same task, and a report may name an unknown task."""
    list(job.recover([A1, A2]))
    reply(job, "a1", report(0, 3, RUNNING), report(2, 1, DONE))
    assert job.dropped_count == 1
    reply(job, "a2", report(0, 5, RUNNING), report(1, 1, RETURNED))
    assert job.returned_tasks == [], "the earlier owner has counted the return"
    results(job, "a1", report(0, 3, RETURNED))
    assert [(task.index, task.send_number) for task in assign(job, A2)] == [(0, 6)]


def test_send_number_of_an_adopted_task_increases(job):
    """An agent ignores a send whose number is not above that of the returned one."""
    list(job.recover([A1]))
    reply(job, "a1", report(0, 3, RUNNING))
    results(job, "a1", report(0, 3, RETURNED))
    assert assign(job, A1)[0].send_number == 4


def test_second_loss_does_not_extend_the_timeout(job, time):
    """An agent whose connection keeps closing must not delay the failure for ever."""
    assign(job, A1)
    for wait_s in (0.0, 3.0):
        time.advance(wait_s)
        job.handle_agent_disconnected("a1")
    time.advance(2.0)
    list(job.tick())
    assert code(job) is C.WORKER_LOST
