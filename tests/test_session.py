"""Tests of the handshake and the lease of a connection."""

import pytest

import builders
from burdockgate import errors, messages
from burdockgate.connection import session as sessions

HEARTBEAT = messages.Heartbeat(1, 1)


@pytest.fixture
def session():
    return sessions.Session(10.0, 10.0)


def test_hello_comes_first_and_once(session):
    """Messages of a node that has not sent ``Hello`` must not be handled."""
    with pytest.raises(errors.WireError, match="Heartbeat came before Hello"):
        session.record_activity(HEARTBEAT, 10.0)
    assert session.record_activity(builders.hello("a1"), 11.0)
    assert session.hello.node.name == "a1"
    assert not session.record_activity(HEARTBEAT, 12.0)
    with pytest.raises(errors.WireError, match="twice"):
        session.record_activity(builders.hello("a2"), 12.0)
    assert session.hello.node.name == "a1"


def test_other_protocol_is_refused(session):
    """A node with another protocol version would misread every later message."""
    with pytest.raises(errors.WireError, match="protocol 2 of a1, allowed is 1"):
        session.record_activity(builders.hello("a1", protocol=2), 10.0)
    assert session.hello is None


def test_connection_without_hello_is_overdue_after_the_timeout(session):
    """A silent connection is closed, but a slow handshake may exceed the lease."""
    assert not session.is_overdue(15.0, 2.5)
    assert session.is_overdue(15.1, 2.5)


def test_lease_starts_at_the_last_message(session):
    """A dead peer is detected after the lease; a peer that sends stays connected."""
    session.record_activity(builders.hello("a1"), 11.0)
    assert not session.is_overdue(13.5, 2.5)
    session.record_activity(HEARTBEAT, 13.0)
    assert not session.is_overdue(15.5, 2.5)
    assert session.is_overdue(15.6, 2.5)
