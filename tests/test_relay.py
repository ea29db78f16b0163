"""Tests how copies of the configuration reach agents and entry hosts without it."""

import random

import pytest

from burdockgate import assignments, clock, errors
from burdockgate.process import relay

FIRST = assignments.Configuration(3, b"first")
SECOND = assignments.Configuration(8, b"second")


class Bench:
    """An entry host's knowledge of what ten agents hold."""

    def __init__(self, seed=1, agents=10):
        self.time = clock.ManualClock(100.0)
        self.holders = relay.Holders(self.time, random.Random(seed))
        for number in range(agents):
            self.holders.record(f"a{number}", 0)


def test_copy_is_compressed_and_restored():
    """A copy of 250 KB took a second on a link of 2 Mbit/s, and leases lapsed."""
    body = b'{"name":"r","host":"h.example","pathPrefix":"/jobs/"},' * 4000
    message = relay.pack(3, body)
    assert len(message.body) < len(body) / 5
    assert relay.unpack(message) == body


@pytest.mark.parametrize("damage", [b"", b"x", None])
def test_damaged_copy_is_refused(damage):
    """A cut or endless copy must not be applied, nor fill the memory."""
    packed = relay.pack(3, b"text" * 1000).body
    body = packed[:-4] if damage is None else damage
    with pytest.raises(errors.WireError):
        relay.unpack(assignments.Configuration(3, body))


def test_copy_over_the_size_limit_is_refused(monkeypatch):
    """A small message can expand to any size."""
    monkeypatch.setattr(relay, "MAX_BODY_BYTES", 1000)
    with pytest.raises(errors.WireError):
        relay.unpack(relay.pack(3, b"0" * 100_000))


def test_older_configuration_is_not_stored():
    """The version must never decrease."""
    copy = relay.Copy()
    assert copy.update(SECOND)
    assert not copy.update(FIRST)
    assert not copy.update(SECOND)
    assert copy.version == 8


def test_only_a_newer_configuration_is_passed_on():
    """Copies to entry hosts that had the version saturated slow links."""
    copy = relay.Copy()
    assert copy.newer_than(0) is None
    copy.update(FIRST)
    assert copy.newer_than(0) == FIRST
    assert copy.newer_than(3) is None


def test_few_agents_get_a_copy_of_a_new_version():
    """Some of them remain when a zone is lost."""
    bench = Bench()
    bench.holders.handle_applied()
    bench.time.advance(relay.COPY_SPREAD_S)
    receivers = bench.holders.collect_receivers(3)
    assert len(receivers) == relay.COPIES
    for agent in receivers:
        bench.holders.record(agent, 3)
    bench.time.advance(relay.COPY_CHECK_S)
    assert bench.holders.collect_receivers(3) == []


def test_agents_that_hold_the_version_get_no_other_copy():
    """35 entry hosts sent 105 copies of each version at the same moment."""
    benches = [Bench(seed) for seed in range(35)]
    for bench in benches:
        bench.holders.handle_applied()
    copies = 0
    held = set()
    for _ in range(60):
        new = set()
        for bench in benches:
            # A load report tells of a copy within 0.2 s.
            for agent in held:
                bench.holders.record(agent, 3)
            bench.time.advance(0.02)
            receivers = bench.holders.collect_receivers(3)
            copies += len(receivers)
            new.update(receivers)
        held |= new
    assert relay.COPIES <= copies <= 35


def test_lost_holder_is_replaced():
    """Agents that hold a copy can be replaced one after the other."""
    bench = Bench(agents=3)
    bench.holders.handle_applied()
    bench.time.advance(relay.COPY_SPREAD_S)
    for agent in bench.holders.collect_receivers(3):
        bench.holders.record(agent, 3)
    bench.holders.forget("a0")
    bench.holders.record("a9", 0)
    bench.time.advance(relay.COPY_CHECK_S)
    assert bench.holders.collect_receivers(3) == ["a9"]


def test_entry_host_that_updates_in_time_asks_nobody():
    """A change reaches the entry hosts through the store within the delay."""
    bench = Bench()
    bench.holders.record("a1", 3)
    assert bench.holders.next_source(2) is None
    bench.time.advance(relay.REQUEST_DELAY_S / 2)
    assert bench.holders.next_source(3) is None
    bench.time.advance(10)
    assert bench.holders.next_source(3) is None


@pytest.mark.parametrize("version", [0, 2])
def test_entry_host_with_an_older_version_asks_one_agent_at_a_time(version):
    """59 agents each sent a copy of 250 KB, ten seconds on a link of 12.5 Mbit/s."""
    bench = Bench()
    for number in range(8):
        bench.holders.record(f"a{number}", 3)
    requests = []
    for _ in range(50):
        source = bench.holders.next_source(version)
        requests += [source] if source else []
        bench.time.advance(0.02)
    assert len(requests) == 1
    bench.time.advance(relay.FIRST_RETRY_S)
    assert bench.holders.next_source(version) is not None, "the copy may be lost"


def test_first_request_comes_within_the_bound_of_a_change():
    """A change is to be in force within 2 s, also without the store."""
    assert 0.4 + relay.REQUEST_DELAY_S + relay.FIRST_RETRY_S < 2


def test_agent_that_is_gone_is_not_asked():
    """The only holder may have disconnected meanwhile."""
    bench = Bench()
    bench.holders.record("a1", 3)
    bench.holders.next_source(0)
    bench.holders.forget("a1")
    bench.time.advance(1)
    assert bench.holders.next_source(0) is None


def test_newest_holder_is_asked():
    """After a restart, a route that had been removed was in use again."""
    for seed in range(20):
        bench = Bench(seed)
        bench.holders.record("a1", 3)
        bench.holders.record("a2", 8)
        bench.holders.next_source(0)
        bench.time.advance(relay.FIRST_REQUEST_DELAY_S)
        assert bench.holders.next_source(0) == "a2"


def test_older_copy_is_dropped_once_others_hold_the_newer_version():
    """An entry host can meet the holder of the old version first."""
    copy = relay.Copy()
    copy.update(FIRST)
    assert not copy.drop_older_than(3)
    assert copy.drop_older_than(8)
    assert copy.newer_than(0) is None
    assert copy.update(SECOND)


def test_version_counts_as_held_only_with_enough_copies():
    """Old copies that are dropped too early leave a starting entry host with none."""
    bench = Bench()
    for number in range(relay.COPIES):
        assert not bench.holders.has_enough_copies(3)
        bench.holders.record(f"a{number}", 3)
    assert bench.holders.has_enough_copies(3)
    assert not relay.Holders(bench.time, random.Random(1)).has_enough_copies(3)
