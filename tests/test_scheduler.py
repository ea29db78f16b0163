"""Guards the entry host's decisions: choice, retries, rejection, and waiting."""

import random

import attrs
import pytest

from burdockgate import assignments, clock, codes
from burdockgate.process import (
    actions,
    assigner,
    entrysessions,
    fleet,
    scheduler,
    selection,
    throughput,
)
from burdockgate.request import besteffort

STEP = besteffort.Step(2, 1000, 10, 0, 0.1)
SUBMISSION = besteffort.Submission(
    "job", "route", "svc", "text", (STEP,), 0, 2, 1.6, 0.06, 2.0
)
READY = assignments.WorkerState.READY


class Bench:
    """A scheduler after its settling time, with agents that have reported."""

    def __init__(self, *free_cpu, ordering=None):
        self.time = clock.ManualClock(100.0)
        self.scheduler = scheduler.Scheduler(
            "z1",
            assigner.SchedulerSettings(),
            selection.SelectionSettings(),
            ordering or selection.ShortestFirst(),
            self.time,
            random.Random(1),
        )
        self.time.advance(4.0)
        self.free_by_agent = {}
        for number, free in enumerate(free_cpu):
            self.link(f"agent-{number}", free)

    def link(self, agent, free, boot=5, held=(), labels=("a",)):
        hello = assignments.AgentHello(1, agent, boot, "z1", 9, tuple(held))
        effects = list(self.scheduler.handle_agent_connected(hello, 9))
        info = assignments.WorkerInfo("i", 1, "svc", 4000, 1000, 0, labels)
        effects += self.scheduler.handle_worker_info(agent, info)
        self.free_by_agent[agent] = free
        return effects + self.report(agent)

    def report(self, agent, state=READY):
        view = self.scheduler.fleet.view_by_agent[agent]
        load = assignments.LoadReport(
            1,
            view.assigned_number,
            state,
            self.free_by_agent[agent],
            0,
            0,
            0,
            0,
            1000,
            True,
        )
        return list(self.scheduler.handle_load_report(agent, load))

    def submit(self, submission=SUBMISSION, ticket=1):
        effects = list(self.scheduler.submit(submission, ticket))
        return effects + list(self.scheduler.assign())

    def end(self, agent, index, kind, run=1, number=1):
        key = assignments.RunKey(assignments.TaskKey("job", 0, index), run)
        end = assignments.TaskEnd(number, key, kind, 100, run + 1)
        effects = list(self.scheduler.handle_task_end(agent, end))
        return effects + list(self.scheduler.assign())


def _messages(kind, effects):
    return [
        effect.message
        for effect in effects
        if isinstance(effect, actions.Send) and isinstance(effect.message, kind)
    ]


def _verdicts(effects):
    return [
        effect.verdict for effect in effects if isinstance(effect, assigner.Respond)
    ]


def test_tasks_of_a_job_go_in_one_message_and_complete_it():
    """The plain path."""
    bench = Bench(4000)
    (assign,) = _messages(assignments.Assign, bench.submit())
    assert (assign.indexes, assign.runs) == ((0, 1), (1, 1))
    bench.end("agent-0", 0, assignments.EndKind.DONE)
    effects = bench.end("agent-0", 1, assignments.EndKind.DONE, number=2)
    assert _verdicts(effects) == [besteffort.Completed()]


def test_steps_wait_for_the_steps_before():
    """A later step must not start while a task of an earlier one runs."""
    later = attrs.evolve(STEP, count=1, after=(0,))
    bench = Bench(4000)
    submission = attrs.evolve(SUBMISSION, steps=(STEP, later))
    (assign,) = _messages(assignments.Assign, bench.submit(submission))
    assert assign.step == 0
    effects = bench.end("agent-0", 0, assignments.EndKind.DONE)
    assert _messages(assignments.Assign, effects) == []
    effects = bench.end("agent-0", 1, assignments.EndKind.DONE, number=2)
    (assign,) = _messages(assignments.Assign, effects)
    assert assign.step == 1


