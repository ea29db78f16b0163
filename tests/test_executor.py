"""Tests the executor: leases, fencing tokens, late commands, restarts, load reports."""

import attrs
import pytest

from burdockgate import assignments, clock
from burdockgate.process import actions, executor, executoractions, workercontrol

OWNER = "entry-1"
KEY = assignments.RunKey(assignments.TaskKey("job", 0, 0), 1)


class Bench:
    """An executor with a worker that is ready and one connected entry host."""

    def __init__(self):
        self.time = clock.ManualClock(100.0)
        self.executor = executor.Executor(executoractions.ExecutorSettings(), self.time)
        self.heartbeat = workercontrol.WorkerHeartbeat(
            "i-1", 1, "svc", 4000, 1000, 0, (), False, 1, 5000
        )
        self.clock_ms = 5000
        list(self.executor.handle_heartbeat(self.heartbeat))
        self.poll()
        list(self.executor.handle_entry_connected(OWNER, 77))
        self.renew()

    def renew(self, owner=OWNER):
        sent_at = self.executor.due_reports()[owner].sent_at_us
        self.executor.handle_renewal(owner, assignments.Renewal(sent_at, 0, 0))

    def advance(self, seconds):
        self.time.advance(seconds)
        self.clock_ms += int(seconds * 1000)

    def connect(self, owner):
        list(self.executor.handle_entry_connected(owner, 88))
        self.renew(owner)

    def assign(self, *indexes, cpu=1000, job="job", run=1, owner=OWNER, label=""):
        message = assignments.Assign(
            1,
            job,
            0,
            "text",
            indexes,
            (run,) * len(indexes),
            cpu,
            10,
            0,
            0,
            500,
            100,
            "svc",
            label,
        )
        return list(self.executor.handle_assignment(owner, message))

    def poll(self, running=(), finished=(), born=1, command=None, percent=1):
        command = command or self.executor.next_poll()
        self.clock_ms += 1
        snapshot = workercontrol.Snapshot(
            self.clock_ms,
            born,
            tuple(workercontrol.RunningEntry(key, percent) for key in running),
            tuple(finished),
        )
        return list(self.executor.handle_poll_result(command, snapshot))

    def accept(self, start):
        self.clock_ms += 1
        answer = workercontrol.Accepted(self.clock_ms)
        return list(self.executor.handle_start_result(start.command, answer))


def _of(kind, effects):
    return [effect for effect in effects if isinstance(effect, kind)]


def _ends(effects):
    return [
        effect.message
        for effect in _of(actions.Send, effects)
        if isinstance(effect.message, assignments.TaskEnd)
    ]


def test_run_starts_ends_and_frees_its_capacity():
    """A task is assigned, started, listed as done and reported to its owner."""
    bench = Bench()
    (start,) = _of(executoractions.Start, bench.assign(0))
    assert start.command.lease_until_ms == pytest.approx(6001, abs=2)
    bench.accept(start)
    assert bench.executor.due_reports()[OWNER].used_cpu == 1000
    done = workercontrol.FinishedEntry(1, KEY, workercontrol.EndReason.DONE)
    (end,) = _ends(bench.poll(finished=[done]))
    assert (end.key, end.kind) == (KEY, assignments.EndKind.DONE)
    assert bench.executor.due_reports()[OWNER].used_cpu == 0
    assert bench.executor.next_poll().acknowledged == 1


def test_tasks_beyond_the_capacity_are_returned_at_once():
    """A task that waits at a full worker could run on another one."""
    bench = Bench()
    effects = bench.assign(0, 1, 2, 3, 4)
    assert len(_of(executoractions.Start, effects)) == 4
    (end,) = _ends(effects)
    assert (end.key.task.index, end.kind) == (4, assignments.EndKind.RETURNED)
    load = bench.executor.due_reports()[OWNER]
    assert (load.used_cpu, load.queued_cpu) == (4000, 0)


def test_unanswered_start_keeps_its_capacity_until_a_higher_token_is_confirmed():
    """The worker may carry the command out seconds later, unless it is fenced off."""
    bench = Bench()
    (start,) = _of(executoractions.Start, bench.assign(0))
    old_poll = bench.executor.next_poll()
    (poll,) = _of(
        executoractions.Poll,
        bench.executor.handle_start_result(start.command, workercontrol.Unanswered()),
    )
    assert poll.command.token > start.command.token
    # A snapshot of a poll with the old token proves nothing.
    assert _of(executoractions.Start, bench.poll(command=old_poll)) == []
    assert bench.executor.due_reports()[OWNER].used_cpu == 1000
    (again,) = _of(executoractions.Start, bench.poll(command=poll.command))
    assert again.command.key == start.command.key
    assert again.command.token == poll.command.token


