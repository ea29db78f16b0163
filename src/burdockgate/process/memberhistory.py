"""The recent records of the members stream that an entry host forwards to nodes."""

from __future__ import annotations

from collections.abc import Iterator

from burdockgate import messages
from burdockgate.version import view as views

# A day with 2,400 restarts appends about 5,000 records, so a node must miss hours of
# them before it gets a snapshot instead of the single records.
RECORD_LIMIT = 2_000
RECORDS_PER_MESSAGE = 500
# Marks a snapshot that is not from the log, whose ids have at least one character.
SNAPSHOT_ID = ""


class MemberHistory:
    """Stores the newest records; older ones are only part of the view."""

    def __init__(self) -> None:
        self._records: list[messages.LogRecord] = []
        # Offset from which every record is stored.
        self._first_offset = 0

    def __len__(self) -> int:
        return len(self._records)

    def add_page(
        self, message: messages.Records, number: int
    ) -> list[messages.LogRecord]:
        """Store the new records of a page, and return those that are from the log.

        :param message: a page of the stream.
        :param number: number of the view before the page.
        """
        new = [record for record in message.records if record.offset >= number]
        if message.first > number:
            self._records.clear()
            self._first_offset = message.first
        self._records.extend(new)
        if len(self._records) > RECORD_LIMIT:
            # Drops half of the list at once: a deletion at its front moves the rest.
            del self._records[: -RECORD_LIMIT // 2]
            self._first_offset = self._records[0].offset
        return [record for record in new if record.id != SNAPSHOT_ID]

    def pages_since(self, first: int, view: views.View) -> Iterator[messages.Records]:
        """Yield the pages that bring a node's view up to date.

        :param first: number of the node's view.
        :param view: the view after all stored records.
        """
        if first < self._first_offset and view.is_complete:
            yield _snapshot_page(view)
            return
        first = max(first, self._first_offset)
        records = [record for record in self._records if record.offset >= first]
        for start in range(0, max(1, len(records)), RECORDS_PER_MESSAGE):
            batch = tuple(records[start : start + RECORDS_PER_MESSAGE])
            is_last = start + RECORDS_PER_MESSAGE >= len(records)
            next_ = view.number if is_last else batch[-1].offset + 1
            yield messages.Records(views.STREAM, first, next_, batch)
            first = next_


def _snapshot_page(view: views.View) -> messages.Records:
    """Return a page with a snapshot of a view as its only record.

    The page covers only the last offset before the view's number, so that a node with
    an older view starts from the snapshot, as after a gap.
    """
    offset = view.number - 1
    record = messages.LogRecord(offset, SNAPSHOT_ID, views.snapshot_record(view))
    return messages.Records(views.STREAM, offset, view.number, (record,))
