"""What an agent knows of its worker since the worker's last start."""

from __future__ import annotations

import attrs

from burdockgate import assignments
from burdockgate.process import executoractions, runs, workercontrol

# A worker that restarts after its clock was set back has an earlier start time than
# before. It is adopted when heartbeats of it, sent every 1.5 s, have come for this long
# and nothing was heard of the later incarnation meanwhile.
OLDER_INCARNATION_S = 3.0
# Added to the end of a lease by the worker's clock before its runs count as ended.
LEASE_MARGIN_S = 0.2


@attrs.define
class WorkerIncarnation:
    """State of the worker since its last start; times in seconds of the agent's clock.

    :param heartbeat: the newest heartbeat; that of an earlier incarnation, with the
        start time of this one, until ``is_described``.
    :param is_described: whether a heartbeat of this incarnation has come. Until then
        nothing is known of its service, capacity and labels.
    :param clock_ms: newest known reading of the worker's clock.
    :param clock_read_at: when that reading arrived.
    :param last_processed_end: number of the last end processed; the next poll
        acknowledges it.
    :param last_answer_at: when the worker last answered a command or a poll.
    :param lease_ends_at: latest end of the lease by the commands sent so far.
    :param stop_sent_at_by_foreign_run: when a stop was last sent to each run that the
        worker lists and this agent does not know, such as one of the agent's previous
        process. While there is such a run, no queued run is started.
    :param first_token: first token drawn for this incarnation. Once the worker has
        accepted a poll with it, every earlier command is fenced off.
    :param confirmation_token: a poll with this token or a higher one was sent after a
        connection to the worker was last lost, so that its answer shows whether the
        worker has restarted; 0 while that is not in doubt.
    :param is_synchronized: whether the runs at the worker are fully known.
    :param is_refusing_polls: whether the worker refused a poll as unhealthy since its
        last snapshot.
    :param is_poll_failing: whether the last poll returned no snapshot.
    :param poll_unanswered_at: when a poll last got no answer.
    :param heard_at: when the last heartbeat or snapshot of this incarnation came.
    :param older: first heartbeat of an incarnation that started earlier, since this one
        was last heard of, and when it came.
    """

    heartbeat: workercontrol.WorkerHeartbeat
    clock_ms: int
    clock_read_at: float
    is_described: bool = True
    last_processed_end: int = 0
    last_answer_at: float = 0.0
    lease_ends_at: float = -1e9
    stop_sent_at_by_foreign_run: dict[assignments.RunKey, float] = attrs.field(
        factory=dict
    )
    first_token: int = 0
    confirmation_token: int = 0
    is_synchronized: bool = False
    is_refusing_polls: bool = False
    is_poll_failing: bool = False
    poll_unanswered_at: float = -1e9
    heard_at: float = -1e9
    older: tuple[workercontrol.WorkerHeartbeat, float] | None = None

    @property
    def may_have_foreign_runs(self) -> bool:
        """Whether runs may be active that the agent does not know and does not extend.

        Their owners have no session here that limits the lease.
        """
        return bool(self.stop_sent_at_by_foreign_run) or not self.is_synchronized

    @property
    def capacity(self) -> runs.Resources:
        """The whole capacity of the worker."""
        heartbeat = self.heartbeat
        return runs.Resources(heartbeat.cpu, heartbeat.memory_mb, heartbeat.gpu)

    def can_run(self, run: runs.Run) -> bool:
        """Return whether the worker could run a task if it were idle.

        :param run: a run of the task.
        """
        heartbeat = self.heartbeat
        return (
            run.service == heartbeat.service
            and (not run.label or run.label in heartbeat.labels)
            and self.capacity.fits(runs.Resources(), run)
        )

    @property
    def is_confirmed(self) -> bool:
        """Whether a command reaches this incarnation and no later one."""
        return not self.confirmation_token

    @property
    def is_known(self) -> bool:
        """Whether its kind and its runs are known, so that tasks can be assigned."""
        return self.is_synchronized and self.is_described and self.is_confirmed

    def record_heard(self, now: float) -> None:
        """Record that this incarnation is alive.

        :param now: the time.
        """
        self.heard_at, self.older = now, None

    def is_replaced_by(
        self, heartbeat: workercontrol.WorkerHeartbeat, now: float
    ) -> bool:
        """Return whether an incarnation that started earlier is the one that runs.

        A single heartbeat may be late; later ones of one incarnation have higher
        numbers.

        :param heartbeat: a heartbeat with an earlier start time.
        :param now: the time.
        """
        if self.older is None or self.older[0].born != heartbeat.born:
            self.older = heartbeat, now
            return False
        first, first_at = self.older
        return (
            heartbeat.sequence > first.sequence
            and now - first_at >= OLDER_INCARNATION_S
            and now - self.heard_at >= OLDER_INCARNATION_S
        )

    def extend_lease(
        self, now: float, lease_s: float, settings: executoractions.ExecutorSettings
    ) -> int:
        """Return the end of a lease that begins now, and record it.

        :param now: the time.
        :param lease_s: its duration by the worker's clock.
        :param settings: how slow that clock may be.
        :returns: a time in milliseconds of the worker's clock.
        """
        ends_at = now + lease_s * (1 + settings.clock_drift)
        self.lease_ends_at = max(self.lease_ends_at, ends_at)
        clock_ms = self.clock_ms + (now - self.clock_read_at) * 1000
        return int(clock_ms + lease_s * 1000)

    def is_lease_expired(self, now: float) -> bool:
        """Return whether all runs of the worker have ended with its lease.

        :param now: the time.
        """
        return now > self.lease_ends_at + LEASE_MARGIN_S