def test_unanswered_start_that_was_carried_out_is_found_by_the_poll():
    """A second start would run the task twice."""
    bench = Bench()
    (start,) = _of(executoractions.Start, bench.assign(0))
    (poll,) = _of(
        executoractions.Poll,
        bench.executor.handle_start_result(start.command, workercontrol.Unanswered()),
    )
    assert (
        _of(executoractions.Start, bench.poll(running=[KEY], command=poll.command))
        == []
    )
    assert bench.executor.due_reports()[OWNER].used_cpu == 1000


def test_buffered_assignment_of_an_expired_session_is_returned():
    """Assignments that were buffered while the agent was frozen must not start."""
    bench = Bench()
    bench.advance(0.8)
    effects = bench.assign(0)
    assert _of(executoractions.Start, effects) == []
    (end,) = _ends(effects)
    assert end.kind is assignments.EndKind.RETURNED


def test_old_echo_does_not_extend_the_session():
    """A delayed renewal does not show that the entry host is alive now."""
    bench = Bench()
    sent_at = bench.executor.due_reports()[OWNER].sent_at_us
    bench.advance(2.0)
    bench.executor.handle_renewal(OWNER, assignments.Renewal(sent_at, 0, 0))
    assert _of(executoractions.Start, bench.assign(0)) == []


def test_silent_owner_has_its_runs_stopped():
    """The caller submits the job elsewhere 1.3 s after its connection broke."""
    bench = Bench()
    (start,) = _of(executoractions.Start, bench.assign(0))
    bench.accept(start)
    bench.advance(0.71)
    (stop,) = _of(executoractions.Stop, bench.executor.tick())
    assert stop.command.key == KEY
    bench.advance(0.25)
    assert len(_of(executoractions.Stop, bench.executor.tick())) == 1


LIMITS = executoractions.ExecutorSettings()
UNANSWERED = workercontrol.Unanswered()


def _lease_ends(bench, effects):
    """Return when the leases of start and poll commands end, by the agent's clock.

    Commands without a lease are left out.
    """
    commands = [
        effect.command
        for effect in _of((executoractions.Start, executoractions.Poll), effects)
    ]
    ends_ms = [command.lease_until_ms for command in commands]
    return [
        bench.time.now() + (end_ms - bench.clock_ms) / 1000
        for end_ms in ends_ms
        if end_ms is not None
    ]


def _play_lost_stops(bench, seconds):
    """Let all stops be lost while another owner lives and gets a task each 0.1 s.

    Returns when the leases end that the worker was sent.
    """
    lease_ends = []
    running = [KEY]
    for number in range(int(seconds * 10)):
        bench.advance(0.1)
        bench.renew("entry-2")
        effects = list(bench.executor.tick())
        effects += bench.assign(0, cpu=100, job=f"job-{number}", owner="entry-2")
        command = bench.executor.next_poll()
        lease_ends += _lease_ends(bench, [*effects, executoractions.Poll(command)])
        for start in _of(executoractions.Start, effects):
            bench.accept(start)
            running.append(start.command.key)
        for stop in _of(executoractions.Stop, effects):
            list(bench.executor.handle_stop_result(stop.command, UNANSWERED))
        lease_ends += _lease_ends(bench, bench.poll(running, command=command))
    return lease_ends


def test_retry_limit_covers_the_lease_by_a_slow_clock():
    """The time limits added up to more than the time until callers return."""
    longest_s = LIMITS.orphan_lease_s * (1 + LIMITS.clock_drift)
    assert longest_s < LIMITS.caller_retry_s
    # Otherwise a run would be lost before its owner counts as silent.
    assert LIMITS.session_lease_s < LIMITS.orphan_lease_s


@pytest.mark.parametrize("event", ["silent", "ended", "restarted", "revoked"])
def test_no_lease_outlives_an_orphaned_run_whose_stops_are_lost(event):
    """Polls, and starts for other owners, extended it while stops were repeated."""
    bench = Bench()
    bench.connect("entry-2")
    (start,) = _of(executoractions.Start, bench.assign(0))
    bench.accept(start)
    limit = bench.time.now() + LIMITS.orphan_lease_s
    bench.advance(0.05)
    if event == "ended":
        list(bench.executor.handle_entry_gone(OWNER))
    elif event == "restarted":
        list(bench.executor.handle_entry_connected(OWNER, 78))
        bench.renew()
    elif event == "revoked":
        list(bench.executor.handle_revocation(OWNER, assignments.Revoke((KEY,))))
        bench.renew()
    lease_ends = _play_lost_stops(bench, 1.3)
    # Other owners' runs go on as long as that is possible. The worker's clock has
    # gained some milliseconds on the agent's.
    assert limit - 0.1 < max(lease_ends) <= limit + 0.005


def test_run_of_a_living_owner_has_its_lease_extended():
    """Each renewal moves the limit, so that calm days see no lapsed lease."""
    bench = Bench()
    (start,) = _of(executoractions.Start, bench.assign(0))
    bench.accept(start)
    for _ in range(20):
        bench.advance(0.2)
        bench.renew()
        lease_s = (bench.executor.next_poll().lease_until_ms - bench.clock_ms) / 1000
        assert lease_s == pytest.approx(LIMITS.worker_lease_s, abs=0.01)
        bench.poll(running=[KEY])


