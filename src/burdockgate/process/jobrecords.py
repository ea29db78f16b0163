"""The job records of an agent, bounded in time and in the size of the results."""

from __future__ import annotations

from burdockgate import clock, messages
from burdockgate.request import jobrecord


class JobRecords:
    """One record for each job of which this agent got a task or a fence.

    :param time: the clock.
    :param retention_s: time for which a record is kept after its last change.
    :param limit_bytes: upper bound of the size of all stored results. Above it, the
        oldest results are dropped down to half of it.
    """

    def __init__(self, time: clock.Clock, retention_s: float, limit_bytes: int) -> None:
        self.record_by_job: dict[bytes, jobrecord.JobRecord] = {}
        self._time = time
        self._retention_s = retention_s
        self._limit_bytes = limit_bytes
        self._result_bytes = 0

    @property
    def is_settled(self) -> bool:
        """Whether every job is settled."""
        return all(item.is_settled for item in self.record_by_job.values())

    def admit(
        self, message: messages.Start | messages.Fence, owner: str
    ) -> jobrecord.JobRecord | jobrecord.Admission:
        """Return the record of a job, or the reason why the message is refused.

        :param message: the message; it creates the record when there is none.
        :param owner: name of the entry host that sent it.
        """
        job = self.record_by_job.get(message.job)
        now = self._time.now()
        if job is None:
            job = jobrecord.JobRecord(
                message.job, message.epoch, message.fence, message.attempt, owner, now
            )
            self.record_by_job[message.job] = job
            return job
        size_before = job.result_bytes()
        admission = job.admit(message.epoch, message.fence, message.attempt, owner)
        self._result_bytes += job.result_bytes() - size_before
        if admission is not jobrecord.Admission.ADMITTED:
            return admission
        job.changed_at = now
        return job

    def count_result(self, job: jobrecord.JobRecord, size: int) -> None:
        """Add a new result to the total size, and drop old results above the limit.

        :param job: the record that stores the result.
        :param size: size of the result in bytes.
        """
        job.changed_at = self._time.now()
        self._result_bytes += size
        if self._result_bytes > self._limit_bytes:
            self._drop_results()

    def _drop_results(self) -> None:
        """Drop results down to half of the limit, those of settled jobs first."""
        oldest = sorted(
            self.record_by_job.values(),
            key=lambda item: (not item.is_settled, item.changed_at),
        )
        for job in oldest:
            if self._result_bytes <= self._limit_bytes // 2:
                return
            size_before = job.result_bytes()
            job.drop_results()
            self._result_bytes -= size_before - job.result_bytes()

    def settle(self, message: messages.Settle) -> None:
        """Mark a job as settled.

        :param message: ignored when there is no record, or one with a newer epoch.
        """
        job = self.record_by_job.get(message.job)
        if job is not None and message.epoch >= job.epoch:
            job.is_settled = True
            job.changed_at = self._time.now()

    def expire(self) -> None:
        """Drop records whose retention has passed, except those with a running task."""
        limit = self._time.now() - self._retention_s
        expired = [
            job_id
            for job_id, job in self.record_by_job.items()
            if job.changed_at <= limit and not job.running_indexes()
        ]
        for job_id in expired:
            self._result_bytes -= self.record_by_job.pop(job_id).result_bytes()
