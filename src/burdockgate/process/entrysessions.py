"""Sessions of an agent with the entry hosts that own its runs."""

from __future__ import annotations

from collections.abc import Iterable

import attrs
import xxhash

from burdockgate import assignments

# Entry hosts tell their demand at least with every change and every 0.2 s; one that
# stopped doing so must not keep the room from others.
DEMAND_VALID_S = 0.5


@attrs.frozen
class ReportedLoad:
    """What an owner was last told and has to hear of at once when it changes.

    :param free_cpu: free room up to what is ample; 0 for an owner that is not near.
    """

    state: assignments.WorkerState
    free_cpu: int


@attrs.define
class EntrySession:
    """One entry host; times in seconds of the agent's clock.

    :param boot: random number of the life of the entry host's process.
    :param distance: order of the owners from this agent, as :func:`distance` gives it.
    :param is_linked: whether there is a connection.
    :param leased_until: runs of this owner may start until then, and go on until then
        when the connection is gone. Counted from the sending of the report that the
        entry host echoed, so that messages that were held up extend nothing.
    :param assigned_through: number of the last assignment received.
    :param demand: what waits at the owner.
    :param served_at: when the last run of this owner was started.
    :param is_outdated: whether it acted on a load that has changed.
    :param told: what matters of the last report.
    :param told_at: when it was sent.
    """

    name: str
    boot: int
    distance: tuple[bool, int] = (False, 0)
    is_linked: bool = True
    leased_until: float = 0.0
    assigned_through: int = 0
    demand: assignments.Demand = assignments.Demand(0, 0)
    demand_received_at: float = 0.0
    served_at: float = 0.0
    is_outdated: bool = False
    told: ReportedLoad | None = None
    told_at: float = float("-inf")
    _number: int = 0
    _end_by_number: dict[int, assignments.TaskEnd] = attrs.field(factory=dict)

    def has_demand(self, now: float) -> bool:
        """Return whether tasks wait at the owner for want of room.

        :param now: the time.
        """
        is_valid = now - self.demand_received_at < DEMAND_VALID_S
        return self.is_linked and is_valid and self.demand.waiting_cpu > 0

    def record_end(
        self,
        key: assignments.RunKey,
        kind: assignments.EndKind,
        ran_s: float,
        next_run: int,
    ) -> assignments.TaskEnd:
        """Keep an end until the owner has acknowledged it, and return its message.

        :param key: the run.
        :param kind: how it ended.
        :param ran_s: how long it ran.
        :param next_run: smallest number for the task's next run.
        """
        self._number += 1
        end = assignments.TaskEnd(
            self._number, key, kind, int(max(0.0, ran_s) * 1000), next_run
        )
        self._end_by_number[end.number] = end
        return end

    def acknowledge(self, number: int) -> None:
        """Forget the ends that the owner has.

        :param number: number of the last one.
        """
        for known in [known for known in self._end_by_number if known <= number]:
            del self._end_by_number[known]

    def unacknowledged(self) -> list[assignments.TaskEnd]:
        """Return the ends that the owner may not have, in order."""
        return list(self._end_by_number.values())


def allocate_free_cpu(
    free_cpu: int, sessions: Iterable[EntrySession], now: float
) -> dict[str, int]:
    """Return the free room that each owner may use, by name.

    The most urgent demand is served first. Without this, every owner would fill the
    same freed place, and all but one task would wait at this worker while other
    workers have room.

    :param free_cpu: thousandths of a core.
    :param sessions: the owners.
    :param now: the time in seconds.
    """
    sessions = list(sessions)
    demanding = sorted(
        (session for session in sessions if session.has_demand(now)),
        key=lambda session: (session.demand.rank, session.served_at, session.name),
    )
    share_by_entry: dict[str, int] = {}
    for session in demanding:
        share = min(free_cpu, session.demand.waiting_cpu)
        share_by_entry[session.name] = share
        free_cpu -= share
    for session in sessions:
        share_by_entry[session.name] = share_by_entry.get(session.name, 0) + free_cpu
    return share_by_entry


def distance(
    agent: str, agent_zone: str, entry: str, entry_zone: str
) -> tuple[bool, int]:
    """Return how far an owner is from an agent: its zone, then a hash of both names.

    The hash spreads the agents of a zone without entry hosts over all entry hosts.

    :param agent: name of the agent.
    :param agent_zone: its zone.
    :param entry: name of the entry host.
    :param entry_zone: its zone.
    """
    pair = f"{agent}\0{entry}".encode()
    return entry_zone != agent_zone, xxhash.xxh3_64_intdigest(pair)


def nearest(sessions: Iterable[EntrySession], count: int) -> set[str]:
    """Return the names of the owners that hear of every change of the load.

    :param sessions: the owners.
    :param count: how many there are at most.
    """
    linked = [session for session in sessions if session.is_linked]
    linked.sort(key=lambda session: session.distance)
    return {session.name for session in linked[:count]}
