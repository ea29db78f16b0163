"""The membership view: which agents vote on claims, and which entry hosts exist.

A view is the fold of the log's ``members`` stream up to an offset. All processes
that have folded the same records have the same view, and therefore compute the same
claim group for a job.
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
# The messages cannot carry a larger boot number: a claim whose group contains such a
# node could not be sent.
BOOT_LIMIT = 2**63
# Number of records that a reader buffers while it waits for a snapshot; it drops the
# oldest ones beyond that. A snapshot that ends before the first buffered record is not
# used.
BUFFER_LIMIT = 2_000


class Change(enum.StrEnum):
    """Type of a record of the stream."""

    ENTRY = "entry"
    GONE = "gone"
    VOTER = "voter"
    REMOVE = "remove"
    SNAPSHOT = "snapshot"


@attrs.frozen
class Voter:
    """An agent that votes on claims, with its location."""

    node: messages.Node
    region: str
    data_centre: str
    rack: str


@attrs.frozen
class View:
    """An immutable view.

    :param number: offset after the last record folded; 0 for the empty view.
    :param buffered: records kept until a snapshot is read, when older ones had
        expired before they could be read; ``None`` for a complete view.
    """

    number: int = 0
    entry_by_name: Mapping[str, messages.Node] = attrs.field(factory=dict)
    voter_by_name: Mapping[str, Voter] = attrs.field(factory=dict)
    buffered: tuple[messages.LogRecord, ...] | None = None

    @property
    def is_complete(self) -> bool:
        """Whether the view includes every record before ``number``."""
        return self.buffered is None

    def group(self, job: bytes) -> tuple[messages.Node, ...]:
        """Return the members of the claim group of a job.

        Voters are chosen in descending order of their rendezvous scores: first one
        per data centre, then one per rack, then any.

        :param job: 16-byte job id.
        :returns: three nodes, or all voters when there are fewer.
        """
        ranked = sorted(
            self.voter_by_name.values(),
            key=lambda voter: xxhash.xxh3_64_intdigest(job + voter.node.name.encode()),
            reverse=True,
        )
        return tuple(voter.node for voter in _choose_members(ranked))

    def is_voter(self, node: messages.Node) -> bool:
        """Return whether this incarnation of a node votes.

        :param node: the agent to look up by name and boot.
        """
        voter = self.voter_by_name.get(node.name)
        return voter is not None and voter.node.is_same_incarnation(node)


def majority(size: int) -> int:
    """Return the smallest number of members that is a majority.

    :param size: number of members of the group.
    """
    return size // 2 + 1


def _choose_members(ranked: list[Voter]) -> list[Voter]:
    """Choose up to ``GROUP_SIZE`` voters in as many data centres and racks as possible.

    :param ranked: all voters, highest score first.
    """
    chosen: list[Voter] = []
    for place_of in (_data_centre, _rack, _name):
        taken = {place_of(voter) for voter in chosen}
        for voter in ranked:
            if len(chosen) == GROUP_SIZE:
                return chosen
            if voter not in chosen and place_of(voter) not in taken:
                chosen.append(voter)
                taken.add(place_of(voter))
    return chosen


def _data_centre(voter: Voter) -> tuple[str, ...]:
    return (voter.region, voter.data_centre)


def _rack(voter: Voter) -> tuple[str, ...]:
    return (voter.region, voter.data_centre, voter.rack)


def _name(voter: Voter) -> tuple[str, ...]:
    return (voter.node.name,)


def fold(view: View, record: messages.LogRecord) -> View:
    """Return the view after one more record.

    A record that the view already includes changes nothing. A malformed record
    changes only the number, so that all processes agree on the number whatever the
    record contains.

    :param view: the view before the record.
    :param record: the next record of the stream.
    """
    if record.offset < view.number:
        return view
    if view.number == 0 and record.offset > 0:
        view = attrs.evolve(view, buffered=())
    advanced = attrs.evolve(view, number=record.offset + 1)
    try:
        value = json.loads(record.value)
        change = Change(value["type"])
        if advanced.buffered is not None:
            return _apply_incomplete(advanced, record, change, value)
        return _apply(advanced, change, value)
    except (ValueError, KeyError, TypeError, OverflowError, RecursionError):
        return advanced


def _apply_incomplete(
    view: View, record: messages.LogRecord, change: Change, value: Any
) -> View:
    """Buffer a record, or start from a snapshot if the buffer has all later records."""
    assert view.buffered is not None
    buffered = (*view.buffered, record)[-BUFFER_LIMIT:]
    first = buffered[0].offset
    if change is not Change.SNAPSHOT or value["through"] < first:
        return attrs.evolve(view, buffered=buffered)
    # "through" is the offset after the last record that the snapshot includes.
    start = View(
        value["through"],
        {item["name"]: _read_node(item) for item in value["entries"]},
        {item["name"]: _read_voter(item) for item in value["voters"]},
    )
    for later in buffered:
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
        _remove_incarnation(entries, value, lambda node: node)
    elif change is Change.REMOVE:
        _remove_incarnation(voters, value, lambda voter: voter.node)
    return attrs.evolve(view, entry_by_name=entries, voter_by_name=voters)


def _remove_incarnation(item_by_name: dict[str, Any], value: Any, node_of: Any) -> None:
    """Remove an incarnation of a node; another one under the same name stays."""
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
    """Return the JSON text of a record that adds an entry host to the view.

    :param node: the entry host.
    """
    return _encode({"type": Change.ENTRY, **attrs.asdict(node)})


def voter_record(hello: messages.Hello) -> bytes:
    """Return the JSON text of a record that makes an agent a voter.

    :param hello: the agent's ``Hello``.
    """
    voter = Voter(hello.node, hello.region, hello.data_centre, hello.rack)
    return _encode({"type": Change.VOTER, **_voter_fields(voter)})


def removal_record(change: Change, node: messages.Node) -> bytes:
    """Return the JSON text of a record that removes an incarnation of a node.

    :param change: ``GONE`` for an entry host, ``REMOVE`` for a voter.
    :param node: the node to remove.
    """
    return _encode({"type": change, "name": node.name, "boot": node.boot})


def snapshot_record(view: View) -> bytes:
    """Return the JSON text of a snapshot, for readers that lack older records.

    :param view: the view to write.
    """
    return _encode(
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


def _encode(value: Mapping[str, object]) -> bytes:
    return json.dumps(value, sort_keys=True).encode()


def fold_page(view: View, message: messages.Records) -> Iterator[View]:
    """Yield the view after each new record of a page, and after the page.

    The log client leaves out records with a repeated id. The number of the view also
    passes such records at the end of a page, so that they don't look like a gap before
    the next page. After a real gap the view is incomplete until a snapshot is read.

    :param view: the view before the page.
    :param message: a page of the stream, without a gap inside.
    """
    if message.first > view.number:
        view = attrs.evolve(view, number=message.first, buffered=())
        yield view
    last = view
    for last in fold_records(view, message.records):
        yield last
    if message.next > last.number:
        yield attrs.evolve(last, number=message.next)


def fold_records(view: View, records: tuple[messages.LogRecord, ...]) -> Iterator[View]:
    """Yield the view after each record that it does not include yet.

    Members of claim groups need every view in between, because a group may change
    with each record.

    :param view: the view before the records.
    :param records: records of the stream in offset order.
    """
    for record in records:
        if record.offset >= view.number:
            view = fold(view, record)
            yield view
