"""Sessions of an agent with entry hosts: leases, demand, load reports and run ends."""

from __future__ import annotations

from collections.abc import Iterable

import attrs
import xxhash

from burdockgate import assignments

# Entry hosts send their demand when its urgency changes or no task waits any more, and
# every 0.1 s while tasks wait. An older demand must not reserve capacity that others
# can use.
DEMAND_VALID_S = 0.5


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
    """Return the names of the nearest connected entry hosts.

    :param sessions: sessions with the entry hosts.
    :param count: largest number of names.
    """
    connected = [session for session in sessions if session.is_connected]
    connected.sort(key=lambda session: session.distance)
    return {session.name for session in connected[:count]}