def test_worker_that_answers_no_stop_gets_no_task():
    """Its lease is about to end, and with it every run that starts now."""
    bench = Bench()
    bench.connect("entry-2")
    (start,) = _of(executoractions.Start, bench.assign(0))
    bench.accept(start)
    _play_lost_stops(bench, 1.0)
    assert bench.executor.worker_state() is assignments.WorkerState.UNREACHABLE
    lapsed = workercontrol.FinishedEntry(1, KEY, workercontrol.EndReason.LAPSED)
    bench.poll(finished=[lapsed])
    assert bench.executor.worker_state() is assignments.WorkerState.READY


def test_stop_without_an_answer_is_repeated_at_once():
    """A repetition after 0.2 s left too few of them before the lease had to end."""
    bench = Bench()
    (start,) = _of(executoractions.Start, bench.assign(0))
    bench.accept(start)
    revoke = assignments.Revoke((KEY,))
    (stop,) = _of(executoractions.Stop, bench.executor.handle_revocation(OWNER, revoke))
    # A worker that breaks connections off at once must not be flooded.
    assert list(bench.executor.handle_stop_result(stop.command, UNANSWERED)) == []
    bench.advance(0.08)
    (again,) = _of(
        executoractions.Stop,
        bench.executor.handle_stop_result(stop.command, UNANSWERED),
    )
    assert again.command.key == KEY


def test_restarted_agent_extends_no_lease_of_runs_that_it_does_not_know():
    """Runs of the process before went on for as long as the stops were lost."""
    bench = Bench()
    foreign = assignments.RunKey(assignments.TaskKey("other", 0, 0), 3)
    newer = attrs.evolve(bench.heartbeat, worker="i-2", born=9)
    effects = list(bench.executor.handle_heartbeat(newer))
    assert _lease_ends(bench, effects) == []
    for _ in range(5):
        bench.advance(0.1)
        assert bench.executor.next_poll().lease_until_ms is None
        bench.poll(running=[foreign], born=9)
    bench.poll(born=9)
    assert bench.executor.next_poll().lease_until_ms is not None


def test_restarted_owner_has_its_runs_stopped():
    """The new process of the entry host does not know the runs of the old one."""
    bench = Bench()
    (start,) = _of(executoractions.Start, bench.assign(0))
    bench.accept(start)
    assert (
        len(_of(executoractions.Stop, bench.executor.handle_entry_connected(OWNER, 78)))
        == 1
    )


def test_ends_for_a_restarted_owner_are_numbered_after_those_it_was_sent():
    """Its acknowledgement of an earlier session's end dropped ends that it never got.

    Those runs would be taken for lost after a reset, and run again.
    """
    bench = Bench()
    for run in range(1, 4):
        bench.assign(0, cpu=9000, run=run)
    foreign = assignments.RunKey(assignments.TaskKey("other", 0, 0), 3)
    bench.poll(running=[foreign])
    bench.assign(0, run=9)
    (last_of_old,) = _ends(bench.executor.handle_entry_connected(OWNER, 78))
    bench.poll()
    bench.renew()
    (first_of_new,) = _ends(bench.assign(0, cpu=9000, job="new"))
    acknowledgement = assignments.Renewal(
        int(bench.time.now() * 1e6), last_of_old.number, 0
    )
    bench.executor.handle_renewal(OWNER, acknowledgement)
    list(bench.executor.handle_entry_disconnected(OWNER))
    assert _ends(bench.executor.handle_entry_connected(OWNER, 78)) == [first_of_new]


def test_lease_of_a_silent_worker_expires_and_its_runs_are_lost():
    """A poll that extended the lease of an unreachable worker would keep its runs."""
    bench = Bench()
    (start,) = _of(executoractions.Start, bench.assign(0))
    bench.accept(start)
    bench.advance(0.5)
    bench.renew()
    assert bench.executor.next_poll().lease_until_ms is None
    assert bench.executor.worker_state() is assignments.WorkerState.UNREACHABLE
    bench.advance(0.3)
    bench.renew()
    assert _ends(bench.executor.tick()) == []
    bench.advance(0.45)
    bench.renew()
    (end,) = _ends(bench.executor.tick())
    assert end.kind is assignments.EndKind.LOST


def test_lost_and_regained_worker_is_logged_once():
    """Each change of the worker's availability is logged, not each failed poll."""
    bench = Bench()
    logged = []
    for _ in range(3):
        command = bench.executor.next_poll()
        logged += _of(
            actions.LogEvent,
            bench.executor.handle_poll_result(command, workercontrol.Unanswered()),
        )
    logged += _of(actions.LogEvent, bench.poll())
    assert [effect.event for effect in logged] == [
        "worker.lost",
        "worker.regained",
    ]


