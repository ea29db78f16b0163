"""Tests which entry hosts an agent serves, at the size of the large deployment."""

import collections

import pytest

from burdockgate import assignments
from burdockgate.process import executoractions, subset
from burdockgate.standin import crest, invariants, simulation

ZONES = [f"z{number}" for number in range(6)]
ENTRIES = [
    assignments.EntryHost(f"e{number}", f"10.0.0.{number}:1", ZONES[number % 6], 1)
    for number in range(35)
]
AGENTS = [(f"a{number}", ZONES[number % 6]) for number in range(160)]


def _choose(entries, failing=()):
    """Return the chosen entry hosts by agent."""
    return {
        agent: subset.choose(
            subset.rank(agent, zone, entries), lambda address: address in failing
        )
        for agent, zone in AGENTS
    }


def _agents_by_entry(chosen_by_agent):
    agents = collections.defaultdict(set)
    for agent, chosen in chosen_by_agent.items():
        for entry in chosen:
            agents[entry.name].add(agent)
    return agents


def test_connections_do_not_grow_with_the_entry_hosts():
    """With 5,600 connections, days were given up for their processor time."""
    chosen_by_agent = _choose(ENTRIES)
    assert {len(chosen) for chosen in chosen_by_agent.values()} == {subset.LIMIT}
    ten_times = [
        assignments.EntryHost(f"x{number}", f"10.1.{number}.1:1", ZONES[number % 6], 1)
        for number in range(350)
    ]
    assert {len(chosen) for chosen in _choose(ten_times).values()} == {subset.LIMIT}


def test_each_entry_host_has_agents_in_several_zones():
    """Otherwise an entry host stops when the workers of its zone are lost."""
    zone_by_agent = dict(AGENTS)
    for entry, agents in _agents_by_entry(_choose(ENTRIES)).items():
        zones = collections.Counter(zone_by_agent[agent] for agent in agents)
        assert len(agents) >= 20, entry
        assert len(zones) >= 4, entry
        assert max(zones.values()) <= 0.8 * len(agents), entry


def test_departed_entry_host_moves_few_connections():
    """Agents that change all of their entry hosts at once would interrupt runs."""
    before, after = _choose(ENTRIES), _choose(ENTRIES[1:])
    moved = sum(len(set(after[agent]) - set(before[agent])) for agent, _ in AGENTS)
    assert moved <= len(_agents_by_entry(before)["e0"])


def test_unreachable_entry_hosts_are_replaced_and_still_dialled():
    """After a mass kill, agents must serve the entry hosts that are left."""
    dead = {entry.address for entry in ENTRIES[:20]}
    for chosen in _choose(ENTRIES, dead).values():
        assert sum(entry.address not in dead for entry in chosen) == subset.LIMIT


def test_few_entry_hosts_are_all_served():
    """Small deployments must keep all of their connections."""
    few = ENTRIES[: subset.LIMIT]
    assert all(len(chosen) == len(few) for chosen in _choose(few).values())


@pytest.mark.timeout(300)
def test_subsets_serve_a_peak_like_a_full_mesh(monkeypatch):
    """Entry hosts of a busy zone must find capacity at the agents that they reach.

    Replays a peak of 2.0 times the load with 16 entry hosts and 24 workers in 4 zones.
    """
    shares = {}
    messages = {}
    for limit in (4, 8):
        monkeypatch.setattr(subset, "OWN_ZONE_LIMIT", limit)
        monkeypatch.setattr(subset, "OTHER_ZONE_LIMIT", limit)
        monkeypatch.setattr(subset, "LIMIT", 2 * limit)
        sim = simulation.Simulation(
            3,
            crest.KINDS,
            entries=16,
            workers=24,
            zones=4,
            limits=executoractions.ExecutorSettings(),
        )
        sim.schedule_load(3, 4, 2.0)
        sim.schedule_load(4, 6, 4.4)
        sim.run(20)
        assert list(invariants.violations(sim)) == []
        done = [caller_job.earned_share() for caller_job in sim.caller_jobs]
        shares[limit] = sum(done) / len(done)
        messages[limit] = sum(sim.message_count_by_type.values())
    assert shares[4] > shares[8] - 0.03
    assert messages[4] < 0.75 * messages[8]


def test_callers_are_served_after_half_of_the_entry_hosts_are_lost():
    """Agents whose entry hosts were killed must connect with others."""
    sim = simulation.Simulation(4, crest.KINDS, entries=16, workers=16, zones=4)
    sim.schedule_load(3, 8)
    for node in list(sim.entry_by_name.values())[::2]:
        sim.time.call_later(4, node.kill)
    sim.run(30)
    sent_after = [job for job in sim.caller_jobs if job.sent_at > 1005]
    served = sum(job.is_completed for job in sent_after)
    assert served > 0.4 * len(sent_after)
    assert list(invariants.violations(sim)) == []
