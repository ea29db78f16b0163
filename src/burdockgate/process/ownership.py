"""Claims of jobs, and the jobs that this entry host owns."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

import attrs

from burdockgate import codes, effects, messages
from burdockgate.process import directory, outcomecache, registry, remotejobs
from burdockgate.request import claimant, job, outcome, ownedjob
from burdockgate.request import submission as submissions

SCOPE_LIMIT = 64
# More are drawn than needed, because some may be draining.
SCOPE_SAMPLE_SIZE = 80
EXTENSION_SIZE = 16
CONFIRMATION_TIMEOUT_S = 2.0
# Jobs settled as "not run" at the same time. The votes on 10,000 of them at once come
# after the time-outs of the claims, which are then all sent again.
CONFIRMATIONS_LIMIT = 128
# Begun in each tick whatever is under way, so that a lost claim group delays no other.
CONFIRMATIONS_PER_TICK = 64
RETRY_AFTER_S = 1.0

_Effects = Iterator[effects.Effect]
_Submission = submissions.Submission


class Ownership(remotejobs.RemoteJobs):
    """Claims jobs and leads those that a majority has granted."""

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
        request = submission.request
        remaining = max(0.0, submission.deadline_at - self._time.now())
        return claimant.Terms(
            submission.job,
            epoch,
            attempt,
            self._node,
            request.digest if request else b"",
            tuple(self._choose_scope(request)) if request and epoch else (),
            int(remaining * 1000),
            request.repeatable if request else False,
        )

    def _choose_scope(self, request: job.JobRequest) -> Iterator[messages.Node]:
        members = self._workers.service(request.service).members
        if len(members) <= SCOPE_LIMIT:
            workers = list(self._workers.schedulable_workers(request.service))
        else:
            drawn = self._rng.sample(members, min(len(members), SCOPE_SAMPLE_SIZE))
            workers = [
                worker for worker in drawn if self._workers.is_schedulable(worker)
            ]
        for worker in workers[:SCOPE_LIMIT]:
            yield worker.node

    def handle_claim_reply(self, name: str, reply: messages.ClaimReply) -> _Effects:
        """Handle the vote of a claim group member.

        :param name: name of the member.
        :param reply: its vote.
        """
        submission = self._find(reply.job)
        if submission is None:
            return
        for current in open_claims(submission):
            current.handle_reply(name, reply)
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
            current, submission.claimant = submission.claimant, None
            yield from self._handle_claim_result(submission, current)

    def _handle_claim_result(
        self, submission: _Submission, current: claimant.Claimant
    ) -> _Effects:
        match current.result:
            case claimant.Granted(record) if _has_failed(record, current.terms.attempt):
                # The owner before settled the job while this claim was under way.
                assert record is not None
                newer = attrs.evolve(record, epoch=current.terms.epoch)
                yield from self._handle_other_claim(submission, newer)
            case claimant.Granted(record):
                yield from self._start_owned_job(submission, current.terms, record)
            case claimant.AlreadyClaimed(record):
                yield from self._handle_other_claim(submission, record)
            case claimant.Unclaimed():
                yield from self._refuse_unclaimed(submission)

    def _refuse_unclaimed(self, submission: _Submission) -> _Effects:
        """Refuse a job of which a majority holds no claim."""
        code = submission.refusal or codes.Code.NOT_FOUND
        meaning = codes.MEANING_BY_CODE[code]
        retry_after = (
            RETRY_AFTER_S * self._rng.uniform(1, 3) if meaning.retryable else 0
        )
        yield from self._finish(
            submission,
            outcome.Refused(
                code, submission.refusal_detail or meaning.text, retry_after
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
            submission.had_attempt,
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
            submission.had_attempt = registry.may_have_run(code)
            yield from self._claim(submission, record.epoch + 1, record.attempt + 1)
        else:
            detail = codes.MEANING_BY_CODE[code].text
            yield from self._finish(
                submission, outcome.Failed(record.attempt, code, detail)
            )

    def handle_results(self, name: str, message: messages.Results) -> _Effects:
        """Handle tasks that ended at an agent.

        :param name: name of the agent.
        :param message: its reports.
        """
        submission = self._find(message.job)
        if submission is None or submission.owned_job is None:
            self._counters.count("results.dropped", len(message.reports))
            yield from self._resend_settlement(name, message.job)
            return
        yield from submission.owned_job.handle_results(name, message)
        yield from self._handle_job_change(submission)

    def _resend_settlement(self, name: str, job_id: bytes) -> _Effects:
        """Repeat the settlement of an ended job to an agent that waits for it.

        Only an agent that drains asks; results that come late from others need none.
        """
        worker = self._workers.worker_by_name.get(name)
        cached = self._outcomes.get(job_id)
        if cached is not None and worker is not None and worker.draining:
            ended = cached.outcome
            yield effects.Send(
                name,
                messages.Settle(job_id, cached.epoch, ended.attempt, int(ended.code)),
            )

    def handle_fence_reply(self, name: str, message: messages.FenceReply) -> _Effects:
        """Handle an agent's list of what it knows of a job.

        :param name: name of the agent.
        :param message: the list.
        """
        submission = self._find(message.job)
        if submission is None or submission.owned_job is None:
            return
        yield from submission.owned_job.handle_fence_reply(name, message)
        yield from self._handle_job_change(submission)

    def _handle_job_change(self, submission: _Submission) -> _Effects:
        """Queue, answer or give up a job after its owned job has changed."""
        current = submission.owned_job
        if current is None:
            return
        is_open = current.outcome is None and not current.is_superseded
        self._limits.set_in_progress(current.request, current.sent_count * is_open)
        if current.dropped_count:
            self._counters.count("results.dropped", current.dropped_count)
            current.dropped_count = 0
        if not is_open:
            self._dispatcher.remove(current)
        if current.is_superseded:
            submission.owned_job = submission.extension = submission.confirmation = None
            self._confirming_jobs.discard(submission.job)
            self._confirmation_queue.pop(submission.job, None)
            yield from self._claim(submission, 1, 1)
        elif current.outcome is not None:
            if codes.start_of(current.outcome.code) is codes.Start.NOT_RUN:
                yield from self._confirm_not_run(submission, current)
            else:
                yield from self._finish(submission, current.outcome)
        elif current.waiting_count:
            self._dispatcher.add(current, self.weight(current.request))

    def _confirm_not_run(
        self, submission: _Submission, current: ownedjob.OwnedJob
    ) -> _Effects:
        """Settle a job as "not run" before anybody is told so."""
        assert current.outcome is not None
        if submission.job in self._confirmation_queue:
            return
        if (
            submission.confirmation is None
            and len(self._confirming_jobs) >= CONFIRMATIONS_LIMIT
        ):
            self._confirmation_queue[submission.job] = None
        elif submission.confirmation is None:
            yield from self._start_confirmation(submission, current)
        elif self._time.now() >= submission.deadline_at:
            current.replace_code(_UNCONFIRMED_CODE_BY_CODE[current.outcome.code])
            yield from self._finish(submission, current.outcome)

    def _start_confirmation(
        self, submission: _Submission, current: ownedjob.OwnedJob
    ) -> _Effects:
        assert current.outcome is not None
        self._confirming_jobs.add(submission.job)
        submission.deadline_at = self._time.now() + CONFIRMATION_TIMEOUT_S
        submission.confirmation = claimant.Claimant(
            attrs.evolve(current.terms, code=int(current.outcome.code)),
            self._time,
            self._rng,
            self._config.timing.claim_round_s,
        )
        yield from submission.confirmation.send_claims(self.view)

    def _start_queued_confirmations(self, count: int = 0) -> _Effects:
        """Begin with jobs that wait to be settled.

        :param count: how many begin even when enough are under way.
        """
        while self._confirmation_queue and (
            count > 0 or len(self._confirming_jobs) < CONFIRMATIONS_LIMIT
        ):
            count -= 1
            job_id = next(iter(self._confirmation_queue))
            del self._confirmation_queue[job_id]
            submission = self._find(job_id)
            current = submission.owned_job if submission is not None else None
            if submission is not None and current is not None and current.outcome:
                yield from self._start_confirmation(submission, current)

    def _handle_confirmation_result(
        self, submission: _Submission, result: claimant.Result
    ) -> _Effects:
        current, submission.confirmation = submission.owned_job, None
        self._confirming_jobs.discard(submission.job)
        if current is None or current.outcome is None:
            return
        if isinstance(result, claimant.Granted):
            yield from self._finish(submission, current.outcome)
        else:
            current.is_superseded = True
            yield from self._handle_job_change(submission)

    def request_scope_extension(self, current: ownedjob.OwnedJob) -> None:
        """Ask for a longer scope for a job that only agents outside it could run.

        :param current: the owned job.
        """
        submission = self._find(current.request.job)
        if (
            submission is None
            or submission.owned_job is not current
            or submission.extension is not None
        ):
            return
        free: Sequence[directory.Worker]
        free = self._workers.service(current.request.service).available
        if len(free) > SCOPE_LIMIT:
            free = self._rng.sample(free, SCOPE_LIMIT)
        outside = [
            worker.node
            for worker in sorted(free, key=lambda worker: worker.join_number)
            if self._workers.is_schedulable(worker)
            and not current.is_in_scope(worker.node)
        ]
        if outside:
            scope = current.terms.scope + tuple(outside[:EXTENSION_SIZE])
            submission.extension = claimant.Claimant(
                attrs.evolve(current.terms, scope=scope),
                self._time,
                self._rng,
                self._config.timing.claim_round_s,
            )

    def _handle_extension_result(self, submission: _Submission) -> _Effects:
        current, submission.extension = submission.extension, None
        if submission.owned_job is None or current is None:
            return
        if isinstance(current.result, claimant.Granted):
            submission.owned_job.extend_scope(current.terms)
            yield from self._handle_job_change(submission)
        else:
            submission.owned_job.is_superseded = True
            yield from self._handle_job_change(submission)

    def handle_agent_connected(self, node: messages.Node) -> _Effects:
        """Tell every job about a new connection of an agent.

        :param node: the agent's incarnation.
        """
        for submission in self._find_all():
            for current in open_claims(submission):
                current.retry_at_next_tick()
            if submission.owned_job is not None:
                yield from submission.owned_job.handle_agent_connected(node)
                yield from self._handle_job_change(submission)

    def handle_agent_disconnected(self, name: str) -> None:
        """Tell every job about a lost connection of an agent.

        :param name: name of the agent.
        """
        for submission in self._find_all():
            if submission.owned_job is not None:
                submission.owned_job.handle_agent_disconnected(name)


# A "not run" that no majority has confirmed is answered with the weaker code.
_UNCONFIRMED_CODE_BY_CODE: dict[codes.Code, codes.Code] = {
    codes.Code.DEADLINE_NOT_RUN: codes.Code.DEADLINE_MAY_HAVE_RUN,
    codes.Code.CANCELLED_NOT_RUN: codes.Code.CANCELLED_MAY_HAVE_RUN,
    codes.Code.QUEUE_TIMEOUT: codes.Code.DEADLINE_MAY_HAVE_RUN,
}


def open_claims(submission: _Submission) -> list[claimant.Claimant]:
    """Return the claims of a job that are being decided.

    :param submission: the job.
    """
    every = (submission.claimant, submission.extension, submission.confirmation)
    return [current for current in every if current is not None]


def _has_failed(record: messages.ClaimRecord | None, attempt: int) -> bool:
    """Return whether an attempt was settled with a failure."""
    ended = (int(codes.Code.PENDING), int(codes.Code.COMPLETE))
    return record is not None and record.attempt == attempt and record.code not in ended
