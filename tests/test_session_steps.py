"""Sessions under each fault of the design, compared with snapshots and checked.

A snapshot has a line for each event of a session, with the number of messages of each
kind sent after it, so that it shows an additional message or a changed outcome.
"""

import functools
import itertools
import random

import attrs
import pytest

import sessions
from burdockgate import codes, messages
from burdockgate.version import table

# Type and number of the messages that trigger the fault, and its delay in seconds.
TRIGGER_BY_STEP = {
    "before the claim": (messages.Claim, 1, 0.0),
    "claimed": (messages.ClaimReply, 2, 0.0),
    "dispatched": (messages.Start, 1, 0.0),
    "started": (messages.Start, 1, 0.001),
    "first result": (messages.Results, 1, 0.001),
    "last result": (messages.Results, 4, 0.0),
    "acknowledged": (messages.Settle, 1, 0.0),
}
ROLES = ("owner", "runner", "member", "backend")
PAIRS = list(itertools.combinations(ROLES, 2))
FAULTS = ("kill", "freeze", "cut")
FAULT_S = 3.5  # Longer than a lease.
ENTRIES = ("entry-1", "entry-2")
# New members vote 60 + 300 + 30 + 60 s after a change of the view.
SHORT_VIEW_TIMING = {"view_limit_s": 60.0, "retention_s": 30.0}


def make_session(**options):
    return sessions.Session(**({"entries": 2, "agents": 8} | options))


def make_request(key="k10"):
    return sessions.make_request(key, [40, 80, 120, 160])


@functools.cache
def find_roles():
    """Return the process of each role of the job, from a session without a fault."""
    session, request = make_session(), make_request()
    session.wait_answer(session.submit("entry-1", request))
    group = [node.name for node in session.core("entry-1").view.group(request.job)]
    agents = [start.agent for start in session.starts]
    runner, backend = [name for name in agents if name not in group][:2]
    (member, *_) = [name for name in group if name not in agents]
    return dict(zip(ROLES, ("entry-1", runner, member, backend), strict=True))


def inject_fault(session, role, fault):
    if role == "backend":
        session.break_backend(find_roles()[role], fault)
    else:
        session.fail([find_roles()[role]], fault)


def clear_fault(session, role, fault):
    if role == "backend":
        session.recover_backend(find_roles()[role])
    else:
        session.recover([find_roles()[role]], fault)


CASES = [
    *itertools.product(
        TRIGGER_BY_STEP, [(role,) for role in ROLES], FAULTS, [FAULT_S], [1]
    ),
    # Two faults at once.
    *itertools.product(["claimed", "started"], PAIRS, FAULTS, [FAULT_S], [1]),
    # The same fault again before a lease has lapsed.
    *itertools.product(["started"], [(role,) for role in ROLES], FAULTS, [0.5], [2]),
    # Pauses that end just before and after the lease, and after the worker is lost.
    *itertools.product(
        ["started"], [(role,) for role in ROLES[:3]], ["freeze"], [2.4, 2.6, 6.0], [1]
    ),
]


def case_id(case):
    step, roles, fault, fault_s, repeats = case
    return f"{fault} {'+'.join(roles)} at {step} {repeats} x {fault_s:g} s"


@pytest.mark.parametrize("case", CASES, ids=case_id)
def test_roles_at_steps(case, snapshot):
    """No fault of one or two roles starts a task twice or leaves a caller waiting."""
    step, roles, fault, fault_s, repeats = case
    session, request = make_session(), make_request()
    session.schedule_after_messages(
        *TRIGGER_BY_STEP[step],
        lambda: [inject_fault(session, each, fault) for each in roles],
    )
    session.submit("entry-1", request)
    for count in range(repeats):
        session.run(0.3)
        for role in roles if count else ():
            inject_fault(session, role, fault)
        session.submit("entry-2", request)
        session.run(fault_s)
        for role in roles:
            clear_fault(session, role, fault)
    session.run(8.0)
    last = session.wait_answer(session.submit("entry-2", request))
    session.run(1.0)
    assert not session.violations(), session.trace_text()
    sessions.assert_complete(request, last)
    assert session.summary() == snapshot


