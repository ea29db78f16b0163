"""When an entry host appends a new snapshot of a stream to the log.

The log keeps records for a limited time, so snapshots are repeated before the last
one expires. Entry hosts are ranked by their rendezvous score for the stream. The one
of rank 0 appends first; the others wait longer by their rank, and normally read the
snapshot from the stream before their own append is due.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator

from burdockgate import clock, effects, messages
from burdockgate.process import membership


class SnapshotPublisher:
    """Decides when this entry host appends a snapshot of one stream.

    :param stream: name of the stream.
    :param node: this entry host.
    :param time: the clock.
    :param retention_s: seconds for which the log keeps a record.
    """

    def __init__(
        self, stream: str, node: messages.Node, time: clock.Clock, retention_s: float
    ) -> None:
        self._stream = stream
        self._node = node
        self._time = time
        self._retention_s = retention_s
        # At the start, the last snapshot may already be half of the retention old.
        self._due_at = time.now() + retention_s / 4

    def observe(self, records: Iterable[messages.LogRecord]) -> None:
        """Postpone the next snapshot if the new records of the log include one.

        :param records: the records; those read at the start may be old.
        """
        if any(_is_snapshot(record) for record in records):
            self._due_at = self._time.now() + self._retention_s / 2

    def tick(
        self, entries: Iterable[str], end: int, value: bytes
    ) -> Iterator[effects.Effect]:
        """Yield the append that is due, if any.

        :param entries: names of the other connected entry hosts.
        :param end: offset after the last record that the snapshot includes.
        :param value: JSON text of the snapshot.
        """
        names = [self._node.name, *entries]
        rank = membership.rank(self._stream, self._node, names)
        now = self._time.now()
        if now < self._due_at + membership.RANK_DELAY_S * rank:
            return
        # Repeats the append until the snapshot is read back: the log may be down.
        self._due_at = now + membership.REPEAT_INTERVAL_S
        record_id = f"snapshot-{self._stream}-{end}"
        yield effects.Append(self._stream, record_id, value)

    @property
    def is_due(self) -> bool:
        """Whether an append is due at rank 0; higher ranks wait longer."""
        return self._time.now() >= self._due_at


def _is_snapshot(record: messages.LogRecord) -> bool:
    try:
        value = json.loads(record.value)
    except (ValueError, RecursionError):
        return False
    return isinstance(value, dict) and value.get("type") == "snapshot"
