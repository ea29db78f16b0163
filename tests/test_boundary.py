"""Mutated messages of other programs: each decoder refuses them or bounds their values.

``BOUNDARY_CASES=100000 pytest tests/test_boundary.py`` tries more of them.
"""

import base64
import copy
import json
import os
import struct

import hypothesis
import pytest
from hypothesis import strategies

from burdockgate import assignments, errors, wire
from burdockgate.platform import (
    configuration,
    front,
    heartbeats,
    jobs,
    storeclient,
    worker,
)
from burdockgate.platform import http as platform_http
from burdockgate.process import discovery, store, workercontrol
from burdockgate.version import routes

CASES = int(os.environ.get("BOUNDARY_CASES", "300"))
ROUTE = routes.Route(
    "r", "h.example", "/jobs/", "svc", 1, 3, 1.6, 0.06, 1.5, needs_advice=False
)
HEARTBEAT = {
    "service": "svc",
    "address": "10.0.0.9:8080",
    "zone": "z1",
    "state": "ready",
    "capacity": {"cpu": 16000, "memMb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "clockMs": 482113,
    "seq": 4,
    "born": 1700000000000,
}
JOB = {
    "spec": "text",
    "bestEffort": True,
    "steps": [
        {"count": 2, "cpu": 500, "memMb": 64, "estimateMs": 900},
        {"count": 1, "cpu": 100, "after": [0], "requires": "a", "antiAffinity": 1},
    ],
}
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r",
            "host": "h.example",
            "pathPrefix": "/jobs/",
            "service": "svc",
            "priority": 1,
            "timeoutMs": 1500,
            "targetLatencyMs": 60,
            "stretch": 1.6,
            "maxAttempts": 3,
        }
    ],
    "limits": {"maxBodyBytes": 1000},
}
RUN_LISTS = {
    "clockMs": 482113,
    "born": 1700000000000,
    "running": [["5c0e7a21d94b36f8.0.1.17", 2, "", 41, 3]],
    "finished": [[58, "5c0e7a21d94b36f8.0.1.9", 1, "done", ""]],
}
PAGE = {
    "items": [
        {"key": "odd", "value": "eA==", "offset": 3},
        {"key": "good", "value": base64.b64encode(b"v").decode(), "offset": 4},
    ],
    "more": False,
    "end": 5,
}


class Deep:
    """Stands for a value that is nested more deeply than decoders can follow."""


ODD_VALUES = strategies.sampled_from(
    [
        Deep,
        10**40,
        2**63,
        -1,
        -(10**40),
        1e300,
        1.5,
        None,
        True,
        "",
        "x" * 5000,
        "9" * 5000,
        "\ud800",
        "10.0.0.9:99999",
        "10.0.0.9:\u00b2",
        "name.example:80",
        "a.0.\u0663.1",
        "a.0." + "9" * 5000 + ".1",
        [],
        {},
        [[]] * 300,
        {"x": {}},
    ]
)


def _paths(value, path=()):
    """Yield the path of each part of a JSON value."""
    if path:
        yield path
    children = []
    if isinstance(value, dict):
        children = value.items()
    elif isinstance(value, list):
        children = enumerate(value)
    for key, child in children:
        yield from _paths(child, (*path, key))


def _replace(value, path, odd):
    changed = copy.deepcopy(value)
    parent = changed
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = odd
    return changed


def _encode(value):
    """Return JSON text; :class:`Deep` becomes 100,000 nested arrays."""
    text = json.dumps(value, default=lambda _: "@deep@")
    text = text.replace('"@deep@"', "[" * 100_000 + "]" * 100_000)
    return text.encode()


@strategies.composite
def mutated(draw, good, can_be_damaged=True):
    """Draw the text of a message with one or two odd parts, or damaged text."""
    value = good
    for _ in range(draw(strategies.integers(1, 2))):
        path = draw(strategies.sampled_from([*_paths(value), ("unknown",)]))
        if not isinstance(value, dict):
            break
        value = _replace(value, path, draw(ODD_VALUES))
    text = _encode(value)
    if can_be_damaged and draw(strategies.integers(0, 9)) == 0:
        position = draw(strategies.integers(0, len(text) - 1))
        text = text[:position] + draw(strategies.binary(max_size=4)) + text[position:]
    return text


def mutations(good, can_be_damaged=True):
    """Return a decorator that runs a test with mutations of a message."""

    def decorate(test):
        limits = hypothesis.settings(
            max_examples=CASES, derandomize=True, deadline=None, database=None
        )
        return limits(hypothesis.given(mutated(good, can_be_damaged))(test))

    return decorate


def _assert_fits_the_wire(message):
    """Check that a message can be sent to another process and is accepted there."""
    frame = wire.encode(message)
    assert wire.decode(frame[wire.HEADER.size :]) == message