def test_runs_of_an_earlier_agent_process_are_stopped_before_others_start():
    """A restarted agent does not know the resources of the runs it left behind."""
    bench = Bench()
    foreign = assignments.RunKey(assignments.TaskKey("other", 0, 0), 3)
    (stop,) = _of(executoractions.Stop, bench.poll(running=[foreign]))
    assert stop.command.key == foreign
    assert _of(executoractions.Start, bench.assign(0)) == []
    assert len(_of(executoractions.Start, bench.poll())) == 1


@pytest.mark.parametrize("event", ["started", "releases", "stops", "foreign run"])
def test_agent_that_does_not_know_its_worker_reports_no_end_of_earlier_runs(event):
    """Owners start the runs of its earlier process elsewhere at that report."""
    bench = Bench()
    bench.executor = executor.Executor(executoractions.ExecutorSettings(), bench.time)
    list(bench.executor.handle_entry_connected(OWNER, 77))
    foreign = assignments.RunKey(assignments.TaskKey("other", 0, 0), 3)
    if event == "releases":
        bench.executor.release({OWNER})
    elif event == "stops":
        list(bench.executor.drain())
    elif event == "foreign run":
        list(bench.executor.handle_heartbeat(bench.heartbeat))
        bench.poll(running=[foreign])
    assert not bench.executor.due_reports()[OWNER].earlier_runs_ended
    list(bench.executor.handle_heartbeat(bench.heartbeat))
    bench.poll()
    assert bench.executor.due_reports()[OWNER].earlier_runs_ended


def test_released_owner_stays_connected_until_it_learns_of_earlier_runs():
    """It waited for 1.42 s more when the connection was closed before."""
    bench = Bench()
    bench.executor = executor.Executor(executoractions.ExecutorSettings(), bench.time)
    list(bench.executor.handle_entry_connected(OWNER, 77))
    bench.executor.release({OWNER})
    bench.advance(1.5)
    assert bench.executor.release({OWNER}) == []
    list(bench.executor.handle_heartbeat(bench.heartbeat))
    bench.poll()
    assert bench.executor.due_reports()[OWNER].earlier_runs_ended
    bench.advance(0.1)
    assert bench.executor.release({OWNER}) == [OWNER]


def test_agent_that_lost_its_worker_still_reports_the_end_of_earlier_runs():
    """An owner that connects only now need not wait until the worker answers again."""
    bench = Bench()
    bench.advance(0.5)
    list(bench.executor.handle_entry_connected("entry-2", 88))
    report = bench.executor.due_reports()["entry-2"]
    assert report.state is assignments.WorkerState.UNREACHABLE
    assert report.earlier_runs_ended


def test_draining_worker_gets_no_task_and_its_queue_is_returned():
    """A worker that shuts down must get no new task."""
    bench = Bench()
    # The resources of a run of an earlier agent process are not known, so tasks wait.
    bench.poll(running=[assignments.RunKey(assignments.TaskKey("other", 0, 0), 3)])
    bench.assign(0)
    draining = attrs.evolve(bench.heartbeat, is_draining=True, sequence=2)
    (end,) = _ends(bench.executor.handle_heartbeat(draining))
    assert end.kind is assignments.EndKind.RETURNED
    assert bench.executor.worker_state() is assignments.WorkerState.DRAINING


def test_emptied_data_centre_gets_no_task_and_its_running_ones_go_on():
    """Tasks were started in a data centre that operators had asked to empty."""
    bench = Bench()
    (start,) = _of(executoractions.Start, bench.assign(0))
    bench.accept(start)
    assert _ends(bench.executor.set_evacuated(True)) == []
    assert bench.executor.worker_state() is assignments.WorkerState.EVACUATED
    effects = bench.assign(1)
    assert _of(executoractions.Start, effects) == []
    assert [end.kind for end in _ends(effects)] == [assignments.EndKind.RETURNED]
    assert bench.executor.dispatched_count == 1
    list(bench.executor.set_evacuated(False))
    assert _of(executoractions.Start, bench.assign(2))


def test_run_that_is_queued_again_is_returned_while_no_run_may_start():
    """It waited, neither run nor returned, until its data centre was taken back."""
    bench = Bench()
    (start,) = _of(executoractions.Start, bench.assign(0))
    list(bench.executor.set_evacuated(True))
    late = workercontrol.Refused(workercontrol.Refusal.LATE, bench.clock_ms)
    effects = list(bench.executor.handle_start_result(start.command, late))
    effects += list(bench.executor.tick())
    assert [end.kind for end in _ends(effects)] == [assignments.EndKind.RETURNED]


