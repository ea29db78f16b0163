"""The records of jobs that an agent keeps, bounded by time and by bytes."""

from __future__ import annotations

from burdockgate import clock, messages
from burdockgate.request import jobrecord


class JobRecords:
    """One record for each job of which this agent got a task or a fence.

    :param time: the clock.
    :param retention_s: time for which a record is kept after its last change.
    :param limit_bytes: size of all results kept.
    """

    def __init__(self, time: clock.Clock, retention_s: float, limit_bytes: int) -> None:
        self.by_job: dict[bytes, jobrecord.JobRecord] = {}
        self._time = time
        self._retention_s = retention_s
        self._limit_bytes = limit_bytes
        self._kept_bytes = 0

    @property
    def are_settled(self) -> bool:
        """Whether every job is settled."""
        return all(item.settled for item in self.by_job.values())

    def admit(
        self, message: messages.Start | messages.Fence, owner: str
    ) -> jobrecord.JobRecord | jobrecord.Admission:
        """Return the record of a job, or why the message is refused.

        :param message: the message; it begins a record where there is none.
        :param owner: name of the entry host that sent it.
        """
        job = self.by_job.get(message.job)
        now = self._time.now()
        if job is None:
            job = jobrecord.JobRecord(
                message.job, message.epoch, message.fence, message.attempt, owner, now
            )
            self.by_job[message.job] = job
            return job
        kept = job.size()
        admission = job.admit(message.epoch, message.fence, message.attempt, owner)
        self._kept_bytes += job.size() - kept
        if admission is not jobrecord.Admission.ADMITTED:
            return admission
        job.touched_at = now
        return job

    def keep(self, job: jobrecord.JobRecord, size: int) -> None:
        """Count a new result, and drop the oldest ones beyond the bound.

        :param job: the record that holds it.
        :param size: bytes of the result.
        """
        job.touched_at = self._time.now()
        self._kept_bytes += size
        if self._kept_bytes > self._limit_bytes:
            self._drop_results()

    def _drop_results(self) -> None:
        oldest = sorted(
            self.by_job.values(), key=lambda item: (not item.settled, item.touched_at)
        )
        for job in oldest:
            if self._kept_bytes <= self._limit_bytes // 2:
                return
            kept = job.size()
            job.drop_results()
            self._kept_bytes -= kept - job.size()

    def settle(self, message: messages.Settle) -> None:
        """Note that the outcome of a job is known.

        :param message: ignored when it is from an older epoch.
        """
        job = self.by_job.get(message.job)
        if job is not None and message.epoch >= job.epoch:
            job.settled = True
            job.touched_at = self._time.now()

    def expire(self) -> None:
        """Drop the records whose retention has passed, unless a task runs."""
        limit = self._time.now() - self._retention_s
        expired = [
            job_id
            for job_id, job in self.by_job.items()
            if job.touched_at <= limit and not job.running()
        ]
        for job_id in expired:
            self._kept_bytes -= self.by_job.pop(job_id).size()
