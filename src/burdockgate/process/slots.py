"""The slots of one worker and their division among entry hosts.

Freed slots are offered to the entry hosts with waiting tasks by weighted start-time
fair queueing. An entry host keeps its virtual start time while it has no demand, so one
that announces each task separately gets no extra offers. An offer reserves the slot for
a short time: meanwhile no other entry host can take it, and an unused offer expires.
"""

from __future__ import annotations

import attrs

from burdockgate import clock

RESERVATION_S = 0.1


@attrs.define
class _Demand:
    """Demand of one entry host.

    :param waiting: waiting tasks that no slot was offered for yet.
    :param next_start: virtual time at which the next offer is due.
    """

    waiting: int
    weight: float
    next_start: float = 0.0


class Slots:
    """Counts the running tasks and the reserved slots of a worker.

    While ``is_open`` is false, no slot is offered or acquired.

    :param total: number of slots.
    :param time: the clock.
    """

    def __init__(self, total: int, time: clock.Clock) -> None:
        self.total = total
        self.running = 0
        self.is_open = True
        self._time = time
        self._virtual_time = 0.0
        self._demand_by_entry: dict[str, _Demand] = {}
        self._expiry_by_entry: dict[str, list[float]] = {}

    def free_for(self, entry: str) -> int:
        """Return the number of slots that an entry host may use now.

        :param entry: name of the entry host.
        """
        if not self.is_open:
            return 0
        reserved = sum(
            len(expiries)
            for name, expiries in self._expiry_by_entry.items()
            if name != entry
        )
        return max(0, self.total - self.running - reserved)

    def acquire(self, entry: str) -> bool:
        """Occupy a slot for a task of an entry host.

        :param entry: name of the entry host; its own reservation is used first.
        :returns: whether there was a slot.
        """
        if self.free_for(entry) == 0:
            return False
        if self._expiry_by_entry.get(entry):
            self._expiry_by_entry[entry].pop()
        self.running += 1
        return True

    def release(self) -> None:
        """Free the slot of a task that ended."""
        self.running -= 1

    def set_demand(self, entry: str, waiting: int, weight: float) -> None:
        """Set the number of tasks that wait at an entry host.

        :param entry: name of the entry host.
        :param waiting: number of tasks; 0 withdraws the demand.
        :param weight: sum of the weights of the classes that have waiting tasks.
        """
        previous = self._demand_by_entry.get(entry)
        next_start = max(previous.next_start if previous else 0.0, self._virtual_time)
        self._demand_by_entry[entry] = _Demand(waiting, max(weight, 1e-3), next_start)
        if waiting == 0:
            self._expiry_by_entry.pop(entry, None)

    def remove_entry(self, entry: str) -> None:
        """Remove the demand and the reservations of an entry host.

        :param entry: name of the entry host.
        """
        self._demand_by_entry.pop(entry, None)
        self._expiry_by_entry.pop(entry, None)

    def offer(self) -> str | None:
        """Reserve a free slot for the entry host that is next in turn.

        :returns: its name, or ``None`` when no slot is free or no task waits.
        """
        self._drop_expired()
        waiting = [
            (demand.next_start, entry)
            for entry, demand in self._demand_by_entry.items()
            if demand.waiting > 0
        ]
        if not waiting or self.free_for("") == 0:
            return None
        self._virtual_time, entry = min(waiting)
        demand = self._demand_by_entry[entry]
        demand.next_start += 1.0 / demand.weight
        demand.waiting -= 1
        expiry = self._time.now() + RESERVATION_S
        self._expiry_by_entry.setdefault(entry, []).append(expiry)
        return entry

    def _drop_expired(self) -> None:
        now = self._time.now()
        for entry, expiries in list(self._expiry_by_entry.items()):
            self._expiry_by_entry[entry] = [at for at in expiries if at > now]
            if not self._expiry_by_entry[entry]:
                del self._expiry_by_entry[entry]