def test_late_heartbeat_does_not_undo_a_later_one():
    """A delayed heartbeat must not make a draining worker ready again."""
    bench = Bench()
    list(
        bench.executor.handle_heartbeat(
            attrs.evolve(bench.heartbeat, is_draining=True, sequence=3)
        )
    )
    list(bench.executor.handle_heartbeat(attrs.evolve(bench.heartbeat, sequence=2)))
    assert bench.executor.worker_state() is assignments.WorkerState.DRAINING


def test_heartbeat_of_an_earlier_incarnation_is_ignored():
    """It may arrive after a restarted worker has registered at the same address."""
    bench = Bench()
    newer = attrs.evolve(bench.heartbeat, worker="i-2", born=9, sequence=1, clock_ms=10)
    list(bench.executor.handle_heartbeat(newer))
    list(bench.executor.handle_heartbeat(attrs.evolve(bench.heartbeat, sequence=50)))
    assert bench.executor.worker_info().worker == "i-2"


def test_runs_of_a_replaced_worker_are_lost_at_once():
    """Commands name the intended worker, so the new one cannot have run them."""
    bench = Bench()
    (start,) = _of(executoractions.Start, bench.assign(0))
    bench.accept(start)
    newer = attrs.evolve(bench.heartbeat, worker="i-2", born=9, clock_ms=10)
    (end,) = _ends(bench.executor.handle_heartbeat(newer))
    assert end.kind is assignments.EndKind.LOST


def test_restart_under_the_same_identifier_makes_runs_uncertain():
    """A start command that reaches the restarted worker must not be taken for lost.

    Tasks ran twice with seeds 15 and 26 of the simulation in test_simulation.
    """
    bench = Bench()
    (start,) = _of(executoractions.Start, bench.assign(0))
    bench.accept(start)
    bench.clock_ms = 20
    effects = bench.poll(running=[KEY], born=2)
    assert _ends(effects) == []
    (poll,) = _of(executoractions.Poll, effects)
    assert _ends(bench.poll(running=[KEY], born=2, command=poll.command)) == []
    assert bench.executor.due_reports()[OWNER].used_cpu == 1000


def test_start_without_an_answer_before_a_restart_is_lost_and_not_returned():
    """The list of the new life was taken for a proof that the run had not started.

    Its job was refused as not run, or the agent started the run again by itself.
    """
    bench = Bench()
    (start,) = _of(executoractions.Start, bench.assign(0))
    old_poll = bench.executor.next_poll()
    list(bench.executor.handle_start_result(start.command, workercontrol.Unanswered()))
    restarted = attrs.evolve(bench.heartbeat, born=9, sequence=1, clock_ms=10)
    bench.clock_ms = 10
    (poll,) = _of(executoractions.Poll, bench.executor.handle_heartbeat(restarted))
    # Until the new life has confirmed a higher token, the start may still reach it.
    assert _ends(bench.poll(born=9, command=old_poll)) == []
    assert bench.executor.dispatched_count == 1
    effects = bench.poll(born=9, command=poll.command)
    assert [end.kind for end in _ends(effects)] == [assignments.EndKind.LOST]
    assert _of(executoractions.Start, effects) == []


@pytest.mark.parametrize(
    "change",
    [
        {"labels": ("a",)},
        {"service": "other"},
        {"cpu": 900},
        {"memory_mb": 5},
    ],
    ids=lambda change: next(iter(change)),
)
def test_queued_run_is_returned_by_a_worker_that_came_back_as_another_kind(change):
    """It was started without the label that it requires, or waited for room in vain."""
    bench = Bench()
    labelled = attrs.evolve(bench.heartbeat, labels=("b",), sequence=2)
    list(bench.executor.handle_heartbeat(labelled))
    (start,) = _of(executoractions.Start, bench.assign(0, label="b"))
    bench.accept(start)
    # A foreign run keeps the run of the next assignment in the queue.
    foreign = assignments.RunKey(assignments.TaskKey("other", 0, 0), 1)
    bench.poll(running=[KEY, foreign])
    assert bench.assign(1, label="b") == []
    restarted = attrs.evolve(labelled, born=9, sequence=1, clock_ms=10, **change)
    bench.clock_ms = 10
    (poll,) = _of(executoractions.Poll, bench.executor.handle_heartbeat(restarted))
    effects = bench.poll(born=9, command=poll.command)
    assert _of(executoractions.Start, effects) == []
    kind_by_index = {end.key.task.index: end.kind for end in _ends(effects)}
    assert kind_by_index == {
        0: assignments.EndKind.LOST,
        1: assignments.EndKind.RETURNED,
    }


def test_queued_run_stays_where_the_restarted_worker_is_of_the_same_kind():
    """Giving up all work at each restart costs callers a second choice of worker."""
    bench = Bench()
    foreign = assignments.RunKey(assignments.TaskKey("other", 0, 0), 1)
    bench.poll(running=[foreign])
    assert bench.assign(1) == []
    restarted = attrs.evolve(bench.heartbeat, born=9, sequence=1, clock_ms=10)
    bench.clock_ms = 10
    (poll,) = _of(executoractions.Poll, bench.executor.handle_heartbeat(restarted))
    effects = bench.poll(born=9, command=poll.command)
    (start,) = _of(executoractions.Start, effects)
    assert start.command.key.task.index == 1


