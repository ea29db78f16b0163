"""Fixtures that several test files share."""

import pytest

import processes


@pytest.fixture(scope="module")
def shared(tmp_path_factory):
    """Run one system of real processes for all tests of a file."""
    made = processes.System(tmp_path_factory.mktemp("system"))
    try:
        made.start()
        yield made
    finally:
        made.kill()
