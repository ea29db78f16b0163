"""When a voter that newly joins claim groups may vote.

Each record of the members stream that changes the voters is a reconfiguration. It
gives a job an old and a new claim group:

- A voter that joins the group votes on the job only after a majority of the old
  group has applied the reconfiguration and sent its records, or after a time window
  at whose end no record from before the reconfiguration matters any more.
- A voter that has applied a reconfiguration no longer votes in the old group, so
  the old and the new group can never both grant a claim.
- A member of both groups need not have every record of the old group. It votes at
  once, unless a majority of the new group is smaller than one of the old group. That
  happens when the group shrinks to one member, which then catches up like a new one.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import attrs

from burdockgate import clock, effects, messages
from burdockgate.version import view as views

ASK_INTERVAL_S = 0.5
# Upper bound of the backoff. A voter that cannot answer yet queues the request, so
# it need not be asked often.
ASK_INTERVAL_LIMIT_S = 30.0
# Number of past views that are kept.
HISTORY_LENGTH = 64


@attrs.define
class _Reconfiguration:
    """A change of the voters that this voter has not finished catching up with.

    :param old_view: the view that gives the old groups.
    :param new_view: the view that gives the new groups.
    :param is_old_view_unknown: whether the old groups are not known, because the view
        came from a snapshot; then only the time window ends the reconfiguration.
    :param ask_at_by_name: when each voter is asked next, by name.
    :param interval_s_by_name: the current backoff of each voter, by name.
    :param replied: name and boot of the voters that have sent their records.
    """

    old_view: views.View
    new_view: views.View
    started_at: float
    is_old_view_unknown: bool = False
    ask_at_by_name: dict[str, float] = attrs.field(factory=dict)
    interval_s_by_name: dict[str, float] = attrs.field(factory=dict)
    replied: set[tuple[str, int]] = attrs.field(factory=set)

    def nodes_without_reply(self, own: messages.Node) -> list[messages.Node]:
        """Return the other voters of the old view that have not sent their records."""
        return [
            voter.node
            for voter in self.old_view.voter_by_name.values()
            if (voter.node.name, voter.node.boot) not in self.replied
            and not voter.node.is_same_incarnation(own)
        ]

    def has_majority(self, group: tuple[messages.Node, ...]) -> bool:
        """Return whether a majority of an old group has sent its records."""
        replies = sum((node.name, node.boot) in self.replied for node in group)
        return not group or replies >= views.majority(len(group))

    def is_finished(self, own: messages.Node) -> bool:
        """Return whether every possible old group has a majority of replies.

        Each group has one when the voters without a reply are no more than a group can
        miss.
        """
        if self.is_old_view_unknown:
            return False
        size = min(views.GROUP_SIZE, len(self.old_view.voter_by_name))
        return (
            len(self.nodes_without_reply(own)) <= size - views.majority(size)
            if size
            else True
        )


class Catchup:
    """Holds the view of a voter and its unfinished reconfigurations.

    :param node: the voter.
    :param time: the clock.
    :param window_s: time after a reconfiguration until no earlier claim matters any
        more: the sum of the time for which entry hosts make claims by an outdated
        view, the longest deadline of a job, the retention and a margin.
    """

    def __init__(self, node: messages.Node, time: clock.Clock, window_s: float) -> None:
        self._node = node
        self._time = time
        self._window_s = window_s
        self._reconfigurations: list[_Reconfiguration] = []
        # The old view of the next reconfiguration: the last one that had voters, as
        # the claims that they granted remain valid when no voter is left. An incomplete
        # view is kept too, so that the next complete one starts a reconfiguration whose
        # old groups are unknown.
        self._old_view = views.View()
        self._view_by_number: dict[int, views.View] = {}
        self.view = views.View()

    def advance(self, view: views.View) -> None:
        """Switch to the next view; no view in between may be left out.

        :param view: the view after one more record.
        """
        old_view, self.view = self._old_view, view
        if view.voter_by_name or not view.is_complete:
            self._old_view = view
        self._view_by_number[view.number] = view
        while len(self._view_by_number) > HISTORY_LENGTH:
            del self._view_by_number[next(iter(self._view_by_number))]
        is_gap_closed = view.is_complete and not old_view.is_complete
        is_changed = is_gap_closed or old_view.voter_by_name != view.voter_by_name
        if is_changed and view.is_voter(self._node):
            reconfiguration = _Reconfiguration(
                old_view, view, self._time.now(), not old_view.is_complete
            )
            if old_view.is_voter(self._node):
                reconfiguration.replied.add((self._node.name, self._node.boot))
            self._reconfigurations.append(reconfiguration)

    def agrees_on_group(self, job: bytes, group: tuple[messages.Node, ...]) -> bool:
        """Return whether the own view gives the same group, with this voter in it.

        :param job: 16-byte job id.
        :param group: the job's group in the view of the entry host that claims it.
        """
        own = self.view.group(job)
        return _ids(own) == _ids(group) and any(
            self._node.is_same_incarnation(node) for node in own
        )

    def is_ready(self, job: bytes) -> bool:
        """Return whether this voter may vote on a job.

        :param job: 16-byte job id.
        """
        return all(
            self._allows_vote(reconfiguration, job)
            for reconfiguration in self._reconfigurations
        )

    def _allows_vote(self, reconfiguration: _Reconfiguration, job: bytes) -> bool:
        """Return whether a reconfiguration does not keep this voter from voting."""
        if reconfiguration.is_old_view_unknown:
            return False
        old = reconfiguration.old_view.group(job)
        new = reconfiguration.new_view.group(job)
        if not any(self._node.is_same_incarnation(node) for node in new):
            return True
        was_member = any(self._node.is_same_incarnation(node) for node in old)
        if was_member and views.majority(len(new)) >= views.majority(len(old)):
            return True
        return reconfiguration.has_majority(old)

    def needs_record(self, voter: messages.Node, job: bytes, view_number: int) -> bool:
        """Return whether a voter needs the record of a job.

        :param voter: the voter that asks.
        :param view_number: number of the view of its reconfiguration. When this view is
            no longer kept here, every record is needed.
        """
        view = self._view_by_number.get(view_number)
        if view is None:
            return True
        groups = (view.group(job), self.view.group(job))
        return any(
            voter.is_same_incarnation(node) for group in groups for node in group
        )

    def can_reply(self, view_number: int) -> bool:
        """Return whether the records here are complete up to a reconfiguration.

        They are when this voter has applied the reconfiguration and has finished
        its own earlier ones. The reconfigurations inside a gap of the stream are not
        known, so after a gap the records are incomplete until the time window ends.

        :param view_number: number of the view of the reconfiguration of the voter that
            asks.
        """
        if self.view.number < view_number or not self.view.is_complete:
            return False
        return all(
            reconfiguration.new_view.number >= view_number
            and not reconfiguration.is_old_view_unknown
            for reconfiguration in self._reconfigurations
        )

    def record_reply(self, node: messages.Node, view_number: int) -> None:
        """Record that a voter has sent all its records for a reconfiguration.

        :param node: the voter.
        :param view_number: number of the view of the reconfiguration.
        """
        for reconfiguration in self._reconfigurations:
            if reconfiguration.new_view.number == view_number:
                reconfiguration.replied.add((node.name, node.boot))

    def reset_backoff(self, name: str) -> None:
        """Ask a voter again at the next tick; call when it has connected.

        :param name: name of the voter.
        """
        for reconfiguration in self._reconfigurations:
            reconfiguration.ask_at_by_name.pop(name, None)
            reconfiguration.interval_s_by_name.pop(name, None)

    def tick(self, connected: Iterable[str]) -> Iterator[effects.Effect]:
        """Drop finished reconfigurations, and ask the voters that have not answered.

        :param connected: names of the nodes with an open connection.
        """
        now = self._time.now()
        self._reconfigurations = [
            reconfiguration
            for reconfiguration in self._reconfigurations
            if not reconfiguration.is_finished(self._node)
            and now - reconfiguration.started_at < self._window_s
        ]
        names = set(connected)
        for reconfiguration in self._reconfigurations:
            yield from self._ask(reconfiguration, names, now)

    def _ask(
        self, reconfiguration: _Reconfiguration, connected: set[str], now: float
    ) -> Iterator[effects.Effect]:
        for node in reconfiguration.nodes_without_reply(self._node):
            ask_at = reconfiguration.ask_at_by_name.get(node.name, now)
            if now < ask_at or node.name == self._node.name:
                continue
            interval_s = reconfiguration.interval_s_by_name.get(
                node.name, ASK_INTERVAL_S
            )
            reconfiguration.ask_at_by_name[node.name] = now + interval_s
            reconfiguration.interval_s_by_name[node.name] = min(
                2 * interval_s, ASK_INTERVAL_LIMIT_S
            )
            if node.name in connected:
                yield effects.Send(
                    node.name, messages.Sync(reconfiguration.new_view.number)
                )
            else:
                yield effects.Dial(node)


def _ids(group: tuple[messages.Node, ...]) -> list[tuple[str, int]]:
    return [(node.name, node.boot) for node in group]
