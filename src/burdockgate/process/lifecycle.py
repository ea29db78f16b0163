"""Handles client calls and job timers at an entry host.

This is the top layer of the job registry; see :mod:`burdockgate.process.registry`
for the layers below.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterator

from burdockgate import codes, effects, messages
from burdockgate.process import outcomecache, ownership, registry
from burdockgate.request import job, outcome
from burdockgate.request import submission as submissions

FETCH_DEADLINE_S = 10.0
# A cancel can arrive before its submission, which has a body and uses another
# connection.
CANCEL_RETENTION_S = 10.0
CANCEL_RETENTION_LIMIT = 100_000
# The heap is rebuilt when it has more than two entries per job plus this many.
SCHEDULE_HEAP_SLACK = 64

_Effects = Iterator[effects.Effect]
_Submission = submissions.Submission


class JobLifecycle(ownership.Ownership):
    """All jobs known to this entry host, with the calls and timers that drive them."""

    def submit(
        self,
        request: job.JobRequest,
        ticket: int,
        refusal: codes.Code | None = None,
        detail: str = "",
    ) -> _Effects:
        """Claim a submitted job, or join the one that has its key.

        :param request: the job.
        :param ticket: number that identifies the waiting caller.
        :param refusal: code with which the job is refused unless it is already known.
        :param detail: one line that explains the refusal.
        """
        self._counters.count("jobs.submitted")
        submission = self._find(request.job)
        if submission is not None and submission.request is not None:
            yield from self._join_submission(submission, request, ticket)
            return
        cached = self._outcomes.get(request.job)
        if cached is not None:
            yield from self._handle_ended_job(request, ticket, cached, refusal, detail)
            return
        if submission is None:
            submission = self._add_submission(request.job, request.deadline_ms / 1000)
        submission.is_cancel_requested |= self._pop_early_cancel(request.job)
        self._set_request(submission, request)
        submission.refusal, submission.refusal_detail = refusal, detail
        submission.step_deadline_at = self._time.now() + request.deadline_ms / 1000
        self._add_caller(submission, ticket)
        # A refused job is not claimed: epoch 0 only asks whether it is claimed already.
        yield from self._claim(submission, 0 if refusal else 1, 1)

    def _join_submission(
        self, submission: _Submission, request: job.JobRequest, ticket: int
    ) -> _Effects:
        assert submission.request is not None
        if submission.request.digest != request.digest:
            yield effects.Answer(ticket, registry.key_reused_refusal())
            return
        self._counters.count("jobs.joined")
        self._add_caller(submission, ticket)

    def _handle_ended_job(
        self,
        request: job.JobRequest,
        ticket: int,
        cached: outcomecache.CachedOutcome,
        refusal: codes.Code | None,
        detail: str,
    ) -> _Effects:
        """Answer from the cache, or start another attempt if that is allowed."""
        if cached.digest != request.digest:
            yield effects.Answer(ticket, registry.key_reused_refusal())
        elif not cached.may_run_again or refusal is not None:
            self._counters.count("jobs.joined")
            yield effects.Answer(ticket, cached.outcome)
        else:
            self._outcomes.discard(request.job)
            submission = self._add_submission(request.job, request.deadline_ms / 1000)
            self._set_request(submission, request)
            self._add_caller(submission, ticket)
            submission.may_have_run_before = registry.may_have_run(cached.outcome.code)
            yield from self._claim(
                submission, cached.epoch + 1, cached.outcome.attempt + 1
            )

    def fetch(self, job_id: bytes, ticket: int, is_cancel: bool = False) -> _Effects:
        """Wait for the outcome of a job that was submitted earlier.

        :param job_id: 16-byte job id.
        :param ticket: number that identifies the waiting caller.
        :param is_cancel: whether to cancel the job.
        """
        submission = self._find(job_id)
        cached = self._outcomes.get(job_id)
        if submission is None and cached is not None:
            yield effects.Answer(ticket, cached.outcome)
            return
        if submission is None:
            submission = self._add_submission(job_id, FETCH_DEADLINE_S)
            # Epoch 0 only asks whether the job is claimed.
            yield from self._claim(submission, 0, 0)
        self._add_caller(submission, ticket)
        if is_cancel:
            submission.is_cancel_requested = True
            yield from self._cancel(submission)

    def _refuse_unclaimed(self, submission: _Submission) -> _Effects:
        """Refuse an unclaimed job; keep a cancel that came before the submission."""
        if submission.is_cancel_requested and submission.request is None:
            self._cancelled_at_by_job[submission.job] = self._time.now()
            if len(self._cancelled_at_by_job) > CANCEL_RETENTION_LIMIT:
                del self._cancelled_at_by_job[next(iter(self._cancelled_at_by_job))]
        yield from super()._refuse_unclaimed(submission)

    def _pop_early_cancel(self, job_id: bytes) -> bool:
        """Remove the cancel that came before a submission, and return whether it holds.

        It holds for ``CANCEL_RETENTION_S``.
        """
        cancelled_at = self._cancelled_at_by_job.pop(job_id, None)
        return (
            cancelled_at is not None
            and self._time.now() - cancelled_at < CANCEL_RETENTION_S
        )

    def _expire_cancels(self) -> None:
        cutoff = self._time.now() - CANCEL_RETENTION_S
        while self._cancelled_at_by_job:
            job_id, cancelled_at = next(iter(self._cancelled_at_by_job.items()))
            if cancelled_at > cutoff:
                return
            del self._cancelled_at_by_job[job_id]

    def is_local(self, job_id: bytes) -> bool:
        """Return whether this entry host owns a job or has its outcome in the cache.

        :param job_id: 16-byte job id.
        """
        submission = self._submission_by_job.get(job_id)
        if submission is None:
            return self._outcomes.get(job_id) is not None
        return submission.owned_job is not None

    def remove_caller(self, ticket: int) -> None:
        """Remove a caller that no longer waits; its job continues.

        :param ticket: number that identifies the caller.
        """
        submission = self._submission_by_job.get(self._job_by_ticket.pop(ticket, b""))
        if submission is not None:
            submission.tickets.discard(ticket)

    def _cancel(self, submission: _Submission) -> _Effects:
        if submission.owned_job is not None:
            yield from submission.owned_job.cancel()
            yield from self._handle_job_change(submission)
        elif submission.owner is not None:
            yield effects.Send(
                submission.owner.name, messages.Detach(submission.job, cancel=True)
            )
        else:
            # Without a majority, the claim would stay open until the deadline. A cancel
            # waits for it no longer than the confirmation of an outcome does.
            latest_at = self._time.now() + ownership.CONFIRMATION_TIMEOUT_S
            submission.step_deadline_at = min(submission.step_deadline_at, latest_at)

    def tick(self) -> _Effects:
        """Run the timers that are due; call at least ten times a second."""
        self._outcomes.expire()
        self._expire_cancels()
        for submission in self._due_submissions():
            yield from self._tick_submission(submission)
            if self._submission_by_job.get(submission.job) is submission:
                self._schedule(submission)
        yield from self._start_queued_confirmations(ownership.CONFIRMATIONS_PER_TICK)

    def _due_submissions(self) -> list[_Submission]:
        """Return the jobs that may have changed or are due, in the order of arrival."""
        versions = (self.view.number, self._limits.version)
        if versions != self._versions_at_last_tick:
            # A new view or table affects every job.
            self._versions_at_last_tick = versions
            self._touched_jobs.update(self._submission_by_job)
        ids, self._touched_jobs = self._touched_jobs, set()
        while self._schedule_heap and self._schedule_heap[0][0] <= self._time.now():
            ids.add(heapq.heappop(self._schedule_heap)[1])
        known = (self._submission_by_job.get(job_id) for job_id in ids)
        due = [submission for submission in known if submission is not None]
        return sorted(due, key=lambda submission: submission.arrival_number)

    def _schedule(self, submission: _Submission) -> None:
        due_at = self._next_due_at(submission)
        if due_at != submission.scheduled_at or due_at <= self._time.now():
            submission.scheduled_at = due_at
            heapq.heappush(self._schedule_heap, (due_at, submission.job))
        # Rebuild the heap, because entries of ended jobs would otherwise stay until
        # their deadlines.
        if len(self._schedule_heap) > 2 * len(self) + SCHEDULE_HEAP_SLACK:
            self._schedule_heap = [
                (item.scheduled_at, item.job)
                for item in self._submission_by_job.values()
                if item.scheduled_at is not None
            ]
            heapq.heapify(self._schedule_heap)

    def _next_due_at(self, submission: _Submission) -> float:
        """Return when the timers of a job are due, if no event comes first."""
        due_times = [claim.due_at for claim in ownership.open_claims(submission)]
        if submission.owned_job is not None:
            due_times.append(submission.owned_job.due_at)
            if submission.confirmation is not None:
                due_times.append(submission.step_deadline_at)
            queue_s = self._limits.max_queue_s(submission.owned_job.request)
            if queue_s is not None and submission.owned_job.first_sent_at is None:
                due_times.append(submission.owned_job.arrived_at + queue_s)
        else:
            due_times.append(submission.step_deadline_at)
            if submission.owner_disconnected_at is not None:
                due_times.append(
                    submission.owner_disconnected_at + self._config.timing.lease_s
                )
            if submission.retry_at is not None:
                due_times.append(submission.retry_at)
        return min(due_times)

    def _tick_submission(self, submission: _Submission) -> _Effects:
        now = self._time.now()
        for claim in ownership.open_claims(submission):
            # Only the initial claim needs a current view. Members of a newer group vote
            # without the records of the old one only after a time window, which
            # outlasts the deadline of a job that is already owned.
            if self.is_view_current or claim is not submission.claimant:
                yield from claim.tick(self.view)
        yield from self._check_claims(submission)
        if submission.owned_job is not None:
            queue_s = self._limits.max_queue_s(submission.owned_job.request)
            if queue_s is not None:
                yield from submission.owned_job.check_queue_time(queue_s)
            yield from submission.owned_job.tick()
            yield from self._handle_job_change(submission)
        elif now >= submission.step_deadline_at:
            yield from self._finish_expired(submission)
        elif submission.owner is not None:
            yield from self._check_owner(submission, now)

    def _finish_expired(self, submission: _Submission) -> _Effects:
        if submission.owner is not None:
            attempt = submission.claim_record.attempt if submission.claim_record else 1
            detail = "the deadline passed while another entry host led the job"
            code = codes.Code.DEADLINE_MAY_HAVE_RUN
            yield from self._finish(submission, outcome.Failed(attempt, code, detail))
        else:
            code = codes.Code.CLAIM_UNAVAILABLE
            yield from self._finish(
                submission,
                outcome.Refused(
                    code, codes.MEANING_BY_CODE[code].text, ownership.RETRY_AFTER_S
                ),
            )
