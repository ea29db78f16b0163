"""Tests the choice of a worker, also in replays of load that several hosts share."""

import random

import attrs
import pytest

from burdockgate import assignments
from burdockgate.process import fleet, selection
from burdockgate.request import besteffort
from burdockgate.standin import invariants, layouts, simnodes, simulation

KINDS = (
    simnodes.JobKind("short", 8, 0.12, 2500, 31.0, 0, 0.00485, 0.4),
    simnodes.JobKind("long", 4, 1.8, 2500, 5.6, 2, 0.0267, 0.4),
    simnodes.JobKind("medium", 2, 0.4, 2500, 90.0, 1, 0.00167, 0.4),
)
STEP = besteffort.Step(8, 2500, 64, 0, 1.0)


def _view(agent, free_cpu, speed=1.0, is_near=True, zone="a"):
    view = fleet.WorkerView(agent, 1, zone, reported_at=1.0)
    view.info = assignments.WorkerInfo("w", 1, "svc", 32_000, 65_536, 0, ())
    view.load = assignments.LoadReport(
        1,
        0,
        assignments.WorkerState.READY,
        True,
        free_cpu,
        0,
        0,
        0,
        0,
        int(speed * 1000),
        is_near,
        0,
    )
    return view


def _choose(*views, step=STEP):
    choice = selection.Selection(
        selection.SelectionSettings(), "a", random.Random(1)
    ).choose_worker(besteffort.Task(assignments.TaskKey("job", 0, 0), step), views, 1.0)
    return choice and choice.agent


def test_worker_with_more_room_is_chosen_among_alike_ones():
    """The last place of the worker that looked fastest was taken by several hosts."""
    assert _choose(_view("w1", 2500, 1.1), _view("w2", 20_000, 1.0)) == "w2"
    assert _choose(_view("w1", 20_000, 1.0), _view("w2", 2500, 1.1)) == "w1"


def test_older_reports_are_trusted_less():
    """A distant worker reports every 0.4 s; its free places are taken meanwhile."""
    near, distant = _view("w1", 5000), _view("w2", 20_000, is_near=False)
    assert _choose(distant, near) == "w1"
    assert _choose(distant) == "w2"


def test_much_faster_worker_is_chosen_although_it_has_less_room():
    """A place that may be taken costs milliseconds, a slow run most of a second."""
    assert _choose(_view("w1", 30_000, 0.55), _view("w2", 2500, 1.2)) == "w2"


def test_free_slots_are_those_of_the_scarcest_resource():
    """A task that states no processors fits a worker that has none left."""
    view = _view("w1", 7400)
    assert view.free_slots(STEP) == 2
    assert view.free_slots(attrs.evolve(STEP, memory_mb=40_000)) == 1
    assert view.free_slots(attrs.evolve(STEP, gpu=1)) == 0
    assert _view("w1", 0).free_slots(attrs.evolve(STEP, cpu=0)) > 0


@pytest.mark.parametrize("speeds", [(1.0,), (0.55, 1.2, 1.2, 1.2)])
def test_few_runs_are_returned_in_calm(speeds):
    """Eight in ten cores used: hosts of uneven load chose the same free places.

    Each returned run costs two messages and delays its job by some 20 ms, so at most
    one in twenty may be returned. Before, it was one in eight.
    """
    layout = layouts.Layout(
        tuple("aabbc"),
        tuple("aaaaabbbbbbccccc"),
        {"a": 1.0, "b": 1.0, "c": 1.3},
        speeds,
        (32_000, 32_000, 48_000),
    )
    run_count = returned_count = 0
    for seed in (1, 2):
        sim = simulation.Simulation(seed, KINDS, layout=layout)
        sim.schedule_load(3, 5)
        sim.run(20)
        assert list(invariants.violations(sim)) == []
        assert min(sim.earned_share_by_kind().values()) > 0.94
        for _, _, event, fields in sim.events:
            if event == "task.assigned":
                run_count += len(fields["runs"])
            elif event == "task.ended" and fields["kind"] == "RETURNED":
                returned_count += 1
    assert returned_count < run_count / 20


def test_remote_data_factor_weighs_the_rack_of_the_data():
    """Where remote data costs less, a free worker elsewhere is worth its cost."""
    step = attrs.evolve(STEP, data_rack="r1")
    local, remote = _view("w1", 2500, 0.6), _view("w2", 2500, 1.0)
    local.info = attrs.evolve(local.info, labels=("r1",))
    assert _choose(local, remote, step=step) == "w2"
    settings = selection.SelectionSettings(remote_data_factor=3.0)
    choice = selection.Selection(settings, "a", random.Random(1)).choose_worker(
        besteffort.Task(assignments.TaskKey("job", 0, 0), step), (local, remote), 1.0
    )
    assert choice is local
