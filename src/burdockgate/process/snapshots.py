"""When an entry host appends a snapshot of a log stream again.

The log keeps records for a limited time. The entry host with the highest
rendezvous score for the stream appends first; the others wait longer by their
rank and find the snapshot done.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator

from burdockgate import clock, effects, messages
from burdockgate.process import membership


class SnapshotPublisher:
    """Decides on the snapshots of one stream.

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
        # A snapshot seen at the start can be half of the retention old already.
        self._due_at = time.now() + retention_s / 4

    def observe(self, records: Iterable[messages.LogRecord]) -> None:
        """Note snapshots among new records of the log.

        :param records: the records; those read at the start may be old.
        """
        if any(_is_snapshot(record) for record in records):
            self._due_at = self._time.now() + self._retention_s / 2

    def tick(
        self, entries: Iterable[str], end: int, value: bytes
    ) -> Iterator[effects.Effect]:
        """Yield the append that is due.

        :param entries: names of the other connected entry hosts.
        :param end: offset after the last record that the snapshot covers.
        :param value: its JSON text.
        """
        names = [self._node.name, *entries]
        rank = membership.rank(self._stream, self._node, names)
        now = self._time.now()
        if now < self._due_at + membership.RANK_DELAY_S * rank:
            return
        # Repeated until the snapshot is read back, because the log may be down.
        self._due_at = now + membership.REPEAT_S
        record_id = f"snapshot-{self._stream}-{end}"
        yield effects.Append(self._stream, record_id, value)

    @property
    def is_due(self) -> bool:
        """Whether an append is due here or at an entry host of a better rank."""
        return self._time.now() >= self._due_at


def _is_snapshot(record: messages.LogRecord) -> bool:
    try:
        value = json.loads(record.value)
    except (ValueError, RecursionError):
        return False
    return isinstance(value, dict) and value.get("type") == "snapshot"
