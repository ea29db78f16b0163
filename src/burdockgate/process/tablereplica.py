"""A node's replica of the table, kept up to date from the log or from peers."""

from __future__ import annotations

from collections.abc import Collection, Iterator

import attrs

from burdockgate import errors, messages
from burdockgate.version import table
from burdockgate.version import view as views

# Between two snapshots there are a few hundred changes; a node that lacks older records
# than the stored ones gets a snapshot.
RECORD_LIMIT = 2_000
RECORDS_PER_MESSAGE = 500
# Marks a snapshot that is not from the log, whose ids have at least one character.
SNAPSHOT_ID = ""


class TableReplica:
    """Holds a node's table, whose version never decreases.

    :param record_limit: maximum number of records stored for forwarding; 0 for a node
        that forwards none.
    """

    def __init__(self, record_limit: int = RECORD_LIMIT) -> None:
        self.table = table.Table()
        self.is_log_read = False
        self._record_limit = record_limit
        self._records: list[messages.LogRecord] = []
        # The stored records include every change after this version.
        self._records_since = 0
        self._announced_version_by_name: dict[str, int] = {}

    @property
    def version(self) -> int:
        """Version of the table in force."""
        return self.table.version

    @property
    def record_count(self) -> int:
        """Number of records stored for forwarding."""
        return len(self._records)

    # Receiving

    def apply_log_page(self, page: messages.Records) -> None:
        """Apply a page that was read from the log.

        :param page: the page; an empty one means that the end of the log is reached.
        """
        self._fold(page)
        if page.first == page.next and page.next >= self.table.next:
            self.is_log_read = True

    def apply_peer_page(self, name: str, page: messages.Records) -> None:
        """Apply a page that another node sent.

        :param name: name of that node.
        :param page: the page; an empty one announces the version in force there.
        """
        if not page.records:
            self._announced_version_by_name[name] = page.next
        elif page.records[0].id == SNAPSHOT_ID:
            self._merge_snapshot(page.records[0])
        elif self.table.is_complete:
            # From a peer, a gap means a lost or reordered page, not expired records.
            if page.first <= self.table.next:
                self._fold(page)
        elif page.first <= self.version:
            base = attrs.evolve(
                self.table, next=self.version, buffered=(), buffer_start=None
            )
            self._merge(table.fold_page(base, page)[0])

    def _merge_snapshot(self, record: messages.LogRecord) -> None:
        try:
            self._merge(table.read_snapshot(record.value))
        except errors.TableError:
            return

    def _fold(self, page: messages.Records) -> None:
        before = self.table
        self.table, results = table.fold_page(before, page)
        if not (before.is_complete and self.table.is_complete):
            self._clear_records()
            return
        for record, result in results:
            if record.offset < before.next:
                continue
            self._records.append(record)
            if result.effect is table.Effect.IGNORED:
                self._drop_covered_records(record)
        if len(self._records) > self._record_limit:
            self._clear_records()

    def _drop_covered_records(self, record: messages.LogRecord) -> None:
        """Drop the stored records that a snapshot includes, and the snapshot itself.

        :param record: the snapshot; any other record is ignored.
        """
        try:
            covered = table.read_snapshot(record.value)
        except errors.TableError:
            return
        self._records = [
            stored
            for stored in self._records
            if stored.offset >= covered.next and stored is not record
        ]
        self._records_since = max(self._records_since, covered.version)

    def _clear_records(self) -> None:
        self._records.clear()
        self._records_since = self.version

    def _merge(self, other: table.Table) -> None:
        """Replace the table by one of another node, unless that one is older.

        The buffered records are applied to it, if no record before them is missing.
        """
        own = self.table
        if own.buffer_start is None:
            if other.version > own.version and other.next > own.next:
                self.table = other
                self._clear_records()
            return
        if other.next >= own.buffer_start:
            for record in own.buffered:
                other, _ = table.fold(other, record)
            other = attrs.evolve(other, next=max(own.next, other.next))
        elif other.version > own.version:
            # The rows are newer, but records before the buffered ones are missing.
            other = attrs.evolve(
                other,
                next=own.next,
                buffered=own.buffered,
                buffer_start=own.buffer_start,
            )
        else:
            return
        if other.version >= own.version:
            self.table = other
            self._clear_records()

    # Forwarding

    def pages_since(self, version: int) -> Iterator[messages.Records]:
        """Yield the pages that bring a node's table up to date.

        :param version: the version in force there. The table of that version is the
            fold of all records before that offset, so the node can lack only records
            from there on.
        """
        if version >= self.version:
            return
        if version < self._records_since:
            yield self._snapshot_page()
            return
        records = [record for record in self._records if record.offset >= version]
        first = version
        for start in range(0, len(records), RECORDS_PER_MESSAGE):
            batch = tuple(records[start : start + RECORDS_PER_MESSAGE])
            end = batch[-1].offset + 1
            yield messages.Records(table.STREAM, first, end, batch)
            first = end

    def _snapshot_page(self) -> messages.Records:
        complete = attrs.evolve(self.table, buffered=(), buffer_start=None)
        if not self.table.is_complete:
            complete = attrs.evolve(complete, next=self.version)
        value = table.snapshot_record(complete)
        end = complete.next
        record = messages.LogRecord(max(0, end - 1), SNAPSHOT_ID, value)
        return messages.Records(table.STREAM, record.offset, end, (record,))

    def version_announcement(self) -> messages.Records:
        """Return an empty page that announces the version in force here."""
        return messages.Records(table.STREAM, self.version, self.version, ())

    def is_current(self, others: Collection[str]) -> bool:
        """Return whether the table is at least as new as any in force at the start.

        It is when the log was read to its end, or when a majority of the other entry
        hosts has announced its versions and none of them is newer.

        :param others: names of the other known entry hosts.
        """
        if self.is_log_read and self.table.is_complete:
            return True
        announced = [
            version
            for name, version in self._announced_version_by_name.items()
            if name in others
        ]
        return (
            bool(others)
            and len(announced) >= views.majority(len(others))
            and self.version >= max(announced)
        )
