"""Guards the agent's decisions: leases, fencing tokens, late commands, restarts."""

import attrs
import pytest

from burdockgate import assignments, clock
from burdockgate.process import actions, executor, executoractions, workercontrol

OWNER = "entry-1"
KEY = assignments.RunKey(assignments.TaskKey("job", 0, 0), 1)


class Bench:
    """An executor with a worker that is ready and one linked owner."""

    def __init__(self):
        self.time = clock.ManualClock(100.0)
        self.executor = executor.Executor(executoractions.ExecutorSettings(), self.time)
        self.told = workercontrol.WorkerHeartbeat(
            "i-1", 1, "svc", 4000, 1000, 0, (), False, 1, 5000
        )
        self.clock_ms = 5000
        list(self.executor.handle_heartbeat(self.told))
        self.poll()
        list(self.executor.handle_entry_connected(OWNER, 77))
        self.renew()

    def renew(self):
        sent_at = self.executor.due_reports()[OWNER].sent_at_us
        self.executor.handle_renewal(OWNER, assignments.Renewal(sent_at, 0, 0))

    def advance(self, seconds):
        self.time.advance(seconds)
        self.clock_ms += int(seconds * 1000)

    def assign(self, *indexes, cpu=1000, job="job", run=1):
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
        )
        return list(self.executor.handle_assignment(OWNER, message))

    def poll(self, running=(), finished=(), born=1, command=None):
        command = command or self.executor.next_poll()
        self.clock_ms += 1
        seen = workercontrol.Snapshot(
            self.clock_ms,
            born,
            tuple(workercontrol.RunningEntry(key, 1) for key in running),
            tuple(finished),
        )
        return list(self.executor.handle_poll_result(command, seen))

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


def test_run_starts_ends_and_frees_its_room():
    """The plain path of one task."""
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


def test_tasks_beyond_the_room_are_returned_at_once():
    """A task that waits at a full worker misses the free room of the others."""
    bench = Bench()
    effects = bench.assign(0, 1, 2, 3, 4)
    assert len(_of(executoractions.Start, effects)) == 4
    (end,) = _ends(effects)
    assert (end.key.task.index, end.kind) == (4, assignments.EndKind.RETURNED)
    load = bench.executor.due_reports()[OWNER]
    assert (load.used_cpu, load.queued_cpu) == (4000, 0)


def test_unanswered_start_keeps_its_room_until_a_higher_token_is_confirmed():
    """The command may be carried out seconds later, unless it is fenced off."""
    bench = Bench()
    (start,) = _of(executoractions.Start, bench.assign(0))
    old_poll = bench.executor.next_poll()
    (poll,) = _of(
        executoractions.Poll,
        bench.executor.handle_start_result(start.command, workercontrol.Unanswered()),
    )
    assert poll.command.token > start.command.token
    # A list from before the new token proves nothing.
    assert _of(executoractions.Start, bench.poll(command=old_poll)) == []
    assert bench.executor.due_reports()[OWNER].used_cpu == 1000
    (again,) = _of(executoractions.Start, bench.poll(command=poll.command))
    assert again.command.key == start.command.key
    assert again.command.token == poll.command.token


def test_unanswered_start_that_was_carried_out_is_found_by_the_look():
    """Starting it a second time would run the task twice."""
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


def test_buffered_assignment_of_a_lapsed_session_is_returned():
    """After a freeze, messages that waited in the connection must not start."""
    bench = Bench()
    bench.advance(0.8)
    effects = bench.assign(0)
    assert _of(executoractions.Start, effects) == []
    (end,) = _ends(effects)
    assert end.kind is assignments.EndKind.RETURNED


def test_old_echo_does_not_extend_the_session():
    """A renewal that was held up proves nothing about the owner now."""
    bench = Bench()
    sent_at = bench.executor.due_reports()[OWNER].sent_at_us
    bench.advance(2.0)
    bench.executor.handle_renewal(OWNER, assignments.Renewal(sent_at, 0, 0))
    assert _of(executoractions.Start, bench.assign(0)) == []


def test_silent_owner_has_its_runs_stopped():
    """Its caller sends the job elsewhere 1.3 s after the connection broke."""
    bench = Bench()
    (start,) = _of(executoractions.Start, bench.assign(0))
    bench.accept(start)
    bench.advance(0.71)
    (stop,) = _of(executoractions.Stop, bench.executor.tick())
    assert stop.command.key == KEY
    bench.advance(0.25)
    assert len(_of(executoractions.Stop, bench.executor.tick())) == 1


