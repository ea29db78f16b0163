"""Claims of jobs, and the jobs that this entry host owns."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

import attrs

from burdockgate import codes, effects, messages
from burdockgate.process import directory, outcomecache, registry, remotejobs
from burdockgate.request import claimant, job, outcome, ownedjob, submission

SCOPE_LIMIT = 64
# More are drawn than needed, because some may be draining.
SCOPE_SAMPLE = 80
EXTENSION_SIZE = 16
CONFIRMATION_S = 2.0
# Jobs settled as "not run" at the same time. The votes on 10,000 of them at once come
# after the time-outs of the claims, which are then all sent again.
CONFIRMATIONS_LIMIT = 128
# Begun in each tick whatever is under way, so that a lost claim group delays no other.
CONFIRMATIONS_PER_TICK = 64
RETRY_AFTER_S = 1.0

_Effects = Iterator[effects.Effect]
_Submission = submission.Submission


class Ownership(remotejobs.RemoteJobs):
    """Claims jobs and leads those that a majority has granted."""

    def _claim(self, held: _Submission, epoch: int, attempt: int) -> _Effects:
        held.owner = held.waits_since = held.retry_at = None
        held.claimant = claimant.Claimant(
            self._terms(held, epoch, attempt),
            self._time,
            self._rng,
            self._config.timing.claim_round_s,
        )
        if self.is_view_current:
            yield from held.claimant.begin(self.view)

    def _terms(self, held: _Submission, epoch: int, attempt: int) -> claimant.Terms:
        request = held.request
        remaining = max(0.0, held.deadline_at - self._time.now())
        return claimant.Terms(
            held.job,
            epoch,
            attempt,
            self._node,
            request.digest if request else b"",
            tuple(self._scope(request)) if request and epoch else (),
            int(remaining * 1000),
            request.repeatable if request else False,
        )

    def _scope(self, request: job.JobRequest) -> Iterator[messages.Node]:
        members = self._workers.service(request.service).members
        if len(members) <= SCOPE_LIMIT:
            workers = list(self._workers.schedulable_workers(request.service))
        else:
            drawn = self._rng.sample(members, min(len(members), SCOPE_SAMPLE))
            workers = [
                worker for worker in drawn if self._workers.is_schedulable(worker)
            ]
        for worker in workers[:SCOPE_LIMIT]:
            yield worker.node

    def claim_reply(self, name: str, reply: messages.ClaimReply) -> _Effects:
        """Handle the vote of a claim group member.

        :param name: name of the member.
        :param reply: its vote.
        """
        held = self._find(reply.job)
        if held is None:
            return
        for current in claimants(held):
            current.reply(name, reply)
        yield from self._check_claims(held)
        yield from self._confirm_next()

    def _check_claims(self, held: _Submission) -> _Effects:
        if held.confirmation is not None and held.confirmation.result is not None:
            yield from self._confirmed(held, held.confirmation.result)
        if held.extension is not None and held.extension.result is not None:
            yield from self._extended(held)
        if held.claimant is not None and held.claimant.result is not None:
            current, held.claimant = held.claimant, None
            yield from self._decided(held, current)

    def _decided(self, held: _Submission, current: claimant.Claimant) -> _Effects:
        match current.result:
            case claimant.Won(record) if _has_failed(record, current.terms.attempt):
                # The owner before settled the job while this claim was under way.
                assert record is not None
                newer = attrs.evolve(record, epoch=current.terms.epoch)
                yield from self._held_elsewhere(held, newer)
            case claimant.Won(record):
                yield from self._lead(held, current.terms, record)
            case claimant.Held(record):
                yield from self._held_elsewhere(held, record)
            case claimant.Free():
                yield from self._refuse_free(held)

    def _refuse_free(self, held: _Submission) -> _Effects:
        """Refuse a job of which a majority holds no claim."""
        code = held.refusal or codes.Code.NOT_FOUND
        meaning = codes.MEANING_BY_CODE[code]
        retry_after = (
            RETRY_AFTER_S * self._rng.uniform(1, 3) if meaning.retryable else 0
        )
        yield from self._end(
            held,
            outcome.Refused(code, held.refusal_detail or meaning.text, retry_after),
        )

    def _lead(
        self,
        held: _Submission,
        terms: claimant.Terms,
        record: messages.ClaimRecord | None,
    ) -> _Effects:
        assert held.request is not None
        self._counters.count("jobs.taken_over" if terms.epoch > 1 else "jobs.owned")
        held.owned_job = ownedjob.OwnedJob(
            held.request,
            terms,
            self.view.group(held.job),
            self._time,
            self._config.timing.lost_worker_s,
            held.had_attempt,
        )
        if record is not None and record.attempt == terms.attempt and terms.epoch > 1:
            yield from held.owned_job.recover(record.scope)
        if held.cancels:
            yield from held.owned_job.cancel()
        yield from self._after(held)

    def _held_elsewhere(
        self, held: _Submission, record: messages.ClaimRecord
    ) -> _Effects:
        held.record = record
        request = held.request
        code = codes.Code(record.code)
        if request is not None and request.digest != record.digest:
            yield from self._end(held, registry.key_reused())
        elif code in (codes.Code.PENDING, codes.Code.COMPLETE):
            yield from self._attach(held, record)
        elif (
            request is not None
            and held.refusal is None
            and outcomecache.may_run_again(code, record.repeatable)
        ):
            held.had_attempt = registry.may_have_run(code)
            yield from self._claim(held, record.epoch + 1, record.attempt + 1)
        else:
            detail = codes.MEANING_BY_CODE[code].text
            yield from self._end(held, outcome.Failed(record.attempt, code, detail))

    def results(self, name: str, message: messages.Results) -> _Effects:
        """Handle tasks that ended at an agent.

        :param name: name of the agent.
        :param message: its reports.
        """
        held = self._find(message.job)
        if held is None or held.owned_job is None:
            self._counters.count("results.dropped", len(message.reports))
            yield from self._settle_again(name, message.job)
            return
        yield from held.owned_job.results(name, message)
        yield from self._after(held)

    def _settle_again(self, name: str, job_id: bytes) -> _Effects:
        """Repeat the settlement of an ended job to an agent that waits for it.

        Only an agent that drains asks; results that come late from others need none.
        """
        worker = self._workers.worker_by_name.get(name)
        kept = self._outcomes.get(job_id)
        if kept is not None and worker is not None and worker.draining:
            ended = kept.outcome
            yield effects.Send(
                name,
                messages.Settle(job_id, kept.epoch, ended.attempt, int(ended.code)),
            )

    def fence_reply(self, name: str, message: messages.FenceReply) -> _Effects:
        """Handle an agent's list of what it knows of a job.

        :param name: name of the agent.
        :param message: the list.
        """
        held = self._find(message.job)
        if held is None or held.owned_job is None:
            return
        yield from held.owned_job.fence_reply(name, message)
        yield from self._after(held)

    def _after(self, held: _Submission) -> _Effects:
        """Queue, answer or give up a job after its owned job has changed."""
        current = held.owned_job
        if current is None:
            return
        is_open = current.outcome is None and not current.is_superseded
        self._limits.in_progress(current.request, current.sent_count * is_open)
        if current.dropped:
            self._counters.count("results.dropped", current.dropped)
            current.dropped = 0
        if not is_open:
            self._dispatcher.drop(current)
        if current.is_superseded:
            held.owned_job = held.extension = held.confirmation = None
            self._confirming.discard(held.job)
            self._to_confirm.pop(held.job, None)
            yield from self._claim(held, 1, 1)
        elif current.outcome is not None:
            if codes.start_of(current.outcome.code) is codes.Start.NOT_RUN:
                yield from self._confirm(held, current)
            else:
                yield from self._end(held, current.outcome)
        elif current.waiting_count:
            self._dispatcher.add(current, self.weight(current.request))

    def _confirm(self, held: _Submission, current: ownedjob.OwnedJob) -> _Effects:
        """Settle a job as "not run" before anybody is told so."""
        assert current.outcome is not None
        if held.job in self._to_confirm:
            return
        if held.confirmation is None and len(self._confirming) >= CONFIRMATIONS_LIMIT:
            self._to_confirm[held.job] = None
        elif held.confirmation is None:
            yield from self._begin_confirmation(held, current)
        elif self._time.now() >= held.deadline_at:
            current.replace_outcome(_UNCONFIRMED[current.outcome.code])
            yield from self._end(held, current.outcome)

    def _begin_confirmation(
        self, held: _Submission, current: ownedjob.OwnedJob
    ) -> _Effects:
        assert current.outcome is not None
        self._confirming.add(held.job)
        held.deadline_at = self._time.now() + CONFIRMATION_S
        held.confirmation = claimant.Claimant(
            attrs.evolve(current.terms, code=int(current.outcome.code)),
            self._time,
            self._rng,
            self._config.timing.claim_round_s,
        )
        yield from held.confirmation.begin(self.view)

    def _confirm_next(self, count: int = 0) -> _Effects:
        """Begin with jobs that wait to be settled.

        :param count: how many begin even when enough are under way.
        """
        while self._to_confirm and (
            count > 0 or len(self._confirming) < CONFIRMATIONS_LIMIT
        ):
            count -= 1
            job_id = next(iter(self._to_confirm))
            del self._to_confirm[job_id]
            held = self._find(job_id)
            current = held.owned_job if held is not None else None
            if held is not None and current is not None and current.outcome:
                yield from self._begin_confirmation(held, current)

    def _confirmed(self, held: _Submission, result: claimant.Result) -> _Effects:
        current, held.confirmation = held.owned_job, None
        self._confirming.discard(held.job)
        if current is None or current.outcome is None:
            return
        if isinstance(result, claimant.Won):
            yield from self._end(held, current.outcome)
        else:
            current.is_superseded = True
            yield from self._after(held)

    def widen(self, current: ownedjob.OwnedJob) -> None:
        """Ask for a longer scope for a job that only agents outside it could run.

        :param current: the owned job.
        """
        held = self._find(current.request.job)
        if held is None or held.owned_job is not current or held.extension is not None:
            return
        free: Sequence[directory.Worker]
        free = self._workers.service(current.request.service).available
        if len(free) > SCOPE_LIMIT:
            free = self._rng.sample(free, SCOPE_LIMIT)
        outside = [
            worker.node
            for worker in sorted(free, key=lambda worker: worker.join_number)
            if self._workers.is_schedulable(worker)
            and not current.in_scope(worker.node)
        ]
        if outside:
            scope = current.terms.scope + tuple(outside[:EXTENSION_SIZE])
            held.extension = claimant.Claimant(
                attrs.evolve(current.terms, scope=scope),
                self._time,
                self._rng,
                self._config.timing.claim_round_s,
            )

    def _extended(self, held: _Submission) -> _Effects:
        current, held.extension = held.extension, None
        if held.owned_job is None or current is None:
            return
        if isinstance(current.result, claimant.Won):
            held.owned_job.extend(current.terms)
            yield from self._after(held)
        else:
            held.owned_job.is_superseded = True
            yield from self._after(held)

    def agent_connected(self, node: messages.Node) -> _Effects:
        """Tell every job about a new connection of an agent.

        :param node: the agent's incarnation.
        """
        for held in self._find_all():
            for current in claimants(held):
                current.hurry()
            if held.owned_job is not None:
                yield from held.owned_job.agent_connected(node)
                yield from self._after(held)

    def agent_disconnected(self, name: str) -> None:
        """Tell every job about a lost connection of an agent.

        :param name: name of the agent.
        """
        for held in self._find_all():
            if held.owned_job is not None:
                held.owned_job.agent_disconnected(name)


# A "not run" that no majority has confirmed is answered with the weaker code.
_UNCONFIRMED: dict[codes.Code, codes.Code] = {
    codes.Code.DEADLINE_NOT_RUN: codes.Code.DEADLINE_MAY_HAVE_RUN,
    codes.Code.CANCELLED_NOT_RUN: codes.Code.CANCELLED_MAY_HAVE_RUN,
    codes.Code.QUEUE_TIMEOUT: codes.Code.DEADLINE_MAY_HAVE_RUN,
}


def claimants(held: _Submission) -> list[claimant.Claimant]:
    """Return the claims of a job that are being decided.

    :param held: the job.
    """
    every = (held.claimant, held.extension, held.confirmation)
    return [current for current in every if current is not None]


def _has_failed(record: messages.ClaimRecord | None, attempt: int) -> bool:
    """Return whether an attempt was settled with a failure."""
    ended = (int(codes.Code.PENDING), int(codes.Code.COMPLETE))
    return record is not None and record.attempt == attempt and record.code not in ended
