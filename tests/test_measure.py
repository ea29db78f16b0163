"""Tests of the load tool: reproducible plans, correct figures and exit statuses."""

import json
import math
import xml.etree.ElementTree as ET

import attrs
import pytest

from burdockgate.cli import main
from burdockgate.standin import (
    arrivals,
    checker,
    figures,
    measurement,
    report,
    rollout,
    scenarios,
    targets,
    trace,
)
from burdockgate.standin import startrate as bench

SMALL = targets.Size(entries=2, agents=4, slots=2)
REQUEST = measurement.Request("steady", seconds=0.3, as_json=True, size=SMALL)
FIELDS = {"scenario", "seed", "jobs", "tasks", "complete", "failed", "refused"}
FIELDS |= {"violations", "response_over_ideal", "messages_per_task", "cpu_share"}
FIELDS |= {"wasted_messages_per_task", "short_wait_ms", "slots_busy", "share_error"}
FIELDS |= {"recovery_s", "starts_per_s", "rss_mb", "bytes_per_s"}


def plan(name="steady", seed=1, seconds=20.0):
    scenario = scenarios.SCENARIO_BY_NAME[name]
    shape = scenario.shape(8, 3, seconds)
    return scenario.plan(shape, seconds, seed)


@pytest.fixture(autouse=True)
def short_tasks(monkeypatch):
    """Keep tasks of several seconds out of the runs of these tests."""
    monkeypatch.setattr(arrivals, "LONG_TASK_MIN_MS", 50.0)
    monkeypatch.setattr(arrivals, "LONG_TASK_MAX_MS", 100.0)
    monkeypatch.setattr(arrivals, "RUN_TIME_MAX_MS", 100.0)


@pytest.mark.parametrize("name", scenarios.SCENARIO_BY_NAME)
def test_same_seed_gives_same_plan(name):
    """A comparison of two policies is valid only with the same arrivals."""
    assert plan(name) == plan(name)
    assert plan(name) != plan(name, seed=2)
    assert [job.at for job in plan(name)] == sorted(job.at for job in plan(name))


def test_offered_work_matches_the_load():
    """A wrong mean run time would shift the load of every measurement."""
    work_s = sum(job.work_ms for job in plan(seconds=2000.0)) / 1000
    assert work_s / (2000.0 * 8) == pytest.approx(0.7, rel=0.03)


def test_stragglers_do_their_share_of_the_work():
    """A wrong share would invalidate the comparison with a run without stragglers."""
    share = arrivals.straggler_probability(0.1)
    work = share * arrivals.STRAGGLER_FACTOR
    assert work / (work + 1 - share) == pytest.approx(0.1)


def test_steady_run_reports_all_fields(capsys):
    """A run without faults must complete every job and report every field."""
    assert measurement.run(REQUEST) == 0
    summary = json.loads(capsys.readouterr().out)
    assert summary.keys() >= FIELDS
    assert summary["complete"] == summary["jobs"] > 0
    assert summary["violations"] == summary["failed"] == summary["refused"] == 0
    assert summary["response_over_ideal"].keys() == {"p50", "p99"}
    # These do not apply to a system in one process or to a run without a peak.
    assert [summary[name] for name in ("rss_mb", "recovery_s", "share_error")] == [
        None
    ] * 3


def test_planted_violation_is_reported(monkeypatch, capsys, tmp_path):
    """A task that starts twice must be in the figures, report and exit status."""
    original = figures.started_events

    def repeat_first(starts):
        events = list(original(starts))
        return [*events, events[0]]

    monkeypatch.setattr(figures, "started_events", repeat_first)
    path = tmp_path / "report.html"
    assert measurement.run(attrs.evolve(REQUEST, report=str(path))) == 1
    summary = json.loads(capsys.readouterr().out)
    assert summary["violations"] == 1
    assert summary["violation_details"][0].startswith("TASK_STARTED_ONCE")
    assert "TASK_STARTED_ONCE" in path.read_text()


def test_failed_jobs_fail_a_run_that_expects_none(monkeypatch, capsys):
    """Failed jobs in a scenario that expects none must set the exit status."""
    bad = scenarios.SCENARIO_BY_NAME["bad-worker"]
    strict = attrs.evolve(bad, expects_failures=False)
    monkeypatch.setitem(scenarios.SCENARIO_BY_NAME, "bad-worker", strict)
    assert measurement.run(attrs.evolve(REQUEST, scenario="bad-worker")) == 1
    summary = json.loads(capsys.readouterr().out)
    assert summary["failed"] > 0
    assert summary["violations"] == 0


