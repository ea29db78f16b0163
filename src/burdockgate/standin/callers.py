"""Connections of simulated callers, which may break and be held back on their way."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from burdockgate.standin import standstill

if TYPE_CHECKING:
    from burdockgate.request import besteffort
    from burdockgate.standin import simnodes, simulation


@attrs.frozen
class Habits:
    """When the connections of callers break that get no answer.

    :param leave_share: share of the connections that break at an entry host that does
        not answer.
    :param leave_range_s: time until then.
    :param end_lag_range_s: how long after its data the end of a connection arrives
        that a link has held back.
    """

    leave_share: float = 0.9
    leave_range_s: tuple[float, float] = (0.3, 1.0)
    end_lag_range_s: tuple[float, float] = (0.0, 0.008)


@attrs.define(eq=False)
class Connection:
    """A connection with one request.

    :param ticket: number of the request.
    :param arrived_at: when the request arrived at the machine of the entry host, or
        will arrive.
    :param opened_at: when the kernel accepted the connection.
    :param has_end_arrived: whether the kernel there knows that the connection has
        ended, whatever the process has read.
    """

    ticket: int
    caller_job: simnodes.CallerJob
    entry: simnodes.SimulatedEntryHost
    opened_at: float
    arrived_at: float
    has_end_arrived: bool = False

    @property
    def source(self) -> str:
        """Name of the connection among the sources of events."""
        return f"caller {self.ticket}"

    @property
    def is_open(self) -> bool:
        """Whether the caller waits for the answer on this connection."""
        return self.ticket in self.entry.connection_by_ticket

    def is_connected(self) -> bool:
        """Return whether the kernel has not seen the end of the connection."""
        return not self.has_end_arrived


class Callers:
    """All connections of callers.

    :param sim: the simulation.
    :param habits: when connections break; ``None`` if never by themselves.
    :param rng: source of random numbers.
    """

    def __init__(
        self, sim: simulation.Simulation, habits: Habits | None, rng: random.Random
    ) -> None:
        self._sim, self._habits, self._rng = sim, habits, rng
        self._held_until_by_entry: dict[str, float] = {}

    def connect(
        self, caller_job: simnodes.CallerJob, entry: simnodes.SimulatedEntryHost
    ) -> None:
        """Send a job to an entry host on a new connection.

        :param caller_job: the job.
        :param entry: the entry host.
        """
        now = self._sim.time.now()
        connection = Connection(
            next(self._sim.tickets), caller_job, entry, now, self._heals_at(entry)
        )
        entry.connection_by_ticket[connection.ticket] = connection

        def arrive() -> None:
            entry.execute(
                standstill.Requested(
                    lambda: entry.submit(connection), connection.source
                )
            )

        self._transmit(entry, connection.arrived_at, arrive)
        if entry.is_frozen or connection.arrived_at > now:
            self._leave_later(connection)

    def _heals_at(self, entry: simnodes.SimulatedEntryHost) -> float:
        """Return when something that is sent now arrives at an entry host."""
        return max(self._sim.time.now(), self._held_until_by_entry.get(entry.name, 0.0))

    def _transmit(
        self,
        entry: simnodes.SimulatedEntryHost,
        arrives_at: float,
        arrive: Callable[[], None],
    ) -> None:
        """Let something arrive at an entry host, unless it has ended by then."""
        incarnation, delay_s = entry.incarnation, arrives_at - self._sim.time.now()
        if delay_s <= 0:
            arrive()
            return

        def arrive_at_process() -> None:
            if entry.incarnation == incarnation:
                arrive()

        self._sim.time.call_later(delay_s, arrive_at_process)

    def hold(self, entry: simnodes.SimulatedEntryHost, for_s: float) -> None:
        """Hold back what callers and an entry host send each other.

        Connections that carry no request yet exist already: their callers send it when
        the link is cut, and leave before it heals.

        :param entry: the entry host.
        :param for_s: duration in seconds.
        """
        self._held_until_by_entry[entry.name] = self._sim.time.now() + for_s

    def _leave_later(self, connection: Connection) -> None:
        """Let a connection break, if the entry host does not go on before."""
        if self._habits is None or self._rng.random() >= self._habits.leave_share:
            return
        delay_s = self._rng.uniform(*self._habits.leave_range_s)
        incarnation = connection.entry.incarnation

        def leave() -> None:
            entry = connection.entry
            is_waiting = entry.is_frozen or self._sim.time.now() < connection.arrived_at
            if is_waiting and entry.incarnation == incarnation:
                self.leave(connection)

        self._sim.time.call_later(delay_s, leave)

    def handle_freeze(self, entry: simnodes.SimulatedEntryHost) -> None:
        """Let connections with an entry host break that stands still from now on.

        :param entry: the entry host.
        """
        for connection in list(entry.connection_by_ticket.values()):
            self._leave_later(connection)

    def leave(self, connection: Connection, is_retrying: bool = True) -> None:
        """Break a connection; its caller sends the job again later.

        :param connection: the connection.
        :param is_retrying: whether the caller still wants the job.
        """
        if not connection.is_open:
            return
        entry = connection.entry
        del entry.connection_by_ticket[connection.ticket]
        arrives_at = self._heals_at(entry)
        if self._habits is not None and arrives_at > self._sim.time.now():
            arrives_at += self._rng.uniform(*self._habits.end_lag_range_s)

        def arrive() -> None:
            connection.has_end_arrived = True
            entry.execute(
                standstill.Ended(
                    lambda: entry.handle_caller_gone(connection), connection.source
                )
            )

        self._transmit(entry, arrives_at, arrive)
        if is_retrying:
            self._sim.retry(connection.caller_job)
        else:
            connection.caller_job.has_given_up = True

    def cancel(
        self, caller_job: simnodes.CallerJob, entry: simnodes.SimulatedEntryHost
    ) -> None:
        """Cancel a job at an entry host; the request may be read late.

        :param caller_job: the job.
        :param entry: the entry host.
        """
        sent_at, source = self._sim.time.now(), f"cancel {next(self._sim.tickets)}"

        def read() -> None:
            self._sim.ages.record("cancel", self._sim.time.now() - sent_at)
            for connection in entry.connection_by_ticket.values():
                is_newer = connection.opened_at > sent_at
                if connection.caller_job is caller_job and is_newer:
                    age_s = self._sim.time.now() - sent_at
                    self._sim.ages.record("cancel: newer submission", age_s)
            entry.perform(entry.scheduler.cancel(caller_job.job))

        def arrive() -> None:
            entry.execute(standstill.Requested(read, source))

        self._transmit(entry, self._heals_at(entry), arrive)

    def answer(
        self,
        entry: simnodes.SimulatedEntryHost,
        ticket: int,
        outcome: besteffort.Outcome,
    ) -> None:
        """Answer a request, unless its caller has left.

        :param entry: the entry host that answers.
        :param ticket: number of the request.
        :param outcome: the outcome of the job.
        """

        def arrive() -> None:
            connection = entry.connection_by_ticket.pop(ticket, None)
            if connection is not None:
                self._sim.handle_outcome(connection.caller_job, outcome)

        self._transmit(entry, self._heals_at(entry), arrive)
