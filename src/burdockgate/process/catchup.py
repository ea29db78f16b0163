"""When a member that newly enters claim groups may vote.

Each record of the members stream that changes the voters is one step. A member
that enters a job's group in a step votes on the job only after a majority of the
group before the step has applied the step and sent its records, or after the time
in which a record from before the step can still matter. A
member that has applied a step no longer votes for the group before it, so the
two groups can never both grant. A member that stays may itself not know every
claim of the group before; that is enough as long as a majority after the step is a
majority before it. Where the group shrinks to one member it is not, and that member
catches up like a new one.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import attrs

from burdockgate import clock, effects, messages
from burdockgate.version import view as views

ASK_INTERVAL_S = 0.5
# A voter that cannot answer yet keeps the question, so it need not be asked often.
ASK_INTERVAL_LIMIT_S = 30.0
HISTORY_LENGTH = 64


@attrs.define
class _Step:
    """One change of the voters, until it is settled.

    :param is_blind: whether the groups before are not known, because the view came
        from a snapshot; then only time settles the step.
    """

    before: views.View
    after: views.View
    started_at: float
    is_blind: bool = False
    ask_at_by_name: dict[str, float] = attrs.field(factory=dict)
    interval_s_by_name: dict[str, float] = attrs.field(factory=dict)
    replied: set[tuple[str, int]] = attrs.field(factory=set)

    def missing(self, own: messages.Node) -> list[messages.Node]:
        """Return the voters before the step that have not sent their records."""
        return [
            voter.node
            for voter in self.before.voter_by_name.values()
            if (voter.node.name, voter.node.boot) not in self.replied
            and not voter.node.same(own)
        ]

    def has_majority(self, group: tuple[messages.Node, ...]) -> bool:
        """Return whether a majority of a group has sent its records."""
        replies = sum((node.name, node.boot) in self.replied for node in group)
        return not group or replies >= views.majority(len(group))

    def is_settled(self, own: messages.Node) -> bool:
        """Return whether every possible group has a majority of replies."""
        if self.is_blind:
            return False
        size = min(views.GROUP_SIZE, len(self.before.voter_by_name))
        return len(self.missing(own)) <= size - views.majority(size) if size else True


class Catchup:
    """Holds the view of a member and the steps that it has not settled.

    :param node: the member.
    :param time: the clock.
    :param window_s: time after which no claim from before a step can still matter:
        the longest deadline of a job and the retention.
    """

    def __init__(self, node: messages.Node, time: clock.Clock, window_s: float) -> None:
        self._node = node
        self._time = time
        self._window_s = window_s
        self._steps: list[_Step] = []
        # The last view that had voters, or an incomplete one: where no voter is
        # left, the claims of those before still stand.
        self._basis = views.View()
        self._view_by_number: dict[int, views.View] = {}
        self.view = views.View()

    def advance(self, view: views.View) -> None:
        """Apply the next view; views must come one record at a time.

        :param view: the view after one more record.
        """
        before, self.view = self._basis, view
        if view.voter_by_name or not view.is_complete:
            self._basis = view
        self._view_by_number[view.number] = view
        while len(self._view_by_number) > HISTORY_LENGTH:
            del self._view_by_number[next(iter(self._view_by_number))]
        is_gap_closed = view.is_complete and not before.is_complete
        is_changed = is_gap_closed or before.voter_by_name != view.voter_by_name
        if is_changed and view.is_voter(self._node):
            step = _Step(before, view, self._time.now(), not before.is_complete)
            if before.is_voter(self._node):
                step.replied.add((self._node.name, self._node.boot))
            self._steps.append(step)

    def agrees(self, job: bytes, group: tuple[messages.Node, ...]) -> bool:
        """Return whether the own view gives the same group and this is a member.

        :param job: 16-byte job id.
        :param group: group by the view of a claimant.
        """
        own = self.view.group(job)
        return _ids(own) == _ids(group) and any(self._node.same(node) for node in own)

    def is_ready(self, job: bytes) -> bool:
        """Return whether this member may vote on a job.

        :param job: 16-byte job id.
        """
        return all(self._is_known(step, job) for step in self._steps)

    def _is_known(self, step: _Step, job: bytes) -> bool:
        if step.is_blind:
            return False
        group = step.before.group(job)
        after = step.after.group(job)
        if not any(self._node.same(node) for node in after):
            return True
        stays = any(self._node.same(node) for node in group)
        if stays and views.majority(len(after)) >= views.majority(len(group)):
            return True
        return step.has_majority(group)

    def is_member(self, member: messages.Node, job: bytes, number: int) -> bool:
        """Return whether a member needs the record of a job.

        :param member: the member that asks.
        :param number: the view of its step; when it is no longer known here, every
            record is needed.
        """
        then = self._view_by_number.get(number)
        if then is None:
            return True
        groups = (then.group(job), self.view.group(job))
        return any(member.same(node) for group in groups for node in group)

    def can_reply(self, number: int) -> bool:
        """Return whether the records here are complete enough for a step.

        :param number: the view of the step of the member that asks. The records
            are complete when this member has applied the step and has no step of
            its own from before it that is still open. The steps inside a gap of the
            stream are not known, so nothing is complete until a blind step ends.
        """
        if self.view.number < number or not self.view.is_complete:
            return False
        return all(
            step.after.number >= number and not step.is_blind for step in self._steps
        )

    def reply(self, node: messages.Node, number: int) -> None:
        """Note that a voter has sent all its records for a step.

        :param node: the voter.
        :param number: the view of the step.
        """
        for step in self._steps:
            if step.after.number == number:
                step.replied.add((node.name, node.boot))

    def hurry(self, name: str) -> None:
        """Ask a voter at the next tick, because it has just connected.

        :param name: its name.
        """
        for step in self._steps:
            step.ask_at_by_name.pop(name, None)
            step.interval_s_by_name.pop(name, None)

    def tick(self, connected: Iterable[str]) -> Iterator[effects.Effect]:
        """Ask the voters that have not answered, and drop settled steps.

        :param connected: names of the nodes with an open connection.
        """
        now = self._time.now()
        self._steps = [
            step
            for step in self._steps
            if not step.is_settled(self._node)
            and now - step.started_at < self._window_s
        ]
        names = set(connected)
        for step in self._steps:
            yield from self._ask(step, names, now)

    def _ask(
        self, step: _Step, connected: set[str], now: float
    ) -> Iterator[effects.Effect]:
        for node in step.missing(self._node):
            ask_at = step.ask_at_by_name.get(node.name, now)
            if now < ask_at or node.name == self._node.name:
                continue
            interval_s = step.interval_s_by_name.get(node.name, ASK_INTERVAL_S)
            step.ask_at_by_name[node.name] = now + interval_s
            step.interval_s_by_name[node.name] = min(
                2 * interval_s, ASK_INTERVAL_LIMIT_S
            )
            if node.name in connected:
                yield effects.Send(node.name, messages.Sync(step.after.number))
            else:
                yield effects.Dial(node)


def _ids(group: tuple[messages.Node, ...]) -> list[tuple[str, int]]:
    return [(node.name, node.boot) for node in group]
