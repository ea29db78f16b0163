"""Short ways to make the values that the tests of single modules need."""

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
    """Return an announcement; ``place`` names the data centre and the rack."""
    places = ("r1", f"dc{place}", f"rack{place}", sessions.SERVICE)
    whole = messages.Hello(
        1, messages.Role.AGENT, node(name, boot), *places, 2, 4.0, 1000, 1, False
    )
    return attrs.evolve(whole, **fields)


def fold(current, *values):
    """Fold records with the given values, at the next offsets."""
    for value in values:
        record = messages.LogRecord(current.number, "id", value)
        current = view.fold(current, record)
    return current


def voter(name, boot=1):
    return view.voter_record(hello(name, boot, place=name))


def removal(name, boot=1):
    return view.removal_record(view.Change.REMOVE, node(name, boot))


def view_of(*names):
    return fold(view.View(), *map(voter, names))


def claim(group, owner="e1", boot=1, **fields):
    owner = node(owner, boot)
    return messages.Claim(view_number=1, group=group, owner=owner, **(CLAIM | fields))


def claim_record(owner="e1", **fields):
    return messages.ClaimRecord(owner=node(owner), **(CLAIM | fields))


def terms(scope=(), **fields):
    fields = CLAIM | {"scope": tuple(map(node, scope))} | fields
    return claimant.Terms(owner=node("e1"), **fields)


def request(key="k1", tasks=2, caller_class="default", **spec):
    """Return a job of equal tasks; ``spec`` holds fields of each of them."""
    whole = sessions.make_request(key, [50] * tasks)
    specs = tuple(attrs.evolve(task, **spec) for task in whole.tasks)
    return attrs.evolve(whole, caller_class=caller_class, tasks=specs)


def make_owned_job(made=None, time=None, scope=("a1", "a2"), may_have_run_before=False):
    members, time = (node("m1"),), time or clock.ManualClock()
    made = made or request()
    return ownedjob.OwnedJob(
        made, terms(scope), members, time, 5.0, may_have_run_before
    )


def report(index, send=1, state=messages.TaskState.DONE, payload=b"1"):
    return messages.TaskReport(index, send, state, payload, 1.0)


def results(*reports, epoch=1, attempt=1, boot=1):
    return messages.Results(JOB, epoch, attempt, boot, 0, 0, reports)


def fence_reply(*reports, epoch=1, fence=1, attempt=1, boot=1, more=False):
    return messages.FenceReply(JOB, epoch, fence, attempt, boot, reports, more)


def sent(wanted, kind):
    """Perform a generator of effects and return the messages of one type in it."""
    found = [getattr(effect, "message", effect) for effect in wanted]
    return [message for message in found if isinstance(message, kind)]
