"""Editor of the table of weights and limits, for operators.

It appends changes to the log and reads them back to report whether they were accepted.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import random
from collections.abc import Iterator

import attrs

from burdockgate import errors, messages
from burdockgate.process import logclient
from burdockgate.version import table

# Allows a few tries during a short outage of the log while an operator waits.
BUDGET_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The change was accepted.

    :param version: version of the table after the change.
    :param row: the new row; ``None`` for a deletion or a snapshot.
    """

    change_id: str
    version: int
    row: table.Row | None


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """The change was rejected for good.

    :param row: the current row; ``None`` when there is none.
    :param version: version that a new change of the row must be based on.
    :param detail: the reason, in one line.
    """

    change_id: str
    row: table.Row | None
    version: int
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """It is not known whether the change was accepted.

    :param change_id: id of the change, for :meth:`TableEditor.outcome` once the log is
        available again.
    :param detail: one line that says whether it may have been accepted.
    """

    change_id: str
    detail: str


Outcome = Accepted | Conflict | Unknown


@attrs.frozen
class HistoryEntry:
    """A record of the table stream and its effect."""

    record: messages.LogRecord
    result: table.Result


class TableEditor:
    """Reads and changes the table through the log.

    :param log: client of the log service.
    :param rng: source of the change ids, which must be unique among all writers.
    :param budget_s: time limit of one append or one read of the table, in seconds.
    """

    def __init__(
        self,
        log: logclient.LogClient,
        rng: random.Random,
        budget_s: float = BUDGET_S,
    ) -> None:
        self._log = log
        self._rng = rng
        self._budget_s = budget_s
        self._table = table.Table()

    async def read(self) -> table.Table:
        """Return the table at the end of the log.

        :raises errors.LogUnavailableError: when the log cannot be read.
        :raises errors.TableError: when older records have expired and the log
            holds no snapshot to start from.
        """
        await self._advance()
        if not self._table.is_complete:
            raise errors.TableError(
                [
                    "table: records of the log have expired and it holds no usable "
                    "snapshot, allowed is a log with all records or a snapshot"
                ]
            )
        return self._table

    async def history(self) -> list[HistoryEntry]:
        """Return all records that the log still holds, oldest first.

        :raises errors.LogUnavailableError: when the log cannot be read.
        """
        self._table = table.Table()
        return await self._advance()

    async def set_row(self, row: table.Row, based_on: int) -> Outcome:
        """Set a row, unless it has changed since a version.

        :param based_on: that version; see :meth:`table.Table.row_version`.
        """
        return await self._change(table.row_record(row, based_on))

    async def delete_row(self, scope: str, name: str, based_on: int) -> Outcome:
        """Delete a row, unless it has changed since a version.

        :param based_on: that version; see :meth:`table.Table.row_version`.
        """
        return await self._change(table.deletion_record((scope, name), based_on))

    async def snapshot(self) -> Outcome:
        """Append a snapshot of the table, from which new readers can start.

        :raises errors.LogUnavailableError: when the log cannot be read.
        :raises errors.TableError: when the table is not complete.
        """
        current = await self.read()
        change_id = self._change_id()
        value = table.snapshot_record(current)
        try:
            await self._log.append(
                table.STREAM, change_id, value, self._budget_s, current.next
            )
        except errors.LogUnavailableError as error:
            return Unknown(change_id, str(error))
        return Accepted(change_id, current.version, None)

    def _change_id(self) -> str:
        return f"{self._rng.getrandbits(128):032x}"

    async def _change(self, value: bytes) -> Outcome:
        change_id = self._change_id()
        since = self._table.next
        try:
            await self._log.append(
                table.STREAM, change_id, value, self._budget_s, since
            )
        except errors.LogUnavailableError as error:
            return Unknown(change_id, str(error))
        try:
            async with asyncio.timeout(self._budget_s):
                return await self._read_back(change_id)
        except TimeoutError:
            return Unknown(
                change_id,
                f"the log stored the change and cannot be read since; whether it was "
                f"accepted or is a conflict is not known after {self._budget_s:g} s",
            )

    async def _read_back(self, change_id: str) -> Outcome:
        pages = self._log.follow(table.STREAM, self._table.next)
        async with contextlib.aclosing(pages):
            async for page in pages:
                for entry in self._fold(page):
                    if entry.record.id == change_id:
                        return self._outcome(entry)
        raise AssertionError("a follower never ends")

    async def outcome(self, change_id: str) -> Outcome | None:
        """Return the outcome of an earlier change, ``None`` when it is not in the log.

        :raises errors.LogUnavailableError: when the log cannot be read.
        """
        for entry in await self.history():
            if entry.record.id == change_id:
                return self._outcome(entry)
        return None

    def _outcome(self, entry: HistoryEntry) -> Outcome:
        change_id, result = entry.record.id, entry.result
        if result.key is None and result.effect is not table.Effect.MALFORMED:
            # Folding a snapshot has no effect for a reader that has every record.
            version = table.read_snapshot(entry.record.value).version
            return Accepted(change_id, version, None)
        if result.effect is table.Effect.ACCEPTED:
            return Accepted(change_id, entry.record.offset + 1, result.row)
        if result.effect is table.Effect.WAITING:
            return Unknown(change_id, f"the change is in the log; {result.detail}")
        if result.key is None:
            return Conflict(change_id, None, 0, result.detail)
        row = self._table.row_by_key.get(result.key)
        version = self._table.row_version(result.key)
        return Conflict(change_id, row, version, result.detail)

    async def _advance(self) -> list[HistoryEntry]:
        entries: list[HistoryEntry] = []
        try:
            async with asyncio.timeout(self._budget_s):
                while True:
                    page = await self._log.read(table.STREAM, self._table.next)
                    entries += self._fold(page)
                    if not page.records:
                        return entries
        except TimeoutError as error:
            raise errors.LogUnavailableError(
                f"the table could not be read from the log in {self._budget_s:g} s"
            ) from error

    def _fold(self, page: messages.Records) -> Iterator[HistoryEntry]:
        self._table, results = table.fold_page(self._table, page)
        return (HistoryEntry(record, result) for record, result in results)
