"""Simulates callers that leave, and messages that processes read late.

A caller that has left sends its job again 1.3 s later, so what it has sent before may
not start a task any more, whoever reads it and when.
"""

import random

import attrs
import pytest

from burdockgate.process import executoractions
from burdockgate.standin import (
    callers,
    crest,
    faultinjection,
    invariants,
    latereads,
    simulation,
    standstill,
    virtualtime,
)

SHORT, _, LONG = crest.KINDS
# Share of the full load that six workers carry.
LOAD_SHARE = 0.35
LIMITS = executoractions.ExecutorSettings()
HABITS = callers.Habits()


def _simulate(seed, faults, limits=LIMITS, habits=HABITS):
    """Simulate callers that leave under faults; return the simulation and the faults.

    The same seeds were surveyed by hand, so that a change here changes what they mean.
    """
    sim = simulation.Simulation(
        seed,
        (LONG, SHORT),
        entries=3,
        workers=6,
        limits=limits,
        habits=habits,
    )
    sim.schedule_load(3, 13, LOAD_SHARE)
    injected = faultinjection.schedule(sim, seed, 4, 11, 4, faults)
    sim.run(70)
    return sim, injected


def _is_settled(sim):
    return not any(
        entry.scheduler.job_by_id for entry in sim.entry_by_name.values()
    ) and not any(
        agent.executor.dispatched_count for agent in sim.agent_by_name.values()
    )


@pytest.mark.parametrize("seed", [6, 13, 14])
def test_entry_host_that_goes_on_starts_no_task_for_callers_that_left(seed):
    """Tasks had two runs: it read the request turns before the caller's end."""
    sim, injected = _simulate(seed, (latereads.strand_callers,))
    assert list(invariants.violations(sim)) == [], injected
    assert _is_settled(sim), injected


@pytest.mark.parametrize("seed", [5, 6, 12])
def test_request_that_a_link_held_back_starts_no_task(seed):
    """Tasks had two runs: the caller's end came some ms after its request."""
    sim, injected = _simulate(seed, (latereads.hold_requests,))
    assert list(invariants.violations(sim)) == [], injected
    assert _is_settled(sim), injected


@pytest.mark.parametrize("seed", [0, 1])
def test_request_held_back_on_a_connection_in_use_starts_no_task(seed):
    """Tasks had two runs: a connection in use does not show that a request is late."""
    habits = callers.Habits(reuse_share=0.5)
    sim, injected = _simulate(seed, (latereads.hold_requests,), habits=habits)
    assert list(invariants.violations(sim)) == [], injected
    assert _is_settled(sim), injected


@pytest.mark.parametrize("seed", [238, 255])
def test_end_that_a_link_holds_back_beyond_a_standstill_lets_no_task_start(seed):
    """Tasks had two runs: the request lay at the machine, its caller's end did not."""
    sim, injected = _simulate(seed, latereads.REQUESTS + latereads.MESSAGES)
    assert list(invariants.violations(sim)) == [], injected
    assert _is_settled(sim), injected


@pytest.mark.parametrize("seed", [4, 6])
def test_messages_that_are_read_late_start_no_task_beside_another_run(seed):
    """An assignment or a start command must not count for longer than its lease."""
    sim, injected = _simulate(seed, latereads.MESSAGES)
    assert list(invariants.violations(sim)) == [], injected
    assert _is_settled(sim), injected
    ages = sim.ages.max_by_kind
    # Assignments lay in sockets for longer than they count.
    assert ages["Assign"] > LIMITS.session_lease_s
    assert ages["Assign: run.starting"] < LIMITS.session_lease_s
    assert ages.get("late start: carried out", 0.0) < LIMITS.orphan_lease_s


# The model itself.


def test_age_of_an_assignment_shows_a_lease_that_is_too_long():
    """An age that stays small whatever the lease could show no fault."""
    limits = attrs.evolve(LIMITS, session_lease_s=3.0)
    sim, _ = _simulate(4, latereads.MESSAGES, limits=limits)
    assert sim.ages.max_by_kind["Assign: run.starting"] > LIMITS.session_lease_s


def _frozen_with_caller(for_s, habits):
    sim = simulation.Simulation(1, (LONG,), entries=2, workers=4, habits=habits)
    entry = sim.entry_by_name["entry-0"]
    sim.time.call_later(3, lambda: entry.freeze(for_s))
    caller_job = sim.make_job(LONG)
    sim.submit_at(3.1, caller_job, entry.name)
    return sim, entry, caller_job


def test_kernel_knows_of_an_end_that_the_process_has_not_read():
    """A model in which both learn of it at once could not show the fault."""
    sim, entry, caller_job = _frozen_with_caller(1.5, callers.Habits(leave_share=1.0))
    sim.run(3.11)
    (connection,) = entry.connection_by_ticket.values()
    assert connection.is_connected()
    sim.run(1.0)
    assert not connection.is_connected()
    assert not connection.is_open
    assert entry.is_frozen
    assert caller_job.is_interrupted
    sim.run(20)
    assert caller_job.is_completed


def test_caller_that_waits_for_a_frozen_entry_host_is_answered():
    """Callers that all leave could not show that those that stay are served."""
    sim, entry, caller_job = _frozen_with_caller(1.5, callers.Habits(leave_share=0.0))
    sim.run(20)
    assert caller_job.is_completed
    assert not caller_job.is_interrupted


def test_request_is_read_turns_before_the_end_of_its_connection():
    """Data and end were handled in one instant, so that no task could start between."""
    time = virtualtime.VirtualClock()
    inbox = standstill.InTurns(time, random.Random(1))
    handled = []

    def note(name):
        return lambda: handled.append((name, time.now()))

    for number in range(40):
        inbox.put(standstill.Requested(note(f"data {number}"), f"caller {number}"))
        inbox.put(standstill.Ended(note(f"end {number}"), f"caller {number}"))
        inbox.put(standstill.Connected(note(f"message {number}"), "agent"))
        inbox.put(standstill.Repeated(note("tick"), "timer"))
    inbox.go_on(lambda event: event.action())
    time.run_until(time.now() + 1)
    at = dict(handled)
    names = [name for name, _ in handled]
    assert all(at[f"data {number}"] < at[f"end {number}"] for number in range(40))
    assert [name for name in names if name.startswith("message")] == [
        f"message {number}" for number in range(40)
    ]
    assert names.count("tick") == 1
    assert names[0] != "data 0"
    assert not inbox.is_handling


def test_request_and_end_that_a_link_holds_back_arrive_after_it_heals():
    """A request that is never late at a running entry host could show no fault."""
    habits = callers.Habits(leave_share=1.0, end_lag_range_s=(0.004, 0.004))
    sim = simulation.Simulation(1, (LONG,), entries=2, workers=4, habits=habits)
    entry = sim.entry_by_name["entry-0"]
    sim.time.call_later(3, lambda: sim.callers.hold(entry, 2.0))
    caller_job = sim.make_job(LONG)
    sim.submit_at(3.1, caller_job, entry.name)
    sim.run(5.002)
    assert caller_job.is_interrupted
    assert caller_job.job in entry.scheduler.job_by_id
    sim.run(0.004)
    assert caller_job.job not in entry.scheduler.job_by_id
