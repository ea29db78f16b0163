"""Encoding of the store's records by which agents and entry hosts find entry hosts."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import msgpack

from burdockgate.process import store

TOPIC = "keyed.entries"


def encode(address: str) -> bytes:
    """Return the record of an entry host.

    :param address: ``host:port`` for agents.
    """
    packed: bytes = msgpack.packb({"address": address})
    return packed


def addresses(records: Iterable[store.KeyedRecord]) -> Iterator[str]:
    """Yield the addresses in records; deleted and unreadable records are skipped.

    :param records: records of the topic.
    """
    for record in records:
        address = _decode_address(record.value)
        if address is not None:
            yield address


def _decode_address(value: bytes) -> str | None:
    try:
        fields = msgpack.unpackb(value)
    except (ValueError, msgpack.UnpackException):
        return None
    address = fields.get("address") if isinstance(fields, dict) else None
    if isinstance(address, str) and address.rpartition(":")[2].isdigit():
        return address
    return None
