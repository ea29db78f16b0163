"""Guards the leader of a job: no second start, no false "not run"."""

import pytest

import builders
from burdockgate import clock, codes, effects, messages
from burdockgate.request import outcome

STATE = messages.TaskState
A1, A2 = builders.node("a1"), builders.node("a2")


@pytest.fixture
def time():
    return clock.ManualClock()


@pytest.fixture
def leader(time):
    return builders.make_leader(time=time)


def take(leader, node, count=1):
    return [leader.take(node) for _ in range(count)]


def report(leader, name, *reports, **fields):
    return list(leader.results(name, builders.results(*reports, **fields)))


def reply(leader, name, *reports, **fields):
    return list(leader.fence_reply(name, builders.fence_reply(*reports, **fields)))


def reconnect(leader, node):
    leader.agent_disconnected(node.name)
    return builders.sent(leader.agent_connected(node), messages.Fence)


def code(leader):
    return leader.outcome and leader.outcome.code


def test_answer_is_whole_and_in_order(leader):
    """A missing or misplaced result must never make an answer."""
    take(leader, A1)
    take(leader, A2)
    report(leader, "a2", builders.report(1, payload=b"second"))
    assert leader.outcome is None
    report(leader, "a1", builders.report(0, payload=b"first"))
    assert leader.outcome == outcome.Complete(1, (b"first", b"second"))


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
def test_result_that_does_not_match_is_dropped(leader, name, index, send, fields):
    """A result of another epoch, attempt, boot, send or agent is not the answer."""
    take(leader, A1)
    take(leader, A2)
    report(leader, name, builders.report(index, send), **fields)
    assert leader.dropped == 1
    report(leader, "a1", builders.report(0, payload=b"x"))
    report(leader, "a2", builders.report(1, payload=b"y"))
    assert leader.outcome.results == (b"x", b"y")


def test_start_names_epoch_attempt_boot_and_send(leader):
    """The agent can refuse an old start only by these numbers."""
    tasks = take(leader, A1)
    message = leader.start_message(A1, tasks).message
    assert (message.epoch, message.fence, message.attempt, message.boot) == (1, 0, 1, 1)
    report(leader, "a1", builders.report(0, 1, STATE.RETURNED))
    assert [task.send for task in take(leader, A2)] == [2]


def test_only_agents_of_the_scope_are_allowed(leader):
    """A later owner fences only the recorded scope."""
    assert leader.allows(A1)
    assert not leader.allows(builders.node("a3"))
    assert not leader.allows(builders.node("a1", boot=2))
    leader.extend(builders.terms(scope=(A1, A2, builders.node("a3"))))
    assert leader.allows(builders.node("a3"))


def test_no_task_for_an_agent_that_is_lost_or_fenced(leader):
    """A start sent around a fence would make its reply meaningless."""
    take(leader, A1)
    leader.agent_disconnected("a1")
    assert not leader.allows(A1)
    leader.agent_disconnected("a1")
    list(leader.agent_connected(A1))
    assert not leader.allows(A1)
    reply(leader, "a1", builders.report(0, state=STATE.RUNNING))
    assert leader.allows(A1)


@pytest.mark.parametrize(
    "fields",
    [{"fence": 1}, {"fence": 3}, {"epoch": 0}, {"attempt": 2}],
)
def test_reply_to_another_fence_is_ignored(leader, fields):
    """An older reply does not know the tasks sent since, so it must free none."""
    take(leader, A1)
    reconnect(leader, A1)
    assert [fence.fence for fence in reconnect(leader, A1)] == [2]
    reply(leader, "a1", **({"fence": 2} | fields))
    assert leader.waiting_count == 1
    assert not leader.allows(A1)
    reply(leader, "a1", fence=2)
    assert leader.waiting_count == 2


def test_fence_frees_only_tasks_the_agent_never_got(leader):
    """A task that the agent has must not be sent to another one."""
    take(leader, A1, 2)
    reconnect(leader, A1)
    reply(leader, "a1", builders.report(0, state=STATE.RUNNING), more=True)
    assert leader.waiting_count == 0
    reply(leader, "a1")
    assert leader.waiting_count == 1
    assert leader.take(A2).index == 1


def test_repeated_send_that_was_lost_is_freed_by_the_fence(leader):
    """The report of the send before must not hide that the repeat never arrived."""
    take(leader, A1)
    report(leader, "a1", builders.report(0, 1, STATE.RETURNED))
    take(leader, A1)
    reconnect(leader, A1)
    reply(leader, "a1", builders.report(0, 1, STATE.RETURNED))
    assert leader.waiting_count == 2


def test_no_task_waits_while_an_agent_is_recovered(leader):
    """Until all agents of the scopes have answered, a task may run at any of them."""
    fences = builders.sent(leader.recover([A1, A2]), messages.Fence)
    assert [(fence.epoch, fence.fence) for fence in fences] == [(1, 1), (1, 1)]
    reply(leader, "a1", builders.report(0, 3, STATE.RUNNING))
    assert leader.waiting_count == 0
    reply(leader, "a2", builders.report(1, 4, STATE.RETURNED))
    assert leader.waiting_count == 1
    assert leader.take(A2).send == 5
    report(leader, "a1", builders.report(0, 3, payload=b"x"))
    report(leader, "a2", builders.report(1, 5, payload=b"y"))
    assert leader.outcome.results == (b"x", b"y")


