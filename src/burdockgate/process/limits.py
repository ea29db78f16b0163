"""Weights and limits of services and classes, from the table in force.

The dispatcher and the job registry report queued bytes and started tasks here, and ask
whether a job may be queued or a task may start.
"""

from __future__ import annotations

import collections
from collections.abc import Callable, Iterator

import attrs

from burdockgate import clock
from burdockgate.process import tablereplica
from burdockgate.request import job
from burdockgate.version import table

BURST_S = 1.0  # capacity of a token bucket, in seconds of its rate


@attrs.define
class _TokenBucket:
    tokens: float
    refilled_at: float


class Limits:
    """Applies the table rows of a job's service and class, and counts their use.

    :param table_replica: the table in force.
    :param time: the clock.
    :param entry_host_count: returns the number of entry hosts, which share each limit
        equally.
    """

    def __init__(
        self,
        table_replica: tablereplica.TableReplica,
        time: clock.Clock,
        entry_host_count: Callable[[], int],
    ) -> None:
        self._table_replica = table_replica
        self._time = time
        self._entry_host_count = entry_host_count
        self._in_progress_by_key: collections.Counter[table.Key] = collections.Counter()
        self._in_progress_by_job: dict[bytes, int] = {}
        self._bytes_by_key: collections.Counter[table.Key] = collections.Counter()
        self._bucket_by_key: dict[table.Key, _TokenBucket] = {}

    def _rows(self, service: str, caller_class: str) -> Iterator[table.Row]:
        yield self._table_replica.table.row("service", service)
        yield self._table_replica.table.row("class", caller_class)

    def _share(self, limit: float) -> float:
        return limit / max(1, self._entry_host_count())

    @property
    def version(self) -> int:
        """Version of the table in force."""
        return self._table_replica.version

    def weight(self, service: str, caller_class: str) -> float:
        """Return the product of the weights of a service and a class."""
        service_row, class_row = self._rows(service, caller_class)
        return service_row.weight * class_row.weight

    def max_queue_s(self, request: job.JobRequest) -> float | None:
        """Return the longest time that a job may wait for its first start.

        :param request: the job.
        :return: seconds; ``None`` for no limit.
        """
        limits_s = [
            row.max_queue_s
            for row in self._rows(request.service, request.caller_class)
            if row.max_queue_s is not None
        ]
        return min(limits_s, default=None)

    def refusal(self, request: job.JobRequest) -> str:
        """Return the detail of a refusal, or ``""`` when the bytes of the job fit."""
        for row in self._rows(request.service, request.caller_class):
            if row.max_queue_bytes is None:
                continue
            used, limit = self._bytes_by_key[row.key], self._share(row.max_queue_bytes)
            if used + request.size > limit:
                return (
                    f"the job of {request.size} bytes does not fit: {used} of "
                    f"{limit:.0f} bytes of {row.scope}/{row.name} are in use here"
                )
        return ""

    def add_queued_bytes(self, request: job.JobRequest, size: int) -> None:
        """Count the bytes of a new job; a negative size is that of an ended job."""
        for key in _row_keys(request):
            self._bytes_by_key[key] += size
            if not self._bytes_by_key[key]:
                del self._bytes_by_key[key]

    def may_start(self, scope: str, name: str) -> bool:
        """Return whether one more task of a service or a class may start now."""
        row = self._table_replica.table.row_by_key.get((scope, name))
        if row is None:
            return True
        if row.max_in_progress is not None:
            limit = max(1, int(self._share(row.max_in_progress)))
            if self._in_progress_by_key[row.key] >= limit:
                return False
        return row.max_rate is None or self._bucket(row, row.max_rate).tokens >= 1

    def _bucket(self, row: table.Row, max_rate: float) -> _TokenBucket:
        rate, now = self._share(max_rate), self._time.now()
        capacity = max(1.0, rate * BURST_S)
        bucket = self._bucket_by_key.setdefault(row.key, _TokenBucket(capacity, now))
        bucket.tokens = min(capacity, bucket.tokens + rate * (now - bucket.refilled_at))
        bucket.refilled_at = now
        return bucket

    def record_start(self, request: job.JobRequest) -> None:
        """Count a task that is sent to a worker."""
        self.set_in_progress(request, self._in_progress_by_job.get(request.job, 0) + 1)
        for key in _row_keys(request):
            row = self._table_replica.table.row_by_key.get(key)
            if row is not None and row.max_rate is not None:
                self._bucket(row, row.max_rate).tokens -= 1

    def refund_start(self, request: job.JobRequest) -> None:
        """Return the tokens of a task that was sent and came back without a start."""
        for key in _row_keys(request):
            if key in self._bucket_by_key:
                self._bucket_by_key[key].tokens += 1

    def set_in_progress(self, request: job.JobRequest, tasks: int) -> None:
        """Set the number of tasks of a job that were sent and have not ended."""
        before = self._in_progress_by_job.pop(request.job, 0)
        if tasks:
            self._in_progress_by_job[request.job] = tasks
        if tasks != before:
            for key in _row_keys(request):
                self._in_progress_by_key[key] += tasks - before
                if not self._in_progress_by_key[key]:
                    del self._in_progress_by_key[key]


def _row_keys(request: job.JobRequest) -> Iterator[table.Key]:
    yield ("service", request.service)
    yield ("class", request.caller_class)