def test_restarted_owner_has_its_runs_stopped():
    """A new life of the entry host knows nothing of them."""
    bench = Bench()
    (start,) = _of(executoractions.Start, bench.assign(0))
    bench.accept(start)
    assert (
        len(_of(executoractions.Stop, bench.executor.handle_entry_connected(OWNER, 78)))
        == 1
    )


def test_silent_worker_is_let_lapse_and_its_runs_are_lost_after_the_lease():
    """A poll that extends the lease of an unreachable worker would keep it running."""
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
    """One line for each change of a dependency, not one for each poll."""
    bench = Bench()
    notes = []
    for _ in range(3):
        command = bench.executor.next_poll()
        notes += _of(
            actions.LogEvent,
            bench.executor.handle_poll_result(command, workercontrol.Unanswered()),
        )
    notes += _of(actions.LogEvent, bench.poll())
    assert [note.event for note in notes] == ["worker.lost", "worker.regained"]


def test_runs_of_an_earlier_agent_are_stopped_before_anything_starts():
    """A restarted agent does not know what they take."""
    bench = Bench()
    foreign = assignments.RunKey(assignments.TaskKey("other", 0, 0), 3)
    (stop,) = _of(executoractions.Stop, bench.poll(running=[foreign]))
    assert stop.command.key == foreign
    assert _of(executoractions.Start, bench.assign(0)) == []
    assert len(_of(executoractions.Start, bench.poll())) == 1


def test_draining_worker_gets_nothing_and_its_queue_is_returned():
    """A worker that leaves must get no new work."""
    bench = Bench()
    # What a run of an earlier agent takes is not known, so that tasks wait.
    bench.poll(running=[assignments.RunKey(assignments.TaskKey("other", 0, 0), 3)])
    bench.assign(0)
    draining = attrs.evolve(bench.told, is_draining=True, sequence=2)
    (end,) = _ends(bench.executor.handle_heartbeat(draining))
    assert end.kind is assignments.EndKind.RETURNED
    assert bench.executor.worker_state() is assignments.WorkerState.DRAINING


def test_late_heartbeat_does_not_undo_a_later_one():
    """A heartbeat that was held up must not make a draining worker ready."""
    bench = Bench()
    list(
        bench.executor.handle_heartbeat(
            attrs.evolve(bench.told, is_draining=True, sequence=3)
        )
    )
    list(bench.executor.handle_heartbeat(attrs.evolve(bench.told, sequence=2)))
    assert bench.executor.worker_state() is assignments.WorkerState.DRAINING


def test_heartbeat_of_an_earlier_life_is_ignored():
    """It may arrive after a new life has registered at the same address."""
    bench = Bench()
    newer = attrs.evolve(bench.told, worker="i-2", born=9, sequence=1, clock_ms=10)
    list(bench.executor.handle_heartbeat(newer))
    list(bench.executor.handle_heartbeat(attrs.evolve(bench.told, sequence=50)))
    assert bench.executor.worker_info().worker == "i-2"


def test_replaced_worker_loses_its_runs_at_once():
    """Orders name the intended worker, so the new one can't have them."""
    bench = Bench()
    (start,) = _of(executoractions.Start, bench.assign(0))
    bench.accept(start)
    newer = attrs.evolve(bench.told, worker="i-2", born=9, clock_ms=10)
    (end,) = _ends(bench.executor.handle_heartbeat(newer))
    assert end.kind is assignments.EndKind.LOST


def test_restart_under_the_same_identifier_leaves_runs_in_doubt():
    """Seeds 15 and 26 of the model: a command had reached the new life."""
    bench = Bench()
    (start,) = _of(executoractions.Start, bench.assign(0))
    bench.accept(start)
    bench.clock_ms = 20
    effects = bench.poll(running=[KEY], born=2)
    assert _ends(effects) == []
    (poll,) = _of(executoractions.Poll, effects)
    assert _ends(bench.poll(running=[KEY], born=2, command=poll.command)) == []
    assert bench.executor.due_reports()[OWNER].used_cpu == 1000


