"""Tests that bad workers are ejected and good ones are not."""

import asyncio
import json
import pathlib
import shlex
import subprocess
import sys

import attrs
import pytest

import builders
import processes
import sessions
from burdockgate import clock, messages, settings
from burdockgate.process import detectors, health, metrics
from burdockgate.request import outcome
from burdockgate.standin import suspects

PAGE = pathlib.Path(__file__).parent.parent / "docs/operations/bad-worker.md"
DONE, FAILED = messages.TaskState.DONE, messages.TaskState.FAILED
RACK = ("agent-1", "agent-5", "agent-9")
HEALTHY, EJECTED, PROBATION = detectors.HealthState


class FaultySession(sessions.Session):
    """A session with faulty backend servers.

    :param fault_by_agent: "failing", "slow" or "silent" by the name of the agent.
    """

    def __init__(self, fault_by_agent, **options):
        self.fault_by_agent = fault_by_agent
        self._delayed = set()
        super().__init__(**options)

    def start(self, name):
        process = super().start(name)
        if name.startswith("agent"):
            finished = process.core.handle_task_end
            process.core.handle_task_end = lambda *arguments: finished(
                *arguments[:-1],
                500.0 if self.fault_by_agent.get(name) == "slow" else 50.0,
            )
        return process

    def _finish(self, process, key, state, payload):
        fault = self.fault_by_agent.get(process.name)
        if state is DONE and fault == "silent":
            return
        if state is DONE and fault == "slow" and key not in self._delayed:
            self._delayed.add(key)
            self.schedule(
                9 * json.loads(payload)["sleep_ms"] / 1000,
                lambda: self._finish(process, key, state, payload),
            )
            return
        is_failed = state is DONE and fault == "failing"
        super()._finish(process, key, FAILED if is_failed else state, payload)

    def load(self, seconds, prefix, tasks=4):
        """Submit a job every 50 ms, at each entry host in turn."""
        tickets = []
        for number in range(int(seconds / 0.05)):
            request = sessions.make_request(f"{prefix}{number}", [50] * tasks)
            tickets.append(self.submit(f"entry-{number % 2 + 1}", request))
            self.run(0.05)
        return tickets

    def changes(self):
        """Return a line for each change of state, by entry host."""
        return [
            f"{name} {each.worker} {each.state.value} {each.reason.value} "
            f"{each.seconds:g}"
            for name in ("entry-1", "entry-2")
            for each in self.core(name).health.changes
        ]

    def counts(self, name):
        return sum(
            self.core(f"entry-{number}").health._counters.snapshot()[name]
            for number in (1, 2)
        )


@pytest.mark.parametrize("fault", ["failing", "slow", "silent"])
def test_bad_worker_is_ejected_and_comes_back(fault, snapshot):
    """A bad worker is ejected, and used again in full once its fault is gone."""
    session = FaultySession({"agent-1": fault}, agents=6)
    session.load(25.0, "bad")
    assert session.changes() == snapshot
    session.fault_by_agent.clear()
    session.load(60.0, "good")
    session.run(40.0)
    assert session.changes() == snapshot
    for name in ("entry-1", "entry-2"):
        record = session.core(name).workers.worker_by_name["agent-1"].record
        assert (record.state, record.in_flight) == (HEALTHY, 0)
    sessions.assert_single_starts(session)


def test_bad_rack_is_ejected_within_the_cap(snapshot):
    """Three bad workers of eleven are below the cap, and no good one is ejected."""
    session = FaultySession(dict.fromkeys(RACK, "failing"), agents=11)
    session.load(8.0, "bad")
    assert session.changes() == snapshot
    assert session.counts("health.ejections") == 2 * len(RACK)
    sessions.assert_single_starts(session)


def test_cap_keeps_the_fleet_in_use():
    """When all workers are bad, at most the cap is ejected at once."""
    agents = [f"agent-{number + 1}" for number in range(10)]
    session = FaultySession(dict.fromkeys(agents, "failing"), agents=10)
    for number in range(15):
        session.load(1.0, f"bad{number}-", tasks=1)
        for name in ("entry-1", "entry-2"):
            workers = session.core(name).workers.worker_by_name.values()
            assert sum(each.record.state is EJECTED for each in workers) <= 3


def poisoned_request(key):
    request = sessions.make_request(key, [50] * 20)
    tasks = tuple(
        attrs.evolve(task, payload=task.payload.replace(b"{", b'{"fail":1,', 1))
        for task in request.tasks
    )
    return attrs.evolve(request, tasks=tasks)


