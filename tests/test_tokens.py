"""Tests the fencing tokens that an agent draws over the lives of its worker."""

import pytest

from burdockgate.process import tokens, workercontrol

# A worker that was up for 482 s when it was first heard of.
UPTIME_MS = 482_113
BORN = 1_796_655_807_373


def _heartbeat(worker="i-1", born=BORN, clock_ms=UPTIME_MS):
    return workercontrol.WorkerHeartbeat(
        worker, born, "svc", 4000, 1000, 0, (), False, 1, clock_ms
    )


def _adopt(*heartbeats):
    """Return the tokens of a process that adopts the lives one after the other."""
    source, previous = tokens.TokenSource(), None
    for heartbeat in heartbeats:
        source.adopt(heartbeat, heartbeat.worker == previous)
        previous = heartbeat.worker
    return source


def test_token_of_a_replaced_worker_is_not_carried_on():
    """Each agent process that started later was refused until the clocks caught up.

    The clock of the worker before ran ahead of its start time.
    """
    old = _heartbeat()
    new = _heartbeat("i-2", BORN + 5_000, 100)
    later = _heartbeat("i-2", BORN + 5_000, 9_000)
    assert _adopt(later).current > _adopt(old, new).current


def test_new_process_draws_a_token_above_those_for_an_earlier_life():
    """A late start of the earlier process passed the fence of the next life."""
    earlier = _adopt(_heartbeat())
    for _ in range(20):
        earlier.advance(BORN, UPTIME_MS + 500)
    restarted = _heartbeat(born=BORN + UPTIME_MS + 600, clock_ms=10)
    assert _adopt(restarted).current > earlier.current


def test_token_grows_over_a_restart_after_the_wall_clock_was_set_back():
    """A late command to the earlier life must not pass for a current one."""
    before = _adopt(_heartbeat()).current
    assert _adopt(_heartbeat(), _heartbeat(born=BORN - 5_000, clock_ms=0)).current > (
        before
    )


@pytest.mark.parametrize("ahead", [1, 5_000, UPTIME_MS, BORN])
def test_refused_agent_finds_a_token_within_seconds(ahead):
    """Tokens grew by one a poll, 20 a second, and the worker was out of use."""
    source = _adopt(_heartbeat())
    seen, polls = source.current + ahead, 0
    while source.current < seen:
        assert source.refuse(source.current, BORN, UPTIME_MS)
        polls += 1
    # Polls come every 0.05 s, and the recovery may take 12 s.
    assert polls < 100
    # Only refusals in succession lengthen the step.
    source.confirm()
    last = source.current
    assert source.refuse(last, BORN, UPTIME_MS)
    assert source.current == last + 1


def test_refusal_of_an_earlier_token_changes_nothing():
    """Parallel commands with one token raised it once each."""
    source = _adopt(_heartbeat())
    assert not source.refuse(source.current - 1, BORN, UPTIME_MS)
    assert source.current == BORN + UPTIME_MS


def test_token_stays_an_exact_json_number():
    """The worker would read another number than the agent compares with."""
    source = tokens.TokenSource(tokens.MAX_TOKEN - 1)
    for _ in range(3):
        source.refuse(source.current, BORN, UPTIME_MS)
    assert source.current == tokens.MAX_TOKEN
