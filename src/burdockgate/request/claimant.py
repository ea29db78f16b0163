"""The claim of a job by an entry host, which asks the claim group for votes.

The members of the group decide their votes in :mod:`burdockgate.process.claims`.
"""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Iterator

import attrs

from burdockgate import clock, codes, effects, messages
from burdockgate.version import view as views

RETRY_MIN_S = 0.02
RETRY_MAX_S = 0.1

_Effects = Iterator[effects.Effect]
_RETRY_VERDICTS = (messages.Verdict.STALE_VIEW, messages.Verdict.CATCHING_UP)


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """A majority granted the claim.

    :param record: the newest record that these members had before, with the scopes of
        all their records; ``None`` for a job that none of them knew.
    """

    record: messages.ClaimRecord | None


@dataclasses.dataclass(frozen=True, slots=True)
class AlreadyClaimed:
    """Another claim of the job prevents this one.

    :param record: the record of the newest claim.
    """

    record: messages.ClaimRecord


@dataclasses.dataclass(frozen=True, slots=True)
class Unclaimed:
    """A majority has no claim of the job; a possible result of a claim with epoch 0."""


Result = Granted | AlreadyClaimed | Unclaimed


@attrs.frozen
class Terms:
    """The terms of a claim, with fields as in :class:`messages.Claim`."""

    job: bytes
    epoch: int
    attempt: int
    owner: messages.Node
    digest: bytes
    scope: tuple[messages.Node, ...]
    expires_in_ms: int
    repeatable: bool
    code: int = int(codes.Code.PENDING)


class Claimant:
    """Collects votes for one claim until it is decided.

    :param terms: the terms of the claim.
    :param time: the clock.
    :param rng: the source of random delays.
    :param round_s: time after which members that did not vote are asked again.
    """

    def __init__(
        self,
        terms: Terms,
        time: clock.Clock,
        rng: random.Random,
        round_s: float,
    ) -> None:
        self.terms = terms
        self.result: Result | None = None
        self._time = time
        self._rng = rng
        self._round_s = round_s
        self._view = views.View()
        self._group: tuple[messages.Node, ...] = ()
        self._reply_by_name: dict[str, messages.ClaimReply] = {}
        self._retry_at = 0.0

    def send_claims(self, view: views.View) -> _Effects:
        """Send the claim to each member of the claim group that has not voted.

        :param view: the current view; if it changes the group, earlier replies are
            discarded.
        """
        group = view.group(self.terms.job)
        if group != self._group:
            self._reply_by_name.clear()
        self._view, self._group = view, group
        self._retry_at = self._time.now() + self._round_s
        # All members get the same object, so that it is encoded only once.
        claim = self._claim_message()
        for node in group:
            reply = self._reply_by_name.get(node.name)
            if reply is None or reply.verdict in _RETRY_VERDICTS:
                self._reply_by_name.pop(node.name, None)
                yield effects.Dial(node)
                yield effects.Send(node.name, claim)

    def _claim_message(self) -> messages.Claim:
        terms = self.terms
        return messages.Claim(
            terms.job,
            self._view.number,
            self._group,
            terms.epoch,
            terms.attempt,
            terms.owner,
            terms.digest,
            terms.scope,
            terms.expires_in_ms,
            terms.repeatable,
            terms.code,
        )

    def handle_reply(self, name: str, reply: messages.ClaimReply) -> None:
        """Count the vote of a member, and set :attr:`result` once the claim is decided.

        :param name: name of the member.
        :param reply: ignored if its epoch differs or its sender is not a member.
        """
        members = {node.name for node in self._group}
        if reply.epoch != self.terms.epoch or name not in members or self.result:
            return
        self._reply_by_name[name] = reply
        if reply.verdict in _RETRY_VERDICTS:
            delay_s = self._rng.uniform(RETRY_MIN_S, RETRY_MAX_S)
            self._retry_at = min(self._retry_at, self._time.now() + delay_s)
        self.result = self._decide(is_round_over=False)

    def tick(self, view: views.View) -> _Effects:
        """Send the claim again when the delay has passed or the view has changed.

        :param view: the current view.
        """
        if self.result is not None:
            return
        if view.number == self._view.number and self._time.now() < self._retry_at:
            return
        self.result = self._decide(is_round_over=True)
        if self.result is None:
            yield from self.send_claims(view)

    @property
    def due_at(self) -> float:
        """Time at which :meth:`tick` sends the claim again."""
        return self._retry_at

    def retry_at_next_tick(self) -> None:
        """Send the claim again at the next tick, since a member may have connected."""
        self._retry_at = self._time.now()

    def _decide(self, is_round_over: bool) -> Result | None:
        by_verdict: dict[messages.Verdict, list[messages.ClaimReply]] = {}
        for reply in self._reply_by_name.values():
            by_verdict.setdefault(reply.verdict, []).append(reply)
        needed = views.majority(len(self._group))
        granted = by_verdict.get(messages.Verdict.GRANTED, [])
        claimed = by_verdict.get(messages.Verdict.HELD, [])
        if self._group and len(granted) >= needed:
            return Granted(_newest_record(granted))
        if len(by_verdict.get(messages.Verdict.FREE, [])) >= needed and self._group:
            return Unclaimed()
        newest = _newest_record(claimed)
        is_unwinnable = len(self._group) - len(claimed) < needed
        if newest is not None and (is_unwinnable or is_round_over):
            return AlreadyClaimed(newest)
        return None


def _newest_record(replies: list[messages.ClaimReply]) -> messages.ClaimRecord | None:
    """Return the record with the highest epoch, with the scopes of all records.

    Of two records with that epoch, a settled one (code below ``PENDING``, 900) counts
    as newer.
    """
    records = [reply.record for reply in replies if reply.record is not None]
    if not records:
        return None
    newest = max(records, key=lambda record: (record.epoch, record.code < 900))
    scope = {(node.name, node.boot): node for item in records for node in item.scope}
    return attrs.evolve(newest, scope=tuple(scope.values()))
