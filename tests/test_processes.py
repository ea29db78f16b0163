"""The guarantees of the system when its real processes stop, pause or die."""

import asyncio
import contextlib
import itertools
import json
import operator
import signal
import subprocess
import sys
import typing

import pytest

import processes
from burdockgate import client
from burdockgate.process import editor
from burdockgate.request import job

LOAD_JOBS = 20
LIMIT_MS = 1000 * processes.LIMIT_S


@pytest.fixture
def system(shared_system):
    """Yield a ready system, and check all guarantees after the test."""
    shared_system.start()
    yield shared_system
    statuses = {p.name: p.unexpected_exit_status for p in shared_system.processes}
    assert {name: code for name, code in statuses.items() if code is not None} == {}
    assert shared_system.violations() == []
    assert [p.name for p in shared_system.processes if "Traceback" in p.stderr] == []


def _run_command(*arguments, **options):
    command = [sys.executable, "-m", "burdockgate", *arguments]
    return subprocess.run(command, capture_output=True, timeout=20, **options)


def _assert_complete(answers, attempt=1):
    found = [(answer.outcome, answer.attempt) for answer in answers]
    assert found == [("complete", attempt)] * len(answers)


@contextlib.asynccontextmanager
async def _run_load(system, name, run_times_ms, is_lossy=False):
    """Submit jobs from several clients, one at a time each, and check the answers.

    :param is_lossy: the fault may lose tasks, which ends an attempt; the client then
        submits the next one.
    """
    ended = asyncio.Event()
    answers = []

    async def submit_jobs(number):
        async with client.Client(system.urls) as caller:
            for count in itertools.count():
                if ended.is_set():
                    return
                key = f"{name}-{number}-{count}"
                answers.append(await system.submit_with(caller, key, run_times_ms))

    async with asyncio.TaskGroup() as group:
        for number in range(LOAD_JOBS):
            group.create_task(submit_jobs(number))
        try:
            yield answers
        finally:
            ended.set()
    first = [each for each in answers if not is_lossy or each.attempt == 1]
    _assert_complete(first)
    assert {answer.outcome for answer in answers} == {"complete"}
    once = {job.job_id(processes.GUEST, answer.key) for answer in first}
    started = [start for start in system.starts() if start.job in once]
    assert len(started) == len(run_times_ms) * len(first)


async def test_job_echoes_its_own_payloads(system):
    """Guards against lost, repeated or swapped tasks and results."""
    run_times_ms = [1 + index % 7 for index in range(100)]
    answers = await asyncio.gather(
        *(system.submit(f"echo-{index}", run_times_ms) for index in range(4))
    )
    _assert_complete(answers)
    for answer in answers:
        marks = [(each["task"], each["echo"]["mark"]) for each in answer.results]
        assert marks == [(index, index) for index in range(100)]
    assert len(system.starts("echo-0")) == 100


def test_commands_of_callers_and_operators(system, tmp_path):
    """The commands print the answers of the entry hosts."""
    path = tmp_path / "job.json"
    path.write_text(json.dumps(processes.make_body([1, 1])))
    urls = [part for url in system.urls for part in ("--entry", url)]
    done = _run_command("submit", str(path), "--key", "command", "--json", *urls)
    assert (done.returncode, done.stderr) == (0, b"")
    answer = json.loads(done.stdout)
    assert (answer["outcome"], answer["key"], answer["attempt"]) == (
        "complete",
        "command",
        1,
    )
    assert [each["echo"]["mark"] for each in answer["results"]] == [0, 1]
    assert answer["entry"] in system.urls
    done = _run_command("status", "--json", *urls)
    assert (done.returncode, done.stderr) == (0, b"")
    statuses = [each["status"] for each in json.loads(done.stdout)["entries"]]
    assert [status["name"] for status in statuses] == ["entry-1", "entry-2"]


async def test_fetch_at_either_entry_host(system):
    """Guards against "pending" from an entry host that does not own the job."""
    answer = await system.post(0, "fetched", [1, 1])
    for url in system.urls:
        async with client.Client([url]) as caller:
            kept = await caller.fetch(processes.GUEST, "fetched")
            unknown = await caller.fetch(processes.GUEST, "never-submitted")
        assert (kept.name, list(kept.results)) == ("COMPLETE", answer["results"])
        assert unknown.name == "NOT_FOUND"


