"""Jobs that another entry host owns.

This layer waits for the owner's outcome, or takes the job over when the owner is lost.
"""

from __future__ import annotations

from collections.abc import Iterator

from burdockgate import codes, effects, messages
from burdockgate.process import registry
from burdockgate.request import outcome
from burdockgate.request import submission as submissions

# Bounds of the random delay before a new claim of a job whose supposed owner does not
# own it, so that the entry hosts that wait for it don't claim it at the same time.
CONTENTION_MIN_S = 0.05
CONTENTION_MAX_S = 0.25

_Effects = Iterator[effects.Effect]
_Submission = submissions.Submission


class RemoteJobs(registry.JobRegistry):
    """Attaches to the owner of a job, and claims the job when the owner is lost."""

    def _attach_to_owner(
        self, submission: _Submission, record: messages.ClaimRecord
    ) -> _Effects:
        submission.owner = record.owner
        # The hosts attached here must not wait for this host, as it is not the owner.
        for name in submission.attached_hosts:
            yield effects.Send(name, self._not_owned_message(submission.job))
        submission.attached_hosts.clear()
        peer = self.peer_by_name.get(record.owner.name)
        if record.owner.name == self._node.name or (
            peer is not None and not peer.is_same_incarnation(record.owner)
        ):
            # The owner has restarted since it claimed the job.
            yield from self._take_over(submission)
        elif peer is not None:
            self._counters.count("jobs.joined")
            submission.owner_disconnected_at = None
            yield effects.Send(peer.name, messages.Attach(submission.job, record.epoch))
            if submission.is_cancel_requested:
                yield effects.Send(
                    peer.name, messages.Detach(submission.job, cancel=True)
                )
        else:
            submission.owner_disconnected_at = (
                submission.owner_disconnected_at or self._time.now()
            )
            yield effects.Dial(record.owner)

    def _take_over(self, submission: _Submission) -> _Effects:
        record = submission.claim_record
        assert record is not None
        if submission.request is None:
            # Running the job needs its body, which only a submission carries.
            detail = "the owner of the job is lost; submit again with the same key"
            yield from self._finish(
                submission, outcome.Pending(record.attempt, detail=detail)
            )
            return
        # A refusal applies only to a job that is not claimed yet.
        submission.refusal = None
        yield from self._claim(submission, record.epoch + 1, record.attempt)

    def handle_peer_outcome(self, name: str, message: messages.Outcome) -> _Effects:
        """Handle the outcome of a job that another entry host owns.

        :param name: name of that entry host.
        :param message: the outcome; code ``PENDING`` when it does not own the job.
        """
        submission = self._find(message.job)
        if (
            submission is None
            or submission.owner is None
            or submission.owner.name != name
        ):
            self._counters.count("results.dropped")
            return
        code = codes.Code(message.code)
        if code is codes.Code.PENDING:
            delay_s = self._rng.uniform(CONTENTION_MIN_S, CONTENTION_MAX_S)
            submission.retry_at = self._time.now() + delay_s
        elif code is codes.Code.COMPLETE:
            yield from self._finish(
                submission, self._checked_outcome(submission, message)
            )
        else:
            yield from self._finish(
                submission, outcome.Failed(message.attempt, code, message.detail)
            )

    def _checked_outcome(
        self, submission: _Submission, message: messages.Outcome
    ) -> outcome.Complete | outcome.Failed:
        """Return a complete outcome only if it has a result for each task."""
        request = submission.request
        if not message.results or (
            request is not None and len(message.results) != len(request.tasks)
        ):
            return outcome.Failed(
                message.attempt,
                codes.Code.ANSWER_EXPIRED,
                message.detail or "the answer of the owner is not whole",
            )
        return outcome.Complete(message.attempt, message.results)

    def handle_attach(self, name: str, message: messages.Attach) -> _Effects:
        """Handle an entry host's request for the outcome of a job.

        :param name: name of the entry host.
        :param message: names the job.
        """
        submission = self._find(message.job)
        cached = self._outcomes.get(message.job)
        if submission is not None and (submission.owned_job or submission.claimant):
            submission.attached_hosts.add(name)
        elif cached is not None:
            yield effects.Send(
                name,
                registry.outcome_message(message.job, cached.epoch, cached.outcome),
            )
        else:
            yield effects.Send(name, self._not_owned_message(message.job))

    def handle_detach(self, name: str, message: messages.Detach) -> _Effects:
        """Handle an entry host that stops waiting for a job or cancels it.

        :param name: name of the entry host.
        :param message: names the job.
        """
        submission = self._find(message.job)
        if submission is None:
            return
        if not message.cancel:
            submission.attached_hosts.discard(name)
            return
        # If the claim is still open, the job is cancelled once the claim is granted.
        submission.is_cancel_requested = True
        if submission.owned_job is not None:
            yield from submission.owned_job.cancel()
            yield from self._handle_job_change(submission)

    @staticmethod
    def _not_owned_message(job_id: bytes) -> messages.Outcome:
        return messages.Outcome(job_id, 0, 0, int(codes.Code.PENDING), "", ())

    def handle_peer_connected(self, node: messages.Node) -> _Effects:
        """Attach again to the jobs that a newly connected entry host owns.

        :param node: incarnation of the entry host.
        """
        self.peer_by_name[node.name] = node
        for submission in self._find_all():
            if (
                submission.owner is not None
                and submission.owner.name == node.name
                and submission.claim_record
            ):
                yield from self._attach_to_owner(submission, submission.claim_record)

    def handle_peer_disconnected(self, name: str) -> None:
        """Record since when the owner of a job has been disconnected.

        :param name: name of the entry host.
        """
        self.peer_by_name.pop(name, None)
        for submission in self._find_all():
            submission.attached_hosts.discard(name)
            if submission.owner is not None and submission.owner.name == name:
                submission.owner_disconnected_at = self._time.now()

    def _check_owner(self, submission: _Submission, now: float) -> _Effects:
        # The lease also limits how long the owner of a job may be disconnected.
        lease_s = self._config.timing.lease_s
        is_lost = (
            submission.owner_disconnected_at is not None
            and now - submission.owner_disconnected_at >= lease_s
        )
        is_due = submission.retry_at is not None and now >= submission.retry_at
        if is_lost or is_due:
            yield from self._take_over(submission)
