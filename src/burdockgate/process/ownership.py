"""Claims of jobs, and the jobs that this entry host owns.

This layer claims a job at its claim group, runs it once a majority has granted the
claim, and confirms a "not run" outcome with the group before callers get it.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence

import attrs

from burdockgate import codes, effects, messages
from burdockgate.process import directory, outcomecache, registry, remotejobs
from burdockgate.request import claimant, job, outcome, ownedjob
from burdockgate.request import submission as submissions

SCOPE_LIMIT = 64
# More workers are sampled than a scope holds, because some may be draining.
SCOPE_SAMPLE_SIZE = 80
EXTENSION_SIZE = 16
CONFIRMATION_TIMEOUT_S = 2.0
# Confirmations in progress at the same time. With 10,000 at once, the votes arrive
# after the claims have timed out, and all claims are sent again.
CONFIRMATIONS_LIMIT = 128
# Confirmations started in each tick even above the limit, so that an unreachable claim
# group does not delay the jobs of other groups.
CONFIRMATIONS_PER_TICK = 64
RETRY_AFTER_S = 1.0

_Effects = Iterator[effects.Effect]
_Submission = submissions.Submission


class Ownership(remotejobs.RemoteJobs):
    """Claims jobs, and runs those whose claim a majority has granted."""

    def _claim(self, submission: _Submission, epoch: int, attempt: int) -> _Effects:
        submission.owner = submission.owner_disconnected_at = submission.retry_at = None
        submission.claimant = claimant.Claimant(
            self._claim_terms(submission, epoch, attempt),
            self._time,
            self._rng,
            self._config.timing.claim_round_s,
        )
        if self.is_view_current:
            yield from submission.claimant.send_claims(self.view)

    def _claim_terms(
        self, submission: _Submission, epoch: int, attempt: int
    ) -> claimant.Terms:
        # A claim with epoch 0 only asks whether the claim group has a record of the
        # job. Such a claim, or one without a request, sends no tasks: it has no scope.
        request = submission.request
        remaining_s = max(0.0, submission.step_deadline_at - self._time.now())
        return claimant.Terms(
            submission.job,
            epoch,
            attempt,
            self._node,
            request.digest if request else b"",
            tuple(self._choose_scope(request)) if request and epoch else (),
            int(remaining_s * 1000),
            request.repeatable if request else False,
        )

    def _choose_scope(self, request: job.JobRequest) -> Iterator[messages.Node]:
        members = self._workers.service(request.service).members
        if len(members) <= SCOPE_LIMIT:
            workers = list(self._workers.schedulable_workers(request.service))
        else:
            sample = self._rng.sample(members, min(len(members), SCOPE_SAMPLE_SIZE))
            workers = [
                worker for worker in sample if self._workers.is_schedulable(worker)
            ]
        for worker in workers[:SCOPE_LIMIT]:
            yield worker.node

    def handle_claim_reply(self, name: str, reply: messages.ClaimReply) -> _Effects:
        """Handle the vote of a member of a claim group.

        :param name: name of the member.
        :param reply: its vote.
        """
        submission = self._find(reply.job)
        if submission is None:
            return
        for claim in open_claims(submission):
            claim.handle_reply(name, reply)
        yield from self._check_claims(submission)
        yield from self._start_queued_confirmations()

    def _check_claims(self, submission: _Submission) -> _Effects:
        if (
            submission.confirmation is not None
            and submission.confirmation.result is not None
        ):
            yield from self._handle_confirmation_result(
                submission, submission.confirmation.result
            )
        if submission.extension is not None and submission.extension.result is not None:
            yield from self._handle_extension_result(submission)
        if submission.claimant is not None and submission.claimant.result is not None:
            claim, submission.claimant = submission.claimant, None
            yield from self._handle_claim_result(submission, claim)

    def _handle_claim_result(
        self, submission: _Submission, claim: claimant.Claimant
    ) -> _Effects:
        match claim.result:
            case claimant.Granted(record) if _has_failed(record, claim.terms.attempt):
                # The previous owner settled the job while this claim was in progress.
                assert record is not None
                other = attrs.evolve(record, epoch=claim.terms.epoch)
                yield from self._handle_other_claim(submission, other)
            case claimant.Granted(record):
                yield from self._start_owned_job(submission, claim.terms, record)
            case claimant.AlreadyClaimed(record):
                yield from self._handle_other_claim(submission, record)
            case claimant.Unclaimed():
                yield from self._refuse_unclaimed(submission)

    def _refuse_unclaimed(self, submission: _Submission) -> _Effects:
        """Refuse a job for which a majority of the claim group has no claim."""
        code = submission.refusal or codes.Code.NOT_FOUND
        meaning = codes.MEANING_BY_CODE[code]
        retry_after_s = (
            RETRY_AFTER_S * self._rng.uniform(1, 3) if meaning.retryable else 0
        )
        yield from self._finish(
            submission,
            outcome.Refused(
                code, submission.refusal_detail or meaning.text, retry_after_s
            ),
        )

    def _start_owned_job(
        self,
        submission: _Submission,
        terms: claimant.Terms,
        record: messages.ClaimRecord | None,
    ) -> _Effects:
        assert submission.request is not None
        self._counters.count("jobs.taken_over" if terms.epoch > 1 else "jobs.owned")
        submission.owned_job = ownedjob.OwnedJob(
            submission.request,
            terms,
            self.view.group(submission.job),
            self._time,
            self._config.timing.lost_worker_s,
            submission.may_have_run_before,
        )
        if record is not None and record.attempt == terms.attempt and terms.epoch > 1:
            yield from submission.owned_job.recover(record.scope)
        if submission.is_cancel_requested:
            yield from submission.owned_job.cancel()
        yield from self._handle_job_change(submission)

    def _handle_other_claim(
        self, submission: _Submission, record: messages.ClaimRecord
    ) -> _Effects:
        submission.claim_record = record
        request = submission.request
        code = codes.Code(record.code)
        if request is not None and request.digest != record.digest:
            yield from self._finish(submission, registry.key_reused_refusal())
        elif code in (codes.Code.PENDING, codes.Code.COMPLETE):
            yield from self._attach_to_owner(submission, record)
        elif (
            request is not None
            and submission.refusal is None
            and outcomecache.may_run_again(code, record.repeatable)
        ):
            submission.may_have_run_before = registry.may_have_run(code)
            yield from self._claim(submission, record.epoch + 1, record.attempt + 1)
        else:
            detail = codes.MEANING_BY_CODE[code].text
            yield from self._finish(
                submission, outcome.Failed(record.attempt, code, detail)
            )

    def handle_results(self, name: str, message: messages.Results) -> _Effects:
        """Handle an agent's reports about tasks that have ended.

        :param name: name of the agent.
        :param message: the reports.
        """
        submission = self._find(message.job)
        if submission is None or submission.owned_job is None:
            self._counters.count("results.dropped", len(message.reports))
            yield from self._resend_settlement(name, message.job)
            return
        yield from submission.owned_job.handle_results(name, message)
        yield from self._handle_job_change(submission)

    def _resend_settlement(self, name: str, job_id: bytes) -> _Effects:
        """Send the settlement of an ended job again to a draining agent.

        A draining agent waits for it; late results of other agents need no reply.
        """
        worker = self._workers.worker_by_name.get(name)
        cached = self._outcomes.get(job_id)
        if cached is not None and worker is not None and worker.draining:
            result = cached.outcome
            yield effects.Send(
                name,
                messages.Settle(job_id, cached.epoch, result.attempt, int(result.code)),
            )

    def handle_fence_reply(self, name: str, message: messages.FenceReply) -> _Effects:
        """Handle an agent's reply to a fence.

        :param name: name of the agent.
        :param message: the tasks of the job that the agent knows.
        """
        submission = self._find(message.job)
        if submission is None or submission.owned_job is None:
            return
        yield from submission.owned_job.handle_fence_reply(name, message)
        yield from self._handle_job_change(submission)

    def _handle_job_change(self, submission: _Submission) -> _Effects:
        """Queue the job, finish it, or claim it anew, by the state of its owned job."""
        owned_job = submission.owned_job
        if owned_job is None:
            return
        is_open = owned_job.outcome is None and not owned_job.is_superseded
        self._limits.set_in_progress(owned_job.request, owned_job.sent_count * is_open)
        if owned_job.dropped_count:
            self._counters.count("results.dropped", owned_job.dropped_count)
            owned_job.dropped_count = 0
        if not is_open:
            self._dispatcher.remove(owned_job)
        if owned_job.is_superseded:
            submission.owned_job = submission.extension = submission.confirmation = None
            self._confirming_jobs.discard(submission.job)
            self._confirmation_queue.pop(submission.job, None)
            yield from self._claim(submission, epoch=1, attempt=1)
        elif owned_job.outcome is not None:
            if codes.start_class(owned_job.outcome.code) is codes.StartClass.NOT_RUN:
                yield from self._confirm_not_run(submission, owned_job)
            else:
                yield from self._finish(submission, owned_job.outcome)
        elif owned_job.waiting_count:
            self._dispatcher.add(owned_job, self.weight(owned_job.request))

    def _confirm_not_run(
        self, submission: _Submission, owned_job: ownedjob.OwnedJob
    ) -> _Effects:
        """Have the claim group confirm a "not run" outcome before it is reported."""
        assert owned_job.outcome is not None
        if submission.job in self._confirmation_queue:
            return
        if (
            submission.confirmation is None
            and len(self._confirming_jobs) >= CONFIRMATIONS_LIMIT
        ):
            self._confirmation_queue[submission.job] = None
        elif submission.confirmation is None:
            yield from self._start_confirmation(submission, owned_job)
        elif self._time.now() >= submission.step_deadline_at:
            owned_job.replace_code(_UNCONFIRMED_CODE_BY_CODE[owned_job.outcome.code])
            yield from self._finish(submission, owned_job.outcome)

    def _start_confirmation(
        self, submission: _Submission, owned_job: ownedjob.OwnedJob
    ) -> _Effects:
        assert owned_job.outcome is not None
        self._confirming_jobs.add(submission.job)
        submission.step_deadline_at = self._time.now() + CONFIRMATION_TIMEOUT_S
        submission.confirmation = claimant.Claimant(
            attrs.evolve(owned_job.terms, code=int(owned_job.outcome.code)),
            self._time,
            self._rng,
            self._config.timing.claim_round_s,
        )
        yield from submission.confirmation.send_claims(self.view)

    def _start_queued_confirmations(self, count: int = 0) -> _Effects:
        """Start the confirmations that wait in the queue.

        :param count: number of confirmations that start even above the limit.
        """
        while self._confirmation_queue and (
            count > 0 or len(self._confirming_jobs) < CONFIRMATIONS_LIMIT
        ):
            count -= 1
            job_id = next(iter(self._confirmation_queue))
            del self._confirmation_queue[job_id]
            submission = self._find(job_id)
            owned_job = submission.owned_job if submission is not None else None
            if submission is not None and owned_job is not None and owned_job.outcome:
                yield from self._start_confirmation(submission, owned_job)

    def _handle_confirmation_result(
        self, submission: _Submission, result: claimant.Result
    ) -> _Effects:
        owned_job, submission.confirmation = submission.owned_job, None
        self._confirming_jobs.discard(submission.job)
        if owned_job is None or owned_job.outcome is None:
            return
        if isinstance(result, claimant.Granted):
            yield from self._finish(submission, owned_job.outcome)
        else:
            owned_job.is_superseded = True
            yield from self._handle_job_change(submission)

    def request_scope_extension(self, owned_job: ownedjob.OwnedJob) -> None:
        """Claim a longer scope for a job that only agents outside its scope could run.

        :param owned_job: the owned job.
        """
        submission = self._find(owned_job.request.job)
        if (
            submission is None
            or submission.owned_job is not owned_job
            or submission.extension is not None
        ):
            return
        free: Sequence[directory.Worker]
        free = self._workers.service(owned_job.request.service).available
        if len(free) > SCOPE_LIMIT:
            free = self._rng.sample(free, SCOPE_LIMIT)
        outside_nodes = [
            worker.node
            for worker in sorted(free, key=lambda worker: worker.join_number)
            if self._workers.is_schedulable(worker)
            and not owned_job.is_in_scope(worker.node)
        ]
        if outside_nodes:
            scope = owned_job.terms.scope + tuple(outside_nodes[:EXTENSION_SIZE])
            submission.extension = claimant.Claimant(
                attrs.evolve(owned_job.terms, scope=scope),
                self._time,
                self._rng,
                self._config.timing.claim_round_s,
            )

    def _handle_extension_result(self, submission: _Submission) -> _Effects:
        extension, submission.extension = submission.extension, None
        if submission.owned_job is None or extension is None:
            return
        if isinstance(extension.result, claimant.Granted):
            submission.owned_job.extend_scope(extension.terms)
            yield from self._handle_job_change(submission)
        else:
            submission.owned_job.is_superseded = True
            yield from self._handle_job_change(submission)

    def handle_agent_connected(self, node: messages.Node) -> _Effects:
        """Update the claims and jobs after an agent has connected.

        :param node: the agent's incarnation.
        """
        for submission in self._find_all():
            for claim in open_claims(submission):
                claim.retry_at_next_tick()
            if submission.owned_job is not None:
                yield from submission.owned_job.handle_agent_connected(node)
                yield from self._handle_job_change(submission)

    def handle_agent_disconnected(self, name: str) -> None:
        """Update the owned jobs after the connection of an agent was lost.

        :param name: name of the agent.
        """
        for submission in self._find_all():
            if submission.owned_job is not None:
                submission.owned_job.handle_agent_disconnected(name)


# Code that replaces a "not run" code when no majority has confirmed it.
_UNCONFIRMED_CODE_BY_CODE: dict[codes.Code, codes.Code] = {
    codes.Code.DEADLINE_NOT_RUN: codes.Code.DEADLINE_MAY_HAVE_RUN,
    codes.Code.CANCELLED_NOT_RUN: codes.Code.CANCELLED_MAY_HAVE_RUN,
    codes.Code.QUEUE_TIMEOUT: codes.Code.DEADLINE_MAY_HAVE_RUN,
}


def open_claims(submission: _Submission) -> list[claimant.Claimant]:
    """Return the claims of a job that have no result yet.

    :param submission: the job.
    """
    claims = (submission.claimant, submission.extension, submission.confirmation)
    return [claim for claim in claims if claim is not None]


def _has_failed(record: messages.ClaimRecord | None, attempt: int) -> bool:
    """Return whether a record settles an attempt with a failure."""
    not_failed = (int(codes.Code.PENDING), int(codes.Code.COMPLETE))
    return (
        record is not None
        and record.attempt == attempt
        and record.code not in not_failed
    )
