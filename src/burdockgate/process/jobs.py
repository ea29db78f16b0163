"""The life of each job at an entry host: claim, lead or join, answer."""

from __future__ import annotations

import random
from collections.abc import Iterator

import attrs

from burdockgate import clock, codes, effects, messages, settings
from burdockgate.process import answers, directory, dispatch, limits, metrics
from burdockgate.request import claimant, job, leader, outcome, submission
from burdockgate.version import view as views

SCOPE_LIMIT = 64
EXTENSION_SIZE = 16
FETCH_DEADLINE_S = 10.0
CONFIRMATION_S = 2.0
CONTENTION_MIN_S = 0.05
CONTENTION_MAX_S = 0.25
RETRY_AFTER_S = 1.0

_Effects = Iterator[effects.Effect]
_Submission = submission.Submission


class Jobs:
    """Every job that this entry host holds; ``bytes`` counts their bodies.

    :param node: this incarnation of the entry host.
    :param config: its settings.
    :param time: the clock.
    :param rng: the source of random delays.
    :param counters: the process's metrics.
    :param workers: the workers known.
    :param dispatcher: gets the jobs that have waiting tasks.
    :param limit: weights and limits of services and classes.
    """

    def __init__(
        self,
        node: messages.Node,
        config: settings.EntrySettings,
        time: clock.Clock,
        rng: random.Random,
        counters: metrics.Metrics,
        workers: directory.Directory,
        dispatcher: dispatch.Dispatcher,
        limit: limits.Limits,
    ) -> None:
        self._limits = limit
        self.view = views.View()
        self.bytes = 0
        self.peer_by_name: dict[str, messages.Node] = {}
        self._node = node
        self._config = config
        self._time = time
        self._rng = rng
        self._counters = counters
        self._workers = workers
        self._dispatcher = dispatcher
        self._submission_by_job: dict[bytes, _Submission] = {}
        self._answers = answers.Answers(
            time, config.timing.retention_s, config.limits.answers_bytes
        )

    def __len__(self) -> int:
        return len(self._submission_by_job)

    @property
    def led(self) -> int:
        """Number of jobs that this entry host owns and that have not ended."""
        return sum(held.leader is not None for held in self._submission_by_job.values())

    # Callers

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
        held = self._submission_by_job.get(request.job)
        if held is not None and held.request is not None:
            yield from self._join(held, request, ticket)
            return
        kept = self._answers.get(request.job)
        if kept is not None:
            yield from self._repeat(request, ticket, kept, refusal, detail)
            return
        if held is None:
            held = self._open(request.job, request.deadline_ms / 1000)
        self._set_request(held, request)
        held.refusal, held.refusal_detail = refusal, detail
        held.deadline_at = self._time.now() + request.deadline_ms / 1000
        held.tickets.add(ticket)
        yield from self._claim(held, 0 if refusal else 1, 1)

    def _set_request(self, held: _Submission, request: job.JobRequest) -> None:
        held.request = request
        self.bytes += request.size
        self._limits.queued(request, request.size)

    def _join(
        self, held: _Submission, request: job.JobRequest, ticket: int
    ) -> _Effects:
        assert held.request is not None
        if held.request.digest != request.digest:
            yield effects.Answer(ticket, _key_reused())
            return
        self._counters.count("jobs.joined")
        held.tickets.add(ticket)

    def _repeat(
        self,
        request: job.JobRequest,
        ticket: int,
        kept: answers.Kept,
        refusal: codes.Code | None,
        detail: str,
    ) -> _Effects:
        if kept.digest != request.digest:
            yield effects.Answer(ticket, _key_reused())
        elif not kept.may_run_again or refusal is not None:
            self._counters.count("jobs.joined")
            yield effects.Answer(ticket, kept.outcome)
        else:
            self._answers.drop(request.job)
            held = self._open(request.job, request.deadline_ms / 1000)
            self._set_request(held, request)
            held.tickets.add(ticket)
            held.had_attempt = _may_have_run(kept.outcome.code)
            yield from self._claim(held, kept.epoch + 1, kept.outcome.attempt + 1)

    def fetch(self, job_id: bytes, ticket: int, cancels: bool = False) -> _Effects:
        """Wait for the outcome of a job that was submitted before.

        :param job_id: 16-byte job id.
        :param ticket: number under which the caller waits.
        :param cancels: whether to cancel the job.
        """
        held = self._submission_by_job.get(job_id)
        kept = self._answers.get(job_id)
        if held is None and kept is not None:
            yield effects.Answer(ticket, kept.outcome)
            return
        if held is None:
            held = self._open(job_id, FETCH_DEADLINE_S)
            yield from self._claim(held, 0, 0)
        held.tickets.add(ticket)
        if cancels:
            held.cancels = True
            yield from self._cancel(held)

    def is_local(self, job_id: bytes) -> bool:
        """Return whether a job is led or its answer kept by this entry host.

        :param job_id: 16-byte job id.
        """
        held = self._submission_by_job.get(job_id)
        if held is None:
            return self._answers.get(job_id) is not None
        return held.leader is not None

    def forget(self, ticket: int) -> None:
        """Drop a caller that no longer waits; its job goes on.

        :param ticket: number of the caller.
        """
        for held in self._submission_by_job.values():
            held.tickets.discard(ticket)

    def _cancel(self, held: _Submission) -> _Effects:
        if held.leader is not None:
            yield from held.leader.cancel()
            yield from self._after(held)
        elif held.owner is not None:
            yield effects.Send(held.owner.name, messages.Detach(held.job, cancel=True))

    def _open(self, job_id: bytes, seconds: float) -> _Submission:
        held = _Submission(job_id, self._time.now() + seconds)
        self._submission_by_job[job_id] = held
        return held

    # Claims

    def _claim(self, held: _Submission, epoch: int, attempt: int) -> _Effects:
        held.owner = held.waits_since = held.retry_at = None
        held.claimant = claimant.Claimant(
            self._terms(held, epoch, attempt),
            self._time,
            self._rng,
            self._config.timing.claim_round_s,
        )
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
        workers = list(self._workers.of_service(request.service))
        if len(workers) > SCOPE_LIMIT:
            workers = self._rng.sample(workers, SCOPE_LIMIT)
        for worker in workers:
            yield worker.node

    def claim_reply(self, name: str, reply: messages.ClaimReply) -> _Effects:
        """Handle the vote of a claim group member.

        :param name: name of the member.
        :param reply: its vote.
        """
        held = self._submission_by_job.get(reply.job)
        if held is None:
            return
        for current in _claimants(held):
            current.reply(name, reply)
        yield from self._check_claims(held)

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
        held.leader = leader.Leader(
            held.request,
            terms,
            self.view.group(held.job),
            self._time,
            self._config.timing.lost_worker_s,
            held.had_attempt,
        )
        if record is not None and record.attempt == terms.attempt and terms.epoch > 1:
            yield from held.leader.recover(record.scope)
        if held.cancels:
            yield from held.leader.cancel()
        yield from self._after(held)

    def _held_elsewhere(
        self, held: _Submission, record: messages.ClaimRecord
    ) -> _Effects:
        held.record = record
        request = held.request
        code = codes.Code(record.code)
        if request is not None and request.digest != record.digest:
            yield from self._end(held, _key_reused())
        elif code in (codes.Code.PENDING, codes.Code.COMPLETE):
            yield from self._attach(held, record)
        elif (
            request is not None
            and held.refusal is None
            and answers.may_run_again(code, record.repeatable)
        ):
            held.had_attempt = _may_have_run(code)
            yield from self._claim(held, record.epoch + 1, record.attempt + 1)
        else:
            detail = codes.MEANING_BY_CODE[code].text
            yield from self._end(held, outcome.Failed(record.attempt, code, detail))

    # Jobs of other entry hosts

    def _attach(self, held: _Submission, record: messages.ClaimRecord) -> _Effects:
        held.owner = record.owner
        for name in held.attached:
            yield effects.Send(name, self._not_mine(held.job))
        held.attached.clear()
        peer = self.peer_by_name.get(record.owner.name)
        if record.owner.name == self._node.name or (
            peer is not None and not peer.same(record.owner)
        ):
            # The owner has another boot by now, so it is gone.
            yield from self._take_over(held)
        elif peer is not None:
            self._counters.count("jobs.joined")
            held.waits_since = None
            yield effects.Send(peer.name, messages.Attach(held.job, record.epoch))
            if held.cancels:
                yield effects.Send(peer.name, messages.Detach(held.job, cancel=True))
        else:
            held.waits_since = held.waits_since or self._time.now()
            yield effects.Dial(record.owner)

    def _take_over(self, held: _Submission) -> _Effects:
        record = held.record
        assert record is not None
        if held.request is None:
            # Without the body the job cannot be led; a submission would do it.
            detail = "the owner of the job is lost; submit again with the same key"
            yield from self._end(held, outcome.Pending(record.attempt, detail=detail))
            return
        held.refusal = None
        yield from self._claim(held, record.epoch + 1, record.attempt)

    def peer_outcome(self, name: str, message: messages.Outcome) -> _Effects:
        """Handle the outcome of a job that another entry host owns.

        :param name: name of that entry host.
        :param message: the outcome, or that it does not own the job.
        """
        held = self._submission_by_job.get(message.job)
        if held is None or held.owner is None or held.owner.name != name:
            self._counters.count("results.dropped")
            return
        code = codes.Code(message.code)
        if code is codes.Code.PENDING:
            delay = self._rng.uniform(CONTENTION_MIN_S, CONTENTION_MAX_S)
            held.retry_at = self._time.now() + delay
        elif code is codes.Code.COMPLETE:
            yield from self._end(held, self._whole(held, message))
        else:
            yield from self._end(
                held, outcome.Failed(message.attempt, code, message.detail)
            )

    def _whole(
        self, held: _Submission, message: messages.Outcome
    ) -> outcome.Complete | outcome.Failed:
        """Return the answer only when it has a result for each task."""
        request = held.request
        if not message.results or (
            request is not None and len(message.results) != len(request.tasks)
        ):
            return outcome.Failed(
                message.attempt,
                codes.Code.ANSWER_EXPIRED,
                message.detail or "the answer of the owner is not whole",
            )
        return outcome.Complete(message.attempt, message.results)

    def attach(self, name: str, message: messages.Attach) -> _Effects:
        """Handle an entry host that waits for a job.

        :param name: name of the entry host.
        :param message: names the job.
        """
        held = self._submission_by_job.get(message.job)
        kept = self._answers.get(message.job)
        if held is not None and (held.leader or held.claimant):
            held.attached.add(name)
        elif kept is not None:
            yield effects.Send(
                name, _outcome_message(message.job, kept.epoch, kept.outcome)
            )
        else:
            yield effects.Send(name, self._not_mine(message.job))

    def detach(self, name: str, message: messages.Detach) -> _Effects:
        """Handle an entry host that no longer waits, or that cancels a job.

        :param name: name of the entry host.
        :param message: names the job.
        """
        held = self._submission_by_job.get(message.job)
        if held is None:
            return
        if not message.cancel:
            held.attached.discard(name)
        elif held.leader is not None:
            yield from held.leader.cancel()
            yield from self._after(held)

    @staticmethod
    def _not_mine(job_id: bytes) -> messages.Outcome:
        return messages.Outcome(job_id, 0, 0, int(codes.Code.PENDING), "", ())

    # Own jobs

    def results(self, name: str, message: messages.Results) -> _Effects:
        """Handle tasks that ended at an agent.

        :param name: name of the agent.
        :param message: its reports.
        """
        held = self._submission_by_job.get(message.job)
        if held is None or held.leader is None:
            self._counters.count("results.dropped", len(message.reports))
            return
        yield from held.leader.results(name, message)
        yield from self._after(held)

    def fence_reply(self, name: str, message: messages.FenceReply) -> _Effects:
        """Handle an agent's list of what it knows of a job.

        :param name: name of the agent.
        :param message: the list.
        """
        held = self._submission_by_job.get(message.job)
        if held is None or held.leader is None:
            return
        yield from held.leader.fence_reply(name, message)
        yield from self._after(held)

    def _after(self, held: _Submission) -> _Effects:
        """Queue, answer or give up a job after its leader has changed."""
        current = held.leader
        if current is None:
            return
        is_open = current.outcome is None and not current.is_superseded
        self._limits.in_progress(current.request, current.sent_count * is_open)
        if current.dropped:
            self._counters.count("results.dropped", current.dropped)
            current.dropped = 0
        if current.is_superseded:
            held.leader = held.extension = held.confirmation = None
            yield from self._claim(held, 1, 1)
        elif current.outcome is not None:
            if codes.start_of(current.outcome.code) is codes.Start.NOT_RUN:
                yield from self._confirm(held, current)
            else:
                yield from self._end(held, current.outcome)
        elif current.waiting_count:
            self._dispatcher.add(current, self.weight(current.request))

    def _confirm(self, held: _Submission, current: leader.Leader) -> _Effects:
        """Settle a job as "not run" before anybody is told so."""
        assert current.outcome is not None
        if held.confirmation is None:
            held.deadline_at = self._time.now() + CONFIRMATION_S
            held.confirmation = claimant.Claimant(
                attrs.evolve(current.terms, code=int(current.outcome.code)),
                self._time,
                self._rng,
                self._config.timing.claim_round_s,
            )
            yield from held.confirmation.begin(self.view)
        elif self._time.now() >= held.deadline_at:
            current.replace_outcome(_UNCONFIRMED[current.outcome.code])
            yield from self._end(held, current.outcome)

    def _confirmed(self, held: _Submission, result: claimant.Result) -> _Effects:
        current, held.confirmation = held.leader, None
        if current is None or current.outcome is None:
            return
        if isinstance(result, claimant.Won):
            yield from self._end(held, current.outcome)
        else:
            current.is_superseded = True
            yield from self._after(held)

    def weight(self, request: job.JobRequest) -> float:
        """Return the weight of a job, by its service and its class.

        :param request: the job.
        """
        return self._limits.weight(request.service, request.caller_class)

    def widen(self, current: leader.Leader) -> None:
        """Ask for a longer scope for a job that only agents outside it could run.

        :param current: the job's leader.
        """
        held = self._submission_by_job.get(current.request.job)
        if held is None or held.leader is not current or held.extension is not None:
            return
        outside = [
            worker.node
            for worker in self._workers.of_service(current.request.service)
            if worker.free > 0 and not current.in_scope(worker.node)
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
        if held.leader is None or current is None:
            return
        if isinstance(current.result, claimant.Won):
            held.leader.extend(current.terms)
            yield from self._after(held)
        else:
            held.leader.is_superseded = True
            yield from self._after(held)

    def _end(self, held: _Submission, result: outcome.Outcome) -> _Effects:
        """Answer everybody who waits for a job, and keep the outcome of an own one."""
        if self._submission_by_job.get(held.job) is not held:
            return
        del self._submission_by_job[held.job]
        if held.request is not None:
            self.bytes -= held.request.size
            self._limits.queued(held.request, -held.request.size)
            self._limits.in_progress(held.request, 0)
        epoch = held.leader.terms.epoch if held.leader else 0
        if held.leader is not None:
            yield from held.leader.settle()
        if isinstance(result, outcome.Complete | outcome.Failed) and held.leader:
            request = held.leader.request
            self._answers.keep(
                held.job,
                answers.Kept(
                    result,
                    epoch,
                    request.digest,
                    request.repeatable,
                    self._time.now(),
                ),
            )
        self._counters.count(_COUNTER_BY_CLASS.get(type(result), "jobs.refused"))
        for ticket in sorted(held.tickets):
            yield effects.Answer(ticket, result)
        for name in sorted(held.attached):
            yield effects.Send(name, _outcome_message(held.job, epoch, result))

    # Nodes and time

    def agent_connected(self, node: messages.Node) -> _Effects:
        """Tell every job about a new connection of an agent.

        :param node: the agent's incarnation.
        """
        for held in list(self._submission_by_job.values()):
            for current in _claimants(held):
                current.hurry()
            if held.leader is not None:
                yield from held.leader.agent_connected(node)
                yield from self._after(held)

    def agent_disconnected(self, name: str) -> None:
        """Tell every job about a lost connection of an agent.

        :param name: name of the agent.
        """
        for held in self._submission_by_job.values():
            if held.leader is not None:
                held.leader.agent_disconnected(name)

    def peer_connected(self, node: messages.Node) -> _Effects:
        """Attach again to the jobs of an entry host that has connected.

        :param node: its incarnation.
        """
        self.peer_by_name[node.name] = node
        for held in list(self._submission_by_job.values()):
            if held.owner is not None and held.owner.name == node.name and held.record:
                yield from self._attach(held, held.record)

    def peer_disconnected(self, name: str) -> None:
        """Note that an entry host is no longer connected.

        :param name: its name.
        """
        self.peer_by_name.pop(name, None)
        for held in self._submission_by_job.values():
            held.attached.discard(name)
            if held.owner is not None and held.owner.name == name:
                held.waits_since = self._time.now()

    def tick(self) -> _Effects:
        """Do what is due; call at least ten times a second."""
        self._answers.expire()
        for held in list(self._submission_by_job.values()):
            yield from self._tick(held)

    def _tick(self, held: _Submission) -> _Effects:
        now = self._time.now()
        for current in _claimants(held):
            yield from current.tick(self.view)
        yield from self._check_claims(held)
        if held.leader is not None:
            queue_s = self._limits.queue_s(held.leader.request)
            if queue_s is not None:
                yield from held.leader.check_queue(queue_s)
            yield from held.leader.tick()
            yield from self._after(held)
        elif now >= held.deadline_at:
            yield from self._expire(held)
        elif held.owner is not None:
            yield from self._watch_owner(held, now)

    def _watch_owner(self, held: _Submission, now: float) -> _Effects:
        lease_s = self._config.timing.lease_s
        is_lost = held.waits_since is not None and now - held.waits_since >= lease_s
        is_due = held.retry_at is not None and now >= held.retry_at
        if is_lost or is_due:
            yield from self._take_over(held)

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
                outcome.Refused(code, codes.MEANING_BY_CODE[code].text, RETRY_AFTER_S),
            )