def test_restarted_worker_gets_no_task_before_it_has_described_itself():
    """Its earlier life's labels and capacity were used until its first heartbeat."""
    bench = Bench()
    bench.clock_ms = 20
    (poll,) = _of(executoractions.Poll, bench.poll(born=2))
    bench.poll(born=2, command=poll.command)
    assert bench.executor.worker_state() is assignments.WorkerState.UNREACHABLE
    assert _of(executoractions.Start, bench.assign(0)) == []
    smaller = attrs.evolve(bench.heartbeat, born=2, sequence=1, cpu=500)
    effects = list(bench.executor.handle_heartbeat(smaller))
    # Entry hosts get a report after an effect only.
    assert effects
    assert bench.executor.worker_state() is assignments.WorkerState.READY
    assert bench.executor.worker_info().cpu == 500


@pytest.mark.parametrize(
    "result",
    [
        workercontrol.Unanswered(is_connection_lost=True),
        workercontrol.Refused(workercontrol.Refusal.NOT_SENT),
    ],
    ids=["connection lost", "not sent"],
)
@pytest.mark.parametrize("source", ["start", "poll"])
def test_nothing_starts_between_a_lost_connection_and_the_next_poll(source, result):
    """A start reached the next life of the worker, of another kind, unseen by then."""
    bench = Bench()
    (start,) = _of(executoractions.Start, bench.assign(0))
    old_poll = bench.executor.next_poll()
    if source == "start":
        effects = list(bench.executor.handle_start_result(start.command, result))
    else:
        bench.accept(start)
        effects = list(bench.executor.handle_poll_result(old_poll, result))
    (poll,) = {effect.command for effect in _of(executoractions.Poll, effects)}
    assert bench.executor.worker_state() is assignments.WorkerState.UNREACHABLE
    assert _of(executoractions.Start, bench.assign(1)) == []
    # An answer that was on its way may be of the life that has ended.
    bench.poll(running=[KEY], command=old_poll)
    assert bench.executor.worker_state() is assignments.WorkerState.UNREACHABLE
    bench.poll(running=[KEY], command=poll)
    assert bench.executor.worker_state() is assignments.WorkerState.READY


def test_connection_to_a_replaced_worker_casts_no_doubt_on_the_next_one():
    """The next worker would report that it can't be reached, and return its queue."""
    bench = Bench()
    old_poll = bench.executor.next_poll()
    newer = attrs.evolve(bench.heartbeat, worker="i-2", born=9, clock_ms=10)
    (poll,) = _of(executoractions.Poll, bench.executor.handle_heartbeat(newer))
    bench.clock_ms = 20
    bench.poll(born=9, command=poll.command)
    lost = workercontrol.Unanswered(is_connection_lost=True)
    list(bench.executor.handle_poll_result(old_poll, lost))
    stop = workercontrol.StopCommand("i-1", KEY, old_poll.token)
    list(bench.executor.handle_stop_result(stop, lost))
    assert bench.executor.worker_state() is assignments.WorkerState.READY


def test_silent_worker_is_not_taken_for_one_that_has_restarted():
    """Workers that leave commands unanswered would get no tasks for seconds."""
    bench = Bench()
    (start,) = _of(executoractions.Start, bench.assign(0))
    list(bench.executor.handle_start_result(start.command, workercontrol.Unanswered()))
    assert bench.executor.worker_state() is assignments.WorkerState.READY


def test_assignment_that_crossed_a_restart_is_returned():
    """The entry host chose the worker by the labels of its earlier life."""
    bench = Bench()
    restarted = attrs.evolve(bench.heartbeat, born=9, labels=("a",), clock_ms=10)
    bench.clock_ms = 10
    (poll,) = _of(executoractions.Poll, bench.executor.handle_heartbeat(restarted))
    bench.poll(born=9, command=poll.command)
    effects = bench.assign(0, label="b")
    assert _of(executoractions.Start, effects) == []
    assert [end.kind for end in _ends(effects)] == [assignments.EndKind.RETURNED]


def test_run_that_began_again_in_the_next_life_is_not_taken_for_a_stalled_one():
    """Its progress was compared with that of the life before, and it was stopped."""
    bench = Bench()
    (start,) = _of(executoractions.Start, bench.assign(0))
    bench.accept(start)
    bench.poll(running=[KEY], percent=90)
    restarted = attrs.evolve(bench.heartbeat, born=9, sequence=1, clock_ms=10)
    bench.clock_ms = 10
    (poll,) = _of(executoractions.Poll, bench.executor.handle_heartbeat(restarted))
    bench.poll(running=[KEY], born=9, command=poll.command)
    for step in range(12):
        bench.advance(0.1)
        bench.renew()
        bench.poll(running=[KEY], born=9, percent=2 + step)
        assert _of(executoractions.Stop, bench.executor.tick()) == []


