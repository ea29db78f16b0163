"""What the product needs of the platform's store: records kept by key."""

from __future__ import annotations

import abc

import attrs


@attrs.frozen
class KeyedRecord:
    """The newest record of a key.

    :param value: empty when the key was dropped.
    """

    key: str
    value: bytes
    offset: int


@attrs.frozen
class Page:
    """Records and where the topic ends.

    :param end: offset after the last record.
    :param unreadable: number of records that could not be read.
    """

    records: tuple[KeyedRecord, ...]
    end: int
    unreadable: int = 0


class Store(abc.ABC):
    """Client of the store; there is one in each process."""

    @abc.abstractmethod
    async def read_newest(self, topic: str) -> Page:
        """Return the newest record of each key.

        :param topic: name of the topic.
        :raises errors.LogUnavailableError: when the store gives no usable answer.
        """

    @abc.abstractmethod
    async def read_changes(self, topic: str, offset: int) -> Page:
        """Wait a while for new records.

        :param topic: name of the topic.
        :param offset: the first record wanted.
        :raises errors.HistoryExpiredError: when that record has been deleted.
        :raises errors.LogUnavailableError: when the store gives no usable answer.
        """

    @abc.abstractmethod
    async def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a record; an empty value drops the key.

        :param topic: name of the topic.
        :param key: key of the record.
        :param value: content.
        :raises errors.LogUnavailableError: when it may not have been appended.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Close the connections."""
