"""Which records an entry host appends to the members stream.

Every entry host sees the same view and the agents connected to it. For each
change that is due, the entry host with the highest rendezvous score for the node
appends first; the others wait longer by their rank and find the change done.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import attrs
import xxhash

from burdockgate import clock, effects, messages
from burdockgate.version import view as views

RANK_DELAY_S = 1.0
REPEAT_S = 3.0
VOTER_LOSS_S = 10.0
ENTRY_LOSS_S = 30.0
# Longest wait before a voter is removed that had come back each time.
VOTER_LOSS_LIMIT_S = 3600.0


@attrs.define
class _Due:
    since: float
    appended_at: float | None = None


class MembershipPublisher:
    """Decides on changes of the view.

    :param node: this entry host.
    :param time: the clock.
    """

    def __init__(self, node: messages.Node, time: clock.Clock) -> None:
        self._node = node
        self._time = time
        self._due_by_key: dict[tuple[str, str, int], _Due] = {}
        self._removals_by_name: dict[str, tuple[int, int]] = {}

    def tick(
        self,
        view: views.View,
        agents: Iterable[messages.Hello],
        entries: Iterable[messages.Node],
    ) -> Iterator[effects.Effect]:
        """Yield the appends that are due.

        :param view: the current view.
        :param agents: announcements of the connected agents.
        :param entries: the connected entry hosts.
        """
        others = list(entries)
        names = [self._node.name, *(node.name for node in others)]
        wanted = dict(self._wanted(view, list(agents), others))
        for key in set(self._due_by_key) - set(wanted):
            del self._due_by_key[key]
            self._count_removal(view, key)
        for key, (wait_s, value) in wanted.items():
            due = self._due_by_key.setdefault(key, _Due(self._time.now()))
            if self._is_time(
                due, wait_s + RANK_DELAY_S * rank(key[1], self._node, names)
            ):
                due.appended_at = self._time.now()
                stream_id = f"{key[0]}-{key[1]}-{key[2]}-{view.number}"
                yield effects.Append(views.STREAM, stream_id, value)

    def _count_removal(self, view: views.View, key: tuple[str, str, int]) -> None:
        """Count the removals, by whichever entry host, of a voter missing here.

        Only the last incarnation under a name is counted.
        """
        change, name, boot = key
        voter = view.voter_by_name.get(name)
        if change == views.Change.REMOVE and (voter is None or voter.node.boot != boot):
            last_boot, removals = self._removals_by_name.get(name, (boot, 0))
            self._removals_by_name[name] = (boot, removals * (last_boot == boot) + 1)

    def _voter_loss_s(self, node: messages.Node) -> float:
        """Return how long a voter must be missing here before it is removed.

        A voter of the same boot that is back after a removal is connected to another
        entry host. Without a longer wait, the two entry hosts would remove and add it
        in turn for ever, and each change makes claim groups catch up.
        """
        boot, removals = self._removals_by_name.get(node.name, (node.boot, 0))
        if boot != node.boot:
            return VOTER_LOSS_S
        return min(VOTER_LOSS_S * 2.0**removals, VOTER_LOSS_LIMIT_S)

    def _is_time(self, due: _Due, wait_s: float) -> bool:
        now = self._time.now()
        if due.appended_at is not None:
            return now - due.appended_at >= REPEAT_S
        return now - due.since >= wait_s

    def _wanted(
        self,
        view: views.View,
        agents: list[messages.Hello],
        entries: list[messages.Node],
    ) -> Iterator[tuple[tuple[str, str, int], tuple[float, bytes]]]:
        own = view.entry_by_name.get(self._node.name)
        if own is None or own != self._node:
            yield (
                _key(views.Change.ENTRY, self._node),
                (
                    -RANK_DELAY_S * (len(entries) + 1),
                    views.entry_record(self._node),
                ),
            )
        yield from self._new_voters(view, agents)
        yield from self._lost_voters(view, {hello.node.name for hello in agents})
        yield from self._lost_entries(view, {node.name for node in entries})

    def _new_voters(
        self, view: views.View, agents: list[messages.Hello]
    ) -> Iterator[tuple[tuple[str, str, int], tuple[float, bytes]]]:
        count_by_region: dict[str, int] = {}
        for voter in view.voter_by_name.values():
            count_by_region[voter.region] = count_by_region.get(voter.region, 0) + 1
        for hello in agents:
            is_known = hello.node.name in view.voter_by_name
            count = count_by_region.get(hello.region, 0)
            if view.is_voter(hello.node) or hello.draining:
                continue
            if is_known or count < views.VOTERS_PER_REGION_LIMIT:
                count_by_region[hello.region] = count + (not is_known)
                yield (
                    _key(views.Change.VOTER, hello.node),
                    (
                        0.0,
                        views.voter_record(hello),
                    ),
                )

    def _lost_voters(
        self, view: views.View, connected: set[str]
    ) -> Iterator[tuple[tuple[str, str, int], tuple[float, bytes]]]:
        for voter in view.voter_by_name.values():
            if voter.node.name not in connected:
                change = views.Change.REMOVE
                yield (
                    _key(change, voter.node),
                    (
                        self._voter_loss_s(voter.node),
                        views.removal_record(change, voter.node),
                    ),
                )

    def _lost_entries(
        self, view: views.View, connected: set[str]
    ) -> Iterator[tuple[tuple[str, str, int], tuple[float, bytes]]]:
        for node in view.entry_by_name.values():
            if node.name not in connected and node.name != self._node.name:
                change = views.Change.GONE
                yield (
                    _key(change, node),
                    (
                        ENTRY_LOSS_S,
                        views.removal_record(change, node),
                    ),
                )


def rank(name: str, node: messages.Node, entries: Iterable[str]) -> int:
    """Return the rank of an entry host for a name; 0 acts first.

    :param name: name of what is to be changed.
    :param node: the entry host to rank.
    :param entries: names of all entry hosts, that one included.
    """
    ranked = sorted(
        entries,
        key=lambda entry: xxhash.xxh3_64_intdigest(f"{name}\0{entry}".encode()),
        reverse=True,
    )
    return ranked.index(node.name)


def _key(change: views.Change, node: messages.Node) -> tuple[str, str, int]:
    return (change.value, node.name, node.boot)
