"""Outcomes of finished jobs, kept for callers that ask again."""

from __future__ import annotations

import collections

import attrs

from burdockgate import clock, codes
from burdockgate.request import outcome


@attrs.frozen
class CachedOutcome:
    """A finished job.

    :param epoch: the epoch under which it ended.
    :param digest: hash of its body.
    :param kept_at: time of the end, in seconds.
    """

    outcome: outcome.Complete | outcome.Failed
    epoch: int
    digest: bytes
    repeatable: bool
    ended_at: float

    @property
    def may_run_again(self) -> bool:
        """Whether a new submission with the key starts a new attempt."""
        return may_run_again(self.outcome.code, self.repeatable)

    @property
    def size(self) -> int:
        """Bytes of the results."""
        if isinstance(self.outcome, outcome.Complete):
            return sum(map(len, self.outcome.results))
        return len(self.outcome.detail)


def may_run_again(code: codes.Code, repeatable: bool) -> bool:
    """Return whether a job that ended with a code may run again under its key.

    :param code: the result code.
    :param repeatable: whether the caller marked the job as repeatable.
    """
    if code is codes.Code.COMPLETE:
        return False
    return repeatable or codes.start_of(code) is codes.Start.NOT_RUN


class OutcomeCache:
    """Kept outcomes by job, the oldest dropped first.

    :param time: the clock.
    :param retention_s: how long an outcome is kept.
    :param limit_bytes: bound of all results together.
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
        """Keep the outcome of a job; an older one of the same job is replaced.

        :param job: 16-byte job id.
        :param kept: the outcome.
        """
        self.discard(job)
        self._cached_by_job[job] = cached
        self._bytes += cached.size
        while self._bytes > self._limit_bytes:
            self.discard(next(iter(self._cached_by_job)))

    def get(self, job: bytes) -> CachedOutcome | None:
        """Return the kept outcome of a job.

        :param job: 16-byte job id.
        """
        return self._cached_by_job.get(job)

    def discard(self, job: bytes) -> None:
        """Forget a job.

        :param job: 16-byte job id; an unknown one is ignored.
        """
        cached = self._cached_by_job.pop(job, None)
        if cached is not None:
            self._bytes -= cached.size

    def expire(self) -> None:
        """Forget the jobs whose retention has passed."""
        limit = self._time.now() - self._retention_s
        while self._cached_by_job:
            job, cached = next(iter(self._cached_by_job.items()))
            if cached.ended_at > limit:
                return
            self.discard(job)
