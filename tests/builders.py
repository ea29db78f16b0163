"""Factories for the messages and records that unit tests need."""

import attrs

import sessions
from burdockgate import clock, messages
from burdockgate.request import claimant, ownedjob
from burdockgate.version import view

JOB = b"j" * 16
CLAIM = {"job": JOB, "epoch": 1, "attempt": 1, "digest": b"d", "scope": ()}
CLAIM |= {"expires_in_ms": 30_000, "repeatable": True, "code": 900}


def node(name, boot=1):
    return messages.Node(name, boot, f"{name}:1")


def hello(name, boot=1, place=0, **fields):
    """Return the announcement of an agent in data centre and rack ``place``."""
    places = ("r1", f"dc{place}", f"rack{place}", sessions.SERVICE)
    default = messages.Hello(
        1, messages.Role.AGENT, node(name, boot), *places, 2, 4.0, 1000, 1, False
    )
    return attrs.evolve(default, **fields)


def fold(current, *values):
    """Return a view after records with these values, at its next offsets."""
    for value in values:
        record = messages.LogRecord(current.number, "id", value)
        current = view.fold(current, record)
    return current


def voter(name, boot=1):
    return view.voter_record(hello(name, boot, place=name))


def removal(name, boot=1):
    return view.removal_record(view.Change.REMOVE, node(name, boot))


def make_view(*names):
    return fold(view.View(), *map(voter, names))


def claim(group, owner="e1", boot=1, **fields):
    owner = node(owner, boot)
    return messages.Claim(view_number=1, group=group, owner=owner, **(CLAIM | fields))


def claim_record(owner="e1", **fields):
    return messages.ClaimRecord(owner=node(owner), **(CLAIM | fields))


def claim_terms(scope=(), **fields):
    fields = CLAIM | {"scope": tuple(map(node, scope))} | fields
    return claimant.Terms(owner=node("e1"), **fields)


def request(key="k1", tasks=2, caller_class="default", **spec):
    """Return a job of equal tasks; ``spec`` sets fields of each task."""
    default = sessions.make_request(key, [50] * tasks)
    specs = tuple(attrs.evolve(task, **spec) for task in default.tasks)
    return attrs.evolve(default, caller_class=caller_class, tasks=specs)


def make_owned_job(
    job_request=None, manual_clock=None, scope=("a1", "a2"), may_have_run_before=False
):
    members, manual_clock = (node("m1"),), manual_clock or clock.ManualClock()
    job_request = job_request or request()
    return ownedjob.OwnedJob(
        job_request, claim_terms(scope), members, manual_clock, 5.0, may_have_run_before
    )


def report(index, send=1, state=messages.TaskState.DONE, payload=b"1"):
    return messages.TaskReport(index, send, state, payload, 1.0)


def results(*reports, epoch=1, attempt=1, boot=1):
    return messages.Results(JOB, epoch, attempt, boot, 0, 0, reports)


def fence_reply(*reports, epoch=1, fence=1, attempt=1, boot=1, more=False):
    return messages.FenceReply(JOB, epoch, fence, attempt, boot, reports, more)


def sent_messages(effects, kind):
    """Consume the effects and return the messages of one type among them."""
    found = [getattr(effect, "message", effect) for effect in effects]
    return [message for message in found if isinstance(message, kind)]
