"""Sessions of an agent with the entry hosts that own its runs."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from burdockgate import assignments


@attrs.define
class OwnerSession:
    """One entry host; times in seconds of the agent's clock.

    :param boot: random number of the life of the entry host's process.
    :param is_linked: whether there is a connection.
    :param leased_until: runs of this owner may start until then, and go on until then
        when the connection is gone. Counted from the sending of the report that the
        entry host echoed, so that messages that were held up extend nothing.
    :param assigned_through: number of the last assignment received.
    :param demand: what waits at the owner.
    :param served_at: when the last run of this owner was started.
    """

    name: str
    boot: int
    is_linked: bool = True
    leased_until: float = 0.0
    assigned_through: int = 0
    demand: assignments.Demand = assignments.Demand(0, 0)
    demanded_at: float = 0.0
    served_at: float = 0.0
    _number: int = 0
    _end_by_number: dict[int, assignments.TaskEnd] = attrs.field(factory=dict)

    def ended(
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


# Entry hosts tell their demand at least with every change and every 0.2 s; one that
# stopped doing so must not keep the room from others.
DEMAND_VALID_S = 0.5


def share_out(
    free_cpu: int, sessions: Iterable[OwnerSession], now: float
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
        (
            session
            for session in sessions
            if session.is_linked
            and session.demand.waiting_cpu
            and now - session.demanded_at < DEMAND_VALID_S
        ),
        key=lambda session: (session.demand.rank, session.served_at, session.name),
    )
    share_by_owner: dict[str, int] = {}
    for session in demanding:
        share = min(free_cpu, session.demand.waiting_cpu)
        share_by_owner[session.name] = share
        free_cpu -= share
    for session in sessions:
        share_by_owner[session.name] = share_by_owner.get(session.name, 0) + free_cpu
    return share_by_owner
