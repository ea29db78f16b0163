"""Tests the detection of an event loop that has stood still."""

from burdockgate.process import stalls


def test_only_a_long_pause_is_a_stall():
    """Logs could not tell a process that stood still from one that served on."""
    detector = stalls.StallDetector(10.0)
    assert detector.observe(10.02) == 0.0
    assert detector.observe(10.02 + stalls.STALL_S / 2) == 0.0
    assert round(detector.observe(11.02 + stalls.STALL_S / 2), 6) == 1.0
    assert detector.observe(11.04 + stalls.STALL_S / 2) == 0.0


def test_what_is_read_after_a_stall_may_have_waited():
    """A request was read before the timer that notices the stall, or long after it."""
    detector = stalls.StallDetector(10.0)
    assert not detector.may_have_waited(10.02)
    assert detector.may_have_waited(11.0)
    detector.observe(11.0)
    detector.observe(11.02)
    assert detector.may_have_waited(11.02)
    detector.observe(11.02 + stalls.STALL_S / 2)
    assert detector.may_have_waited(11.0 + 0.9 * stalls.BACKLOG_S)
    for number in range(1, 100):
        detector.observe(11.02 + 0.02 * number)
    assert not detector.may_have_waited(13.0)
