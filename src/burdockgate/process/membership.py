"""Which records an entry host appends to the members stream.

All entry hosts have the same view, and each one knows the nodes connected to it.
Entry hosts are ranked by their rendezvous score for the node of a change. The one of
rank 0 appends first; the others wait longer by their rank, and normally read the
change from the stream before their own append is due.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import attrs
import xxhash

from burdockgate import clock, effects, messages
from burdockgate.version import view as views

RANK_DELAY_S = 1.0
# An append is repeated until its change is in the view.
REPEAT_INTERVAL_S = 3.0
VOTER_TIMEOUT_S = 10.0
ENTRY_TIMEOUT_S = 30.0
# Upper bound of the timeout of a voter, which doubles with each removal.
VOTER_TIMEOUT_LIMIT_S = 3600.0


@attrs.define
class _PendingChange:
    """A change that the view lacks.

    :param needed_since: when the change was first needed.
    :param appended_at: time of the last append; ``None`` before the first one.
    """

    needed_since: float
    appended_at: float | None = None


class MembershipPublisher:
    """Decides which changes of the view this entry host appends, and when.

    :param node: this entry host.
    :param time: the clock.
    """

    def __init__(self, node: messages.Node, time: clock.Clock) -> None:
        self._node = node
        self._time = time
        self._pending_by_key: dict[tuple[str, str, int], _PendingChange] = {}
        # Boot of the last removed incarnation, and how often it was removed.
        self._removals_by_name: dict[str, tuple[int, int]] = {}

    def tick(
        self,
        view: views.View,
        agents: Iterable[messages.Hello],
        entries: Iterable[messages.Node],
    ) -> Iterator[effects.Effect]:
        """Yield the appends that are due.

        :param view: the current view.
        :param agents: ``Hello`` messages of the connected agents.
        :param entries: the connected entry hosts.
        """
        others = list(entries)
        names = [self._node.name, *(node.name for node in others)]
        needed = dict(self._needed_changes(view, list(agents), others))
        for key in set(self._pending_by_key) - set(needed):
            del self._pending_by_key[key]
            self._count_removal(view, key)
        for key, (wait_s, value) in needed.items():
            pending = self._pending_by_key.setdefault(
                key, _PendingChange(self._time.now())
            )
            if self._is_append_due(
                pending, wait_s + RANK_DELAY_S * rank(key[1], self._node, names)
            ):
                pending.appended_at = self._time.now()
                # An append that is repeated in the same view has the same id, so that
                # readers count the record once.
                record_id = f"{key[0]}-{key[1]}-{key[2]}-{view.number}"
                yield effects.Append(views.STREAM, record_id, value)

    def _count_removal(self, view: views.View, key: tuple[str, str, int]) -> None:
        """Count the removals of a voter that is not connected to this entry host.

        Removals by any entry host count, but only those of the last incarnation under
        a name.

        :param key: key of a change that is no longer needed.
        """
        change, name, boot = key
        voter = view.voter_by_name.get(name)
        if change == views.Change.REMOVE and (voter is None or voter.node.boot != boot):
            last_boot, removals = self._removals_by_name.get(name, (boot, 0))
            self._removals_by_name[name] = (boot, removals * (last_boot == boot) + 1)

    def _voter_timeout_s(self, node: messages.Node) -> float:
        """Return how long a voter must be disconnected from here before it is removed.

        The timeout doubles with each removal of an incarnation. A voter that is added
        again with the same boot is connected to another entry host. With a constant
        timeout, the two entry hosts would remove and add it in turn forever, and each
        change makes claim groups catch up.
        """
        boot, removals = self._removals_by_name.get(node.name, (node.boot, 0))
        if boot != node.boot:
            return VOTER_TIMEOUT_S
        return min(VOTER_TIMEOUT_S * 2.0**removals, VOTER_TIMEOUT_LIMIT_S)

    def _is_append_due(self, pending: _PendingChange, wait_s: float) -> bool:
        now = self._time.now()
        if pending.appended_at is not None:
            return now - pending.appended_at >= REPEAT_INTERVAL_S
        return now - pending.needed_since >= wait_s

    def _needed_changes(
        self,
        view: views.View,
        agents: list[messages.Hello],
        entries: list[messages.Node],
    ) -> Iterator[tuple[tuple[str, str, int], tuple[float, bytes]]]:
        """Yield the key of each needed change, with its delay in seconds and record."""
        own = view.entry_by_name.get(self._node.name)
        if own is None or own != self._node:
            yield (
                _key(views.Change.ENTRY, self._node),
                (
                    # Cancels the rank delay: only this host appends its own record.
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
                        self._voter_timeout_s(voter.node),
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
                        ENTRY_TIMEOUT_S,
                        views.removal_record(change, node),
                    ),
                )


def rank(name: str, node: messages.Node, entries: Iterable[str]) -> int:
    """Return the rank of an entry host for a name; the one of rank 0 acts first.

    :param name: name of the node or stream that a record is appended for.
    :param node: the entry host to rank.
    :param entries: names of all connected entry hosts, ``node`` included.
    """
    ranked = sorted(
        entries,
        key=lambda entry: xxhash.xxh3_64_intdigest(f"{name}\0{entry}".encode()),
        reverse=True,
    )
    return ranked.index(node.name)


def _key(change: views.Change, node: messages.Node) -> tuple[str, str, int]:
    return (change.value, node.name, node.boot)
