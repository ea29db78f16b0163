"""The records of the members stream that an entry host hands on."""

from __future__ import annotations

from collections.abc import Iterator

from burdockgate import messages
from burdockgate.version import view as views

# A day of 2,400 restarts appends some 5,000 records, so a node must miss hours of
# them before it gets a snapshot instead of the single steps.
KEPT_LIMIT = 2_000
RECORDS_PER_MESSAGE = 500
# Ids in the log have at least one character, so no record of the log has this one.
WHOLE_ID = ""


class MemberHistory:
    """Keeps the newest records; older ones live on in the view alone."""

    def __init__(self) -> None:
        self._kept: list[messages.LogRecord] = []
        # Offset from which every record is kept.
        self._first = 0

    def __len__(self) -> int:
        return len(self._kept)

    def add_page(
        self, message: messages.Records, number: int
    ) -> list[messages.LogRecord]:
        """Keep the new records of a page, and return those that come from the log.

        :param message: a page of the stream.
        :param number: number of the view before the page.
        """
        new = [record for record in message.records if record.offset >= number]
        if message.first > number:
            self._kept.clear()
            self._first = message.first
        self._kept.extend(new)
        if len(self._kept) > KEPT_LIMIT:
            # By halves, so that a long list is not moved for every record.
            del self._kept[: -KEPT_LIMIT // 2]
            self._first = self._kept[0].offset
        return [record for record in new if record.id != WHOLE_ID]

    def pages_since(self, first: int, view: views.View) -> Iterator[messages.Records]:
        """Yield the pages that bring a node up to a view.

        :param first: number of the node's view.
        :param view: the view after all records kept.
        """
        if first < self._first and view.is_complete:
            yield _whole(view)
            return
        first = max(first, self._first)
        records = [record for record in self._kept if record.offset >= first]
        for start in range(0, max(1, len(records)), RECORDS_PER_MESSAGE):
            batch = tuple(records[start : start + RECORDS_PER_MESSAGE])
            is_last = start + RECORDS_PER_MESSAGE >= len(records)
            next_ = view.number if is_last else batch[-1].offset + 1
            yield messages.Records(views.STREAM, first, next_, batch)
            first = next_


def _whole(view: views.View) -> messages.Records:
    """Return a page after a gap with a snapshot of everything before its end."""
    offset = view.number - 1
    record = messages.LogRecord(offset, WHOLE_ID, views.snapshot_record(view))
    return messages.Records(views.STREAM, offset, view.number, (record,))
