"""Settings of the executor, and the effects that it asks its daemon to perform."""

from __future__ import annotations

import attrs

from burdockgate.process import actions, workercontrol

# Part of the time until a caller submits its job again that is kept for late timers:
# of the worker when a lease ends, and of the caller and its network.
CALLER_RETRY_MARGIN_S = 0.08


@attrs.frozen
class ExecutorSettings:
    """Time limits of the executor, in seconds.

    :param worker_lease_s: lease on the worker that each poll extends.
    :param session_lease_s: how long runs go on without a renewal from their owner.
        They are stopped then.
    :param caller_retry_s: time after which a caller whose connection broke submits its
        job again, to any entry host.
    :param clock_drift: largest relative error of the worker's monotonic clock.
    :param stop_repeat_s: time after which an answered stop command is repeated; one
        without an answer is repeated at once.
    :param unreachable_after_s: time without an answer after which the worker counts as
        unreachable; several times the poll interval.
    :param poll_wait_s: longest time that the worker may delay the answer to a poll.
    :param poll_repeat_s: how long the answer to a poll may be overdue before another
        poll is sent in parallel. An answer takes a few milliseconds; until one arrives,
        no end of a run is seen and freed capacity stays unused.
    :param short_poll_period_s: how long polls are short after one got no answer, since
        answers get lost for seconds at a time.
    :param short_poll_wait_s: longest time that the worker may delay the answer to a
        short poll.
    :param near_entries: number of nearest entry hosts that get a report of every change
        of the load and divide freed capacity among them. With ten entry hosts, reports
        of every change to all of them took more processor time than the jobs; the
        others get periodic reports only.
    :param distant_report_s: interval of the periodic reports to the other entry hosts
        while they have no runs here; half of the session lease, since each report
        causes its renewal.
    :param release_s: time between the notice to an entry host that it is served no
        longer and the end of the connection; the notice takes 0.2 s at most, and
        assignments that were sent before arrive meanwhile.
    """

    worker_lease_s: float = 1.0
    session_lease_s: float = 0.7
    caller_retry_s: float = 1.3
    clock_drift: float = 0.02
    stop_repeat_s: float = 0.2
    unreachable_after_s: float = 0.45
    poll_wait_s: float = 0.25
    poll_repeat_s: float = 0.08
    short_poll_period_s: float = 2.0
    short_poll_wait_s: float = 0.03
    near_entries: int = 4
    distant_report_s: float = 0.35
    release_s: float = 1.0

    @property
    def orphan_lease_s(self) -> float:
        """Longest lease of a run, counted from the last sign of life of its owner.

        It is shorter than the time until callers return, as the worker's clock may be
        slow. So the runs of a dead owner end in time, however many stops are lost.
        """
        return (self.caller_retry_s - CALLER_RETRY_MARGIN_S) / (1 + self.clock_drift)


@attrs.frozen
class Start:
    """Effect: send a start command and hand its result to the executor."""

    command: workercontrol.StartCommand


@attrs.frozen
class Stop:
    """Effect: send a stop command and hand its result to the executor."""

    command: workercontrol.StopCommand


@attrs.frozen
class Poll:
    """Effect: send a poll in addition to the regular ones."""

    command: workercontrol.PollCommand


Effect = Start | Stop | Poll | actions.Send | actions.LogEvent
