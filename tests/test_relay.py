"""Tests when agents send copies of the configuration to entry hosts."""

import random

import pytest

from burdockgate import assignments, clock
from burdockgate.process import relay

FIRST = assignments.Configuration(3, b"first")
SECOND = assignments.Configuration(8, b"second")


class Bench:
    """A relay that has stored a configuration."""

    def __init__(self, configuration=FIRST, seed=1):
        self.time = clock.ManualClock(100.0)
        self.relay = relay.Relay(self.time, random.Random(seed))
        if configuration is not None:
            self.relay.update(configuration)


def test_entry_host_with_the_version_gets_no_copy():
    """Copies to all of them saturated slow links during a series of changes."""
    bench = Bench()
    bench.relay.record_version("e1", 3)
    bench.time.advance(10)
    assert bench.relay.collect_due() == []


def test_entry_host_that_updates_in_time_gets_no_copy():
    """A change reaches the entry hosts through the store within the minimum delay."""
    bench = Bench()
    bench.relay.record_version("e1", 2)
    bench.time.advance(relay.RELAY_DELAY_MIN_S / 2)
    assert bench.relay.collect_due() == []
    bench.relay.record_version("e1", 3)
    bench.time.advance(10)
    assert bench.relay.collect_due() == []


@pytest.mark.parametrize("version", [0, 2])
def test_entry_host_with_an_older_version_gets_a_copy_and_later_another(version):
    """One that cannot read the store must have the version within two seconds."""
    bench = Bench()
    bench.relay.record_version("e1", version)
    bench.time.advance(relay.RELAY_DELAY_MAX_S)
    assert bench.relay.collect_due() == [("e1", FIRST)]
    assert bench.relay.collect_due() == []
    bench.relay.record_version("e1", version)
    bench.time.advance(relay.RESEND_S)
    assert bench.relay.collect_due() == [("e1", FIRST)]


def test_few_agents_send_a_copy_to_a_restarted_entry_host():
    """59 copies of 250 KB took ten seconds on a link of 12.5 Mbit/s.

    A renewal shows the agents within 0.2 s that a copy has arrived.
    """
    benches = [Bench(seed=seed) for seed in range(30)]
    for bench in benches:
        bench.relay.record_version("e1", 0)
    sent_at = None
    copies = 0
    for step in range(30):
        for bench in benches:
            bench.time.advance(0.05)
            if sent_at is not None and step - sent_at >= 4:
                bench.relay.record_version("e1", 3)
            copies += len(bench.relay.collect_due())
        if copies and sent_at is None:
            sent_at = step
    assert 1 <= copies <= len(benches) // 2


def test_older_configuration_is_not_stored():
    """The version must never decrease."""
    bench = Bench(SECOND)
    assert not bench.relay.update(FIRST)
    assert not bench.relay.update(SECOND)
    assert bench.relay.version == 8


def test_relay_without_a_configuration_sends_nothing():
    """An agent that has just started has no configuration to relay."""
    bench = Bench(configuration=None)
    bench.relay.record_version("e1", 0)
    bench.time.advance(10)
    assert bench.relay.collect_due() == []


def test_copy_to_a_disconnected_entry_host_is_dropped():
    """A copy due on an earlier connection must not be sent at once on a new one."""
    bench = Bench()
    bench.relay.record_version("e1", 0)
    bench.relay.forget("e1")
    bench.time.advance(10)
    assert bench.relay.collect_due() == []