def test_run_with_processes_counts_what_they_report(capsys):
    """The figures must be those of the started processes, not of the load tool."""
    size = targets.Size(entries=1, agents=3, slots=2)
    request = attrs.evolve(REQUEST, size=size, has_processes=True)
    assert measurement.run(request) == 0
    summary = json.loads(capsys.readouterr().out)
    assert summary["complete"] == summary["jobs"] > 0
    assert summary["violations"] == 0
    assert 1 < summary["messages_per_task"] < 100
    assert 20 < summary["rss_mb"] < 200
    assert summary["bytes_per_s"] > 0 < summary["cpu_share"]


def test_versus_runs_both_policies(capsys):
    """The second run must use the other policy and the same arrivals."""
    assert measurement.run(attrs.evolve(REQUEST, versus="least-loaded")) == 0
    first, second = map(json.loads, capsys.readouterr().out.splitlines())
    assert (first["policy"], second["policy"]) == ("two-choices", "least-loaded")
    assert first["tasks"] == second["tasks"]


def test_bench_completes_the_jobs_whose_starts_it_counts():
    """Starts of jobs that never end must not raise the start rate."""
    run = bench.Bench(agents=4, tasks=5, seed=1)
    assert run.run(200) > 0
    assert run.started >= 200
    assert run.complete >= 20


@pytest.mark.parametrize(("name", "processes"), [("rollout", False), ("drain", True)])
def test_time_limits_are_measured(name, processes, capsys):
    """The figures must show how close the system is to its time limits."""
    request = attrs.evolve(REQUEST, scenario=name, seconds=1.2, has_processes=processes)
    assert measurement.run(request) == 0
    summary = json.loads(capsys.readouterr().out)
    assert summary["violations"] == summary["unanswered"] == 0
    if name == "drain":
        assert summary["last_new_task_s"] >= 0
    else:
        plain, delayed = summary["in_force_s"], summary["in_force_after_outage_s"]
        assert [(each or {}).get("changes", 0) for each in (plain, delayed)] == [2, 0]


def test_late_version_is_a_violation_and_counts_from_the_end_of_an_outage():
    """A change that a node never applies must be in the figures and a violation."""
    table_rollout = rollout.Rollout((), "")
    for at, version in ((1.0, 1), (9.0, 3)):
        workers = [{"name": "a", "table_version": version}]
        status = {"name": "e", "table_version": version, "workers": workers}
        table_rollout.record_status(status, at)
    table_rollout.outage_ended_at = 5.0
    for requested_at, version in ((0.5, 1), (4.0, 2), (8.5, 3), (9.5, 4)):
        table_rollout.record_change(requested_at, version)
    assert [table_rollout.delays(False), table_rollout.delays(True)] == [
        [0.5, 0.5, math.inf],
        [4.0],
    ]
    later = trace.Left(20.0, "other")
    settings = checker.Settings(table_rollout.nodes)
    violations = checker.check([*table_rollout.events, later], settings)
    assert {each.invariant for each in violations} == {
        checker.Invariant.VERSION_IN_FORCE
    }
    assert len(violations) == len(table_rollout.nodes) == 2


@pytest.mark.parametrize(
    ("arguments", "line"),
    [
        (["--scenario", "death"], "--scenario: 'death' needs --processes"),
        (["--processes", "--policy", "least-loaded"], "not possible with --processes"),
        (["--scenario", "x"], "--scenario: 'x', allowed are steady, "),
        (["--versus", "x"], "--versus: 'x', allowed are two-choices, least-loaded"),
        (
            ["--connect", "http://127.0.0.1:1", "--scenario", "outage"],
            "--connect: not possible with the scenario 'outage'",
        ),
        (
            ["--connect", "http://127.0.0.1:1", "--processes"],
            "--processes: not possible with --connect",
        ),
        (
            ["--policy", "two-choices", "--processes"],
            "--policy: not possible with --processes",
        ),
    ],
)
def test_invalid_options_are_named(arguments, line, capsys):
    """An invalid option must give one line before anything is started."""
    assert main.main(["measure", *arguments]) == 2
    assert line in capsys.readouterr().err


def test_list_names_every_scenario(capsys):
    """Operators look up the names of the scenarios in this list."""
    assert main.main(["measure", "--list"]) == 0
    names = {line.split()[0] for line in capsys.readouterr().out.splitlines()}
    assert names == {*scenarios.SCENARIO_BY_NAME, "starts"}


def test_unreachable_host_is_a_failure(capsys):
    """A run against an unreachable host must fail, not report zero jobs."""
    assert main.main(["measure", "--connect", "http://127.0.0.1:1"]) == 1
    assert "127.0.0.1:1" in capsys.readouterr().err


def test_plot_is_well_formed_and_escapes_names():
    """Names of callers' classes must be escaped in the page."""
    points = [(0.0, 1.0), (1.0, float("inf")), (2.0, 3.0)]
    text = report.render_plot("a < b", [report.Series("x & y", points, is_line=True)])
    ET.fromstring(f"<body>{text}</body>")
    assert "inf" not in text
