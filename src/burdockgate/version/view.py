"""The membership view: which agents vote on claims, and which entry hosts exist.

A view is the fold of the log's ``members`` stream up to an offset. Every process
that has folded the same records has the same view, and so computes the same claim
group for a job.
"""

from __future__ import annotations

import enum
import json
from collections.abc import Iterator, Mapping
from typing import Any

import attrs
import xxhash

from burdockgate import messages

STREAM = "members"
GROUP_SIZE = 3
VOTERS_PER_REGION_LIMIT = 256
# A boot above what the wire carries would break every claim that names its group.
BOOT_LIMIT = 2**63
# A reader that waits for a snapshot drops older records; a snapshot that starts
# before the first one kept is not used.
WAITING_LIMIT = 2_000


class Change(enum.StrEnum):
    """Type of a record of the stream."""

    ENTRY = "entry"
    GONE = "gone"
    VOTER = "voter"
    REMOVE = "remove"
    SNAPSHOT = "snapshot"


@attrs.frozen
class Voter:
    """An agent that votes on claims, with its place."""

    node: messages.Node
    region: str
    data_centre: str
    rack: str


@attrs.frozen
class View:
    """An immutable view.

    :param number: offset after the last record folded; 0 for the empty view.
    :param waiting: records kept until a snapshot comes, when older ones had expired
        before the first was read; ``None`` for a complete view.
    """

    number: int = 0
    entry_by_name: Mapping[str, messages.Node] = attrs.field(factory=dict)
    voter_by_name: Mapping[str, Voter] = attrs.field(factory=dict)
    waiting: tuple[messages.LogRecord, ...] | None = None

    @property
    def is_complete(self) -> bool:
        """Whether every record before ``number`` has been taken into account."""
        return self.waiting is None

    def group(self, job: bytes) -> tuple[messages.Node, ...]:
        """Return the members of the claim group of a job.

        The highest rendezvous scores win, one member for each data centre first,
        then one for each rack, then any.

        :param job: 16-byte job id.
        :returns: three nodes, or all voters when there are fewer.
        """
        ranked = sorted(
            self.voter_by_name.values(),
            key=lambda voter: xxhash.xxh3_64_intdigest(job + voter.node.name.encode()),
            reverse=True,
        )
        return tuple(voter.node for voter in _spread(ranked))

    def is_voter(self, node: messages.Node) -> bool:
        """Return whether this incarnation of a node votes.

        :param node: the agent to look up by name and boot.
        """
        voter = self.voter_by_name.get(node.name)
        return voter is not None and voter.node.same(node)


def majority(size: int) -> int:
    """Return the smallest number of members that is a majority.

    :param size: number of members of the group.
    """
    return size // 2 + 1


def _spread(ranked: list[Voter]) -> list[Voter]:
    """Choose up to ``GROUP_SIZE`` voters in as many places as there are."""
    chosen: list[Voter] = []
    for place in (_data_centre, _rack, _name):
        taken = {place(voter) for voter in chosen}
        for voter in ranked:
            if len(chosen) == GROUP_SIZE:
                return chosen
            if voter not in chosen and place(voter) not in taken:
                chosen.append(voter)
                taken.add(place(voter))
    return chosen


def _data_centre(voter: Voter) -> tuple[str, ...]:
    return (voter.region, voter.data_centre)


def _rack(voter: Voter) -> tuple[str, ...]:
    return (voter.region, voter.data_centre, voter.rack)


def _name(voter: Voter) -> tuple[str, ...]:
    return (voter.node.name,)


def fold(view: View, record: messages.LogRecord) -> View:
    """Return the view after one more record.

    A record that is older than the view or malformed changes nothing but the
    number, so that every process keeps the same number whatever the record holds.

    :param view: the view before the record.
    :param record: the next record of the stream.
    """
    if record.offset < view.number:
        return view
    if view.number == 0 and record.offset > 0:
        view = attrs.evolve(view, waiting=())
    moved = attrs.evolve(view, number=record.offset + 1)
    try:
        value = json.loads(record.value)
        change = Change(value["type"])
        if moved.waiting is not None:
            return _apply_incomplete(moved, record, change, value)
        return _apply(moved, change, value)
    except (ValueError, KeyError, TypeError, OverflowError, RecursionError):
        return moved


