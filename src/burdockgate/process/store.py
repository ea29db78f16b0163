"""Interface to the store of a platform, which keeps the newest record of each key."""

from __future__ import annotations

import abc

import attrs


@attrs.frozen
class KeyedRecord:
    """The newest record of a key.

    :param value: empty when the key was deleted.
    """

    key: str
    value: bytes
    offset: int


@attrs.frozen
class Page:
    """Records of one read.

    :param end: offset after the last record.
    :param unreadable: number of malformed records that were skipped.
    :param is_snapshot: whether the page holds every key, so that a key that is missing
        was deleted.
    """

    records: tuple[KeyedRecord, ...]
    end: int
    unreadable: int = 0
    is_snapshot: bool = False


class Store(abc.ABC):
    """Client of the store; each process has one."""

    @abc.abstractmethod
    async def read_newest(self, topic: str) -> Page:
        """Return the newest record of each key.

        :param topic: name of the topic.
        :raises errors.LogUnavailableError: when the store gives no usable answer.
        """

    @abc.abstractmethod
    async def read_changes(self, topic: str, offset: int) -> Page:
        """Return new records; wait a limited time for the first one.

        :param topic: name of the topic.
        :param offset: offset of the first record to return.
        :raises errors.HistoryExpiredError: when that record has been deleted.
        :raises errors.LogUnavailableError: when the store gives no usable answer.
        """

    @abc.abstractmethod
    async def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a record; an empty value deletes the key.

        :param topic: name of the topic.
        :param key: key of the record.
        :param value: content of the record.
        :raises errors.LogUnavailableError: when the record may not have been appended.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Close the connections."""
