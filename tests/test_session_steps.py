"""Golden sessions under each fault of the design, judged by the checker.

A golden file holds one line for each event of a session, with the number of messages
of each kind sent after it, so an unplanned message or another outcome shows.
"""

import functools
import itertools
import random

import attrs
import pytest

import sessions
from burdockgate import codes, messages
from burdockgate.version import table

# The fault comes once so many messages of the type were sent, after the delay.
STEPS = {
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
REST_S = 3.5  # Longer than a lease.
ENTRIES = ("entry-1", "entry-2")
# New members vote 60 + 300 + 30 + 60 s after a change of the view.
SHORT_VIEW = {"view_limit_s": 60.0, "retention_s": 30.0}


def make_session(**options):
    return sessions.Session(**({"entries": 2, "agents": 8} | options))


def make_request(key="k10"):
    return sessions.make_request(key, [40, 80, 120, 160])


@functools.cache
def cast():
    """Return who plays each role of the job in a session without a fault."""
    session, request = make_session(), make_request()
    session.wait_answer(session.submit("entry-1", request))
    group = [node.name for node in session.core("entry-1").view.group(request.job)]
    ran = [start.agent for start in session.starts]
    runner, backend = [name for name in ran if name not in group][:2]
    (member, *_) = [name for name in group if name not in ran]
    return dict(zip(ROLES, ("entry-1", runner, member, backend), strict=True))


def strike(session, role, fault):
    if role == "backend":
        session.break_backend(cast()[role], fault)
    else:
        session.fail([cast()[role]], fault)


def mend(session, role, fault):
    if role == "backend":
        session.mend_backend(cast()[role])
    else:
        session.mend([cast()[role]], fault)


CASES = [
    *itertools.product(STEPS, [(role,) for role in ROLES], FAULTS, [REST_S], [1]),
    # Two faults at once.
    *itertools.product(["claimed", "started"], PAIRS, FAULTS, [REST_S], [1]),
    # The same fault again before a lease has lapsed.
    *itertools.product(["started"], [(role,) for role in ROLES], FAULTS, [0.5], [2]),
    # Pauses that end just before and after a lease, and after a worker counts as lost.
    *itertools.product(
        ["started"], [(role,) for role in ROLES[:3]], ["freeze"], [2.4, 2.6, 6.0], [1]
    ),
]


def name_of(case):
    step, roles, fault, rest_s, times = case
    return f"{fault} {'+'.join(roles)} at {step} {times} x {rest_s:g} s"


@pytest.mark.parametrize("case", CASES, ids=name_of)
def test_roles_at_steps(case, snapshot):
    """No fault of one or two roles starts a task twice or leaves a caller waiting."""
    step, roles, fault, rest_s, times = case
    session, request = make_session(), make_request()
    session.when(*STEPS[step], lambda: [strike(session, each, fault) for each in roles])
    session.submit("entry-1", request)
    for count in range(times):
        session.run(0.3)
        for role in roles if count else ():
            strike(session, role, fault)
        session.submit("entry-2", request)
        session.run(rest_s)
        for role in roles:
            mend(session, role, fault)
    session.run(8.0)
    last = session.wait_answer(session.submit("entry-2", request))
    session.run(1.0)
    assert not session.violations(), session.trace_text()
    sessions.assert_complete(request, last)
    assert session.summary() == snapshot


def spread():
    """Return places in 3 data centres of 2 racks, 2 agents and 1 entry host in each."""
    places = [("r1", f"dc{n % 3}", f"rack{n % 6}") for n in range(12)]
    entries = {f"entry-{n + 1}": places[n] for n in range(6)}
    return entries | {f"agent-{n + 1}": place for n, place in enumerate(places)}


@pytest.mark.parametrize("step", ["claimed", "started"])
@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("depth", [3, 2], ids=["rack", "data centre"])
def test_loss_of_a_place(depth, fault, step, snapshot):
    """The owner's whole rack or data centre is lost; a group loses one member."""
    places, request = spread(), make_request()
    session = make_session(entries=6, agents=12, places=places)
    lost = [n for n in places if places[n][:depth] == places["entry-1"][:depth]]
    session.when(*STEPS[step], lambda: session.fail(lost, fault))
    session.submit("entry-1", request)
    session.run(0.3)
    session.submit("entry-2", request)
    others = [make_request(f"other-{count}") for count in range(6)]
    for other in others:
        session.wait_answer(session.submit("entry-3", other))
    session.run(15.0)
    session.mend(lost, fault)
    session.run(20.0)
    sessions.assert_complete(
        request, session.wait_answer(session.submit("entry-2", request))
    )
    assert not session.violations(), session.trace_text()
    assert session.summary() == snapshot


def end(session, snapshot, requests, rest_s=20.0):
    """Submit each job once more, let the checker judge, and compare the totals."""
    session.run(rest_s)
    for request in requests:
        result = session.wait_answer(session.submit("entry-2", request))
        assert result.code in (codes.Code.COMPLETE, codes.Code.TASK_FAILED), result
    session.run(1.0)
    assert not session.violations(), "\n".join(session.violations())
    assert session.totals() == snapshot


def make_regions(**timing):
    """Return two regions with an entry host and 4 agents each; r1 has the log."""
    places = {f"entry-{n}": (f"r{n}", "dc0", "rack0") for n in (1, 2)}
    for n in range(8):
        places[f"agent-{n + 1}"] = (f"r{n % 2 + 1}", f"dc{n // 2 % 2}", f"rack{n}")
    session = make_session(places=places, **timing)
    session.tick_s = 0.5
    return session, [name for name in places if places[name][0] == "r2"]


@pytest.mark.parametrize(
    "timing, waits_s",
    [({}, (0, 30, 600, 2900)), (SHORT_VIEW, (30, 70, 200, 300))],
    ids=["hour", "until new members vote"],
)
def test_region_cut_off(timing, waits_s, snapshot):
    """Each key runs in one region at most, however long the cut lasts.

    Members that were cut off kept granting claims by their old view, while the
    members that replaced them voted after 600 s: 9 of 12 keys ran twice.
    """
    session, far = make_regions(**timing)
    session.fail(far, "cut")
    requests = [make_request(f"hour-{number}") for number in range(24)]
    for count, wait_s in enumerate(waits_s):
        session.run(wait_s)
        for request in requests[count * 6 : count * 6 + 6]:
            for name in ENTRIES:
                session.submit(name, request)
    session.run(70.0)
    session.mend(far, "cut")
    session.run(5.0)
    request = make_request("joined")
    session.submit("entry-1", request)
    end(session, snapshot, [request])


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
    end(session, snapshot, requests)


def disturb(kind, rng):
    """Return a filter that doubles, reorders or delays messages."""

    def late(_from, _to, message, delays):
        if kind == "doubled":
            return [*delays, delays[0] + rng.uniform(0, 0.3)]
        if kind == "reordered":
            return [delays[0] + rng.uniform(0, 0.05)]
        return [delays[0] + 1.0 if rng.random() < 0.2 else delays[0]]

    return late


@pytest.mark.parametrize("role", [None, *ROLES])
@pytest.mark.parametrize("kind", ["doubled", "reordered", "delayed"])
def test_messages_disturbed(kind, role, snapshot):
    """Late and repeated messages must not start, count or answer anything twice."""
    session = make_session()
    session.filters.append(disturb(kind, random.Random(7)))
    requests = [make_request(f"late-{number}") for number in range(12)]
    for number, request in enumerate(requests):
        for name in ENTRIES:
            if name in session.processes:
                session.submit(name, request)
        session.run(0.2)
        if role and number == 3:
            strike(session, role, "kill")
    session.run(3.0)
    if role:
        mend(session, role, "kill")
    end(session, snapshot, requests)


@pytest.mark.parametrize("step", STEPS)
def test_submitted_again_while_the_first_works(step, snapshot):
    """A second entry host joins the job at whatever step it is."""
    session, request = make_session(), make_request()
    session.when(*STEPS[step], lambda: session.submit("entry-2", request))
    session.submit("entry-1", request)
    end(session, snapshot, [request])


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
    end(session, snapshot, requests)


def test_worker_that_fails_every_task_and_job_that_never_fits(snapshot):
    """Failures are told as such; a job that fits no worker is refused at once."""
    session = make_session()
    session.failing = {"agent-3"}
    requests = [make_request(f"fail-{number}") for number in range(12)]
    for number, request in enumerate(requests):
        session.submit(ENTRIES[number % 2], request)
        session.run(0.3)
    whole = make_request("never")
    spec = attrs.evolve(whole.tasks[0], accelerators=1)
    session.submit("entry-1", attrs.evolve(whole, tasks=(spec,)))
    session.run(0.1)
    assert codes.Code.NEVER_FITS in {item.code for item in session.answers.values()}
    end(session, snapshot, requests)


def test_every_process_replaced_under_load(snapshot):
    """A planned stop cuts off nothing: every job is complete at its first attempt."""
    session = make_session(entries=3)
    requests = []

    def load(seconds):
        for _ in range(int(seconds / 0.1)):
            open_ = [n for n in session.processes if "entry" in n]
            open_ = [n for n in open_ if not session.core(n).draining]
            requests.append(make_request(f"load-{len(requests)}"))
            session.submit(open_[len(requests) % len(open_)], requests[-1])
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
    end(session, snapshot, [])
    assert {(each.code, each.attempt) for each in session.answers.values()} == {
        (codes.Code.COMPLETE, 1)
    }