@mutations(HEARTBEAT)
@pytest.mark.timeout(0)
def test_heartbeat_of_another_writer(body):
    """After ``born`` = 10**40, true heartbeats were taken for old ones for good."""
    heartbeat = heartbeats.decode("i-1", body)
    if heartbeat is None:
        return
    facts = assignments.WorkerInfo(
        heartbeat.worker,
        heartbeat.born,
        heartbeat.service,
        heartbeat.cpu,
        heartbeat.memory_mb,
        heartbeat.gpu,
        heartbeat.labels,
    )
    _assert_fits_the_wire(facts)
    assert 0 <= heartbeat.clock_ms + heartbeat.sequence < 2**60
    assert heartbeat.born < 10_000_000_000_000


@mutations(JOB)
@pytest.mark.timeout(0)
def test_job_of_a_faulty_caller(body):
    """A ``cpu`` of 2**63 could not be encoded and ended the timers of the process."""
    try:
        submission = jobs.decode("ab12", body, ROUTE, 2.5)
    except errors.RequestError as error:
        assert "\n" not in error.detail
        return
    for number, step in enumerate(submission.steps):
        indexes = tuple(range(step.count))
        message = assignments.Assign(
            1,
            submission.job,
            number,
            submission.spec,
            indexes,
            indexes,
            step.cpu,
            step.memory_mb,
            step.gpu,
            submission.priority,
            0,
            int(step.estimate_s * 1000),
            submission.service,
            step.label,
        )
        _assert_fits_the_wire(message)
        _assert_fits_the_wire(assignments.Demand(step.cpu * 10_000, 0))


@mutations(CONFIGURATION)
@pytest.mark.timeout(0)
def test_configuration_record(body):
    """A nested unknown field ended the task that follows the configuration."""
    table = configuration.decode(body)
    if table is not None:
        _assert_fits_the_wire(assignments.Configuration(table.version, body[:1000]))
        table.match("h.example", "/jobs/ab12")


@mutations(RUN_LISTS)
@pytest.mark.timeout(0)
def test_lists_of_the_worker(body):
    """A task number of thousands of digits raised an error in the poll."""
    try:
        lists = worker.decoding.decode(body, worker._RunLists)
    except errors.MalformedError:
        return
    snapshot = worker._decode_snapshot(lists)
    for entry in (*snapshot.running, *snapshot.finished):
        _assert_fits_the_wire(assignments.Revoke((entry.key,)))
    assert all(entry.number < 2**60 for entry in snapshot.finished)
    assert all(0 <= entry.percent <= 100 for entry in snapshot.running)


@mutations({"clockMs": 482113, "reason": "fence"})
@pytest.mark.timeout(0)
def test_response_to_a_command(body):
    """A clock without bounds became a fencing token that no later token exceeds."""
    refused = worker._decode_refusal(platform_http.Response(409, body))
    assert isinstance(refused, workercontrol.Refused)
    assert 0 <= refused.clock_ms < 2**60


@mutations(PAGE["items"][0], can_be_damaged=False)
@pytest.mark.timeout(0)
def test_page_with_one_odd_item(item):
    """One odd item hid all others of its page, as the page was decoded as a whole."""
    good = _encode(PAGE["items"][1])
    body = b'{"items":[' + item + b"," + good + b'],"more":false,"end":5}'
    page = storeclient._decode_page(body)
    records = list(storeclient._decode_items(page.items))
    assert store.KeyedRecord("good", b"v", 4) in records


@hypothesis.settings(max_examples=CASES, derandomize=True, deadline=None, database=None)
@hypothesis.given(strategies.binary(max_size=60))
@pytest.mark.timeout(0)
def test_records_of_another_writer(value):
    """An unreadable record of the members' topic must not hide the others."""
    records = [
        store.KeyedRecord("odd", value, 0),
        store.KeyedRecord("good", discovery.encode("10.0.0.1:7720", "z1"), 1),
    ]
    found = list(discovery.entry_hosts(records))
    assert found[-1] == assignments.EntryHost("good", "10.0.0.1:7720", "z1", 2)
    raw = struct.pack(">QQ", 1, 0) + struct.pack(">I", len(value)) + value
    assert len(list(storeclient._decode_records(raw, 0))) == 1


@pytest.mark.parametrize(
    "text", ["inf", "-inf", "nan", "1e400", "x", "", "-5", "9" * 400]
)
def test_deadline_header_is_bounded(text):
    """An infinite deadline raised an error when it was logged, and never expired."""
    deadline_s = front._deadline_s({"deadline-ms": text})
    assert 0 <= deadline_s <= front.MAX_DEADLINE_S
    int(deadline_s * 1000)


@pytest.mark.parametrize("job", ["", "a.b", "x" * 65, "a/b", "\u00e9", "a\n"])
def test_job_identifier_that_cannot_be_part_of_a_task_name_is_refused(job):
    """An identifier over the limit of a message closed the connection to an agent."""
    with pytest.raises(errors.RequestError):
        jobs.decode(job, _encode(JOB), ROUTE, 2.5)


def test_truth_value_is_no_number_of_a_run():
    """Python takes ``true`` for 1; such a run could not be sent to an entry host."""
    body = json.dumps({**RUN_LISTS, "running": [["ab.0.1.17", True, "", 41]]}).encode()
    lists = worker.decoding.decode(body, worker._RunLists)
    snapshot = worker._decode_snapshot(lists)
    assert (snapshot.running, snapshot.unreadable) == ((), 1)
