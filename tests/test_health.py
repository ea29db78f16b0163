"""Guards the ejection of bad workers, and that good ones are not ejected."""

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
    """A session in which some backend servers are bad, by the name of their agent."""

    def __init__(self, fault_by_agent, **options):
        self.fault_by_agent = fault_by_agent
        self._delayed = set()
        super().__init__(**options)

    def start(self, name):
        process = super().start(name)
        if name.startswith("agent"):
            finished = process.core.handle_task_end
            process.core.handle_task_end = lambda *told: finished(
                *told[:-1], 500.0 if self.fault_by_agent.get(name) == "slow" else 50.0
            )
        return process

    def _finish(self, process, key, state, payload):
        fault = self.fault_by_agent.get(process.name)
        if state is DONE and fault == "silent":
            return
        if state is DONE and fault == "slow" and key not in self._delayed:
            self._delayed.add(key)
            self._later(
                9 * json.loads(payload)["sleep_ms"] / 1000,
                lambda: self._finish(process, key, state, payload),
            )
            return
        is_failed = state is DONE and fault == "failing"
        super()._finish(process, key, FAILED if is_failed else state, payload)

    def load(self, seconds, prefix, tasks=4):
        """Submit a job every 50 ms at the entry hosts in turn."""
        tickets = []
        for number in range(int(seconds / 0.05)):
            made = sessions.make_request(f"{prefix}{number}", [50] * tasks)
            tickets.append(self.submit(f"entry-{number % 2 + 1}", made))
            self.run(0.05)
        return tickets

    def changes(self):
        """Return one line for each change of state at each entry host."""
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
    """A bad worker gets no task while ejected, and all its slots once it is mended."""
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
    """Three bad workers of eleven fit into the cap, and no good one is ejected."""
    session = FaultySession(dict.fromkeys(RACK, "failing"), agents=11)
    session.load(8.0, "bad")
    assert session.changes() == snapshot
    assert session.counts("health.ejections") == 2 * len(RACK)
    sessions.assert_single_starts(session)


def test_cap_keeps_the_fleet_in_use():
    """When all workers are bad, no more than the cap may be ejected at once."""
    agents = [f"agent-{number + 1}" for number in range(10)]
    session = FaultySession(dict.fromkeys(agents, "failing"), agents=10)
    for number in range(15):
        session.load(1.0, f"bad{number}-", tasks=1)
        for name in ("entry-1", "entry-2"):
            workers = session.core(name).workers.worker_by_name.values()
            assert sum(each.record.state is EJECTED for each in workers) <= 3


def poisoned(key):
    made = sessions.make_request(key, [50] * 20)
    tasks = tuple(
        attrs.evolve(task, payload=task.payload.replace(b"{", b'{"fail":1,', 1))
        for task in made.tasks
    )
    return attrs.evolve(made, tasks=tasks)


def test_poisoned_job_ejects_nobody(snapshot):
    """A job that fails everywhere is not the workers' fault, however often it comes.

    It comes under one key, whose attempts fail on other workers, and under new ones.
    """
    session = FaultySession({}, agents=6)
    for number in range(40):
        for key in ("poison", f"poison{number}"):
            ticket = session.submit(f"entry-{number % 2 + 1}", poisoned(key))
            assert isinstance(session.answer(ticket), outcome.Failed)
        if number >= 20:
            session.load(0.2, f"good{number}-")
    assert session.changes() == []
    assert session.counts("health.excused") > 0
    assert session.text().splitlines()[:40] == snapshot


@pytest.fixture
def judge():
    counters = metrics.Metrics(settings.StatsdSettings())
    return health.HealthMonitor(
        settings.HealthSettings(), clock.ManualClock(), counters
    )


def end(judge, record, job, state=DONE, run_ms=50.0, index=0):
    judge.record_sent(record, "default", job, index)
    report = messages.TaskReport(index, 1, state, b"", run_ms)
    judge.record_results(messages.Results(job, 1, 1, record.boot, 0, 0, (report,)))


def eject(judge, record):
    for number in range(4):
        end(judge, record, b"bad%d" % number, FAILED)
    assert record.state is EJECTED


def join(judge, name, boot=1):
    return judge.join(builders.hello(name, boot))


def test_tasks_of_one_job_count_once(judge):
    """One job with many failed or long tasks says little about its worker."""
    first = join(judge, "a1")
    join(judge, "a2")
    for index in range(50):
        end(judge, first, b"usual%d" % index)
    for index in range(50):
        end(judge, first, b"long", run_ms=60_000.0, index=index)
        end(judge, first, b"bad", FAILED, index=index)
    assert first.state is HEALTHY


@pytest.mark.parametrize(
    ("own", "rows", "state"),
    [(1, (4, 0, 0), EJECTED), (0, (4, 0, 0), HEALTHY), (1, (4, 4, 4), HEALTHY)],
)
def test_failures_that_agents_tell(own, rows, state, judge):
    """They hasten an ejection, but not alone, nor when most workers tell of them."""
    records = [join(judge, f"a{number}") for number in range(3)]
    for _ in range(3):
        for record, row in zip(records[1:], rows[1:], strict=True):
            judge.record_reported_failures(record, row)
    end(judge, records[0], b"job", FAILED if own else DONE)
    judge.record_reported_failures(records[0], rows[0])
    assert records[0].state is state