def test_poisoned_job_ejects_nobody(snapshot):
    """A job that fails on every worker must not count against the workers.

    The job is submitted repeatedly under one key, whose attempts fail on different
    workers, and under new keys.
    """
    session = FaultySession({}, agents=6)
    for number in range(40):
        for key in ("poison", f"poison{number}"):
            ticket = session.submit(f"entry-{number % 2 + 1}", poisoned_request(key))
            assert isinstance(session.wait_answer(ticket), outcome.Failed)
        if number >= 20:
            session.load(0.2, f"good{number}-")
    assert session.changes() == []
    assert session.counts("health.excused") > 0
    assert session.trace_text().splitlines()[:40] == snapshot


@pytest.fixture
def monitor():
    counters = metrics.Metrics(settings.StatsdSettings())
    return health.HealthMonitor(
        settings.HealthSettings(), clock.ManualClock(), counters
    )


def report_outcome(monitor, record, job, state=DONE, run_ms=50.0, index=0):
    monitor.record_sent(record, "default", job, index)
    report = messages.TaskReport(index, 1, state, b"", run_ms)
    monitor.record_results(messages.Results(job, 1, 1, record.boot, 0, 0, (report,)))


def eject(monitor, record):
    for number in range(4):
        report_outcome(monitor, record, b"bad%d" % number, FAILED)
    assert record.state is EJECTED


def join(monitor, name, boot=1):
    return monitor.join(builders.hello(name, boot))


def test_tasks_of_one_job_count_once(monitor):
    """One job with many failed or slow tasks must not eject its worker."""
    first = join(monitor, "a1")
    join(monitor, "a2")
    for index in range(50):
        report_outcome(monitor, first, b"usual%d" % index)
    for index in range(50):
        report_outcome(monitor, first, b"long", run_ms=60_000.0, index=index)
        report_outcome(monitor, first, b"bad", FAILED, index=index)
    assert first.state is HEALTHY


@pytest.mark.parametrize(
    ("own_failures", "reported", "state"),
    [(1, (4, 0, 0), EJECTED), (0, (4, 0, 0), HEALTHY), (1, (4, 4, 4), HEALTHY)],
)
def test_failures_that_agents_report(own_failures, reported, state, monitor):
    """Reported failures count only beside a local one and while few workers fail."""
    records = [join(monitor, f"a{number}") for number in range(3)]
    for _ in range(3):
        for record, count in zip(records[1:], reported[1:], strict=True):
            monitor.record_reported_failures(record, count)
    report_outcome(monitor, records[0], b"job", FAILED if own_failures else DONE)
    monitor.record_reported_failures(records[0], reported[0])
    assert records[0].state is state


def test_failures_before_an_ejection_count_once(monitor):
    """Failures from before an ejection must not eject a worker on probation again.

    The agent still reports them, because no task has succeeded since.
    """
    first = join(monitor, "a1")
    join(monitor, "a2")
    eject(monitor, first)
    monitor._time.advance(10)
    monitor.tick()
    assert first.state is PROBATION
    monitor.record_sent(first, "default", b"trial", 0)
    monitor.record_reported_failures(first, 9)
    assert first.state is PROBATION
    report_outcome(monitor, first, b"trial", FAILED)
    assert first.state is EJECTED


def test_agent_reports_failed_jobs_in_a_row():
    """Each entry host must learn of failures in jobs of other entry hosts."""
    session = FaultySession({"agent-1": "failing"}, agents=3)
    reported_by_link = {}

    def read(sender, to, message, delays):
        if isinstance(message, messages.Load):
            reported_by_link.setdefault((sender, to), []).append(
                message.consecutive_failed_jobs
            )
        return delays

    session.filters.append(read)
    for number in range(5):
        request = sessions.make_request(f"k{number}", [50] * 6)
        session.wait_answer(session.submit("entry-1", request))
    session.run(1.0)
    assert max(reported_by_link["agent-1", "entry-2"]) >= 2
    assert not any(reported_by_link.get(("agent-2", "entry-2"), ()))


def test_only_worker_is_kept(monitor):
    """The only worker of a service is not ejected, because that would stop it."""
    record = join(monitor, "a1")
    for number in range(20):
        report_outcome(monitor, record, b"%d" % number, FAILED)
    assert record.state is HEALTHY
    assert monitor.is_suspect(record)


