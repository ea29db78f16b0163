"""Tests of the entry host's scheduler: choice of workers, retries and rejection."""

import random

import attrs
import pytest

from burdockgate import assignments, clock, codes
from burdockgate.process import (
    actions,
    assigner,
    entrysessions,
    executoractions,
    fleet,
    scheduler,
    selection,
    throughput,
)
from burdockgate.request import besteffort, caller

STEP = besteffort.Step(2, 1000, 10, 0, 0.1)
SUBMISSION = besteffort.Submission(
    "job", "route", "svc", "text", (STEP,), 0, 2, 1.6, 0.06, 2.0
)
READY = assignments.WorkerState.READY


class Client(caller.Caller):
    """A caller that is connected until it leaves."""

    def __init__(self):
        self.has_left = False

    def is_connected(self):
        return not self.has_left

    def was_delayed(self):
        return False


class Bench:
    """A scheduler after its startup grace, with agents that have reported."""

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

    def link(self, agent, free, boot=5, active_runs=(), labels=("a",)):
        hello = assignments.AgentHello(1, agent, boot, "z1", 9, tuple(active_runs))
        effects = list(self.scheduler.handle_agent_connected(hello, 9))
        info = assignments.WorkerInfo("i", 1, "svc", 4000, 1000, 0, labels)
        effects += self.scheduler.handle_worker_info(agent, info)
        self.free_by_agent[agent] = free
        return effects + self.report(agent)

    def report(self, agent, state=READY, earlier_runs_ended=True):
        view = self.scheduler.fleet.view_by_agent[agent]
        load = assignments.LoadReport(
            1,
            view.last_assign_number,
            state,
            earlier_runs_ended,
            self.free_by_agent[agent],
            0,
            0,
            0,
            0,
            1000,
            True,
            0,
        )
        return list(self.scheduler.handle_load_report(agent, load))

    def submit(self, submission=SUBMISSION, ticket=1, client=None, is_late=False):
        client = client or Client()
        effects = list(self.scheduler.submit(submission, ticket, client, is_late))
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


def _outcomes(effects):
    return [
        effect.outcome for effect in effects if isinstance(effect, assigner.Respond)
    ]


def test_tasks_of_a_job_go_in_one_message_and_complete_it():
    """The tasks of one step on one agent share one assignment."""
    bench = Bench(4000)
    (assign,) = _messages(assignments.Assign, bench.submit())
    assert (assign.indexes, assign.runs) == ((0, 1), (1, 1))
    bench.end("agent-0", 0, assignments.EndKind.DONE)
    effects = bench.end("agent-0", 1, assignments.EndKind.DONE, number=2)
    assert _outcomes(effects) == [besteffort.Completed()]


def test_job_of_callers_that_have_left_ends_before_an_assignment():
    """Its tasks ran beside those of its second submission at another entry host."""
    bench = Bench(0)
    first, second = Client(), Client()
    bench.submit(ticket=1, client=first)
    bench.submit(ticket=2, client=second)
    first.has_left = second.has_left = True
    bench.free_by_agent["agent-0"] = 4000
    bench.report("agent-0")
    effects = list(bench.scheduler.assign())
    assert _messages(assignments.Assign, effects) == []
    assert {outcome.code for outcome in _outcomes(effects)} == {codes.Code.REQUEST_CUT}
    assert bench.scheduler.job_by_id == {}


def test_job_whose_request_was_read_late_waits_for_the_end_of_its_connection():
    """The end came a round trip after the request, and its tasks had started."""
    bench, client = Bench(4000), Client()
    assert (
        _messages(assignments.Assign, bench.submit(client=client, is_late=True)) == []
    )
    bench.time.advance(scheduler.LATE_REQUEST_DELAY_S)
    assert len(_messages(assignments.Assign, bench.scheduler.tick())) == 1


def test_late_request_delays_the_job_that_it_joins():
    """Both callers could have left, and the ends of their connections be on the way."""
    bench = Bench(0)
    bench.submit(ticket=1)
    bench.submit(ticket=2, is_late=True)
    bench.free_by_agent["agent-0"] = 4000
    bench.report("agent-0")
    assert _messages(assignments.Assign, bench.scheduler.assign()) == []
    bench.time.advance(scheduler.LATE_REQUEST_DELAY_S)
    assert len(_messages(assignments.Assign, bench.scheduler.tick())) == 1


