"""Connections of simulated callers, which may break and be held back on their way."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from burdockgate.process import stalls
from burdockgate.request import caller
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
    :param reuse_share: share of the requests on connections that exist already. The
        process knows when it reads them, but not when they were sent.
    """

    leave_share: float = 0.9
    leave_range_s: tuple[float, float] = (0.3, 1.0)
    end_lag_range_s: tuple[float, float] = (0.0, 0.008)
    reuse_share: float = 0.0


@attrs.define(eq=False)
class Connection(caller.Caller):
    """A connection with one request.

    :param ticket: number of the request.
    :param has_arrived: whether the request has arrived at the entry host's machine.
    :param opened_at: when the caller opened it, or chose to send the request on it.
    :param began_at: when the process accepted the connection, or read the beginning of
        the request on one that it had accepted before; ``None`` if not yet.
    :param has_end_arrived: whether the kernel there knows that the connection has
        ended, whatever the process has read.
    """

    ticket: int
    caller_job: simnodes.CallerJob
    entry: simnodes.SimulatedEntryHost
    opened_at: float
    began_at: float | None = None
    has_arrived: bool = False
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

    def was_delayed(self) -> bool:
        """Return whether the request was read long after the connection began."""
        now = self.entry.sim.time.now()
        return self.began_at is not None and now - self.began_at >= stalls.STALL_S


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
        self._unaccepted_by_entry: dict[str, list[Connection]] = {}

    def connect(
        self, caller_job: simnodes.CallerJob, entry: simnodes.SimulatedEntryHost
    ) -> None:
        """Send a job to an entry host on a new connection.

        :param caller_job: the job.
        :param entry: the entry host.
        """
        now = self._sim.time.now()
        connection = Connection(next(self._sim.tickets), caller_job, entry, now)
        entry.connection_by_ticket[connection.ticket] = connection
        if not self._is_reused():
            if entry.is_behind:
                self._unaccepted_by_entry.setdefault(entry.name, []).append(connection)
            else:
                connection.began_at = now

        def arrive() -> None:
            connection.has_arrived = True
            entry.execute(
                standstill.Requested(
                    lambda: entry.submit(connection), connection.source
                )
            )

        self._transmit(entry, arrive)
        if entry.is_frozen or not connection.has_arrived:
            self._leave_later(connection)

    def _is_reused(self) -> bool:
        share = self._habits.reuse_share if self._habits is not None else 0.0
        return bool(share) and self._rng.random() < share

    def _transmit(
        self,
        entry: simnodes.SimulatedEntryHost,
        arrive: Callable[[], None],
        lag_s: float = 0.0,
    ) -> None:
        """Let something arrive at an entry host, unless it has ended by then.

        :param entry: the entry host.
        :param arrive: called when it arrives.
        :param lag_s: how long after the link has healed.
        """
        incarnation, time = entry.incarnation, self._sim.time

        def arrive_at_process() -> None:
            if entry.incarnation == incarnation:
                arrive()

        def pass_link() -> None:
            delay_s = self._held_until_by_entry.get(entry.name, 0.0) - time.now()
            if delay_s > 0:
                time.call_later(delay_s, pass_link)
            elif lag_s:
                time.call_later(lag_s, arrive_at_process)
            else:
                arrive_at_process()

        pass_link()

    def _is_held(self, entry: simnodes.SimulatedEntryHost) -> bool:
        return self._held_until_by_entry.get(entry.name, 0.0) > self._sim.time.now()

    def hold(self, entry: simnodes.SimulatedEntryHost, for_s: float) -> None:
        """Hold back what callers and an entry host send each other.

        Connections exist already: their callers send requests while the link is cut,
        and leave before it heals.

        :param entry: the entry host.
        :param for_s: duration in seconds.
        """
        self._held_until_by_entry[entry.name] = max(
            self._held_until_by_entry.get(entry.name, 0.0),
            self._sim.time.now() + for_s,
        )

    def _leave_later(self, connection: Connection) -> None:
        """Let a connection break, if the entry host does not go on before."""
        if self._habits is None or self._rng.random() >= self._habits.leave_share:
            return
        delay_s = self._rng.uniform(*self._habits.leave_range_s)
        incarnation = connection.entry.incarnation

        def leave() -> None:
            entry = connection.entry
            is_waiting = entry.is_frozen or not connection.has_arrived
            if is_waiting and entry.incarnation == incarnation:
                self.leave(connection)

        self._sim.time.call_later(delay_s, leave)

    def handle_freeze(self, entry: simnodes.SimulatedEntryHost) -> None:
        """Let connections with an entry host break that stands still from now on.

        :param entry: the entry host.
        """
        for connection in list(entry.connection_by_ticket.values()):
            self._leave_later(connection)

    def handle_resumption(self, entry: simnodes.SimulatedEntryHost) -> None:
        """Let an entry host that goes on accept what waits at its listener.

        :param entry: the entry host.
        """
        for connection in self._unaccepted_by_entry.pop(entry.name, []):
            connection.began_at = self._sim.time.now()

    def leave(self, connection: Connection, is_retrying: bool = True) -> None:
        """Break a connection; its caller sends the job again later.

        :param connection: the connection.
        :param is_retrying: whether the caller still wants the job.
        """
        if not connection.is_open:
            return
        entry = connection.entry
        del entry.connection_by_ticket[connection.ticket]
        lag_s = 0.0
        if self._habits is not None and self._is_held(entry):
            lag_s = self._rng.uniform(*self._habits.end_lag_range_s)

        def arrive() -> None:
            connection.has_end_arrived = True
            entry.execute(
                standstill.Ended(
                    lambda: entry.handle_caller_gone(connection), connection.source
                )
            )

        self._transmit(entry, arrive, lag_s)
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

        self._transmit(entry, arrive)

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

        self._transmit(entry, arrive)