def _apply_incomplete(
    view: View, record: messages.LogRecord, change: Change, value: Any
) -> View:
    """Keep a record, or start from a snapshot that all kept records follow."""
    assert view.waiting is not None
    kept = (*view.waiting, record)[-WAITING_LIMIT:]
    first = kept[0].offset
    if change is not Change.SNAPSHOT or value["through"] < first:
        return attrs.evolve(view, waiting=kept)
    start = View(
        value["through"],
        {item["name"]: _read_node(item) for item in value["entries"]},
        {item["name"]: _read_voter(item) for item in value["voters"]},
    )
    for later in kept:
        start = fold(start, later)
    return start


def _apply(view: View, change: Change, value: Any) -> View:
    entries = dict(view.entry_by_name)
    voters = dict(view.voter_by_name)
    if change is Change.ENTRY:
        node = _read_node(value)
        entries[node.name] = node
    elif change is Change.VOTER:
        voter = _read_voter(value)
        voters[voter.node.name] = voter
    elif change is Change.GONE:
        _discard(entries, value, lambda node: node)
    elif change is Change.REMOVE:
        _discard(voters, value, lambda voter: voter.node)
    return attrs.evolve(view, entry_by_name=entries, voter_by_name=voters)


def _discard(item_by_name: dict[str, Any], value: Any, node_of: Any) -> None:
    """Drop an incarnation; a newer one under the same name stays."""
    item = item_by_name.get(value["name"])
    if item is not None and node_of(item).boot == value["boot"]:
        del item_by_name[value["name"]]


def _read_node(value: Any) -> messages.Node:
    boot = int(value["boot"])
    if not 0 <= boot < BOOT_LIMIT:
        raise ValueError(f"boot {boot} is not from 0 to 2**63-1")
    return messages.Node(str(value["name"]), boot, str(value.get("address", "")))


def _read_voter(value: Any) -> Voter:
    return Voter(
        _read_node(value),
        str(value["region"]),
        str(value["data_centre"]),
        str(value["rack"]),
    )


def entry_record(node: messages.Node) -> bytes:
    """Return the JSON text that announces an entry host.

    :param node: the entry host.
    """
    return _dump({"type": Change.ENTRY, **attrs.asdict(node)})


def voter_record(hello: messages.Hello) -> bytes:
    """Return the JSON text that makes an agent a voter.

    :param hello: the agent's announcement.
    """
    voter = Voter(hello.node, hello.region, hello.data_centre, hello.rack)
    return _dump({"type": Change.VOTER, **_voter_fields(voter)})


def removal_record(change: Change, node: messages.Node) -> bytes:
    """Return the JSON text that removes an incarnation.

    :param change: ``GONE`` for an entry host, ``REMOVE`` for a voter.
    :param node: the node to remove.
    """
    return _dump({"type": change, "name": node.name, "boot": node.boot})


def snapshot_record(view: View) -> bytes:
    """Return the JSON text of a whole view, for readers without older records.

    :param view: the view to write.
    """
    return _dump(
        {
            "type": Change.SNAPSHOT,
            "through": view.number,
            "entries": [attrs.asdict(node) for node in view.entry_by_name.values()],
            "voters": [_voter_fields(voter) for voter in view.voter_by_name.values()],
        }
    )


def _voter_fields(voter: Voter) -> dict[str, object]:
    return {
        **attrs.asdict(voter.node),
        "region": voter.region,
        "data_centre": voter.data_centre,
        "rack": voter.rack,
    }


def _dump(value: Mapping[str, object]) -> bytes:
    return json.dumps(value, sort_keys=True).encode()


def fold_page(view: View, message: messages.Records) -> Iterator[View]:
    """Yield the view after each new record of a page, and after the page.

    A page may end with records that were left out because their ids had come
    before; the number passes over them, so that the next page is not taken for one
    after a gap. After a real gap the view is incomplete until a snapshot comes.

    :param view: the view before the page.
    :param message: a page of the stream, without a gap inside.
    """
    if message.first > view.number:
        view = attrs.evolve(view, number=message.first, waiting=())
        yield view
    last = view
    for last in fold_records(view, message.records):
        yield last
    if message.next > last.number:
        yield attrs.evolve(last, number=message.next)


def fold_records(view: View, records: tuple[messages.LogRecord, ...]) -> Iterator[View]:
    """Yield the view after each record that is new to it.

    Members of claim groups need every step, because a group may change in each.

    :param view: the view before the records.
    :param records: records of the stream in offset order.
    """
    for record in records:
        if record.offset >= view.number:
            view = fold(view, record)
            yield view
