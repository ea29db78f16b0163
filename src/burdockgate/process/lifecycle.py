"""The life of each job at an entry host, from the caller's side.

The layers below are :mod:`burdockgate.process.ownership`,
:mod:`burdockgate.process.remotejobs` and :mod:`burdockgate.process.registry`.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterator

from burdockgate import codes, effects, messages
from burdockgate.process import outcomecache, ownership, registry
from burdockgate.request import job, outcome, submission

FETCH_DEADLINE_S = 10.0
# A cancel can overtake its submission, which has a body and another connection.
CANCEL_MEMORY_S = 10.0
CANCEL_MEMORY_LIMIT = 100_000
SCHEDULE_SLACK = 64

_Effects = Iterator[effects.Effect]
_Submission = submission.Submission


class JobLifecycle(ownership.Ownership):
    """Every job that this entry host holds."""

    def submit(
        self,
        request: job.JobRequest,
        ticket: int,
        refusal: codes.Code | None = None,
        detail: str = "",
    ) -> _Effects:
        """Take a submission.

        :param request: the job.
        :param ticket: number under which the caller waits.
        :param refusal: code with which the job is refused unless it is known.
        :param detail: one line about the refusal.
        """
        self._counters.count("jobs.submitted")
        held = self._find(request.job)
        if held is not None and held.request is not None:
            yield from self._join(held, request, ticket)
            return
        kept = self._outcomes.get(request.job)
        if kept is not None:
            yield from self._repeat(request, ticket, kept, refusal, detail)
            return
        if held is None:
            held = self._open(request.job, request.deadline_ms / 1000)
        held.cancels |= self._was_cancelled(request.job)
        self._set_request(held, request)
        held.refusal, held.refusal_detail = refusal, detail
        held.deadline_at = self._time.now() + request.deadline_ms / 1000
        self._await(held, ticket)
        yield from self._claim(held, 0 if refusal else 1, 1)

    def _join(
        self, held: _Submission, request: job.JobRequest, ticket: int
    ) -> _Effects:
        assert held.request is not None
        if held.request.digest != request.digest:
            yield effects.Answer(ticket, registry.key_reused())
            return
        self._counters.count("jobs.joined")
        self._await(held, ticket)

    def _repeat(
        self,
        request: job.JobRequest,
        ticket: int,
        kept: outcomecache.CachedOutcome,
        refusal: codes.Code | None,
        detail: str,
    ) -> _Effects:
        if kept.digest != request.digest:
            yield effects.Answer(ticket, registry.key_reused())
        elif not kept.may_run_again or refusal is not None:
            self._counters.count("jobs.joined")
            yield effects.Answer(ticket, kept.outcome)
        else:
            self._outcomes.drop(request.job)
            held = self._open(request.job, request.deadline_ms / 1000)
            self._set_request(held, request)
            self._await(held, ticket)
            held.had_attempt = registry.may_have_run(kept.outcome.code)
            yield from self._claim(held, kept.epoch + 1, kept.outcome.attempt + 1)

    def fetch(self, job_id: bytes, ticket: int, cancels: bool = False) -> _Effects:
        """Wait for the outcome of a job that was submitted before.

        :param job_id: 16-byte job id.
        :param ticket: number under which the caller waits.
        :param cancels: whether to cancel the job.
        """
        held = self._find(job_id)
        kept = self._outcomes.get(job_id)
        if held is None and kept is not None:
            yield effects.Answer(ticket, kept.outcome)
            return
        if held is None:
            held = self._open(job_id, FETCH_DEADLINE_S)
            yield from self._claim(held, 0, 0)
        self._await(held, ticket)
        if cancels:
            held.cancels = True
            yield from self._cancel(held)

    def _refuse_free(self, held: _Submission) -> _Effects:
        if held.cancels and held.request is None:
            self._cancelled_at_by_job[held.job] = self._time.now()
            if len(self._cancelled_at_by_job) > CANCEL_MEMORY_LIMIT:
                del self._cancelled_at_by_job[next(iter(self._cancelled_at_by_job))]
        yield from super()._refuse_free(held)

    def _was_cancelled(self, job_id: bytes) -> bool:
        """Return whether a cancel came shortly before the first submission."""
        at = self._cancelled_at_by_job.pop(job_id, None)
        return at is not None and self._time.now() - at < CANCEL_MEMORY_S

    def _forget_cancels(self) -> None:
        limit = self._time.now() - CANCEL_MEMORY_S
        while self._cancelled_at_by_job:
            job_id, at = next(iter(self._cancelled_at_by_job.items()))
            if at > limit:
                return
            del self._cancelled_at_by_job[job_id]

    def is_local(self, job_id: bytes) -> bool:
        """Return whether a job is led or its answer kept by this entry host.

        :param job_id: 16-byte job id.
        """
        held = self._submission_by_job.get(job_id)
        if held is None:
            return self._outcomes.get(job_id) is not None
        return held.owned_job is not None

    def remove_caller(self, ticket: int) -> None:
        """Drop a caller that no longer waits; its job goes on.

        :param ticket: number of the caller.
        """
        held = self._submission_by_job.get(self._job_by_ticket.pop(ticket, b""))
        if held is not None:
            held.tickets.discard(ticket)

    def _cancel(self, held: _Submission) -> _Effects:
        if held.owned_job is not None:
            yield from held.owned_job.cancel()
            yield from self._after(held)
        elif held.owner is not None:
            yield effects.Send(held.owner.name, messages.Detach(held.job, cancel=True))
        else:
            # Without a majority the claim would be decided only at the deadline.
            limit = self._time.now() + ownership.CONFIRMATION_S
            held.deadline_at = min(held.deadline_at, limit)

    def tick(self) -> _Effects:
        """Do what is due; call at least ten times a second."""
        self._outcomes.expire()
        self._forget_cancels()
        for held in self._due():
            yield from self._tick(held)
            if self._submission_by_job.get(held.job) is held:
                self._schedule(held)
        yield from self._confirm_next(ownership.CONFIRMATIONS_PER_TICK)

    def _due(self) -> list[_Submission]:
        """Return the jobs that were touched or whose time has come, as they came."""
        versions = (self.view.number, self._limits.version)
        if versions != self._ticked_versions:
            # A view or a table concerns every job.
            self._ticked_versions = versions
            self._touched.update(self._submission_by_job)
        ids, self._touched = self._touched, set()
        while self._schedule_heap and self._schedule_heap[0][0] <= self._time.now():
            ids.add(heapq.heappop(self._schedule_heap)[1])
        every = (self._submission_by_job.get(job_id) for job_id in ids)
        found = [held for held in every if held is not None]
        return sorted(found, key=lambda held: held.number)

    def _schedule(self, held: _Submission) -> None:
        due_at = self._due_at(held)
        if due_at != held.scheduled_at or due_at <= self._time.now():
            held.scheduled_at = due_at
            heapq.heappush(self._schedule_heap, (due_at, held.job))
        # Entries of ended jobs would otherwise stay until their deadlines.
        if len(self._schedule_heap) > 2 * len(self) + SCHEDULE_SLACK:
            self._schedule_heap = [
                (item.scheduled_at, item.job)
                for item in self._submission_by_job.values()
                if item.scheduled_at is not None
            ]
            heapq.heapify(self._schedule_heap)

    def _due_at(self, held: _Submission) -> float:
        """Return when :meth:`_tick` has something to do, if nothing changes."""
        due = [current.due_at for current in ownership.claimants(held)]
        if held.owned_job is not None:
            due.append(held.owned_job.due_at)
            if held.confirmation is not None:
                due.append(held.deadline_at)
            queue_s = self._limits.queue_s(held.owned_job.request)
            if queue_s is not None and held.owned_job.first_sent_at is None:
                due.append(held.owned_job.arrived_at + queue_s)
        else:
            due.append(held.deadline_at)
            if held.waits_since is not None:
                due.append(held.waits_since + self._config.timing.lease_s)
            if held.retry_at is not None:
                due.append(held.retry_at)
        return min(due)

    def _tick(self, held: _Submission) -> _Effects:
        now = self._time.now()
        for current in ownership.claimants(held):
            # A job that is owned already ends before newer groups vote on it.
            if self.is_view_current or current is not held.claimant:
                yield from current.tick(self.view)
        yield from self._check_claims(held)
        if held.owned_job is not None:
            queue_s = self._limits.queue_s(held.owned_job.request)
            if queue_s is not None:
                yield from held.owned_job.check_queue(queue_s)
            yield from held.owned_job.tick()
            yield from self._after(held)
        elif now >= held.deadline_at:
            yield from self._expire(held)
        elif held.owner is not None:
            yield from self._watch_owner(held, now)

    def _expire(self, held: _Submission) -> _Effects:
        if held.owner is not None:
            attempt = held.record.attempt if held.record else 1
            detail = "the deadline passed while another entry host led the job"
            code = codes.Code.DEADLINE_MAY_HAVE_RUN
            yield from self._end(held, outcome.Failed(attempt, code, detail))
        else:
            code = codes.Code.CLAIM_UNAVAILABLE
            yield from self._end(
                held,
                outcome.Refused(
                    code, codes.MEANING_BY_CODE[code].text, ownership.RETRY_AFTER_S
                ),
            )
