"""What is known of the outcomes of workers, and how failures are weighed."""

from __future__ import annotations

import abc
import collections
import enum
import math

import attrs

UNLIMITED = 1 << 30
# Failure rate that is taken as usual at least, so that the first failure of a class
# without any does not weigh without bound.
RATE_FLOOR = 0.02
# Outcomes over which the failure rate of a class is taken. When every job fails, 11
# workers must not collect the evidence for an ejection before this rate has risen.
MEMORY = 50
# Short, so that the mean trust falls with that of the workers when every job fails.
TRUST_MEMORY = 10
TRUST_MIN = 0.05
TRUSTED = 0.5


class HealthState(enum.Enum):
    """Whether a worker gets tasks."""

    HEALTHY = "healthy"
    EJECTED = "ejected"
    PROBATION = "probation"


class EjectionReason(enum.Enum):
    """Why a worker is ejected."""

    FAILING = "failing"
    SLOW = "slow"
    SILENT = "silent"


@attrs.define(eq=False)
class WorkerRecord:
    """What an entry host knows of the outcomes of one worker.

    :param boot: boot id of its agent; another boot begins a new record.
    :param allowance: tasks that may be sent now, beside the free slots.
    :param score: evidence that the worker fails, from 0.
    :param slow: evidence that the worker is slow, from 0.
    :param trust: recent share of successes, each job's failures taken as one.
    :param row: failed jobs in a row, as seen here.
    :param told: failed jobs in a row, as the agent has seen them for all entry hosts.
    :param until: end of the ejection.
    :param answered_at: time of the last sign that a task ended there.
    """

    name: str
    service: str
    boot: int
    state: HealthState = HealthState.HEALTHY
    reason: EjectionReason = EjectionReason.FAILING
    allowance: int = UNLIMITED
    failure_score: float = 0.0
    slow: float = 0.0
    trust: float = 1.0
    row: int = 0
    told: int = 0
    ejected_until: float = 0.0
    ejections: int = 0
    readmitted_at: float = -math.inf
    proved: int = 0
    in_flight: int = 0
    session: int = 0
    is_connected: bool = False
    answered_at: float = -math.inf
    failed_job: bytes = b""
    slow_job: bytes = b""


@attrs.define(eq=False)
class OutcomeStatistics:
    """Outcomes of one service and class, over all workers.

    :param whole: outcomes of the service; ``None`` in that group itself.
    :param rate: share of failures.
    :param trust: mean trust of the workers that the outcomes came from.
    :param log_ms: mean logarithm of the run time in ms.
    """

    whole: OutcomeStatistics | None = None
    rate: float = 0.0
    trust: float = 1.0
    log_ms: float = 0.0
    runs: int = 0
    due: collections.deque[Sent] = attrs.field(factory=collections.deque)
    overdue: collections.deque[Sent] = attrs.field(factory=collections.deque)

    def saw(self, value: float, trust: float) -> None:
        """Take an outcome into the failure rate.

        A worker that fails every task must not make failures look usual, so its
        outcomes count by its trust, relative to that of the others: where all workers
        fail, failures are usual.

        :param value: 1 for a failure, 0 for a success.
        :param trust: the worker's.
        """
        self.trust += (trust - self.trust) / TRUST_MEMORY
        share = max(trust, TRUST_MIN) / max(self.trust, TRUST_MIN)
        self.rate += (value - self.rate) * min(1.0, share) / MEMORY
        if self.whole is not None:
            self.whole.saw(value, trust)

    @property
    def expected_failure_rate(self) -> float:
        """Failure rate of the class or of the service, the higher one.

        When a service breaks, that of the service is learned first.
        """
        return max(self.rate, self.whole.rate if self.whole else 0.0)

    def trusts(self, trust: float) -> bool:
        """Return whether a worker fails less often than a suspect one.

        :param trust: the worker's.
        """
        return trust >= TRUSTED * self.trust


@attrs.define(eq=False)
class Sent:
    """A task that was sent and has not been reported."""

    record: WorkerRecord
    group: OutcomeStatistics
    job: bytes
    index: int
    at: float
    session: int


@attrs.define(eq=False)
class FailedJob:
    """The failure of a job that counts against a worker, and its weight."""

    job: bytes
    record: WorkerRecord
    weight: float


@attrs.frozen
class Change:
    """A change of a worker's state, for the log.

    :param seconds: length of an ejection, else 0.
    """

    worker: str
    state: HealthState
    reason: EjectionReason
    seconds: float


class FailureDetector(abc.ABC):
    """Turns failures and successes into the score of a worker.

    :param failures: failures in different jobs for which a worker is ejected when no
        task fails elsewhere.
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
        :param group: outcomes of the service and class.
        """

    @abc.abstractmethod
    def score_after_success(
        self, record: WorkerRecord, stats: OutcomeStatistics
    ) -> float:
        """Return the score after a success.

        :param record: the worker.
        :param group: outcomes of the service and class.
        """


class LikelihoodDetector(FailureDetector):
    """Cumulative sum of log likelihood ratios.

    The two hypotheses are that the worker fails as often as its class does elsewhere,
    and that it fails at a rate halfway between that and every task.
    """

    @property
    def threshold(self) -> float:
        """Score at which a worker is ejected."""
        # The worker's own failures raise the rate of its class a little, so the last
        # one need not weigh in full.
        return (self.failures_to_eject - 0.5) * math.log(
            (1 + RATE_FLOOR) / 2 / RATE_FLOOR
        )

    def failure_weight(self, record: WorkerRecord, stats: OutcomeStatistics) -> float:
        """Return what a failure adds to the score."""
        rate = max(stats.expected_failure_rate, RATE_FLOOR)
        return math.log((1 + rate) / 2 / rate)

    def score_after_success(
        self, record: WorkerRecord, stats: OutcomeStatistics
    ) -> float:
        """Return the score after a success, which is half as likely if it is bad."""
        return max(0.0, record.failure_score - math.log(2.0))
