"""Fixtures that several test files share."""

import pathlib

import pytest

import processes


@pytest.fixture(scope="module")
def shared_system(tmp_path_factory):
    """Run one system of real processes for all tests of a file."""
    made = processes.System(tmp_path_factory.mktemp("system"))
    try:
        made.start()
        yield made
    finally:
        made.kill()


KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"


def _known_red():
    """Return the ids of tests with a known fault that is not mended yet."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line[6:] for line in lines if line.startswith("test: ")}


def pytest_collection_modifyitems(items):
    """Pass over the tests that KNOWN-RED.txt names."""
    known = _known_red()
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.skip(reason="listed in KNOWN-RED.txt"))


def pytest_terminal_summary(terminalreporter):
    """Print the tests that were passed over."""
    for name in sorted(_known_red()):
        terminalreporter.write_line(f"KNOWN-RED: {name}")
