"""Cache of the outcomes of finished jobs, for callers that ask again."""

from __future__ import annotations

import collections

import attrs

from burdockgate import clock, codes
from burdockgate.request import outcome


@attrs.frozen
class CachedOutcome:
    """The outcome of a finished job.

    :param epoch: epoch under which the job ended.
    :param digest: hash of the body.
    :param repeatable: whether the caller marked the job as repeatable.
    :param ended_at: time of the end, in seconds.
    """

    outcome: outcome.Complete | outcome.Failed
    epoch: int
    digest: bytes
    repeatable: bool
    ended_at: float

    @property
    def may_run_again(self) -> bool:
        """Whether a new submission with the same key starts a new attempt."""
        return may_run_again(self.outcome.code, self.repeatable)

    @property
    def size(self) -> int:
        """Size of the results, or of the detail of a failure, in bytes."""
        if isinstance(self.outcome, outcome.Complete):
            return sum(map(len, self.outcome.results))
        return len(self.outcome.detail)


def may_run_again(code: codes.Code, repeatable: bool) -> bool:
    """Return whether a new submission with the key of an ended job may run it again.

    :param code: result code with which the job ended.
    :param repeatable: whether the caller marked the job as repeatable.
    """
    if code is codes.Code.COMPLETE:
        return False
    return repeatable or codes.start_class(code) is codes.StartClass.NOT_RUN


class OutcomeCache:
    """Outcomes by job id, bounded in age and size; the oldest is evicted first.

    :param time: the clock.
    :param retention_s: time for which an outcome is cached, in seconds.
    :param limit_bytes: largest size of all cached results together.
    """

    def __init__(self, time: clock.Clock, retention_s: float, limit_bytes: int) -> None:
        self._time = time
        self._retention_s = retention_s
        self._limit_bytes = limit_bytes
        self._cached_by_job: collections.OrderedDict[bytes, CachedOutcome] = (
            collections.OrderedDict()
        )
        self._bytes = 0

    def put(self, job: bytes, cached: CachedOutcome) -> None:
        """Add the outcome of a job, or replace the one that is cached.

        :param job: 16-byte job id.
        :param cached: the outcome.
        """
        self.discard(job)
        self._cached_by_job[job] = cached
        self._bytes += cached.size
        while self._bytes > self._limit_bytes:
            self.discard(next(iter(self._cached_by_job)))

    def get(self, job: bytes) -> CachedOutcome | None:
        """Return the cached outcome of a job, if any.

        :param job: 16-byte job id.
        """
        return self._cached_by_job.get(job)

    def discard(self, job: bytes) -> None:
        """Remove the outcome of a job.

        :param job: 16-byte job id; an unknown one is ignored.
        """
        cached = self._cached_by_job.pop(job, None)
        if cached is not None:
            self._bytes -= cached.size

    def expire(self) -> None:
        """Remove the outcomes whose retention time has passed."""
        expired_at = self._time.now() - self._retention_s
        while self._cached_by_job:
            job, cached = next(iter(self._cached_by_job.items()))
            if cached.ended_at > expired_at:
                return
            self.discard(job)