def test_job_is_assigned_while_one_of_its_callers_is_connected():
    """A caller that came back waits for the job that it had sent before."""
    bench = Bench(0)
    first = Client()
    bench.submit(ticket=1, client=first)
    bench.submit(ticket=2, client=Client())
    first.has_left = True
    bench.free_by_agent["agent-0"] = 4000
    bench.report("agent-0")
    assert len(_messages(assignments.Assign, bench.scheduler.assign())) == 1


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


def test_label_and_limit_per_worker_are_respected():
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
    assert _outcomes(effects) == [besteffort.Failed(codes.Code.TASK_FAILED)]


def test_returned_task_counts_no_attempt_and_its_job_may_still_be_refused():
    """A returned run never started; a job may be refused only if no task has run."""
    bench = Bench(4000)
    bench.submit(attrs.evolve(SUBMISSION, steps=(attrs.evolve(STEP, count=1),)))
    bench.end("agent-0", 0, assignments.EndKind.RETURNED)
    job = bench.scheduler.job_by_id["job"]
    assert not job.has_run
    bench.time.advance(1.95)
    (outcome,) = _outcomes(bench.scheduler.tick())
    assert outcome.code is codes.Code.QUEUE_TIMEOUT


def test_job_with_an_assigned_task_is_not_refused():
    """Its agent may have started the task."""
    bench = Bench(4000)
    bench.submit()
    bench.time.advance(1.0)
    assert _outcomes(bench.scheduler.tick()) == []
    bench.time.advance(1.1)
    (outcome,) = _outcomes(bench.scheduler.tick())
    assert outcome == besteffort.Interrupted(codes.Code.DEADLINE_MAY_HAVE_RUN)


@pytest.mark.parametrize(
    "change", [{"cpu": 4001}, {"memory_mb": 1001}, {"gpu": 1}, {"label": "b"}]
)
def test_job_that_fits_no_worker_is_rejected_at_once(change):
    """It must not wait until its deadline for a worker that does not exist."""
    bench = Bench(4000)
    step = attrs.evolve(STEP, **change)
    (outcome,) = _outcomes(bench.submit(attrs.evolve(SUBMISSION, steps=(step,))))
    assert outcome.code is codes.Code.NEVER_FITS


def test_silent_agents_are_assigned_nothing():
    """Tasks assigned to an unreachable agent are lost for seconds."""
    bench = Bench(4000)
    bench.time.advance(fleet.NEAR_REPORT_TIMEOUT_S)
    (outcome,) = _outcomes(bench.submit())
    assert outcome.code is codes.Code.NOT_READY


def test_entry_host_without_reports_of_half_its_agents_is_not_ready():
    """The balancer should send requests elsewhere while an entry host is cut off."""
    bench = Bench(4000, 4000, 4000)
    assert bench.scheduler.fleet.has_enough_agents(bench.time.now())
    bench.time.advance(1.0)
    bench.report("agent-0")
    assert not bench.scheduler.fleet.has_enough_agents(bench.time.now())
    bench.report("agent-1")
    assert bench.scheduler.fleet.has_enough_agents(bench.time.now())


def test_runs_that_a_reconnected_agent_does_not_list_are_lost():
    """An assignment that was in flight when the connection broke never started."""
    bench = Bench(4000)
    bench.submit()
    key = assignments.RunKey(assignments.TaskKey("job", 0, 0), 1)
    list(bench.scheduler.handle_agent_disconnected("agent-0"))
    effects = bench.link("agent-0", 4000, active_runs=[key])
    lost = [
        effect.fields["task"]
        for effect in effects
        if isinstance(effect, actions.LogEvent) and effect.event == "task.ended"
    ]
    assert lost == ["0.1"]


def test_runs_of_a_silent_agent_start_elsewhere_only_after_the_leases():
    """The agent's worker may run them until its lease lapses."""
    bench = Bench(4000)
    bench.submit(attrs.evolve(SUBMISSION, deadline_s=20.0))
    list(bench.scheduler.handle_agent_disconnected("agent-0"))
    bench.link("agent-1", 4000)
    bench.time.advance(1.35)
    bench.report("agent-1")
    assert _messages(assignments.Assign, bench.scheduler.tick()) == []
    bench.time.advance(0.1)
    bench.report("agent-1")
    (assign,) = _messages(assignments.Assign, bench.scheduler.tick())
    assert assign.runs == (2, 2)


def _restart_agent(bench, agent, boot=6):
    """Connect a new process of an agent, which has not reached its worker yet."""
    hello = assignments.AgentHello(1, agent, boot, "z1", 0, ())
    list(bench.scheduler.handle_agent_disconnected(agent))
    return list(bench.scheduler.handle_agent_connected(hello, 9))


