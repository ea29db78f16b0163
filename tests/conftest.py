"""Fixtures of several test files, and the skipping of tests with a known fault."""

import pathlib

import pytest

import processes


@pytest.fixture(scope="module")
def shared_system(tmp_path_factory):
    """Run a system of real processes for all tests of a file."""
    system = processes.System(tmp_path_factory.mktemp("system"))
    try:
        system.start()
        yield system
    finally:
        system.kill()


KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"


def _known_red_ids():
    """Return the ids of tests that fail because of a known fault."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line[6:] for line in lines if line.startswith("test: ")}


def pytest_collection_modifyitems(items):
    """Skip the tests that KNOWN-RED.txt names."""
    known = _known_red_ids()
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.skip(reason="listed in KNOWN-RED.txt"))


def pytest_terminal_summary(terminalreporter):
    """Print the skipped tests."""
    for name in sorted(_known_red_ids()):
        terminalreporter.write_line(f"KNOWN-RED: {name}")