async def test_owner_killed(system):
    """Guards against a takeover that starts a task again or loses a result."""
    first = asyncio.create_task(system.post(0, "killed", [1000] * 40))
    await system.wait_for_starts("killed", count=12)
    system.entries[0].end(signal.SIGKILL)
    await asyncio.wait({first})
    assert first.exception() is not None
    answer = await system.post(1, "killed", [1000] * 40)
    assert (answer["outcome"], answer["attempt"]) == ("complete", 1)
    assert len(answer["results"]) == len(system.starts("killed")) == 40


async def test_agent_killed(system):
    """Only jobs with a task that may have run may fail, and they must not run again."""
    keys = [f"lost-{index}" for index in range(12)]
    # The tasks of this agent must not end before the kill.
    system.servers[0].set_faults(hang_all=True)
    answers = [asyncio.create_task(system.post(0, key, [500])) for key in keys]
    starts = [start for (start,) in await system.wait_for_starts(*keys)]
    system.agents[0].end(signal.SIGKILL)
    system.servers[0].set_faults()
    for start, waiting in zip(starts, answers, strict=True):
        answer = await waiting
        worker_lost = ("WORKER_LOST", "may have run")
        expected = worker_lost if start.server == "server-1" else ("COMPLETE", "ran")
        assert (answer["name"], answer["start"]) == expected
    assert "server-1" in {start.server for start in starts}
    before = len(system.servers[0].read_starts())
    await asyncio.to_thread(system.start)
    _assert_complete([await system.submit("lost-after", [100] * 24)])
    assert len(system.servers[0].read_starts()) > before


async def test_entry_host_stops_under_load(system):
    """Guards against a planned stop of an entry host that interrupts a request."""
    own = [
        asyncio.create_task(system.submit(f"own-{index}", [300] * 4, system.urls[:1]))
        for index in range(LOAD_JOBS)
    ]
    await processes.wait_until(
        lambda: system.status(0)["jobs_in_progress"] == LOAD_JOBS, "jobs in progress"
    )
    system.entries[0].send(signal.SIGTERM)
    others = [system.submit(f"other-{index}", [10] * 4) for index in range(LOAD_JOBS)]
    _assert_complete(await asyncio.gather(*own, *others))
    assert await asyncio.to_thread(system.entries[0].wait) == 0


async def test_agent_stops_under_load(system):
    """A planned stop of an agent finishes its tasks and fails no job."""
    # An ejected worker would get no task of the load.
    await asyncio.to_thread(_replace_unhealthy_agents, system)
    # The status shows running tasks only from the next heartbeat on, when they may have
    # ended. The record of starts at the backend server stays.
    before = len(system.servers[0].read_starts())
    jobs = [
        asyncio.create_task(system.submit(f"drain-{index}", [300] * 12))
        for index in range(LOAD_JOBS)
    ]
    await processes.wait_until(
        lambda: len(system.servers[0].read_starts()) > before, "tasks at the agent"
    )
    assert await asyncio.to_thread(system.agents[0].end, signal.SIGTERM) == 0
    _assert_complete(await asyncio.gather(*jobs))


async def test_owner_paused(system):
    """Guards against a paused owner that starts or answers alone after a takeover."""
    first = asyncio.create_task(system.post(0, "paused", [500] * 60))
    await system.wait_for_starts("paused", count=12)
    system.entries[0].send(signal.SIGSTOP)
    try:
        second = await system.post(1, "paused", [500] * 60)
    finally:
        system.entries[0].send(signal.SIGCONT)
    answers = [await first, second]
    assert [(a["outcome"], a["attempt"]) for a in answers] == [("complete", 1)] * 2
    assert answers[0]["results"] == answers[1]["results"]
    assert len(system.starts("paused")) == 60


async def test_repeated_member_record_changes_nothing(system):
    """Two entry hosts may append the same change; the view must stay the same."""
    system.repeat_last_member()
    await asyncio.to_thread(system.wait_ready)
    _assert_complete([await system.submit("repeated", [20] * 12)])


async def test_backend_server_killed(system):
    """An agent offers no slots while its backend server is down, and then again."""
    # An ejected worker would get no tasks of the last job.
    await asyncio.to_thread(_replace_unhealthy_agents, system)
    waiting = asyncio.create_task(system.post(0, "cut", [LIMIT_MS]))
    ((start,),) = await system.wait_for_starts("cut")
    index = int(start.server.removeprefix("server-")) - 1
    agent = f"agent-{index + 1}"
    system.servers[index].end(signal.SIGKILL)
    answer = await waiting
    assert (answer["name"], answer["start"]) == ("REQUEST_CUT", "may have run")
    _assert_complete([await system.submit("without", [20] * 48)])
    await processes.wait_until(
        lambda: system.worker(0, agent).get("free") == 0, "no free slots"
    )
    before = len(system.servers[index].read_starts())
    await asyncio.to_thread(system.start)
    _assert_complete([await system.submit("with", [100] * 24)])
    assert len(system.servers[index].read_starts()) > before