_COUNTER_BY_CLASS: dict[type, str] = {
    outcome.Complete: "jobs.complete",
    outcome.Failed: "jobs.failed",
    outcome.Refused: "jobs.refused",
}


# A "not run" that no majority has confirmed is answered with the weaker code.
_UNCONFIRMED: dict[codes.Code, codes.Code] = {
    codes.Code.DEADLINE_NOT_RUN: codes.Code.DEADLINE_MAY_HAVE_RUN,
    codes.Code.CANCELLED_NOT_RUN: codes.Code.CANCELLED_MAY_HAVE_RUN,
    codes.Code.QUEUE_TIMEOUT: codes.Code.DEADLINE_MAY_HAVE_RUN,
}


def _claimants(held: _Submission) -> list[claimant.Claimant]:
    every = (held.claimant, held.extension, held.confirmation)
    return [current for current in every if current is not None]


def _has_failed(record: messages.ClaimRecord | None, attempt: int) -> bool:
    """Return whether an attempt was settled with a failure."""
    ended = (int(codes.Code.PENDING), int(codes.Code.COMPLETE))
    return record is not None and record.attempt == attempt and record.code not in ended


def _may_have_run(code: codes.Code) -> bool:
    return codes.start_of(code) is not codes.Start.NOT_RUN


def _key_reused() -> outcome.Refused:
    code = codes.Code.KEY_REUSED
    return outcome.Refused(code, codes.MEANING_BY_CODE[code].text)


def _outcome_message(
    job_id: bytes, epoch: int, result: outcome.Outcome
) -> messages.Outcome:
    results = result.results if isinstance(result, outcome.Complete) else ()
    return messages.Outcome(
        job_id, epoch, result.attempt, int(result.code), result.detail, results
    )
