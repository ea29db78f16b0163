"""Tests the detection of an event loop that has stood still."""

from burdockgate.process import stalls


def test_only_a_long_pause_is_a_stall():
    """Logs could not tell a process that stood still from one that served on."""
    detector = stalls.StallDetector(10.0)
    assert detector.observe(10.02) == 0.0
    assert detector.observe(10.02 + stalls.STALL_S / 2) == 0.0
    assert round(detector.observe(11.02 + stalls.STALL_S / 2), 6) == 1.0
    assert detector.observe(11.04 + stalls.STALL_S / 2) == 0.0
