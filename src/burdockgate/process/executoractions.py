"""Settings of an agent's decisions, and what they ask their daemon to do."""

from __future__ import annotations

import attrs

from burdockgate.process import actions, workercontrol


@attrs.frozen
class ExecutorSettings:
    """Time limits of the executor, in seconds.

    :param worker_lease_s: lease on the worker that each poll extends.
    :param session_lease_s: how long runs go on without a word of their owner. A caller
        sends a job again 1.3 s after its connection broke; by then these runs must
        have ended.
    :param clock_drift: largest relative error of the worker's steady clock.
    :param stop_repeat_s: time after which a stop is ordered again.
    :param silence_s: time without an answer after which the worker counts as
        unreachable; several times the interval of the polls.
    :param poll_wait_s: how long the worker may hold back the answer to a poll.
    :param poll_repeat_s: how long an answer may be overdue before another poll is sent
        beside it. An answer takes a few milliseconds; until one comes, no end is seen
        and freed room stays unused.
    :param short_poll_period_s: how long polls are short after one got no answer.
        Answers get lost for seconds at a time.
    :param lossy_poll_wait_s: how long the worker may hold back an answer then.
    :param near_entries: how many entry hosts hear of every change of the load at once
        and share out freed room. With ten of them, reports of every change to all took
        more processor time than the jobs did; the others hear of it at regular times.
    :param distant_report_s: interval of the regular reports to the other entry hosts
        while they have no runs here; half of the session lease, which it renews.
    """

    worker_lease_s: float = 1.0
    session_lease_s: float = 0.7
    clock_drift: float = 0.02
    stop_repeat_s: float = 0.2
    silence_s: float = 0.45
    poll_wait_s: float = 0.25
    poll_repeat_s: float = 0.08
    short_poll_period_s: float = 2.0
    lossy_poll_wait_s: float = 0.03
    near_entries: int = 4
    distant_report_s: float = 0.35


@attrs.frozen
class Start:
    """Effect: send a start command and report the answer."""

    command: workercontrol.StartCommand


@attrs.frozen
class Stop:
    """Effect: send a stop command and report the answer."""

    command: workercontrol.StopCommand


@attrs.frozen
class Poll:
    """Effect: send a poll beside the regular ones."""

    command: workercontrol.PollCommand


Effect = Start | Stop | Poll | actions.Send | actions.LogEvent