def test_ejection_outlives_a_session_but_not_the_process(monitor):
    """A reconnect must not end an ejection; a restart of the agent does."""
    record = join(monitor, "a1")
    join(monitor, "a2")
    eject(monitor, record)
    monitor.leave("a1")
    assert join(monitor, "a1") is record
    assert record.allowance == 0
    assert join(monitor, "a1", boot=2).allowance == detectors.UNLIMITED


def test_late_results_of_a_lost_session_eject_nobody(monitor):
    """Results for a dropped record must not change the worker's new record."""
    old = join(monitor, "a1")
    join(monitor, "a2")
    for number in range(6):
        monitor.record_sent(old, "default", b"%d" % number, 0)
    assert join(monitor, "a1") is not old
    for number in range(6):
        report = messages.TaskReport(0, 1, FAILED, b"", 1.0)
        monitor.record_results(
            messages.Results(b"%d" % number, 1, 1, 1, 0, 0, (report,))
        )
    assert not monitor.changes


def test_probation_is_one_task_at_a_time_and_ejections_grow(monitor):
    """A worker that stays bad fails one job per probation, at growing intervals."""
    record = join(monitor, "a1")
    join(monitor, "a2")
    eject(monitor, record)
    for number, seconds in enumerate((10, 20, 40, 80, 160, 300, 300)):
        monitor._time.advance(seconds - 0.5)
        monitor.tick()
        assert record.allowance == 0
        monitor._time.advance(0.5)
        monitor.tick()
        assert (record.state, record.allowance) == (PROBATION, 1)
        monitor.record_sent(record, "default", b"still%d" % number, 0)
        assert record.allowance == 0
        report_outcome(monitor, record, b"still%d" % number, FAILED)
        assert record.state is EJECTED
    lengths = [change.seconds for change in monitor.changes if change.seconds]
    assert lengths == [10, 20, 40, 80, 160, 300, 300, 300]


def test_state_is_bounded(monitor):
    """Callers choose the names of classes and jobs, so all state is bounded."""
    record = join(monitor, "a1")
    for number in range(2 * health.MAX_FAILED_JOBS):
        monitor.record_sent(record, f"class{number}", b"%d" % number, 0)
        report = messages.TaskReport(0, 1, FAILED, b"", 1.0)
        monitor.record_results(
            messages.Results(b"%d" % number, 1, 1, 1, 0, 0, (report,))
        )
    assert len(monitor._stats_by_key) <= health.MAX_CLASSES + 1
    assert len(monitor._failed_by_job) == health.MAX_FAILED_JOBS
    assert monitor._sent_by_task == {}


def test_size_for_each_of_10000_workers():
    """The record of a worker takes at most 400 bytes in a fleet of 10,000 workers."""
    size, _ = suspects.measure_cost(10_000, outcomes=1000)
    assert size <= 400


@pytest.mark.parametrize("name", suspects.DETECTOR_BY_NAME)
def test_bench_tells_bad_workers_from_good_ones(name):
    """The benchmark must find every bad worker and eject no good one."""
    figures = suspects.Bench(suspects.Case("rack", name, entries=1)).run()
    assert len(figures.detection_delays_s) == len(RACK)
    assert figures.good_ejected == 0
    assert figures.max_ejected == len(RACK)


async def test_commands_of_the_page(shared_system):
    """The commands on the operator's page run and show what the page says."""
    shared_system.start()
    shared_system.servers[0].set_faults(fail_all=True)
    for number in range(100):
        await shared_system.post(0, f"bad-{number}", [1] * 3)
        if shared_system.worker(0, "agent-1")["health"] == "ejected":
            break
    lines = [line for line in PAGE.read_text().splitlines() if line.startswith("    ")]
    assert len(lines) == 3
    shown = []
    for line in lines:
        _, *arguments = shlex.split(line)
        arguments[-1] = shared_system.urls[0]
        command = [sys.executable, "-m", "burdockgate", *arguments]
        done = await asyncio.to_thread(
            subprocess.run, command, capture_output=True, text=True, timeout=20
        )
        assert (done.returncode, done.stderr) == (0, "")
        shown.append(done.stdout)
    (row,) = [line for line in shown[0].splitlines() if "agent-1 " in line]
    assert "ejected" in row and "failing" in row
    (entry,) = [each for each in shared_system.entries if each.name == "entry-1"]
    processes.wait_for(lambda: "worker ejected" in entry.stderr, "log line")
    assert entry.stderr.count("worker ejected") == 1