def test_token_grows_across_a_restart_of_the_worker():
    """A late command to the earlier incarnation must not pass for a current one."""
    bench = Bench()
    before = bench.executor.next_poll().token
    newer = attrs.evolve(bench.heartbeat, born=9, clock_ms=10)
    list(bench.executor.handle_heartbeat(newer))
    assert bench.executor.next_poll().token > before


def test_fenced_agent_draws_a_higher_token():
    """An earlier process of the agent may have used a higher token."""
    bench = Bench()
    (start,) = _of(executoractions.Start, bench.assign(0))
    refusal = workercontrol.Refused(workercontrol.Refusal.FENCED, 9000)
    (again,) = _of(
        executoractions.Start,
        bench.executor.handle_start_result(start.command, refusal),
    )
    assert again.command.token >= 9000


def test_refusal_by_an_earlier_life_does_not_set_the_clock_of_the_next():
    """All lists of the new life passed for overtaken ones until its clock caught up."""
    bench = Bench()
    old_poll = bench.executor.next_poll()
    restarted = attrs.evolve(bench.heartbeat, born=9, sequence=1, clock_ms=10)
    (poll,) = _of(executoractions.Poll, bench.executor.handle_heartbeat(restarted))
    refusal = workercontrol.Refused(workercontrol.Refusal.FENCED, bench.clock_ms)
    list(bench.executor.handle_poll_result(old_poll, refusal))
    bench.clock_ms = 20
    bench.poll(born=9, command=poll.command)
    assert bench.executor.worker_state() is assignments.WorkerState.READY


def test_poll_that_is_refused_doubles_the_step_to_the_next_token():
    """An agent whose worker had seen a far higher token was fenced out for minutes."""
    bench = Bench()
    seen, polls = bench.executor.next_poll().token + 100_000, 0
    while (command := bench.executor.next_poll()).token < seen:
        bench.advance(0.05)
        refusal = workercontrol.Refused(workercontrol.Refusal.FENCED, bench.clock_ms)
        list(bench.executor.handle_poll_result(command, refusal))
        polls += 1
    assert polls < 30


def test_run_of_another_owner_keeps_a_task_from_starting_twice():
    """A job may be submitted to another entry host while its tasks still run."""
    bench = Bench()
    (start,) = _of(executoractions.Start, bench.assign(0))
    bench.accept(start)
    (end,) = _ends(bench.assign(0, run=2))
    assert end.kind is assignments.EndKind.RETURNED


def test_returned_run_leaves_the_run_of_another_owner_in_the_table():
    """Both had the same key; the forgotten one took more than the free capacity."""
    bench = Bench()
    (start,) = _of(executoractions.Start, bench.assign(0))
    bench.accept(start)
    bench.connect("entry-2")
    (end,) = _ends(bench.assign(0, owner="entry-2"))
    assert end.kind is assignments.EndKind.RETURNED
    assert bench.executor.due_reports()[OWNER].used_cpu == 1000
    assert _of(executoractions.Stop, bench.poll(running=[KEY])) == []


def test_revocation_does_not_stop_the_run_of_another_owner():
    """A late order of a job's earlier entry host named the run of the next one."""
    bench = Bench()
    bench.connect("entry-2")
    (start,) = _of(executoractions.Start, bench.assign(0, owner="entry-2"))
    bench.accept(start)
    revoke = assignments.Revoke((KEY,))
    assert list(bench.executor.handle_revocation(OWNER, revoke)) == []
    effects = bench.executor.handle_revocation("entry-2", revoke)
    assert len(_of(executoractions.Stop, effects)) == 1


def test_old_run_number_asks_for_a_higher_one():
    """The worker rejects run numbers up to the highest that it has seen of the task."""
    bench = Bench()
    (start,) = _of(executoractions.Start, bench.assign(0))
    refusal = workercontrol.Refused(workercontrol.Refusal.OLD_RUN, 5100)
    (end,) = _ends(bench.executor.handle_start_result(start.command, refusal))
    assert end.next_run > KEY.run + 1


def test_stalled_tasks_are_stopped_and_the_worker_is_ejected():
    """Without a limit, tasks without progress on a responsive worker never end."""
    bench = Bench()
    (start,) = _of(executoractions.Start, bench.assign(0))
    bench.accept(start)
    stops = []
    for _ in range(12):
        bench.advance(0.1)
        bench.renew()
        bench.poll(running=[KEY])
        stops += _of(executoractions.Stop, bench.executor.tick())
    assert stops
    assert bench.executor.worker_state() is assignments.WorkerState.EJECTED