def test_token_grows_over_a_restart_of_the_worker():
    """A late command to the earlier life must not pass for a current one."""
    bench = Bench()
    before = bench.executor.next_poll().token
    newer = attrs.evolve(bench.told, born=9, clock_ms=10)
    list(bench.executor.handle_heartbeat(newer))
    assert bench.executor.next_poll().token > before


def test_fenced_agent_draws_a_higher_token():
    """An earlier life of the agent may have drawn a higher one."""
    bench = Bench()
    (start,) = _of(executoractions.Start, bench.assign(0))
    refusal = workercontrol.Refused(workercontrol.Refusal.FENCED, 9000)
    (again,) = _of(
        executoractions.Start,
        bench.executor.handle_start_result(start.command, refusal),
    )
    assert again.command.token >= 9000


def test_run_of_another_owner_keeps_a_task_from_starting_twice():
    """The same job may come to another entry host while its tasks still run."""
    bench = Bench()
    (start,) = _of(executoractions.Start, bench.assign(0))
    bench.accept(start)
    (end,) = _ends(bench.assign(0, run=2))
    assert end.kind is assignments.EndKind.RETURNED


def test_old_run_number_asks_for_a_higher_one():
    """The worker rejects runs up to the highest that it saw of the task."""
    bench = Bench()
    (start,) = _of(executoractions.Start, bench.assign(0))
    refusal = workercontrol.Refused(workercontrol.Refusal.OLD_RUN, 5100)
    (end,) = _ends(bench.executor.handle_start_result(start.command, refusal))
    assert end.next_run > KEY.run + 1


def test_stalled_tasks_are_stopped_and_the_worker_is_ejected():
    """Tasks that stand still on a worker that answers would wait for ever."""
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


def test_leaving_agent_finishes_what_runs():
    """A planned stop cuts no task in progress."""
    bench = Bench()
    (start,) = _of(executoractions.Start, bench.assign(0))
    bench.accept(start)
    list(bench.executor.leave())
    assert bench.executor.running_count == 1
    assert _of(executoractions.Start, bench.assign(1)) == []
    assert bench.executor.next_poll().lease_until_ms is not None


def _link(bench, count):
    for number in range(count):
        name = f"far-{number}"
        list(bench.executor.handle_entry_connected(name, number, (True, number)))
    return bench


def test_changes_are_reported_to_the_nearest_owners_only():
    """Reports of every change to ten entry hosts took more time than the jobs."""
    bench = _link(Bench(), 9)
    bench.executor.due_reports()
    bench.assign(0, 1, 2)
    assert set(bench.executor.due_reports(is_periodic=False)) == {
        OWNER,
        "far-0",
        "far-1",
        "far-2",
    }
    # The others hear of the load at regular times.
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
    """Answers and log lines that change nothing must cost no messages."""
    bench = Bench()
    bench.executor.due_reports()
    assert bench.executor.due_reports(is_periodic=False) == {}
    assert set(bench.executor.due_reports()) == {OWNER}


def test_state_of_the_worker_is_told_to_every_owner_at_once():
    """A worker that drains must not look free to distant entry hosts."""
    bench = _link(Bench(), 9)
    bench.executor.due_reports()
    draining = attrs.evolve(bench.told, is_draining=True, sequence=2)
    list(bench.executor.handle_heartbeat(draining))
    loads = bench.executor.due_reports(is_periodic=False)
    assert len(loads) == 10
    assert {load.state for load in loads.values()} == {assignments.WorkerState.DRAINING}


def test_owner_whose_tasks_were_returned_hears_of_the_load():
    """A distant owner would send its next tasks to the same full worker."""
    bench = Bench()
    for number in range(4):
        list(
            bench.executor.handle_entry_connected(f"near-{number}", number, (False, -1))
        )
    bench.executor.due_reports()
    assert OWNER not in bench.executor.due_reports(is_periodic=False)
    bench.assign(0, 1, 2, 3, 4)
    assert OWNER in bench.executor.due_reports(is_periodic=False)


def test_owner_that_connects_again_hears_of_the_load_at_once():
    """It knows no load and gets no lease before the first report."""
    bench = _link(Bench(), 9)
    bench.executor.due_reports()
    list(bench.executor.handle_entry_disconnected("far-8"))
    list(bench.executor.handle_entry_connected("far-8", 8, (True, 8)))
    assert set(bench.executor.due_reports(is_periodic=False)) == {"far-8"}
