"""Short ways to make the values that the tests of single modules need."""

import attrs

import sessions
from burdockgate import clock, messages
from burdockgate.process import metrics
from burdockgate.request import claimant, job, leader
from burdockgate.version import view

JOB = b"j" * 16
DIGEST = b"d" * 16
FIELDS = {"epoch": 1, "attempt": 1, "scope": (), "code": 900, "repeatable": True}


def node(name, boot=1):
    return messages.Node(name, boot, f"{name}:1")


def hello(name, boot=1, place=0, role=messages.Role.AGENT, **fields):
    """Return an announcement; ``place`` numbers the data centre and the rack."""
    whole = messages.Hello(
        messages.PROTOCOL,
        role,
        node(name, boot),
        "r1",
        f"dc{place}",
        f"rack{place}",
        sessions.SERVICE,
        slots=2,
        cores=4.0,
        memory_mb=1000,
        accelerators=1,
        draining=False,
    )
    return attrs.evolve(whole, **fields)


def fold(current, *values):
    """Fold records with the given values, at the next offsets."""
    for value in values:
        record = messages.LogRecord(current.number, "id", value)
        current = view.fold(current, record)
    return current


def voters(*names, boot=1):
    """Return the records that make agents voters, each in its own data centre."""
    return [view.voter_record(hello(name, boot, place=name)) for name in names if name]


def removal(name, boot=1):
    return view.removal_record(view.Change.REMOVE, node(name, boot))


def view_of(*names):
    return fold(view.View(), *voters(*names))


def claim(group, owner="e1", **fields):
    values = FIELDS | {"job": JOB, "digest": DIGEST, "expires_in_ms": 30_000} | fields
    return messages.Claim(view_number=1, group=group, owner=node(owner), **values)


def claim_record(owner="e1", **fields):
    values = FIELDS | {"job": JOB, "digest": DIGEST, "expires_in_ms": 30_000} | fields
    return messages.ClaimRecord(owner=node(owner), **values)


def terms(owner="e1", scope=(), **fields):
    values = {"epoch": 1, "attempt": 1, "digest": DIGEST} | fields
    return claimant.Terms(
        JOB,
        owner=node(owner),
        scope=tuple(scope),
        expires_in_ms=30_000,
        repeatable=True,
        **values,
    )


def request(key="k1", tasks=2, caller_class="default", **fields):
    whole = sessions.make_request(key, [50] * tasks)
    return attrs.evolve(whole, caller_class=caller_class, **fields)


def make_leader(
    tasks=2, scope=("a1", "a2"), time=None, made=None, had_attempt=False, **fields
):
    """Return a leader whose scope holds the first boots of the agents named."""
    return leader.Leader(
        made or request(tasks=tasks),
        terms(scope=map(node, scope), **fields),
        (node("m1"),),
        time or clock.ManualClock(),
        5.0,
        had_attempt,
    )


def report(index, send=1, state=messages.TaskState.DONE, payload=b"1"):
    return messages.TaskReport(index, send, state, payload, 1.0)


def results(*reports, epoch=1, attempt=1, boot=1):
    return messages.Results(job.job_id("g1", "k1"), epoch, attempt, boot, 0, 0, reports)


def fence_reply(*reports, epoch=1, fence=1, attempt=1, boot=1, more=False):
    id_ = job.job_id("g1", "k1")
    return messages.FenceReply(id_, epoch, fence, attempt, boot, reports, more)


def sent(wanted, kind):
    """Perform a generator of effects and return the messages of one type in it."""
    found = [getattr(effect, "message", effect) for effect in wanted]
    return [message for message in found if isinstance(message, kind)]


def counters():
    return metrics.Metrics(sessions.settings.StatsdSettings())