@pytest.mark.parametrize("state", assignments.WorkerState)
def test_no_state_of_a_worker_shows_that_runs_of_an_earlier_process_ended(state):
    """An agent that released its owner said DRAINING before it knew its worker's runs.

    The owner took it for the end of the runs and started them elsewhere beside the old.
    """
    bench = Bench(4000)
    bench.submit()
    bench.link("agent-1", 4000)
    _restart_agent(bench, "agent-0")
    bench.report("agent-0", state, earlier_runs_ended=False)
    assert _messages(assignments.Assign, bench.scheduler.assign()) == []
    bench.report("agent-0", state, earlier_runs_ended=True)
    bench.report("agent-1")
    (assign,) = _messages(assignments.Assign, bench.scheduler.assign())
    assert assign.runs == (2, 2)


def test_runs_missing_in_a_new_process_hello_are_lost_once():
    """They were compared again with the runs of a job that was submitted again.

    Its runs have the same numbers, so that they were started elsewhere while they ran.
    """
    bench = Bench(4000)
    bench.submit()
    bench.link("agent-1", 0)
    _restart_agent(bench, "agent-0")
    list(bench.scheduler.handle_caller_disconnected("job", 1))
    bench.submit(ticket=2)
    info = assignments.WorkerInfo("i", 1, "svc", 4000, 1000, 0, ())
    list(bench.scheduler.handle_worker_info("agent-0", info))
    bench.report("agent-0")
    (assign,) = _messages(assignments.Assign, bench.scheduler.assign())
    assert assign.runs == (1, 1)
    bench.report("agent-0")
    bench.link("agent-1", 4000)
    assert _messages(assignments.Assign, bench.scheduler.assign()) == []


def test_resubmitted_job_waits_for_the_ends_of_its_revoked_runs():
    """Starting a task again before its revoked run has ended would run it twice."""
    bench = Bench(4000)
    bench.submit()
    effects = list(bench.scheduler.handle_caller_disconnected("job", 1))
    (revoke,) = _messages(assignments.Revoke, effects)
    assert len(revoke.keys) == 2
    agent = next(e.to for e in effects if isinstance(e, actions.Send))
    assert _messages(assignments.Assign, bench.submit(ticket=2)) == []
    effects = bench.end(agent, 0, assignments.EndKind.STOPPED)
    (assign,) = _messages(assignments.Assign, effects)
    assert assign.indexes == (0,)


TASK_KEYS = [assignments.TaskKey("job", 0, index) for index in range(2)]


def _revoke_all(bench):
    """Submit the job, and end it because its caller has disconnected."""
    bench.submit()
    effects = list(bench.scheduler.handle_caller_disconnected("job", 1))
    (revoke,) = _messages(assignments.Revoke, effects)
    return revoke.keys


def test_lost_revocation_is_repeated_when_the_agent_connects_again():
    """A reset of the connection lost the only order to stop the runs."""
    bench = Bench(4000)
    keys = _revoke_all(bench)
    list(bench.scheduler.handle_agent_disconnected("agent-0"))
    effects = bench.link("agent-0", 4000, active_runs=keys)
    (revoke,) = _messages(assignments.Revoke, effects)
    assert revoke.keys == keys
    assert _messages(assignments.Assign, bench.submit(ticket=2)) == []
    effects = bench.end("agent-0", 0, assignments.EndKind.STOPPED)
    (assign,) = _messages(assignments.Assign, effects)
    assert assign.indexes == (0,)


def test_runs_of_an_unknown_job_are_revoked_when_an_agent_connects():
    """The job had ended, and its runs had been given up, before the agent was back."""
    bench = Bench(4000)
    key = assignments.RunKey(TASK_KEYS[0], 7)
    (revoke,) = _messages(
        assignments.Revoke, bench.link("agent-1", 4000, active_runs=[key])
    )
    assert revoke.keys == (key,)


def test_revoked_run_that_never_arrived_keeps_its_task_from_no_worker():
    """Assignment and revocation were lost together; the task was never assigned again.

    The agent, connected again, neither lists the run nor reports its end.
    """
    bench = Bench(4000)
    _revoke_all(bench)
    list(bench.scheduler.handle_agent_disconnected("agent-0"))
    bench.link("agent-0", 4000)
    (assign,) = _messages(assignments.Assign, bench.submit(ticket=2))
    assert assign.indexes == (0, 1)


