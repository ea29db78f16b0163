"""Which connections of peers give way when a budget is full."""

import pytest

from burdockgate.process import intake, peerintake

LIMITS = intake.Limits(memory_mb=96, max_fds=500)
FRAME_BYTES = 4 << 20


@pytest.fixture
def budgets():
    return peerintake.PeerIntake(LIMITS)


def connect(budgets, *names):
    """Connect by name, and return those that give way."""
    return [victim for name in names for victim in budgets.connect(name)]


def connect_peers(budgets, count):
    for number in range(count):
        connect(budgets, f"peer-{number}")
        budgets.introduce(f"peer-{number}")


def test_budgets_of_peers_fit_the_machine():
    """Budgets that do not fit together with those of callers protect nothing."""
    for memory_mb, max_fds in ((96, 500), (168, 4096), (200, 4100), (552, 8192)):
        limits = intake.Limits(memory_mb=memory_mb, max_fds=max_fds)
        used = intake.BASE_BYTES + limits.request_bytes + limits.peer_bytes
        used += limits.caller_connections * intake.CONNECTION_BYTES
        assert used <= memory_mb * intake.MIB
        sockets = limits.caller_connections + 3 * limits.reserved_connections
        assert sockets + limits.peer_connections + intake.FILE_FDS <= max_fds


def test_default_has_room_for_several_hundred_agents_at_once():
    """All agents of an entry host dial a new one together, before any said hello."""
    budgets = peerintake.PeerIntake(intake.Limits())
    assert connect(budgets, *range(480)) == []


def test_stranger_that_came_first_gives_way(budgets):
    """Silent connections took all descriptors."""
    count = LIMITS.peer_connections
    assert connect(budgets, *range(count)) == []
    assert connect(budgets, "new", "newer") == [0, 1]
    assert budgets.take_counts() == {intake.Reason.CONNECTIONS: 2}
    assert budgets.take_counts() == {}


def test_peers_do_not_give_way_to_strangers(budgets):
    """A crowd must not cost an entry host the connections of its agents."""
    connect_peers(budgets, 2 * LIMITS.peer_connections)
    strangers = range(2 * LIMITS.min_strangers)
    victims = connect(budgets, *strangers)
    assert victims == list(strangers)[: -LIMITS.min_strangers]


def test_agent_is_admitted_beside_any_number_of_peers(budgets):
    """A limit on all connections would have refused the agent that came last."""
    connect_peers(budgets, 1_000)
    assert connect(budgets, "agent") == []
    budgets.introduce("agent")
    assert connect(budgets, *range(100)) == list(range(100 - LIMITS.min_strangers))


def test_stranger_with_most_bytes_gives_way_before_peers(budgets):
    """Unfinished frames of strangers filled the memory."""
    connect_peers(budgets, 1)
    connect(budgets, "small", "large")
    assert budgets.hold("small", 1_000) == []
    assert budgets.hold("large", LIMITS.peer_bytes - FRAME_BYTES) == []
    assert budgets.hold("peer-0", FRAME_BYTES) == ["large"]
    assert budgets.held_bytes == FRAME_BYTES + 1_000
    assert budgets.take_counts() == {intake.Reason.MEMORY: 1}


def test_stranger_gives_way_itself_when_only_peers_hold_more(budgets):
    """Otherwise a stranger could cut off the frame of an agent."""
    connect_peers(budgets, 1)
    budgets.hold("peer-0", LIMITS.peer_bytes)
    connect(budgets, "stranger")
    assert budgets.hold("stranger", 1) == ["stranger"]


def test_largest_frame_of_a_peer_is_in_the_budget(budgets):
    """A peer inside the limits of the protocol must never give way."""
    connect_peers(budgets, 2)
    assert budgets.hold("peer-0", FRAME_BYTES + 4) == []
    assert budgets.hold("peer-1", FRAME_BYTES + 4) == []


def test_what_a_connection_held_comes_back(budgets):
    """Bytes that are counted twice would refuse peers for nothing."""
    connect(budgets, "a", "b")
    for size in (10, 20, 0):
        budgets.hold("a", size)
        assert budgets.held_bytes == size
    budgets.hold("b", 7)
    budgets.disconnect("b")
    budgets.disconnect("b")
    budgets.introduce("b")
    assert budgets.held_bytes == 0
    assert connect(budgets, *range(LIMITS.peer_connections - 1)) == []
