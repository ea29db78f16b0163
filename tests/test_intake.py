"""Which clients give way when a budget is full, and which are out of time."""

import pytest

from burdockgate import clock
from burdockgate.process import intake

LIMITS = intake.Limits(memory_mb=56, max_fds=400)


class _Client(intake.Client):
    def give_way(self, reason):
        """Unused; the tests read what the intake returns."""


@pytest.fixture
def time():
    return clock.ManualClock()


@pytest.fixture
def budgets(time):
    return intake.Intake(LIMITS, time)


def connect(budgets, phase=intake.Phase.BODY, room=100):
    usage, _, _ = budgets.connect(_Client(), "callers", room)
    usage.phase = phase
    return usage


def hold(budgets, usage, size):
    """Return the connections that give way, each of which is disconnected."""
    victims = []
    for victim in budgets.hold(usage, size):
        budgets.disconnect(victim)
        victims.append(victim)
    return victims


def test_budgets_leave_room_for_base_jobs_and_peers():
    """Budgets that do not fit the machine together protect nothing."""
    for memory_mb, max_fds in ((96, 500), (168, 4096), (200, 4100), (552, 8192)):
        limits = intake.Limits(memory_mb=memory_mb, max_fds=max_fds)
        connections = limits.caller_connections
        used = intake.BASE_BYTES + limits.request_bytes
        used += connections * intake.CONNECTION_BYTES
        assert used <= memory_mb * intake.MIB
        others = 3 * limits.reserved_connections
        assert connections + others + intake.FILE_FDS < max_fds
        assert limits.request_bytes > 16 * 262_144 or memory_mb < 168


def test_stalled_request_gives_way_before_a_larger_one(budgets, time):
    """A client that stopped short of its end kept its place for ever."""
    stalled = connect(budgets)
    assert hold(budgets, stalled, 1000) == []
    time.advance(intake.STALL_S + 1)
    newcomer = connect(budgets)
    assert hold(budgets, newcomer, LIMITS.request_bytes) == [stalled]
    assert budgets.held_bytes == LIMITS.request_bytes


def test_largest_gives_way_and_not_the_one_that_has_just_come(budgets):
    """An ordinary request was refused because of the bodies of others."""
    others = [connect(budgets) for _ in range(4)]
    for index, usage in enumerate(others):
        assert hold(budgets, usage, LIMITS.request_bytes // 4 - index) == []
    ordinary = connect(budgets)
    assert hold(budgets, ordinary, 2000) == [others[0]]


def test_whole_request_gives_way_only_when_its_response_is_not_read(budgets, time):
    """A job in progress must not be lost for clients that have none."""
    served = connect(budgets, intake.Phase.SERVED)
    assert hold(budgets, served, LIMITS.request_bytes) == []
    newcomer = connect(budgets)
    assert hold(budgets, newcomer, 1) == [newcomer]
    served.blocked_at = time.now()
    assert hold(budgets, connect(budgets), 1) == [served]


def test_connection_without_progress_gives_way_to_a_new_one(budgets, time):
    """Silent connections took all places."""
    served = connect(budgets, intake.Phase.SERVED, 3)
    silent = connect(budgets, intake.Phase.NEW, 3)
    time.advance(1)
    connect(budgets, intake.Phase.HEAD, 3)
    usage, victims, has_room = budgets.connect(_Client(), "callers", 3)
    assert (victims, has_room) == ([silent], True)
    assert served is not usage


def test_new_connection_is_refused_when_all_others_have_jobs(budgets):
    """Only then is the newcomer the one with the least progress."""
    for _ in range(2):
        connect(budgets, intake.Phase.SERVED, 2)
    _, victims, has_room = budgets.connect(_Client(), "callers", 2)
    assert (victims, has_room) == ([], False)


def test_endpoints_have_connections_of_their_own(budgets):
    """A crowd of callers must not take the places of the readiness check."""
    connect(budgets, room=1)
    _, victims, has_room = budgets.connect(_Client(), "readiness", 1)
    assert (victims, has_room) == ([], True)


@pytest.mark.parametrize(
    ("phase", "wait_s", "reason"),
    [
        (intake.Phase.NEW, LIMITS.head_s, intake.Reason.SLOW_HEAD),
        (intake.Phase.HEAD, LIMITS.head_s, intake.Reason.SLOW_HEAD),
        (intake.Phase.IDLE, LIMITS.idle_s, intake.Reason.IDLE),
        (intake.Phase.BODY, LIMITS.body_s, intake.Reason.SLOW_BODY),
        (intake.Phase.CLOSING, LIMITS.response_s, intake.Reason.UNREAD),
    ],
)
def test_each_phase_has_its_time(budgets, time, phase, wait_s, reason):
    """A place that is held for nothing comes back."""
    usage = connect(budgets, phase)
    time.advance(wait_s)
    assert budgets.overdue("callers") == []
    time.advance(1)
    assert budgets.overdue("callers") == [(usage, reason)]


def test_job_in_progress_has_no_time_of_its_own(budgets, time):
    """A long job must not be cut off by limits of its caller's sending."""
    usage = connect(budgets, intake.Phase.SERVED)
    time.advance(1000)
    assert budgets.overdue("callers") == []
    usage.blocked_at = time.now()
    time.advance(LIMITS.response_s + 1)
    assert budgets.overdue("callers") == [(usage, intake.Reason.UNREAD)]


def test_largest_legal_body_over_a_thin_link_is_in_time(budgets, time):
    """A body at the least pace is served; one that sends single bytes is not."""
    steady, dripping = connect(budgets), connect(budgets)
    for _ in range(60):
        time.advance(1)
        steady.received_bytes += 600
        dripping.received_bytes += 1
        overdue = budgets.overdue("callers")
        assert (steady, intake.Reason.SLOW_BODY) not in overdue
    assert overdue == [(dripping, intake.Reason.SLOW_BODY)]


def test_refusals_are_counted_by_reason(budgets):
    """An operator must see how many clients were refused, and why."""
    for reason in (intake.Reason.HEAD, intake.Reason.HEAD, intake.Reason.MEMORY):
        budgets.count("callers", reason)
    expected = {intake.Reason.HEAD: 2, intake.Reason.MEMORY: 1}
    assert budgets.take_counts("callers") == expected
    assert budgets.take_counts("callers") == {}
