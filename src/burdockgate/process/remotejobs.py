"""Jobs that another entry host owns: wait for its outcome, or take over."""

from __future__ import annotations

from collections.abc import Iterator

from burdockgate import codes, effects, messages
from burdockgate.process import registry
from burdockgate.request import outcome, submission

CONTENTION_MIN_S = 0.05
CONTENTION_MAX_S = 0.25

_Effects = Iterator[effects.Effect]
_Submission = submission.Submission


class RemoteJobs(registry.JobRegistry):
    """Waits at the owner of a job, and claims the job when the owner is lost."""

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
        held = self._find(message.job)
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
        held = self._find(message.job)
        kept = self._outcomes.get(message.job)
        if held is not None and (held.owned_job or held.claimant):
            held.attached.add(name)
        elif kept is not None:
            yield effects.Send(
                name, registry.outcome_message(message.job, kept.epoch, kept.outcome)
            )
        else:
            yield effects.Send(name, self._not_mine(message.job))

    def detach(self, name: str, message: messages.Detach) -> _Effects:
        """Handle an entry host that no longer waits, or that cancels a job.

        :param name: name of the entry host.
        :param message: names the job.
        """
        held = self._find(message.job)
        if held is None:
            return
        if not message.cancel:
            held.attached.discard(name)
            return
        # While the claim is being decided, it is cancelled once it is granted.
        held.cancels = True
        if held.owned_job is not None:
            yield from held.owned_job.cancel()
            yield from self._after(held)

    @staticmethod
    def _not_mine(job_id: bytes) -> messages.Outcome:
        return messages.Outcome(job_id, 0, 0, int(codes.Code.PENDING), "", ())

    def peer_connected(self, node: messages.Node) -> _Effects:
        """Attach again to the jobs of an entry host that has connected.

        :param node: its incarnation.
        """
        self.peer_by_name[node.name] = node
        for held in self._find_all():
            if held.owner is not None and held.owner.name == node.name and held.record:
                yield from self._attach(held, held.record)

    def peer_disconnected(self, name: str) -> None:
        """Note that an entry host is no longer connected.

        :param name: its name.
        """
        self.peer_by_name.pop(name, None)
        for held in self._find_all():
            held.attached.discard(name)
            if held.owner is not None and held.owner.name == name:
                held.waits_since = self._time.now()

    def _watch_owner(self, held: _Submission, now: float) -> _Effects:
        lease_s = self._config.timing.lease_s
        is_lost = held.waits_since is not None and now - held.waits_since >= lease_s
        is_due = held.retry_at is not None and now >= held.retry_at
        if is_lost or is_due:
            yield from self._take_over(held)
