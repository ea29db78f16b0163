"""Entry hosts as records of the store, so that agents find them."""

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
    """Yield the addresses in records; dropped and unreadable ones are left out.

    :param records: records of the topic.
    """
    for record in records:
        address = _decode(record.value)
        if address is not None:
            yield address


def _decode(value: bytes) -> str | None:
    try:
        fields = msgpack.unpackb(value)
    except (ValueError, msgpack.UnpackException):
        return None
    address = fields.get("address") if isinstance(fields, dict) else None
    if isinstance(address, str) and address.rpartition(":")[2].isdigit():
        return address
    return None
