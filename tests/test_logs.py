"""Tests the format of log lines on terminals and other streams."""

import datetime
import io
import json
from unittest import mock

import pytest
import structlog

from burdockgate.process import logs


class _Terminal(io.StringIO):
    def isatty(self):
        return True


@pytest.fixture(autouse=True)
def _restore():
    yield
    structlog.reset_defaults()


@pytest.mark.parametrize(
    ("stream", "as_json"), [(io.StringIO(), None), (_Terminal(), True)]
)
def test_json_elsewhere_or_when_forced(stream, as_json):
    """A log collector must be able to parse each line and its timestamp."""
    logger = logs.get_logger("entry")
    logs.configure(stream, as_json)
    logger.info("worker lost", worker="a\nb", boot=7, raw=b"x")
    logger.debug("dropped")
    (line,) = stream.getvalue().splitlines()
    fields = json.loads(line)
    time = datetime.datetime.fromisoformat(fields.pop("timestamp"))
    assert time.utcoffset() == datetime.timedelta(0)
    own = {"worker": "a\nb", "boot": 7, "raw": "b'x'"}
    assert fields == {"event": "worker lost", "module": "entry", "level": "info"} | own


def test_pairs_on_a_terminal():
    """A line break in a value must not start a second line."""
    stream = _Terminal()
    logs.configure(stream)
    logs.get_logger("agent").warning("session lost", peer="e1\nlevel='error'")
    (line,) = stream.getvalue().splitlines()
    assert line.startswith("timestamp='")
    assert "level='warning' module='agent' event='session lost' " in line
    assert line.endswith("peer=" + repr("e1\nlevel='error'"))


def test_failing_stream_does_not_raise():
    """A closed log stream must not stop a daemon."""
    closed = io.StringIO()
    closed.close()
    for stream in (mock.Mock(**{"write.side_effect": BrokenPipeError}), closed):
        logs.configure(stream, as_json=True)
        logs.get_logger("agent").error("up")
