"""Tests what ``submit``, ``fetch`` and ``cancel`` send, print and return."""

import asyncio
import io
import json
import pathlib
import random
import types
from unittest import mock

import pytest

from burdockgate import client as client_module
from burdockgate import clock, codes
from burdockgate.cli import jobs, main

URLS = ["http://127.0.0.1:1", "http://127.0.0.1:2"]
BODY = '{"guest": "acme", "service": "resize", "tasks": [{"payload": 1.10}]}'


def _answer(code, outcome, results=(), start="ran"):
    return client_module.Answer(
        code, code.name, start, outcome, 1, "", tuple(results), "k1", URLS[0]
    )


COMPLETE = _answer(codes.Code.COMPLETE, "complete", [{"a": 1}, "é"])
PENDING = _answer(codes.Code.PENDING, "pending", start=None)
FAILED = _answer(codes.Code.WORKER_LOST, "failed", [], "may have run")
CANCELLED = _answer(codes.Code.CANCELLED_NOT_RUN, "failed", start="not run")
ANSWERS = (COMPLETE, PENDING, FAILED, CANCELLED)


@pytest.fixture
def client(monkeypatch, tmp_path):
    fake = mock.AsyncMock()
    fake.__aenter__.return_value = fake
    fake.submit.return_value = COMPLETE
    fake.open_client = mock.Mock(return_value=fake)
    monkeypatch.setattr(jobs, "open_client", fake.open_client)
    monkeypatch.setattr(jobs, "system_clock", clock.ManualClock)
    monkeypatch.setenv("BURDOCKGATE_ENTRY", ",".join(URLS))
    monkeypatch.chdir(tmp_path)
    (tmp_path / "job.json").write_text(BODY)
    return fake


@pytest.mark.parametrize("options", [["--json"], []], ids=["json", "table"])
def test_printed_answers(options, client, snapshot, capsys):
    client.submit.side_effect = ANSWERS
    for _ in ANSWERS:
        main.main(["submit", "job.json", "--key", "k1", *options])
    assert capsys.readouterr().out == snapshot


@pytest.mark.parametrize(
    ("command", "statuses"),
    [
        ("submit job.json", (0, 1, 1, 1)),
        ("submit job.json --no-wait", (0, 0, 1, 1)),
        ("fetch acme k1", (0, 0, 1, 1)),
        ("cancel acme k1", (1, 1, 1, 0)),
    ],
)
def test_exit_status(command, statuses, client):
    """A failure or a missing answer must not return the exit status of success."""
    for answer, status in zip(ANSWERS, statuses, strict=True):
        getattr(client, command.split()[0]).return_value = answer
        assert main.main(command.split()) == status


def test_unchanged_file_is_sent_byte_for_byte(client):
    """Another encoding of the same job would be refused as a reused key."""
    main.main(["submit", "job.json", "--key", "k1", "--no-wait"])
    client.open_client.assert_called_once_with(URLS, jobs.CALL_TIMEOUT_S)
    client.submit.assert_awaited_once_with(BODY.encode(), key="k1", wait=False)


def test_options_override_the_body(client, monkeypatch):
    body = json.dumps({"guest": "a", "key": "file-key", "class": "x", "tasks": []})
    stdin = types.SimpleNamespace(buffer=io.BytesIO(body.encode()))
    monkeypatch.setattr("sys.stdin", stdin)
    options = "--guest b --service s --class y --deadline 1.5 --not-repeatable"
    main.main(
        ["submit", "-", *options.split(), "--entry", "http://h/", "--entry=" + URLS[1]]
    )
    client.open_client.assert_called_once_with(["http://h", URLS[1]], 11.5)
    sent = {"guest": "b", "class": "y", "tasks": [], "service": "s"}
    sent |= {"repeatable": False, "deadline_ms": 1500}
    client.submit.assert_awaited_once_with(sent, key="file-key", wait=True)


def test_random_key_is_shown_before_the_wait(client, monkeypatch, capsys):
    """After Ctrl-C, the caller needs the key to submit the same job again."""
    client.submit.side_effect = KeyboardInterrupt
    monkeypatch.setattr(jobs.random, "SystemRandom", lambda: random.Random(1))
    assert main.main(["submit", "job.json"]) == 130
    assert capsys.readouterr().err == f"key: {jobs.new_key(random.Random(1))}\n"


def test_progress_is_shown_on_a_terminal_and_cleared(client, monkeypatch):
    """The progress line must not be left next to the answer."""
    terminal = io.StringIO()
    terminal.isatty = lambda: True
    monkeypatch.setattr("sys.stderr", terminal)
    client.submit = lambda *args, **kwargs: asyncio.sleep(0, COMPLETE)
    main.main(["submit", "job.json", "--key", "k1"])
    assert terminal.getvalue().startswith("\rwaiting for the answer: 0 s")
    assert terminal.getvalue().endswith(" \r")


@pytest.mark.parametrize(
    ("content", "options", "problem"),
    [
        ("{", [], "not valid JSON"),
        ("[" * 100_000, [], "not valid JSON"),
        ('{"a": NaN}', [], "NaN is not a JSON number"),
        ("[]", [], "holds a JSON list, allowed is an object"),
        ('{"key": 5}', [], "key: 5: allowed are 1 to 128 visible ASCII"),
        ("{}", ["--key", "a b"], "'a b': allowed are 1 to 128 visible ASCII"),
        ("{}", ["--deadline", "0"], "'0': allowed are 0.001 or more seconds"),
        ("{}", ["--deadline", "nan"], "'nan': allowed are 0 or more seconds"),
        ("{}", ["--entry", "host:80"], "'host:80': allowed is http://HOST:PORT"),
    ],
)
def test_usage_errors(content, options, problem, client, capsys):
    """A usage error exits with 2, names value and allowed form, and makes no call."""
    pathlib.Path("job.json").write_text(content)
    assert main.main(["submit", "job.json", *options]) == 2
    assert problem in capsys.readouterr().err
    assert not client.submit.called


@pytest.mark.parametrize("value", ["", "host:80"])
def test_entry_variable_is_checked(value, client, monkeypatch, capsys):
    monkeypatch.setenv("BURDOCKGATE_ENTRY", value)
    assert main.main(["fetch", "acme", "k1"]) == 2
    assert "BURDOCKGATE_ENTRY" in capsys.readouterr().err
