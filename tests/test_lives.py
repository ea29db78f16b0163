"""Simulates workers that crash and come back, as the same or as another kind.

An agent concludes from answers of the new life what has become of the runs of the one
before. The decisions are the real ones; the seeds are those of failures that were seen.
"""

import attrs
import pytest

from burdockgate import assignments
from burdockgate.standin import (
    crest,
    faultinjection,
    invariants,
    lives,
    simulation,
    simworker,
)

SHORT, MEDIUM, LONG = crest.KINDS
# Two thirds of the jobs require a kind that half of the workers are of.
KINDS = (attrs.evolve(SHORT, label="b"), MEDIUM, attrs.evolve(LONG, label="b"))


def _simulate(seed, faults=(lives.crash_worker,)):
    """Play 14 faults within 12 s on six workers, and return them as well."""
    sim = simulation.Simulation(seed, KINDS, entries=3, workers=6)
    for number, agent in enumerate(sim.agent_by_name.values()):
        agent.worker.labels = (lives.KINDS[number % 2], lives.RACK)
    sim.schedule_load(3, 18, 0.3)
    injected = faultinjection.schedule(sim, seed, 4, 16, 14, faults)
    sim.run(90)
    return sim, injected


def test_checker_detects_a_start_without_the_required_label():
    """A checker that detects nothing would pass every simulation."""
    sim = simulation.Simulation(1, KINDS, entries=1, workers=2)
    caller_job = sim.make_job(KINDS[0])
    sim.caller_jobs.append(caller_job)
    key = assignments.RunKey(assignments.TaskKey(caller_job.job, 0, 0), 1)
    worker = sim.agent_by_name["agent-0"].worker
    for labels in (("b", lives.RACK), ("a", lives.RACK)):
        worker.spans = [simworker.Span("w", key, 1, 0.0, 1.0, None, 16_000, labels)]
        found = [text.partition(":")[0] for text in invariants.violations(sim)]
        assert found == ([] if "b" in labels else ["route"])


def test_checker_measures_a_life_by_its_own_capacity():
    """A worker that came back larger hid that its smaller life was overfilled."""
    sim = simulation.Simulation(1, KINDS, entries=1, workers=2)
    key = assignments.RunKey(assignments.TaskKey("j", 0, 0), 1)
    worker = sim.agent_by_name["agent-0"].worker
    worker.spans = [simworker.Span("w", key, 9_000, 0.0, 1.0, None, 8_000, ())]
    assert worker.cpu > 9_000
    assert len(list(invariants.violations(sim))) == 1


@pytest.mark.parametrize("is_at_start", [False, True])
def test_worker_comes_back_as_described(is_at_start):
    """A model whose crashes leave no trace would pass every check."""
    sim = simulation.Simulation(1, KINDS, entries=3, workers=6)
    sim.schedule_load(3, 10, 0.8)
    agent = sim.agent_by_name["agent-0"]
    worker, born = agent.worker, agent.worker.born
    life = lives.NextLife(
        "b", 8_000, 0.5, 1.0, 2.0, is_renamed=True, crashes_again_s=0.1
    )
    sim.time.call_later(5, lambda: lives.crash(sim, agent, life, is_at_start))
    sim.run(60)
    assert worker.crash_count == 2
    assert worker.born > born
    assert (worker.labels, worker.cpu) == (("b", lives.RACK), 8_000)
    assert agent.executor.worker_info().worker == worker.name != "worker-0"
    assert any(span.reason is None for span in worker.spans)
    assert worker.faults == simworker.Faults()


@pytest.mark.parametrize("seed", [3, 15, 44, 51, 67])
def test_job_whose_task_started_before_a_crash_is_not_refused_as_not_run(seed):
    """The next life's list, which lacked the run, passed for a proof that it never was.

    The worker crashed when the run had begun, and was unhealthy when it was back.
    """
    sim, injected = _simulate(seed)
    assert list(invariants.violations(sim)) == [], injected


@pytest.mark.parametrize("seed", [0, 4, 6, 11, 19])
def test_worker_that_came_back_is_not_taken_for_what_it_was(seed):
    """Until its first heartbeat, a new life got runs by the labels of the one before.

    It was also filled up to the capacity of that life.
    """
    sim, injected = _simulate(seed)
    assert list(invariants.violations(sim)) == [], injected


@pytest.mark.parametrize("seed", [33, 70, 78])
def test_start_does_not_reach_a_life_of_the_worker_that_nobody_knows_yet(seed):
    """It was sent to the life before, after that had ended and before a poll."""
    sim, injected = _simulate(seed)
    assert list(invariants.violations(sim)) == [], injected


WITH_LATE_COMMANDS = (*(lives.crash_worker,) * 2, faultinjection.lose_commands)
WITH_NEW_AGENTS = (*WITH_LATE_COMMANDS, faultinjection.restart_agent)


@pytest.mark.parametrize("faults", [WITH_LATE_COMMANDS, WITH_NEW_AGENTS])
# Seed 78: a start of the earlier agent process had a higher token than the new one.
@pytest.mark.parametrize("seed", [4, 7, 14, 58, 78])
def test_lives_of_workers_beside_late_commands_and_new_agents(seed, faults):
    """A start for the life before may be carried out late by the next one.

    An agent that has just started knows nothing of that start.
    """
    sim, injected = _simulate(seed, faults)
    assert list(invariants.violations(sim)) == [], injected