def test_label_and_limit_per_worker_are_kept():
    """A task must not run on a worker that its step excludes."""
    bench = Bench(4000, 4000)
    bench.link("agent-2", 4000, labels=("b",))
    step = attrs.evolve(STEP, count=3, label="a", max_per_worker=1)
    assigned = [
        effect.to
        for effect in bench.submit(attrs.evolve(SUBMISSION, steps=(step,)))
        if isinstance(effect, actions.Send)
        and isinstance(effect.message, assignments.Assign)
    ]
    assert sorted(assigned) == ["agent-0", "agent-1"]


def test_failed_task_goes_to_another_worker_until_its_attempts_are_used_up():
    """A bad worker must not use up all attempts of a task."""
    bench = Bench(4000, 0)
    bench.submit(attrs.evolve(SUBMISSION, steps=(attrs.evolve(STEP, count=1),)))
    bench.free_by_agent["agent-1"] = 4000
    bench.report("agent-1")
    bench.report("agent-0")
    effects = bench.end("agent-0", 0, assignments.EndKind.FAILED)
    (sent,) = [
        effect
        for effect in effects
        if isinstance(effect, actions.Send)
        and isinstance(effect.message, assignments.Assign)
    ]
    assert (sent.to, sent.message.runs) == ("agent-1", (2,))
    effects = bench.end("agent-1", 0, assignments.EndKind.FAILED, run=2)
    assert _verdicts(effects) == [besteffort.Failed(codes.Code.TASK_FAILED)]


def test_returned_task_counts_no_attempt_and_leaves_the_job_unrun():
    """Only a job of which nothing can have run may be refused."""
    bench = Bench(4000)
    bench.submit(attrs.evolve(SUBMISSION, steps=(attrs.evolve(STEP, count=1),)))
    bench.end("agent-0", 0, assignments.EndKind.RETURNED)
    job = bench.scheduler.job_by_id["job"]
    assert not job.has_run
    bench.time.advance(1.95)
    (verdict,) = _verdicts(bench.scheduler.tick())
    assert verdict.code is codes.Code.QUEUE_TIMEOUT


def test_job_with_an_assigned_task_is_not_refused():
    """Its agent may have started it."""
    bench = Bench(4000)
    bench.submit()
    bench.time.advance(1.0)
    assert _verdicts(bench.scheduler.tick()) == []
    bench.time.advance(1.1)
    (verdict,) = _verdicts(bench.scheduler.tick())
    assert verdict == besteffort.Interrupted(codes.Code.DEADLINE_MAY_HAVE_RUN)


@pytest.mark.parametrize(
    "change", [{"cpu": 4001}, {"memory_mb": 1001}, {"gpu": 1}, {"label": "b"}]
)
def test_job_that_fits_no_worker_is_rejected_at_once(change):
    """It must not wait until its deadline for what never comes."""
    bench = Bench(4000)
    step = attrs.evolve(STEP, **change)
    (verdict,) = _verdicts(bench.submit(attrs.evolve(SUBMISSION, steps=(step,))))
    assert verdict.code is codes.Code.NEVER_FITS


def test_silent_agents_are_given_nothing():
    """Tasks given to an agent that is cut off are lost for seconds."""
    bench = Bench(4000)
    bench.time.advance(fleet.FRESH_S)
    (verdict,) = _verdicts(bench.submit())
    assert verdict.code is codes.Code.NOT_READY


def test_entry_host_that_hears_few_agents_is_not_in_touch():
    """The balancer should send the requests of a host that is cut off elsewhere."""
    bench = Bench(4000, 4000, 4000)
    assert bench.scheduler.fleet.is_in_touch(bench.time.now())
    bench.time.advance(1.0)
    bench.report("agent-0")
    assert not bench.scheduler.fleet.is_in_touch(bench.time.now())
    bench.report("agent-1")
    assert bench.scheduler.fleet.is_in_touch(bench.time.now())


