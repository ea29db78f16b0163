"""Outcome statistics of workers and the detectors that score failures.

The health monitor of an entry host keeps the data of this module up to date and
ejects a worker when its score reaches the threshold of the detector.
"""

from __future__ import annotations

import abc
import collections
import enum
import math

import attrs

UNLIMITED = 1 << 30
# Lower bound of the expected failure rate. It limits the weight of the first failure
# in a class that has had none.
MIN_FAILURE_RATE = 0.02
# Window of the moving average of a failure rate. When every job fails, the rate must
# rise before 11 workers have collected enough evidence to be ejected.
RATE_WINDOW_OUTCOMES = 50
# A short window lets the mean trust fall together with the trust of the workers when
# every job fails.
TRUST_WINDOW_OUTCOMES = 10
MIN_TRUST = 0.05
TRUSTED_SHARE = 0.5


class HealthState(enum.Enum):
    """Whether a worker may get tasks: all, none, or one at a time on probation."""

    HEALTHY = "healthy"
    EJECTED = "ejected"
    PROBATION = "probation"


class EjectionReason(enum.Enum):
    """Why a worker was ejected."""

    FAILING = "failing"
    SLOW = "slow"
    SILENT = "silent"


@attrs.define(eq=False)
class WorkerRecord:
    """Health of one worker, as far as one entry host knows it.

    :param boot: boot id of its agent; another boot id starts a new record.
    :param allowance: largest number of tasks that may be sent now; the free slots
        limit it further.
    :param failure_score: evidence that the worker fails, at least 0.
    :param slowness_score: evidence that the worker is slow, at least 0.
    :param trust: recent share of successes; all failures of one job count as one.
    :param consecutive_failures: failed jobs in a row at this entry host.
    :param reported_failures: failed jobs in a row over all entry hosts, as the agent
        reports them.
    :param ejected_until: end of the ejection.
    :param ejections: recent ejections; each one doubles the length of the next.
    :param probation_outcomes: outcomes counted in the current probation.
    :param in_flight: tasks sent in this session and not reported yet.
    :param session_number: number of the current or last session of this record.
    :param last_answer_at: time of the last sign that a task ended at the worker.
    :param last_failed_job: last job that lowered the trust.
    :param last_slow_job: last job that raised the slowness score.
    """

    name: str
    service: str
    boot: int
    state: HealthState = HealthState.HEALTHY
    reason: EjectionReason = EjectionReason.FAILING
    allowance: int = UNLIMITED
    failure_score: float = 0.0
    slowness_score: float = 0.0
    trust: float = 1.0
    consecutive_failures: int = 0
    reported_failures: int = 0
    ejected_until: float = 0.0
    ejections: int = 0
    readmitted_at: float = -math.inf
    probation_outcomes: int = 0
    in_flight: int = 0
    session_number: int = 0
    is_connected: bool = False
    last_answer_at: float = -math.inf
    last_failed_job: bytes = b""
    last_slow_job: bytes = b""