def test_draining_agent_finishes_dispatched_runs():
    """A planned shutdown must not interrupt tasks in progress."""
    bench = Bench()
    (start,) = _of(executoractions.Start, bench.assign(0))
    bench.accept(start)
    list(bench.executor.drain())
    assert bench.executor.dispatched_count == 1
    assert _of(executoractions.Start, bench.assign(1)) == []
    assert bench.executor.next_poll().lease_until_ms is not None


def _connect_distant_entries(bench, count):
    for number in range(count):
        name = f"far-{number}"
        list(bench.executor.handle_entry_connected(name, number, (True, number)))
    return bench


def test_changes_are_reported_to_the_nearest_entry_hosts_only():
    """Reports of every change to ten entry hosts took more processor time than jobs."""
    bench = _connect_distant_entries(Bench(), 9)
    bench.executor.due_reports()
    bench.assign(0, 1, 2)
    assert set(bench.executor.due_reports(is_periodic=False)) == {
        OWNER,
        "far-0",
        "far-1",
        "far-2",
    }
    # The others get regular reports at a longer interval.
    assert set(bench.executor.due_reports()) == {OWNER, "far-0", "far-1", "far-2"}
    bench.advance(0.4)
    every = bench.executor.due_reports()
    assert len(every) == 10
    assert [name for name, load in every.items() if load.is_near] == [
        OWNER,
        "far-0",
        "far-1",
        "far-2",
    ]


def test_unchanged_load_is_reported_only_at_regular_times():
    """Answers and log lines that do not change the load must not cause messages."""
    bench = Bench()
    bench.executor.due_reports()
    assert bench.executor.due_reports(is_periodic=False) == {}
    assert set(bench.executor.due_reports()) == {OWNER}


def test_state_of_the_worker_is_reported_to_every_entry_host_at_once():
    """Otherwise a draining worker looks free to distant entry hosts."""
    bench = _connect_distant_entries(Bench(), 9)
    bench.executor.due_reports()
    draining = attrs.evolve(bench.heartbeat, is_draining=True, sequence=2)
    list(bench.executor.handle_heartbeat(draining))
    loads = bench.executor.due_reports(is_periodic=False)
    assert len(loads) == 10
    assert {load.state for load in loads.values()} == {assignments.WorkerState.DRAINING}


def test_entry_host_whose_tasks_were_returned_gets_a_report():
    """Otherwise a distant entry host assigns its next tasks to the same full worker."""
    bench = Bench()
    for number in range(4):
        list(
            bench.executor.handle_entry_connected(f"near-{number}", number, (False, -1))
        )
    bench.executor.due_reports()
    assert OWNER not in bench.executor.due_reports(is_periodic=False)
    bench.assign(0, 1, 2, 3, 4)
    assert OWNER in bench.executor.due_reports(is_periodic=False)


def test_reconnected_entry_host_gets_a_report_at_once():
    """Before the first report it knows no load, and the agent gets no session lease."""
    bench = _connect_distant_entries(Bench(), 9)
    bench.executor.due_reports()
    list(bench.executor.handle_entry_disconnected("far-8"))
    list(bench.executor.handle_entry_connected("far-8", 8, (True, 8)))
    assert set(bench.executor.due_reports(is_periodic=False)) == {"far-8"}


def test_worker_that_restarted_with_an_earlier_clock_is_adopted():
    """After one heartbeat from far in the future, true ones were ignored for good."""
    bench = Bench()
    future = attrs.evolve(bench.heartbeat, born=10**12, sequence=9)
    list(bench.executor.handle_heartbeat(future))
    for sequence in (2, 3, 4):
        bench.advance(1.5)
        true = attrs.evolve(bench.heartbeat, sequence=sequence)
        list(bench.executor.handle_heartbeat(true))
    assert bench.executor.worker_info().born == bench.heartbeat.born
    bench.poll()
    assert bench.executor.worker_state() is assignments.WorkerState.READY


def test_late_heartbeat_of_an_earlier_incarnation_is_ignored():
    """A delayed heartbeat can come after the worker has restarted."""
    bench = Bench()
    restarted = attrs.evolve(bench.heartbeat, born=2, sequence=1, clock_ms=0)
    list(bench.executor.handle_heartbeat(restarted))
    for sequence in (2, 3, 4):
        bench.advance(1.5)
        list(
            bench.executor.handle_heartbeat(attrs.evolve(restarted, sequence=sequence))
        )
        late = attrs.evolve(bench.heartbeat, sequence=sequence)
        list(bench.executor.handle_heartbeat(late))
    assert bench.executor.worker_info().born == 2


def test_sessions_of_entry_hosts_that_are_gone_are_dropped():
    """Each report walked all entry hosts that had ever connected."""
    bench = Bench()
    list(bench.executor.handle_entry_disconnected(OWNER))
    bench.advance(executor.SESSION_TTL_S / 2)
    list(bench.executor.tick())
    assert OWNER in bench.executor.session_by_entry
    bench.advance(executor.SESSION_TTL_S)
    list(bench.executor.tick())
    assert OWNER not in bench.executor.session_by_entry