def test_end_of_an_earlier_run_does_not_release_a_revoked_task():
    """Agents repeat ends after a reset, also of runs before the revoked one."""
    bench = Bench(4000)
    bench.submit()
    bench.end("agent-0", 0, assignments.EndKind.RETURNED)
    bench.time.advance(0.3)
    bench.report("agent-0")
    (assign,) = _messages(assignments.Assign, bench.scheduler.assign())
    assert assign.runs == (2,)
    list(bench.scheduler.handle_caller_disconnected("job", 1))
    bench.submit(ticket=2)
    effects = bench.end("agent-0", 0, assignments.EndKind.RETURNED)
    assert _messages(assignments.Assign, effects) == []
    effects = bench.end("agent-0", 0, assignments.EndKind.STOPPED, run=2, number=2)
    assert len(_messages(assignments.Assign, effects)) == 1


def test_every_request_for_a_job_gets_its_answer():
    """A caller that sent its job again waits for the same outcome as the first."""
    bench = Bench(4000)
    bench.submit()
    bench.submit(ticket=2)
    bench.end("agent-0", 0, assignments.EndKind.DONE)
    effects = bench.end("agent-0", 1, assignments.EndKind.DONE, number=2)
    assert _outcomes(effects) == [besteffort.Completed(), besteffort.Completed()]


def test_repeated_submission_of_a_completed_job_is_answered_at_once():
    """A repeated request may arrive seconds after the answer."""
    bench = Bench(4000)
    bench.submit()
    bench.end("agent-0", 0, assignments.EndKind.DONE)
    bench.end("agent-0", 1, assignments.EndKind.DONE, number=2)
    assert _outcomes(bench.submit(ticket=2)) == [besteffort.Completed()]


def test_jobs_that_cannot_finish_in_time_are_rejected_before_their_deadline():
    """During overload, callers waited for 2 s only to be refused."""
    bench = Bench(4000)
    for number in range(200):
        name = f"{number:016x}"
        bench.submit(attrs.evolve(SUBMISSION, job=name, deadline_s=20.0), number)
    outcomes = []
    for _ in range(5):
        bench.time.advance(0.1)
        bench.report("agent-0")
        outcomes += _outcomes(bench.scheduler.tick())
    assert len(outcomes) > 100
    assert all(outcome.code is codes.Code.QUEUE_TIMEOUT for outcome in outcomes)
    assert all(outcome.retry_after_s >= 1.0 for outcome in outcomes)


def test_stopping_entry_host_refuses_what_it_cannot_finish():
    """A job that would be interrupted by the exit of the process is not accepted."""
    bench = Bench(4000)
    bench.scheduler.stop_deadline = bench.time.now() + 1.0
    long = attrs.evolve(STEP, estimate_s=2.0)
    (outcome,) = _outcomes(bench.submit(attrs.evolve(SUBMISSION, steps=(long,))))
    assert outcome.code is codes.Code.DRAINING
    assert _outcomes(bench.submit(attrs.evolve(SUBMISSION, job="short"))) == []


def test_stopping_entry_host_admits_a_job_whose_caller_waits_no_longer_anyway():
    """A short deadline ends a job before the exit, however long its tasks take."""
    bench = Bench(4000)
    bench.scheduler.stop_deadline = bench.time.now() + 1.0
    steps = (attrs.evolve(STEP, estimate_s=0.8),)
    submission = attrs.evolve(SUBMISSION, steps=steps, deadline_s=1.0)
    assert _outcomes(bench.submit(submission)) == []


def test_stopping_entry_host_answers_at_once_what_cannot_start_in_time():
    """A job that still waited was interrupted at the exit, although it had not run."""
    bench = Bench(0)
    steps = (attrs.evolve(STEP, estimate_s=2.0),)
    submission = attrs.evolve(SUBMISSION, steps=steps, deadline_s=20.0)
    assert _outcomes(bench.submit(submission)) == []
    bench.scheduler.stop_deadline = bench.time.now() + 2.05
    bench.time.advance(0.1)
    (outcome,) = _outcomes(bench.scheduler.tick())
    assert outcome == besteffort.Refused(codes.Code.DRAINING, 1.0)


# Order of jobs, choice of workers, shares of capacity.


def _job(estimate_s, priority=0, received_at=100.0):
    step = attrs.evolve(STEP, estimate_s=estimate_s)
    submission = attrs.evolve(SUBMISSION, steps=(step,), priority=priority)
    return besteffort.Job.from_submission(submission, received_at)