def test_runs_that_an_agent_does_not_hold_after_a_reset_are_lost():
    """An assignment that was under way when the connection broke never started."""
    bench = Bench(4000)
    bench.submit()
    key = assignments.RunKey(assignments.TaskKey("job", 0, 0), 1)
    list(bench.scheduler.handle_agent_disconnected("agent-0"))
    effects = bench.link("agent-0", 4000, held=[key])
    lost = [
        effect.fields["task"]
        for effect in effects
        if isinstance(effect, actions.LogEvent) and effect.event == "task.ended"
    ]
    assert lost == ["0.1"]


def test_runs_of_a_silent_agent_start_elsewhere_only_after_the_leases():
    """Its worker may run them until then."""
    bench = Bench(4000)
    bench.submit(attrs.evolve(SUBMISSION, deadline_s=20.0))
    list(bench.scheduler.handle_agent_disconnected("agent-0"))
    bench.link("agent-1", 4000)
    bench.time.advance(2.25)
    bench.report("agent-1")
    assert _messages(assignments.Assign, bench.scheduler.tick()) == []
    bench.time.advance(0.1)
    bench.report("agent-1")
    (assign,) = _messages(assignments.Assign, bench.scheduler.tick())
    assert assign.runs == (2, 2)


def test_abandoned_job_is_revoked_and_its_tasks_wait_for_their_ends_when_it_returns():
    """Starting them before would run them twice at a time."""
    bench = Bench(4000)
    bench.submit()
    effects = list(bench.scheduler.abandon("job", 1))
    (revoke,) = _messages(assignments.Revoke, effects)
    assert len(revoke.keys) == 2
    agent = next(e.to for e in effects if isinstance(e, actions.Send))
    assert _messages(assignments.Assign, bench.submit(ticket=2)) == []
    effects = bench.end(agent, 0, assignments.EndKind.STOPPED)
    (assign,) = _messages(assignments.Assign, effects)
    assert assign.indexes == (0,)


def test_every_request_for_a_job_gets_its_answer():
    """A caller that sent its job again must not be told to send it once more."""
    bench = Bench(4000)
    bench.submit()
    bench.submit(ticket=2)
    bench.end("agent-0", 0, assignments.EndKind.DONE)
    effects = bench.end("agent-0", 1, assignments.EndKind.DONE, number=2)
    assert _verdicts(effects) == [besteffort.Completed(), besteffort.Completed()]


def test_completed_job_is_answered_again_from_memory():
    """A repeated request may arrive seconds after the answer."""
    bench = Bench(4000)
    bench.submit()
    bench.end("agent-0", 0, assignments.EndKind.DONE)
    bench.end("agent-0", 1, assignments.EndKind.DONE, number=2)
    assert _verdicts(bench.submit(ticket=2)) == [besteffort.Completed()]


def test_jobs_without_a_chance_are_rejected_before_their_deadline():
    """Callers waited for 2 s at a crest and were refused then."""
    bench = Bench(4000)
    for number in range(200):
        name = f"{number:016x}"
        bench.submit(attrs.evolve(SUBMISSION, job=name, deadline_s=20.0), number)
    verdicts = []
    for _ in range(5):
        bench.time.advance(0.1)
        bench.report("agent-0")
        verdicts += _verdicts(bench.scheduler.tick())
    assert len(verdicts) > 100
    assert all(verdict.code is codes.Code.QUEUE_TIMEOUT for verdict in verdicts)
    assert all(verdict.retry_after_s >= 1.0 for verdict in verdicts)


def test_stopping_entry_host_refuses_what_it_cannot_finish():
    """A job that would be cut off by the end of the process is not begun."""
    bench = Bench(4000)
    bench.scheduler.stops_at = bench.time.now() + 1.0
    long = attrs.evolve(STEP, estimate_s=2.0)
    (verdict,) = _verdicts(bench.submit(attrs.evolve(SUBMISSION, steps=(long,))))
    assert verdict.code is codes.Code.DRAINING
    assert _verdicts(bench.submit(attrs.evolve(SUBMISSION, job="short"))) == []