@attrs.define(eq=False)
class OutcomeStatistics:
    """Outcomes of one service and class of callers, over all workers.

    :param service_stats: statistics of the whole service; ``None`` in these themselves.
    :param failure_rate: moving average of the share of failures.
    :param mean_trust: mean trust of the workers that the outcomes came from.
    :param mean_log_ms: mean logarithm of the run time in ms.
    :param run_count: number of run times.
    :param awaited: sent tasks before the overdue limit, oldest first. Reported tasks
        are dropped from it only when they reach the limit.
    :param overdue: tasks that have passed the limit but not twice the limit.
    """

    service_stats: OutcomeStatistics | None = None
    failure_rate: float = 0.0
    mean_trust: float = 1.0
    mean_log_ms: float = 0.0
    run_count: int = 0
    awaited: collections.deque[SentTask] = attrs.field(factory=collections.deque)
    overdue: collections.deque[SentTask] = attrs.field(factory=collections.deque)

    def add_outcome(self, failure: float, worker_trust: float) -> None:
        """Update the failure rate with an outcome.

        The outcome is weighted by the worker's trust relative to the mean trust.
        Otherwise one worker that fails every task would raise the expected failure
        rate; when all workers fail, the rate has to rise.

        :param failure: 1 for a failure, 0 for a success.
        :param worker_trust: trust of the worker that the outcome came from.
        """
        self.mean_trust += (worker_trust - self.mean_trust) / TRUST_WINDOW_OUTCOMES
        share = max(worker_trust, MIN_TRUST) / max(self.mean_trust, MIN_TRUST)
        self.failure_rate += (
            (failure - self.failure_rate) * min(1.0, share) / RATE_WINDOW_OUTCOMES
        )
        if self.service_stats is not None:
            self.service_stats.add_outcome(failure, worker_trust)

    @property
    def expected_failure_rate(self) -> float:
        """The higher of the failure rates of the class and of its service.

        When a service breaks, the rate of the service rises first.
        """
        return max(
            self.failure_rate,
            self.service_stats.failure_rate if self.service_stats else 0.0,
        )

    def is_trusted(self, worker_trust: float) -> bool:
        """Return whether a worker's trust is at least ``TRUSTED_SHARE`` of the mean.

        :param worker_trust: trust of the worker.
        """
        return worker_trust >= TRUSTED_SHARE * self.mean_trust


@attrs.define(eq=False)
class SentTask:
    """A task that was sent and whose outcome is awaited.

    :param stats: statistics that the outcome counts in.
    :param session_number: session of the worker in which it was sent.
    """

    record: WorkerRecord
    stats: OutcomeStatistics
    job: bytes
    index: int
    sent_at: float
    session_number: int


@attrs.define(eq=False)
class FailedJob:
    """A failed job and the worker whose score its failure raised.

    :param weight: what it added to the score; 0 once it was taken back.
    """

    job: bytes
    record: WorkerRecord
    weight: float


@attrs.frozen
class StateChange:
    """A change of a worker's health state, for the log.

    :param seconds: length of the ejection; 0 for any other change.
    """

    worker: str
    state: HealthState
    reason: EjectionReason
    seconds: float


class FailureDetector(abc.ABC):
    """Computes the failure score of a worker from its outcomes.

    :param failures_to_eject: failures in different jobs after which a worker is
        ejected, as long as no task fails elsewhere.
    """

    def __init__(self, failures_to_eject: int) -> None:
        self.failures_to_eject = failures_to_eject

    @property
    @abc.abstractmethod
    def threshold(self) -> float:
        """Score at which a worker is ejected."""

    @abc.abstractmethod
    def failure_weight(self, record: WorkerRecord, stats: OutcomeStatistics) -> float:
        """Return what a failure adds to the score.

        :param record: the worker.
        :param stats: outcomes of the service and class.
        """

    @abc.abstractmethod
    def score_after_success(
        self, record: WorkerRecord, stats: OutcomeStatistics
    ) -> float:
        """Return the score after a success.

        :param record: the worker.
        :param stats: outcomes of the service and class.
        """


class LikelihoodDetector(FailureDetector):
    """Cumulative sum (CUSUM) of log likelihood ratios.

    The null hypothesis is that the worker fails at the expected rate of the class; the
    alternative is a rate halfway between that and 1.
    """

    @property
    def threshold(self) -> float:
        """Score at which a worker is ejected."""
        # The worker's own failures raise the rate of its class a little, so that the
        # later ones weigh less than the first; half a failure is taken off for that.
        return (self.failures_to_eject - 0.5) * math.log(
            (1 + MIN_FAILURE_RATE) / 2 / MIN_FAILURE_RATE
        )

    def failure_weight(self, record: WorkerRecord, stats: OutcomeStatistics) -> float:
        """Return what a failure adds to the score."""
        rate = max(stats.expected_failure_rate, MIN_FAILURE_RATE)
        return math.log((1 + rate) / 2 / rate)

    def score_after_success(
        self, record: WorkerRecord, stats: OutcomeStatistics
    ) -> float:
        """Return the score after a success.

        A success is half as likely under the alternative hypothesis.
        """
        return max(0.0, record.failure_score - math.log(2.0))