async def test_every_process_is_replaced_under_load(system):
    """Guards against jobs lost or run twice in a rolling update."""

    def replace_entry(index):
        assert system.entries[index].end(signal.SIGTERM) == 0
        system.entries[index].start()
        processes.wait_for(lambda: _is_joined(system), "all nodes joined")

    def replace_worker(index):
        server = system.servers[index]
        _replace_agent(
            system, index, lambda: (server.end(signal.SIGTERM), server.start())
        )

    async with _run_load(system, "rolling", [20] * 4) as answers:
        for index in range(3):
            await asyncio.to_thread(replace_worker, index)
        for index in range(2):
            await asyncio.to_thread(replace_entry, index)
    assert len(answers) >= LOAD_JOBS


def _replace_agent(system, index, meanwhile=lambda: None):
    """Replace an agent, and wait until the new one is a voter.

    A claim group that loses two of its three members grants no claims, so agents are
    not replaced faster. The health record of the worker ends with the old agent.
    """
    agent = system.agents[index]
    boot = system.voter_boot(agent.name)
    assert agent.end(signal.SIGTERM) == 0
    meanwhile()
    agent.start()
    processes.wait_for(
        lambda: system.voter_boot(agent.name) not in (None, boot), "a new voter"
    )
    processes.wait_for(lambda: _is_joined(system), "all nodes joined")


def _is_joined(system):
    statuses = [system.status(index) for index in range(2)]
    current = system.view()
    return all(
        status is not None
        and status["ready"]
        and len(status["peers"]) == 1
        and len(status["workers"]) == 3
        and not any(w["draining"] or w["lapsed"] for w in status["workers"])
        and status["view_number"] == current.number
        for status in statuses
    )


class Fault(typing.NamedTuple):
    """A fault of a system: how to inject it, detect it and clear it."""

    inject: typing.Callable
    is_detected: typing.Callable
    clear: typing.Callable
    is_lossy: bool = False


def _is_worker_lost(system):
    """Return whether both entry hosts have lost the first agent."""
    statuses = [system.status(index) for index in range(2)]
    return None not in statuses and all(
        [worker["name"] for worker in status["workers"]] == ["agent-2", "agent-3"]
        for status in statuses
    )


def _is_peer_lost(system):
    return system.status(1)["peers"] == []


def _has_no_free_slot(system):
    return system.worker(1, "agent-1").get("free", 1) <= 0


def _has_health(system, *states, agent="agent-1"):
    """Return whether an agent has one of these states at both entry hosts."""
    return all(
        system.worker(index, agent).get("health") in states for index in range(2)
    )


def _replace_unhealthy_agents(system):
    """Replace agents that an earlier test left in an unhealthy state."""
    for index, agent in enumerate(system.agents):
        if not _has_health(system, "healthy", agent=agent.name):
            _replace_agent(system, index)


def _make_fault(group, inject, clear, is_detected, is_lossy=False):
    """Return a fault of the first process of a group.

    :param group: name of a list of processes of the system.
    """
    return Fault(
        lambda system: inject(getattr(system, group)[0]),
        is_detected,
        lambda system: clear(getattr(system, group)[0]),
        is_lossy,
    )


KILLED = (operator.methodcaller("end"), operator.methodcaller("start"))
PAUSED = tuple(
    operator.methodcaller("send", number) for number in (signal.SIGSTOP, signal.SIGCONT)
)


def _make_connection_fault(*pairs):
    def inject(system):
        for name, index in pairs:
            system.close_connection(name, index)
            processes.wait_for(lambda: _is_joined(system), f"{name} joined again")

    return Fault(inject, _is_joined, lambda _: None)


FAULTS = {
    "entry-killed": _make_fault("entries", *KILLED, _is_peer_lost),
    "entry-paused": _make_fault("entries", *PAUSED, _is_peer_lost),
    "agent-killed": _make_fault("agents", *KILLED, _is_worker_lost, is_lossy=True),
    # On a slow machine the tasks of a paused agent count as lost 5 s after its lease.
    "agent-paused": _make_fault("agents", *PAUSED, _is_worker_lost, is_lossy=True),
    "server-killed": _make_fault("servers", *KILLED, _has_no_free_slot, is_lossy=True),
    "server-paused": _make_fault("servers", *PAUSED, _has_no_free_slot),
    "agents-cut": _make_connection_fault(
        *(("agent-1", 0), ("agent-2", 0), ("agent-1", 1)) * 2
    ),
    # When both entry hosts dial, the connection of entry-1 is kept.
    "entries-cut": _make_connection_fault(("entry-1", 1), ("entry-1", 1)),
}