def test_failures_before_an_ejection_count_once(judge):
    """A row that an agent still tells on probation must not eject its worker again."""
    first = join(judge, "a1")
    join(judge, "a2")
    eject(judge, first)
    judge._time.advance(10)
    judge.tick()
    assert first.state is PROBATION
    judge.record_sent(first, "default", b"trial", 0)
    judge.record_reported_failures(first, 9)
    assert first.state is PROBATION
    end(judge, first, b"trial", FAILED)
    assert first.state is EJECTED


def test_agent_tells_failed_jobs_in_a_row():
    """Each entry host must learn of failures that only others saw."""
    session = FaultySession({"agent-1": "failing"}, agents=3)
    told = {}

    def read(sender, to, message, delays):
        if isinstance(message, messages.Load):
            told.setdefault((sender, to), []).append(message.failed_row)
        return delays

    session.filters.append(read)
    for number in range(5):
        made = sessions.make_request(f"k{number}", [50] * 6)
        session.answer(session.submit("entry-1", made))
    session.run(1.0)
    assert max(told["agent-1", "entry-2"]) >= 2
    assert not any(told.get(("agent-2", "entry-2"), ()))


def test_only_worker_is_kept(judge):
    """Without another worker an ejection would stop the service."""
    record = join(judge, "a1")
    for number in range(20):
        end(judge, record, b"%d" % number, FAILED)
    assert record.state is HEALTHY
    assert judge.is_suspect(record)


def test_ejection_outlives_a_session_but_not_the_process(judge):
    """A bad worker must not come back by dialling again; a new process starts anew."""
    record = join(judge, "a1")
    join(judge, "a2")
    eject(judge, record)
    judge.leave("a1")
    assert join(judge, "a1") is record
    assert record.allowance == 0
    assert join(judge, "a1", boot=2).allowance == detectors.UNLIMITED


def test_late_results_of_a_lost_session_eject_nobody(judge):
    """The record of a lost session must not come between the worker and its new one."""
    old = join(judge, "a1")
    join(judge, "a2")
    for number in range(6):
        judge.record_sent(old, "default", b"%d" % number, 0)
    assert join(judge, "a1") is not old
    for number in range(6):
        report = messages.TaskReport(0, 1, FAILED, b"", 1.0)
        judge.record_results(messages.Results(b"%d" % number, 1, 1, 1, 0, 0, (report,)))
    assert not judge.changes


def test_probation_is_one_task_at_a_time_and_ejections_grow(judge):
    """A worker that is still bad must cost one job for each probation, ever rarer."""
    record = join(judge, "a1")
    join(judge, "a2")
    eject(judge, record)
    for number, seconds in enumerate((10, 20, 40, 80, 160, 300, 300)):
        judge._time.advance(seconds - 0.5)
        judge.tick()
        assert record.allowance == 0
        judge._time.advance(0.5)
        judge.tick()
        assert (record.state, record.allowance) == (PROBATION, 1)
        judge.record_sent(record, "default", b"still%d" % number, 0)
        assert record.allowance == 0
        end(judge, record, b"still%d" % number, FAILED)
        assert record.state is EJECTED
    lengths = [change.seconds for change in judge.changes if change.seconds]
    assert lengths == [10, 20, 40, 80, 160, 300, 300, 300]


def test_state_is_bounded(judge):
    """Names of classes and jobs come from callers and must not fill the memory."""
    record = join(judge, "a1")
    for number in range(2 * health.FAILED_JOBS):
        judge.record_sent(record, f"class{number}", b"%d" % number, 0)
        report = messages.TaskReport(0, 1, FAILED, b"", 1.0)
        judge.record_results(messages.Results(b"%d" % number, 1, 1, 1, 0, 0, (report,)))
    assert len(judge._group_by_key) <= health.GROUPS + 1
    assert len(judge._failed_by_job) == health.FAILED_JOBS
    assert judge._sent_by_task == {}


def test_size_for_each_of_10000_workers():
    """The records of the largest fleet must fit beside everything else."""
    size, _ = suspects.cost(10_000, outcomes=1000)
    assert size <= 400


@pytest.mark.parametrize("name", suspects.DETECTOR_BY_NAME)
def test_bench_tells_bad_workers_from_good_ones(name):
    """A bench that finds nothing, or judges good workers, would void its figures."""
    figures = suspects.Bench(suspects.Case("rack", name, entries=1)).run()
    assert len(figures.found_s) == len(RACK)
    assert figures.good_ejected == 0
    assert figures.most_out == len(RACK)


async def test_commands_of_the_page(shared):
    """The operator's page must name commands that run, and values that they show."""
    shared.start()
    shared.servers[0].set_faults(fail_all=True)
    for number in range(100):
        await shared.post(0, f"bad-{number}", [1] * 3)
        if shared.worker(0, "agent-1")["health"] == "ejected":
            break
    lines = [line for line in PAGE.read_text().splitlines() if line.startswith("    ")]
    assert len(lines) == 3
    shown = []
    for line in lines:
        _, *arguments = shlex.split(line)
        arguments[-1] = shared.urls[0]
        command = [sys.executable, "-m", "burdockgate", *arguments]
        done = await asyncio.to_thread(
            subprocess.run, command, capture_output=True, text=True, timeout=20
        )
        assert (done.returncode, done.stderr) == (0, "")
        shown.append(done.stdout)
    (row,) = [line for line in shown[0].splitlines() if "agent-1 " in line]
    assert "ejected" in row and "failing" in row
    (entry,) = [each for each in shared.entries if each.name == "entry-1"]
    processes.wait_for(lambda: "worker ejected" in entry.stderr, "log line")
    assert entry.stderr.count("worker ejected") == 1
