"""Guards the form of log lines: one line each, in the form the stream calls for."""

import datetime
import io
import json
import subprocess
import sys

import pytest
import structlog

from burdockgate.process import logs


class _Terminal(io.StringIO):
    def isatty(self):
        return True


class _Broken(io.StringIO):
    def write(self, text):
        raise BrokenPipeError


@pytest.fixture(autouse=True)
def _restore():
    yield
    structlog.reset_defaults()


def test_json_elsewhere_with_utc_time():
    """A collector must be able to parse each line and compare its time."""
    logger = logs.get("entry")
    stream = io.StringIO()
    logs.configure(stream)
    logger.info("worker lost", worker="a\nb", boot=7, raw=b"x")
    logger.debug("dropped")
    (line,) = stream.getvalue().splitlines()
    fields = json.loads(line)
    time = datetime.datetime.fromisoformat(fields.pop("timestamp"))
    assert time.utcoffset() == datetime.timedelta(0)
    assert fields == {
        "event": "worker lost",
        "module": "entry",
        "level": "info",
        "worker": "a\nb",
        "boot": 7,
        "raw": "b'x'",
    }


def test_pairs_on_a_terminal():
    """A value with a line break must not forge a second line."""
    stream = _Terminal()
    logs.configure(stream)
    logs.get("agent").warning("session lost", peer="e1\nlevel='error'")
    (line,) = stream.getvalue().splitlines()
    assert line.startswith("timestamp='")
    assert "level='warning' module='agent' event='session lost' " in line
    assert line.endswith("peer=" + repr("e1\nlevel='error'"))


def test_form_can_be_forced():
    stream = _Terminal()
    logs.configure(stream, as_json=True)
    logs.get("agent").info("up")
    assert json.loads(stream.getvalue())["event"] == "up"


@pytest.mark.parametrize("stream", [_Broken(), io.StringIO()])
def test_failing_stream_does_not_raise(stream):
    """A closed pipe behind the log must not stop a daemon."""
    logs.configure(stream)
    if not isinstance(stream, _Broken):
        stream.close()
    logs.get("agent").error("up")


def test_import_stays_light():
    """An agent must fit in 64 MB, so logging must not bring in the web stack."""
    code = (
        "import sys; from burdockgate.process import logs; "
        "print(*{'litestar', 'httpx', 'uvicorn', 'hdrh', 'statsd'} & set(sys.modules))"
    )
    run = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert run.stdout.strip() == ""
