"""Sessions of an agent with entry hosts: leases, demand, load reports and run ends."""

from __future__ import annotations

import math
from collections.abc import Iterable

import attrs
import xxhash

from burdockgate import assignments

# Entry hosts send their demand when its urgency changes or no task waits any more, and
# every 0.1 s while tasks wait. An older demand must not reserve capacity that others
# can use.
DEMAND_VALID_S = 0.5
HASH_RANGE = 1 << 64
# Largest hashes round to the whole range, which has no logarithm.
LARGEST_SHARE = math.nextafter(1.0, 0.0)
# Weight of an entry host of the agent's own zone against one of another zone with the
# same load. Work in the own zone saves the latency and the cost of the traffic.
OWN_ZONE_WEIGHT = 4.0
# Loads are compared as powers of two, and a change by less than this many powers is
# ignored, so that the choice of near entry hosts is steady.
LOAD_HYSTERESIS = 0.75
# Smallest load that is told from none, in thousandths of a core.
MIN_LOAD_CPU = 1000


@attrs.frozen
class ReportedLoad:
    """Part of a load report whose changes are reported at once.

    :param free_cpu: free processors, at most the amount above which changes do not
        matter, in thousandths of a core; 0 for an entry host that is not among the
        nearest.
    """

    state: assignments.WorkerState
    free_cpu: int


@attrs.define
class EntrySession:
    """State kept for one entry host; times in seconds of the agent's clock.

    :param boot: random number that the process of the entry host drew at its start.
    :param distance: sort key returned by :func:`distance`; smaller is nearer.
    :param is_connected: whether a connection exists.
    :param disconnected_at: when the last connection ended.
    :param alive_at: last sign of life: when the newest report was sent that a renewal
        has echoed. Delayed messages are no later sign of life.
    :param leased_until: end of the session lease, counted from ``alive_at``. Runs of
        this entry host may start until then, and go on until then after the connection
        is lost.
    :param load_cpu: load that the entry host last reported, in thousandths of a core.
    :param load_power: binary logarithm of the load that the entry host last reported,
        in units of ``MIN_LOAD_CPU``, rounded.
    :param last_assign_number: number of the last assignment received.
    :param demand: processors that tasks waiting at the entry host need.
    :param last_start_at: when a run of this entry host was last started.
    :param has_stale_load: whether the entry host assigned runs by an outdated load
        report, so that it needs a new one at once.
    :param reported_load: part of the last report whose changes matter; ``None`` when
        none was sent on this connection.
    :param reported_at: when the last report was sent.
    :param last_end_number: number of the last end of a run.
    :param released_at: since when the entry host is told that this agent serves it no
        longer; ``None`` while it is served.
    """

    name: str
    boot: int
    distance: tuple[bool, int] = (False, 0)
    is_connected: bool = True
    disconnected_at: float = 0.0
    alive_at: float = 0.0
    leased_until: float = 0.0
    load_cpu: int = 0
    load_power: int = 0
    last_assign_number: int = 0
    demand: assignments.Demand = assignments.Demand(0, 0)
    demand_received_at: float = 0.0
    last_start_at: float = 0.0
    has_stale_load: bool = False
    reported_load: ReportedLoad | None = None
    reported_at: float = float("-inf")
    released_at: float | None = None
    last_end_number: int = 0
    _end_by_number: dict[int, assignments.TaskEnd] = attrs.field(factory=dict)

    def record_load(self, load_cpu: int) -> None:
        """Record the load of the entry host.

        :param load_cpu: processors that its runs use and its waiting tasks need, in
            thousandths of a core.
        """
        self.load_cpu = load_cpu
        power = math.log2(max(load_cpu, MIN_LOAD_CPU) / MIN_LOAD_CPU)
        if abs(power - self.load_power) > LOAD_HYSTERESIS:
            self.load_power = round(power)

    @property
    def remoteness(self) -> float:
        """Sort key for the choice of near entry hosts; the smallest are chosen.

        Weighted rendezvous hashing: each entry host is near to a share of the agents
        that grows with its load, and a change of its load changes few of them.
        """
        is_other_zone, draw = self.distance
        weight = 2.0**self.load_power * (1.0 if is_other_zone else OWN_ZONE_WEIGHT)
        share = min((draw + 0.5) / HASH_RANGE, LARGEST_SHARE)
        return -math.log1p(-share) / weight

    def has_demand(self, now: float) -> bool:
        """Return whether tasks wait at the entry host for free capacity.

        :param now: the time in seconds.
        """
        is_valid = now - self.demand_received_at < DEMAND_VALID_S
        return self.is_connected and is_valid and self.demand.waiting_cpu > 0

    def record_end(
        self,
        key: assignments.RunKey,
        kind: assignments.EndKind,
        run_s: float,
        next_run: int,
    ) -> assignments.TaskEnd:
        """Store the end of a run until it is acknowledged, and return its message.

        :param key: the run.
        :param kind: how it ended.
        :param run_s: run time in seconds.
        :param next_run: smallest number for the next run of the task.
        """
        self.last_end_number += 1
        end = assignments.TaskEnd(
            self.last_end_number, key, kind, int(max(0.0, run_s) * 1000), next_run
        )
        self._end_by_number[end.number] = end
        return end

    def acknowledge(self, number: int) -> None:
        """Drop the ends that the entry host has received.

        :param number: number of the last end received.
        """
        for stored in [stored for stored in self._end_by_number if stored <= number]:
            del self._end_by_number[stored]

    def unacknowledged(self) -> list[assignments.TaskEnd]:
        """Return the ends that the entry host may not have received, in order."""
        return list(self._end_by_number.values())


