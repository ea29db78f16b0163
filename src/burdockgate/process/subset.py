"""Which entry hosts an agent serves.

Connections, load reports and renewals between all agents and all entry hosts grow with
the product of both: with 160 agents and 35 entry hosts they left too little processor
time for the work. Each agent serves a bounded number, which it chooses by itself: some
in its own zone, where most of their callers are, and some in others, so that an entry
host reaches free capacity when its zone is busy or lost.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from burdockgate import assignments
from burdockgate.process import entrysessions

OWN_ZONE_LIMIT = 4
OTHER_ZONE_LIMIT = 4
LIMIT = OWN_ZONE_LIMIT + OTHER_ZONE_LIMIT


def rank(
    agent: str, zone: str, entries: Iterable[assignments.EntryHost]
) -> list[assignments.EntryHost]:
    """Return entry hosts in the order in which an agent prefers them.

    A hash of both names spreads the agents evenly, and each entry host that comes or
    goes changes the choice of few agents.

    :param agent: name of the agent.
    :param zone: its zone.
    :param entries: the entry hosts that are present.
    """
    ordered = sorted(
        entries,
        key=lambda entry: entrysessions.distance(agent, zone, entry.name, entry.zone),
    )
    own = [entry for entry in ordered if entry.zone == zone]
    other = [entry for entry in ordered if entry.zone != zone]
    return [
        *own[:OWN_ZONE_LIMIT],
        *other[:OTHER_ZONE_LIMIT],
        *own[OWN_ZONE_LIMIT:],
        *other[OTHER_ZONE_LIMIT:],
    ]


def choose(
    ranked: Iterable[assignments.EntryHost], is_failing: Callable[[str], bool]
) -> list[assignments.EntryHost]:
    """Return the entry hosts to be connected with.

    :param ranked: result of :func:`rank`.
    :param is_failing: whether an address could not be connected with. Such entry hosts
        are chosen in addition, as they may come back, and others take their place.
    """
    chosen = []
    reachable = 0
    for entry in ranked:
        if reachable == LIMIT:
            break
        chosen.append(entry)
        reachable += not is_failing(entry.address)
    return chosen