def make_places():
    """Return the places of nodes in 3 data centres with 2 racks each.

    Each rack has 2 agents and 1 entry host.
    """
    places = [("r1", f"dc{n % 3}", f"rack{n % 6}") for n in range(12)]
    entries = {f"entry-{n + 1}": places[n] for n in range(6)}
    return entries | {f"agent-{n + 1}": place for n, place in enumerate(places)}


@pytest.mark.parametrize("step", ["claimed", "started"])
@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("depth", [3, 2], ids=["rack", "data centre"])
def test_loss_of_a_place(depth, fault, step, snapshot):
    """Guards the jobs against the loss of the owner's whole rack or data centre.

    A claim group loses one member.
    """
    places, request = make_places(), make_request()
    session = make_session(entries=6, agents=12, places=places)
    lost = [n for n in places if places[n][:depth] == places["entry-1"][:depth]]
    session.schedule_after_messages(
        *TRIGGER_BY_STEP[step], lambda: session.fail(lost, fault)
    )
    session.submit("entry-1", request)
    session.run(0.3)
    session.submit("entry-2", request)
    others = [make_request(f"other-{count}") for count in range(6)]
    for other in others:
        session.wait_answer(session.submit("entry-3", other))
    session.run(15.0)
    session.recover(lost, fault)
    session.run(20.0)
    sessions.assert_complete(
        request, session.wait_answer(session.submit("entry-2", request))
    )
    assert not session.violations(), session.trace_text()
    assert session.summary() == snapshot


def finish(session, snapshot, requests, settle_s=20.0):
    """Submit each job again, run the checker, and compare the totals."""
    session.run(settle_s)
    for request in requests:
        result = session.wait_answer(session.submit("entry-2", request))
        assert result.code in (codes.Code.COMPLETE, codes.Code.TASK_FAILED), result
    session.run(1.0)
    assert not session.violations(), "\n".join(session.violations())
    assert session.totals() == snapshot


def make_regions(**timing):
    """Return a session in regions r1 and r2, and the names of the nodes in r2.

    Each region has an entry host and 4 agents; r1 has the log.
    """
    places = {f"entry-{n}": (f"r{n}", "dc0", "rack0") for n in (1, 2)}
    for n in range(8):
        places[f"agent-{n + 1}"] = (f"r{n % 2 + 1}", f"dc{n // 2 % 2}", f"rack{n}")
    session = make_session(places=places, **timing)
    session.tick_s = 0.5
    return session, [name for name in places if places[name][0] == "r2"]


@pytest.mark.parametrize(
    "timing, waits_s",
    [({}, (0, 30, 600, 2900)), (SHORT_VIEW_TIMING, (30, 70, 200, 300))],
    ids=["hour", "until new members vote"],
)
def test_region_cut_off(timing, waits_s, snapshot):
    """Each key runs in at most one region, however long the cut lasts.

    Guards against two claim groups that grant the same job. Members that were cut off
    granted claims by their old view, and their replacements voted after 600 s: 9 of 12
    keys ran twice.
    """
    session, remote = make_regions(**timing)
    session.fail(remote, "cut")
    requests = [make_request(f"hour-{number}") for number in range(24)]
    for count, wait_s in enumerate(waits_s):
        session.run(wait_s)
        for request in requests[count * 6 : count * 6 + 6]:
            for name in ENTRIES:
                session.submit(name, request)
    session.run(70.0)
    session.recover(remote, "cut")
    session.run(5.0)
    request = make_request("joined")
    session.submit("entry-1", request)
    finish(session, snapshot, [request])


@pytest.mark.parametrize("fault", ["down", "slow", "loses answers"])
def test_log(fault, snapshot):
    """Jobs go on, and a change of the table reaches all nodes within its limit."""
    session = make_session(entries=3)
    session.log_is_up = fault != "down"
    session.append_s = 2.0 if fault == "slow" else sessions.APPEND_S
    session.loses_append_answers = fault == "loses answers"
    requests = [make_request(f"log-{number}") for number in range(4)]
    version = 0
    for number, name in enumerate(("entry-1", "agent-4")):
        for request in requests[number * 2 : number * 2 + 2]:
            session.submit("entry-2", request)
        session.run(1.0)
        session.kill(name)
        session.run(15.0)
        session.start(name)
        row = table.Row("class", "batch", weight=number + 2.0)
        value = table.row_record(row, version)
        version = session.append("table", f"change-{number}", value) + 1
        session.run(6.0)
    session.log_is_up = True
    session.read_log()
    finish(session, snapshot, requests)