@pytest.mark.parametrize("name", FAULTS)
async def test_fault_under_load(system, name):
    """Guards against guarantees broken by processes that die, pause or disconnect."""
    fault = FAULTS[name]
    # An earlier test may have left the agent ejected, and a worker on probation gets
    # too few tasks to use all its slots.
    if not _has_health(system, "healthy"):
        await asyncio.to_thread(_replace_agent, system, 0)
    async with _run_load(system, name, [20] * 4, fault.is_lossy) as answers:
        await _wait_for_more_answers(answers)
        try:
            await asyncio.to_thread(fault.inject, system)
            await processes.wait_until(lambda: fault.is_detected(system), name)
        finally:
            await asyncio.to_thread(fault.clear, system)
        await _wait_for_more_answers(answers)
    await asyncio.to_thread(system.wait_ready)


async def test_server_paused_on_probation(system):
    """A worker on probation that hangs gets only one task from each entry host."""
    server = system.servers[0]
    # The first ejection is the shortest, 10 s, so a new agent is used.
    await asyncio.to_thread(_replace_agent, system, 0)
    server.set_faults(fail_all=True)
    for count in itertools.count():
        keys = [f"failing-{count}-{number}" for number in range(4)]
        jobs = [system.submit(key, [1]) for key in keys]
        await asyncio.gather(*jobs)
        if _has_health(system, "ejected"):
            break
    server.set_faults()
    server.send(signal.SIGSTOP)
    try:
        async with _run_load(system, "on-probation", [20] * 4) as answers:
            await processes.wait_until(
                lambda: _has_health(system, "probation"), "probation"
            )
            await processes.wait_until(
                lambda: system.worker(0, "agent-1")["free"] == processes.SLOTS - 2,
                "a task of each entry host",
            )
            for _ in range(5):
                await _wait_for_more_answers(answers)
                assert system.worker(0, "agent-1")["free"] == processes.SLOTS - 2
            server.send(signal.SIGCONT)
            await _wait_for_more_answers(answers)
    finally:
        server.send(signal.SIGCONT)
    await asyncio.to_thread(system.wait_ready)


async def _wait_for_more_answers(answers):
    wanted = len(answers) + LOAD_JOBS
    await processes.wait_until(lambda: len(answers) >= wanted, "more answers")


LOG_FAULTS = {
    "paused": None,
    "down": {"down": True},
    "slow-and-losing-answers": {"delay_s": 0.2, "lose_answers": "cut"},
}


@pytest.mark.parametrize("name", LOG_FAULTS)
async def test_fault_of_the_log_under_load(system, name):
    """Jobs do not need the log; a change is accepted once, and takes effect."""
    faults = LOG_FAULTS[name]
    agent, server = system.agents[2], system.servers[2]
    boot = system.voter_boot(agent.name)
    async with _run_load(system, f"log-{name}", [20] * 4) as answers:
        await _wait_for_more_answers(answers)
        if faults is None:
            system.log.send(signal.SIGSTOP)
        else:
            await asyncio.to_thread(system.set_log_faults, **faults)
        try:
            change = asyncio.create_task(system.change_table())
            assert await asyncio.to_thread(agent.end, signal.SIGTERM) == 0
            before = len(server.read_starts())
            agent.start()
            await processes.wait_until(
                lambda: len(server.read_starts()) > before, "tasks at the new agent"
            )
            await _wait_for_more_answers(answers)
        finally:
            system.log.send(signal.SIGCONT)
            await asyncio.to_thread(system.set_log_faults)
        outcome = await change
        assert isinstance(outcome, editor.Accepted)
        await processes.wait_until(
            lambda: system.is_in_force(outcome.version), "the change in force"
        )
    await asyncio.to_thread(system.wait_ready)
    assert system.voter_boot(agent.name) not in (None, boot)


async def test_log_killed(system):
    """Jobs do not need the log.

    This test is the last one, because a restarted log loses the membership.
    """
    system.log.end(signal.SIGKILL)
    answers = await asyncio.gather(
        *(system.submit(f"log-{index}", [20] * 4) for index in range(LOAD_JOBS))
    )
    _assert_complete(answers)