def allocate_free_cpu(
    free_cpu: int, sessions: Iterable[EntrySession], now: float
) -> dict[str, int]:
    """Return the free processors that each entry host may use, by its name.

    The most urgent demand is served first; what remains is open to all. If all free
    capacity were open to all, every entry host would fill the same freed place, and
    all but one of their tasks would wait here while other workers have free capacity.

    :param free_cpu: thousandths of a core.
    :param sessions: sessions with the entry hosts.
    :param now: the time in seconds.
    """
    sessions = list(sessions)
    demanding = sorted(
        (session for session in sessions if session.has_demand(now)),
        key=lambda session: (session.demand.rank, session.last_start_at, session.name),
    )
    allotted_cpu_by_entry: dict[str, int] = {}
    for session in demanding:
        allotted_cpu = min(free_cpu, session.demand.waiting_cpu)
        allotted_cpu_by_entry[session.name] = allotted_cpu
        free_cpu -= allotted_cpu
    for session in sessions:
        allotted_cpu_by_entry[session.name] = (
            allotted_cpu_by_entry.get(session.name, 0) + free_cpu
        )
    return allotted_cpu_by_entry


def distance(
    agent: str, agent_zone: str, entry: str, entry_zone: str
) -> tuple[bool, int]:
    """Return a sort key of entry hosts: same zone first, then a hash of both names.

    The hash spreads the agents of a zone without entry hosts over all entry hosts.

    :param agent: name of the agent.
    :param agent_zone: its zone.
    :param entry: name of the entry host.
    :param entry_zone: its zone.
    """
    pair = f"{agent}\0{entry}".encode()
    return entry_zone != agent_zone, xxhash.xxh3_64_intdigest(pair)


def nearest(sessions: Iterable[EntrySession], count: int) -> set[str]:
    """Return the names of the connected entry hosts with which capacity is shared.

    Those with much load are near to more agents: an entry host competes for the freed
    capacity of its near agents only.

    :param sessions: sessions with the entry hosts.
    :param count: largest number of names.
    """
    connected = [session for session in sessions if session.is_connected]
    connected.sort(key=lambda session: session.remoteness)
    return {session.name for session in connected[:count]}


def load_shares(sessions: Iterable[EntrySession]) -> dict[str, int]:
    """Return the part of each entry host in the load of all, in thousandths.

    :param sessions: sessions with the entry hosts; disconnected ones have no part.
    """
    load_by_entry = {
        session.name: session.load_cpu * session.is_connected for session in sessions
    }
    total = sum(load_by_entry.values())
    return {
        name: 1000 * load // total if total else 0
        for name, load in load_by_entry.items()
    }
