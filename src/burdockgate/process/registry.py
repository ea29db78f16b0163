"""The registry of the jobs of an entry host, and the end of each job.

:class:`JobRegistry` is the base of three layers, each in its own module:
:mod:`burdockgate.process.remotejobs` for jobs that another entry host owns,
:mod:`burdockgate.process.ownership` for claims and owned jobs, and
:mod:`burdockgate.process.lifecycle` for callers and timers.
"""

from __future__ import annotations

import abc
import collections
import itertools
import math
import random
from collections.abc import Iterator

from burdockgate import clock, codes, effects, messages, settings
from burdockgate.process import directory, dispatch, limits, metrics, outcomecache
from burdockgate.request import job, outcome
from burdockgate.request import submission as submissions
from burdockgate.version import view as views

VIEW_AGE_STEP_S = 10

_Effects = Iterator[effects.Effect]
_Submission = submissions.Submission


class JobRegistry(abc.ABC):
    """All jobs known to this entry host; ``body_bytes`` is the size of their bodies.

    :param node: this incarnation of the entry host.
    :param config: its settings.
    :param time: the clock.
    :param rng: the source of random delays.
    :param counters: the process's metrics.
    :param workers: the connected workers.
    :param dispatcher: queues the jobs that have waiting tasks.
    :param limit: weights and limits of services and classes.
    """

    def __init__(
        self,
        node: messages.Node,
        config: settings.EntrySettings,
        time: clock.Clock,
        rng: random.Random,
        counters: metrics.Metrics,
        workers: directory.Directory,
        dispatcher: dispatch.Dispatcher,
        limit: limits.Limits,
    ) -> None:
        self._limits = limit
        self.view = views.View()
        self._view_checked_at = -math.inf
        self.body_bytes = 0
        self.peer_by_name: dict[str, messages.Node] = {}
        self._node = node
        self._config = config
        self._time = time
        self._rng = rng
        self._counters = counters
        self._workers = workers
        self._dispatcher = dispatcher
        self._submission_by_job: dict[bytes, _Submission] = {}
        self._cancelled_at_by_job: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )
        self._submission_numbers = itertools.count()
        self._job_by_ticket: dict[int, bytes] = {}
        # Jobs that may have changed since the last tick.
        self._touched_jobs: set[bytes] = set()
        self._confirming_jobs: set[bytes] = set()
        # Used as an ordered set: finding the first key of a plain dict is slow after
        # many deletions.
        self._confirmation_queue: collections.OrderedDict[bytes, None] = (
            collections.OrderedDict()
        )
        self._schedule_heap: list[tuple[float, bytes]] = []
        self._versions_at_last_tick = (-1, -1)
        self._outcomes = outcomecache.OutcomeCache(
            time, config.timing.retention_s, config.limits.answers_bytes
        )

    def __len__(self) -> int:
        return len(self._submission_by_job)

    @property
    def owned_count(self) -> int:
        """Number of jobs that this entry host owns and that are still in progress."""
        return sum(
            submission.owned_job is not None
            for submission in self._submission_by_job.values()
        )

    @property
    def is_view_current(self) -> bool:
        """Whether claims may still use this view, since no newer group votes yet.

        The members of a newer group wait until every entry host with an older view has
        stopped using it for claims, so that two groups cannot both grant a job.
        """
        age_s = self._time.now() - self._view_checked_at
        return age_s <= self._config.timing.view_limit_s

    @property
    def view_age_s(self) -> int:
        """Upper bound of the seconds since the view was known to be the newest one.

        The bound is rounded up so that most heartbeats are equal to the previous one
        and need not be sent.
        """
        age_s = self._time.now() - self._view_checked_at
        if age_s >= messages.UNKNOWN_AGE_S:
            return messages.UNKNOWN_AGE_S
        return math.ceil((age_s + 1) / VIEW_AGE_STEP_S) * VIEW_AGE_STEP_S

    def record_view_check(self, age_s: float) -> None:
        """Record that the view was the newest one at some time in the past.

        :param age_s: seconds since that time.
        """
        checked_at = self._time.now() - age_s
        self._view_checked_at = max(self._view_checked_at, checked_at)

    def weight(self, request: job.JobRequest) -> float:
        """Return the weight of a job from its service and its class.

        :param request: the job.
        """
        return self._limits.weight(request.service, request.caller_class)

    def _add_submission(self, job_id: bytes, timeout_s: float) -> _Submission:
        number = next(self._submission_numbers)
        submission = _Submission(
            job_id, self._time.now() + timeout_s, arrival_number=number
        )
        self._submission_by_job[job_id] = submission
        self._touched_jobs.add(job_id)
        return submission

    def _find(self, job_id: bytes) -> _Submission | None:
        """Return a job that the caller may change; the next tick runs its timers."""
        submission = self._submission_by_job.get(job_id)
        if submission is not None:
            self._touched_jobs.add(job_id)
        return submission

    def _find_all(self) -> list[_Submission]:
        """Return all jobs; the next tick runs the timers of each."""
        self._touched_jobs.update(self._submission_by_job)
        return list(self._submission_by_job.values())

    def _add_caller(self, submission: _Submission, ticket: int) -> None:
        """Add a caller that waits for a job."""
        submission.tickets.add(ticket)
        self._job_by_ticket[ticket] = submission.job

    def _set_request(self, submission: _Submission, request: job.JobRequest) -> None:
        submission.request = request
        self.body_bytes += request.size
        self._limits.add_queued_bytes(request, request.size)

    @abc.abstractmethod
    def _claim(self, submission: _Submission, epoch: int, attempt: int) -> _Effects:
        """Claim a job; epoch 0 only asks whether it is claimed."""

    @abc.abstractmethod
    def _handle_job_change(self, submission: _Submission) -> _Effects:
        """Queue, finish or claim a job again after its owned job has changed."""

    def _finish(self, submission: _Submission, result: outcome.Outcome) -> _Effects:
        """Answer all who wait for a job, and cache the outcome if it is owned here."""
        if self._submission_by_job.get(submission.job) is not submission:
            return
        del self._submission_by_job[submission.job]
        self._confirming_jobs.discard(submission.job)
        self._confirmation_queue.pop(submission.job, None)
        if submission.request is not None:
            self.body_bytes -= submission.request.size
            self._limits.add_queued_bytes(submission.request, -submission.request.size)
            self._limits.set_in_progress(submission.request, 0)
        epoch = submission.owned_job.terms.epoch if submission.owned_job else 0
        if submission.owned_job is not None:
            self._dispatcher.remove(submission.owned_job)
            yield from submission.owned_job.settle()
        if (
            isinstance(result, outcome.Complete | outcome.Failed)
            and submission.owned_job
        ):
            request = submission.owned_job.request
            self._outcomes.put(
                submission.job,
                outcomecache.CachedOutcome(
                    result,
                    epoch,
                    request.digest,
                    request.repeatable,
                    self._time.now(),
                ),
            )
        self._counters.count(_COUNTER_BY_CLASS.get(type(result), "jobs.refused"))
        for ticket in sorted(submission.tickets):
            del self._job_by_ticket[ticket]
            yield effects.Answer(ticket, result)
        for name in sorted(submission.attached_hosts):
            yield effects.Send(name, outcome_message(submission.job, epoch, result))


_COUNTER_BY_CLASS: dict[type, str] = {
    outcome.Complete: "jobs.complete",
    outcome.Failed: "jobs.failed",
    outcome.Refused: "jobs.refused",
}


def may_have_run(code: codes.Code) -> bool:
    """Return whether a result code leaves it possible that a task ran.

    :param code: the result code.
    """
    return codes.start_class(code) is not codes.StartClass.NOT_RUN


def key_reused_refusal() -> outcome.Refused:
    """Return the refusal of a key that was used with another body."""
    code = codes.Code.KEY_REUSED
    return outcome.Refused(code, codes.MEANING_BY_CODE[code].text)


def outcome_message(
    job_id: bytes, epoch: int, result: outcome.Outcome
) -> messages.Outcome:
    """Return the message that reports the outcome of a job to another entry host.

    :param job_id: 16-byte job id.
    :param epoch: epoch under which the job ended.
    :param result: the outcome.
    """
    results = result.results if isinstance(result, outcome.Complete) else ()
    return messages.Outcome(
        job_id, epoch, result.attempt, int(result.code), result.detail, results
    )
