"""Validation of submitted jobs: invalid input is rejected with a clear message."""

import json

import hypothesis
import pytest
from hypothesis import strategies

from burdockgate import codes, errors
from burdockgate.request import job

hypothesis.settings.register_profile("ci", derandomize=True, deadline=None)
hypothesis.settings.load_profile("ci")

LIMITS = job.Limits(4096, 3, 30.0, 60.0)
VALID_BODY = {"guest": "g", "service": "s", "tasks": [{"payload": 1}]}


def _body(**changes):
    return json.dumps({**VALID_BODY, **changes}).encode()


def _task(**changes):
    return _body(tasks=[{"payload": 1, **changes}])


def _deep(levels):
    text = b'{"a":' * levels + b"1" + b"}" * levels
    return b'{"guest":"g","service":"s","tasks":[{"payload":%s}]}' % text


INVALID_BODIES = [
    (b"", "body: "),
    (b"[1", "body: "),
    (b"[1]", "body: \\[1\\]: Expected `object`"),
    (b'{"a":"\xff"}', "body: byte 6 is not UTF-8"),
    (_body() + b"x", "trailing"),
    (_body(extra=1), "unknown field `extra`"),
    (_body(guest=7), "guest: 7: Expected `str`"),
    (_body(guest=""), "guest: '', allowed are 1 to 128"),
    (_body(guest="g" * 129), "guest: 'gggg"),
    (_body(service="a\nb"), r"service: 'a\\nb'"),
    (_body(**{"class": "\0"}), "class: "),
    (_body(repeatable=1), "repeatable: 1: Expected `bool`"),
    (_body(deadline_ms=0), "deadline_ms: 0"),
    (_body(deadline_ms=None), "deadline_ms: None"),
    (_body(deadline_ms=60_001), "deadline_ms: 60001, allowed are 1 to 60000"),
    (_body(tasks=[]), "tasks: \\[\\], allowed are 1 to 3"),
    (_body(tasks=[{}]), "tasks\\[0\\]: {}: Object missing required field `payload`"),
    (_task(expected_ms=-1), "tasks\\[0\\].expected_ms: -1: Expected `float` >= 0"),
    (_task(expected_ms=float("nan")), "body: "),
    (_task(cores="2"), "cores: '2'"),
    (_task(memory_mb=1.5), "memory_mb: 1.5"),
    (_task(memory_mb=2**70), "memory_mb"),
    (_task(accelerators=True), "accelerators: True"),
    (_body().replace(b"1}", b'1, "cores": 1e999}'), "cores|body"),
    (_deep(62), "tasks\\[0\\].payload: nested too deeply, allowed are 64"),
    (b"[" * 4000, "nested too deeply|body"),
]


@pytest.mark.parametrize(
    ("body", "text"), INVALID_BODIES, ids=range(len(INVALID_BODIES))
)
def test_invalid_body_is_rejected_with_one_line(body, text):
    """The line alone must be enough for a caller to find the mistake."""
    with pytest.raises(errors.RequestError, match=text) as caught:
        job.parse(body, "k", LIMITS)
    assert caught.value.code is codes.Code.INVALID_REQUEST
    assert caught.value.detail.isprintable()
    assert len(caught.value.detail) < 500


def test_size_and_task_limits_have_their_own_codes():
    """A caller must be able to tell that a job has to be split."""
    with pytest.raises(errors.RequestError, match="allowed are 4096") as caught:
        job.parse(b"x" * 4097, "k", LIMITS)
    assert caught.value.code is codes.Code.TOO_LARGE
    with pytest.raises(errors.RequestError, match="4 tasks") as caught:
        job.parse(_body(tasks=[{"payload": 1}] * 4), "k", LIMITS)
    assert caught.value.code is codes.Code.TOO_MANY_TASKS


@pytest.mark.parametrize("key", [None, "", "a b", "é", "k\n", "k" * 129])
def test_invalid_key_is_rejected(key):
    """A key that cannot be sent again unchanged does not make a retry safe."""
    with pytest.raises(errors.RequestError, match="Idempotency-Key"):
        job.parse(_body(), key, LIMITS)


def test_payload_stays_json_text():
    """Decoding payloads would change numbers and take time."""
    text = b'{"n": 1.0000000000000000001, "s": "[[{\\"\xc3\xa9"}'
    body = b'{"guest":"g","service":"s","tasks":[{"payload": %s }]}' % text
    request = job.parse(body, "k", LIMITS)
    assert request.tasks[0].payload == text
    assert (request.deadline_ms, request.caller_class) == (30_000, "default")
    assert request.job == job.job_id("g", "k")
    assert job.parse(_deep(61), "k", LIMITS).size == len(_deep(61))


def test_brackets_in_strings_do_not_count_as_nesting():
    """A payload whose strings contain many brackets must not be rejected."""
    payload = ["[{" * 100 + '"\\', "}" * 90, [1] * 5, [[]] * 80]
    assert job.parse(_body(tasks=[{"payload": payload}]), "k", LIMITS)


def test_digest_differs_for_other_bodies_but_not_other_deadlines():
    """A resubmission with less time left joins the job; another body must not."""

    def digest(**changes):
        return job.parse(_body(**changes), "k", LIMITS).digest

    same = [digest(), digest(deadline_ms=5), digest(**{"class": "default"})]
    other = [
        digest(service="t"),
        digest(repeatable=False),
        digest(**{"class": "c"}),
        digest(tasks=[{"payload": 11}]),
        digest(tasks=[{"payload": 1}, {"payload": 1}]),
    ]
    assert len(set(same)) == 1
    assert len({*same, *other}) == 1 + len(other)


_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(),
    lambda inner: (
        strategies.lists(inner) | strategies.dictionaries(strategies.text(), inner)
    ),
    max_leaves=10,
)
_FIELDS = ["guest", "service", "class", "repeatable", "deadline_ms", "tasks"]
_BODIES = strategies.one_of(
    strategies.binary(max_size=200),
    strategies.fixed_dictionaries({}, optional=dict.fromkeys(_FIELDS, _VALUES)).map(
        lambda changes: _body(**changes)
    ),
    strategies.dictionaries(
        strategies.sampled_from(["expected_ms", "cores", "memory_mb", "x"]), _VALUES
    ).map(lambda changes: _task(**changes)),
    strategies.tuples(strategies.integers(0, 60), strategies.binary(max_size=3)).map(
        lambda cut: _body()[: cut[0]] + cut[1] + _body()[cut[0] :]
    ),
)


@hypothesis.given(_BODIES, strategies.none() | strategies.text(max_size=130))
def test_any_input_is_parsed_or_rejected(body, key):
    """Any other exception would cause an error 500 and a traceback in the log."""
    try:
        request = job.parse(body, key, LIMITS)
    except errors.RequestError as error:
        assert error.detail.isprintable()
        assert codes.start_class(error.code) is codes.StartClass.NOT_RUN
        return
    assert all(json.loads(task.payload) is not ... for task in request.tasks)