@pytest.mark.parametrize("count", [1, 2])
def test_lost_agent_leaves_unknown_tasks_in_doubt(leader, time, count):
    """What a lost agent may have started fails the job and is not started again."""
    list(leader.recover([A1, A2]))
    done = [builders.report(index) for index in range(count)]
    reply(leader, "a1", *done)
    time.advance(4.9)
    list(leader.tick())
    assert (leader.outcome is None) == (count == 1)
    time.advance(0.1)
    list(leader.tick())
    expected = codes.Code.OWNER_LOST if count == 1 else codes.Code.COMPLETE
    assert code(leader) is expected


def test_two_boots_of_one_agent_leave_doubt(leader):
    """At least one of two incarnations in the scopes is gone with its tasks."""
    list(leader.recover([A1, builders.node("a1", boot=2)]))
    reply(leader, "a1")
    assert code(leader) is codes.Code.OWNER_LOST


def test_lost_worker_fails_the_job_after_the_timeout(leader, time):
    """A short cut must not fail a job, and a long one must not hang it."""
    take(leader, A1)
    leader.agent_disconnected("a1")
    time.advance(4.9)
    list(leader.tick())
    assert leader.outcome is None
    time.advance(0.2)
    list(leader.tick())
    assert code(leader) is codes.Code.WORKER_LOST


@pytest.mark.parametrize("by_reply", [False, True])
def test_another_boot_fails_the_job_at_once(leader, by_reply):
    """The new boot does not know the tasks, so they must not be sent again."""
    take(leader, A1)
    if by_reply:
        reconnect(leader, A1)
        reply(leader, "a1", boot=2)
    else:
        list(leader.agent_connected(builders.node("a1", boot=2)))
    assert code(leader) is codes.Code.WORKER_LOST


def test_loss_of_an_agent_without_tasks_is_harmless(leader, time):
    """A worker that has returned everything must not fail the job."""
    take(leader, A1)
    report(leader, "a1", builders.report(0, 1, STATE.RETURNED))
    list(leader.agent_connected(builders.node("a1", boot=2)))
    time.advance(9.0)
    list(leader.tick())
    assert leader.outcome is None
    assert leader.waiting_count == 2


def test_higher_epoch_ends_the_leadership(leader):
    """An owner that was taken over must stop."""
    reply(leader, "a9", epoch=2)
    assert leader.is_superseded


@pytest.mark.parametrize(
    ("state", "payload", "expected"),
    [
        (STATE.FAILED, b"x", codes.Code.TASK_FAILED),
        (STATE.UNKNOWN, b"x", codes.Code.REQUEST_CUT),
        (STATE.STOPPED, b"x", codes.Code.CANCELLED_MAY_HAVE_RUN),
        (STATE.OVERSIZE, b"x", codes.Code.RESULT_TOO_LARGE),
        (STATE.DONE, b"", codes.Code.ANSWER_EXPIRED),
    ],
)
def test_failed_task_fails_the_whole_job(leader, state, payload, expected):
    """The other tasks are stopped, and nothing later changes the outcome."""
    take(leader, A1)
    take(leader, A2)
    wanted = report(leader, "a1", builders.report(0, state=state, payload=payload))
    assert [each.to for each in wanted] == ["a2"]
    assert builders.sent(wanted, messages.Cancel)
    assert code(leader) is expected
    report(leader, "a2", builders.report(1))
    assert code(leader) is expected
    assert leader.waiting_count == 0


@pytest.mark.parametrize(
    ("situation", "is_not_run"),
    [
        ("waiting", True),
        ("returned", True),
        ("sent", False),
        ("running", False),
        ("done", False),
        ("recovering", False),
        ("in doubt", False),
        ("earlier attempt", False),
    ],
)
@pytest.mark.parametrize("by_deadline", [False, True])
def test_not_run_is_said_only_when_nothing_can_have_started(
    time, situation, is_not_run, by_deadline
):
    """A false "not run" lets a caller run a job twice."""
    leader = builders.make_leader(time=time, had_attempt=situation == "earlier attempt")
    if situation in ("returned", "sent", "running", "done"):
        take(leader, A1)
    if situation in ("returned", "done"):
        report(leader, "a1", builders.report(0, state=STATE[situation.upper()]))
    if situation == "running":
        reconnect(leader, A1)
        reply(leader, "a1", builders.report(0, state=STATE.RUNNING))
        report(leader, "a1", builders.report(0, state=STATE.RETURNED))
    if situation in ("recovering", "in doubt"):
        list(leader.recover([A1, A2]))
    if situation == "in doubt":
        list(leader.agent_connected(builders.node("a1", boot=2)))
    time.advance(30.0 if by_deadline else 0.0)
    list(leader.tick() if by_deadline else leader.cancel())
    assert (codes.start_of(code(leader)) is codes.Start.NOT_RUN) == is_not_run


def test_settle_reaches_group_and_agents_with_the_code(leader):
    """A member or agent that is not told keeps the job open."""
    take(leader, A1)
    list(leader.fail(codes.Code.WORKER_LOST, "lost"))
    wanted = list(leader.settle())
    assert [each.to for each in wanted] == ["a1", "m1"]
    assert {each.message.code for each in wanted} == {200}


def test_reconnected_agent_without_tasks_is_not_fenced(leader):
    """A fence for each idle agent would waste messages."""
    take(leader, A1)
    report(leader, "a1", builders.report(0))
    assert reconnect(leader, A1) == []
    assert leader.allows(A1)
    assert list(leader.agent_connected(A2)) == []


def test_recovered_agent_is_dialled(leader):
    """The agents of an earlier scope need not be connected to this owner."""
    assert effects.Dial(A1) in list(leader.recover([A1]))
