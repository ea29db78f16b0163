"""Tests ``burdockgate local`` and the example settings files."""

import json
import pathlib
import subprocess
import sys

import pytest

from burdockgate import settings
from burdockgate.process import backend

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
FIELDS = {"outcome", "tasks", "starts", "response_ms", "ideal_ms", "messages"}


def _run(*arguments):
    command = [sys.executable, "-m", "burdockgate", *map(str, arguments)]
    return subprocess.run(command, capture_output=True, text=True, timeout=40)


def _write_job(tmp_path, *payloads):
    path = tmp_path / "job.json"
    tasks = [{"payload": payload} for payload in payloads]
    path.write_text(json.dumps({"guest": "g", "service": "s", "tasks": tasks}))
    return path


def test_sample_job_gives_one_object():
    """Scripts parse the standard output as one JSON object."""
    completed = _run("local", "--json")
    assert completed.returncode == 0
    summary = json.loads(completed.stdout)
    assert summary.keys() >= FIELDS
    assert summary["outcome"] == "complete"
    assert summary["tasks"] == summary["starts"] == len(summary["results"]) > 0
    assert 0 < summary["ideal_ms"] <= summary["response_ms"]
    assert summary["messages"] > 0


def test_job_from_a_file(tmp_path):
    """With ``--job``, the job of the file must run instead of the sample."""
    path = _write_job(tmp_path, {"sleep_ms": 1, "mark": 7}, "text")
    completed = _run("local", "--json", "--job", path)
    assert completed.returncode == 0
    summary = json.loads(completed.stdout)
    assert [result["echo"] for result in summary["results"]] == [
        {"sleep_ms": 1, "mark": 7},
        "text",
    ]
    assert summary["tasks"] == summary["starts"] == 2


def test_failed_job_is_not_a_success(tmp_path):
    """Exit status 0 must mean that the job is complete."""
    completed = _run(
        "local", "--json", "--job", _write_job(tmp_path, {"result_bytes": 2e6})
    )
    assert completed.returncode == 1
    summary = json.loads(completed.stdout)
    assert (summary["outcome"], summary["results"]) == ("failed", [])


BAD_FILES = [b"", b"{", b"[]", b"\xff", b"{}", b'{"service":1}', b"[" * 100_000]


@pytest.mark.parametrize("content", [None, *BAD_FILES], ids=range(len(BAD_FILES) + 1))
def test_bad_file_gives_one_line(tmp_path, content):
    """An unreadable or invalid job must give an error line, not a traceback."""
    path = tmp_path / "job.json"
    if content is not None:
        path.write_bytes(content)
    completed = _run("local", "--job", path)
    assert (completed.returncode, completed.stdout) == (1, "")
    (line,) = completed.stderr.splitlines()
    assert line.startswith("burdockgate: ")
    assert str(path) in line


@pytest.mark.parametrize("option", ["--agents=0", "--entries=x", "--slots=-1"])
def test_bad_option_is_a_usage_error(option):
    completed = _run("local", option)
    assert (completed.returncode, completed.stdout) == (2, "")
    assert "Traceback" not in completed.stderr


def test_examples_are_valid():
    """The example settings must pass the check, since operators start from them."""
    paths = sorted(EXAMPLES.glob("*.ini"))
    assert [path.name for path in paths] == ["agent.ini", "entry.ini"]
    completed = _run("check-settings", *paths)
    assert (completed.returncode, completed.stderr) == (0, "")
    assert completed.stdout.splitlines() == [f"{path}: ok" for path in paths]


async def test_example_of_an_agent_names_a_usable_backend_server():
    """The check accepts a URL with a path, with which the agent does not start."""
    server = settings.load_agent(str(EXAMPLES / "agent.ini")).backend_server
    await backend.BackendClient(server.url, server.connections, 1024).close()
