"""The records of a claim group member, and the rules by which it votes.

A majority of a group grants each claim, so any later majority contains a member
that knows it. :mod:`burdockgate.process.catchup` decides when a member that has
newly entered a group may vote.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from burdockgate import clock, codes, messages
from burdockgate.process import catchup

MS_PER_S = 1000
ASK_ONLY_EPOCH = 0
# For answers of the log and votes that were under way when the view changed.
VIEW_MARGIN_S = 60.0


@attrs.define
class _Held:
    record: messages.ClaimRecord
    expires_at: float


class ClaimStore:
    """Votes on claims and keeps what was granted.

    :param node: the agent that votes.
    :param time: the clock.
    :param retention_s: how long a record is kept after its last change.
    :param view_limit_s: how long entry hosts claim by a view that may be outdated.
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
        self._held_by_job: dict[bytes, _Held] = {}
        # Members that are cut off grant claims by the view before a step until the
        # entry hosts beside them stop claiming.
        window_s = view_limit_s + messages.LONGEST_DEADLINE_S + retention_s
        self.catchup = catchup.Catchup(node, time, window_s + VIEW_MARGIN_S)

    def __len__(self) -> int:
        return len(self._held_by_job)

    def vote(self, claim: messages.Claim) -> messages.ClaimReply:
        """Answer a claim and record it when it is granted.

        :param claim: the claim of an entry host.
        """
        held = self._held_by_job.get(claim.job)
        record = held.record if held else None
        verdict = self._verdict(claim, record)
        if verdict is messages.Verdict.GRANTED:
            self._record(claim, record)
        return messages.ClaimReply(
            claim.job, claim.epoch, verdict, self.catchup.view.number, record
        )

    def _verdict(
        self, claim: messages.Claim, record: messages.ClaimRecord | None
    ) -> messages.Verdict:
        if not self.catchup.agrees(claim.job, claim.group):
            return messages.Verdict.STALE_VIEW
        if not self.catchup.is_ready(claim.job):
            return messages.Verdict.CATCHING_UP
        if claim.epoch == ASK_ONLY_EPOCH:
            return messages.Verdict.HELD if record else messages.Verdict.FREE
        if record is None:
            return messages.Verdict.GRANTED
        if claim.attempt < record.attempt:
            return messages.Verdict.HELD
        if claim.epoch > record.epoch:
            return _verdict_on_newer(claim, record)
        if claim.epoch == record.epoch and claim.owner.same(record.owner):
            return messages.Verdict.GRANTED
        return messages.Verdict.HELD

    def _record(self, claim: messages.Claim, old: messages.ClaimRecord | None) -> None:
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
        self._keep(record, claim.expires_in_ms / MS_PER_S + self._retention_s)

    def _keep(self, record: messages.ClaimRecord, seconds: float) -> None:
        self._held_by_job[record.job] = _Held(record, self._time.now() + seconds)

    def settle(self, settle: messages.Settle, owner: messages.Node) -> None:
        """Record the result code of a job, from its owner.

        Only the winner of an epoch settles it, so the record names that owner from
        then on, also where this member had granted another one or an older epoch.

        :param settle: ignored when a newer epoch is recorded.
        :param owner: the entry host that sent it.
        """
        held = self._held_by_job.get(settle.job)
        if held is None or settle.epoch < held.record.epoch:
            return
        record = attrs.evolve(
            held.record,
            epoch=settle.epoch,
            attempt=settle.attempt,
            owner=owner,
            code=settle.code,
        )
        self._keep(record, self._retention_s)

    def merge(self, records: Iterable[messages.ClaimRecord]) -> None:
        """Add records of other members to the own ones.

        Of two records of one job the higher epoch stays, with the scopes of both,
        because a later owner must fence every agent that may have a task. Two owners
        of one epoch are two votes of which at most one was part of a majority. It is
        not known which, so the merged record has a higher epoch and neither owner is
        granted that epoch here again.

        :param records: records from a :class:`messages.SyncReply`.
        """
        for record in records:
            held = self._held_by_job.get(record.job)
            if held is not None:
                record = _merged(held.record, record)
            self._keep(record, record.expires_in_ms / MS_PER_S + self._retention_s)

    def records_for(
        self, member: messages.Node, number: int
    ) -> list[messages.ClaimRecord]:
        """Return the records that a member needs after it entered groups.

        :param member: the member that asks.
        :param number: number of the view in which it entered them.
        """
        now = self._time.now()
        return [
            attrs.evolve(
                held.record,
                expires_in_ms=max(0, int((held.expires_at - now) * MS_PER_S)),
            )
            for held in self._held_by_job.values()
            if self.catchup.is_member(member, held.record.job, number)
        ]

    def expire(self) -> None:
        """Drop records whose retention has passed."""
        now = self._time.now()
        expired = [
            id_ for id_, held in self._held_by_job.items() if held.expires_at <= now
        ]
        for id_ in expired:
            del self._held_by_job[id_]


def _verdict_on_newer(
    claim: messages.Claim, record: messages.ClaimRecord
) -> messages.Verdict:
    """Vote on an epoch above the recorded one.

    An attempt that has failed stays closed. With a grant, its code would stand in the
    record of the newer epoch, and who reads it there would take the newer owner's
    attempt for failed while that owner, who may have won without this vote, runs it.
    """
    is_pending = claim.code == codes.Code.PENDING
    if _has_failed(record) and is_pending and claim.attempt == record.attempt:
        return messages.Verdict.HELD
    return messages.Verdict.GRANTED


def merge_scopes(
    scopes: Iterable[tuple[messages.Node, ...]],
) -> tuple[messages.Node, ...]:
    """Return every incarnation of the scopes once, in order of first appearance.

    :param scopes: scopes of claims.
    """
    node_by_id = {(node.name, node.boot): node for scope in scopes for node in scope}
    return tuple(node_by_id.values())


def _merged(
    first: messages.ClaimRecord, second: messages.ClaimRecord
) -> messages.ClaimRecord:
    older, newer = sorted((first, second), key=_precedence)
    epoch, code = newer.epoch, newer.code
    if older.epoch == epoch and not older.owner.same(newer.owner):
        epoch += 1
    elif _has_failed(older) and (older.attempt, codes.Code.PENDING) == (
        newer.attempt,
        code,
    ):
        # A majority closed the attempt, or a majority granted the newer epoch: never
        # both, and it is not known which. The attempt may have run and stays closed.
        epoch, code = epoch + 1, codes.Code.OWNER_LOST
    scope = merge_scopes((first.scope, second.scope))
    return attrs.evolve(newer, epoch=epoch, code=int(code), scope=scope)


def _has_failed(record: messages.ClaimRecord) -> bool:
    return record.code not in (codes.Code.PENDING, codes.Code.COMPLETE)


def _precedence(record: messages.ClaimRecord) -> tuple[int, bool, str, int]:
    """Order records of one job, the same at every member."""
    is_settled = record.code != codes.Code.PENDING
    return (record.epoch, is_settled, record.owner.name, record.owner.boot)