def make_disturbance(kind, rng):
    """Return a filter that duplicates, reorders or delays messages."""

    def disturb(_from, _to, message, delays):
        if kind == "doubled":
            return [*delays, delays[0] + rng.uniform(0, 0.3)]
        if kind == "reordered":
            return [delays[0] + rng.uniform(0, 0.05)]
        return [delays[0] + 1.0 if rng.random() < 0.2 else delays[0]]

    return disturb


@pytest.mark.parametrize("role", [None, *ROLES])
@pytest.mark.parametrize("kind", ["doubled", "reordered", "delayed"])
def test_messages_disturbed(kind, role, snapshot):
    """Guards against late or repeated messages that start, count or answer twice."""
    session = make_session()
    session.filters.append(make_disturbance(kind, random.Random(7)))
    requests = [make_request(f"late-{number}") for number in range(12)]
    for number, request in enumerate(requests):
        for name in ENTRIES:
            if name in session.processes:
                session.submit(name, request)
        session.run(0.2)
        if role and number == 3:
            inject_fault(session, role, "kill")
    session.run(3.0)
    if role:
        clear_fault(session, role, "kill")
    finish(session, snapshot, requests)


@pytest.mark.parametrize("step", TRIGGER_BY_STEP)
def test_submitted_again_while_the_first_works(step, snapshot):
    """Guards the joining of a job by a second entry host, at each step of the job."""
    session, request = make_session(), make_request()
    session.schedule_after_messages(
        *TRIGGER_BY_STEP[step], lambda: session.submit("entry-2", request)
    )
    session.submit("entry-1", request)
    finish(session, snapshot, [request])


def test_wave_of_cancellations(snapshot):
    """Each cancelled job ends in one outcome, and "not run" is true."""
    session = make_session()
    requests = [sessions.make_request(f"wave-{n}", [150] * 4) for n in range(60)]
    for number, request in enumerate(requests):
        session.submit(ENTRIES[number % 2], request)
    session.run(0.4)
    for number, request in enumerate(requests):
        session.cancel(ENTRIES[number % 3 % 2], request)
    session.run(5.0)
    assert all(session.core(name).is_idle for name in session.processes if "a" in name)
    finish(session, snapshot, requests)


def test_worker_that_fails_every_task_and_job_that_never_fits(snapshot):
    """Failed tasks fail the job; a job that fits no worker is refused at once."""
    session = make_session()
    session.failing_agents = {"agent-3"}
    requests = [make_request(f"fail-{number}") for number in range(12)]
    for number, request in enumerate(requests):
        session.submit(ENTRIES[number % 2], request)
        session.run(0.3)
    whole = make_request("never")
    spec = attrs.evolve(whole.tasks[0], accelerators=1)
    session.submit("entry-1", attrs.evolve(whole, tasks=(spec,)))
    session.run(0.1)
    assert codes.Code.NEVER_FITS in {item.code for item in session.answers.values()}
    finish(session, snapshot, requests)


def test_every_process_replaced_under_load(snapshot):
    """Guards against planned stops that end jobs: each is complete at attempt 1."""
    session = make_session(entries=3)
    requests = []

    def load(seconds):
        for _ in range(int(seconds / 0.1)):
            entries = [n for n in session.processes if "entry" in n]
            entries = [n for n in entries if not session.core(n).draining]
            requests.append(make_request(f"load-{len(requests)}"))
            session.submit(entries[len(requests) % len(entries)], requests[-1])
            session.run(0.1)

    for name in list(session.processes):
        core = session.core(name)
        if "entry" in name:
            core.draining = True
            load(0.5)
            session.run_until(lambda core=core: core.jobs.owned_count == 0)
        else:
            session.drain(name)
            load(0.5)
            session.run_until(lambda core=core: core.is_idle)
        session.stop(name)
        load(1.0)
        session.start(name)
        load(3.0)
    finish(session, snapshot, [])
    assert {(each.code, each.attempt) for each in session.answers.values()} == {
        (codes.Code.COMPLETE, 1)
    }
