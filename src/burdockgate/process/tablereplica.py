"""The table in force at a node, followed from the log or through peers."""

from __future__ import annotations

from collections.abc import Collection, Iterator

import attrs

from burdockgate import errors, messages
from burdockgate.version import table
from burdockgate.version import view as views

# Between two snapshots there are a few hundred changes; a node that is further
# behind than the kept records gets the whole table.
KEPT_LIMIT = 2_000
RECORDS_PER_MESSAGE = 500
# Ids in the log have at least one character, so no record of the log has this one.
WHOLE_ID = ""


class TableReplica:
    """Holds a node's table, which never goes back.

    :param kept_limit: most records kept to be handed on; 0 for a node that hands
        on none.
    """

    def __init__(self, kept_limit: int = KEPT_LIMIT) -> None:
        self.table = table.Table()
        self.is_log_read = False
        self._kept_limit = kept_limit
        self._kept: list[messages.LogRecord] = []
        # The kept records hold every change after this version.
        self._kept_since = 0
        self._told_by_name: dict[str, int] = {}

    @property
    def version(self) -> int:
        """Version of the table in force."""
        return self.table.version

    @property
    def kept(self) -> int:
        """Number of records kept."""
        return len(self._kept)

    # Following

    def apply_log_page(self, page: messages.Records) -> None:
        """Apply a page that was read from the log.

        :param page: the page; an empty one shows that the end was reached.
        """
        self._fold(page)
        if page.first == page.next and page.next >= self.table.next:
            self.is_log_read = True

    def apply_peer_page(self, name: str, page: messages.Records) -> None:
        """Apply a page that another node handed on.

        :param name: name of that node.
        :param page: the page; an empty one tells the version in force there.
        """
        if not page.records:
            self._told_by_name[name] = page.next
        elif page.records[0].id == WHOLE_ID:
            self._hear_whole(page.records[0])
        elif self.table.is_complete:
            # A gap is a lost or reordered page here, not expired records.
            if page.first <= self.table.next:
                self._fold(page)
        elif page.first <= self.version:
            base = attrs.evolve(self.table, next=self.version, waiting=(), resume=None)
            self._merge(table.fold_page(base, page)[0])

    def _hear_whole(self, record: messages.LogRecord) -> None:
        try:
            self._merge(table.read_snapshot(record.value))
        except errors.TableError:
            return

    def _fold(self, page: messages.Records) -> None:
        before = self.table
        self.table, results = table.fold_page(before, page)
        if not (before.is_complete and self.table.is_complete):
            self._keep_none()
            return
        for record, result in results:
            if record.offset < before.next:
                continue
            self._kept.append(record)
            if result.effect is table.Effect.IGNORED:
                self._drop_covered(record)
        if len(self._kept) > self._kept_limit:
            self._keep_none()

    def _drop_covered(self, record: messages.LogRecord) -> None:
        """Drop the records that a snapshot covers."""
        try:
            covered = table.read_snapshot(record.value)
        except errors.TableError:
            return
        self._kept = [
            kept
            for kept in self._kept
            if kept.offset >= covered.next and kept is not record
        ]
        self._kept_since = max(self._kept_since, covered.version)

    def _keep_none(self) -> None:
        self._kept.clear()
        self._kept_since = self.version

    def _merge(self, taken: table.Table) -> None:
        """Take a whole table of another node unless it is older."""
        own = self.table
        if own.resume is None:
            if taken.version > own.version and taken.next > own.next:
                self.table = taken
                self._keep_none()
            return
        if taken.next >= own.resume:
            for record in own.waiting:
                taken, _ = table.fold(taken, record)
            taken = attrs.evolve(taken, next=max(own.next, taken.next))
        elif taken.version > own.version:
            # Newer rows, but records up to those that wait are still missing.
            taken = attrs.evolve(
                taken, next=own.next, waiting=own.waiting, resume=own.resume
            )
        else:
            return
        if taken.version >= own.version:
            self.table = taken
            self._keep_none()

    # Handing on

    def pages_since(self, version: int) -> Iterator[messages.Records]:
        """Yield what a node needs that has an older version in force.

        :param version: the version in force there. The table of that version is
            the fold of all records before that offset, so records from it on are
            what the node can lack.
        """
        if version >= self.version:
            return
        if version < self._kept_since:
            yield self._whole()
            return
        records = [record for record in self._kept if record.offset >= version]
        first = version
        for start in range(0, len(records), RECORDS_PER_MESSAGE):
            batch = tuple(records[start : start + RECORDS_PER_MESSAGE])
            end = batch[-1].offset + 1
            yield messages.Records(table.STREAM, first, end, batch)
            first = end

    def _whole(self) -> messages.Records:
        complete = attrs.evolve(self.table, waiting=(), resume=None)
        if not self.table.is_complete:
            complete = attrs.evolve(complete, next=self.version)
        value = table.snapshot_record(complete)
        end = complete.next
        record = messages.LogRecord(max(0, end - 1), WHOLE_ID, value)
        return messages.Records(table.STREAM, record.offset, end, (record,))

    def version_announcement(self) -> messages.Records:
        """Return an empty page that tells the version in force here."""
        return messages.Records(table.STREAM, self.version, self.version, ())

    def is_current(self, others: Collection[str]) -> bool:
        """Return whether the table cannot be older than one in force at the start.

        :param others: names of the other entry hosts known.
        """
        if self.is_log_read and self.table.is_complete:
            return True
        told = [
            version for name, version in self._told_by_name.items() if name in others
        ]
        return (
            bool(others)
            and len(told) >= views.majority(len(others))
            and self.version >= max(told)
        )
