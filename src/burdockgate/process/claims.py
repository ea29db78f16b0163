"""The records of a claim group member, and the rules by which it votes.

A claim needs grants from a majority of its group, so any later majority contains a
member that recorded it. :mod:`burdockgate.process.catchup` decides when a member
that has newly joined a group may vote.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from burdockgate import clock, codes, messages
from burdockgate.process import catchup

MS_PER_S = 1000
# A claim with this epoch only reads the record.
QUERY_EPOCH = 0
# Covers log responses and votes that were in transit when the view changed.
VIEW_MARGIN_S = 60.0


@attrs.define
class _StoredRecord:
    record: messages.ClaimRecord
    expires_at: float


class ClaimStore:
    """Votes on claims and stores the granted ones.

    :param node: the agent that votes.
    :param time: the clock.
    :param retention_s: how long a record is kept after the job's deadline, or after
        the job is settled.
    :param view_limit_s: how long entry hosts make claims by a view that may be
        outdated.
    """

    def __init__(
        self,
        node: messages.Node,
        time: clock.Clock,
        retention_s: float,
        view_limit_s: float,
    ) -> None:
        self._node = node
        self._time = time
        self._retention_s = retention_s
        self._stored_by_job: dict[bytes, _StoredRecord] = {}
        # The sum is the time until no claim from before a reconfiguration matters.
        # Members that are partitioned off still grant claims by the view before a
        # reconfiguration, until the entry hosts in their partition stop making claims.
        window_s = view_limit_s + messages.MAX_DEADLINE_S + retention_s
        self.catchup = catchup.Catchup(node, time, window_s + VIEW_MARGIN_S)

    def __len__(self) -> int:
        return len(self._stored_by_job)

    def vote(self, claim: messages.Claim) -> messages.ClaimReply:
        """Vote on a claim, and store it when it is granted.

        :param claim: the claim of an entry host.
        :returns: the verdict, with the record from before the claim.
        """
        stored = self._stored_by_job.get(claim.job)
        record = stored.record if stored else None
        verdict = self._verdict(claim, record)
        if verdict is messages.Verdict.GRANTED:
            self._store_claim(claim, record)
        return messages.ClaimReply(
            claim.job, claim.epoch, verdict, self.catchup.view.number, record
        )

    def _verdict(
        self, claim: messages.Claim, record: messages.ClaimRecord | None
    ) -> messages.Verdict:
        if not self.catchup.agrees_on_group(claim.job, claim.group):
            return messages.Verdict.STALE_VIEW
        if not self.catchup.is_ready(claim.job):
            return messages.Verdict.CATCHING_UP
        if claim.epoch == QUERY_EPOCH:
            return messages.Verdict.HELD if record else messages.Verdict.FREE
        if record is None:
            return messages.Verdict.GRANTED
        if claim.attempt < record.attempt:
            return messages.Verdict.HELD
        if claim.epoch > record.epoch:
            return _verdict_on_newer(claim, record)
        if claim.epoch == record.epoch and claim.owner.is_same_incarnation(
            record.owner
        ):
            return messages.Verdict.GRANTED
        return messages.Verdict.HELD

    def _store_claim(
        self, claim: messages.Claim, old: messages.ClaimRecord | None
    ) -> None:
        code = claim.code
        if code == codes.Code.PENDING and old and old.attempt == claim.attempt:
            code = old.code
        record = messages.ClaimRecord(
            claim.job,
            claim.epoch,
            claim.attempt,
            claim.owner,
            claim.digest,
            merge_scopes((old.scope if old else (), claim.scope)),
            code,
            claim.repeatable,
            claim.expires_in_ms,
        )
        self._store(record, claim.expires_in_ms / MS_PER_S + self._retention_s)

    def _store(self, record: messages.ClaimRecord, seconds: float) -> None:
        self._stored_by_job[record.job] = _StoredRecord(
            record, self._time.now() + seconds
        )

    def settle(self, settle: messages.Settle, owner: messages.Node) -> None:
        """Record the result code that the owner of a job sent.

        Only the winner of an epoch settles the job, so the record names that owner
        from then on, even if this member had granted another owner or only an older
        epoch.

        :param settle: ignored when the job is not recorded, or at a newer epoch.
        :param owner: the entry host that sent it.
        """
        stored = self._stored_by_job.get(settle.job)
        if stored is None or settle.epoch < stored.record.epoch:
            return
        record = attrs.evolve(
            stored.record,
            epoch=settle.epoch,
            attempt=settle.attempt,
            owner=owner,
            code=settle.code,
        )
        self._store(record, self._retention_s)

    def merge(self, records: Iterable[messages.ClaimRecord]) -> None:
        """Merge records of another member into the store.

        Of two records of one job the higher epoch is kept, with the scopes of both,
        because a later owner must fence every agent that may have a task. If the
        records name two owners of one epoch, at most one of the two votes was part of
        a majority. It is not known which, so the merged record gets a higher epoch
        and this member grants the old epoch to neither owner again.

        :param records: records from a :class:`messages.SyncReply`.
        """
        for record in records:
            stored = self._stored_by_job.get(record.job)
            if stored is not None:
                record = _merge_records(stored.record, record)
            self._store(record, record.expires_in_ms / MS_PER_S + self._retention_s)

    def records_for(
        self, member: messages.Node, view_number: int
    ) -> list[messages.ClaimRecord]:
        """Return the records that a member needs after it has joined groups.

        :param member: the member that asks.
        :param view_number: number of the view in which it joined them.
        """
        now = self._time.now()
        return [
            attrs.evolve(
                stored.record,
                expires_in_ms=max(0, int((stored.expires_at - now) * MS_PER_S)),
            )
            for stored in self._stored_by_job.values()
            if self.catchup.needs_record(member, stored.record.job, view_number)
        ]

    def expire(self) -> None:
        """Drop records whose retention has passed."""
        now = self._time.now()
        expired = [
            job
            for job, stored in self._stored_by_job.items()
            if stored.expires_at <= now
        ]
        for job in expired:
            del self._stored_by_job[job]


def _verdict_on_newer(
    claim: messages.Claim, record: messages.ClaimRecord
) -> messages.Verdict:
    """Vote on an epoch above the recorded one.

    An attempt that was settled with a failure is never granted to a newer owner. A
    grant would copy its code into the record of the newer epoch. An entry host that
    reads this record would take the attempt for failed, while the newer owner, which
    may have won without this vote, runs it.
    """
    is_pending = claim.code == codes.Code.PENDING
    if _has_failed(record) and is_pending and claim.attempt == record.attempt:
        return messages.Verdict.HELD
    return messages.Verdict.GRANTED


def merge_scopes(
    scopes: Iterable[tuple[messages.Node, ...]],
) -> tuple[messages.Node, ...]:
    """Return each incarnation of a node in the scopes once, in order of appearance.

    :param scopes: the agents that may have a task of a job, from several claims.
    """
    node_by_id = {(node.name, node.boot): node for scope in scopes for node in scope}
    return tuple(node_by_id.values())


def _merge_records(
    first: messages.ClaimRecord, second: messages.ClaimRecord
) -> messages.ClaimRecord:
    older, newer = sorted((first, second), key=_precedence)
    epoch, code = newer.epoch, newer.code
    if older.epoch == epoch and not older.owner.is_same_incarnation(newer.owner):
        epoch += 1
    elif _has_failed(older) and (older.attempt, codes.Code.PENDING) == (
        newer.attempt,
        code,
    ):
        # Either a majority settled the attempt as failed, or a majority granted the
        # newer epoch; the two exclude each other, and it is not known which is so. The
        # attempt may have run, so it is recorded as failed.
        epoch, code = epoch + 1, codes.Code.OWNER_LOST
    scope = merge_scopes((first.scope, second.scope))
    return attrs.evolve(newer, epoch=epoch, code=int(code), scope=scope)


def _has_failed(record: messages.ClaimRecord) -> bool:
    return record.code not in (codes.Code.PENDING, codes.Code.COMPLETE)


def _precedence(record: messages.ClaimRecord) -> tuple[int, bool, str, int]:
    """Return a sort key that orders records of one job the same at every member."""
    is_settled = record.code != codes.Code.PENDING
    return (record.epoch, is_settled, record.owner.name, record.owner.boot)