def test_order_puts_priority_first_then_length_and_late_jobs_last():
    """The rank sent to agents has to sort jobs like the order of the entry host."""
    order = selection.ShortestFirst()
    urgent, short, long = _job(1.0), _job(0.1, priority=1), _job(1.0, priority=1)
    late = _job(0.1, received_at=90.0)
    jobs = sorted([late, long, short, urgent], key=lambda job: order.key(job, 100.0))
    assert jobs == [urgent, short, long, late]
    ranks = [order.rank(job, 100.0) for job in jobs]
    assert ranks == sorted(ranks)


def test_faster_worker_is_chosen_and_a_full_one_is_not():
    """A task is assigned to the worker on which it is expected to finish first."""
    bench = Bench(4000, 4000, 500)
    for agent, speed in (("agent-0", 800), ("agent-1", 1200), ("agent-2", 2000)):
        view = bench.scheduler.fleet.view_by_agent[agent]
        view.load = attrs.evolve(view.load, speed=speed)
    choice = selection.Selection(
        selection.SelectionSettings(), "z1", random.Random(1)
    ).choose_worker(
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


def test_freed_capacity_goes_to_the_most_urgent_entry_host():
    """Entry hosts filled the same free capacity, and all but one task queued there."""
    sessions = [_session("a", 3000, 7), _session("b", 1000, 2), _session("c", 0, 0)]
    shares = entrysessions.allocate_free_cpu(2000, sessions, 100.0)
    assert shares == {"a": 1000, "b": 1000, "c": 0}


def test_capacity_without_demand_is_offered_to_all_entry_hosts():
    """A new job must not wait for a share while no tasks wait elsewhere."""
    sessions = [_session("a", 0, 0), _session("b", 500, 1, demanded_at=90.0)]
    assert entrysessions.allocate_free_cpu(2000, sessions, 100.0) == {
        "a": 2000,
        "b": 2000,
    }


@pytest.mark.parametrize(
    ("assigned", "expected"), [([], 0.0), ([(0.5, 4.0)], 8.0), ([(1.0, 4.0)], 4.0)]
)
def test_throughput(assigned, expected):
    """The rate is known after a quarter of a second and follows within one second."""
    measured = throughput.Throughput(100.0)
    now = 100.0
    for after_s, core_s in assigned:
        now = 100.0 + after_s
        measured.add(core_s)
    assert measured.rate(now) == pytest.approx(expected)


def test_returned_task_causes_no_demand_during_its_backoff():
    """At normal load, each return sent a demand and its end to 24 agents."""
    bench = Bench(4000, 4000)
    bench.submit()
    bench.time.advance(1.0)
    for agent in ("agent-0", "agent-1"):
        bench.free_by_agent[agent] = 0
        bench.report(agent)
    agent = next(bench.scheduler.job_by_id["job"].all_tasks()).agent
    returned = bench.end(agent, 0, assignments.EndKind.RETURNED)
    assert _messages(assignments.Demand, returned) == []
    bench.time.advance(assigner.SchedulerSettings().return_backoff_s)
    later = list(bench.scheduler.assign())
    assert {demand.waiting_cpu for demand in _messages(assignments.Demand, later)} == {
        STEP.cpu
    }


def test_rate_of_a_time_without_workers_refuses_nothing():
    """The rate measured while workers are away is too low when they are back."""
    bench = Bench(4000, 4000)
    for agent in ("agent-0", "agent-1"):
        bench.free_by_agent[agent] = 0
        bench.report(agent)
    bench.scheduler._throughput = throughput.Throughput(bench.time.now(), 0.0, 0.001)
    for number in range(3):
        job = attrs.evolve(SUBMISSION, job=f"job-{number}")
        assert _messages(assignments.Assign, bench.submit(job, number)) == []
    outcomes = [
        effect
        for effect in bench.scheduler.tick()
        if isinstance(effect, assigner.Respond)
    ]
    assert outcomes == []


def test_timeout_of_agents_is_the_sum_of_the_limits_that_they_enforce():
    """A limit that agents do not enforce would start runs beside older ones."""
    limits = executoractions.ExecutorSettings()
    longest_lease_s = limits.orphan_lease_s * (1 + limits.clock_drift)
    timeout_s = scheduler.agent_timeout_s(limits)
    assert timeout_s == pytest.approx(longest_lease_s + 0.2)
    assert assigner.SchedulerSettings().agent_timeout_s >= round(timeout_s, 2)