# Order, choice and shares.


def _job(estimate_s, priority=0, received_at=100.0):
    step = attrs.evolve(STEP, estimate_s=estimate_s)
    submission = attrs.evolve(SUBMISSION, steps=(step,), priority=priority)
    return besteffort.Job.begin(submission, received_at, 1)


def test_order_puts_priority_first_then_length_and_late_jobs_last():
    """The order that the replayed crest speaks for."""
    order = selection.ShortestFirst()
    urgent, short, long = _job(1.0), _job(0.1, priority=1), _job(1.0, priority=1)
    late = _job(0.1, received_at=90.0)
    jobs = sorted([late, long, short, urgent], key=lambda job: order.key(job, 100.0))
    assert jobs == [urgent, short, long, late]
    ranks = [order.rank(job, 100.0) for job in jobs]
    assert ranks == sorted(ranks)


def test_faster_worker_is_chosen_and_a_full_one_is_not():
    """A task goes where it ends first."""
    bench = Bench(4000, 4000, 500)
    for agent, speed in (("agent-0", 800), ("agent-1", 1200), ("agent-2", 2000)):
        view = bench.scheduler.fleet.view_by_agent[agent]
        view.load = attrs.evolve(view.load, speed=speed)
    choice = selection.Selection(
        selection.SelectionSettings(), "z1", random.Random(1)
    ).choose(
        besteffort.Task(assignments.TaskKey("job", 0, 0), STEP),
        bench.scheduler.fleet.view_by_agent.values(),
        bench.time.now(),
    )
    assert choice.agent == "agent-1"


def _session(name, waiting_cpu, rank, demanded_at=100.0):
    session = entrysessions.EntrySession(name, 1)
    session.demand = assignments.Demand(waiting_cpu, rank)
    session.demand_received_at = demanded_at
    return session


def test_freed_room_goes_to_the_most_urgent_owner():
    """All owners once filled the same place, and all but one task waited there."""
    sessions = [_session("a", 3000, 7), _session("b", 1000, 2), _session("c", 0, 0)]
    shares = entrysessions.allocate_free_cpu(2000, sessions, 100.0)
    assert shares == {"a": 1000, "b": 1000, "c": 0}


def test_room_that_nobody_waits_for_is_open_to_all():
    """Without demand a new job must not wait for a share."""
    sessions = [_session("a", 0, 0), _session("b", 500, 1, demanded_at=90.0)]
    assert entrysessions.allocate_free_cpu(2000, sessions, 100.0) == {
        "a": 2000,
        "b": 2000,
    }


@pytest.mark.parametrize(
    ("placed", "expected"), [([], 0.0), ([(0.5, 4.0)], 8.0), ([(1.0, 4.0)], 4.0)]
)
def test_throughput(placed, expected):
    """The rate is known after a quarter of a second and follows within one."""
    measured = throughput.Throughput(100.0)
    now = 100.0
    for after_s, core_s in placed:
        now = 100.0 + after_s
        measured.add(core_s)
    assert measured.rate(now) == pytest.approx(expected)


def test_returned_task_is_no_demand_before_its_pause_has_passed():
    """Each return told 24 agents of a demand and of its end, at usual load."""
    bench = Bench(4000, 4000)
    bench.submit()
    bench.time.advance(1.0)
    for agent in ("agent-0", "agent-1"):
        bench.free_by_agent[agent] = 0
        bench.report(agent)
    agent = next(bench.scheduler.job_by_id["job"].all_tasks()).agent
    returned = bench.end(agent, 0, assignments.EndKind.RETURNED)
    assert _messages(assignments.Demand, returned) == []
    bench.time.advance(assigner.SchedulerSettings().return_pause_s)
    later = list(bench.scheduler.assign())
    assert {demand.waiting_cpu for demand in _messages(assignments.Demand, later)} == {
        STEP.cpu
    }
